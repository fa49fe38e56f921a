package wickdrift.bookkeeping;

import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the state service takes: now, and from some moment on that nobody is told of. From the level
 * of {@link wickdrift.bookkeeping.level.Gate#LIMITS} on whatever is written keeps to the smaller
 * sizes of both, for a value that is too large is found out by a refusal only, and what is stored
 * by then may have to be rewritten after the fall. The larger rate is used until the state service
 * refuses for it: what is given up before the fall would be given up for nothing, and a refusal
 * costs one try.
 */
public final class StateServiceLimits {
  private static final Logger LOG = LoggerFactory.getLogger(StateServiceLimits.class);
  private static final double BYTES_PER_KB = 1024;

  /** Of a value, the part that is used: sizes are counted as JSON, which others may write wider. */
  private static final double USED_VALUE_FRACTION = 0.9;

  /** The protocol allows so many conditions for each change. */
  private static final int CONDITIONS_PER_CHANGE = 4;

  /**
   * Source: {@code cluster.state} of the settings.
   *
   * @param rps requests a second
   * @param writeRps changes a second
   * @param valueKb KiB a value may have
   * @param txnOps changes a transaction may have
   */
  public record Bounds(double rps, double writeRps, double valueKb, int txnOps) {}

  private final Bounds current;
  private final Bounds next;
  private final BooleanSupplier smallerSizesRequired;
  private boolean nextLimitsInEffect;

  /**
   * @param next null if the limits stay as they are
   * @param smallerSizesRequired whether the level in force asks for the smaller sizes
   */
  public StateServiceLimits(Bounds current, Bounds next, BooleanSupplier smallerSizesRequired) {
    this.current = current;
    this.next = next == null ? current : next;
    this.smallerSizesRequired = smallerSizesRequired;
  }

  /** The state service has refused a value or a transaction for its size. */
  void onRefusedForSize() {
    switchToNext("it refuses a size");
  }

  /** It has refused changes for their rate: below the level, that may be the rate of today. */
  void onRefusedForRate() {
    if (smallerSizesRequired.getAsBoolean()) {
      switchToNext("it refuses a rate");
    }
  }

  private void switchToNext(String reason) {
    if (!nextLimitsInEffect && !next.equals(current)) {
      nextLimitsInEffect = true;
      LOG.warn("the state service's limits have fallen to {}: {}", next, reason);
    }
  }

  /** Whether the next limits are known to be in force. */
  public boolean nextLimitsInEffect() {
    return nextLimitsInEffect;
  }

  private boolean useSmallerSizes() {
    return nextLimitsInEffect || smallerSizesRequired.getAsBoolean();
  }

  /** Changes that a transaction may have. */
  public int maxTransactionChanges() {
    return useSmallerSizes() ? Math.min(current.txnOps, next.txnOps) : current.txnOps;
  }

  /** Conditions that a transaction may have. */
  public int maxTransactionConditions() {
    return CONDITIONS_PER_CHANGE * maxTransactionChanges();
  }

  /** Bytes that a value may have, counted as JSON. */
  public int maxValueBytes() {
    return (int)
        ((useSmallerSizes() ? Math.min(current.valueKb, next.valueKb) : current.valueKb)
            * BYTES_PER_KB);
  }

  /** Bytes that are used of a value that could be larger: a part is left for a margin. */
  public int targetValueBytes() {
    return (int) (maxValueBytes() * USED_VALUE_FRACTION);
  }

  /** Changes a second. */
  public double maxWritesPerSecond() {
    return nextLimitsInEffect ? Math.min(current.writeRps, next.writeRps) : current.writeRps;
  }

  /** Requests a second. */
  public double maxRequestsPerSecond() {
    return nextLimitsInEffect ? Math.min(current.rps, next.rps) : current.rps;
  }
}
