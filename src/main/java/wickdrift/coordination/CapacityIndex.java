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
 * The machines that take tasks, kept in order so that no decision looks at all of them: by place
 * (part, type, zone, kind), in each place by load, and once more for each image.
 */
final class CapacityIndex {
  /** Machines that are alike but for what is on them. */
  static final class MachineGroup {
    final String owner;
    final TypeInfo type;
    final String zone;
    final boolean spot;
    private final LoadIndex machines = new LoadIndex();
    private final LoadIndex fetching = new LoadIndex();
    private final Map<String, ImageMachines> byImage = new HashMap<>();
    private double freeCpus;
    private double freeGpus;
    private double freeMemoryGb;

    MachineGroup(String owner, TypeInfo type, String zone, boolean spot) {
      this.owner = owner;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
    }

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

  /** A cell's machines that have an image, and those among them that fetch something. */
  private static final class ImageMachines {
    final LoadIndex machines = new LoadIndex();
    final LoadIndex fetching = new LoadIndex();
  }

  private static final ImageMachines NO_MACHINES = new ImageMachines();

  /** Most capable first: GPUs, then memory, then CPUs. */
  private static final Comparator<MachineGroup> MOST_CAPABLE_FIRST =
      Comparator.comparingDouble((MachineGroup group) -> -group.type.gpus())
          .thenComparingDouble(group -> -group.type.memoryGb())
          .thenComparingDouble(group -> -group.type.cpus());

  private record GroupKey(String owner, String type, String zone, boolean spot) {}

  private final Map<GroupKey, MachineGroup> groupsByKey = new HashMap<>();
  private final List<MachineGroup> groups = new ArrayList<>();
  private final Map<Machine, FreeCapacity> byMachine = new LinkedHashMap<>();
  private final Set<FreeCapacity> bookedThisRound = new HashSet<>();

  /** Rooms listed as fetching, by when that is taken to be over. */
  private final TreeSet<Fetch> fetches =
      new TreeSet<>(
          Comparator.comparingLong(Fetch::untilMs)
              .thenComparingInt(f -> f.capacity.machine().number()));

  private record Fetch(long untilMs, FreeCapacity capacity) {}

  private long growthVersion;
  private long machinesExamined;
  private Predicate<String> preferredOwners = owner -> true;

  /**
   * Of equals, machines of these owners are taken: for the leader those whose booking takes no
   * further part's record into the transaction.
   */
  void setPreferredOwners(Predicate<String> owners) {
    preferredOwners = owners;
  }

  private boolean isPreferred(FreeCapacity capacity) {
    return preferredOwners.test(capacity.group.owner);
  }

  /** Changes whenever there is more room somewhere. */
  long growthVersion() {
    return growthVersion;
  }

  /** How many rooms were looked at so far. */
  long machinesExamined() {
    return machinesExamined;
  }

  FreeCapacity find(Machine machine) {
    return byMachine.get(machine);
  }

  // ---- keeping it ----

  /** Forgets all: a new view, or other types. */
  void clear() {
    groupsByKey.clear();
    groups.clear();
    byMachine.clear();
    bookedThisRound.clear();
    fetches.clear();
    growthVersion++;
  }

  /** There may be more room than before: what was blocked looks again. */
  void incrementGrowthVersion() {
    growthVersion++;
  }

