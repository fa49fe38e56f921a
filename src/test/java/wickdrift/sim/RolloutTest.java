package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.bookkeeping.level.OperatorOverrides;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller.Response;

/**
 * Rolling upgrades of the controllers to a newer build while jobs run. The older build is this
 * build restricted to fewer levels, with its level announcements dropped by the state service
 * ({@link SimStateService#nodesWithoutLevels}); the real older build is tested with real processes,
 * outside CI.
 */
class RolloutTest {
  private static final int LATEST_LEVEL = LevelRange.BUILD.max();

  /** Creates a world whose controllers all run the build that knows no levels. */
  private static SimWorld worldOfOldBuild(long seed, String zones) {
    SimWorld world = new SimWorld(seed, 8, 30, zones, 40);
    // The constructor has started the controllers, but no event has run yet.
    for (String node : world.nodes) {
      world.kill(node);
      world.supportedLevels.put(node, LevelRange.FIRST);
      world.state().nodesWithoutLevels.add(node);
    }
    world.nodes.forEach(world::startNode);
    return world;
  }

  /** Submits jobs of all shapes; returns the ids of those that must finish. */
  private static List<String> submitJobs(SimWorld world, int jobs, long withinMs) {
    List<String> finiteJobs = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      int jobNumber = i;
      String shape = i % 10 == 0 ? "daemon" : i % 5 < 3 ? "ensemble" : "batch";
      int tasks = 1 + i % 4;
      boolean withdrawn = i % 7 == 6;
      world.clock.after(
          world.random.nextInt((int) withinMs),
          () ->
              world.users.submit(
                  SimJobs.job(
                      jobNumber, shape, Math.min(tasks, 3), 1 + jobNumber % 2, 3 + jobNumber % 15),
                  withdrawn ? 9000 : 0));
      if (i % 10 != 0 && !withdrawn) {
        finiteJobs.add(String.format("req-%06d", jobNumber));
      }
    }
    return finiteJobs;
  }

  /** Restarts a controller with the newest build. */
  private static void upgradeNode(SimWorld world, String node) {
    world.state().nodesWithoutLevels.remove(node);
    world.supportedLevels.remove(node);
    world.crash(node, 2000);
  }

  /** Restarts a controller with the build that knows no levels. */
  private static void rollBackNode(SimWorld world, String node) {
    world.state().nodesWithoutLevels.add(node);
    world.supportedLevels.put(node, LevelRange.FIRST);
    world.crash(node, 2000);
  }

  private static int levelOf(SimWorld world, String node) {
    return world.tables(node).level();
  }

  private static void assertJobsDoneAndRulesHeld(SimWorld world, List<String> finiteJobs) {
    assertEquals(List.of(), world.violations());
    for (String id : finiteJobs) {
      assertEquals("done", world.lastReportedPhase(id), id);
    }
    assertNull(world.describeDivergence());
  }

  /** Runs until all live nodes are at a level; fails after a minute of simulated time. */
  private static void runUntilLevel(SimWorld world, int wanted) {
    for (int i = 0; i < 60; i++) {
      if (world.nodes.stream().allMatch(n -> !world.isAlive(n) || levelOf(world, n) == wanted)) {
        return;
      }
      world.run(1000);
    }
    throw new AssertionError("level " + levelOf(world, world.nodes.get(0)));
  }

  private static void assertNoOldEncodingsLeft(SimWorld world) throws BadMessage {
    assertNotNull(world.state().value(NodeRegistry.CONVERTED_LEVEL_KEY));
    for (String key : world.state().keys()) {
      assertEquals(
          Tables.newestReadableEncoding(key) == Encoding.FIRST ? Encoding.FIRST : Encoding.NUMBERED,
          Encoding.versionOf(MessageCodec.decode(MessageCodec.encode(world.state().value(key)))),
          key);
    }
  }

  @ParameterizedTest
  @CsvSource({
    "aaa, 0 1 2",
    "aaa, 2 1 0",
    "aab, 1 0 2",
    "aaabb, 0 1 2 3 4",
    "aaabb, 4 3 2 1 0",
    "aabbb, 2 0 4 1 3",
    "aaaaabbbb, 0 1 2 3 4 5 6 7 8",
    "aaaaabbbb, 8 3 4 0 1 7 6 5 2"
  })
  void levelUpgradeFollowsNodeUpgradesInAnyOrder(String zones, String order) throws BadMessage {
    SimWorld world = worldOfOldBuild(300 + zones.length(), zones);
    List<String> finiteJobs = submitJobs(world, 60, 40_000 + 5000 * zones.length());
    world.run(8000);
    String[] nodes = order.split(" ");
    for (int i = 0; i < nodes.length; i++) {
      assertEquals(1, levelOf(world, "n" + nodes[nodes.length - 1]), "before " + nodes[i]);
      upgradeNode(world, "n" + nodes[i]);
      world.run(7000);
    }
    runUntilLevel(world, LATEST_LEVEL);
    world.run(150_000);
    assertJobsDoneAndRulesHeld(world, finiteJobs);
    assertNoOldEncodingsLeft(world);
  }

  @Test
  void rolloutCanBeRolledBackAndResumed() throws BadMessage {
    SimWorld world = worldOfOldBuild(311, "aaabb");
    List<String> finiteJobs = submitJobs(world, 60, 80_000);
    world.run(8000);
    for (String node : List.of("n0", "n1", "n3")) {
      upgradeNode(world, node);
      world.run(6000);
    }
    for (String node : List.of("n3", "n0", "n1")) {
      rollBackNode(world, node);
      world.run(6000);
    }
    assertEquals(1, levelOf(world, "n4"));
    // A node that was rolled back and is down counts with the levels of the old build.
    world.kill("n1");
    for (String node : List.of("n0", "n2", "n3", "n4")) {
      upgradeNode(world, node);
      world.run(6000);
    }
    world.run(20_000);
    assertEquals(1, levelOf(world, "n0"));
    upgradeNode(world, "n1");
    runUntilLevel(world, LATEST_LEVEL);
    world.run(150_000);
    assertJobsDoneAndRulesHeld(world, finiteJobs);
    assertNoOldEncodingsLeft(world);
  }

  /** A step of the rollout, recognized by the key that its transaction writes. */
  enum RolloutStep {
    NODE_RECORD(NodeRegistry.PREFIX),
    LEVEL_UPGRADE(View.KEY),
    ENCODING_MIGRATION("w/l/"),
    CONVERTED_LEVEL(NodeRegistry.CONVERTED_LEVEL_KEY);

    final String keyPrefix;

    RolloutStep(String prefix) {
      this.keyPrefix = prefix;
    }

    boolean isWrittenBy(Document transaction) {
      try {
        for (Document write : transaction.documents("then")) {
          String key = write.textOrNull("write");
          boolean numbered = write.raw("v") instanceof List<?>;
          if (key != null && key.startsWith(keyPrefix)) {
            return this == NODE_RECORD || this == CONVERTED_LEVEL || numbered;
          }
        }
        return false;
      } catch (BadMessage e) {
        throw new AssertionError(e);
      }
    }
  }

  /** The node that sends the transaction of a step crashes, whether or not it is applied. */
  @ParameterizedTest
  @EnumSource(RolloutStep.class)
  void rolloutCompletesWhenTheWriterOfAStepCrashes(RolloutStep step) throws BadMessage {
    for (SimStateService.TransactionOutcome fate : SimStateService.TransactionOutcome.values()) {
      SimWorld world = worldOfOldBuild(320 + step.ordinal(), "aab");
      List<String> finiteJobs = submitJobs(world, 40, 50_000);
      int[] crashesLeft = {3};
      world.state().outcomeOf =
          (from, transaction) -> {
            if (!step.isWrittenBy(transaction) || crashesLeft[0] == 0 || !world.isAlive(from)) {
              return SimStateService.TransactionOutcome.APPLIED;
            }
            crashesLeft[0]--;
            world.crash(from, 2500);
            return fate;
          };
      world.run(8000);
      for (String node : world.nodes) {
        upgradeNode(world, node);
        world.run(7000);
      }
      runUntilLevel(world, LATEST_LEVEL);
      world.run(150_000);
      assertTrue(crashesLeft[0] < 3, "no transaction of the step was sent");
      assertJobsDoneAndRulesHeld(world, finiteJobs);
      assertNoOldEncodingsLeft(world);
    }
  }

  /** A fault that begins just before the level upgrade and ends well after it. */
  enum InjectedFault {
    STATE_SERVICE_DOWN,
    STATE_SERVICE_REFUSES_ONE_NODE,
    NODE_PAUSED,
    NODE_CUT_FROM_STATE_SERVICE,
    ZONE_CUT_OFF,
    NODE_CUT_FROM_PEERS,
    LATE_TRANSACTIONS
  }

  @ParameterizedTest
  @EnumSource(InjectedFault.class)
  void rolloutCompletesWithAFaultAtTheLevelUpgrade(InjectedFault fault) throws BadMessage {
    SimWorld world = worldOfOldBuild(340 + fault.ordinal(), "aab");
    List<String> finiteJobs = submitJobs(world, 40, 60_000);
    world.run(8000);
    upgradeNode(world, "n0");
    world.run(7000);
    upgradeNode(world, "n2");
    world.run(7000);
    upgradeNode(world, "n1");
    // n1 restarts 2 s from now, and the level is upgraded within the second after that.
    long faultMs = 1900;
    switch (fault) {
      case STATE_SERVICE_DOWN -> {
        world.clock.after(faultMs + 400, () -> world.state().setOutage(true));
        world.clock.after(faultMs + 9000, () -> world.state().setOutage(false));
      }
      case STATE_SERVICE_REFUSES_ONE_NODE -> {
        world.clock.after(faultMs, () -> world.state().setRefused("n0", true));
        world.clock.after(faultMs + 15_000, () -> world.state().setRefused("n0", false));
      }
      case NODE_PAUSED -> world.clock.after(faultMs, () -> world.pause("n2", 12_000, true));
      case NODE_CUT_FROM_STATE_SERVICE -> {
        world.clock.after(faultMs, () -> world.cutFromState("n2", true));
        world.clock.after(faultMs + 20_000, () -> world.healFromState("n2"));
      }
      case ZONE_CUT_OFF -> {
        world.clock.after(faultMs, () -> world.cutZone("n2", true));
        world.clock.after(faultMs + 25_000, () -> world.cutZone("n2", false));
      }
      case NODE_CUT_FROM_PEERS -> world.clock.after(faultMs, () -> world.cutFromPeers("n0", true));
      case LATE_TRANSACTIONS ->
          world.clock.after(0, () -> world.state().delayCommits(0.3, 2600, 5));
      default -> throw new AssertionError(fault);
    }
    world.run(40_000);
    runUntilLevel(world, LATEST_LEVEL);
    world.run(150_000);
    assertJobsDoneAndRulesHeld(world, finiteJobs);
    assertNoOldEncodingsLeft(world);
  }

  /**
   * Transactions of the previous level arrive after the upgrade: a placement fails because the
   * record of its partition has changed; an exit is valid at any level, and its record is migrated.
   */
  @ParameterizedTest
  @ValueSource(longs = {351, 352, 353})
  void transactionsOfThePreviousLevelMayArriveAfterTheUpgrade(long seed) throws BadMessage {
    SimWorld world = worldOfOldBuild(seed, "aaa");
    List<String> finiteJobs = submitJobs(world, 60, 45_000);
    world.run(8000);
    upgradeNode(world, "n0");
    world.run(6000);
    upgradeNode(world, "n1");
    world.run(6000);
    // n2, of the old build, is cut off while its transactions are held back, and is upgraded.
    world.cutFromState("n2", true);
    world.run(1500);
    upgradeNode(world, "n2");
    world.clock.after(6000, () -> world.healFromState("n2"));
    world.run(12_000);
    runUntilLevel(world, LATEST_LEVEL);
    world.run(150_000);
    assertJobsDoneAndRulesHeld(world, finiteJobs);
    assertNoOldEncodingsLeft(world);
  }

  /** Such a placement fails however late it arrives, because the partition record was rewritten. */
  @Test
  void placementOfANodeThatLeftTheViewFails() throws BadMessage {
    // The limit is so large that no quota is transferred, which would rewrite partitions too.
    SimWorld world = new SimWorld(355, 8, 20, "aaa", 10_000);
    world.run(10_000);
    Document[] held = new Document[1];
    world.state().outcomeOf =
        (from, transaction) -> {
          if (held[0] == null && from.equals("n1") && placesTask(transaction)) {
            held[0] = transaction;
            world.cutFromState("n1", false);
            return SimStateService.TransactionOutcome.LOST;
          }
          return SimStateService.TransactionOutcome.APPLIED;
        };
    for (int i = 0; i < 12; i++) {
      world.users.submit(SimJobs.job(i, "batch", 2, 1, 20), 0);
    }
    while (held[0] == null) {
      world.run(50);
    }
    while (world.tables("n0").view().members().containsKey("n1")) {
      world.run(5);
    }
    assertEquals(409, commitLate(world, held[0]));
    world.run(5000);
    assertEquals(409, commitLate(world, held[0]));
    assertEquals(List.of(), world.violations());
  }

  private static boolean placesTask(Document transaction) {
    try {
      for (Document write : transaction.documents("then")) {
        String key = write.textOrNull("write");
        if (key != null && key.startsWith("w/l/")) {
          List<?> runs = Encoding.decode(write.raw("v"), Encoding.NUMBERED).list("g");
          if (runs.toString().contains("[p, ")) {
            return true;
          }
        }
      }
      return false;
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static int commitLate(SimWorld world, Document transaction) {
    int[] status = new int[1];
    world
        .state()
        .serve(
            "n1",
            "POST",
            "/commit",
            MessageCodec.encode(transaction.rawMap()),
            a -> status[0] = a.status());
    return status[0];
  }

  /** A node that does not support the level in force neither joins, proposes, writes nor serves. */
  @ParameterizedTest
  @CsvSource({"1, 1, 2", "1, 2, 3", "3, 4, 2"})
  void nodeThatDoesNotSupportTheLevelStaysOutside(int minLevel, int maxLevel, int levelInForce)
      throws BadMessage {
    SimWorld world = new SimWorld(360, 6, 20, "aaa", 60);
    List<String> finiteJobs = submitJobs(world, 30, 40_000);
    world.nodes.forEach(world::kill);
    world.nodes.forEach(n -> world.supportedLevels.put(n, new LevelRange(1, levelInForce)));
    world.nodes.forEach(world::startNode);
    world.run(20_000);
    runUntilLevel(world, levelInForce);
    world.kill("n1");
    world.supportedLevels.put("n1", new LevelRange(minLevel, maxLevel));
    world.startNode("n1");
    world.state().writers.clear();
    world.run(20_000);
    String reason = world.tables("n1").blockedReason();
    assertNotNull(reason);
    assertTrue(reason.contains("level " + levelInForce), reason);
    assertFalse(world.state().writers.contains("n1"), "n1 wrote to the state service");
    assertFalse(world.tables("n0").members().containsKey("n1"));
    for (String path : List.of("GET /up", "POST /api/jobs", "GET /api/jobs/req-000001")) {
      String[] request = path.split(" ");
      byte[] body =
          request[0].equals("POST")
              ? world.users.registerSpec(SimJobs.job(900, "batch", 1, 1, 5))
              : null;
      assertEquals(503, world.users.request("n1", request[0], request[1], body).status(), path);
    }
    Response[] answerToReport = world.sendReport("n1", "i-000000", 1);
    world.run(120_000);
    assertEquals(503, answerToReport[0].status(), "the answer to a report");
    assertJobsDoneAndRulesHeld(world, finiteJobs);
  }

  @Test
  void gateHeldByAnOperatorBlocksTheUpgradeUntilReleased() throws BadMessage {
    for (String heldGate : List.of(Gate.NUMBERS.label(), "a-gate-of-tomorrow")) {
      SimWorld world = worldOfOldBuild(371, "aaa");
      List<String> finiteJobs = submitJobs(world, 20, 40_000);
      world
          .state()
          .forceWrite(
              OperatorOverrides.KEY, OperatorOverrides.NONE.withGateHeld(heldGate, true).toStore());
      world.run(5000);
      for (String node : world.nodes) {
        upgradeNode(world, node);
        world.run(6000);
      }
      world.run(20_000);
      assertEquals(1, levelOf(world, "n0"));
      world.state().forceWrite(OperatorOverrides.KEY, OperatorOverrides.NONE.toStore());
      runUntilLevel(world, LATEST_LEVEL);
      world.run(100_000);
      assertJobsDoneAndRulesHeld(world, finiteJobs);
    }
  }

  /** The transaction fails if overrides, members, announced levels or the node list changed. */
  @ParameterizedTest
  @ValueSource(strings = {"word", "live", "back", "announced", "list"})
  void levelUpgradeFailsWhenItsInputsChangeMeanwhile(String changedInput) throws BadMessage {
    SimWorld world = new SimWorld(376, 4, 20, "aaabb", 40);
    world.nodes.forEach(world::kill);
    for (String node : world.nodes) {
      world.supportedLevels.put(node, LevelRange.FIRST);
      world.startNode(node);
    }
    world.run(6000);
    for (String node : List.of("n0", "n1", "n2", "n3")) {
      world.supportedLevels.remove(node);
      world.crash(node, 1000);
      world.run(6000);
    }
    // n3 is down when the last node is upgraded, and counts with the levels that it announced.
    world.kill("n3");
    world.run(6000);
    world.supportedLevels.remove("n4");
    world.crash("n4", 1000);
    Map<String, Object> oldRecord = new TreeMap<>(Map.of("name", "n3", "least", 1L, "most", 1L));
    oldRecord.put("peers", List.of("n3"));
    boolean[] upgradeAttempted = new boolean[1];
    world.state().outcomeOf =
        (from, transaction) -> {
          if (RolloutStep.LEVEL_UPGRADE.isWrittenBy(transaction) && !upgradeAttempted[0]) {
            upgradeAttempted[0] = true;
            switch (changedInput) {
              case "word" ->
                  world
                      .state()
                      .forceWrite(
                          OperatorOverrides.KEY,
                          OperatorOverrides.NONE
                              .withGateHeld(Gate.NUMBERS.label(), true)
                              .toStore());
              case "live" -> world.state().forceWrite("w/m/n1", Map.of("inc", "x", "zone", "a"));
              case "back" -> world.state().forceWrite("w/m/n3", Map.of("inc", "x", "zone", "a"));
              case "announced" -> world.state().forceWrite("w/c/3", oldRecord);
              default ->
                  world
                      .state()
                      .forceWrite(
                          NodeRegistry.INITIAL_NAMES_KEY,
                          NodeRegistry.encodeInitialNames(world.nodes));
            }
            world.clock.after(60, () -> assertEquals(1, levelOf(world, from), changedInput));
          }
          return SimStateService.TransactionOutcome.APPLIED;
        };
    world.run(12_000);
    assertTrue(upgradeAttempted[0], "no level upgrade was attempted");
    assertEquals(changedInput.equals("list") ? LATEST_LEVEL : 1, levelOf(world, "n0"));
    assertEquals(List.of(), world.violations());
  }

  /** The upgrade waits for a lost node until an operator tells the cluster to ignore it. */
  @Test
  void upgradeIgnoresALostNodeOnlyAfterAnOperatorOverride() throws BadMessage {
    SimWorld world = worldOfOldBuild(381, "aaabb");
    List<String> finiteJobs = submitJobs(world, 40, 60_000);
    world.run(8000);
    world.kill("n3");
    for (String node : List.of("n0", "n1", "n2", "n4")) {
      upgradeNode(world, node);
      world.run(6000);
    }
    world.run(20_000);
    assertEquals(1, levelOf(world, "n0"));
    world
        .state()
        .forceWrite(
            OperatorOverrides.KEY, OperatorOverrides.NONE.withNodeIgnored("n3", true).toStore());
    runUntilLevel(world, LATEST_LEVEL);
    // If n3 returns after all, it stays outside with the old build and joins with the new one.
    world.startNode("n3");
    world.run(10_000);
    assertNotNull(world.tables("n3").blockedReason());
    assertFalse(world.tables("n0").view().members().containsKey("n3"));
    upgradeNode(world, "n3");
    world.run(10_000);
    assertTrue(world.tables("n0").view().members().containsKey("n3"));
    world.run(100_000);
    assertJobsDoneAndRulesHeld(world, finiteJobs);
    assertNoOldEncodingsLeft(world);
  }

  /** Sums the quota shares of a team over all partitions. */
  private static double totalQuotaShares(SimWorld world) throws BadMessage {
    double sum = 0;
    List<?> initialNames =
        Document.of(world.state().value(NodeRegistry.INITIAL_NAMES_KEY)).list("names");
    TreeMap<String, Boolean> names = new TreeMap<>();
    initialNames.forEach(name -> names.put((String) name, true));
    world.tables("n0").partitions().keySet().forEach(name -> names.put(name, true));
    for (String name : names.keySet()) {
      Partition partition = world.tables("n0").partition(name);
      sum += initialNames.contains(name) ? world.setup.gpusMax() / initialNames.size() : 0;
      sum +=
          partition == null
              ? 0
              : partition.quotaShares().getOrDefault("vision", Partition.QuotaShare.NONE).gpus();
    }
    return sum;
  }

  /**
   * A rolling restart adds, removes and renames controllers, so that their settings differ
   * meanwhile. The limit is half of what the jobs request: a quota share that counts twice breaks a
   * rule, and a lost one shows as jobs that take too long.
   */
  @ParameterizedTest
  @CsvSource({
    "aaa, n0 n1 n2, n0 n1 n2 n3 n4",
    "aaabb, n0 n1 n2 n3 n4, n0 n3 n4",
    "aaa, n0 n1 n2, n0 n1 n7",
    "aaa, n0 n1 n2, n4 n5 n6",
    "aaabbbb, n0 n1 n2 n3 n4 n5 n6, n0 n1 n2 n3 n4 n5 n9"
  })
  void quotaIsKeptWhenControllersAreAddedRemovedAndRenamed(
      String zones, String before, String after) throws BadMessage {
    SimWorld world = new SimWorld(390, 10, 20, zones, 12);
    List<String> finiteJobs = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      int number = i;
      world.clock.after(
          i * 800, () -> world.users.submit(SimJobs.job(number, "batch", 3, 1, 6), 0));
      finiteJobs.add(String.format("req-%06d", i));
    }
    world.run(10_000);
    runUntilLevel(world, LATEST_LEVEL);
    List<String> newNodes = List.of(after.split(" "));
    List<String> oldNodes = List.of(before.split(" "));
    for (String node : newNodes) {
      world.configuredNodes.put(node, newNodes);
      if (oldNodes.contains(node)) {
        world.crash(node, 2000);
      } else {
        world.nodes.add(node);
        world.startNode(node);
      }
      world.run(6000);
    }
    for (String node : oldNodes) {
      if (!newNodes.contains(node)) {
        world.kill(node);
        world.nodes.remove(node);
        world.run(5000);
      }
    }
    world.run(30_000);
    assertEquals(newNodes, List.copyOf(world.tables(newNodes.get(0)).view().members().keySet()));
    world.run(120_000);
    assertJobsDoneAndRulesHeld(world, finiteJobs);
    if (newNodes.contains("n0")) {
      assertEquals(world.setup.gpusMax(), totalQuotaShares(world), 1e-6);
    }
    // The whole limit can be used, whichever controllers held quota shares of it before.
    world.users.submit(SimJobs.job(900, "batch", 24, 1, 40), 0);
    world.run(25_000);
    assertEquals((int) world.setup.gpusMax(), world.placedTaskCount(newNodes.get(0), "req-000900"));
    assertEquals(List.of(), world.violations());
  }

  /** At level 1 a node's number is its index in the node list: another list renumbers nodes. */
  @Test
  void nodeWithAnotherNodeListJoinsOnlyAfterTheUpgrade() {
    SimWorld world = worldOfOldBuild(395, "aaa");
    world.run(6000);
    upgradeNode(world, "n0");
    world.run(6000);
    world.configuredNodes.put("n1", List.of("n0", "n1", "n2", "n3"));
    upgradeNode(world, "n1");
    world.run(8000);
    assertFalse(world.tables("n0").view().members().containsKey("n1"));
    upgradeNode(world, "n2");
    world.nodes.add("n3");
    world.configuredNodes.put("n3", List.of("n0", "n1", "n2", "n3"));
    world.startNode("n3");
    runUntilLevel(world, LATEST_LEVEL);
    world.run(8000);
    assertTrue(world.tables("n0").view().members().keySet().containsAll(List.of("n1", "n3")));
    assertEquals(3, world.tables("n0").registry().numberOf("n3"));
    assertEquals(List.of(), world.violations());
  }

  /** If no node may join before the upgrade, the nodes that wait to join perform it. */
  @Test
  void nodesWaitingToJoinUpgradeTheLevelWhenNoMemberIsLeft() {
    SimWorld world = worldOfOldBuild(396, "aaa");
    world
        .state()
        .forceWrite(
            OperatorOverrides.KEY,
            OperatorOverrides.NONE.withGateHeld(Gate.NUMBERS.label(), true).toStore());
    world.run(6000);
    for (String node : world.nodes) {
      upgradeNode(world, node);
      world.run(6000);
    }
    assertEquals(1, levelOf(world, "n0"));
    world.nodes.forEach(world::kill);
    world.run(6000);
    world.nodes.clear();
    world.nodes.addAll(List.of("n0", "n1", "n5"));
    world.nodes.forEach(world::startNode);
    world.run(10_000);
    assertTrue(world.tables("n0").members().isEmpty());
    world.state().forceWrite(OperatorOverrides.KEY, OperatorOverrides.NONE.toStore());
    runUntilLevel(world, LATEST_LEVEL);
    world.run(10_000);
    assertEquals(
        List.of("n0", "n1", "n5"), List.copyOf(world.tables("n0").view().members().keySet()));
    assertEquals(3, world.tables("n0").registry().numberOf("n5"));
  }

  @ParameterizedTest
  @CsvSource({
    "w/x/1, 1",
    "w/q, 1",
    "w/p/n0, 9",
    "w/v, 3",
    "w/j/req-000777, 2",
    "w/c/70000, 1",
    "w/c/what, 1"
  })
  void unknownRecordStopsDecisionsUntilItIsRemoved(String key, int version) {
    SimWorld world = new SimWorld(400, 6, 20);
    world.run(8000);
    Object originalValue = world.state().value(key);
    world.state().forceWrite(key, Encoding.wrap(version, Map.of("name", "n9", "peers", List.of())));
    world.run(1000);
    for (String node : world.nodes) {
      assertNotNull(world.tables(node).blockedReason(), node);
      assertTrue(
          world.tables(node).blockedReason().contains(key), world.tables(node).blockedReason());
    }
    world.users.submit(SimJobs.job(1, "batch", 2, 1, 5), 0);
    world.run(3000);
    assertEquals(0, world.startCount());
    world.state().forceWrite(key, originalValue);
    world.run(30_000);
    for (String node : world.nodes) {
      assertNull(world.tables(node).blockedReason(), node);
    }
    assertEquals("done", world.lastReportedPhase("req-000001"));
    assertEquals(List.of(), world.violations());
    assertNull(world.describeDivergence());
  }

  /** The kind, the node number or the length of the log entry is unknown to this build. */
  @ParameterizedTest
  @ValueSource(
      strings = {"[q, req-000001, 1]", "[p, req-000001, 70000, 0, 1, i-000001]", "[x, req-1, 0]"})
  void unknownLogEntryStopsDecisionsUntilItIsRemoved(String text) {
    List<Object> entry = new ArrayList<>();
    for (String item : text.substring(1, text.length() - 1).split(", ")) {
      entry.add(item.matches("[0-9]+") ? (Object) Long.parseLong(item) : item);
    }
    SimWorld world = new SimWorld(401, 6, 20);
    world.run(8000);
    world.users.submit(SimJobs.job(1, "batch", 2, 1, 20), 0);
    world.run(4000);
    String key = "w/l/n9/0000000001";
    world
        .state()
        .forceWrite(key, Encoding.wrap(2, Map.of("g", List.of(List.of(0L, List.of(entry))))));
    world.run(1000);
    world.nodes.forEach(n -> assertNotNull(world.tables(n).blockedReason(), n));
    // A node that starts now reads the entry too.
    world.crash("n1", 1000);
    world.run(5000);
    world.nodes.forEach(n -> assertNotNull(world.tables(n).blockedReason(), n));
    world.state().forceWrite(key, null);
    world.run(60_000);
    world.nodes.forEach(n -> assertNull(world.tables(n).blockedReason(), n));
    assertEquals("done", world.lastReportedPhase("req-000001"));
    assertEquals(List.of(), world.violations());
    assertNull(world.describeDivergence());
  }

  /** A node that could not read a record at its start reloads once the record is readable. */
  @Test
  void recordUnreadableAtStartIsReloadedLater() {
    SimWorld world = new SimWorld(404, 6, 20, "aaa", 60);
    world.run(8000);
    for (int i = 0; i < 40; i++) {
      world.users.submit(SimJobs.job(i, i % 3 == 0 ? "daemon" : "batch", 3, 1, 4), 0);
      world.run(900);
    }
    String key = world.state().keys().stream().filter(Job::isChunkKey).findFirst().orElseThrow();
    Object originalValue = world.state().value(key);
    world.state().forceWrite(key, Encoding.wrap(9, Map.of("rev", 1L)));
    world.crash("n1", 500);
    world.run(6000);
    assertNotNull(world.tables("n1").blockedReason());
    world.state().forceWrite(key, originalValue);
    world.run(10_000);
    assertNull(world.tables("n1").blockedReason());
    assertNull(world.describeDivergence());
    assertEquals(List.of(), world.violations());
  }

  /** An unreadable member record does not count as a member, and does not stop decisions. */
  @Test
  void memberRecordWithAnEmptyLevelRangeIsIgnored() {
    SimWorld world = new SimWorld(402, 6, 20);
    world.run(8000);
    world.state().forceWrite("w/m/n8", Map.of("inc", "x", "zone", "a", "least", 3L, "most", 2L));
    world.users.submit(SimJobs.job(1, "batch", 2, 1, 5), 0);
    world.run(30_000);
    assertFalse(world.tables("n0").view().members().containsKey("n8"));
    assertEquals("done", world.lastReportedPhase("req-000001"));
  }

  /** A node that rewrites a record keeps the fields of a newer build that it does not know. */
  @Test
  void unknownFieldsSurviveARewrite() throws BadMessage {
    SimWorld world = new SimWorld(403, 6, 20);
    world.run(8000);
    world.users.submit(SimJobs.job(1, "daemon", 2, 1, 0), 12_000);
    world.run(5000);
    for (String key : List.of(View.KEY, "w/p/n0", "w/j/req-000001", "w/c/1", "w/c/word")) {
      Object value = world.state().value(key);
      int version =
          value == null ? 1 : Encoding.versionOf(MessageCodec.decode(MessageCodec.encode(value)));
      Map<String, Object> fields = new TreeMap<>(Map.of("later", 7L));
      fields.putAll(
          value == null
              ? OperatorOverrides.NONE.toStore()
              : Encoding.decode(MessageCodec.decode(MessageCodec.encode(value)), version)
                  .fieldsExcept());
      if (key.startsWith("w/j/")) {
        Map<String, Object> spec = new TreeMap<>(Document.of(fields.get("spec")).fieldsExcept());
        spec.put("later", 8L);
        fields.put("spec", spec);
      }
      world.state().forceWrite(key, Encoding.wrap(version, fields));
    }
    // No task of the job ends meanwhile, so that its record is rewritten but not removed.
    for (int i = 0; i < 6; i++) {
      world.cutMachine(i, true);
    }
    world.configuredNodes.put("n1", List.of("n0", "n1", "n2", "n3"));
    world.crash("n1", 2000);
    world.run(8000);
    for (String key : List.of(View.KEY, "w/p/n0", "w/c/1")) {
      assertEquals(7L, readRecord(world, key).raw("later"), key);
    }
    Document job = readRecord(world, Job.key("req-000001"));
    assertTrue(job.flag("off"));
    assertEquals(7L, job.raw("later"));
    assertEquals(8L, Document.of(job.raw("spec")).raw("later"));
    assertEquals(4, readRecord(world, "w/c/1").texts("peers").size());
  }

  private static Document readRecord(SimWorld world, String key) throws BadMessage {
    return Encoding.decode(
        MessageCodec.decode(MessageCodec.encode(world.state().value(key))), Encoding.NUMBERED);
  }

  /** A controller releases its lease on an orderly shutdown, so that no expiry is waited for. */
  @Test
  void orderlyShutdownIsTakenOverAtOnce() {
    long[] takeoverMs = new long[2];
    for (int orderly = 0; orderly < 2; orderly++) {
      SimWorld world = new SimWorld(410, 8, 20, "aaa", 60);
      world.run(10_000);
      for (int i = 0; i < 30; i++) {
        world.users.submit(SimJobs.job(i, i % 3 == 0 ? "daemon" : "batch", 2, 1, 10), 0);
      }
      world.run(1000);
      long epoch = world.epoch("n1");
      long startMs = world.clock.nowMs();
      if (orderly == 1) {
        world.restart("n0", 3000, 60_000);
      } else {
        world.crash("n0", 60_000);
      }
      while (world.epoch("n1") == epoch) {
        world.run(20);
      }
      takeoverMs[orderly] = world.clock.nowMs() - startMs;
      world.run(60_000);
      assertEquals(0, world.killedByLease());
      assertEquals(List.of(), world.violations());
    }
    assertTrue(takeoverMs[1] <= 1500, "orderly: " + takeoverMs[1] + " ms");
    assertTrue(
        takeoverMs[0] >= 3 * takeoverMs[1],
        "killed " + takeoverMs[0] + ", orderly " + takeoverMs[1] + " ms");
  }

  /** Once it has released its lease a node must not serve, even if its clock says that it may. */
  @Test
  void nodeThatReleasedItsLeaseAnswersNobody() {
    SimWorld world = new SimWorld(413, 8, 20, "aaa", 60);
    world.run(10_000);
    String ownedMachine =
        world.workers().stream()
            .map(m -> m.name)
            .filter(m -> world.ownerOf("n0", m).equals("n0"))
            .findFirst()
            .orElseThrow();
    long epoch = world.epoch("n0");
    world.shutDown("n0", 3000);
    world.run(60);
    // The others have not changed the view yet.
    assertEquals(epoch, world.epoch("n1"));
    Response[] answer = world.sendReport("n0", ownedMachine, epoch);
    world.state().writers.clear();
    world.run(1500);
    assertNotEquals(200, answer[0].status());
    assertFalse(world.state().writers.contains("n0"));
    world.run(10_000);
    assertEquals(List.of(), world.violations());
  }

  /** The shutdown ends within its time limit although the lease can't be released. */
  @Test
  void orderlyShutdownIsBoundedWhileTheStateServiceIsDown() {
    SimWorld world = new SimWorld(411, 4, 20);
    world.run(8000);
    world.state().setOutage(true);
    world.restart("n0", 3000, 10_000);
    world.run(3100);
    assertFalse(world.isAlive("n0"));
    world.state().setOutage(false);
    world.run(30_000);
    assertTrue(world.tables("n1").view().members().containsKey("n0"));
  }

  /**
   * The view is limited to the members that one transaction can change. Controllers beyond that
   * serve users, and replace members that leave, zone by zone.
   */
  @ParameterizedTest
  @CsvSource({"9, 8", "33, 8", "16, 4"})
  void spareControllersReplaceMembersOfAFullView(int controllers, int txnOps) {
    SimWorld world =
        new SimWorld(
            new SimSetup(420, 8, 30)
                .controllers("a".repeat(controllers - 4) + "bbbb")
                .txnOps(txnOps));
    List<String> finiteJobs = submitJobs(world, 60, 60_000);
    world.run(20_000);
    View firstView = world.tables("n0").view();
    int maxMembers = 4 * txnOps - 4;
    assertEquals(Math.min(controllers, maxMembers), firstView.members().size());
    assertTrue(firstView.zones().containsValue("b"), "zone b has no member in the view");
    assertEquals(LATEST_LEVEL, firstView.level());
    List<String> members = List.copyOf(firstView.members().keySet());
    String spare =
        world.nodes.stream()
            .filter(n -> !firstView.members().containsKey(n))
            .findFirst()
            .orElse(members.get(2));
    assertEquals(200, world.users.request(spare, "GET", "/up", null).status());
    world.kill(members.get(0));
    world.crash(members.get(1), 3000);
    world.run(15_000);
    View secondView = world.tables(spare).view();
    assertEquals(Math.min(controllers - 1, maxMembers), secondView.members().size());
    assertFalse(secondView.members().containsKey(members.get(0)));
    world.nodes.remove(members.get(0));
    // All members but one stop at once, and the spare controllers replace them.
    List<String> stopped = new ArrayList<>(secondView.members().keySet());
    stopped.remove(spare);
    stopped.forEach(world::kill);
    world.nodes.removeAll(stopped);
    world.run(20_000);
    View lastView = world.tables(world.nodes.get(0)).view();
    assertEquals(Math.min(world.nodes.size(), maxMembers), lastView.members().size());
    assertTrue(world.nodes.containsAll(lastView.members().keySet()));
    world.run(150_000);
    assertJobsDoneAndRulesHeld(world, finiteJobs);
  }

  /** The earlier process stays outside, so that the view does not change back and forth. */
  @Test
  void laterOfTwoProcessesWithOneNameServes() {
    SimWorld world = new SimWorld(412, 4, 20);
    world.run(8000);
    world.startNode("n1");
    world.run(8000);
    long epoch = world.epoch("n0");
    world.run(30_000);
    assertEquals(epoch, world.epoch("n0"));
    assertTrue(world.tables("n0").view().members().containsKey("n1"));
  }
}
