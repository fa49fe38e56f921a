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

/**
 * Compares the incrementally updated dependency states, inherited priorities and latest start times
 * of {@link DependencyGraph} with a model that computes them from scratch.
 */
class DependencyGraphTest {
  /** A job of the model. */
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
    SimJobs.addAwaits(fields, job.dependencies.stream().mapToInt(i -> i).toArray());
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

  // ---- the reference model ----

  private boolean isWithdrawn(ModelJob job) {
    return job.withdrawalRequested
        || "withdrawn".equals(job.terminalPhase)
        || job.dependencies.stream().anyMatch(a -> isWithdrawn(modelJobs.get(a)));
  }

  private boolean isReady(ModelJob job) {
    return job.dependencies.stream().allMatch(a -> "done".equals(modelJobs.get(a).terminalPhase));
  }

  private static int priorityOrdinal(String wireName) {
    for (JobSpec.Priority p : JobSpec.Priority.values()) {
      if (p.wireName().equals(wireName)) {
        return p.ordinal();
      }
    }
    throw new AssertionError(wireName);
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
          jobId(modelJob.number) + " effective priority");
      assertEquals(
          inheritedPriority(modelJob, true),
          job.preemptionPriority().ordinal(),
          jobId(modelJob.number) + " preemption priority");
    }
    assertTrue(
        tables.dependencies().unresolved().isEmpty(),
        "unresolved dependencies " + tables.dependencies().unresolved());
  }

  /** Each step applies one random change; occasionally the tables are reloaded from the store. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void dependencyStatesMatchTheModelAfterRandomChanges(long seed) throws BadMessage {
    Random random = new Random(seed);
    int jobCount = 24;
    String[] priorities = {"production", "urgent", "standard", "idle"};
    for (int number = 0; number < jobCount; number++) {
      Set<Integer> dependencies = new HashSet<>();
      for (int k = random.nextInt(4); number > 0 && k > 0; k--) {
        dependencies.add(random.nextInt(number));
      }
      modelJobs.add(
          new ModelJob(
              number,
              List.copyOf(dependencies),
              priorities[random.nextInt(4)],
              random.nextBoolean() ? "a" : "b"));
    }
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    for (int step = 0; step < 400; step++) {
      revision++;
      ModelJob job = modelJobs.get(random.nextInt(jobCount));
      List<StateServiceClient.Change> changes = new ArrayList<>();
      if (!job.accepted && job.dependencies.stream().allMatch(a -> modelJobs.get(a).accepted)) {
        job.accepted = true;
        changes.add(
            storeValue(
                Job.key(jobId(job.number)), Job.toStore(specOf(job), null, revision, "n0", 0)));
      } else if (job.accepted && job.terminalPhase == null && random.nextInt(8) == 0) {
        job.withdrawalRequested = true;
        changes.add(
            storeValue(
                Job.key(jobId(job.number)),
                Job.toStore(specOf(job), null, revision, "n0", revision)));
      } else if (job.accepted
          && job.terminalPhase == null
          && (isWithdrawn(job) || isReady(job))
          && random.nextInt(3) == 0) {
        job.terminalPhase = isWithdrawn(job) ? "withdrawn" : "done";
        changes.add(storeValue(Job.key(jobId(job.number)), null));
        changes.add(
            storeValue(
                Job.terminalStateKey(jobId(job.number)),
                new TerminalState(job.terminalPhase, 1, revision).toStore(true)));
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

  /** Loads new tables from the stored values except the terminal states of jobs. */
  private Tables reloadTables() throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    List<StateServiceClient.Change> changes = new ArrayList<>();
    storedValues.forEach(
        (k, v) -> {
          if (!k.startsWith("w/d/")) {
            changes.add(new StateServiceClient.Change(k, v, stamps.get(k)));
          }
        });
    tables.load(changes, revision);
    return tables;
  }

  /** Resolves unknown dependencies from their stored terminal states, as a history lookup does. */
  private void resolveTerminalStates(Tables tables) throws BadMessage {
    for (String id : List.copyOf(tables.dependencies().unresolved())) {
      for (Job job : tables.dependencies().dependents(id)) {
        assertTrue(
            job.dependencyState() == Job.DependencyState.UNRESOLVED || job.withdrawn(),
            job.id() + " is resolved without " + id);
      }
      tables.rememberTerminalState(
          id, TerminalState.parse(Document.of(storedValues.get(Job.terminalStateKey(id)))));
    }
  }

  /**
   * A job's latest start is the deadline of the last dependent minus the expected run time of the
   * stages between them.
   */
  @ParameterizedTest
  @CsvSource({"0, 61000", "1, 71000", "2, 81000", "3, 91000"})
  void latestStartIsPropagatedToDependencies(int jobNumber, long expectedStartByMs)
      throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    for (int number = 0; number < 4; number++) {
      Map<String, Object> fields = SimJobs.job(number, "batch", 1, 1, 10);
      if (number > 0) {
        SimJobs.addAwaits(fields, number - 1);
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
    // A dependent's deadline no longer counts once its record is removed.
    tables.apply(
        List.of(new StateServiceClient.Change(Job.key(jobId(3)), null, ++revision)), revision);
    assertEquals(Long.MAX_VALUE, tables.job(jobId(0)).startByWallMs());
  }

  /**
   * Applies changes to a thousand chains of six jobs, one job with a thousand dependents and a
   * chain of a hundred jobs.
   */
  @Test
  void aChangeExaminesOnlyTheJobsThatItAffects() throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    int next = 0;
    List<StateServiceClient.Change> changes = new ArrayList<>();
    for (int chain = 0; chain < 1000; chain++) {
      for (int stage = 0; stage < 6; stage++) {
        changes.add(jobChange(next, stage == 0 ? -1 : next - 1));
        next++;
      }
    }
    int hub = next++;
    changes.add(jobChange(hub, -1));
    for (int i = 0; i < 1000; i++) {
      changes.add(jobChange(next++, hub));
    }
    int firstOfLongChain = next;
    for (int i = 0; i < 100; i++) {
      changes.add(jobChange(next, i == 0 ? -1 : next - 1));
      next++;
    }
    tables.load(changes, revision);
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
    // Withdrawing the first job of the long chain reaches its last one and changes no other job.
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
      SimJobs.addAwaits(fields, dependency);
    }
    JobSpec spec = JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
    Object stored =
        MessageCodec.decode(MessageCodec.encode(Job.toStore(spec, null, 1000, "n0", 0)));
    return new StateServiceClient.Change(Job.key(spec.id()), stored, revision);
  }
}
