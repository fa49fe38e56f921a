package wickdrift.sim;

import com.electronwill.nightconfig.toml.TomlParser;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.coordination.Tuning;
import wickdrift.daemon.Controller;
import wickdrift.daemon.Metrics;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.PeerFrame;
import wickdrift.settings.Settings;
import wickdrift.transport.Caller;
import wickdrift.transport.Caller.Response;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * A simulated cluster on a simulated clock: controllers running the production code, and stand-ins
 * for the network, the state service, the cloud, the workers and the users.
 */
public final class SimWorld {
  static final double GPUS_PER_MACHINE = 4;
  static final double CPUS_PER_MACHINE = 32;
  static final double MEMORY_GB_PER_MACHINE = 128;
  static final String STATE_ADDRESS = "10.2.0.1:1";
  static final String CLOUD_ADDRESS = "10.2.0.2:1";
  static final List<String> ZONES = List.of("a", "b");

  final SimClock clock = new SimClock();
  final Random random;
  final SimNetwork net;
  final SimStateService state;
  final SimRules rules;
  final SimUsers users;
  final SimCloud cloud;
  final SimSetup setup;

  /** The specifications of the submitted jobs, which users give to the workers. */
  final Map<String, JobSpec> specs = new HashMap<>();

  final long leaseMs;
  final long reportIntervalMs;
  final long cancelDeadlineMs;

  /** Run commands that a worker refused because another attempt of the task was still running. */
  int refusedRunCommands;

  /** Whether any controller has ever recorded a machine as lost. */
  boolean machineRecordedLost;

  /** Attempts that ended as {@code full}: their machine had no GPUs left. */
  int fullRefusalCount;

  /** The gang attempts in progress, by {@link SimWorker.Task#gangAttemptId()}. */
  final Map<String, SimGang> gangs = new HashMap<>();

  /** The names of the nodes. In the simulated network a node's name is also its address. */
  final List<String> nodes = new ArrayList<>();

  /** Set by tests without controllers, in which no worker could renew its lease. */
  boolean workerLeasesNeverExpire;

  /** The ratio of actual to estimated run time of a batch task, by task name. */
  ToDoubleFunction<String> runTimeFactor = task -> 1;

  /** Maps a worker's address and a node to the address that the worker reports to that node. */
  BinaryOperator<String> addressSeenByNode = (address, node) -> address;

  /** Recent events, from which the cause of a broken rule can be found. */
  final SimHistory history = new SimHistory(clock);

  private final Map<String, NodeProcess> processes = new HashMap<>();

  private int incarnationCount;

  /** A controller process, which can be killed, or paused with its events queued. */
  private static final class NodeProcess {
    boolean alive = true;
    boolean paused;
    String incarnation;
    Controller controller;
    final List<Runnable> pendingTimers = new ArrayList<>();
    final List<Runnable> pendingMessages = new ArrayList<>();

    void runTimer(Runnable action) {
      runOrQueue(action, pendingTimers);
    }

    void receive(Runnable action) {
      runOrQueue(action, pendingMessages);
    }

    private void runOrQueue(Runnable action, List<Runnable> queue) {
      if (alive && paused) {
        queue.add(action);
      } else if (alive) {
        action.run();
      }
    }
  }

  /** Creates a world with three controllers in one zone and the default quota. */
  public SimWorld(long seed, int machinesAtStart, int capacity) {
    this(new SimSetup(seed, machinesAtStart, capacity));
  }

  /** Creates a world with this number of controllers, all in zone {@code a}. */
  public SimWorld(long seed, int machinesAtStart, int capacity, int controllers, double gpusMax) {
    this(seed, machinesAtStart, capacity, "a".repeat(controllers), gpusMax);
  }

  /**
   * Creates a world with controllers in the given zones.
   *
   * @param controllers the zone of each controller, one letter each
   */
  public SimWorld(
      long seed, int machinesAtStart, int capacity, String controllers, double gpusMax) {
    this(new SimSetup(seed, machinesAtStart, capacity).controllers(controllers).gpusMax(gpusMax));
  }

