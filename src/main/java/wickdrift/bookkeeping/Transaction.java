package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Unsigned;

/**
 * A transaction under construction: conditions on stamps, and the writes and deletions to apply.
 */
public final class Transaction {
  /** Upper bound of the request's size as JSON without its conditions and changes. */
  private static final int REQUEST_OVERHEAD_BYTES = 32;

  private int requestBytes = REQUEST_OVERHEAD_BYTES;
  private final Map<String, Long> conditionStamps = new LinkedHashMap<>();
  private final Map<String, Map<String, Object>> changes = new LinkedHashMap<>();

  /** Adds a condition: the key must have this stamp, or must not exist if it is 0. */
  public Transaction requireStamp(String key, long stamp) {
    Long old = conditionStamps.put(key, stamp);
    if (old != null && old != stamp) {
      throw new IllegalStateException("conflicting stamp conditions for key " + key);
    }
    requestBytes += old == null ? encodedBytes(condition(key, stamp)) : 0;
    return this;
  }

  /** Adds a write of a key that is not tied to a lease. */
  public Transaction write(String key, Object value) {
    return write(key, value, 0);
  }

  /** Adds a write, tied to a lease unless {@code leaseId} is 0. */
  public Transaction write(String key, Object value, long leaseId) {
    Map<String, Object> change = new LinkedHashMap<>();
    change.put("write", key);
    change.put("v", value);
    if (leaseId != 0) {
      change.put("tether", Unsigned.toWire(leaseId));
    }
    putChange(key, change);
    return this;
  }

  /** Adds a deletion of a key. */
  public Transaction delete(String key) {
    Map<String, Object> change = new LinkedHashMap<>();
    change.put("delete", key);
    putChange(key, change);
    return this;
  }

  private void putChange(String key, Map<String, Object> change) {
    Map<String, Object> replaced = changes.put(key, change);
    requestBytes += encodedBytes(change) - (replaced == null ? 0 : encodedBytes(replaced));
  }

  private static Map<String, Object> condition(String key, long stamp) {
    return Map.of("key", key, "stamp", Unsigned.toWire(stamp));
  }

  /** The size of an element of a list as JSON, with its comma. */
  private static int encodedBytes(Object element) {
    return MessageCodec.jsonSize(element) + 1;
  }

  /** The size of the whole request as JSON, which the protocol limits. */
  public int requestBytes() {
    return requestBytes;
  }

  /** Removes the condition and the change of a key. */
  public void remove(String key) {
    Long stamp = conditionStamps.remove(key);
    requestBytes -= stamp == null ? 0 : encodedBytes(condition(key, stamp));
    Map<String, Object> change = changes.remove(key);
    requestBytes -= change == null ? 0 : encodedBytes(change);
  }

  /** The keys that the transaction writes or deletes. */
  public Set<String> changedKeys() {
    return changes.keySet();
  }

  /** Number of writes and deletions. */
  public int changeCount() {
    return changes.size();
  }

  /** Whether the transaction writes or deletes a key. */
  public boolean changesKey(String key) {
    return changes.containsKey(key);
  }

  /** Required stamps by key; 0 for a key that must not exist. */
  public Map<String, Long> conditions() {
    return conditionStamps;
  }

  /** Which size limit of the state service the transaction exceeds, or null. */
  String sizeViolation(StateServiceLimits limits) {
    if (changes.size() > limits.maxTransactionChanges()) {
      return changes.size() + " changes, largest is " + largestRecord();
    }
    if (conditionStamps.size() > limits.maxTransactionConditions()) {
      return conditionStamps.size() + " conditions, largest is " + largestRecord();
    }
    if (requestBytes > limits.maxTransactionBytes()) {
      return requestBytes + " bytes, largest is " + largestRecord();
    }
    for (Map.Entry<String, Map<String, Object>> e : changes.entrySet()) {
      Object value = e.getValue().get("v");
      if (value != null && MessageCodec.jsonSize(value) > limits.maxValueBytes()) {
        return describeRecord(e.getKey());
      }
    }
    return null;
  }

  /**
   * Kind of the record with the largest value, for log lines: there are few kinds but many keys.
   */
  String largestRecord() {
    String largestKey = "";
    int maxSize = -1;
    for (Map.Entry<String, Map<String, Object>> e : changes.entrySet()) {
      Object value = e.getValue().get("v");
      int size = value == null ? 0 : MessageCodec.jsonSize(value);
      if (size > maxSize) {
        maxSize = size;
        largestKey = e.getKey();
      }
    }
    return describeRecord(largestKey);
  }

  private static String describeRecord(String key) {
    return "a record " + key.substring(0, Math.min(4, key.length()));
  }

  /** The body of the commit request. */
  public Map<String, Object> toRequest() {
    List<Object> conditionList = new ArrayList<>();
    conditionStamps.forEach((k, s) -> conditionList.add(condition(k, s)));
    Map<String, Object> request = new LinkedHashMap<>();
    request.put("when", conditionList);
    request.put("then", new ArrayList<Object>(changes.values()));
    return request;
  }
}
