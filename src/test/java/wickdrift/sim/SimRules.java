package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wickdrift.protocol.JobSpec;

/** The rules of the protocol, checked at every event of the simulated world. */
final class SimRules {
  private final SimWorld world;
  private final Map<String, SimWorker.Task> on = new HashMap<>();
  private final Set<String> doneTasks = new HashSet<>();
  private final Map<String, Long> withdrawnAt = new HashMap<>();
  private final Map<String, String> told = new HashMap<>();
  private final Map<String, Long> acceptedAt = new HashMap<>();
  private final Map<String, Long> finalAt = new HashMap<>();
  final List<String> broken = new ArrayList<>();
  int starts;

  /** When a question about a job was last answered; a test says when all troubles are over. */
  private final Map<String, Long> answered = new HashMap<>();

  long calmSinceMs = Long.MAX_VALUE;
  private static final long FORGOTTEN_MS = 75_000;

  /** Since when a job could have been given room, troubles over. */
  private final Map<String, Long> passedOverSince = new HashMap<>();

  private static final long PASSED_OVER_MS = 90_000;

  SimRules(SimWorld world) {
    this.world = world;
  }

  private void broke(String what) {
    broken.add(world.clock.nowMs() + " " + what);
    world.history.add("BROKEN " + what);
  }

