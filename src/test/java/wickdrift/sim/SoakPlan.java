package wickdrift.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * Which faults a soak has and when, drawn from its seed: two or three overlap most of the time, and
 * for half of it the network between controllers and workers is bad.
 */
record SoakPlan(List<Step> steps, long spanMs) {
  private static final int MAX_CONCURRENT_FAULTS = 3;
  private static final long MIN_FAULT_MS = 2500;
  private static final long MAX_FAULT_MS = 9000;

  /** Between two beginnings, on average half of it. */
  private static final int MAX_EXTRA_INTERVAL_MS = 4000;

  /** One of so many faults of the state service is longer than a cancellation may take. */
  private static final int OUTAGES_PER_LONG_OUTAGE = 3;

  /** Faults that more often come together, as both belong to the same bad network. */
  private static final Map<SoakFault, SoakFault> COMPANION_FAULTS =
      Map.of(
          SoakFault.WORKERS_RESTARTED, SoakFault.COMMANDS_LATE,
          SoakFault.JOBS_CANCELLED_AT_ONCE, SoakFault.CONTROLLER_REFUSED_BY_STATE_SERVICE);

  /** One fault, from when to when. */
  record Step(SoakFault fault, long startMs, long endMs) {
    @Override
    public String toString() {
      return fault + " at " + startMs / 1000.0 + " s for " + (endMs - startMs) / 1000.0 + " s";
    }
  }

  /**
   * The plan of a seed.
   *
   * @param cancelMs within how long a cancelled task must be gone: some outages last longer
   */
  static SoakPlan of(long seed, long spanMs, long cancelMs) {
    Random random = new Random(seed);
    List<Step> steps = new ArrayList<>();
    long badNetworkStartMs = (long) (random.nextDouble() * spanMs / 2);
    steps.add(new Step(SoakFault.BAD_NETWORK, badNetworkStartMs, badNetworkStartMs + spanMs / 2));
    SoakFault[] kinds = SoakFault.values();
    for (long startMs = 0;
        startMs < spanMs - MIN_FAULT_MS;
        startMs += 500 + random.nextInt(MAX_EXTRA_INTERVAL_MS)) {
      SoakFault fault = kinds[random.nextInt(kinds.length)];
      long lengthMs = MIN_FAULT_MS + (long) (random.nextDouble() * (MAX_FAULT_MS - MIN_FAULT_MS));
      boolean outage = fault == SoakFault.STATE_SERVICE_UNAVAILABLE;
      if (outage && random.nextInt(OUTAGES_PER_LONG_OUTAGE) == 0) {
        lengthMs = cancelMs + 2000;
      }
      long endMs = Math.min(startMs + lengthMs, spanMs);
      if (canStart(steps, fault, startMs)) {
        steps.add(new Step(fault, startMs, endMs));
        SoakFault companion = COMPANION_FAULTS.get(fault);
        if (companion != null && random.nextBoolean() && canStart(steps, companion, startMs)) {
          steps.add(new Step(companion, startMs, endMs));
        }
      }
    }
    return new SoakPlan(List.copyOf(steps), spanMs);
  }

  private static boolean canStart(List<Step> steps, SoakFault fault, long startMs) {
    List<Step> active =
        steps.stream().filter(s -> s.startMs <= startMs && s.endMs > startMs).toList();
    return active.size() < MAX_CONCURRENT_FAULTS
        && active.stream().noneMatch(s -> s.fault == fault);
  }

  /** Every kind once, one after the other: for trials of the harness. */
  static SoakPlan sequenceOfAll(long faultMs) {
    List<Step> steps = new ArrayList<>();
    for (SoakFault fault : Arrays.asList(SoakFault.values())) {
      long startMs = faultMs * steps.size();
      steps.add(new Step(fault, startMs, startMs + faultMs));
    }
    return new SoakPlan(List.copyOf(steps), faultMs * steps.size());
  }

  /** The plan, a line each fault. */
  String describe() {
    return steps.stream()
        .sorted(Comparator.comparingLong(Step::startMs))
        .map(step -> "  " + step)
        .collect(Collectors.joining("\n"));
  }
}
