package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.LogEntry;
import wickdrift.bookkeeping.LogPage;
import wickdrift.bookkeeping.Machine;
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
 * One transaction being put together. All changes of tasks and machines are entries of one page of
 * this node's log, one write however many they are; the rest counts one by one.
 */
final class TransactionBuilder {
  /** The lasting record of an end appears, and the job's goes. */
  private static final int OPS_FOR_MOVE = 2;

  /** The protocol allows four conditions for each write. */
  private static final int CONDITIONS_AN_OP = 4;

  /** Bytes of an entry besides names, and of each task in it: no number is longer than this. */
  private static final int ENTRY_BYTES = 40;

  private static final int TASK_BYTES = 24;

  /** So many tasks an entry: one must fit into a page. */
  private static final int ENTRY_TASKS = 16;

  private static final int PAGE_OVERHEAD = 64;

  private final Tables tables;
  private final String node;
  private final int number;
  private final int maxChanges;
  private final int pageBytes;
  private final Transaction txn = new Transaction();
  private final Map<Job, Map<Integer, TaskState>> tasks = new LinkedHashMap<>();
  private final Map<Machine, Machine.Info> machines = new LinkedHashMap<>();
  private final Map<Job, Integer> liveDelta = new HashMap<>();
  private final Set<Job> ended = new LinkedHashSet<>();

  /** The tasks whose attempt ended with an error. */
  private final Map<Job, Set<Integer>> failed = new HashMap<>();

  /** What a transaction may have at the most: {@link #maxChanges} may be less for now. */
  private final int mostChanges;

  /** What this places, by machine. */
  private final Map<Machine, List<JobSpec>> placed = new HashMap<>();

  private boolean places;
  private int others;
  private int wanted;
  private int bytes;

  /**
   * @param maxChanges how many changes can be paid now
   * @param mostChanges how many a transaction may have
   */
  TransactionBuilder(Tables tables, String node, int maxChanges, int mostChanges, int pageBytes) {
    this.mostChanges = mostChanges;
    this.tables = tables;
    this.node = node;
    this.number = tables.registry().numberOf(node);
    this.maxChanges = maxChanges;
    this.pageBytes = pageBytes;
  }

  /** This node's durable number, which its placements carry. */
  int nodeNumber() {
    return number;
  }

  boolean canAddWrites() {
    return canAddWrites(1);
  }

  /** Room for so many more writes, besides that of the page. */
  boolean canAddWrites(int n) {
    if (n == 0 || 1 + others + n <= maxChanges) {
      return true;
    }
    if (1 + n > wanted && maxChanges < mostChanges) {
      wanted = Math.min(1 + n, mostChanges);
    }
    return false;
  }

  /**
   * Something was left out that is dear to write: the next transaction is to be as wide as may be,
   * for one wide one holds more of that than several narrow ones of as many changes.
   */
  void requestMaxWrites() {
    wanted = mostChanges;
  }

  /**
   * How many changes a transaction must be able to have for something that was left out here,
   * because what can be paid now was too little for it; 0: nothing was.
   */
  int wanted() {
    return wanted;
  }

  /** Room for the conditions that placing one more job brings. */
  boolean canAddConditions() {
    return canAddConditions(4);
  }

  boolean canAddConditions(int n) {
    return txn.conditions().size() + others + n < CONDITIONS_AN_OP * mostChanges;
  }

  boolean empty() {
    return tasks.isEmpty() && machines.isEmpty() && others == 0;
  }

  /** What is placed here on a machine, besides what the tables tell. */
  List<JobSpec> placementsOn(Machine m) {
    return placed.getOrDefault(m, List.of());
  }

  /** Whether our part's record must change before we place again, should the outcome be unknown. */
  boolean places() {
    return places;
  }

  /**
   * Gives away of our share of a limit. Should that be applied late, beside placements decided
   * without it, more than the limit would be used.
   */
  void gives() {
    places = true;
  }

  TaskState taskState(Job job, int index) {
    Map<Integer, TaskState> m = tasks.get(job);
    TaskState s = m == null ? null : m.get(index);
    return s == null ? job.task(index) : s;
  }

  /** Whether so many more changes of the job's tasks fit into the page. */
  boolean fitsInPage(Job job, int n) {
    return bytesWith(job, n) <= pageBytes;
  }

  /**
   * Whether all of a large gang fits, which starts in one transaction or not at all: it may take as
   * many pages as the transaction has room for, besides {@code others} writes.
   */
  boolean fitsWholeGang(Job job, int n, int others) {
    int pages = bytesWith(job, n) / (pageBytes - ENTRY_TASKS * TASK_BYTES * 2) + 1;
    return fitsInPage(job, n) || canAddWrites(pages + others);
  }

