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
import wickdrift.protocol.Unsigned;

/** An unfinished job: its specification and the states of its tasks, which are stored in chunks. */
public final class Job {
  /** With all its tasks live, a chunk takes about 2 KB, below the smallest known value limit. */
  public static final int TASKS_PER_CHUNK = 64;

  /**
   * How far the dependencies of a job are resolved, as {@link DependencyGraph} derives it. {@link
   * #READY} and {@link #WITHDRAWN} are final.
   */
  public enum DependencyState {
    /** The state of at least one awaited job, or the list of awaited jobs, is not known yet. */
    UNRESOLVED,
    /** At least one awaited job is not done. */
    WAITING,
    /** All awaited jobs are done: the job may start. */
    READY,
    /** An awaited job was withdrawn, and this job is withdrawn with it. */
    WITHDRAWN
  }

  /** The partition of a job that only the leader places. */
  public static final String LEADER_PARTITION = "*";

  private static final String CHUNK_KEY_PREFIX = "w/t/";

  private static final int SUSPECTED_AFTER_MACHINES = 2;

  /** The shortest interval between probes of a suspected job; it doubles with each failed round. */
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

  /** The indices of waiting tasks, so that a scheduling round need not scan a large array job. */
  private BitSet waitingIndices;

  private long[] chunkStamps;
  private long[] chunkRevisions;
  private int waitingCount;
  private int liveCount;
  private int doneCount;

  // The fields below are known to this process only and are not stored.

  /** Whether a peer announced the withdrawal; the record as read here may not show it yet. */
  private boolean withdrawalAnnounced;

  private long retryAtMs;
  private int refusals;
  private int failures;
  private int failuresHandled;
  private int probes;
  private boolean hasSucceeded;
  private final Set<Machine> failedOn = new LinkedHashSet<>();
  private long waitingSinceMs;

  // Derived by the dependency graph.
  private List<String> awaits = List.of();
  private AwaitsOverflow overflow;
  private DependencyState dependencyState = DependencyState.UNRESOLVED;
  private long readyWallMs;
  private InheritedUrgency inheritedUrgency = InheritedUrgency.NONE;
  private long blockedIndexVersion = -1;
  private long blockedUntilMs;
  private long nextPreemptionAtMs;

  /**
   * Creates a job without a record.
   *
   * @param usage is updated when an attempt is placed or ends
   * @param onChange is called at the first change, and again only after {@link #acknowledgeChanges}
   */
  Job(String id, TeamUsage usage, Consumer<Job> onChange) {
    this.id = id;
    this.usage = usage;
    this.onChange = onChange;
  }

  /**
   * The priority and the deadline that a job inherits from its direct and transitive dependents.
   *
   * @param priority the highest priority among all dependents
   * @param preemptionPriority the highest priority among the dependents that are reached through
   *     jobs of the same team only; it limits preemption, so that no team preempts others by way of
   *     another team's job
   * @param startByWallMs the wall-clock time by which the job must start for all dependents to meet
   *     their deadlines, or Long.MAX_VALUE without a deadline
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

  /** Acknowledges all changes so far: the next change calls {@code onChange} again. */
  void acknowledgeChanges() {
    changeNotified = false;
  }

  /** The key of a job's record. */
  public static String key(String id) {
    return "w/j/" + id;
  }

  /** The key of a job's entry in the job history. */
  public static String terminalStateKey(String id) {
    return "w/d/" + id;
  }

  /** The key of this job's record. */
  public String key() {
    return key(id);
  }

  /** Whether a key is that of a chunk of any job. */
  public static boolean isChunkKey(String key) {
    return key.startsWith(CHUNK_KEY_PREFIX);
  }

  /** The prefix of the keys of a job's chunks. */
  static String chunkKeyPrefix(String id) {
    return CHUNK_KEY_PREFIX + id + "/";
  }

