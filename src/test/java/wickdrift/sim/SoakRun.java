package wickdrift.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One soak: real controller processes among stand-ins, users at work, and faults of a plan. It is
 * judged from outside alone, by what workers and users saw with one monotonic clock; what the
 * controllers' own assertions logged fails it too.
 */
final class SoakRun {
  /**
   * Worker times of a soak: short, so that leases and cancellations end within a run; but a lease
   * outlasts a report or two without an answer, or whatever is late is void by its session.
   */
  private static final double LEASE_S = 12;

  private static final double REPORT_S = 1.5;
  private static final double CANCEL_S = 28;

  private static final double TEAM_GPUS = 16;
  private static final double OTHER_TEAM_GPUS = 8;
  private static final int LEAST_WORKERS_FOR_LIMITS = 100;

  private static final long WARM_UP_MS = 7000;

  /**
   * A question about every job must be answered by then, and a job may wait so long beside room.
   */
  private static final long SETTLE_MS = 95_000;

  private static final long STEP_MS = 250;

  /** If the stand-ins stand still for longer, timing faults may be the harness's own. */
  private static final long STALL_MOST_MS = 1500;

  private static final int LEAST_STARTS = 15;
  private static final int HISTORY_LINES = 80;
  private static final long LATE_FROM_MS = 1500;
  private static final long LATE_TO_MS = 20_000;
  private static final String VIOLATION = "invariant violated";

  private final long seed;
  private final Path jar;
  private final Path folder;
  private final int workers;
  private final SoakPlan plan;
  private int begun;

  /**
   * @param workers that are up at the start
   */
  SoakRun(long seed, Path jar, Path folder, int workers, long spanMs) {
    this.seed = seed;
    this.jar = jar;
    this.folder = folder;
    this.workers = workers;
    this.plan = SoakPlan.of(seed, spanMs, (long) (CANCEL_S * 1000));
  }

  private SimSetup setup() {
    boolean large = workers >= LEAST_WORKERS_FOR_LIMITS;
    double scale = large ? workers / 10.0 : 1;
    return new SimSetup(seed, workers, workers + Math.max(4, workers / 2))
        .controllers("aab")
        .workers(LEASE_S, REPORT_S)
        .cancelS(CANCEL_S)
        .gpusMax(TEAM_GPUS * scale)
        .soundGpusMax(OTHER_TEAM_GPUS * scale);
  }

  /** Plays it, and ends every process that it started. */
  SoakResult play() throws Exception {
    try (LoopbackStage stage = new LoopbackStage(setup(), folder)) {
      SoakNetwork network = new SoakNetwork(new Random(seed + 1), LATE_FROM_MS, LATE_TO_MS);
      SoakLoad load = new SoakLoad(stage.world, new Random(seed + 2));
      try (SoakScene scene = new SoakScene(stage, network, load, jar)) {
        SoakCommand.onInterrupt(stage);
        return play(stage, network, load, scene);
      }
    }
  }

  private SoakResult play(LoopbackStage stage, SoakNetwork network, SoakLoad load, SoakScene scene)
      throws Exception {
    SimWorld world = stage.world;
    stage.awaitPorts();
    for (String node : world.nodes) {
      stage.start(node, jar);
    }
    TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
    stage.ask(
        () -> {
          world.net.script = network;
          load.start();
          plan.steps().forEach(step -> schedule(scene, step));
          return null;
        });
    TimeUnit.MILLISECONDS.sleep(plan.spanMs());
    // A fault that ends at the very end of the span is over a moment later.
    TimeUnit.MILLISECONDS.sleep(STEP_MS);
    scene.settleProcesses();
    stage.ask(
        () -> {
          world.rules.calmSinceMs = world.clock.nowMs();
          world.history.add("calm");
          load.close();
          return null;
        });
    List<String> unfinished = settle(stage, load);
    return judge(stage, network, load, scene, unfinished);
  }

  private void schedule(SoakScene scene, SoakPlan.Step step) {
    Random random = new Random(seed * 31 + step.atMs());
    scene.after(
        step.atMs(),
        () -> {
          scene.world().history.add("FAULT " + step.fault());
          Runnable end = step.fault().begin(scene, random);
          begun++;
          scene.after(
              step.endMs() - step.atMs(),
              () -> {
                scene.world().history.add("over: " + step.fault());
                end.run();
              });
        });
  }

