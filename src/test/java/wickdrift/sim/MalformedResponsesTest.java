package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.MalformedMessages.Sender;

/**
 * Malformed responses of the state service, the cloud or workers are counted, each cause is
 * recorded once, and all jobs finish after the responses are well-formed again.
 */
class MalformedResponsesTest {
  private static final int FIRST_CANCELLED_JOB = 100;
  private static final int CANCELLED_JOBS = 4;
  private static final long CANCEL_AFTER_MS = 25_000;

  @ParameterizedTest
  @EnumSource(names = {"STATE_SERVICE", "CLOUD", "WORKER"})
  void malformedResponsesAreCountedAndJobsFinish(Sender sender) {
    SimWorld world = new SimWorld(81 + sender.ordinal(), 3, 20, "aab", 60);
    List<String> finiteJobs = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int n = i;
      finiteJobs.add(String.format("req-%06d", n));
      world.clock.after(
          8000 + 700L * n, () -> world.users.submit(SimJobs.job(n, "batch", 2, 2, 15), 0));
    }
    // Cancelled while they run, so that commands are sent directly to their workers.
    for (int i = 0; i < CANCELLED_JOBS; i++) {
      world.users.submit(SimJobs.job(FIRST_CANCELLED_JOB + i, "batch", 1, 1, 300), CANCEL_AFTER_MS);
    }
    world.clock.after(12_000, () -> setMalformed(world, sender, true));
    world.clock.after(45_000, () -> setMalformed(world, sender, false));
    world.run(240_000);
    String metric =
        switch (sender) {
          case STATE_SERVICE -> "state.malformed";
          case CLOUD -> "cloud.malformed";
          default -> "workers.malformed";
        };
    assertTrue(world.metricSum("wickdrift." + metric) > 0, "no malformed response was counted");
    ClusterTest.assertJobsDoneAndRulesHeld(world, finiteJobs);
  }

  /**
   * Makes the responses of all hosts of this kind malformed, or all responses well-formed again.
   */
  private static void setMalformed(SimWorld world, Sender sender, boolean malformed) {
    List<String> hosts =
        switch (sender) {
          case STATE_SERVICE -> List.of(SimWorld.STATE_ADDRESS);
          case CLOUD -> List.of(SimWorld.CLOUD_ADDRESS);
          default -> world.workers().stream().map(m -> m.address).toList();
        };
    if (malformed) {
      world.net.hostsWithGarbledAnswers.addAll(hosts);
    } else {
      world.net.hostsWithGarbledAnswers.clear();
    }
  }

  @Test
  void eachCauseIsRecordedOnceUpToALimit() {
    MalformedMessages messages = new MalformedMessages();
    for (int i = 0; i < 1000; i++) {
      messages.record(Sender.CLOUD, "list", new BadMessage("no field"));
      messages.record(Sender.WORKER, "report", new BadMessage("value " + i));
    }
    assertEquals(1000, messages.count(Sender.CLOUD));
    assertEquals(1, messages.loggedCauses(Sender.CLOUD));
    assertEquals(1000, messages.count(Sender.WORKER));
    assertEquals(100, messages.loggedCauses(Sender.WORKER));
    assertEquals(0, messages.count(Sender.PEER));
  }
}
