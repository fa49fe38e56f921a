package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
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
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.PeerFrame;

/**
 * A withdrawal that was confirmed to a user must hold whatever fails afterwards, and must not be
 * confirmed while a task of the job may still run or start. The danger is a controller that cannot
 * read the withdrawal from the state service while its workers keep reporting to it and it keeps
 * renewing their leases.
 */
class CancellationTest {
  /** Jobs that {@link #worldWithRunningJobs} submits. */
  static final int JOBS = 24;

  /** The simulated time at which {@link #worldWithRunningJobs} returns. */
  private static final long WORLD_READY_MS = 24_000;

  /** The one controller whose requests the state service refuses. */
  enum RefusedNode {
    LEADER,
    FOLLOWER,
    /** The leader, which also receives the users' withdraw requests. */
    LEADER_AS_CONFIRMER
  }

  /**
   * What else fails 100 ms before the state service becomes unavailable to all controllers. The
   * confirmer is the controller that receives the users' withdraw requests.
   */
  enum ConcurrentFault {
    NONE,
    CONFIRMER_RESTARTS,
    REFUSED_NODE_RESTARTS,
    REFUSED_NODE_CRASHES,
    REFUSED_NODE_LOSES_PEERS,
    REFUSED_NODE_PAUSES,
    CONTROLLERS_RESTART_IN_TURN,
    MACHINES_UNREACHABLE_FOR_COMMANDS,
    MACHINES_CANNOT_REPORT,
    MACHINES_HANG
  }

  /** When users withdraw jobs, relative to the refusal and to the end of the jobs. */
  enum WithdrawalTime {
    BEFORE_REFUSAL,
    DURING_REFUSAL,
    AS_JOBS_END
  }

  /** Combines every refused node, fault and withdrawal time. */
  static Stream<Arguments> faultCases() {
    return Arrays.stream(RefusedNode.values())
        .flatMap(
            refused ->
                Arrays.stream(ConcurrentFault.values())
                    .flatMap(
                        fault ->
                            Arrays.stream(WithdrawalTime.values())
                                .map(when -> Arguments.of(refused, fault, when))));
  }

  /** Returns the id of the job with this number. */
  static String jobId(int number) {
    return String.format("req-%06d", number);
  }

  /** Describes a job with an image of its own, so that tasks spread over all partitions. */
  private static Map<String, Object> job(int number, String shape, int tasks, double seconds) {
    Map<String, Object> job = SimJobs.job(number, shape, tasks, 1, seconds);
    job.put("bundle", "img-" + number);
    return job;
  }

  /** Returns how many tasks run on the machines that the node owns, according to its own tables. */
  private static int ownedTaskCount(SimWorld world, String node) {
    return world.tables(node).machines().stream()
        .filter(m -> node.equals(m.owner(world.tables(node).view())))
        .mapToInt(m -> m.slots().size())
        .sum();
  }

  /**
   * Returns a world in which every controller owns machines with running tasks. Not every seed
   * leads to this, so the first seed that does is used.
   */
  static SimWorld worldWithRunningJobs(long firstSeed, double seconds) {
    for (long seed = firstSeed; seed < firstSeed + 100_000; seed += 1000) {
      SimWorld world = new SimWorld(seed, 14, 22, "aab", 60);
      world.run(8000);
      for (int i = 0; i < JOBS; i++) {
        world.users.submit(job(i, i % 3 == 0 ? "ensemble" : "batch", 1 + i % 3, seconds), 0);
      }
      world.run(WORLD_READY_MS - 8000);
      if (world.startCount() > JOBS
          && world.nodes.stream().allMatch(n -> ownedTaskCount(world, n) > 0)) {
        return world;
      }
    }
    throw new AssertionError("with every seed some controller owns no running task");
  }

  /** Returns the number of the node in its own node registry. */
  static int controllerNumber(SimWorld world, String node) {
    return world.tables(node).registry().numberOf(node);
  }

  /** Returns a controller that is neither of the two. */
  static String otherController(SimWorld world, String excluded, String alsoExcluded) {
    return world.nodes.stream()
        .filter(n -> !n.equals(excluded) && !n.equals(alsoExcluded))
        .findFirst()
        .get();
  }

