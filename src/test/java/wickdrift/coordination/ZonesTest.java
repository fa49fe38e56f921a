package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A zone that is cut off is told from machines that died, and from our own being cut off. */
class ZonesTest {
  private static final long REPORTS_OVERDUE_MS = 1000;
  private static final long NOW_MS = 100_000;

  @ParameterizedTest(name = "{6}")
  @CsvSource({
    "0, 3, 9, 0, 0, 200, three of ours are silent: true",
    "0, 2, 9, 0, 0, 200, two may have died: false",
    "0, 3, 9, 0, 0, -1, nothing is heard from anywhere: false",
    "0, 3, 9, 0, 99500, 200, we have not listened for long: false",
    "99500, 3, 9, 0, 0, 200, someone there has reported: false",
    "0, 0, 1, 4, 99500, 200, others have recorded four of five: true",
    "0, 0, 2, 4, 99500, 200, others have recorded four of six: false",
    "0, 0, 0, 2, 99500, 200, two are recorded: false",
    "99500, 0, 1, 9, 0, 200, recorded and yet heard: false",
  })
  void aZoneIsUnreachableOnlyWithEnoughEvidence(
      long lastReportMs,
      int silentMachines,
      int recordedUp,
      int recordedLost,
      long listeningSinceMs,
      long otherZoneReportAgeMs,
      String situation) {
    Zones zones = new Zones(REPORTS_OVERDUE_MS);
    if (lastReportMs > 0) {
      zones.heard("a", lastReportMs);
    }
    if (otherZoneReportAgeMs >= 0) {
      zones.heard("b", NOW_MS - otherZoneReportAgeMs);
    }
    for (int i = 0; i < silentMachines; i++) {
      zones.silent("a");
    }
    for (int i = 0; i < recordedUp + recordedLost; i++) {
      zones.recorded("a", i < recordedLost);
    }
    zones.judge(listeningSinceMs, NOW_MS);
    assertEquals(situation.endsWith("true"), zones.dark("a"));
    assertFalse(zones.dark("b"));
  }

  /** What is still recorded as silent when the first reports is not given up for that. */
  @Test
  void aZoneIsRecoveringUntilItsWorkersHadTimeToReport() {
    Zones zones = new Zones(REPORTS_OVERDUE_MS);
    zones.heard("b", NOW_MS);
    for (int i = 0; i < 3; i++) {
      zones.silent("a");
    }
    zones.judge(0, NOW_MS);
    assertTrue(zones.dark("a") && zones.away("a", NOW_MS + 50_000));
    zones.heard("a", NOW_MS + 60_000);
    assertFalse(zones.dark("a"));
    assertTrue(zones.away("a", NOW_MS + 61_000));
    assertFalse(zones.away("a", NOW_MS + 62_001));
  }
}
