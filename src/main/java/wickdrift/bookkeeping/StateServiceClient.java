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
import wickdrift.transport.Caller;
import wickdrift.transport.Timers;

/**
 * The state service's client. All our keys share one prefix, so that one watch shows every change
 * in order and its revision says how new the tables are.
 */
public final class StateServiceClient {
  private static final Logger LOG = LoggerFactory.getLogger(StateServiceClient.class);

  /** Where all our keys live. */
  public static final String PREFIX = "w/";

  private static final long CALL_TIMEOUT_MS = 1500;

  /** After that a transaction counts as unanswered: one that is sent again can't do harm. */
  private static final long COMMIT_TIMEOUT_MS = 700;

  /** The answer of a transaction that shows in the tables comes within this time, or is lost. */
  private static final long COMMIT_ANSWER_GRACE_MS = 100;

  private static final long WATCH_HOLD_MS = 10_000;
  private static final int RECORDS_PER_PAGE = 400;

  /** Of the writes that the state service takes a second. */
  private static final double USED_WRITE_FRACTION = 0.95;

  private static final long RATE_WINDOW_MS = 500;

  /** A submission that found no write left comes again within this time. */
  private static final long USER_RETRY_WINDOW_MS = 250;

  /** Of our writes, what submissions may take: hundreds at once are not to stop all placements. */
  private static final double USER_WRITE_FRACTION = 0.75;

  /** Left for authority and users. */
  private static final double RESERVED_WRITES = 3;

  /** Of what is kept for work, the leader's part: gangs and what is spread over zones are its. */
  private static final double LEADER_WORK_FRACTION = 0.7;

  /**
   * So many writes a node may save up for its work even where its share of a second is less: the
   * end of a job takes so many, and must come to be written however many controllers there are.
   */
  private static final double MIN_WORK_BURST = 4;

  /** Loading until a whole copy is there and has been caught up; then following. */
  public enum Phase {
    LOADING,
    FOLLOWING
  }

  /** What became of a transaction. UNKNOWN: it may have been applied, or may yet be. */
  public enum Outcome {
    OK,
    CONDITION_FAILED,
    REFUSED,
    UNKNOWN
  }

  /**
   * @param rev for OK and FAILED the store's revision then; for a settled UNKNOWN, one that holds
   *     what settled it
   * @param settled of UNKNOWN: a key that it depends on has changed, so that it was carried out by
   *     {@code rev} or never will be
   */
  public record CommitResult(
      Outcome outcome, long rev, Set<String> failedKeys, boolean leaseNotFound, boolean settled) {
    private CommitResult(Outcome outcome, long rev, Set<String> failed, boolean noLease) {
      this(outcome, rev, failed, noLease, false);
    }
  }

