package wickdrift.coordination.commands;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The latest attempts that were recognized as over on one worker, and the jobs whose cancellation
 * was confirmed for it. A report that shows such an attempt as started reveals a start that no
 * command in force explains.
 */
public final class EndedAttempts {
  private static final int MAX_KEPT = 64;

  private final Map<TaskAttempt, CommandEvent> ends = new LinkedHashMap<>();
  private final Map<String, CommandEvent> confirmations = new LinkedHashMap<>();

  /** The attempts that were found to have started without explanation; each is told once. */
  private final Set<TaskAttempt> found = new LinkedHashSet<>();

  /** Records why an attempt is over, or was cleared. */
  public void ended(CommandEvent evidence) {
    keep(ends, evidence.attempt(), evidence);
  }

  /** Records that the cancellation of a job was confirmed. */
  public void confirmed(String job, CommandEvent evidence) {
    keep(confirmations, job, evidence);
  }

  private static <K> void keep(Map<K, CommandEvent> events, K key, CommandEvent evidence) {
    events.remove(key);
    events.put(key, evidence);
    if (events.size() > MAX_KEPT) {
      events.remove(events.keySet().iterator().next());
    }
  }

  /**
   * Returns what speaks against an attempt that a report shows as started, or null if nothing does
   * or it was returned before.
   *
   * @param job the job of the attempt
   * @param wasReported whether an earlier report has shown the attempt since it was told to run
   */
  public CommandEvent findEvidenceAgainst(TaskAttempt attempt, String job, boolean wasReported) {
    CommandEvent evidence = ends.get(attempt);
    if (evidence == null && !wasReported) {
      evidence = confirmations.get(job);
    }
    if (evidence == null || !found.add(attempt)) {
      return null;
    }
    if (found.size() > MAX_KEPT) {
      found.remove(found.iterator().next());
    }
    return evidence;
  }
}
