package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.protocol.MessageCodec;

/** A transaction being put together: conditions on stamps, then writes and deletions. */
public final class Transaction {
  private final Map<String, Long> conditionStamps = new LinkedHashMap<>();
  private final Map<String, Map<String, Object>> changes = new LinkedHashMap<>();

  /** Adds a condition: the key has this stamp; 0: it does not exist. */
  public Transaction requireStamp(String key, long stamp) {
    Long old = conditionStamps.put(key, stamp);
    if (old != null && old != stamp) {
      throw new IllegalStateException("two stamps wanted of " + key);
    }
    return this;
  }

  public Transaction write(String key, Object value) {
    return write(key, value, 0);
  }

  /** Adds a write, tied to a lease unless that is 0. */
  public Transaction write(String key, Object value, long leaseId) {
    Map<String, Object> change = new LinkedHashMap<>();
    change.put("write", key);
    change.put("v", value);
    if (leaseId > 0) {
      change.put("tether", leaseId);
    }
    changes.put(key, change);
    return this;
  }

  public Transaction delete(String key) {
    Map<String, Object> change = new LinkedHashMap<>();
    change.put("delete", key);
    changes.put(key, change);
    return this;
  }

  /** Takes back whatever was said of a key. */
  public void remove(String key) {
    conditionStamps.remove(key);
    changes.remove(key);
  }

  public int changeCount() {
    return changes.size();
  }

  public boolean changesKey(String key) {
    return changes.containsKey(key);
  }

  public Map<String, Long> conditions() {
    return conditionStamps;
  }

  /** Why the state service would refuse it for its size, or null. */
  String sizeViolation(StateServiceLimits limits) {
    if (changes.size() > limits.maxTransactionChanges()) {
      return changes.size() + " changes, as of " + largestRecord();
    }
    if (conditionStamps.size() > limits.maxTransactionConditions()) {
      return conditionStamps.size() + " conditions, as of " + largestRecord();
    }
    for (Map.Entry<String, Map<String, Object>> e : changes.entrySet()) {
      Object v = e.getValue().get("v");
      if (v != null && MessageCodec.jsonSize(v) > limits.maxValueBytes()) {
        return keyPrefix(e.getKey());
      }
    }
    return null;
  }

  /** What kind of record its largest value is, for a log: kinds are few, keys are not. */
  String largestRecord() {
    String largestKey = "";
    int maxSize = -1;
    for (Map.Entry<String, Map<String, Object>> e : changes.entrySet()) {
      Object v = e.getValue().get("v");
      int n = v == null ? 0 : MessageCodec.jsonSize(v);
      if (n > maxSize) {
        maxSize = n;
        largestKey = e.getKey();
      }
    }
    return keyPrefix(largestKey);
  }

  private static String keyPrefix(String key) {
    return "a record " + key.substring(0, Math.min(4, key.length()));
  }

  /** The body of the request. */
  public Map<String, Object> toRequest() {
    List<Object> conditionList = new ArrayList<>();
    conditionStamps.forEach((k, s) -> conditionList.add(Map.of("key", k, "stamp", s)));
    Map<String, Object> request = new LinkedHashMap<>();
    request.put("when", conditionList);
    request.put("then", new ArrayList<Object>(changes.values()));
    return request;
  }
}
