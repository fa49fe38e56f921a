package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.LogPage;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Timers;

/** Decides what of the logs is stored elsewhere, so that their pages can go. */
final class LogCompaction {
  private static final Logger LOG = LoggerFactory.getLogger(LogCompaction.class);
  private static final long SHELVES_MS = 5000;

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final Membership membership;
  private final Tuning tuning;
  private final String node;
  private final StateServiceLimits limits;
  private final Set<String> told = new HashSet<>();
  private long nextShelvesMs;

  LogCompaction(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      Membership membership,
      Tuning tuning,
      String node) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.membership = membership;
    this.tuning = tuning;
    this.node = node;
    this.limits = ledger.limits();
  }

  /**
   * Stores what the oldest page says in the jobs' chunks and the machines' shelves, then deletes
   * it. While there is other work this waits, until the log is twice as long as it should be.
   */
  void draft(TransactionBuilder draft) {
    List<String> logs = new ArrayList<>(List.of(node));
    if (membership.isLeader()) {
      // A node outside the view can't write: the leader does it.
      for (String n : tables.nodesWithLogPages()) {
        if (!tables.view().members().containsKey(n)) {
          logs.add(n);
        }
      }
      forgetShelves(draft);
    }
    for (String n : logs) {
      var pages = tables.logPages(n);
      // What has ended by the time its page is the oldest needs no folding.
      int keep = n.equals(node) ? tuning.logPages() : 0;
      if (pages.size() > (draft.empty() ? keep : 2 * keep)) {
        fold(draft, pages.firstEntry().getValue());
      }
    }
  }

  private void fold(TransactionBuilder draft, LogPage p) {
    Tables.RequiredWrites needed = tables.requiredWrites(p);
    long rev = ledger.rev();
    for (Map.Entry<Job, Set<Integer>> e : needed.chunks().entrySet()) {
      Job job = e.getKey();
      for (int c : e.getValue()) {
        if (!draft.canAddWrites() || !draft.canAddConditions()) {
          return;
        }
        draft.addCondition(job.key(), job.stamp());
        Object value =
            job.chunkToStore(c, rev, job::task, tables.encoding(), limits.targetValueBytes());
        if (tooLarge(value, job.chunkKey(c))) {
          return;
        }
        draft.write(job.chunkKey(c), value, job.chunkStamp(c));
      }
    }
    for (String shelf : needed.archiveBuckets()) {
      if (!draft.canAddWrites() || !draft.canAddConditions()) {
        return;
      }
      Map<String, Object> value = tables.encodeArchiveBucket(shelf, rev);
      if (tooLarge(value, Tables.archiveBucketKey(shelf))) {
        return;
      }
      draft.write(Tables.archiveBucketKey(shelf), value, tables.archiveBucket(shelf).stamp());
    }
    // In the same transaction: if a chunk can't be stored, the page stays.
    if (draft.canAddWrites() && draft.canAddConditions()) {
      draft.addCondition(p.key(), p.stamp());
      draft.delete(p.key());
    }
  }

  /** Then its page stays: what it says is nowhere else. Told once a record. */
  private boolean tooLarge(Object value, String key) {
    boolean over = MessageCodec.jsonSize(value) > limits.maxValueBytes();
    if (over && told.add(key)) {
      LOG.error("{} would be larger than a value may be: the page that needs it stays", key);
    }
    return over;
  }

  /** A shelf whose machines are all forgotten goes when no page is left that names them. */
  private void forgetShelves(TransactionBuilder draft) {
    long now = timers.nowMs();
    if (!draft.empty() || now < nextShelvesMs) {
      return;
    }
    nextShelvesMs = now + SHELVES_MS;
    long oldest = tables.oldestEntryRev();
    for (Map.Entry<String, Tables.ArchiveBucket> e : tables.archiveBuckets().entrySet()) {
      if (e.getValue().rev() < oldest
          && tables.isArchiveBucketEmpty(e.getKey())
          && draft.canAddWrites()) {
        draft.addCondition(Tables.archiveBucketKey(e.getKey()), e.getValue().stamp());
        draft.delete(Tables.archiveBucketKey(e.getKey()));
      }
    }
  }
}
