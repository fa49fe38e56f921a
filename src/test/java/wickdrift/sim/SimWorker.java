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
import wickdrift.protocol.Unsigned;
import wickdrift.transport.Caller;
import wickdrift.transport.Caller.Response;

/**
 * A stand-in for a worker that follows the protocol: it reports, executes commands, runs tasks, and
 * ends them when its lease expires.
 */
final class SimWorker implements SimNetwork.Server {
  private final SimWorld world;
  private final SimClock clock;
  private final Random random;
  private final Caller caller;
  final String name;
  final String address;
  final String zone;
  final boolean spot;
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  /** The tasks completed on this machine; one that is started again ends as done at once. */
  private final List<String> completedTaskIds = new ArrayList<>();

  private final Set<String> images = new HashSet<>();
  private long tenure = 1;
  private int incarnation;

  /** The shortest time between two reports. */
  private static final long MIN_REPORT_GAP_MS = 500;

  /** When a rise of the highest token was last counted as a change. */
  private long lastTokenRiseMs = Long.MIN_VALUE / 2;

  private long lastReportSentMs = Long.MIN_VALUE / 2;
  private boolean reportInFlight;

  /** Whether something has changed since the last report was sent. */
  private boolean changed;

  /** Identifies the report that is scheduled; an earlier one that falls due is not sent. */
  private int scheduledReport;

  /** The earliest time of the next report after an answer that sent the worker elsewhere. */
  private long retryAtMs = Long.MIN_VALUE / 2;

  long tick;
  private long epoch;
  private long leaseStartMs;
  int nodeIndex;
  private boolean terminated;

  /** Whether the machine hangs: nothing on it makes progress, and it answers late. */
  boolean hung;

  /** Whether every task that starts on this machine fails. */
  boolean failsEveryTask;

  /** How many tasks were killed because the lease expired. */
  int tasksKilledByLease;

  /** The time that fetching an image takes; 0: the default, a random time. */
  long imageFetchMs;

  /** An attempt of a task on this machine. */
  final class Task {
    final String id;
    final int attempt;
    final JobSpec spec;
    String phase = "pulling";
    String exitReason;
    boolean active;
    boolean removed;

    Task(String id, int attempt, JobSpec spec) {
      this.id = id;
      this.attempt = attempt;
      this.spec = spec;
    }

    String machine() {
      return name;
    }

    /** Returns an id shared by the tasks of the same attempt of a gang. */
    String gangAttemptId() {
      return id.substring(0, id.indexOf('/')) + "#" + attempt;
    }

    boolean isMachineHung() {
      return hung;
    }

    /** Ends the wait of this task for the rest of its gang. */
    void startRunning() {
      phase = "running";
      noteChange();
    }

    /** Ends this task successfully. */
    void complete() {
      completedTaskIds.add(id);
      world.rules.taskDone(this);
      endTask(this, "done");
    }

    /** Ends this task because another task of its gang is lost. A hung machine does not notice. */
    void onPeerLost() {
      if (active && !hung) {
        endTask(this, "mates_gone");
      }
    }

    /** Ends this task if it still waits for the rest of its gang. */
    void onGangWaitExpired() {
      if (active && phase.equals("gathering")) {
        endTask(this, "alone");
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
    this.caller = world.net.caller(address, () -> !terminated);
    this.tick = world.setup.firstTick();
    this.leaseStartMs = clock.nowMs();
    this.nodeIndex = random.nextInt(world.nodes.size());
    world.net.listen(address, this);
    scheduleReport(random.nextInt(500));
    checkLeasePeriodically();
  }

  /** Terminates the machine with all its tasks. */
  void terminate() {
    terminated = true;
    world.net.close(address);
    tasks.values().forEach(this::remove);
    tasks.clear();
  }

  private long sessionId() {
    return incarnation * 1_000_000L + tenure;
  }

  @Override
  public long incarnation() {
    return incarnation;
  }

  /**
   * Restarts the machine at once under its name, without tasks and images and with new counters.
   */
  void restart() {
    tasks.values().forEach(this::remove);
    tasks.clear();
    images.clear();
    incarnation++;
    tenure = 1;
    tick = world.setup.firstTick();
    epoch = 0;
    leaseStartMs = clock.nowMs();
    lastTokenRiseMs = Long.MIN_VALUE / 2;
    noteChange();
  }

  /** Tells the worker a token, as a copy of a command to another machine at its address does. */
  void tellToken(long token) {
    setToken(token);
  }

  /** Whether anyone has told the worker an epoch since it started. */
  boolean knowsEpoch() {
    return epoch > 0;
  }

  /** Makes a running task fail. */
  void failTask(String task) {
    endTask(tasks.get(task), "error");
  }

  /** Whether the machine holds a task, running or ended. */
  boolean hasTask(String task) {
    return tasks.containsKey(task);
  }

  /** Whether a task on this machine has given up waiting for the rest of its gang. */
  boolean gaveUpWaiting() {
    return tasks.values().stream().anyMatch(task -> "alone".equals(task.exitReason));
  }

  /** Whether the machine holds no task. */
  boolean isEmpty() {
    return tasks.isEmpty();
  }

  /** Returns how many more tasks of a job fit on this machine; 0 if the machine does not work. */
  int taskCapacity(JobSpec spec) {
    if (terminated || hung || failsEveryTask || spot && !spec.spot()) {
      return 0;
    }
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return 0;
    }
    double gpus = SimWorld.GPUS_PER_MACHINE;
    double cpus = SimWorld.CPUS_PER_MACHINE;
    double memory = SimWorld.MEMORY_GB_PER_MACHINE;
    for (Task task : tasks.values()) {
      if (!task.phase.equals("ended")) {
        gpus -= task.spec.gpus();
        cpus -= task.spec.cpus();
        memory -= task.spec.memoryGb();
      }
    }
    double capacity = Math.min(cpus / spec.cpus(), memory / spec.memoryGb());
    return (int)
        Math.floor((spec.gpus() > 0 ? Math.min(capacity, gpus / spec.gpus()) : capacity) + 1e-6);
  }

