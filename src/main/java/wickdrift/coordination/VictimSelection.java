package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.TaskState;
import wickdrift.protocol.JobSpec;
import wickdrift.settings.Settings;

/**
 * Decides when a job without free capacity preempts tasks of lower priority, and on which machines.
 */
final class VictimSelection {
  private static final Logger LOG = LoggerFactory.getLogger(VictimSelection.class);

  /** Maximum number of jobs per round that search for preemption victims. */
  private static final int MAX_SCANS_PER_ROUND = 4;

  /** Maximum number of machines on which one search preempts tasks. */
  private static final int MAX_MACHINES_PER_SCAN = 16;

  private final CapacityIndex capacityIndex;
  private final MachineTypes types;
  private final Reservations reservations;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private int scansThisRound;

  VictimSelection(
      CapacityIndex capacityIndex,
      MachineTypes types,
      Reservations reservations,
      Tuning tuning,
      Settings settings) {
    this.capacityIndex = capacityIndex;
    this.types = types;
    this.reservations = reservations;
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
  }

  /** Resets the limit of searches for a new scheduling round. */
  void beginRound() {
    scansThisRound = 0;
  }

  /**
   * Preempts tasks of lower priority for a job without free capacity. Tasks of the lowest priority
   * are preempted after a short wait, because they only use capacity that others leave idle; other
   * tasks only when a large part of the time in which the job should start has passed.
   */
  void preemptFor(
      TransactionBuilder transaction, Job job, boolean asLeader, Quota quota, long now) {
    JobSpec spec = job.spec();
    long waitedMs = now - job.waitingSinceMs(now);
    if (job.preemptionPriority() == JobSpec.Priority.LOW
        || job.isSuspected()
        || scansThisRound >= MAX_SCANS_PER_ROUND
        || now < job.nextPreemptionAtMs()) {
      return;
    }
    long preemptAfterMs = preemptAfterMs(spec);
    if (waitedMs < Math.min(preemptAfterMs, tuning.lowPriorityPreemptionDelayMs())
        || !quota.allows(spec)) {
      return;
    }
    scansThisRound++;
    job.setNextPreemptionAtMs(now + TaskPlacer.BLOCKED_RETRY_INTERVAL_MS);
    JobSpec.Priority highestVictimPriority =
        waitedMs < preemptAfterMs ? JobSpec.Priority.LOW : JobSpec.Priority.HIGH;
    List<FreeCapacity> candidates = new ArrayList<>();
    Map<String, Integer> liveByZone = TaskPlacer.liveTasksByZone(transaction, job);
    Predicate<CapacityIndex.MachineGroup> eligible = TaskPlacer.eligibleGroups(node, asLeader);
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    if (gang && asLeader) {
      preemptOnReserved(transaction, job, highestVictimPriority, now);
    }
    int missing = job.waitingCount() - (gang ? reservations.machinesOf(job).size() : 0);
    if (missing <= 0) {
      return;
    }
    capacityIndex.forEach(
        spec,
        group -> eligible.test(group) && TaskPlacer.zoneAllows(spec, liveByZone, group.zone),
        candidates::add);
    if (gang) {
      restrictToReservedZone(job, candidates);
      if (spec.oneZone()) {
        restrictToCheapestZone(candidates, job, highestVictimPriority, missing, now);
      }
    }
    for (Preemption.Choice choice :
        Preemption.cheapestChoices(
            candidates,
            spec,
            job.preemptionPriority(),
            highestVictimPriority,
            now,
            Math.min(missing, MAX_MACHINES_PER_SCAN))) {
      if (gang && asLeader) {
        // Without a reservation, the freed capacity would be available to other jobs.
        reservations.reserve(job, choice.machine(), now);
      }
      stopVictims(transaction, job, choice);
    }
  }

