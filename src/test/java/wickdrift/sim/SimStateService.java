package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Predicate;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Unsigned;
import wickdrift.transport.Caller.Response;

/**
 * A stand-in for the state service: records with stamps, conditional transactions, leases and
 * watches. It can be unavailable, slow or lossy, and checks that transactions have the conditions
 * that they need.
 */
public final class SimStateService implements SimNetwork.Server {
  /** A record of the store; lease 0 means that it belongs to no lease. */
  private record Entry(Object value, long stamp, long leaseId) {}

  private record Change(String key, Object value, long stamp) {}

  /** An open request for changes after a revision, answered at the first change or its deadline. */
  private record Watch(
      String from, String prefix, long afterRevision, Consumer<Response> done, long deadlineMs) {}

  private static final int MAX_RECORDED_CHANGES = 10_000;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

  /** The most changes in a transaction. */
  int maxTransactionChanges = 8;

  /** The default rate of changes, and the largest burst. */
  static final double DEFAULT_WRITES_PER_SECOND = 100;

  /** The rate of changes, and the largest burst. Exceeding it is counted, not refused. */
  double maxWritesPerSecond;

  /** {@link #maxWritesPerSecond} before the limits were lowered. */
  final double initialMaxWritesPerSecond;

  private int previousMaxTransactionChanges;

  /** The size limit of a value. */
  int maxValueBytes;

  /** Keys that the state service lets nobody write: it rejects every transaction with one. */
  Predicate<String> rejectsKey = key -> false;

  /** How many transactions were rejected because of {@link #rejectsKey}. */
  int rejectedCount;

  /** What was too large in each transaction that was refused for its size. */
  final List<String> oversizedTransactions = new ArrayList<>();

  /** Lowers the limits without notice. */
  void lowerLimits(double maxValueKb, int maxChanges, double writesPerSecond) {
    previousMaxTransactionChanges = maxTransactionChanges;
    maxValueBytes = (int) (maxValueKb * 1024);
    maxTransactionChanges = maxChanges;
    maxWritesPerSecond = writesPerSecond;
  }

  /** Returns the most changes in a transaction before the limits were lowered. */
  int initialMaxTransactionChanges() {
    return previousMaxTransactionChanges > 0
        ? previousMaxTransactionChanges
        : maxTransactionChanges;
  }

  private final SimClock clock;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Long> leaseEndMs = new HashMap<>();
  private final Map<Long, Long> leaseDurationMs = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Set<String> refusedNodes = new HashSet<>();
  private final Map<String, Long> watchDelayMsByNode = new HashMap<>();
  private long commitDelayMs;

  /** The delay of answers to listings of the job history. */
  long historyReadDelayMs;

  /** How many transactions were delayed by {@link #delayCommits}. */
  int delayedCommitCount;

  /** How many transactions were applied without an answer by {@link #loseAnswers}. */
  int lostAnswerCount;

  private double delayedCommitShare;
  private long delayedCommitMs;
  private Random commitDelayRandom;
  private final List<String> transactionViolations = new ArrayList<>();

  /** Nodes whose build knows no levels and writes none to its node record. */
  final Set<String> nodesWithoutLevels = new HashSet<>();

  /** What happens to a transaction on its way. */
  enum TransactionOutcome {
    APPLIED,
    /** The request never arrives. */
    LOST,
    /** The transaction is applied, but its answer never arrives. */
    UNANSWERED
  }

  /** Decides what happens to a transaction, given its sender and its content. */
  BiFunction<String, Document, TransactionOutcome> outcomeOf =
      (from, d) -> TransactionOutcome.APPLIED;

  /** The nodes that have sent transactions since a test last cleared the set. */
  final Set<String> writers = new HashSet<>();

  private long revision;
  private long lastLeaseId;
  private long firstRevision;
  private boolean unavailable;
  private int commitCount;
  private int requestCount;
  private long bytesWritten;
  private long bytesRead;

  /** The number of changes that the rate limit allows now (a token bucket). */
  private double writeTokens;

  private long writeTokensUpdatedMs;
  private int writeLimitExceededCount;

  /** Creates an empty store with the given limit of changes per second. */
  public SimStateService(SimClock clock, double writeRps) {
    this.clock = clock;
    this.maxWritesPerSecond = writeRps;
    this.initialMaxWritesPerSecond = writeRps;
    this.writeTokens = writeRps;
    expireLeasesAndWatches();
  }

