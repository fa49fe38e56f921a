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

  final WorkerCommands commands = new WorkerCommands();

  final WakeUps wakeUps;

  final EndedAttempts endedAttempts = new EndedAttempts();

  /** Whether a direct command to the worker awaits its answer. */
  boolean inFlight;

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
