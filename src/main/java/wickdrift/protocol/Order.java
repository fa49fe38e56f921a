package wickdrift.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/** One command to a worker. */
public sealed interface Order {
  String job();

  int index();

  int attempt();

  record Run(String job, int index, int attempt) implements Order {}

  record Halt(String job, int index, int attempt, double graceS) implements Order {}

  record Clear(String job, int index, int attempt) implements Order {}

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
