package wickdrift.coordination.commands;

/**
 * One event in the commands to a worker: what was sent, answered, ended or refused, and why.
 *
 * @param reason a verdict, an exit reason or a status; never null
 */
public record CommandEvent(
    long atMs,
    Kind kind,
    String machine,
    TaskAttempt attempt,
    long epoch,
    long session,
    long tick,
    String reason) {
  /** The kinds of events. */
  public enum Kind {
    /** A run was added to the answer to a report. */
    RUN_IN_ANSWER,
    /** A run was added to a direct command. */
    RUN_DIRECT,
    /** A halt was added to a command or an answer. */
    HALT,
    /** The clear of an ended attempt was added to an answer. */
    CLEAR,
    /** A direct command was answered with a report. */
    DIRECT_ANSWERED,
    /** A direct command with runs was given up without an answer. */
    DIRECT_UNANSWERED,
    /** An attempt was recognized as over. */
    ATTEMPT_ENDED,
    /** An attempt is missing from a report, but not proven to be over. */
    END_REFUSED,
    /** A worker's lease expired. */
    LEASE_EXPIRED,
    /** A worker restarted under the same name. */
    WORKER_RESTARTED,
    /** The confirmation of a withdrawal was decided for a machine. */
    CONFIRMATION
  }
}
