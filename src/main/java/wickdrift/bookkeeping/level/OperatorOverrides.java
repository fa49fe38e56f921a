package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * Durable operator overrides for level upgrades, stored as {@code w/c/word}. Every level upgrade is
 * conditional on this record.
 *
 * @param heldGates labels of the gates that are held back; a label unknown to this build holds back
 *     every upgrade
 * @param ignoredNodes names of the controllers that an upgrade does not wait for
 * @param extra fields that this build does not know; they are kept when the record is rewritten
 */
public record OperatorOverrides(
    List<String> heldGates, List<String> ignoredNodes, long stamp, Map<String, Object> extra) {
  /** Key of the stored overrides. */
  public static final String KEY = NodeRegistry.PREFIX + "word";

  /** No overrides, as while nothing is stored. */
  public static final OperatorOverrides NONE =
      new OperatorOverrides(List.of(), List.of(), 0, Map.of());

  /** The record as it is stored. */
  public Map<String, Object> toStore() {
    Map<String, Object> record = new LinkedHashMap<>(extra);
    record.put("held", new ArrayList<>(heldGates));
    record.put("without", new ArrayList<>(ignoredNodes));
    return record;
  }

  /** Reads the stored record. */
  public static OperatorOverrides parse(Document document, long stamp) throws BadMessage {
    return new OperatorOverrides(
        List.copyOf(document.texts("held")),
        List.copyOf(document.texts("without")),
        stamp,
        document.fieldsExcept("held", "without"));
  }

  /** Returns the same overrides with a gate held back or released. */
  public OperatorOverrides withGateHeld(String gate, boolean held) {
    return new OperatorOverrides(withElement(heldGates, gate, held), ignoredNodes, stamp, extra);
  }

  /** Returns the same overrides with a controller ignored or waited for again. */
  public OperatorOverrides withNodeIgnored(String name, boolean ignored) {
    return new OperatorOverrides(heldGates, withElement(ignoredNodes, name, ignored), stamp, extra);
  }

  private static List<String> withElement(List<String> names, String name, boolean present) {
    TreeSet<String> set = new TreeSet<>(names);
    if (present) {
      set.add(name);
    } else {
      set.remove(name);
    }
    return List.copyOf(set);
  }

  /** The label of a held gate that prevents a level from coming into force, or null. */
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
