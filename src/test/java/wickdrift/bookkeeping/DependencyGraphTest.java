package wickdrift.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** What follows from who awaits whom, against a model that works it out anew each time. */
class DependencyGraphTest {
  /** One job of the model. */
  private static final class ModelJob {
    final int number;
    final List<Integer> dependencies;
    final String priority;
    final String team;
    boolean accepted;
    boolean withdrawalRequested;
    String terminalPhase;

    ModelJob(int number, List<Integer> dependencies, String priority, String team) {
      this.number = number;
      this.dependencies = dependencies;
      this.priority = priority;
      this.team = team;
    }
  }

  private final List<ModelJob> modelJobs = new ArrayList<>();
  private final TreeMap<String, Object> storedValues = new TreeMap<>();
  private final Map<String, Long> stamps = new HashMap<>();
  private long revision = 10;

  private static String jobId(int number) {
    return String.format("req-%06d", number);
  }

  private JobSpec specOf(ModelJob job) throws BadMessage {
    Map<String, Object> fields = SimJobs.job(job.number, "batch", 1, 1, 10);
    fields.put("rank", job.priority);
    fields.put("owner", job.team);
    fields.put("dueS", 100.0 + job.number % 5 * 20);
    SimJobs.awaiting(fields, job.dependencies.stream().mapToInt(i -> i).toArray());
    return JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
  }

  private StateServiceClient.Change storeValue(String key, Object value) throws BadMessage {
    Object stored = value == null ? null : MessageCodec.decode(MessageCodec.encode(value));
    if (stored == null) {
      storedValues.remove(key);
    } else {
      storedValues.put(key, stored);
    }
    stamps.put(key, revision);
    return new StateServiceClient.Change(key, stored, revision);
  }

  // ---- the model ----

  private boolean isWithdrawn(ModelJob job) {
    return job.withdrawalRequested
        || "withdrawn".equals(job.terminalPhase)
        || job.dependencies.stream().anyMatch(a -> isWithdrawn(modelJobs.get(a)));
  }

  private boolean isReady(ModelJob job) {
    return job.dependencies.stream().allMatch(a -> "done".equals(modelJobs.get(a).terminalPhase));
  }

  private static int priorityOrdinal(String wire) {
    for (JobSpec.Priority p : JobSpec.Priority.values()) {
      if (p.wire().equals(wire)) {
        return p.ordinal();
      }
    }
    throw new AssertionError(wire);
  }

  private int inheritedPriority(ModelJob job, boolean sameTeam) {
    int best = priorityOrdinal(job.priority);
    for (ModelJob dependent : modelJobs) {
      if (dependent.accepted
          && dependent.terminalPhase == null
          && dependent.dependencies.contains(job.number)) {
        boolean counts = !sameTeam || dependent.team.equals(job.team);
        best = counts ? Math.min(best, inheritedPriority(dependent, sameTeam)) : best;
      }
    }
    return best;
  }

  private void assertMatchesModel(Tables tables) {
    for (ModelJob modelJob : modelJobs) {
      Job job = tables.job(jobId(modelJob.number));
      assertEquals(
          modelJob.accepted && modelJob.terminalPhase == null, job != null, jobId(modelJob.number));
      if (job == null) {
        continue;
      }
      assertEquals(isWithdrawn(modelJob), job.withdrawn(), jobId(modelJob.number) + " withdrawn");
      assertEquals(
          !isWithdrawn(modelJob) && isReady(modelJob)
              || modelJob.withdrawalRequested && job.dependencyState() == Job.DependencyState.READY,
          job.dependencyState() == Job.DependencyState.READY);
      assertEquals(
          inheritedPriority(modelJob, false),
          job.effectivePriority().ordinal(),
          jobId(modelJob.number) + " rank");
      assertEquals(
          inheritedPriority(modelJob, true),
          job.preemptionPriority().ordinal(),
          jobId(modelJob.number) + " team rank");
    }
    assertTrue(
        tables.dependencies().unresolved().isEmpty(),
        "unknown " + tables.dependencies().unresolved());
  }