  /** Adds the stops of the victims to the transaction. */
  private void stopVictims(TransactionBuilder transaction, Job job, Preemption.Choice choice) {
    for (Machine.Slot slot : choice.victims()) {
      if (transaction.fitsInPage(slot.job(), 1)) {
        if (transaction.taskState(slot.job(), slot.index()).stop() == TaskState.Stop.NONE) {
          LOG.info("task preempted: victim={}, preemptor={}", slot.taskName(), job.id());
        }
        transaction.changeTask(
            slot.job(),
            slot.index(),
            t -> t.isLive() ? t.stopping(Preemption.stopMode(slot.job().spec())) : t);
      }
    }
  }

  /** Preempts on all the machines reserved for a gang, in one pass instead of one by one. */
  private void preemptOnReserved(
      TransactionBuilder transaction, Job job, JobSpec.Priority highestVictimPriority, long now) {
    for (Machine machine : reservations.machinesOf(job)) {
      MachineType type = machine.info() == null ? null : types.find(machine.info().type());
      Preemption.Choice choice =
          type == null
              ? null
              : Preemption.choiceOn(
                  new FreeCapacity(machine, type),
                  job.spec(),
                  job.preemptionPriority(),
                  highestVictimPriority,
                  now);
      if (choice != null) {
        stopVictims(transaction, job, choice);
      }
    }
  }

  /**
   * Restricts a one-zone gang to the zone of its reserved machines, and excludes these, since they
   * are already being emptied.
   */
  private void restrictToReservedZone(Job job, List<FreeCapacity> candidates) {
    List<Machine> reserved = reservations.machinesOf(job);
    if (job.spec().oneZone() && !reserved.isEmpty()) {
      String zone = reserved.get(0).info().zone();
      candidates.removeIf(r -> !zone.equals(r.machine().info().zone()));
    }
    candidates.removeIf(r -> reserved.contains(r.machine()));
  }

  /**
   * Restricts the candidates to the zone where enough machines can be emptied with the least lost
   * work.
   */
  private static void restrictToCheapestZone(
      List<FreeCapacity> candidates,
      Job job,
      JobSpec.Priority highestVictimPriority,
      int missing,
      long now) {
    Map<String, List<FreeCapacity>> byZone = new HashMap<>();
    for (FreeCapacity capacity : candidates) {
      byZone
          .computeIfAbsent(capacity.machine().info().zone(), k -> new ArrayList<>())
          .add(capacity);
    }
    List<FreeCapacity> best = List.of();
    double leastLost = Double.MAX_VALUE;
    for (List<FreeCapacity> machines : byZone.values()) {
      List<Preemption.Choice> choices =
          Preemption.cheapestChoices(
              machines, job.spec(), job.preemptionPriority(), highestVictimPriority, now, missing);
      double lostWork = choices.stream().mapToDouble(Preemption.Choice::lostWork).sum();
      if (choices.size() == missing && lostWork < leastLost) {
        leastLost = lostWork;
        best = machines;
      }
    }
    candidates.retainAll(Set.copyOf(best));
  }

  /**
   * Returns how long a job of this kind waits before it preempts tasks above the lowest priority.
   */
  private long preemptAfterMs(JobSpec spec) {
    double bootMs = 0;
    for (MachineType type : types.all()) {
      bootMs = Math.max(bootMs, type.canHold(spec) ? type.bootS() * 1000 : 0);
    }
    // If a newly rented machine will be ready in time, the job waits for it, because preemption
    // wastes work.
    long waitMs =
        Math.max(tuning.preemptionDelayMs(), (long) (bootMs * tuning.preemptionBootFactor()));
    for (Settings.Objective objective : settings.objectives()) {
      boolean appliesToJob =
          objective.kind().equals("wait") && spec.jobClass().equals(objective.jobClass());
      if (appliesToJob && objective.withinS() * 1000 < bootMs * tuning.preemptionBootFactor()) {
        waitMs =
            Math.min(
                waitMs, (long) (objective.withinS() * 1000 * tuning.preemptionObjectiveShare()));
      }
    }
    return waitMs;
  }
}
