package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * The chunk and overflow records that were read while the tables had no job for them.
 *
 * <p>Such a record is no evidence that its job has ended: a load reads it later than the list of
 * jobs. Whether it is an orphan is therefore decided when the tables have caught up, by the jobs
 * that they hold then.
 */
public final class OrphanedRecords {
  /**
   * A record without a job.
   *
   * @param key the record's key
   * @param stamp the stamp with which it was read
   * @param job the id of the job that it belonged to
   */
  public record Orphan(String key, long stamp, String job) {}

  /** The length of the prefixes {@code w/t/} and {@code w/a/}. */
  private static final int PREFIX_LENGTH = 4;

  private final TreeMap<String, Long> stampByKey = new TreeMap<>();

  /** Adds a record that has no job now, or replaces its stamp. */
  void add(String key, long stamp) {
    stampByKey.put(key, stamp);
  }

  /** Removes a record that was deleted, or that its job has taken in. */
  void remove(String key) {
    stampByKey.remove(key);
  }

  /** Whether a chunk of the job is among the records. */
  boolean hasChunkOf(String job) {
    String prefix = Job.chunkKeyPrefix(job);
    String key = stampByKey.ceilingKey(prefix);
    return key != null && key.startsWith(prefix);
  }

  /** Removes all records. */
  void clear() {
    stampByKey.clear();
  }

  /** The records whose job does not exist, ordered by key. */
  List<Orphan> withoutJobIn(Set<String> jobs) {
    List<Orphan> orphans = new ArrayList<>();
    stampByKey.forEach(
        (key, stamp) -> {
          if (!jobs.contains(jobOf(key))) {
            orphans.add(new Orphan(key, stamp, jobOf(key)));
          }
        });
    return orphans;
  }

  private static String jobOf(String key) {
    return key.substring(PREFIX_LENGTH, key.lastIndexOf('/'));
  }
}
