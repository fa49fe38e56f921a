package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.Report;

/** What a machine's owner keeps of its dealings with the machine's worker. */
final class WorkerLink {
  /** A stopping task may be reported as running for a while: it is not told again at once. */
  private static final long HALT_REPEAT_INTERVAL_MS = 3000;

  final WorkerCommands commands = new WorkerCommands();

  /** Whether a command sent straight to the worker is unanswered and not given up. */
  boolean inFlight;

  /** When the worker may be asked for an answer again. */
  long nextProbeMs;

  /** The newest report that was known when the last command was sent. */
  private Report newestReportAtSend;

  private final Map<TaskAttempt, Long> haltedAtMs = new HashMap<>();

  /** A command is sent; an answer to it can't be older than the newest report. */
  void commandSent(Report newest) {
    inFlight = true;
    newestReportAtSend = newest;
  }

  /** Whether an answer counts from less than what was known when its command was sent. */
  boolean isOlderThanCommand(Report answer) {
    return newestReportAtSend != null && answer.notNewerThan(newestReportAtSend);
  }

  /** Whether the attempt was not told to stop a moment ago. */
  boolean tryRecordHalt(TaskAttempt attempt, long nowMs) {
    haltedAtMs.values().removeIf(at -> nowMs - at > HALT_REPEAT_INTERVAL_MS);
    return haltedAtMs.putIfAbsent(attempt, nowMs) == null;
  }
}
