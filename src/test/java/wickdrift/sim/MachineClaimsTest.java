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
 * The leader claims machines of other nodes' partitions. The cost of claims must not grow with the
 * number of controllers, or a larger cluster places fewer tasks: one with seven controllers once
 * started no gang for five minutes.
 */
class MachineClaimsTest {
  private static SimWorld createWorld(
      long seed, int machines, String controllers, double writeRps) {
    return new SimWorld(
        new SimSetup(seed, machines, machines)
            .controllers(controllers)
            .gpusMax(1e6)
            .defaultTuning()
            .txnOps(8)
            .writeRps(writeRps));
  }

  /** Submits services over two zones, gangs of whole machines and arrays, all at once. */
  private static void submitBurst(SimWorld world, int jobs) {
    for (int i = 0; i < jobs; i++) {
      int kind = i % 5;
      world.users.submit(
          kind < 2
              ? SimJobs.job(i, "daemon", 2, 1, 0)
              : kind < 4 ? SimJobs.job(i, "ensemble", 2, 4, 60) : SimJobs.job(i, "batch", 4, 1, 20),
          0);
    }
  }

  /**
   * The leader places services over two zones, and gangs, on machines of all partitions. With nine
   * controllers it rewrites no more records for that than with three.
   */
  @ParameterizedTest
  @ValueSource(strings = {"aab", "aabba", "aabbaab", "aabbaabba"})
  void claimCostDoesNotGrowWithTheNumberOfControllers(String controllers) {
    SimWorld world = createWorld(7, 400, controllers, 100);
    world.run(20_000);
    int[] recordWrites = {0, 0};
    world.state().outcomeOf =
        (from, transaction) -> {
          try {
            for (Document write : transaction.documents("then")) {
              String key = write.textOrNull("write");
              if (key != null && (key.startsWith("w/p/") || key.equals(Tables.CLAIMS_KEY))) {
                recordWrites[0]++;
                recordWrites[1] += key.equals(Tables.CLAIMS_KEY) ? 1 : 0;
              }
            }
          } catch (BadMessage e) {
            throw new AssertionError(e);
          }
          return SimStateService.TransactionOutcome.APPLIED;
        };
    submitBurst(world, 250);
    world.run(20_000);
    assertEquals(List.of(), world.violations());
    assertTrue(world.startCount() > 450, "started " + world.startCount());
    assertTrue(
        recordWrites[0] < 60,
        "records rewritten " + recordWrites[0] + ", of them claims " + recordWrites[1]);
    assertTrue(recordWrites[1] > 0, "no claims were recorded");
  }

  /**
   * Owners and the leader place tasks on the same machines at once, and transactions arrive late.
   * No machine may be allocated beyond its capacity; its worker would refuse the task as full.
   */
  @ParameterizedTest
  @CsvSource({"11, 0", "12, 0", "13, 400", "14, 1500"})
  void concurrentPlacementsDoNotOverbookMachines(long seed, int lateMs) {
    SimWorld world = createWorld(seed, 24, "aabbaab", 100);
    world.run(15_000);
    Random random = new Random(seed);
    if (lateMs > 0) {
      for (String jobNumber : world.nodes) {
        world.clock.after(random.nextInt(8000), () -> world.cutFromState(jobNumber, true));
        world.clock.after(8000 + random.nextInt(lateMs), () -> world.healFromState(jobNumber));
      }
    }
    for (int i = 0; i < 120; i++) {
      int jobNumber = i;
      int kind = random.nextInt(4);
      world.clock.after(
          random.nextInt(12_000),
          () ->
              world.users.submit(
                  kind == 0
                      ? SimJobs.job(jobNumber, "daemon", 2, 1, 0)
                      : kind == 1
                          ? SimJobs.job(jobNumber, "ensemble", 2, 4, 4)
                          : SimJobs.job(jobNumber, "batch", 3, 1, 3),
                  kind == 0 ? 15_000 : 0));
    }
    world.run(60_000);
    assertEquals(List.of(), world.violations());
    assertTrue(world.startCount() > 100, "started " + world.startCount());
    assertEquals(0, world.fullRefusalCount);
    assertTrue(world.state().value(Tables.CLAIMS_KEY) != null, "no claims were recorded");
  }

  /** A built transaction fits the node's write budget, so that it is not refused and rebuilt. */
  @Test
  void builtTransactionsFitTheWriteBudget() {
    SimWorld world = createWorld(21, 200, "aabbaab", 50);
    world.run(20_000);
    double refusedBefore = world.metricSum("wickdrift.transactions.refused.by.budget");
    submitBurst(world, 150);
    world.run(20_000);
    double refused = world.metricSum("wickdrift.transactions.refused.by.budget") - refusedBefore;
    assertEquals(List.of(), world.violations());
    assertTrue(refused <= 5, "transactions refused by the budget: " + refused);
  }
}
