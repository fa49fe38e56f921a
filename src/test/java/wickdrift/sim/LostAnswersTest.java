package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.MessageCodec;

/** Transactions whose answers are lost, or that are held up, keep users and placements waiting. */
class LostAnswersTest {
  private static final long SETTLED_MS = 8000;

  /** How long each submission waited for its answer, by job; none yet: not in it. */
  private static final class Waits {
    final Map<String, Long> byJob = new TreeMap<>();
    final List<Integer> statuses = new ArrayList<>();
  }

  private static SimWorld settled(long seed) {
    SimWorld w = new SimWorld(seed, 8, 8, "aab", 60);
    w.run(SETTLED_MS);
    return w;
  }

  private static void submit(SimWorld w, String node, int number, Waits waits) {
    Map<String, Object> job = SimJobs.job(number, "batch", 1, 1, 5);
    w.users.describe(job);
    long since = w.clock.nowMs();
    w.net
        .caller("user", () -> true)
        .call(
            node,
            "POST",
            "/api/jobs",
            MessageCodec.encode(job),
            5000,
            a -> {
              waits.statuses.add(a.status());
              waits.byJob.put((String) job.get("ref"), w.clock.nowMs() - since);
            });
  }

  private static boolean taken(Waits w) {
    return w.statuses.stream().allMatch(s -> s == 200 || s == 201);
  }

  /** Only the answers are lost: what is durable shows in the tables, and is answered from there. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void submissionsAreAnsweredFromTheTables(long seed) {
    SimWorld w = settled(seed);
    w.state().loseAnswers(1, seed);
    Waits waits = new Waits();
    for (int i = 0; i < 12; i++) {
      submit(w, w.nodes.get(i % 3), i, waits);
    }
    w.run(1200);
    assertEquals(12, waits.statuses.size(), "answered: " + waits.byJob);
    assertTrue(taken(waits), "statuses " + waits.statuses);
    w.state().loseAnswers(0, 1);
    w.run(60_000);
    assertEquals(List.of(), w.broken());
  }

  /** Placements go on as well: each is seen in the tables, and the next one is decided. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void placementsGoOn(long seed) {
    SimWorld w = settled(seed);
    w.state().loseAnswers(1, seed);
    for (int i = 0; i < 10; i++) {
      int number = i;
      w.clock.after(400L * i, () -> submit(w, w.nodes.get(number % 3), number, new Waits()));
    }
    w.run(400 * 10 + 4500);
    assertEquals(10, w.starts(), "started");
    assertEquals(List.of(), w.broken());
  }

  /** A held up batch is overtaken and sent again; when it arrives after all it changes nothing. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aBatchThatIsHeldUpIsOvertakenAndSentAgain(long seed) {
    SimWorld w = settled(seed);
    w.state().lateCommits(1, 6000, seed);
    Waits first = new Waits();
    submit(w, "n0", 1, first);
    while (w.state().lateWrites == 0) {
      w.run(1);
    }
    w.state().lateCommits(0, 0, 1);
    Waits next = new Waits();
    submit(w, "n0", 2, next);
    w.run(500);
    assertEquals(1, next.statuses.size(), "the next batch waits for the first");
    w.run(900);
    assertEquals(1, first.statuses.size(), "the first is not sent again");
    assertTrue(taken(first) && taken(next), first.statuses + " and " + next.statuses);
    long stamp = w.tables("n1").job("req-000001").stamp();
    w.run(6000);
    assertTrue(
        w.tables("n1").job("req-000001") == null
            || w.tables("n1").job("req-000001").stamp() == stamp,
        "the late transaction took the job once more");
    assertEquals(List.of(), w.broken());
  }

  /** A withdrawal of which only the answer is lost is confirmed at once. */
  @Test
  void aWithdrawalIsConfirmedFromTheTables() {
    SimWorld w = settled(9);
    w.users.submit(SimJobs.job(1, "batch", 2, 1, 100), 0);
    w.run(6000);
    w.state().loseAnswers(1, 9);
    w.users.withdraw("req-000001", "n0");
    w.run(1500);
    assertTrue(w.rules.toldWithdrawn("req-000001"), "no word");
    w.run(30_000);
    assertEquals(List.of(), w.broken());
  }
}
