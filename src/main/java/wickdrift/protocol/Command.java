package wickdrift.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/** A command to a worker about one attempt of a task. */
public sealed interface Command {
  /** The id of the job. */
  String job();

  /** The index of the task in its job. */
  int index();

  /** The number of the attempt of the task. */
  int attempt();

  /** Starts an attempt of a task. */
  record Run(String job, int index, int attempt) implements Command {}

  /** Stops an attempt, which has {@code graceS} seconds to save its state. */
  record Halt(String job, int index, int attempt, double graceS) implements Command {}

  /** Removes an exited attempt from the worker's reports. */
  record Clear(String job, int index, int attempt) implements Command {}

  /** Encodes the command for the protocol. */
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
