package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/** Assigns waiting tasks to machines, or hands their job over to another partition. */
final class TaskPlacer {
  private static final Logger LOG = LoggerFactory.getLogger(TaskPlacer.class);
  private static final int MAX_TASKS_PER_JOB_PER_ROUND = 256;

  /**
   * Limits the work of a scheduling round; the next round continues from the state that this one
   * leaves.
   */
  private static final int MAX_JOBS_TRIED_PER_ROUND = 64;

  /** A round ends after this many jobs that fit on machines but not into the transaction. */
  private static final int MAX_DEFERRED_JOBS_PER_ROUND = 8;

  /**
   * Minimum interval between transactions that claim machines of several partitions with one
   * record.
   */
  private static final long CLAIM_INTERVAL_MS = 250;

  /** One condition on the owner's partition record and two that its log has not advanced. */
  private static final int CONDITIONS_PER_OWNER = 3;

  /**
   * A blocked job is tried again when free capacity grows, or after this interval, because an image
   * fetch may have completed.
   */
  static final long BLOCKED_RETRY_INTERVAL_MS = 500;

  /**
   * Machines of a zone that can hold a task are counted up to this multiple of the waiting tasks.
   */
  private static final int ZONE_COUNT_FACTOR = 4;

  private static final long MAX_STAGE_DELAY_MS = 3_600_000;

  private final Timers timers;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final CapacityIndex capacityIndex;
  private final Reservations reservations;
  private final VictimSelection victimSelection;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private final Set<String> controllerZones;
  private final BooleanSupplier leaderSettled;
  private long placedTasks;
  private long handoversDeferred;

  /**
   * Delays from the completion of the last awaited job to the first placement of the job awaiting
   * it.
   */
  private final Histogram stageDelays = new Histogram(MAX_STAGE_DELAY_MS, 2);

  /**
   * Whether the current job was left out because the transaction has no space for its writes,
   * although there is free capacity.
   */
  private boolean transactionFull;

  /** Time of the last transaction that claimed machines of several partitions with one record. */
  private long lastSharedClaimMs = Long.MIN_VALUE / 2;

  /** Whether this round may claim machines of several partitions with one record. */
  private boolean usesSharedClaim;

  /**
   * Milliseconds until the leader's jobs that this round postponed may be placed; 0 if none was
   * postponed.
   */
  private long postponedForMs;

  TaskPlacer(
      Timers timers,
      Tables tables,
      SchedulingState scheduling,
      MachineTypes types,
      Tuning tuning,
      Settings settings,
      StateServiceLimits limits,
      BooleanSupplier leaderSettled) {
    this.timers = timers;
    this.tables = tables;
    this.scheduling = scheduling;
    this.capacityIndex = scheduling.capacityIndex();
    this.reservations = new Reservations(tables, scheduling, types, tuning, limits);
    this.victimSelection =
        new VictimSelection(capacityIndex, types, reservations, tuning, settings);
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
    this.controllerZones = settings.controllerZones();
    this.leaderSettled = leaderSettled;
  }

  /**
   * Drops all reservations: they belong to one view, and a new view rewrites the partition records.
   */
  void onNewView() {
    reservations.clear();
  }

  /**
   * Returns the milliseconds until the postponed jobs may be placed, or 0 if none was postponed.
   */
  long postponedForMs() {
    return postponedForMs;
  }

  /**
   * Returns a percentile of the delays, in milliseconds, from the completion of the last awaited
   * job to the first placement of the job awaiting it; 0 if there was none. The two times may come
   * from the wall clocks of two controllers, which differ slightly.
   */
  double stageDelayMs(double percentile) {
    return stageDelays.getValueAtPercentile(percentile);
  }

  /** Returns how often a handover was left to a later transaction, for lack of room in this one. */
  long handoversDeferred() {
    return handoversDeferred;
  }

  /** Returns the number of tasks placed so far, including those of transactions that failed. */
  long placedTasks() {
    return placedTasks;
  }

