package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * A controller's lasting record, under its number: its name, the levels that its build speaks, and
 * whom its settings name. It stays when the controller is down, so that the others know what will
 * come back. Stored as {@code w/c/NUMBER}.
 *
 * @param peers all controllers that its settings name, itself too, sorted
 * @param extra fields that this build does not know; they survive a rewriting
 */
public record NodeRecord(
    int number,
    String name,
    LevelRange levels,
    List<String> peers,
    long stamp,
    Map<String, Object> extra) {
  /**
   * Numbers stand in entries of the logs and in frames; more controllers than this are an error.
   */
  public static final int MAX_NUMBER = 0xFFFF;

  public static NodeRecord create(int number, String name, LevelRange levels, List<String> peers) {
    return new NodeRecord(number, name, levels, List.copyOf(peers), 0, Map.of());
  }

  public static String key(int number) {
    return NodeRegistry.PREFIX + number;
  }

  /** The same under other levels, or with other peers. */
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
        document.without("name", "least", "most", "peers"));
  }

  private static int number(String text) throws BadMessage {
    try {
      int n = Integer.parseInt(text);
      if (n >= 0 && n <= MAX_NUMBER) {
        return n;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw new BadMessage("a controller's number is not 0 to " + MAX_NUMBER);
  }
}
