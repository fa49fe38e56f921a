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
  private static final int AT_ONCE = 3;
  private static final long SHORTEST_MS = 2500;
  private static final long LONGEST_MS = 9000;

  /** Between two beginnings, on average half of it. */
  private static final int APART_MS = 4000;

  /** One of so many faults of the state service is longer than a cancellation may take. */
  private static final int LONG_OUTAGE_ONE_IN = 3;

  /** Faults that more often come together, as both belong to the same bad network. */
  private static final Map<SoakFault, SoakFault> COMPANIONS =
      Map.of(
          SoakFault.WORKERS_BACK_AT_ONCE, SoakFault.COMMANDS_LATE,
          SoakFault.JOBS_CANCELLED_AT_ONCE, SoakFault.ONE_REFUSED_BY_STATE_SERVICE);

  /** One fault, from when to when. */
  record Step(SoakFault fault, long atMs, long endMs) {
    @Override
    public String toString() {
      return fault + " at " + atMs / 1000.0 + " s for " + (endMs - atMs) / 1000.0 + " s";
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
    long badFrom = (long) (random.nextDouble() * spanMs / 2);
    steps.add(new Step(SoakFault.BAD_NETWORK, badFrom, badFrom + spanMs / 2));
    SoakFault[] kinds = SoakFault.values();
    for (long at = 0; at < spanMs - SHORTEST_MS; at += 500 + random.nextInt(APART_MS)) {
      SoakFault fault = kinds[random.nextInt(kinds.length)];
      long length = SHORTEST_MS + (long) (random.nextDouble() * (LONGEST_MS - SHORTEST_MS));
      boolean outage = fault == SoakFault.STATE_SERVICE_AWAY;
      if (outage && random.nextInt(LONG_OUTAGE_ONE_IN) == 0) {
        length = cancelMs + 2000;
      }
      long end = Math.min(at + length, spanMs);
      if (mayBegin(steps, fault, at)) {
        steps.add(new Step(fault, at, end));
        SoakFault with = COMPANIONS.get(fault);
        if (with != null && random.nextBoolean() && mayBegin(steps, with, at)) {
          steps.add(new Step(with, at, end));
        }
      }
    }
    return new SoakPlan(List.copyOf(steps), spanMs);
  }

  private static boolean mayBegin(List<Step> steps, SoakFault fault, long at) {
    List<Step> active = steps.stream().filter(s -> s.atMs <= at && s.endMs > at).toList();
    return active.size() < AT_ONCE && active.stream().noneMatch(s -> s.fault == fault);
  }

  /** Every kind once, one after the other: for trials of the harness. */
  static SoakPlan ofEach(long eachMs) {
    List<Step> steps = new ArrayList<>();
    for (SoakFault fault : Arrays.asList(SoakFault.values())) {
      long at = eachMs * steps.size();
      steps.add(new Step(fault, at, at + eachMs));
    }
    return new SoakPlan(List.copyOf(steps), eachMs * steps.size());
  }

  /** The plan, a line each fault. */
  String describe() {
    return steps.stream()
        .sorted(Comparator.comparingLong(Step::atMs))
        .map(step -> "  " + step)
        .collect(Collectors.joining("\n"));
  }
}
