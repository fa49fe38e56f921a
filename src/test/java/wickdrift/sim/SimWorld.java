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
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.PeerFrame;
import wickdrift.settings.Settings;
import wickdrift.transport.Caller;
import wickdrift.transport.Caller.Answer;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** Three controllers with stand-ins for all they deal with, on a simulated clock. */
public final class SimWorld {
  static final double GPUS_PER_MACHINE = 4;
  static final double CPUS_PER_MACHINE = 32;
  static final double MEMORY_GB_PER_MACHINE = 128;
  static final String STATE = "10.2.0.1:1";
  static final String CLOUD = "10.2.0.2:1";
  static final List<String> ZONES = List.of("a", "b");

  final SimClock clock = new SimClock();
  final Random random;
  final SimNet net;
  final SimState state;
  final SimRules rules;
  final SimUsers users;
  final SimCloud cloud;
  final SimSetup setup;
  final Map<String, JobSpec> specs = new HashMap<>();
  final long leaseMs;
  final long reportIntervalMs;
  final long cancelDeadlineMs;
  int refusedRunCommands;

  /** Whether a machine was ever recorded as silent. */
  boolean lost;

  int full;
  final Map<String, SimGang> gangs = new HashMap<>();

  /** The addresses of the nodes; here a node's address is its name. */
  final List<String> nodes = new ArrayList<>();

  /** For tests that have no controllers. */
  boolean workerLeasesNeverExpire;

  /** How much longer than its job says a task of an array runs, by its name. */
  ToDoubleFunction<String> pace = task -> 1;

  /** What a worker of that address says to a node that its address is. */
  BinaryOperator<String> addressSeenByNode = (address, node) -> address;

  /** What happened, for whoever looks for the cause of a broken rule. */
  final SimHistory history = new SimHistory(clock);

  private final Map<String, NodeProcess> processes = new HashMap<>();

  private int incarnationCount;

