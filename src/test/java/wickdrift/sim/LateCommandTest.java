package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Commands that were sent directly to a worker are delayed without an answer and arrive after the
 * attempt there has ended, under the same epoch and in the same session. They must not start the
 * task again.
 */
class LateCommandTest {
  private static final int JOB = 1;
  private static final String JOB_ID = "req-000001";
  private static final String TASK = JOB_ID + "/0";
  private static final int OTHER_JOB = 2;
  private static final long STEP_MS = 5;
  private static final long WAIT_TIMEOUT_MS = 60_000;
  private static final long LOST_ANSWERS_MS = 6_000;

  /** How the attempt ended before the delayed command arrives. */
  enum Ending {
    /** The job was withdrawn, and the withdrawal was confirmed. */
    CANCELLED,
    /** The attempt failed, and the task runs on another machine. */
    FAILED_AND_RESTARTED_ELSEWHERE
  }

  private SimWorld world;

  /** The worker on which the task started first. */
  private SimWorker worker;

  /** Whether the answers to the worker's reports are lost. */
  private boolean loseReportAnswers;

  @BeforeEach
  void holdTheDirectCommands() {
    world = new SimWorld(new SimSetup(4401, 2, 2));
    world.run(10_000);
    world.net.faultScript = this::fateOf;
  }

  private SimNetwork.RequestOutcome fateOf(String from, String to, String path, byte[] body) {
    if (path.equals("/orders") && (worker == null || to.equals(worker.address))) {
      return SimNetwork.RequestOutcome.HELD;
    }
    return path.equals("/hello") && loseReportAnswers
        ? SimNetwork.RequestOutcome.ANSWER_LOST
        : SimNetwork.RequestOutcome.DELIVERED;
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

  private void submit() {
    world.users.submit(SimJobs.job(JOB, "batch", 1, 1, 100), 0);
  }

  private void awaitFirstStart() {
    runUntil("the task runs", () -> machineOfTask() != null);
    worker = workerNamed(machineOfTask());
  }

  private String machineOfTask() {
    return world.rules.machineOf(TASK);
  }

  /** Ends the attempt for good and waits until the worker has removed it. */
  private void endAttempt(Ending ending) {
    endAttemptForUsers(ending);
    runUntil("the worker has removed the task", () -> !worker.hasTask(TASK));
  }

  /** Ends the attempt and waits until users or other machines act on its end. */
  private void endAttemptForUsers(Ending ending) {
    if (ending == Ending.CANCELLED) {
      world.users.withdraw(JOB_ID, world.nodes.get(0));
      runUntil("the withdrawal is confirmed", () -> world.rules.isWithdrawalConfirmed(JOB_ID));
    } else {
      worker.failsEveryTask = true;
      worker.failTask(TASK);
      runUntil(
          "the task runs on another machine",
          () -> machineOfTask() != null && !machineOfTask().equals(worker.name));
    }
  }

  /** The restarted worker starts tasks as soon as it is told to. */
  private void restartWorker() {
    worker.restart();
    worker.failsEveryTask = false;
    worker.imageFetchMs = 1;
  }

  private void awaitContact() {
    runUntil("the restarted worker is told an epoch", () -> worker.knowsEpoch());
  }

  private void assertHeldCommandsStartNothing() {
    int starts = world.startCount();
    world.net.releaseHeld();
    world.run(30_000);
    assertEquals(List.of(), world.violations());
    assertEquals(starts, world.startCount(), "a delayed command has started the task again");
  }

  /** The run is sent again, since the answers with the first ones are lost. */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void directCommandsArriveAfterTheRunWasSentAgain(Ending ending) {
    loseReportAnswers = true;
    // Reports that were sent before are answered by then.
    world.run(LOST_ANSWERS_MS);
    submit();
    world.run(LOST_ANSWERS_MS);
    world.users.submit(SimJobs.job(OTHER_JOB, "batch", 6, 1, 100), 0);
    assertNull(machineOfTask(), "a run has reached a worker though all answers were lost");
    loseReportAnswers = false;
    awaitFirstStart();
    world.run(5000);
    endAttempt(ending);
    assertHeldCommandsStartNothing();
  }

  /**
   * The worker restarts at once and counts its reports from one again. None of them reaches a
   * controller until its count exceeds the last one known from the previous incarnation, so the
   * controllers take it for the same session.
   */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void directCommandsArriveAfterTheWorkerRestartedInTheSameSession(Ending ending) {
    submit();
    awaitFirstStart();
    world.run(5000);
    long tick = worker.tick;
    worker.restart();
    worker.tick = tick + 1;
    worker.failsEveryTask = ending == Ending.FAILED_AND_RESTARTED_ELSEWHERE;
    if (ending == Ending.CANCELLED) {
      world.run(2000);
      endAttempt(ending);
    } else {
      runUntil(
          "the task runs on another machine",
          () -> machineOfTask() != null && !machineOfTask().equals(worker.name));
    }
    assertHeldCommandsStartNothing();
  }

  /**
   * The worker restarts after the next attempt has started elsewhere, knows no attempt any more,
   * and takes what was sent before.
   */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void directCommandsArriveAfterTheAttemptEndedAndItsWorkerRestarted(Ending ending) {
    submit();
    awaitFirstStart();
    endAttemptForUsers(ending);
    restartWorker();
    awaitContact();
    assertHeldCommandsStartNothing();
  }

  /** The same for an attempt that ended because its worker's lease expired. */
  @Test
  void directCommandsArriveAfterTheLeaseExpiredAndTheWorkerRestarted() {
    submit();
    awaitFirstStart();
    int machine = world.workers().indexOf(worker);
    world.cutMachine(machine, false);
    runUntil(
        "the task runs on another machine",
        () -> machineOfTask() != null && !machineOfTask().equals(worker.name));
    restartWorker();
    world.healMachine(machine, "");
    awaitContact();
    assertHeldCommandsStartNothing();
  }
}
