import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/** A sound state service as the page PROTOCOL describes it, with its limits. */
final class StateService {
  private record Entry(Object value, long stamp, long tether) {}

  private record Change(String key, Object value, long stamp) {}

  private static final int KEPT_CHANGES = 10_000;

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayList<Change> changes = new ArrayList<>();
  private final Map<Long, long[]> leases = new HashMap<>();
  private long revision;
  private long lastTether;
  private final double rps;
  private final double writeRps;
  private final double valueKb;
  private final int txnOps;
  private double requestTokens;
  private double writeTokens;
  private long tokensNs = System.nanoTime();

  long refusedForRate;
  long refusedForSize;
  long largestRefused;
  long changeCount;

  StateService(double rps, double writeRps, double valueKb, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueKb = valueKb;
    this.txnOps = txnOps;
    Net.POOL.execute(this::expireLeases);
  }

  /** Called with the sender and the path of each request, before it is carried out. */
  volatile java.util.function.BiConsumer<String, String> onRequest = (node, path) -> {};

  /** The keys with a prefix that exist now. */
  synchronized List<String> keys(String prefix) {
    return entries.tailMap(prefix).keySet().stream()
        .takeWhile(key -> key.startsWith(prefix))
        .toList();
  }

  /** Returns the handler for the requests of one controller. */
  Net.Handler handlerFor(String node) {
    return (method, path, body) -> {
      Thread.sleep(ThreadLocalRandom.current().nextInt(1, 5));
      onRequest.accept(node, path);
      return handle(method, path, body);
    };
  }

  private static Net.Answer answer(int status, Map<String, Object> body) {
    return new Net.Answer(status, Mp.encode(body));
  }

  private void refill() {
    long now = System.nanoTime();
    double seconds = (now - tokensNs) / 1e9;
    tokensNs = now;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
  }

  private Net.Answer handle(String method, String path, byte[] body)
      throws InterruptedException {
    synchronized (this) {
      refill();
      if (requestTokens < 1) {
        refusedForRate++;
        return answer(429, Map.of("error", "requests"));
      }
      requestTokens--;
      if (path.startsWith("/store?")) {
        return list(query(path));
      }
      if (path.startsWith("/store/")) {
        String key = path.substring(7);
        Entry entry = entries.get(key);
        return entry == null
            ? answer(404, Map.of("ledgerRev", revision))
            : answer(200, record(key, entry));
      }
      if (path.equals("/commit")) {
        return commit(Mp.map(body));
      }
      if (path.equals("/grants")) {
        long life = (Long) Mp.map(body).get("lifeMs");
        leases.put(++lastTether, new long[] {System.nanoTime() + life * 1_000_000, life});
        return answer(200, Map.of("tether", lastTether));
      }
      if (path.startsWith("/grants/")) {
        long tether = Long.parseLong(path.split("/")[2]);
        long[] lease = leases.get(tether);
        if (lease == null) {
          return answer(404, Map.of());
        }
        if (method.equals("DELETE")) {
          endLease(tether);
        } else {
          lease[0] = System.nanoTime() + lease[1] * 1_000_000;
        }
        return answer(200, Map.of());
      }
    }
    return path.startsWith("/follow?") ? follow(query(path)) : answer(400, Map.of());
  }

  private static Map<String, String> query(String path) {
    Map<String, String> fields = new HashMap<>();
    for (String field : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = field.indexOf('=');
      fields.put(field.substring(0, equals), field.substring(equals + 1));
    }
    return fields;
  }

