package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Report;
import wickdrift.protocol.Unsigned;
import wickdrift.transport.Caller.Response;

/** Counts, versions, tokens and attempts are integers below 2^64. */
class LargeCountsTest {
  /**
   * No controller has given such a token, and none can give a higher one: the worker is sent on,
   * and its lease ends as if nobody answered it.
   */
  @ParameterizedTest
  @ValueSource(longs = {Long.MIN_VALUE, Unsigned.MAX_VALUE})
  void aWorkerWithATokenThatNobodyGaveIsSentOnAndDisturbsNobody(long token) {
    SimWorld world = new SimWorld(4, 4, 4);
    world.run(8000);
    for (String node : world.nodes) {
      Response[] answer = world.sendReport(node, "i-000900", Unsigned.toWire(token));
      world.run(1000);
      assertEquals(421, answer[0].status(), node);
    }
    world.users.submit(SimJobs.job(1, "batch", 2, 1, 5), 0);
    world.run(60_000);
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of("req-000001"));
  }

  /** Revisions and leases from 0, across 2^63 and near 2^64, with a controller lost on the way. */
  @ParameterizedTest
  @ValueSource(longs = {30, 31, 32})
  void jobsEndWhereverRevisionsAndLeasesBegin(long seed) {
    SimWorld world = new SimWorld(seed, 4, 8);
    for (int i = 0; i < 12; i++) {
      int number = i;
      world.clock.after(
          5000 + 1500L * i, () -> world.users.submit(SimJobs.job(number, "batch", 2, 1, 8), 0));
    }
    world.run(15_000);
    world.kill("n0");
    world.run(10_000);
    world.startNode("n0");
    world.run(120_000);
    ClusterTest.assertJobsDoneAndRulesHeld(world, SimJobs.ids(12));
    assertEquals(null, world.describeDivergence());
  }

  @Test
  void anAttemptIsNotTakenForAnotherThatSharesItsLowBits() throws Exception {
    Report report =
        Report.parse(
            Document.parse(
                MessageCodec.encode(
                    Map.of(
                        "host",
                        "i-1",
                        "address",
                        "a:1",
                        "flavour",
                        "g4",
                        "region",
                        "a",
                        "tenure",
                        1,
                        "tick",
                        1,
                        "shards",
                        List.of(
                            Map.of(
                                "shard",
                                "req-1/0",
                                "try",
                                (1L << Integer.SIZE) + 1,
                                "phase",
                                "running"))))));
    assertEquals((1L << Integer.SIZE) + 1, report.tasks().get(0).attempt());
  }
}
