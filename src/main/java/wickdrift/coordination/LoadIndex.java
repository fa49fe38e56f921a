package wickdrift.coordination;

import java.util.Arrays;

/** Rooms in order of their load, and how many there are of each 64th of it. */
final class LoadIndex {
  static final int LEVELS = 64;

  private FreeCapacity[] rooms = new FreeCapacity[8];
  private int size;
  private final int[] levels = new int[LEVELS + 1];

  static int bucket(double load) {
    return Math.max(0, Math.min(LEVELS, (int) (load * LEVELS + FreeCapacity.EPS)));
  }

  int size() {
    return size;
  }

  FreeCapacity get(int i) {
    return rooms[i];
  }

  private static int compare(FreeCapacity a, FreeCapacity b) {
    int c = Double.compare(a.load(), b.load());
    return c != 0 ? c : Integer.compare(a.machine().number(), b.machine().number());
  }

  /** How many come before a room, which need not be here. */
  int search(FreeCapacity r) {
    int from = 0;
    int to = size;
    while (from < to) {
      int mid = from + to >>> 1;
      if (compare(rooms[mid], r) < 0) {
        from = mid + 1;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /** How many have at most this load. */
  int upTo(double load) {
    int from = 0;
    int to = size;
    while (from < to) {
      int mid = from + to >>> 1;
      if (rooms[mid].load() <= load) {
        from = mid + 1;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /** How many are below this level. */
  int below(int level) {
    int from = 0;
    int to = size;
    while (from < to) {
      int mid = from + to >>> 1;
      if (bucket(rooms[mid].load()) < level) {
        from = mid + 1;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /** How many of a level have at most this load, which lies in or above it. */
  int atLevel(int level, double most) {
    return level < bucket(most) ? levels[level] : upTo(most) - below(level);
  }

  void add(FreeCapacity r) {
    int at = search(r);
    if (size == rooms.length) {
      rooms = Arrays.copyOf(rooms, size * 2);
    }
    System.arraycopy(rooms, at, rooms, at + 1, size - at);
    rooms[at] = r;
    size++;
    levels[bucket(r.load())]++;
  }

  /** Call it before the room's load changes. */
  void remove(FreeCapacity r) {
    int at = search(r);
    if (at >= size || rooms[at] != r) {
      throw new IllegalStateException("not here: " + r.machine().name());
    }
    System.arraycopy(rooms, at + 1, rooms, at, size - at - 1);
    rooms[--size] = null;
    levels[bucket(r.load())]--;
  }
}
