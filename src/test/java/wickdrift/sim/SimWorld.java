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
import wickdrift.transport.Caller.Response;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** Three controllers with stand-ins for all they deal with, on a simulated clock. */
public final class SimWorld {
  static final double GPUS = 4;
  static final double CPUS = 32;
  static final double MEMORY_GB = 128;
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
  final long reportMs;
  final long cancelMs;
  int refusals;

  /** Whether a machine was ever recorded as silent. */
  boolean lost;

  int full;
  final Map<String, SimGang> gangs = new HashMap<>();

  /** The addresses of the nodes; here a node's address is its name. */
  final List<String> nodes = new ArrayList<>();

  /** For tests that have no controllers. */
  boolean workersKeepTheirLeases;

  /** How much longer than its job says a task of an array runs, by its name. */
  ToDoubleFunction<String> pace = task -> 1;

  /** What a worker of that address says to a node that its address is. */
  BinaryOperator<String> published = (address, node) -> address;

  /** What happened, for whoever looks for the cause of a broken rule. */
  final SimHistory history = new SimHistory(clock);

  private final Map<String, Node> running = new HashMap<>();

  private int incarnations;

  private static final class Node {
    boolean alive = true;
    boolean frozen;
    Controller controller;
    final List<Runnable> timersDue = new ArrayList<>();
    final List<Runnable> arrived = new ArrayList<>();

    void timer(Runnable r) {
      turn(r, timersDue);
    }

    void message(Runnable r) {
      turn(r, arrived);
    }

