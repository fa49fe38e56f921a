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
  private record Cell(String type, String zone, boolean spot) {}

  private final Map<Cell, Integer> machines = new HashMap<>();
  private final Types types;

  FleetSize(Tables tables, Types types) {
    this.types = types;
    for (Machine m : tables.machines()) {
      Machine.Info i = m.info();
      if (m.phase() == Machine.Phase.UP) {
        machines.merge(new Cell(i.type(), i.zone(), i.spot()), 1, Integer::sum);
      }
    }
  }

  /** Whether the machines of a zone, were they empty, would hold so many tasks at once. */
  boolean holds(JobSpec spec, String zone, int tasks) {
    long room = 0;
    for (Map.Entry<Cell, Integer> e : machines.entrySet()) {
      if (e.getKey().zone.equals(zone)) {
        room += roomOf(spec, e.getKey(), e.getValue());
      }
    }
    return room >= tasks;
  }

  /** The same of all zones that the job may use, or of one of them if it must be in one. */
  boolean holds(JobSpec spec, int tasks) {
    Map<String, Long> byZone = new HashMap<>();
    machines.forEach((c, n) -> byZone.merge(c.zone, roomOf(spec, c, n), Long::sum));
    return spec.oneZone()
        ? byZone.values().stream().anyMatch(n -> n >= tasks)
        : byZone.values().stream().mapToLong(n -> n).sum() >= tasks;
  }

  private long roomOf(JobSpec spec, Cell cell, int count) {
    TypeInfo type = types.find(cell.type);
    boolean mayBe =
        type != null
            && type.canHold(spec)
            && (!cell.spot || spec.spot())
            && (spec.zone() == null || spec.zone().equals(cell.zone));
    return mayBe ? (long) count * type.tasksThatFit(spec) : 0;
  }
}
