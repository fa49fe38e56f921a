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
  private static final String LEVEL_FIELD = "level";
  private static final String SINCE_FIELD = "since";

  /** The controllers of a zone hold at most so many times an even share of the machines. */
  private static final int MAX_SHARE_FACTOR = 4;

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
    boolean opensViewsGate = !isOpen(Gate.VIEWS) && newLevel >= Gate.VIEWS.level();
    return new View(
        epoch, members, leader, zones, newLevel, opensViewsGate ? epoch : viewsGateEpoch, extra);
  }

  /** The same with other members. */
  public View withMembers(
      Map<String, String> newMembers, String newLeader, Map<String, String> newZones) {
    return new View(epoch, newMembers, newLeader, newZones, level, viewsGateEpoch, extra);
  }

  /** The record as it is stored, in the form of its level. */
  public Object toStore() {
    Map<String, Object> record = new LinkedHashMap<>(extra);
    if (level > 1) {
      record.put(LEVEL_FIELD, level);
    }
    if (viewsGateEpoch > 0) {
      record.put(SINCE_FIELD, viewsGateEpoch);
    }
    record.put("epoch", epoch);
    record.put("members", members);
    record.put("leader", leader);
    record.put("zones", zones);
    return Encoding.wrap(Encoding.forLevel(level), record);
  }

  /**
   * @throws BadMessage if it is malformed or of a form that this build does not read
   */
  public static View parse(Object value) throws BadMessage {
    Document document = Encoding.decode(value, Encoding.NUMBERED);
    Map<String, String> zones =
        document.raw("zones") == null ? Map.of() : texts(document.raw("zones"));
    long level = document.count(LEVEL_FIELD, 1);
    if (level < 1
        || level > Integer.MAX_VALUE
        || Encoding.versionOf(value) != Encoding.forLevel((int) level)) {
      throw new BadMessage("level " + level + " does not go with the record's form");
    }
    return new View(
        document.count("epoch"),
        texts(document.raw("members")),
        document.text("leader"),
        zones,
        (int) level,
        document.count(SINCE_FIELD, 0),
        document.without(LEVEL_FIELD, SINCE_FIELD, "epoch", "members", "leader", "zones"));
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
    int membersInZone = 0;
    for (String z : zones.values()) {
      membersInZone += z.equals(zone) ? 1 : 0;
    }
    boolean local = membersInZone > 0 && members.size() <= MAX_SHARE_FACTOR * membersInZone;
    return owner(machine, local ? m -> zone.equals(zones.get(m)) : m -> true);
  }

  /** Whether a part may lack machines of some zones that others have. */
  public boolean partitionsAreZonal() {
    return Set.copyOf(zones.values()).size() > 1;
  }

  private String owner(String name, Predicate<String> eligible) {
    String owner = null;
    long ownerScore = 0;
    for (String m : members.keySet()) {
      if (!eligible.test(m)) {
        continue;
      }
      long score = mix(hash(name) * 0x9E3779B97F4A7C15L ^ hash(m));
      if (owner == null || Long.compareUnsigned(score, ownerScore) > 0) {
        owner = m;
        ownerScore = score;
      }
    }
    return owner;
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
  public static View next(View current, Map<String, String> live, Map<String, String> zones) {
    if (live.isEmpty() || current != null && current.members.equals(live)) {
      return null;
    }
    String leader = null;
    if (current != null) {
      String oldLeader = current.leader;
      if (Objects.equals(live.get(oldLeader), current.members.get(oldLeader))
          && live.containsKey(oldLeader)) {
        leader = oldLeader;
      } else {
        // One who was a member before has settled tables; a newcomer leads only if all are new.
        for (String m : new ArrayList<>(live.keySet())) {
          if (leader == null && Objects.equals(live.get(m), current.members.get(m))) {
            leader = m;
          }
        }
      }
    }
    if (leader == null) {
      leader = List.copyOf(live.keySet()).get(0);
    }
    TreeMap<String, String> liveZones = new TreeMap<>(zones);
    liveZones.keySet().retainAll(live.keySet());
    return new View(
        current == null ? 1 : current.epoch + 1,
        new TreeMap<>(live),
        leader,
        liveZones,
        current == null ? 1 : current.level,
        current == null ? 0 : current.viewsGateEpoch,
        current == null ? Map.of() : current.extra);
  }
}
