package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Report;

/** One unfinished job: what was submitted, and its tasks, in chunks that are stored together. */
public final class Job {
  /** Tasks a chunk: all live, a chunk takes about 2 KB, below the smallest value limit known. */
  public static final int TASKS_PER_CHUNK = 64;

  /**
   * How a job stands to those that it awaits, as {@link DependencyGraph} draws it. It goes from the
   * top down, and the last two are final.
   */
  public enum DependencyState {
    /** What became of one that it awaits is not known here yet. */
    UNRESOLVED,
    /** One that it awaits is not done. */
    WAITING,
    /** All are done: it may start. */
    READY,
    /** One was withdrawn, so this one is. */
    WITHDRAWN
  }

  /** The owner of a job that only the leader places. */
  public static final String LEADER_PARTITION = "*";

  private static final String CHUNK_KEY_PREFIX = "w/t/";

  private static final int SUSPECTED_AFTER_MACHINES = 2;

  /** The pause between the tries of a suspect: from this, doubled up to so often. */
  private static final long MIN_PROBE_INTERVAL_MS = 4000;

  private static final int MAX_PROBE_INTERVAL_DOUBLINGS = 4;

  private final String id;
  private final TeamUsage usage;
  private final Consumer<Job> onChange;
  private boolean changeNotified;
  private JobSpec spec;
  private long stamp;
  private long acceptedWallMs;
  private String partition;
  private Map<String, Object> unknownFields = Map.of();
  private Map<String, Object> unknownSpecFields = Map.of();
  private Map<Integer, Map<String, Object>> unknownChunkFields = Map.of();
  private boolean withdrawn;
  private long withdrawnWallMs;
  private TaskState[] tasks;

  /** The indices of those that wait: a round does not go over all of a large array. */
  private BitSet waitingIndices;

  private long[] chunkStamps;
  private long[] chunkRevisions;
  private int waitingCount;
  private int liveCount;
  private int doneCount;

  // Known to this process only.

  /** A peer has told that it is withdrawn; its record as read here may not say so yet. */
  private boolean withdrawalAnnounced;

  private long retryAtMs;
  private int refusals;
  private int failures;
  private int failuresHandled;
  private int probes;
  private boolean hasSucceeded;
  private final Set<Machine> failedOn = new LinkedHashSet<>();
  private long waitingSinceMs;

  // Drawn by the chains.
  private List<String> awaits = List.of();
  private AwaitsOverflow overflow;
  private DependencyState dependencyState = DependencyState.UNRESOLVED;
  private long readyWallMs;
  private InheritedUrgency inheritedUrgency = InheritedUrgency.NONE;
  private long blockedIndexVersion = -1;
  private long blockedUntilMs;
  private long nextPreemptionAtMs;

  /**
   * @param usage told of each attempt that begins or ends
   * @param onChange told once of each run of changes, until {@link #acknowledgeChanges} is called
   */
  Job(String id, TeamUsage usage, Consumer<Job> onChange) {
    this.id = id;
    this.usage = usage;
    this.onChange = onChange;
  }

  /**
   * What those that await a job lend to it.
   *
   * @param priority the highest of any that needs it, directly or through others
   * @param preemptionPriority the same of those that need it through its own team's jobs only: as
   *     that it may stop others' work, for no team is to do so by way of another's job
   * @param startByWallMs when it must start so that the last of them is done in time;
   *     Long.MAX_VALUE: no matter when
   */
  public record InheritedUrgency(
      JobSpec.Priority priority, JobSpec.Priority preemptionPriority, long startByWallMs) {
    static final InheritedUrgency NONE =
        new InheritedUrgency(JobSpec.Priority.LOW, JobSpec.Priority.LOW, Long.MAX_VALUE);

    InheritedUrgency combine(InheritedUrgency other) {
      return new InheritedUrgency(
          higherOf(priority, other.priority),
          higherOf(preemptionPriority, other.preemptionPriority),
          Math.min(startByWallMs, other.startByWallMs));
    }
  }

  static JobSpec.Priority higherOf(JobSpec.Priority a, JobSpec.Priority b) {
    return a.ordinal() <= b.ordinal() ? a : b;
  }

  private void notifyChange() {
    if (!changeNotified) {
      changeNotified = true;
      onChange.accept(this);
    }
  }

