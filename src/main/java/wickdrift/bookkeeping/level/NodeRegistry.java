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
  private static final String NAMES = "names";

  private final List<String> settingsNames;
  private final TreeMap<Integer, NodeRecord> announced = new TreeMap<>();
  private final Map<String, Integer> numbers = new HashMap<>();
  private List<String> list;
  private long initialNamesStamp;
  private OperatorOverrides overrides = OperatorOverrides.NONE;
  private int convertedLevel;
  private long convertedLevelStamp;

  /**
   * @param settingsNames all controllers that the settings name, sorted: the list until one is
   *     stored
   */
  public NodeRegistry(List<String> settingsNames) {
    this.settingsNames = List.copyOf(settingsNames);
    reset();
  }

  /** Forgets everything, before a load. */
  public void reset() {
    announced.clear();
    list = null;
    initialNamesStamp = 0;
    overrides = OperatorOverrides.NONE;
    convertedLevel = 0;
    convertedLevelStamp = 0;
    renumber();
  }

  /** The value of {@link #INITIAL_NAMES_KEY}. */
  public static Map<String, Object> encodeInitialNames(List<String> names) {
    return new TreeMap<>(Map.of(NAMES, new ArrayList<>(names)));
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
   * @param d null when it is gone
   * @throws BadMessage if it can't be read, or nobody here knows it; nothing has changed then
   */
  public void apply(String name, Document d, long stamp) throws BadMessage {
    switch (name) {
      case "list" -> {
        List<String> names = d == null ? null : List.copyOf(d.texts(NAMES));
        if (names != null
            && (names.isEmpty() || names.stream().distinct().count() < names.size())) {
          throw new BadMessage("the first list of controllers is empty or names one twice");
        }
        list = names;
        initialNamesStamp = d == null ? 0 : stamp;
      }
      case "word" ->
          overrides = d == null ? OperatorOverrides.NONE : OperatorOverrides.parse(d, stamp);
      case "done" -> {
        convertedLevel = d == null ? 0 : (int) d.count("level");
        convertedLevelStamp = d == null ? 0 : stamp;
      }
      default -> {
        if (d != null) {
          NodeRecord a = NodeRecord.parse(name, d, stamp);
          announced.put(a.number(), a);
        } else if (name.matches("[0-9]{1,5}")) {
          announced.remove(Integer.parseInt(name));
        }
      }
    }
    renumber();
  }

  private void renumber() {
    numbers.clear();
    // The lowest counts: should a name ever have two, all draw the same from it.
    announced.descendingMap().forEach((n, a) -> numbers.put(a.name(), n));
    for (int i = 0; i < initialNames().size(); i++) {
      numbers.put(initialNames().get(i), i);
    }
  }

  /** The names whose places are the first numbers. */
  public List<String> initialNames() {
    return list == null ? settingsNames : list;
  }

  /** Whether the first list is stored. */
  public boolean hasStoredInitialNames() {
    return list != null;
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
    NodeRecord a = announced.get(number);
    return a == null ? null : a.name();
  }

  /** All that have a number. */
  public Collection<String> names() {
    return numbers.keySet();
  }

  /** A controller's lasting record, or null. */
  public NodeRecord nodeRecord(String name) {
    int n = numberOf(name);
    NodeRecord a = n < 0 ? null : announced.get(n);
    return a != null && a.name().equals(name) ? a : null;
  }

  public Collection<NodeRecord> nodeRecords() {
    return announced.values();
  }

  /** A number that no one ever had. */
  public int nextNumber() {
    int after = announced.isEmpty() ? 0 : announced.lastKey() + 1;
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
