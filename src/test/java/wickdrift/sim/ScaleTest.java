package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * The cost of a placement and the memory of a process at fleet sizes beyond any deployment. Costs
 * are counted, not timed, so that they do not depend on the machine that runs the test.
 */
class ScaleTest {
  /** What a placed task costs on average, measured after all machines are recorded. */
  private record Cost(
      double examinedEntries,
      double requests,
      double commits,
      double bytesWritten,
      double bytesRead) {
    @Override
    public String toString() {
      return String.format(
          "per task: capacity entries %.1f, requests %.2f, commits %.2f, written %.0f B, read %.0f B",
          examinedEntries, requests, commits, bytesWritten, bytesRead);
    }
  }

  /** Runs the same jobs on a fleet of this size. */
  private static Cost costPerTask(int machines) {
    SimWorld world =
        new SimWorld(
            new SimSetup(101, machines, machines)
                .controllers("aabba")
                .gpusMax(100_000)
                .defaultTuning());
    world.run(60_000);
    world.users.submitMixedJobs(101, 9);
    SimStateService state = world.state();
    double examinedBefore = world.metricSum("wickdrift.rooms.looked");
    double placedBefore = world.metricSum("wickdrift.tasks.placed");
    int requestsBefore = state.requestCount();
    int commitsBefore = state.commitCount();
    long writtenBefore = state.bytesWritten();
    long readBefore = state.bytesRead();
    world.run(40_000);
    assertEquals(List.of(), world.violations());
    assertTrue(world.startCount() >= 1300, "started " + world.startCount());
    double tasks = world.metricSum("wickdrift.tasks.placed") - placedBefore;
    return new Cost(
        (world.metricSum("wickdrift.rooms.looked") - examinedBefore) / tasks,
        (state.requestCount() - requestsBefore) / tasks,
        (state.commitCount() - commitsBefore) / tasks,
        (state.bytesWritten() - writtenBefore) / tasks,
        (state.bytesRead() - readBefore) / tasks);
  }

  /**
   * With the same work on up to eight times as many machines, no cost per task may grow by half or
   * more. The examined capacity entries may grow by 20 beyond that.
   */
  @Test
  void costPerTaskDoesNotGrowWithTheFleet() {
    Cost smallFleet = costPerTask(1000);
    for (int machines : new int[] {4000, 8000}) {
      Cost largeFleet = costPerTask(machines);
      String comparison = "1000: " + smallFleet + "; " + machines + ": " + largeFleet;
      System.out.println(comparison);
      assertTrue(largeFleet.examinedEntries < 1.5 * smallFleet.examinedEntries + 20, comparison);
      assertTrue(largeFleet.requests < 1.5 * smallFleet.requests, comparison);
      assertTrue(largeFleet.commits < 1.5 * smallFleet.commits, comparison);
      assertTrue(largeFleet.bytesWritten < 1.5 * smallFleet.bytesWritten, comparison);
      assertTrue(largeFleet.bytesRead < 1.5 * smallFleet.bytesRead, comparison);
    }
  }

  /** A process with the heap size that the service is started with loads the largest fleet. */
  @Test
  void eightThousandMachinesAndAHundredThousandTasksFitTheConfiguredHeap() throws Exception {
    String out = runLoadedProcess("-Xmx" + configuredHeap(), "8000", "100000");
    assertTrue(out.contains("held"), out);
  }

  /** Returns the heap size that deploy/service.toml configures, such as 112m. */
  private static String configuredHeap() throws IOException {
    Matcher m =
        Pattern.compile("-Xmx(\\d+m)").matcher(Files.readString(Path.of("deploy/service.toml")));
    assertTrue(m.find());
    return m.group(1);
  }

  /** Loads a fleet in a process of its own, which must exit with 0, and returns its output. */
  private static String runLoadedProcess(String heap, String machines, String tasks)
      throws Exception {
    Process p =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                heap,
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                TableMemoryProbe.class.getName(),
                machines,
                tasks)
            .redirectErrorStream(true)
            .start();
    String out = new String(p.getInputStream().readAllBytes());
    assertEquals(0, p.waitFor(), out);
    return out;
  }
}
