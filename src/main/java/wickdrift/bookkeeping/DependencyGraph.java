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
  private static final int MOST_STEPS = 1_000_000;

  private final Function<String, Job> unfinished;
  private final Function<String, TerminalState> remembered;

  /** By an awaited job, those that await it. */
  private final Map<String, Set<Job>> after = new HashMap<>();

  /** How those ended that an unfinished job awaits. */
  private final Map<String, TerminalState> ends = new HashMap<>();

  /** Awaited jobs that are over, of which it is not known here how they ended. */
  private final TreeSet<String> unknown = new TreeSet<>();

  /**
   * @param unfinished a job of the tables, or null
   * @param remembered how a job ended, if that is known here, or null
   */
  DependencyGraph(Function<String, Job> unfinished, Function<String, TerminalState> remembered) {
    this.unfinished = unfinished;
    this.remembered = remembered;
  }

  void reset() {
    after.clear();
    ends.clear();
    unknown.clear();
  }

  /** The jobs of which it must be read how they ended. */
  public TreeSet<String> unresolved() {
    return unknown;
  }

  /** The jobs that await one. */
  public Set<Job> dependents(String id) {
    return after.getOrDefault(id, Set.of());
  }

  // ---- changes ----

  /** A job appeared in the tables; its names may be there in part. */
  void jobAdded(Job j) {
    j.awaits().forEach(a -> after.computeIfAbsent(a, k -> new LinkedHashSet<>()).add(j));
    unknown.remove(j.id());
    // A load brings jobs in the order of their ids: those that await it may have come before.
    j.pull(pulled(j));
    lend(j);
    settle(j);
    dependents(j.id()).forEach(this::settle);
  }

  /** A job was withdrawn by its user, or its names are all there. */
  void jobChanged(Job j) {
    settle(j);
    dependents(j.id()).forEach(this::settle);
  }

  /** It is known how a job ended. */
  void jobTerminated(String id, TerminalState how) {
    unknown.remove(id);
    if (after.containsKey(id) && ends.put(id, how) == null) {
      List.copyOf(dependents(id)).forEach(this::settle);
    }
  }

  /** A job is out of the tables. */
  void jobRemoved(Job j) {
    for (String a : j.awaits()) {
      Set<Job> others = after.get(a);
      if (others != null && others.remove(j) && others.isEmpty()) {
        after.remove(a);
        ends.remove(a);
        unknown.remove(a);
      }
    }
    List.copyOf(dependents(j.id())).forEach(this::settle);
    takeBack(j);
  }

  // ---- who may start, and who is withdrawn ----

  private void settle(Job first) {
    ArrayDeque<Job> open = new ArrayDeque<>(List.of(first));
    while (!open.isEmpty()) {
      Job j = open.poll();
      Job.DependencyState was = j.dependencyState();
      boolean wasOff = j.withdrawn();
      if (was == Job.DependencyState.READY || was == Job.DependencyState.WITHDRAWN) {
        continue;
      }
      long ready = 0;
      Job.DependencyState now =
          complete(j) ? Job.DependencyState.READY : Job.DependencyState.UNRESOLVED;
      for (String a : j.awaits()) {
        TerminalState e = end(a);
        Job x = e == null ? unfinished.apply(a) : null;
        if (e != null ? !e.done() : x != null && x.withdrawn()) {
          now = Job.DependencyState.WITHDRAWN;
          break;
        } else if (e != null) {
          ready = Math.max(ready, e.atWallMs());
        } else if (x == null) {
          unknown.add(a);
          now = Job.DependencyState.UNRESOLVED;
        } else if (x.dependencyState() == Job.DependencyState.UNRESOLVED) {
          now = Job.DependencyState.UNRESOLVED;
        } else if (now == Job.DependencyState.READY) {
          now = Job.DependencyState.WAITING;
        }
      }
      if (now != was) {
        j.to(now, ready);
      }
      // Those after it draw from whether it is clear, and whether it is withdrawn.
      boolean clear =
          (was == Job.DependencyState.UNRESOLVED) != (now == Job.DependencyState.UNRESOLVED);
      if (clear || wasOff != j.withdrawn()) {
        open.addAll(dependents(j.id()));
      }
    }
  }

  /** Whether all its names are there. */
  private static boolean complete(Job j) {
    return j.overflow() == null || !j.awaits().isEmpty();
  }

  private TerminalState end(String id) {
    TerminalState e = ends.get(id);
    if (e == null && (e = remembered.apply(id)) != null) {
      ends.put(id, e);
      unknown.remove(id);
    }
    return e;
  }

  // ---- what the last of a chain lends to the first ----

  /** What those that await a job lend to it. */
  private Job.InheritedUrgency pulled(Job j) {
    Job.InheritedUrgency p = Job.InheritedUrgency.NONE;
    for (Job d : dependents(j.id())) {
      p = p.and(lent(d, j));
    }
    return p;
  }

  /** What a job lends to one that it awaits. */
  private static Job.InheritedUrgency lent(Job by, Job to) {
    boolean same = by.spec().team().equals(to.spec().team());
    JobSpec s = by.spec();
    long mustEnd =
        s.deadlineS() == null
            ? Long.MAX_VALUE
            : by.acceptedWallMs() + (long) (s.deadlineS() * 1000);
    long mustStart = Math.min(less(mustEnd, s.estimateS()), by.startByWallMs());
    return new Job.InheritedUrgency(
        by.effectivePriority(),
        same ? by.preemptionPriority() : JobSpec.Priority.LOW,
        less(mustStart, to.spec().estimateS()));
  }

  private static long less(long wallMs, double seconds) {
    return wallMs == Long.MAX_VALUE ? wallMs : wallMs - (long) (seconds * 1000);
  }

  /** A job lends to those that it awaits, and they to those before them. */
  private void lend(Job first) {
    ArrayDeque<Job> open = new ArrayDeque<>(List.of(first));
    for (int steps = 0; !open.isEmpty(); steps++) {
      Job j = open.poll();
      for (Job x : awaited(j)) {
        Job.InheritedUrgency now = x.pull().and(lent(j, x));
        if (!now.equals(x.pull())) {
          x.pull(now);
          open.add(x);
        }
      }
      if (steps > MOST_STEPS) {
        LOG.error("what {} awaits leads back to it", first.id());
        return;
      }
    }
  }

  /** A job is over: those that it awaited and that are not, as when it was withdrawn, lose that. */
  private void takeBack(Job gone) {
    ArrayDeque<Job> open = new ArrayDeque<>(awaited(gone));
    for (int steps = 0; !open.isEmpty() && steps <= MOST_STEPS; steps++) {
      Job x = open.poll();
      Job.InheritedUrgency now = pulled(x);
      if (!now.equals(x.pull())) {
        x.pull(now);
        open.addAll(awaited(x));
      }
    }
  }

  /** Those that a job awaits and that are not over. */
  private List<Job> awaited(Job j) {
    List<Job> out = new ArrayList<>();
    for (String a : j.awaits()) {
      Job x = unfinished.apply(a);
      if (x != null) {
        out.add(x);
      }
    }
    return out;
  }
}
