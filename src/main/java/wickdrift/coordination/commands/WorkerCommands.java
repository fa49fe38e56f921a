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
   * @param tick of the report that it followed
   * @param seen a report has shown the attempt
   * @param session of the worker then
   * @param life how often the worker had begun anew by then
   * @param sinceMs when the first was sent
   */
  private record LastRun(
      int attempt, long tick, boolean seen, long session, int life, long sinceMs) {}

  /**
   * What is known when a report does not show an attempt.
   *
   * @param ownReport it came by itself: all answers to earlier ones have arrived or never will
   * @param epochShown the worker has shown the epoch in force
   * @param session of the report
   * @param deaf nothing seems to reach the worker
   * @param unwanted the attempt is to end
   */
  public record AbsenceEvidence(
      boolean ownReport, boolean epochShown, long session, boolean deaf, boolean unwanted) {}

  private final List<DirectRuns> outstanding = new ArrayList<>();
  private final Map<String, LastRun> lastRuns = new HashMap<>();
  private final Map<TaskAttempt, Integer> waits = new HashMap<>();

  /** Attempts that ended here and are not cleared, as a run of them is outstanding. */
  private final Set<TaskAttempt> clearsRefused = new HashSet<>();

  private int life;

  // ---- what was sent, and what became of it ----

  /** A command with runs is sent straight to the worker. */
  public void directCommandSent(DirectRuns command) {
    if (!command.runs().isEmpty()) {
      outstanding.add(command);
    }
  }

  /** It was executed, or refused for good: it, and no other, can't arrive any more. */
  public void directCommandAnswered(DirectRuns command) {
    outstanding.removeIf(c -> c == command);
  }

  /** The attempt is told to run, in whatever way. */
  public void runSent(TaskAttempt run, long tick, long session, long nowMs) {
    LastRun before = last(run);
    long since = before == null || before.life < life ? nowMs : before.sinceMs;
    lastRuns.put(run.task(), new LastRun(run.attempt(), tick, false, session, life, since));
  }

  /**
   * A report shows the attempt.
   *
   * @return whether it was told to run, and is seen for the first time since
   */
  public boolean attemptReported(TaskAttempt run, long tick, long session) {
    LastRun before = lastRuns.get(run.task());
    lastRuns.put(run.task(), new LastRun(run.attempt(), tick, true, session, life, 0));
    return before != null && !before.seen;
  }

  /** A report that is surely no copy has shown this epoch and session. */
  public void epochReported(long epoch, long session) {
    outstanding.removeIf(c -> epoch > c.epoch() || session > c.session());
    clearsRefused.removeIf(a -> !runOutstanding(a));
  }

  /** The worker has begun anew, and holds nothing of what the one before had. */
  public void workerRestarted() {
    life++;
  }

  /** Its lease has ended, or someone else may have commanded it meanwhile. */
  public void forgetRuns() {
    lastRuns.clear();
  }

  /** Only these tasks are booked on the machine still. */
  public void retain(Set<String> tasks) {
    lastRuns.keySet().retainAll(tasks);
    waits.keySet().removeIf(a -> !tasks.contains(a.task()));
  }

  // ---- gang members that are told to go on waiting ----

  /** How often the attempt was told to go on waiting for its gang. */
  public int waits(TaskAttempt attempt) {
    return waits.getOrDefault(attempt, 0);
  }

  /** It is told so once more. */
  public void waited(TaskAttempt attempt) {
    waits.merge(attempt, 1, Integer::sum);
  }

  // ---- what may still happen ----

  /** Whether a run that was sent straight to the worker may still start the attempt. */
  public boolean runOutstanding(TaskAttempt attempt) {
    for (DirectRuns c : outstanding) {
      if (c.runs().contains(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Whether a run of the attempt has been outstanding under this epoch for longer than that. */
  public boolean isRunOutstandingLongerThan(
      TaskAttempt attempt, long epoch, long longerThanMs, long nowMs) {
    for (DirectRuns c : outstanding) {
      if (c.epoch() == epoch && nowMs - c.sentMs() > longerThanMs && c.runs().contains(attempt)) {
        return true;
      }
    }
    return false;
  }

  /** Whether an ended attempt has been waiting for longer than that to be cleared. */
  public boolean isClearOverdue(long epoch, long longerThanMs, long nowMs) {
    return clearsRefused.stream()
        .anyMatch(a -> isRunOutstandingLongerThan(a, epoch, longerThanMs, nowMs));
  }

  /** Whether nothing is outstanding. */
  public boolean hasNoOutstandingRuns() {
    return outstanding.isEmpty();
  }

  /** Commands that are outstanding, for the record of an invariant that is violated. */
  public List<DirectRuns> outstanding() {
    return List.copyOf(outstanding);
  }

  /** Whether an ended attempt may be removed from the worker, after which a run starts it anew. */
  public Verdict mayClear(TaskAttempt attempt, boolean ownReport, boolean epochShown) {
    if (!ownReport) {
      return Verdict.NOT_WORKER_INITIATED;
    }
    if (!epochShown) {
      return Verdict.EPOCH_NOT_REPORTED;
    }
    if (runOutstanding(attempt)) {
      clearsRefused.add(attempt);
      return Verdict.DIRECT_RUN_UNANSWERED;
    }
    return Verdict.PROVEN;
  }

  /** Whether an attempt that a report does not show is over. */
  public Verdict mayEnd(TaskAttempt attempt, AbsenceEvidence is) {
    if (!is.ownReport) {
      return Verdict.NOT_WORKER_INITIATED;
    }
    LastRun last = last(attempt);
    if (last != null && last.seen && last.life == life && last.session == is.session) {
      return Verdict.WORKER_RESTARTED;
    }
    if (runOutstanding(attempt)) {
      return Verdict.DIRECT_RUN_UNANSWERED;
    }
    if (last != null && last.seen) {
      return Verdict.PROVEN;
    }
    if (is.unwanted && is.epochShown) {
      return Verdict.PROVEN;
    }
    boolean sentEarlier = last != null && (last.life < life || last.session < is.session);
    if ((is.unwanted || is.deaf) && sentEarlier) {
      return Verdict.PROVEN;
    }
    return is.unwanted ? Verdict.EPOCH_NOT_REPORTED : Verdict.SESSION_GOES_ON;
  }

  /** Whether no run of any task of the job may still arrive. */
  public Verdict verifyNoRunPending(String job) {
    for (DirectRuns c : outstanding) {
      if (c.runs().stream().anyMatch(a -> a.isOf(job))) {
        return Verdict.DIRECT_RUN_UNANSWERED;
      }
    }
    for (Map.Entry<String, LastRun> e : lastRuns.entrySet()) {
      boolean ofJob = new TaskAttempt(e.getKey(), e.getValue().attempt).isOf(job);
      if (ofJob && !e.getValue().seen) {
        return Verdict.ANSWER_UNDER_WAY;
      }
    }
    return Verdict.PROVEN;
  }

  /** Whether the attempt was told to run, or seen, since it is known here. */
  public boolean knows(TaskAttempt attempt) {
    return last(attempt) != null;
  }

  /** Whether a report has shown the attempt. */
  public boolean wasReported(TaskAttempt attempt) {
    LastRun last = last(attempt);
    return last != null && last.seen;
  }

  /** Whether the attempt was told to run after this very report. */
  public boolean sentAfter(TaskAttempt attempt, long tick) {
    LastRun last = last(attempt);
    return last != null && last.tick == tick;
  }

  /** Whether the attempt was told to run longer ago than that, and no report has shown it. */
  public boolean ignoredFor(TaskAttempt attempt, long longerThanMs, long nowMs) {
    LastRun last = last(attempt);
    return last != null && !last.seen && nowMs - last.sinceMs > longerThanMs;
  }

  private LastRun last(TaskAttempt attempt) {
    LastRun last = lastRuns.get(attempt.task());
    return last == null || last.attempt != attempt.attempt() ? null : last;
  }
}
