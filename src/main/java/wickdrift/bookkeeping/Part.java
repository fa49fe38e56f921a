package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Doc;

/**
 * A member's part. Each transaction that places is conditional on this record's stamp, so whoever
 * rewrites it (a new view, the leader taking a machine, or the member itself after a commit whose
 * outcome it does not know) makes every placement that was prepared before fail.
 */
public record Part(long epoch, List<String> taken, long stamp) {
  public static String key(String node) {
    return "w/p/" + node;
  }

  public static Map<String, Object> toStore(long epoch, List<String> taken) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("epoch", epoch);
    m.put("taken", new ArrayList<>(taken));
    return m;
  }

  static Part parse(Doc d, long stamp) throws BadMessage {
    return new Part(d.count("epoch"), List.copyOf(d.texts("taken")), stamp);
  }
}
