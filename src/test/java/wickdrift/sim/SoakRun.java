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
 * Runs one soak: real controller processes with simulated workers, users, cloud and state service,
 * and the faults of a {@link SoakPlan}. Invariants are checked from outside, on what workers and
 * users observe with one monotonic clock. Violations that the controllers log fail the run too.
 */
final class SoakRun {
  /**
   * Short enough for leases and cancellations to expire within a run. It exceeds one or two reports
   * without an answer, because otherwise the worker's session would change all the time and would
   * make every late message invalid.
   */
  private static final double WORKER_LEASE_S = 12;

  private static final double REPORT_INTERVAL_S = 1.5;
  private static final double CANCELLATION_LIMIT_S = 28;

  private static final double VISION_TEAM_GPUS = 16;
  private static final double SOUND_TEAM_GPUS = 8;
  private static final int MIN_WORKERS_FOR_SCALED_LIMITS = 100;

  private static final long WARM_UP_MS = 7000;

  /** Covers the time within which every request must be answered and a job that fits must start. */
  private static final long SETTLE_TIMEOUT_MS = 95_000;

  private static final long POLL_INTERVAL_MS = 250;

  /** After a longer stall of the stand-ins, timing violations may come from the harness. */
  private static final long MAX_HARNESS_STALL_MS = 1500;

  private static final int MIN_TASK_STARTS = 15;
  private static final int MAX_HISTORY_LINES = 80;
  private static final long MIN_MESSAGE_DELAY_MS = 1500;
  private static final long MAX_MESSAGE_DELAY_MS = 20_000;
  private static final String VIOLATION = "invariant violated";

  private final long seed;
  private final Path jar;
  private final Path folder;
  private final int workers;
  private final SoakPlan plan;
  private int startedFaults;

  /**
   * @param workers the number of workers at the start
   */
  SoakRun(long seed, Path jar, Path folder, int workers, long spanMs) {
    this.seed = seed;
    this.jar = jar;
    this.folder = folder;
    this.workers = workers;
    this.plan = SoakPlan.of(seed, spanMs, (long) (CANCELLATION_LIMIT_S * 1000));
  }

  private SimSetup setup() {
    boolean large = workers >= MIN_WORKERS_FOR_SCALED_LIMITS;
    double scale = large ? workers / 10.0 : 1;
    return new SimSetup(seed, workers, workers + Math.max(4, workers / 2))
        .controllers("aab")
        .withWorkerTiming(WORKER_LEASE_S, REPORT_INTERVAL_S)
        .cancelS(CANCELLATION_LIMIT_S)
        .gpusMax(VISION_TEAM_GPUS * scale)
        .soundGpusMax(SOUND_TEAM_GPUS * scale);
  }

  /** Runs the soak and ends every process that it started. */
  SoakResult run() throws Exception {
    try (LoopbackStage stage = new LoopbackStage(setup(), folder)) {
      SoakNetwork network =
          new SoakNetwork(new Random(seed + 1), MIN_MESSAGE_DELAY_MS, MAX_MESSAGE_DELAY_MS);
      SoakLoad load = new SoakLoad(stage.world, new Random(seed + 2));
      try (SoakScene scene = new SoakScene(stage, network, load, jar)) {
        SoakCommand.closeOnInterrupt(stage);
        return run(stage, network, load, scene);
      }
    }
  }

  private SoakResult run(LoopbackStage stage, SoakNetwork network, SoakLoad load, SoakScene scene)
      throws Exception {
    SimWorld world = stage.world;
    stage.awaitPorts();
    for (String node : world.nodes) {
      stage.start(node, jar);
    }
    TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
    stage.callOnLoop(
        () -> {
          world.net.faultScript = network;
          load.start();
          plan.steps().forEach(step -> schedule(scene, step));
          return null;
        });
    TimeUnit.MILLISECONDS.sleep(plan.spanMs());
    // A fault that is scheduled to end with the span may end slightly later.
    TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    scene.awaitProcessChanges();
    stage.callOnLoop(
        () -> {
          world.rules.faultFreeSinceMs = world.clock.nowMs();
          world.history.add("calm");
          load.close();
          return null;
        });
    List<String> unfinished = awaitJobCompletion(stage, load);
    return evaluate(stage, network, load, scene, unfinished);
  }

  /** Schedules the start and the end of a fault. */
  private void schedule(SoakScene scene, SoakPlan.Step step) {
    Random random = new Random(seed * 31 + step.startMs());
    scene.after(
        step.startMs(),
        () -> {
          scene.world().history.add("FAULT " + step.fault());
          Runnable end = step.fault().begin(scene, random);
          startedFaults++;
          scene.after(
              step.endMs() - step.startMs(),
              () -> {
                scene.world().history.add("over: " + step.fault());
                end.run();
              });
        });
  }

