package wickdrift.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** What follows from who awaits whom, against a model that works it out anew each time. */
class DependencyGraphTest {
  /** One job of the model. */
  private static final class Node {
    final int number;
    final List<Integer> awaits;
    final String rank;
    final String team;
    boolean accepted;
    boolean asked;
    String over;

    Node(int number, List<Integer> awaits, String rank, String team) {
      this.number = number;
      this.awaits = awaits;
      this.rank = rank;
      this.team = team;
    }
  }

  private final List<Node> nodes = new ArrayList<>();
  private final TreeMap<String, Object> store = new TreeMap<>();
  private final Map<String, Long> stamps = new HashMap<>();
  private long rev = 10;

  private static String id(int n) {
    return String.format("req-%06d", n);
  }

  private JobSpec spec(Node n) throws BadMessage {
    Map<String, Object> m = SimJobs.job(n.number, "batch", 1, 1, 10);
    m.put("rank", n.rank);
    m.put("owner", n.team);
    m.put("dueS", 100.0 + n.number % 5 * 20);
    SimJobs.awaiting(m, n.awaits.stream().mapToInt(i -> i).toArray());
    return JobSpec.parse(Document.parse(MessageCodec.encode(m)));
  }

  private StateServiceClient.Change put(String key, Object value) throws BadMessage {
    Object v = value == null ? null : MessageCodec.decode(MessageCodec.encode(value));
    if (v == null) {
      store.remove(key);
    } else {
      store.put(key, v);
    }
    stamps.put(key, rev);
    return new StateServiceClient.Change(key, v, rev);
  }

  // ---- the model ----

  private boolean off(Node n) {
    return n.asked
        || "withdrawn".equals(n.over)
        || n.awaits.stream().anyMatch(a -> off(nodes.get(a)));
  }

  private boolean ready(Node n) {
    return n.awaits.stream().allMatch(a -> "done".equals(nodes.get(a).over));
  }

  private static int rank(String wire) {
    for (JobSpec.Priority p : JobSpec.Priority.values()) {
      if (p.wireName().equals(wire)) {
        return p.ordinal();
      }
    }
    throw new AssertionError(wire);
  }

  private int lent(Node n, boolean sameTeam) {
    int best = rank(n.rank);
    for (Node d : nodes) {
      if (d.accepted && d.over == null && d.awaits.contains(n.number)) {
        boolean counts = !sameTeam || d.team.equals(n.team);
        best = counts ? Math.min(best, lent(d, sameTeam)) : best;
      }
    }
    return best;
  }

  private void compare(Tables t) {
    for (Node n : nodes) {
      Job j = t.job(id(n.number));
      assertEquals(n.accepted && n.over == null, j != null, id(n.number));
      if (j == null) {
        continue;
      }
      assertEquals(off(n), j.withdrawn(), id(n.number) + " withdrawn");
      assertEquals(
          !off(n) && ready(n) || n.asked && j.dependencyState() == Job.DependencyState.READY,
          j.dependencyState() == Job.DependencyState.READY);
      assertEquals(lent(n, false), j.effectivePriority().ordinal(), id(n.number) + " rank");
      assertEquals(lent(n, true), j.preemptionPriority().ordinal(), id(n.number) + " team rank");
    }
    assertTrue(t.dependencies().unresolved().isEmpty(), "unknown " + t.dependencies().unresolved());
  }

  /** Each step is one change of the store, as it would come; now and then all is loaded anew. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void drawsWhatTheModelDraws(long seed) throws BadMessage {
    Random r = new Random(seed);
    int size = 24;
    String[] ranks = {"production", "urgent", "standard", "idle"};
    for (int n = 0; n < size; n++) {
      Set<Integer> awaits = new HashSet<>();
      for (int k = r.nextInt(4); n > 0 && k > 0; k--) {
        awaits.add(r.nextInt(n));
      }
      nodes.add(new Node(n, List.copyOf(awaits), ranks[r.nextInt(4)], r.nextBoolean() ? "a" : "b"));
    }
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    for (int step = 0; step < 400; step++) {
      rev++;
      Node n = nodes.get(r.nextInt(size));
      List<StateServiceClient.Change> news = new ArrayList<>();
      if (!n.accepted && n.awaits.stream().allMatch(a -> nodes.get(a).accepted)) {
        n.accepted = true;
        news.add(put(Job.key(id(n.number)), Job.toStore(spec(n), null, rev, "n0", 0)));
      } else if (n.accepted && n.over == null && r.nextInt(8) == 0) {
        n.asked = true;
        news.add(put(Job.key(id(n.number)), Job.toStore(spec(n), null, rev, "n0", rev)));
      } else if (n.accepted && n.over == null && (off(n) || ready(n)) && r.nextInt(3) == 0) {
        n.over = off(n) ? "withdrawn" : "done";
        news.add(put(Job.key(id(n.number)), null));
        news.add(
            put(
                Job.terminalStateKey(id(n.number)),
                new TerminalState(n.over, 1, rev).toStore(true)));
      }
      t.apply(news, rev);
      resolve(t);
      compare(t);
      if (r.nextInt(40) == 0) {
        t = loaded();
        resolve(t);
        compare(t);
      }
    }
  }

  /** A copy loaded anew, which knows no ends. */
  private Tables loaded() throws BadMessage {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    List<StateServiceClient.Change> all = new ArrayList<>();
    store.forEach(
        (k, v) -> {
          if (!k.startsWith("w/d/")) {
            all.add(new StateServiceClient.Change(k, v, stamps.get(k)));
          }
        });
    t.load(all, rev);
    return t;
  }

