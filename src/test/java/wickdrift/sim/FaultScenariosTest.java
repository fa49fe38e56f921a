package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Runs each {@link FaultScenario} with several seeds, and pairs of them concurrently. After the
 * faults every job that was not withdrawn must finish, no job may wait while it fits free capacity,
 * and every request must be answered.
 */
class FaultScenariosTest {
  private static final int SEEDS = Integer.getInteger("wickdrift.scenarioSeeds", 4);
  private static final int FIRST_SEED = Integer.getInteger("wickdrift.scenarioFirstSeed", 0);

  private static final FaultScenario LAST_SCENARIO_PAIRED_BY_DEFAULT =
      FaultScenario.LEADER_CRASHES_AND_MACHINES_UNREACHABLE_FOR_COMMANDS;

  /** Whether to run all pairs, which takes long, instead of those of the first scenarios only. */
  private static final boolean RUN_ALL_PAIRS = Boolean.getBoolean("wickdrift.allPairs");

  /** Scenarios of which every pair is run. */
  private static final List<FaultScenario> PAIRED_SCENARIOS =
      Arrays.stream(FaultScenario.values())
          .filter(s -> RUN_ALL_PAIRS || s.ordinal() <= LAST_SCENARIO_PAIRED_BY_DEFAULT.ordinal())
          .toList();

  /** Combines every scenario with every seed. */
  static Stream<Arguments> scenariosAndSeeds() {
    return Arrays.stream(FaultScenario.values())
        .flatMap(
            scenario ->
                IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                    .mapToObj(seed -> Arguments.of(scenario, seed)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("scenariosAndSeeds")
  void invariantsHoldInEachScenario(FaultScenario scenario, int seedOffset) {
    long seed = 7000 + 1000L * scenario.ordinal() + seedOffset;
    FaultRun run = new FaultRun(new SimWorld(scenario.setup(seed)), new Random(seed));
    run.run(i -> scenario, List.of(scenario));
    assertTrue(run.faultsOccurred, "the combination of faults did not occur");
  }

  /** Lists every pair of the scenarios to be paired. */
  static Stream<Arguments> scenarioPairs() {
    return PAIRED_SCENARIOS.stream()
        .flatMap(
            first ->
                PAIRED_SCENARIOS.stream()
                    .filter(second -> second.ordinal() > first.ordinal())
                    .map(second -> Arguments.of(first, second)));
  }

  /** Each pair has a seed of its own; a third of the pairs run with five controllers. */
  @ParameterizedTest(name = "{0} and {1}")
  @MethodSource("scenarioPairs")
  void invariantsHoldInTwoConcurrentScenarios(FaultScenario first, FaultScenario second) {
    long seed = 300_000 + 1000L * first.ordinal() + 20 * second.ordinal();
    boolean fiveControllers = (first.ordinal() + second.ordinal()) % 3 == 1;
    SimSetup setup = FaultRun.setup(seed).controllers(fiveControllers ? "aabab" : "aab");
    FaultRun run = new FaultRun(new SimWorld(setup), new Random(seed));
    run.run(i -> i % 2 == 0 ? first : second, List.of(first, second));
  }
}
