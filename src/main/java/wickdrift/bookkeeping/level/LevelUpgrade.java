package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Whether the level in force may rise by one: a pure function of what is durable. It may when every
 * controller that can act, now or after a return, has announced that it speaks the next level, no
 * gate of that level is held back, and the records of the level in force are all of its form.
 *
 * @param level the next level, or the one in force if it must stay
 * @param blockers why it must stay, a line a cause; empty when it rises, or when nothing newer is
 *     known here
 * @param conditions the stamps of what this was drawn from, besides the view's and the members':
 *     the transaction that raises the level must be conditional on all of them
 */
public record LevelUpgrade(int level, List<String> blockers, Map<String, Long> conditions) {
  /**
   * @param current the level in force
   * @param build what this build speaks
   * @param live the levels of each member that is there, announced with its lease
   * @param configuredNames the controllers that the asking controller's settings name
   * @param registry the lasting records
   */
  public static LevelUpgrade evaluate(
      int current,
      LevelRange build,
      Map<String, LevelRange> live,
      Collection<String> configuredNames,
      NodeRegistry registry) {
    LevelUpgrade upgrade = nextStep(current, build, live, configuredNames, registry);
    // Levels that change no form need no conversion of what is there: one change of view for all.
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
    OperatorOverrides word = registry.overrides();
    conditions.put(OperatorOverrides.KEY, word.stamp());
    String heldGate = word.gateBlocking(next);
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
      // Whom a member's settings name may act too, once it is started.
      controllers.addAll(record == null ? List.of() : record.peers());
    }
    for (String name : controllers) {
      LevelRange levels = live.get(name);
      if (levels != null) {
        if (!levels.includes(next)) {
          blockers.add(name + " speaks levels " + levels);
        }
      } else if (!word.ignoredNodes().contains(name)) {
        NodeRecord record = registry.nodeRecord(name);
        if (record == null) {
          blockers.add(name + " is down and has announced nothing");
        } else if (!record.levels().includes(next)) {
          blockers.add(name + " is down and spoke levels " + record.levels());
        } else {
          conditions.put(NodeRecord.key(record.number()), record.stamp());
          // Nor may it have come back meanwhile with a build that announces nothing.
          conditions.put("w/m/" + name, 0L);
        }
      }
    }
    return blockers.isEmpty()
        ? new LevelUpgrade(next, List.of(), conditions)
        : new LevelUpgrade(current, List.copyOf(blockers), Map.of());
  }

  /** What keeps each of the gates of a build closed, by label; empty text for those open. */
  public static Map<String, String> closedGateReasons(int level, OperatorOverrides word) {
    Map<String, String> reasons = new TreeMap<>();
    for (Gate g : Gate.values()) {
      boolean open = g.level() <= level;
      reasons.put(
          g.label(),
          open ? "" : word.heldGates().contains(g.label()) ? "held back" : "level " + g.level());
    }
    return reasons;
  }
}
