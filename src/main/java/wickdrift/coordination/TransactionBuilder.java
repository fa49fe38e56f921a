package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.LogEntry;
import wickdrift.bookkeeping.LogPage;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.OrphanedRecords;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.TerminalState;
import wickdrift.bookkeeping.Transaction;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Report;

/**
 * Builds one transaction. All changes of tasks and machines are entries of one page of this node's
 * log, which is one write however many there are. Every other change is a write of its own.
 */
final class TransactionBuilder {
  /**
   * Moving a job's end to the job history writes the history record and deletes the job's record.
   */
  private static final int WRITES_PER_MOVE = 2;

  /** The protocol allows four conditions per write. */
  private static final int CONDITIONS_PER_WRITE = 4;

  /**
   * Upper bounds for the size of an entry without its names, and of each task in it: no number is
   * longer than this.
   */
  private static final int ENTRY_OVERHEAD_BYTES = 40;

  private static final int BYTES_PER_TASK = 24;

  /** Limits the size of one entry, which must fit into a page. */
  private static final int MAX_TASKS_PER_ENTRY = 16;

  private static final int PAGE_OVERHEAD_BYTES = 64;

  /** Upper bound of what a log page takes besides its value: its key twice, and its stamp. */
  private static final int PAGE_REQUEST_BYTES = 256;

  /** Upper bound of a condition's size. */
  private static final int CONDITION_BYTES = 128;

  /** Upper bound of the size of a deletion, a terminal state or a claim, with its condition. */
  private static final int SMALL_WRITE_BYTES = 512;

  /**
   * How much a transaction may hold.
   *
   * @param affordableChanges how many changes the write budget allows now
   * @param maxChanges how many changes a transaction may have
   * @param maxBytes maximum size of a transaction
   * @param pageBytes maximum size of a log page
   */
  record Capacity(int affordableChanges, int maxChanges, int maxBytes, int pageBytes) {}

  private final Tables tables;
  private final String node;
  private final int nodeNumber;
  private final int affordableChanges;
  private final int pageBytes;
  private final int maxBytes;
  private final Predicate<String> mayWriteKey;
  private final Transaction transaction = new Transaction();
  private final Map<Job, Map<Integer, TaskState>> changedTasks = new LinkedHashMap<>();
  private final Map<Machine, Machine.Info> machineInfos = new LinkedHashMap<>();
  private final Map<Job, Integer> liveCountChanges = new HashMap<>();
  private final Set<Job> endedJobs = new LinkedHashSet<>();

  /** The tasks whose attempt ended with an error, by job. */
  private final Map<Job, Set<Integer>> failedTasks = new HashMap<>();

  /**
   * Maximum number of changes of any transaction; {@link #affordableChanges} may be lower at the
   * moment.
   */
  private final int maxChanges;

  /** The jobs whose tasks this transaction places, by machine. */
  private final Map<Machine, List<JobSpec>> placements = new HashMap<>();

  private boolean needsFencing;
  private int otherWrites;
  private int requestedWrites;
  private int entryBytes;

  /**
   * Creates a builder without changes.
   *
   * @param mayWriteKey whether a record other than a log page may be written now
   */
  TransactionBuilder(Tables tables, String node, Capacity capacity, Predicate<String> mayWriteKey) {
    this.maxChanges = capacity.maxChanges;
    this.tables = tables;
    this.node = node;
    this.nodeNumber = tables.registry().numberOf(node);
    this.affordableChanges = capacity.affordableChanges;
    this.pageBytes = capacity.pageBytes;
    this.maxBytes = capacity.maxBytes;
    this.mayWriteKey = mayWriteKey;
  }

  /** Returns this node's durable number, which is stored with its placements. */
  int nodeNumber() {
    return nodeNumber;
  }

  boolean canAddWrites() {
    return canAddWrites(1);
  }

  /**
   * Whether the given number of small writes can be added, besides the write of the log page. If
   * only the current budget is too small for them, the number is kept as a request for the next
   * transaction.
   */
  boolean canAddWrites(int count) {
    if (count == 0) {
      return true;
    }
    if (1 + otherWrites + count <= affordableChanges) {
      return fitsBytes(count * SMALL_WRITE_BYTES);
    }
    if (1 + count > requestedWrites && affordableChanges < maxChanges) {
      requestedWrites = Math.min(1 + count, maxChanges);
    }
    return false;
  }

  /**
   * Requests the maximum size for the next transaction. Used when a change that is expensive to
   * write was left out: one wide transaction holds more such changes than several narrow ones with
   * the same total.
   */
  void requestMaxWrites() {
    requestedWrites = maxChanges;
  }

  /**
   * Returns how many changes the next transaction must allow, because the current budget was too
   * small for something that was left out; 0 if nothing was.
   */
  int requestedWrites() {
    return requestedWrites;
  }

