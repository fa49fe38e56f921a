package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller.Response;

/**
 * Jobs that await others, with troubles. Beside the rules of every event, what a job was called
 * last is compared with a model that knows nothing but who awaits whom and who was cancelled.
 */
class PipelineTest {
  private static final LevelRange OLD = new LevelRange(1, 3);
  private static final String SMALLER =
      "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 40.0";

  private static SimWorld world(long seed, String zones, LevelRange build, String next) {
    SimWorld w = new SimWorld(seed, 10, 30, zones, 60);
    w.restartAll(build, next);
    return w;
  }

  private static SimWorld world(long seed) {
    return world(seed, "aab", LevelRange.BUILD, "");
  }

  private static String id(int n) {
    return String.format("req-%06d", n);
  }

  /** A job of a graph: its shape and team vary with its number. */
  private static Map<String, Object> stage(int n, int... awaits) {
    String shape = n % 5 == 3 ? "ensemble" : "batch";
    Map<String, Object> m = SimJobs.job(n, shape, 1 + n % 3, n % 2, 2 + n % 4);
    m.put("owner", n % 7 == 0 ? "sound" : "vision");
    m.put("rank", awaits.length > 0 && n % 3 == 0 ? "urgent" : "idle");
    return awaits.length == 0 ? m : SimJobs.awaiting(m, awaits);
  }

  /** Graphs by name, as "job: jobs that it awaits". */
  private static final Map<String, String> SHAPES =
      Map.of(
          "chain", "0: 1:0 2:1 3:2 4:3 5:4",
          "fan out", "0: 1:0 2:0 3:0 4:0 5:0 6:0 7:0",
          "fan in", "0: 1: 2: 3: 4: 5:0,1,2,3,4",
          "diamond", "0: 1:0 2:0 3:0 4:1,2 5:2,3 6:4,5",
          "two levels", "0: 1: 2:0 3:0,1 4:1 5:2,3,4 6:5 7:5,0 8:7,6");

  /** Submits a graph from a number on; some jobs are withdrawn a while after. */
  private static void submit(SimWorld w, String graph, int base, Random r) {
    for (String job : graph.split(" ")) {
      int colon = job.indexOf(':');
      int n = base + Integer.parseInt(job.substring(0, colon));
      String[] names =
          job.substring(colon + 1).isEmpty() ? new String[0] : job.substring(colon + 1).split(",");
      int[] awaits = Arrays.stream(names).mapToInt(s -> base + Integer.parseInt(s)).toArray();
      long off = r.nextInt(12) == 0 ? 100 + r.nextInt(12_000) : 0;
      // Some are submitted when all that they await is over.
      long late = awaits.length > 0 && r.nextInt(8) == 0 ? 25_000 : 0;
      w.clock.after(late, () -> w.users.submitChained(stage(n, awaits), off));
    }
  }

  /** What each job must be called in the end. */
  private static void check(SimWorld w) {
    assertEquals(List.of(), w.broken());
    Map<String, String> expected = new HashMap<>();
    for (String id : new TreeSet<>(w.users.accepted)) {
      assertEquals(expect(w, id, expected), w.lastTold(id), id);
    }
    assertTrue(w.starts() > 0, "nothing ran");
    assertNull(w.diverged());
  }

  private static String expect(SimWorld w, String id, Map<String, String> known) {
    String is = known.get(id);
    if (is == null) {
      boolean off = w.rules.toldWithdrawn(id);
      for (String a : w.specs.get(id).awaits()) {
        off |= expect(w, a, known).equals("withdrawn");
      }
      is = off ? "withdrawn" : "done";
      known.put(id, is);
    }
    return is;
  }

