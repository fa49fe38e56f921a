package wickdrift.bookkeeping;

import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits of the state service: the current ones, and the next ones, which take effect at a time
 * that is not announced. From the level of {@link wickdrift.bookkeeping.level.Gate#LIMITS} on, all
 * writes keep to the smaller size limits, because an oversized value is detected only by a refusal,
 * and records stored before the change may have to be rewritten after it. The larger rate is used
 * until the state service refuses it: reducing the rate earlier gains nothing, and a refusal costs
 * only one attempt.
 */
public final class StateServiceLimits {
  private static final Logger LOG = LoggerFactory.getLogger(StateServiceLimits.class);
  private static final double BYTES_PER_KB = 1024;

  /** Margin: sizes are counted as JSON, and other JSON encoders may produce longer text. */
  private static final double USED_SIZE_FRACTION = 0.9;

  /** The protocol's limit for a whole transaction. */
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

  /** However large a value may be, a transaction has room for two. */
  private static final int MAX_TARGET_VALUE_BYTES =
      (int) (MAX_TRANSACTION_BYTES / 2 * USED_SIZE_FRACTION);

  /** The protocol allows this many conditions per change of a transaction. */
  private static final int CONDITIONS_PER_CHANGE = 4;

  /**
   * A set of limits, from {@code cluster.state} of the settings.
   *
   * @param rps maximum requests per second
   * @param writeRps maximum changes per second
   * @param valueKb maximum size of a value in KiB
   * @param txnOps maximum changes per transaction
   */
  public record Bounds(double rps, double writeRps, double valueKb, int txnOps) {}

  private final Bounds current;
  private final Bounds next;
  private final BooleanSupplier smallerSizesRequired;
  private boolean nextLimitsInEffect;

  /**
   * Creates the limits.
   *
   * @param current limits in effect at the start
   * @param next limits that take effect later, or null if the current ones remain
   * @param smallerSizesRequired whether the level in force requires the smaller size limits
   */
  public StateServiceLimits(Bounds current, Bounds next, BooleanSupplier smallerSizesRequired) {
    this.current = current;
    this.next = next == null ? current : next;
    this.smallerSizesRequired = smallerSizesRequired;
  }

  /** Called when the state service refused a value or a transaction for its size. */
  void onRefusedForSize() {
    switchToNext("size refused");
  }

  /** Called on a rate refusal. Below the level of the gate, the current rate may have caused it. */
  void onRefusedForRate() {
    if (smallerSizesRequired.getAsBoolean()) {
      switchToNext("rate refused");
    }
  }

  private void switchToNext(String reason) {
    if (!nextLimitsInEffect && !next.equals(current)) {
      nextLimitsInEffect = true;
      LOG.warn("state service limits reduced: limits={}, cause={}", next, reason);
    }
  }

  /** Whether the next limits are known to be in effect. */
  public boolean nextLimitsInEffect() {
    return nextLimitsInEffect;
  }

  private boolean useSmallerSizes() {
    return nextLimitsInEffect || smallerSizesRequired.getAsBoolean();
  }

  /** Maximum number of changes per transaction. */
  public int maxTransactionChanges() {
    return useSmallerSizes() ? Math.min(current.txnOps, next.txnOps) : current.txnOps;
  }

  /** Maximum number of conditions per transaction. */
  public int maxTransactionConditions() {
    return CONDITIONS_PER_CHANGE * maxTransactionChanges();
  }

  /** Maximum size of a value in bytes, counted as JSON. */
  public int maxValueBytes() {
    return (int)
        ((useSmallerSizes() ? Math.min(current.valueKb, next.valueKb) : current.valueKb)
            * BYTES_PER_KB);
  }

  /** Size in bytes up to which values are filled; it leaves a margin below the maximum. */
  public int targetValueBytes() {
    return Math.min(MAX_TARGET_VALUE_BYTES, (int) (maxValueBytes() * USED_SIZE_FRACTION));
  }

  /** Maximum size of a transaction in bytes, counted as JSON. */
  public int maxTransactionBytes() {
    return MAX_TRANSACTION_BYTES;
  }

  /** Size in bytes up to which transactions are filled; it leaves a margin below the maximum. */
  public int targetTransactionBytes() {
    return (int) (MAX_TRANSACTION_BYTES * USED_SIZE_FRACTION);
  }

  /** Maximum number of changes per second. */
  public double maxWritesPerSecond() {
    return nextLimitsInEffect ? Math.min(current.writeRps, next.writeRps) : current.writeRps;
  }

  /** Maximum number of requests per second. */
  public double maxRequestsPerSecond() {
    return nextLimitsInEffect ? Math.min(current.rps, next.rps) : current.rps;
  }
}
