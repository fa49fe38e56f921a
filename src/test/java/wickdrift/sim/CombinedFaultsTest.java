package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.level.LevelRange;

/**
 * Faults beyond those that the operators list, alone and combined with one that they do list:
 * machines that no command reaches, late duplicates of reports, workers that restart at once, and
 * controllers that are left with only their workers. After the faults every job must finish and
 * every request must be answered.
 */
class CombinedFaultsTest {
  /** A fault that is not on the operators' lists. */
  enum PrimaryFault {
    ONE_MACHINE_UNREACHABLE_FOR_COMMANDS,
    HALF_A_ZONE_UNREACHABLE_FOR_COMMANDS,
    MACHINES_REPEATEDLY_UNREACHABLE_FOR_COMMANDS,
    DUPLICATE_REPORTS_SECONDS_LATE,
    DUPLICATE_REPORTS_LATER_THAN_A_LEASE,
    DUPLICATE_REPORTS_AND_MACHINE_DEATHS,
    IMMEDIATE_WORKER_RESTARTS,
    IMMEDIATE_WORKER_RESTARTS_AND_DUPLICATE_REPORTS,
    ISOLATED_FOLLOWER,
    ISOLATED_LEADER,
    ISOLATED_LEADER_AND_FOLLOWER
  }

  /** A fault that occurs together with a {@link PrimaryFault}. */
  enum ConcurrentFault {
    NONE,
    LEADER_CRASHES,
    VIEW_CHANGES,
    STATE_SERVICE_OUTAGE,
    CONTROLLER_PAUSED,
    LEVEL_UPGRADE
  }

  /** Combines every primary fault with every concurrent fault. */
  static Stream<Arguments> faultPairs() {
    return Arrays.stream(PrimaryFault.values())
        .flatMap(
            primary ->
                Arrays.stream(ConcurrentFault.values())
                    .map(concurrent -> Arguments.of(primary, concurrent)));
  }

  /** Schedules an action on the simulated clock. */
  private static void at(SimWorld world, long delayMs, Runnable action) {
    world.clock.after(delayMs, action);
  }

  /** Returns the leader in the view of the first node that has a view. */
  private static String currentLeader(SimWorld world) {
    return world.nodes.stream()
        .filter(n -> world.tables(n).view() != null)
        .findFirst()
        .map(n -> world.tables(n).view().leader())
        .orElse(world.nodes.get(0));
  }

  /** Cuts a controller off from the state service and its peers, but not from its workers. */
  private static void setIsolated(SimWorld world, String node, boolean isolated) {
    if (isolated) {
      world.cutFromState(node, false);
    } else {
      world.healFromState(node);
    }
    world.cutFromPeers(node, isolated);
  }

  /** Makes the first machines of zone a unreachable for commands, or reachable again. */
  private static void setUnreachableForCommands(SimWorld world, int machines, boolean unreachable) {
    int seen = 0;
    for (SimWorker worker : world.workers()) {
      if (worker.zone.equals("a") && seen++ < machines) {
        if (unreachable) {
          world.net.inboundBlocked.add(worker.address);
        } else {
          world.net.inboundBlocked.remove(worker.address);
        }
      }
    }
  }

