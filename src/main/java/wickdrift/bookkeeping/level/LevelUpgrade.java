package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The decision whether the level in force may be upgraded, a pure function of the durable state. It
 * may if every controller that can act, now or after a restart, has announced support for the next
 * level, no gate of that level is held back, and all records of the level in force use its
 * encoding.
 *
 * @param level the level to upgrade to, or the one in force if it must stay
 * @param blockers why the level must stay, one line per cause; empty if it is upgraded or if this
 *     build knows no newer level
 * @param conditions stamps of the records that the decision is based on, besides the view and the
 *     members: the transaction that upgrades the level must be conditional on all of them
 */
public record LevelUpgrade(int level, List<String> blockers, Map<String, Long> conditions) {
  /**
   * Decides which level may come into force next.
   *
   * @param current the level in force
   * @param build levels that this build supports
   * @param live levels of each live member, announced with its lease
   * @param configuredNames controllers named by the settings of the deciding controller
   * @param registry the durable records of the controllers
   */
  public static LevelUpgrade evaluate(
      int current,
      LevelRange build,
      Map<String, LevelRange> live,
      Collection<String> configuredNames,
      NodeRegistry registry) {
    LevelUpgrade upgrade = nextStep(current, build, live, configuredNames, registry);
    // Levels that change no encoding need no conversion, so one view change covers all of them.
    while (upgrade.level() > current && !Gate.requiresConversion(upgrade.level() + 1)) {
      LevelUpgrade further = nextStep(upgrade.level(), build, live, configuredNames, registry);
      if (further.level() == upgrade.level()) {
        break;
      }
      upgrade = further;
    }
    return upgrade;
  }

  private static LevelUpgrade nextStep(
      int current,
      LevelRange build,
      Map<String, LevelRange> live,
      Collection<String> configuredNames,
      NodeRegistry registry) {
    int next = current + 1;
    if (next > build.max()) {
      return new LevelUpgrade(current, List.of(), Map.of());
    }
    List<String> blockers = new ArrayList<>();
    Map<String, Long> conditions = new LinkedHashMap<>();
    OperatorOverrides overrides = registry.overrides();
    conditions.put(OperatorOverrides.KEY, overrides.stamp());
    String heldGate = overrides.gateBlocking(next);
    if (heldGate != null) {
      blockers.add("gate " + heldGate + " is held back");
    }
    if (current > 1 && Gate.requiresConversion(next) && registry.convertedLevel() < current) {
      blockers.add("records of a form older than level " + current + " are left");
    }
    TreeSet<String> controllers = new TreeSet<>(configuredNames);
    controllers.addAll(live.keySet());
    for (String name : live.keySet()) {
      NodeRecord record = registry.nodeRecord(name);
      // Controllers named in a member's settings may act too, once they are started.
      controllers.addAll(record == null ? List.of() : record.peers());
    }
    for (String name : controllers) {
      LevelRange levels = live.get(name);
      if (levels != null) {
        if (!levels.includes(next)) {
          blockers.add(name + " speaks levels " + levels);
        }
      } else if (!overrides.ignoredNodes().contains(name)) {
        NodeRecord record = registry.nodeRecord(name);
        if (record == null) {
          blockers.add(name + " is down and has announced nothing");
        } else if (!record.levels().includes(next)) {
          blockers.add(name + " is down and spoke levels " + record.levels());
        } else {
          conditions.put(NodeRecord.key(record.number()), record.stamp());
          // Fails if the node has meanwhile restarted with a build that announces no levels.
          conditions.put("w/m/" + name, 0L);
        }
      }
    }
    return blockers.isEmpty()
        ? new LevelUpgrade(next, List.of(), conditions)
        : new LevelUpgrade(current, List.copyOf(blockers), Map.of());
  }

  /** Why each gate of this build is closed, by label; an empty text for an open gate. */
  public static Map<String, String> closedGateReasons(int level, OperatorOverrides overrides) {
    Map<String, String> reasons = new TreeMap<>();
    for (Gate g : Gate.values()) {
      boolean open = g.level() <= level;
      reasons.put(
          g.label(),
          open
              ? ""
              : overrides.heldGates().contains(g.label()) ? "held back" : "level " + g.level());
    }
    return reasons;
  }
}
