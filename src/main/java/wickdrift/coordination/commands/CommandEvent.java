package wickdrift.coordination.commands;

import wickdrift.protocol.WorkerToken;

/**
 * One event in the commands to a worker: what was sent, answered, ended or refused, and why.
 *
 * @param incarnation how often the worker had restarted under its name
 * @param token the token in force
 * @param session the session in the report on which the event is based
 * @param tick the tick of that report
 * @param revision the revision of the stored state that this node had read
 * @param reason a verdict, an exit reason or a status; never null
 */
public record CommandEvent(
    long atMs,
    Kind kind,
    String machine,
    int incarnation,
    TaskAttempt attempt,
    WorkerToken token,
    long session,
    long tick,
    long revision,
    String reason) {
  /** The kinds of events. */
  public enum Kind {
    /** A run was added to the answer to a report. */
    RUN_IN_ANSWER,
    /** A worker was woken up, so that it reports and an attempt can start. */
    WAKE_UP,
    /** A halt was added to a command or an answer. */
    HALT,
    /** The clear of an ended attempt was added to an answer. */
    CLEAR,
    /** A direct command was answered with a report. */
    DIRECT_ANSWERED,
    /** A direct command was given up without an answer. */
    DIRECT_UNANSWERED,
    /** An attempt was recognized as over. */
    ATTEMPT_ENDED,
    /** A report shows a start that no command in force explains. */
    UNEXPLAINED_START,
    /** A worker's lease expired. */
    LEASE_EXPIRED,
    /** A worker restarted under the same name. */
    WORKER_RESTARTED,
    /** The confirmation of a withdrawal was decided for a machine. */
    CONFIRMATION
  }
}