  private static void injectPrimaryFault(SimWorld world, PrimaryFault fault, Random random) {
    switch (fault) {
      case ONE_MACHINE_UNREACHABLE_FOR_COMMANDS ->
          at(world, 14_000, () -> setUnreachableForCommands(world, 1, true));
      case HALF_A_ZONE_UNREACHABLE_FOR_COMMANDS -> {
        at(world, 14_000, () -> setUnreachableForCommands(world, 3, true));
        at(world, 90_000, () -> setUnreachableForCommands(world, 99, false));
      }
      case MACHINES_REPEATEDLY_UNREACHABLE_FOR_COMMANDS -> {
        for (int i = 0; i < 4; i++) {
          at(world, 14_000 + 9000 * i, () -> setUnreachableForCommands(world, 2, true));
          at(world, 20_000 + 9000 * i, () -> setUnreachableForCommands(world, 99, false));
        }
      }
      case DUPLICATE_REPORTS_SECONDS_LATE ->
          world.net.duplication = new SimNetwork.Duplication("/hello", 0.4, 8000, world.nodes);
      case DUPLICATE_REPORTS_LATER_THAN_A_LEASE ->
          world.net.duplication = new SimNetwork.Duplication("/hello", 0.3, 45_000, world.nodes);
      case DUPLICATE_REPORTS_AND_MACHINE_DEATHS -> {
        world.net.duplication = new SimNetwork.Duplication("/hello", 0.3, 45_000, world.nodes);
        for (int i = 0; i < 3; i++) {
          at(world, 15_000 + 6000 * i, () -> world.killMachine(random.nextInt(4)));
        }
      }
      case IMMEDIATE_WORKER_RESTARTS, IMMEDIATE_WORKER_RESTARTS_AND_DUPLICATE_REPORTS -> {
        if (fault == PrimaryFault.IMMEDIATE_WORKER_RESTARTS_AND_DUPLICATE_REPORTS) {
          world.net.duplication = new SimNetwork.Duplication("/hello", 0.3, 20_000, world.nodes);
        }
        for (int i = 0; i < 8; i++) {
          int n = i;
          at(world, 13_000 + 4000 * i, () -> world.workers().get(n % 5).restart());
        }
      }
      case ISOLATED_FOLLOWER, ISOLATED_LEADER, ISOLATED_LEADER_AND_FOLLOWER ->
          at(
              world,
              14_000,
              () -> {
                String leader = currentLeader(world);
                List<String> cut = new ArrayList<>();
                if (fault != PrimaryFault.ISOLATED_FOLLOWER) {
                  cut.add(leader);
                }
                for (String n : world.nodes) {
                  if (!n.equals(leader)
                      && cut.size()
                          < (fault == PrimaryFault.ISOLATED_LEADER_AND_FOLLOWER ? 2 : 1)) {
                    cut.add(n);
                  }
                }
                cut.forEach(n -> setIsolated(world, n, true));
                at(world, 45_000, () -> cut.forEach(n -> setIsolated(world, n, false)));
              });
      default -> throw new AssertionError(fault);
    }
  }

  private static void injectConcurrentFault(SimWorld world, ConcurrentFault fault) {
    switch (fault) {
      case NONE -> {}
      case LEADER_CRASHES -> {
        at(world, 20_000, () -> world.crash(currentLeader(world), 300));
        at(world, 33_000, () -> world.crash(currentLeader(world), 4000));
      }
      case VIEW_CHANGES -> {
        for (int i = 0; i < 8; i++) {
          String n = world.nodes.get(i % world.nodes.size());
          at(world, 16_000 + 3500L * i, () -> world.crash(n, 300));
        }
      }
      case STATE_SERVICE_OUTAGE -> {
        at(world, 22_000, () -> world.state().setOutage(true));
        at(world, 31_000, () -> world.state().setOutage(false));
      }
      case CONTROLLER_PAUSED -> at(world, 21_000, () -> world.pause("n1", 9000, true));
      case LEVEL_UPGRADE -> {
        for (String n : world.nodes) {
          at(
              world,
              15_000 + 3000L * world.nodes.indexOf(n),
              () -> {
                world.supportedLevels.remove(n);
                world.crash(n, 500);
              });
        }
      }
      default -> throw new AssertionError(fault);
    }
  }

  @ParameterizedTest
  @MethodSource("faultPairs")
  void everyJobFinishesAndNoRequestStaysUnanswered(
      PrimaryFault primary, ConcurrentFault concurrent) {
    long seed = 900 + 10L * primary.ordinal() + concurrent.ordinal();
    SimWorld world = new SimWorld(seed, 12, 30, "aab", 60);
    if (concurrent == ConcurrentFault.LEVEL_UPGRADE) {
      world.restartAll(new LevelRange(1, 3), "");
    }
    Random random = new Random(seed);
    List<String> finiteJobs =
        world.users.submitSmallJobs(random, 6000, 40_000, 15_000, n -> 4 + n % 9);
    injectPrimaryFault(world, primary, random);
    injectConcurrentFault(world, concurrent);
    at(
        world,
        100_000,
        () -> {
          world.net.duplication = null;
          world.rules.faultFreeSinceMs = world.clock.nowMs();
        });
    world.run(300_000);
    int rented = world.cloud.rentedCount;
    ClusterTest.assertJobsDoneAndRulesHeld(world, finiteJobs);
    // Faults must not cause mass rentals: at most one whole fleet is rented anew.
    assertTrue(rented <= 12 + 30, "rented " + rented);
    assertEquals(LevelRange.BUILD.max(), world.tables("n0").level());
  }