  /**
   * Adds placements of waiting tasks to the transaction, in service order, together with handovers,
   * preemptions and, on the leader, reservations.
   */
  void placeWaitingTasks(TransactionBuilder transaction) {
    View view = tables.view();
    Partition ownPartition = tables.currentPartition(node);
    if (ownPartition == null
        || ownPartition.epoch() != view.epoch()
        || !tables.unfencedPartitions().isEmpty()) {
      return;
    }
    boolean leader = node.equals(view.leader());
    long now = timers.nowMs();
    usesSharedClaim = tables.isOpen(Gate.TAKES);
    postponedForMs = 0;
    capacityIndex.beginRound(now);
    Quota quota = new Quota(settings, tables);
    quota.holdQuotaForGangs(scheduling.queue().waiting(), timers.wallMs());
    boolean anyPlaced = false;
    Set<String> claimedOwners = new HashSet<>();
    List<JobSpec> unplaceableHere = new ArrayList<>();
    List<JobSpec> unplaceableAnywhere = new ArrayList<>();
    int triedJobs = 0;
    victimSelection.beginRound();
    capacityIndex.setPreferredOwners(owner -> owner.equals(node) || claimedOwners.contains(owner));
    int deferredJobs = 0;
    for (Job job : scheduling.queue().waiting()) {
      if (!transaction.canAddConditions()
          || !transaction.fitsInPage(job, 1)
          || triedJobs >= MAX_JOBS_TRIED_PER_ROUND) {
        break;
      }
      if (!node.equals(view.placingNode(job.partition(), job.id()))
          || job.partition().equals(Job.LEADER_PARTITION) && !leaderSettled.getAsBoolean()) {
        continue;
      }
      if (job.retryAtMs() > now) {
        job.resetWaiting();
        continue;
      }
      if (job.stillBlocked(capacityIndex.growthVersion(), now)) {
        continue;
      }
      boolean asLeader = leader && job.partition().equals(Job.LEADER_PARTITION);
      if (asLeader && usesSharedClaim && now - lastSharedClaimMs < CLAIM_INTERVAL_MS) {
        // Skips a costly search whose result could not be used before the claim interval ends.
        postponedForMs = lastSharedClaimMs + CLAIM_INTERVAL_MS - now;
        continue;
      }
      if (!asLeader && !claimedOwners.isEmpty()) {
        // A transaction that claims machines of other partitions fails if their owners have written
        // since. Placements in this node's own partition must not fail with it.
        continue;
      }
      List<JobSpec> failed = asLeader ? unplaceableAnywhere : unplaceableHere;
      int liveBefore = transaction.liveTaskCount(job);
      // Reserved machines are not in the capacity index, so the failure of another job says nothing
      // about a gang that holds reservations.
      boolean hopeless =
          reservations.machinesOf(job).isEmpty()
              && failed.stream().anyMatch(f -> needsAtLeast(job.spec(), f));
      // The leader sees all partitions and can place the job at once where its image is.
      if (!asLeader
          && hasCapacityWithImageElsewhere(job)
          && transaction.tryMoveToPartition(job, Job.LEADER_PARTITION)) {
        continue;
      }
      transactionFull = false;
      if (!hopeless) {
        triedJobs++;
        if (job.spec().shape() == JobSpec.Shape.GANG) {
          placeGang(transaction, job, quota, view, claimedOwners);
        } else {
          placeTasks(transaction, job, asLeader, quota, view, claimedOwners, failed);
        }
      }
      if (transaction.liveTaskCount(job) > liveBefore) {
        anyPlaced = true;
        if (liveBefore == 0 && job.doneCount() == 0 && !job.awaits().isEmpty()) {
          stageDelays.recordValue(
              Math.max(0, Math.min(MAX_STAGE_DELAY_MS, timers.wallMs() - job.readyWallMs())));
        }
        transaction.addCondition(job.key(), job.stamp());
        job.resetWaiting();
        if (job.isSuspected()) {
          job.scheduleNextProbe(now);
        }
        continue;
      }
      if (transactionFull) {
        // There is free capacity, so the job is not blocked and nothing is preempted for it.
        if (!tables.isOpen(Gate.TAKES)) {
          transaction.requestMaxWrites();
        }
        if (++deferredJobs >= MAX_DEFERRED_JOBS_PER_ROUND) {
          break;
        }
        continue;
      }
      job.setBlocked(capacityIndex.growthVersion(), now + BLOCKED_RETRY_INTERVAL_MS);
      if (transaction.canAddWrites()) {
        victimSelection.preemptFor(transaction, job, asLeader, quota, now);
        if (!asLeader && shouldHandOver(transaction, job, now)) {
          handOver(transaction, job, now);
        }
      }
    }
    if (leader && leaderSettled.getAsBoolean()) {
      reservations.update(transaction, quota, view, now);
    }
    if (transaction.changesKey(Tables.CLAIMS_KEY)) {
      lastSharedClaimMs = now;
    }
    if (anyPlaced) {
      addPlacementConditions(transaction, ownPartition, leader);
    }
  }

