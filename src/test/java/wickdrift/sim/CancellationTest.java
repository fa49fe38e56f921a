package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.PeerFrame;

/**
 * A cancellation that was confirmed is kept, whatever fails next. In every case the state service
 * refuses somebody alone, and a moment later it is away for all, for longer than a cancelled task
 * may stay; workers go on reporting to whom they reported before.
 */
class CancellationTest {
  static final int JOBS = 24;
  private static final long REFUSED_AT_MS = 24_000;

  /** Whom the state service refuses alone. */
  enum Refused {
    LEADER,
    OTHER,
    /** The one whom users ask. */
    CONFIRMER
  }

  /** What happens a moment before the state service is away for all. */
  enum Beside {
    NOTHING,
    CONFIRMER_BACK_AT_ONCE,
    REFUSED_BACK_AT_ONCE,
    REFUSED_ENDS,
    REFUSED_LOSES_PEERS,
    REFUSED_STANDS_STILL,
    LEADERS_CHANGE,
    DEAF,
    MUTE,
    HANGS
  }

  /** When users call jobs off. */
  enum When {
    BEFORE,
    IN_THE_REFUSAL,
    AT_THE_END_OF_JOBS
  }

  static Stream<Arguments> cases() {
    return Arrays.stream(Refused.values())
        .flatMap(
            r ->
                Arrays.stream(Beside.values())
                    .flatMap(
                        b -> Arrays.stream(When.values()).map(when -> Arguments.of(r, b, when))));
  }

  static String id(int i) {
    return String.format("req-%06d", i);
  }

  /** Of several images, so that the tasks come to machines of all parts. */
  private static Map<String, Object> job(int i, String shape, int tasks, double seconds) {
    Map<String, Object> job = SimJobs.job(i, shape, tasks, 1, seconds);
    job.put("bundle", "img-" + i);
    return job;
  }

  /** How many tasks a node's machines have, as it knows it. */
  private static int tasks(SimWorld w, String node) {
    return w.tables(node).machines().stream()
        .filter(m -> node.equals(m.owner(w.tables(node).view())))
        .mapToInt(m -> m.slots().size())
        .sum();
  }

  /** Jobs run, some on machines of every controller: of these seeds the first of which it holds. */
  static SimWorld running(long seed, double seconds) {
    for (long s = seed; s < seed + 100_000; s += 1000) {
      SimWorld w = new SimWorld(s, 14, 22, "aab", 60);
      w.run(8000);
      for (int i = 0; i < JOBS; i++) {
        w.users.submit(job(i, i % 3 == 0 ? "ensemble" : "batch", 1 + i % 3, seconds), 0);
      }
      w.run(REFUSED_AT_MS - 8000);
      if (w.starts() > JOBS && w.nodes.stream().allMatch(n -> tasks(w, n) > 0)) {
        return w;
      }
    }
    throw new AssertionError("nothing runs at some controller, whatever the seed");
  }

  static int number(SimWorld w, String node) {
    return w.tables(node).registry().numberOf(node);
  }

  static String other(SimWorld w, String than, String and) {
    return w.nodes.stream().filter(n -> !n.equals(than) && !n.equals(and)).findFirst().get();
  }

  private static void beside(SimWorld w, Beside b, String refused, String confirmer) {
    switch (b) {
      case NOTHING -> {}
      case CONFIRMER_BACK_AT_ONCE -> w.crash(confirmer, 300);
      case REFUSED_BACK_AT_ONCE -> w.crash(refused, 300);
      case REFUSED_ENDS -> w.crash(refused, 100_000);
      case REFUSED_LOSES_PEERS -> {
        w.cutFromPeers(refused, true);
        w.clock.after(50_000, () -> w.cutFromPeers(refused, false));
      }
      case REFUSED_STANDS_STILL -> w.freeze(refused, 30_000, true);
      case LEADERS_CHANGE -> {
        for (int i = 0; i < 10; i++) {
          String n = w.nodes.get(i % w.nodes.size());
          w.clock.after(6000L * i, () -> w.crash(n, 300));
        }
      }
      case DEAF -> {
        w.workers().stream().limit(3).forEach(m -> w.net.deaf.add(m.address));
        w.clock.after(50_000, w.net.deaf::clear);
      }
      case MUTE -> {
        w.workers().stream().limit(3).forEach(m -> w.net.mute.add(m.address));
        w.clock.after(50_000, w.net.mute::clear);
      }
      case HANGS -> {
        for (int i = 0; i < 4; i++) {
          w.hangMachine(i, 9000 + 4000L * i);
        }
      }
      default -> throw new AssertionError(b);
    }
  }

