package wickdrift.bookkeeping;

import java.util.HashMap;
import java.util.Map;
import org.agrona.collections.Int2ObjectHashMap;
import wickdrift.protocol.JobSpec;

/**
 * What the live attempts of each team take, by the node that placed them. Kept in whole millionths,
 * rounded up: adding and taking away doubles would drift.
 */
public final class TeamUsage {
  private static final double UNIT = 1e6;

  private static final class Amount {
    long cpus;
    long gpus;
  }

  /** By team, then by the placer's number. */
  private final Map<String, Int2ObjectHashMap<Amount>> teams = new HashMap<>();

  void add(JobSpec spec, int placer, int tasks) {
    Amount of =
        teams
            .computeIfAbsent(spec.team(), k -> new Int2ObjectHashMap<>())
            .computeIfAbsent(placer, k -> new Amount());
    of.cpus += tasks * units(spec.cpus());
    of.gpus += tasks * units(spec.gpus());
  }

  private static long units(double amount) {
    return (long) Math.ceil(amount * UNIT - 0.01);
  }

  /** What all live attempts of a team take. */
  public Partition.QuotaShare of(String team) {
    long cpus = 0;
    long gpus = 0;
    Int2ObjectHashMap<Amount> all = teams.get(team);
    if (all != null) {
      for (Amount a : all.values()) {
        cpus += a.cpus;
        gpus += a.gpus;
      }
    }
    return new Partition.QuotaShare(cpus / UNIT, gpus / UNIT);
  }

  /** What the live attempts of a team take that the controller of that number placed. */
  public Partition.QuotaShare placedBy(String team, int number) {
    Int2ObjectHashMap<Amount> all = teams.get(team);
    Amount of = all == null ? null : all.get(number);
    return of == null
        ? Partition.QuotaShare.NONE
        : new Partition.QuotaShare(of.cpus / UNIT, of.gpus / UNIT);
  }
}
