import java.io.File;
import java.io.PrintWriter;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment: controllers as processes of their own, and stand-ins for the state service,
 * the cloud, the workers and the users in this process.
 */
final class World implements AutoCloseable {
  /** A machine type of the cloud. */
  record MachineType(
      String name, double cores, double gpus, double memoryGb, double fetchGbPerS, double bootS) {}

  /** What a worker needs to know of a job. */
  record Spec(
      String ref,
      String shape,
      int shards,
      double cores,
      double gpus,
      double memoryGb,
      String bundle,
      double pullGb,
      double runS,
      double checkpointEveryS,
      double flushS) {}

  private static final long START_NS = System.nanoTime();
  private static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  final Map<String, Spec> specs = new ConcurrentHashMap<>();
  final List<String> nodes = new ArrayList<>();
  final HttpClient workerClient = Net.client();
  final HttpClient userClient = Net.client();
  double leaseS;
  double reportS;
  double gangWaitS = 30;
  double cancelS;
  StateService state;
  MachineType type;
  List<String> zones = new ArrayList<>();

  /** The link of each controller to the state service, which can be cut. */
  final Map<String, Net.Proxy> stateLinks = new HashMap<>();

  private final Map<String, String> nodeAddresses = new HashMap<>();
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<String, Worker> machines = new TreeMap<>();
  private final Map<String, Long> createdMs = new HashMap<>();
  private final Map<String, Boolean> up = new HashMap<>();
  private final Map<String, List<String>> claims = new HashMap<>();
  private final Set<String> done = ConcurrentHashMap.newKeySet();
  private final Map<String, Set<String>> where = new HashMap<>();
  private final Map<String, Map<Integer, Object[]>> gangs = new HashMap<>();

  /** Whether a direct command to a worker is held up on its way. */
  volatile java.util.function.BiPredicate<Worker, Map<String, Object>> holdCommand =
      (worker, command) -> false;

  private final PrintWriter recordFile;
  private int lastMachine;
  int capacity = 60;
  boolean recordStarts;
  int started;
  final List<String> ranTwice = new ArrayList<>();
  final Path folder;
  private final Path root;

