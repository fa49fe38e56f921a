package wickdrift.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;

/**
 * The schedule of the faults of a soak, drawn at random from its seed. Two or three faults overlap
 * most of the time, and for half of the time the network between controllers and workers is bad.
 */
record SoakPlan(List<Step> steps, long spanMs) {
  private static final int MAX_CONCURRENT_FAULTS = 3;
  private static final long MIN_FAULT_MS = 2500;
  private static final long MAX_FAULT_MS = 9000;

  /** Upper bound of the random part of the interval between the starts of two faults. */
  private static final int MAX_EXTRA_INTERVAL_MS = 4000;

  /**
   * One out of this many outages of the state service lasts longer than a cancellation may take.
   */
  private static final int OUTAGES_PER_LONG_OUTAGE = 3;

  /** Faults that often start together with another because a bad network causes both. */
  private static final Map<SoakFault, SoakFault> COMPANION_FAULTS =
      Map.of(
          SoakFault.WORKERS_RESTARTED, SoakFault.COMMANDS_LATE,
          SoakFault.JOBS_CANCELLED_AT_ONCE, SoakFault.CONTROLLER_REFUSED_BY_STATE_SERVICE);

  /** A fault and when it starts and ends, counted from the start of the plan. */
  record Step(SoakFault fault, long startMs, long endMs) {
    @Override
    public String toString() {
      return fault + " at " + startMs / 1000.0 + " s for " + (endMs - startMs) / 1000.0 + " s";
    }
  }

  /**
   * Returns the plan of a seed.
   *
   * @param cancelMs the time within which a cancelled task must end, which some outages exceed
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

  /** Whether fewer than the most concurrent faults are active, none of them of this kind. */
  private static boolean canStart(List<Step> steps, SoakFault fault, long startMs) {
    List<Step> active =
        steps.stream().filter(s -> s.startMs <= startMs && s.endMs > startMs).toList();
    return active.size() < MAX_CONCURRENT_FAULTS
        && active.stream().noneMatch(s -> s.fault == fault);
  }

  /** Returns one line for each fault, in order of their start. */
  String describe() {
    return steps.stream()
        .sorted(Comparator.comparingLong(Step::startMs))
        .map(step -> "  " + step)
        .collect(Collectors.joining("\n"));
  }
}