  /** The changes so far were taken note of. */
  void acknowledgeChanges() {
    changeNotified = false;
  }

  public static String key(String id) {
    return "w/j/" + id;
  }

  public static String terminalStateKey(String id) {
    return "w/d/" + id;
  }

  public String key() {
    return key(id);
  }

  /** Whether a key is that of a chunk, of whatever job. */
  public static boolean isChunkKey(String key) {
    return key.startsWith(CHUNK_KEY_PREFIX);
  }

  public String chunkKey(int chunk) {
    return CHUNK_KEY_PREFIX + id + "/" + chunk;
  }

  /**
   * @param withdrawnWallMs 0 if it is not withdrawn
   */
  public static Map<String, Object> toStore(
      JobSpec spec,
      AwaitsOverflow overflow,
      long acceptedWallMs,
      String partition,
      long withdrawnWallMs) {
    Map<String, Object> record = new LinkedHashMap<>();
    record.put("spec", specToStore(spec, overflow));
    if (overflow != null) {
      record.put("more", overflow.toStore());
    }
    record.put("at", acceptedWallMs);
    record.put("part", partition);
    record.put("off", withdrawnWallMs > 0);
    record.put("offAt", withdrawnWallMs);
    return record;
  }

  /** What was submitted, without names that are in records of their own. */
  private static Map<String, Object> specToStore(JobSpec spec, AwaitsOverflow overflow) {
    return (overflow == null ? spec : spec.awaiting(List.of())).toStore();
  }

  /**
   * What is stored of it when its part or its withdrawal changes; what a newer writer added stays.
   *
   * @param withdrawnAtWallMs 0 if it is not withdrawn
   */
  public Map<String, Object> toStore(String newPartition, long withdrawnAtWallMs) {
    Map<String, Object> record =
        toStore(spec, overflow, acceptedWallMs, newPartition, withdrawnAtWallMs);
    record.putAll(unknownFields);
    if (!unknownSpecFields.isEmpty()) {
      Map<String, Object> specFields = specToStore(spec, overflow);
      specFields.putAll(unknownSpecFields);
      record.put("spec", specFields);
    }
    return record;
  }

  /**
   * What stands in a job's place when it is over, since {@link
   * wickdrift.bookkeeping.level.Gate#AWAITS}, until its end is moved to its lasting place.
   */
  public static Map<String, Object> terminalToStore(TerminalState terminalState) {
    return new LinkedHashMap<>(Map.of("over", terminalState.toStore(true)));
  }

  void applyRecord(Document document, long newStamp) throws BadMessage {
    Document specDocument = Document.of(document.raw("spec"));
    unknownSpecFields = JobSpec.unknownFields(specDocument);
    if (spec == null) {
      spec = JobSpec.parse(specDocument);
      tasks = new TaskState[spec.tasks()];
      Arrays.fill(tasks, TaskState.NEW);
      chunkStamps = new long[chunkCount()];
      chunkRevisions = new long[chunkCount()];
      waitingCount = tasks.length;
      waitingIndices = new BitSet(tasks.length);
      waitingIndices.set(0, tasks.length);
      awaits = spec.awaits();
      overflow =
          document.raw("more") == null ? null : AwaitsOverflow.parse(id, document.raw("more"));
    }
    acceptedWallMs = document.count("at");
    partition = document.text("part");
    unknownFields = document.without("spec", "more", "at", "part", "off", "offAt");
    boolean nowWithdrawn = document.flag("off");
    if (nowWithdrawn && !withdrawn) {
      machines().forEach(Machine::markChanged);
    }
    withdrawn = nowWithdrawn;
    withdrawnWallMs = document.count("offAt", 0);
    stamp = newStamp;
    notifyChange();
  }

  /** The machines that live attempts of it are booked on, each once, in the order of its tasks. */
  public Set<Machine> machines() {
    Set<Machine> booked = new LinkedHashSet<>();
    int remaining = liveCount;
    for (int i = 0; i < tasks.length && remaining > 0; i++) {
      if (tasks[i].isLive()) {
        booked.add(tasks[i].machine());
        remaining--;
      }
    }
    return booked;
  }

  /** Told by a peer to be withdrawn: nothing of it is started or kept from now on. */
  void announceWithdrawal() {
    withdrawalAnnounced = true;
    machines().forEach(Machine::markChanged);
  }

