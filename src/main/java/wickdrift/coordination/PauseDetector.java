package wickdrift.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.transport.Timers;

/**
 * Detects that this process was paused while its clocks kept running. The process calls {@link
 * #recordActivity} before it handles a timer, a request or a response; a gap between two calls that
 * ordinary work can't explain is a process pause. The process received nothing during a pause, so
 * the elapsed time proves nothing about others: it makes no machine silent, no boot overdue and no
 * peer unreachable. Code that decides by silence uses {@link #uninterruptedSinceMs}.
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
   * Creates a detector that starts with {@link #start}.
   *
   * @param pauseThresholdMs a gap longer than this is a pause; it must exceed the check interval
   *     and the delays of a slow processor
   */
  public PauseDetector(Timers timers, long pauseThresholdMs) {
    this.timers = timers;
    this.pauseThresholdMs = pauseThresholdMs;
    this.lastActivityMs = timers.nowMs();
    this.uninterruptedSinceMs = lastActivityMs;
  }

  /** Starts the periodic check. */
  public void start() {
    // The time between construction and the first turn of the event loop is no pause.
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

  /** Returns the delay of the last periodic check, which is how long events wait for their turn. */
  public long timerDelayMs() {
    return timerDelayMs;
  }

  /**
   * Adds a listener that is called with the length of a pause in milliseconds, before anything else
   * is done after the pause.
   */
  public void onResume(LongConsumer listener) {
    resumeListeners.add(listener);
  }

  /** Records that the process handles an event, and detects a pause before it. */
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
    LOG.warn("process was paused for {} ms: catching up before any further decision", gapMs);
    resumeListeners.forEach(listener -> listener.accept(gapMs));
  }

  /** Returns the time since which this process has run without a pause. */
  public long uninterruptedSinceMs() {
    return uninterruptedSinceMs;
  }

  /** Returns the number of pauses so far. */
  public long pauseCount() {
    return pauseCount;
  }

  /** Returns the total length of all pauses so far. */
  public long totalPausedMs() {
    return totalPausedMs;
  }

  /**
   * Returns timers that call {@link #recordActivity} before each action. After a pause all timers
   * are due at once, so any of them may be the first to run.
   */
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
