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
 * The durable numbers of the controllers, their records and the operator overrides. Builds that
 * know no levels number controllers by their position in the sorted list of the settings. To keep
 * the meaning of the records that they wrote, that list is stored once ({@code w/c/list}) and its
 * positions remain the first numbers permanently. A controller added later gets the next number
 * that was never used.
 */
public final class NodeRegistry {
  /** Prefix of the keys of all records of the registry. */
  public static final String PREFIX = "w/c/";

  /** Key of the list whose positions are the first numbers. */
  public static final String INITIAL_NAMES_KEY = PREFIX + "list";

  /** Key of the level up to which all records are converted. */
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
   * Creates an empty registry.
   *
   * @param configuredNames all controllers that the settings name, sorted; they serve as the list
   *     until one is stored
   */
  public NodeRegistry(List<String> configuredNames) {
    this.configuredNames = List.copyOf(configuredNames);
    reset();
  }

  /** Discards all records before a load. */
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

  /** The value of {@link #CONVERTED_LEVEL_KEY}: no record uses an encoding older than a level's. */
  public static Map<String, Object> encodeConvertedLevel(int level) {
    return new TreeMap<>(Map.of("level", level));
  }

  /**
   * Applies a change of a record under {@link #PREFIX}.
   *
   * @param name the key after the prefix
   * @param document the record, or null if it was deleted
   * @throws BadMessage if it is malformed or unknown to this build; the registry is then unchanged
   */
  public void apply(String name, Document document, long stamp) throws BadMessage {
    switch (name) {
      case "list" -> {
        List<String> names = document == null ? null : List.copyOf(document.texts(NAMES_FIELD));
        if (names != null
            && (names.isEmpty() || names.stream().distinct().count() < names.size())) {
          throw new BadMessage("the initial list of controllers is empty or names one twice");
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
    // If a name ever has two numbers, the lowest counts, so that all nodes agree.
    nodeRecords.descendingMap().forEach((n, r) -> numbers.put(r.name(), n));
    for (int i = 0; i < initialNames().size(); i++) {
      numbers.put(initialNames().get(i), i);
    }
  }

  /** The names whose positions are the first numbers. */
  public List<String> initialNames() {
    return storedInitialNames == null ? configuredNames : storedInitialNames;
  }

  /** Whether the initial list is stored. */
  public boolean hasStoredInitialNames() {
    return storedInitialNames != null;
  }

  /** Stamp of the stored initial list; 0 if there is none. */
  public long initialNamesStamp() {
    return initialNamesStamp;
  }

  /** A controller's number, or -1 if it has none. */
  public int numberOf(String name) {
    return numbers.getOrDefault(name, -1);
  }

  /** The controller with a number, or null. */
  public String name(int number) {
    if (number >= 0 && number < initialNames().size()) {
      return initialNames().get(number);
    }
    NodeRecord record = nodeRecords.get(number);
    return record == null ? null : record.name();
  }

  /** All controllers that have a number. */
  public Collection<String> names() {
    return numbers.keySet();
  }

  /** A controller's durable record, or null. */
  public NodeRecord nodeRecord(String name) {
    int number = numberOf(name);
    NodeRecord record = number < 0 ? null : nodeRecords.get(number);
    return record != null && record.name().equals(name) ? record : null;
  }

  /** The durable records of all controllers, by number. */
  public Collection<NodeRecord> nodeRecords() {
    return nodeRecords.values();
  }

  /** The lowest number above all that were ever used. */
  public int nextNumber() {
    int after = nodeRecords.isEmpty() ? 0 : nodeRecords.lastKey() + 1;
    return Math.max(initialNames().size(), after);
  }

  /** The operator overrides; {@link OperatorOverrides#NONE} if none are stored. */
  public OperatorOverrides overrides() {
    return overrides;
  }

  /** Level up to which all records are durably converted; 0 if none was recorded. */
  public int convertedLevel() {
    return convertedLevel;
  }

  /** Stamp of {@link #CONVERTED_LEVEL_KEY}; 0 if there is none. */
  public long convertedLevelStamp() {
    return convertedLevelStamp;
  }
}
