package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The largest job of a class begins within four minutes of its submission, whatever swarm of small
 * ones fills the fleet, and the small ones go on being served.
 */
class LargestTest {
  private static final long FOUR_MINUTES_MS = 240_000;

  @ParameterizedTest(name = "a {0} of {1} beside {2} small ones, {3}")
  @CsvSource({
    "ensemble, 4, swarm, quiet",
    "ensemble, 5, swarm, quiet",
    "ensemble, 5, swarm, leader crashes",
    "ensemble, 5, swarm, machines die",
    "ensemble, 5, gangs, quiet",
    "ensemble, 5, limit, quiet",
    "batch, 300, swarm, quiet",
    "batch, 300, gangs, machines die",
    "daemon, 12, swarm, quiet",
    "daemon, 12, gangs, leader crashes"
  })
  void beginsInTime(String shape, int tasks, String beside, String trouble) {
    // As many machines as there will ever be: what is large has to wait for what runs.
    double limit = beside.equals("limit") ? 36 : 1000;
    SimWorld w = new SimWorld(1100 + tasks, 12, 12, "aab", limit);
    w.run(8000);
    int small = beside.equals("gangs") ? 150 : 400;
    for (int i = 0; i < small; i++) {
      int n = i;
      Map<String, Object> job =
          beside.equals("gangs")
              ? SimJobs.job(n, "ensemble", 1 + n % 2, 4, 8 + n % 9)
              : SimJobs.job(n, "batch", 2 + n % 3, 1, 8 + n % 9);
      w.clock.after(400_000L * i / small, () -> w.users.submit(job, 0));
    }
    w.run(60_000);
    double gpus = shape.equals("ensemble") ? 4 : 1;
    w.users.submit(SimJobs.job(9000, shape, tasks, gpus, shape.equals("daemon") ? 0 : 10), 0);
    switch (trouble) {
      case "leader crashes" -> {
        for (int k = 0; k < 3; k++) {
          w.clock.after(8000 + 25_000L * k, () -> w.crash(w.tables("n0").view().leader(), 300));
        }
      }
      case "machines die" -> {
        for (int k = 0; k < 4; k++) {
          w.clock.after(10_000 + 20_000L * k, () -> w.killMachine(3));
        }
      }
      default -> {}
    }
    long from = w.clock.nowMs();
    while (!begun(w, tasks, shape) && w.clock.nowMs() - from < FOUR_MINUTES_MS) {
      w.run(1000);
    }
    assertTrue(begun(w, tasks, shape), "not begun within four minutes");
    w.run(600_000 - w.clock.nowMs() + from);
    assertEquals(List.of(), w.broken());
    long done = 0;
    for (int i = 0; i < small; i++) {
      done += "done".equals(w.lastTold(String.format("req-%06d", i))) ? 1 : 0;
    }
    assertTrue(done > small / 2, "small ones done: " + done + " of " + small);
  }

  /** Of a gang all its tasks, of others the first. */
  private static boolean begun(SimWorld w, int tasks, String shape) {
    int on = 0;
    for (int i = 0; i < tasks; i++) {
      on += w.isOn("req-009000/" + i) ? 1 : 0;
    }
    return on >= (shape.equals("ensemble") ? tasks : 1) || "done".equals(w.lastTold("req-009000"));
  }
}
