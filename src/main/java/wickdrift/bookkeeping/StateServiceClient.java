package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Unsigned;
import wickdrift.transport.Caller;
import wickdrift.transport.Timers;

/**
 * Client of the state service. All keys of the cluster share one prefix, so that a single watch
 * delivers every change in order, and the watch's revision tells how current the tables are.
 */
public final class StateServiceClient {
  private static final Logger LOG = LoggerFactory.getLogger(StateServiceClient.class);

  /** Prefix of all keys of the cluster. */
  public static final String PREFIX = "w/";

  /** Timeout of a barrier for whose outcome no request waits. */
  public static final long BACKGROUND_BARRIER_TIMEOUT_MS = 2000;

  private static final long CALL_TIMEOUT_MS = 1500;

  /** After this time a transaction counts as unanswered. Sending it again is harmless. */
  private static final long COMMIT_TIMEOUT_MS = 700;

  /** A commit answer not received this long after its changes reached the tables counts as lost. */
  private static final long COMMIT_ANSWER_GRACE_MS = 100;

  private static final long WATCH_HOLD_MS = 10_000;
  private static final int RECORDS_PER_PAGE = 400;

  /** Fraction of the state service's write rate that all nodes together use. */
  private static final double USED_WRITE_FRACTION = 0.95;

  private static final long RATE_WINDOW_MS = 500;

  /** A submission refused for lack of write budget is retried within this time. */
  private static final long USER_RETRY_WINDOW_MS = 250;

  /** Fraction of the writes open to users: hundreds of submissions must not stop all placements. */
  private static final double USER_WRITE_FRACTION = 0.75;

  /** Writes that work leaves in the shared budget for authority and user transactions. */
  private static final double RESERVED_WRITES = 3;

  /** Leader's fraction of the work budget: it places gangs and jobs spread over zones. */
  private static final double LEADER_WORK_FRACTION = 0.7;

  /**
   * Writes that a node may accumulate for work even if its share per second is lower. The end of a
   * job takes this many and must remain writable however many controllers there are.
   */
  private static final double MIN_WORK_BURST = 4;

  /** LOADING until a full copy is loaded and caught up; FOLLOWING while the watch runs. */
  public enum Phase {
    LOADING,
    FOLLOWING
  }

  /** Outcome of a transaction. */
  public enum Outcome {
    OK,
    CONDITION_FAILED,
    /** It was not applied, for lack of budget or because the state service is unavailable. */
    REFUSED,
    /** It was not applied and never will be as it is: it exceeds a limit or is malformed. */
    REJECTED,
    /** It may have been applied, or may still be. */
    UNKNOWN
  }

  /**
   * Result of a commit.
   *
   * @param rev for OK and CONDITION_FAILED the store's revision at the answer; for a settled
   *     UNKNOWN, a revision that holds the change that settled it
   * @param settled for UNKNOWN: a key that the transaction depends on has changed, so that it was
   *     either applied by {@code rev} or never will be
   */
  public record CommitResult(
      Outcome outcome, long rev, Set<String> failedKeys, boolean leaseNotFound, boolean settled) {
    private CommitResult(Outcome outcome, long rev, Set<String> failedKeys, boolean leaseNotFound) {
      this(outcome, rev, failedKeys, leaseNotFound, false);
    }
  }

  /** A transaction without an answer yet; its callback is invoked exactly once. */
  private final class InFlightTransaction {
    private final Transaction transaction;
    private final Consumer<CommitResult> callback;
    private boolean finished;
    private boolean changeSeen;
    private boolean settled;

    InFlightTransaction(Transaction transaction, Consumer<CommitResult> callback) {
      this.transaction = transaction;
      this.callback = callback;
      transaction.conditions().keySet().forEach(k -> inFlightByKey.put(k, this));
    }

    void finish(CommitResult result) {
      if (!finished) {
        finished = true;
        transaction.conditions().keySet().forEach(k -> inFlightByKey.remove(k, this));
        callback.accept(result);
      }
    }