  World(Path recordPath) throws Exception {
    root = Path.of("").toAbsolutePath();
    recordFile = new PrintWriter(Files.newBufferedWriter(recordPath), true);
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  static long nowMs() {
    return (System.nanoTime() - START_NS) / 1_000_000;
  }

  void record(String line) {
    synchronized (recordFile) {
      recordFile.printf("%9.3f %s%n", nowMs() / 1000.0, line);
    }
  }

  void after(long ms, Runnable action) {
    TIMERS.schedule(() -> guarded(action), ms, TimeUnit.MILLISECONDS);
  }

  void every(long ms, Runnable action) {
    TIMERS.scheduleWithFixedDelay(() -> guarded(action), ms, ms, TimeUnit.MILLISECONDS);
  }

  private void guarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      record("stand-in failed: " + e);
      e.printStackTrace();
    }
  }

  // ---- controllers ----

  /**
   * Writes the settings files; nothing is started yet.
   *
   * @param controllerZones the zone of each controller
   * @param cluster the tables of the settings below {@code [cluster]}
   */
  void configure(List<String> controllerZones, String cluster) throws Exception {
    String cloud = Net.serve(this::serveCloud);
    Map<String, String> serve = new LinkedHashMap<>();
    Map<String, String> back = new LinkedHashMap<>();
    for (int i = 0; i < controllerZones.size(); i++) {
      String node = "wick-" + i;
      nodes.add(node);
      serve.put(node, "127.0.0.1:" + Net.freePort());
      back.put(node, "127.0.0.1:" + Net.freePort());
      stateLinks.put(node, new Net.Proxy(Net.serve(state.handlerFor(node))));
    }
    nodeAddresses.putAll(serve);
    for (int i = 0; i < nodes.size(); i++) {
      String node = nodes.get(i);
      StringBuilder text = new StringBuilder();
      text.append("host_name = \"").append(node).append("\"\n");
      text.append("location = \"").append(controllerZones.get(i)).append("\"\n");
      text.append("serve_on = \"").append(serve.get(node)).append("\"\n");
      text.append("back = \"").append(back.get(node)).append("\"\n");
      for (int k = 0; k < nodes.size(); k++) {
        if (k != i) {
          text.append("\n[[peers]]\nhost_name = \"").append(nodes.get(k)).append("\"\n");
          text.append("location = \"").append(controllerZones.get(k)).append("\"\n");
          text.append("peer_addr = \"").append(back.get(nodes.get(k))).append("\"\n");
        }
      }
      text.append("\n[endpoints]\ncloud = \"").append(cloud).append("\"\n");
      text.append("state = \"").append(stateLinks.get(node).address).append("\"\n\n");
      text.append(cluster);
      Files.writeString(folder.resolve(node + ".toml"), text);
    }
    record("settings of the controllers, but for names and addresses:\n" + cluster);
  }

  String nodeAddress(int node) {
    return nodeAddresses.get(nodes.get(node));
  }

  /** Starts a controller with the command of the deploy file. */
  void startNode(String node) throws Exception {
    String run =
        Files.readAllLines(root.resolve("deploy/service.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    command.add(folder.resolve(node + ".toml").toString());
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", "info");
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
    Process process = builder.start();
    synchronized (processes) {
      processes.put(node, process);
    }
    record("started " + node);
    process.onExit().thenAccept(p -> record(node + " ended, exit code " + p.exitValue()));
  }

  Process process(String node) {
    synchronized (processes) {
      return processes.get(node);
    }
  }

  /** Waits until a controller answers 200 to /up. */
  boolean awaitUp(String node, long timeoutMs) throws Exception {
    long untilMs = nowMs() + timeoutMs;
    while (nowMs() < untilMs) {
      if (ask(node, "GET", "/up", null).status() == 200) {
        record(node + " is up");
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  Net.Answer ask(String node, String method, String path, Object body) throws Exception {
    return Net.call(userClient, nodeAddresses.get(node), method, path, body, 2000).get();
  }

  /** The lines of a controller's log that hold a text. */
  List<String> logLines(String node, String text, int most) throws Exception {
    try (Stream<String> lines = Files.lines(folder.resolve(node + ".log"))) {
      return lines.filter(line -> line.contains(text)).limit(most).toList();
    }
  }

  // ---- users ----

  /** A submission with all fields; the caller may change some. */
  static Map<String, Object> job(
      int number, String shape, int shards, double cores, double gpus, double memoryGb, double runS) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("ref", String.format("req-%06d", number));
    fields.put("jobclass", "review");
    fields.put("owner", "team");
    fields.put("shape", shape);
    fields.put("rank", "standard");
    fields.put("shards", shards);
    fields.put("cores", cores);
    fields.put("gpus", gpus);
    fields.put("memoryGb", memoryGb);
    fields.put("bundle", "img-01");
    fields.put("pullGb", 0.5);
    fields.put("flavours", null);
    fields.put("region", null);
    fields.put("oneZone", false);
    fields.put("apart", false);
    fields.put("reclaimable", false);
    fields.put("expectS", runS);
    fields.put("checkpointEveryS", 0.0);
    fields.put("flushS", 0.0);
    fields.put("dueS", null);
    return fields;
  }

  /** Makes a job's description known to the workers. */
  void upload(Map<String, Object> job) {
    specs.put(
        (String) job.get("ref"),
        new Spec(
            (String) job.get("ref"),
            (String) job.get("shape"),
            (Integer) job.get("shards"),
            (Double) job.get("cores"),
            (Double) job.get("gpus"),
            (Double) job.get("memoryGb"),
            (String) job.get("bundle"),
            (Double) job.get("pullGb"),
            (Double) job.get("expectS"),
            (Double) job.get("checkpointEveryS"),
            (Double) job.get("flushS")));
  }

  /** Submits a job as a user does, with retries for up to 60 s; returns the last status. */
  int submit(Map<String, Object> job, int firstNode) throws Exception {
    upload(job);
    long untilMs = nowMs() + 60_000;
    int status = 0;
    for (int i = firstNode; nowMs() < untilMs; i++) {
      Net.Answer answer =
          Net.call(userClient, nodeAddress(i % nodes.size()), "POST", "/api/jobs", job, 5000).get();
      status = answer.status();
      if (status == 200 || status == 201 || status == 400 || status == 422) {
        break;
      }
      Thread.sleep(1000L * Math.max(1, Math.min(30, answer.retryAfterS())));
    }
    return status;
  }

  // ---- the machines ----

  synchronized Worker boot(String zone, boolean spot, long bootMs) {
    try {
      String name = String.format("i-%06d", ++lastMachine);
      Worker worker = new Worker(this, name, type, zone, spot);
      machines.put(name, worker);
      createdMs.put(name, nowMs() - (bootMs == 0 ? 60_000 : 0));
      up.put(name, bootMs == 0);
      after(
          bootMs,
          () -> {
            synchronized (this) {
              up.put(name, true);
            }
            worker.start();
          });
      return worker;
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  @SuppressWarnings("unchecked")
  private Net.Answer serveCloud(String method, String path, byte[] body) throws Exception {
    Thread.sleep(20);
    if (path.equals("/flavors")) {
      Map<String, Object> sku = new LinkedHashMap<>();
      sku.put("sku", type.name());
      sku.put("cores", type.cores());
      sku.put("gpus", type.gpus());
      sku.put("memoryGb", type.memoryGb());
      sku.put("localGb", 200.0);
      sku.put("fetchGbPerS", type.fetchGbPerS());
      sku.put("rate", 13.23);
      sku.put("lowPrice", 5.57);
      sku.put("bootS", type.bootS());
      sku.put("regions", zones);
      return new Net.Answer(200, Mp.encode(Map.of("flavours", List.of(sku))));
    }
    if (path.startsWith("/hosts?")) {
      List<Object> listed = new ArrayList<>();
      synchronized (this) {
        for (Worker worker : machines.values()) {
          long ageMs = nowMs() - createdMs.get(worker.name);
          if (ageMs < 5000) {
            continue;
          }
          Map<String, Object> host = new LinkedHashMap<>();
          host.put("ref", worker.name);
          host.put("address", worker.address);
          host.put("flavour", type.name());
          host.put("region", worker.zone);
          host.put("reclaimable", worker.spot);
          host.put("phase", up.get(worker.name) ? "running" : "starting");
          host.put("ageS", ageMs / 1000.0);
          listed.add(host);
        }
      }
      return new Net.Answer(200, Mp.encode(Map.of("hosts", listed, "truncated", false)));
    }
    Map<String, Object> request = Mp.map(body);
    if (path.equals("/hosts")) {
      synchronized (this) {
        List<String> names = claims.get((String) request.get("claim"));
        if (names == null) {
          names = new ArrayList<>();
          long count = (Long) request.get("count");
          while (names.size() < count && machines.size() < capacity) {
            names.add(
                boot(
                        (String) request.get("region"),
                        (Boolean) request.get("reclaimable"),
                        (long) (type.bootS() * 1000))
                    .name);
          }
          if (names.isEmpty()) {
            return new Net.Answer(503, Mp.encode(Map.of("error", "no capacity")));
          }
          claims.put((String) request.get("claim"), names);
          record("rented " + names);
        }
        return new Net.Answer(200, Mp.encode(Map.of("hosts", names)));
      }
    }
    if (path.equals("/hosts/delete")) {
      for (Object name : (List<Object>) request.get("hosts")) {
        Worker worker;
        synchronized (this) {
          worker = machines.remove((String) name);
        }
        if (worker != null) {
          worker.remove();
          record("deleted " + name);
        }
      }
      return new Net.Answer(200, Mp.encode(Map.of()));
    }
    return new Net.Answer(400, Mp.encode(Map.of()));
  }

  // ---- what runs ----

  void taskCame(Worker worker, Worker.Attempt attempt) {
    synchronized (where) {
      started++;
      Set<String> places = where.computeIfAbsent(attempt.task(), k -> new LinkedHashSet<>());
      if (!places.isEmpty()) {
        String line = attempt.task() + " starts on " + worker.name + " while on " + places;
        ranTwice.add(line);
        record("RAN TWICE: " + line);
      }
      places.add(worker.name);
      if (recordStarts) {
        record(attempt.task() + " try " + attempt.number + " is on " + worker.name);
      }
    }
  }

  void taskLeft(Worker worker, Worker.Attempt attempt, String why) {
    synchronized (where) {
      if (recordStarts) {
        record(attempt.task() + " try " + attempt.number + " left " + worker.name + ": " + why);
      }
      where.getOrDefault(attempt.task(), new HashSet<>()).remove(worker.name);
    }
  }

  void taskDone(String task) {
    done.add(task);
  }

  boolean isDone(String task) {
    return done.contains(task);
  }

  int doneCount() {
    return done.size();
  }

  /** The number of tasks that are on machines now, of all jobs whose id starts with a text. */
  int runningCount(String ref) {
    synchronized (where) {
      return (int)
          where.entrySet().stream()
              .filter(e -> e.getKey().startsWith(ref) && !e.getValue().isEmpty())
              .count();
    }
  }

  /** The number of tasks that are on machines of a zone now. */
  int runningIn(String zone) {
    Set<String> names = new HashSet<>();
    synchronized (this) {
      machines.values().stream().filter(w -> w.zone.equals(zone)).forEach(w -> names.add(w.name));
    }
    synchronized (where) {
      return (int) where.values().stream().flatMap(Set::stream).filter(names::contains).count();
    }
  }

  // ---- gangs ----

  void gangMemberReady(Worker worker, Worker.Attempt attempt, Spec spec) {
    List<Object[]> complete = null;
    synchronized (gangs) {
      Map<Integer, Object[]> members =
          gangs.computeIfAbsent(attempt.ref + "#" + attempt.number, k -> new HashMap<>());
      members.put(attempt.index, new Object[] {worker, attempt});
      if (members.size() == spec.shards()) {
        complete = List.copyOf(members.values());
      }
    }
    if (complete != null) {
      List<Object[]> members = complete;
      record("gang " + attempt.ref + " try " + attempt.number + " is complete and runs");
      after(
          1,
          () ->
              members.forEach(m -> ((Worker) m[0]).startWithGang((Worker.Attempt) m[1])));
      after(
          (long) (spec.runS() * 1000),
          () -> {
            boolean all =
                members.stream().allMatch(m -> ((Worker.Attempt) m[1]).phase.equals("running"));
            if (all) {
              members.forEach(m -> ((Worker) m[0]).complete((Worker.Attempt) m[1]));
            }
          });
    }
  }

  /** A gang attempt left its machine; the others of a running gang notice within gang_peer_s. */
  void gangMemberGone(Worker worker, Worker.Attempt attempt) {
    List<Object[]> others = new ArrayList<>();
    synchronized (gangs) {
      Map<Integer, Object[]> members = gangs.get(attempt.ref + "#" + attempt.number);
      if (members == null) {
        return;
      }
      members.remove(attempt.index);
      others.addAll(members.values());
    }
    if ("done".equals(attempt.why)) {
      return;
    }
    after(
        5000,
        () ->
            others.forEach(
                m -> {
                  Worker.Attempt other = (Worker.Attempt) m[1];
                  if (other.phase.equals("running")) {
                    ((Worker) m[0]).exit(other, "mates_gone");
                  }
                }));
  }

  @Override
  public void close() {
    synchronized (processes) {
      processes.values().forEach(Process::destroyForcibly);
      for (Process process : processes.values()) {
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    String keep = System.getenv("KEEP_LOGS");
    if (keep == null && Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
      } catch (Exception e) {
        // The temporary folder stays.
      }
    }
  }
}
