package wickdrift.bookkeeping.level;

import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * The range of stored-state levels that a build reads and writes, both ends inclusive. A level is a
 * positive integer; each includes all changes of the previous one, see {@link Gate}.
 */
public record LevelRange(int min, int max) {
  /** The range of builds that know no levels; they announce none. */
  public static final LevelRange FIRST = new LevelRange(1, 1);

  /** The range that this build supports. */
  public static final LevelRange BUILD = new LevelRange(1, Gate.newestLevel());

  private static final String MIN_FIELD = "least";
  private static final String MAX_FIELD = "most";

  public LevelRange {
    if (min < 1 || max < min) {
      throw new IllegalArgumentException("levels " + min + " to " + max + " are not a valid range");
    }
  }

  /** Whether the range contains a level. */
  public boolean includes(int level) {
    return min <= level && level <= max;
  }

  /**
   * The range that a stored record announces; {@link #FIRST} if it announces none.
   *
   * @throws BadMessage if only one end is present, an end is out of bounds, or the range is empty
   */
  public static LevelRange parse(Document document) throws BadMessage {
    if (!document.has(MIN_FIELD) && !document.has(MAX_FIELD)) {
      return FIRST;
    }
    long min = document.count(MIN_FIELD);
    long max = document.count(MAX_FIELD);
    if (min < 1 || max < min || max > Integer.MAX_VALUE) {
      throw new BadMessage("levels " + min + " to " + max + " are not a valid range");
    }
    return new LevelRange((int) min, (int) max);
  }

  /** Adds both ends to a record before it is stored. */
  public void addTo(Map<String, Object> record) {
    record.put(MIN_FIELD, min);
    record.put(MAX_FIELD, max);
  }

  @Override
  public String toString() {
    return min + " to " + max;
  }
}
