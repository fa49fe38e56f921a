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
 * The combinations of faults that the operators name, one row each and several seeds. Once all is
 * over every job that was not cancelled is done, none waits beside room for it, and every question
 * is answered.
 */
class FaultScenariosTest {
  private static final int SEEDS = Integer.getInteger("wickdrift.scenarioSeeds", 4);
  private static final int FIRST_SEED = Integer.getInteger("wickdrift.scenarioFirstSeed", 0);

  private static final FaultScenario LAST_PAIRED =
      FaultScenario.A_LEADER_ENDS_AND_MACHINES_DO_NOT_HEAR_THE_NEXT;

  /** Whether every pair is played, and not only those of the first scenarios: that takes long. */
  private static final boolean ALL_PAIRS = Boolean.getBoolean("wickdrift.allPairs");

  /** Scenarios of which every pair is played. */
  private static final List<FaultScenario> PAIRED =
      Arrays.stream(FaultScenario.values())
          .filter(s -> ALL_PAIRS || s.ordinal() <= LAST_PAIRED.ordinal())
          .toList();

  static Stream<Arguments> rows() {
    return Arrays.stream(FaultScenario.values())
        .flatMap(
            m -> IntStream.range(FIRST_SEED, FIRST_SEED + SEEDS).mapToObj(s -> Arguments.of(m, s)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("rows")
  void noRuleBreaks(FaultScenario scenario, int s) {
    long seed = 7000 + 1000L * scenario.ordinal() + s;
    FaultRun run = new FaultRun(new SimWorld(scenario.setup(seed)), new Random(seed));
    run.play(i -> scenario, List.of(scenario));
    assertTrue(run.reached, "the faults did not meet");
  }

  /** Two of the scenarios at once; a seed, and a size, for each. */
  static Stream<Arguments> pairs() {
    return PAIRED.stream()
        .flatMap(
            a ->
                PAIRED.stream()
                    .filter(b -> b.ordinal() > a.ordinal())
                    .map(b -> Arguments.of(a, b)));
  }

  @ParameterizedTest(name = "{0} and {1}")
  @MethodSource("pairs")
  void noRuleBreaksInTwoAtOnce(FaultScenario a, FaultScenario b) {
    long seed = 300_000 + 1000L * a.ordinal() + 20 * b.ordinal();
    boolean five = (a.ordinal() + b.ordinal()) % 3 == 1;
    SimSetup setup = FaultRun.setup(seed).controllers(five ? "aabab" : "aab");
    FaultRun run = new FaultRun(new SimWorld(setup), new Random(seed));
    run.play(i -> i % 2 == 0 ? a : b, List.of(a, b));
  }
}
