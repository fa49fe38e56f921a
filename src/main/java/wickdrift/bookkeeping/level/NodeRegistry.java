package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * The controllers' durable numbers. Builds that know no levels number controllers by their place in
 * the sorted list of their settings. So that nothing that they wrote changes its meaning, that list
 * is stored once ({@code w/c/list}) and its places are the first numbers for ever; a controller
 * that comes later takes the next number that no one ever had.
 */
public final class NodeRegistry {
  public static final String PREFIX = "w/c/";
  public static final String INITIAL_NAMES_KEY = PREFIX + "list";
  public static final String CONVERTED_LEVEL_KEY = PREFIX + "done";
  private static final String NAMES_FIELD = "names";

  private final List<String> configuredNames;
  private final TreeMap<Integer, NodeRecord> nodeRecords = new TreeMap<>();
  private final Map<String, Integer> numbers = new HashMap<>();
  private List<String> storedInitialNames;
  private long initialNamesStamp;
  private OperatorOverrides overrides = OperatorOverrides.NONE;
  private int convertedLevel;
  private long convertedLevelStamp;

  /**
   * @param configuredNames all controllers that the settings name, sorted: the list until one is
   *     stored
   */
  public NodeRegistry(List<String> configuredNames) {
    this.configuredNames = List.copyOf(configuredNames);
    reset();
  }

  /** Forgets everything, before a load. */
  public void reset() {
    nodeRecords.clear();
    storedInitialNames = null;
    initialNamesStamp = 0;
    overrides = OperatorOverrides.NONE;
    convertedLevel = 0;
    convertedLevelStamp = 0;
    renumber();
  }

  /** The value of {@link #INITIAL_NAMES_KEY}. */
  public static Map<String, Object> encodeInitialNames(List<String> names) {
    return new TreeMap<>(Map.of(NAMES_FIELD, new ArrayList<>(names)));
  }

  /**
   * The value of {@link #CONVERTED_LEVEL_KEY}: nothing older than the forms of that level is left.
   */
  public static Map<String, Object> encodeConvertedLevel(int level) {
    return new TreeMap<>(Map.of("level", level));
  }

  /**
   * Takes in a record under {@link #PREFIX}.
   *
   * @param name the key after the prefix
   * @param document null when it is gone
   * @throws BadMessage if it can't be read, or nobody here knows it; nothing has changed then
   */
  public void apply(String name, Document document, long stamp) throws BadMessage {
    switch (name) {
      case "list" -> {
        List<String> names = document == null ? null : List.copyOf(document.texts(NAMES_FIELD));
        if (names != null
            && (names.isEmpty() || names.stream().distinct().count() < names.size())) {
          throw new BadMessage("the first list of controllers is empty or names one twice");
        }
        storedInitialNames = names;
        initialNamesStamp = document == null ? 0 : stamp;
      }
      case "word" ->
          overrides =
              document == null ? OperatorOverrides.NONE : OperatorOverrides.parse(document, stamp);
      case "done" -> {
        convertedLevel = document == null ? 0 : (int) document.count("level");
        convertedLevelStamp = document == null ? 0 : stamp;
      }
      default -> {
        if (document != null) {
          NodeRecord record = NodeRecord.parse(name, document, stamp);
          nodeRecords.put(record.number(), record);
        } else if (name.matches("[0-9]{1,5}")) {
          nodeRecords.remove(Integer.parseInt(name));
        }
      }
    }
    renumber();
  }

  private void renumber() {
    numbers.clear();
    // The lowest counts: should a name ever have two, all draw the same from it.
    nodeRecords.descendingMap().forEach((n, a) -> numbers.put(a.name(), n));
    for (int i = 0; i < initialNames().size(); i++) {
      numbers.put(initialNames().get(i), i);
    }
  }

  /** The names whose places are the first numbers. */
  public List<String> initialNames() {
    return storedInitialNames == null ? configuredNames : storedInitialNames;
  }

  /** Whether the first list is stored. */
  public boolean hasStoredInitialNames() {
    return storedInitialNames != null;
  }

  public long initialNamesStamp() {
    return initialNamesStamp;
  }

  /** A controller's number, or -1 if it has none. */
  public int numberOf(String name) {
    return numbers.getOrDefault(name, -1);
  }

  /** Who has a number, or null. */
  public String name(int number) {
    if (number >= 0 && number < initialNames().size()) {
      return initialNames().get(number);
    }
    NodeRecord record = nodeRecords.get(number);
    return record == null ? null : record.name();
  }

  /** All that have a number. */
  public Collection<String> names() {
    return numbers.keySet();
  }

  /** A controller's lasting record, or null. */
  public NodeRecord nodeRecord(String name) {
    int number = numberOf(name);
    NodeRecord record = number < 0 ? null : nodeRecords.get(number);
    return record != null && record.name().equals(name) ? record : null;
  }

  public Collection<NodeRecord> nodeRecords() {
    return nodeRecords.values();
  }

  /** A number that no one ever had. */
  public int nextNumber() {
    int after = nodeRecords.isEmpty() ? 0 : nodeRecords.lastKey() + 1;
    return Math.max(initialNames().size(), after);
  }

  public OperatorOverrides overrides() {
    return overrides;
  }

  /** Up to which level nothing of an older form is left, durably; 0 if that was never said. */
  public int convertedLevel() {
    return convertedLevel;
  }

  public long convertedLevelStamp() {
    return convertedLevelStamp;
  }
}
