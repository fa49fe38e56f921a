package wickdrift.coordination.commands;

import wickdrift.protocol.WorkerToken;

/**
 * The tokens sent to one worker, and when it can be woken up. A worker reports at once when the
 * highest token it has seen rises, but counts such a rise at most once within half of its lease.
 *
 * <p>The number of wake-ups belongs to one epoch and one owner and is not stored: a new owner has a
 * higher epoch. Should a worker show a larger number than its owner has sent, the owner counts on
 * from there, as the worker would drop everything with a lower one.
 */
public final class WakeUps {
  /** Allows for the time that two tokens take to arrive. */
  private static final long MARGIN_MS = 300;

  private final long intervalMs;
  private WorkerToken token = WorkerToken.NONE;
  private long lastRiseMs = Long.MIN_VALUE / 2;

  /**
   * Creates an instance for a worker that no token was sent to.
   *
   * @param leaseMs the duration of a worker's lease
   */
  public WakeUps(long leaseMs) {
    intervalMs = leaseMs / 2 + MARGIN_MS;
  }

  /** Returns the token to send under an epoch. */
  public WorkerToken tokenFor(long epoch) {
    if (token.epoch() != epoch) {
      token = new WorkerToken(epoch, 0);
    }
    return token;
  }

  /** Records the token in a report of the worker. */
  public void tokenReported(WorkerToken reported, long epoch) {
    if (reported.epoch() == epoch && reported.compareTo(tokenFor(epoch)) > 0) {
      token = reported;
    }
  }

  /**
   * Records that a token is sent to the worker.
   *
   * @param lastReported the token in the worker's last report
   */
  public void tokenSent(WorkerToken sent, WorkerToken lastReported, long nowMs) {
    if (sent.compareTo(lastReported) > 0 && nowMs - lastRiseMs >= intervalMs) {
      lastRiseMs = nowMs;
    }
  }

  /** Whether a higher token makes the worker report at once. */
  public boolean canWake(long epoch, long nowMs) {
    return tokenFor(epoch).canCountWakeUp() && nowMs - lastRiseMs >= intervalMs;
  }

  /** Counts a wake-up and returns its token. */
  public WorkerToken nextToken(long epoch) {
    token = tokenFor(epoch).withNextWakeUp();
    return token;
  }
}
