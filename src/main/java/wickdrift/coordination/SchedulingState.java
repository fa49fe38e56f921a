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
 * What decisions are made from, kept up to date by the changes of the tables: rooms, waiting jobs,
 * jobs that can end, gangs that are being stopped, machines that are gone with tasks on them. So
 * the work of a round grows with what has changed, not with the fleet or the number of jobs.
 */
public final class SchedulingState {
  private static final Logger LOG = LoggerFactory.getLogger(SchedulingState.class);

  private final Timers timers;
  private final Tables tables;
  private final Types types;
  private final String node;
  private final CapacityIndex capacityIndex = new CapacityIndex();
  private final JobQueue queue;
  private final Set<Job> finishableJobs = new LinkedHashSet<>();
  private final Set<Job> halting = new LinkedHashSet<>();
  private final Set<Job> withdrawnRunningJobs = new LinkedHashSet<>();
  private final Set<Machine> goneMachinesWithTasks = new LinkedHashSet<>();
  private final Set<Machine> shunned = new HashSet<>();
  private final Set<Machine> changed = new LinkedHashSet<>();
  private Predicate<Machine> pending = m -> false;
  private long epoch = -1;
  private int typesSeen;

  /** An empty state, brought up to date by {@link #update}. */
  public SchedulingState(Timers timers, Tables tables, Types types, Settings settings) {
    this.timers = timers;
    this.tables = tables;
    this.types = types;
    this.node = settings.node();
    this.queue = new JobQueue(settings, tables.usage());
  }

  /** Machines with a change of their record on the way take no tasks. */
  void setPendingFilter(Predicate<Machine> p) {
    pending = p;
  }

  CapacityIndex capacityIndex() {
    return capacityIndex;
  }

  /** How many rooms were looked at in all decisions so far: what they cost, whatever the clock. */
  public long machinesExamined() {
    return capacityIndex.machinesExamined();
  }

  JobQueue queue() {
    return queue;
  }

  Set<Job> finishableJobs() {
    return finishableJobs;
  }

  Set<Job> partlyStoppingGangs() {
    return halting;
  }

  /** Withdrawn jobs with tasks that may still run. */
  Set<Job> withdrawnRunningJobs() {
    return withdrawnRunningJobs;
  }

  Set<Machine> goneMachinesWithTasks() {
    return goneMachinesWithTasks;
  }

  /** Takes in what has changed in the tables, and in what reports told. */
  public void update() {
    View v = tables.view();
    List<Machine> machines = tables.drainChangedMachines();
    changed.addAll(machines);
    for (Job j : tables.drainChangedJobs()) {
      job(j);
    }
    if (v == null) {
      capacityIndex.clear();
      epoch = -1;
    } else if (v.epoch() != epoch || typesSeen != types.all().size()) {
      epoch = v.epoch();
      typesSeen = types.all().size();
      capacityIndex.clear();
      shunned.clear();
      for (Machine m : new ArrayList<>(tables.machines())) {
        updateMachine(m);
      }
    } else {
      machines.forEach(this::updateMachine);
    }
  }

  /** The machines that have changed since the last call. */
  public List<Machine> drainChangedMachines() {
    List<Machine> out = new ArrayList<>(changed);
    changed.clear();
    return out;
  }

  private void job(Job j) {
    boolean there = tables.job(j.id()) == j;
    long now = timers.nowMs();
    View v = tables.view();
    if (j.backOffAfterFailures(now) && v != null && node.equals(v.leader())) {
      LOG.info("{} fails wherever it runs: next try in {} s", j.id(), (j.retryAtMs() - now) / 1000);
    }
    queue.changed(j, there);
    boolean over =
        j.withdrawn() ? j.liveCount() == 0 : j.spec() != null && j.doneCount() == j.taskCount();
    member(finishableJobs, j, there && over);
    member(halting, j, there && halting(j));
    member(withdrawnRunningJobs, j, there && j.withdrawn() && j.liveCount() > 0);
  }

  private static <T> void member(Set<T> set, T t, boolean in) {
    if (in) {
      set.add(t);
    } else {
      set.remove(t);
    }
  }

  /** A gang with a member that is being stopped while another is not. */
  private static boolean halting(Job j) {
    if (j.spec().shape() != JobSpec.Shape.GANG || j.liveCount() < 2) {
      return false;
    }
    int stopping = 0;
    for (int i = 0; i < j.taskCount(); i++) {
      TaskState s = j.task(i);
      stopping += s.isLive() && s.stop() != TaskState.Stop.NONE ? 1 : 0;
    }
    return stopping > 0 && stopping < j.liveCount();
  }

  /** The machine, or what this process knows of it, has changed. */
  void updateMachine(Machine m) {
    View v = tables.view();
    if (v == null) {
      return;
    }
    boolean there = tables.machine(m.name()) == m;
    member(
        goneMachinesWithTasks, m, there && m.phase() == Machine.Phase.GONE && !m.slots().isEmpty());
    TypeInfo t = m.info() == null ? null : types.find(m.info().type());
    String owner = m.owner(v);
    boolean usable =
        there
            && t != null
            && m.phase() == Machine.Phase.UP
            && !tables.isReserved(m)
            && !pending.test(m);
    if (usable) {
      boolean shun = m.quarantinedUntilMs(timers.nowMs()) > timers.nowMs();
      member(shunned, m, shun);
      boolean answers =
          m.provedAlive() && !m.reportsOverdue() && m.unreachableForCommandsSinceMs() == 0;
      usable = !shun && (answers || !owner.equals(node));
    }
    if (usable) {
      if (capacityIndex.put(m, t, owner, timers.nowMs())) {
        capacityIndex.grew();
      }
    } else {
      capacityIndex.remove(m);
    }
  }

  /** Machines that were shunned for a while may be used again. */
  void readmitAvoidedMachines() {
    long now = timers.nowMs();
    for (Machine m : new ArrayList<>(shunned)) {
      if (m.quarantinedUntilMs(now) <= now) {
        shunned.remove(m);
        updateMachine(m);
      }
    }
  }

  /** Lends a marked machine to the gang that marked it, for one look. */
  void lend(Machine m) {
    TypeInfo t = m.info() == null ? null : types.find(m.info().type());
    if (tables.isReserved(m) && t != null && m.phase() == Machine.Phase.UP && !pending.test(m)) {
      capacityIndex.put(m, t, m.owner(tables.view()), timers.nowMs());
    }
  }

  void takeBack(Machine m) {
    if (tables.isReserved(m)) {
      capacityIndex.remove(m);
    }
  }
}
