package wickdrift.protocol;

import java.util.ArrayList;
import java.util.List;

/**
 * A worker's report, sent by the worker to /hello or returned by it from /orders and /show.
 *
 * @param address the address at which the worker accepts commands
 * @param type the machine type
 * @param tenure the number of the worker's session; it increases with each session of an
 *     incarnation
 * @param tick a number that increases with each report of a session
 * @param token the highest token that the worker has received
 * @param reclaimNoticeS the time until the machine is reclaimed; null: no reclaim was announced
 * @param tasks the attempts on the worker, including exited ones until they are cleared
 */
public record Report(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long tenure,
    long tick,
    WorkerToken token,
    Double reclaimNoticeS,
    List<Entry> tasks) {

  /** The phase of an attempt on its worker. */
  public enum Phase {
    FETCHING("pulling"),
    WAITING("gathering"),
    RUNNING("running"),
    SAVING("saving"),
    EXITED("ended");

    private final String wireName;

    Phase(String wireName) {
      this.wireName = wireName;
    }
  }

  /**
   * One attempt of a task as its worker reports it.
   *
   * @param exitReason the exit reason; null before the exit
   * @param saved whether the attempt saved its state
   */
  public record Entry(
      String job, int index, long attempt, Phase phase, String exitReason, boolean saved) {
    /** Returns the name of the task: job and index. */
    public String task() {
      return job + "/" + index;
    }
  }

  /** Exit reason: the task is complete. */
  public static final String EXIT_DONE = "done";

  /** Exit reason: the task failed. */
  public static final String EXIT_ERROR = "error";

  /** Exit reason: the other tasks of the gang did not become ready in time. */
  public static final String EXIT_ALONE = "alone";

  /** Exit reason: the worker refused the attempt for lack of free resources. */
  public static final String EXIT_FULL = "full";

  /** Exit reason: the worker refused the attempt as busy. */
  public static final String EXIT_BUSY = "busy";

  /** Exit reason: the worker refused the attempt as unknown. */
  public static final String EXIT_UNKNOWN = "unknown";

  /** Returns the highest epoch that the worker has received; 0: none. */
  public long epoch() {
    return token.epoch();
  }

  /** Returns what identifies this report. */
  public ReportKey key() {
    return new ReportKey(machine, tenure, tick);
  }

  /** Returns whether another report of the same worker is at least as recent as this one. */
  public boolean notNewerThan(Report other) {
    return tenure == other.tenure
        ? !Unsigned.isGreater(tick, other.tick)
        : Unsigned.isGreater(other.tenure, tenure);
  }

  /**
   * Parses a report.
   *
   * @throws BadMessage if a field is missing or out of range; the text names it
   */
  public static Report parse(Document report) throws BadMessage {
    List<Entry> tasks = new ArrayList<>();
    for (Document task : report.documents("shards")) {
      String taskName = task.text("shard");
      int slash = taskName.lastIndexOf('/');
      if (slash < 0) {
        throw new BadMessage("shard has no number");
      }
      int index;
      try {
        index = Integer.parseInt(taskName.substring(slash + 1));
      } catch (NumberFormatException e) {
        throw new BadMessage("shard has no number");
      }
      tasks.add(
          new Entry(
              taskName.substring(0, slash),
              index,
              task.unsigned("try"),
              parsePhase(task.text("phase")),
              task.textOrNull("exitReason"),
              task.flag("kept", false)));
    }
    return new Report(
        report.text("host"),
        report.text("address"),
        report.text("flavour"),
        report.text("region"),
        report.flag("reclaimable", false),
        report.unsigned("tenure"),
        report.unsigned("tick"),
        WorkerToken.fromWire(report.unsigned("epoch", 0)),
        report.amountOrNull("warningS"),
        tasks);
  }

  private static Phase parsePhase(String wireName) throws BadMessage {
    for (Phase phase : Phase.values()) {
      if (phase.wireName.equals(wireName)) {
        return phase;
      }
    }
    throw new BadMessage("phase is unknown");
  }
}
