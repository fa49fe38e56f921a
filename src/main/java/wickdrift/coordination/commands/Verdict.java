package wickdrift.coordination.commands;

/**
 * The result of checking whether an attempt may be cleared, ended or counted as harmless, with the
 * reason.
 */
public enum Verdict {
  /** No command can arrive any more, and the worker has shown that it does not have the attempt. */
  PROVEN,
  /** The answer to a report carries a run, and no later unsolicited report has arrived. */
  ANSWER_IN_FLIGHT,
  /**
   * The worker did not send the report on its own initiative: answers to earlier reports may still
   * be in flight.
   */
  NOT_UNSOLICITED,
  /** The worker has not shown the current epoch: a command of an earlier owner may still arrive. */
  EPOCH_NOT_REPORTED,
  /** The session in which the run was sent continues. */
  SESSION_CONTINUES,
  /**
   * The attempt was reported in this session and is now missing without an exit: the worker
   * restarted.
   */
  WORKER_RESTARTED;

  /** Whether the requested action may be carried out. */
  public boolean isAllowed() {
    return this == PROVEN;
  }
}
