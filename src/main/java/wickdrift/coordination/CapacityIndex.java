package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import wickdrift.bookkeeping.Machine;
import wickdrift.protocol.JobSpec;

/**
 * An index of the machines that accept tasks, so that no decision scans the whole fleet: by group
 * (partition, type, zone, spot or not), within a group by load, and again by cached image.
 */
final class CapacityIndex {
  /**
   * Machines with the same partition, type, zone and spot property, which differ only in their
   * tasks and images.
   */
  static final class MachineGroup {
    final String owner;
    final MachineType type;
    final String zone;
    final boolean spot;
    private final LoadIndex machines = new LoadIndex();
    private final LoadIndex fetching = new LoadIndex();
    private final Map<String, ImageMachines> byImage = new HashMap<>();
    private double freeCpus;
    private double freeGpus;
    private double freeMemoryGb;

    MachineGroup(String owner, MachineType type, String zone, boolean spot) {
      this.owner = owner;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
    }

    /** Whether the group may run a task of this kind, regardless of its free capacity. */
    boolean allows(JobSpec spec) {
      return (spec.spot() || !spot)
          && (spec.zone() == null || spec.zone().equals(zone))
          && type.canHold(spec);
    }

    private void addFreeCapacity(FreeCapacity capacity, int sign) {
      freeCpus += sign * capacity.freeCpus();
      freeGpus += sign * capacity.freeGpus();
      freeMemoryGb += sign * capacity.freeMemoryGb();
    }
  }

  /**
   * The machines of a group that have an image, and those among them that are fetching an image.
   */
  private static final class ImageMachines {
    final LoadIndex machines = new LoadIndex();
    final LoadIndex fetching = new LoadIndex();
  }

  private static final ImageMachines NO_MACHINES = new ImageMachines();

  /** Orders by capability, most capable first: GPUs, then memory, then CPUs. */
  private static final Comparator<MachineGroup> MOST_CAPABLE_FIRST =
      Comparator.comparingDouble((MachineGroup group) -> -group.type.gpus())
          .thenComparingDouble(group -> -group.type.memoryGb())
          .thenComparingDouble(group -> -group.type.cpus());

  /** Identifies a group of machines. */
  private record GroupKey(String owner, String type, String zone, boolean spot) {}

  private final Map<GroupKey, MachineGroup> groupsByKey = new HashMap<>();
  private final List<MachineGroup> groups = new ArrayList<>();
  private final Map<Machine, FreeCapacity> byMachine = new LinkedHashMap<>();
  private final Set<FreeCapacity> bookedThisRound = new HashSet<>();

  /** Machines indexed as fetching an image, by the expected end of the fetch. */
  private final TreeSet<Fetch> fetches =
      new TreeSet<>(
          Comparator.comparingLong(Fetch::untilMs)
              .thenComparingInt(f -> f.capacity.machine().number()));

  /** A machine that is fetching an image and the expected end of the fetch. */
  private record Fetch(long untilMs, FreeCapacity capacity) {}

  private long growthVersion;
  private long machinesExamined;
  private Predicate<String> preferredOwners = owner -> true;

  /**
   * Sets the owners whose machines win ties. For the leader these are the owners whose machines can
   * be booked without adding another partition record to the transaction.
   */
  void setPreferredOwners(Predicate<String> owners) {
    preferredOwners = owners;
  }

  private boolean isPreferred(FreeCapacity capacity) {
    return preferredOwners.test(capacity.group.owner);
  }

  /** Returns a version that increases whenever free capacity may have grown. */
  long growthVersion() {
    return growthVersion;
  }

  /** Returns the number of machines examined so far. */
  long machinesExamined() {
    return machinesExamined;
  }

  /** Returns the free capacity of a machine, or null if the machine accepts no tasks. */
  FreeCapacity find(Machine machine) {
    return byMachine.get(machine);
  }

  // ---- maintenance ----