  /**
   * Half the jobs are called off. The other half are done in the end, every one that is called off
   * is told to be withdrawn, or done, and nothing of it is left.
   */
  @ParameterizedTest(name = "{0}, {1}, called off {2}")
  @MethodSource("cases")
  void theWordIsKept(Refused r, Beside b, When when) {
    long seed = 4000 + 100 * r.ordinal() + 10 * b.ordinal() + when.ordinal();
    SimWorld w = running(seed, when == When.AT_THE_END_OF_JOBS ? 15.5 : 90);
    String leader = w.tables("n0").view().leader();
    String refused = r == Refused.OTHER ? other(w, leader, "") : leader;
    String confirmer = r == Refused.CONFIRMER ? refused : other(w, leader, refused);
    int told = when == When.BEFORE ? -300 : 700;
    for (int i = 0; i < JOBS; i += 2) {
      String id = id(i);
      w.clock.after(1000 + told + 30L * i, () -> w.users.withdraw(id, confirmer));
    }
    w.clock.after(1000, () -> w.state().refuse(refused, true));
    w.clock.after(2900, () -> beside(w, b, refused, confirmer));
    w.clock.after(3000, () -> w.state().outage(true));
    w.clock.after(12_000, () -> w.state().refuse(refused, false));
    w.clock.after(48_000, () -> w.state().outage(false));
    w.run(3000);
    long known = w.users.asked.stream().filter(w.rules::toldWithdrawn).count();
    w.run(57_000);
    w.rules.calmSinceMs = w.clock.nowMs() + 45_000;
    w.run(240_000);
    List<String> finite = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      if (i % 2 > 0) {
        finite.add(id(i));
        continue;
      }
      String last = w.lastTold(id(i));
      assertTrue("withdrawn".equals(last) || "done".equals(last), id(i) + " is " + last);
      for (int k = 0; k < 3; k++) {
        assertTrue(!w.isOn(id(i) + "/" + k), "left: " + id(i) + "/" + k);
      }
    }
    ClusterTest.check(w, finite);
    if (when == When.IN_THE_REFUSAL && r != Refused.CONFIRMER) {
      // Else the meeting did not take place: the word was given, and then had to be kept.
      assertTrue(known >= JOBS / 4, "only " + known + " were told before the state service went");
    }
  }

  /**
   * Machines hang, or lose the network, while they fetch a job's image, or with the command to run
   * it still under way; the image comes all the same. Who was told that the job is withdrawn sees
   * none of it begin after that.
   */
  @ParameterizedTest(name = "{0}, {1} ms after it was placed")
  @MethodSource("moments")
  void nothingBeginsAfterTheWord(boolean hang, long afterMs) {
    SimWorld w = new SimWorld(4600 + afterMs, 14, 14, "aab", 60);
    w.run(8000);
    w.workers().forEach(m -> m.slowFetchMs = 5000);
    for (int i = 0; i < JOBS; i++) {
      w.users.submit(job(i, "batch", 2, 60), 0);
    }
    while (w.placed("n0", id(JOBS / 2)) == 0) {
      w.run(1);
    }
    w.run(afterMs);
    for (int m = 0; m < 14; m++) {
      if (hang) {
        w.hangMachine(m, 7000);
      } else {
        w.cutMachine(m, true);
      }
    }
    if (!hang) {
      w.clock.after(9000, w::healMachines);
    }
    List<String> off = List.copyOf(w.users.accepted);
    assertTrue(off.size() >= JOBS / 2);
    off.forEach(id -> w.users.withdraw(id, w.nodes.get(off.indexOf(id) % 3)));
    w.run(120_000);
    off.forEach(id -> assertEquals("withdrawn", w.lastTold(id)));
    ClusterTest.check(w, List.of());
  }

  static Stream<Arguments> moments() {
    return Stream.of(true, false)
        .flatMap(
            hang ->
                Stream.of(1L, 3L, 6L, 12L, 40L, 150L, 700L, 1500L, 3000L, 4500L)
                    .map(ms -> Arguments.of(hang, ms)));
  }

  /**
   * A worker's lease outlasts the time that a cancelled task has, and its machine hangs, or is cut
   * off, with the task on it, and the cloud, which could delete it, is away: the word comes only
   * once nothing is left there.
   */
  @ParameterizedTest(name = "cancel_s {0}, hangs: {1}")
  @CsvSource({"9, true", "9, false", "14, true", "14, false", "16, true", "16, false"})
  void aLeaseThatOutlastsACancellation(double cancelS, boolean hang) {
    SimWorld w =
        new SimWorld(
            new SimSetup(4990 + (long) cancelS, 14, 22).controllers("aab").cancelS(cancelS));
    w.run(8000);
    for (int i = 0; i < JOBS; i++) {
      w.users.submit(job(i, "batch", 1 + i % 2, 200), 0);
    }
    w.run(14_000);
    w.nodes.forEach(n -> w.net.cut(n, SimWorld.CLOUD, false));
    for (int m = 0; m < 7; m++) {
      if (hang) {
        w.hangMachine(m, 15_500);
      } else {
        w.cutMachine(m, true);
      }
    }
    for (int i = 0; i < JOBS; i++) {
      String id = id(i);
      w.clock.after(20L * i, () -> w.users.withdraw(id, w.nodes.get(id.charAt(9) % 3)));
    }
    w.clock.after(15_500, w::healMachines);
    w.run(100_000);
    for (int i = 0; i < JOBS; i++) {
      assertEquals("withdrawn", w.lastTold(id(i)));
    }
    ClusterTest.check(w, List.of());
  }

  /** An owner that the state service refuses and a peer tells stops what is called off at once. */
  @Test
  void anOwnerThatIsToldStopsAtOnce() {
    SimWorld w = running(4980, 200);
    String leader = w.tables("n0").view().leader();
    w.state().refuse(leader, true);
    for (int i = 0; i < JOBS; i++) {
      w.users.withdraw(id(i), other(w, leader, ""));
    }
    w.run(600);
    for (int i = 0; i < JOBS; i++) {
      assertTrue(w.rules.toldWithdrawn(id(i)), "no word of " + id(i));
      for (int k = 0; k < 3; k++) {
        assertTrue(!w.isOn(id(i) + "/" + k), "not stopped: " + id(i) + "/" + k);
      }
    }
    w.state().refuse(leader, false);
    w.run(60_000);
    ClusterTest.check(w, List.of());
  }

  /** Where nothing fails the word comes within a second, whoever owns the machines. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void theWordComesAtOnceWhereNothingFails(long seed) {
    SimWorld w = new SimWorld(4900 + seed, 12, 20, "aab", 60);
    w.run(8000);
    for (int i = 0; i < JOBS; i++) {
      w.users.submit(job(i, i % 4 == 0 ? "daemon" : "batch", 1 + i % 3, 60), 14_000 + 10 * i);
    }
    w.run(60_000);
    for (int i = 0; i < JOBS; i++) {
      assertEquals("withdrawn", w.lastTold(id(i)));
    }
    assertTrue(w.users.slowestWordMs < 1000, "the word took " + w.users.slowestWordMs + " ms");
    ClusterTest.check(w, List.of());
  }

  /**
   * An owner that neither the state service nor its peers reach goes on answering its workers:
   * nobody may say that what runs there is withdrawn until it surely can't any more, and nobody's
   * word but the owner's own proves that it knows.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noWordWhileAnOwnerCanNotKnow(boolean forged) {
    SimWorld w = running(4950, 200);
    String leader = w.tables("n0").view().leader();
    w.state().refuse(leader, true);
    w.cutFromPeers(leader, true);
    String confirmer = other(w, leader, "");
    for (int i = 0; i < JOBS; i++) {
      w.users.withdraw(id(i), confirmer);
    }
    // A question is no back door: the word is not in its answer either.
    Set<String> polled = new HashSet<>();
    for (int k = 1; k < 8; k++) {
      for (int i = 0; i < JOBS; i++) {
        String id = id(i);
        w.clock.after(
            100L * k,
            () ->
                w.users.poll(
                    confirmer,
                    id,
                    2000,
                    a -> {
                      if (a.status() == 200) {
                        polled.add(id);
                      }
                    }));
      }
    }
    w.run(300);
    if (forged) {
      // Answers that nobody was asked for, by all who might be, and one who is no controller.
      byte[] all = {-1, -1, -1, -1};
      for (int from : new int[] {0, 1, 2, 77}) {
        for (long question = 0; from != number(w, leader) && question < 200; question++) {
          w.frame(confirmer, new PeerFrame.WithdrawalConfirmation(from, question, all));
        }
      }
    }
    w.run(600);
    w.state().outage(true);
    w.run(45_000);
    // The others owned some of it, and the word came for that.
    List<String> told = w.users.asked.stream().filter(w.rules::toldWithdrawn).toList();
    polled.addAll(told);
    for (String id : polled) {
      for (int k = 0; k < 2; k++) {
        assertTrue(!w.isOn(id + "/" + k), "told, and still there: " + id);
      }
    }
    assertTrue(told.size() < JOBS, "the leader owned nothing of this");
    w.state().outage(false);
    w.state().refuse(leader, false);
    w.cutFromPeers(leader, false);
    w.run(200_000);
    for (int i = 0; i < JOBS; i++) {
      assertEquals("withdrawn", w.lastTold(id(i)));
    }
    ClusterTest.check(w, List.of());
  }

  /**
   * In a rollout some know nothing of the question. They count as those who do not know, and the
   * word comes once what they own of the job is over, which they learn from the state service.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void anOldBuildCountsAsOneThatDoesNotKnow(int old) {
    SimWorld w = running(4960 + old, 200);
    w.nodes.subList(0, old).forEach(w.oldFrames::add);
    for (int i = 0; i < JOBS; i++) {
      w.users.withdraw(id(i), w.nodes.get(i % 3));
    }
    w.run(15_000);
    for (int i = 0; i < JOBS; i++) {
      assertTrue(w.rules.toldWithdrawn(id(i)), "no word of " + id(i));
    }
    ClusterTest.check(w, List.of());
  }

  /** Frames that are malformed or of no known kind are dropped and counted; nothing changes. */
  @Test
  void badFramesAreDroppedAndCounted() {
    SimWorld w = running(4990, 60);
    String before = SimWorld.digest(w.tables("n1"));
    for (byte[] b : new byte[][] {{}, {3}, {3, 4, 1}, {3, 4, 1, 0, 0}, {3, 9, 1}, {9, 4, 1, 1}}) {
      w.net.at("peer:n1").serve("peer", "", "", b, a -> {});
    }
    assertEquals(4, w.metric("n1", "wickdrift.peers.malformed"));
    assertEquals(2, w.metric("n1", "wickdrift.peers.unknown"));
    assertEquals(before, SimWorld.digest(w.tables("n1")));
  }

  /** Whatever is asked about a job that is withdrawn, or can't be, is answered at once. */
  @Test
  void whatCanNotBeWithdrawnIsAnsweredAtOnce() {
    SimWorld w = new SimWorld(4970, 4, 4, "aab", 60);
    w.run(8000);
    w.users.submit(SimJobs.job(1, "batch", 1, 1, 2), 0);
    w.users.submit(SimJobs.job(2, "batch", 1, 1, 200), 0);
    w.users.submit(SimJobs.job(3, "batch", 1, 1, 200), 0);
    w.run(12_000);
    assertEquals("200 done", withdraw(w, "n0", "req-000001"));
    assertEquals("200 withdrawn", withdraw(w, "n0", "req-000002"));
    assertEquals("200 withdrawn", withdraw(w, "n1", "req-000002"));
    assertEquals("404", withdraw(w, "n2", "req-000009"));
    assertEquals("404", withdraw(w, "n2", "req-9"));
    w.state().outage(true);
    w.run(3000);
    assertEquals("200 done", withdraw(w, "n0", "req-000001"));
    assertEquals("503", withdraw(w, "n0", "req-000003"));
    assertEquals("503", withdraw(w, "n0", "req-000009"));
    w.crash("n2", 100);
    w.run(1000);
    assertEquals("503", withdraw(w, "n2", "req-000003"), "while it loads");
    w.state().outage(false);
    w.run(12_000);
    assertEquals("200 withdrawn", withdraw(w, "n2", "req-000003"));
    assertEquals(List.of(), w.broken());
  }

  private static String withdraw(SimWorld w, String node, String id) {
    w.users.asked.add(id);
    var a = w.users.ask(node, "POST", "/api/jobs/" + id + "/withdraw", new byte[0]);
    try {
      return a.status() == 200 ? "200 " + Document.parse(a.body()).text("phase") : "" + a.status();
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }
}
