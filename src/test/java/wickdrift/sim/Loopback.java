package wickdrift.sim;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.transport.Caller.Response;

/**
 * Tests a rollout with real controller processes of two builds on loopback, against stand-ins for
 * the state service, cloud, workers and users that run in this process in real time. The builds are
 * rolled forward, back and forward again under load, with kills; then the older build is started
 * once more, to check that it stays outside. Not part of CI, because it takes about five minutes.
 * See {@code docs/operations-rollout.md}.
 *
 * <p>Arguments: the older jar, the newer jar, a folder for settings and logs. {@code --same}
 * restarts the newer build only, for comparison.
 */
public final class Loopback {
  private static final int NODES = 3;
  private static final long ROLLOUT_STEP_MS = 9000;

  /** The number of the first job that is part of a chain of dependent jobs. */
  private static final int FIRST_DEPENDENT_JOB = 2000;

  private static final List<String> NODE_NAMES = List.of("n0", "n1", "n2");

  private final LoopbackStage stage;
  private final SimWorld world;
  private final Map<String, Integer> startedReplicas = new HashMap<>();
  private double replicaDownS;
  private double replicaObservedS;
  private int killCount;

  private Loopback(Path dir) throws Exception {
    stage = new LoopbackStage(new SimSetup(7, 10, 30).controllers("aab").plainMessages(), dir);
    world = stage.world;
    world.nextLimitsToml = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 40.0";
    stage.awaitPorts();
  }

  private <T> T callOnLoop(Supplier<T> action) throws Exception {
    return stage.callOnLoop(action);
  }

  // ---- processes ----

  private void start(String node, Path jar) throws Exception {
    stage.start(node, jar);
  }

  private void stop(String node, boolean orderly) throws Exception {
    long startNs = System.nanoTime();
    killCount += orderly ? 0 : 1;
    stage.process(node).stop(orderly);
    print(
        "%s %s after %d ms",
        node, orderly ? "ended" : "killed", (System.nanoTime() - startNs) / 1_000_000);
  }

  private void replace(String node, Path jar, boolean orderly) throws Exception {
    stop(node, orderly);
    start(node, jar);
    sleep(ROLLOUT_STEP_MS);
    print("%s runs %s; level %d", node, jar.getFileName(), level());
  }

  private static void print(String format, Object... arguments) {
    System.out.printf(format + "%n", arguments);
  }

  private void sleep(long ms) throws InterruptedException {
    Thread.sleep(ms);
  }

  private int level() throws Exception {
    return callOnLoop(() -> stage.loadStoredTables().level());
  }

  // ---- load and measurements ----

  private void submitLoad(int jobs, long spanMs) throws Exception {
    callOnLoop(
        () -> {
          for (int i = 0; i < jobs; i++) {
            int number = i;
            String shape = i < 8 ? "daemon" : i % 3 == 0 ? "ensemble" : "batch";
            world.clock.after(
                i < 8 ? 0 : (long) (spanMs * (double) i / jobs),
                () ->
                    world.users.submit(
                        SimJobs.job(number, shape, 1 + number % 3, 1 + number % 2, 2 + number % 12),
                        0));
          }
          observeReplicas();
          return null;
        });
  }

  /**
   * Measures the time for which replicas that had started were down, which a rollout must avoid.
   */
  private void observeReplicas() {
    world.clock.after(250, this::observeReplicas);
    for (int j = 0; j < 8; j++) {
      for (int i = 0; i < 1 + j % 3; i++) {
        String task = String.format("req-%06d/%d", j, i);
        boolean on = world.rules.isRunning(task);
        if (on || startedReplicas.containsKey(task)) {
          startedReplicas.put(task, 1);
          replicaObservedS += 0.25;
          replicaDownS += on ? 0 : 0.25;
        }
      }
    }
  }

  private int requestStatus(String node, String method, String path, byte[] body) throws Exception {
    CompletableFuture<Response> answer = new CompletableFuture<>();
    stage.loop.execute(
        () ->
            world
                .net
                .processCallers
                .get(node)
                .call(node, method, path, body, 3000, answer::complete));
    return answer.get(5, TimeUnit.SECONDS).status();
  }

  private boolean areJobsDone(int jobs) throws Exception {
    for (int i = 8; i < jobs; i++) {
      String id = String.format("req-%06d", i);
      if (!"done".equals(callOnLoop(() -> world.lastReportedPhase(id)))) {
        print("not done: %s is %s", id, callOnLoop(() -> world.lastReportedPhase(id)));
        return false;
      }
    }
    return true;
  }

