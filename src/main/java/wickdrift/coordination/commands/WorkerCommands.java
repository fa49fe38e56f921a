package wickdrift.coordination.commands;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What was sent to one worker, and what of it may still take effect.
 *
 * <p>A command that is carried by the answer to a report has arrived, or never will, once a later
 * report comes by itself. One that is sent straight to the worker is <em>outstanding</em> until it
 * is answered itself, or the worker surely refuses it: it has shown a higher epoch, or a newer
 * session, in a report that is no copy. Each command counts by itself: that a later one for the
 * same attempt was answered tells nothing of an earlier one.
 *
 * <p>A worker that has begun anew, under the same name, counts its sessions from one and has seen
 * no epoch. What was sent to the one before stays outstanding until it shows a higher epoch than
 * that of the command.
 */
public final class WorkerCommands {
  /**
   * Runs that were sent straight to the worker with one command.
   *
   * @param epoch under which it was sent; a worker that has seen a higher one refuses it
   * @param session of the worker then; in another it is refused
   */
  public record DirectRuns(long epoch, long session, long sentMs, List<TaskAttempt> runs) {}

  /**
   * The last run of a task, however it was sent.
   *
   * @param reportTick of the report that it followed
   * @param reported a report has shown the attempt
   * @param session of the worker then
   * @param incarnation how often the worker had begun anew by then
   * @param firstSentMs when the first was sent
   */
  private record LastRun(
      int attempt,
      long reportTick,
      boolean reported,
      long session,
      int incarnation,
      long firstSentMs) {}

  /**
   * What is known when a report does not show an attempt.
   *
   * @param workerInitiated it came by itself: all answers to earlier ones have arrived or never
   *     will
   * @param epochReported the worker has shown the epoch in force
   * @param session of the report
   * @param unreachable nothing seems to reach the worker
   * @param endRequested the attempt is to end
   */
  public record AbsenceEvidence(
      boolean workerInitiated,
      boolean epochReported,
      long session,
      boolean unreachable,
      boolean endRequested) {}

  private final List<DirectRuns> outstandingCommands = new ArrayList<>();
  private final Map<String, LastRun> lastRuns = new HashMap<>();
  private final Map<TaskAttempt, Integer> gangWaitRestarts = new HashMap<>();

  /** Attempts that ended here and are not cleared, as a run of them is outstanding. */
  private final Set<TaskAttempt> refusedClears = new HashSet<>();

  private int incarnation;

  // ---- what was sent, and what became of it ----

  /** A command with runs is sent straight to the worker. */
  public void directCommandSent(DirectRuns command) {
    if (!command.runs().isEmpty()) {
      outstandingCommands.add(command);
    }
  }

  /** It was executed, or refused for good: it, and no other, can't arrive any more. */
  public void directCommandAnswered(DirectRuns command) {
    outstandingCommands.removeIf(outstanding -> outstanding == command);
  }

  /** The attempt is told to run, in whatever way. */
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
   * A report shows the attempt.
   *
   * @return whether it was told to run, and is seen for the first time since
   */
  public boolean attemptReported(TaskAttempt run, long tick, long session) {
    LastRun previousRun = lastRuns.get(run.task());
    lastRuns.put(run.task(), new LastRun(run.attempt(), tick, true, session, incarnation, 0));
    return previousRun != null && !previousRun.reported;
  }

  /** A report that is surely no copy has shown this epoch and session. */
  public void epochReported(long epoch, long session) {
    outstandingCommands.removeIf(command -> epoch > command.epoch() || session > command.session());
    refusedClears.removeIf(attempt -> !isRunOutstanding(attempt));
  }

  /** The worker has begun anew, and holds nothing of what the one before had. */
  public void workerRestarted() {
    incarnation++;
  }

  /** Its lease has ended, or someone else may have commanded it meanwhile. */
  public void forgetRuns() {
    lastRuns.clear();
  }

  /** Only these tasks are booked on the machine still. */
  public void retainTasks(Set<String> tasks) {
    lastRuns.keySet().retainAll(tasks);
    gangWaitRestarts.keySet().removeIf(attempt -> !tasks.contains(attempt.task()));
  }

  // ---- gang members that are told to go on waiting ----

  /** How often the attempt was told to go on waiting for its gang. */
  public int gangWaitRestarts(TaskAttempt attempt) {
    return gangWaitRestarts.getOrDefault(attempt, 0);
  }

  /** It is told so once more. */
  public void gangWaitRestarted(TaskAttempt attempt) {
    gangWaitRestarts.merge(attempt, 1, Integer::sum);
  }

  // ---- what may still happen ----

