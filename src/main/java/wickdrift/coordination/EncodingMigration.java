package wickdrift.coordination;

import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.LogPage;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/**
 * Brings records to the form of the level in force, one at a time, while there is nothing else to
 * write: a node the pages of its own log, the leader the chunks, and the parts of nodes that are
 * away, whose pages it folds. (The parts of members are rewritten with the view.) Nothing is
 * remembered but what is durable, so whoever leads next goes on where the last one was. When
 * nothing of an older form is left, that is made durable; should a transaction that was long under
 * way bring another such record, it is converted too, and the level's end of work told anew.
 */
final class EncodingMigration {
  /** Of the budget of writes, so much must be left. */
  static final double MIN_WRITE_BUDGET_FRACTION = 0.5;

  /** At most one record in so long. */
  private static final long GAP_MS = 250;

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final Membership membership;
  private final Settings settings;
  private final String node;
  private long nextMs;

  EncodingMigration(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      Membership membership,
      Settings settings) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.membership = membership;
    this.settings = settings;
    this.node = settings.node();
  }

  /** Puts the next record into a draft that is empty so far. */
  void addNextRecord(TransactionBuilder draft) {
    long now = timers.nowMs();
    if (tables.encoding() == Encoding.FIRST || now < nextMs) {
      return;
    }
    nextMs = now + GAP_MS;
    boolean leads = membership.isLeader();
    for (String key : tables.keysInOldEncoding()) {
      if (page(draft, key) || leads && (chunk(draft, key) || part(draft, key))) {
        return;
      }
    }
    boolean left = !tables.keysInOldEncoding().isEmpty();
    if (leads && left != tables.registry().convertedLevel() < tables.level()) {
      draft.addCondition(View.KEY, tables.viewStamp());
      if (left) {
        draft.addCondition(
            NodeRegistry.CONVERTED_LEVEL_KEY, tables.registry().convertedLevelStamp());
        draft.delete(NodeRegistry.CONVERTED_LEVEL_KEY);
      } else {
        draft.write(
            NodeRegistry.CONVERTED_LEVEL_KEY,
            NodeRegistry.encodeConvertedLevel(tables.level()),
            tables.registry().convertedLevelStamp());
      }
    }
  }

  private boolean page(TransactionBuilder draft, String key) {
    for (LogPage p : tables.logPages(node).values()) {
      if (p.key().equals(key)) {
        draft.write(
            key, LogPage.encode(p, tables.encoding(), List.of(), tables::isObsolete), p.stamp());
        return true;
      }
    }
    return false;
  }

  private boolean part(TransactionBuilder draft, String key) {
    for (Map.Entry<String, Partition> p : tables.partitions().entrySet()) {
      if (Partition.key(p.getKey()).equals(key)) {
        Partition told =
            Quota.toNumberedEncoding(p.getValue(), p.getKey(), tables.registry(), settings);
        draft.write(key, told.toStore(), told.stamp());
        return true;
      }
    }
    return false;
  }

  private boolean chunk(TransactionBuilder draft, String key) {
    if (!Job.isChunkKey(key)) {
      return false;
    }
    String name = key.substring(key.indexOf('/', 2) + 1);
    int slash = name.lastIndexOf('/');
    Job job = tables.job(name.substring(0, slash));
    if (job == null) {
      return false;
    }
    int chunk = Integer.parseInt(name.substring(slash + 1));
    int most = ledger.limits().targetValueBytes();
    Object value = job.chunkToStore(chunk, ledger.rev(), job::task, tables.encoding(), most);
    draft.addCondition(job.key(), job.stamp());
    draft.write(key, value, job.chunkStamp(chunk));
    return true;
  }
}
