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
 * The names of awaited jobs that a job's own record has no room for, in records {@code
 * w/a/ID/SUM-N} that were written before it. Their keys hold a sum of all names: whoever writes
 * them writes the same, however often the user tries, and another list is of other keys.
 *
 * @param job whose they are
 * @param sum of all names
 * @param records how many there are
 */
public record AwaitsOverflow(String job, String sum, int records) {
  private static final String KEY_PREFIX = "w/a/";

  /** A name with its quotes and comma. */
  private static final int BYTES_PER_NAME = 28;

  private static final int RECORD_OVERHEAD_BYTES = 32;

  /** More than fit into a request of 64 KiB. */
  private static final int MAX_RECORDS = 1000;

  /** Whether a key is of such a record. */
  static boolean isKey(String key) {
    return key.startsWith(KEY_PREFIX);
  }

  /** The job of such a key. */
  static String jobOfKey(String key) throws BadMessage {
    int slash = key.lastIndexOf('/');
    if (slash <= KEY_PREFIX.length()) {
      throw new BadMessage("a record of names is of no job");
    }
    return key.substring(KEY_PREFIX.length(), slash);
  }

  /** How many names go into one record. */
  private static int namesPerRecord(int maxValueBytes) {
    return Math.max(1, (maxValueBytes - RECORD_OVERHEAD_BYTES) / BYTES_PER_NAME);
  }

  /** How a job's names are laid out in records of so many bytes. */
  public static AwaitsOverflow of(String job, List<String> names, int maxValueBytes) {
    CRC32 crc = new CRC32();
    crc.update(
        (names.size() + "," + namesPerRecord(maxValueBytes)).getBytes(StandardCharsets.UTF_8));
    names.forEach(n -> crc.update(n.getBytes(StandardCharsets.UTF_8)));
    int perRecord = namesPerRecord(maxValueBytes);
    return new AwaitsOverflow(
        job, Long.toHexString(crc.getValue()), (names.size() + perRecord - 1) / perRecord);
  }

  /** The records of those names, by key. */
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

  public String key(int record) {
    return KEY_PREFIX + job + "/" + sum + "-" + record;
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
    throw new BadMessage("where more names are is not told");
  }

  /** The names of one record. */
  static List<String> parseNames(Document document) throws BadMessage {
    return List.copyOf(document.texts("names"));
  }
}