  /** Adds the conditions that any placement of this node requires, besides those on its job. */
  private void addPlacementConditions(
      TransactionBuilder transaction, Partition ownPartition, boolean leader) {
    transaction.requireCurrentView();
    if (!transaction.changesKey(Partition.key(node))) {
      transaction.addCondition(Partition.key(node), ownPartition.stamp());
    }
    if (!leader && tables.isOpen(Gate.TAKES)) {
      // The leader may have claimed machines of this node together with those of others.
      transaction.addCondition(Tables.CLAIMS_KEY, tables.claimsStamp());
    }
  }

  /**
   * Whether a service would have to fetch its image in this node's partition while the other
   * partitions have enough free capacity on machines with the image.
   */
  private boolean hasCapacityWithImageElsewhere(Job job) {
    JobSpec spec = job.spec();
    if (spec.shape() != JobSpec.Shape.SERVICE
        || capacityIndex.taskCapacityWithImage(spec, node, job.waitingCount())
            >= job.waitingCount()) {
      return false;
    }
    int tasksElsewhere = 0;
    for (String member : tables.view().members().keySet()) {
      tasksElsewhere +=
          member.equals(node)
              ? 0
              : capacityIndex.taskCapacityWithImage(spec, member, job.waitingCount());
    }
    return tasksElsewhere >= job.waitingCount();
  }

  /**
   * Whether a job needs at least what another job needs that found no free capacity, so that it
   * cannot be placed either.
   */
  private static boolean needsAtLeast(JobSpec spec, JobSpec failed) {
    return spec.cpus() >= failed.cpus()
        && spec.gpus() >= failed.gpus()
        && spec.memoryGb() >= failed.memoryGb()
        && spec.image().equals(failed.image())
        && (failed.spot() || !spec.spot())
        && (failed.zone() == null || failed.zone().equals(spec.zone()))
        && (failed.types() == null || failed.types().equals(spec.types()));
  }

  /**
   * Returns a filter for the machines that a job may use: all of them for the leader's jobs, else
   * those of the node's own partition.
   */
  static Predicate<CapacityIndex.MachineGroup> eligibleGroups(String node, boolean asLeader) {
    return asLeader ? group -> true : group -> group.owner.equals(node);
  }

  /**
   * Whether the job has waited long enough in a partition without free capacity for it while
   * another partition has some; the leader, which sees all partitions, then takes the job over.
   * Free capacity in a zone that may hold no more tasks of the job does not count: a partition may
   * have lost the machines of other zones since the job was routed to it.
   */
  private boolean shouldHandOver(TransactionBuilder transaction, Job job, long now) {
    if (now - job.waitingSinceMs(now) < tuning.handoverDelayMs()) {
      return false;
    }
    Map<String, Integer> liveByZone = liveTasksByZone(transaction, job);
    Predicate<CapacityIndex.MachineGroup> allowed =
        group -> zoneAllows(job.spec(), liveByZone, group.zone);
    return !capacityIndex.fitsAnywhere(job.spec(), eligibleGroups(node, false).and(allowed))
        && capacityIndex.fitsAnywhere(job.spec(), eligibleGroups(node, true).and(allowed));
  }

