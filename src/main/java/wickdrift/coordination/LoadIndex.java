package wickdrift.coordination;

import java.util.Arrays;

/** Rooms in order of their load, and how many there are of each 64th of it. */
final class LoadIndex {
  static final int BUCKETS = 64;

  private FreeCapacity[] machines = new FreeCapacity[8];
  private int size;
  private final int[] countByBucket = new int[BUCKETS + 1];

  static int bucket(double load) {
    return Math.max(0, Math.min(BUCKETS, (int) (load * BUCKETS + FreeCapacity.EPS)));
  }

  int size() {
    return size;
  }

  FreeCapacity get(int i) {
    return machines[i];
  }

  private static int compare(FreeCapacity a, FreeCapacity b) {
    int c = Double.compare(a.load(), b.load());
    return c != 0 ? c : Integer.compare(a.machine().number(), b.machine().number());
  }

  /** How many come before a room, which need not be here. */
  int countBefore(FreeCapacity capacity) {
    int from = 0;
    int to = size;
    while (from < to) {
      int mid = from + to >>> 1;
      if (compare(machines[mid], capacity) < 0) {
        from = mid + 1;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /** How many have at most this load. */
  int countUpTo(double maxLoad) {
    int from = 0;
    int to = size;
    while (from < to) {
      int mid = from + to >>> 1;
      if (machines[mid].load() <= maxLoad) {
        from = mid + 1;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /** How many are below this level. */
  int countBelowBucket(int bucket) {
    int from = 0;
    int to = size;
    while (from < to) {
      int mid = from + to >>> 1;
      if (bucket(machines[mid].load()) < bucket) {
        from = mid + 1;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /** How many of a level have at most this load, which lies in or above it. */
  int countInBucket(int bucket, double maxLoad) {
    return bucket < bucket(maxLoad)
        ? countByBucket[bucket]
        : countUpTo(maxLoad) - countBelowBucket(bucket);
  }

  void add(FreeCapacity capacity) {
    int at = countBefore(capacity);
    if (size == machines.length) {
      machines = Arrays.copyOf(machines, size * 2);
    }
    System.arraycopy(machines, at, machines, at + 1, size - at);
    machines[at] = capacity;
    size++;
    countByBucket[bucket(capacity.load())]++;
  }

  /** Call it before the room's load changes. */
  void remove(FreeCapacity capacity) {
    int at = countBefore(capacity);
    if (at >= size || machines[at] != capacity) {
      throw new IllegalStateException("not here: " + capacity.machine().name());
    }
    System.arraycopy(machines, at + 1, machines, at, size - at - 1);
    machines[--size] = null;
    countByBucket[bucket(capacity.load())]--;
  }
}