  /** The key of a chunk of this job. */
  public String chunkKey(int chunk) {
    return chunkKeyPrefix(id) + chunk;
  }

  /**
   * The record to store for a job.
   *
   * @param overflow where the ids of awaited jobs are stored, or null if the record has them
   * @param withdrawnWallMs 0 if the job is not withdrawn
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

  /** The stored specification, without the ids of awaited jobs if they are in overflow records. */
  private static Map<String, Object> specToStore(JobSpec spec, AwaitsOverflow overflow) {
    return (overflow == null ? spec : spec.withAwaits(List.of())).toStore();
  }

  /**
   * The record to store when the partition or the withdrawal changes. Fields that a newer build
   * added are kept.
   *
   * @param withdrawnAtWallMs 0 if the job is not withdrawn
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
   * The record that replaces a job's record when the job reaches its terminal state, from {@link
   * wickdrift.bookkeeping.level.Gate#AWAITS} on, until the terminal state is moved to the job
   * history.
   */
  public static Map<String, Object> terminalToStore(TerminalState terminalState) {
    return new LinkedHashMap<>(Map.of("over", terminalState.toStore(true)));
  }

  /** Takes over the job's record as read from the state service. */
  void applyRecord(Document document, long newStamp) throws BadMessage {
    Document specDocument = Document.of(document.value("spec"));
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
      overflow = !document.has("more") ? null : AwaitsOverflow.parse(id, document.raw("more"));
    }
    acceptedWallMs = document.count("at");
    partition = document.text("part");
    unknownFields = document.fieldsExcept("spec", "more", "at", "part", "off", "offAt");
    boolean nowWithdrawn = document.flag("off");
    if (nowWithdrawn && !withdrawn) {
      machines().forEach(Machine::markChanged);
    }
    withdrawn = nowWithdrawn;
    withdrawnWallMs = document.count("offAt", 0);
    stamp = newStamp;
    notifyChange();
  }

  /** The machines that run live attempts of this job, without duplicates, in task order. */
  public Set<Machine> machines() {
    Set<Machine> occupied = new LinkedHashSet<>();
    int remaining = liveCount;
    for (int i = 0; i < tasks.length && remaining > 0; i++) {
      if (tasks[i].isLive()) {
        occupied.add(tasks[i].machine());
        remaining--;
      }
    }
    return occupied;
  }

  /** Notes a withdrawal that a peer announced: tasks are no longer started, live ones are ended. */
  void announceWithdrawal() {
    withdrawalAnnounced = true;
    machines().forEach(Machine::markChanged);
  }

  // ---- chunks ----

  /** The number of chunks that hold the tasks. */
  public int chunkCount() {
    return (spec.tasks() + TASKS_PER_CHUNK - 1) / TASKS_PER_CHUNK;
  }

  /** The index after the last task of a chunk. */
  public int chunkEnd(int chunk) {
    return Math.min(spec.tasks(), (chunk + 1) * TASKS_PER_CHUNK);
  }

  /** The stamp of a stored chunk, or 0 if it is not stored. */
  public long chunkStamp(int chunk) {
    return chunkStamps[chunk];
  }

  /** The revision up to which the stored chunk contains the entries of the logs. */
  public long chunkRevision(int chunk) {
    return chunkRevisions[chunk];
  }

  /**
   * Encodes a chunk as of a revision: ranges of finished tasks, live attempts, and waiting tasks
   * that had an attempt before.
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
    fields.put("rev", Unsigned.toWire(revision));
    fields.put("done", doneRanges);
    fields.put("live", liveTasks);
    fields.put("tried", triedTasks);
    return fields;
  }

  /**
   * The value to store for a chunk. A chunk that would exceed the value limit gets the dense
   * encoding: each machine is named once, and the numbers of the tasks are joined into one string.
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

  /** Splits a comma-separated text into rows of {@code width} numbers. */
  private static List<List<Object>> parseRows(String text, int width) throws BadMessage {
    List<List<Object>> rows = new ArrayList<>();
    String[] numbers = text.isEmpty() ? new String[0] : text.split(",");
    if (numbers.length % width != 0) {
      throw new BadMessage("chunk is truncated: its last row is incomplete");
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
      throw new BadMessage("chunk contains a value that is not a number");
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
          throw new BadMessage("chunk refers to a machine index that is out of range");
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

  /**
   * Notes that a chunk was stored or deleted. Its tasks are unchanged, because the log entries in
   * it were applied before.
   */
  void onChunkStored(int chunk, Document document, long newStamp) throws BadMessage {
    if (chunk < 0 || chunk >= chunkStamps.length) {
      throw new BadMessage("chunk index is out of range");
    }
    chunkStamps[chunk] = newStamp;
    Map<String, Object> unknown =
        document == null ? Map.of() : document.fieldsExcept("rev", "done", "live", "tried");
    if (!unknown.isEmpty()) {
      unknownChunkFields = new HashMap<>(unknownChunkFields);
      unknownChunkFields.put(chunk, unknown);
    }
    chunkRevisions[chunk] =
        document == null ? 0 : Unsigned.max(chunkRevisions[chunk], document.unsigned("rev"));
  }

  /** Replaces the states of a chunk's tasks by the stored ones. */
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

  // ---- log entries; false: the entry does not apply to the current state and is ignored ----

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
    setTask(index, state.exited(outcome == LogEntry.EXIT_DONE ? Report.EXIT_DONE : null));
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

  /** Records that an attempt failed on a machine, or (null) that an attempt succeeded. */
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
   * Whether the job itself is suspected as the cause of its failures: it failed on more than one
   * machine, and no task of it ever succeeded. All nodes derive this from the logs, so that any
   * node that places the job knows it, and a job submitted with a mistake causes no machine to be
   * quarantined.
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

  /**
   * Marks the waiting tasks of a gang as done once one of its tasks is done, since a gang completes
   * together.
   */
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

  /** Removes all live attempts from their machines when the job leaves the tables. */
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

  // ---- accessors ----

  /** The id that the job was accepted under. */
  public String id() {
    return id;
  }

  /** What was submitted, or null before the record was read. */
  public JobSpec spec() {
    return spec;
  }

  /** The stamp of the job's record. */
  public long stamp() {
    return stamp;
  }

  /** The wall-clock time at which the job was accepted. */
  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /** The partition that places the job, or {@link #LEADER_PARTITION}. */
  public String partition() {
    return partition;
  }

  /** The wall-clock time at which its user withdrew the job; 0 if that did not happen. */
  public long withdrawnWallMs() {
    return withdrawnWallMs;
  }

  /** Whether the job was withdrawn by its user or together with an awaited job. This is final. */
  public boolean withdrawn() {
    return withdrawn || dependencyState == DependencyState.WITHDRAWN;
  }

  /**
   * Whether the job is withdrawn, or its withdrawal was announced ahead of the tables: its live
   * attempts must end.
   */
  public boolean withdrawnOrAnnounced() {
    return withdrawn() || withdrawalAnnounced;
  }

  /** Whether its user withdrew this job, as its record says. */
  public boolean withdrawnByUser() {
    return withdrawn;
  }

  // ---- dependencies, and what the dependency graph derives from them ----

  /** The ids of the jobs that must be done before this job starts. */
  public List<String> awaits() {
    return awaits;
  }

  /**
   * The records that hold the ids of awaited jobs if the job's own record is too small, or null.
   */
  public AwaitsOverflow overflow() {
    return overflow;
  }

  void setAwaits(List<String> awaitedJobs) {
    awaits = awaitedJobs;
  }

  /** How far the awaited jobs are resolved. */
  public DependencyState dependencyState() {
    return dependencyState;
  }

  /** Changes the dependency state; no other method does. */
  void setDependencyState(DependencyState newState, long newReadyWallMs) {
    if (dependencyState == DependencyState.READY || dependencyState == DependencyState.WITHDRAWN) {
      throw new IllegalStateException(
          id + ": dependency state " + dependencyState + " cannot change to " + newState);
    }
    dependencyState = newState;
    readyWallMs = newReadyWallMs;
    notifyChange();
  }

  /** The wall-clock time at which the job was accepted or its last awaited job was done. */
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

  /**
   * The priority, own or inherited, that decides the service order and protects the running job
   * from preemption.
   */
  public JobSpec.Priority effectivePriority() {
    return higherOf(spec.priority(), inheritedUrgency.priority);
  }

  /** The priority, own or inherited within the team, with which the job may preempt others. */
  public JobSpec.Priority preemptionPriority() {
    return higherOf(spec.priority(), inheritedUrgency.preemptionPriority);
  }

  /**
   * The wall-clock time by which the job must start so that its dependents meet their deadlines.
   */
  public long startByWallMs() {
    return inheritedUrgency.startByWallMs;
  }

  /** The state of a task. */
  public TaskState task(int index) {
    return tasks[index];
  }

  /** The index of the first waiting task at or after an index, or -1. */
  public int nextWaiting(int from) {
    return waitingIndices.nextSetBit(from);
  }

  /** The number of tasks. */
  public int taskCount() {
    return tasks.length;
  }

  /** The number of waiting tasks. */
  public int waitingCount() {
    return waitingCount;
  }

  /** The number of live attempts. */
  public int liveCount() {
    return liveCount;
  }

  /** The number of tasks that are done. */
  public int doneCount() {
    return doneCount;
  }

  // ---- state of this process, not stored ----

  /** The earliest time of the next placement. */
  public long retryAtMs() {
    return retryAtMs;
  }

  /**
   * Counts a refusal by a worker to start a task; from the fourth on, the retry delay doubles up to
   * 30 s.
   */
  public void backOffAfterRefusal(long nowMs) {
    refusals++;
    if (refusals > 3) {
      retryAtMs = nowMs + Math.min(30_000L, 500L << Math.min(refusals - 3, 6));
    }
  }

  /**
   * Handles the failures since the last call: after each round of failures a suspected job waits
   * longer. Returns whether the job is suspected and had failures.
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

  /** Delays the next placement after one task of a suspected job was placed as a probe. */
  public void scheduleNextProbe(long nowMs) {
    retryAtMs =
        Math.max(
            retryAtMs,
            nowMs + (MIN_PROBE_INTERVAL_MS << Math.min(probes, MAX_PROBE_INTERVAL_DOUBLINGS)));
  }

  /** Since when the job has waited without interruption; the wait starts with the first call. */
  public long waitingSinceMs(long nowMs) {
    if (waitingSinceMs == 0) {
      waitingSinceMs = nowMs;
    }
    return waitingSinceMs;
  }

  /** The earliest time of the next search for preemption victims. */
  public long nextPreemptionAtMs() {
    return nextPreemptionAtMs;
  }

  /** Sets the earliest time of the next search for preemption victims. */
  public void setNextPreemptionAtMs(long atMs) {
    nextPreemptionAtMs = atMs;
  }

  /** Ends the current wait, and forgets that the job was blocked. */
  public void resetWaiting() {
    waitingSinceMs = 0;
    blockedIndexVersion = -1;
  }

  /** Notes that no capacity was found for the job at this version of the capacity index. */
  public void setBlocked(long version, long untilMs) {
    blockedIndexVersion = version;
    blockedUntilMs = untilMs;
  }

  /**
   * Whether the capacity index is unchanged since the job was blocked, and the block has not
   * expired.
   */
  public boolean stillBlocked(long version, long nowMs) {
    return blockedIndexVersion == version && nowMs < blockedUntilMs;
  }
}
