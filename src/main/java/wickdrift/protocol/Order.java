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
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("verb", this instanceof Run ? "run" : this instanceof Halt ? "halt" : "clear");
    fields.put("shard", job() + "/" + index());
    fields.put("try", attempt());
    if (this instanceof Halt halt) {
      fields.put("windDownS", halt.graceS());
    }
    return fields;
  }
}
