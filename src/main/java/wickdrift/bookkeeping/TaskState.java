package wickdrift.bookkeeping;

import wickdrift.protocol.Report;

/**
 * The durable state of a task. Each transition is one of the methods below, which throws if the
 * current state does not allow it, since that is a bug.
 *
 * @param attempt the number of the latest attempt; 0 before the first
 * @param machine where the live attempt is placed, or null
 * @param placer the number of the controller that placed the live attempt
 * @param stop how the live attempt is being stopped
 */
public record TaskState(Phase phase, int attempt, Machine machine, int placer, Stop stop) {
  /**
   * Phases of a task. {@code LIVE} lasts from the commit of a placement until it is proved that the
   * attempt has ended.
   */
  public enum Phase {
    WAITING,
    LIVE,
    DONE
  }

  /** Whether and how a live attempt is being stopped, in ascending order of force. */
  public enum Stop {
    NONE,
    SAVE,
    KILL
  }

  /** A task without an attempt. */
  public static final TaskState NEW = new TaskState(Phase.WAITING, 0, null, 0, Stop.NONE);

  /** A task that is done. */
  public static final TaskState FINISHED = new TaskState(Phase.DONE, 0, null, 0, Stop.NONE);

  /** A waiting task whose latest attempt has this number. */
  public static TaskState waiting(int attempt) {
    return attempt == 0 ? NEW : new TaskState(Phase.WAITING, attempt, null, 0, Stop.NONE);
  }

  /** Whether an attempt is placed and has not been proved to be over. */
  public boolean isLive() {
    return phase == Phase.LIVE;
  }

  /** The state after a placement with a new attempt number. */
  public TaskState placed(int newAttempt, Machine newMachine, int newPlacer) {
    if (phase != Phase.WAITING || newAttempt <= attempt) {
      throw new IllegalStateException("cannot place a task in state " + this);
    }
    return new TaskState(Phase.LIVE, newAttempt, newMachine, newPlacer, Stop.NONE);
  }

  /**
   * The state after a request to stop; a request of less force than the current one has no effect.
   */
  public TaskState stopping(Stop requested) {
    if (phase != Phase.LIVE) {
      throw new IllegalStateException("cannot stop a task in state " + this);
    }
    return requested.compareTo(stop) <= 0
        ? this
        : new TaskState(phase, attempt, machine, placer, requested);
  }

  /**
   * The state after the attempt is proved to be over.
   *
   * @param exitReason the reason that the worker reported, or null if the attempt was lost
   */
  public TaskState exited(String exitReason) {
    if (phase != Phase.LIVE) {
      throw new IllegalStateException("cannot end the attempt of a task in state " + this);
    }
    return Report.EXIT_DONE.equals(exitReason) ? FINISHED : waiting(attempt);
  }

  /**
   * The state of a waiting task after another task of its gang is done, since a gang completes
   * together.
   */
  public TaskState doneWithGang() {
    if (phase != Phase.WAITING) {
      throw new IllegalStateException("cannot complete with its gang a task in state " + this);
    }
    return FINISHED;
  }
}
