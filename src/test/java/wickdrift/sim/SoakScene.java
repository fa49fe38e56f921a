package wickdrift.sim;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import wickdrift.bookkeeping.View;

/** What the faults of a soak act on: the stand-ins, the links, and the real processes. */
final class SoakScene implements AutoCloseable {
  private static final double MAX_AFFECTED_WORKERS_RATIO = 0.4;
  private static final long CLOSE_TIMEOUT_S = 10;

  private final LoopbackStage stage;
  private final SoakNetwork network;
  private final SoakLoad load;
  private final Path jar;

  /** Signals and process starts block, so they never run on the event loop of the stand-ins. */
  private final ExecutorService processExecutor = Executors.newSingleThreadExecutor();

  private final Set<String> paused = new HashSet<>();
  private String processFailure;
  private int kills;

  SoakScene(LoopbackStage stage, SoakNetwork network, SoakLoad load, Path jar) {
    this.stage = stage;
    this.network = network;
    this.load = load;
    this.jar = jar;
  }

  /** Returns the stand-ins of the soak. */
  SimWorld world() {
    return stage.world;
  }

  void after(long ms, Runnable action) {
    world().clock.after(ms, action);
  }

  /** Returns how many times a controller was killed. */
  int kills() {
    return kills;
  }

  /** Returns why a process could not be started, paused or ended as planned, or null. */
  String processFailure() {
    return processFailure;
  }

  String anyNode(Random random) {
    List<String> nodes = world().nodes;
    return nodes.get(random.nextInt(nodes.size()));
  }

  /** Returns the leader in the stored view, or the first node if no view is stored. */
  String leader() {
    View view = stage.loadStoredTables().view();
    return view == null ? world().nodes.get(0) : view.leader();
  }

  /** Returns a random set of at least one worker and at most a fixed ratio of them. */
  List<SimWorker> someWorkers(Random random) {
    List<SimWorker> all = new ArrayList<>(world().workers());
    Collections.shuffle(all, random);
    int most = Math.max(1, (int) (all.size() * MAX_AFFECTED_WORKERS_RATIO));
    return List.copyOf(all.subList(0, 1 + random.nextInt(most)));
  }

  /** Adds a rule to the network and returns the action that removes it. */
  Runnable addRule(SoakNetwork.Filter filter, double probability, SimNetwork.RequestOutcome fate) {
    SoakNetwork.Rule rule = new SoakNetwork.Rule(filter, probability, fate);
    network.add(rule);
    return () -> network.remove(rule);
  }

  /** Sets the mode of the links from a controller to its peers, from its peers to it, or both. */
  void setPeerLinks(String node, boolean out, boolean in, TcpProxy.Mode mode) {
    for (String other : world().nodes) {
      if (!other.equals(node) && out) {
        stage.setPeerLinkMode(node, other, mode);
      }
      if (!other.equals(node) && in) {
        stage.setPeerLinkMode(other, node, mode);
      }
    }
  }

  /**
   * Withdraws up to {@code jobs} running jobs and returns the workers that have their first tasks.
   */
  List<SimWorker> cancelRunning(int jobs, Random random) {
    return load.cancelRunning(jobs, random);
  }

  // ---- processes ----

  /** Kills a process without a graceful shutdown and starts it again after the downtime. */
  void killAndRestart(String node, long downtimeMs) {
    if (processExecutor.isShutdown()) {
      // A series of kills must not continue after the last fault has ended.
      return;
    }
    kills++;
    processExecutor.execute(
        () ->
            recordFailure(
                () -> {
                  stage.process(node).stop(false);
                  TimeUnit.MILLISECONDS.sleep(downtimeMs);
                  stage.start(node, jar);
                }));
  }

  /** Pauses or resumes a process. */
  void setPaused(String node, boolean pause) {
    boolean change = pause ? paused.add(node) : paused.remove(node);
    if (change) {
      processExecutor.execute(
          () ->
              recordFailure(
                  () -> {
                    if (pause) {
                      stage.process(node).pause();
                    } else {
                      stage.process(node).resume();
                    }
                  }));
    }
  }

  /** Returns the nodes whose process is not running. */
  List<String> endedNodes() {
    return world().nodes.stream().filter(node -> !stage.process(node).isAlive()).toList();
  }

  /** A change to a process, which may fail. */
  private interface ProcessStep {
    void run() throws Exception;
  }

  /** Runs a step and records its failure. */
  private void recordFailure(ProcessStep step) {
    try {
      step.run();
    } catch (Exception e) {
      processFailure = e.toString();
    }
  }

  /** Waits until all changes to processes that were requested are done; accepts no more. */
  void awaitProcessChanges() throws InterruptedException {
    processExecutor.shutdown();
    if (!processExecutor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)) {
      processFailure = "process changes did not finish in time";
    }
  }

  @Override
  public void close() {
    processExecutor.shutdownNow();
  }
}
