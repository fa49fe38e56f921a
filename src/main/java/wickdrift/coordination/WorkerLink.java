package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.Report;

/** What a machine's owner keeps of its dealings with the machine's worker. */
final class WorkerLink {
  /** A stopping task may be reported as running for a while: it is not told again at once. */
  private static final long HALT_AGAIN_MS = 3000;

  final WorkerCommands commands = new WorkerCommands();

  /** Whether a command sent straight to the worker is unanswered and not given up. */
  boolean inFlight;

  /** When the worker may be asked for an answer again. */
  long probeAtMs;

  /** The newest report that was known when the last command was sent. */
  private Report known;

  private final Map<TaskAttempt, Long> haltedAtMs = new HashMap<>();

  /** A command is sent; an answer to it can't be older than the newest report. */
  void sent(Report newest) {
    inFlight = true;
    known = newest;
  }

  /** Whether an answer counts from less than what was known when its command was sent. */
  boolean olderThanKnown(Report answer) {
    return known != null && answer.notNewerThan(known);
  }

  /** Whether the attempt was not told to stop a moment ago. */
  boolean firstHalt(TaskAttempt attempt, long nowMs) {
    haltedAtMs.values().removeIf(at -> nowMs - at > HALT_AGAIN_MS);
    return haltedAtMs.putIfAbsent(attempt, nowMs) == null;
  }
}