  private static String job(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  void started(SimWorker.Task t) {
    starts++;
    world.history.add("on " + t.machine() + ": " + t.id + " attempt " + t.attempt);
    SimWorker.Task other = on.get(t.id);
    if (other != null && !other.machine().equals(t.machine())) {
      broke("ran_twice " + t.id + " on " + t.machine() + " and " + other.machine());
    }
    Long off = withdrawnAt.get(job(t.id));
    if (off != null) {
      broke("ran_cancelled: started " + t.id + " after the word");
    }
    for (String a : world.specs.get(job(t.id)).awaits()) {
      if (!allDone(a)) {
        broke("too_early " + t.id + " before " + a);
      }
    }
    on.put(t.id, t);
    double gpus = 0;
    int sameZone = 0;
    Set<String> zones = new HashSet<>();
    for (SimWorker.Task o : on.values()) {
      gpus += o.spec.team().equals(t.spec.team()) ? o.spec.gpus() : 0;
      if (job(o.id).equals(job(t.id))) {
        zones.add(o.zone());
        sameZone += o.zone().equals(t.zone()) ? 1 : 0;
      }
    }
    if (overLimit(t.spec.team(), gpus)) {
      broke("quota " + t.spec.team() + " " + gpus);
    }
    if (t.spec.oneZone() && zones.size() > 1
        || t.spec.spread() && sameZone > t.spec.maxTasksPerZone()) {
      broke("wrong_place " + t.id);
    }
  }

  private boolean overLimit(String team, double gpus) {
    double most = world.setup.limitOf(team);
    return most > 0 && gpus > most;
  }

  void left(SimWorker.Task t) {
    Long off = withdrawnAt.get(job(t.id));
    if (off != null && world.clock.nowMs() - off > world.cancelMs) {
      broke("ran_cancelled " + t.id + " until now");
    }
    on.remove(t.id, t);
    world.history.add("off " + t.machine() + ": " + t.id + " attempt " + t.attempt + " " + t.why);
  }

  void done(SimWorker.Task t) {
    if (doneTasks.add(t.id) && allDone(job(t.id))) {
      world.users.ended(job(t.id));
    }
  }

  /** A job that a user knew to be accepted was taken as a new one. */
  void acceptedAgain(String job, long askedMs) {
    Long accepted = acceptedAt.get(job);
    if (accepted != null && askedMs >= accepted) {
      broke("accepted_again " + job);
    }
  }

  /** A user was told of a job that nobody has submitted. */
  void invented(String job) {
    broke("invented " + job);
  }

  /** A user was told that a job is accepted. */
  void accepted(String job) {
    acceptedAt.putIfAbsent(job, world.clock.nowMs());
  }

  /** Whether a user was told that a job is done or cancelled. */
  boolean isFinal(String job) {
    return finalAt.containsKey(job);
  }

  void withdrawn(String job) {
    if (withdrawnAt.putIfAbsent(job, world.clock.nowMs()) == null) {
      world.history.add("told withdrawn: " + job);
    }
  }

  /**
   * A user was told a phase (null: 404) of an accepted job.
   *
   * @param askedMs when the question was sent: what was answered to an earlier one while a final
   *     phase was on its way is not older than what its user knew when asking
   */
  void told(String job, String phase, long askedMs) {
    answered.put(job, world.clock.nowMs());
    if (phase == null) {
      broke("forgotten " + job);
      return;
    }
    String before = told.get(job);
    boolean wasFinal = "done".equals(before) || "withdrawn".equals(before);
    if (wasFinal && !before.equals(phase) && askedMs < finalAt.get(job)) {
      return;
    }
    if (wasFinal && !before.equals(phase)) {
      broke("went_back " + job + " from " + before + " to " + phase);
    }
    if (phase.equals("done") && !allDone(job)) {
      broke("not_done " + job);
    }
    boolean over = phase.equals("done") || phase.equals("withdrawn");
    boolean asked = false;
    for (String u : upstream(job)) {
      asked |= withdrawnAt.containsKey(u) || world.users.asked.contains(u);
      Long off = withdrawnAt.get(u);
      if (!over && off != null && askedMs - off > world.cancelMs) {
        broke("orphaned " + job + " by " + u);
      }
    }
    if (phase.equals("withdrawn")) {
      // The word of a poll counts as that of the withdrawal's own answer.
      withdrawn(job);
    }
    if (phase.equals("withdrawn") && !asked) {
      broke("went_back " + job + ": withdrawn, but no one asked");
    }
    if (phase.equals("done") || phase.equals("withdrawn")) {
      finalAt.putIfAbsent(job, world.clock.nowMs());
    }
    told.put(job, phase);
  }

  boolean allDone(String job) {
    for (int i = 0; i < world.specs.get(job).tasks(); i++) {
      if (!doneTasks.contains(job + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  /** A job and all that it needs, directly or through others. */
  private Set<String> upstream(String job) {
    Set<String> all = new HashSet<>();
    List<String> open = new ArrayList<>(List.of(job));
    while (!open.isEmpty()) {
      String j = open.remove(open.size() - 1);
      if (all.add(j) && world.specs.containsKey(j)) {
        open.addAll(world.specs.get(j).awaits());
      }
    }
    return all;
  }

  /** Whether a user was told that the cancellation of a job itself has succeeded. */
  boolean toldWithdrawn(String job) {
    return withdrawnAt.containsKey(job);
  }

  String last(String job) {
    return told.get(job);
  }

  String zoneOf(String task) {
    return on.containsKey(task) ? on.get(task).zone() : null;
  }

  /** The machine that a task is on, or null. */
  String machineOf(String task) {
    return on.containsKey(task) ? on.get(task).machine() : null;
  }

  boolean isOn(String task) {
    return on.containsKey(task);
  }

  void tick() {
    long now = world.clock.nowMs();
    if (now - FORGOTTEN_MS > calmSinceMs) {
      for (String job : world.users.accepted) {
        if (now - answered.getOrDefault(job, calmSinceMs) > FORGOTTEN_MS) {
          broke("forgotten " + job + ": no question is answered");
          answered.put(job, now);
        }
      }
    }
    if (now > calmSinceMs) {
      for (String job : world.users.accepted) {
        if (!couldRunMore(job)) {
          passedOverSince.remove(job);
        } else if (now - passedOverSince.computeIfAbsent(job, k -> now) > PASSED_OVER_MS) {
          broke("passed_over " + job + ": waits beside room for it");
          passedOverSince.put(job, now);
        }
      }
    }
    withdrawnAt.forEach(
        (job, at) -> {
          if (world.clock.nowMs() - at > world.cancelMs) {
            on.keySet().stream()
                .filter(t -> job(t).equals(job))
                .forEach(t -> broke("ran_cancelled " + t));
          }
        });
  }

  /** Whether a job has a task that waits though machines have room and its team may have it. */
  private boolean couldRunMore(String job) {
    JobSpec spec = world.specs.get(job);
    if (upstream(job).stream().anyMatch(u -> world.users.asked.contains(u))
        || !spec.awaits().stream().allMatch(this::allDone)) {
      return false;
    }
    int missing = 0;
    Map<String, Integer> inZone = new HashMap<>();
    for (int i = 0; i < spec.tasks(); i++) {
      SimWorker.Task t = on.get(job + "/" + i);
      missing += t == null && !doneTasks.contains(job + "/" + i) ? 1 : 0;
      if (t != null) {
        inZone.merge(t.zone(), 1, Integer::sum);
      }
    }
    boolean together = spec.shape() == JobSpec.Shape.GANG;
    if (missing == 0 || together && missing < spec.tasks()) {
      return false;
    }
    int wanted = together ? missing : 1;
    double held = 0;
    Map<String, Integer> room = new HashMap<>();
    for (SimWorker m : world.workers()) {
      held += m.gpusOf(spec.team());
      boolean full = spec.spread() && inZone.getOrDefault(m.zone, 0) >= spec.maxTasksPerZone();
      boolean elsewhere = spec.oneZone() && !inZone.isEmpty() && !inZone.containsKey(m.zone);
      room.merge(m.zone, full || elsewhere ? 0 : m.room(spec), Integer::sum);
    }
    int most =
        spec.oneZone()
            ? room.values().stream().mapToInt(n -> n).max().orElse(0)
            : room.values().stream().mapToInt(n -> n).sum();
    return most >= wanted && !overLimit(spec.team(), held + wanted * spec.gpus());
  }
}
