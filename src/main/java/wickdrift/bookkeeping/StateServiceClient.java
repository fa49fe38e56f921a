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

  private static final long CALL_MS = 1500;

  /** After that a transaction counts as unanswered: one that is sent again can't do harm. */
  private static final long COMMIT_MS = 700;

  /** The answer of a transaction that shows in the tables comes within this time, or is lost. */
  private static final long ANSWER_LOST_MS = 100;

  private static final long HOLD_MS = 10_000;
  private static final int PAGE = 400;

  /** Of the writes that the state service takes a second. */
  private static final double USED = 0.95;

  private static final long WINDOW_MS = 500;

  /** A submission that found no write left comes again within this time. */
  private static final long USERS_WAIT_MS = 250;

  /** Of our writes, what submissions may take: hundreds at once are not to stop all placements. */
  private static final double USERS = 0.75;

  /** Left for authority and users. */
  private static final double RESERVE = 3;

  /** Of what is kept for work, the leader's part: gangs and what is spread over zones are its. */
  private static final double LEADERS = 0.7;

  /**
   * So many writes a node may save up for its work even where its share of a second is less: the
   * end of a job takes so many, and must come to be written however many controllers there are.
   */
  private static final double WORK_SAVED = 4;

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
  private final class Outstanding {
    private final Transaction txn;
    private final Consumer<CommitResult> done;
    private boolean over;
    private boolean seen;
    private boolean settled;

    Outstanding(Transaction txn, Consumer<CommitResult> done) {
      this.txn = txn;
      this.done = done;
      txn.conditions().keySet().forEach(k -> outstanding.put(k, this));
    }

    void finish(CommitResult r) {
      if (!over) {
        over = true;
        txn.conditions().keySet().forEach(k -> outstanding.remove(k, this));
        done.accept(r);
      }
    }

    /**
     * A key that it depends on has changed. By itself most likely: the answer is given a moment,
     * then it counts as lost.
     */
    void changed(Change c) {
      long expected = txn.conditions().get(c.key());
      if (c.stamp() <= expected) {
        return;
      }
      // One that must not be there may vanish again; a stamp never comes back.
      settled |= expected > 0;
      if (!seen) {
        seen = true;
        timers.after(
            ANSWER_LOST_MS,
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
    void load(List<Change> all, long rev);

    /** Changes after the last, up to {@code rev}. */
    void apply(List<Change> news, long rev);

    /** Called after a run of changes that belong together. */
    void changesApplied();

    /** Whether it has missed something that only a whole copy brings back. */
    boolean needsReload();
  }

  /**
   * The prefixes loaded at the start, the logs first (see Tables.load); finished jobs are read one
   * by one when asked for.
   */
  private static final List<String> LOADED =
      List.of("w/l/", "w/h/", "w/a/", "w/j/", "w/m/", "w/p/", "w/t/", "w/c/", "w/x", "w/v");

  private final Timers timers;
  private final Caller caller;
  private final String address;
  private final ChangeListener applier;
  private final MalformedMessages malformed;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private final TokenBucket userWrites;
  private final TokenBucket workWrites;
  private final int nodes;
  private final StateServiceLimits limits;
  private double requestReserve;
  private int sharing;
  private boolean sharingFallen;
  private boolean leading;
  private double fairWriteRate;
  private double fairUserWrites;
  private long usersWaitedMs = Long.MIN_VALUE / 2;
  private long refusedByBudget;
  private long refusedByStore;
  private long failedByCondition;
  private long tooLarge;
  private final Set<String> tooLargeTold = new HashSet<>();
  private long windowMs;
  private int window;
  private int lastWindow;
  private long syncGapMs;

  private Phase phase = Phase.LOADING;
  private long rev;
  private long lastOkMs;
  private boolean lastCallOk;
  private int failures;

  private boolean syncing;

  /** Counts the loads: the answer to a watch from before the last one is of no use. */
  private int loads;

  private long lastSyncMs;
  private boolean syncArmed;
  private List<Waiter> waiters = new ArrayList<>();
  private final List<RevWaiter> revWaiters = new ArrayList<>();

  /** Transactions that are out, by the keys that they depend on; of several the last. */
  private final Map<String, Outstanding> outstanding = new HashMap<>();

  private record Waiter(Consumer<Boolean> done, long deadlineMs) {}

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
    this.applier = applier;
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
    if (members == sharing && leads == leading && limits.nextLimitsInEffect() == sharingFallen) {
      return;
    }
    sharing = members;
    sharingFallen = limits.nextLimitsInEffect();
    leading = leads;
    double share = limits.maxRequestsPerSecond() / Math.min(nodes, members + 1) * 0.95;
    requests.setRate(share);
    requestReserve = share * 0.25;
    syncGapMs = Math.max(5, (long) (1000 / (share * 0.45)));
    int n = Math.max(1, members);
    double all = limits.maxWritesPerSecond() * USED;
    double work = all * (1 - USERS);
    fairUserWrites = all * USERS / n;
    fairWriteRate =
        fairUserWrites + (n == 1 ? work : leads ? work * LEADERS : work * (1 - LEADERS) / (n - 1));
    setOtherMembersWriteRate((all - fairWriteRate) / 2, fairWriteRate);
  }

  /**
   * What the other members are taken to write a second. What they leave is ours, up to {@code
   * most}, but only an even share is saved up: were all to begin at once, the sum would still keep
   * to the limit.
   */
  public void setOtherMembersWriteRate(double perSecond, double most) {
    double ours =
        Math.min(most, Math.max(fairWriteRate, limits.maxWritesPerSecond() * USED - perSecond));
    writes.setRate(ours, fairWriteRate);
    double users = fairUserWrites / fairWriteRate;
    userWrites.setRate(ours * users, fairUserWrites);
    double work = ours * (1 - users);
    workWrites.setRate(work, Math.max(work, WORK_SAVED));
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
    return limits.maxWritesPerSecond() * USED / Math.max(1, sharing);
  }

  /** How many changes a transaction of our work may have now, {@code most} at most. */
  public int affordableChanges(int most) {
    long now = timers.nowMs();
    int n = most;
    while (n > 0 && !mayWork(n, now)) {
      n--;
    }
    return n;
  }

  /**
   * From what all may use, if enough stays there and no submission waits for it, or from what is
   * kept for work.
   */
  private boolean mayWork(int n, long now) {
    boolean usersWait = now - usersWaitedMs < USERS_WAIT_MS;
    return !usersWait && writes.canAcquire(n, RESERVE, now) || workWrites.canAcquire(n, 0, now);
  }

  private boolean takeForWork(int n, long now) {
    if (!mayWork(n, now)) {
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
    return tooLarge;
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
    nextWindow();
    return Math.max(window, lastWindow) * 1000.0 / WINDOW_MS;
  }

  private void nextWindow() {
    long now = timers.nowMs();
    if (now - windowMs >= WINDOW_MS) {
      lastWindow = now - windowMs < 2 * WINDOW_MS ? window : 0;
      window = 0;
      windowMs = now;
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
    loads++;
    load(0, null, new ArrayList<>(), Long.MAX_VALUE);
  }

  private void load(int prefix, String from, List<Change> got, long minRev) {
    if (prefix == LOADED.size()) {
      phase = Phase.LOADING;
      applier.reset();
      applier.load(got, minRev);
      rev = minRev;
      catchUp();
      return;
    }
    String path = "/store?prefix=" + LOADED.get(prefix) + "&most=" + PAGE;
    if (from != null) {
      path += "&from=" + from;
    }
    call(
        "GET",
        path,
        null,
        CALL_MS,
        a -> {
          if (a.status() != 200) {
            timers.after(backoff(), () -> load(prefix, from, got, minRev));
            return;
          }
          try {
            Document d = Document.parse(a.body());
            long r = Math.min(minRev, d.count("ledgerRev"));
            ListResult l = listed(d);
            got.addAll(l.entries);
            if (l.truncated && !l.entries.isEmpty()) {
              load(prefix, got.get(got.size() - 1).key(), got, r);
            } else {
              load(prefix + 1, null, got, r);
            }
          } catch (BadMessage e) {
            malformed("list", e);
            timers.after(backoff(), () -> load(prefix, from, got, minRev));
          }
        });
  }

  /** The first catching up makes the copy whole: pages were read at different revisions. */
  private void catchUp() {
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + rev + "&holdMs=0",
        null,
        CALL_MS,
        a -> {
          if (a.status() == 410) {
            start();
          } else if (a.status() != 200 || !take(a.body())) {
            timers.after(backoff(), this::catchUp);
          } else {
            phase = Phase.FOLLOWING;
            LOG.info("tables loaded at revision {}", rev);
            applier.changesApplied();
            follow();
          }
        });
  }

  private void follow() {
    int since = loads;
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + rev + "&holdMs=" + HOLD_MS,
        null,
        HOLD_MS + 60_000,
        a -> {
          if (since != loads) {
            return;
          }
          if (a.status() == 410) {
            phase = Phase.LOADING;
            start();
          } else if (a.status() != 200) {
            timers.after(backoff(), () -> followOn(since));
          } else if (take(a.body())) {
            // A short pause lets changes gather: a watch per change would eat the request limit.
            timers.after(syncGapMs, () -> followOn(since));
          } else {
            timers.after(backoff(), () -> followOn(since));
          }
        });
  }

  private void followOn(int since) {
    if (since == loads) {
      follow();
    }
  }

  private boolean take(byte[] body) {
    List<Change> news = new ArrayList<>();
    long newRev;
    try {
      Document d = Document.parse(body);
      newRev = d.count("ledgerRev");
      for (Document e : d.docs("news")) {
        long stamp = e.count("stamp");
        String written = e.textOrNull("write");
        if (stamp <= rev) {
          continue;
        }
        news.add(
            written != null
                ? new Change(written, e.raw("v"), stamp)
                : new Change(e.text("delete"), null, stamp));
      }
    } catch (BadMessage e) {
      malformed("watch", e);
      return false;
    }
    applier.apply(news, newRev);
    rev = Math.max(rev, newRev);
    for (Change c : news) {
      Outstanding out = outstanding.get(c.key());
      if (out != null) {
        out.changed(c);
      }
    }
    if (phase == Phase.FOLLOWING) {
      if (!news.isEmpty()) {
        applier.changesApplied();
      }
      if (applier.needsReload()) {
        LOG.warn("what could not be read is gone: all is loaded anew");
        phase = Phase.LOADING;
        loads++;
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
    waiters.add(new Waiter(done, deadline));
    timers.after(waitMs, this::expireWaiters);
    armSync();
  }

  /** Runs once the tables have reached a revision, which a commit of ours returned. */
  public void runAtRevision(long wanted, Runnable done) {
    if (rev >= wanted && phase == Phase.FOLLOWING) {
      done.run();
      return;
    }
    revWaiters.add(new RevWaiter(wanted, done));
    armSync();
  }

  private void expireWaiters() {
    long now = timers.nowMs();
    List<Waiter> late = new ArrayList<>();
    waiters.removeIf(
        w -> {
          if (w.deadlineMs <= now) {
            late.add(w);
            return true;
          }
          return false;
        });
    late.forEach(w -> w.done.accept(false));
  }

  private void armSync() {
    if (syncing || syncArmed) {
      return;
    }
    long wait = lastSyncMs + syncGapMs - timers.nowMs();
    if (wait <= 0) {
      sync();
      return;
    }
    syncArmed = true;
    timers.after(
        wait,
        () -> {
          syncArmed = false;
          if (!syncing) {
            sync();
          }
        });
  }

  private void sync() {
    if (waiters.isEmpty() && revWaiters.isEmpty()) {
      return;
    }
    lastSyncMs = timers.nowMs();
    if (phase != Phase.FOLLOWING) {
      failWaiters();
      return;
    }
    syncing = true;
    List<Waiter> mine = waiters;
    waiters = new ArrayList<>();
    int since = loads;
    call(
        "GET",
        "/follow?prefix=" + PREFIX + "&from=" + rev + "&holdMs=0",
        null,
        CALL_MS,
        a -> {
          syncing = false;
          boolean ok = since == loads && a.status() == 200 && take(a.body());
          mine.forEach(w -> w.done.accept(ok));
          if (!waiters.isEmpty() || !revWaiters.isEmpty()) {
            armSync();
          }
        });
  }

  private void failWaiters() {
    List<Waiter> mine = waiters;
    waiters = new ArrayList<>();
    mine.forEach(w -> w.done.accept(false));
    if (!revWaiters.isEmpty()) {
      armSync();
    }
  }

  /** Ends a lease of ours at once, and what is tied to it. */
  public void revokeLease(long tether, Runnable done) {
    call("DELETE", "/grants/" + tether, null, CALL_MS, a -> done.run());
  }

  /** Reads one key: an empty value with {@code ok} means it is not there. */
  public record ReadResult(boolean ok, Document value, long stamp) {}

  /** Reads one key as it is in the state service now. */
  public void read(String key, Consumer<ReadResult> done) {
    call(
        "GET",
        "/store/" + key,
        null,
        CALL_MS,
        a -> {
          try {
            if (a.status() == 404) {
              done.accept(new ReadResult(true, null, 0));
            } else if (a.status() == 200) {
              Document d = Document.parse(a.body());
              done.accept(new ReadResult(true, Document.of(d.raw("v")), d.count("stamp")));
            } else {
              done.accept(new ReadResult(false, null, 0));
            }
          } catch (BadMessage e) {
            malformed("read", e);
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
  public void list(String prefix, String after, int most, Consumer<ListResult> done) {
    call(
        "GET",
        "/store?prefix=" + prefix + "&from=" + after + "&most=" + most,
        null,
        CALL_MS,
        a -> {
          try {
            done.accept(a.status() == 200 ? listed(Document.parse(a.body())) : null);
          } catch (BadMessage e) {
            malformed("list", e);
            done.accept(null);
          }
        });
  }

  private static ListResult listed(Document d) throws BadMessage {
    List<Change> got = new ArrayList<>();
    for (Document e : d.docs("entries")) {
      got.add(new Change(e.text("key"), e.raw("v"), e.count("stamp")));
    }
    return new ListResult(got, d.flag("truncated", false));
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
  public void commit(Transaction txn, WritePriority rank, Consumer<CommitResult> done) {
    long now = timers.nowMs();
    int n = txn.changeCount();
    boolean allowed =
        switch (rank) {
          case AUTHORITY -> writes.tryAcquire(n, -1e9, now);
          // Only one of them may be short: what was taken from the first is not to be lost.
          case USER ->
              userWrites.canAcquire(n, 0, now)
                  && writes.tryAcquire(n, 0, now)
                  && userWrites.tryAcquire(n, 0, now);
          case WORK -> takeForWork(n, now);
        };
    if (n > 0 && !allowed) {
      refusedByBudget += rank == WritePriority.WORK ? 1 : 0;
      usersWaitedMs = rank == WritePriority.USER ? now : usersWaitedMs;
      timers.after(1, () -> done.accept(new CommitResult(Outcome.REFUSED, 0, Set.of(), false)));
      return;
    }
    String over = txn.tooLarge(limits);
    if (over != null) {
      // Never sent: it would be refused each time. Whoever drafts keeps to the limits; what does
      // not, by a mistake, is told once and is not to use up the rate.
      tooLarge(over);
      timers.after(1, () -> done.accept(new CommitResult(Outcome.REFUSED, 0, Set.of(), false)));
      return;
    }
    nextWindow();
    window += n;
    Outstanding out = new Outstanding(txn, done);
    call(
        "POST",
        "/commit",
        MessageCodec.encode(txn.toRequest()),
        COMMIT_MS,
        a -> out.finish(result(txn, a)));
  }

  /** Counted each time, and told once a cause. */
  private void tooLarge(String cause) {
    tooLarge++;
    if (tooLargeTold.size() < 100 && tooLargeTold.add(cause)) {
      LOG.error("larger than the state service takes: {}", cause);
    }
  }

  private CommitResult result(Transaction txn, Caller.Answer a) {
    try {
      switch (a.status()) {
        case 200:
          return new CommitResult(
              Outcome.OK, Document.parse(a.body()).count("ledgerRev"), Set.of(), false);
        case 409:
          failedByCondition++;
          Document d = Document.parse(a.body());
          return new CommitResult(
              Outcome.CONDITION_FAILED,
              d.count("ledgerRev"),
              new HashSet<>(d.texts("failed")),
              false);
        case 429:
          refusedByStore++;
          writes.drain();
          workWrites.drain();
          limits.refusedForRate();
          return new CommitResult(Outcome.REFUSED, 0, Set.of(), false);
        case 400:
          String why = String.valueOf(Document.parse(a.body()).raw("error"));
          boolean lease = why.contains("lease");
          if (!lease) {
            // The next draft is smaller, if the limits have fallen; if not, it is told once.
            limits.refusedForSize();
            tooLarge(txn.largest() + ": " + why);
          }
          return new CommitResult(Outcome.REFUSED, 0, Set.of(), lease);
        case 503:
          refusedByStore++;
          return new CommitResult(Outcome.REFUSED, 0, Set.of(), false);
        default:
          return new CommitResult(Outcome.UNKNOWN, 0, Set.of(), false);
      }
    } catch (BadMessage e) {
      malformed("commit", e);
      return new CommitResult(Outcome.UNKNOWN, 0, Set.of(), false);
    }
  }

  // ---- leases ----

  /** Asks for a lease; {@code done} gets its id, or 0 if there was no answer. */
  public void grantLease(long lifeMs, Consumer<Long> done) {
    call(
        "POST",
        "/grants",
        MessageCodec.encode(Map.of("lifeMs", lifeMs)),
        CALL_MS,
        a -> {
          try {
            done.accept(a.status() == 200 ? Document.parse(a.body()).count("tether") : 0L);
          } catch (BadMessage e) {
            malformed("grant", e);
            done.accept(0L);
          }
        });
  }

  /** Renews a lease; {@code done} gets the status of the answer. */
  public void extendLease(long tether, Consumer<Integer> done) {
    call(
        "POST",
        "/grants/" + tether + "/extend",
        MessageCodec.encode(Map.of()),
        CALL_MS,
        a -> done.accept(a.status()));
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
        a -> {
          boolean ok = a.status() != 0 && a.status() != 503;
          if (a.status() == 429) {
            requests.drain();
          }
          if (ok) {
            lastOkMs = timers.nowMs();
            failures = 0;
          } else {
            failures++;
          }
          lastCallOk = ok || failures < 3 && timers.nowMs() - lastOkMs < 1000;
          done.accept(a);
        });
  }

  private long backoff() {
    return 100L + Math.floorMod(timers.nowMs() * 31, 100) + Math.min(failures, 5) * 50L;
  }

  private void malformed(String request, BadMessage e) {
    malformed.note(MalformedMessages.Sender.STATE_SERVICE, "answer to " + request, e);
  }
}
