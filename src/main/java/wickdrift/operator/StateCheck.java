package wickdrift.operator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.OrphanedRecords;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.NodeRecord;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.BadMessage;

/**
 * Finds records of the stored state that a build can't read, and records that contradict each
 * other. The result depends only on the records and the levels given.
 */
public final class StateCheck {
  /**
   * One finding about a record.
   *
   * @param isError whether it is an error; otherwise it is a note about something that the
   *     controllers repair by themselves
   */
  public record Finding(String key, boolean isError, String reason) {}

  private static final double QUOTA_SUM_TOLERANCE = 1e-6;

  private final StoredRecords records;
  private final LevelRange supportedLevels;
  private final List<Finding> findings = new ArrayList<>();

  private StateCheck(StoredRecords records, LevelRange supportedLevels) {
    this.records = records;
    this.supportedLevels = supportedLevels;
  }

  /**
   * Checks the records.
   *
   * @param supportedLevels levels that the build in question supports
   * @return the findings: errors before notes, each sorted by key
   */
  public static List<Finding> check(StoredRecords records, LevelRange supportedLevels) {
    StateCheck stateCheck = new StateCheck(records, supportedLevels);
    stateCheck.checkAll();
    List<Finding> sortedFindings = new ArrayList<>(stateCheck.findings);
    sortedFindings.sort(
        (a, b) -> a.isError != b.isError ? (a.isError ? -1 : 1) : a.key.compareTo(b.key));
    return sortedFindings;
  }

  private void addError(String key, String reason) {
    findings.add(new Finding(key, true, reason));
  }

  private void addNote(String key, String reason) {
    findings.add(new Finding(key, false, reason));
  }

  private void checkAll() {
    Tables tables = new Tables(List.of(), supportedLevels, () -> {});
    tables.load(records.toChanges(), records.revision());
    tables.unreadableRecords().forEach(this::addError);
    View view = tables.view();
    if (view == null) {
      if (!records.byKey().isEmpty() && !tables.unreadableRecords().containsKey(View.KEY)) {
        addError(View.KEY, "is missing, and other records are there");
      }
    } else if (!supportedLevels.includes(view.level())) {
      addError(
          View.KEY,
          "level " + view.level() + " is in force, and this build speaks " + supportedLevels);
    }
    if (view != null) {
      checkView(tables, view);
      checkPartitions(tables, view);
      checkEncodings(tables, view);
    }
    checkRegistry(tables);
    checkJobs(tables);
  }

  private void checkView(Tables tables, View view) {
    if (!view.members().containsKey(view.leader())) {
      addError(View.KEY, "its leader " + view.leader() + " is no member");
    }
    for (String member : view.members().keySet()) {
      // Once the gate VIEWS is open, a change of view doesn't rewrite the partitions: a partition
      // without a record is an empty one.
      if (tables.partition(member) == null && !view.isOpen(Gate.VIEWS)) {
        addError(Partition.key(member), "is missing, and " + member + " is a member");
      }
      if (view.isOpen(Gate.NUMBERS) && tables.registry().numberOf(member) < 0) {
        addError(View.KEY, "member " + member + " has no number");
      }
    }
  }

  private void checkPartitions(Tables tables, View view) {
    Map<String, Double> quotaSumByTeam = new HashMap<>();
    boolean allNumbered = true;
    for (Map.Entry<String, Partition> entry : new TreeMap<>(tables.partitions()).entrySet()) {
      Partition partition = entry.getValue();
      String key = Partition.key(entry.getKey());
      if (partition.epoch() > view.epoch()) {
        addError(key, "is of epoch " + partition.epoch() + ", the view of epoch " + view.epoch());
      }
      if (view.isOpen(Gate.VIEWS)) {
        if (partition.epoch() < view.viewsGateEpoch()) {
          addNote(
              key, "was last written before level " + Gate.VIEWS.level() + "; it is written anew");
        }
      } else if (view.members().containsKey(entry.getKey()) && partition.epoch() != view.epoch()) {
        addError(
            key, "is of epoch " + partition.epoch() + ", and its member's view of " + view.epoch());
      }
      if (partition.encoding() > Encoding.forLevel(view.level())) {
        addError(
            key,
            "is of form "
                + partition.encoding()
                + ", which level "
                + view.level()
                + " does not have");
      }
      allNumbered &= partition.encoding() == Encoding.NUMBERED;
      partition
          .quotaShares()
          .forEach(
              (team, share) ->
                  quotaSumByTeam.merge(team, share.gpus() + 1e3 * share.cpus(), Double::sum));
    }
    // In this encoding the quota shares are differences from the even shares, so those of each team
    // sum to zero. GPUs and CPUs are checked as one number, in which a CPU weighs 1000.
    if (allNumbered) {
      quotaSumByTeam.forEach(
          (team, sum) -> {
            if (Math.abs(sum) > QUOTA_SUM_TOLERANCE * 1e3) {
              addError(
                  "w/p/", "what the parts gave and got of " + team + " does not sum to nothing");
            }
          });
    }
  }

