package wickdrift.bookkeeping;

/** A token bucket holding one second's worth, or less. */
public final class TokenBucket {
  private double tokensPerSecond;
  private double capacity;
  private double tokens;
  private long lastRefillMs;

  public TokenBucket(double tokensPerSecond, long nowMs) {
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = tokensPerSecond;
    this.tokens = tokensPerSecond;
    this.lastRefillMs = nowMs;
  }

  /** Takes {@code n} unless that leaves less than {@code reserve}. */
  public boolean tryAcquire(double n, double reserve, long nowMs) {
    if (!canAcquire(n, reserve, nowMs)) {
      return false;
    }
    tokens -= n;
    return true;
  }

  /** Takes what is there of {@code n}: it was allowed elsewhere. */
  public void acquireUpTo(double n, long nowMs) {
    refill(nowMs);
    tokens = Math.max(Math.min(tokens, 0), tokens - n);
  }

  /** Whether {@link #tryAcquire} would take that. */
  public boolean canAcquire(double n, double reserve, long nowMs) {
    refill(nowMs);
    return tokens - n >= Math.min(reserve, capacity - n);
  }

  private void refill(long nowMs) {
    tokens = Math.min(capacity, tokens + tokensPerSecond * (nowMs - lastRefillMs) / 1000.0);
    lastRefillMs = nowMs;
  }

  /** Another rate from now on. */
  public void setRate(double newTokensPerSecond) {
    setRate(newTokensPerSecond, newTokensPerSecond);
  }

  /** Another rate from now on, of which no more than that is saved up. */
  public void setRate(double newTokensPerSecond, double newCapacity) {
    tokensPerSecond = newTokensPerSecond;
    capacity = newCapacity;
  }

  /** How full it is, from 0 to 1. */
  public double fillRatio(long nowMs) {
    return Math.min(1, (tokens + tokensPerSecond * (nowMs - lastRefillMs) / 1000.0) / capacity);
  }

  public void fill() {
    tokens = capacity;
  }

  /** The far side says that the limit is passed: what we thought we had is gone. */
  public void drain() {
    tokens = 0;
  }
}
