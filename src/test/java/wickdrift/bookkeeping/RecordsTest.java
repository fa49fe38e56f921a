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

class RecordsTest {
  private static Document doc(Map<String, Object> m) throws BadMessage {
    return Document.parse(MessageCodec.encode(m));
  }

  private static Object raw(Object value) throws BadMessage {
    return MessageCodec.decode(MessageCodec.encode(value));
  }

  private static final String JOB = "req-000001";
  private static final String JOB_KEY = "w/j/" + JOB;

  private static StateServiceClient.Change job(String shape, int tasks) throws BadMessage {
    JobSpec s = JobSpec.parse(doc(SimJobs.job(1, shape, tasks, 1, 10)));
    return new StateServiceClient.Change(JOB_KEY, raw(Job.toStore(s, null, 5, "n0", 0)), 3);
  }

  private static Tables withJob(int tasks) throws BadMessage {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    apply(t, job("batch", tasks));
    return t;
  }

  private static Job job(Tables t, int number) {
    try {
      JobSpec s = JobSpec.parse(doc(SimJobs.job(number, "batch", 9, 1, 10)));
      apply(
          t,
          new StateServiceClient.Change(
              Job.key(s.id()), raw(Job.toStore(s, null, 5, "n0", 0)), number));
      return t.job(s.id());
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static void apply(Tables t, StateServiceClient.Change... c) {
    t.apply(List.of(c), c[c.length - 1].stamp());
  }

  private static StateServiceClient.Change page(
      Tables t, String node, long stamp, List<Object> entry) throws BadMessage {
    var last = t.logPages(node).lastEntry();
    LogPage old = last == null ? null : last.getValue();
    Object v = LogPage.encode(old, 1, List.of(entry), (r, e) -> false);
    return new StateServiceClient.Change(LogPage.key(node, 1), raw(v), stamp);
  }

  private static List<Object> entry(List<Object> head, Object... rest) {
    head.addAll(List.of(rest));
    return head;
  }

  @Test
  void aChunkReadsBackAsWritten() throws BadMessage {
    Tables t = withJob(100);
    Job j = t.job(JOB);
    Machine m = t.getOrCreateMachine("i-1");
    Map<Integer, TaskState> states = new HashMap<>();
    for (int i = 64; i < 100; i++) {
      states.put(i, i % 3 == 0 ? TaskState.FINISHED : TaskState.NEW);
    }
    states.put(70, TaskState.NEW.placed(4, m, 2).stopping(TaskState.Stop.SAVE));
    states.put(71, TaskState.waiting(9));
    StateServiceClient.Change chunk =
        new StateServiceClient.Change(
            "w/t/req-000001/1", raw(j.encodeChunk(1, 9, states::get)), 10);
    t.reset();
    t.load(List.of(job("batch", 100), chunk), 12);
    Job again = t.job(JOB);
    for (int i = 64; i < 100; i++) {
      assertEquals(states.get(i).phase(), again.task(i).phase(), "task " + i);
      assertEquals(states.get(i).attempt(), again.task(i).attempt(), "task " + i);
      assertEquals(states.get(i).stop(), again.task(i).stop(), "task " + i);
    }
    assertEquals(1, again.liveCount());
    assertEquals(1, t.getOrCreateMachine("i-1").slots().size());
    assertEquals(1.0, t.usage().placedBy("vision", 2).gpus());
    assertEquals(12, again.doneCount());
  }

  /** 100,000 tasks must fit: a chunk of nothing but live attempts stays below the least limit. */
  @Test
  void aFullChunkFitsIntoTheSmallestValue() throws BadMessage {
    Tables t = withJob(JobSpec.MAX_TASKS);
    Job j = t.job(JOB);
    Machine m = t.getOrCreateMachine("i-123456");
    TaskState live = TaskState.NEW.placed(123, m, 2).stopping(TaskState.Stop.KILL);
    int last = j.chunkCount() - 1;
    int json = MessageCodec.jsonSize(j.encodeChunk(last - 1, 123_456_789, i -> live));
    assertTrue(json < 4096, "a chunk takes " + json);
  }

  @Test
  void whenAJobEndsItsChunksLeftBehindAreOrphans() throws BadMessage {
    Tables t = withJob(100);
    Job j = t.job(JOB);
    apply(
        t,
        new StateServiceClient.Change(
            "w/t/req-000001/1", raw(j.encodeChunk(1, 3, i -> TaskState.FINISHED)), 4));
    apply(
        t,
        new StateServiceClient.Change("w/d/req-000001", raw(Map.of("phase", "done")), 5),
        new StateServiceClient.Change(JOB_KEY, null, 5));
    assertNull(t.job(JOB));
    assertEquals("done", t.terminalState(JOB).phase());
    assertEquals("w/t/req-000001/1", t.orphanedKeys().first());
  }

  @Test
  void anUnreadableRecordIsLeftAlone() throws BadMessage {
    Tables t = withJob(2);
    apply(t, new StateServiceClient.Change(JOB_KEY, raw(Map.of("off", "maybe")), 9));
    assertFalse(t.job(JOB).withdrawn());
    assertEquals(3, t.job(JOB).stamp());
  }

  // ---- logs ----

  /**
   * An exit that one node wrote follows on a placement that another wrote before it. Both pages
   * come in one answer, the later first: applied as they come, the exit would be void and the task
   * live for ever.
   */
  @Test
  void entriesOfDifferentLogsAreAppliedInOrder() throws BadMessage {
    Tables t = withJob(2);
    StateServiceClient.Change placed =
        page(t, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1"));
    StateServiceClient.Change exited = page(t, "n1", 11, entry(LogEntry.exited(JOB), 0, 1, 1));
    t.apply(List.of(exited, placed), 11);
    assertEquals(TaskState.Phase.DONE, t.job(JOB).task(0).phase());
    assertEquals(0, t.getOrCreateMachine("i-1").slots().size());
  }

  /** Entries, one by one, and what the two tasks are after each. */
  @Test
  void whatDoesNotFollowOnTheStateIsVoid() throws BadMessage {
    Tables t = withJob(2);
    record Row(List<Object> entry, String expected) {}
    List<Row> rows =
        List.of(
            new Row(entry(LogEntry.exited(JOB), 0, 1, 1), "WAITING0 WAITING0"),
            new Row(entry(LogEntry.placed(JOB, 1), 0, 1, "i-1", 1, 1, "i-2"), "LIVE1 LIVE1"),
            // Placed already: a second placement of it must not take effect.
            new Row(entry(LogEntry.placed(JOB, 2), 0, 2, "i-9"), "LIVE1 LIVE1"),
            new Row(entry(LogEntry.stopped(JOB, TaskState.Stop.SAVE), 0, 1), "LIVE1S LIVE1"),
            // Of an attempt that is not the live one.
            new Row(entry(LogEntry.exited(JOB), 1, 2, 1), "LIVE1S LIVE1"),
            new Row(entry(LogEntry.exited(JOB), 0, 1, 0), "WAITING1 LIVE1"),
            // An attempt's number is never used again.
            new Row(entry(LogEntry.placed(JOB, 1), 0, 1, "i-1"), "WAITING1 LIVE1"),
            new Row(entry(LogEntry.exited(JOB), 1, 1, 1), "WAITING1 DONE0"),
            new Row(entry(LogEntry.placed(JOB, 1), 1, 5, "i-1"), "WAITING1 DONE0"));
    long rev = 10;
    for (Row r : rows) {
      apply(t, page(t, "n0", rev++, r.entry));
      String is = "";
      for (int i = 0; i < 2; i++) {
        TaskState s = t.job(JOB).task(i);
        is += " " + s.phase() + s.attempt() + (s.stop() == TaskState.Stop.NONE ? "" : "S");
      }
      assertEquals(r.expected, is.trim(), r.entry.toString());
    }
  }

  /** Two nodes report two members' ends at the same time; neither knows of the other's. */
  @Test
  void aGangIsDoneTogetherWhoeverReportsIt() throws BadMessage {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    apply(t, job("ensemble", 2));
    apply(t, page(t, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1", 1, 1, "i-2")));
    apply(t, page(t, "n1", 11, entry(LogEntry.exited(JOB), 1, 1, 1)));
    apply(t, page(t, "n2", 12, entry(LogEntry.exited(JOB), 0, 1, 0)));
    assertEquals(2, t.job(JOB).doneCount());
  }

  /** What was stored of a chunk stands for the entries that it holds, and for no later ones. */
  @Test
  void aLoadTakesChunksThenOnlyNewerEntries() throws BadMessage {
    Tables t = withJob(2);
    apply(t, page(t, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1")));
    Job j = t.job(JOB);
    StateServiceClient.Change chunk =
        new StateServiceClient.Change(j.chunkKey(0), raw(j.encodeChunk(0, 10, j::task)), 12);
    StateServiceClient.Change exit = page(t, "n1", 11, entry(LogEntry.exited(JOB), 0, 1, 0));
    apply(t, exit);
    apply(t, chunk);
    StateServiceClient.Change again =
        page(t, "n0", 13, entry(LogEntry.placed(JOB, 0), 0, 2, "i-2"));
    apply(t, again);
    // The same from the start: the pages first, as they were read, then the rest.
    Tables fresh = new Tables(List.of(), LevelRange.BUILD, () -> {});
    fresh.load(List.of(again, exit, job("batch", 2), chunk), 13);
    for (Tables x : List.of(t, fresh)) {
      assertEquals(2, x.job(JOB).task(0).attempt());
      assertEquals("i-2", x.job(JOB).task(0).machine().name());
      assertEquals(1, x.getOrCreateMachine("i-2").slots().size());
      assertEquals(0, x.getOrCreateMachine("i-1").slots().size());
    }
  }

  /** Pages are listed one after the other: what is newer than the first waits for its turn. */
  @Test
  void aLoadLeavesNewerEntriesToTheWatch() throws BadMessage {
    Tables t = withJob(2);
    StateServiceClient.Change exit = page(t, "n1", 11, entry(LogEntry.exited(JOB), 0, 1, 1));
    StateServiceClient.Change placed =
        page(t, "n0", 10, entry(LogEntry.placed(JOB, 0), 0, 1, "i-1"));
    Tables fresh = new Tables(List.of(), LevelRange.BUILD, () -> {});
    // Listed at revision 9, when n0's page was not there yet; n1's was listed later.
    fresh.load(List.of(exit, job("batch", 2)), 9);
    assertEquals(TaskState.Phase.WAITING, fresh.job(JOB).task(0).phase());
    fresh.apply(List.of(placed, exit), 11);
    assertEquals(TaskState.Phase.DONE, fresh.job(JOB).task(0).phase());
  }

  /** The phases of a machine as its entries come, from whichever node; ! marks a void one. */
  @ParameterizedTest
  @CsvSource({
    "BOOTING UP LOST UP DRAINING GONE, GONE",
    "UP BOOTING, UP",
    "UP GONE UP, GONE",
    "UP DRAINING UP LOST, DRAINING",
    "BOOTING GONE DRAINING, GONE",
  })
  void aMachinesPhasesFollowOnEachOther(String phases, Machine.Phase expected) throws BadMessage {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    long rev = 1;
    for (String p : phases.split(" ")) {
      Machine.Info i = new Machine.Info("g4", "a", false, Machine.Phase.valueOf(p), 5);
      apply(t, page(t, "n" + rev % 3, ++rev, LogEntry.machine("i-000001", i)));
    }
    assertEquals(expected, t.machine("i-000001").phase());
  }

  @Test
  void statesChangeOnlyAsTheyMay() {
    Machine m = new Tables(List.of(), LevelRange.BUILD, () -> {}).getOrCreateMachine("i");
    TaskState live = TaskState.NEW.placed(1, m, 0);
    assertThrows(IllegalStateException.class, () -> live.placed(2, m, 0));
    assertThrows(IllegalStateException.class, () -> TaskState.waiting(3).placed(3, m, 0));
    assertThrows(IllegalStateException.class, () -> TaskState.FINISHED.exited("error"));
    assertThrows(IllegalStateException.class, () -> TaskState.NEW.stopping(TaskState.Stop.KILL));
    assertEquals(TaskState.FINISHED, live.exited("done"));
    assertEquals(TaskState.waiting(1), live.exited(null));
    // A stop only gets harder.
    TaskState killed = live.stopping(TaskState.Stop.KILL);
    assertEquals(killed, killed.stopping(TaskState.Stop.SAVE));
  }

  /**
   * Exits in their order: the job, the machine, and + for one that was done. Then for how many
   * seconds machine 1 is shunned, and whether job a is taken for one that fails everywhere.
   */
  @ParameterizedTest
  @CsvSource({
    "a1, 10, false",
    "a1 a1 a1, 10, false",
    "a1 b1, 120, false",
    "a1 b1 c1, 240, false",
    "a1 b1+ c1, 10, false",
    "a1 b1 c1+, 0, false",
    // A job with a mistake fails wherever it runs: no machine is shunned for it.
    "a1 a2, 0, true",
    "a1 a2 b1, 10, true",
    // Both at once: a is taken for faulty, and the machine still fails two others.
    "a1 a2 b1 c1, 120, true",
    // It had met two faulty machines: once a task of it is done elsewhere, both are shunned.
    "a1 a2 b1 a3+, 120, false",
  })
  void aFaultyMachineIsToldFromAFaultyJob(String exits, long shunS, boolean suspect) {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    Map<Character, Job> jobs = new TreeMap<>();
    for (String e : exits.split(" ")) {
      Job j = jobs.computeIfAbsent(e.charAt(0), k -> job(t, k));
      int index = j.doneCount();
      int attempt = j.task(index).attempt() + 1;
      assertTrue(j.applyPlacement(index, attempt, t.getOrCreateMachine("i-" + e.charAt(1)), 0));
      assertTrue(
          j.applyExit(index, attempt, e.endsWith("+") ? LogEntry.EXIT_DONE : LogEntry.EXIT_FAILED));
    }
    assertEquals(shunS * 1000, t.getOrCreateMachine("i-1").quarantinedUntilMs(0));
    assertEquals(suspect, jobs.get('a').isSuspected());
  }

  /** A suspect's tries are further and further apart, and failures of one wave count once. */
  @Test
  void aSuspectBacksOff() {
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    Job j = job(t, 1);
    long now = 1_000_000;
    for (int i = 0; i < 2; i++) {
      assertTrue(j.applyPlacement(i, 1, t.getOrCreateMachine("i-" + i), 0));
      assertTrue(j.applyExit(i, 1, LogEntry.EXIT_FAILED));
    }
    for (long pause : new long[] {4, 8, 16, 32, 64, 64}) {
      j.backOffAfterFailures(now);
      j.backOffAfterFailures(now + 1);
      assertEquals(now + pause * 1000, j.retryAtMs());
      now = j.retryAtMs();
      int attempt = j.task(0).attempt() + 1;
      assertTrue(j.applyPlacement(0, attempt, t.getOrCreateMachine("i-3"), 0));
      assertTrue(j.applyExit(0, attempt, LogEntry.EXIT_FAILED));
    }
  }

  private static Map<String, String> members(String s) {
    Map<String, String> m = new TreeMap<>();
    if (s != null) {
      for (String p : s.split(" ")) {
        m.put(p.substring(0, 1), p.substring(1));
      }
    }
    return m;
  }

  /** Members as name and incarnation; the expected view as epoch and leader, or - for no change. */
  @ParameterizedTest(name = "{0}, leader {1}, live {2}: {3}")
  @CsvSource({
    "a1 b1 c1, a, a1 b1 c1, -",
    "a1 b1 c1, a, , -",
    "a1 b1 c1, a, a1 b1, 8a",
    "a1 b1 c1, a, b1 c1, 8b",
    // The leader came back as another incarnation: it has to settle first, so another leads.
    "a1 b1 c1, a, a2 b1 c1, 8b",
    // All are new: someone must lead.
    "a1 b1 c1, a, a2 b2 c2, 8a",
    "b1, b, a1 b1, 8b",
  })
  void theNextView(String now, String leader, String live, String expected) {
    View v = new View(7, members(now), leader);
    View n = View.nextView(v, members(live), Map.of());
    assertEquals(expected, n == null ? "-" : n.epoch() + n.leader());
  }

  /** Rendezvous: a member's going moves its own machines and no others. */
  @Test
  void onlyTheLostMembersMachinesMove() {
    View all = new View(1, members("a1 b1 c1"), "a");
    View less = new View(2, members("a1 b1"), "a");
    int moved = 0;
    Map<String, Integer> sizes = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      String name = String.format("i-%06d", i);
      sizes.merge(all.owner(name), 1, Integer::sum);
      if (all.owner(name).equals("c")) {
        moved++;
        assertNotEquals("c", less.owner(name));
      } else {
        assertEquals(all.owner(name), less.owner(name));
      }
    }
    assertTrue(moved > 60, "parts are uneven: " + sizes);
  }

  /** A machine's owner is in its own zone, unless that has none, or too few for so many. */
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
  void partsKeepToTheirZone(String who, String zones, String zone, String owners) {
    Map<String, String> at = new HashMap<>();
    String[] w = who.split(" ");
    for (int i = 0; i < w.length; i++) {
      at.put(w[i].substring(0, 1), zones.split(" ")[i]);
    }
    View v = new View(1, members(who), "a", at);
    Set<String> seen = new TreeSet<>();
    for (int i = 0; i < 200; i++) {
      seen.add(v.owner(String.format("i-%06d", i), zone));
    }
    assertEquals(owners, String.join(" ", seen));
  }

  /**
   * A chunk of 64 tasks that all run, with names and attempts so long that it would not fit: each
   * machine is named once, and it is read as what it was.
   */
  @ParameterizedTest
  @CsvSource({"1800, 8, 9, 2", "1800, 30, 9, 3", "1400, 8, 99999, 3", "1000, 8, 9, 3"})
  void aChunkFitsItsValue(int most, int nameLength, int attempt, int form) throws BadMessage {
    Tables t = withJob(64);
    Job j = t.job(JOB);
    List<Object> placed = LogEntry.placed(JOB, 3);
    for (int i = 0; i < 64; i++) {
      String name = "i-" + "0".repeat(nameLength - 4) + (10 + i / 4);
      placed.addAll(List.of(i, i % 5 == 0 ? attempt : 1, name));
    }
    t.apply(
        List.of(
            new StateServiceClient.Change(
                LogPage.key("n0", 1),
                raw(LogPage.encode(null, 2, List.of(placed), (r, e) -> false)),
                20)),
        20);
    assertEquals(64, j.liveCount());
    Object stored = j.chunkToStore(0, 21, j::task, 2, most);
    assertEquals(form, Encoding.versionOf(raw(stored)));
    assertTrue(MessageCodec.jsonSize(stored) <= most, "size " + MessageCodec.jsonSize(stored));
    Tables again = withJob(64);
    again.load(
        List.of(job("batch", 64), new StateServiceClient.Change(j.chunkKey(0), raw(stored), 21)),
        21);
    for (int i = 0; i < 64; i++) {
      assertEquals(j.task(i).attempt(), again.job(JOB).task(i).attempt());
      assertEquals(j.task(i).machine().name(), again.job(JOB).task(i).machine().name());
      assertEquals(3, again.job(JOB).task(i).placer());
    }
  }
}