  /**
   * Once a machine is known to be unreachable for commands, nothing more is placed on it until
   * commands reach it again.
   */
  @Test
  void nothingIsPlacedOnAMachineUnreachableForCommands() {
    SimWorld world = new SimWorld(990, 4, 4, "aaa", 60);
    world.run(10_000);
    SimWorker worker = world.workers().get(0);
    world.net.inboundBlocked.add(worker.address);
    int[] slotsBefore = {-1};
    int[] placedWhileUnreachable = {0};
    int[] timesUpAgain = {0};
    long[] emptyAtMs = {0};
    boolean[] lost = {false};
    for (int t = 0; t < 90; t++) {
      at(
          world,
          500L * t,
          () -> {
            Machine knownMachine = world.tables("n0").machine(worker.name);
            String owner =
                knownMachine == null ? "n0" : knownMachine.owner(world.tables("n0").view());
            Machine ownedMachine = world.tables(owner).machine(worker.name);
            if (ownedMachine != null
                && (ownedMachine.unreachableForCommandsSinceMs() > 0
                    || ownedMachine.phase() != Machine.Phase.UP)) {
              placedWhileUnreachable[0] +=
                  slotsBefore[0] >= 0
                      ? Math.max(0, ownedMachine.slots().size() - slotsBefore[0])
                      : 0;
              slotsBefore[0] = ownedMachine.slots().size();
              emptyAtMs[0] =
                  emptyAtMs[0] == 0 && ownedMachine.slots().isEmpty()
                      ? world.clock.nowMs()
                      : emptyAtMs[0];
              timesUpAgain[0] += lost[0] && ownedMachine.phase() == Machine.Phase.UP ? 1 : 0;
              lost[0] |= ownedMachine.phase() != Machine.Phase.UP;
            }
          });
    }
    // The demand always exceeds the capacity of the other machines.
    for (int i = 0; i < 60; i++) {
      int n = i;
      at(world, 300L * i, () -> world.users.submit(SimJobs.job(n, "batch", 1, 1, 12), 0));
    }
    world.run(45_000);
    assertTrue(slotsBefore[0] >= 0, "the machine was never recorded as unreachable for commands");
    assertEquals(
        0, placedWhileUnreachable[0], "tasks placed on a machine that is unreachable for commands");
    // The worker's session ends within a lease, and with it the attempts that were never reported
    // as running there.
    assertTrue(emptyAtMs[0] > 0 && emptyAtMs[0] < 10_000 + 36_000, "empty at " + emptyAtMs[0]);
    assertTrue(lost[0], "the machine was not recorded as silent");
    assertEquals(
        0, timesUpAgain[0], "the machine counted as up again though no command reaches it");
    world.net.inboundBlocked.remove(worker.address);
    world.run(200_000);
    assertEquals(List.of(), world.violations());
    for (int i = 0; i < 60; i++) {
      assertEquals("done", world.lastReportedPhase(String.format("req-%06d", i)));
    }
  }

  /**
   * A worker that receives commands but whose reports reach no controller loses its tasks each time
   * its lease expires. Its answers to commands must not keep the machine from being recorded as
   * silent one lease after the last report; from then on nothing is placed there.
   */
  @Test
  void machineThatCannotReportIsRecordedAsSilent() {
    SimWorld world = new SimWorld(995, 4, 8, "aaa", 60);
    world.run(10_000);
    SimWorker worker = world.workers().get(0);
    world.net.outboundBlocked.add(worker.address);
    int[] timesWithTasks = new int[1];
    for (int i = 0; i < 60; i++) {
      int n = i;
      at(world, 300L * i, () -> world.users.submit(SimJobs.job(n, "batch", 1, 1, 12), 0));
    }
    // One lease, and about a second until a controller has noticed and recorded the silence.
    for (int t = 0; t < 40; t++) {
      at(world, 17_500 + 500L * t, () -> timesWithTasks[0] += worker.isEmpty() ? 0 : 1);
    }
    world.run(17_500);
    assertTrue(world.machineRecordedLost, "the machine was not recorded as silent");
    world.run(20_500);
    assertEquals(0, timesWithTasks[0], "samples in which the silent machine had tasks");
    world.run(120_000);
    assertEquals(List.of(), world.violations());
    for (int i = 0; i < 60; i++) {
      assertEquals("done", world.lastReportedPhase(String.format("req-%06d", i)));
    }
  }

