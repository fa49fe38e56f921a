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
  private record Need(
      String part, String image, int tasks, double cpus, double gpus, double memoryGb) {
    static Need of(JobSpec s, String part, int n) {
      return new Need(part, s.image(), n, n * s.cpus(), n * s.gpus(), n * s.memoryGb());
    }
  }

  private static final class Sum {
    double cpus;
    double gpus;
    double memoryGb;
    final Map<String, Integer> tasksByImage = new HashMap<>();

    void add(Need n, int sign) {
      cpus += sign * n.cpus;
      gpus += sign * n.gpus;
      memoryGb += sign * n.memoryGb;
      tasksByImage.merge(n.image, sign * n.tasks, Integer::sum);
      tasksByImage.remove(n.image, 0);
    }
  }

  private final Map<Job, Need> needs = new HashMap<>();
  private final Map<String, Sum> sums = new HashMap<>();

  /** So many of the job's tasks wait now. */
  void update(Job j, int waiting) {
    Need now = waiting > 0 ? Need.of(j.spec(), j.partition(), waiting) : null;
    Need old = now == null ? needs.remove(j) : needs.put(j, now);
    if (old != null) {
      add(old, -1);
    }
    if (now != null) {
      add(now, 1);
    }
  }

  /** A job that goes there, before any table tells. */
  void add(JobSpec s, String part) {
    add(Need.of(s, part, s.tasks()), 1);
  }

  private void add(Need n, int sign) {
    sums.computeIfAbsent(n.part, k -> new Sum()).add(n, sign);
  }

  /** How many tasks of this kind would take what is promised at a part. */
  double equivalentTasks(JobSpec s, String part) {
    Sum sum = sums.get(part);
    if (sum == null) {
      return 0;
    }
    double n = 0;
    n = s.cpus() > 0 ? Math.max(n, sum.cpus / s.cpus()) : n;
    n = s.gpus() > 0 ? Math.max(n, sum.gpus / s.gpus()) : n;
    n = s.memoryGb() > 0 ? Math.max(n, sum.memoryGb / s.memoryGb()) : n;
    return Math.max(0, n);
  }

  /** How many tasks with this image wait at a part. */
  int tasksWithImage(JobSpec s, String part) {
    Sum sum = sums.get(part);
    return sum == null ? 0 : sum.tasksByImage.getOrDefault(s.image(), 0);
  }
}
