package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.JobSpec;

/**
 * The total capacity of all machines that are up, whatever runs on them: what a gang could use if
 * all other tasks were preempted. The machines are counted once, for checks of many gangs.
 */
final class TotalCapacity {
  /** Machines of one kind have the same capacity and can be used by the same jobs. */
  private record MachineKind(String type, String zone, boolean spot) {}

  private final Map<MachineKind, Integer> machineCounts = new HashMap<>();
  private final MachineTypes types;

  TotalCapacity(Tables tables, MachineTypes types) {
    this.types = types;
    for (Machine machine : tables.machines()) {
      Machine.Info info = machine.info();
      if (machine.phase() == Machine.Phase.UP) {
        machineCounts.merge(
            new MachineKind(info.type(), info.zone(), info.spot()), 1, Integer::sum);
      }
    }
  }

  /** Whether the machines of a zone, if empty, could run so many tasks at once. */
  boolean canHold(JobSpec spec, String zone, int tasks) {
    long capacity = 0;
    for (Map.Entry<MachineKind, Integer> entry : machineCounts.entrySet()) {
      if (entry.getKey().zone.equals(zone)) {
        capacity += taskCapacity(spec, entry.getKey(), entry.getValue());
      }
    }
    return capacity >= tasks;
  }

  /**
   * Whether the machines of all zones, if empty, could run so many tasks at once. If the job must
   * stay in one zone, the machines of a single zone must be able to.
   */
  boolean canHold(JobSpec spec, int tasks) {
    Map<String, Long> byZone = new HashMap<>();
    machineCounts.forEach(
        (kind, n) -> byZone.merge(kind.zone, taskCapacity(spec, kind, n), Long::sum));
    return spec.oneZone()
        ? byZone.values().stream().anyMatch(n -> n >= tasks)
        : byZone.values().stream().mapToLong(n -> n).sum() >= tasks;
  }

  private long taskCapacity(JobSpec spec, MachineKind kind, int count) {
    MachineType type = types.find(kind.type);
    boolean isEligible =
        type != null
            && type.canHold(spec)
            && (!kind.spot || spec.spot())
            && (spec.zone() == null || spec.zone().equals(kind.zone));
    return isEligible ? (long) count * type.tasksThatFit(spec) : 0;
  }
}
