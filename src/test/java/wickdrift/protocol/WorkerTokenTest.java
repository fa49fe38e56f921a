package wickdrift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The two wire forms of a token. */
class WorkerTokenTest {
  private static final long MAX = WorkerToken.MAX_WAKE_UPS;

  @ParameterizedTest
  @CsvSource({
    "0, 0, 0",
    "41, 41, 0",
    "4294967295, 4294967295, 0",
    "4294967296, 1, 0",
    "4294967297, 1, 1",
    "8589934591, 1, 4294967295",
    "9223372036854775807, 2147483647, 4294967295"
  })
  void everyIntegerBelowTheBoundIsAToken(long wire, long epoch, long wakeUps) {
    WorkerToken token = WorkerToken.fromWire(wire);
    assertEquals(new WorkerToken(epoch, wakeUps), token);
    if (wire > MAX) {
      assertEquals(wire, token.toWire(true));
    }
    assertEquals(epoch, token.toWire(false), "an older build knows the epoch only");
  }

  /** A worker compares integers, so their order must be that of the tokens. */
  @ParameterizedTest
  @CsvSource({"7, 0, 7, 1", "7, 4294967295, 8, 0", "1, 5, 2147483647, 0", "0, 0, 1, 0"})
  void theWireFormKeepsTheOrder(long epoch, long wakeUps, long higherEpoch, long higherWakeUps) {
    WorkerToken lower = new WorkerToken(epoch, wakeUps);
    WorkerToken higher = new WorkerToken(higherEpoch, higherWakeUps);
    assertTrue(lower.compareTo(higher) < 0);
    assertTrue(lower.toWire(true) < higher.toWire(true));
    assertTrue(lower.toWire(false) < higher.toWire(true), "the gate opens with the higher epoch");
  }

  @ParameterizedTest
  @CsvSource({"-1, 0", "1, -1", "1, 4294967296"})
  void valuesOutOfRangeAreNoToken(long epoch, long wakeUps) {
    assertThrows(IllegalArgumentException.class, () -> new WorkerToken(epoch, wakeUps));
  }
}
