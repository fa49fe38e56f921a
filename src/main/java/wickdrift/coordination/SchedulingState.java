package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.JobSpec;
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/**
 * The inputs of scheduling decisions, updated incrementally from changes of the tables: free
 * capacity, waiting jobs, jobs that can end, gangs that are partly stopping, and machines that are
 * gone but still have tasks. The cost of a round therefore depends on the number of changes, not on
 * the size of the fleet or the number of jobs.
 */
public final class SchedulingState {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingState.class);

  private final Timers timers;
  private final Tables tables;
  private final MachineTypes types;
  private final String node;
  private final CapacityIndex capacityIndex = new CapacityIndex();
  private final JobQueue queue;
  private final Set<Job> finishableJobs = new LinkedHashSet<>();
  private final Set<Job> partlyStoppingGangs = new LinkedHashSet<>();
  private final Set<Job> withdrawnRunningJobs = new LinkedHashSet<>();
  private final Set<Machine> goneMachinesWithTasks = new LinkedHashSet<>();
  private final Set<Machine> quarantinedMachines = new HashSet<>();
  private final Set<Machine> changedMachines = new LinkedHashSet<>();
  private Predicate<Machine> pendingFilter = m -> false;
  private long epoch = -1;
  private int knownTypeCount;

  /** Creates an empty state, which {@link #update} fills. */
  public SchedulingState(Timers timers, Tables tables, MachineTypes types, Settings settings) {
    this.timers = timers;
    this.tables = tables;
    this.types = types;
    this.node = settings.node();
    this.queue = new JobQueue(settings, tables.usage());
  }

  /** Sets the filter for machines whose record has a change in progress; these accept no tasks. */
  void setPendingFilter(Predicate<Machine> filter) {
    pendingFilter = filter;
  }

  /** Returns the index of free capacity. */
  CapacityIndex capacityIndex() {
    return capacityIndex;
  }

  /**
   * Returns the number of machines examined by all decisions so far: a measure of their cost that
   * does not depend on the clock.
   */
  public long machinesExamined() {
    return capacityIndex.machinesExamined();
  }

  /** Returns the waiting jobs. */
  JobQueue queue() {
    return queue;
  }

  /**
   * Returns the jobs whose end can be recorded: all tasks are done, or the job is withdrawn and no
   * task is live.
   */
  Set<Job> finishableJobs() {
    return finishableJobs;
  }

  /** Returns the gangs with a member that is being stopped and another that is not. */
  Set<Job> partlyStoppingGangs() {
    return partlyStoppingGangs;
  }

  /** Returns the withdrawn jobs with tasks that may still be running. */
  Set<Job> withdrawnRunningJobs() {
    return withdrawnRunningJobs;
  }

  /** Returns the machines that are gone but still have live tasks. */
  Set<Machine> goneMachinesWithTasks() {
    return goneMachinesWithTasks;
  }

  /** Applies the changes of the tables and of the received reports. */
  public void update() {
    View view = tables.view();
    List<Machine> machines = tables.drainChangedMachines();
    changedMachines.addAll(machines);
    for (Job job : tables.drainChangedJobs()) {
      updateJob(job);
    }
    if (view == null) {
      capacityIndex.clear();
      epoch = -1;
    } else if (view.epoch() != epoch || knownTypeCount != types.all().size()) {
      epoch = view.epoch();
      knownTypeCount = types.all().size();
      capacityIndex.clear();
      quarantinedMachines.clear();
      for (Machine machine : new ArrayList<>(tables.machines())) {
        updateMachine(machine);
      }
    } else {
      machines.forEach(this::updateMachine);
    }
  }

  /** Returns the machines that have changed since the last call. */
  public List<Machine> drainChangedMachines() {
    List<Machine> drained = new ArrayList<>(changedMachines);
    changedMachines.clear();
    return drained;
  }

  /** Updates the queue and the sets of jobs after a change of a job. */
  private void updateJob(Job job) {
    boolean exists = tables.job(job.id()) == job;
    long now = timers.nowMs();
    View view = tables.view();
    if (job.backOffAfterFailures(now) && view != null && node.equals(view.leader())) {
      LOG.info(
          "job fails on every machine: job={}, next try in {} s",
          job.id(),
          (job.retryAtMs() - now) / 1000);
    }
    queue.onJobChanged(job, exists);
    boolean finished =
        job.withdrawn()
            ? job.liveCount() == 0
            : job.spec() != null && job.doneCount() == job.taskCount();
    setMembership(finishableJobs, job, exists && finished);
    setMembership(partlyStoppingGangs, job, exists && isPartlyStopping(job));
    setMembership(withdrawnRunningJobs, job, exists && job.withdrawn() && job.liveCount() > 0);
  }

  /** Adds an element to a set or removes it. */
  private static <T> void setMembership(Set<T> set, T element, boolean isMember) {
    if (isMember) {
      set.add(element);
    } else {
      set.remove(element);
    }
  }

  /** Whether the job is a gang with a member that is being stopped and another that is not. */
  private static boolean isPartlyStopping(Job job) {
    if (job.spec().shape() != JobSpec.Shape.GANG || job.liveCount() < 2) {
      return false;
    }
    int stopping = 0;
    for (int i = 0; i < job.taskCount(); i++) {
      TaskState state = job.task(i);
      stopping += state.isLive() && state.stop() != TaskState.Stop.NONE ? 1 : 0;
    }
    return stopping > 0 && stopping < job.liveCount();
  }

  /** Updates the state after a change of a machine, or of what this process knows of it. */
  void updateMachine(Machine machine) {
    View view = tables.view();
    if (view == null) {
      return;
    }
    boolean exists = tables.machine(machine.name()) == machine;
    setMembership(
        goneMachinesWithTasks,
        machine,
        exists && machine.phase() == Machine.Phase.GONE && !machine.slots().isEmpty());
    MachineType type = machine.info() == null ? null : types.find(machine.info().type());
    String owner = machine.owner(view);
    boolean usable =
        exists
            && type != null
            && machine.phase() == Machine.Phase.UP
            && !tables.isReserved(machine)
            && !pendingFilter.test(machine);
    if (usable) {
      boolean isQuarantined = machine.quarantinedUntilMs(timers.nowMs()) > timers.nowMs();
      setMembership(quarantinedMachines, machine, isQuarantined);
      boolean isResponsive =
          machine.provedAlive()
              && !machine.reportsOverdue()
              && machine.unreachableForCommandsSinceMs() == 0;
      usable = !isQuarantined && (isResponsive || !owner.equals(node));
    }
    if (usable) {
      if (capacityIndex.put(machine, type, owner, timers.nowMs())) {
        capacityIndex.incrementGrowthVersion();
      }
    } else {
      capacityIndex.remove(machine);
    }
  }

  /** Allows placements again on machines whose quarantine has ended. */
  void releaseQuarantinedMachines() {
    long now = timers.nowMs();
    for (Machine machine : new ArrayList<>(quarantinedMachines)) {
      if (machine.quarantinedUntilMs(now) <= now) {
        quarantinedMachines.remove(machine);
        updateMachine(machine);
      }
    }
  }

  /** Adds a reserved machine to the capacity index, while the gang it is reserved for is placed. */
  void exposeReserved(Machine machine) {
    MachineType type = machine.info() == null ? null : types.find(machine.info().type());
    if (tables.isReserved(machine)
        && type != null
        && machine.phase() == Machine.Phase.UP
        && !pendingFilter.test(machine)) {
      capacityIndex.put(machine, type, machine.owner(tables.view()), timers.nowMs());
    }
  }

  /** Removes a reserved machine from the capacity index again. */
  void hideReserved(Machine machine) {
    if (tables.isReserved(machine)) {
      capacityIndex.remove(machine);
    }
  }
}