    /**
     * Handles a change of a key that the transaction depends on. Most likely the transaction itself
     * made it, so the answer gets a grace period, after which it counts as lost.
     */
    void onKeyChanged(Change change) {
      long expected = transaction.conditions().get(change.key());
      if (!Unsigned.isGreater(change.stamp(), expected)) {
        return;
      }
      // A key required to be absent may be deleted again; a required stamp never returns.
      settled |= expected != 0;
      if (!changeSeen) {
        changeSeen = true;
        timers.after(
            COMMIT_ANSWER_GRACE_MS,
            () -> finish(new CommitResult(Outcome.UNKNOWN, rev, Set.of(), false, settled)));
      }
    }
  }

  /** State of one key: its value as stored, in any encoding, or null once it is deleted. */
  public record Change(String key, Object value, long stamp) {}

  /** Receives the changes in order. */
  public interface ChangeListener {
    /** Discards the whole state before a load. */
    void reset();

    /** Loads a full copy, whose records were read at revisions from {@code rev} on. */
    void load(List<Change> records, long rev);

    /** Applies the changes since the previous ones, up to {@code rev}. */
    void apply(List<Change> changes, long rev);

    /** Called after a batch of changes was applied. */
    void changesApplied();

    /** Whether the listener skipped data that only a full load restores. */
    boolean needsReload();
  }

  /**
   * Prefixes loaded at the start, the logs first (see {@link Tables#load}). The job history is not
   * loaded; its records are read one by one on request.
   */
  private static final List<String> LOADED_PREFIXES =
      List.of("w/l/", "w/h/", "w/a/", "w/j/", "w/m/", "w/p/", "w/t/", "w/c/", "w/x", "w/v");

  private final Timers timers;
  private final Caller caller;
  private final String address;
  private final ChangeListener listener;
  private final MalformedMessages malformed;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final TokenBucket userWrites;
  private final TokenBucket workWrites;
  private final int nodes;
  private final StateServiceLimits limits;
  private double requestReserve;
  private int memberCount;
  private boolean dividedNextLimits;
  private boolean leader;
  private double fairWriteRate;
  private double fairUserWriteRate;
  private long lastUserRefusalMs = Long.MIN_VALUE / 2;
  private long refusedByBudget;
  private long refusedByStore;
  private long failedByCondition;
  private long tooLargeCount;
  private final Set<String> loggedTooLarge = new HashSet<>();
  private long windowStartMs;
  private int windowWrites;
  private int lastWindowWrites;
  private long syncIntervalMs;

  private Phase phase = Phase.LOADING;
  private long rev;
  private long lastOkMs;
  private boolean lastCallOk;
  private int consecutiveFailures;

  private boolean syncing;

  /** Number of loads so far; the answer to a watch sent before the latest load is ignored. */
  private int loadCount;

  private long lastSyncMs;
  private boolean syncScheduled;
  private List<BarrierWaiter> barrierWaiters = new ArrayList<>();
  private final List<RevWaiter> revWaiters = new ArrayList<>();

  /** Transactions in flight by the keys they depend on; of several, the latest. */
  private final Map<String, InFlightTransaction> inFlightByKey = new HashMap<>();

  private record BarrierWaiter(Consumer<Boolean> done, long deadlineMs) {}

  private record RevWaiter(long rev, Runnable done) {}

  /** Creates a client; it loads nothing until {@link #start}. */
  public StateServiceClient(
      Timers timers,
      Caller caller,
      String address,
      StateServiceLimits limits,
      int nodes,
      ChangeListener listener,
      MalformedMessages malformed) {
    this.timers = timers;
    this.caller = caller;
    this.address = address;
    this.listener = listener;
    this.malformed = malformed;
    long now = timers.nowMs();
    this.limits = limits;
    this.nodes = nodes;
    this.requests = new TokenBucket(1, now);
    this.writes = new TokenBucket(1, now);
    this.userWrites = new TokenBucket(1, now);
    this.workWrites = new TokenBucket(1, now);
    divideLimits(nodes, false);
    requests.fill();
    writes.fill();
    userWrites.fill();
    this.lastOkMs = now;
  }

