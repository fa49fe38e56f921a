package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.Txn;

/** One transaction of task and machine changes being put together, within the limit of changes. */
final class Draft {
  private static final int OPS_FOR_END = 2;

  private record Chunk(Job job, int chunk) {}

  private final int maxChanges;
  private final Txn txn = new Txn();
  private final Map<Chunk, Map<Integer, TaskState>> chunks = new LinkedHashMap<>();
  private final Map<Job, Integer> liveDelta = new HashMap<>();
  private final List<Job> touched = new ArrayList<>();
  private boolean places;
  private int others;

  Draft(int maxChanges) {
    this.maxChanges = maxChanges;
  }

  boolean hasRoom() {
    return hasRoom(1);
  }

  boolean hasRoom(int n) {
    return chunks.size() + others + n <= maxChanges;
  }

  boolean empty() {
    return chunks.isEmpty() && others == 0;
  }

  boolean places() {
    return places;
  }

  TaskState state(Job job, int index) {
    Map<Integer, TaskState> m = chunks.get(new Chunk(job, index / Job.CHUNK));
    TaskState s = m == null ? null : m.get(index);
    return s == null ? job.task(index) : s;
  }

  /** Whether a change to this task fits into the transaction. */
  boolean takes(Job job, int index) {
    return chunks.containsKey(new Chunk(job, index / Job.CHUNK)) || hasRoom();
  }

  void change(Job job, int index, UnaryOperator<TaskState> how) {
    TaskState old = state(job, index);
    TaskState next = how.apply(old);
    if (next == old) {
      return;
    }
    if (next.live() && !old.live()) {
      places = true;
    }
    liveDelta.merge(job, (next.live() ? 1 : 0) - (old.live() ? 1 : 0), Integer::sum);
    chunks
        .computeIfAbsent(new Chunk(job, index / Job.CHUNK), k -> new HashMap<>())
        .put(index, next);
    if (!touched.contains(job)) {
      touched.add(job);
    }
  }

  int live(Job job) {
    return job.live() + liveDelta.getOrDefault(job, 0);
  }

  int done(Job job) {
    int n = job.done();
    for (Map.Entry<Chunk, Map<Integer, TaskState>> e : chunks.entrySet()) {
      if (e.getKey().job() == job) {
        for (Map.Entry<Integer, TaskState> t : e.getValue().entrySet()) {
          boolean was = job.task(t.getKey()).phase() == TaskState.Phase.DONE;
          boolean is = t.getValue().phase() == TaskState.Phase.DONE;
          n += (is ? 1 : 0) - (was ? 1 : 0);
        }
      }
    }
    return n;
  }

  List<Job> touched() {
    return touched;
  }

  /**
   * Ends a job in the same transaction: the final record appears and the job's goes, on condition
   * that the job's record has not changed. So a job is either done or withdrawn, decided by one
   * key.
   */
  void end(Job job, String phase) {
    txn.when(job.key(), job.stamp());
    others += OPS_FOR_END;
    for (int c = 0; c < job.chunks(); c++) {
      boolean drafted = chunks.remove(new Chunk(job, c)) != null;
      if (drafted) {
        txn.when(job.chunkKey(c), job.chunkStamp(c));
      }
      // What does not fit is left as an orphan and deleted later.
      if (job.chunkStamp(c) > 0 && hasRoom()) {
        txn.delete(job.chunkKey(c));
        others++;
      }
    }
    txn.write(Job.finalKey(job.id()), Map.of("phase", phase, "tasks", job.size()));
    txn.delete(job.key());
  }

  boolean roomToEnd() {
    return hasRoom(OPS_FOR_END + 1);
  }

  void jobRecord(Job job, String part, boolean withdrawn) {
    txn.when(job.key(), job.stamp());
    txn.write(job.key(), Job.toStore(job.spec(), job.acceptedWallMs(), part, withdrawn));
    others++;
  }

  void machine(Machine m, Machine.Info info) {
    txn.when(m.key(), m.stamp());
    if (info == null) {
      txn.delete(m.key());
    } else {
      txn.write(m.key(), info.toStore());
    }
    others++;
  }

  void delete(String key) {
    txn.delete(key);
    others++;
  }

  boolean touches(String key) {
    return txn.touches(key);
  }

  void write(String key, Map<String, Object> value, long stamp) {
    txn.when(key, stamp);
    txn.write(key, value);
    others++;
  }

  void when(String key, long stamp) {
    txn.when(key, stamp);
  }

  Txn finish() {
    for (Map.Entry<Chunk, Map<Integer, TaskState>> e : chunks.entrySet()) {
      Job job = e.getKey().job();
      int c = e.getKey().chunk();
      txn.when(job.chunkKey(c), job.chunkStamp(c));
      txn.write(job.chunkKey(c), job.encodeChunk(c, i -> state(job, i)));
    }
    return txn;
  }
}
