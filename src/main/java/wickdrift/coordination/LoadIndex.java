package wickdrift.coordination;

import java.util.Arrays;

/** Machines sorted by load, with the number of machines in each bucket of 1/64 of the load. */
final class LoadIndex {
  /** Number of load buckets; a full machine has a bucket of its own. */
  static final int BUCKETS = 64;

  private FreeCapacity[] machines = new FreeCapacity[8];
  private int size;
  private final int[] countByBucket = new int[BUCKETS + 1];

  /** Returns the bucket of a load. */
  static int bucket(double load) {
    return Math.max(0, Math.min(BUCKETS, (int) (load * BUCKETS + FreeCapacity.EPS)));
  }

  /** Returns the number of machines. */
  int size() {
    return size;
  }

  /** Returns the machine at a position in the order of load. */
  FreeCapacity get(int i) {
    return machines[i];
  }

  /** Compares by load, then by machine number. */
  private static int compare(FreeCapacity a, FreeCapacity b) {
    int c = Double.compare(a.load(), b.load());
    return c != 0 ? c : Integer.compare(a.machine().number(), b.machine().number());
  }

  /** Returns how many machines come before the given one, which need not be in the index. */
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

  /** Returns how many machines have at most this load. */
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

  /** Returns how many machines are in lower buckets. */
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

  /**
   * Returns how many machines of a bucket have at most this load, which must lie in or above the
   * bucket.
   */
  int countInBucket(int bucket, double maxLoad) {
    return bucket < bucket(maxLoad)
        ? countByBucket[bucket]
        : countUpTo(maxLoad) - countBelowBucket(bucket);
  }

  /** Inserts a machine at the position of its load. */
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

  /**
   * Removes a machine. Must be called before its load changes, because the position is found by
   * load.
   */
  void remove(FreeCapacity capacity) {
    int at = countBefore(capacity);
    if (at >= size || machines[at] != capacity) {
      throw new IllegalStateException(
          "machine is not in the load index: " + capacity.machine().name());
    }
    System.arraycopy(machines, at + 1, machines, at, size - at - 1);
    machines[--size] = null;
    countByBucket[bucket(capacity.load())]--;
  }
}
