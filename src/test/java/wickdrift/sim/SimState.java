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
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller.Answer;

/** A stand-in for the state service: stamps, conditions, leases, watches, outages. */
public final class SimState implements SimNet.Server {
  private record Entry(Object value, long stamp, long lease) {}

  private record Change(String key, Object value, long stamp) {}

  private record Watch(
      String from, String prefix, long afterRevision, Consumer<Answer> done, long deadlineMs) {}

  private static final int MAX_RECORDED_CHANGES = 10_000;
  private static final int DEFAULT_MAX_VALUE_BYTES = 4096;

  /** As many as the settings of this world say. */
  int maxTransactionChanges = 8;

  /** Writes a second, and so many at once, as the settings say. */
  static final double DEFAULT_WRITES_PER_SECOND = 100;

  /** Changes a second, and as many at once. */
  double maxWritesPerSecond;

  /** The same before a fall. */
  final double initialMaxWritesPerSecond;

  private int previousMaxTransactionChanges;
  private int maxValueBytes = DEFAULT_MAX_VALUE_BYTES;

  /** Transactions that were refused for their size, by what was too large. */
  final List<String> tooLarge = new ArrayList<>();

  /** The limits fall, without notice. */
  void fall(double maxValueKb, int maxChanges, double writesPerSecond) {
    previousMaxTransactionChanges = maxTransactionChanges;
    maxValueBytes = (int) (maxValueKb * 1024);
    maxTransactionChanges = maxChanges;
    maxWritesPerSecond = writesPerSecond;
  }

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

  /** A list of how jobs ended comes so much later. */
  long slowFinalsMs;

  /** Transactions that were carried out late, after their sender had given up. */
  int lateWrites;

  /** Transactions that were carried out and not answered. */
  int answersLost;

  private double delayedCommitShare;
  private long delayedCommitMs;
  private Random commitDelayRandom;
  private final List<String> transactionViolations = new ArrayList<>();

  /** Nodes whose build knows no levels: they announce nothing. */
  final Set<String> levelless = new HashSet<>();

  /** What becomes of a transaction on its way. */
  enum Fate {
    APPLIED,
    /** It never arrives. */
    LOST,
    /** Its answer never does. */
    UNANSWERED
  }

  /** Decides on each transaction as it arrives, by its sender and itself. */
  BiFunction<String, Document, Fate> fate = (from, d) -> Fate.APPLIED;

  /** Who sent transactions; a test clears it. */
  final Set<String> writers = new HashSet<>();

  private long revision;
  private long lastLeaseId;
  private boolean unavailable;
  private int commitCount;
  private int requestCount;
  private long bytesWritten;
  private long bytesRead;

  /** The writes that the limit still allows, and how often it was passed. */
  private double writeTokens;

  private long writeTokensUpdatedMs;
  private int writeLimitExceededCount;

  /** An empty store that takes so many changes a second. */
  public SimState(SimClock clock, double writeRps) {
    this.clock = clock;
    this.maxWritesPerSecond = writeRps;
    this.initialMaxWritesPerSecond = writeRps;
    this.writeTokens = writeRps;
    expireLeasesAndWatches();
  }

  /** The store is away for all, or back. */
  public void outage(boolean on) {
    unavailable = on;
    if (!on) {
      leaseDurationMs.forEach(
          (lease, durationMs) ->
              leaseEndMs.computeIfPresent(lease, (k, v) -> clock.nowMs() + durationMs));
      answerChangedWatches();
    }
  }

  /** The node's open watches are gone without an answer. */
  public void dropWatches(String node) {
    watches.removeIf(w -> w.from.equals(node));
  }

  /** What a node reads comes so much later: it goes on with old tables for that long. */
  public void slowReads(String node, long ms) {
    watchDelayMsByNode.put(node, ms);
  }

  /** A share of the transactions is applied so much later, each by itself. */
  public void lateCommits(double share, long ms, long seed) {
    delayedCommitShare = share;
    delayedCommitMs = ms;
    commitDelayRandom = new Random(seed);
  }

  /** Of a share of the transactions, carried out at once, only the answer is lost. */
  void loseAnswers(double share, long seed) {
    Random random = new Random(seed);
    fate =
        (from, d) -> {
          if (random.nextDouble() >= share) {
            return Fate.APPLIED;
          }
          answersLost++;
          return Fate.UNANSWERED;
        };
  }

  /** Every transaction is applied so much later. */
  public void slowWrites(long ms) {
    commitDelayMs = ms;
  }

  /** The store refuses one node alone, or serves it again. */
  public void refuse(String node, boolean on) {
    if (on) {
      refusedNodes.add(node);
    } else {
      refusedNodes.remove(node);
      answerChangedWatches();
    }
  }

  public long revision() {
    return revision;
  }

  /** Every record, as a load would read them all at once. */
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

  public Set<String> keys() {
    return entries.keySet();
  }

  public int requests() {
    return requestCount;
  }

