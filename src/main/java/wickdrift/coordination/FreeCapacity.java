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
  private double cpus;
  private double gpus;
  private double memoryGb;
  private double load;
  private long fetchesUntilMs;
  private String fetched;
  private boolean fetching;

  /** The images it is listed under, and the place; the index of rooms keeps both. */
  final List<String> listed = new ArrayList<>();

  CapacityIndex.MachineGroup cell;

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
    fetched = null;
    cpus = machine == null ? 0 : machine.cpus();
    gpus = machine == null ? 0 : machine.gpus();
    memoryGb = machine == null ? 0 : machine.memoryGb();
    fetchesUntilMs = machine == null ? 0 : machine.estimatedFetchEndMs(type.fetchGbPerS());
    reckon();
  }

  /** The design's load: the largest booked share. */
  private void reckon() {
    load = type.cpus() > 0 ? cpus / type.cpus() : 0;
    if (type.gpus() > 0) {
      load = Math.max(load, gpus / type.gpus());
    }
    if (type.memoryGb() > 0) {
      load = Math.max(load, memoryGb / type.memoryGb());
    }
  }

  public Machine machine() {
    return machine;
  }

  public TypeInfo type() {
    return type;
  }

  public boolean fits(JobSpec s) {
    return cpus + s.cpus() <= type.cpus() + EPS
        && gpus + s.gpus() <= type.gpus() + EPS
        && memoryGb + s.memoryGb() <= type.memoryGb() + EPS;
  }

  public boolean hasImage(JobSpec s) {
    return s.image().equals(fetched) || machine != null && machine.hasImage(s.image());
  }

  /**
   * Room for the fetch as well: images fetched side by side share one rate, so that a second one
   * only delays the first. A machine that fetches takes tasks of the images it has or fetches.
   */
  public boolean fitsWithFetch(JobSpec s) {
    return fits(s) && (!fetching || hasImage(s));
  }

  /** How many tasks of a kind fit here side by side, {@code most} at most. */
  int tasksThatFit(JobSpec s, int most) {
    if (!fitsWithFetch(s)) {
      return 0;
    }
    return Math.min(most, taskCapacity(s, freeCpus(), freeGpus(), freeMemoryGb()));
  }

  /** How many tasks of a kind so much has room for. */
  static int taskCapacity(JobSpec s, double cpus, double gpus, double memoryGb) {
    double n = Integer.MAX_VALUE;
    n = s.cpus() > 0 ? Math.min(n, (cpus + EPS) / s.cpus()) : n;
    n = s.gpus() > 0 ? Math.min(n, (gpus + EPS) / s.gpus()) : n;
    n = s.memoryGb() > 0 ? Math.min(n, (memoryGb + EPS) / s.memoryGb()) : n;
    return (int) Math.max(0, n);
  }

  /** Looks whether it fetches at this time; the index calls it while the room is not listed. */
  void fetches(long nowMs) {
    fetching = fetched != null || fetchesUntilMs > nowMs;
  }

  boolean isFetching() {
    return fetching;
  }

  long fetchesUntilMs() {
    return fetched != null ? Long.MAX_VALUE : fetchesUntilMs;
  }

  /** Takes what one task needs. */
  public void book(JobSpec s) {
    if (!hasImage(s)) {
      fetched = s.image();
      fetching = true;
    }
    cpus += s.cpus();
    gpus += s.gpus();
    memoryGb += s.memoryGb();
    reckon();
  }

  /** What a round has booked, to go back to. */
  record Saved(double cpus, double gpus, double memoryGb, String fetched, boolean fetching) {}

  Saved save() {
    return new Saved(cpus, gpus, memoryGb, fetched, fetching);
  }

  void restore(Saved s) {
    cpus = s.cpus;
    gpus = s.gpus;
    memoryGb = s.memoryGb;
    fetched = s.fetched;
    fetching = s.fetching;
    reckon();
  }

  void images(Consumer<String> use) {
    if (machine != null) {
      machine.images().forEach(use);
    }
    if (fetched != null && !(machine != null && machine.hasImage(fetched))) {
      use.accept(fetched);
    }
  }

  public double load() {
    return load;
  }

  public double freeGpus() {
    return type.gpus() - gpus;
  }

  public double freeCpus() {
    return type.cpus() - cpus;
  }

  public double freeMemoryGb() {
    return type.memoryGb() - memoryGb;
  }

  /** How many more tasks of this kind it could take. */
  int times(JobSpec s) {
    if (!type.canHold(s)) {
      return 0;
    }
    double n = 1e9;
    if (s.cpus() > 0) {
      n = Math.min(n, freeCpus() / s.cpus());
    }
    if (s.gpus() > 0) {
      n = Math.min(n, freeGpus() / s.gpus());
    }
    if (s.memoryGb() > 0) {
      n = Math.min(n, freeMemoryGb() / s.memoryGb());
    }
    return (int) Math.max(0, n + EPS);
  }
}
