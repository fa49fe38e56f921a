package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every command that was sent straight to a worker arrives there once more, or late for the first
 * time, after the attempt that it concerned has ended, moved or was cancelled.
 */
class CopiedDirectCommandTest {
  private static final int JOB = 1;
  private static final String JOB_ID = "req-000001";
  private static final String TASK = JOB_ID + "/0";
  private static final int URGENT_JOB = 2;
  private static final double RUN_S = 400;
  private static final long STEP_MS = 5;
  private static final long WAIT_TIMEOUT_MS = 90_000;
  private static final long SETTLE_MS = 40_000;

  /** What happened to the attempt before the commands arrive again. */
  enum Change {
    FAILED,
    PREEMPTED,
    GANG_STARTED_AGAIN,
    CANCELLED,
    LOST_WITH_ITS_MACHINE,
    FAILED_UNDER_A_RESTARTED_CONTROLLER,
    DONE
  }

  /** Whether the commands were carried out and answered before, or were never delivered. */
  enum Delivery {
    COPIED,
    HELD
  }

  /** When the commands arrive again. */
  enum Moment {
    AFTER_100_MS(100),
    AFTER_4_S(4_000),
    AFTER_55_S(55_000),
    AFTER_120_S(120_000),
    /** The machine is back at once, and nobody has told its worker an epoch. */
    AT_A_RESTARTED_WORKER(0),
    /** The machine is back at once, and its worker knows the epoch in force. */
    AT_A_RESTARTED_WORKER_THAT_KNOWS_THE_EPOCH(0);

    final long afterStartMs;

    Moment(long afterStartMs) {
      this.afterStartMs = afterStartMs;
    }

    boolean isAfterRestart() {
      return afterStartMs == 0;
    }
  }

  private SimWorld world;
  private SimWorker worker;
  private long startedMs;

  /** The attempts that were over when the commands arrived again, or the worker restarted. */
  private Set<SimRules.Start> over;

  private int startsBefore;

  static Stream<Arguments> cases() {
    List<Arguments> cases = new ArrayList<>();
    for (Change change : Change.values()) {
      for (Moment moment : Moment.values()) {
        for (Delivery delivery : Delivery.values()) {
          cases.add(Arguments.of(change, moment, delivery));
        }
      }
    }
    return cases.stream();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void lateDirectCommandStartsNoAttemptThatIsOver(Change change, Moment moment, Delivery delivery) {
    start(change, delivery);
    if (!moment.isAfterRestart()) {
      world.clock.after(
          startedMs + moment.afterStartMs - world.clock.nowMs(), () -> deliver(delivery));
      change(change);
      world.run(Math.max(0, startedMs + moment.afterStartMs - world.clock.nowMs()));
    } else {
      change(change);
      over = world.rules.attemptsOver();
      startsBefore = world.startCount();
      worker.restart();
      worker.failsEveryTask = false;
      worker.imageFetchMs = 1;
      if (moment == Moment.AT_A_RESTARTED_WORKER_THAT_KNOWS_THE_EPOCH) {
        runUntil("the restarted worker is told an epoch", worker::knowsEpoch);
      }
      deliver(delivery);
    }
    world.run(SETTLE_MS);
    assertEquals(List.of(), world.violations());
    List<SimRules.Start> startsAfter =
        world.rules.starts().subList(startsBefore, world.startCount());
    assertEquals(
        List.of(),
        startsAfter.stream().filter(over::contains).toList(),
        "attempts that started again after their end");
  }

  /** Submits the job and waits until its first task runs. */
  private void start(Change change, Delivery delivery) {
    boolean gang = change == Change.GANG_STARTED_AGAIN;
    world = new SimWorld(new SimSetup(4401, 2, 2));
    world.run(10_000);
    world.net.recordDirectCommands = true;
    world.net.faultScript =
        (from, to, path, body) ->
            path.equals("/orders") && delivery == Delivery.HELD && worker == null
                ? SimNetwork.RequestOutcome.HELD
                : SimNetwork.RequestOutcome.DELIVERED;
    double seconds = change == Change.DONE ? 1 : RUN_S;
    String shape = gang ? "ensemble" : "batch";
    Map<String, Object> job = SimJobs.job(JOB, shape, gang ? 2 : 1, 1, seconds);
    job.put("rank", change == Change.PREEMPTED ? "idle" : "standard");
    world.users.submit(job, 0);
    runUntil("the task runs", () -> machineOfTask() != null);
    startedMs = world.clock.nowMs();
    worker = workerNamed(machineOfTask());
  }

  private void deliver(Delivery delivery) {
    if (over == null) {
      over = world.rules.attemptsOver();
      startsBefore = world.startCount();
    }
    if (delivery == Delivery.HELD) {
      world.net.releaseHeld();
    } else {
      world.net.replayDirectCommands(worker.address);
    }
  }

  private void change(Change change) {
    switch (change) {
      case FAILED -> failAndStartElsewhere();
      case PREEMPTED -> preempt();
      case GANG_STARTED_AGAIN -> startGangAgain();
      case CANCELLED -> {
        world.users.withdraw(JOB_ID, world.nodes.get(0));
        runUntil("the withdrawal is confirmed", () -> world.rules.isWithdrawalConfirmed(JOB_ID));
        runUntil("the worker has removed the task", () -> !worker.hasTask(TASK));
      }
      case LOST_WITH_ITS_MACHINE -> {
        worker.restart();
        runUntil("the task runs again", () -> machineOfTask() != null);
      }
      case FAILED_UNDER_A_RESTARTED_CONTROLLER -> {
        world.crash(world.ownerOf("n0", worker.name), 300);
        failAndStartElsewhere();
      }
      case DONE ->
          runUntil(
              "the worker has removed the task",
              () -> world.rules.areAllTasksDone(JOB_ID) && !worker.hasTask(TASK));
      default -> throw new AssertionError(change);
    }
  }

  private void failAndStartElsewhere() {
    worker.failsEveryTask = true;
    worker.failTask(TASK);
    runUntil(
        "the task runs on another machine",
        () -> machineOfTask() != null && !machineOfTask().equals(worker.name));
    runUntil("the worker has removed the task", () -> !worker.hasTask(TASK));
    worker.failsEveryTask = false;
  }

  private void preempt() {
    Map<String, Object> urgent = SimJobs.job(URGENT_JOB, "batch", 8, 1, 20);
    urgent.put("rank", "urgent");
    world.users.submit(urgent, 0);
    runUntil("the task is preempted", () -> !worker.hasTask(TASK));
    runUntil("the task runs again", () -> machineOfTask() != null);
  }

  private void startGangAgain() {
    worker.failTask(TASK);
    runUntil("the gang's member is gone", () -> machineOfTask() == null);
    runUntil("the gang runs again", () -> machineOfTask() != null);
  }

  private String machineOfTask() {
    return world.rules.machineOf(TASK);
  }

  private SimWorker workerNamed(String name) {
    return world.workers().stream().filter(w -> w.name.equals(name)).findFirst().get();
  }

  private void runUntil(String condition, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + WAIT_TIMEOUT_MS;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached: " + condition);
      world.run(STEP_MS);
    }
  }
}
