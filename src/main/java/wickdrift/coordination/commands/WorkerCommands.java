package wickdrift.coordination.commands;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What was sent to one worker, and what its reports prove about the attempts on it.
 *
 * <p>A run is sent in the answer to a report only. Once a later unsolicited report arrives, the
 * answer has arrived or never will: a worker has a single report in flight and drops late answers.
 * What is sent straight to a worker starts nothing, so no proof depends on whether it was answered.
 */
public final class WorkerCommands {
  /**
   * The last run of a task.
   *
   * @param reportTick the tick of the newest report when the run was sent
   * @param reported whether a report has shown the attempt
   * @param session the worker's session at that time
   * @param incarnation how often the worker had restarted by then
   * @param firstSentMs when the attempt was first told to run
   */
  private record LastRun(
      long attempt,
      long reportTick,
      boolean reported,
      long session,
      int incarnation,
      long firstSentMs) {}

  /**
   * What is known when a report does not show an attempt.
   *
   * @param unsolicited whether the worker sent the report on its own initiative, so that all
   *     answers to earlier reports have arrived or never will
   * @param epochReported whether the worker has shown the current epoch
   * @param session the session that the report shows
   * @param unreachable whether commands seem not to reach the worker
   * @param endRequested whether the attempt is to end
   */
  public record AbsenceEvidence(
      boolean unsolicited,
      boolean epochReported,
      long session,
      boolean unreachable,
      boolean endRequested) {}

  private final Map<String, LastRun> lastRuns = new HashMap<>();
  private final Map<TaskAttempt, Integer> gangWaitRestarts = new HashMap<>();
  private int incarnation;

  // ---- what was sent, and its outcome ----

  /** Records that the attempt is told to run in the answer to a report. */
  public void runSent(TaskAttempt run, long tick, long session, long nowMs) {
    LastRun previousRun = lastRun(run);
    long firstSentMs =
        previousRun == null || previousRun.incarnation < incarnation
            ? nowMs
            : previousRun.firstSentMs;
    lastRuns.put(
        run.task(), new LastRun(run.attempt(), tick, false, session, incarnation, firstSentMs));
  }

  /**
   * Records that a report shows the attempt.
   *
   * @return whether the attempt was told to run and is reported for the first time since then
   */
  public boolean attemptReported(TaskAttempt run, long tick, long session) {
    LastRun previousRun = lastRuns.get(run.task());
    lastRuns.put(run.task(), new LastRun(run.attempt(), tick, true, session, incarnation, 0));
    return previousRun != null && !previousRun.reported;
  }

  /**
   * Records that the worker restarted, so that it has nothing of what its previous incarnation had.
   */
  public void workerRestarted() {
    incarnation++;
  }

  /** Returns how often the worker has restarted under the same name. */
  public int incarnation() {
    return incarnation;
  }

  /**
   * Forgets the runs, because the worker's lease has ended or another node may have commanded it
   * meanwhile.
   */
  public void forgetRuns() {
    lastRuns.clear();
  }

  /** Removes the state of all tasks except those still assigned to the machine. */
  public void retainTasks(Set<String> tasks) {
    lastRuns.keySet().retainAll(tasks);
    gangWaitRestarts.keySet().removeIf(attempt -> !tasks.contains(attempt.task()));
  }

  // ---- gang members that are told to wait again ----

  /** Returns how often the attempt was told to wait again for its gang. */
  public int gangWaitRestarts(TaskAttempt attempt) {
    return gangWaitRestarts.getOrDefault(attempt, 0);
  }

  /** Records that the attempt is told once more to wait for its gang. */
  public void gangWaitRestarted(TaskAttempt attempt) {
    gangWaitRestarts.merge(attempt, 1, Integer::sum);
  }

  // ---- what may still happen ----

  /** Whether a run of the attempt was sent and no report has shown the attempt since. */
  public boolean isRunInFlight(TaskAttempt attempt) {
    LastRun lastRun = lastRun(attempt);
    return lastRun != null && !lastRun.reported;
  }

  /** Whether an ended attempt, which a report shows, may be cleared from the worker. */
  public Verdict mayClear(boolean epochReported) {
    return epochReported ? Verdict.PROVEN : Verdict.EPOCH_NOT_REPORTED;
  }

  /** Whether a run of the attempt was sent, or a report has shown it. */
  public boolean wasSent(TaskAttempt attempt) {
    return lastRun(attempt) != null;
  }

  /** Whether an attempt that a report does not show is over. */
  public Verdict mayEnd(TaskAttempt attempt, AbsenceEvidence absence) {
    LastRun lastRun = lastRun(attempt);
    if (lastRun == null && absence.endRequested && absence.epochReported) {
      // No run was sent under this epoch, and the worker drops those of earlier ones.
      return Verdict.PROVEN;
    }
    if (!absence.unsolicited) {
      return Verdict.NOT_UNSOLICITED;
    }
    boolean wasReported = lastRun != null && lastRun.reported;
    if (wasReported && lastRun.incarnation == incarnation && lastRun.session == absence.session) {
      return Verdict.WORKER_RESTARTED;
    }
    boolean sentEarlier =
        lastRun != null && (lastRun.incarnation < incarnation || lastRun.session < absence.session);
    if (wasReported
        || absence.endRequested && absence.epochReported
        || (absence.endRequested || absence.unreachable) && sentEarlier) {
      return Verdict.PROVEN;
    }
    return absence.endRequested ? Verdict.EPOCH_NOT_REPORTED : Verdict.SESSION_CONTINUES;
  }

  /** Whether no run of any task of the job may still arrive. */
  public Verdict verifyNoRunPending(String job) {
    for (Map.Entry<String, LastRun> entry : lastRuns.entrySet()) {
      boolean ofJob = new TaskAttempt(entry.getKey(), entry.getValue().attempt).belongsToJob(job);
      if (ofJob && !entry.getValue().reported) {
        return Verdict.ANSWER_IN_FLIGHT;
      }
    }
    return Verdict.PROVEN;
  }

  /** Whether a report has shown the attempt. */
  public boolean wasReported(TaskAttempt attempt) {
    LastRun lastRun = lastRun(attempt);
    return lastRun != null && lastRun.reported;
  }

  /**
   * Whether the attempt's last recorded run or report belongs to the report with the given tick.
   */
  public boolean wasSentAfter(TaskAttempt attempt, long tick) {
    LastRun lastRun = lastRun(attempt);
    return lastRun != null && lastRun.reportTick == tick;
  }

  /**
   * Whether the attempt was told to run more than {@code longerThanMs} ago and no report has shown
   * it.
   */
  public boolean isRunIgnoredLongerThan(TaskAttempt attempt, long longerThanMs, long nowMs) {
    LastRun lastRun = lastRun(attempt);
    return lastRun != null && !lastRun.reported && nowMs - lastRun.firstSentMs > longerThanMs;
  }

  private LastRun lastRun(TaskAttempt attempt) {
    LastRun lastRun = lastRuns.get(attempt.task());
    return lastRun == null || lastRun.attempt != attempt.attempt() ? null : lastRun;
  }
}
