package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller;
import wickdrift.transport.Caller.Response;

/** A stand-in for a worker, as the protocol describes it. */
final class SimWorker implements SimNet.Server {
  private final SimWorld world;
  private final SimClock clock;
  private final Random random;
  private final Caller caller;
  final String name;
  final String address;
  final String zone;
  final boolean spot;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final List<String> results = new ArrayList<>();
  private final Set<String> images = new HashSet<>();
  private long tenure = 1;
  private int lives;
  private long tokenToldMs = Long.MIN_VALUE / 2;
  long tick;
  private long epoch;
  private long leaseStart;
  int node;
  private boolean dead;
  boolean hung;
  boolean sick;
  int killedByLease;

  /** If it takes that long to fetch an image. */
  long slowFetchMs;

  final class Task {
    final String id;
    final int attempt;
    final JobSpec spec;
    String phase = "pulling";
    String why;
    boolean on;
    boolean removed;

    Task(String id, int attempt, JobSpec spec) {
      this.id = id;
      this.attempt = attempt;
      this.spec = spec;
    }

    String machine() {
      return name;
    }

    String gang() {
      return id.substring(0, id.indexOf('/')) + "#" + attempt;
    }

    boolean stands() {
      return hung;
    }

    void complete() {
      results.add(id);
      world.rules.done(this);
      end(this, "done");
    }

    /** A mate is gone: so is this task, unless its machine stands still and can't notice. */
    void mateGone() {
      if (on && !hung) {
        end(this, "mates_gone");
      }
    }

    /** It has waited for its mates long enough. */
    void alone() {
      if (on && phase.equals("gathering")) {
        end(this, "alone");
      }
    }

    String zone() {
      return zone;
    }
  }

  SimWorker(SimWorld world, String name, String address, String zone, boolean spot, long seed) {
    this.world = world;
    this.clock = world.clock;
    this.random = new Random(seed);
    this.name = name;
    this.address = address;
    this.zone = zone;
    this.spot = spot;
    this.caller = world.net.caller(address, () -> !dead);
    this.leaseStart = clock.nowMs();
    this.node = random.nextInt(world.nodes.size());
    world.net.listen(address, this);
    clock.after(random.nextInt(500), this::report);
    leaseCheck();
  }

  void die() {
    dead = true;
    world.net.close(address);
    tasks.values().forEach(this::off);
    tasks.clear();
  }

  private long session() {
    return lives * 1_000_000L + tenure;
  }

  @Override
  public long life() {
    return lives;
  }

  /** The machine is back at once, under its name, with nothing on it, and counts from one again. */
  void restart() {
    tasks.values().forEach(this::off);
    tasks.clear();
    images.clear();
    lives++;
    tenure = 1;
    tick = 0;
    epoch = 0;
    leaseStart = clock.nowMs();
  }

  /** A running task fails. */
  void fail(String task) {
    end(tasks.get(task), "error");
  }

  /** Whether a task is here, ended ones too. */
  boolean holds(String task) {
    return tasks.containsKey(task);
  }

  /** Whether a task here has given up waiting for the rest of its gang. */
  boolean gaveUpWaiting() {
    return tasks.values().stream().anyMatch(t -> "alone".equals(t.why));
  }

  boolean empty() {
    return tasks.isEmpty();
  }

  /** How many more tasks like these fit here; none where nothing works. */
  int room(JobSpec of) {
    if (dead || hung || sick || spot && !of.spot()) {
      return 0;
    }
    if (of.zone() != null && !of.zone().equals(zone)) {
      return 0;
    }
    double gpus = SimWorld.GPUS;
    double cpus = SimWorld.CPUS;
    double memory = SimWorld.MEMORY_GB;
    for (Task t : tasks.values()) {
      if (!t.phase.equals("ended")) {
        gpus -= t.spec.gpus();
        cpus -= t.spec.cpus();
        memory -= t.spec.memoryGb();
      }
    }
    double n = Math.min(cpus / of.cpus(), memory / of.memoryGb());
    return (int) Math.floor((of.gpus() > 0 ? Math.min(n, gpus / of.gpus()) : n) + 1e-6);
  }

  /** What its tasks hold of a team's GPUs, fetching ones too. */
  double gpusOf(String team) {
    double sum = 0;
    for (Task t : tasks.values()) {
      sum += !t.phase.equals("ended") && t.spec.team().equals(team) ? t.spec.gpus() : 0;
    }
    return sum;
  }

  private void off(Task t) {
    t.removed = true;
    leave(t);
  }

  private void leave(Task t) {
    if (t.on) {
      t.on = false;
      world.rules.left(t);
      SimGang g = world.gangs.get(t.gang());
      if (g != null) {
        g.left(t);
      }
    }
  }

  private void leaseCheck() {
    if (dead) {
      return;
    }
    clock.after(20, this::leaseCheck);
    // A hung machine may resume within its lease only: its end is enforced from outside.
    if (leaseIsOver()) {
      lapse();
    }
  }

  private boolean leaseIsOver() {
    return clock.nowMs() - leaseStart > world.leaseMs && !world.workersKeepTheirLeases;
  }

  private void lapse() {
    killedByLease += tasks.size();
    tasks.values().forEach(this::off);
    tasks.clear();
    tenure++;
    leaseStart = clock.nowMs();
  }

  void hang(boolean on) {
    hung = on;
    if (!on && leaseIsOver()) {
      lapse();
    }
  }

