package wickdrift.coordination.commands;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the sent commands and the received reports prove about a worker's attempts. */
class WorkerCommandsTest {
  private static final TaskAttempt ATTEMPT = new TaskAttempt("req-000001/0", 1);
  private static final String JOB = "req-000001";
  private static final long EPOCH = 7;
  private static final long SESSION = 3;

  /**
   * The verdicts after a sequence of steps. {@code A}, {@code B}: a direct command with the
   * attempt's run is sent; {@code a}, {@code b}: that command is answered; {@code r}: the run is
   * sent with the answer to a report; {@code s}: a report shows the attempt; {@code e}: the worker
   * reports a higher epoch; {@code E}: a higher epoch is in force; {@code n}: the worker reports
   * the next session; {@code R}: the worker has restarted.
   */
  @ParameterizedTest(name = "{0}: clear {1}, end {2}, confirm {3}")
  @CsvSource({
    "-,     PROVEN,                PROVEN,                PROVEN",
    "r,     PROVEN,                PROVEN,                ANSWER_IN_FLIGHT",
    "rs,    PROVEN,                WORKER_RESTARTED,      PROVEN",
    "rsn,   PROVEN,                PROVEN,                PROVEN",
    "rsR,   PROVEN,                PROVEN,                PROVEN",
    "A,     DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED",
    "Aa,    PROVEN,                PROVEN,                PROVEN",
    "Ae,    PROVEN,                PROVEN,                PROVEN",
    // After a restart the worker would execute a run that was never answered, under this epoch.
    "An,    PROVEN,                DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED",
    "Ana,   PROVEN,                PROVEN,                PROVEN",
    "AnE,   PROVEN,                PROVEN,                PROVEN",
    "Ars,   DIRECT_RUN_UNANSWERED, WORKER_RESTARTED,      DIRECT_RUN_UNANSWERED",
    "AR,    DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED",
    "ArsR,  DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED",
    "ArsRe, PROVEN,                PROVEN,                PROVEN",
    // The answer to one direct command proves nothing about another.
    "ABb,   DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED",
    "ABa,   DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED, DIRECT_RUN_UNANSWERED",
    "ABba,  PROVEN,                PROVEN,                PROVEN"
  })
  void verdictsFollowFromCommandsAndReports(
      String steps, Verdict clear, Verdict end, Verdict confirm) {
    WorkerCommands commands = new WorkerCommands();
    WorkerCommands.DirectRuns first = directRuns();
    WorkerCommands.DirectRuns second = directRuns();
    long session = SESSION;
    long epoch = EPOCH;
    for (char step : steps.toCharArray()) {
      switch (step) {
        case 'A' -> commands.directCommandSent(first);
        case 'B' -> commands.directCommandSent(second);
        case 'a' -> commands.directCommandAnswered(first);
        case 'b' -> commands.directCommandAnswered(second);
        case 'r' -> commands.runSent(ATTEMPT, 1, SESSION, 0);
        case 's' -> commands.attemptReported(ATTEMPT, 2, SESSION);
        case 'e' -> commands.epochReported(++epoch, session);
        case 'E' -> epoch++;
        case 'n' -> commands.epochReported(epoch, ++session);
        case 'R' -> commands.workerRestarted();
        default -> assertEquals('-', step);
      }
    }
    assertEquals(clear, commands.mayClear(ATTEMPT, true, true));
    assertEquals(
        end,
        commands.mayEnd(
            ATTEMPT, new WorkerCommands.AbsenceEvidence(true, true, session, false, true, epoch)));
    assertEquals(confirm, commands.verifyNoRunPending(JOB, epoch));
  }

  private static WorkerCommands.DirectRuns directRuns() {
    return new WorkerCommands.DirectRuns(EPOCH, SESSION, 0, List.of(ATTEMPT));
  }

