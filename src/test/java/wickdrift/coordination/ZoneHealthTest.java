package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Distinguishes an unreachable zone from machines that died by chance and from a controller that is
 * isolated itself.
 */
class ZoneHealthTest {
  private static final long REPORTS_OVERDUE_MS = 1000;
  private static final long NOW_MS = 100_000;

  @ParameterizedTest(name = "{6}")
  @CsvSource({
    "0, 3, 9, 0, 0, 200, three of our machines are silent: true",
    "0, 2, 9, 0, 0, 200, two machines may have died by chance: false",
    "0, 3, 9, 0, 0, -1, no zone reports: false",
    "0, 3, 9, 0, 99500, 200, this controller has received reports only for a short time: false",
    "99500, 3, 9, 0, 0, 200, a worker of the zone has reported: false",
    "0, 0, 1, 4, 99500, 200, four of five are recorded as lost: true",
    "0, 0, 2, 4, 99500, 200, four of six are recorded as lost: false",
    "0, 0, 0, 2, 99500, 200, only two are recorded as lost: false",
    "99500, 0, 1, 9, 0, 200, recorded as lost although a worker has reported: false",
  })
  void aZoneIsUnreachableOnlyWithEnoughEvidence(
      long lastReportMs,
      int silentMachines,
      int recordedUp,
      int recordedLost,
      long listeningSinceMs,
      long otherZoneReportAgeMs,
      String situation) {
    ZoneHealth zones = new ZoneHealth(REPORTS_OVERDUE_MS);
    if (lastReportMs > 0) {
      zones.reportReceived("a", lastReportMs);
    }
    if (otherZoneReportAgeMs >= 0) {
      zones.reportReceived("b", NOW_MS - otherZoneReportAgeMs);
    }
    for (int i = 0; i < silentMachines; i++) {
      zones.addSilentMachine("a");
    }
    for (int i = 0; i < recordedUp + recordedLost; i++) {
      zones.addRecordedMachine("a", i < recordedLost);
    }
    zones.evaluate(listeningSinceMs, NOW_MS);
    assertEquals(situation.endsWith("true"), zones.isUnreachable("a"));
    assertFalse(zones.isUnreachable("b"));
  }

  /**
   * When the first worker of a zone reports again, the others are still recorded as silent and need
   * time to report: the zone counts as recovering for that long.
   */
  @Test
  void aZoneIsRecoveringUntilItsWorkersHadTimeToReport() {
    ZoneHealth zones = new ZoneHealth(REPORTS_OVERDUE_MS);
    zones.reportReceived("b", NOW_MS);
    for (int i = 0; i < 3; i++) {
      zones.addSilentMachine("a");
    }
    zones.evaluate(0, NOW_MS);
    assertTrue(zones.isUnreachable("a") && zones.isUnreachableOrRecovering("a", NOW_MS + 50_000));
    zones.reportReceived("a", NOW_MS + 60_000);
    assertFalse(zones.isUnreachable("a"));
    assertTrue(zones.isUnreachableOrRecovering("a", NOW_MS + 61_000));
    assertFalse(zones.isUnreachableOrRecovering("a", NOW_MS + 62_001));
  }
}
