package wickdrift.transport;

/** The clocks and timers of the event loop; tests simulate them. */
public interface Timers {
  /** Returns the time of a monotonic clock, in milliseconds. */
  long nowMs();

  /** Returns the wall-clock time, in milliseconds since the Unix epoch. */
  long wallMs();

  /** Runs an action on the event loop after a delay. */
  void after(long delayMs, Runnable action);
}