  /** Returns how many GPUs the tasks of a team hold on this machine, also while fetching images. */
  double allocatedGpus(String team) {
    double sum = 0;
    for (Task task : tasks.values()) {
      sum += !task.phase.equals("ended") && task.spec.team().equals(team) ? task.spec.gpus() : 0;
    }
    return sum;
  }

  private void remove(Task task) {
    task.removed = true;
    deactivate(task);
  }

  private void deactivate(Task task) {
    if (task.active) {
      task.active = false;
      world.rules.taskStopped(task);
      SimGang gang = world.gangs.get(task.gangAttemptId());
      if (gang != null) {
        gang.removeMember(task);
      }
    }
  }

  private void checkLeasePeriodically() {
    if (terminated) {
      return;
    }
    clock.after(20, this::checkLeasePeriodically);
    // A hung machine may resume only within its lease, whose end is enforced from outside.
    if (isLeaseExpired()) {
      expireLease();
    }
  }

  private boolean isLeaseExpired() {
    return clock.nowMs() - leaseStartMs > world.leaseMs && !world.workerLeasesNeverExpire;
  }

  /** Kills all tasks and starts a new session, as a worker whose lease has expired must. */
  private void expireLease() {
    tasksKilledByLease += tasks.size();
    tasks.values().forEach(this::remove);
    tasks.clear();
    tenure++;
    leaseStartMs = clock.nowMs();
    noteChange();
  }

  /** Makes the machine hang, or resume; if its lease expired meanwhile, its tasks are killed. */
  void setHung(boolean nowHung) {
    hung = nowHung;
    if (!nowHung && isLeaseExpired()) {
      expireLease();
    }
  }

  private Map<String, Object> buildReport(String node) {
    tick++;
    List<Object> taskReports = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("shard", task.id);
      fields.put("try", task.attempt);
      fields.put("phase", task.phase);
      if (task.exitReason != null) {
        fields.put("exitReason", task.exitReason);
      }
      taskReports.add(fields);
    }
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("host", name);
    fields.put("address", world.addressSeenByNode.apply(address, node));
    fields.put("flavour", "g4");
    fields.put("region", zone);
    fields.put("reclaimable", spot);
    fields.put("tenure", tenure);
    fields.put("tick", Unsigned.toWire(tick));
    fields.put("epoch", epoch);
    fields.put("shards", taskReports);
    return fields;
  }

  private void scheduleReport(long delayMs) {
    int scheduled = ++scheduledReport;
    clock.after(
        delayMs,
        () -> {
          if (scheduled == scheduledReport) {
            sendReport();
          }
        });
  }

  /** Schedules a report, because the worker's tasks, session or highest token have changed. */
  private void noteChange() {
    changed = true;
    if (!reportInFlight) {
      scheduleReportOfChange();
    }
  }

  private void scheduleReportOfChange() {
    long dueMs = Math.max(retryAtMs, lastReportSentMs + MIN_REPORT_GAP_MS);
    scheduleReport(Math.max(0, dueMs - clock.nowMs()));
  }

  private void setToken(long newToken) {
    long now = clock.nowMs();
    if (newToken > epoch && now - lastTokenRiseMs >= world.leaseMs / 2) {
      lastTokenRiseMs = now;
      noteChange();
    }
    epoch = newToken;
  }

  private void scheduleNextReport() {
    if (changed) {
      scheduleReportOfChange();
    } else {
      scheduleReport((long) (world.reportIntervalMs * (0.75 + random.nextDouble() / 2)));
    }
  }

  private void retryAfter(long delayMs) {
    retryAtMs = clock.nowMs() + delayMs;
    scheduleReport(delayMs);
  }

  private void sendReport() {
    if (terminated) {
      return;
    }
    if (hung) {
      scheduleReport(200);
      return;
    }
    long sentMs = clock.nowMs();
    long sentSession = sessionId();
    reportInFlight = true;
    changed = false;
    lastReportSentMs = sentMs;
    String target = world.nodes.get(nodeIndex % world.nodes.size());
    caller.call(
        target,
        "POST",
        "/hello",
        MessageCodec.encode(buildReport(target)),
        4000,
        a -> handleReportAnswer(a, sentMs, sentSession));
  }

