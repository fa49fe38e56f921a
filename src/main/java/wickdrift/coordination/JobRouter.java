package wickdrift.coordination;

import java.util.ArrayList;
import java.util.List;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.JobSpec;
import wickdrift.settings.Settings;

/**
 * Decides whether a job can ever run, and which controller's partition it is routed to, from the
 * tables only.
 */
final class JobRouter {
  /** Tasks beyond a job's own up to which free capacity on machines with its image is compared. */
  private static final int MAX_IMAGE_HEADROOM_TASKS = 24;

  private final Tables tables;
  private final SchedulingState scheduling;
  private final MachineTypes types;
  private final Settings settings;
  private final Tuning tuning;

  JobRouter(
      Tables tables,
      SchedulingState scheduling,
      MachineTypes types,
      Settings settings,
      Tuning tuning) {
    this.tables = tables;
    this.scheduling = scheduling;
    this.types = types;
    this.settings = settings;
    this.tuning = tuning;
  }

  /** Returns why the job can never run, or null if it can. */
  String rejectionReason(JobSpec spec) {
    Settings.Team team = JobQueue.findTeam(settings, spec.team());
    if (team == null) {
      return "unknown team";
    }
    if (types.all().stream().noneMatch(type -> type.canHold(spec))) {
      return "a task fits no allowed machine type";
    }
    int tasksAtOnce = spec.shape() == JobSpec.Shape.ARRAY ? 1 : spec.tasks();
    if (tasksAtOnce > spec.maxTasksPerZone()
        && (spec.oneZone() || spec.zone() != null || countEligibleZones(spec) < 2)) {
      return "its tasks must be in several zones, and may be in one only";
    }
    if (team.maxCpus() > 0 && tasksAtOnce * spec.cpus() > team.maxCpus() + FreeCapacity.EPS
        || team.maxGpus() > 0 && tasksAtOnce * spec.gpus() > team.maxGpus() + FreeCapacity.EPS) {
      return "more than the team's limit";
    }
    return null;
  }

  private long countEligibleZones(JobSpec spec) {
    return types.all().stream()
        .filter(type -> type.canHold(spec))
        .flatMap(type -> type.zones().stream())
        .distinct()
        .count();
  }

  /**
   * Returns the partition for a job: the one with the most free capacity for it, and the leader for
   * gangs and for jobs that are large compared with a partition.
   *
   * @param batchDemand the demand of the jobs routed before in the same batch
   */
  String route(JobSpec spec, QueuedDemand batchDemand) {
    View view = tables.view();
    // A partition holds machines of its own zone first, so a job that must spread over zones is for
    // the leader, which uses the machines of all.
    boolean spansZones = spec.spread() && spec.tasks() > 1 && view.partitionsAreZonal();
    if (spec.shape() == JobSpec.Shape.GANG || spansZones) {
      return Job.LEADER_PARTITION;
    }
    CapacityIndex capacityIndex = scheduling.capacityIndex();
    // A partition is preferred if the machines that have the job's image have free capacity for the
    // whole job: elsewhere it would wait for an image fetch, which may take longer than the start
    // time allowed for its class. The partition with most such capacity wins; capacity beyond the
    // job's size counts too, so that several jobs at once don't go to the same partition.
    String best = view.owner(spec.id());
    QueuedDemand queuedDemand = scheduling.queue().waitingByPartition();
    int maxImageTasks = spec.tasks() + MAX_IMAGE_HEADROOM_TASKS;
    int bestImageTasks = Integer.MIN_VALUE;
    double mostFreeTasks = Double.NEGATIVE_INFINITY;
    String freestPartition = best;
    for (String partition : membersStartingWith(view, best)) {
      int queuedWithImage =
          queuedDemand.tasksWithImage(spec, partition)
              + batchDemand.tasksWithImage(spec, partition);
      // The limit is bounded: if more tasks are queued, the image is no reason to choose this
      // partition.
      int countLimit = maxImageTasks + Math.min(queuedWithImage, MAX_IMAGE_HEADROOM_TASKS);
      int imageTasks =
          Math.min(
              maxImageTasks,
              capacityIndex.taskCapacityWithImage(spec, partition, countLimit) - queuedWithImage);
      if (imageTasks > bestImageTasks) {
        best = partition;
        bestImageTasks = imageTasks;
      }
      double freeTasks =
          capacityIndex.estimateTaskCapacity(spec, partition)
              - queuedDemand.equivalentTasks(spec, partition)
              - batchDemand.equivalentTasks(spec, partition);
      if (freeTasks > mostFreeTasks + FreeCapacity.EPS) {
        freestPartition = partition;
        mostFreeTasks = freeTasks;
      }
    }
    if (bestImageTasks < spec.tasks()) {
      best = freestPartition;
    }
    double totalMachines = capacityIndex.countCapableMachines(spec);
    double machinesPerPartition = totalMachines / view.members().size();
    double wantedMachines = spec.tasks() * largestMachineShare(spec);
    return totalMachines > 0 && wantedMachines > tuning.largeJobShare() * machinesPerPartition
        ? Job.LEADER_PARTITION
        : best;
  }

  /** Returns the members, starting with the given one, which is chosen among equals. */
  private static List<String> membersStartingWith(View view, String first) {
    List<String> members = new ArrayList<>(view.members().keySet());
    members.remove(first);
    members.add(0, first);
    return members;
  }

  private double largestMachineShare(JobSpec spec) {
    double share = 0;
    for (MachineType type : types.all()) {
      if (type.canHold(spec)) {
        share =
            Math.max(
                share,
                Math.max(
                    spec.cpus() / type.cpus(),
                    Math.max(
                        type.gpus() > 0 ? spec.gpus() / type.gpus() : 0,
                        spec.memoryGb() / type.memoryGb())));
      }
    }
    return share;
  }
}
