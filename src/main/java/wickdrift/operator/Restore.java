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
 * Writes a snapshot into an empty store. The revisions of that store start again, so the log pages,
 * which refer to revisions, can't be restored as they are: their effects are stored as chunks and
 * archive buckets instead. Tasks that ran when the snapshot was taken are restored as waiting,
 * because the leases of their workers have ended by then (the operators' page requires it). The
 * epoch is set far above any that a worker may have seen since the snapshot.
 *
 * <p>Until the last transaction the view's record is a marker text that no build can read. So a
 * controller that is started too early never takes a partly restored state for the whole, and an
 * interrupted restore continues when it is run again with the same snapshot.
 */
public final class Restore {
  /** The snapshot can't be restored into this store, or not by this build. */
  public static final class RestoreRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    RestoreRefusedException(String message) {
      super(message);
    }
  }

  /**
   * Added to the snapshot's epoch. It exceeds what a controller can have raised the epoch by since
   * then, even at several times a second for a week.
   */
  private static final long EPOCH_INCREMENT = 10_000_000;

  /** Upper bound of what a record takes in a transaction besides its value. */
  private static final int RECORD_OVERHEAD_BYTES = 512;

  private final StateServiceCaller store;
  private final StateServiceLimits limits;

  /**
   * Creates a restore into the given store.
   *
   * @param limits of the state service, the smaller ones of the current and the next limits
   */
  public Restore(StateServiceCaller store, StateServiceLimits limits) {
    this.store = store;
    this.limits = limits;
  }

  /**
   * Restores the snapshot, or continues a restore of the same snapshot that was interrupted.
   *
   * @return the number of records that the restored state consists of
   * @throws RestoreRefusedException if the store is not empty or is written to by others, or if
   *     this build can't read the snapshot
   * @throws StateServiceCaller.UnavailableException if the state service is unavailable
   */
  public int run(StoredRecords snapshot)
      throws RestoreRefusedException, StateServiceCaller.UnavailableException {
    Map<String, Object> plannedWrites = planWrites(snapshot, limits.targetValueBytes());
    String restoreMarker = "restoring " + snapshot.revision() + "/" + snapshot.byKey().hashCode();
    StoredRecords existing = StoredRecords.read(store);
    StoredRecords.StoredValue existingView = existing.byKey().get(View.KEY);
    if (existingView == null && !existing.byKey().isEmpty()
        || existingView != null && !equalAsStored(restoreMarker, existingView.value())) {
      throw new RestoreRefusedException(
          "the store is not empty: it holds "
              + existing.byKey().size()
              + " records, as "
              + existing.byKey().firstKey());
    }
    if (existingView == null
        && !StoredRecords.commit(
            store, new Transaction().requireStamp(View.KEY, 0).write(View.KEY, restoreMarker))) {
      throw new RestoreRefusedException("the store has just been written to by another");
    }
    Object restoredView = plannedWrites.remove(View.KEY);
    Transaction transaction = new Transaction();
    for (Map.Entry<String, Object> planned : plannedWrites.entrySet()) {
      StoredRecords.StoredValue stored = existing.byKey().get(planned.getKey());
      if (stored != null && equalAsStored(stored.value(), planned.getValue())) {
        continue;
      }
      int recordBytes = MessageCodec.jsonSize(planned.getValue()) + RECORD_OVERHEAD_BYTES;
      boolean full =
          transaction.changeCount() == limits.maxTransactionChanges()
              || transaction.requestBytes() + recordBytes > limits.targetTransactionBytes();
      if (full && transaction.changeCount() > 0) {
        commitOrRefuse(transaction);
        transaction = new Transaction();
      }
      transaction
          .requireStamp(planned.getKey(), stored == null ? 0 : stored.stamp())
          .write(planned.getKey(), planned.getValue());
    }
    if (transaction.changeCount() > 0) {
      commitOrRefuse(transaction);
    }
    StoredRecords reread = StoredRecords.read(store);
    for (Map.Entry<String, Object> planned : plannedWrites.entrySet()) {
      StoredRecords.StoredValue stored = reread.byKey().get(planned.getKey());
      if (stored == null || !equalAsStored(stored.value(), planned.getValue())) {
        throw new RestoreRefusedException(
            planned.getKey() + " is not what was written: someone else writes there");
      }
    }
    Transaction finalTransaction =
        new Transaction().requireStamp(View.KEY, reread.byKey().get(View.KEY).stamp());
    if (!StoredRecords.commit(
        store,
        restoredView == null
            ? finalTransaction.delete(View.KEY)
            : finalTransaction.write(View.KEY, restoredView))) {
      throw new RestoreRefusedException("the store was written to by another at the end");
    }
    return plannedWrites.size() + (restoredView == null ? 0 : 1);
  }

  private void commitOrRefuse(Transaction transaction)
      throws RestoreRefusedException, StateServiceCaller.UnavailableException {
    if (!StoredRecords.commit(store, transaction)) {
      throw new RestoreRefusedException("someone else writes to the store");
    }
  }

  /** Returns the values to write by key, including the final view. */
  static Map<String, Object> planWrites(StoredRecords snapshot, int targetValueBytes)
      throws RestoreRefusedException {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    tables.load(snapshot.toChanges(), snapshot.revision());
    if (tables.blockedReason() != null) {
      throw new RestoreRefusedException("this build can't put it back: " + tables.blockedReason());
    }
    Map<String, Object> writes = new LinkedHashMap<>();
    for (Map.Entry<String, StoredRecords.StoredValue> entry : snapshot.byKey().entrySet()) {
      String key = entry.getKey();
      boolean derived = key.startsWith("w/l/") || key.startsWith("w/m/") || key.startsWith("w/h/");
      if (!derived && !Job.isChunkKey(key) && !key.equals(View.KEY)) {
        writes.put(key, entry.getValue().value());
      }
    }
    for (Job job : tables.jobs()) {
      for (int chunkIndex = 0; chunkIndex < job.chunkCount(); chunkIndex++) {
        Map<String, Object> chunk =
            job.encodeChunk(chunkIndex, 0, taskIndex -> withoutLiveAttempt(job.task(taskIndex)));
        if (!((List<?>) chunk.get("done")).isEmpty() || !((List<?>) chunk.get("tried")).isEmpty()) {
          writes.put(
              job.chunkKey(chunkIndex),
              job.chunkToStore(
                  chunkIndex,
                  0,
                  taskIndex -> withoutLiveAttempt(job.task(taskIndex)),
                  tables.encoding(),
                  targetValueBytes));
        }
      }
    }
    TreeSet<String> archiveBuckets = new TreeSet<>();
    for (Machine machine : tables.machines()) {
      if (machine.info() != null) {
        archiveBuckets.add(Machine.archiveBucketOf(machine.name()));
      }
    }
    archiveBuckets.forEach(
        bucket ->
            writes.put(Tables.archiveBucketKey(bucket), tables.encodeArchiveBucket(bucket, 0)));
    if (tables.view() != null) {
      View view = tables.view();
      writes.put(
          View.KEY,
          new View(
                  view.epoch() + EPOCH_INCREMENT,
                  view.members(),
                  view.leader(),
                  view.zones(),
                  view.level(),
                  view.viewsGateEpoch(),
                  view.extra())
              .toStore());
    }
    return writes;
  }

  /** Whether two values are equal after encoding and decoding. */
  private static boolean equalAsStored(Object a, Object b) {
    try {
      return MessageCodec.decode(MessageCodec.encode(a))
          .equals(MessageCodec.decode(MessageCodec.encode(b)));
    } catch (BadMessage e) {
      return false;
    }
  }

  /** Returns a task state in which a live attempt is replaced by waiting. */
  private static TaskState withoutLiveAttempt(TaskState state) {
    return state.isLive() ? TaskState.waiting(state.attempt()) : state;
  }
}
