package wickdrift.coordination.commands;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks at run time the invariants that must hold for each command and each end of an attempt,
 * whichever code path led to it. A violation is counted and logged with its evidence and the
 * machine's latest events, and the action is not carried out.
 */
public final class SafetyMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(SafetyMonitor.class);

  /** The invariants that are checked. */
  public enum Invariant {
    /** No start of an attempt that is over, or that is not the one recorded for the machine. */
    NO_START_OF_AN_ENDED_ATTEMPT,
    /** No start of a task whose job is cancelled. */
    NO_START_OF_A_CANCELLED_JOB,
    /**
     * No start without the state service's lease, which gives this node the authority to start
     * tasks.
     */
    NO_START_WITHOUT_A_LEASE,
    /** No attempt is cleared from its worker while a run of it may still arrive. */
    NO_CLEAR_WHILE_A_RUN_MAY_ARRIVE,
    /** No attempt is recorded as over without proof. */
    NO_END_WITHOUT_PROOF
  }

  private final RecentEvents events;
  private final Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);

  /**
   * Creates a monitor without violations.
   *
   * @param events the record that is logged with a violation
   */
  public SafetyMonitor(RecentEvents events) {
    this.events = events;
  }

  /**
   * Checks an invariant; a violation is counted and logged.
   *
   * @param event the command or end that depends on the invariant, as evidence
   * @return whether the invariant holds; if not, the action must not be carried out
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

  /** Returns the number of violations of all invariants. */
  public long violations() {
    return violations.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns the number of violations of one invariant. */
  public long violations(Invariant invariant) {
    return violations.getOrDefault(invariant, 0L);
  }
}