  /** Injects a fault, which ends within 100 seconds. */
  private static void injectConcurrentFault(
      SimWorld world, ConcurrentFault fault, String refusedNode, String confirmer) {
    switch (fault) {
      case NONE -> {}
      case CONFIRMER_RESTARTS -> world.crash(confirmer, 300);
      case REFUSED_NODE_RESTARTS -> world.crash(refusedNode, 300);
      case REFUSED_NODE_CRASHES -> world.crash(refusedNode, 100_000);
      case REFUSED_NODE_LOSES_PEERS -> {
        world.cutFromPeers(refusedNode, true);
        world.clock.after(50_000, () -> world.cutFromPeers(refusedNode, false));
      }
      case REFUSED_NODE_PAUSES -> world.pause(refusedNode, 30_000, true);
      case CONTROLLERS_RESTART_IN_TURN -> {
        for (int i = 0; i < 10; i++) {
          String n = world.nodes.get(i % world.nodes.size());
          world.clock.after(6000L * i, () -> world.crash(n, 300));
        }
      }
      case MACHINES_UNREACHABLE_FOR_COMMANDS -> {
        world.workers().stream().limit(3).forEach(m -> world.net.inboundBlocked.add(m.address));
        world.clock.after(50_000, world.net.inboundBlocked::clear);
      }
      case MACHINES_CANNOT_REPORT -> {
        world.workers().stream().limit(3).forEach(m -> world.net.outboundBlocked.add(m.address));
        world.clock.after(50_000, world.net.outboundBlocked::clear);
      }
      case MACHINES_HANG -> {
        for (int i = 0; i < 4; i++) {
          world.hangMachine(i, 9000 + 4000L * i);
        }
      }
      default -> throw new AssertionError(fault);
    }
  }

