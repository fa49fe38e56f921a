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
 * The judge of the simulated world catches what it is there for: a defect for each of its rules.
 */
class JudgeTest {
  private static final String JOB = "req-000001";
  private static final String OTHER = "req-000002";

  /** What somebody does wrong, and what the judge calls it. */
  enum Defect {
    STARTS_AFTER_THE_WORD("ran_cancelled: started " + JOB),
    GOES_ON_AFTER_THE_WORD("ran_cancelled " + JOB + "/0"),
    GOES_ON_AFTER_ITS_MACHINE_HUNG("ran_cancelled " + JOB + "/0"),
    STARTS_TWICE("ran_twice " + JOB),
    PASSES_THE_LIMIT("quota vision"),
    IN_ANOTHER_ZONE("wrong_place " + JOB),
    BEFORE_WHAT_IT_AWAITS("too_early " + JOB),
    DONE_TOO_EARLY("not_done " + JOB),
    DONE_AND_RUNS_AGAIN("went_back " + JOB),
    WITHDRAWN_BY_NOBODY("went_back " + JOB),
    WITHDRAWN_AND_DONE("went_back " + JOB + " from withdrawn to done"),
    DONE_AND_PENDING_AT_ANOTHER("went_back " + JOB + " from done to pending"),
    TAKEN_AGAIN("accepted_again " + JOB),
    UNKNOWN("forgotten " + JOB),
    NO_ANSWER("forgotten " + JOB + ": no question"),
    WAITS_BESIDE_ROOM("passed_over " + JOB);

    final String called;

    Defect(String called) {
      this.called = called;
    }
  }

  /** A command that no controller gave. */
  private static void run(SimWorld w, int machine, String task, int attempt) {
    SimWorker m = w.workers().get(machine);
    byte[] body =
        MessageCodec.encode(
            Map.of(
                "epoch",
                1_000_000,
                "tenure",
                1,
                "orders",
                List.of(Map.of("verb", "run", "shard", task, "try", attempt))));
    w.net.at(m.address).serve("x", "POST", "/orders", body, a -> {});
  }

  private static void commit(SimWorld w, Defect d) {
    switch (d) {
      case STARTS_AFTER_THE_WORD -> {
        w.rules.withdrawn(JOB);
        run(w, 0, JOB + "/0", 1);
      }
      case GOES_ON_AFTER_THE_WORD -> {
        run(w, 0, JOB + "/0", 1);
        w.run(5000);
        w.rules.withdrawn(JOB);
      }
      case GOES_ON_AFTER_ITS_MACHINE_HUNG -> {
        run(w, 0, JOB + "/0", 1);
        w.run(5000);
        w.rules.withdrawn(JOB);
        w.hangMachine(0, 9000);
      }
      case STARTS_TWICE -> {
        run(w, 0, JOB + "/0", 1);
        run(w, 1, JOB + "/0", 2);
      }
      case PASSES_THE_LIMIT -> {
        for (int i = 0; i < 3; i++) {
          run(w, i, JOB + "/" + i, 1);
        }
      }
      case IN_ANOTHER_ZONE -> {
        run(w, 0, JOB + "/0", 1);
        run(w, 1, JOB + "/1", 1);
      }
      case BEFORE_WHAT_IT_AWAITS -> run(w, 0, JOB + "/0", 1);
      case DONE_TOO_EARLY -> w.rules.told(JOB, "done", w.clock.nowMs());
      case DONE_AND_RUNS_AGAIN -> {
        w.users.asked.add(JOB);
        w.rules.told(JOB, "withdrawn", w.clock.nowMs());
        w.rules.told(JOB, "running", w.clock.nowMs());
      }
      case WITHDRAWN_AND_DONE -> {
        w.users.asked.add(JOB);
        w.rules.told(JOB, "withdrawn", w.clock.nowMs());
        w.rules.told(JOB, "done", w.clock.nowMs());
      }
      case DONE_AND_PENDING_AT_ANOTHER -> {
        for (int i = 0; i < 3; i++) {
          run(w, i, JOB + "/" + i, 1);
        }
        w.rules.told(JOB, "done", w.clock.nowMs());
        w.rules.told(JOB, "pending", w.clock.nowMs());
      }
      case TAKEN_AGAIN -> {
        w.rules.accepted(JOB);
        w.rules.acceptedAgain(JOB, w.clock.nowMs());
      }
      case WITHDRAWN_BY_NOBODY -> w.rules.told(JOB, "withdrawn", w.clock.nowMs());
      case UNKNOWN -> w.rules.told(JOB, null, w.clock.nowMs());
      case NO_ANSWER, WAITS_BESIDE_ROOM -> {
        w.users.accepted.add(JOB);
        w.rules.calmSinceMs = w.clock.nowMs();
      }
      default -> throw new AssertionError(d);
    }
  }

  /** Nobody controls anything: whatever happens, the test has done. */
  private static SimWorld world() {
    SimWorld w = new SimWorld(31, 3, 3, "aaa", 10);
    w.nodes.forEach(w::kill);
    // Its controllers being gone, the workers' leases would end all.
    w.workersKeepTheirLeases = true;
    Map<String, Object> job = SimJobs.job(1, "batch", 3, 4, 500);
    job.put("oneZone", true);
    job.put("awaits", List.of(OTHER));
    w.users.describe(SimJobs.job(2, "batch", 1, 1, 1));
    w.users.describe(job);
    w.run(2000);
    return w;
  }

  @ParameterizedTest
  @EnumSource
  void isCaught(Defect d) {
    SimWorld w = world();
    if (d != Defect.BEFORE_WHAT_IT_AWAITS) {
      run(w, 2, OTHER + "/0", 1);
      w.run(6000);
    }
    assertEquals(List.of(), w.broken());
    commit(w, d);
    w.run(100_000);
    assertTrue(
        w.broken().stream().anyMatch(b -> b.contains(d.called)), d + " is called " + w.broken());
  }

  /** An answer to a question that was put before the newer one came is not older than known. */
  @Test
  void whatWasAskedBeforeMayBeOlder() {
    SimWorld w = world();
    w.users.asked.add(JOB);
    long before = w.clock.nowMs();
    w.run(10);
    w.rules.accepted(JOB);
    w.rules.told(JOB, "withdrawn", before + 5);
    w.rules.told(JOB, "running", before);
    w.rules.acceptedAgain(JOB, before);
    assertEquals(List.of(), w.broken());
  }

  /** And where nothing is wrong it says nothing. */
  @Test
  void nothingIsCalledWrong() {
    SimWorld w = world();
    run(w, 2, OTHER + "/0", 1);
    w.run(6000);
    run(w, 0, JOB + "/0", 1);
    w.run(100_000);
    assertEquals(List.of(), w.broken());
  }
}
