package wickdrift.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * The last events of a simulated world: tasks that started and stopped, withdrawals that users were
 * told, broken rules, and faults.
 */
final class SimHistory {
  private static final int MAX_EVENTS = 4000;

  private record Event(long atMs, String description) {}

  private final SimClock clock;
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  SimHistory(SimClock clock) {
    this.clock = clock;
  }

  /** Adds an event at the current time. */
  void add(String description) {
    if (events.size() == MAX_EVENTS) {
      events.removeFirst();
    }
    events.addLast(new Event(clock.nowMs(), description));
  }

  /** Returns the last events that contain one of the words, the oldest first. */
  List<String> eventsMentioning(List<String> words, int limit) {
    List<String> found = new ArrayList<>();
    for (Event event : events) {
      if (words.stream().anyMatch(event.description::contains)) {
        found.add(event.atMs + " " + event.description);
      }
    }
    return found.subList(Math.max(0, found.size() - limit), found.size());
  }
}
