package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.TaskState;
import wickdrift.protocol.JobSpec;

/**
 * Selects running tasks of lower priority to preempt so that a task of higher priority can be
 * placed.
 */
final class Preemption {
  /**
   * The preemption victims on one machine and the work that is lost by preempting them, in
   * GPU-milliseconds.
   */
  record Choice(Machine machine, List<Machine.Slot> victims, double lostWork) {}

  private Preemption() {}

  /**
   * Returns the machines on which preempting tasks frees enough capacity for one task, in the order
   * of the work that is lost. The cost includes the fetch of the task's image, so that of otherwise
   * equal machines one that has the image comes first. A machine where stops already in progress
   * are sufficient is returned without victims.
   *
   * @param preemptorPriority the priority for which tasks are preempted; only lower ones are
   *     victims
   * @param highestVictimPriority the highest priority that victims may have
   * @param limit the maximum number of machines returned
   */
  static List<Choice> cheapestChoices(
      List<FreeCapacity> machines,
      JobSpec spec,
      JobSpec.Priority preemptorPriority,
      JobSpec.Priority highestVictimPriority,
      long nowMs,
      int limit) {
    List<Choice> choices = new ArrayList<>();
    for (FreeCapacity capacity : machines) {
      Choice choice = choiceOn(capacity, spec, preemptorPriority, highestVictimPriority, nowMs);
      if (choice != null) {
        choices.add(choice);
      }
    }
    choices.sort(Comparator.comparingDouble(Choice::lostWork));
    return choices.subList(0, Math.min(limit, choices.size()));
  }

  /**
   * Returns the victims on one machine, those with the least lost work first, or null if preemption
   * cannot free enough capacity there.
   */
  static Choice choiceOn(
      FreeCapacity capacity,
      JobSpec spec,
      JobSpec.Priority preemptorPriority,
      JobSpec.Priority highestVictimPriority,
      long nowMs) {
    if (!capacity.type().canHold(spec)) {
      return null;
    }
    double cpus = capacity.freeCpus();
    double gpus = capacity.freeGpus();
    double memoryGb = capacity.freeMemoryGb();
    List<Machine.Slot> candidates = new ArrayList<>();
    for (Machine.Slot slot : capacity.machine().slots()) {
      JobSpec taskSpec = slot.job().spec();
      if (slot.mustStop()) {
        cpus += taskSpec.cpus();
        gpus += taskSpec.gpus();
        memoryGb += taskSpec.memoryGb();
      } else if (slot.job().effectivePriority().ordinal() > preemptorPriority.ordinal()
          && slot.job().effectivePriority().ordinal() >= highestVictimPriority.ordinal()) {
        candidates.add(slot);
      }
    }
    // Most machines run too many tasks that may not be preempted; these are excluded before the
    // candidates are sorted.
    double allCpus = cpus;
    double allGpus = gpus;
    double allMemoryGb = memoryGb;
    for (Machine.Slot slot : candidates) {
      allCpus += slot.job().spec().cpus();
      allGpus += slot.job().spec().gpus();
      allMemoryGb += slot.job().spec().memoryGb();
    }
    if (exceeds(spec, allCpus, allGpus, allMemoryGb)) {
      return null;
    }
    candidates.sort(Comparator.comparingDouble(slot -> lostWork(slot, nowMs)));
    List<Machine.Slot> victims = new ArrayList<>();
    // All GPUs of the task are idle while its image is fetched.
    double fetchMs =
        capacity.hasImage(spec) || capacity.type().fetchGbPerS() <= 0
            ? 0
            : spec.imageGb() / capacity.type().fetchGbPerS() * 1000;
    double lostWork = fetchMs * Math.max(1, spec.gpus());
    while (exceeds(spec, cpus, gpus, memoryGb)) {
      if (victims.size() == candidates.size()) {
        return null;
      }
      Machine.Slot victim = candidates.get(victims.size());
      victims.add(victim);
      lostWork += lostWork(victim, nowMs);
      cpus += victim.job().spec().cpus();
      gpus += victim.job().spec().gpus();
      memoryGb += victim.job().spec().memoryGb();
    }
    return new Choice(capacity.machine(), victims, lostWork);
  }

  /** Whether a task needs more than these resources. */
  private static boolean exceeds(JobSpec spec, double cpus, double gpus, double memoryGb) {
    return spec.cpus() > cpus + FreeCapacity.EPS
        || spec.gpus() > gpus + FreeCapacity.EPS
        || spec.memoryGb() > memoryGb + FreeCapacity.EPS;
  }

  /**
   * Returns the work that is lost by preempting a task, in GPU-milliseconds: the time since its
   * start or, if it makes checkpoints, at most the time that saving its state takes; for a gang,
   * multiplied by its members.
   */
  private static double lostWork(Machine.Slot slot, long nowMs) {
    JobSpec spec = slot.job().spec();
    double ageMs = slot.ageMs(nowMs);
    double lostMs =
        spec.checkpointIntervalS() > 0 ? Math.min(ageMs, spec.checkpointSaveS() * 1000) : ageMs;
    return (1 + lostMs)
        * Math.max(1, spec.gpus())
        * Math.max(1, spec.shape() == JobSpec.Shape.GANG ? spec.tasks() : 1);
  }

  /** Returns how a victim is stopped: a task that makes checkpoints saves its state first. */
  static TaskState.Stop stopMode(JobSpec victim) {
    return victim.checkpointIntervalS() > 0 ? TaskState.Stop.SAVE : TaskState.Stop.KILL;
  }
}
