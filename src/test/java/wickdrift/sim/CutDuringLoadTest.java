package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks that run twice because a controller was cut off from the state service
 * between its reads of the jobs and of the tasks' states: it took the states of newer jobs for left
 * over, and deleted them when it led.
 */
class CutDuringLoadTest {
  private static final String RESTARTED = "n1";
  private static final String FIRST_READ_AFTER_THE_JOBS = "/store?prefix=w/m/";
  private static final int JOBS = 6;
  private static final int TASKS_PER_JOB = 8;
  private static final int SHORT_JOBS = 200;
  private static final long OTHERS_DOWN_MS = 12_000;
  private static final long STEP_MS = 50;
  private static final long WAIT_TIMEOUT_MS = 60_000;

  private final SimWorld world = new SimWorld(new SimSetup(5401, 14, 14));
  private boolean armed;

  private SimNetwork.RequestOutcome cutAfterTheJobs(
      String from, String to, String path, byte[] body) {
    if (armed && from.equals(RESTARTED) && path.startsWith(FIRST_READ_AFTER_THE_JOBS)) {
      armed = false;
      world.cutFromState(RESTARTED, false);
      return SimNetwork.RequestOutcome.LOST;
    }
    return SimNetwork.RequestOutcome.DELIVERED;
  }

  private void runUntil(String condition, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + WAIT_TIMEOUT_MS;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached: " + condition);
      world.run(STEP_MS);
    }
  }

  /** Returns the keys of the stored task states of the jobs that go on running. */
  private List<String> chunkKeys() {
    List<String> keys = new ArrayList<>();
    for (int job = 1; job <= JOBS; job++) {
      String prefix = String.format("w/t/req-%06d/", job);
      world.state().keys().stream().filter(key -> key.startsWith(prefix)).forEach(keys::add);
    }
    return keys;
  }

  @Test
  void chunksOfJobsAcceptedDuringTheCutAreKept() {
    world.run(10_000);
    world.net.faultScript = this::cutAfterTheJobs;
    armed = true;
    world.crash(RESTARTED, 300);
    runUntil("the restarted controller has read the jobs", () -> !armed);
    for (int job = 1; job <= JOBS; job++) {
      world.users.submit(SimJobs.job(job, "batch", TASKS_PER_JOB, 0.5, 100_000), 0);
    }
    // They fill the logs, so that the states of the other jobs' tasks are stored as chunks.
    for (int job = JOBS + 1; job <= JOBS + SHORT_JOBS; job++) {
      world.users.submit(SimJobs.job(job, "batch", 1, 0.5, 1), 0);
    }
    runUntil("the tasks' states are stored", () -> chunkKeys().size() >= JOBS / 2);
    List<String> stored = chunkKeys();
    world.healFromState(RESTARTED);
    world.run(5000);
    world.crash("n0", OTHERS_DOWN_MS);
    world.crash("n2", OTHERS_DOWN_MS);
    runUntil(
        "the restarted controller leads",
        () -> world.tables(RESTARTED).view().leader().equals(RESTARTED));
    world.run(OTHERS_DOWN_MS);
    assertTrue(chunkKeys().containsAll(stored), "stored: " + stored + ", left: " + chunkKeys());
    world.run(60_000);
    assertEquals(List.of(), world.violations());
  }
}
