package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.transport.Timers;

/**
 * Looks up the terminal states of jobs that are no longer in the tables. Lookups are batched: one
 * read returns a range of keys, so jobs with neighbouring ids share a read. A lookup that arrives
 * while a read is in progress waits for the next read, because the current one may have been
 * answered before the lookup.
 */
public final class JobHistory {
  private static final Logger LOG = LoggerFactory.getLogger(JobHistory.class);
  private static final int KEYS_PER_READ = 100;
  private static final long RETRY_INTERVAL_MS = 500;
  private static final String KEY_PREFIX = Job.terminalStateKey("");

  /** The result of a lookup in the state service. */
  public enum LookupResult {
    /** The job is in a terminal state. */
    TERMINAL,
    /** The job is unfinished or was never accepted; the caller knows whether it is unfinished. */
    NOT_TERMINAL,
    /** The state service did not answer, or the record is unreadable. */
    UNAVAILABLE
  }

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private TreeMap<String, List<Consumer<LookupResult>>> queued = new TreeMap<>();
  private boolean reading;
  private boolean retryScheduled;
  private long readCount;

  /** Creates a reader without pending lookups. */
  public JobHistory(Timers timers, StateServiceClient stateService, Tables tables) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
  }

  /** The number of reads sent so far. */
  public long readCount() {
    return readCount;
  }

  /**
   * Looks up the terminal state of a job. If there is one, the tables contain it before the
   * callback is called.
   */
  public void lookUp(String id, Consumer<LookupResult> callback) {
    queued.computeIfAbsent(id, k -> new ArrayList<>()).add(callback);
    startNextRead();
  }

  /**
   * Looks up the terminal states that the dependency graph lacks, and retries until it lacks none.
   */
  public void resolveDependencies() {
    if (stateService.phase() != StateServiceClient.Phase.FOLLOWING || retryScheduled) {
      return;
    }
    for (String id : tables.dependencies().unresolved()) {
      queued.computeIfAbsent(id, k -> new ArrayList<>());
    }
    startNextRead();
  }

  private void startNextRead() {
    if (reading) {
      return;
    }
    // Lookups without a callback are for the dependency graph, which adds them again at each change
    // and may have resolved some meanwhile.
    queued
        .entrySet()
        .removeIf(
            e ->
                e.getValue().isEmpty() && !tables.dependencies().unresolved().contains(e.getKey()));
    if (!queued.isEmpty()) {
      TreeMap<String, List<Consumer<LookupResult>>> requests = queued;
      queued = new TreeMap<>();
      reading = true;
      read(requests);
    }
  }

  /** Reads a range of keys that starts with the first requested id. */
  private void read(TreeMap<String, List<Consumer<LookupResult>>> requests) {
    if (requests.isEmpty()) {
      reading = false;
      startNextRead();
      return;
    }
    String first = requests.firstKey();
    readCount++;
    // The read returns the keys after this one; the id without its last letter sorts before the id.
    String afterKey = KEY_PREFIX + first.substring(0, first.length() - 1);
    stateService.list(
        KEY_PREFIX,
        afterKey,
        KEYS_PER_READ,
        page -> {
          if (page == null) {
            requests.values().forEach(v -> v.forEach(c -> c.accept(LookupResult.UNAVAILABLE)));
            reading = false;
            scheduleRetry();
            return;
          }
          handlePage(page, requests);
          read(requests);
        });
  }

  private void handlePage(
      StateServiceClient.ListResult page, TreeMap<String, List<Consumer<LookupResult>>> requests) {
    String lastId = null;
    for (StateServiceClient.Change change : page.entries()) {
      lastId = change.key().substring(KEY_PREFIX.length());
      List<Consumer<LookupResult>> callbacks = requests.get(lastId);
      if (callbacks == null) {
        continue;
      }
      try {
        tables.rememberTerminalState(lastId, TerminalState.parse(Document.of(change.value())));
        requests.remove(lastId);
        callbacks.forEach(a -> a.accept(LookupResult.TERMINAL));
      } catch (BadMessage e) {
        LOG.error("cannot read terminal state: job={}, error={}", lastId, e.getMessage());
        requests.remove(lastId);
        callbacks.forEach(a -> a.accept(LookupResult.UNAVAILABLE));
      }
    }
    // Requested ids up to the last returned key that were not returned are not in the history.
    Map<String, List<Consumer<LookupResult>>> absent =
        page.truncated() && lastId != null ? requests.headMap(lastId, true) : requests;
    for (String id : List.copyOf(absent.keySet())) {
      List<Consumer<LookupResult>> callbacks = requests.remove(id);
      if (callbacks.isEmpty() && tables.dependencies().unresolved().contains(id)) {
        // An accepted job is unfinished or in the history, unless the tables lag behind or state
        // was lost.
        LOG.debug("awaited job is neither unfinished nor in the job history: job={}", id);
        scheduleRetry();
      }
      callbacks.forEach(a -> a.accept(LookupResult.NOT_TERMINAL));
    }
  }

  private void scheduleRetry() {
    if (!retryScheduled) {
      retryScheduled = true;
      timers.after(
          RETRY_INTERVAL_MS,
          () -> {
            retryScheduled = false;
            resolveDependencies();
          });
    }
  }
}
