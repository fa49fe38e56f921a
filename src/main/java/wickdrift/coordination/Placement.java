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

  /**
   * Among machines of equal capability the emptier ranks higher. So the half that is looked at
   * first holds the fuller ones, and empty machines are left for gangs.
   */
  private static final Comparator<Room> RANK =
      CAPABILITY.thenComparingDouble(Room::load).thenComparing((Room r) -> r.machine().name());

  private Placement() {}

  public static List<Room> ranked(List<Room> rooms) {
    List<Room> out = new ArrayList<>(rooms);
    out.sort(RANK);
    return out;
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
    eligible.sort(RANK);
    int i = eligible.size();
    int from = (i + 1) / 2 - 1;
    Room best = null;
    for (int k = from; k < i; k++) {
      Room r = eligible.get(k);
      if (r.fits(spec) && (best == null || better(r, best, spec))) {
        best = r;
      }
    }
    if (best != null) {
      return best;
    }
    for (int k = 0; k < from; k++) {
      Room r = eligible.get(k);
      if (r.fits(spec) && (best == null || fallback(r, best, spec))) {
        best = r;
      }
    }
    return best;
  }

  private static boolean better(Room a, Room b, JobSpec spec) {
    if (Math.abs(a.load() - b.load()) > Room.EPS) {
      return a.load() < b.load();
    }
    boolean ai = a.machine().hasImage(spec.image());
    boolean bi = b.machine().hasImage(spec.image());
    return ai && !bi;
  }

  /** Outside the half: one with the image, then the fullest, so that empty machines stay empty. */
  private static boolean fallback(Room a, Room b, JobSpec spec) {
    boolean ai = a.machine().hasImage(spec.image());
    boolean bi = b.machine().hasImage(spec.image());
    if (ai != bi) {
      return ai;
    }
    return a.load() > b.load() + Room.EPS;
  }
}