  SimWorld(SimSetup setup) {
    this.setup = setup;
    cancelDeadlineMs = (long) (setup.cancelS() * 1000);
    leaseMs = (long) (setup.leaseS() * 1000);
    reportIntervalMs = (long) (setup.reportS() * 1000);
    for (int i = 0; i < setup.controllers().length(); i++) {
      nodes.add("n" + i);
    }
    random = new Random(setup.seed());
    net = new SimNetwork(clock, random, setup.seed(), setup.variation());
    state = new SimStateService(clock, setup.writeRps());
    state.countFrom(setup.firstRevision());
    state.maxValueBytes = (int) (setup.valueKb() * 1024);
    state.maxTransactionChanges =
        setup.txnOps() > 0 ? setup.txnOps() : Math.max(8, nodes.size() + 1);
    rules = new SimRules(this);
    users = new SimUsers(this);
    cloud = new SimCloud(this, setup.capacity());
    net.listen(STATE_ADDRESS, state);
    net.listen(CLOUD_ADDRESS, cloud);
    cloud.bootAtOnce(setup.machines());
    nodes.forEach(this::startNode);
    observePeriodically();
  }

  private void observePeriodically() {
    clock.after(500, this::observePeriodically);
    rules.check();
    for (NodeProcess process : processes.values()) {
      for (Machine machine : process.controller.tables().machines()) {
        machineRecordedLost |= machine.phase() == Machine.Phase.LOST;
      }
    }
  }

  /** Advances the simulated time and runs everything that falls due. */
  public void run(long ms) {
    clock.runUntil(clock.nowMs() + ms);
  }

  /** Returns the violations of {@link SimRules}, and those found in transactions. */
  public List<String> violations() {
    List<String> violations = new ArrayList<>(rules.violations);
    violations.addAll(state.transactionViolations());
    return violations;
  }

  /**
   * Compares each node's tables with a copy freshly loaded from the state service. All must have
   * derived the same state from the logs, whatever the order in which they read them.
   *
   * @return the two differing states, or null if all nodes that have caught up agree
   */
  public String describeDivergence() {
    int compared = 0;
    String freshDigest = "";
    for (int i = 0; i < 400 && compared < nodes.size(); i++) {
      run(7);
      Tables freshTables = new Tables(nodes, LevelRange.BUILD, () -> {});
      freshTables.load(state.all(), state.revision());
      freshDigest = digest(freshTables);
      for (NodeProcess process : processes.values()) {
        if (process.alive && process.controller.tables().appliedRev() == state.revision()) {
          compared++;
          String nodeDigest = digest(process.controller.tables());
          if (!nodeDigest.equals(freshDigest)) {
            return "node: " + nodeDigest + "\nloaded: " + freshDigest;
          }
        }
      }
    }
    return compared > 0 ? null : "no node caught up";
  }

  /** Renders jobs, tasks and machines as text, for comparing the tables of nodes. */
  static String digest(Tables tables) {
    StringBuilder text = new StringBuilder();
    tables.jobs().stream()
        .sorted(Comparator.comparing(Job::id))
        .forEach(
            job -> {
              text.append(job.id())
                  .append(job.withdrawnByUser() ? " off" : "")
                  .append(' ')
                  .append(job.partition());
              for (int i = 0; i < job.taskCount(); i++) {
                TaskState state = job.task(i);
                text.append(' ').append(state.phase()).append(state.attempt()).append(state.stop());
                text.append(state.isLive() ? state.machine().name() : "");
              }
              text.append('\n');
            });
    for (Machine machine : tables.machines()) {
      if (machine.info() != null) {
        text.append(machine.name())
            .append(machine.info().phase())
            .append(machine.slots().size())
            .append('\n');
      }
    }
    return text.toString();
  }

