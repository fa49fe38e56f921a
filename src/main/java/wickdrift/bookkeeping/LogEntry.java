package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import wickdrift.protocol.BadMessage;

/**
 * Entries of a node's log, encoded as lists: the kind, the subject, then the values. An entry
 * states an event. Every reader decides in the same way whether it still applies, from the state
 * that results from the entries before it.
 */
public final class LogEntry {
  /** Tasks placed: job, number of the placing node, then index, attempt and machine per task. */
  static final String PLACED = "p";

  /** Attempts ended: job, then index, attempt and exit code per task, see {@link #EXIT_LOST}. */
  static final String EXITED = "x";

  /** Attempts to stop: job, ordinal of {@link TaskState.Stop}, then index and attempt per task. */
  static final String STOPPED = "s";

  /** State of a machine: name, type, zone, spot flag, phase ordinal, time of the phase. */
  static final String MACHINE = "h";

  /** A machine that no longer exists: name. */
  static final String FORGOTTEN = "f";

  /** The attempt was lost through no fault of its own. */
  public static final int EXIT_LOST = 0;

  /** The attempt completed its work. */
  public static final int EXIT_DONE = 1;

  /** The attempt ended with an error. */
  public static final int EXIT_FAILED = 2;

  private LogEntry() {}

  /** Starts an entry of placed tasks; the caller appends the values of each task. */
  public static List<Object> placed(String job, int placer) {
    return newEntry(PLACED, job, placer);
  }

  /** Starts an entry of ended attempts; the caller appends the values of each task. */
  public static List<Object> exited(String job) {
    return newEntry(EXITED, job);
  }

  /** Starts an entry of attempts to stop; the caller appends the values of each task. */
  public static List<Object> stopped(String job, TaskState.Stop stop) {
    return newEntry(STOPPED, job, stop.ordinal());
  }

  private static List<Object> newEntry(Object... values) {
    return new ArrayList<>(List.of(values));
  }

  /** The entry of a machine's state, or of its removal if {@code info} is null. */
  public static List<Object> machine(String name, Machine.Info info) {
    if (info == null) {
      return newEntry(FORGOTTEN, name);
    }
    return newEntry(
        MACHINE,
        name,
        info.type(),
        info.zone(),
        info.spot(),
        info.phase().ordinal(),
        info.phaseSinceWallMs());
  }

  static String kind(List<?> entry) throws BadMessage {
    return text(entry, 0);
  }

  /**
   * Checks the kind of an entry.
   *
   * @throws BadMessage if this build does not know entries of that kind
   */
  static void checkKnown(String kind) throws BadMessage {
    if (!Set.of(PLACED, EXITED, STOPPED, MACHINE, FORGOTTEN).contains(kind)) {
      throw new BadMessage("log entry of unknown kind " + kind);
    }
  }

  /** The job id or the machine name. */
  static String subject(List<?> entry) throws BadMessage {
    return text(entry, 1);
  }

  static boolean aboutMachine(List<?> entry) throws BadMessage {
    return kind(entry).equals(MACHINE) || kind(entry).equals(FORGOTTEN);
  }

  /** Index of the first task's values. */
  static int firstTaskIndex(List<?> entry) throws BadMessage {
    return kind(entry).equals(EXITED) ? 2 : 3;
  }

  /** Number of values per task. */
  static int valuesPerTask(List<?> entry) throws BadMessage {
    return kind(entry).equals(STOPPED) ? 2 : 3;
  }

  static String text(List<?> entry, int index) throws BadMessage {
    if (index < entry.size() && entry.get(index) instanceof String value) {
      return value;
    }
    throw new BadMessage("log entry lacks a string");
  }

  static int number(List<?> entry, int index) throws BadMessage {
    if (index < entry.size()
        && entry.get(index) instanceof Long value
        && value >= 0
        && value <= Integer.MAX_VALUE) {
      return value.intValue();
    }
    throw new BadMessage("log entry lacks a number");
  }

  static Machine.Info info(List<?> entry) throws BadMessage {
    if (entry.size() < 7
        || !(entry.get(4) instanceof Boolean spot)
        || !(entry.get(6) instanceof Long atMs)
        || number(entry, 5) >= Machine.Phase.values().length) {
      throw new BadMessage("log entry of a machine is incomplete");
    }
    return new Machine.Info(
        text(entry, 2), text(entry, 3), spot, Machine.Phase.values()[number(entry, 5)], atMs);
  }
}