  /** Whether a record of any size can be written. */
  boolean canWrite(String key, Object value) {
    return mayWriteKey.test(key)
        && canAddWrites()
        && fitsBytes(SMALL_WRITE_BYTES + MessageCodec.jsonSize(value));
  }

  /** Whether that much can be added without exceeding the size limit of a transaction. */
  boolean fitsBytes(int bytes) {
    return fitsBytes(bytes, PAGE_OVERHEAD_BYTES + entryBytes);
  }

  private boolean fitsBytes(int bytes, int bytesInPages) {
    int pages = 1 + bytesInPages / pageBytes;
    return transaction.requestBytes() + pages * (pageBytes + PAGE_REQUEST_BYTES) + bytes
        <= maxBytes;
  }

  /** Whether the conditions for placing one more job can be added. */
  boolean canAddConditions() {
    return canAddConditions(4);
  }

  boolean canAddConditions(int count) {
    return transaction.conditions().size() + otherWrites + count < CONDITIONS_PER_WRITE * maxChanges
        && fitsBytes(count * CONDITION_BYTES);
  }

  boolean isEmpty() {
    return changedTasks.isEmpty() && machineInfos.isEmpty() && otherWrites == 0;
  }

  /**
   * Returns the jobs that this transaction places on a machine, which the tables do not contain
   * yet.
   */
  List<JobSpec> placementsOn(Machine machine) {
    return placements.getOrDefault(machine, List.of());
  }

  /**
   * Whether this node's partition record must change before the next placement if the outcome of
   * this transaction is unknown.
   */
  boolean needsFencing() {
    return needsFencing;
  }

  /**
   * Marks the transaction as a transfer of this node's quota share. If the transfer were applied
   * late, beside placements that were decided without it, more than the limit would be used.
   */
  void requireFencing() {
    needsFencing = true;
  }

  TaskState taskState(Job job, int index) {
    Map<Integer, TaskState> changes = changedTasks.get(job);
    TaskState state = changes == null ? null : changes.get(index);
    return state == null ? job.task(index) : state;
  }

  /** Whether the given number of further changes of the job's tasks fits into the page. */
  boolean fitsInPage(Job job, int count) {
    return pageBytesWith(job, count) <= pageBytes;
  }

  /**
   * Whether all of a large gang fits, which must start in one transaction or not at all. It may
   * fill as many pages as the transaction has writes left, besides {@code otherWrites}.
   */
  boolean fitsWholeGang(Job job, int count, int otherWrites) {
    int pages =
        pageBytesWith(job, count) / (pageBytes - MAX_TASKS_PER_ENTRY * BYTES_PER_TASK * 2) + 1;
    return fitsInPage(job, count)
        || canAddWrites(pages + otherWrites) && fitsBytes(0, pageBytesWith(job, count));
  }

  private int pageBytesWith(Job job, int count) {
    int entries = (changedTasks.containsKey(job) ? 0 : 2) + count / MAX_TASKS_PER_ENTRY;
    return PAGE_OVERHEAD_BYTES
        + entryBytes
        + entries * (ENTRY_OVERHEAD_BYTES + job.id().length())
        + count * BYTES_PER_TASK * 2;
  }

  boolean fitsMachineInPage(Machine machine) {
    return PAGE_OVERHEAD_BYTES + entryBytes + 4 * ENTRY_OVERHEAD_BYTES + machine.name().length()
        <= pageBytes;
  }

  void changeTask(Job job, int index, UnaryOperator<TaskState> change) {
    TaskState old = taskState(job, index);
    TaskState next = change.apply(old);
    if (next == old) {
      return;
    }
    if (next.isLive() && !old.isLive()) {
      needsFencing = true;
      entryBytes += next.machine().name().length();
      placements.computeIfAbsent(next.machine(), k -> new ArrayList<>()).add(job.spec());
    }
    liveCountChanges.merge(job, (next.isLive() ? 1 : 0) - (old.isLive() ? 1 : 0), Integer::sum);
    Map<Integer, TaskState> changes = changedTasks.get(job);
    if (changes == null) {
      changes = new LinkedHashMap<>();
      changedTasks.put(job, changes);
      entryBytes += 2 * (ENTRY_OVERHEAD_BYTES + job.id().length());
    }
    changes.put(index, next);
    entryBytes += BYTES_PER_TASK;
  }

  /**
   * Ends an attempt.
   *
   * @param exitReason the reason that the worker reported, or null if the attempt was lost
   */
  void endAttempt(Job job, int index, String exitReason) {
    changeTask(job, index, task -> task.exited(exitReason));
    if (Report.EXIT_ERROR.equals(exitReason)) {
      failedTasks.computeIfAbsent(job, k -> new HashSet<>()).add(index);
    }
  }

