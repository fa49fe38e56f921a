package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.Tables;

/**
 * The leader takes machines of the parts' owners. What that costs must not grow with the number of
 * controllers, or more of them place less: a fleet of seven once started no gang for five minutes.
 */
class TakesTest {
  private static SimWorld world(long seed, int machines, String controllers, double writeRps) {
    return new SimWorld(
        seed, machines, machines, controllers, 1e6, UnaryOperator.identity(), 8, writeRps);
  }

  /** Services over two zones, gangs of whole machines and arrays, all at once. */
  private static void burst(SimWorld w, int jobs) {
    for (int i = 0; i < jobs; i++) {
      int kind = i % 5;
      w.submit(
          kind < 2
              ? SimWorld.job(i, "daemon", 2, 1, 0)
              : kind < 4
                  ? SimWorld.job(i, "ensemble", 2, 4, 60)
                  : SimWorld.job(i, "batch", 4, 1, 20),
          0);
    }
  }

  /** How many tasks were started by then, with so many controllers. */
  private static int started(String controllers, long afterMs) {
    SimWorld w = world(7, 400, controllers, 50);
    w.run(20_000);
    burst(w, 250);
    w.run(afterMs);
    assertEquals(List.of(), w.broken());
    return w.starts();
  }

  @ParameterizedTest
  @ValueSource(strings = {"aabba", "aabbaab", "aabbaabba"})
  void moreControllersPlaceNoLess(String controllers) {
    int three = started("aab", 12_000);
    int more = started(controllers, 12_000);
    assertTrue(three > 300, "three start " + three);
    assertTrue(more > 0.85 * three, "three start " + three + ", " + controllers + " " + more);
  }

  /**
   * Two owners and a leader place on the same machines at once, and transactions come late: a
   * machine is never booked beyond what it has, which its worker would refuse as full.
   */
  @ParameterizedTest
  @CsvSource({"11, 0", "12, 0", "13, 400", "14, 1500"})
  void noMachineIsBookedTwice(long seed, int lateMs) {
    SimWorld w = world(seed, 24, "aabbaab", 100);
    w.run(15_000);
    Random r = new Random(seed);
    if (lateMs > 0) {
      for (String n : w.nodes) {
        w.clock.after(r.nextInt(8000), () -> w.cutFromState(n, true));
        w.clock.after(8000 + r.nextInt(lateMs), () -> w.healFromState(n));
      }
    }
    for (int i = 0; i < 120; i++) {
      int n = i;
      int kind = r.nextInt(4);
      w.clock.after(
          r.nextInt(12_000),
          () ->
              w.submit(
                  kind == 0
                      ? SimWorld.job(n, "daemon", 2, 1, 0)
                      : kind == 1
                          ? SimWorld.job(n, "ensemble", 2, 4, 4)
                          : SimWorld.job(n, "batch", 3, 1, 3),
                  kind == 0 ? 15_000 : 0));
    }
    w.run(60_000);
    assertEquals(List.of(), w.broken());
    assertTrue(w.starts() > 100, "started " + w.starts());
    assertEquals(0, w.full);
    assertTrue(w.state().value(Tables.TAKES_KEY) != null, "machines were never taken together");
  }

  /** What is drafted can be paid: the own budget does not refuse it, to be drawn anew. */
  @Test
  void draftsArePaid() {
    SimWorld w = world(21, 200, "aabbaab", 50);
    w.run(20_000);
    double before = w.total("wickdrift.transactions.refused.by.budget");
    burst(w, 150);
    w.run(20_000);
    double refused = w.total("wickdrift.transactions.refused.by.budget") - before;
    assertEquals(List.of(), w.broken());
    assertTrue(refused <= 5, "refused " + refused);
  }
}
