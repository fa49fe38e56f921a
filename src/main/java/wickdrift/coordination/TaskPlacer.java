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
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/** Decides which waiting tasks go where, or to which part their job is handed. */
final class TaskPlacer {
  private static final Logger LOG = LoggerFactory.getLogger(TaskPlacer.class);
  private static final int MAX_TASKS_PER_JOB_PER_ROUND = 256;

  /** So many jobs are tried a round; the next round goes on from what that has changed. */
  private static final int MAX_JOBS_TRIED_PER_ROUND = 64;

  /** So many that find room, but no writes left for it, end a round. */
  private static final int MAX_DEFERRED_JOBS_PER_ROUND = 8;

  /** Machines of several parts are taken together no more often than this. */
  private static final long CLAIM_INTERVAL_MS = 250;

  /** The part's record, and two that say that its log stands. */
  private static final int CONDITIONS_PER_OWNER = 3;

  /**
   * A job that found no room looks again when there is more, or after this: a fetch may be over.
   */
  static final long BLOCKED_RETRY_INTERVAL_MS = 500;

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
  private final BooleanSupplier leadSettled;
  private long placedTasks;

  /** From the end of the last job that one awaited to the first placement of its own. */
  private final Histogram stageDelays = new Histogram(MAX_STAGE_DELAY_MS, 2);

  /** Set when the job at hand was left out for lack of writes, not of room. */
  private boolean transactionFull;

  /** When several parts' machines were last taken with one record. */
  private long lastSharedClaimMs = Long.MIN_VALUE / 2;

  /** Whether this round may do so. */
  private boolean usesSharedClaim;

  /** After how long the leader's jobs that this round passed over may be placed; 0: none was. */
  private long postponedForMs;

  TaskPlacer(
      Timers timers,
      Tables tables,
      SchedulingState scheduling,
      Types types,
      Tuning tuning,
      Settings settings,
      StateServiceLimits limits,
      BooleanSupplier leadSettled) {
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
    this.leadSettled = leadSettled;
  }

  /** Marks are of one view: the part records were written anew. */
  void onNewView() {
    reservations.clear();
  }

  /** Milliseconds until what was passed over may be placed, or 0. */
  long postponedForMs() {
    return postponedForMs;
  }

  /**
   * Milliseconds from a stage's last end to the next one's first placement, by percentile; 0 if
   * there was none. By the time of day of two controllers, which differ a little.
   */
  double stageDelayMs(double percentile) {
    return stageDelays.getValueAtPercentile(percentile);
  }

