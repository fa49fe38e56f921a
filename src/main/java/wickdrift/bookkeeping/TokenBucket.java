package wickdrift.bookkeeping;

/**
 * A token bucket for rate limits. Unless set otherwise, its capacity is one second's worth of
 * tokens.
 */
public final class TokenBucket {
  private double tokensPerSecond;
  private double capacity;
  private double tokens;
  private long lastRefillMs;

  /** Creates a full bucket. */
  public TokenBucket(double tokensPerSecond, long nowMs) {
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = tokensPerSecond;
    this.tokens = tokensPerSecond;
    this.lastRefillMs = nowMs;
  }

  /**
   * Takes {@code n} tokens unless that leaves less than {@code reserve}; returns whether it did.
   */
  public boolean tryAcquire(double n, double reserve, long nowMs) {
    if (!canAcquire(n, reserve, nowMs)) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Takes up to {@code n} tokens for an action that another bucket has already allowed. */
  public void acquireUpTo(double n, long nowMs) {
    refill(nowMs);
    tokens = Math.max(Math.min(tokens, 0), tokens - n);
  }

  /** Whether {@link #tryAcquire} would succeed. */
  public boolean canAcquire(double n, double reserve, long nowMs) {
    refill(nowMs);
    return tokens - n >= Math.min(reserve, capacity - n);
  }

  private void refill(long nowMs) {
    tokens = Math.min(capacity, tokens + tokensPerSecond * (nowMs - lastRefillMs) / 1000.0);
    lastRefillMs = nowMs;
  }

  /** Sets the rate, and a capacity of one second's worth of tokens. */
  public void setRate(double newTokensPerSecond) {
    setRate(newTokensPerSecond, newTokensPerSecond);
  }

  /** Sets the rate and the capacity. */
  public void setRate(double newTokensPerSecond, double newCapacity) {
    tokensPerSecond = newTokensPerSecond;
    capacity = newCapacity;
  }

  /** The fill level as a fraction of the capacity, at most 1. */
  public double fillRatio(long nowMs) {
    return Math.min(1, (tokens + tokensPerSecond * (nowMs - lastRefillMs) / 1000.0) / capacity);
  }

  /** Fills the bucket to its capacity. */
  public void fill() {
    tokens = capacity;
  }

  /** Empties the bucket after the server reported that the limit was exceeded. */
  public void drain() {
    tokens = 0;
  }
}