  /**
   * The state service refuses one controller, and two seconds later it is unavailable to all, for
   * longer than a cancelled task may keep running. Every withdrawn job must end as withdrawn or
   * done with no task left, and the other half of the jobs must finish.
   */
  @ParameterizedTest(name = "refused: {0}, fault: {1}, withdrawn: {2}")
  @MethodSource("faultCases")
  void confirmedWithdrawalHoldsThroughLaterFaults(
      RefusedNode role, ConcurrentFault fault, WithdrawalTime withdrawalTime) {
    long seed = 4000 + 100 * role.ordinal() + 10 * fault.ordinal() + withdrawalTime.ordinal();
    SimWorld world =
        worldWithRunningJobs(seed, withdrawalTime == WithdrawalTime.AS_JOBS_END ? 15.5 : 90);
    String leader = world.tables("n0").view().leader();
    String refusedNode = role == RefusedNode.FOLLOWER ? otherController(world, leader, "") : leader;
    String confirmer =
        role == RefusedNode.LEADER_AS_CONFIRMER
            ? refusedNode
            : otherController(world, leader, refusedNode);
    int withdrawalOffsetMs = withdrawalTime == WithdrawalTime.BEFORE_REFUSAL ? -300 : 700;
    for (int i = 0; i < JOBS; i += 2) {
      String id = jobId(i);
      world.clock.after(
          1000 + withdrawalOffsetMs + 30L * i, () -> world.users.withdraw(id, confirmer));
    }
    world.clock.after(1000, () -> world.state().setRefused(refusedNode, true));
    world.clock.after(2900, () -> injectConcurrentFault(world, fault, refusedNode, confirmer));
    world.clock.after(3000, () -> world.state().setOutage(true));
    world.clock.after(12_000, () -> world.state().setRefused(refusedNode, false));
    world.clock.after(48_000, () -> world.state().setOutage(false));
    world.run(3000);
    long confirmed =
        world.users.withdrawalRequested.stream().filter(world.rules::isWithdrawalConfirmed).count();
    world.run(57_000);
    world.rules.faultFreeSinceMs = world.clock.nowMs() + 45_000;
    world.run(240_000);
    List<String> finiteJobs = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      if (i % 2 > 0) {
        finiteJobs.add(jobId(i));
        continue;
      }
      String lastPhase = world.lastReportedPhase(jobId(i));
      assertTrue(
          "withdrawn".equals(lastPhase) || "done".equals(lastPhase), jobId(i) + " is " + lastPhase);
      for (int k = 0; k < 3; k++) {
        assertTrue(!world.isRunning(jobId(i) + "/" + k), "still running: " + jobId(i) + "/" + k);
      }
    }
    ClusterTest.assertJobsDoneAndRulesHeld(world, finiteJobs);
    if (withdrawalTime == WithdrawalTime.DURING_REFUSAL
        && role != RefusedNode.LEADER_AS_CONFIRMER) {
      // Without confirmations before the outage the test would not cover what it is meant to.
      assertTrue(confirmed >= JOBS / 4, "only " + confirmed + " were confirmed before the outage");
    }
  }

  /**
   * Machines hang or lose the network while a run command is in transit or while they fetch a job's
   * image, and the image still arrives. No task of the job may start after a user was told that the
   * job is withdrawn.
   */
  @ParameterizedTest(name = "hang: {0}, {1} ms after the job was placed")
  @MethodSource("faultTimes")
  void noTaskStartsAfterItsWithdrawalIsConfirmed(boolean hang, long afterMs) {
    SimWorld world = new SimWorld(4600 + afterMs, 14, 14, "aab", 60);
    world.run(8000);
    world.workers().forEach(m -> m.imageFetchMs = 5000);
    for (int i = 0; i < JOBS; i++) {
      world.users.submit(job(i, "batch", 2, 60), 0);
    }
    while (world.placedTaskCount("n0", jobId(JOBS / 2)) == 0) {
      world.run(1);
    }
    world.run(afterMs);
    for (int m = 0; m < 14; m++) {
      if (hang) {
        world.hangMachine(m, 7000);
      } else {
        world.cutMachine(m, true);
      }
    }
    if (!hang) {
      world.clock.after(9000, world::healMachines);
    }
    List<String> withdrawn = List.copyOf(world.users.accepted);
    assertTrue(withdrawn.size() >= JOBS / 2);
    withdrawn.forEach(id -> world.users.withdraw(id, world.nodes.get(withdrawn.indexOf(id) % 3)));
    world.run(120_000);
    withdrawn.forEach(id -> assertEquals("withdrawn", world.lastReportedPhase(id)));
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  /** Lists both kinds of fault at times that cover the command in transit and the image fetch. */
  static Stream<Arguments> faultTimes() {
    return Stream.of(true, false)
        .flatMap(
            hang ->
                Stream.of(1L, 3L, 6L, 12L, 40L, 150L, 700L, 1500L, 3000L, 4500L)
                    .map(ms -> Arguments.of(hang, ms)));
  }

  /**
   * The worker's lease is longer than the time within which a cancelled task must end. Its machine
   * hangs or is cut off with the task on it, and the cloud, which could delete the machine, is
   * unreachable. The withdrawal may be confirmed only once no task is left on the machine.
   */
  @ParameterizedTest(name = "cancel_s {0}, hangs: {1}")
  @CsvSource({"9, true", "9, false", "14, true", "14, false", "16, true", "16, false"})
  void withdrawalIsNotConfirmedWhileALongerLeaseKeepsTasksRunning(double cancelS, boolean hang) {
    SimWorld world =
        new SimWorld(
            new SimSetup(4990 + (long) cancelS, 14, 22).controllers("aab").cancelS(cancelS));
    world.run(8000);
    for (int i = 0; i < JOBS; i++) {
      world.users.submit(job(i, "batch", 1 + i % 2, 200), 0);
    }
    world.run(14_000);
    world.nodes.forEach(n -> world.net.cut(n, SimWorld.CLOUD_ADDRESS, false));
    for (int m = 0; m < 7; m++) {
      if (hang) {
        world.hangMachine(m, 15_500);
      } else {
        world.cutMachine(m, true);
      }
    }
    for (int i = 0; i < JOBS; i++) {
      String id = jobId(i);
      world.clock.after(20L * i, () -> world.users.withdraw(id, world.nodes.get(id.charAt(9) % 3)));
    }
    world.clock.after(15_500, world::healMachines);
    world.run(100_000);
    for (int i = 0; i < JOBS; i++) {
      assertEquals("withdrawn", world.lastReportedPhase(jobId(i)));
    }
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  /**
   * A controller that the state service refuses learns of a withdrawal from a peer. It must stop
   * the job's tasks at once, so that the withdrawal is confirmed without waiting for the state
   * service.
   */
  @Test
  void refusedOwnerStopsTasksAtOnceWhenAPeerReportsTheWithdrawal() {
    SimWorld world = worldWithRunningJobs(4980, 200);
    String leader = world.tables("n0").view().leader();
    world.state().setRefused(leader, true);
    for (int i = 0; i < JOBS; i++) {
      world.users.withdraw(jobId(i), otherController(world, leader, ""));
    }
    world.run(600);
    for (int i = 0; i < JOBS; i++) {
      assertTrue(world.rules.isWithdrawalConfirmed(jobId(i)), "no confirmation for " + jobId(i));
      for (int k = 0; k < 3; k++) {
        assertTrue(!world.isRunning(jobId(i) + "/" + k), "not stopped: " + jobId(i) + "/" + k);
      }
    }
    world.state().setRefused(leader, false);
    world.run(60_000);
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  /**
   * Without faults a withdrawal is confirmed within a second, whichever controllers own the tasks.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void withdrawalIsConfirmedWithinASecondWithoutFaults(long seed) {
    SimWorld world = new SimWorld(4900 + seed, 12, 20, "aab", 60);
    world.run(8000);
    for (int i = 0; i < JOBS; i++) {
      world.users.submit(job(i, i % 4 == 0 ? "daemon" : "batch", 1 + i % 3, 60), 14_000 + 10 * i);
    }
    world.run(60_000);
    for (int i = 0; i < JOBS; i++) {
      assertEquals("withdrawn", world.lastReportedPhase(jobId(i)));
    }
    assertTrue(
        world.users.slowestWithdrawalMs < 1000,
        "the slowest confirmation took " + world.users.slowestWithdrawalMs + " ms");
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  private static PeerFrame decodeFrame(byte[] body) {
    try {
      return PeerFrame.decode(ByteBuffer.wrap(body));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Delivers confirmations under the number of a request to the leader: from the other controllers,
   * from no controller (77), from an earlier process of the leader, in the first layout, and to an
   * earlier process of the confirmer.
   */
  private static void deliverForgedConfirmations(
      SimWorld world, String confirmer, String leader, long requestId) {
    FrameHeader genuine = world.peerHeader(leader, confirmer);
    List<FrameHeader> headers = new ArrayList<>();
    for (int from : new int[] {0, 1, 2, 77}) {
      if (from != genuine.from()) {
        headers.add(
            new FrameHeader(from, genuine.fromProcess(), genuine.to(), genuine.toProcess()));
      }
    }
    headers.add(new FrameHeader(genuine.from(), "inc-ended", genuine.to(), genuine.toProcess()));
    headers.add(new FrameHeader(genuine.from(), genuine.fromProcess(), genuine.to(), "inc-ended"));
    headers.add(FrameHeader.firstLayout(genuine.from()));
    byte[] allMachines = {-1, -1, -1, -1};
    for (FrameHeader header : headers) {
      world.deliverPeerFrame(
          confirmer, new PeerFrame.WithdrawalConfirmation(header, requestId, allMachines));
    }
  }

  /**
   * A controller that has lost the state service and its peers keeps answering its workers. No
   * other controller may confirm the withdrawal of a task there until the task certainly no longer
   * runs, and only the owner's own answer proves that it knows of the withdrawal: forged answers of
   * other controllers must not count.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void noConfirmationWhileAnIsolatedOwnerMayRunTheTasks(boolean forged) {
    SimWorld world = worldWithRunningJobs(4950, 200);
    String leader = world.tables("n0").view().leader();
    world.state().setRefused(leader, true);
    world.cutFromPeers(leader, true);
    Set<Long> requestIds = new HashSet<>();
    world.net.faultScript =
        (from, to, path, body) -> {
          if (to.equals("peer:" + leader)
              && decodeFrame(body) instanceof PeerFrame.WithdrawalConfirmationRequest request) {
            requestIds.add(request.requestId());
          }
          return SimNetwork.RequestOutcome.DELIVERED;
        };
    String confirmer = otherController(world, leader, "");
    for (int i = 0; i < JOBS; i++) {
      world.users.withdraw(jobId(i), confirmer);
    }
    // A poll must not report the withdrawal before it is confirmed either.
    Set<String> polled = new HashSet<>();
    for (int k = 1; k < 8; k++) {
      for (int i = 0; i < JOBS; i++) {
        String id = jobId(i);
        world.clock.after(
            100L * k,
            () ->
                world.users.poll(
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
    world.run(300);
    if (forged) {
      assertTrue(requestIds.size() >= 1, "the leader was not asked");
      requestIds.forEach(id -> deliverForgedConfirmations(world, confirmer, leader, id));
    }
    world.run(600);
    world.state().setOutage(true);
    world.run(45_000);
    // Withdrawals of jobs whose tasks the other controllers own are confirmed.
    List<String> confirmed =
        world.users.withdrawalRequested.stream()
            .filter(world.rules::isWithdrawalConfirmed)
            .toList();
    polled.addAll(confirmed);
    for (String id : polled) {
      for (int k = 0; k < 2; k++) {
        assertTrue(
            !world.isRunning(id + "/" + k), "reported as withdrawn but still running: " + id);
      }
    }
    assertTrue(confirmed.size() < JOBS, "the leader owned no task of these jobs");
    world.state().setOutage(false);
    world.state().setRefused(leader, false);
    world.cutFromPeers(leader, false);
    world.run(200_000);
    for (int i = 0; i < JOBS; i++) {
      assertEquals("withdrawn", world.lastReportedPhase(jobId(i)));
    }
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  /**
   * During a rollout some controllers run a build that does not know the frames about withdrawals.
   * They count as controllers that do not know of the withdrawal; it is confirmed once the tasks
   * that they own have ended, which they stop after reading the withdrawal from the state service.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3})
  void withdrawalIsConfirmedThoughOlderBuildsDoNotAnswerPeers(int olderNodes) {
    SimWorld world = worldWithRunningJobs(4960 + olderNodes, 200);
    world.nodes.subList(0, olderNodes).forEach(world.nodesIgnoringNewFrames::add);
    for (int i = 0; i < JOBS; i++) {
      world.users.withdraw(jobId(i), world.nodes.get(i % 3));
    }
    world.run(15_000);
    for (int i = 0; i < JOBS; i++) {
      assertTrue(world.rules.isWithdrawalConfirmed(jobId(i)), "no confirmation for " + jobId(i));
    }
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  /**
   * Peer frames that are malformed or of an unknown kind are dropped and counted, and change
   * nothing.
   */
  @Test
  void malformedAndUnknownFramesAreDroppedAndCounted() {
    SimWorld world = worldWithRunningJobs(4990, 60);
    String before = SimWorld.digest(world.tables("n1"));
    for (byte[] b : new byte[][] {{}, {3}, {3, 4, 1}, {3, 4, 1, 0, 0}, {3, 9, 1}, {9, 4, 1, 1}}) {
      world.net.serverAt("peer:n1").serve("peer", "", "", b, a -> {});
    }
    assertEquals(4, world.metric("n1", "wickdrift.peers.malformed"));
    assertEquals(2, world.metric("n1", "wickdrift.peers.unknown"));
    assertEquals(before, SimWorld.digest(world.tables("n1")));
  }

  /**
   * A withdraw request is answered at once for a job that is done, running, already withdrawn or
   * unknown, and while the state service is unavailable or the controller is still loading.
   */
  @Test
  void withdrawRequestIsAnsweredAtOnceInEveryJobState() {
    SimWorld world = new SimWorld(4970, 4, 4, "aab", 60);
    world.run(8000);
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 2), 0);
    world.users.submit(SimJobs.job(2, "batch", 1, 1, 200), 0);
    world.users.submit(SimJobs.job(3, "batch", 1, 1, 200), 0);
    world.run(12_000);
    assertEquals("200 done", withdraw(world, "n0", "req-000001"));
    assertEquals("200 withdrawn", withdraw(world, "n0", "req-000002"));
    assertEquals("200 withdrawn", withdraw(world, "n1", "req-000002"));
    assertEquals("404", withdraw(world, "n2", "req-000009"));
    assertEquals("404", withdraw(world, "n2", "req-9"));
    world.state().setOutage(true);
    world.run(3000);
    assertEquals("200 done", withdraw(world, "n0", "req-000001"));
    assertEquals("503", withdraw(world, "n0", "req-000003"));
    assertEquals("503", withdraw(world, "n0", "req-000009"));
    world.crash("n2", 100);
    world.run(1000);
    assertEquals("503", withdraw(world, "n2", "req-000003"), "the controller is still loading");
    world.state().setOutage(false);
    world.run(12_000);
    assertEquals("200 withdrawn", withdraw(world, "n2", "req-000003"));
    assertEquals(List.of(), world.violations());
  }

  /**
   * Sends a withdraw request and returns the status, followed by the phase if the status is 200.
   */
  private static String withdraw(SimWorld world, String node, String id) {
    world.users.withdrawalRequested.add(id);
    var answer = world.users.request(node, "POST", "/api/jobs/" + id + "/withdraw", new byte[0]);
    try {
      return answer.status() == 200
          ? "200 " + Document.parse(answer.body()).text("phase")
          : "" + answer.status();
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }
}
