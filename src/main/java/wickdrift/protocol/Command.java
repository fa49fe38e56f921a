package wickdrift.protocol;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command to a worker about one attempt of a task.
 *
 * <p>A command that is sent straight to a worker may arrive at any later time, any number of times.
 * Only a {@link Direct} command may be sent so, and none of these starts anything. A {@link Run} is
 * sent in the answer to a report: a worker drops answers that are late.
 */
public sealed interface Command {
  /** The id of the job. */
  String job();

  /** The index of the task in its job. */
  int index();

  /** The number of the attempt of the task. */
  long attempt();

  /** Encodes the command for the protocol. */
  Map<String, Object> toWire();

  /** A command that may also be sent straight to a worker, since a late copy does no harm. */
  sealed interface Direct extends Command {}

  /** Starts an attempt of a task. */
  record Run(String job, int index, long attempt) implements Command {
    @Override
    public Map<String, Object> toWire() {
      return fields("run", this);
    }
  }

  /** Stops an attempt, which has {@code graceS} seconds to save its state. */
  record Halt(String job, int index, long attempt, double graceS) implements Direct {
    @Override
    public Map<String, Object> toWire() {
      Map<String, Object> fields = fields("halt", this);
      fields.put("windDownS", graceS);
      return fields;
    }
  }

  /** Removes an exited attempt from the worker's reports. */
  record Clear(String job, int index, long attempt) implements Direct {
    @Override
    public Map<String, Object> toWire() {
      return fields("clear", this);
    }
  }

  private static Map<String, Object> fields(String verb, Command command) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("verb", verb);
    fields.put("shard", command.job() + "/" + command.index());
    fields.put("try", Unsigned.toWire(command.attempt()));
    return fields;
  }
}
