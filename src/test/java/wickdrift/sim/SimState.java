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
import wickdrift.transport.Caller.Response;

/** A stand-in for the state service: stamps, conditions, leases, watches, outages. */
public final class SimState implements SimNet.Server {
  private record Entry(Object value, long stamp, long lease) {}

  private record Change(String key, Object value, long stamp) {}

  private record Watch(String from, String prefix, long rev, Consumer<Response> done, long until) {}

  private static final int KEPT = 10_000;
  private static final int VALUE_BYTES = 4096;

  /** As many as the settings of this world say. */
  int txnOps = 8;

  /** Writes a second, and so many at once, as the settings say. */
  static final double WRITES = 100;

  /** Changes a second, and as many at once. */
  double writeRps;

  /** The same before a fall. */
  final double writeRpsAtFirst;

  private int txnOpsBefore;
  private int valueBytes = VALUE_BYTES;

  /** Transactions that were refused for their size, by what was too large. */
  final List<String> tooLarge = new ArrayList<>();

  /** The limits fall, without notice. */
  void fall(double valueKb, int ops, double writes) {
    txnOpsBefore = txnOps;
    valueBytes = (int) (valueKb * 1024);
    txnOps = ops;
    writeRps = writes;
  }

  int txnOpsAtFirst() {
    return txnOpsBefore > 0 ? txnOpsBefore : txnOps;
  }

  private final SimClock clock;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private final Map<Long, Long> leaseLives = new HashMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Set<String> refused = new HashSet<>();
  private final Map<String, Long> slowReads = new HashMap<>();
  private long slowWritesMs;

  /** A list of how jobs ended comes so much later. */
  long slowFinalsMs;

  /** Transactions that were carried out late, after their sender had given up. */
  int lateWrites;

  /** Transactions that were carried out and not answered. */
  int answersLost;

  private double lateShare;
  private long lateMs;
  private Random late;
  private final List<String> unfenced = new ArrayList<>();

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

  private long rev;
  private long leases;
  private boolean out;
  private int commits;
  private int requests;
  private long written;
  private long read;

  /** The writes that the limit still allows, and how often it was passed. */
  private double allowed;

  private long allowedAtMs;
  private int overWritten;

  /** An empty store that takes so many changes a second. */
  public SimState(SimClock clock, double writeRps) {
    this.clock = clock;
    this.writeRps = writeRps;
    this.writeRpsAtFirst = writeRps;
    this.allowed = writeRps;
    sweep();
  }

  /** The store is away for all, or back. */
  public void outage(boolean on) {
    out = on;
    if (!on) {
      leaseLives.forEach(
          (l, life) -> leaseEnds.computeIfPresent(l, (k, v) -> clock.nowMs() + life));
      wake();
    }
  }

  /** The node's open watches are gone without an answer. */
  public void dropWatches(String node) {
    watches.removeIf(w -> w.from.equals(node));
  }

  /** What a node reads comes so much later: it goes on with old tables for that long. */
  public void slowReads(String node, long ms) {
    slowReads.put(node, ms);
  }

  /** A share of the transactions is applied so much later, each by itself. */
  public void lateCommits(double share, long ms, long seed) {
    lateShare = share;
    lateMs = ms;
    late = new Random(seed);
  }

  /** Of a share of the transactions, carried out at once, only the answer is lost. */
  void loseAnswers(double share, long seed) {
    Random lost = new Random(seed);
    fate =
        (from, d) -> {
          if (lost.nextDouble() >= share) {
            return Fate.APPLIED;
          }
          answersLost++;
          return Fate.UNANSWERED;
        };
  }

  /** Every transaction is applied so much later. */
  public void slowWrites(long ms) {
    slowWritesMs = ms;
  }

  /** The store refuses one node alone, or serves it again. */
  public void refuse(String node, boolean on) {
    if (on) {
      refused.add(node);
    } else {
      refused.remove(node);
      wake();
    }
  }

  public long rev() {
    return rev;
  }

  /** Every record, as a load would read them all at once. */
  public List<StateServiceClient.Change> all() {
    List<StateServiceClient.Change> out = new ArrayList<>();
    entries.forEach(
        (k, e) -> {
          try {
            Object value = MessageCodec.decode(MessageCodec.encode(e.value));
            out.add(new StateServiceClient.Change(k, value, e.stamp));
          } catch (BadMessage x) {
            throw new AssertionError(x);
          }
        });
    return out;
  }

  public Set<String> keys() {
    return entries.keySet();
  }

  public int requests() {
    return requests;
  }

  /** How many transactions the limit of writes did not allow. */
  public int overWritten() {
    return overWritten;
  }

