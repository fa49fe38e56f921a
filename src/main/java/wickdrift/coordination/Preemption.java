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
  record Choice(Machine machine, List<Machine.Slot> victims, double lost) {}

  private Preemption() {}

  /**
   * The machines on which stopping tasks of priority {@code strongest} or lower makes room for one
   * task, one each, the cheapest first; of equals, one that has the task's image. A machine where
   * stops already under way will do counts as found with no victims.
   *
   * @param as the priority for whose sake they are stopped: only lower ones are
   */
  static List<Choice> cheapestChoices(
      List<FreeCapacity> rooms,
      JobSpec spec,
      JobSpec.Priority as,
      JobSpec.Priority strongest,
      long nowMs,
      int most) {
    List<Choice> all = new ArrayList<>();
    for (FreeCapacity r : rooms) {
      Choice c = on(r, spec, as, strongest, nowMs);
      if (c != null) {
        all.add(c);
      }
    }
    all.sort(Comparator.comparingDouble(Choice::lost));
    return all.subList(0, Math.min(most, all.size()));
  }

  static Choice on(
      FreeCapacity r, JobSpec spec, JobSpec.Priority as, JobSpec.Priority strongest, long nowMs) {
    if (!r.type().canHold(spec)) {
      return null;
    }
    double cpus = r.freeCpus();
    double gpus = r.freeGpus();
    double memory = r.freeMemoryGb();
    List<Machine.Slot> candidates = new ArrayList<>();
    for (Machine.Slot s : r.machine().slots()) {
      JobSpec o = s.job().spec();
      if (s.mustStop()) {
        cpus += o.cpus();
        gpus += o.gpus();
        memory += o.memoryGb();
      } else if (s.job().effectivePriority().ordinal() > as.ordinal()
          && s.job().effectivePriority().ordinal() >= strongest.ordinal()) {
        candidates.add(s);
      }
    }
    // Most machines hold too much that may not be stopped: told before anything is sorted.
    double allCpus = cpus;
    double allGpus = gpus;
    double allMemory = memory;
    for (Machine.Slot s : candidates) {
      allCpus += s.job().spec().cpus();
      allGpus += s.job().spec().gpus();
      allMemory += s.job().spec().memoryGb();
    }
    if (lacks(spec, allCpus, allGpus, allMemory)) {
      return null;
    }
    candidates.sort(Comparator.comparingDouble(s -> lost(s, nowMs)));
    List<Machine.Slot> victims = new ArrayList<>();
    // A fetch is waited for by all of the task's GPUs.
    double fetchMs =
        r.hasImage(spec) || r.type().fetchGbPerS() <= 0
            ? 0
            : spec.imageGb() / r.type().fetchGbPerS() * 1000;
    double lost = fetchMs * Math.max(1, spec.gpus());
    while (lacks(spec, cpus, gpus, memory)) {
      if (victims.size() == candidates.size()) {
        return null;
      }
      Machine.Slot v = candidates.get(victims.size());
      victims.add(v);
      lost += lost(v, nowMs);
      cpus += v.job().spec().cpus();
      gpus += v.job().spec().gpus();
      memory += v.job().spec().memoryGb();
    }
    return new Choice(r.machine(), victims, lost);
  }

  private static boolean lacks(JobSpec s, double cpus, double gpus, double memoryGb) {
    return s.cpus() > cpus + FreeCapacity.EPS
        || s.gpus() > gpus + FreeCapacity.EPS
        || s.memoryGb() > memoryGb + FreeCapacity.EPS;
  }

  private static double lost(Machine.Slot s, long nowMs) {
    JobSpec o = s.job().spec();
    double age = s.ageMs(nowMs);
    double work = o.checkpointS() > 0 ? Math.min(age, o.saveS() * 1000) : age;
    return (1 + work)
        * Math.max(1, o.gpus())
        * Math.max(1, o.shape() == JobSpec.Shape.GANG ? o.tasks() : 1);
  }

  static TaskState.Stop how(JobSpec victim) {
    return victim.checkpointS() > 0 ? TaskState.Stop.SAVE : TaskState.Stop.KILL;
  }
}