  /** Hands the job over to the leader, now or with the next transaction that has room for it. */
  private void handOver(TransactionBuilder transaction, Job job, long now) {
    if (!transaction.tryMoveToPartition(job, Job.LEADER_PARTITION)) {
      handoversDeferred++;
      job.setBlocked(capacityIndex.growthVersion(), now);
    }
  }

  /**
   * Counts the job's live attempts by zone, in the durable state as changed by the transaction
   * under construction.
   */
  static Map<String, Integer> liveTasksByZone(TransactionBuilder transaction, Job job) {
    Map<String, Integer> liveByZone = new HashMap<>();
    if (!job.spec().oneZone() && !job.spec().spread() || transaction.liveTaskCount(job) == 0) {
      return liveByZone;
    }
    for (int i = 0; i < job.taskCount(); i++) {
      TaskState state = transaction.taskState(job, i);
      if (state.isLive()) {
        Machine.Info info = state.machine().info();
        // A machine without a record may be in any zone; the "?" entry blocks a one-zone job.
        liveByZone.merge(info == null ? "?" : info.zone(), 1, Integer::sum);
      }
    }
    return liveByZone;
  }

  /** Whether one more task in the zone satisfies the job's one-zone or spread constraint. */
  static boolean zoneAllows(JobSpec spec, Map<String, Integer> liveByZone, String zone) {
    int unknown = liveByZone.getOrDefault("?", 0);
    if (spec.oneZone()
        && !liveByZone.isEmpty()
        && !(liveByZone.size() == 1 && liveByZone.containsKey(zone))) {
      return false;
    }
    return !spec.spread() || liveByZone.getOrDefault(zone, 0) + unknown < spec.maxTasksPerZone();
  }

  /** Places as many waiting tasks of the job as possible, one by one. */
  private void placeTasks(
      TransactionBuilder transaction,
      Job job,
      boolean asLeader,
      Quota quota,
      View view,
      Set<String> claimedOwners,
      List<JobSpec> failed) {
    JobSpec spec = job.spec();
    Map<String, Integer> liveByZone = liveTasksByZone(transaction, job);
    Predicate<CapacityIndex.MachineGroup> eligible = eligibleGroups(node, asLeader);
    int placed = 0;
    // One task is enough to find out whether a suspected job still fails.
    int maxTasks = job.isSuspected() ? 1 : MAX_TASKS_PER_JOB_PER_ROUND;
    for (int i = job.nextWaiting(0); i >= 0 && placed < maxTasks; i = job.nextWaiting(i + 1)) {
      if (transaction.taskState(job, i).phase() != TaskState.Phase.WAITING) {
        continue;
      }
      if (!transaction.fitsInPage(job, 1) || !quota.allows(job)) {
        return;
      }
      FreeCapacity capacity =
          chooseMachine(
              spec, group -> eligible.test(group) && zoneAllows(spec, liveByZone, group.zone));
      if (capacity == null && liveByZone.isEmpty()) {
        failed.add(spec);
      }
      if (capacity == null || !claim(transaction, capacity, view, claimedOwners)) {
        return;
      }
      place(transaction, job, i, transaction.taskState(job, i).attempt() + 1, capacity, quota);
      liveByZone.merge(capacity.machine().info().zone(), 1, Integer::sum);
      placed++;
    }
  }

  /**
   * Chooses a machine for one task. Service replicas prefer zones that have a controller: if a zone
   * without one is cut off, nothing renews its workers' leases and all its tasks end. A machine
   * that already has the image takes precedence over that preference.
   */
  private FreeCapacity chooseMachine(JobSpec spec, Predicate<CapacityIndex.MachineGroup> allowed) {
    if (spec.shape() != JobSpec.Shape.SERVICE) {
      return capacityIndex.choose(spec, allowed);
    }
    FreeCapacity inControllerZone =
        capacityIndex.choose(spec, allowed.and(group -> controllerZones.contains(group.zone)));
    if (inControllerZone != null && inControllerZone.hasImage(spec)) {
      return inControllerZone;
    }
    FreeCapacity anywhere = capacityIndex.choose(spec, allowed);
    return inControllerZone == null || anywhere != null && anywhere.hasImage(spec)
        ? anywhere
        : inControllerZone;
  }

