package wickdrift.coordination.commands;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The commands that were sent to one worker, and which of them may still take effect.
 *
 * <p>A command in the answer to a report has arrived, or never will, once a later unsolicited
 * report arrives. A direct command is <em>outstanding</em> until it is answered, or until the
 * worker is certain to refuse it: the worker has shown a higher epoch or a newer session in a
 * report that is no late copy. Each command counts separately: the answer to a later command for
 * the same attempt proves nothing about an earlier one.
 *
 * <p>A worker that restarts under the same name counts its sessions from one and has seen no epoch.
 * Commands to its previous incarnation stay outstanding until the worker shows a higher epoch than
 * theirs. Whatever a worker has shown, its restart makes it accept a direct run that was never
 * answered, until it is told a higher epoch. So an attempt with such a run ends only when the epoch
 * of the run is no longer in force: then whoever contacts the worker first tells it a higher one.
 */
public final class WorkerCommands {
  /**
   * The runs of one direct command.
   *
   * @param epoch under which the command was sent; a worker that has seen a higher one refuses it
   * @param session the worker's session at that time; in another session the worker refuses the
   *     command
   * @param sentMs when the command was sent
   */
  public record DirectRuns(long epoch, long session, long sentMs, List<TaskAttempt> runs) {}

  /**
   * The last run of a task, whichever way it was sent.
   *
   * @param reportTick the tick of the report after which the run was sent
   * @param reported whether a report has shown the attempt
   * @param session the worker's session at that time
   * @param incarnation how often the worker had restarted by then
   * @param firstSentMs when the attempt was first told to run
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
   * @param unsolicited whether the worker sent the report on its own initiative, so that all
   *     answers to earlier reports have arrived or never will
   * @param epochReported whether the worker has shown the current epoch
   * @param session the session that the report shows
   * @param unreachable whether commands seem not to reach the worker
   * @param endRequested whether the attempt is to end
   * @param epoch the epoch in force
   */
  public record AbsenceEvidence(
      boolean unsolicited,
      boolean epochReported,
      long session,
      boolean unreachable,
      boolean endRequested,
      long epoch) {}

  /**
   * The end of an attempt that is recorded as soon as a higher epoch is in force.
   *
   * @param exitReason the reason that the worker reported, or null if the attempt was absent
   */
  public record HeldEnd(TaskAttempt attempt, String exitReason) {}

  private final List<DirectRuns> outstandingCommands = new ArrayList<>();

  /** Direct commands without an answer, whatever the worker has shown since. */
  private final List<DirectRuns> unansweredCommands = new ArrayList<>();

  /** Attempts that are over on the worker, but whose end or job waits for an unanswered run. */
  private final Set<TaskAttempt> waitingEnds = new HashSet<>();

  /** What reports have proved about the waiting ends; no later report need prove it again. */
  private final Map<TaskAttempt, HeldEnd> heldEnds = new HashMap<>();

  private final Map<String, LastRun> lastRuns = new HashMap<>();
  private final Map<TaskAttempt, Integer> gangWaitRestarts = new HashMap<>();

  /**
   * Attempts that ended on the worker and may not be cleared yet, because a run of them is
   * outstanding.
   */
  private final Set<TaskAttempt> refusedClears = new HashSet<>();

  private int incarnation;

  // ---- what was sent, and its outcome ----

  /** Records that a direct command is sent. */
  public void directCommandSent(DirectRuns command) {
    if (!command.runs().isEmpty()) {
      outstandingCommands.add(command);
      unansweredCommands.add(command);
    }
  }

  /**
   * Records that a command was executed or refused for good: this command, and no other, can no
   * longer arrive.
   */
  public void directCommandAnswered(DirectRuns command) {
    outstandingCommands.removeIf(outstanding -> outstanding == command);
    unansweredCommands.removeIf(unanswered -> unanswered == command);
  }

  /** Records that a higher epoch is in force: from now on every contact tells it to the worker. */
  public void epochStarted(long epoch) {
    unansweredCommands.removeIf(command -> command.epoch() < epoch);
  }

  /** Records that the attempt is told to run, directly or in the answer to a report. */
  public void runSent(TaskAttempt run, long tick, long session, long nowMs) {
    heldEnds.remove(run);
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
    heldEnds.values().removeIf(end -> end.attempt().equals(run) && end.exitReason() == null);
    LastRun previousRun = lastRuns.get(run.task());
    lastRuns.put(run.task(), new LastRun(run.attempt(), tick, true, session, incarnation, 0));
    return previousRun != null && !previousRun.reported;
  }

  /**
   * Records the epoch and session in a report that is certainly no late copy. Commands with a lower
   * epoch or session are no longer outstanding.
   */
  public void epochReported(long epoch, long session) {
    outstandingCommands.removeIf(command -> epoch > command.epoch() || session > command.session());
    refusedClears.removeIf(attempt -> !isRunOutstanding(attempt));
  }

  /**
   * Records that the worker restarted, so that it has nothing of what its previous incarnation had.
   */
  public void workerRestarted() {
    incarnation++;
  }