  private int bytesWith(Job job, int n) {
    int entries = (tasks.containsKey(job) ? 0 : 2) + n / ENTRY_TASKS;
    return PAGE_OVERHEAD + bytes + entries * (ENTRY_BYTES + job.id().length()) + n * TASK_BYTES * 2;
  }

  boolean takesMachine(Machine m) {
    return PAGE_OVERHEAD + bytes + 4 * ENTRY_BYTES + m.name().length() <= pageBytes;
  }

  void changeTask(Job job, int index, UnaryOperator<TaskState> how) {
    TaskState old = taskState(job, index);
    TaskState next = how.apply(old);
    if (next == old) {
      return;
    }
    if (next.isLive() && !old.isLive()) {
      places = true;
      bytes += next.machine().name().length();
      placed.computeIfAbsent(next.machine(), k -> new ArrayList<>()).add(job.spec());
    }
    liveDelta.merge(job, (next.isLive() ? 1 : 0) - (old.isLive() ? 1 : 0), Integer::sum);
    Map<Integer, TaskState> m = tasks.get(job);
    if (m == null) {
      m = new LinkedHashMap<>();
      tasks.put(job, m);
      bytes += 2 * (ENTRY_BYTES + job.id().length());
    }
    m.put(index, next);
    bytes += TASK_BYTES;
  }

  /** An attempt is over; {@code why} as the worker said, or null when it was lost. */
  void exit(Job job, int index, String why) {
    changeTask(job, index, t -> t.exited(why));
    if (Report.ERROR.equals(why)) {
      failed.computeIfAbsent(job, k -> new HashSet<>()).add(index);
    }
  }

  int liveTaskCount(Job job) {
    return job.liveCount() + liveDelta.getOrDefault(job, 0);
  }

  int doneTaskCount(Job job) {
    int n = job.doneCount();
    for (Map.Entry<Integer, TaskState> t : tasks.getOrDefault(job, Map.of()).entrySet()) {
      boolean was = job.task(t.getKey()).phase() == TaskState.Phase.DONE;
      boolean is = t.getValue().phase() == TaskState.Phase.DONE;
      n += (is ? 1 : 0) - (was ? 1 : 0);
    }
    return n;
  }

  List<Job> touched() {
    return new ArrayList<>(tasks.keySet());
  }

  /**
   * Ends a job in the same transaction: its record says so, or (below {@link Gate#AWAITS}) the
   * final one appears and the job's goes, on condition that the job's record has not changed. So a
   * job is either done or withdrawn, decided by one key; and no placement of it can follow, for
   * that is conditional on the same key.
   */
  void end(Job job, String phase, long wallMs) {
    ended.add(job);
    txn.requireStamp(job.key(), job.stamp());
    others += opsForEnd();
    for (int c = 0; c < job.chunkCount(); c++) {
      // What does not fit is left as an orphan and deleted later.
      if (job.chunkStamp(c) > 0 && canAddWrites()) {
        delete(job.chunkKey(c));
      }
    }
    TerminalState how = new TerminalState(phase, job.taskCount(), wallMs);
    if (tables.isOpen(Gate.AWAITS)) {
      // One write where others wait for it; it is moved when there are writes to spare.
      txn.write(job.key(), Job.terminalToStore(how));
    } else {
      txn.write(Job.terminalStateKey(job.id()), how.toStore(false));
      txn.delete(job.key());
    }
  }

  /** Moves an end to its lasting place. */
  void move(String id, Tables.PendingHistoryEntry o) {
    txn.requireStamp(Job.key(id), o.stamp());
    txn.write(Job.terminalStateKey(id), o.terminalState().toStore(true));
    txn.delete(Job.key(id));
    others += OPS_FOR_MOVE;
  }

  boolean roomToMove() {
    return canAddWrites(OPS_FOR_MOVE) && canAddConditions();
  }

  boolean roomToEnd() {
    // Below the level as it was: with room for a chunk beside it.
    int n = tables.isOpen(Gate.AWAITS) ? opsForEnd() : opsForEnd() + 1;
    return canAddWrites(n) && canAddConditions();
  }

  private int opsForEnd() {
    return tables.isOpen(Gate.AWAITS) ? 1 : OPS_FOR_MOVE;
  }

  /** Hands a job that is not withdrawn to another part. */
  void moveToPartition(Job job, String part) {
    write(job.key(), job.toStore(part, 0), job.stamp());
  }

  void machine(Machine m, Machine.Info info) {
    if (!machines.containsKey(m)) {
      bytes += 4 * ENTRY_BYTES + m.name().length();
    }
    machines.put(m, info);
  }

  void delete(String key) {
    txn.delete(key);
    others++;
  }

