package wickdrift.sim;

import java.util.PriorityQueue;
import wickdrift.transport.Timers;

/** A simulated clock. Events run in the order of their times; equal times in scheduling order. */
public final class SimClock implements Timers {
  private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return atMs != o.atMs ? Long.compare(atMs, o.atMs) : Long.compare(sequence, o.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowMs = 1000;
  private long nextSequence;

  @Override
  public long nowMs() {
    return nowMs;
  }

  @Override
  public long wallMs() {
    return 1_700_000_000_000L + nowMs;
  }

  @Override
  public void after(long delayMs, Runnable action) {
    events.add(new Event(nowMs + Math.max(0, delayMs), nextSequence++, action));
  }

  /** Runs all events that are due up to a time, and sets the clock to that time. */
  public void runUntil(long untilMs) {
    while (!events.isEmpty() && events.peek().atMs <= untilMs) {
      Event event = events.poll();
      nowMs = event.atMs;
      event.action.run();
    }
    nowMs = untilMs;
  }
}