  /** Whether a run that was sent straight to the worker may still start the attempt. */
  public boolean isRunOutstanding(TaskAttempt attempt) {
    for (DirectRuns command : outstandingCommands) {
      if (command.runs().contains(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a run of the attempt has been outstanding under this epoch for longer than that. */
  public boolean isRunOutstandingLongerThan(
      TaskAttempt attempt, long epoch, long longerThanMs, long nowMs) {
    for (DirectRuns command : outstandingCommands) {
      if (command.epoch() == epoch
          && nowMs - command.sentMs() > longerThanMs
          && command.runs().contains(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Whether an ended attempt has been waiting for longer than that to be cleared. */
  public boolean isClearOverdue(long epoch, long longerThanMs, long nowMs) {
    return refusedClears.stream()
        .anyMatch(attempt -> isRunOutstandingLongerThan(attempt, epoch, longerThanMs, nowMs));
  }

  /** Whether nothing is outstanding. */
  public boolean hasNoOutstandingRuns() {
    return outstandingCommands.isEmpty();
  }

  /** Commands that are outstanding, for the record of an invariant that is violated. */
  public List<DirectRuns> outstandingCommands() {
    return List.copyOf(outstandingCommands);
  }

  /** Whether an ended attempt may be removed from the worker, after which a run starts it anew. */
  public Verdict mayClear(TaskAttempt attempt, boolean workerInitiated, boolean epochReported) {
    if (!workerInitiated) {
      return Verdict.NOT_WORKER_INITIATED;
    }
    if (!epochReported) {
      return Verdict.EPOCH_NOT_REPORTED;
    }
    if (isRunOutstanding(attempt)) {
      refusedClears.add(attempt);
      return Verdict.DIRECT_RUN_UNANSWERED;
    }
    return Verdict.PROVEN;
  }

  /** Whether an attempt that a report does not show is over. */
  public Verdict mayEnd(TaskAttempt attempt, AbsenceEvidence absence) {
    if (!absence.workerInitiated) {
      return Verdict.NOT_WORKER_INITIATED;
    }
    LastRun lastRun = lastRun(attempt);
    if (lastRun != null
        && lastRun.reported
        && lastRun.incarnation == incarnation
        && lastRun.session == absence.session) {
      return Verdict.WORKER_RESTARTED;
    }
    if (isRunOutstanding(attempt)) {
      return Verdict.DIRECT_RUN_UNANSWERED;
    }
    if (lastRun != null && lastRun.reported) {
      return Verdict.PROVEN;
    }
    if (absence.endRequested && absence.epochReported) {
      return Verdict.PROVEN;
    }
    boolean sentEarlier =
        lastRun != null && (lastRun.incarnation < incarnation || lastRun.session < absence.session);
    if ((absence.endRequested || absence.unreachable) && sentEarlier) {
      return Verdict.PROVEN;
    }
    return absence.endRequested ? Verdict.EPOCH_NOT_REPORTED : Verdict.SESSION_CONTINUES;
  }

  /** Whether no run of any task of the job may still arrive. */
  public Verdict verifyNoRunPending(String job) {
    for (DirectRuns command : outstandingCommands) {
      if (command.runs().stream().anyMatch(attempt -> attempt.belongsToJob(job))) {
        return Verdict.DIRECT_RUN_UNANSWERED;
      }
    }
    for (Map.Entry<String, LastRun> entry : lastRuns.entrySet()) {
      boolean ofJob = new TaskAttempt(entry.getKey(), entry.getValue().attempt).belongsToJob(job);
      if (ofJob && !entry.getValue().reported) {
        return Verdict.ANSWER_IN_FLIGHT;
      }
    }
    return Verdict.PROVEN;
  }

  /** Whether the attempt was told to run, or seen, since it is known here. */
  public boolean hasLastRun(TaskAttempt attempt) {
    return lastRun(attempt) != null;
  }

  /** Whether a report has shown the attempt. */
  public boolean wasReported(TaskAttempt attempt) {
    LastRun lastRun = lastRun(attempt);
    return lastRun != null && lastRun.reported;
  }

  /** Whether the attempt was told to run after this very report. */
  public boolean wasSentAfter(TaskAttempt attempt, long tick) {
    LastRun lastRun = lastRun(attempt);
    return lastRun != null && lastRun.reportTick == tick;
  }

  /** Whether the attempt was told to run longer ago than that, and no report has shown it. */
  public boolean isRunIgnoredLongerThan(TaskAttempt attempt, long longerThanMs, long nowMs) {
    LastRun lastRun = lastRun(attempt);
    return lastRun != null && !lastRun.reported && nowMs - lastRun.firstSentMs > longerThanMs;
  }

  private LastRun lastRun(TaskAttempt attempt) {
    LastRun lastRun = lastRuns.get(attempt.task());
    return lastRun == null || lastRun.attempt != attempt.attempt() ? null : lastRun;
  }
}