  /** Kills all controllers and restarts them with another build and other announced limits. */
  void restartAll(LevelRange build, String limitsToml) {
    nextLimitsToml = limitsToml;
    for (String n : nodes) {
      kill(n);
      supportedLevels.put(n, build);
    }
    nodes.forEach(this::startNode);
  }

  // ---- nodes ----

  /** The controllers named in a node's settings, where they are not all of {@link #nodes}. */
  final Map<String, List<String>> configuredNodes = new HashMap<>();

  /** The levels supported by a node's build, where it is not the current build. */
  final Map<String, LevelRange> supportedLevels = new HashMap<>();

  /** Nodes whose build does not know the peer frames about withdrawals and ignores them. */
  final Set<String> nodesIgnoringNewFrames = new HashSet<>();

  /** Delivers a peer frame to a node directly, as if any peer had sent it. */
  void deliverPeerFrame(String node, PeerFrame frame) {
    net.serverAt("peer:" + node).serve("peer", "", "", toBytes(frame.encode()), a -> {});
  }

  /** Returns the header of a frame from one node's running process to another's. */
  FrameHeader peerHeader(String from, String to) {
    return new FrameHeader(
        tables(from).registry().numberOf(from),
        processes.get(from).incarnation,
        tables(from).registry().numberOf(to),
        processes.get(to).incarnation);
  }

  private String zoneOfNode(String node) {
    return "" + setup.controllers().charAt(indexOfNode(node) % setup.controllers().length());
  }

  private static int indexOfNode(String node) {
    return Integer.parseInt(node.substring(1));
  }

  /** Returns the content of a node's settings file. */
  String settingsText(String node, String stateAddress) {
    int self = indexOfNode(node);
    List<String> configuredNames = configuredNodes.getOrDefault(node, nodes);
    StringBuilder text = new StringBuilder("host_name = \"" + node + "\"\n");
    text.append("location = \"").append(zoneOfNode(node)).append("\"\n");
    text.append("serve_on = \"10.0.0.").append(self).append(":1\"\nback = \"10.0.1.").append(self);
    text.append(":1\"\n");
    for (String peer : configuredNames) {
      if (!peer.equals(node)) {
        text.append("[[peers]]\nhost_name = \"").append(peer).append("\"\npeer_addr = \"10.0.1.");
        text.append(indexOfNode(peer))
            .append(":1\"\nlocation = \"")
            .append(zoneOfNode(peer))
            .append("\"\n");
      }
    }
    text.append(
        """
        [endpoints]
        cloud = "10.2.0.2:1"
        state = "%s"
        [cluster]
        nodes = %d
        zones = ["a", "b"]
        [[cluster.teams]]
        name = "vision"
        gpus = 8.0
        gpus_max = %s
        [[cluster.teams]]
        name = "sound"
        gpus_max = %s
        [[cluster.objectives]]
        kind = "wait"
        class = "swift"
        within_s = 1.0
        share = 0.9
        [cluster.workers]
        report_s = %s
        lease_s = %s
        gang_wait_s = 30.0
        gang_peer_s = 5.0
        cancel_s = %s
        [cluster.state]
        rps = 250.0
        write_rps = %s
        value_kb = %s
        txn_ops = %d
        %s
        [cluster.cloud]
        rps = 8.0
        list_lag_s = 2.0
        [cluster.quota]
        fd_limit = 1000
        """
            .formatted(
                stateAddress,
                configuredNames.size(),
                setup.gpusMax(),
                setup.soundGpusMax(),
                setup.reportS(),
                setup.leaseS(),
                setup.cancelS(),
                state.initialMaxWritesPerSecond,
                setup.valueKb(),
                state.initialMaxTransactionChanges(),
                nextLimitsToml));
    return text.toString();
  }

  /**
   * The section of the settings that announces lower limits of the state service; empty if none are
   * announced.
   */
  String nextLimitsToml = "";

