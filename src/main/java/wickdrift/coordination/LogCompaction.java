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
import wickdrift.bookkeeping.RequiredWrites;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Unsigned;
import wickdrift.transport.Timers;

/**
 * Compacts the logs: stores the records of the oldest pages elsewhere, so that the pages can be
 * deleted.
 */
final class LogCompaction {
  private static final Logger LOG = LoggerFactory.getLogger(LogCompaction.class);
  private static final long ARCHIVE_CLEANUP_INTERVAL_MS = 5000;

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final Membership membership;
  private final Tuning tuning;
  private final String node;
  private final StateServiceLimits limits;
  private final Set<String> reportedKeys = new HashSet<>();
  private long nextArchiveCleanupMs;

  LogCompaction(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      Membership membership,
      Tuning tuning,
      String node) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.membership = membership;
    this.tuning = tuning;
    this.node = node;
    this.limits = stateService.limits();
  }

  /**
   * Stores what the oldest page records in the jobs' chunks and the machines' archive buckets, then
   * deletes the page. While there is other work this waits until the log has twice its target
   * length.
   */
  void addCompaction(TransactionBuilder builder) {
    List<String> logs = new ArrayList<>(List.of(node));
    if (membership.isLeader()) {
      // A node outside the view cannot write, so the leader compacts its log.
      for (String logNode : tables.nodesWithLogPages()) {
        if (!tables.view().members().containsKey(logNode)) {
          logs.add(logNode);
        }
      }
      deleteEmptyArchiveBuckets(builder);
    }
    for (String logNode : logs) {
      var pages = tables.logPages(logNode);
      // This node's log keeps its newest pages: jobs that end before their page becomes the oldest
      // need no compaction.
      int pagesToKeep = logNode.equals(node) ? tuning.maxLogPages() : 0;
      if (pages.size() > (builder.isEmpty() ? pagesToKeep : 2 * pagesToKeep)) {
        compactPage(builder, pages.firstEntry().getValue());
      }
    }
  }

  private void compactPage(TransactionBuilder builder, LogPage page) {
    RequiredWrites needed = RequiredWrites.of(page, tables);
    long revision = stateService.rev();
    for (Map.Entry<Job, Set<Integer>> entry : needed.chunks().entrySet()) {
      Job job = entry.getKey();
      for (int chunk : entry.getValue()) {
        if (!builder.canAddWrites() || !builder.canAddConditions()) {
          return;
        }
        builder.addCondition(job.key(), job.stamp());
        Object value =
            job.chunkToStore(
                chunk, revision, job::task, tables.encoding(), limits.targetValueBytes());
        if (exceedsValueLimit(value, job.chunkKey(chunk))
            || !builder.canWrite(job.chunkKey(chunk), value)) {
          return;
        }
        builder.write(job.chunkKey(chunk), value, job.chunkStamp(chunk));
      }
    }
    for (String bucket : needed.archiveBuckets()) {
      if (!builder.canAddWrites() || !builder.canAddConditions()) {
        return;
      }
      Map<String, Object> value = tables.encodeArchiveBucket(bucket, revision);
      if (exceedsValueLimit(value, Tables.archiveBucketKey(bucket))
          || !builder.canWrite(Tables.archiveBucketKey(bucket), value)) {
        return;
      }
      builder.write(Tables.archiveBucketKey(bucket), value, tables.archiveBucket(bucket).stamp());
    }
    // The deletion is part of the same transaction: if a chunk cannot be stored, the page stays.
    if (builder.canAddWrites() && builder.canAddConditions()) {
      builder.addCondition(page.key(), page.stamp());
      builder.delete(page.key());
    }
  }

  /**
   * Whether a record exceeds the maximum size of a value. Its log page must then stay, because no
   * other place holds the data. Logged once per record.
   */
  private boolean exceedsValueLimit(Object value, String key) {
    boolean isTooLarge = MessageCodec.jsonSize(value) > limits.maxValueBytes();
    if (isTooLarge && reportedKeys.add(key)) {
      LOG.error("record exceeds the maximum size of a value, keeping its log page: key={}", key);
    }
    return isTooLarge;
  }

  /**
   * Deletes archive buckets whose machines have all been removed, once no log page names these
   * machines any more.
   */
  private void deleteEmptyArchiveBuckets(TransactionBuilder builder) {
    long now = timers.nowMs();
    if (!builder.isEmpty() || now < nextArchiveCleanupMs) {
      return;
    }
    nextArchiveCleanupMs = now + ARCHIVE_CLEANUP_INTERVAL_MS;
    long oldestEntryRevision = tables.oldestEntryRev();
    for (Map.Entry<String, Tables.ArchiveBucket> entry : tables.archiveBuckets().entrySet()) {
      if (Unsigned.isGreater(oldestEntryRevision, entry.getValue().rev())
          && tables.isArchiveBucketEmpty(entry.getKey())
          && builder.canAddWrites()) {
        builder.addCondition(Tables.archiveBucketKey(entry.getKey()), entry.getValue().stamp());
        builder.delete(Tables.archiveBucketKey(entry.getKey()));
      }
    }
  }
}