  /**
   * Divides the limits among the members. The request rate leaves room for one joining member. The
   * user writes are divided evenly, since users reach all members alike. The leader gets more of
   * the work writes, since it makes more of the placements: with an even division, every additional
   * controller would lower the leader's placement rate.
   */
  public final void divideLimits(int members, boolean isLeader) {
    if (members == memberCount
        && isLeader == leader
        && limits.nextLimitsInEffect() == dividedNextLimits) {
      return;
    }
    memberCount = members;
    dividedNextLimits = limits.nextLimitsInEffect();
    leader = isLeader;
    double requestRate = limits.maxRequestsPerSecond() / Math.min(nodes, members + 1) * 0.95;
    requests.setRate(requestRate);
    requestReserve = requestRate * 0.25;
    syncIntervalMs = Math.max(5, (long) (1000 / (requestRate * 0.45)));
    int divisor = Math.max(1, members);
    double writeRate = limits.maxWritesPerSecond() * USED_WRITE_FRACTION;
    double workRate = writeRate * (1 - USER_WRITE_FRACTION);
    fairUserWriteRate = writeRate * USER_WRITE_FRACTION / divisor;
    fairWriteRate =
        fairUserWriteRate
            + (divisor == 1
                ? workRate
                : isLeader
                    ? workRate * LEADER_WORK_FRACTION
                    : workRate * (1 - LEADER_WORK_FRACTION) / (divisor - 1));
    setOtherMembersWriteRate((writeRate - fairWriteRate) / 2, fairWriteRate);
  }

  /**
   * Sets the assumed write rate of the other members. This node may use the remainder, up to {@code
   * max}, but accumulates only its fair share, so that the sum stays within the limit even if all
   * members start writing at once.
   */
  public void setOtherMembersWriteRate(double perSecond, double max) {
    double ownRate =
        Math.min(
            max,
            Math.max(fairWriteRate, limits.maxWritesPerSecond() * USED_WRITE_FRACTION - perSecond));
    writes.setRate(ownRate, fairWriteRate);
    double userFraction = fairUserWriteRate / fairWriteRate;
    userWrites.setRate(ownRate * userFraction, fairUserWriteRate);
    double workRate = ownRate * (1 - userFraction);
    workWrites.setRate(workRate, Math.max(workRate, MIN_WORK_BURST));
  }

  /** This node's share of the state service's write rate while all members write. */
  public double fairWriteRate() {
    return fairWriteRate;
  }

  /** Changes per second of this node that users may make at least. */
  public double guaranteedUserWriteRate() {
    return fairUserWriteRate;
  }

  /** Write rate per member if divided evenly; the minimum for any member but the leader. */
  public double evenWriteRate() {
    return limits.maxWritesPerSecond() * USED_WRITE_FRACTION / Math.max(1, memberCount);
  }

  /** Number of changes that a WORK transaction may have now, at most {@code max}. */
  public int affordableChanges(int max) {
    long now = timers.nowMs();
    int n = max;
    while (n > 0 && !canAffordWork(n, now)) {
      n--;
    }
    return n;
  }

  /**
   * Whether a WORK transaction may make {@code n} changes now: from the shared budget, if the
   * reserve stays there and no submission waits for it, or from the budget kept for work.
   */
  private boolean canAffordWork(int n, long now) {
    boolean userIsWaiting = now - lastUserRefusalMs < USER_RETRY_WINDOW_MS;
    return !userIsWaiting && writes.canAcquire(n, RESERVED_WRITES, now)
        || workWrites.canAcquire(n, 0, now);
  }

  private boolean takeWorkWrites(int n, long now) {
    if (!canAffordWork(n, now)) {
      return false;
    }
    writes.tryAcquire(n, -1e9, now);
    workWrites.acquireUpTo(n, now);
    return true;
  }

  /** Number of WORK transactions refused by this node's own write budget. */
  public long refusedByBudget() {
    return refusedByBudget;
  }

  /** Number of transactions refused by the state service: over its limits, or unavailable. */
  public long refusedByStore() {
    return refusedByStore;
  }

  /** Number of transactions over a size limit, detected here or by the state service. */
  public long tooLargeCount() {
    return tooLargeCount;
  }

  /** The limits of the state service. */
  public StateServiceLimits limits() {
    return limits;
  }

  /** Number of transactions whose conditions did not hold. */
  public long failedByCondition() {
    return failedByCondition;
  }

  /** Writes per second that this node sent recently. */
  public double recentWriteRate() {
    advanceWindow();
    return Math.max(windowWrites, lastWindowWrites) * 1000.0 / RATE_WINDOW_MS;
  }