  /**
   * Returns the limits of the state service as operator commands use them: the gate of the
   * announced next limits counts as open.
   */
  StateServiceLimits stateServiceLimits() {
    Settings s = parseSettings(nodes.get(0));
    return new StateServiceLimits(s.stateLimits(), s.nextLimits(), () -> true);
  }

  private Settings parseSettings(String node) {
    try {
      return Settings.parse(new TomlParser().parse(settingsText(node, STATE_ADDRESS)));
    } catch (Settings.InvalidSettingsException e) {
      throw new AssertionError(e);
    }
  }

  /** Starts a controller process with new, empty tables. */
  public void startNode(String name) {
    NodeProcess process = new NodeProcess();
    Timers timers =
        new Timers() {
          @Override
          public long nowMs() {
            return clock.nowMs();
          }

          @Override
          public long wallMs() {
            return clock.wallMs();
          }

          @Override
          public void after(long delayMs, Runnable action) {
            clock.after(delayMs, () -> process.runTimer(action));
          }
        };
    Settings settings = parseSettings(name);
    Map<String, Consumer<ByteBuffer>> peers = new HashMap<>();
    for (Settings.Peer peer : settings.peers()) {
      peers.put(
          peer.node(),
          f ->
              net.caller(name, () -> true)
                  .call("peer:" + peer.node(), "", "", toBytes(f), 1000, a -> {}));
    }
    process.incarnation = "inc" + ++incarnationCount;
    process.controller =
        new Controller(
            settings,
            setup.tuning().apply(Tuning.defaults(settings)),
            timers,
            caller(name, process),
            peers,
            process.incarnation,
            new Metrics(),
            supportedLevels.getOrDefault(name, LevelRange.BUILD));
    net.listen(
        "peer:" + name,
        (from, method, path, body, done) -> {
          if (!nodesIgnoringNewFrames.contains(name)
              || body.length < 2
              || body[1] <= PeerFrame.RELAYED_REPLY) {
            process.receive(() -> process.controller.handlePeerFrame(ByteBuffer.wrap(body)));
          }
        });
    net.listen(
        name,
        (from, method, path, body, done) ->
            process.receive(() -> process.controller.handle(exchange(method, path, body, done))));
    processes.put(name, process);
    process.controller.start();
  }

  private Caller caller(String name, NodeProcess process) {
    Caller caller = net.caller(name, () -> process.alive);
    return (address, method, path, body, timeoutMs, done) ->
        caller.call(
            address, method, path, body, timeoutMs, a -> process.receive(() -> done.accept(a)));
  }

  /**
   * Pauses a process while its clocks run on; its open watch is lost. On resume all overdue timers
   * and all messages received meanwhile run at once.
   *
   * @param timersFirst whether the timers run before the messages, or after them
   */
  public void pause(String name, long forMs, boolean timersFirst) {
    NodeProcess process = processes.get(name);
    process.paused = true;
    state.dropWatches(name);
    clock.after(
        forMs,
        () -> {
          process.paused = false;
          List<Runnable> due =
              new ArrayList<>(timersFirst ? process.pendingTimers : process.pendingMessages);
          due.addAll(timersFirst ? process.pendingMessages : process.pendingTimers);
          process.pendingTimers.clear();
          process.pendingMessages.clear();
          for (Runnable action : due) {
            if (process.alive) {
              action.run();
            }
          }
        });
  }

  private static byte[] toBytes(ByteBuffer frame) {
    byte[] bytes = new byte[frame.remaining()];
    frame.duplicate().get(bytes);
    return bytes;
  }

  /** Kills a process without a signal, and starts it again after a while. */
  public void crash(String name, long downMs) {
    kill(name);
    clock.after(downMs, () -> startNode(name));
  }

  /** Kills a process without a signal. It is not started again. */
  public void kill(String name) {
    NodeProcess process = processes.get(name);
    if (process != null) {
      process.alive = false;
    }
    net.close(name);
    net.close("peer:" + name);
  }