  private void count(int changes) {
    long now = clock.nowMs();
    allowed = Math.min(writeRps, allowed + writeRps * (now - allowedAtMs) / 1000.0);
    allowedAtMs = now;
    if (changes > allowed) {
      overWritten++;
    } else {
      allowed -= changes;
    }
  }

  /** Bytes of all transactions, and of all answers. */
  public long written() {
    return written;
  }

  public long read() {
    return read;
  }

  public int commits() {
    return commits;
  }

  private void sweep() {
    clock.after(50, this::sweep);
    if (out) {
      return;
    }
    for (Long l : List.copyOf(leaseEnds.keySet())) {
      if (leaseEnds.get(l) <= clock.nowMs()) {
        endLease(l);
      }
    }
    long now = clock.nowMs();
    for (Watch w : List.copyOf(watches)) {
      if (w.until <= now && !refused.contains(w.from)) {
        watches.remove(w);
        answerWatch(w);
      }
    }
  }

  private void endLease(long l) {
    leaseEnds.remove(l);
    leaseLives.remove(l);
    List<String> gone = new ArrayList<>();
    entries.forEach(
        (k, e) -> {
          if (e.lease == l) {
            gone.add(k);
          }
        });
    if (!gone.isEmpty()) {
      rev++;
      gone.forEach(k -> put(k, null, 0));
      wake();
    }
  }

