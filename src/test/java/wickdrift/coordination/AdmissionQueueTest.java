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

/** Which submission is admitted next, and which one is dropped when the queue is full. */
class AdmissionQueueTest {
  /** Parses a submission written as {@code team/class/priority}. */
  private static JobSpec spec(String submission) {
    String[] fields = submission.split("/");
    Map<String, Object> job = SimJobs.job(1, "batch", 1, 1, 5);
    job.put("owner", fields[0]);
    job.put("jobclass", fields[1]);
    job.put("rank", fields[2]);
    try {
      return JobSpec.parse(Document.parse(MessageCodec.encode(job)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static AdmissionQueue<String> queueOf(int capacity, String... waiting) {
    AdmissionQueue<String> queue = new AdmissionQueue<>(capacity);
    for (String submission : waiting) {
      queue.offer(spec(submission), submission);
    }
    return queue;
  }

  private static String pollFirstLetters(AdmissionQueue<String> queue, int count) {
    StringBuilder order = new StringBuilder();
    for (int i = 0; i < count; i++) {
      String submission = queue.poll();
      order.append(submission == null ? "-" : submission.substring(0, 1));
    }
    return order.toString();
  }

  /** The teams of the submissions in the order of arrival, and in the order of admission. */
  @ParameterizedTest
  @CsvSource({
    // One team: in order of arrival. Several teams: in turns, however many each has queued.
    "aaa, aaa-",
    "aaaab, abaaa",
    "aaaabbb, abababa",
    "aabbcc, abcabc"
  })
  void teamsOfOnePriorityAlternate(String arrivals, String expectedOrder) {
    AdmissionQueue<String> queue = new AdmissionQueue<>(99);
    for (char team : arrivals.toCharArray()) {
      queue.offer(spec(team + "/x/standard"), team + "/x/standard");
    }
    assertEquals(expectedOrder, pollFirstLetters(queue, expectedOrder.length()));
  }

  /** Higher priorities are admitted more often, and none is starved. */
  @Test
  void prioritiesAreServedByWeight() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(1000);
    for (String priority : List.of("production", "urgent", "standard", "idle")) {
      for (int i = 0; i < 100; i++) {
        queue.offer(spec("t/" + priority + "/" + priority), priority);
      }
    }
    Map<String, Integer> polledByPriority = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      polledByPriority.merge(queue.poll(), 1, Integer::sum);
    }
    assertEquals(
        Map.of("production", 40, "urgent", 30, "standard", 20, "idle", 10), polledByPriority);
  }

  @Test
  void aTeamGainsNoCreditWhileItHasNothingQueued() {
    AdmissionQueue<String> queue =
        queueOf(99, "a/x/standard", "a/x/standard", "a/x/standard", "a/x/standard");
    assertEquals("aaa", pollFirstLetters(queue, 3));
    queue.offer(spec("a/x/standard"), "a");
    for (int i = 0; i < 3; i++) {
      queue.offer(spec("b/x/standard"), "b");
    }
    // Team b isn't admitted three times first for the three that a had while b had none queued.
    assertEquals("babab", pollFirstLetters(queue, 5));
  }

  @Test
  void theLongestLineLosesItsLastSubmissionWhenTheQueueIsFull() {
    AdmissionQueue<String> queue = new AdmissionQueue<>(3);
    for (String submission : List.of("1", "2", "3")) {
      assertNull(queue.offer(spec("swarm/x/idle"), submission));
    }
    assertEquals("4", queue.offer(spec("swarm/x/idle"), "4"), "refused: no other line is longer");
    assertEquals(
        "3", queue.offer(spec("other/y/idle"), "o"), "dropped: the last of the longest line");
    assertEquals(3, queue.size());
    assertEquals("o12-", pollFirstLetters(queue, 4));
  }

  @Test
  void aReturnedSubmissionIsPolledFirst() {
    AdmissionQueue<String> queue = queueOf(99, "a/x/standard", "b/x/standard");
    queue.offer(spec("a/x/standard"), "second");
    String first = queue.poll();
    queue.returnToFront(spec("a/x/standard"), first);
    assertEquals("abs", pollFirstLetters(queue, 3));
    assertTrue(queue.isEmpty());
  }
}