  // ---- chunks ----

  public int chunkCount() {
    return (spec.tasks() + TASKS_PER_CHUNK - 1) / TASKS_PER_CHUNK;
  }

  public int chunkEnd(int chunk) {
    return Math.min(spec.tasks(), (chunk + 1) * TASKS_PER_CHUNK);
  }

  public long chunkStamp(int chunk) {
    return chunkStamps[chunk];
  }

  /** Up to which revision the stored chunk holds what the logs say. */
  public long chunkRevision(int chunk) {
    return chunkRevisions[chunk];
  }

  /**
   * The chunk as of a revision: ranges of finished tasks, live attempts, and waiting tasks that
   * were tried before.
   */
  public Map<String, Object> encodeChunk(int chunk, long revision, IntFunction<TaskState> states) {
    List<Object> doneRanges = new ArrayList<>();
    List<Object> liveTasks = new ArrayList<>();
    List<Object> triedTasks = new ArrayList<>();
    int from = chunk * TASKS_PER_CHUNK;
    int runStart = -1;
    for (int i = from; i <= chunkEnd(chunk); i++) {
      TaskState state = i < chunkEnd(chunk) ? states.apply(i) : null;
      boolean isDone = state != null && state.phase() == TaskState.Phase.DONE;
      if (isDone && runStart < 0) {
        runStart = i;
      } else if (!isDone && runStart >= 0) {
        doneRanges.add(runStart);
        doneRanges.add(i - runStart);
        runStart = -1;
      }
      if (state != null && state.isLive()) {
        liveTasks.add(
            List.of(
                i,
                state.attempt(),
                state.machine().name(),
                state.placer(),
                state.stop().ordinal()));
      } else if (state != null && !isDone && state.attempt() > 0) {
        triedTasks.add(List.of(i, state.attempt()));
      }
    }
    Map<String, Object> fields =
        new LinkedHashMap<>(unknownChunkFields.getOrDefault(chunk, Map.of()));
    fields.put("rev", revision);
    fields.put("done", doneRanges);
    fields.put("live", liveTasks);
    fields.put("tried", triedTasks);
    return fields;
  }

  /**
   * The chunk as it is to be stored. Where it would be larger than a value may be, each machine is
   * named once, and of the tasks the numbers alone are told, as one text.
   */
  public Object chunkToStore(
      int chunk,
      long revision,
      IntFunction<TaskState> states,
      int encodingVersion,
      int maxValueBytes) {
    Map<String, Object> fields = encodeChunk(chunk, revision, states);
    Object value = Encoding.wrap(encodingVersion, fields);
    if (encodingVersion < Encoding.NUMBERED || MessageCodec.jsonSize(value) <= maxValueBytes) {
      return value;
    }
    List<Object> machines = new ArrayList<>();
    StringBuilder liveText = new StringBuilder();
    for (Object o : (List<?>) fields.get("live")) {
      List<?> fieldsOfTask = (List<?>) o;
      int machineIndex = machines.indexOf(fieldsOfTask.get(2));
      if (machineIndex < 0) {
        machineIndex = machines.size();
        machines.add(fieldsOfTask.get(2));
      }
      liveText
          .append(fieldsOfTask.get(0))
          .append(',')
          .append(fieldsOfTask.get(1))
          .append(',')
          .append(machineIndex)
          .append(',');
      liveText.append(fieldsOfTask.get(3)).append(',').append(fieldsOfTask.get(4)).append(',');
    }
    fields.put("live", List.of(machines, liveText.toString()));
    StringBuilder triedText = new StringBuilder();
    for (Object o : (List<?>) fields.get("tried")) {
      List<?> fieldsOfTask = (List<?>) o;
      triedText.append(fieldsOfTask.get(0)).append(',').append(fieldsOfTask.get(1)).append(',');
    }
    fields.put("tried", List.of(triedText.toString()));
    return Encoding.wrap(Encoding.DENSE, fields);
  }

