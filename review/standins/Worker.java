import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A worker and its machine, as the page PROTOCOL describes them. */
final class Worker {
  /** An attempt of a task on this machine. */
  final class Attempt {
    final String ref;
    final int index;
    final long number;
    String phase = "pulling";
    String why;
    boolean kept;
    boolean onMachine;

    Attempt(String ref, int index, long number) {
      this.ref = ref;
      this.index = index;
      this.number = number;
    }

    String task() {
      return ref + "/" + index;
    }

    boolean over() {
      return phase.equals("ended");
    }
  }

  private final World world;
  final World.MachineType type;
  final String name;
  final String zone;
  final boolean spot;
  String address;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();
  private final Map<String, Long> imageReadyMs = new HashMap<>();
  private long tenure = 1;
  private long tick;
  private long epoch;
  private long leaseFromMs = World.nowMs();
  private boolean changed;
  private long tokenReportedMs = Long.MIN_VALUE / 2;

  /** How often the worker has begun anew; answers to reports from before are not received. */
  private int beginnings;
  private volatile boolean gone;

  /** Whether every task fails that starts here. */
  volatile boolean sick;

  private int node;
  private HttpServer server;

  Worker(World world, String name, World.MachineType type, String zone, boolean spot)
      throws Exception {
    this.world = world;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    node = ThreadLocalRandom.current().nextInt(world.nodes.size());
    address = Net.serve(this::serve);
  }

  void start() {
    synchronized (this) {
      leaseFromMs = World.nowMs();
    }
    Thread thread = new Thread(this::report, name);
    thread.setDaemon(true);
    thread.start();
    world.every(100, this::checkLease);
  }

  /** The machine is gone with all that runs on it. */
  synchronized void remove() {
    gone = true;
    killAll("machine gone");
  }

  /** The machine is back at once, under its name; its worker counts from one and knows nothing. */
  synchronized void beginAnew() {
    killAll("machine back at once");
    beginnings++;
    tenure = 1;
    tick = 0;
    epoch = 0;
    sick = false;
    leaseFromMs = World.nowMs();
    changed = true;
  }

  private synchronized void checkLease() {
    if (!gone && World.nowMs() - leaseFromMs > world.leaseS * 1000) {
      killAll("lease expired");
      tenure++;
      leaseFromMs = World.nowMs();
      changed = true;
    }
  }

  private void killAll(String why) {
    List.copyOf(attempts.values()).forEach(attempt -> leave(attempt, why));
    attempts.clear();
  }

  private void leave(Attempt attempt, String why) {
    if (attempt.onMachine) {
      attempt.onMachine = false;
      world.taskLeft(this, attempt, why);
    }
    if (!attempt.over()) {
      attempt.phase = "ended";
      world.gangMemberGone(this, attempt);
    }
  }

  synchronized void exit(Attempt attempt, String why) {
    if (attempt.over() || attempts.get(key(attempt.task(), attempt.number)) != attempt) {
      return;
    }
    attempt.why = why;
    leave(attempt, why);
    changed = true;
  }

  private static String key(String task, long number) {
    return task + "#" + number;
  }

  // ---- reports ----

