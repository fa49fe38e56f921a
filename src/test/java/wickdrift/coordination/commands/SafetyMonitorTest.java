package wickdrift.coordination.commands;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wickdrift.protocol.WorkerToken;

/** Invariants that are checked at run time, and the recent events logged with a violation. */
class SafetyMonitorTest {
  private static CommandEvent event(String machine, long atMs) {
    return new CommandEvent(
        atMs,
        CommandEvent.Kind.CLEAR,
        machine,
        0,
        new TaskAttempt("req-000001/0", 1),
        new WorkerToken(7, 0),
        1,
        3,
        12,
        "x");
  }

  @ParameterizedTest
  @EnumSource
  void aViolationIsRefusedAndCounted(SafetyMonitor.Invariant invariant) {
    SafetyMonitor monitor = new SafetyMonitor(new RecentEvents(4));
    assertTrue(monitor.check(invariant, true, event("m", 1)));
    assertEquals(0, monitor.violations());
    assertFalse(monitor.check(invariant, false, event("m", 2)));
    assertFalse(monitor.check(invariant, false, event("m", 3)));
    assertEquals(2, monitor.violations(invariant));
    assertEquals(2, monitor.violations());
  }

  @Test
  void theLastEventsOfAllMachinesTogetherAreKept() {
    RecentEvents events = new RecentEvents(3);
    assertEquals(List.of(), events.eventsOf("a"));
    for (int i = 1; i <= 5; i++) {
      events.add(event(i % 2 == 0 ? "a" : "b", i));
    }
    assertEquals(List.of(event("a", 4)), events.eventsOf("a"));
    assertEquals(List.of(event("b", 3), event("b", 5)), events.eventsOf("b"));
  }
}