  /** Lists of so many numbers, from a text of all of them. */
  private static List<List<Object>> parseRows(String text, int width) throws BadMessage {
    List<List<Object>> rows = new ArrayList<>();
    String[] numbers = text.isEmpty() ? new String[0] : text.split(",");
    if (numbers.length % width != 0) {
      throw new BadMessage("a chunk ends early");
    }
    try {
      for (int i = 0; i < numbers.length; i += width) {
        List<Object> row = new ArrayList<>();
        for (int column = 0; column < width; column++) {
          row.add(Long.parseLong(numbers[i + column]));
        }
        rows.add(row);
      }
    } catch (NumberFormatException e) {
      throw new BadMessage("a chunk holds something that is not a number");
    }
    return rows;
  }

  private static List<?> liveRows(Document document) throws BadMessage {
    List<?> stored = document.list("live");
    if (stored.size() == 2
        && stored.get(0) instanceof List<?> machines
        && stored.get(1) instanceof String text) {
      List<List<Object>> rows = parseRows(text, 5);
      for (List<Object> row : rows) {
        int machineIndex = toInt(row.get(2));
        if (machineIndex < 0 || machineIndex >= machines.size()) {
          throw new BadMessage("a chunk names no such machine");
        }
        row.set(2, machines.get(machineIndex));
      }
      return rows;
    }
    return stored;
  }

  private static List<?> triedRows(Document document) throws BadMessage {
    List<?> stored = document.list("tried");
    return stored.size() == 1 && stored.get(0) instanceof String text ? parseRows(text, 2) : stored;
  }

  /** A chunk was stored, or deleted: those who follow the logs know its content already. */
  void onChunkStored(int chunk, Document document, long newStamp) throws BadMessage {
    if (chunk < 0 || chunk >= chunkStamps.length) {
      throw new BadMessage("no such chunk");
    }
    chunkStamps[chunk] = newStamp;
    Map<String, Object> unknown =
        document == null ? Map.of() : document.without("rev", "done", "live", "tried");
    if (!unknown.isEmpty()) {
      unknownChunkFields = new HashMap<>(unknownChunkFields);
      unknownChunkFields.put(chunk, unknown);
    }
    chunkRevisions[chunk] =
        document == null ? 0 : Math.max(chunkRevisions[chunk], document.count("rev"));
  }

  /** Takes over a chunk's tasks as they are stored. */
  void restoreChunk(
      int chunk,
      Document document,
      long newStamp,
      java.util.function.Function<String, Machine> findMachine)
      throws BadMessage {
    onChunkStored(chunk, document, newStamp);
    int from = chunk * TASKS_PER_CHUNK;
    int end = chunkEnd(chunk);
    TaskState[] restored = new TaskState[end - from];
    Arrays.fill(restored, TaskState.NEW);
    if (document != null) {
      List<?> ranges = document.list("done");
      for (int i = 0; i + 1 < ranges.size(); i += 2) {
        int start = toInt(ranges.get(i));
        int count = toInt(ranges.get(i + 1));
        for (int k = start; k < start + count; k++) {
          restored[k - from] = TaskState.FINISHED;
        }
      }
      for (Object o : liveRows(document)) {
        List<?> row = (List<?>) o;
        restored[toInt(row.get(0)) - from] =
            new TaskState(
                TaskState.Phase.LIVE,
                toInt(row.get(1)),
                findMachine.apply((String) row.get(2)),
                toInt(row.get(3)),
                TaskState.Stop.values()[toInt(row.get(4))]);
      }
      for (Object o : triedRows(document)) {
        List<?> row = (List<?>) o;
        restored[toInt(row.get(0)) - from] = TaskState.waiting(toInt(row.get(1)));
      }
    }
    for (int i = from; i < end; i++) {
      setTask(i, restored[i - from]);
    }
  }

  // ---- what the logs say; false: it does not follow on what is known, and is void ----

  boolean applyPlacement(int index, int attempt, Machine machine, int placer) {
    TaskState state = tasks[index];
    if (state.phase() != TaskState.Phase.WAITING || attempt <= state.attempt()) {
      return false;
    }
    setTask(index, state.placed(attempt, machine, placer));
    return true;
  }

  boolean applyExit(int index, int attempt, int outcome) {
    TaskState state = tasks[index];
    if (!state.isLive() || state.attempt() != attempt) {
      return false;
    }
    Machine machine = state.machine();
    setTask(index, state.exited(outcome == LogEntry.EXIT_DONE ? Report.DONE : null));
    if (outcome == LogEntry.EXIT_DONE) {
      machine.recordSuccess();
      recordOutcome(null);
    } else if (outcome == LogEntry.EXIT_FAILED) {
      failures++;
      machine.recordFailure(this);
      recordOutcome(machine);
    }
    completeGang();
    return true;
  }

