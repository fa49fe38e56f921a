package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import wickdrift.protocol.BadMessage;

/**
 * The entries of a log, as lists: the kind, what it is about, then its numbers. An entry says what
 * happened; whether it still applies is decided alike by every reader, from the state that the
 * entries before it have led to.
 */
public final class LogEntry {
  /** Placed: job, the placer's number, then index, attempt and machine of each task. */
  static final String PLACED = "p";

  /** Exited: job, then index, attempt and how of each task: {@link #EXIT_LOST} and so on. */
  static final String EXITED = "x";

  /** To be stopped: job, how, then index and attempt of each task. */
  static final String STOPPED = "s";

  /** A machine: name, type, zone, kind, phase, since when. */
  static final String MACHINE = "h";

  /** A machine that is gone is forgotten: name. */
  static final String FORGOTTEN = "f";

  /** How an attempt ended: without its doing, with its work done, or with an error. */
  public static final int EXIT_LOST = 0;

  public static final int EXIT_DONE = 1;
  public static final int EXIT_FAILED = 2;

  private LogEntry() {}

  public static List<Object> placed(String job, int placer) {
    return newEntry(PLACED, job, placer);
  }

  public static List<Object> exited(String job) {
    return newEntry(EXITED, job);
  }

  public static List<Object> stopped(String job, TaskState.Stop how) {
    return newEntry(STOPPED, job, how.ordinal());
  }

  private static List<Object> newEntry(Object... values) {
    return new ArrayList<>(List.of(values));
  }

  /** The log entry of a machine's phase. */
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
   * @throws BadMessage if no reader of this build knows entries of that kind
   */
  static void checkKnown(String kind) throws BadMessage {
    if (!Set.of(PLACED, EXITED, STOPPED, MACHINE, FORGOTTEN).contains(kind)) {
      throw new BadMessage("an entry of the unknown kind " + kind);
    }
  }

  /** The job or the machine that it is about. */
  static String subject(List<?> entry) throws BadMessage {
    return text(entry, 1);
  }

  static boolean aboutMachine(List<?> entry) throws BadMessage {
    return kind(entry).equals(MACHINE) || kind(entry).equals(FORGOTTEN);
  }

  /** Where its tasks begin, and how many values each takes. */
  static int firstTaskIndex(List<?> entry) throws BadMessage {
    return kind(entry).equals(EXITED) ? 2 : 3;
  }

  static int valuesPerTask(List<?> entry) throws BadMessage {
    return kind(entry).equals(STOPPED) ? 2 : 3;
  }

  static String text(List<?> entry, int i) throws BadMessage {
    if (i < entry.size() && entry.get(i) instanceof String s) {
      return s;
    }
    throw new BadMessage("an entry lacks a text");
  }

  static int number(List<?> entry, int i) throws BadMessage {
    if (i < entry.size() && entry.get(i) instanceof Long l && l >= 0 && l <= Integer.MAX_VALUE) {
      return l.intValue();
    }
    throw new BadMessage("an entry lacks a number");
  }

  static Machine.Info info(List<?> entry) throws BadMessage {
    if (entry.size() < 7
        || !(entry.get(4) instanceof Boolean spot)
        || !(entry.get(6) instanceof Long at)
        || number(entry, 5) >= Machine.Phase.values().length) {
      throw new BadMessage("an entry of a machine is incomplete");
    }
    return new Machine.Info(
        text(entry, 2), text(entry, 3), spot, Machine.Phase.values()[number(entry, 5)], at);
  }
}
