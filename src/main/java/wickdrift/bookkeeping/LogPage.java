package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;

/**
 * A page of a node's log: what its transactions changed about tasks and machines, in one record
 * however many those are. Only the node itself appends to it, by rewriting it on condition of its
 * stamp. Each run of entries carries the revision at which it became durable, so that all readers
 * apply the entries of all logs in one order; the last run's revision is the record's own stamp.
 */
public final class LogPage {
  private static final String PREFIX = "w/l/";
  private static final String RUNS_FIELD = "g";

  /** Entries that became durable together. */
  public record Run(long rev, List<?> entries) {}

  private final String node;
  private final long number;
  private final long stamp;
  private final List<Run> runs;
  private final int bytes;
  private final int encoding;
  private final Map<String, Object> extra;

  private LogPage(
      String node,
      long number,
      long stamp,
      List<Run> runs,
      int bytes,
      int encoding,
      Map<String, Object> extra) {
    this.node = node;
    this.number = number;
    this.stamp = stamp;
    this.runs = runs;
    this.bytes = bytes;
    this.encoding = encoding;
    this.extra = extra;
  }

  public static String key(String node, long number) {
    return PREFIX + node + "/" + String.format("%010d", number);
  }

  static boolean isPage(String key) {
    return key.startsWith(PREFIX);
  }

  public static String node(String key) {
    return key.substring(PREFIX.length(), key.lastIndexOf('/'));
  }

  static long number(String key) throws BadMessage {
    try {
      return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      throw new BadMessage("a page's key has no number");
    }
  }

  /** Reads a stored page, in whatever form. */
  public static LogPage parse(String key, Object value, long stamp) throws BadMessage {
    Document document = Encoding.decode(value, Encoding.NUMBERED);
    List<Run> runs = new ArrayList<>();
    for (Object o : document.list(RUNS_FIELD)) {
      if (!(o instanceof List<?> l)
          || l.size() != 2
          || !(l.get(0) instanceof Long rev)
          || !(l.get(1) instanceof List<?> entries)) {
        throw new BadMessage("a page holds something that is not a run");
      }
      runs.add(new Run(rev == 0 ? stamp : rev, entries));
    }
    int encoding = Encoding.versionOf(value);
    int bytes = MessageCodec.jsonSize(value);
    return new LogPage(
        node(key), number(key), stamp, runs, bytes, encoding, document.without(RUNS_FIELD));
  }

  public String key() {
    return key(node, number);
  }

  public long number() {
    return number;
  }

  public long stamp() {
    return stamp;
  }

  public List<Run> runs() {
    return runs;
  }

  public int encoding() {
    return encoding;
  }

  /** Its size as the state service counts it. */
  public int bytes() {
    return bytes;
  }

  /**
   * The value of a page that holds one new run after those of {@code old}, less what is dead.
   *
   * @param entries of the new run; none if the page is only brought to another form
   */
  public static Object encode(
      LogPage old, int encoding, List<Object> entries, BiPredicate<Long, List<?>> obsolete) {
    List<Object> runs = new ArrayList<>();
    if (old != null) {
      for (Run r : old.runs) {
        List<Object> kept = new ArrayList<>();
        for (Object e : r.entries) {
          if (!obsolete.test(r.rev, (List<?>) e)) {
            kept.add(e);
          }
        }
        if (!kept.isEmpty()) {
          runs.add(List.of(r.rev, kept));
        }
      }
    }
    if (!entries.isEmpty()) {
      runs.add(List.of(0L, entries));
    }
    Map<String, Object> record = new LinkedHashMap<>(old == null ? Map.of() : old.extra);
    record.put(RUNS_FIELD, runs);
    return Encoding.wrap(encoding, record);
  }
}
