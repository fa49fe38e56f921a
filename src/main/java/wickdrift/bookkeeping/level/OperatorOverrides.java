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
    Map<String, Object> record = new LinkedHashMap<>(extra);
    record.put("held", new ArrayList<>(heldGates));
    record.put("without", new ArrayList<>(ignoredNodes));
    return record;
  }

  /** Reads the record of an operator's command, of that stamp. */
  public static OperatorOverrides parse(Document document, long stamp) throws BadMessage {
    return new OperatorOverrides(
        List.copyOf(document.texts("held")),
        List.copyOf(document.texts("without")),
        stamp,
        document.without("held", "without"));
  }

  public OperatorOverrides withGateHeld(String gate, boolean held) {
    return new OperatorOverrides(withMembership(heldGates, gate, held), ignoredNodes, stamp, extra);
  }

  public OperatorOverrides withNodeIgnored(String name, boolean ignored) {
    return new OperatorOverrides(
        heldGates, withMembership(ignoredNodes, name, ignored), stamp, extra);
  }

  private static List<String> withMembership(List<String> names, String name, boolean present) {
    TreeSet<String> set = new TreeSet<>(names);
    if (present) {
      set.add(name);
    } else {
      set.remove(name);
    }
    return List.copyOf(set);
  }

  /** The label of a gate that keeps a level from coming into force, or null. */
  public String gateBlocking(int level) {
    for (String label : heldGates) {
      Gate gate = Gate.byLabel(label);
      if (gate == null || gate.level() <= level) {
        return label;
      }
    }
    return null;
  }
}
