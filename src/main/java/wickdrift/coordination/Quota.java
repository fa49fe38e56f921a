package wickdrift.coordination;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.Partition.QuotaShare;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.JobSpec;
import wickdrift.settings.Settings;

/**
 * The teams' limits, divided among the controllers. Every attempt counts against the share of the
 * node that placed it, by its durable number, and the shares are in the part records, on which
 * placements are conditional. They start even among those of the first list ({@link
 * wickdrift.bookkeeping.level.Roster}) and sum to the limit; whoever comes later starts with none.
 * A node gives spare share away in one transaction that rewrites both records. So no interleaving
 * of placers passes a limit, however old their tables, and however many controllers their settings
 * name.
 */
final class Quota {
  private record Key(String team, String node) {}

  private final Map<String, Settings.Team> teams = new HashMap<>();

  /** What this round has booked for this node, by team. */
  private final Map<String, QuotaShare> booked = new HashMap<>();

  private final Map<Key, QuotaShare> needed = new HashMap<>();

  /** By team, the gang for which its limit is saved up. */
  private final Map<String, Job> saved = new HashMap<>();

  /** A gang for which a limit had no room for so long has it saved up, and rests as long after. */
  private static final long SAVE_AFTER_MS = 30_000;

  /** Below the time that a job may wait beside room for it: the team's others wait for so long. */
  private static final long SAVE_MS = 75_000;

  /** Of what a gang needs. */
  private static final double SAVED_PART = 0.25;

  private final Tables tables;
  private final Settings settings;
  private final String node;

  Quota(Settings settings, Tables tables) {
    this.settings = settings;
    this.tables = tables;
    this.node = settings.node();
    for (Settings.Team t : settings.teams()) {
      if (t.cpusMax() > 0 || t.gpusMax() > 0) {
        teams.put(t.name(), t);
      }
    }
  }

  private static QuotaShare of(JobSpec s) {
    return new QuotaShare(s.cpus(), s.gpus());
  }

  private QuotaShare share(String team, String of) {
    Partition p = tables.partition(of);
    QuotaShare told = p == null ? null : p.quotaShares().get(team);
    QuotaShare even = even(tables.registry(), teams.get(team), of);
    if (p == null || p.encoding() == Encoding.FIRST) {
      return told != null ? told : even;
    }
    return told != null ? even.plus(told) : even;
  }

  /** What a node starts with. */
  private static QuotaShare even(NodeRegistry registry, Settings.Team t, String of) {
    double first = registry.initialNames().size();
    return registry.initialNames().contains(of)
        ? new QuotaShare(t.cpusMax() / first, t.gpusMax() / first)
        : QuotaShare.NONE;
  }

  /**
   * A part as {@link Encoding#NUMBERED} tells it: what a node may use, as more or less than even.
   */
  static Partition toNumberedEncoding(
      Partition p, String of, NodeRegistry registry, Settings settings) {
    Map<String, QuotaShare> told = new LinkedHashMap<>();
    for (Settings.Team t : settings.teams()) {
      QuotaShare s = p.quotaShares().get(t.name());
      if (s != null && (t.cpusMax() > 0 || t.gpusMax() > 0)) {
        told.put(t.name(), s.minus(even(registry, t, of)));
      }
    }
    return p.inEncoding(Encoding.NUMBERED, told);
  }

  private QuotaShare left(String team, String of) {
    QuotaShare left =
        share(team, of).minus(tables.usage().placedBy(team, tables.registry().numberOf(of)));
    return of.equals(node) ? left.minus(booked.getOrDefault(team, QuotaShare.NONE)) : left;
  }

  /**
   * A gang starts whole, so a team whose limit is always used up by small work would never start
   * it: what ends is taken by the next small task at once. So the limit is saved up for the first
   * gang in the order of service that has waited for a while: the team's other jobs start only what
   * leaves room for it. For a while, then the others have as long: one that can't start for other
   * reasons is not to hold them for ever. All controllers draw the same from the tables.
   *
   * @param wallMs the time of day
   */
  void holdQuotaForGangs(Iterable<Job> waiting, long wallMs) {
    Set<String> open = new HashSet<>();
    for (String team : teams.keySet()) {
      // Far from its limit there is nothing to save up.
      if (!covers(teams.get(team), limit(team).minus(total(team)), limit(team).times(0.5))) {
        open.add(team);
      }
    }
    if (open.isEmpty()) {
      return;
    }
    for (Job job : waiting) {
      long aged = wallMs - job.readyWallMs() - SAVE_AFTER_MS;
      if (job.spec().shape() == JobSpec.Shape.GANG
          && job.liveCount() == 0
          && !job.isSuspected()
          && aged > 0
          && aged / SAVE_MS % 2 == 0
          && open.remove(job.spec().team())) {
        saved.put(job.spec().team(), job);
        if (open.isEmpty()) {
          return;
        }
      }
    }
  }

  private QuotaShare limit(String team) {
    Settings.Team t = teams.get(team);
    return new QuotaShare(t.cpusMax(), t.gpusMax());
  }

  /** What a team has in use, with what this round has booked here. */
  private QuotaShare total(String team) {
    return tables.usage().of(team).plus(booked.getOrDefault(team, QuotaShare.NONE));
  }

  /**
   * Whether a team's limit is saved up for this job now, and some of it is free already. While it
   * is held by others' long tasks the job is not about to start.
   */
  boolean savingFor(Job job) {
    QuotaShare part = of(job.spec()).times(job.waitingCount() * SAVED_PART);
    String team = job.spec().team();
    return saved.get(team) == job && covers(teams.get(team), limit(team).minus(total(team)), part);
  }

