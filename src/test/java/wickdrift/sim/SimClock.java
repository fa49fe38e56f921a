package wickdrift.sim;

import java.util.PriorityQueue;
import wickdrift.transport.Timers;

/** Simulated time: events run in order of time, then of being set. */
public final class SimClock implements Timers {
  private record Event(long at, long seq, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event o) {
      return at != o.at ? Long.compare(at, o.at) : Long.compare(seq, o.seq);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now = 1000;
  private long seq;

  @Override
  public long nowMs() {
    return now;
  }

  @Override
  public long wallMs() {
    return 1_700_000_000_000L + now;
  }

  @Override
  public void after(long delayMs, Runnable action) {
    events.add(new Event(now + Math.max(0, delayMs), seq++, action));
  }

  /** Runs everything that is due up to a moment. */
  public void runUntil(long until) {
    while (!events.isEmpty() && events.peek().at <= until) {
      Event e = events.poll();
      now = e.at;
      e.action.run();
    }
    now = until;
  }
}
