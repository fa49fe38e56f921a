package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wickdrift.protocol.MessageCodec;

/**
 * Checks {@link SimRules} itself: each kind of defect, introduced on purpose, must be reported, and
 * a correct run must not. Otherwise the simulation tests could pass although a rule is broken.
 */
class SimRulesTest {
  private static final String JOB = "req-000001";
  private static final String OTHER = "req-000002";

  /** A defect, and the beginning of the violation that must be reported for it. */
  enum Defect {
    STARTS_AFTER_CONFIRMED_WITHDRAWAL("ran_cancelled: started " + JOB),
    RUNS_ON_AFTER_CONFIRMED_WITHDRAWAL("ran_cancelled " + JOB + "/0"),
    RUNS_ON_AFTER_ITS_MACHINE_HUNG("ran_cancelled " + JOB + "/0"),
    RUNS_ON_TWO_MACHINES("ran_twice " + JOB),
    EXCEEDS_QUOTA("quota vision"),
    SPANS_TWO_ZONES("wrong_place " + JOB),
    STARTS_BEFORE_ITS_DEPENDENCY("too_early " + JOB),
    REPORTED_DONE_TOO_EARLY("not_done " + JOB),
    REPORTED_RUNNING_AFTER_WITHDRAWN("went_back " + JOB),
    REPORTED_WITHDRAWN_WITHOUT_REQUEST("went_back " + JOB),
    REPORTED_DONE_AFTER_WITHDRAWN("went_back " + JOB + " from withdrawn to done"),
    REPORTED_PENDING_AFTER_DONE("went_back " + JOB + " from done to pending"),
    ACCEPTED_AS_NEW_AGAIN("accepted_again " + JOB),
    REPORTED_UNKNOWN("forgotten " + JOB),
    NEVER_ANSWERED("forgotten " + JOB + ": no question"),
    WAITS_DESPITE_FREE_CAPACITY("passed_over " + JOB);

    final String violation;

    Defect(String violation) {
      this.violation = violation;
    }
  }

  /** Sends a run command that no controller has issued to a worker. */
  private static void sendRunCommand(SimWorld world, int machine, String task, int attempt) {
    SimWorker worker = world.workers().get(machine);
    byte[] body =
        MessageCodec.encode(
            Map.of(
                "epoch",
                1_000_000,
                "tenure",
                1,
                "orders",
                List.of(Map.of("verb", "run", "shard", task, "try", attempt))));
    world.net.serverAt(worker.address).serve("x", "POST", "/orders", body, a -> {});
  }