  /** Removes all machines, for a new view or other machine types. */
  void clear() {
    groupsByKey.clear();
    groups.clear();
    byMachine.clear();
    bookedThisRound.clear();
    fetches.clear();
    growthVersion++;
  }

  /** Records that free capacity may have grown, so that blocked jobs are tried again. */
  void incrementGrowthVersion() {
    growthVersion++;
  }

  /**
   * Adds or updates a machine from its durable state; returns true if its free capacity or its
   * images may have grown.
   */
  boolean put(Machine machine, MachineType type, String owner, long nowMs) {
    FreeCapacity old = byMachine.get(machine);
    double loadBefore = Double.MAX_VALUE;
    int imagesBefore = 0;
    if (old != null) {
      loadBefore = old.load();
      imagesBefore = old.listedImages.size();
      removeFromIndexes(old);
      bookedThisRound.remove(old);
    }
    machine.updateImages(nowMs, type.cacheGb());
    FreeCapacity capacity =
        old == null || old.type() != type ? new FreeCapacity(machine, type) : old;
    capacity.reset();
    byMachine.put(machine, capacity);
    capacity.updateFetching(nowMs);
    addToIndexes(capacity, groupFor(owner, type, machine.info().zone(), machine.info().spot()));
    return capacity.load() < loadBefore || capacity.listedImages.size() > imagesBefore;
  }

  /** Removes a machine that accepts no tasks any more. */
  void remove(Machine machine) {
    FreeCapacity capacity = byMachine.remove(machine);
    if (capacity != null) {
      removeFromIndexes(capacity);
      bookedThisRound.remove(capacity);
    }
  }

  private MachineGroup groupFor(String owner, MachineType type, String zone, boolean spot) {
    return groupsByKey.computeIfAbsent(
        new GroupKey(owner, type.name(), zone, spot),
        k -> {
          MachineGroup group = new MachineGroup(owner, type, zone, spot);
          groups.add(group);
          groups.sort(MOST_CAPABLE_FIRST.thenComparing(x -> x.zone + x.spot + x.owner));
          return group;
        });
  }

  private void addToIndexes(FreeCapacity capacity, MachineGroup group) {
    capacity.group = group;
    group.machines.add(capacity);
    group.addFreeCapacity(capacity, 1);
    capacity.listedImages.clear();
    capacity.forEachImage(capacity.listedImages::add);
    if (capacity.isFetching()) {
      group.fetching.add(capacity);
      fetches.add(new Fetch(capacity.fetchesUntilMs(), capacity));
    }
    for (String image : capacity.listedImages) {
      ImageMachines withImage = group.byImage.computeIfAbsent(image, k -> new ImageMachines());
      withImage.machines.add(capacity);
      if (capacity.isFetching()) {
        withImage.fetching.add(capacity);
      }
    }
  }

  private void removeFromIndexes(FreeCapacity capacity) {
    MachineGroup group = capacity.group;
    group.machines.remove(capacity);
    group.addFreeCapacity(capacity, -1);
    if (capacity.isFetching()) {
      group.fetching.remove(capacity);
      fetches.remove(new Fetch(capacity.fetchesUntilMs(), capacity));
    }
    for (String image : capacity.listedImages) {
      ImageMachines withImage = group.byImage.get(image);
      withImage.machines.remove(capacity);
      if (capacity.isFetching()) {
        withImage.fetching.remove(capacity);
      }
      if (withImage.machines.size() == 0) {
        group.byImage.remove(image);
      }
    }
  }

  /** Books the resources of one task for the current scheduling round. */
  void book(FreeCapacity capacity, JobSpec spec) {
    removeFromIndexes(capacity);
    capacity.book(spec);
    addToIndexes(capacity, capacity.group);
    bookedThisRound.add(capacity);
  }

  /** Restores the bookings of a machine to an earlier state of the current round. */
  void restore(FreeCapacity capacity, FreeCapacity.Bookings saved) {
    removeFromIndexes(capacity);
    capacity.restore(saved);
    addToIndexes(capacity, capacity.group);
  }