  /** What happens while the graphs run. */
  enum Trouble {
    NONE,
    ONE_AFTER_THE_OTHER,
    ALL_AT_ONCE,
    STORE_AWAY,
    STORE_REFUSES_ONE,
    FROZEN_LEADER,
    CUT_FROM_STATE,
    ZONE_CUT,
    LATE_TRANSACTIONS,
    ANSWERS_LOST,
    CRASH_AND_LATE,
    MIXED_THEN_RISES,
    LIMITS_FALL,
    LIMITS_FALL_AND_CRASH
  }

  private static void trouble(SimWorld w, Trouble t, long seed) {
    Random r = new Random(seed);
    switch (t) {
      case NONE -> {}
      case ONE_AFTER_THE_OTHER -> {
        for (int i = 0; i < 9; i++) {
          String n = w.nodes.get(i % w.nodes.size());
          w.clock.after(3000 + 2500L * i, () -> w.crash(n, 300));
        }
      }
      case ALL_AT_ONCE -> {
        for (int at : new int[] {4000, 9000, 16_000}) {
          w.clock.after(at, () -> w.nodes.forEach(n -> w.crash(n, 200 + r.nextInt(1500))));
        }
      }
      case STORE_AWAY -> {
        w.clock.after(5000, () -> w.state().outage(true));
        w.clock.after(12_000, () -> w.state().outage(false));
      }
      case STORE_REFUSES_ONE -> {
        w.clock.after(4000, () -> w.state().refuse("n1", true));
        w.clock.after(24_000, () -> w.state().refuse("n1", false));
      }
      case FROZEN_LEADER ->
          w.clock.after(
              5000, () -> w.freeze(w.tables("n1").view().leader(), 9000, r.nextBoolean()));
      case CUT_FROM_STATE -> {
        w.clock.after(5000, () -> w.cutFromState("n0", true));
        w.clock.after(21_000, () -> w.healFromState("n0"));
      }
      case ZONE_CUT -> {
        w.clock.after(5000, () -> w.cutZone("n2", true));
        w.clock.after(30_000, () -> w.cutZone("n2", false));
      }
      case LATE_TRANSACTIONS -> w.state().lateCommits(0.2, 1800, seed);
      case ANSWERS_LOST -> {
        int[] n = new int[1];
        w.state().fate =
            (from, d) ->
                n[0]++ % 9 == 4
                    ? SimState.Fate.UNANSWERED
                    : n[0] % 11 == 5 ? SimState.Fate.LOST : SimState.Fate.APPLIED;
      }
      case CRASH_AND_LATE -> {
        w.state().lateCommits(0.2, 1800, seed);
        for (int i = 0; i < 6; i++) {
          w.clock.after(4000 + 4000L * i, () -> w.crash(w.nodes.get(r.nextInt(3)), 300));
        }
      }
      case MIXED_THEN_RISES, LIMITS_FALL, LIMITS_FALL_AND_CRASH -> {
        for (int i = 0; i < w.nodes.size(); i++) {
          String n = w.nodes.get(i);
          w.clock.after(
              2000 + 3000L * i,
              () -> {
                w.levels.remove(n);
                w.crash(n, 1000);
              });
        }
        if (t != Trouble.MIXED_THEN_RISES) {
          long rolled = 2000 + 3000L * w.nodes.size() + 5000;
          w.clock.after(rolled, () -> w.state().fall(2, 4, 40));
        }
        if (t == Trouble.LIMITS_FALL_AND_CRASH) {
          w.clock.after(24_000, () -> w.nodes.forEach(n -> w.crash(n, 300)));
          w.clock.after(33_000, () -> w.crash(w.tables("n1").view().leader(), 300));
        }
      }
      default -> throw new AssertionError(t);
    }
  }

