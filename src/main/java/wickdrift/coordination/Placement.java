package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import wickdrift.protocol.JobSpec;

/**
 * The sub-greedy rule for the linear hierarchy (Definition 3 with the sets of Lemma 1): a task that
 * the i most capable machines can hold goes to the least loaded with room among ranks ceil(i/2) to
 * i. If that half is full, any eligible machine with room takes it; else it waits.
 */
public final class Placement {
  /** GPUs, then memory, then CPUs. */
  private static final Comparator<Room> CAPABILITY =
      Comparator.comparingDouble((Room r) -> -r.type().gpus())
          .thenComparingDouble(r -> -r.type().memoryGb())
          .thenComparingDouble(r -> -r.type().cpus());

  private Placement() {}

  /**
   * Among machines of equal capability, those that suit the task rank last, in the half that is
   * looked at first: above them the full ones, and above those the emptier ones without its image.
   * So tasks of one image gather, and empty machines are left for gangs.
   */
  private static Comparator<Room> rank(JobSpec spec) {
    return CAPABILITY
        .thenComparingInt((Room r) -> suits(r, spec))
        .thenComparingDouble(Room::load)
        .thenComparing((Room r) -> r.machine().name());
  }

  private static int suits(Room r, JobSpec spec) {
    if (!r.fitsWithFetch(spec)) {
      return 1;
    }
    return r.hasImage(spec) ? 2 : 0;
  }

  /** The machine for one task, or null. {@code rooms} may be in any order. */
  public static Room choose(List<Room> rooms, JobSpec spec, Predicate<Room> allowed) {
    List<Room> eligible = new ArrayList<>();
    for (Room r : rooms) {
      if (r.type().canHold(spec) && allowed.test(r)) {
        eligible.add(r);
      }
    }
    if (eligible.isEmpty()) {
      return null;
    }
    eligible.sort(rank(spec));
    int i = eligible.size();
    int from = (i + 1) / 2 - 1;
    Room best = null;
    for (int k = from; k < i; k++) {
      Room r = eligible.get(k);
      if (r.fitsWithFetch(spec) && (best == null || better(r, best, spec))) {
        best = r;
      }
    }
    if (best != null) {
      return best;
    }
    for (int k = 0; k < from; k++) {
      Room r = eligible.get(k);
      if (r.fitsWithFetch(spec) && (best == null || fallback(r, best, spec))) {
        best = r;
      }
    }
    return best;
  }

  private static boolean better(Room a, Room b, JobSpec spec) {
    if (Math.abs(a.load() - b.load()) > Room.EPS) {
      return a.load() < b.load();
    }
    return a.hasImage(spec) && !b.hasImage(spec);
  }

  /** Outside the half: one with the image, then the fullest, so that empty machines stay empty. */
  private static boolean fallback(Room a, Room b, JobSpec spec) {
    if (a.hasImage(spec) != b.hasImage(spec)) {
      return a.hasImage(spec);
    }
    return a.load() > b.load() + Room.EPS;
  }
}