  /** Each step is one change of the store, as it would come; now and then all is loaded anew. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void dependencyStatesMatchTheModelAfterRandomChanges(long seed) throws BadMessage {
    Random random = new Random(seed);
    int size = 24;
    String[] priorities = {"production", "urgent", "standard", "idle"};
    for (int n = 0; n < size; n++) {
      Set<Integer> dependencies = new HashSet<>();
      for (int k = random.nextInt(4); n > 0 && k > 0; k--) {
        dependencies.add(random.nextInt(n));
      }
      modelJobs.add(
          new ModelJob(
              n,
              List.copyOf(dependencies),
              priorities[random.nextInt(4)],
              random.nextBoolean() ? "a" : "b"));
    }
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    for (int step = 0; step < 400; step++) {
      revision++;
      ModelJob n = modelJobs.get(random.nextInt(size));
      List<StateServiceClient.Change> changes = new ArrayList<>();
      if (!n.accepted && n.dependencies.stream().allMatch(a -> modelJobs.get(a).accepted)) {
        n.accepted = true;
        changes.add(
            storeValue(Job.key(jobId(n.number)), Job.toStore(specOf(n), null, revision, "n0", 0)));
      } else if (n.accepted && n.terminalPhase == null && random.nextInt(8) == 0) {
        n.withdrawalRequested = true;
        changes.add(
            storeValue(
                Job.key(jobId(n.number)), Job.toStore(specOf(n), null, revision, "n0", revision)));
      } else if (n.accepted
          && n.terminalPhase == null
          && (isWithdrawn(n) || isReady(n))
          && random.nextInt(3) == 0) {
        n.terminalPhase = isWithdrawn(n) ? "withdrawn" : "done";
        changes.add(storeValue(Job.key(jobId(n.number)), null));
        changes.add(
            storeValue(
                Job.terminalStateKey(jobId(n.number)),
                new TerminalState(n.terminalPhase, 1, revision).toStore(true)));
      }
      tables.apply(changes, revision);
      resolveTerminalStates(tables);
      assertMatchesModel(tables);
      if (random.nextInt(40) == 0) {
        tables = reloadTables();
        resolveTerminalStates(tables);
        assertMatchesModel(tables);
      }
    }
  }

  /** A copy loaded anew, which knows no ends. */
  private Tables reloadTables() throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    List<StateServiceClient.Change> all = new ArrayList<>();
    storedValues.forEach(
        (k, v) -> {
          if (!k.startsWith("w/d/")) {
            all.add(new StateServiceClient.Change(k, v, stamps.get(k)));
          }
        });
    tables.load(all, revision);
    return tables;
  }

  /** Tells it how those ended of which it does not know, as one read does. */
  private void resolveTerminalStates(Tables tables) throws BadMessage {
    for (String id : List.copyOf(tables.dependencies().unresolved())) {
      for (Job job : tables.dependencies().dependents(id)) {
        assertTrue(
            job.dependencyState() == Job.DependencyState.UNRESOLVED || job.withdrawn(),
            job.id() + " is clear without " + id);
      }
      tables.rememberTerminalState(
          id, TerminalState.parse(Document.of(storedValues.get(Job.terminalStateKey(id)))));
    }
  }

  /** Haste: the last one's deadline, less what the stages between are expected to take. */
  @ParameterizedTest
  @CsvSource({"0, 61000", "1, 71000", "2, 81000", "3, 91000"})
  void latestStartIsPropagatedToDependencies(int jobNumber, long expectedStartByMs)
      throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    for (int number = 0; number < 4; number++) {
      Map<String, Object> fields = SimJobs.job(number, "batch", 1, 1, 10);
      if (number > 0) {
        SimJobs.awaiting(fields, number - 1);
      }
      if (number == 3) {
        fields.put("dueS", 100.0);
      }
      JobSpec spec = JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
      Object stored =
          MessageCodec.decode(MessageCodec.encode(Job.toStore(spec, null, 1000, "n0", 0)));
      tables.apply(
          List.of(new StateServiceClient.Change(Job.key(spec.id()), stored, ++revision)), revision);
    }
    long actual = tables.job(jobId(jobNumber)).startByWallMs();
    assertEquals(jobNumber == 3 ? Long.MAX_VALUE : expectedStartByMs, actual);
    // What it lends is taken back when it is withdrawn and gone.
    tables.apply(
        List.of(new StateServiceClient.Change(Job.key(jobId(3)), null, ++revision)), revision);
    assertEquals(Long.MAX_VALUE, tables.job(jobId(0)).startByWallMs());
  }

  /** A thousand chains of six, one awaited by a thousand, and a chain of a hundred: in a blink. */
  @Test
  void aChangeExaminesOnlyTheJobsThatItAffects() throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    int next = 0;
    List<StateServiceClient.Change> all = new ArrayList<>();
    for (int chain = 0; chain < 1000; chain++) {
      for (int stage = 0; stage < 6; stage++) {
        all.add(jobChange(next, stage == 0 ? -1 : next - 1));
        next++;
      }
    }
    int hub = next++;
    all.add(jobChange(hub, -1));
    for (int i = 0; i < 1000; i++) {
      all.add(jobChange(next++, hub));
    }
    int firstOfLongChain = next;
    for (int i = 0; i < 100; i++) {
      all.add(jobChange(next, i == 0 ? -1 : next - 1));
      next++;
    }
    tables.load(all, revision);
    assertEquals(
        1000 + 1 + 1,
        tables.jobs().stream()
            .filter(job -> job.dependencyState() == Job.DependencyState.READY)
            .count());
    revision++;
    tables.apply(
        List.of(
            new StateServiceClient.Change(
                Job.terminalStateKey(jobId(hub)),
                MessageCodec.decode(
                    MessageCodec.encode(new TerminalState("done", 1, 1).toStore(true))),
                revision),
            new StateServiceClient.Change(Job.key(jobId(hub)), null, revision)),
        revision);
    assertEquals(
        2001,
        tables.jobs().stream()
            .filter(job -> job.dependencyState() == Job.DependencyState.READY)
            .count());
    tables.drainChangedJobs();
    // A withdrawal of the first reaches the last, and nobody else is looked at.
    revision++;
    Job job = tables.job(jobId(firstOfLongChain));
    Object withdrawn = MessageCodec.decode(MessageCodec.encode(job.toStore("n0", 5)));
    tables.apply(List.of(new StateServiceClient.Change(job.key(), withdrawn, revision)), revision);
    assertTrue(tables.job(jobId(firstOfLongChain + 99)).withdrawn());
    assertEquals(100, tables.drainChangedJobs().size());
  }

  private StateServiceClient.Change jobChange(int number, int dependency) throws BadMessage {
    Map<String, Object> fields = SimJobs.job(number, "batch", 1, 1, 10);
    if (dependency >= 0) {
      SimJobs.awaiting(fields, dependency);
    }
    JobSpec spec = JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
    Object stored =
        MessageCodec.decode(MessageCodec.encode(Job.toStore(spec, null, 1000, "n0", 0)));
    return new StateServiceClient.Change(Job.key(spec.id()), stored, revision);
  }
}
