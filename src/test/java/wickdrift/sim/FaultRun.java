package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.function.IntFunction;

/**
 * A run of one or more fault scenarios in a simulated world, with the operations that scripts use.
 */
final class FaultRun {
  /** Number of jobs that every run submits. */
  static final int BASE_JOBS = 30;

  /** The first number of the jobs that scenarios submit in addition to the {@link #BASE_JOBS}. */
  private static final int FIRST_ADDITIONAL_JOB = 100;

  private static final long FAULTS_END_MS = 130_000;
  private static final long FAULT_FREE_MS = 250_000;

  final SimWorld world;
  final Random random;

  /** Whether the combination of faults has occurred. */
  boolean faultsOccurred;

  private final TreeSet<String> submitted = new TreeSet<>();
  private int nextNumber = FIRST_ADDITIONAL_JOB;

  FaultRun(SimWorld world, Random random) {
    this.world = world;
    this.random = random;
  }

  /** Returns the default setup, for scenarios that need no other. */
  static SimSetup setup(long seed) {
    return new SimSetup(seed, 12, 30).controllers("aab");
  }

  /** Returns the id of the job with this number. */
  static String jobId(int number) {
    return String.format("req-%06d", number);
  }

  /**
   * Runs the scenarios concurrently, followed by a period without faults, and asserts that all
   * invariants held, that withdrawn jobs are withdrawn or done, and that all other jobs are done.
   *
   * @param scenarioOfJob the scenario that determines the properties of a base job, by its number
   */
  void run(IntFunction<FaultScenario> scenarioOfJob, List<FaultScenario> scenarios) {
    for (int i = 0; i < BASE_JOBS; i++) {
      Map<String, Object> job = job(scenarioOfJob.apply(i), i);
      at(8000 + random.nextInt(12_000), () -> submit(job, 0));
    }
    scenarios.forEach(s -> s.script.accept(this));
    at(
        FAULTS_END_MS,
        () -> {
          world.net.duplication = null;
          world.rules.faultFreeSinceMs = world.clock.nowMs();
        });
    world.run(FAULTS_END_MS + FAULT_FREE_MS);
    List<String> finiteJobs = new ArrayList<>();
    for (String id : submitted) {
      if (!world.users.withdrawalRequested.contains(id)) {
        finiteJobs.add(id);
        continue;
      }
      String lastPhase = world.lastReportedPhase(id);
      assertTrue(
          "withdrawn".equals(lastPhase) || "done".equals(lastPhase), id + " is " + lastPhase);
    }
    ClusterTest.assertJobsDoneAndRulesHeld(world, finiteJobs);
  }

  /** Describes a base job, with the properties that the scenario needs. */
  private Map<String, Object> job(FaultScenario scenario, int number) {
    double seconds = 15 + random.nextInt(25);
    boolean longJobs =
        scenario == FaultScenario.LEADER_CRASHES_AND_MACHINES_UNREACHABLE_FOR_COMMANDS;
    String shape = number % 5 == 4 ? "ensemble" : "batch";
    int tasks = shape.equals("ensemble") ? 1 + number % 2 : 1 + number % 3;
    Map<String, Object> job = SimJobs.job(number, shape, tasks, 1, longJobs ? 70 : seconds);
    if (scenario == FaultScenario.ZONE_BOUND_JOBS_LOSE_MACHINES) {
      if (number % 2 == 0) {
        job.put("region", number % 4 == 0 ? "a" : "b");
      } else {
        job.put("oneZone", true);
      }
    }
    if (scenario == FaultScenario.DEMAND_EXCEEDS_CAPACITY) {
      job.put("gpus", 2.0);
      job.put("rank", number % 4 == 0 ? "urgent" : number % 4 == 1 ? "idle" : "standard");
    }
    if (scenario == FaultScenario.ALL_TEAMS_AT_LIMIT_AND_MACHINES_OF_CANCELLED_JOBS_UNREACHABLE) {
      job.put("owner", number % 2 == 0 ? "vision" : "sound");
      job.put("gpus", 2.0);
    }
    return job;
  }

  // ---- jobs ----

  /**
   * Submits a job.
   *
   * @param cancelAfterMs how long after its acceptance the job is withdrawn; 0: never
   */
  void submit(Map<String, Object> job, long cancelAfterMs) {
    submitted.add((String) job.get("ref"));
    world.users.submit(job, cancelAfterMs);
  }

  /** Returns a job number that is not used yet. */
  int nextNumber() {
    return nextNumber++;
  }

  /** Schedules small jobs of both teams in addition to the base jobs. */
  void submitAdditional(int count, long fromMs, int spanMs) {
    for (int i = 0; i < count; i++) {
      Map<String, Object> job =
          SimJobs.job(nextNumber(), "batch", 1 + i % 2, 1, 8 + random.nextInt(20));
      job.put("owner", i % 2 == 0 ? "vision" : "sound");
      at(fromMs + random.nextInt(spanMs), () -> submit(job, 0));
    }
  }

  /** Withdraws up to {@code count} running jobs now, through the controllers in turn. */
  void cancelRunning(int count) {
    int left = count;
    for (String id : cancellable()) {
      if (left > 0 && world.isRunning(id + "/0")) {
        world.users.withdraw(id, world.nodes.get(left-- % world.nodes.size()));
      }
    }
  }

  /** Withdraws the last {@code count} accepted jobs, whether they run or not. */
  void cancelNewest(int count) {
    List<String> all = cancellable();
    for (int i = Math.max(0, all.size() - count); i < all.size(); i++) {
      world.users.withdraw(all.get(i), world.nodes.get(i % world.nodes.size()));
    }
  }

