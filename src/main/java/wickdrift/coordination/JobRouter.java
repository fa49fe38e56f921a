package wickdrift.coordination;

import java.util.ArrayList;
import java.util.List;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.JobSpec;
import wickdrift.settings.Settings;

/**
 * Decides, from the tables alone, whether a job can ever run and which controller's partition it
 * goes to.
 */
final class JobRouter {
  private static final int MAX_IMAGE_HEADROOM_TASKS = 24;

  private final Tables tables;
  private final SchedulingState scheduling;
  private final Types types;
  private final Settings settings;
  private final Tuning tuning;

  JobRouter(
      Tables tables, SchedulingState scheduling, Types types, Settings settings, Tuning tuning) {
    this.tables = tables;
    this.scheduling = scheduling;
    this.types = types;
    this.settings = settings;
    this.tuning = tuning;
  }

  /** Why the job can never run, or null. */
  String rejectionReason(JobSpec spec) {
    Settings.Team team = JobQueue.findTeam(settings, spec.team());
    if (team == null) {
      return "unknown team";
    }
    if (types.all().stream().noneMatch(type -> type.canHold(spec))) {
      return "a task fits no allowed machine type";
    }
    int tasksAtOnce = spec.shape() == JobSpec.Shape.ARRAY ? 1 : spec.tasks();
    if (tasksAtOnce > spec.zoneLimit()
        && (spec.oneZone() || spec.zone() != null || countEligibleZones(spec) < 2)) {
      return "its tasks must be in several zones, and may be in one only";
    }
    if (team.cpusMax() > 0 && tasksAtOnce * spec.cpus() > team.cpusMax() + FreeCapacity.EPS
        || team.gpusMax() > 0 && tasksAtOnce * spec.gpus() > team.gpusMax() + FreeCapacity.EPS) {
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
   * The part with most free room for it; gangs and what is large against a part go to the leader.
   */
  String route(JobSpec spec, QueuedDemand batchDemand) {
    View view = tables.view();
    // A part holds its own zone's machines first: what must be in several is for who sees all.
    boolean spansZones = spec.spread() && spec.tasks() > 1 && view.partitionsAreZonal();
    if (spec.shape() == JobSpec.Shape.GANG || spansZones) {
      return Job.LEADER_PARTITION;
    }
    CapacityIndex capacityIndex = scheduling.capacityIndex();
    // Room beside its image, if a part has enough of that for the whole job: elsewhere it would
    // wait for a fetch, which may take longer than its class has to start.
    // The one with most of it, counted far enough that several jobs at once do not meet there.
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
      // Counted no further than that: with more promised the image is no reason to go there.
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
    return totalMachines > 0 && wantedMachines > tuning.largeShare() * machinesPerPartition
        ? Job.LEADER_PARTITION
        : best;
  }

  /** The members, the one that the hash names first: it is taken among equals. */
  private static List<String> membersStartingWith(View view, String first) {
    List<String> members = new ArrayList<>(view.members().keySet());
    members.remove(first);
    members.add(0, first);
    return members;
  }

  private double largestMachineShare(JobSpec spec) {
    double share = 0;
    for (TypeInfo type : types.all()) {
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