  static Stream<Arguments> cases() {
    return Arrays.stream(Trouble.values())
        .flatMap(
            t -> IntStream.range(0, 3).mapToObj(i -> Arguments.of(t, 700 + 10 * t.ordinal() + i)));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void graphsRunInOrderAndAreCancelledWhole(Trouble t, long seed) {
    boolean rolls = t.ordinal() >= Trouble.MIXED_THEN_RISES.ordinal();
    SimWorld w =
        world(
            seed,
            seed % 2 == 0 ? "aab" : "aabbb",
            rolls ? OLD : LevelRange.BUILD,
            rolls ? SMALLER : "");
    w.run(8000);
    Random r = new Random(seed);
    int base = 0;
    for (int round = 0; round < 3; round++) {
      for (String graph : new TreeSet<>(SHAPES.values())) {
        int from = base;
        w.clock.after(r.nextInt(25_000), () -> submit(w, graph, from, r));
        base += 20;
      }
    }
    trouble(w, t, seed);
    w.run(240_000);
    check(w);
    if (rolls) {
      assertEquals(LevelRange.BUILD.max(), w.tables("n0").level());
    }
    if (t == Trouble.LIMITS_FALL || t == Trouble.LIMITS_FALL_AND_CRASH) {
      assertEquals(List.of(), w.state().tooLarge, "sent what is larger than the next limits");
    }
  }

  // ---- acceptance ----

  private static int submit(SimWorld w, String node, Map<String, Object> job) {
    Response a = w.users.ask(node, "POST", "/api/jobs", w.users.describe(job));
    return a == null ? 0 : a.status();
  }

  @Test
  void whoMayBeNamed() {
    SimWorld w = world(760);
    w.run(8000);
    assertEquals(201, submit(w, "n0", stage(1)));
    assertEquals(201, submit(w, "n1", SimJobs.job(2, "daemon", 1, 1, 0)));
    assertEquals(201, submit(w, "n1", stage(3, 1, 1)), "named twice, accepted by another");
    assertEquals(422, submit(w, "n0", stage(4, 999)), "never accepted");
    assertEquals(422, submit(w, "n2", stage(4, 1, 999)), "one of two never accepted");
    assertEquals(422, submit(w, "n0", stage(5, 5)), "itself");
    assertEquals(422, submit(w, "n0", stage(6, 2)), "a service");
    w.run(30_000);
    assertEquals("done", phase(w, "n0", 3));
    // Long over: from one that has just started and has seen nothing of it.
    w.crash("n2", 300);
    w.run(8000);
    assertEquals(201, submit(w, "n2", stage(7, 1, 3)));
    assertEquals(200, submit(w, "n0", stage(7, 1, 3)), "a retry");
    assertEquals(200, w.users.ask("n0", "POST", "/api/jobs/" + id(2) + "/withdraw", null).status());
    w.run(20_000);
    assertEquals(201, submit(w, "n1", stage(8, 2)), "withdrawn already");
    assertEquals("withdrawn", phase(w, "n0", 8));
    assertEquals(200, submit(w, "n1", stage(8, 2)), "a retry");
    w.state().outage(true);
    w.run(2000);
    assertEquals(503, submit(w, "n0", stage(9, 999)), "nobody says so as of now");
    w.state().outage(false);
    w.run(5000);
    Map<String, Object> none = stage(10);
    none.put("awaits", null);
    assertEquals(201, submit(w, "n0", none));
    none = stage(11);
    none.put("awaits", List.of());
    assertEquals(201, submit(w, "n0", none));
    assertEquals(422, submit(w, "n1", stage(4, 999)), "still never accepted");
    assertEquals(201, submit(w, "n1", stage(4)));
  }

  @ParameterizedTest
  @CsvSource({"text, req-000001", "number, 7", "odd id, req-x", "odd list, [1]"})
  void malformedNames(String what, String value) {
    SimWorld w = world(761);
    w.run(6000);
    Map<String, Object> job = stage(20);
    job.put(
        "awaits",
        what.equals("text")
            ? value
            : what.equals("number") ? 7 : what.equals("odd id") ? List.of(value) : List.of(1));
    assertEquals(400, w.users.ask("n0", "POST", "/api/jobs", MessageCodec.encode(job)).status());
  }

  /** Before all have the new build nothing is written that the old one would read and run. */
  @Test
  void belowTheLevelTheyAreSentAway() {
    SimWorld w = world(762, "aab", OLD, "");
    w.run(8000);
    w.levels.remove("n0");
    w.crash("n0", 500);
    w.run(8000);
    assertEquals(201, submit(w, "n1", stage(1)));
    assertEquals(503, submit(w, "n0", stage(2, 1)));
    w.levels.remove("n1");
    w.crash("n1", 500);
    w.levels.remove("n2");
    w.crash("n2", 500);
    w.run(10_000);
    assertTrue(w.tables("n0").isOpen(Gate.AWAITS));
    assertEquals(201, submit(w, "n0", stage(2, 1)));
    w.run(30_000);
    assertEquals(List.of(), w.broken());
  }

  /** Far more names than a record holds; some are long over, some run, some wait. */
  @Test
  void hundredsOfNames() {
    SimWorld w = world(763, "aab", LevelRange.BUILD, SMALLER);
    w.run(8000);
    int[] names = IntStream.range(100, 400).toArray();
    for (int n : names) {
      Map<String, Object> job = SimJobs.job(n, "batch", 1, 0, 1 + n % 20);
      job.put("cores", 0.25);
      w.clock.after((n - 100) * 60L, () -> w.users.submit(job, 0));
    }
    w.run(20_000);
    w.state().fall(2, 4, 40);
    w.users.submitChained(SimJobs.awaiting(SimJobs.job(900, "batch", 2, 1, 2), names), 0);
    w.users.submitChained(SimJobs.awaiting(SimJobs.job(901, "batch", 2, 1, 2), 900), 0);
    w.run(9000);
    w.nodes.forEach(n -> w.crash(n, 300));
    w.run(150_000);
    check(w);
    assertEquals("done", w.lastTold(id(901)));
    assertEquals(List.of(), w.state().tooLarge);
    assertTrue(w.state().keys().stream().noneMatch(k -> k.startsWith("w/a/")), "names are left");
  }

  private static String phase(SimWorld w, String node, int job) {
    return phase(w.users.ask(node, "GET", "/api/jobs/" + id(job), null));
  }

  private static String phase(Response a) {
    try {
      return Document.parse(a.body()).text("phase");
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  /**
   * The first of a chain of a hundred is cancelled, and whoever answered is gone at once: within
   * the time of a cancellation all say so, everywhere, also who has just started.
   */
  @ParameterizedTest
  @CsvSource({"0", "1", "2"})
  void aLongChainIsCancelledWhole(int trouble) {
    SimWorld w = world(770 + trouble);
    w.run(8000);
    for (int n = 0; n < 100; n++) {
      Map<String, Object> job = SimJobs.job(n, "batch", 1, 0, 30);
      w.users.submitChained(n == 0 ? job : SimJobs.awaiting(job, n - 1), 0);
    }
    w.run(25_000);
    assertEquals(100, w.users.accepted.size());
    w.users.asked.add(id(0));
    Response a = w.users.ask("n0", "POST", "/api/jobs/" + id(0) + "/withdraw", null);
    assertEquals(200, a.status());
    w.rules.withdrawn(id(0));
    switch (trouble) {
      case 0 -> w.kill("n0");
      case 1 -> w.nodes.forEach(n -> w.crash(n, 300));
      default -> w.state().refuse("n1", true);
    }
    w.nodes.remove(trouble == 0 ? "n0" : "");
    w.run(4000);
    String node = trouble == 2 ? "n2" : "n1";
    for (int n : new int[] {1, 50, 99}) {
      assertEquals("withdrawn", phase(w, node, n), "job " + n);
    }
    w.state().refuse("n1", false);
    w.run(120_000);
    check(w);
    assertEquals("withdrawn", w.lastTold(id(99)));
    assertTrue(w.state().keys().stream().noneMatch(k -> k.startsWith("w/j/")), "jobs are left");
  }

  /**
   * One that has just started does not know how those ended that a job awaits: until it has read
   * that it says neither that the job waits nor anything else, for someone was told that it is
   * withdrawn.
   */
  @Test
  void whoHasJustStartedSaysNothingOlder() {
    SimWorld w = world(775);
    w.run(8000);
    w.users.submit(SimJobs.job(1, "batch", 1, 1, 60), 0);
    w.users.submitChained(stage(2, 1), 0);
    w.users.submitChained(stage(3, 2), 0);
    w.run(4000);
    // The ends of those after it are never written.
    w.state().fate =
        (from, d) -> endsOne(d, id(2), id(3)) ? SimState.Fate.LOST : SimState.Fate.APPLIED;
    for (int n = 1; n < 4; n++) {
      w.users.asked.add(id(n));
    }
    assertEquals(200, w.users.ask("n0", "POST", "/api/jobs/" + id(1) + "/withdraw", null).status());
    w.rules.withdrawn(id(1));
    assertEquals("withdrawn", phase(w, "n1", 3));
    w.run(10_000);
    // Its own end is written and moved to its lasting place.
    w.state().force("w/d/" + id(1), Map.of("phase", "withdrawn", "tasks", 1L, "at", 1L));
    w.state().force("w/j/" + id(1), null);
    w.state().slowFinalsMs = 8000;
    w.crash("n2", 300);
    w.run(3000);
    Response a = w.users.ask("n2", "GET", "/api/jobs/" + id(3), null);
    assertTrue(a.status() == 503 || "withdrawn".equals(phase(a)), "older than what was told");
    w.run(8000);
    assertEquals("withdrawn", phase(w, "n2", 3));
    w.state().fate = (from, d) -> SimState.Fate.APPLIED;
    w.run(60_000);
    check(w);
  }

  private static boolean endsOne(Document txn, String... ids) {
    try {
      for (Document t : txn.documents("then")) {
        String key = t.textOrNull("write");
        boolean end = t.raw("v") instanceof Map<?, ?> m && m.containsKey("over");
        if (end && Arrays.stream(ids).anyMatch(i -> key.equals("w/j/" + i))) {
          return true;
        }
      }
      return false;
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  /**
   * What waits for others asks for no machines, holds nothing of a limit, and is in nobody's way.
   */
  @Test
  void whatWaitsForOthersIsInNobodysWay() {
    SimWorld w = world(780);
    w.run(8000);
    w.users.submit(SimJobs.job(1, "batch", 1, 1, 60), 0);
    w.run(2000);
    for (int n = 2; n < 12; n++) {
      // More than the limit, and than all machines, were they to start.
      w.users.submitChained(SimJobs.awaiting(SimJobs.job(n, "ensemble", 12, 4, 5), 1), 0);
    }
    w.run(12_000);
    int fleet = w.cloud.fleet();
    w.users.submit(SimJobs.job(30, "batch", 8, 1, 3), 0);
    w.run(12_000);
    assertEquals("done", phase(w, "n0", 30));
    assertEquals(fleet, w.cloud.fleet());
    assertEquals("pending", phase(w, "n1", 2));
  }

  /**
   * The last job's rank is lent to the first: by what is served first when there is little room.
   */
  @Test
  void rankIsCarriedBack() {
    SimWorld w = new SimWorld(781, 2, 2, "aaa", 60);
    w.run(8000);
    w.users.submit(SimJobs.job(1, "batch", 8, 1, 12), 0);
    w.run(4000);
    // Sixteen ordinary tasks wait; then comes a chain whose last job is urgent.
    w.users.submit(SimJobs.job(2, "batch", 16, 1, 20), 0);
    w.run(1000);
    Map<String, Object> first = SimJobs.job(3, "batch", 2, 1, 1);
    first.put("rank", "idle");
    w.users.submit(first, 0);
    Map<String, Object> last = SimJobs.awaiting(SimJobs.job(4, "batch", 1, 1, 1), 3);
    last.put("rank", "urgent");
    w.users.submitChained(last, 0);
    w.run(13_000);
    assertEquals("done", phase(w, "n0", 3), "the first was served as the last");
    assertEquals(List.of(), w.broken());
  }

  // ---- the switch ----

  /**
   * As many members as a transaction of today can change the view of, and a limit that is smaller
   * by the time of the next change: it does not grow with the members any more. Where the limit has
   * fallen before the switch, what does not fit into it is written after, and nobody places
   * meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"aaaabbb, false", "aaaabbb, true", "aabb, true", "aaaaabbbb, false"})
  void aFullViewOutlivesTheFall(String zones, boolean fallsFirst) {
    SimWorld w =
        new SimWorld(new SimSetup(790 + zones.length(), 10, 30).controllers(zones).txnOps(8));
    w.restartAll(OLD, SMALLER);
    w.run(10_000);
    int members = w.tables("n0").view().members().size();
    assertEquals(Math.min(7, zones.length()), members);
    for (int i = 0; i < 20; i++) {
      int n = i;
      w.clock.after(2000L * i, () -> w.users.submit(SimJobs.job(n, "batch", 3, 1, 4), 0));
    }
    if (fallsFirst) {
      w.state().fall(2, 4, 40);
    }
    for (String n : w.nodes) {
      w.levels.remove(n);
    }
    w.nodes.forEach(n -> w.crash(n, 500));
    w.run(25_000);
    assertEquals(LevelRange.BUILD.max(), w.tables("n0").level());
    if (!fallsFirst) {
      w.state().fall(2, 4, 40);
    }
    w.run(1000);
    w.crash(w.tables("n0").view().leader(), 4500);
    w.run(60_000);
    View v = w.tables("n0").view();
    assertEquals(zones.length(), v.members().size());
    assertEquals(List.of(), w.tables("n0").unfencedPartitions());
    check(w);
  }

  /** The rise is prompt: from the last controller's start to the gate open. */
  @ParameterizedTest
  @CsvSource({"aab, 5000", "aabbb, 5000", "aaaaabbbb, 5000"})
  void theRiseIsPrompt(String zones, long within) {
    SimWorld w = world(800, zones, OLD, SMALLER);
    w.run(10_000);
    for (String n : w.nodes) {
      assertEquals(3, w.tables(n).level());
      w.levels.remove(n);
      w.kill(n);
      w.run(3000);
      w.startNode(n);
    }
    long from = w.clock.nowMs();
    while (w.tables("n0").level() < LevelRange.BUILD.max() && w.clock.nowMs() - from < 60_000) {
      w.run(100);
    }
    assertTrue(w.clock.nowMs() - from < within, "took " + (w.clock.nowMs() - from));
    assertEquals(List.of(), w.broken());
  }

  /** The wait between a job's end and its successor's start is short, and no write stands there. */
  @Test
  void theNextStageStartsAtOnce() {
    SimWorld w = world(810);
    w.run(8000);
    for (int n = 0; n < 10; n++) {
      Map<String, Object> job = SimJobs.job(n, "batch", 1, 1, 2);
      w.users.submitChained(n == 0 ? job : SimJobs.awaiting(job, n - 1), 0);
    }
    w.run(60_000);
    Tables t = w.tables("n0");
    assertTrue(t.jobs().stream().allMatch(j -> j.dependencyState() == Job.DependencyState.READY));
    check(w);
    List<Double> delays = new ArrayList<>();
    w.nodes.forEach(n -> delays.add(w.metric(n, "wickdrift.stages.delay.ms")));
    double worst = delays.stream().mapToDouble(d -> d).max().orElse(0);
    assertTrue(worst > 0 && worst < 600, "from the last exit to the next start " + delays);
  }
}
