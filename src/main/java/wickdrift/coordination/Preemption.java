package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.TaskState;
import wickdrift.protocol.JobSpec;

/** Which running tasks of lower priority to stop so that one of higher priority finds room. */
final class Preemption {
  /** The tasks to stop on one machine, and the work that is lost by it, in GPU-milliseconds. */
  record Choice(Machine machine, List<Machine.Slot> victims, double lostWork) {}

  private Preemption() {}

  /**
   * The machines on which stopping tasks of priority {@code strongest} or lower makes room for one
   * task, one each, the cheapest first; of equals, one that has the task's image. A machine where
   * stops already under way will do counts as found with no victims.
   *
   * @param preemptorPriority the priority for whose sake they are stopped: only lower ones are
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
    // Most machines hold too much that may not be stopped: told before anything is sorted.
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
    // A fetch is waited for by all of the task's GPUs.
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

  private static boolean exceeds(JobSpec spec, double cpus, double gpus, double memoryGb) {
    return spec.cpus() > cpus + FreeCapacity.EPS
        || spec.gpus() > gpus + FreeCapacity.EPS
        || spec.memoryGb() > memoryGb + FreeCapacity.EPS;
  }

  private static double lostWork(Machine.Slot slot, long nowMs) {
    JobSpec spec = slot.job().spec();
    double ageMs = slot.ageMs(nowMs);
    double lostMs = spec.checkpointS() > 0 ? Math.min(ageMs, spec.saveS() * 1000) : ageMs;
    return (1 + lostMs)
        * Math.max(1, spec.gpus())
        * Math.max(1, spec.shape() == JobSpec.Shape.GANG ? spec.tasks() : 1);
  }

  static TaskState.Stop stopMode(JobSpec victim) {
    return victim.checkpointS() > 0 ? TaskState.Stop.SAVE : TaskState.Stop.KILL;
  }
}