  private void advanceWindow() {
    long now = timers.nowMs();
    if (now - windowStartMs >= RATE_WINDOW_MS) {
      lastWindowWrites = now - windowStartMs < 2 * RATE_WINDOW_MS ? windowWrites : 0;
      windowWrites = 0;
      windowStartMs = now;
    }
  }

  /** Whether the tables are being loaded or follow the watch. */
  public Phase phase() {
    return phase;
  }

  /** The revision that the tables have reached. */
  public long rev() {
    return rev;
  }

  /** True unless the latest calls show that the state service does not serve this node. */
  public boolean isReachable() {
    return lastCallOk;
  }

  /** Time of the last successful call. */
  public long lastOkMs() {
    return lastOkMs;
  }

  /** Remaining write budget, 0 to 1; if it is low, fewer and larger transactions are better. */
  public double writeBudgetFraction() {
    return writes.fillRatio(timers.nowMs());
  }

  // ---- loading and following ----

  /** Loads a full copy, then follows the changes. */
  public void start() {
    loadCount++;
    load(0, null, new ArrayList<>(), Unsigned.MAX_VALUE);
  }

  private void load(int prefix, String from, List<Change> records, long minRev) {
    if (prefix == LOADED_PREFIXES.size()) {
      phase = Phase.LOADING;
      listener.reset();
      listener.load(records, minRev);
      rev = minRev;
      catchUp();
      return;
    }
    String path = "/store?prefix=" + LOADED_PREFIXES.get(prefix) + "&most=" + RECORDS_PER_PAGE;
    if (from != null) {
      path += "&from=" + from;
    }
    call(
        "GET",
        path,
        null,
        CALL_TIMEOUT_MS,
        answer -> {
          if (answer.status() != 200) {
            timers.after(backoffMs(), () -> load(prefix, from, records, minRev));
            return;
          }
          try {
            Document document = Document.parse(answer.body());
            long oldestRev = Unsigned.min(minRev, document.unsigned("ledgerRev"));
            ListResult page = parseListing(document);
            records.addAll(page.entries);
            if (page.truncated && !page.entries.isEmpty()) {
              load(prefix, records.get(records.size() - 1).key(), records, oldestRev);
            } else {
              load(prefix + 1, null, records, oldestRev);
            }
          } catch (BadMessage e) {
            noteMalformed("list", e);
            timers.after(backoffMs(), () -> load(prefix, from, records, minRev));
          }
        });
  }