  /**
   * Starts a scheduling round: discards the bookings of the previous round and updates the machines
   * whose image fetches have ended.
   */
  void beginRound(long nowMs) {
    for (FreeCapacity capacity : bookedThisRound) {
      removeFromIndexes(capacity);
      capacity.reset();
      capacity.updateFetching(nowMs);
      addToIndexes(capacity, capacity.group);
    }
    bookedThisRound.clear();
    while (!fetches.isEmpty() && fetches.first().untilMs <= nowMs) {
      FreeCapacity capacity = fetches.first().capacity;
      removeFromIndexes(capacity);
      capacity.updateFetching(nowMs);
      addToIndexes(capacity, capacity.group);
      growthVersion++;
    }
  }

  // ---- choosing a machine ----

  /**
   * Chooses a machine by the sub-greedy rule for the linear hierarchy (Definition 3 with the sets
   * of Lemma 1): a task that the i most capable machines can hold goes to the least loaded machine
   * with enough free capacity among ranks ceil(i/2) to i. If that half has none, any eligible
   * machine with enough free capacity is used; otherwise the task waits.
   *
   * <p>Machines of equal capability are ranked in three groups. First come the ordinary machines,
   * those with higher load after those with lower load in steps of 1/64; then those that cannot
   * hold the task, because they are full or are fetching another image; last, in the half that is
   * searched first, those that have the image of the task and enough free capacity. Tasks with the
   * same image thus gather on the same machines, and empty machines are left for gangs.
   */
  FreeCapacity choose(JobSpec spec, Predicate<MachineGroup> allowed) {
    List<MachineGroup> eligible = new ArrayList<>();
    int machineCount = 0;
    for (MachineGroup group : groups) {
      if (group.machines.size() > 0 && group.allows(spec) && allowed.test(group)) {
        eligible.add(group);
        machineCount += group.machines.size();
      }
    }
    if (machineCount == 0) {
      return null;
    }
    int remaining = machineCount - ((machineCount + 1) / 2 - 1);
    FreeCapacity best = null;
    int to = eligible.size();
    while (to > 0 && remaining > 0) {
      int from = to - 1;
      while (from > 0
          && MOST_CAPABLE_FIRST.compare(eligible.get(from - 1), eligible.get(to - 1)) == 0) {
        from--;
      }
      List<MachineGroup> equalGroups = eligible.subList(from, to);
      best = lessLoaded(leastLoadedInHalf(equalGroups, remaining, spec), best, spec);
      for (MachineGroup group : equalGroups) {
        remaining -= group.machines.size();
      }
      to = from;
    }
    return best != null ? best : fullestWithCapacity(eligible, spec);
  }

  private static ImageMachines imageMachines(MachineGroup group, JobSpec spec) {
    return group.byImage.getOrDefault(spec.image(), NO_MACHINES);
  }

  private static LoadIndex withImage(MachineGroup group, JobSpec spec) {
    return imageMachines(group, spec).machines;
  }

  /**
   * Returns the least loaded machine that can hold the task among the last {@code maxMachines} of
   * machines of equal capability.
   */
  private FreeCapacity leastLoadedInHalf(
      List<MachineGroup> equalGroups, int maxMachines, JobSpec spec) {
    int size = 0;
    int withImageCount = 0;
    int ordinaryCount = 0;
    for (MachineGroup group : equalGroups) {
      double maxLoad = maxLoadFor(spec, group.type);
      size += group.machines.size();
      withImageCount += withImage(group, spec).countUpTo(maxLoad);
      ordinaryCount += countWithoutImageOrFetch(group, spec, maxLoad, LoadIndex::countUpTo);
    }
    FreeCapacity best = null;
    int halfSize = Math.min(maxMachines, size);
    int withImageInHalf = Math.min(withImageCount, halfSize);
    if (withImageInHalf == withImageCount) {
      for (MachineGroup group : equalGroups) {
        best = lessLoaded(best, leastLoadedFrom(withImage(group, spec), 0, spec), spec);
      }
      int[] start = startPositions(equalGroups, halfSize - (size - ordinaryCount), spec, false);
      for (int i = 0; i < start.length; i++) {
        best = lessLoaded(best, leastLoadedFrom(equalGroups.get(i).machines, start[i], spec), spec);
      }
    } else {
      int[] start = startPositions(equalGroups, withImageInHalf, spec, true);
      for (int i = 0; i < start.length; i++) {
        best =
            lessLoaded(
                best, leastLoadedFrom(withImage(equalGroups.get(i), spec), start[i], spec), spec);
      }
    }
    return best;
  }