  /** Adds one task's placement to the transaction and books its resources and quota. */
  private void place(
      TransactionBuilder transaction,
      Job job,
      int index,
      int attempt,
      FreeCapacity capacity,
      Quota quota) {
    LOG.debug(
        "placing task: class={}, task={}/{}, machine={}, load={}, hasImage={}, ageMs={}",
        job.spec().jobClass(),
        job.id(),
        index,
        capacity.machine().name(),
        capacity.load(),
        capacity.hasImage(job.spec()),
        timers.wallMs() - job.acceptedWallMs());
    placedTasks++;
    capacityIndex.book(capacity, job.spec());
    quota.book(job.spec());
    transaction.changeTask(
        job, index, t -> t.placed(attempt, capacity.machine(), transaction.nodeNumber()));
  }

  /**
   * Claims a machine for the transaction. The leader claims a machine of another node's partition
   * by rewriting that partition's record, and returns it in the same transaction: from then on the
   * owner sees the booking itself.
   */
  private boolean claim(
      TransactionBuilder transaction, FreeCapacity capacity, View view, Set<String> claimedOwners) {
    String owner = capacity.machine().owner(view);
    if (owner.equals(node) || claimedOwners.contains(owner)) {
      return true;
    }
    Partition partition = tables.currentPartition(owner);
    if (partition == null) {
      return false;
    }
    if (!transaction.canAddWrites(writesToClaim(1, claimedOwners))
        || !transaction.fitsBytes(claimBytes(Set.of(owner), claimedOwners))
        || !transaction.canAddConditions()) {
      transactionFull = true;
      return false;
    }
    if (!usesSharedClaim || claimedOwners.isEmpty()) {
      transaction.write(Partition.key(owner), partition.toStore(), partition.stamp());
    } else if (claimedOwners.size() == 1) {
      // A single shared record replaces the writes for all owners. It conflicts with any concurrent
      // write of any owner, so it is not used for a single owner and is rate-limited; the jobs of
      // the leader wait for the interval.
      transaction.removeWrite(Partition.key(claimedOwners.iterator().next()));
      transaction.write(Tables.CLAIMS_KEY, Map.of("epoch", view.epoch()), tables.claimsStamp());
    }
    // The owner's placements do not change its partition record. Those not yet received are in its
    // log: if it has written since, the capacity may no longer be free.
    transaction.requireUnchangedLog(owner);
    claimedOwners.add(owner);
    return true;
  }

  /** Returns the number of writes needed to claim machines of that many more owners. */
  private int writesToClaim(int newOwners, Set<String> claimedOwners) {
    return !usesSharedClaim ? newOwners : newOwners > 0 && claimedOwners.isEmpty() ? 1 : 0;
  }

  /** Returns an upper bound of the size of the partition records written to claim machines. */
  private int claimBytes(Set<String> newOwners, Set<String> claimedOwners) {
    if (usesSharedClaim && !claimedOwners.isEmpty()) {
      return 0;
    }
    int bytes = 0;
    for (String owner : newOwners) {
      Partition partition = tables.currentPartition(owner);
      bytes += partition == null ? 0 : MessageCodec.jsonSize(partition.toStore());
    }
    return bytes;
  }

