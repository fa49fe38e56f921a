package wickdrift.coordination.commands;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A bounded record of the last command events of this process. Each costs one small object and is
 * logged at {@code debug}; the record is written out when an invariant is violated.
 */
public final class RecentEvents {
  private static final Logger LOG = LoggerFactory.getLogger(RecentEvents.class);

  private final CommandEvent[] ring;
  private long addedCount;

  /**
   * @param capacity events that are kept
   */
  public RecentEvents(int capacity) {
    ring = new CommandEvent[capacity];
  }

  /** Adds an event; the oldest makes way for it. */
  public void add(CommandEvent event) {
    ring[(int) (addedCount++ % ring.length)] = event;
    if (LOG.isDebugEnabled()) {
      LOG.debug("{}", event);
    }
  }

  /** The last events of a machine, the oldest first. */
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