  /** It failed on a machine, or (null) has shown that it can work. */
  private void recordOutcome(Machine failedMachine) {
    boolean wasSuspected = isSuspected();
    if (failedMachine == null) {
      hasSucceeded = true;
    } else {
      failedOn.add(failedMachine);
    }
    if (isSuspected() != wasSuspected) {
      failedOn.forEach(Machine::jobSuspicionChanged);
    }
    if (hasSucceeded) {
      failedOn.clear();
    }
  }

  /**
   * Whether its failures are taken for its own: it has failed on more than one machine, and nothing
   * of it was ever done. All nodes draw this from the logs, so whoever places it knows, and a job
   * that was submitted with a mistake gets no machine shunned.
   */
  public boolean isSuspected() {
    return !hasSucceeded && doneCount == 0 && failedOn.size() >= SUSPECTED_AFTER_MACHINES;
  }

  boolean applyStop(int index, int attempt, TaskState.Stop how) {
    TaskState state = tasks[index];
    if (!state.isLive() || state.attempt() != attempt) {
      return false;
    }
    setTask(index, state.stopping(how));
    return true;
  }

  /** A gang completes together: when one task is done, those that have exited are done too. */
  void completeGang() {
    if (spec.shape() == JobSpec.Shape.GANG && doneCount > 0) {
      for (int i = 0; i < tasks.length; i++) {
        if (tasks[i].phase() == TaskState.Phase.WAITING) {
          setTask(i, tasks[i].doneWithGang());
        }
      }
    }
  }

  private static int toInt(Object o) {
    return ((Number) o).intValue();
  }

  private void setTask(int index, TaskState next) {
    TaskState old = tasks[index];
    if (old.isLive() && old.machine() != next.machine()) {
      old.machine().remove(this, index);
    }
    if (next.isLive() && old.machine() != next.machine()) {
      next.machine().add(new Machine.Slot(this, index));
    }
    if (next.isLive() && next.stop() != old.stop()) {
      next.machine().markChanged();
    }
    if (old.isLive() && (!next.isLive() || next.placer() != old.placer())) {
      usage.add(spec, old.placer(), -1);
    }
    if (next.isLive() && (!old.isLive() || next.placer() != old.placer())) {
      usage.add(spec, next.placer(), 1);
    }
    notifyChange();
    adjustCount(old.phase(), -1);
    adjustCount(next.phase(), 1);
    tasks[index] = next;
    waitingIndices.set(index, next.phase() == TaskState.Phase.WAITING);
  }

  private void adjustCount(TaskState.Phase phase, int delta) {
    switch (phase) {
      case WAITING -> waitingCount += delta;
      case LIVE -> liveCount += delta;
      case DONE -> doneCount += delta;
      default -> throw new AssertionError(phase);
    }
  }

  /** The job is over: nothing of it is booked any more. */
  void releaseTasks() {
    if (spec == null) {
      return;
    }
    notifyChange();
    for (int i = 0; i < tasks.length && liveCount > 0; i++) {
      if (tasks[i].isLive()) {
        setTask(i, TaskState.waiting(tasks[i].attempt()));
      }
    }
  }

  // ---- reading ----

  public String id() {
    return id;
  }

  public JobSpec spec() {
    return spec;
  }

  public long stamp() {
    return stamp;
  }

  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  public String partition() {
    return partition;
  }

  /** When its user asked for that, by the time of day; 0 if never. */
  public long withdrawnWallMs() {
    return withdrawnWallMs;
  }

  /** Withdrawn by its user, or with one that it awaits. Final. */
  public boolean withdrawn() {
    return withdrawn || dependencyState == DependencyState.WITHDRAWN;
  }

  /** Withdrawn, or known to be ahead of what the tables say: what is there of it is to end. */
  public boolean withdrawnOrAnnounced() {
    return withdrawn() || withdrawalAnnounced;
  }

  /** Whether its user has withdrawn it itself: what its record says. */
  public boolean withdrawnByUser() {
    return withdrawn;
  }