  /** How many transactions the limit of writes did not allow. */
  public int overWritten() {
    return writeLimitExceededCount;
  }

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

  /** Bytes of all transactions, and of all answers. */
  public long written() {
    return bytesWritten;
  }

  public long read() {
    return bytesRead;
  }

  public int commits() {
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
          if (e.lease == lease) {
            expiredKeys.add(k);
          }
        });
    if (!expiredKeys.isEmpty()) {
      revision++;
      expiredKeys.forEach(k -> put(k, null, 0));
      answerChangedWatches();
    }
  }

  private void put(String key, Object value, long lease) {
    if (value == null) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(value, revision, lease));
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
              .anyMatch(c -> c.stamp > watch.afterRevision && c.key.startsWith(watch.prefix));
      if (changed && !refusedNodes.contains(watch.from)) {
        watches.remove(watch);
        answerWatch(watch);
      }
    }
  }

  private void answerWatch(Watch watch) {
    List<Object> news = new ArrayList<>();
    for (Change change : changes) {
      if (change.stamp > watch.afterRevision && change.key.startsWith(watch.prefix)) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(change.value == null ? "delete" : "write", change.key);
        if (change.value != null) {
          fields.put("v", change.value);
        }
        fields.put("stamp", change.stamp);
        news.add(fields);
      }
    }
    watch.done.accept(answer(200, Map.of("ledgerRev", revision, "news", news)));
  }

  static Answer answer(int status, Object body) {
    return new Answer(status, MessageCodec.encode(body));
  }

  @Override
  public void serve(String from, String method, String path, byte[] body, Consumer<Answer> done) {
    Consumer<Answer> answer =
        a -> {
          bytesRead += a.body() == null ? 0 : a.body().length;
          done.accept(a);
        };
    serveWithDelays(from, method, path, body, answer);
  }

  private void serveWithDelays(
      String from, String method, String path, byte[] body, Consumer<Answer> done) {
    long readDelayMs =
        path.startsWith("/follow")
            ? watchDelayMsByNode.getOrDefault(from, 0L)
            : path.startsWith("/store?prefix=w/d/") ? slowFinalsMs : 0;
    if (path.equals("/commit")) {
      writers.add(from);
    }
    if (path.equals("/commit")
        && delayedCommitShare > 0
        && commitDelayRandom.nextDouble() < delayedCommitShare) {
      // Its packets were lost and sent again, while other connections go on.
      lateWrites++;
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
      String from, String method, String path, byte[] body, Consumer<Answer> done) {
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
        Entry e = entries.get(path.substring(7));
        done.accept(
            e == null
                ? answer(404, Map.of("ledgerRev", revision))
                : answer(200, Map.of("key", path.substring(7), "v", e.value, "stamp", e.stamp)));
      } else if (path.equals("/commit")) {
        Document d = withoutLevelRecords(from, Document.parse(body));
        Fate f = fate.apply(from, d);
        Answer a = f == Fate.LOST ? null : commit(d);
        if (f == Fate.APPLIED) {
          done.accept(a);
        }
      } else if (path.equals("/grants")) {
        long l = ++lastLeaseId;
        long life = Document.parse(body).count("lifeMs");
        leaseDurationMs.put(l, life);
        leaseEndMs.put(l, clock.nowMs() + life);
        done.accept(answer(200, Map.of("tether", l)));
      } else if (method.equals("DELETE")) {
        expireLease(Long.parseLong(path.split("/")[2]));
        done.accept(answer(200, Map.of()));
      } else if (path.endsWith("/extend")) {
        long l = Long.parseLong(path.split("/")[2]);
        if (!leaseEndMs.containsKey(l)) {
          done.accept(answer(404, Map.of()));
        } else {
          leaseEndMs.put(l, clock.nowMs() + leaseDurationMs.get(l));
          done.accept(answer(200, Map.of()));
        }
      } else if (path.startsWith("/follow?")) {
        Map<String, String> q = parseQuery(path);
        long r = Long.parseLong(q.get("from"));
        if (!changes.isEmpty() && changes.size() > MAX_RECORDED_CHANGES) {
          changes.subList(0, changes.size() - MAX_RECORDED_CHANGES).clear();
        }
        if (!changes.isEmpty() && r < changes.get(0).stamp - 1) {
          done.accept(answer(410, Map.of()));
          return;
        }
        Watch w =
            new Watch(
                from,
                q.get("prefix"),
                r,
                done,
                clock.nowMs() + Long.parseLong(q.getOrDefault("holdMs", "0")));
        if (w.deadlineMs <= clock.nowMs()) {
          answerWatch(w);
        } else {
          watches.add(w);
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

  private Answer listRecords(String path) {
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
              "key", entry.getKey(), "v", entry.getValue().value, "stamp", entry.getValue().stamp));
    }
    return answer(200, Map.of("entries", records, "truncated", truncated, "ledgerRev", revision));
  }

  /** What every transaction that is applied must have been conditional on. */
  private void checkConditions(Document transaction) throws BadMessage {
    Set<String> conditionKeys = new HashSet<>();
    for (Document condition : transaction.docs("when")) {
      conditionKeys.add(condition.text("key"));
    }
    for (Document change : transaction.docs("then")) {
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
      if (key.equals(NodeRegistry.CONVERTED_LEVEL_KEY) && change.raw("v") != null) {
        for (Map.Entry<String, Entry> entry : entries.entrySet()) {
          // A store that is being restored has a text in place of the view.
          Object value = MessageCodec.decode(MessageCodec.encode(entry.getValue().value));
          boolean inOldEncoding =
              !(value instanceof String)
                  && Math.min(Encoding.NUMBERED, Tables.newestReadableEncoding(entry.getKey()))
                      > Encoding.versionOf(value);
          if (inOldEncoding) {
            transactionViolations.add(key + " while " + entry.getKey() + " is of an older form");
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
      // A run that says its revision was durable before: the page is only brought to another form.
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

  /** What of a transaction is larger than it may be, or null. */
  private String describeOversized(Document transaction) throws BadMessage {
    if (transaction.docs("when").size() > 4 * maxTransactionChanges
        || transaction.docs("then").size() > maxTransactionChanges) {
      return transaction.docs("when").size()
          + " conditions, "
          + transaction.docs("then").size()
          + " changes";
    }
    for (Document change : transaction.docs("then")) {
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

  /** Whether a leader may take machines of that part together with others'. */
  private boolean isClaimable(String partitionKey) throws BadMessage {
    Document view =
        Encoding.decode(MessageCodec.decode(MessageCodec.encode(value("w/v"))), Encoding.NUMBERED);
    return view.count("level", 1) >= Gate.TAKES.level()
        && !partitionKey.equals("w/p/" + view.text("leader"));
  }

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

  /** Transactions that lacked a condition; must stay empty. */
  public List<String> transactionViolations() {
    return transactionViolations;
  }

  /** What a build that knows no levels would have sent in place of this. */
  private Document withoutLevelRecords(String from, Document transaction) throws BadMessage {
    if (!levelless.contains(from)) {
      return transaction;
    }
    List<Object> when = new ArrayList<>();
    for (Document condition : transaction.docs("when")) {
      if (!condition.text("key").startsWith("w/c/")) {
        when.add(condition.rawMap());
      }
    }
    List<Object> then = new ArrayList<>();
    for (Document change : transaction.docs("then")) {
      String key =
          change.textOrNull("write") == null ? change.text("delete") : change.text("write");
      if (key.startsWith("w/m/")) {
        Map<String, Object> fields = new LinkedHashMap<>(change.without());
        fields.put("v", Document.of(change.raw("v")).without("least", "most"));
        then.add(fields);
      } else if (!key.startsWith("w/c/")) {
        then.add(change.rawMap());
      }
    }
    return Document.of(Map.of("when", when, "then", then));
  }

  /** A record as it is, or null. */
  Object value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  /** The whole content, as if it had been there before anything ran. */
  public void preload(Map<String, Object> records, long recordRevision) {
    revision = recordRevision;
    records.forEach((k, v) -> entries.put(k, new Entry(v, recordRevision, 0)));
  }

  /** Puts a record there past all conditions, as a fault or another build might. */
  void force(String key, Object value) {
    revision++;
    put(key, value, 0);
    answerChangedWatches();
  }

  private Answer commit(Document transaction) throws BadMessage {
    commitCount++;
    consumeWriteTokens(transaction.docs("then").size());
    List<Object> failed = new ArrayList<>();
    for (Document condition : transaction.docs("when")) {
      Entry entry = entries.get(condition.text("key"));
      if ((entry == null ? 0 : entry.stamp) != condition.count("stamp")) {
        failed.add(condition.text("key"));
      }
    }
    for (Document change : transaction.docs("then")) {
      long lease = change.count("tether", 0);
      if (lease > 0 && !leaseEndMs.containsKey(lease)) {
        return answer(400, Map.of("error", "no such lease"));
      }
    }
    String oversized = describeOversized(transaction);
    if (oversized != null) {
      tooLarge.add(oversized);
      if (previousMaxTransactionChanges == 0) {
        transactionViolations.add(oversized + " is larger than it may be");
      }
      return answer(400, Map.of("error", "too large"));
    }
    if (!failed.isEmpty()) {
      return answer(409, Map.of("failed", failed, "ledgerRev", revision));
    }
    checkConditions(transaction);
    revision++;
    for (Document change : transaction.docs("then")) {
      String key = change.textOrNull("write");
      if (key != null) {
        put(key, change.raw("v"), change.count("tether", 0));
      } else {
        put(change.text("delete"), null, 0);
      }
    }
    answerChangedWatches();
    return answer(200, Map.of("ledgerRev", revision));
  }
}
