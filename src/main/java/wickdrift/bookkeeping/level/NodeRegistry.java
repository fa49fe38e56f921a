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
  public static final String LIST = PREFIX + "list";
  public static final String DONE = PREFIX + "done";
  private static final String NAMES = "names";

  private final List<String> settingsNames;
  private final TreeMap<Integer, Announcement> announced = new TreeMap<>();
  private final Map<String, Integer> numbers = new HashMap<>();
  private List<String> list;
  private long listStamp;
  private OperatorOverrides word = OperatorOverrides.NONE;
  private int doneLevel;
  private long doneStamp;

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
    listStamp = 0;
    word = OperatorOverrides.NONE;
    doneLevel = 0;
    doneStamp = 0;
    renumber();
  }

  /** The value of {@link #LIST}. */
  public static Map<String, Object> listToStore(List<String> names) {
    return new TreeMap<>(Map.of(NAMES, new ArrayList<>(names)));
  }

  /** The value of {@link #DONE}: nothing older than the forms of that level is left. */
  public static Map<String, Object> doneToStore(int level) {
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
        listStamp = d == null ? 0 : stamp;
      }
      case "word" -> word = d == null ? OperatorOverrides.NONE : OperatorOverrides.parse(d, stamp);
      case "done" -> {
        doneLevel = d == null ? 0 : (int) d.count("level");
        doneStamp = d == null ? 0 : stamp;
      }
      default -> {
        if (d != null) {
          Announcement a = Announcement.parse(name, d, stamp);
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
    for (int i = 0; i < first().size(); i++) {
      numbers.put(first().get(i), i);
    }
  }

  /** The names whose places are the first numbers. */
  public List<String> first() {
    return list == null ? settingsNames : list;
  }

  /** Whether the first list is stored. */
  public boolean hasList() {
    return list != null;
  }

  public long listStamp() {
    return listStamp;
  }

  /** A controller's number, or -1 if it has none. */
  public int number(String name) {
    return numbers.getOrDefault(name, -1);
  }

  /** Who has a number, or null. */
  public String name(int number) {
    if (number >= 0 && number < first().size()) {
      return first().get(number);
    }
    Announcement a = announced.get(number);
    return a == null ? null : a.name();
  }

  /** All that have a number. */
  public Collection<String> names() {
    return numbers.keySet();
  }

  /** A controller's lasting record, or null. */
  public Announcement announced(String name) {
    int n = number(name);
    Announcement a = n < 0 ? null : announced.get(n);
    return a != null && a.name().equals(name) ? a : null;
  }

  public Collection<Announcement> announced() {
    return announced.values();
  }

  /** A number that no one ever had. */
  public int nextNumber() {
    int after = announced.isEmpty() ? 0 : announced.lastKey() + 1;
    return Math.max(first().size(), after);
  }

  public OperatorOverrides word() {
    return word;
  }

  /** Up to which level nothing of an older form is left, durably; 0 if that was never said. */
  public int doneLevel() {
    return doneLevel;
  }

  public long doneStamp() {
    return doneStamp;
  }
}
