package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Doc;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.Pack;
import wickdrift.sim.SimWorld;

class PlacementTest {
  static JobSpec spec(double cpus, double gpus) {
    var m = SimWorld.job(1, "batch", 1, gpus, 10);
    m.put("cores", cpus);
    m.put("memoryGb", 1.0);
    try {
      return JobSpec.parse(Doc.parse(Pack.encode(m)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  /** Machines m1..mn of falling capability, with the given booked shares of their GPUs. */
  private static List<Room> fleet(String loads) {
    Tables tables = new Tables(() -> {});
    List<Room> rooms = new ArrayList<>();
    String[] parts = loads.trim().split(" +");
    for (int i = 0; i < parts.length; i++) {
      double gpus = 100 - i;
      TypeInfo t = new TypeInfo("t" + i, 1000, gpus, 1000, 100, 1, 1, 1, 1, List.of("a"));
      Room r = new Room(tables.machineOrNew("m" + (i + 1)), t);
      r.book(spec(0, Double.parseDouble(parts[i]) * gpus));
      rooms.add(r);
    }
    return rooms;
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
  void choosesTheLeastLoadedOfTheLowerHalf(String loads, double gpus, String expected) {
    Room r = Placement.choose(fleet(loads), spec(0, gpus), x -> true);
    assertEquals(expected, r == null ? "-" : r.machine().name());
  }

  @Test
  void ranksCountAllowedMachinesOnly() {
    List<Room> rooms = fleet("0.0 0.1 0.2 0.3");
    Room r =
        Placement.choose(
            rooms,
            spec(0, 1),
            x -> x.machine().name().equals("m1") || x.machine().name().equals("m4"));
    // Two are allowed, so both ranks count and the emptier wins.
    assertEquals("m1", r.machine().name());
  }

  @Test
  void loadIsTheLargestBookedShare() {
    TypeInfo t = new TypeInfo("t", 10, 4, 1000, 100, 1, 1, 1, 1, List.of("a"));
    Room r = new Room(new Tables(() -> {}).machineOrNew("m"), t);
    r.book(spec(5, 1));
    assertEquals(0.5, r.load(), 1e-9);
  }

  /** A second image fetched beside the first only delays it: such a machine has no room for it. */
  @Test
  void aFetchUnderWayIsNotShared() {
    Tables tables = new Tables(() -> {});
    TypeInfo t = new TypeInfo("t", 100, 4, 1000, 100, 1, 1, 1, 1, List.of("a"));
    Room r = new Room(tables.machineOrNew("m"), t);
    JobSpec first = spec(1, 1);
    r.book(first);
    var other = SimWorld.job(2, "batch", 1, 1, 10);
    other.put("bundle", "other");
    JobSpec second;
    try {
      second = JobSpec.parse(Doc.parse(Pack.encode(other)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
    assertNull(Placement.choose(List.of(r), second, x -> true));
    assertEquals(r, Placement.choose(List.of(r), first, x -> true));
  }
}