  private void checkEncodings(Tables tables, View view) {
    for (String key : tables.keysInOldEncoding()) {
      addNote(key, "is of a form older than level " + view.level() + "; it is being brought to it");
    }
    if (tables.registry().convertedLevel() > view.level()) {
      addError(
          NodeRegistry.CONVERTED_LEVEL_KEY,
          "tells of level " + tables.registry().convertedLevel() + ", which is not in force");
    }
    for (Map.Entry<String, StoredRecords.StoredValue> entry : records.byKey().entrySet()) {
      try {
        boolean denseAllowed = view.isOpen(Gate.LIMITS) && Job.isChunkKey(entry.getKey());
        if (Encoding.versionOf(entry.getValue().value())
            > (denseAllowed ? Encoding.DENSE : Encoding.forLevel(view.level()))) {
          addError(entry.getKey(), "is of a form that level " + view.level() + " does not have");
        }
      } catch (BadMessage unreadable) {
        // Already reported as an unreadable record.
        continue;
      }
    }
  }

  private void checkRegistry(Tables tables) {
    Map<String, Integer> numberByName = new HashMap<>();
    for (NodeRecord nodeRecord : tables.registry().nodeRecords()) {
      Integer otherNumber = numberByName.putIfAbsent(nodeRecord.name(), nodeRecord.number());
      if (otherNumber != null) {
        addError(
            NodeRecord.key(nodeRecord.number()),
            nodeRecord.name() + " has the number " + otherNumber + " too");
      }
      List<String> initialNames = tables.registry().initialNames();
      if (nodeRecord.number() < initialNames.size()
          && !initialNames.get(nodeRecord.number()).equals(nodeRecord.name())) {
        addError(
            NodeRecord.key(nodeRecord.number()),
            "is of "
                + nodeRecord.name()
                + ", and the first list gives the number to "
                + initialNames.get(nodeRecord.number()));
      }
    }
    if (!tables.registry().nodeRecords().isEmpty() && !tables.registry().hasStoredInitialNames()) {
      addError(NodeRegistry.INITIAL_NAMES_KEY, "is missing, and controllers have numbers");
    }
    for (String heldGate : tables.registry().overrides().heldGates()) {
      if (Gate.byLabel(heldGate) == null) {
        addNote("w/c/word", "holds back the gate " + heldGate + ", which this build does not know");
      }
    }
  }

  private void checkJobs(Tables tables) {
    for (OrphanedRecords.Orphan orphan : tables.orphanedRecords()) {
      addNote(orphan.key(), "is of a job that is over; it is deleted in time");
    }
    TreeSet<Integer> unregisteredNumbers = new TreeSet<>();
    for (Job job : tables.jobs()) {
      if (records.byKey().containsKey(Job.terminalStateKey(job.id()))) {
        addError(
            job.key(),
            "is unfinished, and " + Job.terminalStateKey(job.id()) + " says that it is over");
      }
      for (int taskIndex = 0; taskIndex < job.taskCount(); taskIndex++) {
        if (job.task(taskIndex).isLive()
            && tables.registry().name(job.task(taskIndex).placer()) == null) {
          unregisteredNumbers.add(job.task(taskIndex).placer());
        }
        if (job.task(taskIndex).isLive()
            && job.task(taskIndex).machine().phase() == Machine.Phase.UNKNOWN) {
          addNote(
              job.key(),
              "task "
                  + taskIndex
                  + " is on "
                  + job.task(taskIndex).machine().name()
                  + ", of no record");
        }
      }
    }
    for (int number : unregisteredNumbers) {
      if (tables.registry().hasStoredInitialNames()) {
        addError(
            NodeRecord.key(number), "is missing, and tasks that run were placed by that number");
      }
    }
  }
}
