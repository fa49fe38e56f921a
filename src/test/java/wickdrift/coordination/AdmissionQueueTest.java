package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** Who is let in next, and who makes way when the door is full. */
class AdmissionQueueTest {
  /** Written as {@code team/class/rank}. */
  private static JobSpec spec(String who) {
    String[] w = who.split("/");
    Map<String, Object> job = SimJobs.job(1, "batch", 1, 1, 5);
    job.put("owner", w[0]);
    job.put("jobclass", w[1]);
    job.put("rank", w[2]);
    try {
      return JobSpec.parse(Document.parse(MessageCodec.encode(job)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static AdmissionQueue<String> door(int most, String... waiting) {
    AdmissionQueue<String> d = new AdmissionQueue<>(most);
    for (String w : waiting) {
      d.offer(spec(w), w);
    }
    return d;
  }

  private static String order(AdmissionQueue<String> d, int n) {
    StringBuilder b = new StringBuilder();
    for (int i = 0; i < n; i++) {
      String s = d.poll();
      b.append(s == null ? "-" : s.substring(0, 1));
    }
    return b.toString();
  }

  /** Who waits, in the order in which they came, by team; and in which order they leave. */
  @ParameterizedTest
  @CsvSource({
    // Alone: as they came. Two of one rank: in turns, however many more the first has sent.
    "aaa, aaa-",
    "aaaab, abaaa",
    "aaaabbb, abababa",
    "aabbcc, abcabc"
  })
  void teamsOfOneRankTakeTurns(String came, String leave) {
    AdmissionQueue<String> d = new AdmissionQueue<>(99);
    for (char c : came.toCharArray()) {
      d.offer(spec(c + "/x/standard"), c + "/x/standard");
    }
    assertEquals(leave, order(d, leave.length()));
  }

  /** Higher ranks leave more often, and none waits for ever. */
  @Test
  void ranksLeaveByWeight() {
    AdmissionQueue<String> d = new AdmissionQueue<>(1000);
    for (String rank : List.of("production", "urgent", "standard", "idle")) {
      for (int i = 0; i < 100; i++) {
        d.offer(spec("t/" + rank + "/" + rank), rank);
      }
    }
    Map<String, Integer> left = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      left.merge(d.poll(), 1, Integer::sum);
    }
    assertEquals(Map.of("production", 40, "urgent", 30, "standard", 20, "idle", 10), left);
  }

  @Test
  void whoComesAnewHasSavedUpNothing() {
    AdmissionQueue<String> d =
        door(99, "a/x/standard", "a/x/standard", "a/x/standard", "a/x/standard");
    assertEquals("aaa", order(d, 3));
    d.offer(spec("a/x/standard"), "a");
    for (int i = 0; i < 3; i++) {
      d.offer(spec("b/x/standard"), "b");
    }
    // Not three of b first, for the three that a has had while b was away.
    assertEquals("babab", order(d, 5));
  }

  @Test
  void aSwarmMakesWayForAnother() {
    AdmissionQueue<String> d = new AdmissionQueue<>(3);
    for (String s : List.of("1", "2", "3")) {
      assertNull(d.offer(spec("swarm/x/idle"), s));
    }
    assertEquals("4", d.offer(spec("swarm/x/idle"), "4"), "its own are no longer than itself");
    assertEquals("3", d.offer(spec("other/y/idle"), "o"), "the last that the swarm sent");
    assertEquals(3, d.size());
    assertEquals("o12-", order(d, 4));
  }

  @Test
  void whatCouldNotBeWrittenIsNextAgain() {
    AdmissionQueue<String> d = door(99, "a/x/standard", "b/x/standard");
    d.offer(spec("a/x/standard"), "second");
    String first = d.poll();
    d.returnToFront(spec("a/x/standard"), first);
    assertEquals("abs", order(d, 3));
    assertTrue(d.isEmpty());
  }
}
