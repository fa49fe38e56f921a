package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.bookkeeping.Job;
import wickdrift.protocol.JobSpec;

/**
 * What waits at each part, as if it had been placed there already: room that is promised is not
 * free for the next job. Without that, all that comes before the first of it is placed goes to one
 * part, the largest, while the others stand empty. Kept up to date by the changes of jobs.
 */
final class QueuedDemand {
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

  /** So many of the job's tasks wait now. */
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

  /** A job that goes there, before any table tells. */
  void add(JobSpec spec, String partition) {
    add(Demand.of(spec, partition, spec.tasks()), 1);
  }

  private void add(Demand demand, int sign) {
    demandByPartition
        .computeIfAbsent(demand.partition, k -> new PartitionDemand())
        .add(demand, sign);
  }

  /** How many tasks of this kind would take what is promised at a part. */
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

  /** How many tasks with this image wait at a part. */
  int tasksWithImage(JobSpec spec, String partition) {
    PartitionDemand demand = demandByPartition.get(partition);
    return demand == null ? 0 : demand.tasksByImage.getOrDefault(spec.image(), 0);
  }
}
