package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Controllers restart within a second, while their old lease, their peers' sockets, their last
 * transactions and their last commands still exist. Each scenario runs with several downtimes.
 */
class ControllerRestartTest {
  private static final int[] DOWNTIMES_MS = {100, 300, 1000};

  private record Scenario(String name, BiConsumer<SimWorld, Integer> faults) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static void schedule(SimWorld world, long afterMs, Runnable action) {
    world.clock.after(afterMs, action);
  }

  private static void scheduleCrash(SimWorld world, long afterMs, String node, int downtimeMs) {
    schedule(world, afterMs, () -> world.crash(node, downtimeMs));
  }

  private static void scheduleCrashOfAll(SimWorld world, long afterMs, int downtimeMs) {
    world.nodes.forEach(n -> scheduleCrash(world, afterMs, n, downtimeMs));
  }

  private static String currentLeader(SimWorld world) {
    return world.tables("n0").view().leader();
  }

  /**
   * After such a restart the view, the controller's partition, its lease and its record are
   * unchanged, because no other node has noticed yet.
   */
  private static final List<Scenario> SCENARIOS =
      List.of(
          new Scenario(
              "one controller",
              (world, downtimeMs) -> scheduleCrash(world, 9000, "n1", downtimeMs)),
          new Scenario(
              "the leader",
              (world, downtimeMs) ->
                  schedule(world, 9000, () -> world.crash(currentLeader(world), downtimeMs))),
          new Scenario("all", (world, downtimeMs) -> scheduleCrashOfAll(world, 9000, downtimeMs)),
          new Scenario(
              "all, three times within 5 s, during a state service outage",
              (world, downtimeMs) -> {
                schedule(world, 8500, () -> world.state().setOutage(true));
                for (int i = 0; i < 3; i++) {
                  scheduleCrashOfAll(world, 9000 + 2100 * i, downtimeMs);
                }
                schedule(world, 15_000, () -> world.state().setOutage(false));
              }),
          new Scenario(
              "the same controller every 2 s for a minute",
              (world, downtimeMs) -> {
                for (int i = 0; i < 30; i++) {
                  scheduleCrash(world, 9000 + 2000 * i, "n1", downtimeMs);
                }
              }),
          new Scenario(
              "the leader every 2 s for half a minute",
              (world, downtimeMs) -> {
                for (int i = 0; i < 15; i++) {
                  schedule(
                      world, 9000 + 2000 * i, () -> world.crash(currentLeader(world), downtimeMs));
                }
              }),
          new Scenario(
              "two controllers at the same moment, twice",
              (world, downtimeMs) -> {
                for (int i = 0; i < 2; i++) {
                  scheduleCrash(world, 9000 + 2500 * i, "n1", downtimeMs);
                  scheduleCrash(world, 9000 + 2500 * i, "n2", downtimeMs);
                }
              }),
          new Scenario(
              "during every step of joining",
              (world, downtimeMs) -> {
                for (int i = 0; i < 40; i++) {
                  scheduleCrash(world, 9000 + 1150L * i, "n2", Math.min(downtimeMs, 150));
                  scheduleCrash(
                      world, 9000 + 1150L * i + 160 + 20 * i, "n2", Math.min(downtimeMs, 150));
                }
              }),
          new Scenario(
              "its transactions are applied late",
              (world, downtimeMs) -> {
                schedule(world, 7000, () -> world.state().delayCommits(0.25, 2600, 7));
                for (int i = 0; i < 8; i++) {
                  scheduleCrash(world, 9000 + 3100 * i, "n" + i % 3, downtimeMs);
                }
                schedule(world, 36_000, () -> world.state().delayCommits(0, 0, 7));
              }),
          new Scenario(
              "its commands to workers are delayed",
              (world, downtimeMs) -> {
                for (int i = 0; i < 4; i++) {
                  int machine = i;
                  schedule(world, 8000 + 500 * i, () -> world.cutMachine(machine, true));
                  schedule(world, 14_000 + 2000 * i, () -> world.healMachine(machine, ""));
                }
                for (int i = 0; i < 6; i++) {
                  scheduleCrash(world, 8600 + 1300 * i, "n" + i % 3, Math.min(downtimeMs, 1000));
                }
              }),
          new Scenario(
              "its peers do not receive its frames",
              (world, downtimeMs) -> {
                schedule(world, 8500, () -> world.cutFromPeers("n1", true));
                scheduleCrash(world, 9000, "n1", downtimeMs);
                scheduleCrash(world, 12_000, "n1", downtimeMs);
                schedule(world, 16_000, () -> world.cutFromPeers("n1", false));
              }),
          new Scenario(
              "orderly shutdown and restart",
              (world, downtimeMs) -> {
                schedule(world, 9000, () -> world.restart("n1", 3000, downtimeMs));
                schedule(
                    world, 14_000, () -> world.restart(currentLeader(world), 3000, downtimeMs));
              }),
          new Scenario(
              "cut off from the state service, its transactions delayed",
              (world, downtimeMs) -> {
                schedule(world, 8700, () -> world.cutFromState("n1", true));
                scheduleCrash(world, 9000, "n1", downtimeMs);
                schedule(world, 13_000, () -> world.healFromState("n1"));
              }));

  static Stream<Arguments> scenarioCases() {
    List<Arguments> cases = new ArrayList<>();
    for (Scenario scenario : SCENARIOS) {
      for (int downtimeMs : DOWNTIMES_MS) {
        cases.add(Arguments.of(scenario, downtimeMs));
      }
    }
    return cases.stream();
  }

  @ParameterizedTest(name = "{0}, restarted after {1} ms")
  @MethodSource("scenarioCases")
  void jobsFinishWhenControllersRestartQuickly(Scenario scenario, int downtimeMs) {
    SimWorld world = new SimWorld(31 + downtimeMs, 14, 20);
    Random random = new Random(downtimeMs);
    List<String> finiteJobs =
        world.users.submitSmallJobs(random, 4000, 30_000, 5000, n -> n % 2 == 0 ? 5 : 6);
    scenario.faults.accept(world, downtimeMs);
    world.run(240_000);
    assertEquals(0, world.fullRefusalCount);
    ClusterTest.assertJobsDoneAndRulesHeld(world, finiteJobs);
  }

  /** All controllers share the limits of the state service, so that a restart must be cheap. */
  @Test
  void frequentRestartsOfOneControllerCostTheOthersLittle() {
    SimWorld world = new SimWorld(41, 14, 20);
    world.run(20_000);
    int requests = world.state().requestCount();
    int commits = world.state().commitCount();
    world.run(60_000);
    int quietRequests = world.state().requestCount() - requests;
    int quietCommits = world.state().commitCount() - commits;
    requests = world.state().requestCount();
    commits = world.state().commitCount();
    for (int i = 0; i < 30; i++) {
      scheduleCrash(world, 2000L * i, "n1", 300);
    }
    world.run(60_000);
    double requestsPerStart = (world.state().requestCount() - requests - quietRequests) / 30.0;
    double transactionsPerStart = (world.state().commitCount() - commits - quietCommits) / 30.0;
    System.out.println(
        "per controller start: "
            + requestsPerStart
            + " requests, "
            + transactionsPerStart
            + " transactions");
    // 30 starts a minute may use at most a tenth of the limit of 250 requests per second.
    assertTrue(requestsPerStart < 50, "requests per start: " + requestsPerStart);
    assertTrue(transactionsPerStart < 6, "transactions per start: " + transactionsPerStart);
  }
}