  /**
   * Forgets the runs, because the worker's lease has ended or another node may have commanded it
   * meanwhile.
   */
  public void forgetRuns() {
    lastRuns.clear();
    heldEnds.clear();
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

  /** Whether a direct run may still start the attempt. */
  public boolean isRunOutstanding(TaskAttempt attempt) {
    for (DirectRuns command : outstandingCommands) {
      if (command.runs().contains(attempt)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether a direct run of the attempt was sent under the given epoch, or a higher one, and never
   * answered: the worker might execute it after a restart.
   */
  public boolean isRunUnanswered(TaskAttempt attempt, long epoch) {
    return unansweredCommands.stream()
        .anyMatch(command -> command.epoch() >= epoch && command.runs().contains(attempt));
  }

  /**
   * Whether an attempt that is over on the worker may be recorded as over, so that another one may
   * start elsewhere.
   *
   * @param epoch the epoch in force
   */
  public Verdict mayRecordEnd(TaskAttempt attempt, long epoch) {
    if (isRunUnanswered(attempt, epoch)) {
      waitingEnds.add(attempt);
      return Verdict.DIRECT_RUN_UNANSWERED;
    }
    waitingEnds.remove(attempt);
    return Verdict.PROVEN;
  }

  /** Keeps an end that a report has proved until a higher epoch is in force. */
  public void holdEnd(HeldEnd end) {
    heldEnds.put(end.attempt(), end);
  }

  /** Returns and forgets the held ends. */
  public List<HeldEnd> takeHeldEnds() {
    List<HeldEnd> taken = List.copyOf(heldEnds.values());
    heldEnds.clear();
    return taken;
  }

  /**
   * Whether an end has waited for a run that was sent under the given epoch more than {@code
   * longerThanMs} ago, so that only a higher epoch resolves it.
   */
  public boolean isEndHeld(long epoch, long longerThanMs, long nowMs) {
    waitingEnds.removeIf(attempt -> !isRunUnanswered(attempt, epoch));
    return unansweredCommands.stream()
        .anyMatch(
            command ->
                nowMs - command.sentMs() > longerThanMs
                    && command.runs().stream().anyMatch(waitingEnds::contains));
  }

  /**
   * Whether a run of the attempt, sent under the given epoch, has been outstanding for longer than
   * {@code longerThanMs}.
   */
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

  /**
   * Whether an ended attempt cannot be cleared because a run of it has been outstanding for longer
   * than {@code longerThanMs}.
   */
  public boolean isClearOverdue(long epoch, long longerThanMs, long nowMs) {
    return refusedClears.stream()
        .anyMatch(attempt -> isRunOutstandingLongerThan(attempt, epoch, longerThanMs, nowMs));
  }

  /** Whether no direct run is outstanding. */
  public boolean hasNoOutstandingRuns() {
    return outstandingCommands.isEmpty();
  }

  /**
   * Whether an ended attempt may be cleared from the worker, after which a run would start it
   * again.
   */
  public Verdict mayClear(TaskAttempt attempt, boolean unsolicited, boolean epochReported) {
    if (!unsolicited) {
      return Verdict.NOT_UNSOLICITED;
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
    if (!absence.unsolicited) {
      return Verdict.NOT_UNSOLICITED;
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
    boolean wasReported = lastRun != null && lastRun.reported;
    boolean sentEarlier =
        lastRun != null && (lastRun.incarnation < incarnation || lastRun.session < absence.session);
    if (wasReported
        || absence.endRequested && absence.epochReported
        || (absence.endRequested || absence.unreachable) && sentEarlier) {
      return mayEndAbsent(attempt, absence);
    }
    return absence.endRequested ? Verdict.EPOCH_NOT_REPORTED : Verdict.SESSION_CONTINUES;
  }

  /**
   * Whether an attempt that is gone from the worker may be recorded as over. A worker that no
   * command reaches shows no higher epoch, after which its reports would prove nothing any more; so
   * its ends do not wait for one.
   */
  private Verdict mayEndAbsent(TaskAttempt attempt, AbsenceEvidence absence) {
    if (absence.unreachable) {
      return Verdict.PROVEN;
    }
    Verdict verdict = mayRecordEnd(attempt, absence.epoch);
    if (!verdict.isAllowed()) {
      holdEnd(new HeldEnd(attempt, null));
    }
    return verdict;
  }

  private List<TaskAttempt> unansweredRunsOf(String job, long epoch) {
    return unansweredCommands.stream()
        .filter(command -> command.epoch() >= epoch)
        .flatMap(command -> command.runs().stream())
        .filter(attempt -> attempt.belongsToJob(job))
        .toList();
  }

  private static boolean runsTaskOf(DirectRuns command, String job) {
    return command.runs().stream().anyMatch(attempt -> attempt.belongsToJob(job));
  }

  /**
   * Whether no run of any task of the job may still arrive.
   *
   * @param epoch the epoch in force
   */
  public Verdict verifyNoRunPending(String job, long epoch) {
    boolean outstanding =
        outstandingCommands.stream().anyMatch(command -> runsTaskOf(command, job));
    if (outstanding) {
      return Verdict.DIRECT_RUN_UNANSWERED;
    }
    List<TaskAttempt> unanswered = unansweredRunsOf(job, epoch);
    if (!unanswered.isEmpty()) {
      // The worker has nothing of them any more, so nothing else would ask for a higher epoch.
      waitingEnds.addAll(unanswered);
      return Verdict.DIRECT_RUN_UNANSWERED;
    }
    for (Map.Entry<String, LastRun> entry : lastRuns.entrySet()) {
      boolean ofJob = new TaskAttempt(entry.getKey(), entry.getValue().attempt).belongsToJob(job);
      if (ofJob && !entry.getValue().reported) {
        return Verdict.ANSWER_IN_FLIGHT;
      }
    }
    return Verdict.PROVEN;
  }

  /** Whether a run or a report of the attempt is recorded here. */
  public boolean hasLastRun(TaskAttempt attempt) {
    return lastRun(attempt) != null;
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
