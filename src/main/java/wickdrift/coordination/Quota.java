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
 * The teams' limits, divided into quota shares of the controllers. Every attempt counts against the
 * share of the node that placed it, identified by its durable number. The shares are stored in the
 * partition records, on which placements are conditional. They start equal among the nodes of the
 * initial list ({@link wickdrift.bookkeeping.level.NodeRegistry#initialNames}) and sum to the
 * limit; nodes that join later start with none. A node transfers spare share in one transaction
 * that rewrites both records. Therefore no interleaving of placements exceeds a limit, however
 * stale the nodes' tables are and however many controllers their settings name.
 */
final class Quota {
  /** A team and a node. */
  private record TeamNode(String team, String node) {}

  private final Map<String, Settings.Team> limitedTeams = new HashMap<>();

  /** Resources booked for this node in the current round, by team. */
  private final Map<String, QuotaShare> bookedThisRound = new HashMap<>();

  private final Map<TeamNode, QuotaShare> neededByNode = new HashMap<>();

  /** By team, the gang for which quota is held. */
  private final Map<String, Job> gangWithHeldQuota = new HashMap<>();

  /** Time for which a gang must have waited before quota is held for it. */
  private static final long HOLD_AFTER_WAIT_MS = 30_000;

  /**
   * Duration of a period of holding quota for a gang, and of the pause after it. It is below the
   * time for which a job may wait while there is free capacity, because the other jobs of the team
   * wait for the whole period.
   */
  private static final long HOLD_PERIOD_MS = 75_000;

  /**
   * Fraction of what a gang needs that must be free for machines to be reserved for it while its
   * quota is held.
   */
  private static final double MIN_FREE_FRACTION = 0.25;

  private final Tables tables;
  private final Settings settings;
  private final String node;

  Quota(Settings settings, Tables tables) {
    this.settings = settings;
    this.tables = tables;
    this.node = settings.node();
    for (Settings.Team t : settings.teams()) {
      if (t.maxCpus() > 0 || t.maxGpus() > 0) {
        limitedTeams.put(t.name(), t);
      }
    }
  }

  /** Returns the resources of one task. */
  private static QuotaShare demandOf(JobSpec spec) {
    return new QuotaShare(spec.cpus(), spec.gpus());
  }

  /**
   * Returns a node's quota share of a team's limit. In the first encoding a partition records the
   * share itself, in later ones its difference from the initial share; without a record the node
   * has its initial share.
   */
  private QuotaShare shareOf(String team, String owner) {
    Partition partition = tables.partition(owner);
    QuotaShare recorded = partition == null ? null : partition.quotaShares().get(team);
    QuotaShare initial = initialShare(tables.registry(), limitedTeams.get(team), owner);
    if (partition == null || partition.encoding() == Encoding.FIRST) {
      return recorded != null ? recorded : initial;
    }
    return recorded != null ? initial.plus(recorded) : initial;
  }

  /** Returns the quota share with which a node starts. */
  private static QuotaShare initialShare(NodeRegistry registry, Settings.Team team, String owner) {
    double initialNodeCount = registry.initialNames().size();
    return registry.initialNames().contains(owner)
        ? new QuotaShare(team.maxCpus() / initialNodeCount, team.maxGpus() / initialNodeCount)
        : QuotaShare.NONE;
  }

  /**
   * Returns a partition in {@link Encoding#NUMBERED}, which records the share of a node as the
   * difference from its initial share.
   */
  static Partition toNumberedEncoding(
      Partition partition, String owner, NodeRegistry registry, Settings settings) {
    Map<String, QuotaShare> differences = new LinkedHashMap<>();
    for (Settings.Team team : settings.teams()) {
      QuotaShare share = partition.quotaShares().get(team.name());
      if (share != null && (team.maxCpus() > 0 || team.maxGpus() > 0)) {
        differences.put(team.name(), share.minus(initialShare(registry, team, owner)));
      }
    }
    return partition.inEncoding(Encoding.NUMBERED, differences);
  }

  /**
   * Returns the unused remainder of a node's share, after this node's bookings of the current
   * round.
   */
  private QuotaShare remaining(String team, String owner) {
    QuotaShare remaining =
        shareOf(team, owner)
            .minus(tables.usage().placedBy(team, tables.registry().numberOf(owner)));
    return owner.equals(node)
        ? remaining.minus(bookedThisRound.getOrDefault(team, QuotaShare.NONE))
        : remaining;
  }

  /**
   * Holds quota for gangs. A gang starts atomically, so a team whose limit is always used up by
   * small tasks would never start it: each small task that starts uses what another has released.
   * Therefore quota is held for the first gang in service order that has waited long enough, and
   * the other jobs of the team start only what leaves enough quota for it. Periods of holding
   * alternate with pauses of the same length, so that a gang that cannot start for other reasons
   * does not block the other jobs forever. All controllers derive the same decision from the
   * tables.
   *
   * @param waiting the waiting jobs in service order
   * @param wallMs the wall-clock time
   */
  void holdQuotaForGangs(Iterable<Job> waiting, long wallMs) {
    Set<String> nearLimit = new HashSet<>();
    for (String team : limitedTeams.keySet()) {
      // A team with at least half of its limit free needs no holding.
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
        gangWithHeldQuota.put(job.spec().team(), job);
        if (nearLimit.isEmpty()) {
          return;
        }
      }
    }
  }

  /** Returns a team's limit. */
  private QuotaShare limit(String team) {
    Settings.Team teamSettings = limitedTeams.get(team);
    return new QuotaShare(teamSettings.maxCpus(), teamSettings.maxGpus());
  }

  /**
   * Returns the resources in use by a team, including this node's bookings of the current round.
   */
  private QuotaShare inUse(String team) {
    return tables.usage().of(team).plus(bookedThisRound.getOrDefault(team, QuotaShare.NONE));
  }

  /**
   * Whether quota of the job's team is held for this job and part of what it needs is already free.
   * While long tasks of other jobs use that quota, the job is not about to start.
   */
  boolean isHeldFor(Job job) {
    QuotaShare requiredFree = demandOf(job.spec()).times(job.waitingCount() * MIN_FREE_FRACTION);
    String team = job.spec().team();
    return gangWithHeldQuota.get(team) == job
        && covers(limitedTeams.get(team), limit(team).minus(inUse(team)), requiredFree);
  }

  /** Whether one task of the job may start without using quota that is held for another job. */
  boolean allows(Job job) {
    Job heldJob = gangWithHeldQuota.get(job.spec().team());
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

  /** Whether this node's share covers one task. */
  boolean allows(JobSpec spec) {
    return allows(spec, 1);
  }

  /** Whether this node's share covers that many tasks; always true for a team without a limit. */
  boolean allows(JobSpec spec, int tasks) {
    Settings.Team team = limitedTeams.get(spec.team());
    return team == null || covers(team, remaining(spec.team(), node), demandOf(spec).times(tasks));
  }

  /** The unused remainder of each team's limit, allocated to gangs in service order. */
  final class Remainder {
    private final Map<String, QuotaShare> remainingByTeam = new HashMap<>();

    /** Allocates the demand of that many tasks if the remaining limit covers it. */
    boolean tryAllocate(JobSpec spec, int tasks) {
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

  /**
   * Whether the remaining share covers the demand; a limit of 0 means that the resource is not
   * limited.
   */
  private static boolean covers(Settings.Team team, QuotaShare remaining, QuotaShare demand) {
    return (team.maxCpus() == 0 || demand.cpus() <= remaining.cpus() + FreeCapacity.EPS)
        && (team.maxGpus() == 0 || demand.gpus() <= remaining.gpus() + FreeCapacity.EPS);
  }

  /** Counts one task against this node's share for the current round. */
  void book(JobSpec spec) {
    if (limitedTeams.containsKey(spec.team())) {
      bookedThisRound.merge(spec.team(), demandOf(spec), QuotaShare::plus);
    }
  }

  // ---- quota transfers ----

  /** A transfer of quota share between two nodes, with the partitions as changed by it. */
  record Transfer(
      String team,
      String donor,
      String recipient,
      Partition donorPartition,
      Partition recipientPartition) {}

  /**
   * Returns the transfer that this node should make, or null: spare share goes to a node whose
   * waiting jobs lack it. The leader also transfers on behalf of nodes outside the view, which
   * cannot place any more.
   */
  Transfer proposeTransfer(boolean leader, Iterable<Job> waiting) {
    var view = tables.view();
    for (Job job : waiting) {
      String team = job.spec().team();
      // While quota is held for a gang, the other jobs of the team may not start and need no share.
      if (limitedTeams.containsKey(team) && gangWithHeldQuota.getOrDefault(team, job) == job) {
        neededByNode.merge(
            new TeamNode(team, view.placingNode(job.partition(), job.id())),
            demandOf(job.spec()).times(job.waitingCount()),
            QuotaShare::plus);
      }
    }
    for (String team : limitedTeams.keySet()) {
      Settings.Team teamSettings = limitedTeams.get(team);
      for (String donor : donors(leader)) {
        boolean mayGive = donor.equals(node) || leader && !view.members().containsKey(donor);
        if (!mayGive) {
          continue;
        }
        QuotaShare spare =
            nonNegative(
                remaining(team, donor)
                    .minus(neededByNode.getOrDefault(new TeamNode(team, donor), QuotaShare.NONE)));
        for (String recipient : recipients()) {
          // A node outside the view may have a deficit: after a limit was lowered, it may have less
          // than it had transferred away, and until the deficit is covered the other nodes could
          // exceed the limit.
          QuotaShare demand =
              neededByNode.getOrDefault(new TeamNode(team, recipient), QuotaShare.NONE);
          if (recipient.equals(donor) || covers(teamSettings, remaining(team, recipient), demand)) {
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
   * Returns the nodes whose share may be transferred: those that have a partition. For the leader,
   * once the gate for node numbers is open, also the nodes of the initial list that never had one,
   * so that their initial shares are not lost.
   */
  private Set<String> donors(boolean leader) {
    Set<String> donors = new LinkedHashSet<>(tables.partitions().keySet());
    if (leader && tables.isOpen(Gate.NUMBERS)) {
      donors.addAll(tables.registry().initialNames());
    }
    return donors;
  }

  /**
   * Returns the nodes that may receive share: those that have a partition, and the members of the
   * view, whose partitions are not written together with the view.
   */
  private Set<String> recipients() {
    Set<String> recipients = new LinkedHashSet<>(tables.partitions().keySet());
    recipients.addAll(tables.view().members().keySet());
    return recipients;
  }

  /** Returns a node's partition, or an empty one if it has none. */
  private Partition partitionOf(String owner) {
    Partition partition = tables.currentPartition(owner);
    return partition == null ? Partition.empty(0, tables.encoding()) : partition;
  }

  /** Returns a node's partition with its share of a team changed by an amount. */
  private Partition withTransfer(String team, String owner, QuotaShare amount) {
    Partition partition = partitionOf(owner);
    QuotaShare previous =
        partition.encoding() == Encoding.FIRST
            ? shareOf(team, owner)
            : partition.quotaShares().getOrDefault(team, QuotaShare.NONE);
    return partition.withQuotaShare(team, previous.plus(amount));
  }

  /** Replaces negative amounts by 0. */
  private static QuotaShare nonNegative(QuotaShare share) {
    return new QuotaShare(Math.max(0, share.cpus()), Math.max(0, share.gpus()));
  }
}
