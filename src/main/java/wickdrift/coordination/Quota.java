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
  private record TeamNode(String team, String node) {}

  private final Map<String, Settings.Team> limitedTeams = new HashMap<>();

  /** What this round has booked for this node, by team. */
  private final Map<String, QuotaShare> bookedThisRound = new HashMap<>();

  private final Map<TeamNode, QuotaShare> neededShares = new HashMap<>();

  /** By team, the gang for which its limit is saved up. */
  private final Map<String, Job> heldForGang = new HashMap<>();

  /** A gang for which a limit had no room for so long has it saved up, and rests as long after. */
  private static final long HOLD_AFTER_WAIT_MS = 30_000;

  /** Below the time that a job may wait beside room for it: the team's others wait for so long. */
  private static final long HOLD_PERIOD_MS = 75_000;

  /** Of what a gang needs. */
  private static final double MIN_FREE_FRACTION = 0.25;

  private final Tables tables;
  private final Settings settings;
  private final String node;

  Quota(Settings settings, Tables tables) {
    this.settings = settings;
    this.tables = tables;
    this.node = settings.node();
    for (Settings.Team t : settings.teams()) {
      if (t.cpusMax() > 0 || t.gpusMax() > 0) {
        limitedTeams.put(t.name(), t);
      }
    }
  }

  private static QuotaShare demandOf(JobSpec spec) {
    return new QuotaShare(spec.cpus(), spec.gpus());
  }

  private QuotaShare shareOf(String team, String owner) {
    Partition partition = tables.partition(owner);
    QuotaShare recorded = partition == null ? null : partition.quotaShares().get(team);
    QuotaShare initial = initialShare(tables.registry(), limitedTeams.get(team), owner);
    if (partition == null || partition.encoding() == Encoding.FIRST) {
      return recorded != null ? recorded : initial;
    }
    return recorded != null ? initial.plus(recorded) : initial;
  }

  /** What a node starts with. */
  private static QuotaShare initialShare(NodeRegistry registry, Settings.Team team, String owner) {
    double firstNodes = registry.initialNames().size();
    return registry.initialNames().contains(owner)
        ? new QuotaShare(team.cpusMax() / firstNodes, team.gpusMax() / firstNodes)
        : QuotaShare.NONE;
  }

  /**
   * A part as {@link Encoding#NUMBERED} tells it: what a node may use, as more or less than even.
   */
  static Partition toNumberedEncoding(
      Partition partition, String owner, NodeRegistry registry, Settings settings) {
    Map<String, QuotaShare> differences = new LinkedHashMap<>();
    for (Settings.Team team : settings.teams()) {
      QuotaShare share = partition.quotaShares().get(team.name());
      if (share != null && (team.cpusMax() > 0 || team.gpusMax() > 0)) {
        differences.put(team.name(), share.minus(initialShare(registry, team, owner)));
      }
    }
    return partition.inEncoding(Encoding.NUMBERED, differences);
  }

  private QuotaShare remaining(String team, String owner) {
    QuotaShare remaining =
        shareOf(team, owner)
            .minus(tables.usage().placedBy(team, tables.registry().numberOf(owner)));
    return owner.equals(node)
        ? remaining.minus(bookedThisRound.getOrDefault(team, QuotaShare.NONE))
        : remaining;
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
    Set<String> nearLimit = new HashSet<>();
    for (String team : limitedTeams.keySet()) {
      // Far from its limit there is nothing to save up.
      if (!covers(limitedTeams.get(team), limit(team).minus(inUse(team)), limit(team).times(0.5))) {
        nearLimit.add(team);
      }
    }
    if (nearLimit.isEmpty()) {
      return;
    }
    for (Job job : waiting) {
      long overdueMs = wallMs - job.readyWallMs() - HOLD_AFTER_WAIT_MS;
      if (job.spec().shape() == JobSpec.Shape.GANG
          && job.liveCount() == 0
          && !job.isSuspected()
          && overdueMs > 0
          && overdueMs / HOLD_PERIOD_MS % 2 == 0
          && nearLimit.remove(job.spec().team())) {
        heldForGang.put(job.spec().team(), job);
        if (nearLimit.isEmpty()) {
          return;
        }
      }
    }
  }

  private QuotaShare limit(String team) {
    Settings.Team settings = limitedTeams.get(team);
    return new QuotaShare(settings.cpusMax(), settings.gpusMax());
  }

  /** What a team has in use, with what this round has booked here. */
  private QuotaShare inUse(String team) {
    return tables.usage().of(team).plus(bookedThisRound.getOrDefault(team, QuotaShare.NONE));
  }

  /**
   * Whether a team's limit is saved up for this job now, and some of it is free already. While it
   * is held by others' long tasks the job is not about to start.
   */
  boolean isHeldFor(Job job) {
    QuotaShare requiredFree = demandOf(job.spec()).times(job.waitingCount() * MIN_FREE_FRACTION);
    String team = job.spec().team();
    return heldForGang.get(team) == job
        && covers(limitedTeams.get(team), limit(team).minus(inUse(team)), requiredFree);
  }

  /** Whether a job's task may start, and leaves what is saved up for another. */
  boolean allows(Job job) {
    Job heldJob = heldForGang.get(job.spec().team());
    if (heldJob != null && heldJob != job) {
      QuotaShare needed =
          demandOf(job.spec()).plus(demandOf(heldJob.spec()).times(heldJob.waitingCount()));
      String team = job.spec().team();
      if (!covers(limitedTeams.get(team), limit(team).minus(inUse(team)), needed)) {
        return false;
      }
    }
    return allows(job.spec());
  }

  boolean allows(JobSpec spec) {
    return allows(spec, 1);
  }

  boolean allows(JobSpec spec, int tasks) {
    Settings.Team team = limitedTeams.get(spec.team());
    return team == null || covers(team, remaining(spec.team(), node), demandOf(spec).times(tasks));
  }

  /** What each team's limit leaves beside what is in use: gangs are given it in their order. */
  final class Remainder {
    private final Map<String, QuotaShare> remainingByTeam = new HashMap<>();

    /** Takes what so many tasks need, if the limit leaves it. */
    boolean tryTake(JobSpec spec, int tasks) {
      Settings.Team team = limitedTeams.get(spec.team());
      if (team == null) {
        return true;
      }
      QuotaShare remaining =
          remainingByTeam.computeIfAbsent(
              spec.team(), k -> limit(spec.team()).minus(inUse(spec.team())));
      QuotaShare demand = demandOf(spec).times(tasks);
      if (!covers(team, remaining, demand)) {
        return false;
      }
      remainingByTeam.put(spec.team(), remaining.minus(demand));
      return true;
    }
  }

  private static boolean covers(Settings.Team team, QuotaShare remaining, QuotaShare demand) {
    return (team.cpusMax() == 0 || demand.cpus() <= remaining.cpus() + FreeCapacity.EPS)
        && (team.gpusMax() == 0 || demand.gpus() <= remaining.gpus() + FreeCapacity.EPS);
  }

  void book(JobSpec spec) {
    if (limitedTeams.containsKey(spec.team())) {
      bookedThisRound.merge(spec.team(), demandOf(spec), QuotaShare::plus);
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
      if (limitedTeams.containsKey(team) && heldForGang.getOrDefault(team, job) == job) {
        neededShares.merge(
            new TeamNode(team, view.placer(job.partition(), job.id())),
            demandOf(job.spec()).times(job.waitingCount()),
            QuotaShare::plus);
      }
    }
    for (String team : limitedTeams.keySet()) {
      Settings.Team settings = limitedTeams.get(team);
      for (String donor : donors(leader)) {
        boolean mayGive = donor.equals(node) || leader && !view.members().containsKey(donor);
        if (!mayGive) {
          continue;
        }
        QuotaShare spare =
            nonNegative(
                remaining(team, donor)
                    .minus(neededShares.getOrDefault(new TeamNode(team, donor), QuotaShare.NONE)));
        for (String recipient : recipients()) {
          // One outside the view needs what it is short of: a limit that was lowered left it less
          // than it had given away, and until it has that back the others may use too much.
          QuotaShare demand =
              neededShares.getOrDefault(new TeamNode(team, recipient), QuotaShare.NONE);
          if (recipient.equals(donor) || covers(settings, remaining(team, recipient), demand)) {
            continue;
          }
          QuotaShare deficit = nonNegative(demand.minus(remaining(team, recipient)));
          QuotaShare amount =
              new QuotaShare(
                  Math.min(spare.cpus(), deficit.cpus()), Math.min(spare.gpus(), deficit.gpus()));
          if (amount.cpus() > FreeCapacity.EPS || amount.gpus() > FreeCapacity.EPS) {
            return new Transfer(
                team,
                donor,
                recipient,
                withTransfer(team, donor, amount.times(-1)),
                withTransfer(team, recipient, amount));
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
  private Set<String> donors(boolean leader) {
    Set<String> donors = new LinkedHashSet<>(tables.partitions().keySet());
    if (leader && tables.isOpen(Gate.NUMBERS)) {
      donors.addAll(tables.registry().initialNames());
    }
    return donors;
  }

  /** Those that have a part, and the members, whose parts are not written with the view. */
  private Set<String> recipients() {
    Set<String> recipients = new LinkedHashSet<>(tables.partitions().keySet());
    recipients.addAll(tables.view().members().keySet());
    return recipients;
  }

  private Partition partitionOf(String owner) {
    Partition partition = tables.currentPartition(owner);
    return partition == null ? Partition.empty(0, tables.encoding()) : partition;
  }

  private Partition withTransfer(String team, String owner, QuotaShare amount) {
    Partition partition = partitionOf(owner);
    QuotaShare previous =
        partition.encoding() == Encoding.FIRST
            ? shareOf(team, owner)
            : partition.quotaShares().getOrDefault(team, QuotaShare.NONE);
    return partition.withQuotaShare(team, previous.plus(amount));
  }

  private static QuotaShare nonNegative(QuotaShare share) {
    return new QuotaShare(Math.max(0, share.cpus()), Math.max(0, share.gpus()));
  }
}
