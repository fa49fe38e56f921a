package wickdrift.bookkeeping;

import java.util.LinkedHashMap;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * The terminal state of a job, which is kept forever as the value of {@code w/d/ID}.
 *
 * @param phase {@link #DONE} or {@link #WITHDRAWN}
 * @param tasks the number of tasks
 * @param atWallMs the wall-clock time of the node that recorded it; 0 in records of older builds
 */
public record TerminalState(String phase, long tasks, long atWallMs) {
  /** All tasks are done. */
  public static final String DONE = "done";

  /** The job was withdrawn, by its user or with an awaited job. */
  public static final String WITHDRAWN = "withdrawn";

  /** Whether the job is done, rather than withdrawn. */
  public boolean done() {
    return phase.equals(DONE);
  }

  /**
   * The value to store.
   *
   * @param withTime whether the level in force stores the time
   */
  public Map<String, Object> toStore(boolean withTime) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("phase", phase);
    fields.put("tasks", tasks);
    if (withTime) {
      fields.put("at", atWallMs);
    }
    return fields;
  }

  /** Reads a stored value. */
  public static TerminalState parse(Document document) throws BadMessage {
    return new TerminalState(
        document.text("phase"), document.count("tasks", 0), document.count("at", 0));
  }
}
