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
 * Which unfinished jobs await which, and what follows from that alone: who may start, who is
 * withdrawn with another, and what rank and haste the last jobs of a chain lend to the first. Kept
 * up to date by the changes of the tables, at a cost that grows with the chain at hand.
 *
 * <p>Nothing of it is stored. An end is final, and so is a withdrawal; all readers have the same of
 * them in the same order. So what is drawn from them is the same for all, can't be taken back, and
 * a table that lags may draw it late, never wrongly. A withdrawal takes with it, at the revision at
 * which it becomes durable, all that need the job, at every depth, with no further write.
 *
 * <p>A job can name only jobs that were accepted before it, so there is no cycle; the ends of what
 * propagates here rely on that.
 */
public final class DependencyGraph {
  private static final Logger LOG = LoggerFactory.getLogger(DependencyGraph.class);

  /** Far above any chain: who comes here has found a cycle, which can't be. */
  private static final int MAX_PROPAGATION_STEPS = 1_000_000;

  private final Function<String, Job> unfinishedJobs;
  private final Function<String, TerminalState> knownTerminalStates;

  /** By an awaited job, those that await it. */
  private final Map<String, Set<Job>> dependents = new HashMap<>();

  /** How those ended that an unfinished job awaits. */
  private final Map<String, TerminalState> terminalStates = new HashMap<>();

  /** Awaited jobs that are over, of which it is not known here how they ended. */
  private final TreeSet<String> unresolved = new TreeSet<>();

  /**
   * @param unfinishedJobs a job of the tables, or null
   * @param knownTerminalStates how a job ended, if that is known here, or null
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

  /** The jobs of which it must be read how they ended. */
  public TreeSet<String> unresolved() {
    return unresolved;
  }

  /** The jobs that await one. */
  public Set<Job> dependents(String id) {
    return dependents.getOrDefault(id, Set.of());
  }

  // ---- changes ----

  /** A job appeared in the tables; its names may be there in part. */
  void jobAdded(Job job) {
    job.awaits().forEach(a -> dependents.computeIfAbsent(a, k -> new LinkedHashSet<>()).add(job));
    unresolved.remove(job.id());
    // A load brings jobs in the order of their ids: those that await it may have come before.
    job.setInheritedUrgency(combinedUrgency(job));
    raiseUrgency(job);
    updateStates(job);
    dependents(job.id()).forEach(this::updateStates);
  }

  /** A job was withdrawn by its user, or its names are all there. */
  void jobChanged(Job job) {
    updateStates(job);
    dependents(job.id()).forEach(this::updateStates);
  }

  /** It is known how a job ended. */
  void jobTerminated(String id, TerminalState terminalState) {
    unresolved.remove(id);
    if (dependents.containsKey(id) && terminalStates.put(id, terminalState) == null) {
      List.copyOf(dependents(id)).forEach(this::updateStates);
    }
  }

  /** A job is out of the tables. */
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

  // ---- who may start, and who is withdrawn ----

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
          hasAllAwaitedNames(job) ? Job.DependencyState.READY : Job.DependencyState.UNRESOLVED;
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
      // Those after it draw from whether it is clear, and whether it is withdrawn.
      boolean resolutionChanged =
          (oldState == Job.DependencyState.UNRESOLVED)
              != (newState == Job.DependencyState.UNRESOLVED);
      if (resolutionChanged || wasWithdrawn != job.withdrawn()) {
        pending.addAll(dependents(job.id()));
      }
    }
  }

  /** Whether all its names are there. */
  private static boolean hasAllAwaitedNames(Job job) {
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

  // ---- what the last of a chain lends to the first ----

  /** What those that await a job lend to it. */
  private Job.InheritedUrgency combinedUrgency(Job job) {
    Job.InheritedUrgency urgency = Job.InheritedUrgency.NONE;
    for (Job dependent : dependents(job.id())) {
      urgency = urgency.combine(urgencyFrom(dependent, job));
    }
    return urgency;
  }

  /** What a job lends to one that it awaits. */
  private static Job.InheritedUrgency urgencyFrom(Job dependent, Job awaitedJob) {
    boolean sameTeam = dependent.spec().team().equals(awaitedJob.spec().team());
    JobSpec spec = dependent.spec();
    long endByWallMs =
        spec.deadlineS() == null
            ? Long.MAX_VALUE
            : dependent.acceptedWallMs() + (long) (spec.deadlineS() * 1000);
    long startByWallMs =
        Math.min(minusSeconds(endByWallMs, spec.estimateS()), dependent.startByWallMs());
    return new Job.InheritedUrgency(
        dependent.effectivePriority(),
        sameTeam ? dependent.preemptionPriority() : JobSpec.Priority.LOW,
        minusSeconds(startByWallMs, awaitedJob.spec().estimateS()));
  }

  private static long minusSeconds(long wallMs, double seconds) {
    return wallMs == Long.MAX_VALUE ? wallMs : wallMs - (long) (seconds * 1000);
  }

  /** A job lends to those that it awaits, and they to those before them. */
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
        LOG.error("what {} awaits leads back to it", first.id());
        return;
      }
    }
  }

  /** A job is over: those that it awaited and that are not, as when it was withdrawn, lose that. */
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

  /** Those that a job awaits and that are not over. */
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
