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

/** Plays soaks of many seeds and sums up how each ended. */
@CommandLine.Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = "Random faults on real controller processes over loopback, judged from outside.")
public final class SoakCommand implements Callable<Integer> {
  private static final int FAILED = 1;
  private static final int BAD_INPUT = 2;

  /** Memory of one run: three controllers, and the stand-ins of so many workers. */
  private static final long RUN_MB = 3 * 220 + 100;

  private static final long MB = 1024 * 1024;

  /** Each worker has a port for each controller, and connections at both ends. */
  private static final int FILES_A_WORKER = 16;

  private static final int FILES_A_RUN = 200;
  private static final int MOST_WORKERS = 500;

  /** What an interrupt has to end. */
  private static final Set<LoopbackStage> STAGES = ConcurrentHashMap.newKeySet();

  @CommandLine.Option(names = "--jar", description = "default: ${DEFAULT-VALUE}")
  private Path jar = Path.of("target/wickdrift.jar");

  @CommandLine.Option(names = "--first", description = "the first seed")
  private long first = 1;

  @CommandLine.Option(names = "--seeds", description = "how many seeds")
  private int seeds = 3;

  @CommandLine.Option(names = "--seconds", description = "how long faults last")
  private int seconds = 40;

  @CommandLine.Option(names = "--workers", description = "workers at the start")
  private int workers = 14;

  @CommandLine.Option(names = "--parallel", description = "runs at a time")
  private int parallel = 1;

  @CommandLine.Option(names = "--logs", description = "where settings and logs go")
  private Path logs = Path.of("target/soak");

  private final List<SoakResult> results = Collections.synchronizedList(new ArrayList<>());

  /** An interrupt ends the processes of this stage too. */
  static void onInterrupt(LoopbackStage stage) {
    STAGES.removeIf(s -> s.loop.group().isShuttingDown());
    STAGES.add(stage);
  }

  /** Why it can't be played here, in one line, or null. */
  private String refusal() {
    if (!Files.isRegularFile(jar)) {
      return "no jar at " + jar + ": build it first";
    }
    if (seeds < 1 || seconds < 10 || parallel < 1 || workers < 2 || workers > MOST_WORKERS) {
      return "--seeds and --parallel from 1, --seconds from 10, --workers from 2 to "
          + MOST_WORKERS;
    }
    OperatingSystemMXBean system =
        (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    long needed = parallel * RUN_MB;
    if (needed > system.getTotalMemorySize() / MB / 2) {
      return "too little memory: " + needed + " MB needed, half of the machine's allowed";
    }
    long files = (long) parallel * (FILES_A_RUN + (long) workers * FILES_A_WORKER);
    if (system instanceof UnixOperatingSystemMXBean unix
        && unix.getMaxFileDescriptorCount() < files) {
      return "too few file handles: "
          + files
          + " needed, "
          + unix.getMaxFileDescriptorCount()
          + " allowed";
    }
    return null;
  }

  @Override
  public Integer call() throws Exception {
    String refusal = refusal();
    if (refusal != null) {
      System.err.println("soak: " + refusal);
      return BAD_INPUT;
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::interrupted, "interrupted"));
    ExecutorService runs = Executors.newFixedThreadPool(parallel);
    List<Future<SoakResult>> pending = new ArrayList<>();
    for (long seed = first; seed < first + seeds; seed++) {
      long number = seed;
      pending.add(runs.submit(() -> playOne(number)));
    }
    for (Future<SoakResult> one : pending) {
      one.get();
    }
    runs.shutdown();
    return summary();
  }

  private SoakResult playOne(long seed) throws Exception {
    Path folder = logs.resolve("seed-" + seed);
    SoakResult result = new SoakRun(seed, jar, folder, workers, seconds * 1000L).play();
    results.add(result);
    System.out.println(result.line());
    return result;
  }

  private long count(SoakResult.Outcome outcome) {
    return results.stream().filter(r -> r.outcome() == outcome).count();
  }

  private int summary() {
    System.out.printf(
        "%d seeds: %d passed, %d failed, %d not judged%n",
        results.size(),
        count(SoakResult.Outcome.PASSED),
        count(SoakResult.Outcome.FAILED),
        count(SoakResult.Outcome.NOT_JUDGED));
    return count(SoakResult.Outcome.PASSED) == results.size() ? 0 : FAILED;
  }

  private void interrupted() {
    boolean early = results.size() < seeds;
    STAGES.forEach(LoopbackStage::close);
    if (early) {
      System.out.println("interrupted; judged so far:");
      summary();
    }
  }

  /** Plays soaks; see docs/soak.md. */
  public static void main(String[] args) {
    CommandLine command = new CommandLine(new SoakCommand());
    command.setParameterExceptionHandler(
        (e, arguments) -> {
          System.err.println("soak: " + e.getMessage());
          return BAD_INPUT;
        });
    System.exit(command.execute(args));
  }
}
