package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.JobSpec;

/**
 * The reservations that the leader makes for waiting gangs: reserved machines accept no other new
 * tasks.
 */
final class Reservations {
  /** Interval between updates of the reservations. */
  private static final long UPDATE_INTERVAL_MS = 500;

  /** Size allowed for a machine name in a partition record. */
  private static final int BYTES_PER_RESERVATION = 48;

  private final Tables tables;
  private final SchedulingState scheduling;
  private final CapacityIndex capacityIndex;
  private final MachineTypes types;
  private final Tuning tuning;
  private final StateServiceLimits limits;

  /** Reserved machines by job id of the gang, until it starts or loses its reservation. */
  private final Map<String, List<Machine>> machinesByGang = new LinkedHashMap<>();

  private long nextUpdateMs;

  Reservations(
      Tables tables,
      SchedulingState scheduling,
      MachineTypes types,
      Tuning tuning,
      StateServiceLimits limits) {
    this.types = types;
    this.tables = tables;
    this.scheduling = scheduling;
    this.capacityIndex = scheduling.capacityIndex();
    this.tuning = tuning;
    this.limits = limits;
  }

  /**
   * Drops all reservations: they belong to one view, and a new view rewrites the partition records.
   */
  void clear() {
    machinesByGang.clear();
  }

  /** Returns the machines reserved for a gang. */
  List<Machine> machinesOf(Job job) {
    return machinesByGang.getOrDefault(job.id(), List.of());
  }

  /**
   * Updates the reservations and adds changed partition records to the transaction. A gang that has
   * waited long enough reserves the machines that are expected to be empty soonest. The partition
   * records list the reserved machines so that their owners place nothing there; which gang a
   * machine is reserved for is known only in this process.
   */
  void update(TransactionBuilder transaction, Quota quota, View view, long now) {
    if (now < nextUpdateMs) {
      return;
    }
    nextUpdateMs = now + UPDATE_INTERVAL_MS;
    List<Job> gangs = waitingGangs(transaction);
    TotalCapacity fleetSize = gangs.isEmpty() ? null : new TotalCapacity(tables, types);
    Map<String, Job> startable = startableGangs(gangs, fleetSize, quota);
    machinesByGang.keySet().retainAll(startable.keySet());
    for (List<Machine> machines : machinesByGang.values()) {
      machines.removeIf(machine -> machine.phase() != Machine.Phase.UP);
    }
    Set<Machine> reserved = new HashSet<>();
    machinesByGang.values().forEach(reserved::addAll);
    for (Job job : startable.values()) {
      if (now - job.waitingSinceMs(now) >= tuning.reservationDelayMs()) {
        reserveMachines(job, fleetSize, reserved, now);
      }
    }
    Map<String, List<String>> namesByOwner = new HashMap<>();
    for (Machine machine : reserved) {
      namesByOwner.computeIfAbsent(machine.owner(view), k -> new ArrayList<>()).add(machine.name());
    }
    for (String member : view.members().keySet()) {
      Partition partition = tables.currentPartition(member);
      List<String> names = namesByOwner.getOrDefault(member, List.of());
      names = names.stream().sorted().limit(maxReservations()).toList();
      if (partition != null
          && !partition.reserved().equals(names)
          && !transaction.changesKey(Partition.key(member))) {
        Object record = partition.withReserved(names).toStore();
        if (transaction.canWrite(Partition.key(member), record)) {
          transaction.write(Partition.key(member), record, partition.stamp());
        }
      }
    }
  }

  /**
   * Returns the gangs of the leader that wait and have no live attempts, without suspected ones.
   */
  private List<Job> waitingGangs(TransactionBuilder transaction) {
    List<Job> gangs = new ArrayList<>();
    for (Job job : scheduling.queue().waiting()) {
      if (job.spec().shape() == JobSpec.Shape.GANG
          && job.partition().equals(Job.LEADER_PARTITION)
          && job.liveCount() == 0
          && transaction.liveTaskCount(job) == 0
          && !job.isSuspected()) {
        gangs.add(job);
      }
    }
    return gangs;
  }

  /**
   * Returns the gangs that may hold reservations. A gang that its team's limit does not allow could
   * not use the machines, unless quota is being held for it; neither could a gang for which the
   * fleet is too small even if all other tasks were preempted.
   */
  private static Map<String, Job> startableGangs(
      List<Job> gangs, TotalCapacity fleetSize, Quota quota) {
    Quota.Remainder remainder = quota.new Remainder();
    Map<String, Job> startable = new LinkedHashMap<>();
    for (Job job : gangs) {
      boolean enoughMachines = fleetSize.canHold(job.spec(), job.waitingCount());
      if (enoughMachines
          && (remainder.tryAllocate(job.spec(), job.waitingCount()) || quota.isHeldFor(job))) {
        startable.put(job.id(), job);
      }
    }
    return startable;
  }

  /**
   * Returns the largest number of reservations that leaves space in a partition record for its
   * quota shares, whatever the size limit of a value.
   */
  private int maxReservations() {
    return limits.maxValueBytes() / 2 / BYTES_PER_RESERVATION;
  }

  /** Reserves machines for a gang until it has enough or the limit is reached. */
  private void reserveMachines(Job job, TotalCapacity fleetSize, Set<Machine> reserved, long now) {
    List<Machine> ownMachines = machinesByGang.computeIfAbsent(job.id(), k -> new ArrayList<>());
    while (ownMachines.size() < job.waitingCount() && reserved.size() < maxReservations()) {
      boolean oneZone = job.spec().oneZone();
      String zone = oneZone && !ownMachines.isEmpty() ? ownMachines.get(0).info().zone() : null;
      EarliestEmpty earliest = new EarliestEmpty(now);
      capacityIndex.forEach(
          job.spec(),
          group ->
              zone != null
                  ? zone.equals(group.zone)
                  : !oneZone || fleetSize.canHold(job.spec(), group.zone, job.waitingCount()),
          capacity -> {
            if (!reserved.contains(capacity.machine())) {
              earliest.consider(capacity.machine());
            }
          });
      if (earliest.best == null) {
        return;
      }
      ownMachines.add(earliest.best);
      reserved.add(earliest.best);
    }
  }

  /**
   * Selects the machine that is expected to be empty soonest, by the estimated durations of its
   * tasks.
   */
  private static final class EarliestEmpty {
    private final long now;
    private Machine best;
    private double bestRemainingMs;

    EarliestEmpty(long now) {
      this.now = now;
    }

    void consider(Machine machine) {
      double remainingMs = 0;
      for (Machine.Slot slot : machine.slots()) {
        remainingMs = Math.max(remainingMs, slot.estimatedRemainingMs(now));
      }
      if (remainingMs < Double.MAX_VALUE && (best == null || remainingMs < bestRemainingMs)) {
        best = machine;
        bestRemainingMs = remainingMs;
      }
    }
  }

  /** Reserves a machine for a gang and makes the next update due at once. */
  void reserve(Job job, Machine machine, long now) {
    List<Machine> ownMachines = machinesByGang.computeIfAbsent(job.id(), k -> new ArrayList<>());
    if (!ownMachines.contains(machine) && ownMachines.size() < job.waitingCount()) {
      ownMachines.add(machine);
      nextUpdateMs = now;
    }
  }

  /** Adds the machines reserved for a gang to the capacity index, while that gang is placed. */
  void exposeMachinesOf(Job job) {
    machinesOf(job).forEach(scheduling::exposeReserved);
  }

  /** Removes the machines reserved for a gang from the capacity index again. */
  void hideMachinesOf(Job job) {
    machinesOf(job).forEach(scheduling::hideReserved);
  }
}