  /** A run was sent with an answer in session 3, and no report has shown the attempt since. */
  @ParameterizedTest
  @CsvSource({
    "false, true,  3, false, true,  NOT_UNSOLICITED",
    "true,  true,  3, false, true,  PROVEN",
    "true,  false, 3, false, true,  EPOCH_NOT_REPORTED",
    "true,  false, 4, false, true,  PROVEN",
    "true,  true,  3, false, false, SESSION_CONTINUES",
    "true,  true,  4, false, false, SESSION_CONTINUES",
    "true,  true,  3, true,  false, SESSION_CONTINUES",
    "true,  true,  4, true,  false, PROVEN"
  })
  void anAttemptMissingFromAReportEndsOnlyWithEvidence(
      boolean workerInitiated,
      boolean epochReported,
      long session,
      boolean unreachableForCommands,
      boolean unwanted,
      Verdict expected) {
    WorkerCommands commands = new WorkerCommands();
    commands.runSent(ATTEMPT, 1, SESSION, 0);
    assertEquals(
        expected,
        commands.mayEnd(
            ATTEMPT,
            new WorkerCommands.AbsenceEvidence(
                workerInitiated, epochReported, session, unreachableForCommands, unwanted, EPOCH)));
  }

  @Test
  void aClearIsRefusedWithoutAWorkerInitiatedReportOrTheEpoch() {
    WorkerCommands commands = new WorkerCommands();
    assertEquals(Verdict.NOT_UNSOLICITED, commands.mayClear(ATTEMPT, false, true));
    assertEquals(Verdict.EPOCH_NOT_REPORTED, commands.mayClear(ATTEMPT, true, false));
  }

  @Test
  void runsOfAJobWithTheSameNamePrefixAreIgnored() {
    WorkerCommands commands = new WorkerCommands();
    commands.directCommandSent(
        new WorkerCommands.DirectRuns(EPOCH, SESSION, 0, List.of(new TaskAttempt(JOB + "0/0", 1))));
    assertEquals(Verdict.PROVEN, commands.verifyNoRunPending(JOB, EPOCH));
  }

  @Test
  void aRefusedClearIsOverdueUntilAHigherEpochIsReported() {
    WorkerCommands commands = new WorkerCommands();
    commands.directCommandSent(directRuns());
    assertFalse(commands.isClearOverdue(EPOCH, 100, 200), "no clear was refused yet");
    commands.mayClear(ATTEMPT, true, true);
    assertFalse(commands.isClearOverdue(EPOCH, 100, 100));
    assertTrue(commands.isClearOverdue(EPOCH, 100, 101));
    commands.epochReported(EPOCH + 1, SESSION);
    assertFalse(commands.isClearOverdue(EPOCH, 100, 200));
  }

  /** The worker would start the attempt again after a restart, beside the next attempt. */
  @Test
  void anEndWaitsForAnUnansweredRunUntilAHigherEpochIsInForce() {
    WorkerCommands commands = new WorkerCommands();
    commands.directCommandSent(directRuns());
    assertFalse(commands.isEndHeld(EPOCH, 100, 200), "no end was held yet");
    assertEquals(Verdict.DIRECT_RUN_UNANSWERED, commands.mayRecordEnd(ATTEMPT, EPOCH));
    assertFalse(commands.isEndHeld(EPOCH, 100, 100));
    assertTrue(commands.isEndHeld(EPOCH, 100, 101));
    assertEquals(Verdict.PROVEN, commands.mayRecordEnd(ATTEMPT, EPOCH + 1));
    assertFalse(commands.isEndHeld(EPOCH + 1, 100, 101));
  }

  /** Otherwise a cancellation would wait until the epoch rises for another reason. */
  @Test
  void aConfirmationThatWaitsForAnUnansweredRunAsksForAHigherEpoch() {
    WorkerCommands commands = new WorkerCommands();
    commands.directCommandSent(directRuns());
    commands.epochReported(EPOCH, SESSION + 1);
    assertEquals(Verdict.DIRECT_RUN_UNANSWERED, commands.verifyNoRunPending(JOB, EPOCH));
    assertTrue(commands.isEndHeld(EPOCH, 100, 101));
    assertEquals(Verdict.PROVEN, commands.verifyNoRunPending(JOB, EPOCH + 1));
  }
}
