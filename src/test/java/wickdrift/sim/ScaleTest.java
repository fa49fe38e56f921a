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

/** What a decision, and a process, costs at sizes beyond any deployment: counted, not timed. */
class ScaleTest {
  /** The same work on fleets of several sizes, in a window after all machines are recorded. */
  private record Cost(double looked, double requests, double commits, double written, double read) {
    @Override
    public String toString() {
      return String.format(
          "rooms %.1f, requests %.2f, commits %.2f, written %.0f B, read %.0f B a task",
          looked, requests, commits, written, read);
    }
  }

  private static Cost cost(int machines) {
    SimWorld w =
        new SimWorld(
            new SimSetup(101, machines, machines)
                .controllers("aabba")
                .gpusMax(100_000)
                .defaultTuning());
    w.run(60_000);
    w.users.submitMixed(101, 9);
    SimState s = w.state();
    double looked = w.total("wickdrift.rooms.looked");
    double placed = w.total("wickdrift.tasks.placed");
    int requests = s.requests();
    int commits = s.commits();
    long written = s.written();
    long read = s.read();
    w.run(40_000);
    assertEquals(List.of(), w.broken());
    assertTrue(w.starts() >= 1300, "started " + w.starts());
    double n = w.total("wickdrift.tasks.placed") - placed;
    return new Cost(
        (w.total("wickdrift.rooms.looked") - looked) / n,
        (s.requests() - requests) / n,
        (s.commits() - commits) / n,
        (s.written() - written) / n,
        (s.read() - read) / n);
  }

  /** Eight times as many machines, the same work: nothing of it may cost half as much again. */
  @Test
  void whatATaskCostsDoesNotGrowWithTheFleet() {
    Cost few = cost(1000);
    for (int machines : new int[] {4000, 8000}) {
      Cost many = cost(machines);
      String both = "1000: " + few + "; " + machines + ": " + many;
      System.out.println(both);
      assertTrue(many.looked < 1.5 * few.looked + 20, both);
      assertTrue(many.requests < 1.5 * few.requests, both);
      assertTrue(many.commits < 1.5 * few.commits, both);
      assertTrue(many.written < 1.5 * few.written, both);
      assertTrue(many.read < 1.5 * few.read, both);
    }
  }

  /** A process of the size that the service is started with loads the largest fleet and goes on. */
  @Test
  void eightThousandMachinesAndAHundredThousandTasksFit() throws Exception {
    String out = hold("-Xmx" + heap(), "8000", "100000");
    assertTrue(out.contains("held"), out);
  }

  /** The heap that deploy/service.toml gives. */
  private static String heap() throws IOException {
    Matcher m =
        Pattern.compile("-Xmx(\\d+m)").matcher(Files.readString(Path.of("deploy/service.toml")));
    assertTrue(m.find());
    return m.group(1);
  }

  private static String hold(String heap, String machines, String tasks) throws Exception {
    Process p =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                heap,
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                Hold.class.getName(),
                machines,
                tasks)
            .redirectErrorStream(true)
            .start();
    String out = new String(p.getInputStream().readAllBytes());
    assertEquals(0, p.waitFor(), out);
    return out;
  }
}