  /** Counts machines of a load index by load. */
  private interface LoadCount {
    int of(LoadIndex list, double load);
  }

  /**
   * Counts those of a group's machines that neither have the task's image nor are fetching another
   * one.
   */
  private static int countWithoutImageOrFetch(
      MachineGroup group, JobSpec spec, double maxLoad, LoadCount count) {
    ImageMachines withImage = imageMachines(group, spec);
    return count.of(group.machines, maxLoad)
        - count.of(withImage.machines, maxLoad)
        - count.of(group.fetching, maxLoad)
        + count.of(withImage.fetching, maxLoad);
  }

  /**
   * Returns, for each group, the position where the last {@code count} machines begin that are not
   * too loaded for the task, counted either among the machines with the image or among those that
   * neither have it nor are fetching another one. Within a load bucket, machines of later groups
   * rank later.
   */
  private int[] startPositions(
      List<MachineGroup> equalGroups, int count, JobSpec spec, boolean withImageOnly) {
    double maxLoad = maxLoadFor(spec, equalGroups.get(0).type);
    int[] start = new int[equalGroups.size()];
    for (int i = 0; i < start.length; i++) {
      start[i] =
          (withImageOnly ? withImage(equalGroups.get(i), spec) : equalGroups.get(i).machines)
              .countUpTo(maxLoad);
    }
    int remaining = count;
    for (int bucket = LoadIndex.bucket(maxLoad); bucket >= 0 && remaining > 0; bucket--) {
      int currentBucket = bucket;
      for (int i = start.length - 1; i >= 0 && remaining > 0; i--) {
        MachineGroup group = equalGroups.get(i);
        LoadIndex list = withImageOnly ? withImage(group, spec) : group.machines;
        int counted =
            withImageOnly
                ? list.countInBucket(bucket, maxLoad)
                : countWithoutImageOrFetch(
                    group,
                    spec,
                    maxLoad,
                    (index, load) -> index.countInBucket(currentBucket, load));
        if (counted <= remaining) {
          start[i] -= list.countInBucket(bucket, maxLoad);
          remaining -= counted;
        } else {
          // The start position lies within this group and bucket.
          start[i] =
              withImageOnly
                  ? start[i] - remaining
                  : findStart(group, imageMachines(group, spec), start[i], remaining);
          remaining = 0;
        }
      }
    }
    return start;
  }

