package wickdrift.bookkeeping;

import wickdrift.protocol.Report;

/**
 * One task's durable state. Every change of state is one of the functions below; a state that a
 * function does not expect is a bug and throws.
 */
public record TaskState(Phase phase, int attempt, Machine machine, int placer, Stop stop) {
  /** LIVE covers all the time from the commit of a placement until proof that it is over. */
  public enum Phase {
    WAITING,
    LIVE,
    DONE
  }

  /** Whether, and how, a live attempt is being stopped. */
  public enum Stop {
    NONE,
    SAVE,
    KILL
  }

  public static final TaskState NEW = new TaskState(Phase.WAITING, 0, null, 0, Stop.NONE);
  public static final TaskState FINISHED = new TaskState(Phase.DONE, 0, null, 0, Stop.NONE);

  public static TaskState waiting(int attempt) {
    return attempt == 0 ? NEW : new TaskState(Phase.WAITING, attempt, null, 0, Stop.NONE);
  }

  public boolean isLive() {
    return phase == Phase.LIVE;
  }

  public TaskState placed(int newAttempt, Machine newMachine, int newPlacer) {
    if (phase != Phase.WAITING || newAttempt <= attempt) {
      throw new IllegalStateException("cannot place from " + this);
    }
    return new TaskState(Phase.LIVE, newAttempt, newMachine, newPlacer, Stop.NONE);
  }

  public TaskState stopping(Stop requested) {
    if (phase != Phase.LIVE) {
      throw new IllegalStateException("cannot stop from " + this);
    }
    return requested.compareTo(stop) <= 0
        ? this
        : new TaskState(phase, attempt, machine, placer, requested);
  }

  /** The attempt is proved over; {@code why} as the worker said, or null when it was lost. */
  public TaskState exited(String exitReason) {
    if (phase != Phase.LIVE) {
      throw new IllegalStateException("cannot exit from " + this);
    }
    return Report.DONE.equals(exitReason) ? FINISHED : waiting(attempt);
  }

  /** A gang completes together: its mate's end is this task's too. */
  public TaskState doneWithGang() {
    if (phase != Phase.WAITING) {
      throw new IllegalStateException("cannot be done from " + this);
    }
    return FINISHED;
  }
}
