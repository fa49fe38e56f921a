package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import wickdrift.bookkeeping.level.LevelRange;

/**
 * Guards against accepted jobs that never run because a transaction exceeds the limit of 64 KiB, is
 * refused, and is built again in the same way.
 */
class TransactionSizeTest {
  private static final int AWAITED_JOBS = 360;
  private static final int AWAITING_JOBS = 40;
  private static final int FIRST_AWAITING = 1000;
  private static final int FIRST_FILLING = 2000;
  private static final int FILLING_JOBS = 4;
  private static final int GPUS_PER_MACHINE = (int) SimWorld.GPUS_PER_MACHINE;
  private static final long STEP_MS = 100;
  private static final String LOWER_LIMITS =
      "[cluster.state.next]\nvalue_kb = 8.0\ntxn_ops = 4\nwrite_rps = 60.0";
  private static final long WAIT_TIMEOUT_MS = 120_000;

  /** A job may wait for this long beside room. */
  private static final long MAX_WAIT_MS = 90_000;

  /** Two controllers in zone a and one in zone b; half of the machines are in each zone. */
  private final SimWorld world =
      new SimWorld(new SimSetup(5402, 8, 8).controllers("aab").valueKb(32).txnOps(16));

  private final List<String> awaiting = new ArrayList<>();

  private void runUntil(String condition, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + WAIT_TIMEOUT_MS;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached: " + condition);
      world.run(STEP_MS);
    }
  }

  private static Map<String, Object> jobInZone(
      int number, String zone, double gpus, double seconds) {
    Map<String, Object> job = SimJobs.job(number, "batch", 1, gpus, seconds);
    job.put("region", zone);
    return job;
  }

  private boolean isAccepted(int job) {
    String id = String.format("req-%06d", job);
    return world.tables("n0").job(id) != null || world.tables("n0").terminalState(id) != null;
  }

  private boolean areAccepted(int first, int count) {
    for (int job = first; job < first + count; job++) {
      if (!isAccepted(job)) {
        return false;
      }
    }
    return true;
  }

  private boolean areDone(int first, int count) {
    for (int job = first; job < first + count; job++) {
      if (world.tables("n0").terminalState(String.format("req-%06d", job)) == null) {
        return false;
      }
    }
    return true;
  }

  private void submitAwaited() {
    for (int job = 1; job <= AWAITED_JOBS; job++) {
      world.users.submit(jobInZone(job, "a", 0.5, 1), 0);
    }
    runUntil("the awaited jobs are accepted", () -> areAccepted(1, AWAITED_JOBS));
  }

  private void submitAwaiting(long gapMs) {
    int[] awaited = new int[AWAITED_JOBS];
    for (int i = 0; i < awaited.length; i++) {
      awaited[i] = i + 1;
    }
    for (int i = 0; i < AWAITING_JOBS; i++) {
      Map<String, Object> job =
          SimJobs.addAwaits(SimJobs.job(FIRST_AWAITING + i, "batch", 1, 0.5, 3), awaited);
      awaiting.add((String) job.get("ref"));
      world.clock.after(gapMs * i, () -> world.users.submit(job, 0));
    }
    runUntil("the others are accepted", () -> areAccepted(FIRST_AWAITING, AWAITING_JOBS));
  }

  /** Fills all machines of zone b for good. */
  private void fillZoneB() {
    for (int i = 0; i < FILLING_JOBS; i++) {
      world.users.submit(jobInZone(FIRST_FILLING + i, "b", GPUS_PER_MACHINE, 100_000), 0);
    }
    runUntil("the filling jobs are accepted", () -> areAccepted(FIRST_FILLING, FILLING_JOBS));
  }

  private void assertAwaitingJobsDone() {
    runUntil("the awaited jobs are done", () -> areDone(1, AWAITED_JOBS));
    long readyMs = world.clock.nowMs();
    while (!areDone(FIRST_AWAITING, AWAITING_JOBS) && world.clock.nowMs() - readyMs < MAX_WAIT_MS) {
      world.run(STEP_MS);
    }
    long left =
        awaiting.stream().filter(id -> world.tables("n0").terminalState(id) == null).count();
    assertEquals(0, left, "jobs that wait beside room; " + world.violations());
    assertEquals(List.of(), world.violations());
  }

  @Test
  void jobsWithLargeRecordsAreHandedOverTogether() {
    world.run(10_000);
    submitAwaited();
    submitAwaiting(100);
    fillZoneB();
    assertAwaitingJobsDone();
  }

  /** The announced limits take effect between the acceptance of the jobs and their handover. */
  @Test
  void jobsWithLargeRecordsAreHandedOverUnderLowerLimits() {
    world.restartAll(LevelRange.BUILD, LOWER_LIMITS);
    world.run(10_000);
    submitAwaited();
    submitAwaiting(100);
    world.state().lowerLimits(8, 4, 60);
    fillZoneB();
    assertAwaitingJobsDone();
  }

  @Test
  void jobsWithLargeRecordsAreAcceptedTogether() {
    world.run(10_000);
    submitAwaited();
    submitAwaiting(0);
    assertAwaitingJobsDone();
  }

  /** A record that the state service takes from nobody must not keep others from being written. */
  @Test
  void aRejectedHandoverDoesNotHoldUpOtherJobs() {
    world.run(10_000);
    submitAwaited();
    submitAwaiting(100);
    String rejected = "w/j/" + awaiting.remove(0);
    world.state().rejectsKey = key -> key.equals(rejected);
    fillZoneB();
    runUntil("the awaited jobs are done", () -> areDone(1, AWAITED_JOBS));
    long readyMs = world.clock.nowMs();
    runUntil("the other jobs are done", () -> areDone(FIRST_AWAITING + 1, AWAITING_JOBS - 1));
    assertTrue(world.clock.nowMs() - readyMs < MAX_WAIT_MS);
    assertTrue(world.state().rejectedCount > 0, "no handover was rejected");
    assertEquals(List.of(), world.violations());
  }
}
