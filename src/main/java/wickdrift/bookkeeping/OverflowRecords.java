package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The stored overflow records ({@link AwaitsOverflow}): their stamps, and their names until the
 * waiting job has taken them.
 */
final class OverflowRecords {
  private final TreeMap<String, Long> stampByKey = new TreeMap<>();
  private final Map<String, List<String>> namesByKey = new HashMap<>();

  void put(String key, List<String> names, long stamp) {
    stampByKey.put(key, stamp);
    namesByKey.put(key, names);
  }

  void remove(String key) {
    stampByKey.remove(key);
    namesByKey.remove(key);
  }

  boolean contains(String key) {
    return stampByKey.containsKey(key);
  }

  void clear() {
    stampByKey.clear();
    namesByKey.clear();
  }

  /** The stamps of a job's records by key, so that their deletion can be conditional. */
  Map<String, Long> stampsOf(String job) {
    String prefix = AwaitsOverflow.keyPrefix(job);
    return stampByKey.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /**
   * Sets the awaited names of a job that has overflow records.
   *
   * @return whether all of the records were there
   */
  boolean setAwaitsOf(Job job) {
    AwaitsOverflow overflow = job.overflow();
    if (overflow == null) {
      return false;
    }
    List<String> names = new ArrayList<>();
    for (int k = 0; k < overflow.records(); k++) {
      List<String> part = namesByKey.get(overflow.key(k));
      if (part == null) {
        return false;
      }
      names.addAll(part);
    }
    job.setAwaits(List.copyOf(names));
    for (int k = 0; k < overflow.records(); k++) {
      namesByKey.remove(overflow.key(k));
    }
    return true;
  }
}