  /**
   * A single report names a machine that does not exist, like a late duplicate from a machine that
   * was deleted. Nothing is recorded for that machine and nothing is placed on it.
   */
  @Test
  void lateReportOfADeletedMachineIsIgnored() {
    SimWorld world = new SimWorld(991, 1, 1, "aaa", 60);
    world.run(10_000);
    world.users.submit(SimJobs.job(1, "batch", 12, 1, 10), 0);
    for (int k = 0; k < 3; k++) {
      world.nodes.forEach(n -> world.sendReport(n, "i-000777", 0));
      world.run(2000);
    }
    for (String n : world.nodes) {
      Machine machine = world.tables(n).machine("i-000777");
      assertTrue(machine == null || machine.info() == null && machine.slots().isEmpty(), "at " + n);
    }
    world.run(120_000);
    assertEquals(List.of(), world.violations());
    assertEquals("done", world.lastReportedPhase("req-000001"));
  }

  /**
   * A machine dies with its tasks, and late duplicates of its reports reach all controllers for
   * much longer than its lease; in one case its owner has just restarted. The duplicates must not
   * delay the end of its tasks.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void duplicateReportsOfADeadMachineDoNotDelayItsExpiry(boolean ownerRestarts) {
    SimWorld world = new SimWorld(992, 3, 3, "aaa", 60);
    world.net.duplication = new SimNetwork.Duplication("/hello", 1.0, 60_000, world.nodes);
    world.run(10_000);
    world.users.submit(SimJobs.job(1, "batch", 12, 1, 100), 0);
    world.run(20_000);
    SimWorker worker = world.workers().get(0);
    String owner = world.ownerOf("n0", worker.name);
    assertTrue(
        !world.tables("n0").machine(worker.name).slots().isEmpty(), "no task runs on the machine");
    world.killMachine(0);
    if (ownerRestarts) {
      world.crash(owner, 300);
    }
    // One lease, for a restarted owner its grace period before that, and a few seconds to notice.
    world.run(16_000 + (ownerRestarts ? 3 * 16_000 : 0) + 6000);
    Machine machine = world.tables("n0").machine(worker.name);
    assertTrue(machine == null || machine.slots().isEmpty(), "the dead machine still has tasks");
    assertTrue(
        machine == null || machine.phase() != Machine.Phase.UP,
        "the dead machine still counts as up");
    world.net.duplication = null;
    world.run(250_000);
    assertEquals(List.of(), world.violations());
    assertEquals("done", world.lastReportedPhase("req-000001"));
  }

  /**
   * A job that must run in two zones was assigned to a partition that had machines of both, because
   * the other zone had no controller. That controller returns and owns the machines of its zone
   * again. Tasks that the job then loses in that zone must be placed there again.
   */
  @Test
  void partitionWithoutAZoneTransfersJobsThatNeedTheZone() {
    SimWorld world = new SimWorld(994, 12, 12, "aab", 60);
    world.run(8000);
    world.crash("n2", 30_000);
    world.run(10_000);
    for (int i = 0; i < 4; i++) {
      world.users.submit(SimJobs.job(i, "daemon", 2, 1, 0), 0);
    }
    world.run(10_000);
    assertEquals(8, world.startCount());
    for (int i = 0; i < 4; i++) {
      assertTrue(!world.tables("n0").job(String.format("req-%06d", i)).partition().equals("*"));
    }
    world.run(25_000);
    assertEquals(3, world.tables("n0").view().members().size());
    for (SimWorker worker : world.workers()) {
      if (worker.zone.equals("b") && !worker.isEmpty()) {
        worker.terminate();
      }
    }
    world.run(45_000);
    for (int i = 0; i < 4; i++) {
      for (int k = 0; k < 2; k++) {
        assertTrue(
            world.isRunning(String.format("req-%06d/%d", i, k)), "job " + i + " lacks task " + k);
      }
    }
    assertEquals(List.of(), world.violations());
  }

  /**
   * A worker that restarts at once has lost its tasks. This must be detected within seconds, long
   * before the machine would count as silent, and without renting another machine.
   */
  @Test
  void tasksOfAnImmediatelyRestartedWorkerRunAgain() {
    SimWorld world = new SimWorld(993, 2, 2, "aaa", 60);
    world.run(10_000);
    world.users.submit(SimJobs.job(1, "batch", 8, 1, 30), 0);
    world.run(12_000);
    world.workers().get(0).restart();
    world.run(9000);
    // The tasks of the restarted worker run again.
    int running = 0;
    for (int i = 0; i < 8; i++) {
      running += world.isRunning("req-000001/" + i) ? 1 : 0;
    }
    assertEquals(8, running);
    assertEquals(2, world.cloud.rentedCount);
    world.run(90_000);
    assertEquals(List.of(), world.violations());
    assertEquals("done", world.lastReportedPhase("req-000001"));
  }
}