  /**
   * Shuts a process down in an orderly way, and starts it again.
   *
   * @param withinMs the time limit of the shutdown
   * @param downMs the time from its end to its next start
   */
  public void restart(String name, long withinMs, long downMs) {
    processes.get(name).controller.shutDown(withinMs, () -> crash(name, downMs));
  }

  /**
   * Starts an orderly shutdown without ending the process afterwards, so that a test can examine
   * the state that the process has reached.
   */
  public void shutDown(String name, long withinMs) {
    processes.get(name).controller.shutDown(withinMs, () -> {});
  }

  /** Returns the tables of a node: the stored state as the node knows it. */
  Tables tables(String node) {
    return processes.get(node).controller.tables();
  }

  boolean isAlive(String node) {
    return processes.containsKey(node) && processes.get(node).alive;
  }

  private static Exchange exchange(
      String method, String path, byte[] body, Consumer<Response> done) {
    return new Exchange() {
      @Override
      public String method() {
        return method;
      }

      @Override
      public String path() {
        return path;
      }

      @Override
      public byte[] body() {
        return body == null ? new byte[0] : body;
      }

      @Override
      public void reply(int status, Object value, int retryAfterS) {
        done.accept(SimStateService.answer(status, value == null ? Map.of() : value));
      }
    };
  }

  /**
   * Cuts a node off from the state service.
   *
   * @param hold whether requests sent meanwhile arrive after the link is healed, or are lost
   */
  public void cutFromState(String node, boolean hold) {
    net.cut(node, STATE_ADDRESS, hold);
  }

  /** Heals the link between a node and the state service. */
  public void healFromState(String node) {
    net.heal(node, STATE_ADDRESS);
  }

  /** Cuts the links between one controller and all workers; its other links keep working. */
  public void cutFromWorkers(String node) {
    workers().forEach(w -> net.cut(node, w.address, false));
  }

  /** Cuts or heals the links between a controller and its peers, in both directions. */
  public void cutFromPeers(String node, boolean cut) {
    for (String n : nodes) {
      if (!n.equals(node)) {
        setCut(node, "peer:" + n, cut);
        setCut(n, "peer:" + node, cut);
      }
    }
  }

  /** Heals the links between a controller and all workers. */
  public void healFromWorkers(String node) {
    workers().forEach(w -> net.heal(node, w.address));
  }

  /**
   * Cuts a node and all workers off from everything else, but not from each other, as when their
   * zone becomes unreachable.
   */
  public void isolate(String node) {
    cutOff(node, w -> true, true);
  }

  /**
   * Cuts a zone, with its only controller and its workers, off from everything else, or heals it.
   */
  public void cutZone(String node, boolean cut) {
    String zone = "" + setup.controllers().charAt(nodes.indexOf(node));
    cutOff(node, w -> w.zone.equals(zone), cut);
  }

  /** Cuts or heals all links between a node with the selected workers and everything else. */
  private void cutOff(String node, Predicate<SimWorker> onSameSide, boolean cut) {
    cutFromPeers(node, cut);
    for (String other : List.of(STATE_ADDRESS, CLOUD_ADDRESS, "user")) {
      setCut(node, other, cut);
    }
    for (SimWorker w : workers()) {
      for (String n : nodes) {
        if (n.equals(node) != onSameSide.test(w)) {
          setCut(n, w.address, cut);
        }
      }
    }
  }

  private void setCut(String a, String b, boolean cut) {
    if (cut) {
      net.cut(a, b, false);
    } else {
      net.heal(a, b);
    }
  }

  /** Returns how many tasks were killed because their worker's lease expired. */
  public int killedByLease() {
    return workers().stream().mapToInt(w -> w.tasksKilledByLease).sum();
  }

  /** Returns the stand-in for the state service. */
  public SimStateService state() {
    return state;
  }

