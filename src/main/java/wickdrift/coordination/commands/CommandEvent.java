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
    RUN_IN_ANSWER,
    RUN_DIRECT,
    HALT,
    CLEAR,
    DIRECT_ANSWERED,
    DIRECT_UNANSWERED,
    ATTEMPT_ENDED,
    END_REFUSED,
    LEASE_EXPIRED,
    WORKER_RESTARTED,
    CONFIRMATION,
    VIOLATION
  }
}
