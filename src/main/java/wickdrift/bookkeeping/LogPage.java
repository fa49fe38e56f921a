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
import wickdrift.protocol.Unsigned;

/**
 * One page of a node's log: the changes of tasks and machines made by its transactions, in a single
 * record regardless of their number. Only the node itself appends to its pages, by rewriting a page
 * on condition of its stamp. Each run of entries carries the revision at which it became durable,
 * so that all readers apply the entries of all logs in the same order. The revision of the last run
 * is the record's own stamp.
 */
public final class LogPage {
  private static final String PREFIX = "w/l/";
  private static final String RUNS_FIELD = "g";

  /** Entries that became durable at one revision. */
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

  /** The key of a page; its number is padded so that keys sort by number. */
  public static String key(String node, long number) {
    return PREFIX + node + "/" + String.format("%010d", number);
  }

  public static boolean isPage(String key) {
    return key.startsWith(PREFIX);
  }

  /** The node whose log the page with a key belongs to. */
  public static String node(String key) {
    return key.substring(PREFIX.length(), key.lastIndexOf('/'));
  }

  static long number(String key) throws BadMessage {
    try {
      return Long.parseLong(key.substring(key.lastIndexOf('/') + 1));
    } catch (NumberFormatException e) {
      throw new BadMessage("log page key does not end with a number");
    }
  }

  /** Reads a stored page, in any encoding version that this build reads. */
  public static LogPage parse(String key, Object value, long stamp) throws BadMessage {
    Document document = Encoding.decode(value, Encoding.NUMBERED);
    List<Run> runs = new ArrayList<>();
    for (Object o : document.list(RUNS_FIELD)) {
      if (!(o instanceof List<?> l) || l.size() != 2 || !(l.get(1) instanceof List<?> entries)) {
        throw new BadMessage("log page holds an element that is not a run");
      }
      long rev = Unsigned.fromWire(l.get(0));
      runs.add(new Run(rev == 0 ? stamp : rev, entries));
    }
    int encoding = Encoding.versionOf(value);
    int bytes = MessageCodec.jsonSize(value);
    return new LogPage(
        node(key), number(key), stamp, runs, bytes, encoding, document.fieldsExcept(RUNS_FIELD));
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

  /** Size of the stored value as the state service counts it. */
  public int bytes() {
    return bytes;
  }

  /**
   * The value to store for a page: the runs of {@code previous} without obsolete entries, then a
   * new run.
   *
   * @param previous the page as stored, or null for a new one
   * @param entries entries of the new run; empty if only the encoding version changes
   * @param obsolete whether the entry of a run at a revision can be dropped
   */
  public static Object encode(
      LogPage previous, int encoding, List<Object> entries, BiPredicate<Long, List<?>> obsolete) {
    List<Object> runs = new ArrayList<>();
    if (previous != null) {
      for (Run r : previous.runs) {
        List<Object> kept = new ArrayList<>();
        for (Object e : r.entries) {
          if (!obsolete.test(r.rev, (List<?>) e)) {
            kept.add(e);
          }
        }
        if (!kept.isEmpty()) {
          runs.add(List.of(Unsigned.toWire(r.rev), kept));
        }
      }
    }
    if (!entries.isEmpty()) {
      runs.add(List.of(0L, entries));
    }
    Map<String, Object> record = new LinkedHashMap<>(previous == null ? Map.of() : previous.extra);
    record.put(RUNS_FIELD, runs);
    return Encoding.wrap(encoding, record);
  }
}
