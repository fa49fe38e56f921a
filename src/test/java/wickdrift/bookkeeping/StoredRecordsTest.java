package wickdrift.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** Encoding of stored records, and what applying them does to jobs, tasks, machines and views. */
class StoredRecordsTest {
  private static Document toDocument(Map<String, Object> fields) throws BadMessage {
    return Document.parse(MessageCodec.encode(fields));
  }

  private static Object encodeAndDecode(Object value) throws BadMessage {
    return MessageCodec.decode(MessageCodec.encode(value));
  }

  private static final String JOB = "req-000001";
  private static final String JOB_KEY = "w/j/" + JOB;

  private static StateServiceClient.Change jobChange(String shape, int tasks) throws BadMessage {
    JobSpec spec = JobSpec.parse(toDocument(SimJobs.job(1, shape, tasks, 1, 10)));
    return new StateServiceClient.Change(
        JOB_KEY, encodeAndDecode(Job.toStore(spec, null, 5, "n0", 0)), 3);
  }

  private static Tables tablesWithJob(int tasks) throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    applyChanges(tables, jobChange("batch", tasks));
    return tables;
  }

  private static Job addJob(Tables tables, int number) {
    try {
      JobSpec spec = JobSpec.parse(toDocument(SimJobs.job(number, "batch", 9, 1, 10)));
      applyChanges(
          tables,
          new StateServiceClient.Change(
              Job.key(spec.id()), encodeAndDecode(Job.toStore(spec, null, 5, "n0", 0)), number));
      return tables.job(spec.id());
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static void applyChanges(Tables tables, StateServiceClient.Change... changes) {
    tables.apply(List.of(changes), changes[changes.length - 1].stamp());
  }

  private static StateServiceClient.Change pageWith(
      Tables tables, String node, long stamp, List<Object> entry) throws BadMessage {
    var last = tables.logPages(node).lastEntry();
    LogPage previous = last == null ? null : last.getValue();
    Object value = LogPage.encode(previous, 1, List.of(entry), (r, e) -> false);
    return new StateServiceClient.Change(LogPage.key(node, 1), encodeAndDecode(value), stamp);
  }

  private static List<Object> entry(List<Object> head, Object... rest) {
    head.addAll(List.of(rest));
    return head;
  }

  @Test
  void aChunkIsReadBackAsWritten() throws BadMessage {
    Tables tables = tablesWithJob(100);
    Job job = tables.job(JOB);
    Machine machine = tables.getOrCreateMachine("i-1");
    Map<Integer, TaskState> states = new HashMap<>();
    for (int i = 64; i < 100; i++) {
      states.put(i, i % 3 == 0 ? TaskState.FINISHED : TaskState.NEW);
    }
    states.put(70, TaskState.NEW.placed(4, machine, 2).stopping(TaskState.Stop.SAVE));
    states.put(71, TaskState.waiting(9));
    StateServiceClient.Change chunk =
        new StateServiceClient.Change(
            "w/t/req-000001/1", encodeAndDecode(job.encodeChunk(1, 9, states::get)), 10);
    tables.reset();
    tables.load(List.of(jobChange("batch", 100), chunk), 12);
    Job reloaded = tables.job(JOB);
    for (int i = 64; i < 100; i++) {
      assertEquals(states.get(i).phase(), reloaded.task(i).phase(), "task " + i);
      assertEquals(states.get(i).attempt(), reloaded.task(i).attempt(), "task " + i);
      assertEquals(states.get(i).stop(), reloaded.task(i).stop(), "task " + i);
    }
    assertEquals(1, reloaded.liveCount());
    assertEquals(1, tables.getOrCreateMachine("i-1").slots().size());
    assertEquals(1.0, tables.usage().placedBy("vision", 2).gpus());
    assertEquals(12, reloaded.doneCount());
  }

  /** A full chunk of live attempts fits, so that a job of 100,000 tasks can be stored. */
  @Test
  void aChunkOfLiveTasksFitsIntoTheSmallestValueLimit() throws BadMessage {
    Tables tables = tablesWithJob(JobSpec.MAX_TASKS);
    Job job = tables.job(JOB);
    Machine machine = tables.getOrCreateMachine("i-123456");
    TaskState live = TaskState.NEW.placed(123, machine, 2).stopping(TaskState.Stop.KILL);
    int last = job.chunkCount() - 1;
    int jsonBytes = MessageCodec.jsonSize(job.encodeChunk(last - 1, 123_456_789, i -> live));
    assertTrue(jsonBytes < 4096, "a chunk takes " + jsonBytes);
  }

  @Test
  void chunksOfATerminatedJobAreOrphaned() throws BadMessage {
    Tables tables = tablesWithJob(100);
    Job job = tables.job(JOB);
    applyChanges(
        tables,
        new StateServiceClient.Change(
            "w/t/req-000001/1",
            encodeAndDecode(job.encodeChunk(1, 3, i -> TaskState.FINISHED)),
            4));
    applyChanges(
        tables,
        new StateServiceClient.Change(
            "w/d/req-000001", encodeAndDecode(Map.of("phase", "done")), 5),
        new StateServiceClient.Change(JOB_KEY, null, 5));
    assertNull(tables.job(JOB));
    assertEquals("done", tables.terminalState(JOB).phase());
    assertEquals("w/t/req-000001/1", tables.orphanedRecords().get(0).key());
  }

  @Test
  void anUnreadableRecordDoesNotChangeTheJob() throws BadMessage {
    Tables tables = tablesWithJob(2);
    applyChanges(
        tables, new StateServiceClient.Change(JOB_KEY, encodeAndDecode(Map.of("off", "maybe")), 9));
    assertFalse(tables.job(JOB).withdrawn());
    assertEquals(3, tables.job(JOB).stamp());
  }

  // ---- logs ----

  /**
   * One node logs the exit of a task that another node placed, and a watch answer holds both pages,
   * the later one first. If they were applied in that order, the exit would have no effect and the
   * task would stay live forever.
   */
  @Test
  void entriesOfDifferentLogsAreAppliedInOrder() throws BadMessage {
    Tables tables = tablesWithJob(2);
    StateServiceClient.Change placed =
        pageWith(tables, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1"));
    StateServiceClient.Change exited =
        pageWith(tables, "n1", 11, entry(LogEntry.exited(JOB), 0, 1, 1));
    tables.apply(List.of(exited, placed), 11);
    assertEquals(TaskState.Phase.DONE, tables.job(JOB).task(0).phase());
    assertEquals(0, tables.getOrCreateMachine("i-1").slots().size());
  }

  /** Each row holds a log entry and the states of the two tasks after it is applied. */
  @Test
  void entriesThatDoNotMatchTheStateHaveNoEffect() throws BadMessage {
    Tables tables = tablesWithJob(2);
    record Row(List<Object> entry, String expected) {}
    List<Row> rows =
        List.of(
            new Row(entry(LogEntry.exited(JOB), 0, 1, 1), "WAITING0 WAITING0"),
            new Row(entry(LogEntry.placed(JOB, 1), 0, 1, "i-1", 1, 1, "i-2"), "LIVE1 LIVE1"),
            // The task is placed already: a second placement has no effect.
            new Row(entry(LogEntry.placed(JOB, 2), 0, 2, "i-9"), "LIVE1 LIVE1"),
            new Row(entry(LogEntry.stopped(JOB, TaskState.Stop.SAVE), 0, 1), "LIVE1S LIVE1"),
            // The entry concerns an attempt that is not the live one.
            new Row(entry(LogEntry.exited(JOB), 1, 2, 1), "LIVE1S LIVE1"),
            new Row(entry(LogEntry.exited(JOB), 0, 1, 0), "WAITING1 LIVE1"),
            // Attempt numbers are never reused.
            new Row(entry(LogEntry.placed(JOB, 1), 0, 1, "i-1"), "WAITING1 LIVE1"),
            new Row(entry(LogEntry.exited(JOB), 1, 1, 1), "WAITING1 DONE0"),
            new Row(entry(LogEntry.placed(JOB, 1), 1, 5, "i-1"), "WAITING1 DONE0"));
    long revision = 10;
    for (Row row : rows) {
      applyChanges(tables, pageWith(tables, "n0", revision++, row.entry));
      String actual = "";
      for (int i = 0; i < 2; i++) {
        TaskState task = tables.job(JOB).task(i);
        actual +=
            " " + task.phase() + task.attempt() + (task.stop() == TaskState.Stop.NONE ? "" : "S");
      }
      assertEquals(row.expected, actual.trim(), row.entry.toString());
    }
  }

  /** Two nodes log the exits of two gang members without knowing of each other's entry. */
  @Test
  void aGangIsDoneWhicheverNodesReportItsMembers() throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    applyChanges(tables, jobChange("ensemble", 2));
    applyChanges(
        tables,
        pageWith(tables, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1", 1, 1, "i-2")));
    applyChanges(tables, pageWith(tables, "n1", 11, entry(LogEntry.exited(JOB), 1, 1, 1)));
    applyChanges(tables, pageWith(tables, "n2", 12, entry(LogEntry.exited(JOB), 0, 1, 0)));
    assertEquals(2, tables.job(JOB).doneCount());
  }

  /** A stored chunk replaces the log entries up to its revision, and none after it. */
  @Test
  void aLoadAppliesOnlyEntriesNewerThanTheChunk() throws BadMessage {
    Tables tables = tablesWithJob(2);
    applyChanges(tables, pageWith(tables, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1")));
    Job job = tables.job(JOB);
    StateServiceClient.Change chunk =
        new StateServiceClient.Change(
            job.chunkKey(0), encodeAndDecode(job.encodeChunk(0, 10, job::task)), 12);
    StateServiceClient.Change exit =
        pageWith(tables, "n1", 11, entry(LogEntry.exited(JOB), 0, 1, 0));
    applyChanges(tables, exit);
    applyChanges(tables, chunk);
    StateServiceClient.Change secondPlacement =
        pageWith(tables, "n0", 13, entry(LogEntry.placed(JOB, 0), 0, 2, "i-2"));
    applyChanges(tables, secondPlacement);
    // A load gets the same records at once: first the pages, then the rest.
    Tables reloaded = new Tables(List.of(), LevelRange.BUILD, () -> {});
    reloaded.load(List.of(secondPlacement, exit, jobChange("batch", 2), chunk), 13);
    for (Tables copy : List.of(tables, reloaded)) {
      assertEquals(2, copy.job(JOB).task(0).attempt());
      assertEquals("i-2", copy.job(JOB).task(0).machine().name());
      assertEquals(1, copy.getOrCreateMachine("i-2").slots().size());
      assertEquals(0, copy.getOrCreateMachine("i-1").slots().size());
    }
  }

  /**
   * Log pages are listed one after the other. Entries newer than the revision of the first listing
   * are left to the watch: they may depend on entries of pages that were listed before.
   */
  @Test
  void aLoadLeavesEntriesNewerThanItsRevisionToTheWatch() throws BadMessage {
    Tables tables = tablesWithJob(2);
    StateServiceClient.Change exit =
        pageWith(tables, "n1", 11, entry(LogEntry.exited(JOB), 0, 1, 1));
    StateServiceClient.Change placed =
        pageWith(tables, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1"));
    Tables reloaded = new Tables(List.of(), LevelRange.BUILD, () -> {});
    // The first listing, at revision 9, lacks the page of n0; the page of n1 was listed later.
    reloaded.load(List.of(exit, jobChange("batch", 2)), 9);
    assertEquals(TaskState.Phase.WAITING, reloaded.job(JOB).task(0).phase());
    reloaded.apply(List.of(placed, exit), 11);
    assertEquals(TaskState.Phase.DONE, reloaded.job(JOB).task(0).phase());
  }

  /** Log entries of several nodes with phases of one machine, and the machine's final phase. */
  @ParameterizedTest
  @CsvSource({
    "BOOTING UP LOST UP DRAINING GONE, GONE",
    "UP BOOTING, UP",
    "UP GONE UP, GONE",
    "UP DRAINING UP LOST, DRAINING",
    "BOOTING GONE DRAINING, GONE",
  })
  void aMachineTakesOnlyAllowedPhaseTransitions(String phases, Machine.Phase expected)
      throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    long revision = 1;
    for (String phase : phases.split(" ")) {
      Machine.Info info = new Machine.Info("g4", "a", false, Machine.Phase.valueOf(phase), 5);
      applyChanges(
          tables,
          pageWith(tables, "n" + revision % 3, ++revision, LogEntry.machine("i-000001", info)));
    }
    assertEquals(expected, tables.machine("i-000001").phase());
  }

  @Test
  void invalidTaskTransitionsAreRefused() {
    Machine machine = new Tables(List.of(), LevelRange.BUILD, () -> {}).getOrCreateMachine("i");
    TaskState live = TaskState.NEW.placed(1, machine, 0);
    assertThrows(IllegalStateException.class, () -> live.placed(2, machine, 0));
    assertThrows(IllegalStateException.class, () -> TaskState.waiting(3).placed(3, machine, 0));
    assertThrows(IllegalStateException.class, () -> TaskState.FINISHED.exited("error"));
    assertThrows(IllegalStateException.class, () -> TaskState.NEW.stopping(TaskState.Stop.KILL));
    assertEquals(TaskState.FINISHED, live.exited("done"));
    assertEquals(TaskState.waiting(1), live.exited(null));
    // A stop can become stricter (SAVE to KILL), never milder.
    TaskState killed = live.stopping(TaskState.Stop.KILL);
    assertEquals(killed, killed.stopping(TaskState.Stop.SAVE));
  }

  /**
   * The exits are in order, each with its job, its machine and {@code +} if the task was done. The
   * expected values are the quarantine of machine 1 in seconds and whether job a is suspected.
   */
  @ParameterizedTest
  @CsvSource({
    "a1, 10, false",
    "a1 a1 a1, 10, false",
    "a1 b1, 120, false",
    "a1 b1 c1, 240, false",
    "a1 b1+ c1, 10, false",
    "a1 b1 c1+, 0, false",
    // A faulty job fails on every machine: no machine is quarantined for it.
    "a1 a2, 0, true",
    "a1 a2 b1, 10, true",
    // Both are faulty: job a is suspected, and machine 1 fails tasks of two other jobs too.
    "a1 a2 b1 c1, 120, true",
    // Job a met two faulty machines: once a task of it is done elsewhere, both are quarantined.
    "a1 a2 b1 a3+, 120, false",
  })
  void failuresAreAttributedToTheMachineOrToTheJob(
      String exits, long quarantineS, boolean suspected) {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    Map<Character, Job> jobs = new TreeMap<>();
    for (String exit : exits.split(" ")) {
      Job job = jobs.computeIfAbsent(exit.charAt(0), k -> addJob(tables, k));
      int index = job.doneCount();
      int attempt = job.task(index).attempt() + 1;
      assertTrue(
          job.applyPlacement(index, attempt, tables.getOrCreateMachine("i-" + exit.charAt(1)), 0));
      assertTrue(
          job.applyExit(
              index, attempt, exit.endsWith("+") ? LogEntry.EXIT_DONE : LogEntry.EXIT_FAILED));
    }
    assertEquals(quarantineS * 1000, tables.getOrCreateMachine("i-1").quarantinedUntilMs(0));
    assertEquals(suspected, jobs.get('a').isSuspected());
  }

  /** The retry delay doubles up to 64 s, and failures that arrive together count once. */
  @Test
  void aSuspectedJobIsRetriedWithIncreasingDelay() {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    Job job = addJob(tables, 1);
    long nowMs = 1_000_000;
    for (int i = 0; i < 2; i++) {
      assertTrue(job.applyPlacement(i, 1, tables.getOrCreateMachine("i-" + i), 0));
      assertTrue(job.applyExit(i, 1, LogEntry.EXIT_FAILED));
    }
    for (long delayS : new long[] {4, 8, 16, 32, 64, 64}) {
      job.backOffAfterFailures(nowMs);
      job.backOffAfterFailures(nowMs + 1);
      assertEquals(nowMs + delayS * 1000, job.retryAtMs());
      nowMs = job.retryAtMs();
      int attempt = job.task(0).attempt() + 1;
      assertTrue(job.applyPlacement(0, attempt, tables.getOrCreateMachine("i-3"), 0));
      assertTrue(job.applyExit(0, attempt, LogEntry.EXIT_FAILED));
    }
  }

  private static Map<String, String> parseMembers(String text) {
    Map<String, String> incarnations = new TreeMap<>();
    if (text != null) {
      for (String member : text.split(" ")) {
        incarnations.put(member.substring(0, 1), member.substring(1));
      }
    }
    return incarnations;
  }

  /**
   * Members are written as name and incarnation, the expected view as epoch and leader, or {@code
   * -} for no change.
   */
  @ParameterizedTest(name = "{0}, leader {1}, live {2}: {3}")
  @CsvSource({
    "a1 b1 c1, a, a1 b1 c1, -",
    "a1 b1 c1, a, , -",
    "a1 b1 c1, a, a1 b1, 8a",
    "a1 b1 c1, a, b1 c1, 8b",
    // The leader is a new incarnation whose tables are not settled yet, so another member leads.
    "a1 b1 c1, a, a2 b1 c1, 8b",
    // All members are new incarnations: one of them leads nevertheless.
    "a1 b1 c1, a, a2 b2 c2, 8a",
    "b1, b, a1 b1, 8b",
  })
  void theNextViewFollowsTheLiveMembers(
      String members, String leader, String live, String expected) {
    View view = new View(7, parseMembers(members), leader);
    View next = View.nextView(view, parseMembers(live), Map.of());
    assertEquals(expected, next == null ? "-" : next.epoch() + next.leader());
  }

  /** Rendezvous hashing: only the machines of a lost member get another owner. */
  @Test
  void onlyMachinesOfTheLostMemberChangeOwner() {
    View all = new View(1, parseMembers("a1 b1 c1"), "a");
    View remaining = new View(2, parseMembers("a1 b1"), "a");
    int moved = 0;
    Map<String, Integer> partitionSizes = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String name = String.format("i-%06d", i);
      partitionSizes.merge(all.owner(name), 1, Integer::sum);
      if (all.owner(name).equals("c")) {
        moved++;
        assertNotEquals("c", remaining.owner(name));
      } else {
        assertEquals(all.owner(name), remaining.owner(name));
      }
    }
    assertTrue(moved > 60, "partitions are uneven: " + partitionSizes);
  }

  /**
   * A machine is owned by a member in its zone, unless the zone has no member, or too few in
   * proportion to all members.
   */
  @ParameterizedTest(name = "{0} in {1}, machine in {2}: {3}")
  @CsvSource({
    "a1 b1 c1, x y y, x, a",
    "a1 b1 c1, x y y, y, b c",
    "a1 b1 c1, x y y, z, a b c",
    "a1 b1 c1, x y y, , a b c",
    "a1 b1 c1 d1 e1, x y y y y, x, a b c d e",
    "a1 b1 c1 d1 e1, x y y y y, y, b c d e",
    "b1 c1, y y, x, b c",
  })
  void machinesAreOwnedByMembersOfTheirZone(
      String members, String zones, String zone, String owners) {
    Map<String, String> zoneByMember = new HashMap<>();
    String[] memberList = members.split(" ");
    for (int i = 0; i < memberList.length; i++) {
      zoneByMember.put(memberList[i].substring(0, 1), zones.split(" ")[i]);
    }
    View view = new View(1, parseMembers(members), "a", zoneByMember);
    Set<String> actualOwners = new TreeSet<>();
    for (int i = 0; i < 200; i++) {
      actualOwners.add(view.owner(String.format("i-%06d", i), zone));
    }
    assertEquals(owners, String.join(" ", actualOwners));
  }

  /**
   * A chunk of 64 running tasks whose machine names and attempt numbers are too long for the value
   * limit is stored in an encoding that names each machine once, and is read back unchanged.
   */
  @ParameterizedTest
  @CsvSource({"1800, 8, 9, 2", "1800, 30, 9, 3", "1400, 8, 99999, 3", "1000, 8, 9, 3"})
  void aChunkIsEncodedWithinTheValueLimit(
      int maxBytes, int nameLength, int attempt, int encodingVersion) throws BadMessage {
    Tables tables = tablesWithJob(64);
    Job job = tables.job(JOB);
    List<Object> placed = LogEntry.placed(JOB, 3);
    for (int i = 0; i < 64; i++) {
      String name = "i-" + "0".repeat(nameLength - 4) + (10 + i / 4);
      placed.addAll(List.of(i, i % 5 == 0 ? attempt : 1, name));
    }
    tables.apply(
        List.of(
            new StateServiceClient.Change(
                LogPage.key("n0", 1),
                encodeAndDecode(LogPage.encode(null, 2, List.of(placed), (r, e) -> false)),
                20)),
        20);
    assertEquals(64, job.liveCount());
    Object stored = job.chunkToStore(0, 21, job::task, 2, maxBytes);
    assertEquals(encodingVersion, Encoding.versionOf(encodeAndDecode(stored)));
    assertTrue(MessageCodec.jsonSize(stored) <= maxBytes, "size " + MessageCodec.jsonSize(stored));
    Tables reloaded = tablesWithJob(64);
    reloaded.load(
        List.of(
            jobChange("batch", 64),
            new StateServiceClient.Change(job.chunkKey(0), encodeAndDecode(stored), 21)),
        21);
    for (int i = 0; i < 64; i++) {
      assertEquals(job.task(i).attempt(), reloaded.job(JOB).task(i).attempt());
      assertEquals(job.task(i).machine().name(), reloaded.job(JOB).task(i).machine().name());
      assertEquals(3, reloaded.job(JOB).task(i).placer());
    }
  }
}
