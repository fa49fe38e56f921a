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
 * The cluster view: the epoch, the members with their incarnations, the leader, and the level of
 * stored state that is in force. Since the level is part of the view, it changes at one revision
 * for all nodes, under a new epoch, and every placement prepared before that fails.
 *
 * @param zones zone of each member; members without a zone are left out
 * @param viewsGateEpoch the epoch with which {@link Gate#VIEWS} opened, 0 before. A partition last
 *     written under an earlier epoch may still admit a transaction prepared by then.
 * @param extra fields that this build does not know; they are kept when the record is rewritten
 */
public record View(
    long epoch,
    Map<String, String> members,
    String leader,
    Map<String, String> zones,
    int level,
    long viewsGateEpoch,
    Map<String, Object> extra) {
  /** Key of the stored view. */
  public static final String KEY = "w/v";

  private static final String LEVEL_FIELD = "level";
  private static final String SINCE_FIELD = "since";

  /** A zone's controllers own at most this multiple of an even share of the machines. */
  private static final int MAX_SHARE_FACTOR = 4;

  /** Creates a view at level 1. */
  public View(long epoch, Map<String, String> members, String leader, Map<String, String> zones) {
    this(epoch, members, leader, zones, 1, 0, Map.of());
  }

  /** Creates a view at level 1 without zones. */
  public View(long epoch, Map<String, String> members, String leader) {
    this(epoch, members, leader, Map.of());
  }

  /** Whether the feature behind a gate is enabled. */
  public boolean isOpen(Gate gate) {
    return level >= gate.level();
  }

  /** Returns the same view under the next epoch. */
  public View withNextEpoch() {
    return new View(epoch + 1, members, leader, zones, level, viewsGateEpoch, extra);
  }

  /** Returns the same view at another level. */
  public View withLevel(int newLevel) {
    boolean opensViewsGate = !isOpen(Gate.VIEWS) && newLevel >= Gate.VIEWS.level();
    return new View(
        epoch, members, leader, zones, newLevel, opensViewsGate ? epoch : viewsGateEpoch, extra);
  }

  /** Returns the same view with other members, leader and zones. */
  public View withMembers(
      Map<String, String> newMembers, String newLeader, Map<String, String> newZones) {
    return new View(epoch, newMembers, newLeader, newZones, level, viewsGateEpoch, extra);
  }

  /** The record as it is stored, in the encoding version of its level. */
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
   * Reads a stored view.
   *
   * @throws BadMessage if it is malformed or in an encoding version that this build does not read
   */
  public static View parse(Object value) throws BadMessage {
    Document document = Encoding.decode(value, Encoding.NUMBERED);
    Map<String, String> zones = !document.has("zones") ? Map.of() : texts(document.raw("zones"));
    long level = document.count(LEVEL_FIELD, 1);
    if (level < 1
        || level > Integer.MAX_VALUE
        || Encoding.versionOf(value) != Encoding.forLevel((int) level)) {
      throw new BadMessage("level " + level + " does not match the record's encoding version");
    }
    return new View(
        document.count("epoch"),
        texts(document.raw("members")),
        document.text("leader"),
        zones,
        (int) level,
        document.count(SINCE_FIELD, 0),
        document.fieldsExcept(LEVEL_FIELD, SINCE_FIELD, "epoch", "members", "leader", "zones"));
  }

  private static Map<String, String> texts(Object map) throws BadMessage {
    Map<String, String> out = new TreeMap<>();
    Document m = Document.of(map);
    for (Object k : m.rawMap().keySet()) {
      out.put((String) k, m.text((String) k));
    }
    return out;
  }

  /** The owner of a name by rendezvous hashing: the member whose hash with it is highest. */
  public String owner(String name) {
    return owner(name, m -> true);
  }

  /**
   * The owner of a machine by rendezvous hashing among the members of the machine's zone. A
   * disconnected zone keeps working internally, but only a machine's owner may answer its worker,
   * because no other node knows when the worker's lease ends. If the zone has no members, or so few
   * that each would own far more machines than the others, all members are candidates.
   *
   * @param zone zone of the machine, or null if it is unknown
   */
  public String owner(String machine, String zone) {
    int membersInZone = 0;
    for (String z : zones.values()) {
      membersInZone += z.equals(zone) ? 1 : 0;
    }
    boolean zonal = membersInZone > 0 && members.size() <= MAX_SHARE_FACTOR * membersInZone;
    return owner(machine, zonal ? m -> zone.equals(zones.get(m)) : m -> true);
  }

  /** Whether partitions may differ in the zones of their machines. */
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

  /** The node that places a job's tasks, given the partition that the job was routed to. */
  public String placingNode(String partition, String jobId) {
    if (partition.equals(Job.LEADER_PARTITION)) {
      return leader;
    }
    return members.containsKey(partition) ? partition : owner(jobId);
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
   * The view that follows from the live members, or null if the current one still matches them.
   *
   * @param live incarnations of the live members
   * @param zones zones of the live members
   */
  public static View nextView(View current, Map<String, String> live, Map<String, String> zones) {
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
        // A continuing member has up-to-date tables; a new member leads only if all are new.
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
