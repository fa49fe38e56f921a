package wickdrift.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The last events of a simulated world: what ran where, what users were told, which faults began.
 */
final class SimHistory {
  private static final int MAX_EVENTS = 4000;

  private record Event(long atMs, String description) {}

  private final SimClock clock;
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  SimHistory(SimClock clock) {
    this.clock = clock;
  }

  void add(String description) {
    if (events.size() == MAX_EVENTS) {
      events.removeFirst();
    }
    events.addLast(new Event(clock.nowMs(), description));
  }

  /** The last events that mention one of these, the oldest first. */
  List<String> mentioning(List<String> words, int limit) {
    List<String> found = new ArrayList<>();
    for (Event event : events) {
      if (words.stream().anyMatch(event.description::contains)) {
        found.add(event.atMs + " " + event.description);
      }
    }
    return found.subList(Math.max(0, found.size() - limit), found.size());
  }
}