  /** Whether a job's task may start, and leaves what is saved up for another. */
  boolean allows(Job job) {
    Job first = saved.get(job.spec().team());
    if (first != null && first != job) {
      QuotaShare beside = of(job.spec()).plus(of(first.spec()).times(first.waitingCount()));
      String team = job.spec().team();
      if (!covers(teams.get(team), limit(team).minus(total(team)), beside)) {
        return false;
      }
    }
    return allows(job.spec());
  }

  boolean allows(JobSpec spec) {
    return allows(spec, 1);
  }

  boolean allows(JobSpec spec, int n) {
    Settings.Team t = teams.get(spec.team());
    return t == null || covers(t, left(spec.team(), node), of(spec).times(n));
  }

  /** What each team's limit leaves beside what is in use: gangs are given it in their order. */
  final class Remainder {
    private final Map<String, QuotaShare> left = new HashMap<>();

    /** Takes what so many tasks need, if the limit leaves it. */
    boolean take(JobSpec spec, int tasks) {
      Settings.Team team = teams.get(spec.team());
      if (team == null) {
        return true;
      }
      QuotaShare now =
          left.computeIfAbsent(spec.team(), k -> limit(spec.team()).minus(total(spec.team())));
      QuotaShare need = of(spec).times(tasks);
      if (!covers(team, now, need)) {
        return false;
      }
      left.put(spec.team(), now.minus(need));
      return true;
    }
  }

  private static boolean covers(Settings.Team t, QuotaShare left, QuotaShare need) {
    return (t.cpusMax() == 0 || need.cpus() <= left.cpus() + FreeCapacity.EPS)
        && (t.gpusMax() == 0 || need.gpus() <= left.gpus() + FreeCapacity.EPS);
  }

  void book(JobSpec spec) {
    if (teams.containsKey(spec.team())) {
      booked.merge(spec.team(), of(spec), QuotaShare::plus);
    }
  }

  // ---- giving share away ----

  /** A gift of share from one node to another. */
  record Transfer(
      String team,
      String donor,
      String recipient,
      Partition donorPartition,
      Partition recipientPartition) {}

  /**
   * What this node should give away, or null: spare share goes to a node whose waiting jobs lack
   * it. A leader also gives on behalf of nodes outside the view, which can't place any more.
   */
  Transfer proposeTransfer(boolean leader, Iterable<Job> waiting) {
    var view = tables.view();
    for (Job job : waiting) {
      String team = job.spec().team();
      // What a team's other jobs may not start, they do not need now.
      if (teams.containsKey(team) && saved.getOrDefault(team, job) == job) {
        needed.merge(
            new Key(team, view.placer(job.partition(), job.id())),
            of(job.spec()).times(job.waitingCount()),
            QuotaShare::plus);
      }
    }
    for (String team : teams.keySet()) {
      Settings.Team t = teams.get(team);
      for (String giver : givers(leader)) {
        boolean may = giver.equals(node) || leader && !view.members().containsKey(giver);
        if (!may) {
          continue;
        }
        QuotaShare spare =
            positive(
                left(team, giver)
                    .minus(needed.getOrDefault(new Key(team, giver), QuotaShare.NONE)));
        for (String taker : takers()) {
          // One outside the view needs what it is short of: a limit that was lowered left it less
          // than it had given away, and until it has that back the others may use too much.
          QuotaShare need = needed.getOrDefault(new Key(team, taker), QuotaShare.NONE);
          if (taker.equals(giver) || covers(t, left(team, taker), need)) {
            continue;
          }
          QuotaShare lack = positive(need.minus(left(team, taker)));
          QuotaShare gift =
              new QuotaShare(
                  Math.min(spare.cpus(), lack.cpus()), Math.min(spare.gpus(), lack.gpus()));
          if (gift.cpus() > FreeCapacity.EPS || gift.gpus() > FreeCapacity.EPS) {
            return new Transfer(
                team, giver, taker, moved(team, giver, gift.times(-1)), moved(team, taker, gift));
          }
        }
      }
    }
    return null;
  }

  /**
   * Those that have a part. To a leader, once controllers come and go by their numbers, also those
   * that never came to have one: the share that they would start with is not to be lost with them.
   */
  private Set<String> givers(boolean leader) {
    Set<String> out = new LinkedHashSet<>(tables.partitions().keySet());
    if (leader && tables.isOpen(Gate.NUMBERS)) {
      out.addAll(tables.registry().initialNames());
    }
    return out;
  }

  /** Those that have a part, and the members, whose parts are not written with the view. */
  private Set<String> takers() {
    Set<String> out = new LinkedHashSet<>(tables.partitions().keySet());
    out.addAll(tables.view().members().keySet());
    return out;
  }

  private Partition part(String of) {
    Partition p = tables.currentPartition(of);
    return p == null ? Partition.empty(0, tables.encoding()) : p;
  }

  private Partition moved(String team, String of, QuotaShare by) {
    Partition p = part(of);
    QuotaShare was =
        p.encoding() == Encoding.FIRST
            ? share(team, of)
            : p.quotaShares().getOrDefault(team, QuotaShare.NONE);
    return p.withQuotaShare(team, was.plus(by));
  }

  private static QuotaShare positive(QuotaShare s) {
    return new QuotaShare(Math.max(0, s.cpus()), Math.max(0, s.gpus()));
  }
}