  /**
   * Returns the last position in a group from which there are still {@code count} machines before
   * {@code end} that neither have the image nor are fetching another one. Uses a binary search,
   * since half of a large fleet may be in this range.
   */
  private int findStart(MachineGroup group, ImageMachines withImage, int end, int count) {
    int from = 0;
    int to = end;
    // Invariant: the range from "from" to "end" has enough such machines, the range from "to" has
    // too few.
    while (to - from > 1) {
      int mid = from + to >>> 1;
      machinesExamined++;
      int excluded =
          countBetween(withImage.machines, group, mid, end)
              + countBetween(group.fetching, group, mid, end)
              - countBetween(withImage.fetching, group, mid, end);
      if (end - mid - excluded >= count) {
        from = mid;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /**
   * Counts the machines of a subset of a group that lie between two positions of the group's load
   * index.
   */
  private static int countBetween(LoadIndex subset, MachineGroup group, int from, int to) {
    return countBefore(subset, group, to) - countBefore(subset, group, from);
  }

  /** Returns how many machines of a subset precede a position of the group's load index. */
  private static int countBefore(LoadIndex subset, MachineGroup group, int position) {
    return position < group.machines.size()
        ? subset.countBefore(group.machines.get(position))
        : subset.size();
  }

  /**
   * Returns the least loaded machine that can hold the task, starting at a position of the load
   * index, or null.
   */
  private FreeCapacity leastLoadedFrom(LoadIndex list, int from, JobSpec spec) {
    if (list.size() == 0) {
      return null;
    }
    double maxLoad = maxLoadFor(spec, list.get(0).type());
    for (int i = from; i < list.size(); i++) {
      FreeCapacity capacity = list.get(i);
      machinesExamined++;
      if (capacity.load() > maxLoad) {
        return null;
      }
      if (capacity.fitsWithFetch(spec)) {
        return capacity;
      }
    }
    return null;
  }

  /** Returns the highest load at which a machine of the type may still hold the task. */
  private static double maxLoadFor(JobSpec spec, MachineType type) {
    double neededFraction = 1;
    if (type.cpus() > 0) {
      neededFraction = Math.min(neededFraction, spec.cpus() / type.cpus());
    }
    if (type.gpus() > 0) {
      neededFraction = Math.min(neededFraction, spec.gpus() / type.gpus());
    }
    if (type.memoryGb() > 0) {
      neededFraction = Math.min(neededFraction, spec.memoryGb() / type.memoryGb());
    }
    return 1 - neededFraction + FreeCapacity.EPS;
  }

  /**
   * Returns the less loaded machine; ties go to one with the task's image, then to a preferred
   * owner.
   */
  private FreeCapacity lessLoaded(FreeCapacity a, FreeCapacity b, JobSpec spec) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    if (Math.abs(a.load() - b.load()) > FreeCapacity.EPS) {
      return a.load() < b.load() ? a : b;
    }
    if (a.hasImage(spec) != b.hasImage(spec)) {
      return a.hasImage(spec) ? a : b;
    }
    return isPreferred(b) && !isPreferred(a) ? b : a;
  }

  /**
   * Returns the most loaded eligible machine that can hold the task, preferring those with its
   * image, so that empty machines stay empty.
   */
  private FreeCapacity fullestWithCapacity(List<MachineGroup> eligible, JobSpec spec) {
    FreeCapacity best = null;
    for (MachineGroup group : eligible) {
      best = fuller(best, fullestFitting(withImage(group, spec), spec));
    }
    if (best != null) {
      return best;
    }
    for (MachineGroup group : eligible) {
      best = fuller(best, fullestFitting(group.machines, spec));
    }
    return best;
  }

  /** Returns the more loaded machine; ties go to a preferred owner. */
  private FreeCapacity fuller(FreeCapacity a, FreeCapacity b) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    if (Math.abs(b.load() - a.load()) > FreeCapacity.EPS) {
      return b.load() > a.load() ? b : a;
    }
    return isPreferred(b) && !isPreferred(a) ? b : a;
  }

  /** Returns the most loaded machine of the index that can hold the task, or null. */
  private FreeCapacity fullestFitting(LoadIndex list, JobSpec spec) {
    if (list.size() == 0) {
      return null;
    }
    for (int i = list.countUpTo(maxLoadFor(spec, list.get(0).type())) - 1; i >= 0; i--) {
      machinesExamined++;
      if (list.get(i).fitsWithFetch(spec)) {
        return list.get(i);
      }
    }
    return null;
  }

  // ---- other queries ----

  /** Whether any allowed machine can hold a task of this kind now. */
  boolean fitsAnywhere(JobSpec spec, Predicate<MachineGroup> allowed) {
    for (MachineGroup group : groups) {
      if (group.allows(spec)
          && allowed.test(group)
          && fullestFitting(group.machines, spec) != null) {
        return true;
      }
    }
    return false;
  }

  /** Counts the machines that can hold a task of this kind, up to {@code limit}. */
  int countFitting(JobSpec spec, Predicate<MachineGroup> allowed, int limit) {
    int count = 0;
    for (MachineGroup group : groups) {
      if (!group.allows(spec) || !allowed.test(group)) {
        continue;
      }
      for (int i = group.machines.countUpTo(maxLoadFor(spec, group.type)) - 1;
          i >= 0 && count < limit;
          i--) {
        machinesExamined++;
        count += group.machines.get(i).fitsWithFetch(spec) ? 1 : 0;
      }
    }
    return count;
  }

  /** Whether this number of tasks fits at the same time, counting several tasks per machine. */
  boolean fitsAll(JobSpec spec, Predicate<MachineGroup> allowed, int tasks) {
    int remaining = tasks;
    for (MachineGroup group : groups) {
      if (!group.allows(spec) || !allowed.test(group)) {
        continue;
      }
      for (int i = group.machines.countUpTo(maxLoadFor(spec, group.type)) - 1;
          i >= 0 && remaining > 0;
          i--) {
        machinesExamined++;
        remaining -= group.machines.get(i).tasksThatFit(spec, remaining);
      }
    }
    return remaining <= 0;
  }

  /** Returns the zones that have machines, sorted by name. */
  List<String> zones() {
    Set<String> zones = new HashSet<>();
    groups.forEach(group -> zones.add(group.zone));
    List<String> sorted = new ArrayList<>(zones);
    Collections.sort(sorted);
    return sorted;
  }

  /**
   * Passes every machine of the allowed groups that may run such a task to the action, whatever its
   * free capacity.
   */
  void forEach(JobSpec spec, Predicate<MachineGroup> allowed, Consumer<FreeCapacity> action) {
    for (MachineGroup group : groups) {
      if (group.allows(spec) && allowed.test(group)) {
        for (int i = 0; i < group.machines.size(); i++) {
          action.accept(group.machines.get(i));
        }
      }
    }
  }

  /** Estimates how many tasks of this kind fit into the free capacity of a partition. */
  double estimateTaskCapacity(JobSpec spec, String owner) {
    double total = 0;
    for (MachineGroup group : groups) {
      if (group.owner.equals(owner) && group.allows(spec)) {
        double tasks = 1e9;
        tasks = spec.cpus() > 0 ? Math.min(tasks, group.freeCpus / spec.cpus()) : tasks;
        tasks = spec.gpus() > 0 ? Math.min(tasks, group.freeGpus / spec.gpus()) : tasks;
        tasks = spec.memoryGb() > 0 ? Math.min(tasks, group.freeMemoryGb / spec.memoryGb()) : tasks;
        total += tasks;
      }
    }
    return total;
  }

  /**
   * Counts the tasks of this kind that fit on machines of a partition that have the task's image,
   * up to {@code limit}.
   */
  int taskCapacityWithImage(JobSpec spec, String owner, int limit) {
    int tasks = 0;
    for (MachineGroup group : groups) {
      if (!group.owner.equals(owner) || !group.allows(spec)) {
        continue;
      }
      LoadIndex withImage = withImage(group, spec);
      int fittingCount = withImage.countUpTo(maxLoadFor(spec, group.type));
      for (int i = 0; i < fittingCount && tasks < limit; i++) {
        machinesExamined++;
        tasks += withImage.get(i).remainingTasks(spec);
      }
    }
    return Math.min(tasks, limit);
  }

  /** Counts the machines whose type can hold a task of this kind when empty. */
  int countCapableMachines(JobSpec spec) {
    int count = 0;
    for (MachineGroup group : groups) {
      count += group.type.canHold(spec) ? group.machines.size() : 0;
    }
    return count;
  }
}
