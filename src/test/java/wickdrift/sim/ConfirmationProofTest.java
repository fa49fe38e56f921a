package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.coordination.peers.RequestIds;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.PeerFrame;

/**
 * Messages that must not count as proof that only a machine's current owner commands its worker.
 */
class ConfirmationProofTest {
  /**
   * A controller that has lost the state service and its peers keeps renewing its workers' leases.
   * Duplicates of their reports reach the next owner, which is asked to confirm withdrawals. The
   * duplicates show an older epoch, so they do not prove that the workers obey the next owner.
   */
  @ParameterizedTest
  @ValueSource(longs = {4700, 4701, 4702})
  void duplicateReportWithAnOlderEpochProvesNothing(long seed) {
    SimWorld world = CancellationTest.worldWithRunningJobs(seed, 200);
    String isolated = world.tables("n0").view().leader();
    String confirmer = CancellationTest.otherController(world, isolated, "");
    world.state().setRefused(isolated, true);
    world.cutFromPeers(isolated, true);
    List<String> others = new ArrayList<>(world.nodes);
    others.remove(isolated);
    world.net.duplication = new SimNetwork.Duplication("/hello", 1, 300, others);
    others.forEach(world::cutFromWorkers);
    world.run(12_000);
    for (int i = 0; i < CancellationTest.JOBS; i++) {
      world.users.withdraw(CancellationTest.jobId(i), confirmer);
    }
    world.run(700);
    world.state().setOutage(true);
    world.run(45_000);
    world.net.duplication = null;
    others.forEach(world::healFromWorkers);
    world.state().setOutage(false);
    world.state().setRefused(isolated, false);
    world.cutFromPeers(isolated, false);
    world.run(200_000);
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  /**
   * A gang member that gave up waiting is told to continue in an answer that is still in transit.
   * It then starts once more although its last report shows it as ended, so that report does not
   * prove that the task stays stopped.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void lastReportOfAnEndedGangMemberDoesNotProveThatItStaysStopped(long seed) {
    SimWorld world = new SimWorld(seed, 8, 8, "aab", 60);
    world.run(8000);
    // Half the machines of each zone fetch slowly, so that gangs wait for their slower members.
    for (int worker : new int[] {0, 1, 4, 5}) {
      world.workers().get(worker).imageFetchMs = 80_000;
    }
    for (int i = 0; i < 4; i++) {
      world.users.submit(SimJobs.job(i, "ensemble", 2, 4, 60), 0);
    }
    while (world.workers().stream().noneMatch(SimWorker::gaveUpWaiting)) {
      world.run(1);
      assertTrue(world.clock.nowMs() < 120_000, "no gang member has given up waiting");
    }
    for (SimWorker worker : world.workers()) {
      long tick = worker.tick;
      if (worker.gaveUpWaiting()) {
        while (worker.tick == tick) {
          world.run(1);
        }
        // The report is in transit, and its answer will be held back.
        world.nodes.forEach(n -> world.net.cut(n, worker.address, true));
      }
    }
    for (int i = 0; i < 4; i++) {
      world.users.withdraw(String.format("req-%06d", i), world.nodes.get(i % 3));
    }
    world.run(2500);
    world.healMachines();
    world.run(100_000);
    assertEquals(List.of(), world.violations());
  }

  /** An owner does not answer a withdrawal frame that carries an epoch other than its own. */
  @Test
  void ownerAnswersOnlyUnderItsOwnEpoch() {
    SimWorld world = CancellationTest.worldWithRunningJobs(4710, 200);
    String owner = world.nodes.get(1);
    String asker = world.nodes.get(0);
    FrameHeader header = world.peerHeader(asker, owner);
    long epoch = world.epoch(owner);
    long revision = world.tables(owner).appliedRev();
    int[] answers = new int[1];
    world.net.listen(
        "peer:" + asker,
        (from, m, p, body, done) ->
            answers[0] += body[1] == PeerFrame.WITHDRAWAL_CONFIRMATION ? 1 : 0);
    List<String> machines = world.workers().stream().map(x -> x.name).toList();
    for (long askedEpoch : new long[] {epoch - 1, epoch + 1}) {
      world.deliverPeerFrame(
          owner,
          new PeerFrame.WithdrawalConfirmationRequest(
              header, 1, askedEpoch, revision, "req-000001", machines));
      world.run(300);
      assertEquals(0, answers[0], "answered under epoch " + askedEpoch);
    }
    world.deliverPeerFrame(
        owner,
        new PeerFrame.WithdrawalConfirmationRequest(
            header, 2, epoch, revision, "req-000001", machines));
    world.run(300);
    assertEquals(1, answers[0], "not answered under its own epoch");
  }

  /**
   * A build that counts its requests from one in each process could take the reply to an earlier
   * process's request for the reply to its own. It gets none, and its announcement counts.
   */
  @Test
  void requestWhoseNumberAnotherProcessMayUseIsNotAnswered() {
    SimWorld world = new SimWorld(4720, 8, 8);
    world.restartAll(new LevelRange(1, Gate.PEER_PROCESSES.level() - 1), "");
    world.run(10_000);
    String owner = world.nodes.get(1);
    String asker = world.nodes.get(0);
    FrameHeader header = FrameHeader.firstLayout(CancellationTest.controllerNumber(world, asker));
    int[] answers = new int[1];
    world.net.listen(
        "peer:" + asker,
        (from, m, p, body, done) ->
            answers[0] += body[1] == PeerFrame.WITHDRAWAL_CONFIRMATION ? 1 : 0);
    long epoch = world.epoch(owner);
    long notYetRead = world.tables(owner).appliedRev() + 1;
    for (long requestId : new long[] {1, new RequestIds("inc-other").next()}) {
      world.deliverPeerFrame(
          owner,
          new PeerFrame.WithdrawalConfirmationRequest(
              header, requestId, epoch, notYetRead, "req-000001", List.of()));
      world.run(300);
      assertEquals(RequestIds.isUnique(requestId) ? 1 : 0, answers[0], "request " + requestId);
      assertTrue(world.tables(owner).isWithdrawalAnnounced("req-000001"));
    }
  }
}
