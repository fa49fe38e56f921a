package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A zone that is cut off is told from machines that died, and from our own being cut off. */
class ZoneHealthTest {
  private static final long QUIET = 1000;
  private static final long NOW = 100_000;

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
  void aZoneIsDark(
      long heard, int silent, int up, int lost, long listening, long elsewhereAgo, String what) {
    ZoneHealth z = new ZoneHealth(QUIET);
    if (heard > 0) {
      z.reportReceived("a", heard);
    }
    if (elsewhereAgo >= 0) {
      z.reportReceived("b", NOW - elsewhereAgo);
    }
    for (int i = 0; i < silent; i++) {
      z.addSilentMachine("a");
    }
    for (int i = 0; i < up + lost; i++) {
      z.addRecordedMachine("a", i < lost);
    }
    z.evaluate(listening, NOW);
    assertEquals(what.endsWith("true"), z.isUnreachable("a"));
    assertFalse(z.isUnreachable("b"));
  }

  /** What is still recorded as silent when the first reports is not given up for that. */
  @Test
  void aZoneThatIsBackHasTimeToReport() {
    ZoneHealth z = new ZoneHealth(QUIET);
    z.reportReceived("b", NOW);
    for (int i = 0; i < 3; i++) {
      z.addSilentMachine("a");
    }
    z.evaluate(0, NOW);
    assertTrue(z.isUnreachable("a") && z.isUnreachableOrRecovering("a", NOW + 50_000));
    z.reportReceived("a", NOW + 60_000);
    assertFalse(z.isUnreachable("a"));
    assertTrue(z.isUnreachableOrRecovering("a", NOW + 61_000));
    assertFalse(z.isUnreachableOrRecovering("a", NOW + 62_001));
  }
}
