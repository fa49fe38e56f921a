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
 * Reads how jobs ended that are in no table any more. Many at once take few reads, as far as their
 * ids are near each other: one read brings a run of keys. A question that comes while a read is out
 * waits for the next one, for the one that is out may be older than the question.
 */
public final class JobHistory {
  private static final Logger LOG = LoggerFactory.getLogger(JobHistory.class);
  private static final int KEYS_PER_READ = 100;
  private static final long RETRY_INTERVAL_MS = 500;
  private static final String KEY_PREFIX = Job.terminalStateKey("");

  /** What the state service says of a job. */
  public enum LookupResult {
    TERMINAL,
    /** It is not over, or was never accepted: whoever asks knows whether it is unfinished. */
    NOT_TERMINAL,
    /** The state service did not answer. */
    UNAVAILABLE
  }

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private TreeMap<String, List<Consumer<LookupResult>>> queued = new TreeMap<>();
  private boolean reading;
  private boolean retryScheduled;
  private long readCount;

  public JobHistory(Timers timers, StateServiceClient stateService, Tables tables) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
  }

  /** Reads sent so far. */
  public long readCount() {
    return readCount;
  }

  /** Asks how a job ended; if it did, it is remembered in the tables by the time of the answer. */
  public void lookUp(String id, Consumer<LookupResult> callback) {
    queued.computeIfAbsent(id, k -> new ArrayList<>()).add(callback);
    startNextRead();
  }

  /** Reads what the chains lack, until nothing is. */
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
    // The chains' questions are put again with each change; some were answered meanwhile.
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

  /** Reads from the first of those that are open on. */
  private void read(TreeMap<String, List<Consumer<LookupResult>>> requests) {
    if (requests.isEmpty()) {
      reading = false;
      startNextRead();
      return;
    }
    String first = requests.firstKey();
    readCount++;
    // Keys after this one: the same without its last letter comes before it.
    String afterKey = KEY_PREFIX + first.substring(0, first.length() - 1);
    stateService.list(
        KEY_PREFIX,
        afterKey,
        KEYS_PER_READ,
        l -> {
          if (l == null) {
            requests.values().forEach(v -> v.forEach(c -> c.accept(LookupResult.UNAVAILABLE)));
            reading = false;
            scheduleRetry();
            return;
          }
          handlePage(l, requests);
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
        LOG.error("unreadable final record of {}: {}", lastId, e.getMessage());
        requests.remove(lastId);
        callbacks.forEach(a -> a.accept(LookupResult.UNAVAILABLE));
      }
    }
    // Up to the last key that came, whatever did not come is not there.
    Map<String, List<Consumer<LookupResult>>> absent =
        page.truncated() && lastId != null ? requests.headMap(lastId, true) : requests;
    for (String id : List.copyOf(absent.keySet())) {
      List<Consumer<LookupResult>> callbacks = requests.remove(id);
      if (callbacks.isEmpty() && tables.dependencies().unresolved().contains(id)) {
        // Accepted, and neither unfinished nor over: only a table that lags, or lost state.
        LOG.debug("{} is awaited, and is neither unfinished nor over", id);
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