  private Map<String, Object> message(String to) {
    tick++;
    List<Object> list = new ArrayList<>();
    for (Task t : tasks.values()) {
      Map<String, Object> m = new LinkedHashMap<>();
      m.put("shard", t.id);
      m.put("try", t.attempt);
      m.put("phase", t.phase);
      if (t.why != null) {
        m.put("exitReason", t.why);
      }
      list.add(m);
    }
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("host", name);
    m.put("address", world.published.apply(address, to));
    m.put("flavour", "g4");
    m.put("region", zone);
    m.put("reclaimable", spot);
    m.put("tenure", tenure);
    m.put("tick", tick);
    m.put("epoch", epoch);
    m.put("shards", list);
    return m;
  }

  private void again(long ms) {
    clock.after(ms, this::report);
  }

  private void report() {
    if (dead) {
      return;
    }
    if (hung) {
      again(200);
      return;
    }
    long sent = clock.nowMs();
    long session = session();
    String to = world.nodes.get(node % world.nodes.size());
    caller.call(
        to,
        "POST",
        "/hello",
        MessageCodec.encode(message(to)),
        4000,
        a -> answered(a, sent, session));
  }

  private void answered(Response a, long sent, long session) {
    if (hung) {
      // The machine stands still; it sees the answer too late to use it.
      again(200);
      return;
    }
    try {
      if (a.status() == 200) {
        Document d = Document.parse(a.body());
        long token = d.count("epoch");
        // A higher token is a change, told at once, but no more often than twice a lease.
        boolean tell = false;
        if (session == session() && token >= epoch) {
          long now = clock.nowMs();
          tell = token > epoch && now - tokenToldMs >= world.leaseMs / 2;
          tokenToldMs = tell ? now : tokenToldMs;
          epoch = token;
          leaseStart = Math.max(leaseStart, sent);
          orders(d);
        }
        again(tell ? 500 : (long) (world.reportMs * (0.75 + random.nextDouble() / 2)));
        return;
      }
      if (a.status() == 421) {
        String up = Document.parse(a.body()).textOrNull("upstream");
        int i = up == null ? -1 : world.nodes.indexOf(up);
        if (i >= 0 && i != node) {
          node = i;
          again(random.nextInt(500));
          return;
        }
      }
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
    node = (node + 1) % world.nodes.size();
    again(1000);
  }

  private void orders(Document d) throws BadMessage {
    for (Document o : d.documents("orders")) {
      String id = o.text("shard");
      int attempt = (int) o.count("try");
      Task t = tasks.get(id);
      switch (o.text("verb")) {
        case "run" -> {
          if (t != null && t.attempt == attempt) {
            break;
          }
          start(id, attempt, t);
        }
        case "halt" -> {
          if (t != null && t.attempt == attempt && !t.phase.equals("ended")) {
            end(t, "halted");
          }
        }
        case "clear" -> {
          if (t != null && t.attempt == attempt && t.phase.equals("ended")) {
            tasks.remove(id);
          }
        }
        default -> throw new AssertionError("verb");
      }
    }
  }

  private void start(String id, int attempt, Task held) {
    JobSpec spec = world.specs.get(id.substring(0, id.indexOf('/')));
    Task t = new Task(id, attempt, spec);
    if (held != null && !held.phase.equals("ended")) {
      // Kept apart from the running attempt: only its refusal is reported, once.
      world.refusals++;
      return;
    }
    tasks.put(id, t);
    double gpus = 0;
    for (Task o : tasks.values()) {
      gpus += o.phase.equals("ended") ? 0 : o.spec.gpus();
    }
    if (gpus > SimWorld.GPUS) {
      world.full++;
      end(t, "full");
      return;
    }
    // An image that is there already takes no time.
    long fetch =
        images.contains(spec.image())
            ? random.nextInt(3)
            : slowFetchMs > 0 ? slowFetchMs : 500 + random.nextInt(1500);
    clock.after(
        fetch,
        () -> {
          if (t.phase.equals("pulling") && !t.removed) {
            images.add(spec.image());
            ready(t);
          }
        });
  }

  private void ready(Task t) {
    t.on = true;
    world.rules.started(t);
    if (results.contains(t.id)) {
      end(t, "done");
      return;
    }
    if (sick) {
      end(t, "error");
      return;
    }
    if (t.spec.shape() == JobSpec.Shape.GANG) {
      t.phase = "gathering";
      world.gangs.computeIfAbsent(t.gang(), k -> new SimGang(world, t.spec)).joined(t);
      return;
    }
    t.phase = "running";
    if (t.spec.shape() != JobSpec.Shape.SERVICE) {
      finishLater(t, (long) (t.spec.estimatedRunS() * 1000 * world.pace.applyAsDouble(t.id)));
    }
  }

  private void finishLater(Task t, long ms) {
    clock.after(
        ms,
        () -> {
          if (t.removed || !t.phase.equals("running")) {
            return;
          }
          if (hung) {
            finishLater(t, 500);
            return;
          }
          t.complete();
        });
  }

  private void end(Task t, String why) {
    t.phase = "ended";
    t.why = why;
    leave(t);
  }

  @Override
  public void serve(String from, String method, String path, byte[] body, Consumer<Response> done) {
    if (dead) {
      return;
    }
    if (hung) {
      clock.after(200, () -> serve(from, method, path, body, done));
      return;
    }
    try {
      if (path.equals("/show")) {
        done.accept(SimState.answer(200, message(from)));
        return;
      }
      Document d = Document.parse(body);
      long token = d.count("epoch");
      if (token < epoch || d.count("tenure") != tenure) {
        done.accept(SimState.answer(409, message(from)));
        return;
      }
      epoch = token;
      orders(d);
      done.accept(SimState.answer(200, message(from)));
    } catch (BadMessage e) {
      done.accept(SimState.answer(400, Map.of()));
    }
  }
}
