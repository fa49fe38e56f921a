package wickdrift.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/** One command to a worker. */
public sealed interface Order {
  String job();

  int index();

  int attempt();

  /** Starts an attempt of a task. */
  record Run(String job, int index, int attempt) implements Order {}

  /** Stops an attempt, which may save for {@code graceS} seconds. */
  record Halt(String job, int index, int attempt, double graceS) implements Order {}

  /** Removes an ended attempt from the reports. */
  record Clear(String job, int index, int attempt) implements Order {}

  /** The command as it is sent. */
  default Map<String, Object> toWire() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("verb", this instanceof Run ? "run" : this instanceof Halt ? "halt" : "clear");
    m.put("shard", job() + "/" + index());
    m.put("try", attempt());
    if (this instanceof Halt h) {
      m.put("windDownS", h.graceS());
    }
    return m;
  }
}