  /** Returns the workers of the machines that are up, sorted by machine name. */
  public List<SimWorker> workers() {
    return cloud.workers();
  }

  /** Cuts the links between a machine and all controllers. */
  public void cutMachine(int i, boolean hold) {
    SimWorker w = workers().get(i % cloud.workers().size());
    nodes.forEach(n -> net.cut(n, w.address, hold));
  }

  /** Heals the links between a machine and all controllers but one. */
  public void healMachine(int i, String unreachableNode) {
    SimWorker w = workers().get(i % cloud.workers().size());
    nodes.stream().filter(n -> !n.equals(unreachableNode)).forEach(n -> net.heal(n, w.address));
  }

  /** Heals the links between all machines and all controllers. */
  public void healMachines() {
    for (SimWorker w : workers()) {
      nodes.forEach(n -> net.heal(n, w.address));
    }
  }

  /** Terminates a machine with all its tasks. It does not come back. */
  public void killMachine(int i) {
    SimWorker w = workers().get(i % cloud.workers().size());
    w.terminate();
  }

  /** Makes a machine hang for a while: nothing on it makes progress or answers. */
  public void hangMachine(int i, long forMs) {
    SimWorker w = workers().get(i % cloud.workers().size());
    w.setHung(true);
    clock.after(forMs, () -> w.setHung(false));
  }

  /** Makes a machine fail every task that starts on it from now on. */
  public void makeTasksFailOn(int i) {
    workers().get(i % cloud.workers().size()).failsEveryTask = true;
  }

  /** Returns the last phase of a job that a user was told, or null. */
  public String lastReportedPhase(String id) {
    return rules.lastReportedPhase(id);
  }

  /** Returns the epoch of the view that a node knows. */
  public long epoch(String node) {
    return processes.get(node).controller.tables().view().epoch();
  }

  /**
   * Returns the node whose partition a machine of that name in zone {@code a} belongs to, as a node
   * knows it.
   */
  public String ownerOf(String node, String machine) {
    return processes.get(node).controller.tables().view().owner(machine, "a");
  }

  /**
   * Sends a report of a machine without tasks to a node.
   *
   * @param epoch the token in the form in which it is encoded
   * @return an array of one element, which is set when the answer arrives
   */
  public Response[] sendReport(String node, String machine, Number epoch) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("host", machine);
    fields.put("address", "10.1.9.9:1");
    fields.put("flavour", "g4");
    fields.put("region", "a");
    fields.put("tenure", 1);
    fields.put("tick", 1);
    fields.put("epoch", epoch);
    fields.put("shards", List.of());
    Response[] answer = new Response[1];
    net.caller("10.1.9.9:1", () -> true)
        .call(node, "POST", "/hello", MessageCodec.encode(fields), 4000, a -> answer[0] = a);
    return answer;
  }

  /** Returns how many of a job's tasks are placed, as a node knows it. */
  public int placedTaskCount(String node, String id) {
    Job job = processes.get(node).controller.tables().job(id);
    return job == null ? 0 : job.liveCount();
  }

  /** Returns the zone in which a task runs, or null if it does not run. */
  public String zoneOf(String task) {
    return rules.zoneOf(task);
  }

  /** Returns the current value of one of a node's metrics. */
  public double metric(String node, String name) {
    try {
      Response[] answer = new Response[1];
      processes.get(node).controller.handle(exchange("GET", "/metrics", null, a -> answer[0] = a));
      Object value = Document.parse(answer[0].body()).raw(name + ".VALUE");
      return ((Number) value).doubleValue();
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  /** Returns the sum of a metric over all nodes. */
  public double metricSum(String name) {
    return nodes.stream().mapToDouble(n -> metric(n, name)).sum();
  }

  /** Returns how many attempts of tasks have started. */
  public int startCount() {
    return rules.startCount;
  }

  /** Returns whether a task runs on any machine. */
  public boolean isRunning(String task) {
    return rules.isRunning(task);
  }
}
