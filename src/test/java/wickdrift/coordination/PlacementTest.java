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

class PlacementTest {
  private static JobSpec spec(double cpus, double gpus) {
    var m = SimJobs.job(1, "batch", 1, gpus, 10);
    m.put("cores", cpus);
    m.put("memoryGb", 1.0);
    try {
      return JobSpec.parse(Document.parse(MessageCodec.encode(m)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private static final Machine.Info UP = new Machine.Info("t", "a", false, Machine.Phase.UP, 0);

  /** Machines m1..mn of falling capability, with the given booked shares of their GPUs. */
  private static CapacityIndex capacityOf(String loads) throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    CapacityIndex capacity = new CapacityIndex();
    String[] shares = loads.trim().split(" +");
    for (int i = 0; i < shares.length; i++) {
      double gpus = 100 - i;
      TypeInfo t = new TypeInfo("t" + i, 1000, gpus, 1000, 100, 1, 1, 1, 1, List.of("a"));
      Machine m = addMachine(tables, "m" + (i + 1));
      capacity.put(m, t, "n0", 0);
      capacity.book(capacity.find(m), spec(0, Double.parseDouble(shares[i]) * gpus));
    }
    return capacity;
  }

  private static Machine addMachine(Tables tables, String name) throws BadMessage {
    return addMachine(tables, name, UP);
  }

  private static Machine addMachine(Tables tables, String name, Machine.Info info)
      throws BadMessage {
    var v = LogPage.encode(null, 1, List.of(LogEntry.machine(name, info)), (r, e) -> false);
    long rev = 1 + tables.machines().size();
    StateServiceClient.Change c =
        new StateServiceClient.Change(
            LogPage.key("n0", rev), MessageCodec.decode(MessageCodec.encode(v)), rev);
    tables.apply(List.of(c), rev);
    return tables.machine(name);
  }

  @ParameterizedTest(name = "{0} wants {1} GPUs: {2}")
  @CsvSource({
    // One machine: ceil(1/2)..1.
    "0.5, 1, m1",
    // Of two, ranks 1..2.
    "0.1 0.2, 1, m1",
    // Of three, ranks 2..3: the emptiest, m1, is not looked at.
    "0.0 0.4 0.3, 1, m3",
    // Of four, ranks 2..4; of five, 3..5.
    "0.0 0.1 0.4 0.3, 1, m2",
    "0.0 0.0 0.4 0.3 0.5, 1, m4",
    // Eligible are the i that can hold it: with 97 GPUs wanted ranks are counted among m1..m4.
    "0.0 0.0 0.0 0.0 0.0 0.0, 97, m2",
    // The half is full: any eligible machine with room.
    "0.5 1.0 1.0 1.0, 1, m1",
    // Nowhere is room: it waits.
    "1.0 1.0 1.0, 1, -",
  })
  void choosesTheLeastLoadedMachineOfTheLeastCapableHalf(String loads, double gpus, String expected)
      throws BadMessage {
    FreeCapacity r = capacityOf(loads).choose(spec(0, gpus), c -> true);
    assertEquals(expected, r == null ? "-" : r.machine().name());
  }

  @Test
  void ranksCountOnlyAllowedMachines() throws BadMessage {
    FreeCapacity r =
        capacityOf("0.0 0.1 0.2 0.3")
            .choose(spec(0, 1), c -> c.type.name().equals("t0") || c.type.name().equals("t3"));
    // Two are allowed, so both ranks count and the emptier wins.
    assertEquals("m1", r.machine().name());
  }

  @Test
  void loadIsTheLargestBookedShare() {
    TypeInfo t = new TypeInfo("t", 10, 4, 1000, 100, 1, 1, 1, 1, List.of("a"));
    FreeCapacity r =
        new FreeCapacity(
            new Tables(List.of(), LevelRange.BUILD, () -> {}).getOrCreateMachine("m"), t);
    r.book(spec(5, 1));
    assertEquals(0.5, r.load(), 1e-9);
  }

  /** A second image fetched beside the first only delays it: such a machine has no room for it. */
  @Test
  void aMachineThatFetchesAnotherImageIsNotChosen() throws BadMessage {
    CapacityIndex capacity = new CapacityIndex();
    TypeInfo t = new TypeInfo("t", 100, 4, 1000, 100, 1, 1, 1, 1, List.of("a"));
    Machine m = addMachine(new Tables(List.of(), LevelRange.BUILD, () -> {}), "m");
    capacity.put(m, t, "n0", 0);
    JobSpec first = spec(1, 1);
    capacity.book(capacity.find(m), first);
    assertNull(capacity.choose(specWithImage(1, 1, "other"), c -> true));
    assertEquals(capacity.find(m), capacity.choose(first, c -> true));
  }

  // ---- the index against the rule written out ----

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

  /** Judged by its load alone: even where all that is booked were of the task's smallest share. */
  private static boolean isTooLoaded(FreeCapacity r, JobSpec s) {
    double share =
        Math.min(
            Math.min(s.cpus() / r.type().cpus(), s.gpus() / r.type().gpus()),
            s.memoryGb() / r.type().memoryGb());
    return r.load() > 1 - share + FreeCapacity.EPS;
  }

  private static int fitRank(FreeCapacity r, JobSpec s) {
    if (isTooLoaded(r, s) || r.isFetching() && !r.hasImage(s)) {
      return 1;
    }
    return r.hasImage(s) ? 2 : 0;
  }

  /** Definition 3 with the sets of Lemma 1, over all machines, sorted anew. */
  private static FreeCapacity chooseByFullScan(List<FreeCapacity> capacity, JobSpec s) {
    List<FreeCapacity> eligible = new ArrayList<>();
    capacity.stream().filter(r -> r.type().canHold(s)).forEach(eligible::add);
    eligible.sort(
        Comparator.comparingDouble((FreeCapacity r) -> -r.type().gpus())
            .thenComparingInt(r -> fitRank(r, s))
            .thenComparingInt(r -> LoadIndex.bucket(r.load()))
            .thenComparing(r -> r.machine().info().zone())
            .thenComparingDouble(FreeCapacity::load)
            .thenComparingInt(r -> r.machine().number()));
    int eligibleCount = eligible.size();
    int first = (eligibleCount + 1) / 2 - 1;
    FreeCapacity best = null;
    for (FreeCapacity r : eligible.subList(Math.max(0, first), eligibleCount)) {
      boolean lessLoaded = best == null || r.load() < best.load() - FreeCapacity.EPS;
      boolean tie = best != null && Math.abs(r.load() - best.load()) <= FreeCapacity.EPS;
      if (r.fitsWithFetch(s) && (lessLoaded || tie && r.hasImage(s) && !best.hasImage(s))) {
        best = r;
      }
    }
    if (best != null) {
      return best;
    }
    for (FreeCapacity r : eligible) {
      boolean imageGained = best != null && r.hasImage(s) && !best.hasImage(s);
      boolean moreLoaded =
          best != null
              && r.hasImage(s) == best.hasImage(s)
              && r.load() > best.load() + FreeCapacity.EPS;
      if (r.fitsWithFetch(s) && (best == null || imageGained || moreLoaded)) {
        best = r;
      }
    }
    return best;
  }

  /** What matters of a choice: its load and its image; the rest is a tie. */
  private static String describe(FreeCapacity r, JobSpec s) {
    return r == null ? "-" : Math.round(r.load() * 1e6) + " " + r.hasImage(s) + r.type().name();
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
      TypeInfo type =
          new TypeInfo(
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
        FreeCapacity r = all.get(random.nextInt(all.size()));
        capacity.put(r.machine(), r.type(), "n0", 0);
      }
    }
    assertTrue(placed > 100, "placed " + placed);
  }

  /** Twenty times the machines: about the same work for a choice. */
  @Test
  void aChoiceExaminesFewMachinesOfALargeFleet() throws BadMessage {
    JobSpec spec = specWithImage(5, 1, "img");
    long[] examined = new long[2];
    for (int k = 0; k < 2; k++) {
      Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
      CapacityIndex capacity = new CapacityIndex();
      TypeInfo type = new TypeInfo("t", 32, 4, 128, 100, 1, 1, 1, 1, List.of("a"));
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
    // The border of the half lies within one 64th of load, so some are counted one by one.
    assertTrue(examined[1] < 100 * 700, "looked at " + examined[1]);
  }
}
