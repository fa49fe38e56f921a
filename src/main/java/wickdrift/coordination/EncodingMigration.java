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
 * Rewrites records in the encoding version of the level in force, one at a time, while there is
 * nothing else to write. Each node rewrites the pages of its own log. The leader rewrites the
 * chunks, and the partitions of absent nodes, whose pages it compacts; the partitions of members
 * are rewritten with the view.
 *
 * <p>The progress is in durable state only, so a new leader continues where the last one stopped.
 * When no record of an older encoding version is left, the completed level is stored. If a delayed
 * transaction then adds such a record, the stored level is removed, the record is rewritten, and
 * the level is stored again.
 */
final class EncodingMigration {
  /** Fraction of the write budget that must be unused for the migration to write. */
  static final double MIN_WRITE_BUDGET_FRACTION = 0.5;

  /** Minimum interval between two rewritten records. */
  private static final long MIN_INTERVAL_MS = 250;

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final Membership membership;
  private final Settings settings;
  private final String node;
  private long nextRecordMs;

  EncodingMigration(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      Membership membership,
      Settings settings) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.membership = membership;
    this.settings = settings;
    this.node = settings.node();
  }

  /**
   * Adds the rewriting of one record to a transaction that is empty so far. If no record is to be
   * rewritten, the leader adds the change of the completed level, if one is due.
   */
  void addNextRecord(TransactionBuilder builder) {
    long now = timers.nowMs();
    if (tables.encoding() == Encoding.FIRST || now < nextRecordMs) {
      return;
    }
    nextRecordMs = now + MIN_INTERVAL_MS;
    boolean isLeader = membership.isLeader();
    for (String key : tables.keysInOldEncoding()) {
      if (migratePage(builder, key)
          || isLeader && (migrateChunk(builder, key) || migratePartition(builder, key))) {
        return;
      }
    }
    boolean remaining = !tables.keysInOldEncoding().isEmpty();
    if (isLeader && remaining != tables.registry().convertedLevel() < tables.level()) {
      builder.addCondition(View.KEY, tables.viewStamp());
      if (remaining) {
        builder.addCondition(
            NodeRegistry.CONVERTED_LEVEL_KEY, tables.registry().convertedLevelStamp());
        builder.delete(NodeRegistry.CONVERTED_LEVEL_KEY);
      } else {
        builder.write(
            NodeRegistry.CONVERTED_LEVEL_KEY,
            NodeRegistry.encodeConvertedLevel(tables.level()),
            tables.registry().convertedLevelStamp());
      }
    }
  }

  private boolean migratePage(TransactionBuilder builder, String key) {
    for (LogPage page : tables.logPages(node).values()) {
      if (page.key().equals(key)) {
        return tryWrite(
            builder,
            key,
            LogPage.encode(page, tables.encoding(), List.of(), tables::isObsolete),
            page.stamp());
      }
    }
    return false;
  }

  private boolean migratePartition(TransactionBuilder builder, String key) {
    for (Map.Entry<String, Partition> partition : tables.partitions().entrySet()) {
      if (Partition.key(partition.getKey()).equals(key)) {
        Partition updated =
            Quota.toNumberedEncoding(
                partition.getValue(), partition.getKey(), tables.registry(), settings);
        return tryWrite(builder, key, updated.toStore(), updated.stamp());
      }
    }
    return false;
  }

  private boolean migrateChunk(TransactionBuilder builder, String key) {
    if (!Job.isChunkKey(key)) {
      return false;
    }
    String path = key.substring(key.indexOf('/', 2) + 1);
    int slash = path.lastIndexOf('/');
    Job job = tables.job(path.substring(0, slash));
    if (job == null) {
      return false;
    }
    int chunk = Integer.parseInt(path.substring(slash + 1));
    int maxBytes = stateService.limits().targetValueBytes();
    Object value =
        job.chunkToStore(chunk, stateService.rev(), job::task, tables.encoding(), maxBytes);
    if (!tryWrite(builder, key, value, job.chunkStamp(chunk))) {
      return false;
    }
    builder.addCondition(job.key(), job.stamp());
    return true;
  }

  private static boolean tryWrite(
      TransactionBuilder builder, String key, Object value, long stamp) {
    if (!builder.canWrite(key, value)) {
      return false;
    }
    builder.write(key, value, stamp);
    return true;
  }
}
