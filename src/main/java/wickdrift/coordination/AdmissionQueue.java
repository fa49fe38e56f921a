package wickdrift.coordination;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import wickdrift.protocol.JobSpec;

/**
 * A bounded queue of submissions that wait to be written, fair among teams and job classes. Each
 * combination of team, class and priority is a flow with a start tag, which advances by the cost of
 * each submission that leaves; the cost is lower for higher priorities. The flow with the lowest
 * start tag is served next. A flow that becomes active starts at the virtual time of the last
 * submission served, and gains no credit for the time it was idle (start-time fair queuing; Goyal,
 * Vin, Cheng, 1996). When the queue is full, the newest submission of the longest flow is evicted,
 * so that a burst of one flow does not shut out the single job of another.
 *
 * @param <T> a submission
 */
final class AdmissionQueue<T> {
  /** Identifies a flow. */
  private record FlowKey(String team, String jobClass, JobSpec.Priority priority) {}

  /** The waiting submissions of one flow and its start tag. */
  private static final class Flow<T> {
    final ArrayDeque<T> waiting = new ArrayDeque<>();
    double startTag;
  }

  /**
   * Number of flows from which on idle flows are removed if their start tag is not ahead of the
   * virtual time.
   */
  private static final int FLOW_CLEANUP_THRESHOLD = 256;

  private final Map<FlowKey, Flow<T>> flows = new HashMap<>();
  private final int maxWaiting;
  private int size;
  private double virtualTime;

  /**
   * Creates an empty queue.
   *
   * @param maxWaiting the number of submissions that may wait
   */
  AdmissionQueue(int maxWaiting) {
    this.maxWaiting = maxWaiting;
  }

  /** Returns the number of waiting submissions. */
  int size() {
    return size;
  }

  /** Whether no submission is waiting. */
  boolean isEmpty() {
    return size == 0;
  }

  private static FlowKey keyOf(JobSpec spec) {
    return new FlowKey(spec.team(), spec.jobClass(), spec.priority());
  }

  /**
   * Returns the cost of one submission of a priority: the highest priority is admitted four times
   * as often as the lowest.
   */
  private static double cost(JobSpec.Priority priority) {
    return 1.0 / (JobSpec.Priority.values().length - priority.ordinal());
  }

  /**
   * Returns the flow of a key; creates it if needed and advances an idle one to the virtual time.
   */
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
   * Adds a submission and returns the one that is evicted for it: null, another waiting submission,
   * or this submission itself if no flow is longer than its own.
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

  /**
   * Puts a submission that could not be written back at the head of its flow and refunds its cost.
   */
  void returnToFront(JobSpec spec, T submission) {
    Flow<T> flow = flowOf(keyOf(spec));
    flow.waiting.addFirst(submission);
    flow.startTag -= cost(spec.priority());
    size++;
  }

  /** Removes and returns the next submission, or null if none waits. */
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

  /** Orders by start tag, then by priority, team and class, so that the order is deterministic. */
  private boolean isServedBefore(Map.Entry<FlowKey, Flow<T>> a, Map.Entry<FlowKey, Flow<T>> b) {
    int order = Double.compare(a.getValue().startTag, b.getValue().startTag);
    order = order != 0 ? order : a.getKey().priority.compareTo(b.getKey().priority);
    order = order != 0 ? order : a.getKey().team.compareTo(b.getKey().team);
    return (order != 0 ? order : a.getKey().jobClass.compareTo(b.getKey().jobClass)) < 0;
  }
}
