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
  private static final int PAGE = 100;
  private static final long AGAIN_MS = 500;
  private static final String PREFIX = Job.terminalStateKey("");

  /** What the state service says of a job. */
  public enum LookupResult {
    TERMINAL,
    /** It is not over, or was never accepted: whoever asks knows whether it is unfinished. */
    NOT_TERMINAL,
    /** The state service did not answer. */
    UNAVAILABLE
  }

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private TreeMap<String, List<Consumer<LookupResult>>> next = new TreeMap<>();
  private boolean reading;
  private boolean armed;
  private long reads;

  public JobHistory(Timers timers, StateServiceClient ledger, Tables tables) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
  }

  /** Reads sent so far. */
  public long readCount() {
    return reads;
  }

  /** Asks how a job ended; if it did, it is remembered in the tables by the time of the answer. */
  public void lookUp(String id, Consumer<LookupResult> done) {
    next.computeIfAbsent(id, k -> new ArrayList<>()).add(done);
    pump();
  }

  /** Reads what the chains lack, until nothing is. */
  public void resolveDependencies() {
    if (ledger.phase() != StateServiceClient.Phase.FOLLOWING || armed) {
      return;
    }
    for (String id : tables.dependencies().unresolved()) {
      next.computeIfAbsent(id, k -> new ArrayList<>());
    }
    pump();
  }

  private void pump() {
    if (reading) {
      return;
    }
    // The chains' questions are put again with each change; some were answered meanwhile.
    next.entrySet()
        .removeIf(
            e ->
                e.getValue().isEmpty() && !tables.dependencies().unresolved().contains(e.getKey()));
    if (!next.isEmpty()) {
      TreeMap<String, List<Consumer<LookupResult>>> open = next;
      next = new TreeMap<>();
      reading = true;
      read(open);
    }
  }

  /** Reads from the first of those that are open on. */
  private void read(TreeMap<String, List<Consumer<LookupResult>>> open) {
    if (open.isEmpty()) {
      reading = false;
      pump();
      return;
    }
    String first = open.firstKey();
    reads++;
    // Keys after this one: the same without its last letter comes before it.
    String after = PREFIX + first.substring(0, first.length() - 1);
    ledger.list(
        PREFIX,
        after,
        PAGE,
        l -> {
          if (l == null) {
            open.values().forEach(v -> v.forEach(c -> c.accept(LookupResult.UNAVAILABLE)));
            reading = false;
            again();
            return;
          }
          take(l, open);
          read(open);
        });
  }

  private void take(
      StateServiceClient.ListResult l, TreeMap<String, List<Consumer<LookupResult>>> open) {
    String last = null;
    for (StateServiceClient.Change c : l.entries()) {
      last = c.key().substring(PREFIX.length());
      List<Consumer<LookupResult>> asking = open.get(last);
      if (asking == null) {
        continue;
      }
      try {
        tables.rememberTerminalState(last, TerminalState.parse(Document.of(c.value())));
        open.remove(last);
        asking.forEach(a -> a.accept(LookupResult.TERMINAL));
      } catch (BadMessage e) {
        LOG.error("unreadable final record of {}: {}", last, e.getMessage());
        open.remove(last);
        asking.forEach(a -> a.accept(LookupResult.UNAVAILABLE));
      }
    }
    // Up to the last key that came, whatever did not come is not there.
    Map<String, List<Consumer<LookupResult>>> absent =
        l.truncated() && last != null ? open.headMap(last, true) : open;
    for (String id : List.copyOf(absent.keySet())) {
      List<Consumer<LookupResult>> asking = open.remove(id);
      if (asking.isEmpty() && tables.dependencies().unresolved().contains(id)) {
        // Accepted, and neither unfinished nor over: only a table that lags, or lost state.
        LOG.debug("{} is awaited, and is neither unfinished nor over", id);
        again();
      }
      asking.forEach(a -> a.accept(LookupResult.NOT_TERMINAL));
    }
  }

  private void again() {
    if (!armed) {
      armed = true;
      timers.after(
          AGAIN_MS,
          () -> {
            armed = false;
            resolveDependencies();
          });
    }
  }
}
