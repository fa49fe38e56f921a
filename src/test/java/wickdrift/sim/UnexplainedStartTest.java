package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.WorkerToken;

/**
 * A start that no command of the controllers explains, as a late copy of an older build's command
 * would be, is counted and told once.
 */
class UnexplainedStartTest {
  private static final String JOB = "req-000001";
  private static final String TASK = JOB + "/0";
  private static final long STEP_MS = 5;
  private static final long WAIT_TIMEOUT_MS = 60_000;
  private static final long SEVERAL_REPORTS_MS = 15_000;

  private static void runUntil(SimWorld world, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + WAIT_TIMEOUT_MS;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached");
      world.run(STEP_MS);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aStartOfAnAttemptThatIsOverIsCountedOnce(boolean cancelled) {
    SimWorld world = new SimWorld(8101, 2, 2);
    world.run(10_000);
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 300), 0);
    runUntil(world, () -> world.isRunning(TASK));
    String machine = world.rules.machineOf(TASK);
    SimWorker worker =
        world.workers().stream().filter(w -> w.name.equals(machine)).findFirst().get();
    if (cancelled) {
      world.users.withdraw(JOB, "n0");
    } else {
      worker.failsEveryTask = true;
      worker.failTask(TASK);
    }
    runUntil(world, () -> !worker.hasTask(TASK));
    worker.failsEveryTask = false;
    assertEquals(0, world.metricSum("wickdrift.starts.unexplained"));
    worker.serve("stranger", "POST", "/orders", runCommand(world), answer -> {});
    assertTrue(worker.hasTask(TASK));
    world.run(SEVERAL_REPORTS_MS);
    assertEquals(1, world.metricSum("wickdrift.starts.unexplained"));
  }

  private static byte[] runCommand(SimWorld world) {
    Map<String, Object> run = Map.of("verb", "run", "shard", TASK, "try", 1L);
    long token = new WorkerToken(world.epoch("n0"), WorkerToken.MAX_WAKE_UPS).toWire(true);
    return MessageCodec.encode(Map.of("epoch", token, "tenure", 1L, "orders", List.of(run)));
  }
}