  private boolean runRollout(Path olderJar, Path newerJar, boolean newerOnly) throws Exception {
    int jobs = 160;
    for (String n : NODE_NAMES) {
      start(n, newerOnly ? newerJar : olderJar);
    }
    sleep(5000);
    submitLoad(jobs, newerOnly ? 60_000 : 150_000);
    sleep(8000);
    List<String> violations = new ArrayList<>();
    if (newerOnly) {
      for (String n : NODE_NAMES) {
        replace(n, newerJar, true);
      }
    } else {
      replace("n0", newerJar, false);
      replace("n2", newerJar, true);
      replace("n2", olderJar, true);
      replace("n0", olderJar, true);
      replace("n1", newerJar, true);
      stop("n2", false);
      start("n2", olderJar);
      sleep(ROLLOUT_STEP_MS);
      replace("n0", newerJar, true);
      if (level() == LevelRange.BUILD.max()) {
        violations.add("the level was upgraded while n2 ran the older build");
      }
      replace("n2", newerJar, false);
      if (level() != LevelRange.BUILD.max()) {
        violations.add("the level was not upgraded");
      }
      lowerLimitsAndSubmitDependentJobs();
      verifyOlderBuildStaysOutside(olderJar, newerJar, violations);
      replace("n1", newerJar, false);
    }
    sleep(30_000);
    for (int i = 0; i < 50 && !areJobsDone(jobs); i++) {
      sleep(5000);
    }
    for (int i = FIRST_DEPENDENT_JOB; !newerOnly && i < FIRST_DEPENDENT_JOB + 12 * 4; i++) {
      String id = String.format("req-%06d", i);
      String wanted = i < FIRST_DEPENDENT_JOB + 4 ? "withdrawn" : "done";
      if (!wanted.equals(callOnLoop(() -> world.lastReportedPhase(id)))) {
        violations.add(
            id
                + " of a chain of dependent jobs is "
                + callOnLoop(() -> world.lastReportedPhase(id)));
      }
    }
    if (!areJobsDone(jobs)) {
      violations.add("a job did not end");
    }
    violations.addAll(callOnLoop(world::violations));
    print(
        "replicas lost %.1f s of %.0f s (%.3f%%); submissions refused %d; tasks killed by leases %d;"
            + " kills %d; starts %d",
        replicaDownS,
        replicaObservedS,
        100 * replicaDownS / replicaObservedS,
        world.users.refusedSubmissions,
        callOnLoop(world::killedByLease),
        killCount,
        world.startCount());
    violations.forEach(w -> print("WRONG: %s", w));
    return violations.isEmpty();
  }

  /**
   * Lowers the limits of the state service to the announced ones, and submits twelve chains of four
   * dependent jobs each; the first chain is withdrawn. Requires that all nodes run the newer build.
   */
  private void lowerLimitsAndSubmitDependentJobs() throws Exception {
    callOnLoop(
        () -> {
          world.state().lowerLimits(2, 4, 40);
          for (int i = 0; i < 12 * 4; i++) {
            String shape = i % 4 == 2 ? "ensemble" : "batch";
            Map<String, Object> job = SimJobs.job(FIRST_DEPENDENT_JOB + i, shape, 1 + i % 3, 1, 3);
            if (i % 4 > 0) {
              SimJobs.addAwaits(job, FIRST_DEPENDENT_JOB + i - 1);
            }
            long withdrawAfterMs = i == 0 ? 500 : 0;
            world.clock.after(
                2500L * (i / 4), () -> world.users.submitAfterDependencies(job, withdrawAfterMs));
          }
          return null;
        });
  }

  /**
   * Starts the older build after the level upgrade, as an operator might by mistake, and checks
   * that it serves no request and does not write its node record.
   */
  private void verifyOlderBuildStaysOutside(Path olderJar, Path newerJar, List<String> violations)
      throws Exception {
    stop("n1", true);
    long[] commitCount = new long[1];
    List<String> writtenKeys = new ArrayList<>();
    callOnLoop(
        () -> {
          world.state().outcomeOf =
              (from, transaction) -> {
                try {
                  for (var change : transaction.documents("then")) {
                    String key = change.textOrNull("write");
                    if (key != null && key.equals("w/m/n1")) {
                      writtenKeys.add(key);
                    }
                  }
                } catch (BadMessage e) {
                  writtenKeys.add("malformed");
                }
                commitCount[0]++;
                return SimStateService.TransactionOutcome.APPLIED;
              };
          return null;
        });
    start("n1", olderJar);
    sleep(12_000);
    byte[] job = callOnLoop(() -> world.users.registerSpec(SimJobs.job(900, "batch", 1, 1, 2)));
    Map<String, Integer> statuses = new TreeMap<>();
    statuses.put("up", requestStatus("n1", "GET", "/up", null));
    statuses.put("submit", requestStatus("n1", "POST", "/api/jobs", job));
    statuses.put("poll", requestStatus("n1", "GET", "/api/jobs/req-000010", null));
    print("the older build after the level upgrade answers %s and wrote %s", statuses, writtenKeys);
    statuses.forEach(
        (what, code) -> {
          if (code != 503) {
            violations.add("the older build answers " + what + " with " + code);
          }
        });
    if (!writtenKeys.isEmpty()) {
      violations.add("the older build wrote " + writtenKeys);
    }
    stop("n1", false);
    start("n1", newerJar);
    sleep(ROLLOUT_STEP_MS);
  }

  /** Runs one rollout with real processes. */
  public static void main(String[] args) throws Exception {
    Path olderJar = Path.of(args[0]).toAbsolutePath();
    Path newerJar = Path.of(args[1]).toAbsolutePath();
    boolean newerOnly = args.length > 3 && args[3].equals("--same");
    Path folder = Files.createDirectories(Path.of(args[2]));
    Loopback rollout = new Loopback(folder);
    boolean passed = false;
    try {
      passed = rollout.runRollout(olderJar, newerJar, newerOnly);
    } finally {
      rollout.stage.close();
    }
    print(passed ? "no rule broken, every accepted job ended once" : "FAILED");
    System.exit(passed ? 0 : 1);
  }
}