  // ---- what it awaits, and who awaits it: drawn by the chains ----

  /** The jobs that must be done before it starts. */
  public List<String> awaits() {
    return awaits;
  }

  /** Where the names are that its own record has no room for, or null. */
  public AwaitsOverflow overflow() {
    return overflow;
  }

  void setAwaits(List<String> awaitedJobs) {
    awaits = awaitedJobs;
  }

  public DependencyState dependencyState() {
    return dependencyState;
  }

  /** The one function by which its stage changes. */
  void setDependencyState(DependencyState newState, long newReadyWallMs) {
    if (dependencyState == DependencyState.READY || dependencyState == DependencyState.WITHDRAWN) {
      throw new IllegalStateException(
          id + " is " + dependencyState + " and can't become " + newState);
    }
    dependencyState = newState;
    readyWallMs = newReadyWallMs;
    notifyChange();
  }

  /** By the time of day, when it was accepted, or the last of those that it awaits was done. */
  public long readyWallMs() {
    return Math.max(acceptedWallMs, readyWallMs);
  }

  void setInheritedUrgency(InheritedUrgency newUrgency) {
    if (!newUrgency.equals(inheritedUrgency)) {
      inheritedUrgency = newUrgency;
      notifyChange();
    }
  }

  InheritedUrgency inheritedUrgency() {
    return inheritedUrgency;
  }

  /** As what it is served and, while it runs, spared. */
  public JobSpec.Priority effectivePriority() {
    return higherOf(spec.priority(), inheritedUrgency.priority);
  }

  /** As what it may stop the work of others. */
  public JobSpec.Priority preemptionPriority() {
    return higherOf(spec.priority(), inheritedUrgency.preemptionPriority);
  }

  /** When it must start for the sake of those that await it, by the time of day. */
  public long startByWallMs() {
    return inheritedUrgency.startByWallMs;
  }

  public TaskState task(int index) {
    return tasks[index];
  }

  /** The first task from an index on that waits, or -1. */
  public int nextWaiting(int from) {
    return waitingIndices.nextSetBit(from);
  }

  public int taskCount() {
    return tasks.length;
  }

  public int waitingCount() {
    return waitingCount;
  }

  public int liveCount() {
    return liveCount;
  }

  public int doneCount() {
    return doneCount;
  }

  // ---- this process's own notes ----

  public long retryAtMs() {
    return retryAtMs;
  }

  /** A worker would not start it: later and later. */
  public void backOffAfterRefusal(long nowMs) {
    refusals++;
    if (refusals > 3) {
      retryAtMs = nowMs + Math.min(30_000L, 500L << Math.min(refusals - 3, 6));
    }
  }

  /**
   * Takes note of failures since the last call: a suspect waits longer after each round of them;
   * true if there was one.
   */
  public boolean backOffAfterFailures(long nowMs) {
    boolean failed = failuresHandled != failures;
    failuresHandled = failures;
    if (failed && isSuspected()) {
      scheduleNextProbe(nowMs);
      probes++;
      return true;
    }
    return false;
  }

  /** One task of a suspect was placed, to see: the next one waits. */
  public void scheduleNextProbe(long nowMs) {
    retryAtMs =
        Math.max(
            retryAtMs,
            nowMs + (MIN_PROBE_INTERVAL_MS << Math.min(probes, MAX_PROBE_INTERVAL_DOUBLINGS)));
  }

  public long waitingSinceMs(long nowMs) {
    if (waitingSinceMs == 0) {
      waitingSinceMs = nowMs;
    }
    return waitingSinceMs;
  }

  /** When it may look again for what to stop in its favour. */
  public long nextPreemptionAtMs() {
    return nextPreemptionAtMs;
  }

  public void setNextPreemptionAtMs(long atMs) {
    nextPreemptionAtMs = atMs;
  }

  public void resetWaiting() {
    waitingSinceMs = 0;
    blockedIndexVersion = -1;
  }

  /** No room was found for it when the index of rooms had this version. */
  public void setBlocked(long version, long untilMs) {
    blockedIndexVersion = version;
    blockedUntilMs = untilMs;
  }

  /** Whether nothing has changed since that would make another look worth while. */
  public boolean stillBlocked(long version, long nowMs) {
    return blockedIndexVersion == version && nowMs < blockedUntilMs;
  }
}
