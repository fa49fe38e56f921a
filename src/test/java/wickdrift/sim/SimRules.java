package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wickdrift.protocol.JobSpec;

/**
 * Checks the rules of the protocol on what runs on the machines and on what users are told. Each
 * violation is recorded under the name of its rule.
 */
final class SimRules {
  private final SimWorld world;
  private final Map<String, SimWorker.Task> runningTasks = new HashMap<>();
  private final Set<String> doneTasks = new HashSet<>();
  private final Map<String, Long> withdrawalConfirmedMs = new HashMap<>();
  private final Map<String, String> lastPhase = new HashMap<>();
  private final Map<String, Long> acceptedMs = new HashMap<>();
  private final Map<String, Long> terminalStateReportedMs = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  int startCount;

  /** When a request about a job was last answered, by job. */
  private final Map<String, Long> lastAnswerMs = new HashMap<>();

  /** When the last fault ended, set by the test. Liveness rules apply only after that. */
  long faultFreeSinceMs = Long.MAX_VALUE;

  /** The longest time without an answer about an accepted job, after the last fault. */
  private static final long ANSWER_TIMEOUT_MS = 75_000;

  /** Since when a task of a job has waited despite free capacity, by job, after the last fault. */
  private final Map<String, Long> schedulableSinceMs = new HashMap<>();

  /** The longest time for which a task may wait despite free capacity, after the last fault. */
  private static final long SCHEDULING_TIMEOUT_MS = 90_000;

  SimRules(SimWorld world) {
    this.world = world;
  }

  /** An attempt that has started on a machine. */
  record Start(String task, int attempt, String machine) {}

  private final List<Start> starts = new ArrayList<>();

  private void recordViolation(String description) {
    violations.add(world.clock.nowMs() + " " + description);
    world.history.add("BROKEN " + description);
  }

