package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.bookkeeping.LogEntry;
import wickdrift.bookkeeping.LogPage;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** Which machine a task is placed on, and how much work the choice takes. */
class PlacementTest {
  private static JobSpec spec(double cpus, double gpus) {
    var fields = SimJobs.job(1, "batch", 1, gpus, 10);
    fields.put("cores", cpus);
    fields.put("memoryGb", 1.0);
    try {
      return JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static final Machine.Info UP = new Machine.Info("t", "a", false, Machine.Phase.UP, 0);

  /** Machines m1..mn of decreasing capability, with the given shares of their GPUs booked. */
  private static CapacityIndex capacityOf(String loads) throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    CapacityIndex capacity = new CapacityIndex();
    String[] shares = loads.trim().split(" +");
    for (int i = 0; i < shares.length; i++) {
      double gpus = 100 - i;
      MachineType type = new MachineType("t" + i, 1000, gpus, 1000, 100, 1, 1, 1, 1, List.of("a"));
      Machine machine = addMachine(tables, "m" + (i + 1));
      capacity.put(machine, type, "n0", 0);
      capacity.book(capacity.find(machine), spec(0, Double.parseDouble(shares[i]) * gpus));
    }
    return capacity;
  }

  private static Machine addMachine(Tables tables, String name) throws BadMessage {
    return addMachine(tables, name, UP);
  }

  private static Machine addMachine(Tables tables, String name, Machine.Info info)
      throws BadMessage {
    var page = LogPage.encode(null, 1, List.of(LogEntry.machine(name, info)), (r, e) -> false);
    long revision = 1 + tables.machines().size();
    StateServiceClient.Change change =
        new StateServiceClient.Change(
            LogPage.key("n0", revision), MessageCodec.decode(MessageCodec.encode(page)), revision);
    tables.apply(List.of(change), revision);
    return tables.machine(name);
  }

  @ParameterizedTest(name = "loads {0}, {1} GPUs requested: {2}")
  @CsvSource({
    // Of i eligible machines, ranks ceil(i/2)..i are considered; of one machine, rank 1.
    "0.5, 1, m1",
    // Of two machines, ranks 1..2 are considered.
    "0.1 0.2, 1, m1",
    // Of three machines, ranks 2..3 are considered; the least loaded, m1, is not.
    "0.0 0.4 0.3, 1, m3",
    // Of four machines, ranks 2..4 are considered; of five, ranks 3..5.
    "0.0 0.1 0.4 0.3, 1, m2",
    "0.0 0.0 0.4 0.3 0.5, 1, m4",
    // Only machines that can hold the task are eligible: for 97 GPUs, ranks count m1..m4.
    "0.0 0.0 0.0 0.0 0.0 0.0, 97, m2",
    // The less capable half is full: any eligible machine with free capacity is chosen.
    "0.5 1.0 1.0 1.0, 1, m1",
    // No machine has free capacity: the task waits.
    "1.0 1.0 1.0, 1, -",
  })
  void choosesTheLeastLoadedMachineOfTheLeastCapableHalf(String loads, double gpus, String expected)
      throws BadMessage {
    FreeCapacity chosen = capacityOf(loads).choose(spec(0, gpus), c -> true);
    assertEquals(expected, chosen == null ? "-" : chosen.machine().name());
  }

  @Test
  void ranksCountOnlyAllowedMachines() throws BadMessage {
    FreeCapacity chosen =
        capacityOf("0.0 0.1 0.2 0.3")
            .choose(spec(0, 1), c -> c.type.name().equals("t0") || c.type.name().equals("t3"));
    // Two machines are allowed, so both are considered and the less loaded one is chosen.
    assertEquals("m1", chosen.machine().name());
  }

  @Test
  void loadIsTheLargestBookedShare() {
    MachineType type = new MachineType("t", 10, 4, 1000, 100, 1, 1, 1, 1, List.of("a"));
    FreeCapacity capacity =
        new FreeCapacity(
            new Tables(List.of(), LevelRange.BUILD, () -> {}).getOrCreateMachine("m"), type);
    capacity.book(spec(5, 1));
    assertEquals(0.5, capacity.load(), 1e-9);
  }

  /** A second image fetch would delay the first, so a machine that fetches counts as full. */
  @Test
  void aMachineThatFetchesAnotherImageIsNotChosen() throws BadMessage {
    CapacityIndex capacity = new CapacityIndex();
    MachineType type = new MachineType("t", 100, 4, 1000, 100, 1, 1, 1, 1, List.of("a"));
    Machine machine = addMachine(new Tables(List.of(), LevelRange.BUILD, () -> {}), "m");
    capacity.put(machine, type, "n0", 0);
    JobSpec first = spec(1, 1);
    capacity.book(capacity.find(machine), first);
    assertNull(capacity.choose(specWithImage(1, 1, "other"), c -> true));
    assertEquals(capacity.find(machine), capacity.choose(first, c -> true));
  }

  // ---- the index compared with a full scan ----

  private static JobSpec specWithImage(double cpus, double gpus, String image) throws BadMessage {
    return specWithImage("batch", cpus, gpus, image);
  }

  private static JobSpec specWithImage(String shape, double cpus, double gpus, String image)
      throws BadMessage {
    var m = SimJobs.job(2, shape, 1, gpus, 10);
    m.put("apart", false);
    m.put("cores", cpus);
    m.put("memoryGb", 1.0);
    m.put("bundle", image);
    return JobSpec.parse(Document.parse(MessageCodec.encode(m)));
  }

  /**
   * Whether the load alone shows that the task doesn't fit, even if the most loaded resource is the
   * one of which the task needs the smallest share.
   */
  private static boolean isTooLoaded(FreeCapacity candidate, JobSpec spec) {
    double share =
        Math.min(
            Math.min(spec.cpus() / candidate.type().cpus(), spec.gpus() / candidate.type().gpus()),
            spec.memoryGb() / candidate.type().memoryGb());
    return candidate.load() > 1 - share + FreeCapacity.EPS;
  }

  /**
   * Orders machines of equal capability: free without the image, unable to accept, with the image.
   */
  private static int fitRank(FreeCapacity candidate, JobSpec spec) {
    if (isTooLoaded(candidate, spec) || candidate.isFetching() && !candidate.hasImage(spec)) {
      return 1;
    }
    return candidate.hasImage(spec) ? 2 : 0;
  }

  /** Definition 3 with the sets of Lemma 1, by sorting and scanning all machines. */
  private static FreeCapacity chooseByFullScan(List<FreeCapacity> capacities, JobSpec spec) {
    List<FreeCapacity> eligible = new ArrayList<>();
    capacities.stream().filter(candidate -> candidate.type().canHold(spec)).forEach(eligible::add);
    eligible.sort(
        Comparator.comparingDouble((FreeCapacity candidate) -> -candidate.type().gpus())
            .thenComparingInt(candidate -> fitRank(candidate, spec))
            .thenComparingInt(candidate -> LoadIndex.bucket(candidate.load()))
            .thenComparing(candidate -> candidate.machine().info().zone())
            .thenComparingDouble(FreeCapacity::load)
            .thenComparingInt(candidate -> candidate.machine().number()));
    int eligibleCount = eligible.size();
    int first = (eligibleCount + 1) / 2 - 1;
    FreeCapacity best = null;
    for (FreeCapacity candidate : eligible.subList(Math.max(0, first), eligibleCount)) {
      boolean lessLoaded = best == null || candidate.load() < best.load() - FreeCapacity.EPS;
      boolean tie = best != null && Math.abs(candidate.load() - best.load()) <= FreeCapacity.EPS;
      if (candidate.fitsWithFetch(spec)
          && (lessLoaded || tie && candidate.hasImage(spec) && !best.hasImage(spec))) {
        best = candidate;
      }
    }
    if (best != null) {
      return best;
    }
    for (FreeCapacity candidate : eligible) {
      boolean imageGained = best != null && candidate.hasImage(spec) && !best.hasImage(spec);
      boolean moreLoaded =
          best != null
              && candidate.hasImage(spec) == best.hasImage(spec)
              && candidate.load() > best.load() + FreeCapacity.EPS;
      if (candidate.fitsWithFetch(spec) && (best == null || imageGained || moreLoaded)) {
        best = candidate;
      }
    }
    return best;
  }

  /** The load, image and machine type of a choice; machines that agree in these are a tie. */
  private static String describe(FreeCapacity candidate, JobSpec spec) {
    return candidate == null
        ? "-"
        : Math.round(candidate.load() * 1e6)
            + " "
            + candidate.hasImage(spec)
            + candidate.type().name();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
  void theIndexChoosesAsTheFullScan(int seed) throws BadMessage {
    Random random = new Random(seed);
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    CapacityIndex capacity = new CapacityIndex();
    List<FreeCapacity> all = new ArrayList<>();
    int typeCount = 1 + seed % 3;
    for (int i = 0; i < 60; i++) {
      int typeNumber = random.nextInt(typeCount);
      MachineType type =
          new MachineType(
              "t" + typeNumber, 32, 8 - typeNumber, 128, 100, 1, 1, 1, 1, List.of("a", "b"));
      Machine.Info info =
          new Machine.Info(type.name(), i % 2 == 0 ? "a" : "b", false, Machine.Phase.UP, 0);
      Machine machine = addMachine(tables, "m" + i, info);
      for (int k = random.nextInt(4); k > 0; k--) {
        machine.markImageReady("img" + random.nextInt(4), 1, 0);
      }
      capacity.put(machine, type, "n0", 0);
      all.add(capacity.find(machine));
    }
    int placed = 0;
    for (int n = 0; n < 600; n++) {
      JobSpec spec =
          specWithImage(
              random.nextBoolean() ? "batch" : "daemon",
              1 + random.nextInt(6),
              random.nextInt(4),
              "img" + random.nextInt(5));
      FreeCapacity expected = chooseByFullScan(all, spec);
      FreeCapacity chosen = capacity.choose(spec, c -> true);
      assertEquals(describe(expected, spec), describe(chosen, spec), "choice " + n);
      if (chosen != null && random.nextInt(5) > 0) {
        capacity.book(chosen, spec);
        placed++;
      }
      if (random.nextInt(10) == 0) {
        FreeCapacity cleared = all.get(random.nextInt(all.size()));
        capacity.put(cleared.machine(), cleared.type(), "n0", 0);
      }
    }
    assertTrue(placed > 100, "placed " + placed);
  }

  /** A choice among twenty times as many machines examines about as many of them. */
  @Test
  void aChoiceExaminesFewMachinesOfALargeFleet() throws BadMessage {
    JobSpec spec = specWithImage(5, 1, "img");
    long[] examined = new long[2];
    for (int k = 0; k < 2; k++) {
      Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
      CapacityIndex capacity = new CapacityIndex();
      MachineType type = new MachineType("t", 32, 4, 128, 100, 1, 1, 1, 1, List.of("a"));
      for (int i = 0; i < (k == 0 ? 60 : 1200); i++) {
        Machine machine = addMachine(tables, "m" + i);
        machine.markImageReady("img", 1, 0);
        capacity.put(machine, type, "n0", 0);
      }
      long before = capacity.machinesExamined();
      for (int n = 0; n < 100; n++) {
        capacity.book(capacity.choose(spec, c -> true), spec);
      }
      examined[k] = capacity.machinesExamined() - before;
    }
    // The boundary of the half lies within one bucket of 1/64 load, which is scanned linearly.
    assertTrue(examined[1] < 100 * 700, "examined " + examined[1]);
  }
}
