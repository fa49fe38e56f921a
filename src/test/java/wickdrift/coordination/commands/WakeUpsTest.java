package wickdrift.coordination.commands;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import wickdrift.protocol.WorkerToken;

/** The tokens sent to a worker, and when a higher one makes it report at once. */
class WakeUpsTest {
  private static final long LEASE_MS = 20_000;
  private static final long LATER_MS = LEASE_MS;
  private static final WorkerToken OLDER = new WorkerToken(6, 9);

  @Test
  void aWorkerIsWokenUpOncePerHalfLease() {
    WakeUps wakeUps = new WakeUps(LEASE_MS);
    wakeUps.tokenSent(wakeUps.tokenFor(7), OLDER, 0);
    assertFalse(wakeUps.canWake(7, LEASE_MS / 2), "the new epoch counts as a rise");
    assertTrue(wakeUps.canWake(7, LATER_MS));
    WorkerToken next = wakeUps.nextToken(7);
    assertEquals(new WorkerToken(7, 1), next);
    wakeUps.tokenSent(next, new WorkerToken(7, 0), LATER_MS);
    assertFalse(wakeUps.canWake(7, LATER_MS + LEASE_MS / 2));
    wakeUps.tokenSent(next, next, LATER_MS + LEASE_MS);
    assertTrue(wakeUps.canWake(7, LATER_MS + LEASE_MS), "a token that the worker knows is no rise");
  }

  @Test
  void aNewEpochCountsFromZero() {
    WakeUps wakeUps = new WakeUps(LEASE_MS);
    wakeUps.nextToken(7);
    assertEquals(new WorkerToken(8, 0), wakeUps.tokenFor(8));
  }

  /** A lower token would be dropped, and the worker's lease would be lost. */
  @Test
  void aLargerNumberOfTheWorkerIsCountedOnFrom() {
    WakeUps wakeUps = new WakeUps(LEASE_MS);
    wakeUps.tokenReported(new WorkerToken(7, 5), 7);
    assertEquals(new WorkerToken(7, 5), wakeUps.tokenFor(7));
    assertEquals(new WorkerToken(7, 6), wakeUps.nextToken(7));
    wakeUps.tokenReported(new WorkerToken(7, 3), 7);
    assertEquals(new WorkerToken(7, 6), wakeUps.tokenFor(7), "an older report lowers nothing");
    wakeUps.tokenReported(new WorkerToken(6, 50), 7);
    assertEquals(new WorkerToken(7, 6), wakeUps.tokenFor(7), "the number of an earlier epoch");
  }

  @Test
  void theNumberNeverRunsOverIntoTheEpoch() {
    WakeUps wakeUps = new WakeUps(LEASE_MS);
    wakeUps.tokenReported(new WorkerToken(7, WorkerToken.MAX_WAKE_UPS), 7);
    assertFalse(wakeUps.canWake(7, LATER_MS));
    assertEquals(7, wakeUps.tokenFor(7).epoch());
    assertTrue(wakeUps.canWake(8, LATER_MS), "the next epoch counts anew");
  }
}
