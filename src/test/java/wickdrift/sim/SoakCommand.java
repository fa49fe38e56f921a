package wickdrift.sim;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;

/** Runs soak tests with consecutive seeds and prints how each one ended and a summary. */
@CommandLine.Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Injects random faults into real controller processes over loopback and checks invariants.")
public final class SoakCommand implements Callable<Integer> {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_BAD_INPUT = 2;

  /** Memory of one run: three controllers, and the simulated workers, cloud and state service. */
  private static final long MEMORY_PER_RUN_MB = 3 * 220 + 100;

  private static final long BYTES_PER_MB = 1024 * 1024;

  /** Each worker has a port for each controller and connections with handles at both ends. */
  private static final int FILE_HANDLES_PER_WORKER = 16;

  private static final int FILE_HANDLES_PER_RUN = 200;
  private static final int MAX_WORKERS = 500;

  /** The stages whose processes must be ended on an interrupt. */
  private static final Set<LoopbackStage> OPEN_STAGES = ConcurrentHashMap.newKeySet();

  @CommandLine.Option(
      names = "--jar",
      description = "the service to test; default: ${DEFAULT-VALUE}")
  private Path jar = Path.of("target/wickdrift.jar");

  @CommandLine.Option(names = "--first", description = "the first seed")
  private long firstSeed = 1;

  @CommandLine.Option(names = "--seeds", description = "number of seeds")
  private int seeds = 3;

  @CommandLine.Option(names = "--seconds", description = "duration of the fault phase in seconds")
  private int seconds = 40;

  @CommandLine.Option(names = "--workers", description = "number of workers at the start")
  private int workers = 14;

  @CommandLine.Option(names = "--parallel", description = "number of concurrent runs")
  private int parallel = 1;

  @CommandLine.Option(names = "--logs", description = "folder for settings files and logs")
  private Path logFolder = Path.of("target/soak");

  private final List<SoakResult> results = Collections.synchronizedList(new ArrayList<>());

  /** Registers a stage whose processes are ended if this process is interrupted. */
  static void closeOnInterrupt(LoopbackStage stage) {
    OPEN_STAGES.removeIf(s -> s.loop.group().isShuttingDown());
    OPEN_STAGES.add(stage);
  }

  /** Returns why the soak cannot run with these options on this machine, in one line, or null. */
  private String unmetRequirement() {
    if (!Files.isRegularFile(jar)) {
      return "no jar at " + jar + ": build it first";
    }
    if (seeds < 1 || seconds < 10 || parallel < 1 || workers < 2 || workers > MAX_WORKERS) {
      return "--seeds and --parallel from 1, --seconds from 10, --workers from 2 to " + MAX_WORKERS;
    }
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long neededMb = parallel * MEMORY_PER_RUN_MB;
    if (neededMb > system.getTotalMemorySize() / BYTES_PER_MB / 2) {
      return "too little memory: "
          + neededMb
          + " MB needed, at most half of the machine's may be used";
    }
    long fileHandles =
        (long) parallel * (FILE_HANDLES_PER_RUN + (long) workers * FILE_HANDLES_PER_WORKER);
    if (system instanceof UnixOperatingSystemMXBean unix
        && unix.getMaxFileDescriptorCount() < fileHandles) {
      return "too few file handles: "
          + fileHandles
          + " needed, "
          + unix.getMaxFileDescriptorCount()
          + " allowed";
    }
    return null;
  }

  @Override
  public Integer call() throws Exception {
    String problem = unmetRequirement();
    if (problem != null) {
      System.err.println("soak: " + problem);
      return EXIT_BAD_INPUT;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::closeStages, "interrupted"));
    ExecutorService runs = Executors.newFixedThreadPool(parallel);
    List<Future<SoakResult>> pending = new ArrayList<>();
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      long number = seed;
      pending.add(runs.submit(() -> runSeed(number)));
    }
    for (Future<SoakResult> run : pending) {
      run.get();
    }
    runs.shutdown();
    return printSummary();
  }

  /** Runs the soak of one seed and prints its result. */
  private SoakResult runSeed(long seed) throws Exception {
    Path folder = logFolder.resolve("seed-" + seed);
    SoakResult result = new SoakRun(seed, jar, folder, workers, seconds * 1000L).run();
    results.add(result);
    System.out.println(result.summaryLine());
    return result;
  }

  private long count(SoakResult.Outcome outcome) {
    return results.stream().filter(r -> r.outcome() == outcome).count();
  }

  /** Prints how many runs passed, failed or were not judged, and returns the exit code. */
  private int printSummary() {
    System.out.printf(
        "%d seeds: %d passed, %d failed, %d not judged%n",
        results.size(),
        count(SoakResult.Outcome.PASSED),
        count(SoakResult.Outcome.FAILED),
        count(SoakResult.Outcome.NOT_JUDGED));
    return count(SoakResult.Outcome.PASSED) == results.size() ? 0 : EXIT_FAILED;
  }

  /** Ends all processes; if seeds are left, also prints a summary of the results so far. */
  private void closeStages() {
    boolean early = results.size() < seeds;
    OPEN_STAGES.forEach(LoopbackStage::close);
    if (early) {
      System.out.println("interrupted; judged so far:");
      printSummary();
    }
  }

  /** Runs soak tests; see docs/soak.md. */
  public static void main(String[] args) {
    CommandLine command = new CommandLine(new SoakCommand());
    command.setParameterExceptionHandler(
        (e, arguments) -> {
          System.err.println("soak: " + e.getMessage());
          return EXIT_BAD_INPUT;
        });
    System.exit(command.execute(args));
  }
}
