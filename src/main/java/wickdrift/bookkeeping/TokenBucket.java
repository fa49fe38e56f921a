package wickdrift.bookkeeping;

/** A token bucket holding one second's worth, or less. */
public final class TokenBucket {
  private double perSecond;
  private double most;
  private double tokens;
  private long lastMs;

  public TokenBucket(double perSecond, long nowMs) {
    this.perSecond = perSecond;
    this.most = perSecond;
    this.tokens = perSecond;
    this.lastMs = nowMs;
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
    return tokens - n >= Math.min(reserve, most - n);
  }

  private void refill(long nowMs) {
    tokens = Math.min(most, tokens + perSecond * (nowMs - lastMs) / 1000.0);
    lastMs = nowMs;
  }

  /** Another rate from now on. */
  public void setRate(double newPerSecond) {
    setRate(newPerSecond, newPerSecond);
  }

  /** Another rate from now on, of which no more than that is saved up. */
  public void setRate(double newPerSecond, double newMost) {
    perSecond = newPerSecond;
    most = newMost;
  }

  /** How full it is, from 0 to 1. */
  public double fillRatio(long nowMs) {
    return Math.min(1, (tokens + perSecond * (nowMs - lastMs) / 1000.0) / most);
  }

  public void fill() {
    tokens = most;
  }

  /** The far side says that the limit is passed: what we thought we had is gone. */
  public void drain() {
    tokens = 0;
  }
}
