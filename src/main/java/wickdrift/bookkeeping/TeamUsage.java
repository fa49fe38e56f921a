package wickdrift.bookkeeping;

import java.util.HashMap;
import java.util.Map;
import org.agrona.collections.Int2ObjectHashMap;
import wickdrift.protocol.JobSpec;

/**
 * The resources that the live attempts of each team use, by the controller that placed them. Sums
 * are kept in millionths, rounded up: incremental updates of doubles would accumulate rounding
 * errors.
 */
public final class TeamUsage {
  private static final double UNITS_PER_RESOURCE = 1e6;

  private static final class Units {
    long cpus;
    long gpus;
  }

  /** By team, then by the number of the placing controller. */
  private final Map<String, Int2ObjectHashMap<Units>> unitsByTeam = new HashMap<>();

  void add(JobSpec spec, int placer, int taskDelta) {
    Units units =
        unitsByTeam
            .computeIfAbsent(spec.team(), k -> new Int2ObjectHashMap<>())
            .computeIfAbsent(placer, k -> new Units());
    units.cpus += taskDelta * toUnits(spec.cpus());
    units.gpus += taskDelta * toUnits(spec.gpus());
  }

  private static long toUnits(double amount) {
    return (long) Math.ceil(amount * UNITS_PER_RESOURCE - 0.01);
  }

  /** The resources that all live attempts of a team use. */
  public Partition.QuotaShare of(String team) {
    long cpus = 0;
    long gpus = 0;
    Int2ObjectHashMap<Units> byPlacer = unitsByTeam.get(team);
    if (byPlacer != null) {
      for (Units units : byPlacer.values()) {
        cpus += units.cpus;
        gpus += units.gpus;
      }
    }
    return new Partition.QuotaShare(cpus / UNITS_PER_RESOURCE, gpus / UNITS_PER_RESOURCE);
  }

  /** The resources that the live attempts of a team use that one controller placed. */
  public Partition.QuotaShare placedBy(String team, int controllerNumber) {
    Int2ObjectHashMap<Units> byPlacer = unitsByTeam.get(team);
    Units units = byPlacer == null ? null : byPlacer.get(controllerNumber);
    return units == null
        ? Partition.QuotaShare.NONE
        : new Partition.QuotaShare(
            units.cpus / UNITS_PER_RESOURCE, units.gpus / UNITS_PER_RESOURCE);
  }
}
