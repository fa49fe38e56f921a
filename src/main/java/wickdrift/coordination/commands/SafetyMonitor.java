package wickdrift.coordination.commands;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks at run time what must hold whatever path led to a command or an end. A violation is
 * counted, logged with its evidence and the machine's last events, and what was about to be done is
 * not done.
 */
public final class SafetyMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(SafetyMonitor.class);

  /** What must hold. */
  public enum Invariant {
    /** No start of an attempt that is over, or is not the one that is recorded there. */
    NO_START_OF_AN_ENDED_ATTEMPT,
    /** No start of a task whose job is cancelled. */
    NO_START_OF_A_CANCELLED_JOB,
    /** No start without the state service's lease that gives the right to it. */
    NO_START_WITHOUT_A_LEASE,
    /** No attempt is removed from its worker while a run of it may arrive. */
    NO_CLEAR_WHILE_A_RUN_MAY_ARRIVE,
    /** No attempt is taken for over without proof. */
    NO_END_WITHOUT_PROOF
  }

  private final RecentEvents events;
  private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);

  /**
   * @param events the record that is written out with a violation
   */
  public SafetyMonitor(RecentEvents events) {
    this.events = events;
  }

  /**
   * Asserts an invariant.
   *
   * @param event the command or end that depends on it, as evidence
   * @return whether it holds; if not, what was about to be done must not be done
   */
  public boolean check(Invariant invariant, boolean holds, CommandEvent event) {
    if (holds) {
      return true;
    }
    violations.merge(invariant, 1L, Long::sum);
    LOG.error(
        "invariant violated: {}: {}; last events: {}",
        invariant,
        event,
        events.eventsOf(event.machine()));
    return false;
  }

  /** How often any invariant was violated. */
  public long violations() {
    return violations.values().stream().mapToLong(Long::longValue).sum();
  }

  /** How often this one was. */
  public long violations(Invariant invariant) {
    return violations.getOrDefault(invariant, 0L);
  }
}
