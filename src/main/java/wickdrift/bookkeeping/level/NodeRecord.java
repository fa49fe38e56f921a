package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * The durable record of a controller, stored as {@code w/c/NUMBER}: its name, the levels that its
 * build supports, and the controllers named in its settings. It is kept while the controller is
 * down, so that the others know which build will come back.
 *
 * @param peers all controllers named in its settings, including itself, sorted
 * @param extra fields that this build does not know; they are kept when the record is rewritten
 */
public record NodeRecord(
    int number,
    String name,
    LevelRange levels,
    List<String> peers,
    long stamp,
    Map<String, Object> extra) {
  /**
   * Highest controller number. Numbers are fields of log entries and peer frames; a higher number
   * is an error.
   */
  public static final int MAX_NUMBER = 0xFFFF;

  /** Creates a record that is not stored yet. */
  public static NodeRecord create(int number, String name, LevelRange levels, List<String> peers) {
    return new NodeRecord(number, name, levels, List.copyOf(peers), 0, Map.of());
  }

  /** The key of a controller's record. */
  public static String key(int number) {
    return NodeRegistry.PREFIX + number;
  }

  /** Returns the same record with other levels and peers. */
  public NodeRecord withLevels(LevelRange newLevels, List<String> newPeers) {
    return new NodeRecord(number, name, newLevels, List.copyOf(newPeers), stamp, extra);
  }

  /** The record as it is stored. */
  public Map<String, Object> toStore() {
    Map<String, Object> record = new LinkedHashMap<>(extra);
    record.put("name", name);
    levels.addTo(record);
    record.put("peers", new ArrayList<>(peers));
    return record;
  }

  static NodeRecord parse(String number, Document document, long stamp) throws BadMessage {
    int parsedNumber = number(number);
    return new NodeRecord(
        parsedNumber,
        document.text("name"),
        LevelRange.parse(document),
        List.copyOf(document.texts("peers")),
        stamp,
        document.fieldsExcept("name", "least", "most", "peers"));
  }

  private static int number(String text) throws BadMessage {
    try {
      int n = Integer.parseInt(text);
      if (n >= 0 && n <= MAX_NUMBER) {
        return n;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    throw new BadMessage("controller number is not in the range 0 to " + MAX_NUMBER);
  }
}
