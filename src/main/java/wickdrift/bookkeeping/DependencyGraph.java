package wickdrift.bookkeeping;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.JobSpec;

/**
 * The dependencies between unfinished jobs, and what follows from them: which jobs may start, which
 * are withdrawn together with an awaited job, and which priority and deadline a job inherits from
 * its dependents. Changes of the tables update the graph, at a cost proportional to the affected
 * jobs.
 *
 * <p>The graph is not stored. Terminal states and withdrawals are final, and all nodes read them in
 * the same order, so all nodes derive the same irrevocable results; a node whose tables lag derives
 * them late but never wrongly. A withdrawal also withdraws all direct and transitive dependents, at
 * the revision at which it becomes durable and without a further write.
 *
 * <p>A job can await only jobs that were accepted before it, so the graph has no cycles, and
 * propagation terminates.
 */
public final class DependencyGraph {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGraph.class);

  /** More steps than any graph needs: exceeding this limit means that there is a cycle, a bug. */
  private static final int MAX_PROPAGATION_STEPS = 1_000_000;

  private final Function<String, Job> unfinishedJobs;
  private final Function<String, TerminalState> knownTerminalStates;

  /** The direct dependents of each awaited job, by its id. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /** The known terminal states of jobs that an unfinished job awaits. */
  private final Map<String, TerminalState> terminalStates = new HashMap<>();

  /** Awaited jobs that are not in the tables and whose terminal state is not known here. */
  private final TreeSet<String> unresolved = new TreeSet<>();

  /**
   * Creates an empty graph.
   *
   * @param unfinishedJobs finds a job in the tables by its id, or null
   * @param knownTerminalStates finds the terminal state of a job if it is known here, or null
   */
  DependencyGraph(
      Function<String, Job> unfinishedJobs, Function<String, TerminalState> knownTerminalStates) {
    this.unfinishedJobs = unfinishedJobs;
    this.knownTerminalStates = knownTerminalStates;
  }

  void reset() {
    dependents.clear();
    terminalStates.clear();
    unresolved.clear();
  }

  /** The awaited jobs whose terminal states must be looked up in the job history. */
  public TreeSet<String> unresolved() {
    return unresolved;
  }

  /** The direct dependents of a job. */
  public Set<Job> dependents(String id) {
    return dependents.getOrDefault(id, Set.of());
  }

  // ---- changes ----

  /** Handles a job that was added to the tables, or whose awaited ids are now all read. */
  void jobAdded(Job job) {
    job.awaits().forEach(a -> dependents.computeIfAbsent(a, k -> new LinkedHashSet<>()).add(job));
    unresolved.remove(job.id());
    // A load adds jobs in the order of their ids, so dependents may have been added before.
    job.setInheritedUrgency(combinedUrgency(job));
    raiseUrgency(job);
    updateStates(job);
    dependents(job.id()).forEach(this::updateStates);
  }

  /** Handles a job that was withdrawn by its user. */
  void jobChanged(Job job) {
    updateStates(job);
    dependents(job.id()).forEach(this::updateStates);
  }

  /** Handles a terminal state that became known, from the tables or from the job history. */
  void jobTerminated(String id, TerminalState terminalState) {
    unresolved.remove(id);
    if (dependents.containsKey(id) && terminalStates.put(id, terminalState) == null) {
      List.copyOf(dependents(id)).forEach(this::updateStates);
    }
  }

  /** Handles a job that was removed from the tables. */
  void jobRemoved(Job job) {
    for (String awaitedId : job.awaits()) {
      Set<Job> waitingJobs = dependents.get(awaitedId);
      if (waitingJobs != null && waitingJobs.remove(job) && waitingJobs.isEmpty()) {
        dependents.remove(awaitedId);
        terminalStates.remove(awaitedId);
        unresolved.remove(awaitedId);
      }
    }
    List.copyOf(dependents(job.id())).forEach(this::updateStates);
    recomputeUrgency(job);
  }

  // ---- dependency states ----

  private void updateStates(Job first) {
    ArrayDeque<Job> pending = new ArrayDeque<>(List.of(first));
    while (!pending.isEmpty()) {
      Job job = pending.poll();
      Job.DependencyState oldState = job.dependencyState();
      boolean wasWithdrawn = job.withdrawn();
      if (oldState == Job.DependencyState.READY || oldState == Job.DependencyState.WITHDRAWN) {
        continue;
      }
      long readyWallMs = 0;
      Job.DependencyState newState =
          hasAllAwaitedIds(job) ? Job.DependencyState.READY : Job.DependencyState.UNRESOLVED;
      for (String awaitedId : job.awaits()) {
        TerminalState terminalState = terminalState(awaitedId);
        Job awaitedJob = terminalState == null ? unfinishedJobs.apply(awaitedId) : null;
        if (terminalState != null
            ? !terminalState.done()
            : awaitedJob != null && awaitedJob.withdrawn()) {
          newState = Job.DependencyState.WITHDRAWN;
          break;
        } else if (terminalState != null) {
          readyWallMs = Math.max(readyWallMs, terminalState.atWallMs());
        } else if (awaitedJob == null) {
          unresolved.add(awaitedId);
          newState = Job.DependencyState.UNRESOLVED;
        } else if (awaitedJob.dependencyState() == Job.DependencyState.UNRESOLVED) {
          newState = Job.DependencyState.UNRESOLVED;
        } else if (newState == Job.DependencyState.READY) {
          newState = Job.DependencyState.WAITING;
        }
      }
      if (newState != oldState) {
        job.setDependencyState(newState, readyWallMs);
      }
      // The states of the dependents depend on whether this job is resolved and whether it is
      // withdrawn.
      boolean resolutionChanged =
          (oldState == Job.DependencyState.UNRESOLVED)
              != (newState == Job.DependencyState.UNRESOLVED);
      if (resolutionChanged || wasWithdrawn != job.withdrawn()) {
        pending.addAll(dependents(job.id()));
      }
    }
  }

  /** Whether the ids of all awaited jobs have been read. */
  private static boolean hasAllAwaitedIds(Job job) {
    return job.overflow() == null || !job.awaits().isEmpty();
  }

  private TerminalState terminalState(String id) {
    TerminalState known = terminalStates.get(id);
    if (known == null && (known = knownTerminalStates.apply(id)) != null) {
      terminalStates.put(id, known);
      unresolved.remove(id);
    }
    return known;
  }

  // ---- inherited priorities and deadlines ----

  /** The urgency that a job inherits from all its direct dependents. */
  private Job.InheritedUrgency combinedUrgency(Job job) {
    Job.InheritedUrgency urgency = Job.InheritedUrgency.NONE;
    for (Job dependent : dependents(job.id())) {
      urgency = urgency.combine(urgencyFrom(dependent, job));
    }
    return urgency;
  }

  /** The urgency that an awaited job inherits from one dependent. */
  private static Job.InheritedUrgency urgencyFrom(Job dependent, Job awaitedJob) {
    boolean sameTeam = dependent.spec().team().equals(awaitedJob.spec().team());
    JobSpec spec = dependent.spec();
    long endByWallMs =
        spec.deadlineS() == null
            ? Long.MAX_VALUE
            : dependent.acceptedWallMs() + (long) (spec.deadlineS() * 1000);
    long startByWallMs =
        Math.min(minusSeconds(endByWallMs, spec.estimatedRunS()), dependent.startByWallMs());
    return new Job.InheritedUrgency(
        dependent.effectivePriority(),
        sameTeam ? dependent.preemptionPriority() : JobSpec.Priority.LOW,
        minusSeconds(startByWallMs, awaitedJob.spec().estimatedRunS()));
  }

  private static long minusSeconds(long wallMs, double seconds) {
    return wallMs == Long.MAX_VALUE ? wallMs : wallMs - (long) (seconds * 1000);
  }

  /** Raises the urgency of all jobs that a job awaits directly or transitively. */
  private void raiseUrgency(Job first) {
    ArrayDeque<Job> pending = new ArrayDeque<>(List.of(first));
    for (int steps = 0; !pending.isEmpty(); steps++) {
      Job job = pending.poll();
      for (Job awaitedJob : unfinishedAwaitedJobs(job)) {
        Job.InheritedUrgency urgency =
            awaitedJob.inheritedUrgency().combine(urgencyFrom(job, awaitedJob));
        if (!urgency.equals(awaitedJob.inheritedUrgency())) {
          awaitedJob.setInheritedUrgency(urgency);
          pending.add(awaitedJob);
        }
      }
      if (steps > MAX_PROPAGATION_STEPS) {
        LOG.error("dependency cycle: job={}", first.id());
        return;
      }
    }
  }

  /**
   * Recomputes the urgency of the jobs that a removed job awaited. Some may be unfinished, if the
   * job was withdrawn, and no longer inherit from it.
   */
  private void recomputeUrgency(Job removed) {
    ArrayDeque<Job> pending = new ArrayDeque<>(unfinishedAwaitedJobs(removed));
    for (int steps = 0; !pending.isEmpty() && steps <= MAX_PROPAGATION_STEPS; steps++) {
      Job job = pending.poll();
      Job.InheritedUrgency urgency = combinedUrgency(job);
      if (!urgency.equals(job.inheritedUrgency())) {
        job.setInheritedUrgency(urgency);
        pending.addAll(unfinishedAwaitedJobs(job));
      }
    }
  }

  /** The jobs that a job awaits and that are in the tables. */
  private List<Job> unfinishedAwaitedJobs(Job job) {
    List<Job> unfinished = new ArrayList<>();
    for (String awaitedId : job.awaits()) {
      Job awaitedJob = unfinishedJobs.apply(awaitedId);
      if (awaitedJob != null) {
        unfinished.add(awaitedJob);
      }
    }
    return unfinished;
  }
}