  int liveTaskCount(Job job) {
    return job.liveCount() + liveCountChanges.getOrDefault(job, 0);
  }

  int doneTaskCount(Job job) {
    int count = job.doneCount();
    for (Map.Entry<Integer, TaskState> task : changedTasks.getOrDefault(job, Map.of()).entrySet()) {
      boolean wasDone = job.task(task.getKey()).phase() == TaskState.Phase.DONE;
      boolean isDone = task.getValue().phase() == TaskState.Phase.DONE;
      count += (isDone ? 1 : 0) - (wasDone ? 1 : 0);
    }
    return count;
  }

  List<Job> changedJobs() {
    return new ArrayList<>(changedTasks.keySet());
  }

  /**
   * Ends a job in this transaction. Either its record becomes an end marker, or (below {@link
   * Gate#AWAITS}) the job history record is written and the job's record deleted. Both depend on
   * the condition that the job's record has not changed. A job is therefore either done or
   * withdrawn, decided by one key, and no placement of it can follow, because placements depend on
   * the same key.
   */
  void endJob(Job job, String phase, long wallMs) {
    endedJobs.add(job);
    transaction.requireStamp(job.key(), job.stamp());
    otherWrites += writesPerEnd();
    for (int chunk = 0; chunk < job.chunkCount(); chunk++) {
      // Chunks that do not fit remain as orphans and are deleted later.
      if (job.chunkStamp(chunk) != 0 && canAddWrites()) {
        delete(job.chunkKey(chunk));
      }
    }
    TerminalState terminalState = new TerminalState(phase, job.taskCount(), wallMs);
    if (tables.isOpen(Gate.AWAITS)) {
      // Others wait for the job's end, so it takes only one write. The end is moved to the job
      // history when there are writes to spare.
      transaction.write(job.key(), Job.terminalToStore(terminalState));
    } else {
      transaction.write(Job.terminalStateKey(job.id()), terminalState.toStore(false));
      transaction.delete(job.key());
    }
  }

  /** Moves the end of a job from the job's record to the job history. */
  void moveToHistory(String id, Tables.PendingHistoryEntry end) {
    transaction.requireStamp(Job.key(id), end.stamp());
    transaction.write(Job.terminalStateKey(id), end.terminalState().toStore(true));
    transaction.delete(Job.key(id));
    otherWrites += WRITES_PER_MOVE;
  }

  boolean canMoveToHistory() {
    return canAddWrites(WRITES_PER_MOVE) && canAddConditions();
  }

  boolean canEndJob() {
    // Below this level, one more write is required, for a chunk to be deleted with the job.
    int count = tables.isOpen(Gate.AWAITS) ? writesPerEnd() : writesPerEnd() + 1;
    return canAddWrites(count) && canAddConditions();
  }

  private int writesPerEnd() {
    return tables.isOpen(Gate.AWAITS) ? 1 : WRITES_PER_MOVE;
  }

  /**
   * Hands a job that is not withdrawn over to another partition if its record fits into the
   * transaction.
   *
   * @return whether the job is handed over
   */
  boolean tryMoveToPartition(Job job, String partition) {
    Map<String, Object> record = job.toStore(partition, 0);
    if (!canWrite(job.key(), record)) {
      return false;
    }
    write(job.key(), record, job.stamp());
    return true;
  }

  void setMachineInfo(Machine machine, Machine.Info info) {
    if (!machineInfos.containsKey(machine)) {
      entryBytes += 4 * ENTRY_OVERHEAD_BYTES + machine.name().length();
    }
    machineInfos.put(machine, info);
  }

  void delete(String key) {
    transaction.delete(key);
    otherWrites++;
  }

  /**
   * Deletes a record of an ended job, on condition that it is the record that was read and that its
   * job is still over.
   */
  void deleteOrphan(OrphanedRecords.Orphan orphan) {
    transaction.requireStamp(orphan.key(), orphan.stamp());
    transaction.requireStamp(Job.key(orphan.job()), tables.recordStampOfEndedJob(orphan.job()));
    delete(orphan.key());
  }

  boolean changesKey(String key) {
    return transaction.changesKey(key);
  }

  void write(String key, Object value, long stamp) {
    transaction.requireStamp(key, stamp);
    transaction.write(key, value);
    otherWrites++;
  }

  /** Removes a write and its condition. */
  void removeWrite(String key) {
    transaction.remove(key);
    otherWrites--;
  }

  void addCondition(String key, long stamp) {
    transaction.requireStamp(key, stamp);
  }

  /**
   * Adds the condition that the view is still the one in the tables. Every change of view rewrites
   * the view record.
   */
  void requireCurrentView() {
    if (tables.isOpen(Gate.VIEWS)) {
      transaction.requireStamp(View.KEY, tables.viewStamp());
    }
  }

