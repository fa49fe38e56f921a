package wickdrift.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import wickdrift.bookkeeping.Machine;
import wickdrift.protocol.JobSpec;

/** A machine's room: what is durable, plus what the round of decisions under way has booked. */
public final class FreeCapacity {
  public static final double EPS = 1e-6;

  private final Machine machine;
  private final TypeInfo type;
  private double bookedCpus;
  private double bookedGpus;
  private double bookedMemoryGb;
  private double load;
  private long fetchesUntilMs;
  private String imageToFetch;
  private boolean isFetching;

  /** The images it is listed under, and the place; the index of rooms keeps both. */
  final List<String> listedImages = new ArrayList<>();

  CapacityIndex.MachineGroup group;

  /**
   * @param machine null for one that is not there yet
   */
  public FreeCapacity(Machine machine, TypeInfo type) {
    this.machine = machine;
    this.type = type;
    reset();
  }

  /** Back to what is durable. */
  void reset() {
    imageToFetch = null;
    bookedCpus = machine == null ? 0 : machine.cpus();
    bookedGpus = machine == null ? 0 : machine.gpus();
    bookedMemoryGb = machine == null ? 0 : machine.memoryGb();
    fetchesUntilMs = machine == null ? 0 : machine.estimatedFetchEndMs(type.fetchGbPerS());
    updateLoad();
  }

  /** The design's load: the largest booked share. */
  private void updateLoad() {
    load = type.cpus() > 0 ? bookedCpus / type.cpus() : 0;
    if (type.gpus() > 0) {
      load = Math.max(load, bookedGpus / type.gpus());
    }
    if (type.memoryGb() > 0) {
      load = Math.max(load, bookedMemoryGb / type.memoryGb());
    }
  }

  public Machine machine() {
    return machine;
  }

  public TypeInfo type() {
    return type;
  }

  public boolean fits(JobSpec spec) {
    return bookedCpus + spec.cpus() <= type.cpus() + EPS
        && bookedGpus + spec.gpus() <= type.gpus() + EPS
        && bookedMemoryGb + spec.memoryGb() <= type.memoryGb() + EPS;
  }

  public boolean hasImage(JobSpec spec) {
    return spec.image().equals(imageToFetch) || machine != null && machine.hasImage(spec.image());
  }

  /**
   * Room for the fetch as well: images fetched side by side share one rate, so that a second one
   * only delays the first. A machine that fetches takes tasks of the images it has or fetches.
   */
  public boolean fitsWithFetch(JobSpec spec) {
    return fits(spec) && (!isFetching || hasImage(spec));
  }

  /** How many tasks of a kind fit here side by side, {@code most} at most. */
  int tasksThatFit(JobSpec spec, int limit) {
    if (!fitsWithFetch(spec)) {
      return 0;
    }
    return Math.min(limit, taskCapacity(spec, freeCpus(), freeGpus(), freeMemoryGb()));
  }

  /** How many tasks of a kind so much has room for. */
  static int taskCapacity(JobSpec spec, double cpus, double gpus, double memoryGb) {
    double tasks = Integer.MAX_VALUE;
    tasks = spec.cpus() > 0 ? Math.min(tasks, (cpus + EPS) / spec.cpus()) : tasks;
    tasks = spec.gpus() > 0 ? Math.min(tasks, (gpus + EPS) / spec.gpus()) : tasks;
    tasks = spec.memoryGb() > 0 ? Math.min(tasks, (memoryGb + EPS) / spec.memoryGb()) : tasks;
    return (int) Math.max(0, tasks);
  }

  /** Looks whether it fetches at this time; the index calls it while the room is not listed. */
  void updateFetching(long nowMs) {
    isFetching = imageToFetch != null || fetchesUntilMs > nowMs;
  }

  boolean isFetching() {
    return isFetching;
  }

  long fetchesUntilMs() {
    return imageToFetch != null ? Long.MAX_VALUE : fetchesUntilMs;
  }

  /** Takes what one task needs. */
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

  /** What a round has booked, to go back to. */
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

  void forEachImage(Consumer<String> action) {
    if (machine != null) {
      machine.images().forEach(action);
    }
    if (imageToFetch != null && !(machine != null && machine.hasImage(imageToFetch))) {
      action.accept(imageToFetch);
    }
  }

  public double load() {
    return load;
  }

  public double freeGpus() {
    return type.gpus() - bookedGpus;
  }

  public double freeCpus() {
    return type.cpus() - bookedCpus;
  }

  public double freeMemoryGb() {
    return type.memoryGb() - bookedMemoryGb;
  }

  /** How many more tasks of this kind it could take. */
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
