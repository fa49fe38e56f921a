package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.WorkerToken;

/** Workers are woken up by higher tokens, and what they are sent directly starts nothing. */
class WakeUpTest {
  private static final int JOBS = 12;
  private static final long STEP_MS = 5;

  private int directStarts;

  private SimNetwork.RequestOutcome countStarts(String from, String to, String path, byte[] body) {
    try {
      if (path.equals("/orders")) {
        for (Document order : Document.parse(body).documents("orders")) {
          directStarts += order.text("verb").equals("run") ? 1 : 0;
        }
      }
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
    return SimNetwork.RequestOutcome.DELIVERED;
  }

  private static void runUntil(SimWorld world, long timeoutMs, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + timeoutMs;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached");
      world.run(STEP_MS);
    }
  }

  /** Guards against commands that start something on the way on which copies arrive. */
  @ParameterizedTest
  @CsvSource({"7101, true", "7102, true", "7103, false"})
  void nothingSentDirectlyStartsATask(long seed, boolean gateIsOpen) {
    SimWorld world = new SimWorld(seed, 3, 6);
    if (!gateIsOpen) {
      world.restartAll(new LevelRange(1, Gate.WAKE_UPS.level() - 1), "");
    }
    world.net.faultScript = this::countStarts;
    world.run(10_000);
    List<String> jobs = SimJobs.ids(JOBS);
    for (int i = 0; i < JOBS; i++) {
      int number = i;
      world.clock.after(
          3000L * i, () -> world.users.submit(SimJobs.job(number, "batch", 2, 1, 8), 0));
    }
    world.run(180_000);
    assertEquals(0, directStarts);
    assertTrue(!gateIsOpen || world.net.directCopyCount > 0, "no direct command arrived again");
    double wakeUps = world.metricSum("wickdrift.workers.woken.up");
    assertEquals(gateIsOpen, wakeUps > 0, "wake-ups: " + wakeUps);
    assertEquals(0, world.metricSum("wickdrift.starts.unexplained"));
    ClusterTest.assertJobsDoneAndRulesHeld(world, jobs);
  }

  /** A lower token would be dropped, and the worker's tasks would end with its lease. */
  @ParameterizedTest
  @CsvSource({"1", "1000", "4294967295"})
  void aWorkerThatShowsALargerNumberOfWakeUpsKeepsItsLease(long ahead) {
    SimWorld world = new SimWorld(7110, 2, 2);
    world.run(10_000);
    world.users.submit(SimJobs.job(1, "batch", 4, 1, 40), 0);
    world.run(10_000);
    for (SimWorker worker : world.workers()) {
      worker.tellToken(new WorkerToken(world.epoch("n0"), ahead).toWire(true));
    }
    world.users.submit(SimJobs.job(2, "batch", 4, 1, 5), 0);
    world.run(120_000);
    assertEquals(0, world.killedByLease());
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of("req-000001", "req-000002"));
  }

  /** A wake-up is answered by a report within the shortest time between two reports. */
  @Test
  void aPlacementOnAWorkerThatJustReportedStartsWithoutWaitingForTheNextReport() {
    SimWorld world = new SimWorld(new SimSetup(7120, 1, 1).withWorkerTiming(60, 25));
    world.run(90_000);
    SimWorker worker = world.workers().get(0);
    long tick = worker.tick;
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 200), 0);
    runUntil(world, 5000, () -> worker.hasTask("req-000001/0"));
    assertTrue(worker.tick > tick);
    assertEquals(List.of(), world.violations());
  }

  /** The epoch in a token decides, whatever the number of wake-ups. */
  @ParameterizedTest
  @CsvSource({
    // Epoch and wake-ups above the epoch in force, and the status of the answer.
    "0, 0, 200",
    "1, 0, 421",
    "1, 4294967295, 421"
  })
  void aReportOfALaterEpochIsSentElsewhere(long epochsAhead, long wakeUps, int status) {
    SimWorld world = new SimWorld(7130, 2, 2);
    world.run(10_000);
    String owner = world.ownerOf("n0", "i-000900");
    WorkerToken token = new WorkerToken(world.epoch(owner) + epochsAhead, wakeUps);
    var answer = world.sendReport(owner, "i-000900", token.toWire(true));
    world.run(5000);
    assertEquals(status, answer[0].status());
  }

  /** A bare epoch is one of before the gate, and no number at all is no report. */
  @Test
  void tokensOfBeforeTheGateAreEarlierEpochsAndNegativeOnesAreRefused() {
    SimWorld world = new SimWorld(7140, 2, 2);
    world.run(10_000);
    String owner = world.ownerOf("n0", "i-000900");
    long epoch = world.epoch(owner);
    var bare = world.sendReport(owner, "i-000900", 1);
    var refused = world.sendReport(owner, "i-000901", -1);
    world.run(5000);
    assertEquals(200, bare[0].status());
    assertEquals(400, refused[0].status());
    assertEquals(epoch, world.epoch(owner), "a malformed token has changed the epoch");
    assertEquals(1, world.metric(owner, "wickdrift.workers.malformed"));
  }
}
