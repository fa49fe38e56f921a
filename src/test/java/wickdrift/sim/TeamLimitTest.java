package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A team's limit is divided into quota shares of the controllers, and what one controller does not
 * need is transferred to another.
 */
class TeamLimitTest {
  private static final int SHORT_JOBS = 900;
  private static final int WIDE_JOB_TASKS = 9;

  /**
   * Short jobs of another team, more than the write budget allows, keep every controller writing
   * all the time. A wide job that needs the whole limit of its team must start nevertheless.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void quotaShareIsTransferredWhileEveryControllerIsBusy(long seed) {
    SimSetup setup =
        new SimSetup(seed, 24, 24)
            .controllers("aab")
            .gpusMax(1e6)
            .soundGpusMax(WIDE_JOB_TASKS)
            .writeRps(30);
    SimWorld world = new SimWorld(setup);
    world.run(8000);
    for (int i = 0; i < SHORT_JOBS; i++) {
      int number = i;
      world.clock.after(
          60L * i, () -> world.users.submit(SimJobs.job(100 + number, "batch", 1, 1, 3), 0));
    }
    world.run(10_000);
    Map<String, Object> wide = SimJobs.job(1, "batch", WIDE_JOB_TASKS, 1, 200);
    wide.put("owner", "sound");
    wide.put("rank", "urgent");
    world.users.submit(wide, 0);
    int started = 0;
    for (int s = 0; s < 40 && started < WIDE_JOB_TASKS; s++) {
      world.run(1000);
      started = 0;
      for (int t = 0; t < WIDE_JOB_TASKS; t++) {
        started += world.isRunning("req-000001/" + t) ? 1 : 0;
      }
    }
    assertEquals(WIDE_JOB_TASKS, started, "tasks of the wide job run");
    assertTrue(world.users.accepted.size() < SHORT_JOBS, "the controllers were not busy");
    assertEquals(List.of(), world.violations());
  }

  /** Tasks beyond their team's limit cannot use a machine, so none is rented for them. */
  @ParameterizedTest
  @ValueSource(strings = {"batch", "ensemble"})
  void noMachineIsRentedForTasksBeyondTheTeamLimit(String shape) {
    SimWorld world = new SimWorld(new SimSetup(5, 0, 30).controllers("aab").gpusMax(8));
    world.run(8000);
    for (int i = 0; i < 12; i++) {
      world.users.submit(SimJobs.job(i, shape, 2, 2, 300), 0);
    }
    world.run(90_000);
    assertEquals(4, world.startCount(), "tasks that run, which is what the limit allows");
    assertTrue(world.cloud.rentedCount <= 3, "rented " + world.cloud.rentedCount);
    assertEquals(List.of(), world.violations());
  }

  /** A gang beyond its team's limit must not reserve machines that other jobs could use. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void gangBeyondTheTeamLimitReservesNoMachine(int gangs) {
    SimWorld world = new SimWorld(new SimSetup(60 + gangs, 4, 4).controllers("aab").gpusMax(8));
    world.run(8000);
    world.users.submit(SimJobs.job(1, "batch", 2, 4, 400), 0);
    world.run(8000);
    for (int i = 0; i < gangs; i++) {
      world.users.submit(SimJobs.job(10 + i, "ensemble", 1 + i % 2, 4, 100), 0);
    }
    world.run(20_000);
    Map<String, Object> other = SimJobs.job(2, "batch", 8, 1, 100);
    other.put("owner", "sound");
    world.users.submit(other, 0);
    world.run(30_000);
    assertEquals(2 + 8, world.startCount(), "tasks that started");
    assertEquals(List.of(), world.violations());
  }
}