  /** Waits until everything accepted is over, or for as long as a question may go unanswered. */
  private List<String> settle(LoopbackStage stage, SoakLoad load) throws Exception {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_MS);
    List<String> unfinished = stage.ask(load::unfinished);
    while (!unfinished.isEmpty() && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(STEP_MS);
      unfinished = stage.ask(load::unfinished);
    }
    return unfinished;
  }

  private SoakResult judge(
      LoopbackStage stage,
      SoakNetwork network,
      SoakLoad load,
      SoakScene scene,
      List<String> unfinished)
      throws Exception {
    SimWorld world = stage.world;
    List<String> wrong = new ArrayList<>(stage.ask(world::broken));
    if (!unfinished.isEmpty()) {
      wrong.add("not over after " + SETTLE_MS / 1000 + " s of calm: " + unfinished);
    }
    scene.ended().forEach(node -> wrong.add(node + " has ended by itself"));
    wrong.addAll(logged(stage));
    String figures =
        String.format(
            "faults %d, messages struck %d, kills %d, jobs %d, starts %d, longest stall %d ms",
            begun,
            network.struck(),
            scene.kills(),
            load.submitted(),
            stage.ask(world::starts),
            stage.longestStallMs());
    String unfit = unfit(stage, scene);
    if (unfit != null) {
      List<String> reasons = new ArrayList<>(List.of(unfit));
      reasons.addAll(wrong);
      return new SoakResult(seed, SoakResult.Outcome.NOT_JUDGED, reasons, figures);
    }
    if (wrong.isEmpty()) {
      return new SoakResult(seed, SoakResult.Outcome.PASSED, List.of(), figures);
    }
    explain(stage, wrong);
    return new SoakResult(seed, SoakResult.Outcome.FAILED, wrong, figures);
  }

  /** Why the run can't be judged, or null. */
  private String unfit(LoopbackStage stage, SoakScene scene) throws Exception {
    if (stage.longestStallMs() > STALL_MOST_MS) {
      return "the harness stood still for " + stage.longestStallMs() + " ms";
    }
    if (stage.failure() != null) {
      StackTraceElement[] where = stage.failure().getStackTrace();
      return "a stand-in failed: " + stage.failure() + " at " + (where.length > 0 ? where[0] : "");
    }
    if (scene.processFailure() != null) {
      return scene.processFailure();
    }
    if (begun < plan.steps().size()) {
      return "only " + begun + " of " + plan.steps().size() + " faults began";
    }
    int starts = stage.ask(stage.world::starts);
    return starts < LEAST_STARTS ? "only " + starts + " tasks started" : null;
  }

  private static List<String> logged(LoopbackStage stage) throws IOException {
    List<String> found = new ArrayList<>();
    for (String node : stage.world.nodes) {
      try (Stream<String> lines = Files.lines(stage.log(node))) {
        lines
            .filter(line -> line.contains(VIOLATION) || line.contains("action failed"))
            .limit(2)
            .forEach(line -> found.add(node + " logged: " + line));
      }
    }
    return found;
  }

  /** Prints the seed, the faults, and the events round what broke. */
  private void explain(LoopbackStage stage, List<String> wrong) throws Exception {
    List<String> words = new ArrayList<>(List.of("FAULT", "over:", "calm"));
    Matcher job = Pattern.compile("req-\\d+").matcher(wrong.get(0));
    if (job.find()) {
      words.add(job.group());
    }
    List<String> events = stage.ask(() -> stage.world.history.mentioning(words, HISTORY_LINES));
    StringBuilder text = new StringBuilder();
    text.append("seed ").append(seed).append(" FAILED, logs in ").append(folder).append('\n');
    wrong.forEach(line -> text.append("  WRONG ").append(line).append('\n'));
    text.append("faults:\n").append(plan.describe()).append("\nevents:\n");
    events.forEach(event -> text.append("  ").append(event).append('\n'));
    synchronized (System.out) {
      System.out.print(text);
    }
  }
}
