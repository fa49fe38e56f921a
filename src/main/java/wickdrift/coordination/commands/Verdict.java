package wickdrift.coordination.commands;

/** Whether an attempt may be cleared, ended or counted as harmless, and why. */
public enum Verdict {
  /** Nothing that was sent can arrive any more, and the worker has shown that it is not there. */
  PROVEN,
  /** A run that was sent straight to the worker is unanswered: it may arrive at any time. */
  DIRECT_RUN_UNANSWERED,
  /** The answer to a report carries a run, and no later report has come by itself. */
  ANSWER_IN_FLIGHT,
  /** What is known did not come by itself: answers to earlier reports may be under way. */
  NOT_WORKER_INITIATED,
  /** The worker has not shown this epoch: a command of an earlier owner may arrive. */
  EPOCH_NOT_REPORTED,
  /** The session in which the run was sent goes on. */
  SESSION_CONTINUES,
  /** It was there in this session and is not, without an exit: the worker has begun anew. */
  WORKER_RESTARTED;

  /** Whether what was asked for may be done. */
  public boolean isAllowed() {
    return this == PROVEN;
  }
}