  private static final class NodeProcess {
    boolean alive = true;
    boolean frozen;
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
      if (alive && frozen) {
        queue.add(action);
      } else if (alive) {
        action.run();
      }
    }
  }

  public SimWorld(long seed, int machinesAtStart, int capacity) {
    this(new SimSetup(seed, machinesAtStart, capacity));
  }

  public SimWorld(long seed, int machinesAtStart, int capacity, int controllers, double gpusMax) {
    this(seed, machinesAtStart, capacity, "a".repeat(controllers), gpusMax);
  }

  /**
   * @param controllers the zone of each, a letter
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
    net = new SimNet(clock, random);
    state = new SimState(clock, setup.writeRps());
    state.maxTransactionChanges =
        setup.txnOps() > 0 ? setup.txnOps() : Math.max(8, nodes.size() + 1);
    rules = new SimRules(this);
    users = new SimUsers(this);
    cloud = new SimCloud(this, setup.capacity());
    net.listen(STATE, state);
    net.listen(CLOUD, cloud);
    cloud.bootAtOnce(setup.machines());
    nodes.forEach(this::startNode);
    observePeriodically();
  }

  private void observePeriodically() {
    clock.after(500, this::observePeriodically);
    rules.check();
    for (NodeProcess n : processes.values()) {
      for (Machine m : n.controller.tables().machines()) {
        lost |= m.phase() == Machine.Phase.LOST;
      }
    }
  }

  public void run(long ms) {
    clock.runUntil(clock.nowMs() + ms);
  }

  /** The rules that were broken, and the transactions that lacked a condition. */
  public List<String> broken() {
    List<String> violations = new ArrayList<>(rules.violations);
    violations.addAll(state.transactionViolations());
    return violations;
  }

  /**
   * Compares what each node holds with a copy loaded anew: all must have drawn the same from the
   * logs, whatever the order in which they read them. Null when they agree.
   */
  public String diverged() {
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
            return "held: " + nodeDigest + "\nloaded: " + freshDigest;
          }
        }
      }
    }
    return compared > 0 ? null : "no node caught up";
  }

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

  /** What ended controllers' settings and builds are changed before they start. */
  void restartAll(LevelRange build, String limitsToml) {
    nextLimitsToml = limitsToml;
    for (String n : nodes) {
      kill(n);
      levels.put(n, build);
    }
    nodes.forEach(this::startNode);
  }

  // ---- nodes ----

  /** The controllers that a node's settings name, where those are not all of {@link #nodes}. */
  final Map<String, List<String>> lists = new HashMap<>();

  /** The levels that a node's build speaks, where it is not this one. */
  final Map<String, LevelRange> levels = new HashMap<>();

  /** Nodes whose build does not know the frames about withdrawals, and passes them over. */
  final Set<String> oldFrames = new HashSet<>();

  /** A frame arrives at a node, whoever sent it. */
  void frame(String node, PeerFrame frame) {
    net.at("peer:" + node).serve("peer", "", "", toBytes(frame.encode()), a -> {});
  }

  private String zoneOfNode(String node) {
    return "" + setup.controllers().charAt(indexOfNode(node) % setup.controllers().length());
  }

  private static int indexOfNode(String node) {
    return Integer.parseInt(node.substring(1));
  }

  /** The settings file of a node, in the platform's format. */
  String settingsText(String node, String stateAddress) {
    int self = indexOfNode(node);
    List<String> names = lists.getOrDefault(node, nodes);
    StringBuilder text = new StringBuilder("host_name = \"" + node + "\"\n");
    text.append("location = \"").append(zoneOfNode(node)).append("\"\n");
    text.append("serve_on = \"10.0.0.").append(self).append(":1\"\nback = \"10.0.1.").append(self);
    text.append(":1\"\n");
    for (String peer : names) {
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
        value_kb = 4.0
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
                names.size(),
                setup.gpusMax(),
                setup.soundGpusMax(),
                setup.reportS(),
                setup.leaseS(),
                setup.cancelS(),
                state.initialMaxWritesPerSecond,
                state.initialMaxTransactionChanges(),
                nextLimitsToml));
    return text.toString();
  }

  /** The limits to which the state service falls, as the settings tell them; empty: none. */
  String nextLimitsToml = "";

  /** The limits of the state service as an operator's command has them. */
  StateServiceLimits limits() {
    Settings s = parseSettings(nodes.get(0));
    return new StateServiceLimits(s.stateLimits(), s.nextLimits(), () -> true);
  }

  private Settings parseSettings(String node) {
    try {
      return Settings.parse(new TomlParser().parse(settingsText(node, STATE)));
    } catch (Settings.Invalid e) {
      throw new AssertionError(e);
    }
  }

  /** Starts a controller's process. */
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
    for (Settings.Peer p : settings.peers()) {
      peers.put(
          p.node(),
          f ->
              net.caller(name, () -> true)
                  .call("peer:" + p.node(), "", "", toBytes(f), 1000, a -> {}));
    }
    process.controller =
        new Controller(
            settings,
            setup.tuning().apply(Tuning.defaults(settings)),
            timers,
            caller(name, process),
            peers,
            "inc" + ++incarnationCount,
            new Metrics(),
            levels.getOrDefault(name, LevelRange.BUILD));
    net.listen(
        "peer:" + name,
        (from, m, p, body, done) -> {
          if (!oldFrames.contains(name) || body.length < 2 || body[1] <= PeerFrame.ANSWER) {
            process.receive(() -> process.controller.peerFrame(ByteBuffer.wrap(body)));
          }
        });
    net.listen(
        name,
        (from, m, p, body, done) ->
            process.receive(() -> process.controller.handle(exchange(m, p, body, done))));
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
   * The process stands still while its clocks run on; its connection with the watch is lost. When
   * it wakes, all timers are due at once, and what has arrived waits behind them, or before.
   */
  public void freeze(String name, long forMs, boolean timersFirst) {
    NodeProcess process = processes.get(name);
    process.frozen = true;
    state.dropWatches(name);
    clock.after(
        forMs,
        () -> {
          process.frozen = false;
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

  public void crash(String name, long downMs) {
    kill(name);
    clock.after(downMs, () -> startNode(name));
  }

  /** Ends a process with no signal; nobody starts it again. */
  public void kill(String name) {
    NodeProcess process = processes.get(name);
    if (process != null) {
      process.alive = false;
    }
    net.close(name);
    net.close("peer:" + name);
  }

  /** Tells a process to end, as an operator does; it is started again so long after its end. */
  public void restart(String name, long withinMs, long downMs) {
    processes.get(name).controller.leave(withinMs, () -> crash(name, downMs));
  }

  /** Tells a process to end that then does not: what it is by then matters, not that it is gone. */
  public void leave(String name, long withinMs) {
    processes.get(name).controller.leave(withinMs, () -> {});
  }

  /** A node's tables; what it holds for durable. */
  Tables tables(String node) {
    return processes.get(node).controller.tables();
  }

  boolean alive(String node) {
    return processes.containsKey(node) && processes.get(node).alive;
  }

  private static Exchange exchange(String method, String path, byte[] body, Consumer<Answer> done) {
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
        done.accept(SimState.answer(status, value == null ? Map.of() : value));
      }
    };
  }

  public void cutFromState(String node, boolean hold) {
    net.cut(node, STATE, hold);
  }

  public void healFromState(String node) {
    net.heal(node, STATE);
  }

  /** One controller and all workers can't reach each other; it keeps everything else. */
  public void cutFromWorkers(String node) {
    workers().forEach(w -> net.cut(node, w.address, false));
  }

  /** Frames between a controller and its peers are lost. */
  public void cutFromPeers(String node, boolean cut) {
    for (String n : nodes) {
      if (!n.equals(node)) {
        setCut(node, "peer:" + n, cut);
        setCut(n, "peer:" + node, cut);
      }
    }
  }

  public void healFromWorkers(String node) {
    workers().forEach(w -> net.heal(node, w.address));
  }

  /**
   * Cuts a node and all workers off together, as with their zone: from all else, not each other.
   */
  public void isolate(String node) {
    cutOff(node, w -> true, true);
  }

  /** Cuts a zone off from everything, its one controller and its workers with it, or heals it. */
  public void cutZone(String node, boolean cut) {
    String zone = "" + setup.controllers().charAt(nodes.indexOf(node));
    cutOff(node, w -> w.zone.equals(zone), cut);
  }

  /** Parts a node and the workers with it from all others, or joins them again. */
  private void cutOff(String node, Predicate<SimWorker> onSameSide, boolean cut) {
    cutFromPeers(node, cut);
    for (String other : List.of(STATE, CLOUD, "user")) {
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

  /** How many tasks were killed by their workers' leases. */
  public int killedByLease() {
    return workers().stream().mapToInt(w -> w.tasksKilledByLease).sum();
  }

  public SimState state() {
    return state;
  }

  public List<SimWorker> workers() {
    return cloud.workers();
  }

  public void cutMachine(int i, boolean hold) {
    SimWorker w = workers().get(i % cloud.workers().size());
    nodes.forEach(n -> net.cut(n, w.address, hold));
  }

  /** All controllers but one reach the machine again. */
  public void healMachine(int i, String unreachableNode) {
    SimWorker w = workers().get(i % cloud.workers().size());
    nodes.stream().filter(n -> !n.equals(unreachableNode)).forEach(n -> net.heal(n, w.address));
  }

  public void healMachines() {
    for (SimWorker w : workers()) {
      nodes.forEach(n -> net.heal(n, w.address));
    }
  }

  public void killMachine(int i) {
    SimWorker w = workers().get(i % cloud.workers().size());
    w.die();
  }

  public void hangMachine(int i, long forMs) {
    SimWorker w = workers().get(i % cloud.workers().size());
    w.hang(true);
    clock.after(forMs, () -> w.hang(false));
  }

  public void sicken(int i) {
    workers().get(i % cloud.workers().size()).sick = true;
  }

  public String lastTold(String id) {
    return rules.lastReportedPhase(id);
  }

  public long epoch(String node) {
    return processes.get(node).controller.tables().view().epoch();
  }

  /** Whose part a machine of that name would be in, as a node knows it. */
  public String owner(String node, String machine) {
    return processes.get(node).controller.tables().view().owner(machine, "a");
  }

  /** A report of an empty machine; the answer is in the array once it has come. */
  public Answer[] report(String node, String machine, long epoch) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("host", machine);
    fields.put("address", "10.1.9.9:1");
    fields.put("flavour", "g4");
    fields.put("region", "a");
    fields.put("tenure", 1);
    fields.put("tick", 1);
    fields.put("epoch", epoch);
    fields.put("shards", List.of());
    Answer[] answer = new Answer[1];
    net.caller("10.1.9.9:1", () -> true)
        .call(node, "POST", "/hello", MessageCodec.encode(fields), 4000, a -> answer[0] = a);
    return answer;
  }

  /** How many of a job's tasks are placed, as a node knows it. */
  public int placed(String node, String id) {
    Job job = processes.get(node).controller.tables().job(id);
    return job == null ? 0 : job.liveCount();
  }

  /** Where a task is, or null. */
  public String zoneOf(String task) {
    return rules.zoneOf(task);
  }

  /** A figure of a node's metrics, as they are now. */
  public double metric(String node, String name) {
    try {
      Answer[] answer = new Answer[1];
      processes.get(node).controller.handle(exchange("GET", "/metrics", null, a -> answer[0] = a));
      Object value = Document.parse(answer[0].body()).raw(name + ".VALUE");
      return ((Number) value).doubleValue();
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  /** The same of all nodes together. */
  public double total(String name) {
    return nodes.stream().mapToDouble(n -> metric(n, name)).sum();
  }

  public int starts() {
    return rules.startCount;
  }

  public boolean isOn(String task) {
    return rules.isOn(task);
  }
}