  private Map<String, Object> newReport() {
    tick++;
    List<Object> shards = new ArrayList<>();
    for (Attempt attempt : attempts.values()) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("shard", attempt.task());
      fields.put("try", attempt.number);
      fields.put("phase", attempt.phase);
      if (attempt.over()) {
        fields.put("exitReason", attempt.why);
        if (attempt.kept) {
          fields.put("kept", true);
        }
      }
      shards.add(fields);
    }
    Map<String, Object> report = new LinkedHashMap<>();
    report.put("host", name);
    report.put("address", address);
    report.put("flavour", type.name());
    report.put("region", zone);
    report.put("reclaimable", spot);
    report.put("tenure", tenure);
    report.put("tick", tick);
    report.put("epoch", epoch);
    report.put("warningS", null);
    report.put("shards", shards);
    return report;
  }

  private void report() {
    try {
      TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(300));
      while (!gone) {
        Map<String, Object> report;
        long sentMs = World.nowMs();
        int sentBy;
        synchronized (this) {
          changed = false;
          sentBy = beginnings;
          report = newReport();
        }
        Net.Answer answer =
            Net.call(
                    world.workerClient,
                    world.nodeAddress(node),
                    "POST",
                    "/hello",
                    report,
                    4000)
                .get();
        boolean stay = handleAnswer(answer, (Long) report.get("tenure"), sentBy, sentMs);
        if (!stay) {
          continue;
        }
        long dueMs =
            sentMs
                + (long)
                    (world.reportS
                        * 1000
                        * (0.75 + 0.5 * ThreadLocalRandom.current().nextDouble()));
        while (!gone && World.nowMs() < dueMs) {
          synchronized (this) {
            if (changed && World.nowMs() - sentMs > 500) {
              break;
            }
          }
          TimeUnit.MILLISECONDS.sleep(20);
        }
      }
    } catch (Exception e) {
      if (!gone) {
        e.printStackTrace();
      }
    }
  }

  /** Returns whether the worker stays with its node; else it reports to another one now. */
  private boolean handleAnswer(Net.Answer answer, long sentTenure, int sentBy, long sentMs)
      throws Exception {
    if (answer.status() == 200) {
      Map<String, Object> body = Mp.map(answer.body());
      long token = body.get("epoch") instanceof Long value ? value : -1;
      synchronized (this) {
        if (sentBy == beginnings && sentTenure == tenure && token >= epoch && !gone) {
          show(token);
          leaseFromMs = sentMs;
          execute(body);
        }
      }
      return true;
    }
    int named =
        answer.status() == 421 ? world.nodes.indexOf(String.valueOf(answer.field("upstream"))) : -1;
    if (named >= 0 && named != node) {
      node = named;
      TimeUnit.MILLISECONDS.sleep(ThreadLocalRandom.current().nextInt(500));
    } else {
      node = (node + 1) % world.nodes.size();
      TimeUnit.MILLISECONDS.sleep(1000);
    }
    return false;
  }

  /** A higher token is a change to report, but not more often than once in half a lease. */
  private void show(long token) {
    long now = World.nowMs();
    if (token > epoch && now - tokenReportedMs > world.leaseS * 500) {
      tokenReportedMs = now;
      changed = true;
    }
    epoch = token;
  }

  // ---- commands ----

  private Net.Answer serve(String method, String path, byte[] body) throws InterruptedException {
    if (path.equals("/orders") && world.holdCommand.test(this, Mp.map(body))) {
      // Held up on its way: the sender gets no answer. World.release carries it out.
      Thread.sleep(20_000);
      return null;
    }
    return carryOut(path, body);
  }

  /** Carries out a command if its token and session match, and returns the answer. */
  Net.Answer carryOut(String path, byte[] body) {
    synchronized (this) {
      if (gone) {
        return null;
      }
      if (path.equals("/show")) {
        return new Net.Answer(200, Mp.encode(newReport()));
      }
      Map<String, Object> command = Mp.map(body);
      if (!(command.get("epoch") instanceof Long token)
          || !(command.get("tenure") instanceof Long session)) {
        return new Net.Answer(400, new byte[0]);
      }
      if (token < epoch || session != tenure) {
        return new Net.Answer(409, Mp.encode(newReport()));
      }
      show(token);
      execute(command);
      return new Net.Answer(200, Mp.encode(newReport()));
    }
  }

  @SuppressWarnings("unchecked")
  private void execute(Map<String, Object> message) {
    for (Object o : (List<Object>) message.getOrDefault("orders", List.of())) {
      Map<String, Object> order = (Map<String, Object>) o;
      String task = (String) order.get("shard");
      long number = (Long) order.get("try");
      Attempt attempt = attempts.get(key(task, number));
      switch ((String) order.get("verb")) {
        case "run" -> {
          if (attempt == null) {
            run(task, number);
          }
        }
        case "halt" -> {
          if (attempt != null && !attempt.over()) {
            halt(attempt, ((Number) order.getOrDefault("windDownS", 0.0)).doubleValue());
          }
        }
        case "clear" -> {
          if (attempt != null && attempt.over()) {
            attempts.remove(key(task, number));
          }
        }
        default -> throw new IllegalArgumentException("unknown verb");
      }
    }
  }

  private void run(String task, long number) {
    int slash = task.lastIndexOf('/');
    Attempt attempt =
        new Attempt(task.substring(0, slash), Integer.parseInt(task.substring(slash + 1)), number);
    World.Spec spec = world.specs.get(attempt.ref);
    boolean busy = attempts.values().stream().anyMatch(a -> !a.over() && a.task().equals(task));
    double cores = 0;
    double gpus = 0;
    double memory = 0;
    for (Attempt other : attempts.values()) {
      if (!other.over()) {
        World.Spec o = world.specs.get(other.ref);
        cores += o.cores();
        gpus += o.gpus();
        memory += o.memoryGb();
      }
    }
    attempts.put(key(task, number), attempt);
    changed = true;
    String refusal =
        spec == null || attempt.index >= spec.shards()
            ? "unknown"
            : busy
                ? "busy"
                : cores + spec.cores() > type.cores() + 1e-6
                        || gpus + spec.gpus() > type.gpus() + 1e-6
                        || memory + spec.memoryGb() > type.memoryGb() + 1e-6
                    ? "full"
                    : null;
    if (refusal != null) {
      attempt.phase = "ended";
      attempt.why = refusal;
      world.record("refused " + task + " try " + number + " on " + name + ": " + refusal);
      return;
    }
    long now = World.nowMs();
    long readyMs =
        imageReadyMs.computeIfAbsent(
            spec.bundle(), k -> now + (long) (spec.pullGb() / type.fetchGbPerS() * 1000));
    world.after(Math.max(0, readyMs - now), () -> imageReady(attempt, spec));
  }

  private synchronized void imageReady(Attempt attempt, World.Spec spec) {
    if (attempt.over() || attempts.get(key(attempt.task(), attempt.number)) != attempt) {
      return;
    }
    attempt.onMachine = true;
    world.taskCame(this, attempt);
    if (world.isDone(attempt.task())) {
      exit(attempt, "done");
      return;
    }
    changed = true;
    if (spec.shape().equals("ensemble")) {
      attempt.phase = "gathering";
      world.after((long) (world.gangWaitS * 1000), () -> stopWaiting(attempt));
      world.gangMemberReady(this, attempt, spec);
    } else {
      attempt.phase = "running";
      if (sick) {
        world.after(200, () -> exit(attempt, "error"));
      }
      if (spec.shape().equals("batch")) {
        world.after((long) (spec.runS() * 1000), () -> complete(attempt));
      }
    }
  }

  private synchronized void stopWaiting(Attempt attempt) {
    if (attempt.phase.equals("gathering")) {
      exit(attempt, "alone");
    }
  }

  /** The gang of a waiting attempt is complete. */
  synchronized void startWithGang(Attempt attempt) {
    if (attempt.phase.equals("gathering")) {
      attempt.phase = "running";
      changed = true;
    }
  }

  synchronized void complete(Attempt attempt) {
    if (attempt.phase.equals("running")
        && attempts.get(key(attempt.task(), attempt.number)) == attempt) {
      world.taskDone(attempt.task());
      exit(attempt, "done");
    }
  }

  private void halt(Attempt attempt, double windDownS) {
    World.Spec spec = world.specs.get(attempt.ref);
    boolean saves =
        attempt.phase.equals("running") && spec.checkpointEveryS() > 0 && windDownS >= spec.flushS();
    if (saves) {
      attempt.phase = "saving";
      changed = true;
      world.after(
          (long) (spec.flushS() * 1000),
          () -> {
            attempt.kept = true;
            exit(attempt, "halted");
          });
    } else if (!attempt.phase.equals("saving") || windDownS == 0) {
      exit(attempt, "halted");
    }
  }
}