  /** Introduces a defect. */
  private static void introduce(SimWorld world, Defect defect) {
    switch (defect) {
      case STARTS_AFTER_CONFIRMED_WITHDRAWAL -> {
        world.rules.withdrawalConfirmed(JOB);
        sendRunCommand(world, 0, JOB + "/0", 1);
      }
      case RUNS_ON_AFTER_CONFIRMED_WITHDRAWAL -> {
        sendRunCommand(world, 0, JOB + "/0", 1);
        world.run(5000);
        world.rules.withdrawalConfirmed(JOB);
      }
      case RUNS_ON_AFTER_ITS_MACHINE_HUNG -> {
        sendRunCommand(world, 0, JOB + "/0", 1);
        world.run(5000);
        world.rules.withdrawalConfirmed(JOB);
        world.hangMachine(0, 9000);
      }
      case RUNS_ON_TWO_MACHINES -> {
        sendRunCommand(world, 0, JOB + "/0", 1);
        sendRunCommand(world, 1, JOB + "/0", 2);
      }
      case EXCEEDS_QUOTA -> {
        for (int i = 0; i < 3; i++) {
          sendRunCommand(world, i, JOB + "/" + i, 1);
        }
      }
      case SPANS_TWO_ZONES -> {
        sendRunCommand(world, 0, JOB + "/0", 1);
        sendRunCommand(world, 1, JOB + "/1", 1);
      }
      case STARTS_BEFORE_ITS_DEPENDENCY -> sendRunCommand(world, 0, JOB + "/0", 1);
      case REPORTED_DONE_TOO_EARLY -> world.rules.phaseReported(JOB, "done", world.clock.nowMs());
      case REPORTED_RUNNING_AFTER_WITHDRAWN -> {
        world.users.withdrawalRequested.add(JOB);
        world.rules.phaseReported(JOB, "withdrawn", world.clock.nowMs());
        world.rules.phaseReported(JOB, "running", world.clock.nowMs());
      }
      case REPORTED_DONE_AFTER_WITHDRAWN -> {
        world.users.withdrawalRequested.add(JOB);
        world.rules.phaseReported(JOB, "withdrawn", world.clock.nowMs());
        world.rules.phaseReported(JOB, "done", world.clock.nowMs());
      }
      case REPORTED_PENDING_AFTER_DONE -> {
        for (int i = 0; i < 3; i++) {
          sendRunCommand(world, i, JOB + "/" + i, 1);
        }
        world.rules.phaseReported(JOB, "done", world.clock.nowMs());
        world.rules.phaseReported(JOB, "pending", world.clock.nowMs());
      }
      case ACCEPTED_AS_NEW_AGAIN -> {
        world.rules.jobAccepted(JOB);
        world.rules.submissionAcceptedAsNew(JOB, world.clock.nowMs());
      }
      case REPORTED_WITHDRAWN_WITHOUT_REQUEST ->
          world.rules.phaseReported(JOB, "withdrawn", world.clock.nowMs());
      case REPORTED_UNKNOWN -> world.rules.phaseReported(JOB, null, world.clock.nowMs());
      case NEVER_ANSWERED, WAITS_DESPITE_FREE_CAPACITY -> {
        world.users.accepted.add(JOB);
        world.rules.faultFreeSinceMs = world.clock.nowMs();
      }
      default -> throw new AssertionError(defect);
    }
  }

  /** Returns a world without running controllers, in which only the test acts. */
  private static SimWorld world() {
    SimWorld world = new SimWorld(31, 3, 3, "aaa", 10);
    world.nodes.forEach(world::kill);
    // Without controllers the workers' leases would expire and end all tasks.
    world.workerLeasesNeverExpire = true;
    Map<String, Object> job = SimJobs.job(1, "batch", 3, 4, 500);
    job.put("oneZone", true);
    job.put("awaits", List.of(OTHER));
    world.users.registerSpec(SimJobs.job(2, "batch", 1, 1, 1));
    world.users.registerSpec(job);
    world.run(2000);
    return world;
  }

  @ParameterizedTest
  @EnumSource
  void eachDefectIsReported(Defect defect) {
    SimWorld world = world();
    if (defect != Defect.STARTS_BEFORE_ITS_DEPENDENCY) {
      sendRunCommand(world, 2, OTHER + "/0", 1);
      world.run(6000);
    }
    assertEquals(List.of(), world.violations());
    introduce(world, defect);
    world.run(100_000);
    assertTrue(
        world.violations().stream().anyMatch(b -> b.contains(defect.violation)),
        defect + " is reported as " + world.violations());
  }

  /** A request sent before a newer answer arrived may be answered with an earlier phase. */
  @Test
  void answerToAnEarlierRequestMayBeOlder() {
    SimWorld world = world();
    world.users.withdrawalRequested.add(JOB);
    long before = world.clock.nowMs();
    world.run(10);
    world.rules.jobAccepted(JOB);
    world.rules.phaseReported(JOB, "withdrawn", before + 5);
    world.rules.phaseReported(JOB, "running", before);
    world.rules.submissionAcceptedAsNew(JOB, before);
    assertEquals(List.of(), world.violations());
  }

  @Test
  void correctRunBreaksNoRule() {
    SimWorld world = world();
    sendRunCommand(world, 2, OTHER + "/0", 1);
    world.run(6000);
    sendRunCommand(world, 0, JOB + "/0", 1);
    world.run(100_000);
    assertEquals(List.of(), world.violations());
  }
}
