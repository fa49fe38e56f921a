package wickdrift.bookkeeping;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.BadMessage;

/**
 * Job chunks and archive buckets that must be written before a log page may be deleted.
 *
 * @param chunks indices of the chunks, by job
 * @param archiveBuckets names of the archive buckets
 */
public record RequiredWrites(Map<Job, Set<Integer>> chunks, Set<String> archiveBuckets) {
  private static final Logger LOG = LoggerFactory.getLogger(RequiredWrites.class);

  /** The writes that replace those entries of a page that no later record holds. */
  public static RequiredWrites of(LogPage page, Tables tables) {
    RequiredWrites required = new RequiredWrites(new LinkedHashMap<>(), new LinkedHashSet<>());
    for (LogPage.Run run : page.runs()) {
      for (Object o : run.entries()) {
        List<?> entry = (List<?>) o;
        if (!tables.isObsolete(run.rev(), entry)) {
          required.add(entry, tables);
        }
      }
    }
    return required;
  }

  private void add(List<?> entry, Tables tables) {
    try {
      if (LogEntry.aboutMachine(entry)) {
        archiveBuckets.add(Machine.archiveBucketOf(LogEntry.subject(entry)));
        return;
      }
      Job job = tables.job(LogEntry.subject(entry));
      int width = LogEntry.valuesPerTask(entry);
      for (int i = LogEntry.firstTaskIndex(entry); i + width <= entry.size(); i += width) {
        chunks
            .computeIfAbsent(job, k -> new LinkedHashSet<>())
            .add(LogEntry.number(entry, i) / Job.TASKS_PER_CHUNK);
      }
    } catch (BadMessage unreadable) {
      LOG.error("unreadable log entry: {}", unreadable.getMessage());
    }
  }
}
