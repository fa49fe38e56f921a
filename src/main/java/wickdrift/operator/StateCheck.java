package wickdrift.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.NodeRecord;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.BadMessage;

/** What of the stored state a build can't read, and what contradicts itself. A pure function. */
public final class StateCheck {
  /**
   * @param error false: worth knowing, and mended by the controllers themselves
   */
  public record Finding(String key, boolean error, String why) {}

  private static final double EPS = 1e-6;

  private final Records records;
  private final LevelRange levels;
  private final List<Finding> found = new ArrayList<>();

  private StateCheck(Records records, LevelRange levels) {
    this.records = records;
    this.levels = levels;
  }

  /**
   * @param levels that the build speaks for which is asked
   * @return errors first, each kind in the order of keys
   */
  public static List<Finding> check(Records records, LevelRange levels) {
    StateCheck c = new StateCheck(records, levels);
    c.run();
    List<Finding> out = new ArrayList<>(c.found);
    out.sort((a, b) -> a.error != b.error ? (a.error ? -1 : 1) : a.key.compareTo(b.key));
    return out;
  }

  private void error(String key, String why) {
    found.add(new Finding(key, true, why));
  }

  private void note(String key, String why) {
    found.add(new Finding(key, false, why));
  }

  private void run() {
    Tables t = new Tables(List.of(), levels, () -> {});
    t.load(records.changes(), records.rev());
    t.unreadableRecords().forEach(this::error);
    View v = t.view();
    if (v == null) {
      if (!records.all().isEmpty() && !t.unreadableRecords().containsKey(View.KEY)) {
        error(View.KEY, "is missing, and other records are there");
      }
    } else if (!levels.includes(v.level())) {
      error(View.KEY, "level " + v.level() + " is in force, and this build speaks " + levels);
    }
    if (v != null) {
      view(t, v);
      parts(t, v);
      forms(t, v);
    }
    registry(t);
    jobs(t);
  }

  private void view(Tables t, View v) {
    if (!v.members().containsKey(v.leader())) {
      error(View.KEY, "its leader " + v.leader() + " is no member");
    }
    for (String m : v.members().keySet()) {
      // Since parts are not rewritten with the view, one that was never written is an empty one.
      if (t.partition(m) == null && !v.isOpen(Gate.VIEWS)) {
        error(Partition.key(m), "is missing, and " + m + " is a member");
      }
      if (v.isOpen(Gate.NUMBERS) && t.registry().numberOf(m) < 0) {
        error(View.KEY, "member " + m + " has no number");
      }
    }
  }

  private void parts(Tables t, View v) {
    Map<String, Double> sums = new HashMap<>();
    boolean told = true;
    for (Map.Entry<String, Partition> e : new TreeMap<>(t.partitions()).entrySet()) {
      Partition p = e.getValue();
      String key = Partition.key(e.getKey());
      if (p.epoch() > v.epoch()) {
        error(key, "is of epoch " + p.epoch() + ", the view of epoch " + v.epoch());
      }
      if (v.isOpen(Gate.VIEWS)) {
        if (p.epoch() < v.viewsGateEpoch()) {
          note(key, "was last written before level " + Gate.VIEWS.level() + "; it is written anew");
        }
      } else if (v.members().containsKey(e.getKey()) && p.epoch() != v.epoch()) {
        error(key, "is of epoch " + p.epoch() + ", and its member's view of " + v.epoch());
      }
      if (p.encoding() > Encoding.forLevel(v.level())) {
        error(key, "is of form " + p.encoding() + ", which level " + v.level() + " does not have");
      }
      told &= p.encoding() == Encoding.NUMBERED;
      p.quotaShares()
          .forEach((team, s) -> sums.merge(team, s.gpus() + 1e3 * s.cpus(), Double::sum));
    }
    if (told) {
      sums.forEach(
          (team, sum) -> {
            if (Math.abs(sum) > EPS * 1e3) {
              error("w/p/", "what the parts gave and got of " + team + " does not sum to nothing");
            }
          });
    }
  }

  private void forms(Tables t, View v) {
    for (String key : t.keysInOldEncoding()) {
      note(key, "is of a form older than level " + v.level() + "; it is being brought to it");
    }
    if (t.registry().convertedLevel() > v.level()) {
      error(
          NodeRegistry.CONVERTED_LEVEL_KEY,
          "tells of level " + t.registry().convertedLevel() + ", which is not in force");
    }
    for (Map.Entry<String, Records.Item> e : records.all().entrySet()) {
      try {
        boolean dense = v.isOpen(Gate.LIMITS) && Job.isChunkKey(e.getKey());
        if (Encoding.versionOf(e.getValue().value())
            > (dense ? Encoding.DENSE : Encoding.forLevel(v.level()))) {
          error(e.getKey(), "is of a form that level " + v.level() + " does not have");
        }
      } catch (BadMessage x) {
        // Told as unreadable.
        continue;
      }
    }
  }

  private void registry(Tables t) {
    Map<String, Integer> names = new HashMap<>();
    for (NodeRecord a : t.registry().nodeRecords()) {
      Integer other = names.putIfAbsent(a.name(), a.number());
      if (other != null) {
        error(NodeRecord.key(a.number()), a.name() + " has the number " + other + " too");
      }
      List<String> first = t.registry().initialNames();
      if (a.number() < first.size() && !first.get(a.number()).equals(a.name())) {
        error(
            NodeRecord.key(a.number()),
            "is of "
                + a.name()
                + ", and the first list gives the number to "
                + first.get(a.number()));
      }
    }
    if (!t.registry().nodeRecords().isEmpty() && !t.registry().hasStoredInitialNames()) {
      error(NodeRegistry.INITIAL_NAMES_KEY, "is missing, and controllers have numbers");
    }
    for (String held : t.registry().overrides().heldGates()) {
      if (Gate.byLabel(held) == null) {
        note("w/c/word", "holds back the gate " + held + ", which this build does not know");
      }
    }
  }

  private void jobs(Tables t) {
    for (String key : t.orphanedKeys()) {
      note(key, "is of a job that is over; it is deleted in time");
    }
    TreeSet<Integer> unknown = new TreeSet<>();
    for (Job j : t.jobs()) {
      if (records.all().containsKey(Job.terminalStateKey(j.id()))) {
        error(
            j.key(),
            "is unfinished, and " + Job.terminalStateKey(j.id()) + " says that it is over");
      }
      for (int i = 0; i < j.taskCount(); i++) {
        if (j.task(i).isLive() && t.registry().name(j.task(i).placer()) == null) {
          unknown.add(j.task(i).placer());
        }
        if (j.task(i).isLive() && j.task(i).machine().phase() == Machine.Phase.UNKNOWN) {
          note(j.key(), "task " + i + " is on " + j.task(i).machine().name() + ", of no record");
        }
      }
    }
    for (int n : unknown) {
      if (t.registry().hasStoredInitialNames()) {
        error(NodeRecord.key(n), "is missing, and tasks that run were placed by that number");
      }
    }
  }
}
