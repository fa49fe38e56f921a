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

    private final String wire;

    Phase(String wire) {
      this.wire = wire;
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
  public static Report parse(Document d) throws BadMessage {
    List<Entry> tasks = new ArrayList<>();
    for (Document t : d.docs("shards")) {
      String name = t.text("shard");
      int slash = name.lastIndexOf('/');
      if (slash < 0) {
        throw new BadMessage("shard has no number");
      }
      int index;
      try {
        index = Integer.parseInt(name.substring(slash + 1));
      } catch (NumberFormatException e) {
        throw new BadMessage("shard has no number");
      }
      tasks.add(
          new Entry(
              name.substring(0, slash),
              index,
              (int) t.count("try"),
              phase(t.text("phase")),
              t.textOrNull("exitReason"),
              t.flag("kept", false)));
    }
    return new Report(
        d.text("host"),
        d.text("address"),
        d.text("flavour"),
        d.text("region"),
        d.flag("reclaimable", false),
        d.count("tenure"),
        d.count("tick"),
        d.count("epoch", 0),
        d.amountOrNull("warningS"),
        tasks);
  }

  private static Phase phase(String s) throws BadMessage {
    for (Phase p : Phase.values()) {
      if (p.wire.equals(s)) {
        return p;
      }
    }
    throw new BadMessage("phase is unknown");
  }
}
