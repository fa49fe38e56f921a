package wickdrift.protocol;

import java.util.ArrayList;
import java.util.List;

/** A worker's report, as sent to /hello or returned by /orders and /show. */
public record Report(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long tenure,
    long tick,
    long epoch,
    Double noticeS,
    List<Entry> tasks) {

  /** What a worker says of one task. */
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

  /** One attempt of a task as its worker shows it. */
  public record Entry(String job, int index, int attempt, Phase phase, String why, boolean saved) {
    public String task() {
      return job + "/" + index;
    }
  }

  public static final String DONE = "done";
  public static final String ERROR = "error";
  public static final String ALONE = "alone";
  public static final String FULL = "full";
  public static final String BUSY = "busy";
  public static final String UNKNOWN = "unknown";

  /** Whether a report of the same worker was made no earlier than this one. */
  public boolean notNewerThan(Report other) {
    return tenure < other.tenure || tenure == other.tenure && tick <= other.tick;
  }

  /** Reads a report; what is lacking or out of range is named. */
  public static Report parse(Document report) throws BadMessage {
    List<Entry> tasks = new ArrayList<>();
    for (Document task : report.docs("shards")) {
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
              (int) task.count("try"),
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
        report.count("tenure"),
        report.count("tick"),
        report.count("epoch", 0),
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