    private void turn(Runnable r, List<Runnable> queue) {
      if (alive && frozen) {
        queue.add(r);
      } else if (alive) {
        r.run();
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
    cancelMs = (long) (setup.cancelS() * 1000);
    leaseMs = (long) (setup.leaseS() * 1000);
    reportMs = (long) (setup.reportS() * 1000);
    for (int i = 0; i < setup.controllers().length(); i++) {
      nodes.add("n" + i);
    }
    random = new Random(setup.seed());
    net = new SimNet(clock, random);
    state = new SimState(clock, setup.writeRps());
    state.txnOps = setup.txnOps() > 0 ? setup.txnOps() : Math.max(8, nodes.size() + 1);
    rules = new SimRules(this);
    users = new SimUsers(this);
    cloud = new SimCloud(this, setup.capacity());
    net.listen(STATE, state);
    net.listen(CLOUD, cloud);
    cloud.bootAtOnce(setup.machines());
    nodes.forEach(this::startNode);
    tick();
  }

  private void tick() {
    clock.after(500, this::tick);
    rules.tick();
    for (Node n : running.values()) {
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
    List<String> all = new ArrayList<>(rules.broken);
    all.addAll(state.unfenced());
    return all;
  }

  /**
   * Compares what each node holds with a copy loaded anew: all must have drawn the same from the
   * logs, whatever the order in which they read them. Null when they agree.
   */
  public String diverged() {
    int compared = 0;
    String fresh = "";
    for (int i = 0; i < 400 && compared < nodes.size(); i++) {
      run(7);
      Tables t = new Tables(nodes, LevelRange.BUILD, () -> {});
      t.load(state.all(), state.rev());
      fresh = digest(t);
      for (Node n : running.values()) {
        if (n.alive && n.controller.tables().appliedRev() == state.rev()) {
          compared++;
          String held = digest(n.controller.tables());
          if (!held.equals(fresh)) {
            return "held: " + held + "\nloaded: " + fresh;
          }
        }
      }
    }
    return compared > 0 ? null : "no node caught up";
  }

  static String digest(Tables t) {
    StringBuilder b = new StringBuilder();
    t.jobs().stream()
        .sorted(Comparator.comparing(Job::id))
        .forEach(
            j -> {
              b.append(j.id())
                  .append(j.withdrawnByUser() ? " off" : "")
                  .append(' ')
                  .append(j.partition());
              for (int i = 0; i < j.taskCount(); i++) {
                TaskState s = j.task(i);
                b.append(' ').append(s.phase()).append(s.attempt()).append(s.stop());
                b.append(s.isLive() ? s.machine().name() : "");
              }
              b.append('\n');
            });
    for (Machine m : t.machines()) {
      if (m.info() != null) {
        b.append(m.name()).append(m.info().phase()).append(m.slots().size()).append('\n');
      }
    }
    return b.toString();
  }

  /** What ended controllers' settings and builds are changed before they start. */
  void restartAll(LevelRange build, String nextLimits) {
    next = nextLimits;
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
  void frame(String node, PeerFrame f) {
    net.at("peer:" + node).serve("peer", "", "", bytes(f.encode()), a -> {});
  }

  private String zone(String node) {
    return "" + setup.controllers().charAt(number(node) % setup.controllers().length());
  }

  private static int number(String node) {
    return Integer.parseInt(node.substring(1));
  }

  /** The settings file of a node, in the platform's format. */
  String settingsText(String node, String stateAddress) {
    int self = number(node);
    List<String> names = lists.getOrDefault(node, nodes);
    StringBuilder b = new StringBuilder("host_name = \"" + node + "\"\n");
    b.append("location = \"").append(zone(node)).append("\"\n");
    b.append("serve_on = \"10.0.0.").append(self).append(":1\"\nback = \"10.0.1.").append(self);
    b.append(":1\"\n");
    for (String peer : names) {
      if (!peer.equals(node)) {
        b.append("[[peers]]\nhost_name = \"").append(peer).append("\"\npeer_addr = \"10.0.1.");
        b.append(number(peer)).append(":1\"\nlocation = \"").append(zone(peer)).append("\"\n");
      }
    }
    b.append(
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
                state.writeRpsAtFirst,
                state.txnOpsAtFirst(),
                next));
    return b.toString();
  }

  /** The limits to which the state service falls, as the settings tell them; empty: none. */
  String next = "";

  /** The limits of the state service as an operator's command has them. */
  StateServiceLimits limits() {
    Settings s = settings(nodes.get(0));
    return new StateServiceLimits(s.stateLimits(), s.nextLimits(), () -> true);
  }

  private Settings settings(String node) {
    try {
      return Settings.parse(new TomlParser().parse(settingsText(node, STATE)));
    } catch (Settings.InvalidSettingsException e) {
      throw new AssertionError(e);
    }
  }

  /** Starts a controller's process. */
  public void startNode(String name) {
    Node n = new Node();
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
            clock.after(delayMs, () -> n.timer(action));
          }
        };
    Settings s = settings(name);
    Map<String, Consumer<ByteBuffer>> peers = new HashMap<>();
    for (Settings.Peer p : s.peers()) {
      peers.put(
          p.node(),
          f ->
              net.caller(name, () -> true)
                  .call("peer:" + p.node(), "", "", bytes(f), 1000, a -> {}));
    }
    n.controller =
        new Controller(
            s,
            setup.tuning().apply(Tuning.defaults(s)),
            timers,
            caller(name, n),
            peers,
            "inc" + ++incarnations,
            new Metrics(),
            levels.getOrDefault(name, LevelRange.BUILD));
    net.listen(
        "peer:" + name,
        (from, m, p, body, done) -> {
          if (!oldFrames.contains(name) || body.length < 2 || body[1] <= PeerFrame.RELAYED_REPLY) {
            n.message(() -> n.controller.handlePeerFrame(ByteBuffer.wrap(body)));
          }
        });
    net.listen(
        name,
        (from, m, p, body, done) ->
            n.message(() -> n.controller.handle(exchange(m, p, body, done))));
    running.put(name, n);
    n.controller.start();
  }

  private Caller caller(String name, Node n) {
    Caller c = net.caller(name, () -> n.alive);
    return (address, method, path, body, timeoutMs, done) ->
        c.call(address, method, path, body, timeoutMs, a -> n.message(() -> done.accept(a)));
  }

  /**
   * The process stands still while its clocks run on; its connection with the watch is lost. When
   * it wakes, all timers are due at once, and what has arrived waits behind them, or before.
   */
  public void freeze(String name, long forMs, boolean timersFirst) {
    Node n = running.get(name);
    n.frozen = true;
    state.dropWatches(name);
    clock.after(
        forMs,
        () -> {
          n.frozen = false;
          List<Runnable> due = new ArrayList<>(timersFirst ? n.timersDue : n.arrived);
          due.addAll(timersFirst ? n.arrived : n.timersDue);
          n.timersDue.clear();
          n.arrived.clear();
          for (Runnable r : due) {
            if (n.alive) {
              r.run();
            }
          }
        });
  }

