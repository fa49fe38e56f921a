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
  private record Key(String team, String jobClass, JobSpec.Priority rank) {}

  private static final class Line<T> {
    final ArrayDeque<T> waiting = new ArrayDeque<>();
    double clock;
  }

  /** A class's clock is forgotten once it is behind, and none of it waits. */
  private static final int LINES_KEPT = 256;

  private final Map<Key, Line<T>> lines = new HashMap<>();
  private final int most;
  private int size;
  private double now;

  /**
   * @param most how many may wait
   */
  AdmissionQueue(int most) {
    this.most = most;
  }

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  private static Key key(JobSpec s) {
    return new Key(s.team(), s.jobClass(), s.priority());
  }

  /**
   * What one submission of a rank costs: the highest is let in four times as often as the lowest.
   */
  private static double cost(JobSpec.Priority rank) {
    return 1.0 / (JobSpec.Priority.values().length - rank.ordinal());
  }

  private Line<T> line(Key k) {
    Line<T> l = lines.get(k);
    if (l == null) {
      if (lines.size() >= LINES_KEPT) {
        lines.values().removeIf(x -> x.waiting.isEmpty() && x.clock <= now);
      }
      l = new Line<>();
      lines.put(k, l);
    }
    if (l.waiting.isEmpty()) {
      l.clock = Math.max(l.clock, now);
    }
    return l;
  }

  /**
   * Lets one wait. Returns who must go for it: null, another that waited, or itself, where nobody
   * has more there than its own team and class.
   */
  T offer(JobSpec spec, T submission) {
    Line<T> own = line(key(spec));
    T gone = null;
    if (size >= most) {
      Line<T> longest = own;
      for (Line<T> l : lines.values()) {
        longest = l.waiting.size() > longest.waiting.size() ? l : longest;
      }
      if (longest == own) {
        return submission;
      }
      gone = longest.waiting.pollLast();
      size--;
    }
    own.waiting.addLast(submission);
    size++;
    return gone;
  }

  /** Back to where it was: it had left, and could not be written. */
  void returnToFront(JobSpec spec, T submission) {
    Line<T> l = line(key(spec));
    l.waiting.addFirst(submission);
    l.clock -= cost(spec.priority());
    size++;
  }

  /** The next to leave, or null. */
  T poll() {
    Map.Entry<Key, Line<T>> next = null;
    for (Map.Entry<Key, Line<T>> e : lines.entrySet()) {
      if (!e.getValue().waiting.isEmpty() && (next == null || before(e, next))) {
        next = e;
      }
    }
    if (next == null) {
      return null;
    }
    Line<T> l = next.getValue();
    now = Math.max(now, l.clock);
    l.clock += cost(next.getKey().rank);
    size--;
    return l.waiting.pollFirst();
  }

  /** By clock, then by rank, then by name, so that the order is the same each time. */
  private boolean before(Map.Entry<Key, Line<T>> a, Map.Entry<Key, Line<T>> b) {
    int c = Double.compare(a.getValue().clock, b.getValue().clock);
    c = c != 0 ? c : a.getKey().rank.compareTo(b.getKey().rank);
    c = c != 0 ? c : a.getKey().team.compareTo(b.getKey().team);
    return (c != 0 ? c : a.getKey().jobClass.compareTo(b.getKey().jobClass)) < 0;
  }
}
