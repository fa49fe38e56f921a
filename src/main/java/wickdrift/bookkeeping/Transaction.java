package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.protocol.MessageCodec;

/** A transaction being put together: conditions on stamps, then writes and deletions. */
public final class Transaction {
  private final Map<String, Long> requireStamp = new LinkedHashMap<>();
  private final Map<String, Map<String, Object>> then = new LinkedHashMap<>();

  /** Adds a condition: the key has this stamp; 0: it does not exist. */
  public Transaction requireStamp(String key, long stamp) {
    Long old = requireStamp.put(key, stamp);
    if (old != null && old != stamp) {
      throw new IllegalStateException("two stamps wanted of " + key);
    }
    return this;
  }

  public Transaction write(String key, Object value) {
    return write(key, value, 0);
  }

  /** Adds a write, tied to a lease unless that is 0. */
  public Transaction write(String key, Object value, long tether) {
    Map<String, Object> op = new LinkedHashMap<>();
    op.put("write", key);
    op.put("v", value);
    if (tether > 0) {
      op.put("tether", tether);
    }
    then.put(key, op);
    return this;
  }

  public Transaction delete(String key) {
    Map<String, Object> op = new LinkedHashMap<>();
    op.put("delete", key);
    then.put(key, op);
    return this;
  }

  /** Takes back whatever was said of a key. */
  public void remove(String key) {
    requireStamp.remove(key);
    then.remove(key);
  }

  public int changeCount() {
    return then.size();
  }

  public boolean changesKey(String key) {
    return then.containsKey(key);
  }

  public Map<String, Long> conditions() {
    return requireStamp;
  }

  /** Why the state service would refuse it for its size, or null. */
  String tooLarge(StateServiceLimits limits) {
    if (then.size() > limits.maxTransactionChanges()) {
      return then.size() + " changes, as of " + largest();
    }
    if (requireStamp.size() > limits.maxTransactionConditions()) {
      return requireStamp.size() + " conditions, as of " + largest();
    }
    for (Map.Entry<String, Map<String, Object>> e : then.entrySet()) {
      Object v = e.getValue().get("v");
      if (v != null && MessageCodec.jsonSize(v) > limits.maxValueBytes()) {
        return kind(e.getKey());
      }
    }
    return null;
  }

  /** What kind of record its largest value is, for a log: kinds are few, keys are not. */
  String largest() {
    String best = "";
    int most = -1;
    for (Map.Entry<String, Map<String, Object>> e : then.entrySet()) {
      Object v = e.getValue().get("v");
      int n = v == null ? 0 : MessageCodec.jsonSize(v);
      if (n > most) {
        most = n;
        best = e.getKey();
      }
    }
    return kind(best);
  }

  private static String kind(String key) {
    return "a record " + key.substring(0, Math.min(4, key.length()));
  }

  /** The body of the request. */
  public Map<String, Object> toRequest() {
    List<Object> w = new ArrayList<>();
    requireStamp.forEach((k, s) -> w.add(Map.of("key", k, "stamp", s)));
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("when", w);
    m.put("then", new ArrayList<Object>(then.values()));
    return m;
  }
}
