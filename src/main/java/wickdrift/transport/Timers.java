package wickdrift.transport;

/** The clock and the timers of the one event loop; simulated in tests. */
public interface Timers {
  /** Milliseconds on a steady clock. */
  long nowMs();

  /** Milliseconds of the time of day. */
  long wallMs();

  void after(long delayMs, Runnable action);
}
