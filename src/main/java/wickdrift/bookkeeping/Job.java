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

  private static final String CHUNKS = "w/t/";

  private static final int SUSPECT_MACHINES = 2;

  /** The pause between the tries of a suspect: from this, doubled up to so often. */
  private static final long PROBE_MS = 4000;

  private static final int PROBE_DOUBLINGS = 4;

  private final String id;
  private final TeamUsage usage;
  private final Consumer<Job> onChange;
  private boolean noted;
  private JobSpec spec;
  private long stamp;
  private long acceptedWallMs;
  private String part;
  private Map<String, Object> extra = Map.of();
  private Map<String, Object> specExtra = Map.of();
  private Map<Integer, Map<String, Object>> chunkExtra = Map.of();
  private boolean withdrawn;
  private long withdrawnWallMs;
  private TaskState[] tasks;

  /** The indices of those that wait: a round does not go over all of a large array. */
  private BitSet waitingTasks;

  private long[] chunkStamps;
  private long[] chunkRevs;
  private int waiting;
  private int live;
  private int done;

  // Known to this process only.

  /** A peer has told that it is withdrawn; its record as read here may not say so yet. */
  private boolean foretold;

  private long retryAtMs;
  private int refusals;
  private int failures;
  private int failuresSeen;
  private int probes;
  private boolean worked;
  private final Set<Machine> failedOn = new LinkedHashSet<>();
  private long waitingSinceMs;

  // Drawn by the chains.
  private List<String> awaits = List.of();
  private AwaitsOverflow overflow;
  private DependencyState dependencyState = DependencyState.UNRESOLVED;
  private long readyWallMs;
  private InheritedUrgency pull = InheritedUrgency.NONE;
  private long blockedVersion = -1;
  private long blockedUntilMs;
  private long preemptAtMs;

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
   * @param rank the highest of any that needs it, directly or through others
   * @param teamRank the same of those that need it through its own team's jobs only: as that it may
   *     stop others' work, for no team is to do so by way of another's job
   * @param startByWallMs when it must start so that the last of them is done in time;
   *     Long.MAX_VALUE: no matter when
   */
  public record InheritedUrgency(
      JobSpec.Priority rank, JobSpec.Priority teamRank, long startByWallMs) {
    static final InheritedUrgency NONE =
        new InheritedUrgency(JobSpec.Priority.LOW, JobSpec.Priority.LOW, Long.MAX_VALUE);

    InheritedUrgency and(InheritedUrgency o) {
      return new InheritedUrgency(
          higher(rank, o.rank),
          higher(teamRank, o.teamRank),
          Math.min(startByWallMs, o.startByWallMs));
    }
  }

  static JobSpec.Priority higher(JobSpec.Priority a, JobSpec.Priority b) {
    return a.ordinal() <= b.ordinal() ? a : b;
  }

  private void note() {
    if (!noted) {
      noted = true;
      onChange.accept(this);
    }
  }

  /** The changes so far were taken note of. */
  void acknowledgeChanges() {
    noted = false;
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
    return key.startsWith(CHUNKS);
  }

  public String chunkKey(int chunk) {
    return CHUNKS + id + "/" + chunk;
  }

  /**
   * @param withdrawnWallMs 0 if it is not withdrawn
   */
  public static Map<String, Object> toStore(
      JobSpec spec, AwaitsOverflow more, long acceptedWallMs, String part, long withdrawnWallMs) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("spec", described(spec, more));
    if (more != null) {
      m.put("more", more.toStore());
    }
    m.put("at", acceptedWallMs);
    m.put("part", part);
    m.put("off", withdrawnWallMs > 0);
    m.put("offAt", withdrawnWallMs);
    return m;
  }

  /** What was submitted, without names that are in records of their own. */
  private static Map<String, Object> described(JobSpec spec, AwaitsOverflow more) {
    return (more == null ? spec : spec.awaiting(List.of())).toStore();
  }

  /**
   * What is stored of it when its part or its withdrawal changes; what a newer writer added stays.
   *
   * @param offWallMs 0 if it is not withdrawn
   */
  public Map<String, Object> toStore(String newPart, long offWallMs) {
    Map<String, Object> m = toStore(spec, overflow, acceptedWallMs, newPart, offWallMs);
    m.putAll(extra);
    if (!specExtra.isEmpty()) {
      Map<String, Object> s = described(spec, overflow);
      s.putAll(specExtra);
      m.put("spec", s);
    }
    return m;
  }

  /**
   * What stands in a job's place when it is over, since {@link
   * wickdrift.bookkeeping.level.Gate#AWAITS}, until its end is moved to its lasting place.
   */
  public static Map<String, Object> terminalToStore(TerminalState how) {
    return new LinkedHashMap<>(Map.of("over", how.toStore(true)));
  }

  void applyRecord(Document d, long newStamp) throws BadMessage {
    Document s = Document.of(d.raw("spec"));
    specExtra = JobSpec.unknownFields(s);
    if (spec == null) {
      spec = JobSpec.parse(s);
      tasks = new TaskState[spec.tasks()];
      Arrays.fill(tasks, TaskState.NEW);
      chunkStamps = new long[chunkCount()];
      chunkRevs = new long[chunkCount()];
      waiting = tasks.length;
      waitingTasks = new BitSet(tasks.length);
      waitingTasks.set(0, tasks.length);
      awaits = spec.awaits();
      overflow = d.raw("more") == null ? null : AwaitsOverflow.parse(id, d.raw("more"));
    }
    acceptedWallMs = d.count("at");
    part = d.text("part");
    extra = d.without("spec", "more", "at", "part", "off", "offAt");
    boolean off = d.flag("off");
    if (off && !withdrawn) {
      machines().forEach(Machine::markChanged);
    }
    withdrawn = off;
    withdrawnWallMs = d.count("offAt", 0);
    stamp = newStamp;
    note();
  }

  /** The machines that live attempts of it are booked on, each once, in the order of its tasks. */
  public Set<Machine> machines() {
    Set<Machine> out = new LinkedHashSet<>();
    int left = live;
    for (int i = 0; i < tasks.length && left > 0; i++) {
      if (tasks[i].isLive()) {
        out.add(tasks[i].machine());
        left--;
      }
    }
    return out;
  }

  /** Told by a peer to be withdrawn: nothing of it is started or kept from now on. */
  void announceWithdrawal() {
    foretold = true;
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
    return chunkRevs[chunk];
  }

  /**
   * The chunk as of a revision: ranges of finished tasks, live attempts, and waiting tasks that
   * were tried before.
   */
  public Map<String, Object> encodeChunk(int chunk, long rev, IntFunction<TaskState> states) {
    List<Object> doneRanges = new ArrayList<>();
    List<Object> liveOnes = new ArrayList<>();
    List<Object> tried = new ArrayList<>();
    int from = chunk * TASKS_PER_CHUNK;
    int runStart = -1;
    for (int i = from; i <= chunkEnd(chunk); i++) {
      TaskState s = i < chunkEnd(chunk) ? states.apply(i) : null;
      boolean isDone = s != null && s.phase() == TaskState.Phase.DONE;
      if (isDone && runStart < 0) {
        runStart = i;
      } else if (!isDone && runStart >= 0) {
        doneRanges.add(runStart);
        doneRanges.add(i - runStart);
        runStart = -1;
      }
      if (s != null && s.isLive()) {
        liveOnes.add(List.of(i, s.attempt(), s.machine().name(), s.placer(), s.stop().ordinal()));
      } else if (s != null && !isDone && s.attempt() > 0) {
        tried.add(List.of(i, s.attempt()));
      }
    }
    Map<String, Object> m = new LinkedHashMap<>(chunkExtra.getOrDefault(chunk, Map.of()));
    m.put("rev", rev);
    m.put("done", doneRanges);
    m.put("live", liveOnes);
    m.put("tried", tried);
    return m;
  }

  /**
   * The chunk as it is to be stored. Where it would be larger than a value may be, each machine is
   * named once, and of the tasks the numbers alone are told, as one text.
   */
  public Object chunkToStore(
      int chunk, long rev, IntFunction<TaskState> states, int form, int valueBytes) {
    Map<String, Object> m = encodeChunk(chunk, rev, states);
    Object value = Encoding.wrap(form, m);
    if (form < Encoding.NUMBERED || MessageCodec.jsonSize(value) <= valueBytes) {
      return value;
    }
    List<Object> machines = new ArrayList<>();
    StringBuilder text = new StringBuilder();
    for (Object o : (List<?>) m.get("live")) {
      List<?> l = (List<?>) o;
      int k = machines.indexOf(l.get(2));
      if (k < 0) {
        k = machines.size();
        machines.add(l.get(2));
      }
      text.append(l.get(0)).append(',').append(l.get(1)).append(',').append(k).append(',');
      text.append(l.get(3)).append(',').append(l.get(4)).append(',');
    }
    m.put("live", List.of(machines, text.toString()));
    StringBuilder tried = new StringBuilder();
    for (Object o : (List<?>) m.get("tried")) {
      List<?> l = (List<?>) o;
      tried.append(l.get(0)).append(',').append(l.get(1)).append(',');
    }
    m.put("tried", List.of(tried.toString()));
    return Encoding.wrap(Encoding.DENSE, m);
  }

  /** Lists of so many numbers, from a text of all of them. */
  private static List<List<Object>> lists(String text, int width) throws BadMessage {
    List<List<Object>> out = new ArrayList<>();
    String[] numbers = text.isEmpty() ? new String[0] : text.split(",");
    if (numbers.length % width != 0) {
      throw new BadMessage("a chunk ends early");
    }
    try {
      for (int i = 0; i < numbers.length; i += width) {
        List<Object> l = new ArrayList<>();
        for (int k = 0; k < width; k++) {
          l.add(Long.parseLong(numbers[i + k]));
        }
        out.add(l);
      }
    } catch (NumberFormatException e) {
      throw new BadMessage("a chunk holds something that is not a number");
    }
    return out;
  }

  private static List<?> liveOf(Document d) throws BadMessage {
    List<?> l = d.list("live");
    if (l.size() == 2 && l.get(0) instanceof List<?> machines && l.get(1) instanceof String text) {
      List<List<Object>> out = lists(text, 5);
      for (List<Object> e : out) {
        int k = number(e.get(2));
        if (k < 0 || k >= machines.size()) {
          throw new BadMessage("a chunk names no such machine");
        }
        e.set(2, machines.get(k));
      }
      return out;
    }
    return l;
  }

  private static List<?> triedOf(Document d) throws BadMessage {
    List<?> l = d.list("tried");
    return l.size() == 1 && l.get(0) instanceof String text ? lists(text, 2) : l;
  }

  /** A chunk was stored, or deleted: those who follow the logs know its content already. */
  void onChunkStored(int chunk, Document d, long newStamp) throws BadMessage {
    if (chunk < 0 || chunk >= chunkStamps.length) {
      throw new BadMessage("no such chunk");
    }
    chunkStamps[chunk] = newStamp;
    Map<String, Object> more = d == null ? Map.of() : d.without("rev", "done", "live", "tried");
    if (!more.isEmpty()) {
      chunkExtra = new HashMap<>(chunkExtra);
      chunkExtra.put(chunk, more);
    }
    chunkRevs[chunk] = d == null ? 0 : Math.max(chunkRevs[chunk], d.count("rev"));
  }

  /** Takes over a chunk's tasks as they are stored. */
  void restoreChunk(
      int chunk, Document d, long newStamp, java.util.function.Function<String, Machine> find)
      throws BadMessage {
    onChunkStored(chunk, d, newStamp);
    int from = chunk * TASKS_PER_CHUNK;
    int end = chunkEnd(chunk);
    TaskState[] fresh = new TaskState[end - from];
    Arrays.fill(fresh, TaskState.NEW);
    if (d != null) {
      List<?> ranges = d.list("done");
      for (int i = 0; i + 1 < ranges.size(); i += 2) {
        int start = number(ranges.get(i));
        int n = number(ranges.get(i + 1));
        for (int k = start; k < start + n; k++) {
          fresh[k - from] = TaskState.FINISHED;
        }
      }
      for (Object o : liveOf(d)) {
        List<?> l = (List<?>) o;
        fresh[number(l.get(0)) - from] =
            new TaskState(
                TaskState.Phase.LIVE,
                number(l.get(1)),
                find.apply((String) l.get(2)),
                number(l.get(3)),
                TaskState.Stop.values()[number(l.get(4))]);
      }
      for (Object o : triedOf(d)) {
        List<?> l = (List<?>) o;
        fresh[number(l.get(0)) - from] = TaskState.waiting(number(l.get(1)));
      }
    }
    for (int i = from; i < end; i++) {
      set(i, fresh[i - from]);
    }
  }

  // ---- what the logs say; false: it does not follow on what is known, and is void ----

  boolean applyPlacement(int index, int attempt, Machine on, int placer) {
    TaskState s = tasks[index];
    if (s.phase() != TaskState.Phase.WAITING || attempt <= s.attempt()) {
      return false;
    }
    set(index, s.placed(attempt, on, placer));
    return true;
  }

  boolean applyExit(int index, int attempt, int how) {
    TaskState s = tasks[index];
    if (!s.isLive() || s.attempt() != attempt) {
      return false;
    }
    Machine on = s.machine();
    set(index, s.exited(how == LogEntry.EXIT_DONE ? Report.DONE : null));
    if (how == LogEntry.EXIT_DONE) {
      on.worked();
      blame(null);
    } else if (how == LogEntry.EXIT_FAILED) {
      failures++;
      on.failed(this);
      blame(on);
    }
    completeGang();
    return true;
  }

  /** It failed on a machine, or (null) has shown that it can work. */
  private void blame(Machine on) {
    boolean was = isSuspected();
    if (on == null) {
      worked = true;
    } else {
      failedOn.add(on);
    }
    if (isSuspected() != was) {
      failedOn.forEach(Machine::judgedAnew);
    }
    if (worked) {
      failedOn.clear();
    }
  }

  /**
   * Whether its failures are taken for its own: it has failed on more than one machine, and nothing
   * of it was ever done. All nodes draw this from the logs, so whoever places it knows, and a job
   * that was submitted with a mistake gets no machine shunned.
   */
  public boolean isSuspected() {
    return !worked && done == 0 && failedOn.size() >= SUSPECT_MACHINES;
  }

  boolean applyStop(int index, int attempt, TaskState.Stop how) {
    TaskState s = tasks[index];
    if (!s.isLive() || s.attempt() != attempt) {
      return false;
    }
    set(index, s.stopping(how));
    return true;
  }

  /** A gang completes together: when one task is done, those that have exited are done too. */
  void completeGang() {
    if (spec.shape() == JobSpec.Shape.GANG && done > 0) {
      for (int i = 0; i < tasks.length; i++) {
        if (tasks[i].phase() == TaskState.Phase.WAITING) {
          set(i, tasks[i].doneWithGang());
        }
      }
    }
  }

  private static int number(Object o) {
    return ((Number) o).intValue();
  }

  private void set(int index, TaskState next) {
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
    note();
    count(old.phase(), -1);
    count(next.phase(), 1);
    tasks[index] = next;
    waitingTasks.set(index, next.phase() == TaskState.Phase.WAITING);
  }

  private void count(TaskState.Phase phase, int by) {
    switch (phase) {
      case WAITING -> waiting += by;
      case LIVE -> live += by;
      case DONE -> done += by;
      default -> throw new AssertionError(phase);
    }
  }

  /** The job is over: nothing of it is booked any more. */
  void releaseTasks() {
    if (spec == null) {
      return;
    }
    note();
    for (int i = 0; i < tasks.length && live > 0; i++) {
      if (tasks[i].isLive()) {
        set(i, TaskState.waiting(tasks[i].attempt()));
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
    return part;
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
    return withdrawn() || foretold;
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

  void setAwaits(List<String> all) {
    awaits = all;
  }

  public DependencyState dependencyState() {
    return dependencyState;
  }

  /** The one function by which its stage changes. */
  void to(DependencyState next, long nowReadyWallMs) {
    if (dependencyState == DependencyState.READY || dependencyState == DependencyState.WITHDRAWN) {
      throw new IllegalStateException(id + " is " + dependencyState + " and can't become " + next);
    }
    dependencyState = next;
    readyWallMs = nowReadyWallMs;
    note();
  }

  /** By the time of day, when it was accepted, or the last of those that it awaits was done. */
  public long readyWallMs() {
    return Math.max(acceptedWallMs, readyWallMs);
  }

  void pull(InheritedUrgency now) {
    if (!now.equals(pull)) {
      pull = now;
      note();
    }
  }

  InheritedUrgency pull() {
    return pull;
  }

  /** As what it is served and, while it runs, spared. */
  public JobSpec.Priority effectivePriority() {
    return higher(spec.priority(), pull.rank);
  }

  /** As what it may stop the work of others. */
  public JobSpec.Priority preemptionPriority() {
    return higher(spec.priority(), pull.teamRank);
  }

  /** When it must start for the sake of those that await it, by the time of day. */
  public long startByWallMs() {
    return pull.startByWallMs;
  }

  public TaskState task(int index) {
    return tasks[index];
  }

  /** The first task from an index on that waits, or -1. */
  public int nextWaiting(int from) {
    return waitingTasks.nextSetBit(from);
  }

  public int taskCount() {
    return tasks.length;
  }

  public int waitingCount() {
    return waiting;
  }

  public int liveCount() {
    return live;
  }

  public int doneCount() {
    return done;
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
    boolean failed = failuresSeen != failures;
    failuresSeen = failures;
    if (failed && isSuspected()) {
      scheduleNextProbe(nowMs);
      probes++;
      return true;
    }
    return false;
  }

  /** One task of a suspect was placed, to see: the next one waits. */
  public void scheduleNextProbe(long nowMs) {
    retryAtMs = Math.max(retryAtMs, nowMs + (PROBE_MS << Math.min(probes, PROBE_DOUBLINGS)));
  }

  public long waitingSinceMs(long nowMs) {
    if (waitingSinceMs == 0) {
      waitingSinceMs = nowMs;
    }
    return waitingSinceMs;
  }

  /** When it may look again for what to stop in its favour. */
  public long nextPreemptionAtMs() {
    return preemptAtMs;
  }

  public void setNextPreemptionAtMs(long ms) {
    preemptAtMs = ms;
  }

  public void resetWaiting() {
    waitingSinceMs = 0;
    blockedVersion = -1;
  }

  /** No room was found for it when the index of rooms had this version. */
  public void setBlocked(long version, long untilMs) {
    blockedVersion = version;
    blockedUntilMs = untilMs;
  }

  /** Whether nothing has changed since that would make another look worth while. */
  public boolean stillBlocked(long version, long nowMs) {
    return blockedVersion == version && nowMs < blockedUntilMs;
  }
}