  /** Makes the copy consistent after a load, whose pages were read at different revisions. */
  private void catchUp() {
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + Unsigned.toText(rev) + "&holdMs=0",
        null,
        CALL_TIMEOUT_MS,
        answer -> {
          if (answer.status() == 410) {
            start();
          } else if (answer.status() != 200 || !applyAnswer(answer.body())) {
            timers.after(backoffMs(), this::catchUp);
          } else if (listener.needsReload()) {
            reload();
          } else {
            phase = Phase.FOLLOWING;
            LOG.info("tables loaded: revision={}", Unsigned.toText(rev));
            listener.changesApplied();
            follow();
          }
        });
  }

  private void follow() {
    int loadCountBefore = loadCount;
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + Unsigned.toText(rev) + "&holdMs=" + WATCH_HOLD_MS,
        null,
        WATCH_HOLD_MS + 60_000,
        answer -> {
          if (loadCountBefore != loadCount) {
            return;
          }
          if (answer.status() == 410) {
            phase = Phase.LOADING;
            start();
          } else if (answer.status() != 200) {
            timers.after(backoffMs(), () -> followUnlessReloaded(loadCountBefore));
          } else if (applyAnswer(answer.body())) {
            // A short delay batches changes: one watch per change would use up the request limit.
            timers.after(syncIntervalMs, () -> followUnlessReloaded(loadCountBefore));
          } else {
            timers.after(backoffMs(), () -> followUnlessReloaded(loadCountBefore));
          }
        });
  }

  private void followUnlessReloaded(int loadCountBefore) {
    if (loadCountBefore == loadCount) {
      follow();
    }
  }

  /** Loads everything again. Until then nothing may be decided from the incomplete tables. */
  private void reload() {
    LOG.warn("records were skipped that can be read now, reloading all tables");
    phase = Phase.LOADING;
    loadCount++;
    timers.after(1, this::start);
  }

  private boolean applyAnswer(byte[] body) {
    List<Change> changes = new ArrayList<>();
    long newRev;
    try {
      Document document = Document.parse(body);
      newRev = document.unsigned("ledgerRev");
      for (Document e : document.documents("news")) {
        long stamp = e.unsigned("stamp");
        String written = e.textOrNull("write");
        if (!Unsigned.isGreater(stamp, rev)) {
          continue;
        }
        changes.add(
            written != null
                ? new Change(written, e.value("v"), stamp)
                : new Change(e.text("delete"), null, stamp));
      }
    } catch (BadMessage e) {
      noteMalformed("watch", e);
      return false;
    }
    listener.apply(changes, newRev);
    rev = Unsigned.max(rev, newRev);
    for (Change c : changes) {
      InFlightTransaction inFlight = inFlightByKey.get(c.key());
      if (inFlight != null) {
        inFlight.onKeyChanged(c);
      }
    }
    if (phase == Phase.FOLLOWING && listener.needsReload()) {
      reload();
    } else if (phase == Phase.FOLLOWING) {
      if (!changes.isEmpty()) {
        listener.changesApplied();
      }
      for (int i = 0; i < revWaiters.size(); ) {
        RevWaiter w = revWaiters.get(i);
        if (!Unsigned.isGreater(w.rev, rev)) {
          revWaiters.remove(i);
          w.done.run();
        } else {
          i++;
        }
      }
    }
    return true;
  }

  // ---- reading ----

  /** Calls back with true once the tables hold all that was durable at the call, else false. */
  public void barrier(long waitMs, Consumer<Boolean> done) {
    long deadline = timers.nowMs() + waitMs;
    barrierWaiters.add(new BarrierWaiter(done, deadline));
    timers.after(waitMs, this::expireWaiters);
    scheduleSync();
  }

  /**
   * Runs a callback once the tables have reached a revision that a commit of this node returned.
   */
  public void runAtRevision(long wantedRev, Runnable done) {
    if (!Unsigned.isGreater(wantedRev, rev) && phase == Phase.FOLLOWING) {
      done.run();
      return;
    }
    revWaiters.add(new RevWaiter(wantedRev, done));
    scheduleSync();
  }

  private void expireWaiters() {
    long now = timers.nowMs();
    List<BarrierWaiter> expired = new ArrayList<>();
    barrierWaiters.removeIf(
        w -> {
          if (w.deadlineMs <= now) {
            expired.add(w);
            return true;
          }
          return false;
        });
    expired.forEach(w -> w.done.accept(false));
  }

  private void scheduleSync() {
    if (syncing || syncScheduled) {
      return;
    }
    long wait = lastSyncMs + syncIntervalMs - timers.nowMs();
    if (wait <= 0) {
      sync();
      return;
    }
    syncScheduled = true;
    timers.after(
        wait,
        () -> {
          syncScheduled = false;
          if (!syncing) {
            sync();
          }
        });
  }

  private void sync() {
    if (barrierWaiters.isEmpty() && revWaiters.isEmpty()) {
      return;
    }
    lastSyncMs = timers.nowMs();
    if (phase != Phase.FOLLOWING) {
      failWaiters();
      return;
    }
    syncing = true;
    List<BarrierWaiter> served = barrierWaiters;
    barrierWaiters = new ArrayList<>();
    int loadCountBefore = loadCount;
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + Unsigned.toText(rev) + "&holdMs=0",
        null,
        CALL_TIMEOUT_MS,
        answer -> {
          syncing = false;
          boolean ok =
              loadCountBefore == loadCount && answer.status() == 200 && applyAnswer(answer.body());
          served.forEach(w -> w.done.accept(ok));
          if (!barrierWaiters.isEmpty() || !revWaiters.isEmpty()) {
            scheduleSync();
          }
        });
  }

  private void failWaiters() {
    List<BarrierWaiter> failed = barrierWaiters;
    barrierWaiters = new ArrayList<>();
    failed.forEach(w -> w.done.accept(false));
    if (!revWaiters.isEmpty()) {
      scheduleSync();
    }
  }

  /** Ends a lease of this node at once and deletes the keys tied to it. */
  public void revokeLease(long leaseId, Runnable done) {
    call(
        "DELETE",
        "/grants/" + Unsigned.toText(leaseId),
        null,
        CALL_TIMEOUT_MS,
        answer -> done.run());
  }

  /** Result of reading one key: a null value with {@code ok} means that the key does not exist. */
  public record ReadResult(boolean ok, Document value, long stamp) {}

  /** Reads the current value of one key from the state service. */
  public void read(String key, Consumer<ReadResult> done) {
    call(
        "GET",
        "/store/" + key,
        null,
        CALL_TIMEOUT_MS,
        answer -> {
          try {
            if (answer.status() == 404) {
              done.accept(new ReadResult(true, null, 0));
            } else if (answer.status() == 200) {
              Document document = Document.parse(answer.body());
              done.accept(
                  new ReadResult(
                      true, Document.of(document.value("v")), document.unsigned("stamp")));
            } else {
              done.accept(new ReadResult(false, null, 0));
            }
          } catch (BadMessage e) {
            noteMalformed("read", e);
            done.accept(new ReadResult(false, null, 0));
          }
        });
  }

  /** One page of records, ordered by key. */
  public record ListResult(List<Change> entries, boolean truncated) {}

  /**
   * Reads the records of a prefix whose keys follow {@code after}, at most {@code max}.
   *
   * @param done receives null when the state service does not answer
   */
  public void list(String prefix, String after, int max, Consumer<ListResult> done) {
    call(
        "GET",
        "/store?prefix=" + prefix + "&from=" + after + "&most=" + max,
        null,
        CALL_TIMEOUT_MS,
        answer -> {
          try {
            done.accept(
                answer.status() == 200 ? parseListing(Document.parse(answer.body())) : null);
          } catch (BadMessage e) {
            noteMalformed("list", e);
            done.accept(null);
          }
        });
  }

  private static ListResult parseListing(Document document) throws BadMessage {
    List<Change> entries = new ArrayList<>();
    for (Document e : document.documents("entries")) {
      entries.add(new Change(e.text("key"), e.value("v"), e.unsigned("stamp")));
    }
    return new ListResult(entries, document.flag("truncated", false));
  }

  // ---- writing ----

  /** Priority of a transaction when the write budget is short, highest first. */
  public enum WritePriority {
    /** Views, members and fences; never held back. */
    AUTHORITY,
    /** Submissions and withdrawals; before work, except for the budget kept for work. */
    USER,
    /** Placements, exits, records, and removal of obsolete records. */
    WORK
  }

  /** Commits a transaction, or refuses it at once if the write budget does not allow it. */
  public void commit(Transaction transaction, WritePriority priority, Consumer<CommitResult> done) {
    long now = timers.nowMs();
    int changeCount = transaction.changeCount();
    boolean allowed =
        switch (priority) {
          case AUTHORITY -> writes.tryAcquire(changeCount, -1e9, now);
          // userWrites is checked first, so that no tokens are taken from writes if it is short.
          case USER ->
              userWrites.canAcquire(changeCount, 0, now)
                  && writes.tryAcquire(changeCount, 0, now)
                  && userWrites.tryAcquire(changeCount, 0, now);
          case WORK -> takeWorkWrites(changeCount, now);
        };
    if (changeCount > 0 && !allowed) {
      refusedByBudget += priority == WritePriority.WORK ? 1 : 0;
      lastUserRefusalMs = priority == WritePriority.USER ? now : lastUserRefusalMs;
      timers.after(1, () -> done.accept(new CommitResult(Outcome.REFUSED, 0, Set.of(), false)));
      return;
    }
    String oversized = transaction.sizeViolation(limits);
    if (oversized != null) {
      // Not sent, since it would be refused every time and use up the rate. Callers keep to the
      // limits; a violation is a bug and is logged once.
      noteTooLarge(oversized);
      timers.after(1, () -> done.accept(new CommitResult(Outcome.REJECTED, 0, Set.of(), false)));
      return;
    }
    advanceWindow();
    windowWrites += changeCount;
    InFlightTransaction inFlight = new InFlightTransaction(transaction, done);
    call(
        "POST",
        "/commit",
        MessageCodec.encode(transaction.toRequest()),
        COMMIT_TIMEOUT_MS,
        answer -> inFlight.finish(toCommitResult(transaction, answer)));
  }

  /** Counts an oversized transaction each time, but logs each cause only once. */
  private void noteTooLarge(String cause) {
    tooLargeCount++;
    if (loggedTooLarge.size() < 100 && loggedTooLarge.add(cause)) {
      LOG.error("transaction exceeds the limits of the state service: {}", cause);
    }
  }

  private CommitResult toCommitResult(Transaction transaction, Caller.Response answer) {
    try {
      switch (answer.status()) {
        case 200:
          return new CommitResult(
              Outcome.OK, Document.parse(answer.body()).unsigned("ledgerRev"), Set.of(), false);
        case 409:
          failedByCondition++;
          Document document = Document.parse(answer.body());
          return new CommitResult(
              Outcome.CONDITION_FAILED,
              document.unsigned("ledgerRev"),
              new HashSet<>(document.texts("failed")),
              false);
        case 429:
          refusedByStore++;
          writes.drain();
          workWrites.drain();
          limits.onRefusedForRate();
          return new CommitResult(Outcome.REFUSED, 0, Set.of(), false);
        case 400:
          String error = String.valueOf(Document.parse(answer.body()).raw("error"));
          boolean leaseNotFound = error.contains("lease");
          if (!leaseNotFound) {
            // If the next limits are in effect, the next transaction is smaller; else log once.
            limits.onRefusedForSize();
            noteTooLarge(transaction.largestRecord() + ": " + error);
          }
          return new CommitResult(
              leaseNotFound ? Outcome.REFUSED : Outcome.REJECTED, 0, Set.of(), leaseNotFound);
        case 503:
          refusedByStore++;
          return new CommitResult(Outcome.REFUSED, 0, Set.of(), false);
        default:
          return new CommitResult(Outcome.UNKNOWN, 0, Set.of(), false);
      }
    } catch (BadMessage e) {
      noteMalformed("commit", e);
      return new CommitResult(Outcome.UNKNOWN, 0, Set.of(), false);
    }
  }

  // ---- leases ----

  /** Requests a lease; {@code done} receives its id, or 0 if there was no answer. */
  public void grantLease(long lifetimeMs, Consumer<Long> done) {
    call(
        "POST",
        "/grants",
        MessageCodec.encode(Map.of("lifeMs", lifetimeMs)),
        CALL_TIMEOUT_MS,
        answer -> {
          try {
            done.accept(
                answer.status() == 200 ? Document.parse(answer.body()).unsigned("tether") : 0L);
          } catch (BadMessage e) {
            noteMalformed("grant", e);
            done.accept(0L);
          }
        });
  }

  /** Renews a lease; {@code done} receives the HTTP status of the answer. */
  public void extendLease(long leaseId, Consumer<Integer> done) {
    call(
        "POST",
        "/grants/" + Unsigned.toText(leaseId) + "/extend",
        MessageCodec.encode(Map.of()),
        CALL_TIMEOUT_MS,
        answer -> done.accept(answer.status()));
  }

  // ---- calls ----

  private void call(
      String method, String path, byte[] body, long timeoutMs, Consumer<Caller.Response> done) {
    boolean unthrottled = path.startsWith("/grants") || path.startsWith("/commit");
    if (!requests.tryAcquire(1, unthrottled ? -1e9 : requestReserve, timers.nowMs())) {
      timers.after(20, () -> call(method, path, body, timeoutMs, done));
      return;
    }
    caller.call(
        address,
        method,
        path,
        body,
        timeoutMs,
        answer -> {
          boolean ok = answer.status() != 0 && answer.status() != 503;
          if (answer.status() == 429) {
            requests.drain();
          }
          if (ok) {
            lastOkMs = timers.nowMs();
            consecutiveFailures = 0;
          } else {
            consecutiveFailures++;
          }
          lastCallOk = ok || consecutiveFailures < 3 && timers.nowMs() - lastOkMs < 1000;
          done.accept(answer);
        });
  }

  private long backoffMs() {
    return 100L + Math.floorMod(timers.nowMs() * 31, 100) + Math.min(consecutiveFailures, 5) * 50L;
  }

  private void noteMalformed(String request, BadMessage e) {
    malformed.record(MalformedMessages.Sender.STATE_SERVICE, "answer to " + request, e);
  }
}