  /** Makes the store unavailable to all nodes, or available again; all leases are then renewed. */
  public void setOutage(boolean on) {
    unavailable = on;
    if (!on) {
      leaseDurationMs.forEach(
          (lease, durationMs) ->
              leaseEndMs.computeIfPresent(lease, (k, v) -> clock.nowMs() + durationMs));
      answerChangedWatches();
    }
  }

  /** Drops the open watches of a node without an answer. */
  public void dropWatches(String node) {
    watches.removeIf(watch -> watch.from.equals(node));
  }

  /** Delays all answers to a node's watches, so that it works with outdated tables. */
  public void delayWatchAnswers(String node, long ms) {
    watchDelayMsByNode.put(node, ms);
  }

  /** Delays a random share of the transactions; those sent after them overtake them. */
  public void delayCommits(double share, long ms, long seed) {
    delayedCommitShare = share;
    delayedCommitMs = ms;
    commitDelayRandom = new Random(seed);
  }

  /** Loses the answers to a random share of the transactions, which are applied at once. */
  void loseAnswers(double share, long seed) {
    Random random = new Random(seed);
    outcomeOf =
        (from, d) -> {
          if (random.nextDouble() >= share) {
            return TransactionOutcome.APPLIED;
          }
          lostAnswerCount++;
          return TransactionOutcome.UNANSWERED;
        };
  }

  /** Delays every transaction. */
  public void delayAllCommits(long ms) {
    commitDelayMs = ms;
  }

  /** Makes the store unavailable to a single node, or available again. */
  public void setRefused(String node, boolean on) {
    if (on) {
      refusedNodes.add(node);
    } else {
      refusedNodes.remove(node);
      answerChangedWatches();
    }
  }

  /** Returns the revision of the last change. */
  public long revision() {
    return revision;
  }