  /** Withdraws running jobs and lets their machines hang or lose the network at the same moment. */
  void cancelOnFailingMachines(int count, boolean hang, long forMs) {
    int left = count;
    for (String id : cancellable()) {
      String machine = world.rules.machineOf(id + "/0");
      if (left == 0 || machine == null) {
        continue;
      }
      left--;
      if (hang) {
        world.hangMachine(indexOf(machine), forMs);
      } else {
        world.cutMachine(indexOf(machine), left % 2 == 0);
      }
      world.users.withdraw(id, world.nodes.get(left % world.nodes.size()));
    }
    if (!hang) {
      at(forMs, world::healMachines);
    }
  }

  private int indexOf(String machine) {
    List<SimWorker> all = world.workers();
    for (int i = 0; i < all.size(); i++) {
      if (all.get(i).name.equals(machine)) {
        return i;
      }
    }
    throw new AssertionError("no machine " + machine);
  }

  /**
   * Returns the accepted jobs that a script may still withdraw. Only a third of the jobs may be
   * withdrawn; the others must finish.
   */
  private List<String> cancellable() {
    List<String> out = new ArrayList<>();
    int i = 0;
    for (String id : submitted) {
      boolean mayBe = i++ % 3 == 0;
      if (mayBe
          && world.users.accepted.contains(id)
          && !world.users.withdrawalRequested.contains(id)) {
        out.add(id);
      }
    }
    return out;
  }

  /** Returns how many jobs users were told are withdrawn. */
  long cancelledCount() {
    return submitted.stream().filter(world.rules::isWithdrawalConfirmed).count();
  }

  /** Whether fewer than two GPUs, the most that a task needs, are left of the team's limit. */
  boolean atLimit(String team) {
    double held = world.workers().stream().mapToDouble(m -> m.allocatedGpus(team)).sum();
    return held > world.setup.gpuLimitOf(team) - 2;
  }

  // ---- controllers ----

  /** Schedules an action after a delay. The script itself runs at the start of the world. */
  void at(long delayMs, Runnable action) {
    world.clock.after(delayMs, action);
  }

  /** Returns the leader in the view with the newest epoch that a live controller has. */
  String leader() {
    return world.nodes.stream()
        .filter(n -> world.isAlive(n) && world.tables(n).view() != null)
        .max((a, b) -> Long.compare(world.epoch(a), world.epoch(b)))
        .map(n -> world.tables(n).view().leader())
        .orElse(world.nodes.get(0));
  }

  /** Returns the newest epoch that any live controller knows, or 0 if none knows one. */
  long newestEpoch() {
    return world.nodes.stream().filter(world::isAlive).mapToLong(this::epochOf).max().orElse(0);
  }

  /** Returns the epoch that the controller knows, or 0 if it has no view. */
  long epochOf(String node) {
    return world.tables(node).view() == null ? 0 : world.epoch(node);
  }

  /** Crashes the leader, which restarts within seconds, or pauses it until it has been replaced. */
  void crashOrPauseLeader(boolean pause) {
    if (pause) {
      world.pause(leader(), 9000, random.nextBoolean());
    } else {
      world.crash(leader(), 300 + random.nextInt(3000));
    }
  }

  /**
   * Forces a handover of the controller's work to the others.
   *
   * @param method modulo 3: 0 crashes the controller, 1 restarts it gracefully, 2 pauses it
   */
  void forceHandover(String node, int method) {
    if (!world.isAlive(node)) {
      return;
    }
    switch (method % 3) {
      case 0 -> world.crash(node, 300 + random.nextInt(4000));
      case 1 -> world.restart(node, 3000, 300);
      default -> world.pause(node, 9000, random.nextBoolean());
    }
  }

  // ---- machines ----

  /** Cuts the first machines off for a time; their messages are held back or lost. */
  void cutMachines(int machines, boolean hold, long forMs) {
    for (int m = 0; m < machines; m++) {
      world.cutMachine(m, hold);
    }
    at(forMs, world::healMachines);
  }

  /** Restarts a machine's worker at once; its tasks are lost. */
  void restartMachine(int index) {
    List<SimWorker> all = world.workers();
    all.get(index % all.size()).restart();
  }

  /** Kills the first {@code count} machines. */
  void killMachines(int count) {
    for (int i = 0; i < count; i++) {
      world.killMachine(i);
    }
  }

  /** Runs an action when a machine has come up, at most once per {@code everyMs}. */
  void whenMachinesComeUp(long fromMs, long untilMs, long everyMs, Runnable action) {
    int[] known = {world.workers().size()};
    long[] last = {Long.MIN_VALUE / 2};
    for (long t = fromMs; t < untilMs; t += 20) {
      at(
          t,
          () -> {
            boolean more = world.workers().size() > known[0];
            known[0] = world.workers().size();
            if (more && world.clock.nowMs() - last[0] >= everyMs) {
              last[0] = world.clock.nowMs();
              action.run();
            }
          });
    }
  }

  /**
   * Delivers the retained duplicates of reports to every controller whenever the leader changes.
   */
  void replayReportsAtLeaderChanges(long fromMs, long untilMs) {
    String[] last = new String[1];
    for (long t = fromMs; t < untilMs; t += 4) {
      at(
          t,
          () -> {
            String now = leader();
            if (last[0] != null && !now.equals(last[0])) {
              world.net.replayRecordedReports(world.nodes);
            }
            last[0] = now;
          });
    }
  }
}
