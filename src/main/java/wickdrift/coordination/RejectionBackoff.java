package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Makes the next transaction differ from one that the state service has rejected, so that the
 * decisions in it do not hold each other up. For a while after a rejection transactions are small;
 * after a second one they hold a short log page and a single record, and that record is left out if
 * it is rejected even so.
 */
final class RejectionBackoff {
  /** How much a transaction may hold, largest first. */
  private enum Size {
    FULL(Integer.MAX_VALUE, 1),
    /** A log page and what the end of a job takes. */
    SMALL(4, 2),
    /** A log page and one record. */
    SINGLE(2, 4);

    final int maxChanges;
    final int pageDivisor;

    Size(int maxChanges, int pageDivisor) {
      this.maxChanges = maxChanges;
      this.pageDivisor = pageDivisor;
    }
  }

  private static final long REDUCED_MS = 10_000;
  private static final long LEFT_OUT_MS = 60_000;

  private final Map<String, Long> leftOutUntilMs = new HashMap<>();
  private Size size = Size.FULL;
  private long reducedUntilMs;
  private long rejections;

  /** Returns how many transactions were rejected. */
  long rejections() {
    return rejections;
  }

  /** Returns what a transaction may hold now. */
  TransactionBuilder.Capacity reduce(TransactionBuilder.Capacity full, long nowMs) {
    if (nowMs >= reducedUntilMs) {
      size = Size.FULL;
    }
    int maxChanges = Math.min(full.maxChanges(), size.maxChanges);
    return new TransactionBuilder.Capacity(
        Math.min(full.affordableChanges(), maxChanges),
        maxChanges,
        full.maxBytes(),
        full.pageBytes() / size.pageDivisor);
  }

  /** Whether a record may be written now. */
  boolean mayWrite(String key, long nowMs) {
    Long untilMs = leftOutUntilMs.get(key);
    return untilMs == null || nowMs >= untilMs;
  }

  /**
   * Records that a transaction was rejected.
   *
   * @param recordKeys the keys that it would have changed, without those of log pages
   */
  void rejected(Set<String> recordKeys, long nowMs) {
    rejections++;
    leftOutUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
    if (size == Size.SINGLE) {
      recordKeys.forEach(key -> leftOutUntilMs.put(key, nowMs + LEFT_OUT_MS));
    }
    size = size == Size.FULL ? Size.SMALL : Size.SINGLE;
    reducedUntilMs = nowMs + REDUCED_MS;
  }
}