  /** Returns every record, as if a node had read them all at once. */
  public List<StateServiceClient.Change> all() {
    List<StateServiceClient.Change> records = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          try {
            Object value = MessageCodec.decode(MessageCodec.encode(entry.value));
            records.add(new StateServiceClient.Change(key, value, entry.stamp));
          } catch (BadMessage e) {
            throw new AssertionError(e);
          }
        });
    return records;
  }

  /** Returns the keys of all records. */
  public Set<String> keys() {
    return entries.keySet();
  }

  /** Returns how many requests have arrived. */
  public int requestCount() {
    return requestCount;
  }

  /** Returns how many transactions exceeded the rate limit. */
  public int writeLimitExceededCount() {
    return writeLimitExceededCount;
  }

  /** Counts the changes of a transaction against the rate limit. */
  private void consumeWriteTokens(int changes) {
    long now = clock.nowMs();
    writeTokens =
        Math.min(
            maxWritesPerSecond,
            writeTokens + maxWritesPerSecond * (now - writeTokensUpdatedMs) / 1000.0);
    writeTokensUpdatedMs = now;
    if (changes > writeTokens) {
      writeLimitExceededCount++;
    } else {
      writeTokens -= changes;
    }
  }

  /** Returns the total size of all transactions in bytes. */
  public long bytesWritten() {
    return bytesWritten;
  }

  /** Returns the total size of all answers in bytes. */
  public long bytesRead() {
    return bytesRead;
  }

  /** Returns how many transactions were processed, applied or not. */
  public int commitCount() {
    return commitCount;
  }

  private void expireLeasesAndWatches() {
    clock.after(50, this::expireLeasesAndWatches);
    if (unavailable) {
      return;
    }
    for (Long lease : List.copyOf(leaseEndMs.keySet())) {
      if (leaseEndMs.get(lease) <= clock.nowMs()) {
        expireLease(lease);
      }
    }
    long now = clock.nowMs();
    for (Watch watch : List.copyOf(watches)) {
      if (watch.deadlineMs <= now && !refusedNodes.contains(watch.from)) {
        watches.remove(watch);
        answerWatch(watch);
      }
    }
  }

  private void expireLease(long lease) {
    leaseEndMs.remove(lease);
    leaseDurationMs.remove(lease);
    List<String> expiredKeys = new ArrayList<>();
    entries.forEach(
        (k, e) -> {
          if (e.leaseId == lease) {
            expiredKeys.add(k);
          }
        });
    if (!expiredKeys.isEmpty()) {
      revision++;
      expiredKeys.forEach(k -> put(k, null, 0));
      answerChangedWatches();
    }
  }

  private void put(String key, Object value, long leaseId) {
    if (value == null) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(value, revision, leaseId));
    }
    changes.add(new Change(key, value, revision));
  }

  private void answerChangedWatches() {
    if (unavailable) {
      return;
    }
    for (Watch watch : List.copyOf(watches)) {
      boolean changed =
          changes.stream()
              .anyMatch(
                  c ->
                      Unsigned.isGreater(c.stamp, watch.afterRevision)
                          && c.key.startsWith(watch.prefix));
      if (changed && !refusedNodes.contains(watch.from)) {
        watches.remove(watch);
        answerWatch(watch);
      }
    }
  }

  private void answerWatch(Watch watch) {
    List<Object> news = new ArrayList<>();
    for (Change change : changes) {
      if (Unsigned.isGreater(change.stamp, watch.afterRevision)
          && change.key.startsWith(watch.prefix)) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(change.value == null ? "delete" : "write", change.key);
        if (change.value != null) {
          fields.put("v", change.value);
        }
        fields.put("stamp", Unsigned.toWire(change.stamp));
        news.add(fields);
      }
    }
    watch.done.accept(answer(200, Map.of("ledgerRev", Unsigned.toWire(revision), "news", news)));
  }

  /** Returns an answer with an encoded body. */
  static Response answer(int status, Object body) {
    return new Response(status, MessageCodec.encode(body));
  }

  @Override
  public void serve(String from, String method, String path, byte[] body, Consumer<Response> done) {
    Consumer<Response> answer =
        a -> {
          bytesRead += a.body() == null ? 0 : a.body().length;
          done.accept(a);
        };
    serveWithDelays(from, method, path, body, answer);
  }

  private void serveWithDelays(
      String from, String method, String path, byte[] body, Consumer<Response> done) {
    long readDelayMs =
        path.startsWith("/follow")
            ? watchDelayMsByNode.getOrDefault(from, 0L)
            : path.startsWith("/store?prefix=w/d/") ? historyReadDelayMs : 0;
    if (path.equals("/commit")) {
      writers.add(from);
    }
    if (path.equals("/commit")
        && delayedCommitShare > 0
        && commitDelayRandom.nextDouble() < delayedCommitShare) {
      // As if packets were lost and retransmitted, while other connections make progress.
      delayedCommitCount++;
      clock.after(delayedCommitMs, () -> serveNow(from, method, path, body, done));
    } else if (path.equals("/commit") && commitDelayMs > 0) {
      clock.after(commitDelayMs, () -> serveNow(from, method, path, body, done));
    } else if (readDelayMs > 0) {
      serveNow(from, method, path, body, a -> clock.after(readDelayMs, () -> done.accept(a)));
    } else {
      serveNow(from, method, path, body, done);
    }
  }

  private void serveNow(
      String from, String method, String path, byte[] body, Consumer<Response> done) {
    requestCount++;
    bytesWritten += path.equals("/commit") ? body.length : 0;
    if (unavailable || refusedNodes.contains(from)) {
      done.accept(answer(503, Map.of("error", "away")));
      return;
    }
    try {
      if (path.startsWith("/store?")) {
        done.accept(listRecords(path));
      } else if (path.startsWith("/store/")) {
        Entry entry = entries.get(path.substring(7));
        done.accept(
            entry == null
                ? answer(404, Map.of("ledgerRev", Unsigned.toWire(revision)))
                : answer(
                    200,
                    Map.of(
                        "key",
                        path.substring(7),
                        "v",
                        entry.value,
                        "stamp",
                        Unsigned.toWire(entry.stamp))));
      } else if (path.equals("/commit")) {
        Document transaction = withoutLevelRecords(from, Document.parse(body));
        TransactionOutcome outcome = outcomeOf.apply(from, transaction);
        Response response = outcome == TransactionOutcome.LOST ? null : commit(transaction);
        if (outcome == TransactionOutcome.APPLIED) {
          done.accept(response);
        }
      } else if (path.equals("/grants")) {
        long lease = ++lastLeaseId;
        long durationMs = Document.parse(body).count("lifeMs");
        leaseDurationMs.put(lease, durationMs);
        leaseEndMs.put(lease, clock.nowMs() + durationMs);
        done.accept(answer(200, Map.of("tether", Unsigned.toWire(lease))));
      } else if (method.equals("DELETE")) {
        expireLease(Long.parseUnsignedLong(path.split("/")[2]));
        done.accept(answer(200, Map.of()));
      } else if (path.endsWith("/extend")) {
        long lease = Long.parseUnsignedLong(path.split("/")[2]);
        if (!leaseEndMs.containsKey(lease)) {
          done.accept(answer(404, Map.of()));
        } else {
          leaseEndMs.put(lease, clock.nowMs() + leaseDurationMs.get(lease));
          done.accept(answer(200, Map.of()));
        }
      } else if (path.startsWith("/follow?")) {
        Map<String, String> parameters = parseQuery(path);
        long fromRevision = Long.parseUnsignedLong(parameters.get("from"));
        if (!changes.isEmpty() && changes.size() > MAX_RECORDED_CHANGES) {
          changes.subList(0, changes.size() - MAX_RECORDED_CHANGES).clear();
        }
        long oldestKnown = changes.isEmpty() ? firstRevision : changes.get(0).stamp - 1;
        if (Unsigned.isGreater(oldestKnown, fromRevision)) {
          done.accept(answer(410, Map.of()));
          return;
        }
        Watch watch =
            new Watch(
                from,
                parameters.get("prefix"),
                fromRevision,
                done,
                clock.nowMs() + Long.parseLong(parameters.getOrDefault("holdMs", "0")));
        if (watch.deadlineMs <= clock.nowMs()) {
          answerWatch(watch);
        } else {
          watches.add(watch);
          answerChangedWatches();
        }
      } else {
        done.accept(answer(400, Map.of("error", "path")));
      }
    } catch (BadMessage e) {
      done.accept(answer(400, Map.of("error", e.getMessage())));
    }
  }

  private static Map<String, String> parseQuery(String path) {
    Map<String, String> parameters = new HashMap<>();
    for (String parameter : path.substring(path.indexOf('?') + 1).split("&")) {
      parameters.put(
          parameter.substring(0, parameter.indexOf('=')),
          parameter.substring(parameter.indexOf('=') + 1));
    }
    return parameters;
  }

  private Response listRecords(String path) {
    Map<String, String> query = parseQuery(path);
    List<Object> records = new ArrayList<>();
    int limit = Integer.parseInt(query.get("most"));
    boolean truncated = false;
    for (Map.Entry<String, Entry> entry :
        entries
            .tailMap(query.getOrDefault("from", query.get("prefix")), !query.containsKey("from"))
            .entrySet()) {
      if (!entry.getKey().startsWith(query.get("prefix"))) {
        break;
      }
      if (records.size() == limit) {
        truncated = true;
        break;
      }
      records.add(
          Map.of(
              "key",
              entry.getKey(),
              "v",
              entry.getValue().value,
              "stamp",
              Unsigned.toWire(entry.getValue().stamp)));
    }
    return answer(
        200,
        Map.of("entries", records, "truncated", truncated, "ledgerRev", Unsigned.toWire(revision)));
  }

  /**
   * Records a violation if a transaction that is about to be applied lacks a condition that it
   * needs to be safe against concurrent changes:
   *
   * <ul>
   *   <li>Jobs, task chunks, archive buckets, partitions and log pages are written on condition of
   *       their own stamp. Only jobs need it for a deletion too.
   *   <li>The converted level is written only when no record is in an older encoding.
   *   <li>A placement is written to the log of a member of the view, on condition of the member's
   *       partition and of the job; from the level of {@link Gate#VIEWS} on also of the view, and
   *       where the leader may claim machines of the partition, also of the claims.
   * </ul>
   */
  private void checkConditions(Document transaction) throws BadMessage {
    Set<String> conditionKeys = new HashSet<>();
    for (Document condition : transaction.documents("when")) {
      conditionKeys.add(condition.text("key"));
    }
    for (Document change : transaction.documents("then")) {
      String key =
          change.textOrNull("write") == null ? change.text("delete") : change.text("write");
      if (key.startsWith("w/j/") && !conditionKeys.contains(key)) {
        transactionViolations.add(key + " without its own stamp");
      }
      if (key.startsWith("w/t/") || key.startsWith("w/h/") || key.startsWith("w/p/")) {
        boolean conditional = conditionKeys.contains(key) || change.raw("v") == null;
        if (!conditional) {
          transactionViolations.add(key + " without its own stamp");
        }
      }
      boolean ofJob = key.startsWith("w/t/") || key.startsWith("w/a/");
      if (ofJob && change.raw("v") == null) {
        String jobKey = "w/j/" + key.substring("w/t/".length(), key.lastIndexOf('/'));
        if (!conditionKeys.contains(jobKey)) {
          transactionViolations.add(key + " deleted without a condition on " + jobKey);
        }
      }
      if (key.equals(NodeRegistry.CONVERTED_LEVEL_KEY) && change.raw("v") != null) {
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
          // While a store is being restored, a text stands in place of the view.
          Object value = MessageCodec.decode(MessageCodec.encode(entry.getValue().value));
          boolean inOldEncoding =
              !(value instanceof String)
                  && Math.min(Encoding.NUMBERED, Tables.newestReadableEncoding(entry.getKey()))
                      > Encoding.versionOf(value);
          if (inOldEncoding) {
            transactionViolations.add(
                key + " while " + entry.getKey() + " is in an older encoding");
          }
        }
      }
      if (!key.startsWith("w/l/") || change.raw("v") == null) {
        continue;
      }
      if (!conditionKeys.contains(key)) {
        transactionViolations.add(key + " without its own stamp");
      }
      String partitionKey = "w/p/" + key.substring(4, key.lastIndexOf('/'));
      List<?> runs = Encoding.decode(change.raw("v"), Encoding.NUMBERED).list("g");
      List<?> lastRun =
          runs.isEmpty() ? List.of(1L, List.of()) : (List<?>) runs.get(runs.size() - 1);
      // A run of entries with a revision was stored before: the page is only re-encoded.
      boolean isNew = lastRun.get(0).equals(0L);
      for (Object item : isNew ? (List<?>) lastRun.get(1) : List.of()) {
        List<?> entry = (List<?>) item;
        String jobKey = "w/j/" + entry.get(1);
        if (entry.get(0).equals("p") && !isViewMember(partitionKey.substring(4))) {
          transactionViolations.add(key + " places " + entry + " from outside the view");
        }
        if (entry.get(0).equals("p")
            && !(conditionKeys.contains(partitionKey) && conditionKeys.contains(jobKey))) {
          transactionViolations.add(
              key + " places " + entry + " without " + partitionKey + ", " + jobKey);
        }
        if (entry.get(0).equals("p")
            && !conditionKeys.contains(View.KEY)
            && storedLevel() >= Gate.VIEWS.level()) {
          transactionViolations.add(key + " places " + entry + " without the view");
        }
        if (entry.get(0).equals("p")
            && !conditionKeys.contains(Tables.CLAIMS_KEY)
            && isClaimable(partitionKey)) {
          transactionViolations.add(key + " places " + entry + " without " + Tables.CLAIMS_KEY);
        }
      }
    }
  }

  /** Returns what exceeds the limits in a transaction, or null. */
  private String describeOversized(Document transaction) throws BadMessage {
    if (transaction.documents("when").size() > 4 * maxTransactionChanges
        || transaction.documents("then").size() > maxTransactionChanges) {
      return transaction.documents("when").size()
          + " conditions, "
          + transaction.documents("then").size()
          + " changes";
    }
    int bytes = MessageCodec.jsonSize(transaction.rawMap());
    if (bytes > MAX_TRANSACTION_BYTES) {
      return "a transaction of " + bytes + " bytes";
    }
    for (Document change : transaction.documents("then")) {
      if (MessageCodec.jsonSize(change.raw("v")) > maxValueBytes) {
        return change.text("write");
      }
    }
    return null;
  }

  private long storedLevel() throws BadMessage {
    return Encoding.decode(
            MessageCodec.decode(MessageCodec.encode(value("w/v"))), Encoding.NUMBERED)
        .count("level", 1);
  }

  /** Whether the leader may claim machines of that partition. */
  private boolean isClaimable(String partitionKey) throws BadMessage {
    Document view =
        Encoding.decode(MessageCodec.decode(MessageCodec.encode(value("w/v"))), Encoding.NUMBERED);
    return view.count("level", 1) >= Gate.TAKES.level()
        && !partitionKey.equals("w/p/" + view.text("leader"));
  }

  /** Whether the stored view lists a node as a member. */
  private boolean isViewMember(String node) throws BadMessage {
    Object view = value("w/v");
    return view != null
        && Document.of(
                    Encoding.decode(
                            MessageCodec.decode(MessageCodec.encode(view)), Encoding.NUMBERED)
                        .raw("members"))
                .raw(node)
            != null;
  }

  /**
   * Returns the transactions that lacked a condition, or exceeded the size limits although these
   * had not been lowered. The list must stay empty.
   */
  public List<String> transactionViolations() {
    return transactionViolations;
  }

  /** Returns a transaction as a build that knows no levels would have sent it. */
  private Document withoutLevelRecords(String from, Document transaction) throws BadMessage {
    if (!nodesWithoutLevels.contains(from)) {
      return transaction;
    }
    List<Object> when = new ArrayList<>();
    for (Document condition : transaction.documents("when")) {
      if (!condition.text("key").startsWith("w/c/")) {
        when.add(condition.rawMap());
      }
    }
    List<Object> then = new ArrayList<>();
    for (Document change : transaction.documents("then")) {
      String key =
          change.textOrNull("write") == null ? change.text("delete") : change.text("write");
      if (key.startsWith("w/m/")) {
        Map<String, Object> fields = new LinkedHashMap<>(change.fieldsExcept());
        fields.put("v", Document.of(change.raw("v")).fieldsExcept("least", "most"));
        then.add(fields);
      } else if (!key.startsWith("w/c/")) {
        then.add(change.rawMap());
      }
    }
    return Document.of(Map.of("when", when, "then", then));
  }

  /** Returns the value of a record, or null. */
  Object value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  /** Sets the revision and the lease from which numbers are counted, before any node started. */
  void countFrom(long number) {
    revision = number;
    firstRevision = number;
    lastLeaseId = number;
  }

  /** Sets the whole content of the store, before any node has started. */
  public void preload(Map<String, Object> records, long recordRevision) {
    revision = recordRevision;
    records.forEach((k, v) -> entries.put(k, new Entry(v, recordRevision, 0)));
  }

  /** Writes a record without any condition, as a fault or another build might. */
  void forceWrite(String key, Object value) {
    revision++;
    put(key, value, 0);
    answerChangedWatches();
  }

  private boolean writesRejectedKey(Document transaction) throws BadMessage {
    for (Document change : transaction.documents("then")) {
      String key = change.textOrNull("write");
      if (key != null && rejectsKey.test(key)) {
        return true;
      }
    }
    return false;
  }

  /** Applies a transaction if its conditions hold and it is within the limits. */
  private Response commit(Document transaction) throws BadMessage {
    commitCount++;
    consumeWriteTokens(transaction.documents("then").size());
    List<Object> failed = new ArrayList<>();
    for (Document condition : transaction.documents("when")) {
      Entry entry = entries.get(condition.text("key"));
      if ((entry == null ? 0 : entry.stamp) != condition.unsigned("stamp")) {
        failed.add(condition.text("key"));
      }
    }
    for (Document change : transaction.documents("then")) {
      long lease = change.unsigned("tether", 0);
      if (lease != 0 && !leaseEndMs.containsKey(lease)) {
        return answer(400, Map.of("error", "no such lease"));
      }
    }
    if (writesRejectedKey(transaction)) {
      rejectedCount++;
      return answer(400, Map.of("error", "rejected"));
    }
    String oversized = describeOversized(transaction);
    if (oversized != null) {
      oversizedTransactions.add(oversized);
      if (previousMaxTransactionChanges == 0) {
        transactionViolations.add(oversized + " exceeds the limits");
      }
      return answer(400, Map.of("error", "too large"));
    }
    if (!failed.isEmpty()) {
      return answer(409, Map.of("failed", failed, "ledgerRev", Unsigned.toWire(revision)));
    }
    checkConditions(transaction);
    revision++;
    for (Document change : transaction.documents("then")) {
      String key = change.textOrNull("write");
      if (key != null) {
        put(key, change.raw("v"), change.unsigned("tether", 0));
      } else {
        put(change.text("delete"), null, 0);
      }
    }
    answerChangedWatches();
    return answer(200, Map.of("ledgerRev", Unsigned.toWire(revision)));
  }
}