  /** Lists the machine as it is now in the tables; true if it may have more room than before. */
  boolean put(Machine machine, TypeInfo type, String owner, long nowMs) {
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

  void remove(Machine machine) {
    FreeCapacity capacity = byMachine.remove(machine);
    if (capacity != null) {
      removeFromIndexes(capacity);
      bookedThisRound.remove(capacity);
    }
  }

  private MachineGroup groupFor(String owner, TypeInfo type, String zone, boolean spot) {
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

  /** Books in the round of decisions under way. */
  void book(FreeCapacity capacity, JobSpec spec) {
    removeFromIndexes(capacity);
    capacity.book(spec);
    addToIndexes(capacity, capacity.group);
    bookedThisRound.add(capacity);
  }

  /** Undoes what was booked since the room looked like that. */
  void restore(FreeCapacity capacity, FreeCapacity.Bookings saved) {
    removeFromIndexes(capacity);
    capacity.restore(saved);
    addToIndexes(capacity, capacity.group);
  }

  /** A new round starts from what is durable, and from the fetches that are not over yet. */
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

  // ---- the choice ----

  /**
   * The sub-greedy rule for the linear hierarchy (Definition 3 with the sets of Lemma 1): a task
   * that the i most capable machines can hold goes to the least loaded with room among ranks
   * ceil(i/2) to i. If that half is full, any eligible machine with room takes it; else it waits.
   *
   * <p>Machines of equal capability are ranked in three groups: the rest, the fuller ones, by 64ths
   * of load, after the emptier; then those without room, full or fetching another image; last, in
   * the half that is looked at first, those that have the task's image and are not too full for it.
   * So tasks of one image gather, and empty machines are left for gangs.
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
      List<MachineGroup> equals = eligible.subList(from, to);
      best = lessLoaded(leastLoadedInHalf(equals, remaining, spec), best, spec);
      for (MachineGroup group : equals) {
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
   * The least loaded with room among the last {@code most} of some machines of equal capability.
   */
  private FreeCapacity leastLoadedInHalf(List<MachineGroup> equals, int maxMachines, JobSpec spec) {
    int size = 0;
    int withImageCount = 0;
    int ordinaryCount = 0;
    for (MachineGroup group : equals) {
      double maxLoad = maxLoadFor(spec, group.type);
      size += group.machines.size();
      withImageCount += withImage(group, spec).countUpTo(maxLoad);
      ordinaryCount += countWithoutImageOrFetch(group, spec, maxLoad, LoadIndex::countUpTo);
    }
    FreeCapacity best = null;
    int halfSize = Math.min(maxMachines, size);
    int withImageInHalf = Math.min(withImageCount, halfSize);
    if (withImageInHalf == withImageCount) {
      for (MachineGroup group : equals) {
        best = lessLoaded(best, leastLoadedFrom(withImage(group, spec), 0, spec), spec);
      }
      int[] start = startPositions(equals, halfSize - (size - ordinaryCount), spec, false);
      for (int i = 0; i < start.length; i++) {
        best = lessLoaded(best, leastLoadedFrom(equals.get(i).machines, start[i], spec), spec);
      }
    } else {
      int[] start = startPositions(equals, withImageInHalf, spec, true);
      for (int i = 0; i < start.length; i++) {
        best =
            lessLoaded(best, leastLoadedFrom(withImage(equals.get(i), spec), start[i], spec), spec);
      }
    }
    return best;
  }

  private interface LoadCount {
    int of(LoadIndex list, double load);
  }

  /** Of some machines of a cell, those that neither have the image nor fetch another one. */
  private static int countWithoutImageOrFetch(
      MachineGroup group, JobSpec spec, double maxLoad, LoadCount count) {
    ImageMachines withImage = imageMachines(group, spec);
    return count.of(group.machines, maxLoad)
        - count.of(withImage.machines, maxLoad)
        - count.of(group.fetching, maxLoad)
        + count.of(withImage.fetching, maxLoad);
  }

  /**
   * Where in each cell the last {@code k} begin that are not too full, counted among the machines
   * with the image, or among those that neither have it nor fetch another one. Within one 64th of
   * load the later cell's machines rank later.
   */
  private int[] startPositions(
      List<MachineGroup> equals, int remainingMachines, JobSpec spec, boolean withImageOnly) {
    double maxLoad = maxLoadFor(spec, equals.get(0).type);
    int[] start = new int[equals.size()];
    for (int i = 0; i < start.length; i++) {
      start[i] =
          (withImageOnly ? withImage(equals.get(i), spec) : equals.get(i).machines)
              .countUpTo(maxLoad);
    }
    int remaining = remainingMachines;
    for (int bucket = LoadIndex.bucket(maxLoad); bucket >= 0 && remaining > 0; bucket--) {
      int currentBucket = bucket;
      for (int i = start.length - 1; i >= 0 && remaining > 0; i--) {
        MachineGroup group = equals.get(i);
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
          // The border is in this cell and level.
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
   * From where on, up to a place in a cell, there are {@code k} machines that neither have the
   * image nor fetch another one. Half a large fleet may lie there, so it is searched by halving.
   */
  private int findStart(MachineGroup group, ImageMachines withImage, int end, int count) {
    int from = 0;
    int to = end;
    // Invariant: enough lie behind from, and too few behind to.
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

  /** How many of a part of a cell's machines lie between two places of the cell. */
  private static int countBetween(LoadIndex subset, MachineGroup group, int from, int to) {
    return countBefore(subset, group, to) - countBefore(subset, group, from);
  }

  private static int countBefore(LoadIndex subset, MachineGroup group, int position) {
    return position < group.machines.size()
        ? subset.countBefore(group.machines.get(position))
        : subset.size();
  }

  /** The least loaded that fits, from a place in the list on. */
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

  /** No machine with a higher load than this can have room for it. */
  private static double maxLoadFor(JobSpec spec, TypeInfo type) {
    double share = 1;
    if (type.cpus() > 0) {
      share = Math.min(share, spec.cpus() / type.cpus());
    }
    if (type.gpus() > 0) {
      share = Math.min(share, spec.gpus() / type.gpus());
    }
    if (type.memoryGb() > 0) {
      share = Math.min(share, spec.memoryGb() / type.memoryGb());
    }
    return 1 - share + FreeCapacity.EPS;
  }

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

  /** Outside the half: one with the image, then the fullest, so that empty machines stay empty. */
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

  private FreeCapacity fuller(FreeCapacity a, FreeCapacity b) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    if (Math.abs(b.load() - a.load()) > FreeCapacity.EPS) {
      return b.load() > a.load() ? b : a;
    }
    return isPreferred(b) && !isPreferred(a) ? b : a;
  }

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

  // ---- other questions ----

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

  /** In how many of the machines it would fit, counted up to {@code most}. */
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

  /** Whether so many tasks have room at once, several of them on one machine too. */
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

  List<String> zones() {
    Set<String> zones = new HashSet<>();
    groups.forEach(group -> zones.add(group.zone));
    List<String> sorted = new ArrayList<>(zones);
    Collections.sort(sorted);
    return sorted;
  }

  void forEach(JobSpec spec, Predicate<MachineGroup> allowed, Consumer<FreeCapacity> action) {
    for (MachineGroup group : groups) {
      if (group.allows(spec) && allowed.test(group)) {
        for (int i = 0; i < group.machines.size(); i++) {
          action.accept(group.machines.get(i));
        }
      }
    }
  }

  /** About how many tasks of this kind a part has room for. */
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

  /** The same beside the task's image, counted up to {@code most}. */
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

  int countCapableMachines(JobSpec spec) {
    int count = 0;
    for (MachineGroup group : groups) {
      count += group.type.canHold(spec) ? group.machines.size() : 0;
    }
    return count;
  }
}
