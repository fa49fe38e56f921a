package wickdrift.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.transport.Timers;

/**
 * Notices, in one place, that this process stood still while its clocks ran on. Whatever wakes it
 * first, a timer, a request or an answer, comes through {@link #recordActivity}; a gap since the
 * last one that no ordinary work explains is a pause. Nothing was heard in it, so the clock proves
 * nothing about others: no machine silent, no boot overdue, no peer dead. Who judges by silence
 * asks {@link #uninterruptedSinceMs}.
 */
public final class PauseDetector {
  private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);
  private static final long CHECK_INTERVAL_MS = 200;

  private final Timers timers;
  private final long pauseThresholdMs;
  private final List<LongConsumer> resumeListeners = new ArrayList<>();
  private long lastActivityMs;
  private long uninterruptedSinceMs;
  private long nextTickDueMs;
  private long timerDelayMs;
  private long pauseCount;
  private long totalPausedMs;

  /**
   * @param pauseThresholdMs a longer gap than this is a pause; the beat and a slow processor take
   *     some
   */
  public PauseDetector(Timers timers, long pauseThresholdMs) {
    this.timers = timers;
    this.pauseThresholdMs = pauseThresholdMs;
    this.lastActivityMs = timers.nowMs();
    this.uninterruptedSinceMs = lastActivityMs;
  }

  /** Begins to beat. */
  public void start() {
    // Whatever lies between making the process and its first turn is no pause.
    lastActivityMs = timers.nowMs();
    uninterruptedSinceMs = lastActivityMs;
    nextTickDueMs = lastActivityMs;
    tick();
  }

  private void tick() {
    timerDelayMs = Math.max(0, timers.nowMs() - nextTickDueMs);
    nextTickDueMs = timers.nowMs() + CHECK_INTERVAL_MS;
    timers.after(CHECK_INTERVAL_MS, this::tick);
    recordActivity();
  }

  /** By how much the last beat was late: how long what comes in waits for its turn. */
  public long timerDelayMs() {
    return timerDelayMs;
  }

  /** Told, with how long the pause was, before anything else is done after it. */
  public void onResume(LongConsumer listener) {
    resumeListeners.add(listener);
  }

  /** Something has come in. */
  public void recordActivity() {
    long now = timers.nowMs();
    long gapMs = now - lastActivityMs;
    lastActivityMs = now;
    if (gapMs <= pauseThresholdMs) {
      return;
    }
    pauseCount++;
    totalPausedMs += gapMs;
    uninterruptedSinceMs = now;
    LOG.warn("stood still for {} ms: what is known is caught up before anything is decided", gapMs);
    resumeListeners.forEach(listener -> listener.accept(gapMs));
  }

  /** Since when this process has listened without a pause. */
  public long uninterruptedSinceMs() {
    return uninterruptedSinceMs;
  }

  public long pauseCount() {
    return pauseCount;
  }

  public long totalPausedMs() {
    return totalPausedMs;
  }

  /** Timers whose actions beat first: after a pause all of them are due at once. */
  public Timers monitoredTimers() {
    return new Timers() {
      @Override
      public long nowMs() {
        return timers.nowMs();
      }

      @Override
      public long wallMs() {
        return timers.wallMs();
      }

      @Override
      public void after(long delayMs, Runnable action) {
        timers.after(
            delayMs,
            () -> {
              recordActivity();
              action.run();
            });
      }
    };
  }
}
