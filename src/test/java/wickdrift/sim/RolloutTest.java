package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.bookkeeping.level.OperatorOverrides;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller.Response;

/**
 * Controllers are replaced one after the other by those of a newer build while jobs run. In place
 * of an older build stands this one with fewer levels, whose announcements the state service drops
 * ({@link SimState#levelless}); the older build itself is played with real processes, outside CI.
 */
class RolloutTest {
  private static final int NEW = LevelRange.BUILD.max();

  /**
   * A world whose controllers are all of the build that knows no levels, with jobs of all shapes.
   */
  private static SimWorld old(long seed, String zones) {
    SimWorld w = new SimWorld(seed, 8, 30, zones, 40);
    // They were started in the constructor, but nothing has run yet.
    for (String n : w.nodes) {
      w.kill(n);
      w.levels.put(n, LevelRange.FIRST);
      w.state().levelless.add(n);
    }
    w.nodes.forEach(w::startNode);
    return w;
  }

  private static List<String> load(SimWorld w, int jobs, long forMs) {
    List<String> finite = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      int n = i;
      String shape = i % 10 == 0 ? "daemon" : i % 5 < 3 ? "ensemble" : "batch";
      int tasks = 1 + i % 4;
      boolean off = i % 7 == 6;
      w.clock.after(
          w.random.nextInt((int) forMs),
          () ->
              w.users.submit(
                  SimJobs.job(n, shape, Math.min(tasks, 3), 1 + n % 2, 3 + n % 15),
                  off ? 9000 : 0));
      if (i % 10 != 0 && !off) {
        finite.add(String.format("req-%06d", n));
      }
    }
    return finite;
  }

  private static void replace(SimWorld w, String node) {
    w.state().levelless.remove(node);
    w.levels.remove(node);
    w.crash(node, 2000);
  }

  private static void putBack(SimWorld w, String node) {
    w.state().levelless.add(node);
    w.levels.put(node, LevelRange.FIRST);
    w.crash(node, 2000);
  }

  private static int level(SimWorld w, String node) {
    return w.tables(node).level();
  }

  private static void check(SimWorld w, List<String> finite) {
    assertEquals(List.of(), w.broken());
    for (String id : finite) {
      assertEquals("done", w.lastTold(id), id);
    }
    assertNull(w.diverged());
  }

  /** Runs on until all nodes have a level; fails after a minute of simulated time. */
  private static void untilLevel(SimWorld w, int wanted) {
    for (int i = 0; i < 60; i++) {
      if (w.nodes.stream().allMatch(n -> !w.alive(n) || level(w, n) == wanted)) {
        return;
      }
      w.run(1000);
    }
    throw new AssertionError("level " + level(w, w.nodes.get(0)));
  }

  private static void nothingOldIsLeft(SimWorld w) throws BadMessage {
    assertNotNull(w.state().value(NodeRegistry.CONVERTED_LEVEL_KEY));
    for (String key : w.state().keys()) {
      assertEquals(
          Tables.newestReadableEncoding(key) == Encoding.FIRST ? Encoding.FIRST : Encoding.NUMBERED,
          Encoding.versionOf(MessageCodec.decode(MessageCodec.encode(w.state().value(key)))),
          key);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "aaa, 0 1 2",
    "aaa, 2 1 0",
    "aab, 1 0 2",
    "aaabb, 0 1 2 3 4",
    "aaabb, 4 3 2 1 0",
    "aabbb, 2 0 4 1 3",
    "aaaaabbbb, 0 1 2 3 4 5 6 7 8",
    "aaaaabbbb, 8 3 4 0 1 7 6 5 2"
  })
  void allAreReplacedInAnyOrder(String zones, String order) throws BadMessage {
    SimWorld w = old(300 + zones.length(), zones);
    List<String> finite = load(w, 60, 40_000 + 5000 * zones.length());
    w.run(8000);
    String[] nodes = order.split(" ");
    for (int i = 0; i < nodes.length; i++) {
      assertEquals(1, level(w, "n" + nodes[nodes.length - 1]), "before " + nodes[i]);
      replace(w, "n" + nodes[i]);
      w.run(7000);
    }
    untilLevel(w, NEW);
    w.run(150_000);
    check(w, finite);
    nothingOldIsLeft(w);
  }

  @Test
  void putBackHalfWayAndForwardAgain() throws BadMessage {
    SimWorld w = old(311, "aaabb");
    List<String> finite = load(w, 60, 80_000);
    w.run(8000);
    for (String n : List.of("n0", "n1", "n3")) {
      replace(w, n);
      w.run(6000);
    }
    for (String n : List.of("n3", "n0", "n1")) {
      putBack(w, n);
      w.run(6000);
    }
    assertEquals(1, level(w, "n4"));
    // One that was put back and is down counts as what it was put back to.
    w.kill("n1");
    for (String n : List.of("n0", "n2", "n3", "n4")) {
      replace(w, n);
      w.run(6000);
    }
    w.run(20_000);
    assertEquals(1, level(w, "n0"));
    replace(w, "n1");
    untilLevel(w, NEW);
    w.run(150_000);
    check(w, finite);
    nothingOldIsLeft(w);
  }

  /** Which transaction of the rollout's actors meets a fault. */
  enum Step {
    ANNOUNCES(NodeRegistry.PREFIX),
    RISES(View.KEY),
    CONVERTS("w/l/"),
    DONE(NodeRegistry.CONVERTED_LEVEL_KEY);

    final String prefix;

    Step(String prefix) {
      this.prefix = prefix;
    }

    boolean is(Document txn) {
      try {
        for (Document t : txn.documents("then")) {
          String key = t.textOrNull("write");
          boolean newForm = t.raw("v") instanceof List<?>;
          if (key != null && key.startsWith(prefix)) {
            return this == ANNOUNCES || this == DONE || newForm;
          }
        }
        return false;
      } catch (BadMessage e) {
        throw new AssertionError(e);
      }
    }
  }

  @ParameterizedTest
  @EnumSource(Step.class)
  void theActorOfAStepCrashesBeforeInAndAfterIt(Step step) throws BadMessage {
    for (SimState.Fate fate : SimState.Fate.values()) {
      SimWorld w = old(320 + step.ordinal(), "aab");
      List<String> finite = load(w, 40, 50_000);
      int[] left = {3};
      w.state().fate =
          (from, d) -> {
            if (!step.is(d) || left[0] == 0 || !w.alive(from)) {
              return SimState.Fate.APPLIED;
            }
            left[0]--;
            w.crash(from, 2500);
            return fate;
          };
      w.run(8000);
      for (String n : w.nodes) {
        replace(w, n);
        w.run(7000);
      }
      untilLevel(w, NEW);
      w.run(150_000);
      assertTrue(left[0] < 3, "the fault was not met");
      check(w, finite);
      nothingOldIsLeft(w);
    }
  }

  /** What happens at the switch, from just before to well after it. */
  enum Trouble {
    STORE_AWAY,
    STORE_REFUSES_ONE,
    FROZEN,
    CUT_FROM_STATE,
    ZONE_CUT,
    PEERS_CUT,
    LATE_TRANSACTIONS
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void troubleAtTheSwitch(Trouble trouble) throws BadMessage {
    SimWorld w = old(340 + trouble.ordinal(), "aab");
    List<String> finite = load(w, 40, 60_000);
    w.run(8000);
    replace(w, "n0");
    w.run(7000);
    replace(w, "n2");
    w.run(7000);
    replace(w, "n1");
    // n1 is back 2 s from now, and the level rises within the second after that.
    long at = 1900;
    switch (trouble) {
      case STORE_AWAY -> {
        w.clock.after(at + 400, () -> w.state().outage(true));
        w.clock.after(at + 9000, () -> w.state().outage(false));
      }
      case STORE_REFUSES_ONE -> {
        w.clock.after(at, () -> w.state().refuse("n0", true));
        w.clock.after(at + 15_000, () -> w.state().refuse("n0", false));
      }
      case FROZEN -> w.clock.after(at, () -> w.freeze("n2", 12_000, true));
      case CUT_FROM_STATE -> {
        w.clock.after(at, () -> w.cutFromState("n2", true));
        w.clock.after(at + 20_000, () -> w.healFromState("n2"));
      }
      case ZONE_CUT -> {
        w.clock.after(at, () -> w.cutZone("n2", true));
        w.clock.after(at + 25_000, () -> w.cutZone("n2", false));
      }
      case PEERS_CUT -> w.clock.after(at, () -> w.cutFromPeers("n0", true));
      case LATE_TRANSACTIONS -> w.clock.after(0, () -> w.state().lateCommits(0.3, 2600, 5));
      default -> throw new AssertionError(trouble);
    }
    w.run(40_000);
    untilLevel(w, NEW);
    w.run(150_000);
    check(w, finite);
    nothingOldIsLeft(w);
  }

  /**
   * A transaction of the level before arrives after the switch: a placement fails, for its part's
   * record has changed; an exit, which holds for any level, leaves a record that is converted.
   */
  @ParameterizedTest
  @ValueSource(longs = {351, 352, 353})
  void whatWasPreparedBeforeTheSwitchComesAfterIt(long seed) throws BadMessage {
    SimWorld w = old(seed, "aaa");
    List<String> finite = load(w, 60, 45_000);
    w.run(8000);
    replace(w, "n0");
    w.run(6000);
    replace(w, "n1");
    w.run(6000);
    // n2 of the old build is cut off with its transactions held back, and is replaced.
    w.cutFromState("n2", true);
    w.run(1500);
    replace(w, "n2");
    w.clock.after(6000, () -> w.healFromState("n2"));
    w.run(12_000);
    untilLevel(w, NEW);
    w.run(150_000);
    check(w, finite);
    nothingOldIsLeft(w);
  }

  /** A placement of one that has left the view fails, whenever it comes: its part was rewritten. */
  @Test
  void aPlacementOfOneThatLeftTheViewFails() throws BadMessage {
    // A limit so large that nobody gives of its share: that rewrites a part too.
    SimWorld w = new SimWorld(355, 8, 20, "aaa", 10_000);
    w.run(10_000);
    Document[] held = new Document[1];
    w.state().fate =
        (from, d) -> {
          if (held[0] == null && from.equals("n1") && places(d)) {
            held[0] = d;
            w.cutFromState("n1", false);
            return SimState.Fate.LOST;
          }
          return SimState.Fate.APPLIED;
        };
    for (int i = 0; i < 12; i++) {
      w.users.submit(SimJobs.job(i, "batch", 2, 1, 20), 0);
    }
    while (held[0] == null) {
      w.run(50);
    }
    while (w.tables("n0").view().members().containsKey("n1")) {
      w.run(5);
    }
    assertEquals(409, late(w, held[0]));
    w.run(5000);
    assertEquals(409, late(w, held[0]));
    assertEquals(List.of(), w.broken());
  }

  private static boolean places(Document txn) {
    try {
      for (Document t : txn.documents("then")) {
        String key = t.textOrNull("write");
        if (key != null && key.startsWith("w/l/")) {
          List<?> runs = Encoding.decode(t.raw("v"), Encoding.NUMBERED).list("g");
          if (runs.toString().contains("[p, ")) {
            return true;
          }
        }
      }
      return false;
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static int late(SimWorld w, Document txn) {
    int[] status = new int[1];
    w.state()
        .serve(
            "n1",
            "POST",
            "/commit",
            MessageCodec.encode(txn.rawMap()),
            a -> status[0] = a.status());
    return status[0];
  }

  /** Whoever does not speak the level in force neither joins, proposes, writes nor serves. */
  @ParameterizedTest
  @CsvSource({"1, 1, 2", "1, 2, 3", "3, 4, 2"})
  void whoDoesNotSpeakTheLevelStaysOutside(int least, int most, int inForce) throws BadMessage {
    SimWorld w = new SimWorld(360, 6, 20, "aaa", 60);
    List<String> finite = load(w, 30, 40_000);
    w.nodes.forEach(w::kill);
    w.nodes.forEach(n -> w.levels.put(n, new LevelRange(1, inForce)));
    w.nodes.forEach(w::startNode);
    w.run(20_000);
    untilLevel(w, inForce);
    w.kill("n1");
    w.levels.put("n1", new LevelRange(least, most));
    w.startNode("n1");
    w.state().writers.clear();
    w.run(20_000);
    assertNotNull(w.tables("n1").blockedReason());
    assertTrue(
        w.tables("n1").blockedReason().contains("level " + inForce),
        w.tables("n1").blockedReason());
    assertFalse(w.state().writers.contains("n1"), "it wrote");
    assertFalse(w.tables("n0").members().containsKey("n1"));
    for (String path : List.of("GET /up", "POST /api/jobs", "GET /api/jobs/req-000001")) {
      String[] p = path.split(" ");
      byte[] body =
          p[0].equals("POST") ? w.users.describe(SimJobs.job(900, "batch", 1, 1, 5)) : null;
      assertEquals(503, w.users.ask("n1", p[0], p[1], body).status(), path);
    }
    assertNotEquals(200, w.report("n1", "i-000000", 1) == null ? 0 : 503);
    w.run(120_000);
    check(w, finite);
  }

  @Test
  void anOperatorHoldsAGateAndReleasesIt() throws BadMessage {
    for (String held : List.of(Gate.NUMBERS.label(), "a-gate-of-tomorrow")) {
      SimWorld w = old(371, "aaa");
      List<String> finite = load(w, 20, 40_000);
      w.state()
          .force(OperatorOverrides.KEY, OperatorOverrides.NONE.withGateHeld(held, true).toStore());
      w.run(5000);
      for (String n : w.nodes) {
        replace(w, n);
        w.run(6000);
      }
      w.run(20_000);
      assertEquals(1, level(w, "n0"));
      w.state().force(OperatorOverrides.KEY, OperatorOverrides.NONE.toStore());
      untilLevel(w, NEW);
      w.run(100_000);
      check(w, finite);
    }
  }

  /** Whatever the rise was drawn from changes while its transaction is under way: it fails. */
  @ParameterizedTest
  @ValueSource(strings = {"word", "live", "back", "announced", "list"})
  void whatChangesWhileTheRiseIsUnderWay(String what) throws BadMessage {
    SimWorld w = new SimWorld(376, 4, 20, "aaabb", 40);
    w.nodes.forEach(w::kill);
    for (String n : w.nodes) {
      w.levels.put(n, LevelRange.FIRST);
      w.startNode(n);
    }
    w.run(6000);
    for (String n : List.of("n0", "n1", "n2", "n3")) {
      w.levels.remove(n);
      w.crash(n, 1000);
      w.run(6000);
    }
    // n3 is down when the last one comes, and counts as it has announced.
    w.kill("n3");
    w.run(6000);
    w.levels.remove("n4");
    w.crash("n4", 1000);
    Map<String, Object> less = new TreeMap<>(Map.of("name", "n3", "least", 1L, "most", 1L));
    less.put("peers", List.of("n3"));
    boolean[] met = new boolean[1];
    w.state().fate =
        (from, d) -> {
          if (Step.RISES.is(d) && !met[0]) {
            met[0] = true;
            switch (what) {
              case "word" ->
                  w.state()
                      .force(
                          OperatorOverrides.KEY,
                          OperatorOverrides.NONE
                              .withGateHeld(Gate.NUMBERS.label(), true)
                              .toStore());
              case "live" -> w.state().force("w/m/n1", Map.of("inc", "x", "zone", "a"));
              case "back" -> w.state().force("w/m/n3", Map.of("inc", "x", "zone", "a"));
              case "announced" -> w.state().force("w/c/3", less);
              default ->
                  w.state()
                      .force(
                          NodeRegistry.INITIAL_NAMES_KEY, NodeRegistry.encodeInitialNames(w.nodes));
            }
            w.clock.after(60, () -> assertEquals(1, level(w, from), what));
          }
          return SimState.Fate.APPLIED;
        };
    w.run(12_000);
    assertTrue(met[0], "the level did not try to rise");
    assertEquals(what.equals("list") ? NEW : 1, level(w, "n0"));
    assertEquals(List.of(), w.broken());
  }

  /** One that never comes back is waited for until an operator says that it is not. */
  @Test
  void withoutOneThatNeverComesBack() throws BadMessage {
    SimWorld w = old(381, "aaabb");
    List<String> finite = load(w, 40, 60_000);
    w.run(8000);
    w.kill("n3");
    for (String n : List.of("n0", "n1", "n2", "n4")) {
      replace(w, n);
      w.run(6000);
    }
    w.run(20_000);
    assertEquals(1, level(w, "n0"));
    w.state()
        .force(OperatorOverrides.KEY, OperatorOverrides.NONE.withNodeIgnored("n3", true).toStore());
    untilLevel(w, NEW);
    // It does come back, of the old build: outside; of the new one: in.
    w.startNode("n3");
    w.run(10_000);
    assertNotNull(w.tables("n3").blockedReason());
    assertFalse(w.tables("n0").view().members().containsKey("n3"));
    replace(w, "n3");
    w.run(10_000);
    assertTrue(w.tables("n0").view().members().containsKey("n3"));
    w.run(100_000);
    check(w, finite);
    nothingOldIsLeft(w);
  }

  /** What all may use together, as the parts tell it. */
  private static double shares(SimWorld w) throws BadMessage {
    double sum = 0;
    List<?> first = Document.of(w.state().value(NodeRegistry.INITIAL_NAMES_KEY)).list("names");
    TreeMap<String, Boolean> all = new TreeMap<>();
    first.forEach(n -> all.put((String) n, true));
    w.tables("n0").partitions().keySet().forEach(n -> all.put(n, true));
    for (String n : all.keySet()) {
      Partition p = w.tables("n0").partition(n);
      sum += first.contains(n) ? w.setup.gpusMax() / first.size() : 0;
      sum +=
          p == null ? 0 : p.quotaShares().getOrDefault("vision", Partition.QuotaShare.NONE).gpus();
    }
    return sum;
  }

  /**
   * Controllers are added, removed and renamed by a rolling restart, with settings that differ
   * meanwhile. The limit is half of what the jobs want, so that a share that counts twice breaks
   * the rule, and one that is lost shows as work that takes too long.
   */
  @ParameterizedTest
  @CsvSource({
    "aaa, n0 n1 n2, n0 n1 n2 n3 n4",
    "aaabb, n0 n1 n2 n3 n4, n0 n3 n4",
    "aaa, n0 n1 n2, n0 n1 n7",
    "aaa, n0 n1 n2, n4 n5 n6",
    "aaabbbb, n0 n1 n2 n3 n4 n5 n6, n0 n1 n2 n3 n4 n5 n9"
  })
  void controllersAreAddedRemovedAndRenamed(String zones, String before, String after)
      throws BadMessage {
    SimWorld w = new SimWorld(390, 10, 20, zones, 12);
    List<String> finite = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      int n = i;
      w.clock.after(i * 800, () -> w.users.submit(SimJobs.job(n, "batch", 3, 1, 6), 0));
      finite.add(String.format("req-%06d", i));
    }
    w.run(10_000);
    untilLevel(w, NEW);
    List<String> then = List.of(after.split(" "));
    List<String> now = List.of(before.split(" "));
    for (String n : then) {
      w.lists.put(n, then);
      if (now.contains(n)) {
        w.crash(n, 2000);
      } else {
        w.nodes.add(n);
        w.startNode(n);
      }
      w.run(6000);
    }
    for (String n : now) {
      if (!then.contains(n)) {
        w.kill(n);
        w.nodes.remove(n);
        w.run(5000);
      }
    }
    w.run(30_000);
    assertEquals(then, List.copyOf(w.tables(then.get(0)).view().members().keySet()));
    w.run(120_000);
    check(w, finite);
    if (then.contains("n0")) {
      assertEquals(w.setup.gpusMax(), shares(w), 1e-6);
    }
    // All of the limit is used, whoever had a share of it before.
    w.users.submit(SimJobs.job(900, "batch", 24, 1, 40), 0);
    w.run(25_000);
    assertEquals((int) w.setup.gpusMax(), w.placed(then.get(0), "req-000900"));
    assertEquals(List.of(), w.broken());
  }

  /**
   * At the first level a number is a place in a list: another list would mean other controllers.
   */
  @Test
  void anotherListWaitsForTheLevel() {
    SimWorld w = old(395, "aaa");
    w.run(6000);
    replace(w, "n0");
    w.run(6000);
    w.lists.put("n1", List.of("n0", "n1", "n2", "n3"));
    replace(w, "n1");
    w.run(8000);
    assertFalse(w.tables("n0").view().members().containsKey("n1"));
    replace(w, "n2");
    w.nodes.add("n3");
    w.lists.put("n3", List.of("n0", "n1", "n2", "n3"));
    w.startNode("n3");
    untilLevel(w, NEW);
    w.run(8000);
    assertTrue(w.tables("n0").view().members().keySet().containsAll(List.of("n1", "n3")));
    assertEquals(3, w.tables("n0").registry().numberOf("n3"));
    assertEquals(List.of(), w.broken());
  }

  /** Where nobody may join before the level rises, those who wait raise it. */
  @Test
  void theListOfAllChangesAtOnceBeforeTheSwitch() {
    SimWorld w = old(396, "aaa");
    w.state()
        .force(
            OperatorOverrides.KEY,
            OperatorOverrides.NONE.withGateHeld(Gate.NUMBERS.label(), true).toStore());
    w.run(6000);
    for (String n : w.nodes) {
      replace(w, n);
      w.run(6000);
    }
    assertEquals(1, level(w, "n0"));
    w.nodes.forEach(w::kill);
    w.run(6000);
    w.nodes.clear();
    w.nodes.addAll(List.of("n0", "n1", "n5"));
    w.nodes.forEach(w::startNode);
    w.run(10_000);
    assertTrue(w.tables("n0").members().isEmpty());
    w.state().force(OperatorOverrides.KEY, OperatorOverrides.NONE.toStore());
    untilLevel(w, NEW);
    w.run(10_000);
    assertEquals(List.of("n0", "n1", "n5"), List.copyOf(w.tables("n0").view().members().keySet()));
    assertEquals(3, w.tables("n0").registry().numberOf("n5"));
  }

  @ParameterizedTest
  @CsvSource({
    "w/x/1, 1",
    "w/q, 1",
    "w/p/n0, 9",
    "w/v, 3",
    "w/j/req-000777, 2",
    "w/c/70000, 1",
    "w/c/what, 1"
  })
  void whatNobodyKnowsStopsDecisionsUntilItIsGone(String key, int form) {
    SimWorld w = new SimWorld(400, 6, 20);
    w.run(8000);
    Object was = w.state().value(key);
    w.state().force(key, Encoding.wrap(form, Map.of("name", "n9", "peers", List.of())));
    w.run(1000);
    for (String n : w.nodes) {
      assertNotNull(w.tables(n).blockedReason(), n);
      assertTrue(w.tables(n).blockedReason().contains(key), w.tables(n).blockedReason());
    }
    w.users.submit(SimJobs.job(1, "batch", 2, 1, 5), 0);
    w.run(3000);
    assertEquals(0, w.starts());
    w.state().force(key, was);
    w.run(30_000);
    for (String n : w.nodes) {
      assertNull(w.tables(n).blockedReason(), n);
    }
    assertEquals("done", w.lastTold("req-000001"));
    assertEquals(List.of(), w.broken());
    assertNull(w.diverged());
  }

  /** Entries of a log in a kind, with a number, or of a length that nobody here knows. */
  @ParameterizedTest
  @ValueSource(
      strings = {"[q, req-000001, 1]", "[p, req-000001, 70000, 0, 1, i-000001]", "[x, req-1, 0]"})
  void anEntryThatNobodyKnowsIsNotPassedOver(String text) {
    List<Object> entry = new ArrayList<>();
    for (String s : text.substring(1, text.length() - 1).split(", ")) {
      entry.add(s.matches("[0-9]+") ? (Object) Long.parseLong(s) : s);
    }
    SimWorld w = new SimWorld(401, 6, 20);
    w.run(8000);
    w.users.submit(SimJobs.job(1, "batch", 2, 1, 20), 0);
    w.run(4000);
    String key = "w/l/n9/0000000001";
    w.state().force(key, Encoding.wrap(2, Map.of("g", List.of(List.of(0L, List.of(entry))))));
    w.run(1000);
    w.nodes.forEach(n -> assertNotNull(w.tables(n).blockedReason(), n));
    // A start meets it too.
    w.crash("n1", 1000);
    w.run(5000);
    w.nodes.forEach(n -> assertNotNull(w.tables(n).blockedReason(), n));
    w.state().force(key, null);
    w.run(60_000);
    w.nodes.forEach(n -> assertNull(w.tables(n).blockedReason(), n));
    assertEquals("done", w.lastTold("req-000001"));
    assertEquals(List.of(), w.broken());
    assertNull(w.diverged());
  }

  /** What could not be read when a node loaded is not known to it later: it loads anew. */
  @Test
  void whatWasUnreadableAtALoadIsLoadedAnew() {
    SimWorld w = new SimWorld(404, 6, 20, "aaa", 60);
    w.run(8000);
    for (int i = 0; i < 40; i++) {
      w.users.submit(SimJobs.job(i, i % 3 == 0 ? "daemon" : "batch", 3, 1, 4), 0);
      w.run(900);
    }
    String key = w.state().keys().stream().filter(Job::isChunkKey).findFirst().orElseThrow();
    Object was = w.state().value(key);
    w.state().force(key, Encoding.wrap(9, Map.of("rev", 1L)));
    w.crash("n1", 500);
    w.run(6000);
    assertNotNull(w.tables("n1").blockedReason());
    w.state().force(key, was);
    w.run(10_000);
    assertNull(w.tables("n1").blockedReason());
    assertNull(w.diverged());
    assertEquals(List.of(), w.broken());
  }

  /** A member that can't be read is none, and nothing stops for it. */
  @Test
  void aMemberWithAnEmptyRangeIsNone() {
    SimWorld w = new SimWorld(402, 6, 20);
    w.run(8000);
    w.state().force("w/m/n8", Map.of("inc", "x", "zone", "a", "least", 3L, "most", 2L));
    w.users.submit(SimJobs.job(1, "batch", 2, 1, 5), 0);
    w.run(30_000);
    assertFalse(w.tables("n0").view().members().containsKey("n8"));
    assertEquals("done", w.lastTold("req-000001"));
  }

  /** Fields that a writer does not know survive its rewriting. */
  @Test
  void whatANewerWriterAddedSurvives() throws BadMessage {
    SimWorld w = new SimWorld(403, 6, 20);
    w.run(8000);
    w.users.submit(SimJobs.job(1, "daemon", 2, 1, 0), 12_000);
    w.run(5000);
    for (String key : List.of(View.KEY, "w/p/n0", "w/j/req-000001", "w/c/1", "w/c/word")) {
      Object v = w.state().value(key);
      int form = v == null ? 1 : Encoding.versionOf(MessageCodec.decode(MessageCodec.encode(v)));
      Map<String, Object> more = new TreeMap<>(Map.of("later", 7L));
      more.putAll(
          v == null
              ? OperatorOverrides.NONE.toStore()
              : Encoding.decode(MessageCodec.decode(MessageCodec.encode(v)), form).fieldsExcept());
      if (key.startsWith("w/j/")) {
        Map<String, Object> spec = new TreeMap<>(Document.of(more.get("spec")).fieldsExcept());
        spec.put("later", 8L);
        more.put("spec", spec);
      }
      w.state().force(key, Encoding.wrap(form, more));
    }
    // Nothing of the job ends meanwhile: its record is rewritten, and stays.
    for (int i = 0; i < 6; i++) {
      w.cutMachine(i, true);
    }
    w.lists.put("n1", List.of("n0", "n1", "n2", "n3"));
    w.crash("n1", 2000);
    w.run(8000);
    for (String key : List.of(View.KEY, "w/p/n0", "w/c/1")) {
      assertEquals(7L, read(w, key).raw("later"), key);
    }
    Document job = read(w, Job.key("req-000001"));
    assertTrue(job.flag("off"));
    assertEquals(7L, job.raw("later"));
    assertEquals(8L, Document.of(job.raw("spec")).raw("later"));
    assertEquals(4, read(w, "w/c/1").texts("peers").size());
  }

  private static Document read(SimWorld w, String key) throws BadMessage {
    return Encoding.decode(
        MessageCodec.decode(MessageCodec.encode(w.state().value(key))), Encoding.NUMBERED);
  }

  /** Told to end, a controller gives its lease back: the others need not wait for its end. */
  @Test
  void anOrderlyEndIsTakenOverAtOnce() {
    long[] took = new long[2];
    for (int orderly = 0; orderly < 2; orderly++) {
      SimWorld w = new SimWorld(410, 8, 20, "aaa", 60);
      w.run(10_000);
      for (int i = 0; i < 30; i++) {
        w.users.submit(SimJobs.job(i, i % 3 == 0 ? "daemon" : "batch", 2, 1, 10), 0);
      }
      w.run(1000);
      long epoch = w.epoch("n1");
      long from = w.clock.nowMs();
      if (orderly == 1) {
        w.restart("n0", 3000, 60_000);
      } else {
        w.crash("n0", 60_000);
      }
      while (w.epoch("n1") == epoch) {
        w.run(20);
      }
      took[orderly] = w.clock.nowMs() - from;
      w.run(60_000);
      assertEquals(0, w.killedByLease());
      assertEquals(List.of(), w.broken());
    }
    assertTrue(took[1] <= 1500, "orderly: " + took[1] + " ms");
    assertTrue(took[0] >= 3 * took[1], "killed " + took[0] + ", orderly " + took[1] + " ms");
  }

  /** Once its lease is given back a node is nothing any more, whatever its own clock says of it. */
  @Test
  void whoHasGivenItsLeaseBackAnswersNobody() {
    SimWorld w = new SimWorld(413, 8, 20, "aaa", 60);
    w.run(10_000);
    String mine =
        w.workers().stream()
            .map(m -> m.name)
            .filter(m -> w.owner("n0", m).equals("n0"))
            .findFirst()
            .orElseThrow();
    long epoch = w.epoch("n0");
    w.leave("n0", 3000);
    w.run(60);
    // The others have not changed the view yet.
    assertEquals(epoch, w.epoch("n1"));
    Response[] got = w.report("n0", mine, epoch);
    w.state().writers.clear();
    w.run(1500);
    assertNotEquals(200, got[0].status());
    assertFalse(w.state().writers.contains("n0"));
    w.run(10_000);
    assertEquals(List.of(), w.broken());
  }

  /** With the store away an orderly end is bounded all the same. */
  @Test
  void anOrderlyEndIsBounded() {
    SimWorld w = new SimWorld(411, 4, 20);
    w.run(8000);
    w.state().outage(true);
    w.restart("n0", 3000, 10_000);
    w.run(3100);
    assertFalse(w.alive("n0"));
    w.state().outage(false);
    w.run(30_000);
    assertTrue(w.tables("n1").view().members().containsKey("n0"));
  }

  /**
   * More controllers than a transaction can change the view of: those that do not fit serve users,
   * and take the places of members that go, zone by zone.
   */
  @ParameterizedTest
  @CsvSource({"9, 8", "33, 8", "16, 4"})
  void moreControllersThanAViewHolds(int controllers, int txnOps) {
    SimWorld w =
        new SimWorld(
            new SimSetup(420, 8, 30)
                .controllers("a".repeat(controllers - 4) + "bbbb")
                .txnOps(txnOps));
    List<String> finite = load(w, 60, 60_000);
    w.run(20_000);
    View v = w.tables("n0").view();
    int most = 4 * txnOps - 4;
    assertEquals(Math.min(controllers, most), v.members().size());
    assertTrue(v.zones().containsValue("b"), "a zone with controllers has none in the view");
    assertEquals(NEW, v.level());
    List<String> members = List.copyOf(v.members().keySet());
    String spare =
        w.nodes.stream()
            .filter(n -> !v.members().containsKey(n))
            .findFirst()
            .orElse(members.get(2));
    assertEquals(200, w.users.ask(spare, "GET", "/up", null).status());
    w.kill(members.get(0));
    w.crash(members.get(1), 3000);
    w.run(15_000);
    View then = w.tables(spare).view();
    assertEquals(Math.min(controllers - 1, most), then.members().size());
    assertFalse(then.members().containsKey(members.get(0)));
    w.nodes.remove(members.get(0));
    // All members but one at once: the spares take over.
    List<String> all = new ArrayList<>(then.members().keySet());
    all.remove(spare);
    all.forEach(w::kill);
    w.nodes.removeAll(all);
    w.run(20_000);
    View last = w.tables(w.nodes.get(0)).view();
    assertEquals(Math.min(w.nodes.size(), most), last.members().size());
    assertTrue(w.nodes.containsAll(last.members().keySet()));
    w.run(150_000);
    check(w, finite);
  }

  /**
   * Two processes of one name: the later one serves, and the view does not change back and forth.
   */
  @Test
  void twoProcessesOfOneName() {
    SimWorld w = new SimWorld(412, 4, 20);
    w.run(8000);
    w.startNode("n1");
    w.run(8000);
    long epoch = w.epoch("n0");
    w.run(30_000);
    assertEquals(epoch, w.epoch("n0"));
    assertTrue(w.tables("n0").view().members().containsKey("n1"));
  }
}
