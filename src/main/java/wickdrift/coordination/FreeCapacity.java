package wickdrift.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wickdrift.bookkeeping.Machine;
import wickdrift.protocol.JobSpec;

/**
 * The free capacity of a machine, after its durable bookings and those of the current scheduling
 * round.
 */
public final class FreeCapacity {
  /** Tolerance for comparing sums of fractional resources. */
  public static final double EPS = 1e-6;

  private final Machine machine;
  private final MachineType type;
  private double bookedCpus;
  private double bookedGpus;
  private double bookedMemoryGb;
  private double load;
  private long fetchesUntilMs;
  private String imageToFetch;
  private boolean isFetching;

  /** The images under which the capacity index lists this machine; maintained by the index. */
  final List<String> listedImages = new ArrayList<>();

  /** The group under which the capacity index lists this machine; maintained by the index. */
  CapacityIndex.MachineGroup group;

  /**
   * Creates the free capacity of a machine without bookings of the current round.
   *
   * @param machine null for a machine that does not exist yet
   */
  public FreeCapacity(Machine machine, MachineType type) {
    this.machine = machine;
    this.type = type;
    reset();
  }

  /** Discards the bookings of the current round and returns to the durable state. */
  void reset() {
    imageToFetch = null;
    bookedCpus = machine == null ? 0 : machine.cpus();
    bookedGpus = machine == null ? 0 : machine.gpus();
    bookedMemoryGb = machine == null ? 0 : machine.memoryGb();
    fetchesUntilMs = machine == null ? 0 : machine.estimatedFetchEndMs(type.fetchGbPerS());
    updateLoad();
  }

  /** Recomputes the load: the largest booked fraction of any resource. */
  private void updateLoad() {
    load = type.cpus() > 0 ? bookedCpus / type.cpus() : 0;
    if (type.gpus() > 0) {
      load = Math.max(load, bookedGpus / type.gpus());
    }
    if (type.memoryGb() > 0) {
      load = Math.max(load, bookedMemoryGb / type.memoryGb());
    }
  }

  /** Returns the machine, or null if it does not exist yet. */
  public Machine machine() {
    return machine;
  }

  /** Returns the machine type. */
  public MachineType type() {
    return type;
  }

  /** Whether the free resources can hold a task of this kind, without regard to image fetches. */
  public boolean fits(JobSpec spec) {
    return bookedCpus + spec.cpus() <= type.cpus() + EPS
        && bookedGpus + spec.gpus() <= type.gpus() + EPS
        && bookedMemoryGb + spec.memoryGb() <= type.memoryGb() + EPS;
  }

  /**
   * Whether the machine has the image of the task or will fetch it for a task booked in this round.
   */
  public boolean hasImage(JobSpec spec) {
    return spec.image().equals(imageToFetch) || machine != null && machine.hasImage(spec.image());
  }

  /**
   * Whether a task of this kind fits and its image is present or may be fetched now. Concurrent
   * fetches share one rate, so a second fetch only delays the first. A machine that is fetching
   * accepts only tasks whose image it has or is fetching.
   */
  public boolean fitsWithFetch(JobSpec spec) {
    return fits(spec) && (!isFetching || hasImage(spec));
  }

  /** Returns how many tasks of this kind can start here at the same time, at most {@code limit}. */
  int tasksThatFit(JobSpec spec, int limit) {
    if (!fitsWithFetch(spec)) {
      return 0;
    }
    return Math.min(limit, taskCapacity(spec, freeCpus(), freeGpus(), freeMemoryGb()));
  }

  /** Returns how many tasks of this kind fit into the given resources. */
  static int taskCapacity(JobSpec spec, double cpus, double gpus, double memoryGb) {
    double tasks = Integer.MAX_VALUE;
    tasks = spec.cpus() > 0 ? Math.min(tasks, (cpus + EPS) / spec.cpus()) : tasks;
    tasks = spec.gpus() > 0 ? Math.min(tasks, (gpus + EPS) / spec.gpus()) : tasks;
    tasks = spec.memoryGb() > 0 ? Math.min(tasks, (memoryGb + EPS) / spec.memoryGb()) : tasks;
    return (int) Math.max(0, tasks);
  }

  /**
   * Updates whether the machine is fetching an image at this time. The capacity index must not list
   * the machine while this is called.
   */
  void updateFetching(long nowMs) {
    isFetching = imageToFetch != null || fetchesUntilMs > nowMs;
  }

  /** Whether the machine is fetching an image, as of the last update. */
  boolean isFetching() {
    return isFetching;
  }

  /**
   * Returns the expected end of the image fetches; {@code Long.MAX_VALUE} if a fetch was booked in
   * this round.
   */
  long fetchesUntilMs() {
    return imageToFetch != null ? Long.MAX_VALUE : fetchesUntilMs;
  }

  /**
   * Books the resources of one task, and the fetch of its image if the machine does not have it.
   */
  public void book(JobSpec spec) {
    if (!hasImage(spec)) {
      imageToFetch = spec.image();
      isFetching = true;
    }
    bookedCpus += spec.cpus();
    bookedGpus += spec.gpus();
    bookedMemoryGb += spec.memoryGb();
    updateLoad();
  }

  /** A copy of the bookings, used to restore an earlier state of the round. */
  record Bookings(
      double cpus, double gpus, double memoryGb, String imageToFetch, boolean isFetching) {}

  Bookings save() {
    return new Bookings(bookedCpus, bookedGpus, bookedMemoryGb, imageToFetch, isFetching);
  }

  void restore(Bookings saved) {
    bookedCpus = saved.cpus;
    bookedGpus = saved.gpus;
    bookedMemoryGb = saved.memoryGb;
    imageToFetch = saved.imageToFetch;
    isFetching = saved.isFetching;
    updateLoad();
  }

  /** Passes the images of the machine, including one booked in this round, to the action. */
  void forEachImage(Consumer<String> action) {
    if (machine != null) {
      machine.images().forEach(action);
    }
    if (imageToFetch != null && !(machine != null && machine.hasImage(imageToFetch))) {
      action.accept(imageToFetch);
    }
  }

  /** Returns the largest booked fraction of any resource. */
  public double load() {
    return load;
  }

  /** Returns the free GPUs. */
  public double freeGpus() {
    return type.gpus() - bookedGpus;
  }

  /** Returns the free CPUs. */
  public double freeCpus() {
    return type.cpus() - bookedCpus;
  }

  /** Returns the free memory in GB. */
  public double freeMemoryGb() {
    return type.memoryGb() - bookedMemoryGb;
  }

  /**
   * Returns how many more tasks of this kind the free resources can hold, without regard to image
   * fetches.
   */
  int remainingTasks(JobSpec spec) {
    if (!type.canHold(spec)) {
      return 0;
    }
    double tasks = 1e9;
    if (spec.cpus() > 0) {
      tasks = Math.min(tasks, freeCpus() / spec.cpus());
    }
    if (spec.gpus() > 0) {
      tasks = Math.min(tasks, freeGpus() / spec.gpus());
    }
    if (spec.memoryGb() > 0) {
      tasks = Math.min(tasks, freeMemoryGb() / spec.memoryGb());
    }
    return (int) Math.max(0, tasks + EPS);
  }
}
