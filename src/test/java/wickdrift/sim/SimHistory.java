package wickdrift.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The last events of a simulated world: what ran where, what users were told, which faults began.
 */
final class SimHistory {
  private static final int KEPT = 4000;

  private record Event(long atMs, String what) {}

  private final SimClock clock;
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  SimHistory(SimClock clock) {
    this.clock = clock;
  }

  void add(String what) {
    if (events.size() == KEPT) {
      events.removeFirst();
    }
    events.addLast(new Event(clock.nowMs(), what));
  }

  /** The last events that mention one of these, the oldest first. */
  List<String> mentioning(List<String> words, int most) {
    List<String> found = new ArrayList<>();
    for (Event event : events) {
      if (words.stream().anyMatch(event.what::contains)) {
        found.add(event.atMs + " " + event.what);
      }
    }
    return found.subList(Math.max(0, found.size() - most), found.size());
  }
}