  boolean touches(String key) {
    return txn.changesKey(key);
  }

  void write(String key, Object value, long stamp) {
    txn.requireStamp(key, stamp);
    txn.write(key, value);
    others++;
  }

  /** Takes back a write, and its condition. */
  void removeWrite(String key) {
    txn.remove(key);
    others--;
  }

  void addCondition(String key, long stamp) {
    txn.requireStamp(key, stamp);
  }

  /** On condition that the view is the one of the tables, since that is what a change rewrites. */
  void requireCurrentView() {
    if (tables.isOpen(Gate.VIEWS)) {
      txn.requireStamp(View.KEY, tables.viewStamp());
    }
  }

  /** On condition that a node has written nothing to its log that we have not seen. */
  void requireUnchangedLog(String of) {
    var last = tables.logPages(of).lastEntry();
    if (last != null) {
      txn.requireStamp(last.getValue().key(), last.getValue().stamp());
    }
    txn.requireStamp(LogPage.key(of, last == null ? 1 : last.getKey() + 1), 0);
  }

  private List<Object> entries() {
    List<Object> out = new ArrayList<>();
    machines.forEach((m, info) -> out.add(LogEntry.machine(m.name(), info)));
    tasks.forEach(
        (job, changes) -> {
          // What an ended job's tasks did is in its final record.
          if (!ended.contains(job)) {
            entries(job, changes, out);
          }
        });
    return out;
  }

  private void entries(Job job, Map<Integer, TaskState> changes, List<Object> out) {
    List<List<Object>> exited = new ArrayList<>();
    List<List<Object>> placed = new ArrayList<>();
    List<List<Object>> stopped = new ArrayList<>();
    changes.forEach(
        (i, next) -> {
          TaskState old = job.task(i);
          boolean same = old.isLive() && next.isLive() && old.attempt() == next.attempt();
          if (old.isLive() && !same) {
            boolean error = failed.getOrDefault(job, Set.of()).contains(i);
            int how =
                next.phase() == TaskState.Phase.DONE
                    ? LogEntry.EXIT_DONE
                    : error ? LogEntry.EXIT_FAILED : LogEntry.EXIT_LOST;
            to(exited, LogEntry.exited(job.id()), 3).addAll(List.of(i, old.attempt(), how));
          }
          if (next.isLive() && !same) {
            to(placed, LogEntry.placed(job.id(), number), 3)
                .addAll(List.of(i, next.attempt(), next.machine().name()));
          }
          if (next.isLive() && next.stop() != (same ? old.stop() : TaskState.Stop.NONE)) {
            to(stopped, LogEntry.stopped(job.id(), next.stop()), 2)
                .addAll(List.of(i, next.attempt()));
          }
        });
    // In this order: what is placed may follow on an exit, what is stopped on a placement.
    out.addAll(exited);
    out.addAll(placed);
    out.addAll(stopped);
  }

  /** The entry that takes the next task: the last with that head if it has room, or the new one. */
  private static List<Object> to(List<List<Object>> entries, List<Object> fresh, int width) {
    List<Object> last = entries.isEmpty() ? null : entries.get(entries.size() - 1);
    if (last == null
        || !last.subList(0, fresh.size()).equals(fresh)
        || last.size() >= fresh.size() + ENTRY_TASKS * width) {
      entries.add(fresh);
      return fresh;
    }
    return last;
  }

  Transaction build() {
    List<Object> entries = entries();
    var last = tables.logPages(node).lastEntry();
    LogPage page = last == null ? null : last.getValue();
    long number = last == null ? 0 : last.getKey();
    if (page != null && page.bytes() + PAGE_OVERHEAD + bytes > pageBytes) {
      page = null;
    }
    List<Object> run = new ArrayList<>();
    int size = page == null ? PAGE_OVERHEAD : page.bytes() + PAGE_OVERHEAD;
    for (Object e : entries) {
      int n = MessageCodec.jsonSize(e) + 1;
      if (!run.isEmpty() && size + n > pageBytes) {
        number = write(page, number, run);
        page = null;
        run = new ArrayList<>();
        size = PAGE_OVERHEAD;
      }
      run.add(e);
      size += n;
    }
    if (!run.isEmpty()) {
      write(page, number, run);
    }
    return txn;
  }

  /** Appends to a page, or begins the next; returns its number. */
  private long write(LogPage page, long number, List<Object> run) {
    long to = page == null ? number + 1 : number;
    txn.requireStamp(LogPage.key(node, to), page == null ? 0 : page.stamp());
    txn.write(
        LogPage.key(node, to), LogPage.encode(page, tables.encoding(), run, tables::isObsolete));
    return to;
  }
}
