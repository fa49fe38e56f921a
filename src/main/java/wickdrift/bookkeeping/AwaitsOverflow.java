package wickdrift.bookkeeping;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * Refers to the records {@code w/a/ID/SUM-N} that hold the ids of awaited jobs if the job's own
 * record is too small for them. They are written before the job's record. Their keys contain a
 * checksum of all ids, so that a repeated submission writes the same records, and a different list
 * has different keys.
 *
 * @param job the id of the job that awaits them
 * @param sum the checksum of all ids and of their number per record
 * @param records the number of records
 */
public record AwaitsOverflow(String job, String sum, int records) {
  private static final String KEY_PREFIX = "w/a/";

  /** The encoded size of an id with its quotes and comma. */
  private static final int BYTES_PER_NAME = 28;

  private static final int RECORD_OVERHEAD_BYTES = 32;

  /** More records than the ids in a request of 64 KiB need. */
  private static final int MAX_RECORDS = 1000;

  /** Whether a key is that of an overflow record. */
  static boolean isKey(String key) {
    return key.startsWith(KEY_PREFIX);
  }

  /** The id of the job that the key of an overflow record belongs to. */
  static String jobOfKey(String key) throws BadMessage {
    int slash = key.lastIndexOf('/');
    if (slash <= KEY_PREFIX.length()) {
      throw new BadMessage("key of an overflow record of awaited jobs contains no job id");
    }
    return key.substring(KEY_PREFIX.length(), slash);
  }

  /** The number of ids that fit into one record. */
  private static int namesPerRecord(int maxValueBytes) {
    return Math.max(1, (maxValueBytes - RECORD_OVERHEAD_BYTES) / BYTES_PER_NAME);
  }

  /** Lays out the ids that a job awaits in records of a maximum size. */
  public static AwaitsOverflow of(String job, List<String> names, int maxValueBytes) {
    CRC32 crc = new CRC32();
    crc.update(
        (names.size() + "," + namesPerRecord(maxValueBytes)).getBytes(StandardCharsets.UTF_8));
    names.forEach(n -> crc.update(n.getBytes(StandardCharsets.UTF_8)));
    int perRecord = namesPerRecord(maxValueBytes);
    return new AwaitsOverflow(
        job, Long.toHexString(crc.getValue()), (names.size() + perRecord - 1) / perRecord);
  }

  /** The records to store for these ids, by key. */
  public Map<String, Object> values(List<String> names, int maxValueBytes) {
    int perRecord = namesPerRecord(maxValueBytes);
    Map<String, Object> values = new TreeMap<>();
    for (int i = 0; i < records; i++) {
      List<String> recordNames =
          names.subList(i * perRecord, Math.min(names.size(), (i + 1) * perRecord));
      values.put(key(i), Map.of("names", new ArrayList<Object>(recordNames)));
    }
    return values;
  }

  /** The prefix of the keys of a job's overflow records. */
  static String keyPrefix(String job) {
    return KEY_PREFIX + job + "/";
  }

  /** The key of a record. */
  public String key(int record) {
    return keyPrefix(job) + sum + "-" + record;
  }

  List<Object> toStore() {
    return List.of(sum, records);
  }

  static AwaitsOverflow parse(String job, Object stored) throws BadMessage {
    if (stored instanceof List<?> fields
        && fields.size() == 2
        && fields.get(0) instanceof String sum
        && fields.get(1) instanceof Long recordCount
        && recordCount > 0
        && recordCount <= MAX_RECORDS) {
      return new AwaitsOverflow(job, sum, recordCount.intValue());
    }
    throw new BadMessage("reference to overflow records of awaited jobs is malformed");
  }

  /** The ids in one record. */
  static List<String> parseNames(Document document) throws BadMessage {
    return List.copyOf(document.texts("names"));
  }
}
