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

/** Decides, as the leader, which machines take no new tasks for the sake of gangs that wait. */
final class Reservations {
  private static final long UPDATE_INTERVAL_MS = 500;
  private static final int BYTES_PER_RESERVATION = 48;

  private final Tables tables;
  private final SchedulingState scheduling;
  private final CapacityIndex capacityIndex;
  private final Types types;
  private final Tuning tuning;
  private final StateServiceLimits limits;

  /** By gang, the machines that take no new tasks until it starts or gives them up. */
  private final Map<String, List<Machine>> machinesByGang = new LinkedHashMap<>();

  private long nextUpdateMs;

  Reservations(
      Tables tables,
      SchedulingState scheduling,
      Types types,
      Tuning tuning,
      StateServiceLimits limits) {
    this.types = types;
    this.tables = tables;
    this.scheduling = scheduling;
    this.capacityIndex = scheduling.capacityIndex();
    this.tuning = tuning;
    this.limits = limits;
  }

  /** Marks are of one view: the part records were written anew. */
  void clear() {
    machinesByGang.clear();
  }

  /** The machines that a gang has marked. */
  List<Machine> machinesOf(Job job) {
    return machinesByGang.getOrDefault(job.id(), List.of());
  }

  /**
   * A gang that has waited for a while marks the machines that will be empty soonest. Marks are in
   * the part records, so that their owners place nothing there; here is only whose they are.
   */
  void update(TransactionBuilder transaction, Quota quota, View view, long now) {
    if (now < nextUpdateMs) {
      return;
    }
    nextUpdateMs = now + UPDATE_INTERVAL_MS;
    List<Job> gangs = waitingGangs(transaction);
    FleetSize size = gangs.isEmpty() ? null : new FleetSize(tables, types);
    Map<String, Job> startable = startableGangs(gangs, size, quota);
    machinesByGang.keySet().retainAll(startable.keySet());
    for (List<Machine> machines : machinesByGang.values()) {
      machines.removeIf(machine -> machine.phase() != Machine.Phase.UP);
    }
    Set<Machine> reserved = new HashSet<>();
    machinesByGang.values().forEach(reserved::addAll);
    for (Job job : startable.values()) {
      if (now - job.waitingSinceMs(now) >= tuning.markWaitMs()) {
        reserveMachines(job, size, reserved, now);
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
          && transaction.canAddWrites()
          && !transaction.touches(Partition.key(member))) {
        transaction.write(
            Partition.key(member), partition.withReserved(names).toStore(), partition.stamp());
      }
    }
  }

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
   * Those that may keep machines from others. One that its team's limit forbids could not use them,
   * unless the limit is being saved up for it; nor could one that there are too few machines for,
   * whatever makes way.
   */
  private static Map<String, Job> startableGangs(List<Job> gangs, FleetSize size, Quota quota) {
    Quota.Remainder remainder = quota.new Remainder();
    Map<String, Job> startable = new LinkedHashMap<>();
    for (Job job : gangs) {
      boolean enoughMachines = size.holds(job.spec(), job.waitingCount());
      if (enoughMachines
          && (remainder.tryTake(job.spec(), job.waitingCount()) || quota.isHeldFor(job))) {
        startable.put(job.id(), job);
      }
    }
    return startable;
  }

  /** So many names leave room in a part's record for its shares, whatever the limit of a value. */
  private int maxReservations() {
    return limits.maxValueBytes() / 2 / BYTES_PER_RESERVATION;
  }

  private void reserveMachines(Job job, FleetSize size, Set<Machine> reserved, long now) {
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
                  : !oneZone || size.holds(job.spec(), group.zone, job.waitingCount()),
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

  /** The machine that will be empty soonest, as far as the estimates tell. */
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

  void reserve(Job job, Machine machine, long now) {
    List<Machine> ownMachines = machinesByGang.computeIfAbsent(job.id(), k -> new ArrayList<>());
    if (!ownMachines.contains(machine) && ownMachines.size() < job.waitingCount()) {
      ownMachines.add(machine);
      nextUpdateMs = now;
    }
  }

  void exposeMachinesOf(Job job) {
    machinesOf(job).forEach(scheduling::exposeReserved);
  }

  void hideMachinesOf(Job job) {
    machinesOf(job).forEach(scheduling::hideReserved);
  }
}