  /** Returns the job of a task, from the task's name. */
  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('/'));
  }

  /** An attempt has started on a machine. */
  void taskStarted(SimWorker.Task task) {
    startCount++;
    starts.add(new Start(task.id, task.attempt, task.machine()));
    world.history.add("on " + task.machine() + ": " + task.id + " attempt " + task.attempt);
    SimWorker.Task other = runningTasks.get(task.id);
    if (other != null && !other.machine().equals(task.machine())) {
      recordViolation("ran_twice " + task.id + " on " + task.machine() + " and " + other.machine());
    }
    Long confirmedMs = withdrawalConfirmedMs.get(jobOf(task.id));
    if (confirmedMs != null) {
      recordViolation("ran_cancelled: started " + task.id + " after its withdrawal was confirmed");
    }
    for (String dependency : world.specs.get(jobOf(task.id)).awaits()) {
      if (!areAllTasksDone(dependency)) {
        recordViolation("too_early " + task.id + " before " + dependency);
      }
    }
    runningTasks.put(task.id, task);
    double gpus = 0;
    int sameZone = 0;
    Set<String> zones = new HashSet<>();
    for (SimWorker.Task running : runningTasks.values()) {
      gpus += running.spec.team().equals(task.spec.team()) ? running.spec.gpus() : 0;
      if (jobOf(running.id).equals(jobOf(task.id))) {
        zones.add(running.zone());
        sameZone += running.zone().equals(task.zone()) ? 1 : 0;
      }
    }
    if (exceedsQuota(task.spec.team(), gpus)) {
      recordViolation("quota " + task.spec.team() + " " + gpus);
    }
    if (task.spec.oneZone() && zones.size() > 1
        || task.spec.spread() && sameZone > task.spec.maxTasksPerZone()) {
      recordViolation("wrong_place " + task.id);
    }
  }

  /** Whether a team would use more GPUs than its limit; a limit of 0 means none. */
  private boolean exceedsQuota(String team, double gpus) {
    double limit = world.setup.gpuLimitOf(team);
    return limit > 0 && gpus > limit;
  }

  /** Returns all starts so far, in order. */
  List<Start> starts() {
    return List.copyOf(starts);
  }

  /** Returns the attempts that have started and do not run any more. */
  Set<Start> attemptsOver() {
    Set<Start> over = new HashSet<>(starts);
    runningTasks.values().forEach(t -> over.remove(new Start(t.id, t.attempt, t.machine())));
    return over;
  }

  /** An attempt has stopped on a machine, for whatever reason. */
  void taskStopped(SimWorker.Task task) {
    Long confirmedMs = withdrawalConfirmedMs.get(jobOf(task.id));
    if (confirmedMs != null && world.clock.nowMs() - confirmedMs > world.cancelDeadlineMs) {
      recordViolation("ran_cancelled " + task.id + " until now");
    }
    runningTasks.remove(task.id, task);
    world.history.add(
        "off "
            + task.machine()
            + ": "
            + task.id
            + " attempt "
            + task.attempt
            + " "
            + task.exitReason);
  }

  /** A task has finished successfully. */
  void taskDone(SimWorker.Task task) {
    if (doneTasks.add(task.id) && areAllTasksDone(jobOf(task.id))) {
      world.users.allTasksDone(jobOf(task.id));
    }
  }

  /** A submission was accepted as new; this is a violation if its user knew it to be accepted. */
  void submissionAcceptedAsNew(String job, long requestSentMs) {
    Long firstAcceptedMs = acceptedMs.get(job);
    if (firstAcceptedMs != null && requestSentMs >= firstAcceptedMs) {
      recordViolation("accepted_again " + job);
    }
  }

  /** A user was told the state of a job that nobody has submitted. */
  void unknownJobReported(String job) {
    recordViolation("invented " + job);
  }

  /** A user was told that a job is accepted. */
  void jobAccepted(String job) {
    acceptedMs.putIfAbsent(job, world.clock.nowMs());
  }

  /** Whether a user was told that a job is done or withdrawn. */
  boolean isTerminalStateReported(String job) {
    return terminalStateReportedMs.containsKey(job);
  }

  /** A user was told that a job is withdrawn; none of its tasks may start after that. */
  void withdrawalConfirmed(String job) {
    if (withdrawalConfirmedMs.putIfAbsent(job, world.clock.nowMs()) == null) {
      world.history.add("told withdrawn: " + job);
    }
  }

  /**
   * A user was told the phase of an accepted job.
   *
   * @param phase the phase, or null if the answer was 404
   * @param requestSentMs when the request was sent. A request sent before the user was told a
   *     terminal state may still be answered with an earlier phase
   */
  void phaseReported(String job, String phase, long requestSentMs) {
    lastAnswerMs.put(job, world.clock.nowMs());
    if (phase == null) {
      recordViolation("forgotten " + job);
      return;
    }
    String previousPhase = lastPhase.get(job);
    boolean wasTerminal = "done".equals(previousPhase) || "withdrawn".equals(previousPhase);
    if (wasTerminal
        && !previousPhase.equals(phase)
        && requestSentMs < terminalStateReportedMs.get(job)) {
      return;
    }
    if (wasTerminal && !previousPhase.equals(phase)) {
      recordViolation("went_back " + job + " from " + previousPhase + " to " + phase);
    }
    if (phase.equals("done") && !areAllTasksDone(job)) {
      recordViolation("not_done " + job);
    }
    boolean terminal = phase.equals("done") || phase.equals("withdrawn");
    boolean withdrawalRequested = false;
    for (String dependency : jobAndDependencies(job)) {
      withdrawalRequested |=
          withdrawalConfirmedMs.containsKey(dependency)
              || world.users.withdrawalRequested.contains(dependency);
      Long confirmedMs = withdrawalConfirmedMs.get(dependency);
      if (!terminal
          && confirmedMs != null
          && requestSentMs - confirmedMs > world.cancelDeadlineMs) {
        recordViolation("orphaned " + job + " by " + dependency);
      }
    }
    if (phase.equals("withdrawn")) {
      // A poll that answers "withdrawn" confirms the withdrawal like the withdrawal's own answer.
      withdrawalConfirmed(job);
    }
    if (phase.equals("withdrawn") && !withdrawalRequested) {
      recordViolation("went_back " + job + ": withdrawn without a request");
    }
    if (phase.equals("done") || phase.equals("withdrawn")) {
      terminalStateReportedMs.putIfAbsent(job, world.clock.nowMs());
    }
    lastPhase.put(job, phase);
  }

  /** Whether every task of a job has finished successfully. */
  boolean areAllTasksDone(String job) {
    for (int i = 0; i < world.specs.get(job).tasks(); i++) {
      if (!doneTasks.contains(job + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  /** Returns a job and all its direct and transitive dependencies. */
  private Set<String> jobAndDependencies(String job) {
    Set<String> all = new HashSet<>();
    List<String> unvisited = new ArrayList<>(List.of(job));
    while (!unvisited.isEmpty()) {
      String next = unvisited.remove(unvisited.size() - 1);
      if (all.add(next) && world.specs.containsKey(next)) {
        unvisited.addAll(world.specs.get(next).awaits());
      }
    }
    return all;
  }

  /** Whether a user was told that a job itself is withdrawn, not only one of its dependencies. */
  boolean isWithdrawalConfirmed(String job) {
    return withdrawalConfirmedMs.containsKey(job);
  }

  /** Returns the last phase of a job that a user was told, or null. */
  String lastReportedPhase(String job) {
    return lastPhase.get(job);
  }

  /** Returns the zone in which a task runs, or null if it does not run. */
  String zoneOf(String task) {
    return runningTasks.containsKey(task) ? runningTasks.get(task).zone() : null;
  }

  /** Returns the machine on which a task runs, or null if it does not run. */
  String machineOf(String task) {
    return runningTasks.containsKey(task) ? runningTasks.get(task).machine() : null;
  }

  /** Whether a task runs on any machine. */
  boolean isRunning(String task) {
    return runningTasks.containsKey(task);
  }

  /** Checks the rules that have a time limit: answers, scheduling and the end of withdrawn jobs. */
  void check() {
    long now = world.clock.nowMs();
    if (now - ANSWER_TIMEOUT_MS > faultFreeSinceMs) {
      for (String job : world.users.accepted) {
        if (now - lastAnswerMs.getOrDefault(job, faultFreeSinceMs) > ANSWER_TIMEOUT_MS) {
          recordViolation("forgotten " + job + ": no question is answered");
          lastAnswerMs.put(job, now);
        }
      }
    }
    if (now > faultFreeSinceMs) {
      for (String job : world.users.accepted) {
        if (!hasSchedulableTask(job)) {
          schedulableSinceMs.remove(job);
        } else if (now - schedulableSinceMs.computeIfAbsent(job, k -> now)
            > SCHEDULING_TIMEOUT_MS) {
          recordViolation("passed_over " + job + ": waits despite free capacity");
          schedulableSinceMs.put(job, now);
        }
      }
    }
    withdrawalConfirmedMs.forEach(
        (job, at) -> {
          if (world.clock.nowMs() - at > world.cancelDeadlineMs) {
            runningTasks.keySet().stream()
                .filter(t -> jobOf(t).equals(job))
                .forEach(t -> recordViolation("ran_cancelled " + t));
          }
        });
  }

  /** Whether a task of a job waits although machines have capacity and the quota permits it. */
  private boolean hasSchedulableTask(String job) {
    JobSpec spec = world.specs.get(job);
    if (jobAndDependencies(job).stream().anyMatch(u -> world.users.withdrawalRequested.contains(u))
        || !spec.awaits().stream().allMatch(this::areAllTasksDone)) {
      return false;
    }
    int missing = 0;
    Map<String, Integer> runningByZone = new HashMap<>();
    for (int i = 0; i < spec.tasks(); i++) {
      SimWorker.Task task = runningTasks.get(job + "/" + i);
      missing += task == null && !doneTasks.contains(job + "/" + i) ? 1 : 0;
      if (task != null) {
        runningByZone.merge(task.zone(), 1, Integer::sum);
      }
    }
    boolean allAtOnce = spec.shape() == JobSpec.Shape.GANG;
    if (missing == 0 || allAtOnce && missing < spec.tasks()) {
      return false;
    }
    int wanted = allAtOnce ? missing : 1;
    double allocatedGpus = 0;
    Map<String, Integer> capacityByZone = new HashMap<>();
    for (SimWorker worker : world.workers()) {
      allocatedGpus += worker.allocatedGpus(spec.team());
      boolean zoneLimitReached =
          spec.spread() && runningByZone.getOrDefault(worker.zone, 0) >= spec.maxTasksPerZone();
      boolean inOtherZone =
          spec.oneZone() && !runningByZone.isEmpty() && !runningByZone.containsKey(worker.zone);
      capacityByZone.merge(
          worker.zone,
          zoneLimitReached || inOtherZone ? 0 : worker.taskCapacity(spec),
          Integer::sum);
    }
    int capacity =
        spec.oneZone()
            ? capacityByZone.values().stream().mapToInt(n -> n).max().orElse(0)
            : capacityByZone.values().stream().mapToInt(n -> n).sum();
    return capacity >= wanted && !exceedsQuota(spec.team(), allocatedGpus + wanted * spec.gpus());
  }
}
