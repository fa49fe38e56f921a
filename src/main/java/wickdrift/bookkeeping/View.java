package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Doc;

/** Who holds authority: the epoch, the members with their incarnations, and the leader. */
public record View(long epoch, Map<String, String> members, String leader) {
  public static final String KEY = "w/v";

  public Map<String, Object> toStore() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("epoch", epoch);
    m.put("members", members);
    m.put("leader", leader);
    return m;
  }

  public static View parse(Doc d) throws BadMessage {
    Map<String, String> members = new TreeMap<>();
    Doc m = Doc.of(d.raw("members"));
    for (Object k : ((Map<?, ?>) m.rawMap()).keySet()) {
      members.put((String) k, m.text((String) k));
    }
    return new View(d.count("epoch"), members, d.text("leader"));
  }

  /** The part that a name falls to: the member whose hash with it is highest. */
  public String owner(String name) {
    String best = null;
    long bestHash = 0;
    for (String m : members.keySet()) {
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
    if (part.equals(Job.LEADER)) {
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

  /** The view that the live members call for, or null when this one still fits. */
  public static View next(View now, Map<String, String> live) {
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
    return new View(now == null ? 1 : now.epoch + 1, new TreeMap<>(live), leader);
  }
}
