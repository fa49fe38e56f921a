package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * What the operators have said about the levels, durably: gates that are held back, and controllers
 * that are not waited for. Stored as {@code w/c/word}; every rise is conditional on it.
 *
 * @param heldGates labels of gates; one that nobody here knows holds back every rise
 * @param ignoredNodes names of controllers
 */
public record OperatorOverrides(
    List<String> heldGates, List<String> ignoredNodes, long stamp, Map<String, Object> extra) {
  public static final String KEY = NodeRegistry.PREFIX + "word";
  public static final OperatorOverrides NONE =
      new OperatorOverrides(List.of(), List.of(), 0, Map.of());

  public Map<String, Object> toStore() {
    Map<String, Object> m = new LinkedHashMap<>(extra);
    m.put("held", new ArrayList<>(heldGates));
    m.put("without", new ArrayList<>(ignoredNodes));
    return m;
  }

  /** Reads the record of an operator's command, of that stamp. */
  public static OperatorOverrides parse(Document d, long stamp) throws BadMessage {
    return new OperatorOverrides(
        List.copyOf(d.texts("held")),
        List.copyOf(d.texts("without")),
        stamp,
        d.without("held", "without"));
  }

  public OperatorOverrides withGateHeld(String gate, boolean on) {
    return new OperatorOverrides(change(heldGates, gate, on), ignoredNodes, stamp, extra);
  }

  public OperatorOverrides withNodeIgnored(String name, boolean on) {
    return new OperatorOverrides(heldGates, change(ignoredNodes, name, on), stamp, extra);
  }

  private static List<String> change(List<String> list, String name, boolean on) {
    TreeSet<String> set = new TreeSet<>(list);
    if (on) {
      set.add(name);
    } else {
      set.remove(name);
    }
    return List.copyOf(set);
  }

  /** The label of a gate that keeps a level from coming into force, or null. */
  public String holdsBack(int level) {
    for (String label : heldGates) {
      Gate g = Gate.byLabel(label);
      if (g == null || g.level() <= level) {
        return label;
      }
    }
    return null;
  }
}