  /** Places a gang atomically: either every member gets a machine, or none is placed. */
  private void placeGang(
      TransactionBuilder transaction, Job job, Quota quota, View view, Set<String> claimedOwners) {
    JobSpec spec = job.spec();
    if (transaction.liveTaskCount(job) > 0
        || transaction.doneTaskCount(job) > 0 && job.waitingCount() == 0) {
      return;
    }
    // Includes the changes of this transaction: members whose exits it records are waiting again.
    int waiting = 0;
    int attempt = 0;
    for (int i = 0; i < job.taskCount(); i++) {
      attempt = Math.max(attempt, transaction.taskState(job, i).attempt());
      waiting += transaction.taskState(job, i).phase() == TaskState.Phase.WAITING ? 1 : 0;
    }
    if (!quota.allows(spec, waiting)) {
      return;
    }
    if (!transaction.fitsWholeGang(job, waiting, 0)) {
      // The gang does not fit into the transaction, which is known before the search for machines.
      transactionFull = true;
      return;
    }
    reservations.exposeMachinesOf(job);
    // Two gangs may have reserved the same machine. Exposing it again resets its free capacity to
    // the durable state, so what this transaction has placed there is booked again; otherwise the
    // second gang would get the same capacity.
    for (Machine reserved : reservations.machinesOf(job)) {
      FreeCapacity capacity = capacityIndex.find(reserved);
      if (capacity != null && tables.isReserved(reserved)) {
        transaction.placementsOn(reserved).forEach(s -> capacityIndex.book(capacity, s));
      }
    }
    List<FreeCapacity> machines = chooseGangMachines(job, waiting);
    if (machines != null) {
      // The writes for the whole gang are counted before any of them is added to the transaction.
      Set<String> owners = new HashSet<>();
      machines.forEach(capacity -> owners.add(capacity.machine().owner(view)));
      owners.remove(node);
      owners.removeAll(claimedOwners);
      int writes = writesToClaim(owners.size(), claimedOwners);
      if (!transaction.fitsWholeGang(job, waiting, writes)
          || !transaction.canAddWrites(writes)
          || !transaction.fitsBytes(claimBytes(owners, claimedOwners))
          || !transaction.canAddConditions(CONDITIONS_PER_OWNER * owners.size() + 4)) {
        transactionFull = true;
        machines = null;
      }
    }
    for (int n = 0; machines != null && n < machines.size(); n++) {
      if (!claim(transaction, machines.get(n), view, claimedOwners)) {
        machines = null;
      }
    }
    if (machines != null) {
      int next = 0;
      for (int i = 0; i < job.taskCount(); i++) {
        if (transaction.taskState(job, i).phase() == TaskState.Phase.WAITING) {
          place(transaction, job, i, attempt + 1, machines.get(next++), quota);
        }
      }
    }
    reservations.hideMachinesOf(job);
  }

  /** Returns machines for all waiting members, or null; no booking remains. */
  private List<FreeCapacity> chooseGangMachines(Job job, int waiting) {
    JobSpec spec = job.spec();
    List<String> candidateZones = new ArrayList<>();
    if (spec.oneZone()) {
      // Zones with a controller come first, then those with the most free capacity.
      Map<String, Integer> fittingByZone = new HashMap<>();
      for (String candidateZone : capacityIndex.zones()) {
        fittingByZone.put(
            candidateZone,
            capacityIndex.countFitting(
                spec, group -> group.zone.equals(candidateZone), ZONE_COUNT_FACTOR * waiting));
        boolean fits =
            fittingByZone.get(candidateZone) >= waiting
                || capacityIndex.fitsAll(spec, group -> group.zone.equals(candidateZone), waiting);
        if (fits) {
          candidateZones.add(candidateZone);
        }
      }
      candidateZones.sort(
          Comparator.comparing((String candidateZone) -> !controllerZones.contains(candidateZone))
              .thenComparingInt(candidateZone -> -fittingByZone.get(candidateZone)));
    } else {
      candidateZones.add(null);
    }
    for (String zone : candidateZones) {
      List<FreeCapacity> chosen = new ArrayList<>();
      List<FreeCapacity.Bookings> saved = new ArrayList<>();
      Map<String, Integer> tasksByZone = new HashMap<>();
      for (int n = 0; n < waiting; n++) {
        FreeCapacity capacity =
            capacityIndex.choose(
                spec,
                group ->
                    (zone == null || zone.equals(group.zone))
                        && zoneAllows(spec, tasksByZone, group.zone));
        if (capacity == null) {
          break;
        }
        saved.add(capacity.save());
        capacityIndex.book(capacity, spec);
        tasksByZone.merge(capacity.machine().info().zone(), 1, Integer::sum);
        chosen.add(capacity);
      }
      for (int n = chosen.size() - 1; n >= 0; n--) {
        capacityIndex.restore(chosen.get(n), saved.get(n));
      }
      if (chosen.size() == waiting) {
        return chosen;
      }
    }
    return null;
  }
}
