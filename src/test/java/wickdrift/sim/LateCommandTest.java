package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * A run command that was sent directly to a worker is delayed without an answer and arrives after
 * its attempt has ended, under the same epoch and in the same session. It must not start the task
 * again.
 */
class LateCommandTest {
  private static final int JOB = 1;
  private static final String JOB_ID = "req-000001";
  private static final String TASK = JOB_ID + "/0";
  private static final int OTHER_JOB = 2;
  private static final long STEP_MS = 5;
  private static final long WAIT_TIMEOUT_MS = 60_000;

  /** How the attempt ended before the delayed command arrives. */
  enum Ending {
    /** The job was withdrawn, and the withdrawal was confirmed. */
    CANCELLED,
    /** The attempt failed, and the task runs on another machine. */
    FAILED_AND_RESTARTED_ELSEWHERE
  }

  private SimWorld world;

  /** The worker that the first command to run the task was sent to. */
  private SimWorker worker;

  /** Number of commands to run the task that were sent directly to a worker. */
  private int directRunCommands;

  /** Whether the answers to the worker's reports are lost. */
  private boolean loseReportAnswers;

  @BeforeEach
  void holdTheFirstRunCommand() {
    world = new SimWorld(new SimSetup(4401, 2, 2));
    world.run(10_000);
    world.net.faultScript = this::fateOf;
  }

  private SimNetwork.RequestOutcome fateOf(String from, String to, String path, byte[] body) {
    if (path.equals("/orders") && runsTheTask(body)) {
      directRunCommands++;
      worker = worker == null ? workerAt(to) : worker;
      return directRunCommands == 1
          ? SimNetwork.RequestOutcome.HELD
          : SimNetwork.RequestOutcome.DELIVERED;
    }
    boolean report = path.equals("/hello") && worker != null && from.equals(worker.address);
    return report && loseReportAnswers
        ? SimNetwork.RequestOutcome.ANSWER_LOST
        : SimNetwork.RequestOutcome.DELIVERED;
  }

  private static boolean runsTheTask(byte[] body) {
    try {
      for (Document order : Document.parse(body).documents("orders")) {
        if (order.text("verb").equals("run") && order.text("shard").equals(TASK)) {
          return true;
        }
      }
      return false;
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private SimWorker workerAt(String address) {
    return world.workers().stream()
        .filter(candidate -> candidate.address.equals(address))
        .findFirst()
        .get();
  }

  private void runUntil(String condition, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + WAIT_TIMEOUT_MS;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached: " + condition);
      world.run(STEP_MS);
    }
  }

  /**
   * Submits the job and waits until the first command to run its task has been sent and is held.
   */
  private void submit() {
    world.users.submit(SimJobs.job(JOB, "batch", 1, 1, 100), 0);
    runUntil("the first run command is held", () -> directRunCommands == 1);
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

  private void assertHeldRunCommandStartsNothing() {
    int starts = world.startCount();
    world.net.releaseHeld();
    world.run(30_000);
    assertEquals(List.of(), world.violations());
    assertEquals(starts, world.startCount(), "the delayed command has started the task again");
  }

  /**
   * The run command is sent directly a second time because no report showed the task, and this one
   * is answered. The answer says nothing about the first command, which is still in transit.
   */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void firstRunCommandArrivesAfterTheSecondWasAnswered(Ending ending) {
    loseReportAnswers = true;
    submit();
    long tick = worker.tick;
    // The controller gives up on the first command, and the answer to the next report is lost.
    world.run(4000);
    runUntil("the worker sends its next report", () -> worker.tick > tick);
    world.users.submit(SimJobs.job(OTHER_JOB, "batch", 6, 1, 100), 0);
    runUntil("the second run command is sent", () -> directRunCommands == 2);
    loseReportAnswers = false;
    runUntil("the task runs on its first worker", () -> worker.name.equals(machineOfTask()));
    world.run(5000);
    endAttempt(ending);
    assertHeldRunCommandStartsNothing();
  }

  /**
   * The worker restarts at once and counts its reports from one again. None of them reaches a
   * controller until its count exceeds the last one known from the previous incarnation, so the
   * controllers take it for the same session.
   */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void runCommandArrivesAfterTheWorkerRestartedInTheSameSession(Ending ending) {
    submit();
    runUntil("the task runs on its first worker", () -> worker.name.equals(machineOfTask()));
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
    assertHeldRunCommandStartsNothing();
  }

  /**
   * Guards against an end that is recorded while a run of the attempt is unanswered: the worker
   * restarts after the next attempt has started elsewhere, knows no attempt any more, and takes the
   * run from before.
   */
  @ParameterizedTest
  @EnumSource(Ending.class)
  void runCommandArrivesAfterTheAttemptEndedAndItsWorkerRestarted(Ending ending) {
    submit();
    runUntil("the task runs on its first worker", () -> worker.name.equals(machineOfTask()));
    endAttemptForUsers(ending);
    restartWorker();
    awaitContact();
    assertHeldRunCommandStartsNothing();
  }

  /** The same for an attempt that ended because its worker's lease expired. */
  @Test
  void runCommandArrivesAfterTheLeaseExpiredAndTheWorkerRestarted() {
    submit();
    runUntil("the task runs on its first worker", () -> worker.name.equals(machineOfTask()));
    int machine = world.workers().indexOf(worker);
    world.cutMachine(machine, false);
    runUntil(
        "the task runs on another machine",
        () -> machineOfTask() != null && !machineOfTask().equals(worker.name));
    restartWorker();
    world.healMachine(machine, "");
    awaitContact();
    assertHeldRunCommandStartsNothing();
  }
}