  private static byte[] bytes(ByteBuffer f) {
    byte[] b = new byte[f.remaining()];
    f.duplicate().get(b);
    return b;
  }

  public void crash(String name, long forMs) {
    kill(name);
    clock.after(forMs, () -> startNode(name));
  }

  /** Ends a process with no signal; nobody starts it again. */
  public void kill(String name) {
    Node n = running.get(name);
    if (n != null) {
      n.alive = false;
    }
    net.close(name);
    net.close("peer:" + name);
  }

  /** Tells a process to end, as an operator does; it is started again so long after its end. */
  public void restart(String name, long withinMs, long forMs) {
    running.get(name).controller.shutDown(withinMs, () -> crash(name, forMs));
  }

  /** Tells a process to end that then does not: what it is by then matters, not that it is gone. */
  public void leave(String name, long withinMs) {
    running.get(name).controller.shutDown(withinMs, () -> {});
  }

  /** A node's tables; what it holds for durable. */
  Tables tables(String node) {
    return running.get(node).controller.tables();
  }

  boolean alive(String node) {
    return running.containsKey(node) && running.get(node).alive;
  }

  private static Exchange exchange(String m, String p, byte[] body, Consumer<Response> done) {
    return new Exchange() {
      @Override
      public String method() {
        return m;
      }

      @Override
      public String path() {
        return p;
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
        cut(node, "peer:" + n, cut);
        cut(n, "peer:" + node, cut);
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
  private void cutOff(String node, Predicate<SimWorker> with, boolean cut) {
    cutFromPeers(node, cut);
    for (String other : List.of(STATE, CLOUD, "user")) {
      cut(node, other, cut);
    }
    for (SimWorker w : workers()) {
      for (String n : nodes) {
        if (n.equals(node) != with.test(w)) {
          cut(n, w.address, cut);
        }
      }
    }
  }

  private void cut(String a, String b, boolean cut) {
    if (cut) {
      net.cut(a, b, false);
    } else {
      net.heal(a, b);
    }
  }

  /** How many tasks were killed by their workers' leases. */
  public int killedByLease() {
    return workers().stream().mapToInt(w -> w.killedByLease).sum();
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
  public void healMachine(int i, String but) {
    SimWorker w = workers().get(i % cloud.workers().size());
    nodes.stream().filter(n -> !n.equals(but)).forEach(n -> net.heal(n, w.address));
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
    return rules.last(id);
  }

  public long epoch(String node) {
    return running.get(node).controller.tables().view().epoch();
  }

  /** Whose part a machine of that name would be in, as a node knows it. */
  public String owner(String node, String machine) {
    return running.get(node).controller.tables().view().owner(machine, "a");
  }

  /** A report of an empty machine; the answer is in the array once it has come. */
  public Response[] report(String node, String machine, long epoch) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("host", machine);
    m.put("address", "10.1.9.9:1");
    m.put("flavour", "g4");
    m.put("region", "a");
    m.put("tenure", 1);
    m.put("tick", 1);
    m.put("epoch", epoch);
    m.put("shards", List.of());
    Response[] got = new Response[1];
    net.caller("10.1.9.9:1", () -> true)
        .call(node, "POST", "/hello", MessageCodec.encode(m), 4000, a -> got[0] = a);
    return got;
  }

  /** How many of a job's tasks are placed, as a node knows it. */
  public int placed(String node, String id) {
    Job j = running.get(node).controller.tables().job(id);
    return j == null ? 0 : j.liveCount();
  }

  /** Where a task is, or null. */
  public String zoneOf(String task) {
    return rules.zoneOf(task);
  }

  /** A figure of a node's metrics, as they are now. */
  public double metric(String node, String name) {
    try {
      Response[] got = new Response[1];
      running.get(node).controller.handle(exchange("GET", "/metrics", null, a -> got[0] = a));
      Object v = Document.parse(got[0].body()).raw(name + ".VALUE");
      return ((Number) v).doubleValue();
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  /** The same of all nodes together. */
  public double total(String name) {
    return nodes.stream().mapToDouble(n -> metric(n, name)).sum();
  }

  public int starts() {
    return rules.starts;
  }

  public boolean isOn(String task) {
    return rules.isOn(task);
  }
}