  /** Tells it how those ended of which it does not know, as one read does. */
  private void resolve(Tables t) throws BadMessage {
    for (String id : List.copyOf(t.dependencies().unresolved())) {
      for (Job j : t.dependencies().dependents(id)) {
        assertTrue(
            j.dependencyState() == Job.DependencyState.UNRESOLVED || j.withdrawn(),
            j.id() + " is clear without " + id);
      }
      t.rememberTerminalState(
          id, TerminalState.parse(Document.of(store.get(Job.terminalStateKey(id)))));
    }
  }

  /** Haste: the last one's deadline, less what the stages between are expected to take. */
  @ParameterizedTest
  @CsvSource({"0, 61000", "1, 71000", "2, 81000", "3, 91000"})
  void hasteIsCarriedBack(int job, long startBy) throws BadMessage {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    for (int n = 0; n < 4; n++) {
      Map<String, Object> m = SimJobs.job(n, "batch", 1, 1, 10);
      if (n > 0) {
        SimJobs.awaiting(m, n - 1);
      }
      if (n == 3) {
        m.put("dueS", 100.0);
      }
      JobSpec s = JobSpec.parse(Document.parse(MessageCodec.encode(m)));
      Object v = MessageCodec.decode(MessageCodec.encode(Job.toStore(s, null, 1000, "n0", 0)));
      t.apply(List.of(new StateServiceClient.Change(Job.key(s.id()), v, ++rev)), rev);
    }
    long is = t.job(id(job)).startByWallMs();
    assertEquals(job == 3 ? Long.MAX_VALUE : startBy, is);
    // What it lends is taken back when it is withdrawn and gone.
    t.apply(List.of(new StateServiceClient.Change(Job.key(id(3)), null, ++rev)), rev);
    assertEquals(Long.MAX_VALUE, t.job(id(0)).startByWallMs());
  }

  /** A thousand chains of six, one awaited by a thousand, and a chain of a hundred: in a blink. */
  @Test
  void manyAtOnce() throws BadMessage {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    int n = 0;
    List<StateServiceClient.Change> all = new ArrayList<>();
    for (int c = 0; c < 1000; c++) {
      for (int s = 0; s < 6; s++) {
        all.add(job(n, s == 0 ? -1 : n - 1));
        n++;
      }
    }
    int hub = n++;
    all.add(job(hub, -1));
    for (int i = 0; i < 1000; i++) {
      all.add(job(n++, hub));
    }
    int first = n;
    for (int i = 0; i < 100; i++) {
      all.add(job(n, i == 0 ? -1 : n - 1));
      n++;
    }
    t.load(all, rev);
    assertEquals(
        1000 + 1 + 1,
        t.jobs().stream().filter(j -> j.dependencyState() == Job.DependencyState.READY).count());
    rev++;
    t.apply(
        List.of(
            new StateServiceClient.Change(
                Job.terminalStateKey(id(hub)),
                MessageCodec.decode(
                    MessageCodec.encode(new TerminalState("done", 1, 1).toStore(true))),
                rev),
            new StateServiceClient.Change(Job.key(id(hub)), null, rev)),
        rev);
    assertEquals(
        2001,
        t.jobs().stream().filter(j -> j.dependencyState() == Job.DependencyState.READY).count());
    t.drainChangedJobs();
    // A withdrawal of the first reaches the last, and nobody else is looked at.
    rev++;
    Job j = t.job(id(first));
    Object off = MessageCodec.decode(MessageCodec.encode(j.toStore("n0", 5)));
    t.apply(List.of(new StateServiceClient.Change(j.key(), off, rev)), rev);
    assertTrue(t.job(id(first + 99)).withdrawn());
    assertEquals(100, t.drainChangedJobs().size());
  }

  private StateServiceClient.Change job(int n, int awaits) throws BadMessage {
    Map<String, Object> m = SimJobs.job(n, "batch", 1, 1, 10);
    if (awaits >= 0) {
      SimJobs.awaiting(m, awaits);
    }
    JobSpec s = JobSpec.parse(Document.parse(MessageCodec.encode(m)));
    Object v = MessageCodec.decode(MessageCodec.encode(Job.toStore(s, null, 1000, "n0", 0)));
    return new StateServiceClient.Change(Job.key(s.id()), v, rev);
  }
}
