package wickdrift.coordination.commands;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What the sent runs and the received reports prove about a worker's attempts. */
class WorkerCommandsTest {
  private static final TaskAttempt ATTEMPT = new TaskAttempt("req-000001/0", 1);
  private static final String JOB = "req-000001";
  private static final long SESSION = 3;

  /**
   * The verdicts after a sequence of steps. {@code r}: the run is sent with the answer to a report;
   * {@code s}: a report shows the attempt; {@code n}: the worker reports the next session; {@code
   * R}: the worker has restarted; {@code f}: the runs are forgotten.
   */
  @ParameterizedTest(name = "{0}: end {1}, confirm {2}")
  @CsvSource({
    "-,     PROVEN,                PROVEN",
    "r,     PROVEN,                ANSWER_IN_FLIGHT",
    "rs,    WORKER_RESTARTED,      PROVEN",
    "rsn,   PROVEN,                PROVEN",
    "rsR,   PROVEN,                PROVEN",
    "rn,    PROVEN,                ANSWER_IN_FLIGHT",
    "rR,    PROVEN,                ANSWER_IN_FLIGHT",
    "rsr,   PROVEN,                ANSWER_IN_FLIGHT",
    "rsrs,  WORKER_RESTARTED,      PROVEN",
    "rf,    PROVEN,                PROVEN"
  })
  void verdictsFollowFromRunsAndReports(String steps, Verdict end, Verdict confirm) {
    WorkerCommands commands = new WorkerCommands();
    long session = SESSION;
    for (char step : steps.toCharArray()) {
      switch (step) {
        case 'r' -> commands.runSent(ATTEMPT, 1, SESSION, 0);
        case 's' -> commands.attemptReported(ATTEMPT, 2, SESSION);
        case 'n' -> session++;
        case 'R' -> commands.workerRestarted();
        case 'f' -> commands.forgetRuns();
        default -> assertEquals('-', step);
      }
    }
    assertEquals(
        end,
        commands.mayEnd(
            ATTEMPT, new WorkerCommands.AbsenceEvidence(true, true, session, false, true)));
    assertEquals(confirm, commands.verifyNoRunPending(JOB));
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
      boolean unsolicited,
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
                unsolicited, epochReported, session, unreachableForCommands, unwanted)));
  }

  @Test
  void aClearIsRefusedUntilTheEpochIsReported() {
    WorkerCommands commands = new WorkerCommands();
    assertEquals(Verdict.PROVEN, commands.mayClear(true));
    assertEquals(Verdict.EPOCH_NOT_REPORTED, commands.mayClear(false));
  }

  @Test
  void runsOfAJobWithTheSameNamePrefixAreIgnored() {
    WorkerCommands commands = new WorkerCommands();
    commands.runSent(new TaskAttempt(JOB + "0/0", 1), 1, SESSION, 0);
    assertEquals(Verdict.PROVEN, commands.verifyNoRunPending(JOB));
  }
}