  private void handleReportAnswer(Response answer, long sentMs, long sentSession) {
    reportInFlight = false;
    if (hung) {
      // The machine hangs; it reads the answer too late to use it.
      scheduleReport(200);
      return;
    }
    try {
      if (answer.status() == 200) {
        Document response = Document.parse(answer.body());
        long answerToken = response.count("epoch");
        if (sentSession == sessionId() && answerToken >= epoch) {
          setToken(answerToken);
          leaseStartMs = Math.max(leaseStartMs, sentMs);
          applyCommands(response);
        }
        scheduleNextReport();
        return;
      }
      if (answer.status() == 421) {
        String upstream = Document.parse(answer.body()).textOrNull("upstream");
        int upstreamIndex = upstream == null ? -1 : world.nodes.indexOf(upstream);
        if (upstreamIndex >= 0 && upstreamIndex != nodeIndex) {
          nodeIndex = upstreamIndex;
          retryAfter(random.nextInt(500));
          return;
        }
      }
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
    nodeIndex = (nodeIndex + 1) % world.nodes.size();
    retryAfter(1000);
  }

  private void applyCommands(Document message) throws BadMessage {
    for (Document command : message.documents("orders")) {
      String id = command.text("shard");
      int attempt = (int) command.count("try");
      Task task = tasks.get(id);
      switch (command.text("verb")) {
        case "run" -> {
          if (task != null && task.attempt == attempt) {
            break;
          }
          startTask(id, attempt, task);
        }
        case "halt" -> {
          if (task != null && task.attempt == attempt && !task.phase.equals("ended")) {
            endTask(task, "halted");
          }
        }
        case "clear" -> {
          if (task != null && task.attempt == attempt && task.phase.equals("ended")) {
            tasks.remove(id);
            noteChange();
          }
        }
        default -> throw new AssertionError("verb");
      }
    }
  }

  private void startTask(String id, int attempt, Task existing) {
    JobSpec spec = world.specs.get(id.substring(0, id.indexOf('/')));
    Task task = new Task(id, attempt, spec);
    if (existing != null && !existing.phase.equals("ended")) {
      // The running attempt continues; the new one is refused.
      world.refusedRunCommands++;
      return;
    }
    tasks.put(id, task);
    noteChange();
    double gpus = 0;
    for (Task other : tasks.values()) {
      gpus += other.phase.equals("ended") ? 0 : other.spec.gpus();
    }
    if (gpus > SimWorld.GPUS_PER_MACHINE) {
      world.fullRefusalCount++;
      endTask(task, "full");
      return;
    }
    // An image that is present already takes almost no time.
    long fetchMs =
        images.contains(spec.image())
            ? random.nextInt(3)
            : imageFetchMs > 0 ? imageFetchMs : 500 + random.nextInt(1500);
    clock.after(
        fetchMs,
        () -> {
          if (task.phase.equals("pulling") && !task.removed) {
            images.add(spec.image());
            imageReady(task);
          }
        });
  }

  private void imageReady(Task task) {
    task.active = true;
    noteChange();
    world.rules.taskStarted(task);
    if (completedTaskIds.contains(task.id)) {
      endTask(task, "done");
      return;
    }
    if (failsEveryTask) {
      endTask(task, "error");
      return;
    }
    if (task.spec.shape() == JobSpec.Shape.GANG) {
      task.phase = "gathering";
      world
          .gangs
          .computeIfAbsent(task.gangAttemptId(), k -> new SimGang(world, task.spec))
          .addMember(task);
      return;
    }
    task.phase = "running";
    if (task.spec.shape() != JobSpec.Shape.SERVICE) {
      scheduleCompletion(
          task,
          (long) (task.spec.estimatedRunS() * 1000 * world.runTimeFactor.applyAsDouble(task.id)));
    }
  }

  private void scheduleCompletion(Task task, long delayMs) {
    clock.after(
        delayMs,
        () -> {
          if (task.removed || !task.phase.equals("running")) {
            return;
          }
          if (hung) {
            scheduleCompletion(task, 500);
            return;
          }
          task.complete();
        });
  }

  private void endTask(Task task, String exitReason) {
    task.phase = "ended";
    task.exitReason = exitReason;
    deactivate(task);
    noteChange();
  }

  @Override
  public void serve(String from, String method, String path, byte[] body, Consumer<Response> done) {
    if (terminated) {
      return;
    }
    if (hung) {
      clock.after(200, () -> serve(from, method, path, body, done));
      return;
    }
    try {
      if (path.equals("/show")) {
        done.accept(SimStateService.answer(200, buildReport(from)));
        return;
      }
      Document message = Document.parse(body);
      long messageEpoch = message.count("epoch");
      if (messageEpoch < epoch || message.unsigned("tenure") != tenure) {
        done.accept(SimStateService.answer(409, buildReport(from)));
        return;
      }
      setToken(messageEpoch);
      applyCommands(message);
      done.accept(SimStateService.answer(200, buildReport(from)));
    } catch (BadMessage e) {
      done.accept(SimStateService.answer(400, Map.of()));
    }
  }
}
