package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A team's limit is divided among the controllers; what one does not need comes to another. */
class LimitSharesTest {
  private static final int SHORT_JOBS = 900;
  private static final int WIDE = 9;

  /**
   * Short jobs of another team, more than the writes allow, keep every controller writing all the
   * time. A wide job that needs the whole limit of its team starts all the same.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aShareMovesThoughEveryControllerIsBusy(long seed) {
    SimSetup setup =
        new SimSetup(seed, 24, 24).controllers("aab").gpusMax(1e6).soundGpusMax(WIDE).writeRps(30);
    SimWorld w = new SimWorld(setup);
    w.run(8000);
    for (int i = 0; i < SHORT_JOBS; i++) {
      int number = i;
      w.clock.after(60L * i, () -> w.users.submit(SimJobs.job(100 + number, "batch", 1, 1, 3), 0));
    }
    w.run(10_000);
    Map<String, Object> wide = SimJobs.job(1, "batch", WIDE, 1, 200);
    wide.put("owner", "sound");
    wide.put("rank", "urgent");
    w.users.submit(wide, 0);
    int started = 0;
    for (int s = 0; s < 40 && started < WIDE; s++) {
      w.run(1000);
      started = 0;
      for (int t = 0; t < WIDE; t++) {
        started += w.isOn("req-000001/" + t) ? 1 : 0;
      }
    }
    assertEquals(WIDE, started, "tasks of the wide job run");
    assertTrue(w.users.accepted.size() < SHORT_JOBS, "the controllers were not busy");
    assertEquals(List.of(), w.broken());
  }

  /** Tasks that a team's limit forbids have no use for a machine: none is rented for them. */
  @ParameterizedTest
  @ValueSource(strings = {"batch", "ensemble"})
  void nothingIsRentedForWhatALimitForbids(String shape) {
    SimWorld w = new SimWorld(new SimSetup(5, 0, 30).controllers("aab").gpusMax(8));
    w.run(8000);
    for (int i = 0; i < 12; i++) {
      w.users.submit(SimJobs.job(i, shape, 2, 2, 300), 0);
    }
    w.run(90_000);
    assertEquals(4, w.starts(), "as many tasks as the limit allows run");
    assertTrue(w.cloud.rented <= 3, "rented " + w.cloud.rented);
    assertEquals(List.of(), w.broken());
  }

  /** A gang that its team's limit forbids keeps no machine from others. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void aGangAtItsTeamsLimitKeepsNoMachine(int gangs) {
    SimWorld w = new SimWorld(new SimSetup(60 + gangs, 4, 4).controllers("aab").gpusMax(8));
    w.run(8000);
    w.users.submit(SimJobs.job(1, "batch", 2, 4, 400), 0);
    w.run(8000);
    for (int i = 0; i < gangs; i++) {
      w.users.submit(SimJobs.job(10 + i, "ensemble", 1 + i % 2, 4, 100), 0);
    }
    w.run(20_000);
    Map<String, Object> other = SimJobs.job(2, "batch", 8, 1, 100);
    other.put("owner", "sound");
    w.users.submit(other, 0);
    w.run(30_000);
    assertEquals(2 + 8, w.starts(), "tasks that started");
    assertEquals(List.of(), w.broken());
  }
}