  /**
   * Waits until every accepted job is in a terminal state, or until the timeout.
   *
   * @return the accepted jobs that are not
   */
  private List<String> awaitJobCompletion(LoopbackStage stage, SoakLoad load) throws Exception {
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SETTLE_TIMEOUT_MS);
    List<String> unfinished = stage.callOnLoop(load::unfinished);
    while (!unfinished.isEmpty() && System.nanoTime() < deadlineNs) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
      unfinished = stage.callOnLoop(load::unfinished);
    }
    return unfinished;
  }

  private SoakResult evaluate(
      LoopbackStage stage,
      SoakNetwork network,
      SoakLoad load,
      SoakScene scene,
      List<String> unfinished)
      throws Exception {
    SimWorld world = stage.world;
    List<String> failures = new ArrayList<>(stage.callOnLoop(world::violations));
    if (!unfinished.isEmpty()) {
      failures.add(
          "not in a terminal state "
              + SETTLE_TIMEOUT_MS / 1000
              + " s after the last fault: "
              + unfinished);
    }
    scene.endedNodes().forEach(node -> failures.add(node + " exited by itself"));
    failures.addAll(loggedFailures(stage));
    String figures =
        String.format(
            "faults %d, affected messages %d, kills %d, jobs %d, starts %d, longest stall %d ms",
            startedFaults,
            network.affectedRequests(),
            scene.kills(),
            load.submittedCount(),
            stage.callOnLoop(world::startCount),
            stage.longestStallMs());
    String inconclusiveReason = reasonNotToJudge(stage, scene);
    if (inconclusiveReason != null) {
      List<String> reasons = new ArrayList<>(List.of(inconclusiveReason));
      reasons.addAll(failures);
      return new SoakResult(seed, SoakResult.Outcome.NOT_JUDGED, reasons, figures);
    }
    if (failures.isEmpty()) {
      return new SoakResult(seed, SoakResult.Outcome.PASSED, List.of(), figures);
    }
    printFailure(stage, failures);
    return new SoakResult(seed, SoakResult.Outcome.FAILED, failures, figures);
  }

  /** Returns why the run is inconclusive, or null if it can be judged. */
  private String reasonNotToJudge(LoopbackStage stage, SoakScene scene) throws Exception {
    if (stage.longestStallMs() > MAX_HARNESS_STALL_MS) {
      return "the harness stalled for " + stage.longestStallMs() + " ms";
    }
    if (stage.standInFailure() != null) {
      StackTraceElement[] where = stage.standInFailure().getStackTrace();
      return "a stand-in failed: "
          + stage.standInFailure()
          + " at "
          + (where.length > 0 ? where[0] : "");
    }
    if (scene.processFailure() != null) {
      return scene.processFailure();
    }
    if (startedFaults < plan.steps().size()) {
      return "only " + startedFaults + " of " + plan.steps().size() + " faults started";
    }
    int starts = stage.callOnLoop(stage.world::startCount);
    return starts < MIN_TASK_STARTS ? "only " + starts + " tasks started" : null;
  }

  /** Returns the first two failures that each controller has logged. */
  private static List<String> loggedFailures(LoopbackStage stage) throws IOException {
    List<String> found = new ArrayList<>();
    for (String node : stage.world.nodes) {
      try (Stream<String> lines = Files.lines(stage.logFile(node))) {
        lines
            .filter(line -> line.contains(VIOLATION) || line.contains("action failed"))
            .limit(2)
            .forEach(line -> found.add(node + " logged: " + line));
      }
    }
    return found;
  }

  /** Prints the seed, the violations, the plan, and the events that concern the first violation. */
  private void printFailure(LoopbackStage stage, List<String> failures) throws Exception {
    List<String> searchTerms = new ArrayList<>(List.of("FAULT", "over:", "calm"));
    Matcher job = Pattern.compile("req-\\d+").matcher(failures.get(0));
    if (job.find()) {
      searchTerms.add(job.group());
    }
    List<String> events =
        stage.callOnLoop(
            () -> stage.world.history.eventsMentioning(searchTerms, MAX_HISTORY_LINES));
    StringBuilder text = new StringBuilder();
    text.append("seed ").append(seed).append(" FAILED, logs in ").append(folder).append('\n');
    failures.forEach(line -> text.append("  WRONG ").append(line).append('\n'));
    text.append("faults:\n").append(plan.describe()).append("\nevents:\n");
    events.forEach(event -> text.append("  ").append(event).append('\n'));
    synchronized (System.out) {
      System.out.print(text);
    }
  }
}
