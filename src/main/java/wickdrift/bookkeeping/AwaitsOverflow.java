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
  private static final String PREFIX = "w/a/";

  /** A name with its quotes and comma. */
  private static final int NAME_BYTES = 28;

  private static final int RECORD_BYTES = 32;

  /** More than fit into a request of 64 KiB. */
  private static final int MOST_RECORDS = 1000;

  /** Whether a key is of such a record. */
  static boolean is(String key) {
    return key.startsWith(PREFIX);
  }

  /** The job of such a key. */
  static String jobOfKey(String key) throws BadMessage {
    int slash = key.lastIndexOf('/');
    if (slash <= PREFIX.length()) {
      throw new BadMessage("a record of names is of no job");
    }
    return key.substring(PREFIX.length(), slash);
  }

  /** How many names go into one record. */
  private static int each(int valueBytes) {
    return Math.max(1, (valueBytes - RECORD_BYTES) / NAME_BYTES);
  }

  /** How a job's names are laid out in records of so many bytes. */
  public static AwaitsOverflow of(String job, List<String> names, int valueBytes) {
    CRC32 crc = new CRC32();
    crc.update((names.size() + "," + each(valueBytes)).getBytes(StandardCharsets.UTF_8));
    names.forEach(n -> crc.update(n.getBytes(StandardCharsets.UTF_8)));
    int per = each(valueBytes);
    return new AwaitsOverflow(
        job, Long.toHexString(crc.getValue()), (names.size() + per - 1) / per);
  }

  /** The records of those names, by key. */
  public Map<String, Object> values(List<String> names, int valueBytes) {
    int per = each(valueBytes);
    Map<String, Object> out = new TreeMap<>();
    for (int i = 0; i < records; i++) {
      List<String> some = names.subList(i * per, Math.min(names.size(), (i + 1) * per));
      out.put(key(i), Map.of("names", new ArrayList<Object>(some)));
    }
    return out;
  }

  public String key(int record) {
    return PREFIX + job + "/" + sum + "-" + record;
  }

  List<Object> toStore() {
    return List.of(sum, records);
  }

  static AwaitsOverflow parse(String job, Object stored) throws BadMessage {
    if (stored instanceof List<?> l
        && l.size() == 2
        && l.get(0) instanceof String sum
        && l.get(1) instanceof Long n
        && n > 0
        && n <= MOST_RECORDS) {
      return new AwaitsOverflow(job, sum, n.intValue());
    }
    throw new BadMessage("where more names are is not told");
  }

  /** The names of one record. */
  static List<String> parseNames(Document d) throws BadMessage {
    return List.copyOf(d.texts("names"));
  }
}
