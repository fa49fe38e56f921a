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
  private static final int BESIDE_MOST = 24;

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
  String impossible(JobSpec s) {
    Settings.Team team = JobQueue.findTeam(settings, s.team());
    if (team == null) {
      return "unknown team";
    }
    if (types.all().stream().noneMatch(t -> t.canHold(s))) {
      return "a task fits no allowed machine type";
    }
    int n = s.shape() == JobSpec.Shape.ARRAY ? 1 : s.tasks();
    if (n > s.zoneLimit() && (s.oneZone() || s.zone() != null || zonesOf(s) < 2)) {
      return "its tasks must be in several zones, and may be in one only";
    }
    if (team.cpusMax() > 0 && n * s.cpus() > team.cpusMax() + FreeCapacity.EPS
        || team.gpusMax() > 0 && n * s.gpus() > team.gpusMax() + FreeCapacity.EPS) {
      return "more than the team's limit";
    }
    return null;
  }

  private long zonesOf(JobSpec s) {
    return types.all().stream()
        .filter(t -> t.canHold(s))
        .flatMap(t -> t.zones().stream())
        .distinct()
        .count();
  }

  /**
   * The part with most free room for it; gangs and what is large against a part go to the leader.
   */
  String route(JobSpec s, QueuedDemand together) {
    View v = tables.view();
    // A part holds its own zone's machines first: what must be in several is for who sees all.
    boolean manyZones = s.spread() && s.tasks() > 1 && v.partitionsAreZonal();
    if (s.shape() == JobSpec.Shape.GANG || manyZones) {
      return Job.LEADER_PARTITION;
    }
    CapacityIndex rooms = scheduling.capacityIndex();
    // Room beside its image, if a part has enough of that for the whole job: elsewhere it would
    // wait for a fetch, which may take longer than its class has to start.
    // The one with most of it, counted far enough that several jobs at once do not meet there.
    String best = v.owner(s.id());
    QueuedDemand waiting = scheduling.queue().waitingByPartition();
    int enough = s.tasks() + BESIDE_MOST;
    int beside = Integer.MIN_VALUE;
    double free = Double.NEGATIVE_INFINITY;
    String freest = best;
    for (String part : inOrder(v, best)) {
      int promised = waiting.tasksWithImage(s, part) + together.tasksWithImage(s, part);
      // Counted no further than that: with more promised the image is no reason to go there.
      int most = enough + Math.min(promised, BESIDE_MOST);
      int n = Math.min(enough, rooms.taskCapacityWithImage(s, part, most) - promised);
      if (n > beside) {
        best = part;
        beside = n;
      }
      double f =
          rooms.estimateTaskCapacity(s, part)
              - waiting.equivalentTasks(s, part)
              - together.equivalentTasks(s, part);
      if (f > free + FreeCapacity.EPS) {
        freest = part;
        free = f;
      }
    }
    if (beside < s.tasks()) {
      best = freest;
    }
    double total = rooms.countCapableMachines(s);
    double partMachines = total / v.members().size();
    double wanted = s.tasks() * largestShare(s);
    return total > 0 && wanted > tuning.largeShare() * partMachines ? Job.LEADER_PARTITION : best;
  }

  /** The members, the one that the hash names first: it is taken among equals. */
  private static List<String> inOrder(View v, String first) {
    List<String> all = new ArrayList<>(v.members().keySet());
    all.remove(first);
    all.add(0, first);
    return all;
  }

  private double largestShare(JobSpec s) {
    double share = 0;
    for (TypeInfo t : types.all()) {
      if (t.canHold(s)) {
        share =
            Math.max(
                share,
                Math.max(
                    s.cpus() / t.cpus(),
                    Math.max(t.gpus() > 0 ? s.gpus() / t.gpus() : 0, s.memoryGb() / t.memoryGb())));
      }
    }
    return share;
  }
}
