package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * Who holds authority: the epoch, the members with their incarnations, and the leader; and the
 * level of stored state that is in force, which so changes at one revision for all, under a new
 * epoch, and makes every placement that was prepared before fail.
 *
 * @param zones where the members are; those without a zone are left out
 * @param viewsGateEpoch the epoch with which {@link Gate#VIEWS} opened, 0 before: parts that were
 *     last written under an earlier one may still let something through that was prepared by then
 * @param extra fields that this build does not know; they survive a rewriting
 */
public record View(
    long epoch,
    Map<String, String> members,
    String leader,
    Map<String, String> zones,
    int level,
    long viewsGateEpoch,
    Map<String, Object> extra) {
  public static final String KEY = "w/v";
  private static final String LEVEL = "level";
  private static final String SINCE = "since";

  /** The controllers of a zone hold at most so many times an even share of the machines. */
  private static final int MOST_SHARE = 4;

  public View(long epoch, Map<String, String> members, String leader, Map<String, String> zones) {
    this(epoch, members, leader, zones, 1, 0, Map.of());
  }

  public View(long epoch, Map<String, String> members, String leader) {
    this(epoch, members, leader, Map.of());
  }

  /** Whether what a gate stands for is switched on. */
  public boolean isOpen(Gate gate) {
    return level >= gate.level();
  }

  /** The same members under a higher epoch. */
  public View withNextEpoch() {
    return new View(epoch + 1, members, leader, zones, level, viewsGateEpoch, extra);
  }

  /** The same under another level. */
  public View withLevel(int newLevel) {
    boolean opens = !isOpen(Gate.VIEWS) && newLevel >= Gate.VIEWS.level();
    return new View(epoch, members, leader, zones, newLevel, opens ? epoch : viewsGateEpoch, extra);
  }

  /** The same with other members. */
  public View withMembers(Map<String, String> others, String newLeader, Map<String, String> where) {
    return new View(epoch, others, newLeader, where, level, viewsGateEpoch, extra);
  }

  /** The record as it is stored, in the form of its level. */
  public Object toStore() {
    Map<String, Object> m = new LinkedHashMap<>(extra);
    if (level > 1) {
      m.put(LEVEL, level);
    }
    if (viewsGateEpoch > 0) {
      m.put(SINCE, viewsGateEpoch);
    }
    m.put("epoch", epoch);
    m.put("members", members);
    m.put("leader", leader);
    m.put("zones", zones);
    return Encoding.wrap(Encoding.forLevel(level), m);
  }

  /**
   * @throws BadMessage if it is malformed or of a form that this build does not read
   */
  public static View parse(Object value) throws BadMessage {
    Document d = Encoding.decode(value, Encoding.NUMBERED);
    Map<String, String> zones = d.raw("zones") == null ? Map.of() : texts(d.raw("zones"));
    long level = d.count(LEVEL, 1);
    if (level < 1
        || level > Integer.MAX_VALUE
        || Encoding.versionOf(value) != Encoding.forLevel((int) level)) {
      throw new BadMessage("level " + level + " does not go with the record's form");
    }
    return new View(
        d.count("epoch"),
        texts(d.raw("members")),
        d.text("leader"),
        zones,
        (int) level,
        d.count(SINCE, 0),
        d.without(LEVEL, SINCE, "epoch", "members", "leader", "zones"));
  }

  private static Map<String, String> texts(Object map) throws BadMessage {
    Map<String, String> out = new TreeMap<>();
    Document m = Document.of(map);
    for (Object k : ((Map<?, ?>) m.rawMap()).keySet()) {
      out.put((String) k, m.text((String) k));
    }
    return out;
  }

  /** The part that a name falls to: the member whose hash with it is highest. */
  public String owner(String name) {
    return owner(name, m -> true);
  }

  /**
   * The part that a machine falls to: by the hash among the members of its own zone, where it has
   * any. A zone that is cut off goes on working inside, but only the owner of a machine may answer
   * its worker, for nobody else can tell when its lease has ended. Where the zone's members are so
   * few that they would hold far more than the others, and where it has none, all take part.
   *
   * @param zone null when it is not known
   */
  public String owner(String machine, String zone) {
    int here = 0;
    for (String z : zones.values()) {
      here += z.equals(zone) ? 1 : 0;
    }
    boolean local = here > 0 && members.size() <= MOST_SHARE * here;
    return owner(machine, local ? m -> zone.equals(zones.get(m)) : m -> true);
  }

  /** Whether a part may lack machines of some zones that others have. */
  public boolean partitionsAreZonal() {
    return Set.copyOf(zones.values()).size() > 1;
  }

  private String owner(String name, Predicate<String> among) {
    String best = null;
    long bestHash = 0;
    for (String m : members.keySet()) {
      if (!among.test(m)) {
        continue;
      }
      long h = mix(hash(name) * 0x9E3779B97F4A7C15L ^ hash(m));
      if (best == null || Long.compareUnsigned(h, bestHash) > 0) {
        best = m;
        bestHash = h;
      }
    }
    return best;
  }

  /** Who places a job's tasks, given the part it was sent to. */
  public String placer(String part, String jobId) {
    if (part.equals(Job.LEADER_PARTITION)) {
      return leader;
    }
    return members.containsKey(part) ? part : owner(jobId);
  }

  private static long hash(String s) {
    long h = 0xcbf29ce484222325L;
    for (int i = 0; i < s.length(); i++) {
      h = (h ^ s.charAt(i)) * 0x100000001b3L;
    }
    return h;
  }

  private static long mix(long h) {
    h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
    h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
    return h ^ h >>> 31;
  }

  /**
   * The view that the live members call for, or null when this one still fits.
   *
   * @param zones where the live members are
   */
  public static View next(View now, Map<String, String> live, Map<String, String> zones) {
    if (live.isEmpty() || now != null && now.members.equals(live)) {
      return null;
    }
    String leader = null;
    if (now != null) {
      String old = now.leader;
      if (Objects.equals(live.get(old), now.members.get(old)) && live.containsKey(old)) {
        leader = old;
      } else {
        // One who was a member before has settled tables; a newcomer leads only if all are new.
        for (String m : new ArrayList<>(live.keySet())) {
          if (leader == null && Objects.equals(live.get(m), now.members.get(m))) {
            leader = m;
          }
        }
      }
    }
    if (leader == null) {
      leader = List.copyOf(live.keySet()).get(0);
    }
    TreeMap<String, String> where = new TreeMap<>(zones);
    where.keySet().retainAll(live.keySet());
    return new View(
        now == null ? 1 : now.epoch + 1,
        new TreeMap<>(live),
        leader,
        where,
        now == null ? 1 : now.level,
        now == null ? 0 : now.viewsGateEpoch,
        now == null ? Map.of() : now.extra);
  }
}
