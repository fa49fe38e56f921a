package wickdrift.bookkeeping.level;

import java.util.List;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * How a stored record says its form. Form 1 is the bare map that was there before there were forms;
 * any later one is a list of the form's number and the map. A build that knows no forms takes a
 * value that is no map for a malformed answer and never gets past it: so each record of a new form
 * keeps such a build out by itself.
 */
public final class Encoding {
  public static final int FIRST = 1;

  /** View, part, page and chunk since {@link Gate#NUMBERS}. */
  public static final int NUMBERED = 2;

  /** A chunk that would be larger than a value may be, since {@link Gate#LIMITS}. */
  public static final int DENSE = 3;

  private Encoding() {}

  /** The value to store for a map in a form. */
  public static Object wrap(int version, Map<String, Object> map) {
    return version == FIRST ? map : List.of((long) version, map);
  }

  /** The form at a level of those records that {@link Gate#NUMBERS} changes. */
  public static int forLevel(int level) {
    return level >= Gate.NUMBERS.level() ? NUMBERED : FIRST;
  }

  /**
   * The form that a stored value says.
   *
   * @throws BadMessage if it is neither a map nor a form and a map
   */
  public static int versionOf(Object value) throws BadMessage {
    if (value instanceof Map<?, ?>) {
      return FIRST;
    }
    if (value instanceof List<?> l
        && l.size() == 2
        && l.get(0) instanceof Long version
        && version > FIRST
        && version <= Integer.MAX_VALUE
        && l.get(1) instanceof Map<?, ?>) {
      return version.intValue();
    }
    throw new BadMessage("neither a map nor a form and a map");
  }

  /**
   * The map of a stored value.
   *
   * @param newest the newest form of its kind that this build reads
   * @throws BadMessage if the value is malformed, or of a newer form
   */
  public static Document decode(Object value, int newest) throws BadMessage {
    int version = versionOf(value);
    if (version > newest) {
      throw new BadMessage(
          "form " + version + " is newer than this build, which reads up to " + newest);
    }
    return Document.of(version == FIRST ? value : ((List<?>) value).get(1));
  }
}