  /** Tasks placed so far, those of transactions that failed too. */
  long placedTasks() {
    return placedTasks;
  }

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
      if (!node.equals(view.placer(job.partition(), job.id()))
          || job.partition().equals(Job.LEADER_PARTITION) && !leadSettled.getAsBoolean()) {
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
        // Looked for a place only when it can be taken: each look costs, and would be for nothing.
        postponedForMs = lastSharedClaimMs + CLAIM_INTERVAL_MS - now;
        continue;
      }
      if (!asLeader && !claimedOwners.isEmpty()) {
        // Others may have written meanwhile: what is in our own part is not to fail with that.
        continue;
      }
      List<JobSpec> failed = asLeader ? unplaceableAnywhere : unplaceableHere;
      int liveBefore = transaction.liveTaskCount(job);
      // A gang that has marked machines has room that nobody else saw.
      boolean hopeless =
          reservations.machinesOf(job).isEmpty()
              && failed.stream().anyMatch(f -> needsAtLeast(job.spec(), f));
      if (!asLeader && transaction.canAddWrites() && hasCapacityWithImageElsewhere(job)) {
        // The leader, who sees all parts, places it beside the image at once.
        transaction.moveToPartition(job, Job.LEADER_PARTITION);
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
        // There is room: it is not blocked, and nothing is stopped for it.
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
        if (!asLeader && transaction.canAddWrites() && shouldHandOver(transaction, job, now)) {
          transaction.moveToPartition(job, Job.LEADER_PARTITION);
        }
      }
    }
    if (leader && leadSettled.getAsBoolean()) {
      reservations.update(transaction, quota, view, now);
    }
    if (transaction.touches(Tables.CLAIMS_KEY)) {
      lastSharedClaimMs = now;
    }
    if (anyPlaced) {
      transaction.requireCurrentView();
      if (!transaction.touches(Partition.key(node))) {
        transaction.addCondition(Partition.key(node), ownPartition.stamp());
      }
    }
    if (anyPlaced && !leader && tables.isOpen(Gate.TAKES)) {
      // The leader may have taken machines of ours with those of others.
      transaction.addCondition(Tables.CLAIMS_KEY, tables.claimsStamp());
    }
  }

  /**
   * Whether a service would have to fetch its image here, while another part has room beside it.
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

  /** Whether there is no room for it either, given that there was none for the other. */
  private static boolean needsAtLeast(JobSpec spec, JobSpec failed) {
    return spec.cpus() >= failed.cpus()
        && spec.gpus() >= failed.gpus()
        && spec.memoryGb() >= failed.memoryGb()
        && spec.image().equals(failed.image())
        && (failed.spot() || !spec.spot())
        && (failed.zone() == null || failed.zone().equals(spec.zone()))
        && (failed.types() == null || failed.types().equals(spec.types()));
  }

  static Predicate<CapacityIndex.MachineGroup> eligibleGroups(String node, boolean asLeader) {
    return asLeader ? c -> true : c -> c.owner.equals(node);
  }

  /**
   * A job waits in a part that has no room for it while another has: the leader, who sees all,
   * takes it. Room in a zone where no more of it may be is none: a part may have lost the machines
   * of other zones since the job came to it.
   */
  private boolean shouldHandOver(TransactionBuilder transaction, Job job, long now) {
    if (now - job.waitingSinceMs(now) < tuning.handoverMs()) {
      return false;
    }
    Map<String, Integer> liveByZone = liveTasksByZone(transaction, job);
    Predicate<CapacityIndex.MachineGroup> allowed = c -> zoneAllows(job.spec(), liveByZone, c.zone);
    return !capacityIndex.fitsAnywhere(job.spec(), eligibleGroups(node, false).and(allowed))
        && capacityIndex.fitsAnywhere(job.spec(), eligibleGroups(node, true).and(allowed));
  }

  /** How many of the job's live attempts are in each zone, as durable plus drafted. */
  static Map<String, Integer> liveTasksByZone(TransactionBuilder transaction, Job job) {
    Map<String, Integer> liveByZone = new HashMap<>();
    if (!job.spec().oneZone() && !job.spec().spread() || transaction.liveTaskCount(job) == 0) {
      return liveByZone;
    }
    for (int i = 0; i < job.taskCount(); i++) {
      TaskState state = transaction.taskState(job, i);
      if (state.isLive()) {
        Machine.Info info = state.machine().info();
        // A machine whose record is gone may be in any zone; the mark blocks a one-zone job.
        liveByZone.merge(info == null ? "?" : info.zone(), 1, Integer::sum);
      }
    }
    return liveByZone;
  }

  static boolean zoneAllows(JobSpec spec, Map<String, Integer> liveByZone, String zone) {
    int unknown = liveByZone.getOrDefault("?", 0);
    if (spec.oneZone()
        && !liveByZone.isEmpty()
        && !(liveByZone.size() == 1 && liveByZone.containsKey(zone))) {
      return false;
    }
    return !spec.spread() || liveByZone.getOrDefault(zone, 0) + unknown < spec.zoneLimit();
  }

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
    // Of a job that seems to fail everywhere, one task is enough to see.
    int maxTasks = job.isSuspected() ? 1 : MAX_TASKS_PER_JOB_PER_ROUND;
    for (int i = job.nextWaiting(0); i >= 0 && placed < maxTasks; i = job.nextWaiting(i + 1)) {
      if (transaction.taskState(job, i).phase() != TaskState.Phase.WAITING) {
        continue;
      }
      if (!transaction.fitsInPage(job, 1) || !quota.allows(job)) {
        return;
      }
      FreeCapacity capacity =
          chooseMachine(spec, c -> eligible.test(c) && zoneAllows(spec, liveByZone, c.zone));
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
   * Replicas go to zones that have a controller, if there is room: when another zone is cut off, no
   * one renews its workers' leases, and all that runs there ends. A machine that has the image is
   * worth more than that.
   */
  private FreeCapacity chooseMachine(JobSpec spec, Predicate<CapacityIndex.MachineGroup> allowed) {
    if (spec.shape() != JobSpec.Shape.SERVICE) {
      return capacityIndex.choose(spec, allowed);
    }
    FreeCapacity inControllerZone =
        capacityIndex.choose(spec, allowed.and(c -> controllerZones.contains(c.zone)));
    if (inControllerZone != null && inControllerZone.hasImage(spec)) {
      return inControllerZone;
    }
    FreeCapacity anywhere = capacityIndex.choose(spec, allowed);
    return inControllerZone == null || anywhere != null && anywhere.hasImage(spec)
        ? anywhere
        : inControllerZone;
  }

  private void place(
      TransactionBuilder transaction,
      Job job,
      int index,
      int attempt,
      FreeCapacity capacity,
      Quota quota) {
    LOG.debug(
        "placing {} {}/{} on {}, load {}, image there {}, {} ms after it was accepted",
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
   * The leader takes a machine of another's part by rewriting that part's record, and hands it back
   * in the same step: from then on the booking itself is what the owner sees.
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
        || !transaction.canAddConditions()) {
      transactionFull = true;
      return false;
    }
    if (!usesSharedClaim || claimedOwners.isEmpty()) {
      transaction.write(Partition.key(owner), partition.toStore(), partition.stamp());
    } else if (claimedOwners.size() == 1) {
      // One write for all of them. It fails whatever any owner has under way, so it is not used
      // for one, nor more often than now and then; the leader's jobs wait for that.
      transaction.removeWrite(Partition.key(claimedOwners.iterator().next()));
      transaction.write(Tables.CLAIMS_KEY, Map.of("epoch", view.epoch()), tables.claimsStamp());
    }
    // The owner's own placements leave its part's record alone. Those that we have not seen yet
    // are in its log: if it has written since, what we took for room may be gone.
    transaction.requireUnchangedLog(owner);
    claimedOwners.add(owner);
    return true;
  }

  /** How many writes it takes to take machines of so many more owners. */
  private int writesToClaim(int newOwners, Set<String> claimedOwners) {
    return !usesSharedClaim ? newOwners : newOwners > 0 && claimedOwners.isEmpty() ? 1 : 0;
  }

  /** A gang starts whole: every member has a machine, or none is placed. */
  private void placeGang(
      TransactionBuilder transaction, Job job, Quota quota, View view, Set<String> claimedOwners) {
    JobSpec spec = job.spec();
    if (transaction.liveTaskCount(job) > 0
        || transaction.doneTaskCount(job) > 0 && job.waitingCount() == 0) {
      return;
    }
    // Counted as drafted: members whose exits are in this transaction wait from then on.
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
      // The page is full: known before machines are looked for.
      transactionFull = true;
      return;
    }
    reservations.exposeMachinesOf(job);
    // Two gangs may have marked a machine: lent anew, its room knows only what is durable, and
    // would be given to the second as well.
    for (Machine reserved : reservations.machinesOf(job)) {
      FreeCapacity capacity = capacityIndex.find(reserved);
      if (capacity != null && tables.isReserved(reserved)) {
        transaction.placementsOn(reserved).forEach(s -> capacityIndex.book(capacity, s));
      }
    }
    List<FreeCapacity> machines = chooseGangMachines(job, waiting);
    if (machines != null) {
      // All of it or nothing: counted before anything of it is in the transaction.
      Set<String> owners = new HashSet<>();
      machines.forEach(capacity -> owners.add(capacity.machine().owner(view)));
      owners.remove(node);
      owners.removeAll(claimedOwners);
      int writes = writesToClaim(owners.size(), claimedOwners);
      if (!transaction.fitsWholeGang(job, waiting, writes)
          || !transaction.canAddWrites(writes)
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

  /** Machines for all waiting members, or null; nothing stays booked. */
  private List<FreeCapacity> chooseGangMachines(Job job, int waiting) {
    JobSpec spec = job.spec();
    List<String> candidateZones = new ArrayList<>();
    if (spec.oneZone()) {
      // Zones that have a controller, and of those the one with the most room, first.
      Map<String, Integer> fittingByZone = new HashMap<>();
      for (String candidateZone : capacityIndex.zones()) {
        fittingByZone.put(
            candidateZone,
            capacityIndex.countFitting(
                spec, c -> c.zone.equals(candidateZone), ZONE_COUNT_FACTOR * waiting));
        boolean fits =
            fittingByZone.get(candidateZone) >= waiting
                || capacityIndex.fitsAll(spec, c -> c.zone.equals(candidateZone), waiting);
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
                c ->
                    (zone == null || zone.equals(c.zone)) && zoneAllows(spec, tasksByZone, c.zone));
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
