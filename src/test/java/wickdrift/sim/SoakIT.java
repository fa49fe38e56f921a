package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Short soaks of the built jar with fixed seeds. {@link SoakCommand} runs more and longer ones. */
class SoakIT {
  private static final Path JAR = Path.of("target", "wickdrift.jar");
  private static final int WORKERS = 14;
  private static final long FAULTS_MS = 20_000;

  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void invariantsHoldInAShortSoak(long seed) throws Exception {
    Path folder = Path.of("target", "soak-it", "seed-" + seed);
    SoakResult result = new SoakRun(seed, JAR, folder, WORKERS, FAULTS_MS).run();
    System.out.println(result.summaryLine());
    assertEquals(List.of(), result.reasons());
    assertEquals(SoakResult.Outcome.PASSED, result.outcome());
  }
}
