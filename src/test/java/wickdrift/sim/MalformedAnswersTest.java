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

/** Answers that nobody can read: each is counted, each cause told once, and work goes on after. */
class MalformedAnswersTest {
  @ParameterizedTest
  @EnumSource(names = {"STATE_SERVICE", "CLOUD", "WORKER"})
  void areCountedAndWorkGoesOn(Sender sender) {
    SimWorld w = new SimWorld(81 + sender.ordinal(), 3, 20, "aab", 60);
    List<String> finite = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      int n = i;
      finite.add(String.format("req-%06d", n));
      w.clock.after(8000 + 700L * n, () -> w.users.submit(SimJobs.job(n, "batch", 2, 2, 15), 0));
    }
    w.clock.after(12_000, () -> garble(w, sender, true));
    w.clock.after(45_000, () -> garble(w, sender, false));
    w.run(240_000);
    String metric =
        switch (sender) {
          case STATE_SERVICE -> "state.malformed";
          case CLOUD -> "cloud.malformed";
          default -> "workers.malformed";
        };
    assertTrue(w.total("wickdrift." + metric) > 0, "none was counted");
    ClusterTest.check(w, finite);
  }

  private static void garble(SimWorld w, Sender sender, boolean on) {
    List<String> hosts =
        switch (sender) {
          case STATE_SERVICE -> List.of(SimWorld.STATE);
          case CLOUD -> List.of(SimWorld.CLOUD);
          default -> w.workers().stream().map(m -> m.address).toList();
        };
    if (on) {
      w.net.garbled.addAll(hosts);
    } else {
      w.net.garbled.clear();
    }
  }

  @Test
  void eachCauseIsToldOnceAndNotWithoutEnd() {
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
