package wickdrift.bookkeeping;

import java.util.LinkedHashMap;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;

/**
 * How a job ended, for ever: the value of {@code w/d/ID}.
 *
 * @param phase {@link #DONE} or {@link #WITHDRAWN}
 * @param tasks how many it had
 * @param atWallMs when, by the time of day of who wrote it; 0 where an older build did
 */
public record TerminalState(String phase, long tasks, long atWallMs) {
  public static final String DONE = "done";
  public static final String WITHDRAWN = "withdrawn";

  public boolean done() {
    return phase.equals(DONE);
  }

  /**
   * @param withTime whether the level in force has the time in it
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

  public static TerminalState parse(Document document) throws BadMessage {
    return new TerminalState(
        document.text("phase"), document.count("tasks", 0), document.count("at", 0));
  }
}
