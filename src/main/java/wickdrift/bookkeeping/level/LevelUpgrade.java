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
   * @param now the level in force
   * @param build what this build speaks
   * @param live the levels of each member that is there, announced with its lease
   * @param named the controllers that the asking controller's settings name
   * @param registry the lasting records
   */
  public static LevelUpgrade evaluate(
      int now,
      LevelRange build,
      Map<String, LevelRange> live,
      Collection<String> named,
      NodeRegistry registry) {
    LevelUpgrade rise = step(now, build, live, named, registry);
    // Levels that change no form need no conversion of what is there: one change of view for all.
    while (rise.level() > now && !Gate.afterConversion(rise.level() + 1)) {
      LevelUpgrade further = step(rise.level(), build, live, named, registry);
      if (further.level() == rise.level()) {
        break;
      }
      rise = further;
    }
    return rise;
  }

  private static LevelUpgrade step(
      int now,
      LevelRange build,
      Map<String, LevelRange> live,
      Collection<String> named,
      NodeRegistry registry) {
    int next = now + 1;
    if (next > build.max()) {
      return new LevelUpgrade(now, List.of(), Map.of());
    }
    List<String> waits = new ArrayList<>();
    Map<String, Long> conditions = new LinkedHashMap<>();
    OperatorOverrides word = registry.overrides();
    conditions.put(OperatorOverrides.KEY, word.stamp());
    String holding = word.holdsBack(next);
    if (holding != null) {
      waits.add("gate " + holding + " is held back");
    }
    if (now > 1 && Gate.afterConversion(next) && registry.convertedLevel() < now) {
      waits.add("records of a form older than level " + now + " are left");
    }
    TreeSet<String> all = new TreeSet<>(named);
    all.addAll(live.keySet());
    for (String name : live.keySet()) {
      NodeRecord a = registry.nodeRecord(name);
      // Whom a member's settings name may act too, once it is started.
      all.addAll(a == null ? List.of() : a.peers());
    }
    for (String name : all) {
      LevelRange r = live.get(name);
      if (r != null) {
        if (!r.includes(next)) {
          waits.add(name + " speaks levels " + r);
        }
      } else if (!word.ignoredNodes().contains(name)) {
        NodeRecord a = registry.nodeRecord(name);
        if (a == null) {
          waits.add(name + " is down and has announced nothing");
        } else if (!a.levels().includes(next)) {
          waits.add(name + " is down and spoke levels " + a.levels());
        } else {
          conditions.put(NodeRecord.key(a.number()), a.stamp());
          // Nor may it have come back meanwhile with a build that announces nothing.
          conditions.put("w/m/" + name, 0L);
        }
      }
    }
    return waits.isEmpty()
        ? new LevelUpgrade(next, List.of(), conditions)
        : new LevelUpgrade(now, List.copyOf(waits), Map.of());
  }

  /** What keeps each of the gates of a build closed, by label; empty text for those open. */
  public static Map<String, String> closedGateReasons(int inForce, OperatorOverrides word) {
    Map<String, String> out = new TreeMap<>();
    for (Gate g : Gate.values()) {
      boolean open = g.level() <= inForce;
      out.put(
          g.label(),
          open ? "" : word.heldGates().contains(g.label()) ? "held back" : "level " + g.level());
    }
    return out;
  }
}
