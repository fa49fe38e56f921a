package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.JobSpec;

/**
 * How many machines of each kind are up in each zone, whatever runs there: what a gang could have
 * if all else made way. Counted once, and then asked for each gang.
 */
final class FleetSize {
  private record MachineKind(String type, String zone, boolean spot) {}

  private final Map<MachineKind, Integer> machineCounts = new HashMap<>();
  private final Types types;

  FleetSize(Tables tables, Types types) {
    this.types = types;
    for (Machine machine : tables.machines()) {
      Machine.Info info = machine.info();
      if (machine.phase() == Machine.Phase.UP) {
        machineCounts.merge(
            new MachineKind(info.type(), info.zone(), info.spot()), 1, Integer::sum);
      }
    }
  }

  /** Whether the machines of a zone, were they empty, would hold so many tasks at once. */
  boolean holds(JobSpec spec, String zone, int tasks) {
    long capacity = 0;
    for (Map.Entry<MachineKind, Integer> entry : machineCounts.entrySet()) {
      if (entry.getKey().zone.equals(zone)) {
        capacity += taskCapacity(spec, entry.getKey(), entry.getValue());
      }
    }
    return capacity >= tasks;
  }

  /** The same of all zones that the job may use, or of one of them if it must be in one. */
  boolean holds(JobSpec spec, int tasks) {
    Map<String, Long> byZone = new HashMap<>();
    machineCounts.forEach(
        (kind, n) -> byZone.merge(kind.zone, taskCapacity(spec, kind, n), Long::sum));
    return spec.oneZone()
        ? byZone.values().stream().anyMatch(n -> n >= tasks)
        : byZone.values().stream().mapToLong(n -> n).sum() >= tasks;
  }

  private long taskCapacity(JobSpec spec, MachineKind kind, int count) {
    TypeInfo type = types.find(kind.type);
    boolean isEligible =
        type != null
            && type.canHold(spec)
            && (!kind.spot || spec.spot())
            && (spec.zone() == null || spec.zone().equals(kind.zone));
    return isEligible ? (long) count * type.tasksThatFit(spec) : 0;
  }
}
