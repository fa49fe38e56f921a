package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.coordination.commands.EndedAttempts;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.WakeUps;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.Report;

/** State that a machine's owner keeps about its communication with the machine's worker. */
final class WorkerLink {
  /**
   * A task that is stopping may be reported as running for a while, so its halt is not repeated at
   * once.
   */
  private static final long HALT_REPEAT_INTERVAL_MS = 3000;

  /** By then a worker that was made to report has done so, or has not counted the change. */
  private static final long REPORT_TIMEOUT_MS = 1500;

  private static final long MAX_KEPT_RECORD_MS = 120_000;

  final WorkerCommands commands = new WorkerCommands();

  final WakeUps wakeUps;

  final EndedAttempts endedAttempts = new EndedAttempts();

  /** Whether a direct command to the worker awaits its answer. */
  boolean inFlight;

  /** When the worker was last made to report; reset by its next report. */
  private long reportRequestedMs = Long.MIN_VALUE / 2;

  /** Since when the end of an attempt that the worker still shows has been durable. */
  private final Map<TaskAttempt, Long> keptSinceMs = new HashMap<>();

  /** The earliest time of the next probe. */
  long nextProbeMs;

  /** The newest report that was known when the last command was sent. */
  private Report newestReportAtSend;

  /** The report that names an address at which another machine has answered, or null. */
  private Report reportOfDisprovedAddress;

  private final Map<TaskAttempt, Long> haltedAtMs = new HashMap<>();

  /**
   * Creates the link to a worker that nothing was sent to.
   *
   * @param leaseMs the duration of a worker's lease
   */
  WorkerLink(long leaseMs) {
    wakeUps = new WakeUps(leaseMs);
  }

  /** Records that a command is sent. Its answer cannot be older than the newest report. */
  void commandSent(Report newest) {
    inFlight = true;
    newestReportAtSend = newest;
  }

  /**
   * Whether an answer is older than what was known when its command was sent, which means that the
   * worker restarted.
   */
  boolean isOlderThanCommand(Report answer) {
    return newestReportAtSend != null && answer.notNewerThan(newestReportAtSend);
  }

  /** Whether the worker was made to report a moment ago, and its report has not arrived yet. */
  boolean isReportExpected(long nowMs) {
    return nowMs - reportRequestedMs < REPORT_TIMEOUT_MS;
  }

  /** Records that the worker is made to report. */
  void reportRequested(long nowMs) {
    reportRequestedMs = nowMs;
  }

  /** Records that a report of the worker has arrived. */
  void reportReceived() {
    reportRequestedMs = Long.MIN_VALUE / 2;
  }

  /** Returns for how long the worker has kept an ended attempt, from the first call on. */
  long keptMs(TaskAttempt attempt, long nowMs) {
    keptSinceMs.values().removeIf(since -> nowMs - since > MAX_KEPT_RECORD_MS);
    return nowMs - keptSinceMs.computeIfAbsent(attempt, k -> nowMs);
  }

  /** Records that another machine has answered at the address in the worker's last report. */
  void addressDisproved(Report lastReport) {
    reportOfDisprovedAddress = lastReport;
  }

  /**
   * Whether another machine has answered at the address in a report. The next report of the worker
   * names its address anew.
   */
  boolean isAddressDisproved(Report report) {
    return report == reportOfDisprovedAddress;
  }

  /**
   * Records a halt of the attempt, unless one was recorded within {@link #HALT_REPEAT_INTERVAL_MS}.
   *
   * @return whether the halt was recorded and is to be sent
   */
  boolean tryRecordHalt(TaskAttempt attempt, long nowMs) {
    haltedAtMs.values().removeIf(at -> nowMs - at > HALT_REPEAT_INTERVAL_MS);
    return haltedAtMs.putIfAbsent(attempt, nowMs) == null;
  }
}
