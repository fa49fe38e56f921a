package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.PeerFrame;

/** What does not prove that a machine's owner, and nobody else, commands its worker. */
class ConfirmationProofTest {
  /**
   * A controller that has lost the state service and its peers goes on renewing its workers'
   * leases. Copies of their reports reach the next owner, who is asked: they show an older epoch,
   * so they prove nothing.
   */
  @ParameterizedTest
  @ValueSource(longs = {4700, 4701, 4702})
  void aCopyThatShowsAnOlderEpoch(long seed) {
    SimWorld w = CancellationTest.running(seed, 200);
    String alone = w.tables("n0").view().leader();
    String confirmer = CancellationTest.other(w, alone, "");
    w.state().refuse(alone, true);
    w.cutFromPeers(alone, true);
    List<String> others = new ArrayList<>(w.nodes);
    others.remove(alone);
    w.net.copies = new SimNet.Copies("/hello", 1, 300, others);
    others.forEach(w::cutFromWorkers);
    w.run(12_000);
    for (int i = 0; i < CancellationTest.JOBS; i++) {
      w.users.withdraw(CancellationTest.id(i), confirmer);
    }
    w.run(700);
    w.state().outage(true);
    w.run(45_000);
    w.net.copies = null;
    others.forEach(w::healFromWorkers);
    w.state().outage(false);
    w.state().refuse(alone, false);
    w.cutFromPeers(alone, false);
    w.run(200_000);
    ClusterTest.check(w, List.of());
  }

  /**
   * A gang member gave up waiting and is told to go on, in an answer that is under way: it starts
   * once more, though the last report shows it ended.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void anEndedTaskThatIsToldToGoOn(long seed) {
    SimWorld w = new SimWorld(seed, 8, 8, "aab", 60);
    w.run(8000);
    // One of two in each zone, so that gangs wait for the slower one.
    for (int m : new int[] {0, 1, 4, 5}) {
      w.workers().get(m).slowFetchMs = 80_000;
    }
    for (int i = 0; i < 4; i++) {
      w.users.submit(SimJobs.job(i, "ensemble", 2, 4, 60), 0);
    }
    while (w.workers().stream().noneMatch(SimWorker::gaveUpWaiting)) {
      w.run(1);
      assertTrue(w.clock.nowMs() < 120_000, "no member gives up");
    }
    for (SimWorker m : w.workers()) {
      long tick = m.tick;
      if (m.gaveUpWaiting()) {
        while (m.tick == tick) {
          w.run(1);
        }
        // The report is under way, and its answer will be held.
        w.nodes.forEach(n -> w.net.cut(n, m.address, true));
      }
    }
    for (int i = 0; i < 4; i++) {
      w.users.withdraw(String.format("req-%06d", i), w.nodes.get(i % 3));
    }
    w.run(2500);
    w.healMachines();
    w.run(100_000);
    assertEquals(List.of(), w.broken());
  }

  /** An owner that reads of another view than the one that it is asked under says nothing. */
  @Test
  void aQuestionUnderAnotherView() {
    SimWorld w = CancellationTest.running(4710, 200);
    String owner = w.nodes.get(1);
    String asker = w.nodes.get(0);
    int number = CancellationTest.number(w, asker);
    long epoch = w.epoch(owner);
    long rev = w.tables(owner).appliedRev();
    int[] answers = new int[1];
    w.net.listen(
        "peer:" + asker,
        (from, m, p, body, done) ->
            answers[0] += body[1] == PeerFrame.WITHDRAWAL_CONFIRMATION ? 1 : 0);
    List<String> machines = w.workers().stream().map(x -> x.name).toList();
    for (long asked : new long[] {epoch - 1, epoch + 1}) {
      w.frame(
          owner,
          new PeerFrame.WithdrawalConfirmationRequest(
              number, 1, asked, rev, "req-000001", machines));
      w.run(300);
      assertEquals(0, answers[0], "answered under epoch " + asked);
    }
    w.frame(
        owner,
        new PeerFrame.WithdrawalConfirmationRequest(number, 2, epoch, rev, "req-000001", machines));
    w.run(300);
    assertEquals(1, answers[0], "not answered under its own epoch");
  }
}
