package wickdrift.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.Transaction;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.MessageCodec;

/**
 * Puts a snapshot into an empty store. Its revisions begin anew there, so the logs can't be put
 * back as they are: what they led to is stored as chunks and shelves. What ran when the snapshot
 * was taken waits again, for its workers' leases have ended by now (the operators' page says so),
 * and the epoch goes far beyond any that a worker may have seen since.
 *
 * <p>Until the last transaction the view's record is a text that no build reads, so no controller
 * that is started too early takes a part of it for the whole; and a restore that was interrupted
 * goes on when it is given the same snapshot again.
 */
public final class Restore {
  /** The snapshot can't be put back there, or not by this build. */
  public static final class Refused extends Exception {
    private static final long serialVersionUID = 1L;

    Refused(String message) {
      super(message);
    }
  }

  /** More than a controller could have raised the epoch since, at several a second for a week. */
  private static final long EPOCHS = 10_000_000;

  /** With one more value of the largest kind, a transaction stays below what it may be. */
  private static final int MOST_BYTES = 24 * 1024;

  private final Store store;
  private final StateServiceLimits limits;

  /**
   * @param limits of the state service, the smaller of now and next
   */
  public Restore(Store store, StateServiceLimits limits) {
    this.store = store;
    this.limits = limits;
  }

  /**
   * @return how many records were written
   * @throws Refused if the store is not empty, or the snapshot holds what this build can't read
   */
  public int run(Records snapshot) throws Refused, Store.Away {
    Map<String, Object> plan = plan(snapshot, limits.targetValueBytes());
    String mark = "restoring " + snapshot.rev() + "/" + snapshot.all().hashCode();
    Records there = Records.read(store);
    Records.Item view = there.all().get(View.KEY);
    if (view == null && !there.all().isEmpty() || view != null && !mark.equals(view.value())) {
      throw new Refused(
          "the store is not empty: it holds "
              + there.all().size()
              + " records, as "
              + there.all().firstKey());
    }
    if (view == null
        && !Records.commit(
            store, new Transaction().requireStamp(View.KEY, 0).write(View.KEY, mark))) {
      throw new Refused("the store has just been written to by another");
    }
    Object last = plan.remove(View.KEY);
    Transaction txn = new Transaction();
    for (Map.Entry<String, Object> e : plan.entrySet()) {
      Records.Item is = there.all().get(e.getKey());
      if (is != null && same(is.value(), e.getValue())) {
        continue;
      }
      txn.requireStamp(e.getKey(), is == null ? 0 : is.stamp()).write(e.getKey(), e.getValue());
      if (txn.changeCount() == limits.maxTransactionChanges()
          || MessageCodec.encode(txn.toRequest()).length > MOST_BYTES) {
        write(txn);
        txn = new Transaction();
      }
    }
    if (txn.changeCount() > 0) {
      write(txn);
    }
    Records now = Records.read(store);
    for (Map.Entry<String, Object> e : plan.entrySet()) {
      Records.Item is = now.all().get(e.getKey());
      if (is == null || !same(is.value(), e.getValue())) {
        throw new Refused(e.getKey() + " is not what was written: someone else writes there");
      }
    }
    Transaction end = new Transaction().requireStamp(View.KEY, now.all().get(View.KEY).stamp());
    if (!Records.commit(store, last == null ? end.delete(View.KEY) : end.write(View.KEY, last))) {
      throw new Refused("the store was written to by another at the end");
    }
    return plan.size() + (last == null ? 0 : 1);
  }

  private void write(Transaction txn) throws Refused, Store.Away {
    if (!Records.commit(store, txn)) {
      throw new Refused("someone else writes to the store");
    }
  }

  /** What is to be written, by key, the view too. */
  static Map<String, Object> plan(Records snapshot, int valueBytes) throws Refused {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    t.load(snapshot.changes(), snapshot.rev());
    if (t.blockedReason() != null) {
      throw new Refused("this build can't put it back: " + t.blockedReason());
    }
    Map<String, Object> out = new LinkedHashMap<>();
    for (Map.Entry<String, Records.Item> e : snapshot.all().entrySet()) {
      String key = e.getKey();
      boolean derived = key.startsWith("w/l/") || key.startsWith("w/m/") || key.startsWith("w/h/");
      if (!derived && !Job.isChunkKey(key) && !key.equals(View.KEY)) {
        out.put(key, e.getValue().value());
      }
    }
    for (Job j : t.jobs()) {
      for (int c = 0; c < j.chunkCount(); c++) {
        Map<String, Object> chunk = j.encodeChunk(c, 0, i -> stopped(j.task(i)));
        if (!((List<?>) chunk.get("done")).isEmpty() || !((List<?>) chunk.get("tried")).isEmpty()) {
          out.put(
              j.chunkKey(c),
              j.chunkToStore(c, 0, i -> stopped(j.task(i)), t.encoding(), valueBytes));
        }
      }
    }
    TreeSet<String> shelves = new TreeSet<>();
    for (Machine m : t.machines()) {
      if (m.info() != null) {
        shelves.add(Machine.archiveBucketOf(m.name()));
      }
    }
    shelves.forEach(s -> out.put(Tables.archiveBucketKey(s), t.encodeArchiveBucket(s, 0)));
    if (t.view() != null) {
      View v = t.view();
      out.put(
          View.KEY,
          new View(
                  v.epoch() + EPOCHS,
                  v.members(),
                  v.leader(),
                  v.zones(),
                  v.level(),
                  v.viewsGateEpoch(),
                  v.extra())
              .toStore());
    }
    return out;
  }

  /** Whether two values are alike once stored. */
  private static boolean same(Object a, Object b) {
    try {
      return MessageCodec.decode(MessageCodec.encode(a))
          .equals(MessageCodec.decode(MessageCodec.encode(b)));
    } catch (BadMessage e) {
      return false;
    }
  }

  private static TaskState stopped(TaskState s) {
    return s.isLive() ? TaskState.waiting(s.attempt()) : s;
  }
}
