package wickdrift.coordination.commands;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A bounded record of this process's latest command events. Each event costs one small object and
 * is logged at {@code debug}. The record is logged when an invariant is violated.
 */
public final class RecentEvents {
  private static final Logger LOG = LoggerFactory.getLogger(RecentEvents.class);

  private final CommandEvent[] ring;
  private long addedCount;

  /**
   * Creates an empty record.
   *
   * @param capacity maximum number of events kept
   */
  public RecentEvents(int capacity) {
    ring = new CommandEvent[capacity];
  }

  /** Adds an event, which replaces the oldest one if the record is full. */
  public void add(CommandEvent event) {
    ring[(int) (addedCount++ % ring.length)] = event;
    if (LOG.isDebugEnabled()) {
      LOG.debug("{}", event);
    }
  }

  /** Returns the recorded events of a machine, oldest first. */
  public List<CommandEvent> eventsOf(String machine) {
    List<CommandEvent> found = new ArrayList<>();
    for (long i = Math.max(0, addedCount - ring.length); i < addedCount; i++) {
      CommandEvent event = ring[(int) (i % ring.length)];
      if (event.machine().equals(machine)) {
        found.add(event);
      }
    }
    return found;
  }
}
