package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.transport.Caller.Response;

/**
 * Whole days of three controllers on a simulated clock; every event is checked against the rules.
 */
class ClusterTest {
  private static List<String> load(SimWorld w, int jobs, long seed) {
    Random r = new Random(seed);
    List<String> finite = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      int number = i;
      int kind = r.nextInt(10);
      boolean off = r.nextInt(8) == 0;
      long withdrawAfter = off ? 1000 + r.nextInt(20_000) : 0;
      double seconds = 3 + r.nextInt(20);
      int tasks = 1 + r.nextInt(6);
      w.clock.after(
          r.nextInt(60_000),
          () ->
              w.users.submit(
                  kind < 2
                      ? SimJobs.job(number, "daemon", Math.min(tasks, 3), 1, 0)
                      : kind < 5
                          ? SimJobs.job(number, "ensemble", Math.min(tasks, 3), 2, seconds)
                          : SimJobs.job(number, "batch", tasks, 1, seconds),
                  withdrawAfter));
      if (kind >= 2 && !off) {
        finite.add(String.format("req-%06d", number));
      }
    }
    return finite;
  }

  static void check(SimWorld w, List<String> finite) {
    assertEquals(List.of(), w.broken());
    assertTrue(w.starts() > 0, "nothing ran");
    for (String id : finite) {
      assertEquals("done", w.lastTold(id), id);
    }
    assertNull(w.diverged());
  }

  @Test
  void aQuietDay() {
    SimWorld w = new SimWorld(1, 4, 30);
    List<String> finite = load(w, 40, 1);
    w.run(300_000);
    check(w, finite);
  }

  @Test
  void fromNoMachinesAtAll() {
    SimWorld w = new SimWorld(2, 0, 20);
    List<String> finite = load(w, 20, 2);
    w.run(300_000);
    check(w, finite);
  }

  private static void faulty(long seed, Consumer<SimWorld> more) {
    SimWorld w = new SimWorld(seed, 6, 30);
    List<String> finite = load(w, 40, seed);
    more.accept(w);
    w.run(420_000);
    check(w, finite);
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void controllersCrashOneByOneAndAllTogether(long seed) {
    faulty(
        seed,
        w -> {
          w.clock.after(20_000, () -> w.crash("n0", 6000));
          w.clock.after(45_000, () -> w.nodes.forEach(n -> w.crash(n, 5000)));
          w.clock.after(70_000, () -> w.crash("n1", 9000));
          w.clock.after(75_000, () -> w.crash("n2", 9000));
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void theStateServiceIsAway(long seed) {
    faulty(
        seed,
        w -> {
          w.clock.after(25_000, () -> w.state().outage(true));
          w.clock.after(50_000, () -> w.state().outage(false));
          w.clock.after(80_000, () -> w.state().refuse("n1", true));
          w.clock.after(110_000, () -> w.state().refuse("n1", false));
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33, 34})
  void aControllerIsCutFromTheStateAndItsTransactionsComeLate(long seed) {
    faulty(
        seed,
        w -> {
          w.clock.after(20_000, () -> w.cutFromState("n0", true));
          w.clock.after(50_000, () -> w.healFromState("n0"));
          w.clock.after(70_000, () -> w.cutFromState("n1", true));
          w.clock.after(71_000, () -> w.crash("n1", 4000));
          w.clock.after(95_000, () -> w.healFromState("n1"));
        });
  }

  @ParameterizedTest
  @ValueSource(longs = {41, 42, 43, 44})
  void machinesAreCutHangAndDie(long seed) {
    faulty(
        seed,
        w -> {
          w.clock.after(20_000, () -> w.cutMachine(1, true));
          w.clock.after(30_000, () -> w.hangMachine(2, 40_000));
          w.clock.after(35_000, w::healMachines);
          w.clock.after(50_000, () -> w.killMachine(3));
          w.clock.after(60_000, () -> w.cutMachine(0, true));
          w.clock.after(65_000, () -> w.crash("n0", 5000));
          w.clock.after(100_000, w::healMachines);
        });
  }

  @Test
  void aMachineFailsEveryTask() {
    faulty(51, w -> w.clock.after(3000, () -> w.sicken(2)));
  }

  /** Its leases hold, so no one takes over: the others have to pass its workers' reports on. */
  @Test
  void aControllerThatItsWorkersCannotReachLosesNoTask() {
    SimWorld w = new SimWorld(61, 6, 6);
    for (int i = 0; i < 12; i++) {
      w.users.submit(SimJobs.job(i, "daemon", 1, 1, 0), 0);
    }
    w.run(30_000);
    int starts = w.starts();
    assertEquals(12, starts);
    w.cutFromWorkers("n1");
    w.run(90_000);
    assertEquals(starts, w.starts(), "tasks were lost and started again");
    assertEquals(List.of(), w.broken());
  }

  /**
   * A placement held back by the network is applied long after its node was taken for dead, when
   * the others have used what is left of the team's limit: its part's record must make it fail.
   */
  @ParameterizedTest
  @ValueSource(longs = {71, 72, 73, 74, 75, 76})
  void latePlacementsDoNotPassALimit(long seed) {
    SimWorld w = new SimWorld(seed, 24, 24);
    w.run(8000);
    Random r = new Random(seed);
    for (int i = 0; i < 60; i++) {
      int n = i;
      w.clock.after(
          r.nextInt(20_000),
          () -> w.users.submit(SimJobs.job(n, "batch", 4, 1, 8 + r.nextInt(10)), 0));
    }
    for (int k = 0; k < 6; k++) {
      String node = "n" + k % 3;
      w.clock.after(2000 + 9000L * k, () -> w.cutFromState(node, true));
      w.clock.after(2000 + 9000L * k + 8500, () -> w.healFromState(node));
    }
    w.run(120_000);
    assertNull(w.diverged());
    assertEquals(List.of(), w.broken());
    assertTrue(w.starts() > 100, "started " + w.starts());
  }

  /**
   * Single transactions arrive seconds late, when their node has given up on them. The last three
   * days fail when a share of a limit that is given away late is not fenced.
   */
  @ParameterizedTest
  @ValueSource(longs = {201, 202, 203, 204, 205, 206, 58, 75, 263})
  void aPlacementThatWasGivenUpIsNotAppliedLater(long seed) {
    SimWorld w = new SimWorld(seed, 12, 12, 3, 18);
    w.run(8000);
    w.state().lateCommits(0.15, 2600, seed);
    Random r = new Random(seed);
    for (int i = 0; i < 70; i++) {
      Map<String, Object> job = SimJobs.job(i, "batch", 1 + r.nextInt(6), 1, 3 + r.nextInt(8));
      job.put("rank", List.of("urgent", "standard", "idle").get(r.nextInt(3)));
      w.clock.after(r.nextInt(40_000), () -> w.users.submit(job, 0));
    }
    w.run(60_000);
    w.state().lateCommits(0, 0, seed);
    w.run(90_000);
    assertEquals(List.of(), w.broken());
    assertNull(w.diverged());
    assertTrue(w.starts() > 100, "started " + w.starts());
  }

  /** Withdrawn just as the last task ends: one answer, and for ever the same. */
  @ParameterizedTest
  @ValueSource(longs = {81, 82, 83})
  void withdrawalsRaceWithTheEnd(long seed) {
    SimWorld w = new SimWorld(seed, 20, 20);
    w.run(8000);
    Random r = new Random(seed);
    for (int i = 0; i < 80; i++) {
      int n = i;
      w.clock.after(
          r.nextInt(60_000),
          () -> w.users.submit(SimJobs.job(n, "batch", 1, 1, 2), 2800 + r.nextInt(1600)));
    }
    w.run(120_000);
    assertEquals(List.of(), w.broken());
  }

  /**
   * The leader places a gang on a machine of another's part while that node fills it: the leader
   * must not take for room what the other's log has booked already.
   */
  @ParameterizedTest
  @ValueSource(longs = {91, 92, 93, 94})
  void theLeaderAndOwnersDoNotBookTheSameRoom(long seed) {
    SimWorld w = new SimWorld(seed, 14, 14);
    w.run(8000);
    Random r = new Random(seed);
    for (int i = 0; i < 160; i++) {
      int n = i;
      boolean gang = i % 3 == 0;
      w.clock.after(
          r.nextInt(400) + 5000L * (i / 20),
          () ->
              w.users.submit(
                  SimJobs.job(n, gang ? "ensemble" : "batch", 1, gang ? 4 : 1, 1 + r.nextInt(3)),
                  0));
    }
    w.run(120_000);
    assertEquals(List.of(), w.broken());
    assertEquals(0, w.full, "tasks refused for lack of room");
  }

  /** The controllers are in zone a. When b is cut off, no one renews the leases of its workers. */
  @ParameterizedTest
  @ValueSource(strings = {"daemon", "ensemble"})
  void whatMustLastGoesWhereAControllerIs(String shape) {
    SimWorld w = new SimWorld(7, 12, 12);
    w.run(8000);
    for (int i = 0; i < 5; i++) {
      Map<String, Object> job = SimJobs.job(i, shape, 1, 2, 1000);
      job.put("bundle", "img-" + i);
      w.users.submit(job, 0);
    }
    w.run(10_000);
    for (int i = 0; i < 5; i++) {
      assertEquals("a", w.zoneOf(String.format("req-%06d/0", i)));
    }
  }

  /**
   * Behind the cut n1 answers its workers for as long as its grace allows, and their tasks live on;
   * those that are cancelled meanwhile must be ended through the cloud.
   */
  @ParameterizedTest
  @ValueSource(longs = {111, 112, 113})
  void cancelledTasksBehindACutAreEndedInTime(long seed) {
    SimWorld w = new SimWorld(seed, 9, 9);
    w.run(8000);
    for (int i = 0; i < 12; i++) {
      w.users.submit(SimJobs.job(i, "daemon", 1, 1, 0), 12_100 + 30 * i);
    }
    w.run(12_000);
    assertEquals(12, w.starts());
    w.isolate("n1");
    w.run(80_000);
    assertEquals(List.of(), w.broken());
  }

  /** When another is gone, a node that has a part places on it at once. */
  @Test
  void aNodeThatHasAPartGoesOnWhenTheViewChanges() {
    SimWorld w = new SimWorld(8, 12, 12);
    w.run(8000);
    long epoch = w.epoch("n0");
    w.crash("n2", 60_000);
    while (w.epoch("n0") == epoch) {
      w.run(10);
    }
    for (int i = 0; i < 6; i++) {
      w.users.submit(SimJobs.job(i, "batch", 1, 1, 100), 0);
    }
    // A report interval with its slack would be 3.4 s.
    w.run(800);
    assertTrue(w.users.accepted.size() >= 3, "accepted " + w.users.accepted);
    for (String id : w.users.accepted) {
      assertEquals(1, w.placed("n0", id), id);
    }
  }

  /**
   * A controller stands still while its clocks run on, wakes with all timers due and with old
   * tables, and reads the news late. It must not take silence that it did not listen to for proof:
   * nothing that runs is lost, no machine is given up, whoever leads.
   */
  @ParameterizedTest(name = "{0} for {1} ms, timers first {2}")
  @CsvSource({
    "n0, 2500, true", "n0, 15000, true", "n0, 45000, true", "n0, 45000, false",
    "n1, 2500, true", "n1, 15000, false", "n1, 45000, true", "n1, 45000, false",
  })
  void aControllerStandsStillAndLosesNothing(String node, long ms, boolean timersFirst) {
    SimWorld w = new SimWorld(ms + node.charAt(1), 9, 9);
    w.run(8000);
    for (int i = 0; i < 18; i++) {
      w.users.submit(SimJobs.job(i, "daemon", 1, 2, 0), 0);
    }
    w.run(12_000);
    assertEquals(18, w.starts());
    w.state().slowReads(node, 700);
    w.freeze(node, ms, timersFirst);
    w.run(ms + 2000);
    w.state().slowReads(node, 0);
    w.run(60_000);
    assertEquals(List.of(), w.broken());
    assertEquals(18, w.starts(), "tasks were lost and started again");
    assertFalse(w.lost, "machines were taken for silent");
    assertEquals(0, w.cloud.deleted, "machines were given up");
    assertEquals(1.0, w.metric(node, "wickdrift.loop.pauses"));
  }

  /**
   * A machine is back just after its worker's lease has ended, through a peer, while its owner is
   * still writing that what ran there is lost: a command to run it once more would start it beside
   * its next attempt. Here writes take long, and n0 itself can't reach the workers again.
   */
  @ParameterizedTest
  @ValueSource(longs = {141, 142, 143, 144, 145, 146})
  void whatIsLostIsNotStartedAgainWhileThatIsWritten(long seed) {
    SimWorld w = new SimWorld(seed, 12, 12);
    w.run(8000);
    for (int i = 0; i < 16; i++) {
      w.users.submit(SimJobs.job(i, "batch", 1, 2, 300), 0);
    }
    w.run(9000);
    assertEquals(16, w.starts());
    w.state().slowWrites(1200);
    for (int i = 0; i < 12; i++) {
      int machine = i;
      w.clock.after(500 * i, () -> w.cutMachine(machine, false));
      w.clock.after(500 * i + 16_000 + 200 * (seed % 7), () -> w.healMachine(machine, "n0"));
    }
    w.run(60_000);
    assertEquals(List.of(), w.broken());
    assertTrue(w.starts() > 20, "nothing was lost");
  }

  /**
   * The view changes while n1 stands still, for less than its lease. What it then answers a worker
   * must not carry the old epoch: the worker would drop it, and stay while its lease runs out.
   */
  @Test
  void aWakingControllerAnswersUnderNoOldEpoch() throws BadMessage {
    SimWorld w = new SimWorld(132, 6, 6);
    w.run(8000);
    w.crash("n2", 8000);
    w.run(7800);
    long old = w.epoch("n1");
    String machine = "i-900000";
    for (int i = 1; !w.owner("n1", machine).equals("n1"); i++) {
      machine = "i-90000" + i;
    }
    w.state().slowReads("n1", 700);
    w.cutFromPeers("n1", true);
    w.freeze("n1", 2500, true);
    w.run(2520);
    assertEquals(old, w.epoch("n1"), "n1 has read the news already");
    assertTrue(w.epoch("n0") > old, "the view has not changed");
    Response[] got = w.report("n1", machine, old);
    w.run(3000);
    boolean stale = got[0].status() == 200 && Document.parse(got[0].body()).count("epoch") == old;
    assertFalse(stale, "answered under epoch " + old);
  }

  /** An outage keeps the view, and n1's lease with it, while n1 stands still for long. */
  @Test
  void silenceWhileStandingStillProvesNothing() {
    SimWorld w = new SimWorld(133, 9, 9);
    w.run(8000);
    w.state().outage(true);
    w.cutFromPeers("n1", true);
    w.cutFromWorkers("n1");
    w.freeze("n1", 30_000, true);
    w.run(29_000);
    w.healFromWorkers("n1");
    w.state().outage(false);
    w.run(30_000);
    assertEquals(List.of(), w.broken());
    assertFalse(w.lost, "machines were taken for silent");
  }

  /**
   * Cut from the state service alone, then granted a new lease before it reads that it was expelled
   * under the old one: it must not judge its former machines by the reports that it did not get.
   */
  @ParameterizedTest
  @ValueSource(strings = {"n0", "n1", "n2"})
  void aNewLeaseDoesNotReviveAnOldView(String node) {
    SimWorld w = new SimWorld(131, 9, 9);
    w.run(8000);
    for (int i = 0; i < 18; i++) {
      w.users.submit(SimJobs.job(i, "daemon", 1, 2, 0), 0);
    }
    w.run(12_000);
    assertEquals(18, w.starts());
    w.state().slowReads(node, 900);
    w.cutFromState(node, false);
    w.run(25_000);
    w.healFromState(node);
    w.run(5000);
    w.state().slowReads(node, 0);
    w.run(40_000);
    assertEquals(List.of(), w.broken());
    assertEquals(18, w.starts(), "tasks were lost and started again");
    assertFalse(w.lost, "machines were taken for silent");
    assertEquals(0, w.cloud.deleted, "machines were given up");
  }

  @ParameterizedTest
  @ValueSource(longs = {121, 122, 123, 124})
  void controllersStandStillOneAfterTheOther(long seed) {
    faulty(
        seed,
        w -> {
          w.clock.after(20_000, () -> w.freeze("n0", 14_000, true));
          w.clock.after(45_000, () -> w.freeze("n1", 40_000, false));
          w.clock.after(60_000, () -> w.freeze("n2", 3000, true));
          w.clock.after(95_000, () -> w.nodes.forEach(n -> w.freeze(n, 9000, seed % 2 == 0)));
        });
  }

  /**
   * Guests fill every machine. A gang of half the fleet does not wait as it would for others' work,
   * and empties its machines together, not one after the other.
   */
  @Test
  void aGangTakesItsMachinesFromGuestsAtOnce() {
    SimWorld w = new SimWorld(171, 8, 8, 3, 10_000);
    w.run(8000);
    Map<String, Object> guests = SimJobs.job(1, "batch", 200, 1, 1000);
    guests.put("rank", "idle");
    guests.put("checkpointEveryS", 10.0);
    guests.put("flushS", 1.0);
    w.users.submit(guests, 0);
    w.run(12_000);
    assertEquals(32, w.starts());
    Map<String, Object> gang = SimJobs.job(2, "ensemble", 4, 4, 100);
    gang.put("rank", "urgent");
    w.users.submit(gang, 0);
    w.run(6000);
    assertEquals(4, w.placed("n0", "req-000002"));
    w.run(20_000);
    assertEquals(List.of(), w.broken());
  }

  /**
   * Two leaders return the same machine: the first stands still before it reads the cloud's answer,
   * and by the time it does, the machine is gone and forgotten. Its record of that is then void,
   * and must not be written again and again.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aMachineReturnedTwiceIsNotRecordedForEver(boolean timersFirst) {
    SimWorld w = new SimWorld(181, 8, 8);
    w.run(8000);
    while (w.cloud.deleted == 0) {
      w.run(1);
    }
    w.freeze("n0", 8000, timersFirst);
    w.run(150_000);
    int commits = w.state().commits();
    w.run(30_000);
    assertTrue(w.state().commits() - commits < 10, "commits " + (w.state().commits() - commits));
    assertEquals(List.of(), w.broken());
  }

  /**
   * A guest's array of very many short tasks: what it writes is bounded by pages, not by tasks, and
   * who comes meanwhile is served as ever.
   */
  @Test
  void anArrayOfVeryManyTasksIsWrittenInBatches() {
    SimWorld w = new SimWorld(191, 12, 12, 3, 10_000);
    w.run(8000);
    Map<String, Object> array = SimJobs.job(1, "batch", 10_000, 0, 2);
    array.put("rank", "idle");
    array.put("cores", 0.25);
    array.put("memoryGb", 0.5);
    int before = w.state().commits();
    w.users.submit(array, 0);
    w.run(6000);
    w.users.submit(SimJobs.job(2, "daemon", 2, 1, 0), 0);
    w.users.submit(SimJobs.job(3, "batch", 4, 2, 5), 0);
    w.run(4000);
    assertEquals(2, w.placed("n0", "req-000002"));
    w.run(15_000);
    assertEquals("done", w.lastTold("req-000003"));
    w.run(120_000);
    assertEquals("done", w.lastTold("req-000001"));
    assertEquals(List.of(), w.broken());
    assertNull(w.diverged());
    // Pages of 900 bytes here: a quarter of what they are in service.
    int commits = w.state().commits() - before;
    assertTrue(commits < 10_000 / 4, commits + " transactions");
  }

  /** A class that should start within a second does not wait as long as others let guests be. */
  @Test
  void whoseAimIsShortStopsOthersSooner() {
    SimWorld w = new SimWorld(172, 4, 4, 3, 10_000);
    w.run(8000);
    w.users.submit(SimJobs.job(1, "batch", 40, 1, 1000), 0);
    w.run(12_000);
    assertEquals(16, w.starts());
    Map<String, Object> swift = SimJobs.job(2, "daemon", 1, 1, 0);
    swift.put("jobclass", "swift");
    swift.put("rank", "production");
    w.users.submit(swift, 0);
    // Others wait for 20 s before they stop what is no guest's; the worker's reports take most of
    // this.
    w.run(5000);
    assertEquals(1, w.placed("n0", "req-000002"));
  }

  /**
   * One machine takes longer to fetch a gang's image than the gang waits on another. The first
   * attempt must come to start: were it given up, so would be the fetch, time and again.
   */
  @Test
  void aGangWaitsForASlowFetch() {
    SimWorld w = new SimWorld(173, 2, 2, 3, 10_000);
    w.run(8000);
    w.workers().get(0).slowFetchMs = 75_000;
    Map<String, Object> gang = SimJobs.job(1, "ensemble", 2, 4, 5);
    gang.put("oneZone", false);
    w.users.submit(gang, 0);
    w.run(110_000);
    assertEquals("done", w.lastTold("req-000001"));
    assertEquals(List.of(), w.broken());
  }

  /** Nothing is there that would have to be heard of first: renting begins with the first job. */
  @Test
  void fromNothingRentingBeginsAtOnce() {
    SimWorld w = new SimWorld(151, 0, 20);
    w.clock.after(1300, () -> w.users.submit(SimJobs.job(1, "batch", 4, 1, 10), 0));
    w.run(3000);
    assertTrue(w.cloud.rented > 0, "nothing was rented");
  }

  /** Where machines run, none are rented while it is written that they do. */
  @Test
  void whereMachinesRunNoneAreRentedBeforeTheyReport() {
    SimWorld w = new SimWorld(152, 150, 300);
    w.run(400);
    w.state().slowWrites(600);
    for (int i = 0; i < 40; i++) {
      int n = i;
      w.clock.after(700, () -> w.users.submit(SimJobs.job(n, "batch", 15, 1, 10), 0));
    }
    w.run(15_000);
    assertTrue(w.cloud.rented < 165, "rented " + w.cloud.rented);
  }

  /** What waits does not wait for machines that may never come, nor are those rented for ever. */
  @Test
  void machinesThatNeverComeUpAreReplaced() {
    SimWorld w = new SimWorld(153, 0, 30);
    w.cloud.duds = 2;
    w.users.submit(SimJobs.job(1, "batch", 8, 1, 60), 0);
    w.run(24_000);
    assertEquals(8, w.starts());
    w.cloud.duds = 1000;
    for (int i = 2; i < 12; i++) {
      w.users.submit(SimJobs.job(i, "batch", 8, 1, 1), 0);
    }
    w.run(12_000);
    // Twenty machines' worth waits.
    assertTrue(w.cloud.rented <= 4 + 20 + 3, "rented " + w.cloud.rented);
    w.cloud.duds = 0;
    w.run(200_000);
    assertEquals(List.of(), w.broken());
    assertTrue(w.cloud.fleet() <= 2, "left: " + w.cloud.fleet());
  }

  /** Up before the answer that rented them, late, or never; lists old, and older than the last. */
  @ParameterizedTest
  @ValueSource(longs = {161, 162, 163})
  void bootsAndListsAsTheyCome(long seed) {
    SimWorld w = new SimWorld(seed, 2, 30);
    w.cloud.listLagMs = 2000;
    List<String> finite = load(w, 40, seed);
    for (int t = 5000; t < 60_000; t += 11_000) {
      w.clock.after(t, () -> w.cloud.duds = 2);
    }
    w.run(420_000);
    check(w, finite);
  }

  /** How many rooms were looked at for each task placed, on a day of so many machines. */
  private static double lookedAPlacement(int machines) {
    SimWorld w = new SimWorld(101, machines, machines, 5, 10_000);
    w.run(8000);
    w.users.submitMixed(101, 5);
    w.clock.after(9000, () -> w.crash("n3", 5000));
    w.run(60_000);
    assertEquals(List.of(), w.broken());
    assertNull(w.diverged());
    assertTrue(w.starts() > 800, "started " + w.starts());
    return w.total("wickdrift.rooms.looked") / w.total("wickdrift.tasks.placed");
  }

  /**
   * With a change of view every few seconds, a machine that has died is found silent by the owner
   * that it had all along: a change of view is no news of it.
   */
  @Test
  void silenceCountsThroughChangesOfView() {
    SimWorld w = new SimWorld(211, 12, 12);
    w.run(8000);
    int dead = 0;
    while (!w.owner("n0", w.workers().get(dead).name).equals("n0")) {
      dead++;
    }
    w.killMachine(dead);
    for (int i = 0; i < 4; i++) {
      w.crash(i % 2 == 0 ? "n1" : "n2", 5000);
      w.run(6500);
    }
    assertTrue(w.epoch("n0") >= 7, "epoch " + w.epoch("n0"));
    assertTrue(w.lost, "never found silent");
  }

  /**
   * Hundreds of jobs within two seconds: the controllers share the writes that the state service
   * allows without being told so by a 429, and what is accepted first starts before the last is.
   */
  @ParameterizedTest
  @CsvSource({"3, 201", "5, 201", "3, 202", "5, 202", "5, 203", "3, 205", "5, 205"})
  void submissionsAtOnceKeepToTheLimitOfWrites(int controllers, long seed) {
    SimWorld w =
        new SimWorld(
            new SimSetup(seed, 40, 40)
                .controllers("a".repeat(controllers))
                .gpusMax(10_000)
                .defaultTuning());
    w.run(8000);
    for (int i = 0; i < 800; i++) {
      int n = i;
      w.clock.after(i * 2000 / 800, () -> w.users.submit(SimJobs.job(n, "batch", 1, 0.1, 5), 0));
    }
    w.run(5000);
    assertTrue(w.users.accepted.size() > 150, "accepted " + w.users.accepted.size());
    assertTrue(w.users.accepted.size() < 800, "no queue, so nothing is shown");
    assertTrue(w.starts() > 50, "started " + w.starts());
    w.run(60_000);
    assertEquals(800, w.users.accepted.size());
    assertEquals(0, w.state().overWritten());
    assertEquals(List.of(), w.broken());
  }

  /**
   * A zone is cut off with its one controller, for longer than a worker's lease and than a silent
   * machine is kept elsewhere. The controller inside is the owner of all its machines, so that it
   * may answer them: what runs there lives, is not started again outside, and is there afterwards.
   */
  @ParameterizedTest
  @ValueSource(longs = {171, 172, 173, 174})
  void aZoneThatIsCutOffGoesOnInside(long seed) {
    SimWorld w = new SimWorld(seed, 16, 24, "aab", 60);
    w.run(8000);
    for (int i = 0; i < 12; i++) {
      w.users.submit(SimJobs.job(i, "daemon", 2, 1, 0), 0);
    }
    w.run(12_000);
    assertEquals(24, w.starts());
    w.cutZone("n2", true);
    w.run(45_000);
    w.cutZone("n2", false);
    w.run(30_000);
    assertEquals(List.of(), w.broken());
    assertEquals(0, w.killedByLease());
    assertEquals(24, w.starts());
    assertEquals(0, w.cloud.deleted, "machines behind the cut were deleted");
  }

  /** Where the cut zone's controller ends too, its tasks do, and are started elsewhere in time. */
  @ParameterizedTest
  @ValueSource(longs = {181, 182, 183, 184})
  void aZoneIsCutOffAndItsControllerCrashes(long seed) {
    SimWorld w = new SimWorld(seed, 12, 24, "aab", 60);
    List<String> finite = load(w, 40, seed);
    w.clock.after(30_000, () -> w.cutZone("n2", true));
    w.clock.after(36_000, () -> w.crash("n2", 5000));
    w.clock.after(80_000, () -> w.cutZone("n2", false));
    w.clock.after(85_000, () -> w.crash("n0", 5000));
    w.run(420_000);
    check(w, finite);
  }

  /** The rules hold at a large size, and a decision takes no more work than at a small one. */
  @Test
  void aThousandMachinesAndFiveControllers() {
    double few = lookedAPlacement(120);
    double many = lookedAPlacement(1000);
    assertTrue(many < 2 * few + 20, "looked at " + few + " of 120 and " + many + " of 1000");
  }
}