  /**
   * Adds the condition that a node has written nothing to its log beyond what this node has read.
   */
  void requireUnchangedLog(String owner) {
    var lastPage = tables.logPages(owner).lastEntry();
    if (lastPage != null) {
      transaction.requireStamp(lastPage.getValue().key(), lastPage.getValue().stamp());
    }
    transaction.requireStamp(LogPage.key(owner, lastPage == null ? 1 : lastPage.getKey() + 1), 0);
  }

  private List<Object> buildEntries() {
    List<Object> entries = new ArrayList<>();
    machineInfos.forEach((machine, info) -> entries.add(LogEntry.machine(machine.name(), info)));
    changedTasks.forEach(
        (job, changes) -> {
          // The terminal state of an ended job covers what its tasks did.
          if (!endedJobs.contains(job)) {
            addJobEntries(job, changes, entries);
          }
        });
    return entries;
  }

  private void addJobEntries(Job job, Map<Integer, TaskState> changes, List<Object> entries) {
    List<List<Object>> exitEntries = new ArrayList<>();
    List<List<Object>> placementEntries = new ArrayList<>();
    List<List<Object>> stopEntries = new ArrayList<>();
    changes.forEach(
        (index, next) -> {
          TaskState old = job.task(index);
          boolean sameAttempt = old.isLive() && next.isLive() && old.attempt() == next.attempt();
          if (old.isLive() && !sameAttempt) {
            boolean error = failedTasks.getOrDefault(job, Set.of()).contains(index);
            int outcome =
                next.phase() == TaskState.Phase.DONE
                    ? LogEntry.EXIT_DONE
                    : error ? LogEntry.EXIT_FAILED : LogEntry.EXIT_LOST;
            entryFor(exitEntries, LogEntry.exited(job.id()), 3)
                .addAll(List.of(index, old.attempt(), outcome));
          }
          if (next.isLive() && !sameAttempt) {
            entryFor(placementEntries, LogEntry.placed(job.id(), nodeNumber), 3)
                .addAll(List.of(index, next.attempt(), next.machine().name()));
          }
          if (next.isLive() && next.stop() != (sameAttempt ? old.stop() : TaskState.Stop.NONE)) {
            entryFor(stopEntries, LogEntry.stopped(job.id(), next.stop()), 2)
                .addAll(List.of(index, next.attempt()));
          }
        });
    // The order matters: a placement may follow an exit, and a stop may follow a placement.
    entries.addAll(exitEntries);
    entries.addAll(placementEntries);
    entries.addAll(stopEntries);
  }

  /**
   * Returns the entry that takes the next task: the last one if it has the same head and is not
   * full, otherwise {@code newEntry}, which is added.
   */
  private static List<Object> entryFor(
      List<List<Object>> entries, List<Object> newEntry, int width) {
    List<Object> last = entries.isEmpty() ? null : entries.get(entries.size() - 1);
    if (last == null
        || !last.subList(0, newEntry.size()).equals(newEntry)
        || last.size() >= newEntry.size() + MAX_TASKS_PER_ENTRY * width) {
      entries.add(newEntry);
      return newEntry;
    }
    return last;
  }

  Transaction build() {
    List<Object> entries = buildEntries();
    var lastPage = tables.logPages(node).lastEntry();
    LogPage page = lastPage == null ? null : lastPage.getValue();
    long number = lastPage == null ? 0 : lastPage.getKey();
    if (page != null && page.bytes() + PAGE_OVERHEAD_BYTES + entryBytes > pageBytes) {
      page = null;
    }
    List<Object> pageEntries = new ArrayList<>();
    int pageSize = page == null ? PAGE_OVERHEAD_BYTES : page.bytes() + PAGE_OVERHEAD_BYTES;
    for (Object entry : entries) {
      int entrySize = MessageCodec.jsonSize(entry) + 1;
      if (!pageEntries.isEmpty() && pageSize + entrySize > pageBytes) {
        number = write(page, number, pageEntries);
        page = null;
        pageEntries = new ArrayList<>();
        pageSize = PAGE_OVERHEAD_BYTES;
      }
      pageEntries.add(entry);
      pageSize += entrySize;
    }
    if (!pageEntries.isEmpty()) {
      write(page, number, pageEntries);
    }
    return transaction;
  }

  /**
   * Appends entries to a page, or to the next page if {@code page} is null, and returns the page's
   * number.
   */
  private long write(LogPage page, long number, List<Object> pageEntries) {
    long target = page == null ? number + 1 : number;
    transaction.requireStamp(LogPage.key(node, target), page == null ? 0 : page.stamp());
    transaction.write(
        LogPage.key(node, target),
        LogPage.encode(page, tables.encoding(), pageEntries, tables::isObsolete));
    return target;
  }
}
