package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The largest job of a class must start within four minutes of its submission although many small
 * jobs compete for the fleet, and the small jobs must not starve meanwhile.
 */
class LargestJobStartTimeTest {
  private static final long START_LIMIT_MS = 240_000;

  @ParameterizedTest(name = "{0} of {1} tasks, background load: {2}, fault: {3}")
  @CsvSource({
    "ensemble, 4, swarm, quiet",
    "ensemble, 5, swarm, quiet",
    "ensemble, 5, swarm, leader crashes",
    "ensemble, 5, swarm, machines die",
    "ensemble, 5, gangs, quiet",
    "batch, 300, swarm, quiet",
    "batch, 300, gangs, machines die",
    "daemon, 12, swarm, quiet",
    "daemon, 12, gangs, leader crashes"
  })
  void largestJobStartsWithinFourMinutes(
      String shape, int tasks, String backgroundLoad, String fault) {
    assertStartsWithinFourMinutes(shape, tasks, backgroundLoad, fault);
  }

  /** The gang's team is at its limit, which its own small jobs use. */
  @Test
  void largestGangAtItsTeamsLimitStartsWithinFourMinutes() {
    assertStartsWithinFourMinutes("ensemble", 5, "limit", "quiet");
  }

  private static void assertStartsWithinFourMinutes(
      String shape, int tasks, String backgroundLoad, String fault) {
    // The fleet cannot grow, so the large job has to wait for running tasks to end.
    double limit = backgroundLoad.equals("limit") ? 36 : 1000;
    SimWorld world = new SimWorld(1100 + tasks, 12, 12, "aab", limit);
    world.run(8000);
    int smallJobs = backgroundLoad.equals("gangs") ? 150 : 400;
    for (int i = 0; i < smallJobs; i++) {
      int n = i;
      Map<String, Object> job =
          backgroundLoad.equals("gangs")
              ? SimJobs.job(n, "ensemble", 1 + n % 2, 4, 8 + n % 9)
              : SimJobs.job(n, "batch", 2 + n % 3, 1, 8 + n % 9);
      world.clock.after(400_000L * i / smallJobs, () -> world.users.submit(job, 0));
    }
    world.run(60_000);
    double gpus = shape.equals("ensemble") ? 4 : 1;
    world.users.submit(SimJobs.job(9000, shape, tasks, gpus, shape.equals("daemon") ? 0 : 10), 0);
    switch (fault) {
      case "leader crashes" -> {
        for (int k = 0; k < 3; k++) {
          world.clock.after(
              8000 + 25_000L * k, () -> world.crash(world.tables("n0").view().leader(), 300));
        }
      }
      case "machines die" -> {
        for (int k = 0; k < 4; k++) {
          world.clock.after(10_000 + 20_000L * k, () -> world.killMachine(3));
        }
      }
      default -> {}
    }
    long startMs = world.clock.nowMs();
    while (!hasStarted(world, tasks, shape) && world.clock.nowMs() - startMs < START_LIMIT_MS) {
      world.run(1000);
    }
    assertTrue(hasStarted(world, tasks, shape), "not started within four minutes");
    world.run(600_000 - world.clock.nowMs() + startMs);
    assertEquals(List.of(), world.violations());
    long done = 0;
    for (int i = 0; i < smallJobs; i++) {
      done += "done".equals(world.lastReportedPhase(String.format("req-%06d", i))) ? 1 : 0;
    }
    assertTrue(done > smallJobs / 2, "small jobs done: " + done + " of " + smallJobs);
  }

  /** Whether all tasks of a gang run, or at least one task of another job, or the job is done. */
  private static boolean hasStarted(SimWorld world, int tasks, String shape) {
    int running = 0;
    for (int i = 0; i < tasks; i++) {
      running += world.isRunning("req-009000/" + i) ? 1 : 0;
    }
    return running >= (shape.equals("ensemble") ? tasks : 1)
        || "done".equals(world.lastReportedPhase("req-009000"));
  }
}
