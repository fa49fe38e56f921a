package wickdrift.coordination;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import wickdrift.protocol.JobSpec;

/**
 * The submissions that wait to be written, so many at most. They leave in an order that is fair
 * among teams and classes by what each has had: each has a clock that goes on by one for each of
 * its submissions that leaves, slower for higher ranks, and the one whose clock is furthest behind
 * is next; who comes anew starts at the clock of the one that left last, and has saved up nothing
 * (start-time fair queuing; Goyal, Vin, Cheng, 1996). When it is full, one makes way that the team
 * and class with most there sent last: a swarm does not shut out another's one job.
 *
 * @param <T> a submission
 */
final class AdmissionQueue<T> {
  private record FlowKey(String team, String jobClass, JobSpec.Priority priority) {}

  private static final class Flow<T> {
    final ArrayDeque<T> waiting = new ArrayDeque<>();
    double startTag;
  }

  /** A class's clock is forgotten once it is behind, and none of it waits. */
  private static final int FLOW_CLEANUP_THRESHOLD = 256;

  private final Map<FlowKey, Flow<T>> flows = new HashMap<>();
  private final int maxWaiting;
  private int size;
  private double virtualTime;

  /**
   * @param maxWaiting how many may wait
   */
  AdmissionQueue(int maxWaiting) {
    this.maxWaiting = maxWaiting;
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  private static FlowKey keyOf(JobSpec spec) {
    return new FlowKey(spec.team(), spec.jobClass(), spec.priority());
  }

  /**
   * What one submission of a rank costs: the highest is let in four times as often as the lowest.
   */
  private static double cost(JobSpec.Priority priority) {
    return 1.0 / (JobSpec.Priority.values().length - priority.ordinal());
  }

  private Flow<T> flowOf(FlowKey key) {
    Flow<T> flow = flows.get(key);
    if (flow == null) {
      if (flows.size() >= FLOW_CLEANUP_THRESHOLD) {
        flows
            .values()
            .removeIf(
                candidate -> candidate.waiting.isEmpty() && candidate.startTag <= virtualTime);
      }
      flow = new Flow<>();
      flows.put(key, flow);
    }
    if (flow.waiting.isEmpty()) {
      flow.startTag = Math.max(flow.startTag, virtualTime);
    }
    return flow;
  }

  /**
   * Lets one wait. Returns who must go for it: null, another that waited, or itself, where nobody
   * has more there than its own team and class.
   */
  T offer(JobSpec spec, T submission) {
    Flow<T> ownFlow = flowOf(keyOf(spec));
    T evicted = null;
    if (size >= maxWaiting) {
      Flow<T> longest = ownFlow;
      for (Flow<T> flow : flows.values()) {
        longest = flow.waiting.size() > longest.waiting.size() ? flow : longest;
      }
      if (longest == ownFlow) {
        return submission;
      }
      evicted = longest.waiting.pollLast();
      size--;
    }
    ownFlow.waiting.addLast(submission);
    size++;
    return evicted;
  }

  /** Back to where it was: it had left, and could not be written. */
  void returnToFront(JobSpec spec, T submission) {
    Flow<T> flow = flowOf(keyOf(spec));
    flow.waiting.addFirst(submission);
    flow.startTag -= cost(spec.priority());
    size++;
  }

  /** The next to leave, or null. */
  T poll() {
    Map.Entry<FlowKey, Flow<T>> next = null;
    for (Map.Entry<FlowKey, Flow<T>> entry : flows.entrySet()) {
      if (!entry.getValue().waiting.isEmpty() && (next == null || isServedBefore(entry, next))) {
        next = entry;
      }
    }
    if (next == null) {
      return null;
    }
    Flow<T> flow = next.getValue();
    virtualTime = Math.max(virtualTime, flow.startTag);
    flow.startTag += cost(next.getKey().priority);
    size--;
    return flow.waiting.pollFirst();
  }

  /** By clock, then by rank, then by name, so that the order is the same each time. */
  private boolean isServedBefore(Map.Entry<FlowKey, Flow<T>> a, Map.Entry<FlowKey, Flow<T>> b) {
    int order = Double.compare(a.getValue().startTag, b.getValue().startTag);
    order = order != 0 ? order : a.getKey().priority.compareTo(b.getKey().priority);
    order = order != 0 ? order : a.getKey().team.compareTo(b.getKey().team);
    return (order != 0 ? order : a.getKey().jobClass.compareTo(b.getKey().jobClass)) < 0;
  }
}
