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

/** What the faults of a soak act on: the stand-ins, their links, and the real processes. */
final class SoakScene implements AutoCloseable {
  private static final double MAX_AFFECTED_WORKERS_RATIO = 0.4;
  private static final long CLOSE_TIMEOUT_S = 10;

  private final LoopbackStage stage;
  private final SoakNetwork network;
  private final SoakLoad load;
  private final Path jar;

  /** Signals and starts block: never on the loop of the stand-ins. */
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

  SimWorld world() {
    return stage.world;
  }

  void after(long ms, Runnable action) {
    world().clock.after(ms, action);
  }

  int kills() {
    return kills;
  }

  /** Why a process could not be handled as planned, or null. */
  String processFailure() {
    return processFailure;
  }

  String anyNode(Random random) {
    List<String> nodes = world().nodes;
    return nodes.get(random.nextInt(nodes.size()));
  }

  /** The leader, as the state service has it. */
  String leader() {
    View view = stage.stored().view();
    return view == null ? world().nodes.get(0) : view.leader();
  }

  /** One worker at least, and no more than a share of them. */
  List<SimWorker> someWorkers(Random random) {
    List<SimWorker> all = new ArrayList<>(world().workers());
    Collections.shuffle(all, random);
    int most = Math.max(1, (int) (all.size() * MAX_AFFECTED_WORKERS_RATIO));
    return List.copyOf(all.subList(0, 1 + random.nextInt(most)));
  }

  /** Puts a rule of the network in force; what is returned takes it back. */
  Runnable addRule(SoakNetwork.Filter filter, double probability, SimNet.Fate fate) {
    SoakNetwork.Rule rule = new SoakNetwork.Rule(filter, probability, fate);
    network.add(rule);
    return () -> network.remove(rule);
  }

  /** The links between a controller and its peers. */
  void setPeerLinks(String node, boolean out, boolean in, TcpProxy.Mode mode) {
    for (String other : world().nodes) {
      if (!other.equals(node) && out) {
        stage.peerLink(node, other, mode);
      }
      if (!other.equals(node) && in) {
        stage.peerLink(other, node, mode);
      }
    }
  }

  /** Cancels jobs that run, and tells which workers have tasks of theirs. */
  List<SimWorker> cancelRunning(int jobs, Random random) {
    return load.cancelRunning(jobs, random);
  }

  // ---- processes ----

  /** Ends a process with no signal; it is started again so long after its end. */
  void killAndRestart(String node, long downtimeMs) {
    if (processExecutor.isShutdown()) {
      // A series of kills that would go on after the last fault's end.
      return;
    }
    kills++;
    processExecutor.execute(
        () ->
            recordFailure(
                () -> {
                  stage.process(node).end(false);
                  TimeUnit.MILLISECONDS.sleep(downtimeMs);
                  stage.start(node, jar);
                }));
  }

  /** Stops a process, or lets it go on. */
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

  /** Nodes whose process has ended by itself. */
  List<String> endedNodes() {
    return world().nodes.stream().filter(node -> !stage.process(node).alive()).toList();
  }

  private interface ProcessStep {
    void run() throws Exception;
  }

  private void recordFailure(ProcessStep step) {
    try {
      step.run();
    } catch (Exception e) {
      processFailure = e.toString();
    }
  }

  /** Waits until what was begun with processes is done. */
  void awaitProcessChanges() throws InterruptedException {
    processExecutor.shutdown();
    if (!processExecutor.awaitTermination(CLOSE_TIMEOUT_S, TimeUnit.SECONDS)) {
      processFailure = "processes could not be handled in time";
    }
  }

  @Override
  public void close() {
    processExecutor.shutdownNow();
  }
}