  /** A transaction that is out: who waits for its outcome is told once. */
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
     * A key that it depends on has changed. By itself most likely: the answer is given a moment,
     * then it counts as lost.
     */
    void onKeyChanged(Change change) {
      long expected = transaction.conditions().get(change.key());
      if (change.stamp() <= expected) {
        return;
      }
      // One that must not be there may vanish again; a stamp never comes back.
      settled |= expected > 0;
      if (!changeSeen) {
        changeSeen = true;
        timers.after(
            COMMIT_ANSWER_GRACE_MS,
            () -> finish(new CommitResult(Outcome.UNKNOWN, rev, Set.of(), false, settled)));
      }
    }
  }

  /** One key's state: value null when it is gone, else as it is stored, in whatever form. */
  public record Change(String key, Object value, long stamp) {}

  /** Takes the changes in order. */
  public interface ChangeListener {
    void reset();

    /** A whole copy, its parts read at revisions from {@code rev} on. */
    void load(List<Change> records, long rev);

    /** Changes after the last, up to {@code rev}. */
    void apply(List<Change> changes, long rev);

    /** Called after a run of changes that belong together. */
    void changesApplied();

    /** Whether it has missed something that only a whole copy brings back. */
    boolean needsReload();
  }

  /**
   * The prefixes loaded at the start, the logs first (see Tables.load); finished jobs are read one
   * by one when asked for.
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
  private boolean leading;
  private double fairWriteRate;
  private double fairUserWrites;
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

  /** Counts the loads: the answer to a watch from before the last one is of no use. */
  private int loadCount;

  private long lastSyncMs;
  private boolean syncScheduled;
  private List<BarrierWaiter> barrierWaiters = new ArrayList<>();
  private final List<RevWaiter> revWaiters = new ArrayList<>();

  /** Transactions that are out, by the keys that they depend on; of several the last. */
  private final Map<String, InFlightTransaction> inFlightByKey = new HashMap<>();

  private record BarrierWaiter(Consumer<Boolean> done, long deadlineMs) {}

  private record RevWaiter(long rev, Runnable done) {}

  /** A client that loads nothing until it is started. */
  public StateServiceClient(
      Timers timers,
      Caller caller,
      String address,
      StateServiceLimits limits,
      int nodes,
      ChangeListener applier,
      MalformedMessages malformed) {
    this.timers = timers;
    this.caller = caller;
    this.address = address;
    this.listener = applier;
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
   * So many members share the limits. Requests leave room for one that joins. What users may take
   * of the writes is divided evenly, for they come to all alike; of what is kept for work the
   * leader has more, since more of the placements are its: with an even share, each controller more
   * would have the leader place less.
   */
  public final void divideLimits(int members, boolean leads) {
    if (members == memberCount
        && leads == leading
        && limits.nextLimitsInEffect() == dividedNextLimits) {
      return;
    }
    memberCount = members;
    dividedNextLimits = limits.nextLimitsInEffect();
    leading = leads;
    double requestRate = limits.maxRequestsPerSecond() / Math.min(nodes, members + 1) * 0.95;
    requests.setRate(requestRate);
    requestReserve = requestRate * 0.25;
    syncIntervalMs = Math.max(5, (long) (1000 / (requestRate * 0.45)));
    int memberCountOrOne = Math.max(1, members);
    double writeRate = limits.maxWritesPerSecond() * USED_WRITE_FRACTION;
    double workRate = writeRate * (1 - USER_WRITE_FRACTION);
    fairUserWrites = writeRate * USER_WRITE_FRACTION / memberCountOrOne;
    fairWriteRate =
        fairUserWrites
            + (memberCountOrOne == 1
                ? workRate
                : leads
                    ? workRate * LEADER_WORK_FRACTION
                    : workRate * (1 - LEADER_WORK_FRACTION) / (memberCountOrOne - 1));
    setOtherMembersWriteRate((writeRate - fairWriteRate) / 2, fairWriteRate);
  }

  /**
   * What the other members are taken to write a second. What they leave is ours, up to {@code
   * most}, but only an even share is saved up: were all to begin at once, the sum would still keep
   * to the limit.
   */
  public void setOtherMembersWriteRate(double perSecond, double max) {
    double ownRate =
        Math.min(
            max,
            Math.max(fairWriteRate, limits.maxWritesPerSecond() * USED_WRITE_FRACTION - perSecond));
    writes.setRate(ownRate, fairWriteRate);
    double users = fairUserWrites / fairWriteRate;
    userWrites.setRate(ownRate * users, fairUserWrites);
    double work = ownRate * (1 - users);
    workWrites.setRate(work, Math.max(work, MIN_WORK_BURST));
  }

  /** This node's share of the writes that the state service takes, were all to write. */
  public double fairWriteRate() {
    return fairWriteRate;
  }

  /** Of this node's changes a second, what users may take at least. */
  public double guaranteedUserWriteRate() {
    return fairUserWrites;
  }

  /** What another member may write at least, the leader apart. */
  public double evenWriteRate() {
    return limits.maxWritesPerSecond() * USED_WRITE_FRACTION / Math.max(1, memberCount);
  }

  /** How many changes a transaction of our work may have now, {@code most} at most. */
  public int affordableChanges(int max) {
    long now = timers.nowMs();
    int n = max;
    while (n > 0 && !canAffordWork(n, now)) {
      n--;
    }
    return n;
  }

  /**
   * From what all may use, if enough stays there and no submission waits for it, or from what is
   * kept for work.
   */
  private boolean canAffordWork(int n, long now) {
    boolean usersWait = now - lastUserRefusalMs < USER_RETRY_WINDOW_MS;
    return !usersWait && writes.canAcquire(n, RESERVED_WRITES, now)
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

  /** Transactions of our work that our own budget refused. */
  public long refusedByBudget() {
    return refusedByBudget;
  }

  /** Transactions that the state service refused: over its limits, or away. */
  public long refusedByStore() {
    return refusedByStore;
  }

  /** Transactions that were larger than may be, found here or by the state service. */
  public long tooLargeCount() {
    return tooLargeCount;
  }

  /** What the state service takes. */
  public StateServiceLimits limits() {
    return limits;
  }

  /** Transactions whose conditions did not hold. */
  public long failedByCondition() {
    return failedByCondition;
  }

  /** How many writes a second we have sent lately. */
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

  public Phase phase() {
    return phase;
  }

  public long rev() {
    return rev;
  }

  /** True unless the last calls say that the state service does not serve us. */
  public boolean reachable() {
    return lastCallOk;
  }

  public long lastOkMs() {
    return lastOkMs;
  }

  /** How much of the write budget is left, from 0 to 1: little calls for fewer, fuller writes. */
  public double writeBudgetFraction() {
    return writes.fillRatio(timers.nowMs());
  }

  // ---- loading and following ----

  public void start() {
    loadCount++;
    load(0, null, new ArrayList<>(), Long.MAX_VALUE);
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
            long r = Math.min(minRev, document.count("ledgerRev"));
            ListResult l = parseListing(document);
            records.addAll(l.entries);
            if (l.truncated && !l.entries.isEmpty()) {
              load(prefix, records.get(records.size() - 1).key(), records, r);
            } else {
              load(prefix + 1, null, records, r);
            }
          } catch (BadMessage e) {
            noteMalformed("list", e);
            timers.after(backoffMs(), () -> load(prefix, from, records, minRev));
          }
        });
  }

  /** The first catching up makes the copy whole: pages were read at different revisions. */
  private void catchUp() {
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + rev + "&holdMs=0",
        null,
        CALL_TIMEOUT_MS,
        answer -> {
          if (answer.status() == 410) {
            start();
          } else if (answer.status() != 200 || !applyAnswer(answer.body())) {
            timers.after(backoffMs(), this::catchUp);
          } else {
            phase = Phase.FOLLOWING;
            LOG.info("tables loaded at revision {}", rev);
            listener.changesApplied();
            follow();
          }
        });
  }

  private void follow() {
    int loadCountBefore = loadCount;
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + rev + "&holdMs=" + WATCH_HOLD_MS,
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
            // A short pause lets changes gather: a watch per change would eat the request limit.
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

  private boolean applyAnswer(byte[] body) {
    List<Change> changes = new ArrayList<>();
    long newRev;
    try {
      Document document = Document.parse(body);
      newRev = document.count("ledgerRev");
      for (Document e : document.docs("news")) {
        long stamp = e.count("stamp");
        String written = e.textOrNull("write");
        if (stamp <= rev) {
          continue;
        }
        changes.add(
            written != null
                ? new Change(written, e.raw("v"), stamp)
                : new Change(e.text("delete"), null, stamp));
      }
    } catch (BadMessage e) {
      noteMalformed("watch", e);
      return false;
    }
    listener.apply(changes, newRev);
    rev = Math.max(rev, newRev);
    for (Change c : changes) {
      InFlightTransaction inFlight = inFlightByKey.get(c.key());
      if (inFlight != null) {
        inFlight.onKeyChanged(c);
      }
    }
    if (phase == Phase.FOLLOWING) {
      if (!changes.isEmpty()) {
        listener.changesApplied();
      }
      if (listener.needsReload()) {
        LOG.warn("what could not be read is gone: all is loaded anew");
        phase = Phase.LOADING;
        loadCount++;
        timers.after(1, this::start);
      }
      for (int i = 0; i < revWaiters.size(); ) {
        RevWaiter w = revWaiters.get(i);
        if (w.rev <= rev) {
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

  /** Calls back once the tables hold everything that was durable when this was called. */
  public void barrier(long waitMs, Consumer<Boolean> done) {
    long deadline = timers.nowMs() + waitMs;
    barrierWaiters.add(new BarrierWaiter(done, deadline));
    timers.after(waitMs, this::expireWaiters);
    scheduleSync();
  }

  /** Runs once the tables have reached a revision, which a commit of ours returned. */
  public void runAtRevision(long wanted, Runnable done) {
    if (rev >= wanted && phase == Phase.FOLLOWING) {
      done.run();
      return;
    }
    revWaiters.add(new RevWaiter(wanted, done));
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
        "/follow?prefix=" + PREFIX + "&from=" + rev + "&holdMs=0",
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

  /** Ends a lease of ours at once, and what is tied to it. */
  public void revokeLease(long leaseId, Runnable done) {
    call("DELETE", "/grants/" + leaseId, null, CALL_TIMEOUT_MS, answer -> done.run());
  }

  /** Reads one key: an empty value with {@code ok} means it is not there. */
  public record ReadResult(boolean ok, Document value, long stamp) {}

  /** Reads one key as it is in the state service now. */
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
                  new ReadResult(true, Document.of(document.raw("v")), document.count("stamp")));
            } else {
              done.accept(new ReadResult(false, null, 0));
            }
          } catch (BadMessage e) {
            noteMalformed("read", e);
            done.accept(new ReadResult(false, null, 0));
          }
        });
  }

  /** A page of records, by key; null when there was no answer. */
  public record ListResult(List<Change> entries, boolean truncated) {}

  /**
   * Reads the records of a prefix whose keys come after another, so many at most.
   *
   * @param done gets null when the state service does not answer
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
    List<Change> got = new ArrayList<>();
    for (Document e : document.docs("entries")) {
      got.add(new Change(e.text("key"), e.raw("v"), e.count("stamp")));
    }
    return new ListResult(got, document.flag("truncated", false));
  }

  // ---- writing ----

  /** Whose writes come first. */
  public enum WritePriority {
    /** Views, members, fences: never held back. */
    AUTHORITY,
    /** Submissions and withdrawals: before our work, but for a part that is kept for that. */
    USER,
    /** Placements, exits, records, and tidying up. */
    WORK
  }

  /** Commits, or refuses at once where the budget of writes does not allow it. */
  public void commit(Transaction transaction, WritePriority rank, Consumer<CommitResult> done) {
    long now = timers.nowMs();
    int changeCount = transaction.changeCount();
    boolean allowed =
        switch (rank) {
          case AUTHORITY -> writes.tryAcquire(changeCount, -1e9, now);
          // Only one of them may be short: what was taken from the first is not to be lost.
          case USER ->
              userWrites.canAcquire(changeCount, 0, now)
                  && writes.tryAcquire(changeCount, 0, now)
                  && userWrites.tryAcquire(changeCount, 0, now);
          case WORK -> takeWorkWrites(changeCount, now);
        };
    if (changeCount > 0 && !allowed) {
      refusedByBudget += rank == WritePriority.WORK ? 1 : 0;
      lastUserRefusalMs = rank == WritePriority.USER ? now : lastUserRefusalMs;
      timers.after(1, () -> done.accept(new CommitResult(Outcome.REFUSED, 0, Set.of(), false)));
      return;
    }
    String oversized = transaction.sizeViolation(limits);
    if (oversized != null) {
      // Never sent: it would be refused each time. Whoever drafts keeps to the limits; what does
      // not, by a mistake, is told once and is not to use up the rate.
      noteTooLarge(oversized);
      timers.after(1, () -> done.accept(new CommitResult(Outcome.REFUSED, 0, Set.of(), false)));
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

  /** Counted each time, and told once a cause. */
  private void noteTooLarge(String cause) {
    tooLargeCount++;
    if (loggedTooLarge.size() < 100 && loggedTooLarge.add(cause)) {
      LOG.error("larger than the state service takes: {}", cause);
    }
  }

  private CommitResult toCommitResult(Transaction transaction, Caller.Answer answer) {
    try {
      switch (answer.status()) {
        case 200:
          return new CommitResult(
              Outcome.OK, Document.parse(answer.body()).count("ledgerRev"), Set.of(), false);
        case 409:
          failedByCondition++;
          Document document = Document.parse(answer.body());
          return new CommitResult(
              Outcome.CONDITION_FAILED,
              document.count("ledgerRev"),
              new HashSet<>(document.texts("failed")),
              false);
        case 429:
          refusedByStore++;
          writes.drain();
          workWrites.drain();
          limits.onRefusedForRate();
          return new CommitResult(Outcome.REFUSED, 0, Set.of(), false);
        case 400:
          String why = String.valueOf(Document.parse(answer.body()).raw("error"));
          boolean lease = why.contains("lease");
          if (!lease) {
            // The next draft is smaller, if the limits have fallen; if not, it is told once.
            limits.onRefusedForSize();
            noteTooLarge(transaction.largestRecord() + ": " + why);
          }
          return new CommitResult(Outcome.REFUSED, 0, Set.of(), lease);
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

  /** Asks for a lease; {@code done} gets its id, or 0 if there was no answer. */
  public void grantLease(long lifetimeMs, Consumer<Long> done) {
    call(
        "POST",
        "/grants",
        MessageCodec.encode(Map.of("lifeMs", lifetimeMs)),
        CALL_TIMEOUT_MS,
        answer -> {
          try {
            done.accept(
                answer.status() == 200 ? Document.parse(answer.body()).count("tether") : 0L);
          } catch (BadMessage e) {
            noteMalformed("grant", e);
            done.accept(0L);
          }
        });
  }

  /** Renews a lease; {@code done} gets the status of the answer. */
  public void extendLease(long leaseId, Consumer<Integer> done) {
    call(
        "POST",
        "/grants/" + leaseId + "/extend",
        MessageCodec.encode(Map.of()),
        CALL_TIMEOUT_MS,
        answer -> done.accept(answer.status()));
  }

  // ---- calls ----

  private void call(
      String method, String path, byte[] body, long timeoutMs, Consumer<Caller.Answer> done) {
    boolean vital = path.startsWith("/grants") || path.startsWith("/commit");
    if (!requests.tryAcquire(1, vital ? -1e9 : requestReserve, timers.nowMs())) {
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
    malformed.note(MalformedMessages.Sender.STATE_SERVICE, "answer to " + request, e);
  }
}
