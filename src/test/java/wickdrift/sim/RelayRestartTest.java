package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.PeerFrame;

/**
 * A controller that forwards reports to the owner of their machines ends and is back at once, while
 * packets to the owner are held back. The owner's replies to the reports of the ended process reach
 * its successor.
 */
class RelayRestartTest {
  private static final int GANGS = 16;
  private static final int MACHINES = 32;

  /** The only controller of zone b; it owns the machines there. */
  private static final String OWNER = "n2";

  private static final long CUT_MS = 12_000;
  private static final long STEP_MS = 1;
  private static final int MIN_FORWARDED = 8;

  /** For so long a forwarded report certainly waits for its reply. */
  private static final long WAITING_MS = 1000;

  private SimWorld world;
  private boolean holding;

  /** The controller that ends and is back at once; it is not the leader. */
  private String relay;

  private record ForwardedReport(String machine, long atMs) {}

  /** The reports that the relay's present process has forwarded, in order. */
  private final List<ForwardedReport> forwarded = new ArrayList<>();

  /** The reports that its ended process had forwarded. */
  private final List<ForwardedReport> forwardedBefore = new ArrayList<>();

  private SimNetwork.RequestOutcome outcomeOf(String from, String to, String path, byte[] body) {
    if (!to.equals("peer:" + OWNER)) {
      return SimNetwork.RequestOutcome.DELIVERED;
    }
    try {
      if (from.equals(relay)
          && PeerFrame.decode(ByteBuffer.wrap(body)) instanceof PeerFrame.RelayedReport report) {
        String machine = Document.parse(report.body()).text("host");
        forwarded.add(new ForwardedReport(machine, world.clock.nowMs()));
      }
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
    return holding ? SimNetwork.RequestOutcome.HELD : SimNetwork.RequestOutcome.DELIVERED;
  }

  private static String jobId(int gang) {
    return String.format("req-%06d", gang);
  }

  /** Returns the workers that hold a task which the stored state places on another machine. */
  private List<String> misplacedTasks() {
    List<String> misplaced = new ArrayList<>();
    for (int i = 0; i < GANGS; i++) {
      String task = jobId(i) + "/0";
      Job job = world.tables(OWNER).job(jobId(i));
      TaskState state = job == null ? null : job.task(0);
      String placedOn = state != null && state.isLive() ? state.machine().name() : "no machine";
      for (SimWorker worker : world.workers()) {
        if (worker.hasTask(task) && !worker.name.equals(placedOn)) {
          misplaced.add(task + " is on " + worker.name + ", placed on " + placedOn);
        }
      }
    }
    return misplaced;
  }

  /** The leader places tasks on the owner's machines while these can't report to their owner. */
  private void makeAnotherControllerLead() {
    if (world.tables(OWNER).view().leader().equals(OWNER)) {
      world.crash(OWNER, 12_000);
      world.run(40_000);
    }
    assertNotEquals(OWNER, world.tables(OWNER).view().leader());
  }

  /** Whether a report waits whose place in order was that of another machine's report before. */
  private boolean waitsInPlaceOfAnotherMachine() {
    for (int i = 0; i < Math.min(forwarded.size(), forwardedBefore.size()); i++) {
      boolean waits = forwarded.get(i).atMs >= world.clock.nowMs() - WAITING_MS;
      if (waits && !forwarded.get(i).machine.equals(forwardedBefore.get(i).machine)) {
        return true;
      }
    }
    return false;
  }

  private SimWorker worker(String name) {
    return world.workers().stream().filter(w -> w.name.equals(name)).findFirst().get();
  }

  private void runUntil(String condition, BooleanSupplier reached) {
    long deadlineMs = world.clock.nowMs() + CUT_MS;
    while (!reached.getAsBoolean()) {
      assertTrue(world.clock.nowMs() < deadlineMs, "not reached: " + condition);
      world.run(STEP_MS);
    }
  }

  /** Guards against a worker that executes the commands in the answer to another one's report. */
  @ParameterizedTest
  @ValueSource(longs = {6104, 6140, 6164, 6176, 6185, 6191})
  void replyToAnEndedProcessReachesNoWorkerOfItsSuccessor(long seed) {
    playRestart(seed, LevelRange.BUILD);
  }

  /** The same below the gate after which frames name their processes: an older build is there. */
  @ParameterizedTest
  @ValueSource(longs = {6104, 6140, 6164, 6176, 6185, 6191})
  void replyToAnEndedProcessReachesNoWorkerBelowTheGate(long seed) {
    playRestart(seed, new LevelRange(1, Gate.PEER_PROCESSES.level() - 1));
  }

  private void playRestart(long seed, LevelRange build) {
    world =
        new SimWorld(
            new SimSetup(seed, MACHINES, MACHINES)
                .controllers("aab")
                .gpusMax(200)
                .withWorkerTiming(28, 3)
                .cancelS(53));
    world.restartAll(build, "");
    world.net.faultScript = this::outcomeOf;
    world.run(12_000);
    assertEquals(build.max(), world.tables(OWNER).level());
    makeAnotherControllerLead();
    relay = world.tables(OWNER).view().leader().equals("n0") ? "n1" : "n0";
    holding = true;
    world.cutFromWorkers(OWNER);
    forwarded.clear();
    runUntil("reports are forwarded", () -> forwarded.size() >= MIN_FORWARDED);
    world.crash(relay, 15);
    forwardedBefore.addAll(forwarded);
    forwarded.clear();
    world.cutFromWorkers(relay);
    for (int i = 0; i < GANGS; i++) {
      Map<String, Object> job = SimJobs.job(i, "ensemble", 1, SimWorld.GPUS_PER_MACHINE, 60);
      job.put("region", "b");
      world.users.submit(job, 0);
    }
    world.run(6000);
    world.healFromWorkers(relay);
    // Without the worker that was first before, the others come in another order.
    world.net.cut(relay, worker(forwardedBefore.get(0).machine).address, false);
    runUntil("a report waits in the place of another", this::waitsInPlaceOfAnotherMachine);
    holding = false;
    world.net.releaseHeld();
    for (int i = 0; i < 1500; i++) {
      world.run(STEP_MS);
      assertEquals(List.of(), misplacedTasks(), "at " + world.clock.nowMs() + " ms");
    }
    world.healFromWorkers(OWNER);
    world.healFromWorkers(relay);
    world.run(200_000);
    ClusterTest.assertJobsDoneAndRulesHeld(
        world, IntStream.range(0, GANGS).mapToObj(RelayRestartTest::jobId).toList());
  }
}
