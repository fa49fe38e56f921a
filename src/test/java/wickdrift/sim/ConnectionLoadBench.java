package wickdrift.sim;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import wickdrift.protocol.Document;
import wickdrift.transport.HttpClient;

/**
 * Measures how a real controller serves others while one client holds unfinished requests and
 * renews each that is closed. Not part of CI.
 *
 * <p>Arguments: the jar, a folder for settings and logs, the seconds of each measurement, then for
 * each a kind of {@link UnfinishedRequests} and a number of connections, as in {@code BODY:200}.
 */
public final class ConnectionLoadBench {
  private static final String NODE = "n0";
  private static final int TIMEOUT_MS = 5000;
  private static final long GOAL_MS = 1000;
  private static final long REQUEST_INTERVAL_MS = 50;
  private static final long START_MS = 12_000;

  private final LoopbackStage stage;
  private final RequestProbe probe;
  private final Histogram probeMs = new ConcurrentHistogram(60_000, 3);
  private final Histogram submissionMs = new ConcurrentHistogram(60_000, 3);
  private int failures;
  private int nextJob;

  private ConnectionLoadBench(LoopbackStage stage) {
    this.stage = stage;
    this.probe = new RequestProbe(stage.addressOf(NODE), TIMEOUT_MS);
  }

  private void measure(UnfinishedRequests.Kind kind, int connections, long seconds)
      throws Exception {
    probeMs.reset();
    submissionMs.reset();
    failures = 0;
    int lostBefore = stage.callOnLoop(stage.world::killedByLease);
    long viewsBefore = viewChanges();
    try (UnfinishedRequests load =
        new UnfinishedRequests(stage.addressOf(NODE), kind, connections)) {
      long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
      while (System.nanoTime() < endNs) {
        time("GET", "/up", new byte[0], probeMs);
        Map<String, Object> job = SimJobs.job(nextJob++, "batch", 1, 1, 2);
        byte[] body = stage.callOnLoop(() -> stage.world.users.registerSpec(job));
        time("POST", "/api/jobs", body, submissionMs);
        TimeUnit.MILLISECONDS.sleep(REQUEST_INTERVAL_MS);
      }
      System.out.printf(
          "%s %d: /up p50 %d p99 %d max %d ms, submissions p50 %d p99 %d max %d ms of %d,"
              + " not answered or later than 1 s %d, opened %d, leases lost %d, view changes %d%n",
          kind,
          connections,
          probeMs.getValueAtPercentile(50),
          probeMs.getValueAtPercentile(99),
          probeMs.getMaxValue(),
          submissionMs.getValueAtPercentile(50),
          submissionMs.getValueAtPercentile(99),
          submissionMs.getMaxValue(),
          submissionMs.getTotalCount(),
          failures,
          load.openedCount(),
          stage.callOnLoop(stage.world::killedByLease) - lostBefore,
          viewChanges() - viewsBefore);
    }
  }

  private void time(String method, String path, byte[] body, Histogram histogram) {
    long startNs = System.nanoTime();
    int status = probe.request(method, path, body);
    long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    histogram.recordValue(ms);
    failures += status / 100 != 2 || ms > GOAL_MS ? 1 : 0;
  }

  private long viewChanges() throws Exception {
    long count = 0;
    for (String node : stage.world.nodes) {
      try (var lines = Files.lines(stage.logFile(node))) {
        count += lines.filter(line -> line.contains("view changed")).count();
      }
    }
    return count;
  }

  /** Prints the controller's own figures of its event loop and its memory. */
  private void printMetrics() throws Exception {
    var done = new java.util.concurrent.CompletableFuture<byte[]>();
    stage.loop.execute(
        () ->
            new HttpClient(stage.loop.group(), 1, java.util.Set.of())
                .call(
                    "127.0.0.1:" + stage.addressOf(NODE).getPort(),
                    "GET",
                    "/metrics",
                    null,
                    TIMEOUT_MS,
                    answer -> done.complete(answer.body())));
    Document metrics = Document.parse(done.get(TIMEOUT_MS, TimeUnit.MILLISECONDS));
    List<String> shown = new ArrayList<>();
    for (Map.Entry<String, Object> entry : metrics.fieldsExcept().entrySet()) {
      if (entry.getKey().contains(".loop.")) {
        shown.add(entry.getKey() + "=" + metrics.raw(entry.getKey()));
      }
    }
    System.out.println(shown);
  }

  /** Runs the measurements one after the other. */
  public static void main(String[] args) throws Exception {
    Path jar = Path.of(args[0]).toAbsolutePath();
    SimSetup setup = new SimSetup(71, 10, 10).controllers("aab").plainMessages();
    try (LoopbackStage stage = new LoopbackStage(setup, Path.of(args[1]))) {
      stage.awaitPorts();
      for (String node : stage.world.nodes) {
        Files.deleteIfExists(stage.logFile(node));
        stage.start(node, jar);
      }
      TimeUnit.MILLISECONDS.sleep(START_MS);
      ConnectionLoadBench bench = new ConnectionLoadBench(stage);
      for (int i = 3; i < args.length; i++) {
        String[] kindAndCount = args[i].split(":");
        bench.measure(
            UnfinishedRequests.Kind.valueOf(kindAndCount[0]),
            Integer.parseInt(kindAndCount[1]),
            Long.parseLong(args[2]));
        bench.printMetrics();
      }
    }
    System.exit(0);
  }
}
