package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * The leader takes machines of the parts' owners. What that costs must not grow with the number of
 * controllers, or more of them place less: a fleet of seven once started no gang for five minutes.
 */
class TakesTest {
  private static SimWorld world(long seed, int machines, String controllers, double writeRps) {
    return new SimWorld(
        new SimSetup(seed, machines, machines)
            .controllers(controllers)
            .gpusMax(1e6)
            .defaultTuning()
            .txnOps(8)
            .writeRps(writeRps));
  }

  /** Services over two zones, gangs of whole machines and arrays, all at once. */
  private static void burst(SimWorld w, int jobs) {
    for (int i = 0; i < jobs; i++) {
      int kind = i % 5;
      w.users.submit(
          kind < 2
              ? SimJobs.job(i, "daemon", 2, 1, 0)
              : kind < 4 ? SimJobs.job(i, "ensemble", 2, 4, 60) : SimJobs.job(i, "batch", 4, 1, 20),
          0);
    }
  }

  /**
   * Services over two zones and gangs are the leader's, on machines of all parts: the records that
   * it rewrites for that are no more with nine controllers than with three.
   */
  @ParameterizedTest
  @ValueSource(strings = {"aab", "aabba", "aabbaab", "aabbaabba"})
  void whatIsTakenTogetherCostsOneRecord(String controllers) {
    SimWorld w = world(7, 400, controllers, 100);
    w.run(20_000);
    int[] records = {0, 0};
    w.state().fate =
        (from, d) -> {
          try {
            for (Document t : d.documents("then")) {
              String key = t.textOrNull("write");
              if (key != null && (key.startsWith("w/p/") || key.equals(Tables.CLAIMS_KEY))) {
                records[0]++;
                records[1] += key.equals(Tables.CLAIMS_KEY) ? 1 : 0;
              }
            }
          } catch (BadMessage e) {
            throw new AssertionError(e);
          }
          return SimState.Fate.APPLIED;
        };
    burst(w, 250);
    w.run(20_000);
    assertEquals(List.of(), w.broken());
    assertTrue(w.starts() > 450, "started " + w.starts());
    assertTrue(
        records[0] < 60, "records rewritten " + records[0] + ", of them takes " + records[1]);
    assertTrue(records[1] > 0, "machines were never taken together");
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
              w.users.submit(
                  kind == 0
                      ? SimJobs.job(n, "daemon", 2, 1, 0)
                      : kind == 1
                          ? SimJobs.job(n, "ensemble", 2, 4, 4)
                          : SimJobs.job(n, "batch", 3, 1, 3),
                  kind == 0 ? 15_000 : 0));
    }
    w.run(60_000);
    assertEquals(List.of(), w.broken());
    assertTrue(w.starts() > 100, "started " + w.starts());
    assertEquals(0, w.full);
    assertTrue(w.state().value(Tables.CLAIMS_KEY) != null, "machines were never taken together");
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