  private void put(String key, Object value, long lease) {
    if (value == null) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(value, rev, lease));
    }
    changes.add(new Change(key, value, rev));
  }

  private void wake() {
    if (out) {
      return;
    }
    for (Watch w : List.copyOf(watches)) {
      boolean any = changes.stream().anyMatch(c -> c.stamp > w.rev && c.key.startsWith(w.prefix));
      if (any && !refused.contains(w.from)) {
        watches.remove(w);
        answerWatch(w);
      }
    }
  }

  private void answerWatch(Watch w) {
    List<Object> news = new ArrayList<>();
    for (Change c : changes) {
      if (c.stamp > w.rev && c.key.startsWith(w.prefix)) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put(c.value == null ? "delete" : "write", c.key);
        if (c.value != null) {
          m.put("v", c.value);
        }
        m.put("stamp", c.stamp);
        news.add(m);
      }
    }
    w.done.accept(answer(200, Map.of("ledgerRev", rev, "news", news)));
  }

  static Response answer(int status, Object body) {
    return new Response(status, MessageCodec.encode(body));
  }

  @Override
  public void serve(String from, String method, String path, byte[] body, Consumer<Response> done) {
    Consumer<Response> answer =
        a -> {
          read += a.body() == null ? 0 : a.body().length;
          done.accept(a);
        };
    serveInTime(from, method, path, body, answer);
  }

  private void serveInTime(
      String from, String method, String path, byte[] body, Consumer<Response> done) {
    long readLate =
        path.startsWith("/follow")
            ? slowReads.getOrDefault(from, 0L)
            : path.startsWith("/store?prefix=w/d/") ? slowFinalsMs : 0;
    if (path.equals("/commit")) {
      writers.add(from);
    }
    if (path.equals("/commit") && lateShare > 0 && late.nextDouble() < lateShare) {
      // Its packets were lost and sent again, while other connections go on.
      lateWrites++;
      clock.after(lateMs, () -> serveNow(from, method, path, body, done));
    } else if (path.equals("/commit") && slowWritesMs > 0) {
      clock.after(slowWritesMs, () -> serveNow(from, method, path, body, done));
    } else if (readLate > 0) {
      serveNow(from, method, path, body, a -> clock.after(readLate, () -> done.accept(a)));
    } else {
      serveNow(from, method, path, body, done);
    }
  }

  private void serveNow(
      String from, String method, String path, byte[] body, Consumer<Response> done) {
    requests++;
    written += path.equals("/commit") ? body.length : 0;
    if (out || refused.contains(from)) {
      done.accept(answer(503, Map.of("error", "away")));
      return;
    }
    try {
      if (path.startsWith("/store?")) {
        done.accept(list(path));
      } else if (path.startsWith("/store/")) {
        Entry e = entries.get(path.substring(7));
        done.accept(
            e == null
                ? answer(404, Map.of("ledgerRev", rev))
                : answer(200, Map.of("key", path.substring(7), "v", e.value, "stamp", e.stamp)));
      } else if (path.equals("/commit")) {
        Document d = asBuilt(from, Document.parse(body));
        Fate f = fate.apply(from, d);
        Response a = f == Fate.LOST ? null : commit(d);
        if (f == Fate.APPLIED) {
          done.accept(a);
        }
      } else if (path.equals("/grants")) {
        long l = ++leases;
        long life = Document.parse(body).count("lifeMs");
        leaseLives.put(l, life);
        leaseEnds.put(l, clock.nowMs() + life);
        done.accept(answer(200, Map.of("tether", l)));
      } else if (method.equals("DELETE")) {
        endLease(Long.parseLong(path.split("/")[2]));
        done.accept(answer(200, Map.of()));
      } else if (path.endsWith("/extend")) {
        long l = Long.parseLong(path.split("/")[2]);
        if (!leaseEnds.containsKey(l)) {
          done.accept(answer(404, Map.of()));
        } else {
          leaseEnds.put(l, clock.nowMs() + leaseLives.get(l));
          done.accept(answer(200, Map.of()));
        }
      } else if (path.startsWith("/follow?")) {
        Map<String, String> q = query(path);
        long r = Long.parseLong(q.get("from"));
        if (!changes.isEmpty() && changes.size() > KEPT) {
          changes.subList(0, changes.size() - KEPT).clear();
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
        if (w.until <= clock.nowMs()) {
          answerWatch(w);
        } else {
          watches.add(w);
          wake();
        }
      } else {
        done.accept(answer(400, Map.of("error", "path")));
      }
    } catch (BadMessage e) {
      done.accept(answer(400, Map.of("error", e.getMessage())));
    }
  }

  private static Map<String, String> query(String path) {
    Map<String, String> q = new HashMap<>();
    for (String p : path.substring(path.indexOf('?') + 1).split("&")) {
      q.put(p.substring(0, p.indexOf('=')), p.substring(p.indexOf('=') + 1));
    }
    return q;
  }

  private Response list(String path) {
    Map<String, String> q = query(path);
    List<Object> out = new ArrayList<>();
    int most = Integer.parseInt(q.get("most"));
    boolean truncated = false;
    for (Map.Entry<String, Entry> e :
        entries
            .tailMap(q.getOrDefault("from", q.get("prefix")), !q.containsKey("from"))
            .entrySet()) {
      if (!e.getKey().startsWith(q.get("prefix"))) {
        break;
      }
      if (out.size() == most) {
        truncated = true;
        break;
      }
      out.add(Map.of("key", e.getKey(), "v", e.getValue().value, "stamp", e.getValue().stamp));
    }
    return answer(200, Map.of("entries", out, "truncated", truncated, "ledgerRev", rev));
  }

  /** What every transaction that is applied must have been conditional on. */
  private void fencing(Document d) throws BadMessage {
    Set<String> when = new HashSet<>();
    for (Document w : d.documents("when")) {
      when.add(w.text("key"));
    }
    for (Document t : d.documents("then")) {
      String key = t.textOrNull("write") == null ? t.text("delete") : t.text("write");
      if (key.startsWith("w/j/") && !when.contains(key)) {
        unfenced.add(key + " without its own stamp");
      }
      if (key.startsWith("w/t/") || key.startsWith("w/h/") || key.startsWith("w/p/")) {
        boolean mine = when.contains(key) || t.raw("v") == null;
        if (!mine) {
          unfenced.add(key + " without its own stamp");
        }
      }
      if (key.equals(NodeRegistry.CONVERTED_LEVEL_KEY) && t.raw("v") != null) {
        for (Map.Entry<String, Entry> e : entries.entrySet()) {
          // A store that is being restored has a text in place of the view.
          Object v = MessageCodec.decode(MessageCodec.encode(e.getValue().value));
          boolean old =
              !(v instanceof String)
                  && Math.min(Encoding.NUMBERED, Tables.newestReadableEncoding(e.getKey()))
                      > Encoding.versionOf(v);
          if (old) {
            unfenced.add(key + " while " + e.getKey() + " is of an older form");
          }
        }
      }
      if (!key.startsWith("w/l/") || t.raw("v") == null) {
        continue;
      }
      if (!when.contains(key)) {
        unfenced.add(key + " without its own stamp");
      }
      String part = "w/p/" + key.substring(4, key.lastIndexOf('/'));
      List<?> runs = Encoding.decode(t.raw("v"), Encoding.NUMBERED).list("g");
      List<?> last = runs.isEmpty() ? List.of(1L, List.of()) : (List<?>) runs.get(runs.size() - 1);
      // A run that says its revision was durable before: the page is only brought to another form.
      boolean fresh = last.get(0).equals(0L);
      for (Object o : fresh ? (List<?>) last.get(1) : List.of()) {
        List<?> e = (List<?>) o;
        String job = "w/j/" + e.get(1);
        if (e.get(0).equals("p") && !inView(part.substring(4))) {
          unfenced.add(key + " places " + e + " from outside the view");
        }
        if (e.get(0).equals("p") && !(when.contains(part) && when.contains(job))) {
          unfenced.add(key + " places " + e + " without " + part + ", " + job);
        }
        if (e.get(0).equals("p") && !when.contains(View.KEY) && level() >= Gate.VIEWS.level()) {
          unfenced.add(key + " places " + e + " without the view");
        }
        if (e.get(0).equals("p") && !when.contains(Tables.CLAIMS_KEY) && mayBeTaken(part)) {
          unfenced.add(key + " places " + e + " without " + Tables.CLAIMS_KEY);
        }
      }
    }
  }

  /** What of a transaction is larger than it may be, or null. */
  private String oversized(Document d) throws BadMessage {
    if (d.documents("when").size() > 4 * txnOps || d.documents("then").size() > txnOps) {
      return d.documents("when").size() + " conditions, " + d.documents("then").size() + " changes";
    }
    for (Document t : d.documents("then")) {
      if (MessageCodec.jsonSize(t.raw("v")) > valueBytes) {
        return t.text("write");
      }
    }
    return null;
  }

  private long level() throws BadMessage {
    return Encoding.decode(
            MessageCodec.decode(MessageCodec.encode(value("w/v"))), Encoding.NUMBERED)
        .count("level", 1);
  }

  /** Whether a leader may take machines of that part together with others'. */
  private boolean mayBeTaken(String part) throws BadMessage {
    Document view =
        Encoding.decode(MessageCodec.decode(MessageCodec.encode(value("w/v"))), Encoding.NUMBERED);
    return view.count("level", 1) >= Gate.TAKES.level()
        && !part.equals("w/p/" + view.text("leader"));
  }

  private boolean inView(String node) throws BadMessage {
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
  public List<String> unfenced() {
    return unfenced;
  }

  /** What a build that knows no levels would have sent in place of this. */
  private Document asBuilt(String from, Document d) throws BadMessage {
    if (!levelless.contains(from)) {
      return d;
    }
    List<Object> when = new ArrayList<>();
    for (Document w : d.documents("when")) {
      if (!w.text("key").startsWith("w/c/")) {
        when.add(w.rawMap());
      }
    }
    List<Object> then = new ArrayList<>();
    for (Document t : d.documents("then")) {
      String key = t.textOrNull("write") == null ? t.text("delete") : t.text("write");
      if (key.startsWith("w/m/")) {
        Map<String, Object> op = new LinkedHashMap<>(t.fieldsExcept());
        op.put("v", Document.of(t.raw("v")).fieldsExcept("least", "most"));
        then.add(op);
      } else if (!key.startsWith("w/c/")) {
        then.add(t.rawMap());
      }
    }
    return Document.of(Map.of("when", when, "then", then));
  }

  /** A record as it is, or null. */
  Object value(String key) {
    Entry e = entries.get(key);
    return e == null ? null : e.value;
  }

  /** The whole content, as if it had been there before anything ran. */
  public void preload(Map<String, Object> records, long stamp) {
    rev = stamp;
    records.forEach((k, v) -> entries.put(k, new Entry(v, stamp, 0)));
  }

  /** Puts a record there past all conditions, as a fault or another build might. */
  void force(String key, Object value) {
    rev++;
    put(key, value, 0);
    wake();
  }

  private Response commit(Document d) throws BadMessage {
    commits++;
    count(d.documents("then").size());
    List<Object> failed = new ArrayList<>();
    for (Document w : d.documents("when")) {
      Entry e = entries.get(w.text("key"));
      if ((e == null ? 0 : e.stamp) != w.count("stamp")) {
        failed.add(w.text("key"));
      }
    }
    for (Document t : d.documents("then")) {
      long lease = t.count("tether", 0);
      if (lease > 0 && !leaseEnds.containsKey(lease)) {
        return answer(400, Map.of("error", "no such lease"));
      }
    }
    String large = oversized(d);
    if (large != null) {
      tooLarge.add(large);
      if (txnOpsBefore == 0) {
        unfenced.add(large + " is larger than it may be");
      }
      return answer(400, Map.of("error", "too large"));
    }
    if (!failed.isEmpty()) {
      return answer(409, Map.of("failed", failed, "ledgerRev", rev));
    }
    fencing(d);
    rev++;
    for (Document t : d.documents("then")) {
      String key = t.textOrNull("write");
      if (key != null) {
        put(key, t.raw("v"), t.count("tether", 0));
      } else {
        put(t.text("delete"), null, 0);
      }
    }
    wake();
    return answer(200, Map.of("ledgerRev", rev));
  }
}
