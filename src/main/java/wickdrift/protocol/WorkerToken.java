package wickdrift.protocol;

/**
 * The token that tells a worker whose commands count: the epoch of the controllers' view, and the
 * number of times that the worker was woken up in this epoch. A worker keeps the highest token that
 * it has seen, so a token with one more wake-up makes it report at once.
 *
 * <p>On the wire a token is one integer below 2^63. From {@link
 * wickdrift.bookkeeping.level.Gate#WAKE_UPS} on it holds the epoch in its high bits and the number
 * of wake-ups in its low bits; before, it is the epoch alone. An integer without high bits is
 * therefore an epoch.
 *
 * @param epoch the epoch of a view; 0: the worker has seen no token
 * @param wakeUps the number of wake-ups, at most {@link #MAX_WAKE_UPS}
 */
public record WorkerToken(long epoch, long wakeUps) implements Comparable<WorkerToken> {
  private static final int WAKE_UP_BITS = 32;

  /** The largest number of wake-ups of a worker in one epoch. */
  public static final long MAX_WAKE_UPS = (1L << WAKE_UP_BITS) - 1;

  /** The largest epoch of a token that counts wake-ups; larger ones would not fit the wire form. */
  public static final long MAX_EPOCH = (1L << (Long.SIZE - 1 - WAKE_UP_BITS)) - 1;

  /** The token of a worker that has seen none. */
  public static final WorkerToken NONE = new WorkerToken(0, 0);

  /** Checks the bounds. */
  public WorkerToken {
    if (epoch < 0 || wakeUps < 0 || wakeUps > MAX_WAKE_UPS) {
      throw new IllegalArgumentException("token out of range: " + epoch + ", " + wakeUps);
    }
  }

  /** Decodes a token, of either wire form. */
  public static WorkerToken fromWire(long token) {
    long high = token >>> WAKE_UP_BITS;
    return high == 0 ? new WorkerToken(token, 0) : new WorkerToken(high, token & MAX_WAKE_UPS);
  }

  /**
   * Encodes the token.
   *
   * @param countsWakeUps whether the gate for wake-ups is open; if not, the token is the epoch
   */
  public long toWire(boolean countsWakeUps) {
    return countsWakeUps && epoch <= MAX_EPOCH ? epoch << WAKE_UP_BITS | wakeUps : epoch;
  }

  /** Whether another wake-up can be counted. */
  public boolean canCountWakeUp() {
    return wakeUps < MAX_WAKE_UPS && epoch <= MAX_EPOCH;
  }

  /** Returns the token with one more wake-up. */
  public WorkerToken withNextWakeUp() {
    return new WorkerToken(epoch, wakeUps + 1);
  }

  @Override
  public int compareTo(WorkerToken other) {
    int byEpoch = Long.compare(epoch, other.epoch);
    return byEpoch != 0 ? byEpoch : Long.compare(wakeUps, other.wakeUps);
  }
}
