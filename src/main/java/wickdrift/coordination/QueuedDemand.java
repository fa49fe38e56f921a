package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.bookkeeping.Job;
import wickdrift.protocol.JobSpec;

/**
 * The resources that waiting tasks need in each partition. The job router counts them as used.
 * Without that, all jobs that arrive before the first of them is placed would be routed to the
 * largest partition, while the others stay empty. The totals are updated with each change of a job.
 */
final class QueuedDemand {
  /** The resources that the waiting tasks of one job need in a partition. */
  private record Demand(
      String partition, String image, int tasks, double cpus, double gpus, double memoryGb) {
    static Demand of(JobSpec spec, String partition, int tasks) {
      return new Demand(
          partition,
          spec.image(),
          tasks,
          tasks * spec.cpus(),
          tasks * spec.gpus(),
          tasks * spec.memoryGb());
    }
  }

  /** The sum of the demands in one partition. */
  private static final class PartitionDemand {
    double cpus;
    double gpus;
    double memoryGb;
    final Map<String, Integer> tasksByImage = new HashMap<>();

    void add(Demand demand, int sign) {
      cpus += sign * demand.cpus;
      gpus += sign * demand.gpus;
      memoryGb += sign * demand.memoryGb;
      tasksByImage.merge(demand.image, sign * demand.tasks, Integer::sum);
      tasksByImage.remove(demand.image, 0);
    }
  }

  private final Map<Job, Demand> demandByJob = new HashMap<>();
  private final Map<String, PartitionDemand> demandByPartition = new HashMap<>();

  /** Updates the demand of a job to its present number of waiting tasks. */
  void update(Job job, int waitingTasks) {
    Demand current = waitingTasks > 0 ? Demand.of(job.spec(), job.partition(), waitingTasks) : null;
    Demand previous = current == null ? demandByJob.remove(job) : demandByJob.put(job, current);
    if (previous != null) {
      add(previous, -1);
    }
    if (current != null) {
      add(current, 1);
    }
  }

  /** Adds the demand of a job that is routed to a partition but not in the tables yet. */
  void add(JobSpec spec, String partition) {
    add(Demand.of(spec, partition, spec.tasks()), 1);
  }

  private void add(Demand demand, int sign) {
    demandByPartition
        .computeIfAbsent(demand.partition, k -> new PartitionDemand())
        .add(demand, sign);
  }

  /**
   * Returns how many tasks of the given job would need as much as the demand in a partition, by the
   * resource for which that is most.
   */
  double equivalentTasks(JobSpec spec, String partition) {
    PartitionDemand demand = demandByPartition.get(partition);
    if (demand == null) {
      return 0;
    }
    double tasks = 0;
    tasks = spec.cpus() > 0 ? Math.max(tasks, demand.cpus / spec.cpus()) : tasks;
    tasks = spec.gpus() > 0 ? Math.max(tasks, demand.gpus / spec.gpus()) : tasks;
    tasks = spec.memoryGb() > 0 ? Math.max(tasks, demand.memoryGb / spec.memoryGb()) : tasks;
    return Math.max(0, tasks);
  }

  /** Returns how many tasks with the image of the given job wait in a partition. */
  int tasksWithImage(JobSpec spec, String partition) {
    PartitionDemand demand = demandByPartition.get(partition);
    return demand == null ? 0 : demand.tasksByImage.getOrDefault(spec.image(), 0);
  }
}