  private static Map<String, Object> record(String key, Entry entry) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("key", key);
    fields.put("v", entry.value);
    fields.put("stamp", entry.stamp);
    if (entry.tether > 0) {
      fields.put("tether", entry.tether);
    }
    return fields;
  }

  private Net.Answer list(Map<String, String> query) {
    String prefix = query.get("prefix");
    String from = query.get("from");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    List<Object> found = new ArrayList<>();
    boolean truncated = false;
    int bytes = 0;
    for (Map.Entry<String, Entry> e :
        entries.tailMap(from == null ? prefix : from, from == null).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        if (e.getKey().compareTo(prefix) > 0) {
          break;
        }
        continue;
      }
      Map<String, Object> record = record(e.getKey(), e.getValue());
      bytes += Mp.jsonSize(record) + 1;
      if (found.size() == most || bytes > 512 * 1024) {
        truncated = true;
        break;
      }
      found.add(record);
    }
    return answer(200, Map.of("entries", found, "truncated", truncated, "ledgerRev", revision));
  }

  @SuppressWarnings("unchecked")
  private Net.Answer commit(Map<String, Object> request) {
    List<Map<String, Object>> when =
        (List<Map<String, Object>>) request.getOrDefault("when", List.of());
    List<Map<String, Object>> then =
        (List<Map<String, Object>>) request.getOrDefault("then", List.of());
    boolean tooLarge =
        then.size() > txnOps
            || when.size() > 4 * txnOps
            || Mp.jsonSize(request) > 64 * 1024
            || then.stream().anyMatch(c -> Mp.jsonSize(c.get("v")) > valueKb * 1024);
    if (tooLarge) {
      refusedForSize++;
      largestRefused = Math.max(largestRefused, Mp.jsonSize(request));
      return answer(400, Map.of("error", "too large"));
    }
    if (writeTokens < then.size()) {
      refusedForRate++;
      return answer(429, Map.of("error", "changes"));
    }
    writeTokens -= then.size();
    for (Map<String, Object> change : then) {
      Object tether = change.get("tether");
      if (tether != null && !leases.containsKey((Long) tether)) {
        return answer(400, Map.of("error", "no such lease"));
      }
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : when) {
      Entry entry = entries.get((String) condition.get("key"));
      if ((entry == null ? 0 : entry.stamp) != (Long) condition.get("stamp")) {
        failed.add(condition.get("key"));
      }
    }
    if (!failed.isEmpty()) {
      return answer(409, Map.of("failed", failed, "ledgerRev", revision));
    }
    if (!then.isEmpty()) {
      revision++;
      for (Map<String, Object> change : then) {
        Object tether = change.get("tether");
        if (change.get("write") != null) {
          put((String) change.get("write"), change.get("v"), tether == null ? 0 : (Long) tether);
        } else {
          put((String) change.get("delete"), null, 0);
        }
      }
      notifyAll();
    }
    return answer(200, Map.of("ledgerRev", revision));
  }

  private void put(String key, Object value, long tether) {
    if (value == null) {
      if (entries.remove(key) == null) {
        return;
      }
    } else {
      entries.put(key, new Entry(value, revision, tether));
    }
    changeCount++;
    changes.add(new Change(key, value, revision));
    if (changes.size() > KEPT_CHANGES + 1000) {
      changes.subList(0, changes.size() - KEPT_CHANGES).clear();
    }
  }

  private void endLease(long tether) {
    leases.remove(tether);
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.tether == tether) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      revision++;
      keys.forEach(key -> put(key, null, 0));
      notifyAll();
    }
  }

  private void expireLeases() {
    while (true) {
      try {
        Thread.sleep(40);
      } catch (InterruptedException e) {
        return;
      }
      synchronized (this) {
        long now = System.nanoTime();
        List.copyOf(leases.keySet()).stream()
            .filter(tether -> leases.get(tether)[0] < now)
            .forEach(this::endLease);
      }
    }
  }

  /** The index of the first kept change after a revision. */
  private int firstAfter(long after) {
    int low = 0;
    int high = changes.size();
    while (low < high) {
      int middle = (low + high) / 2;
      if (changes.get(middle).stamp <= after) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private Net.Answer follow(Map<String, String> query) throws InterruptedException {
    String prefix = query.get("prefix");
    long from = Long.parseLong(query.get("from"));
    long hold = Math.min(60_000, Long.parseLong(query.getOrDefault("holdMs", "0")));
    long deadline = System.nanoTime() + hold * 1_000_000;
    List<Object> news = new ArrayList<>();
    long rev;
    synchronized (this) {
      while (true) {
        int first = firstAfter(from);
        if (changeCount > changes.size() && first == 0 && from < changes.get(0).stamp - 1) {
          return answer(410, Map.of());
        }
        for (Change change : changes.subList(first, changes.size())) {
          if (change.key.startsWith(prefix)) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put(change.value == null ? "delete" : "write", change.key);
            if (change.value != null) {
              fields.put("v", change.value);
            }
            fields.put("stamp", change.stamp);
            news.add(fields);
          }
        }
        long leftMs = (deadline - System.nanoTime()) / 1_000_000;
        if (!news.isEmpty() || leftMs <= 0) {
          break;
        }
        wait(leftMs);
      }
      rev = revision;
    }
    byte[] body = Mp.encode(Map.of("ledgerRev", rev, "news", news));
    return new Net.Answer(200, body);
  }
}
