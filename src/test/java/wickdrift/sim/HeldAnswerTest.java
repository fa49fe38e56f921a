package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;

/**
 * The answer to a report waits for work. Workers can't be woken up here, as the level is below the
 * gate, so without the wait a task would start with the next report.
 */
class HeldAnswerTest {
  private static final double LEASE_S = 60;
  private static final double REPORT_INTERVAL_S = 25;

  /** A quarter less than the interval: the next report comes no sooner. */
  private static final long MIN_REPORT_INTERVAL_MS = 18_750;

  private static final String TASK = "req-000001/0";
  private static final long STEP_MS = 5;

  private static SimWorld createWorld(int machines) {
    SimSetup setup = new SimSetup(7201, machines, 1).withWorkerTiming(LEASE_S, REPORT_INTERVAL_S);
    SimWorld world = new SimWorld(setup);
    world.restartAll(new LevelRange(1, Gate.WAKE_UPS.level() - 1), "");
    world.run(60_000);
    return world;
  }

  private static void runUntil(SimWorld world, long timeoutMs, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + timeoutMs;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached");
      world.run(STEP_MS);
    }
  }

  @Test
  void aPlacementSoonAfterAReportStartsWithItsAnswer() {
    SimWorld world = createWorld(1);
    SimWorker worker = world.workers().get(0);
    long tick = worker.tick;
    runUntil(world, 2 * MIN_REPORT_INTERVAL_MS, () -> worker.tick > tick);
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 200), 0);
    runUntil(world, MIN_REPORT_INTERVAL_MS, () -> worker.hasTask(TASK));
    assertEquals(0, world.metricSum("wickdrift.workers.woken.up"));
    assertEquals(List.of(), world.violations());
  }

  @Test
  void theFirstPlacementOnANewMachineStartsWithoutWaitingForTheNextReport() {
    SimWorld world = createWorld(0);
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 200), 0);
    runUntil(world, 120_000, () -> !world.workers().isEmpty());
    runUntil(world, MIN_REPORT_INTERVAL_MS, () -> world.workers().get(0).hasTask(TASK));
    assertEquals(0, world.metricSum("wickdrift.workers.woken.up"));
    assertEquals(List.of(), world.violations());
  }
}
