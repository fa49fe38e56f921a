package wickdrift.coordination;

import wickdrift.bookkeeping.Machine;
import wickdrift.protocol.JobSpec;

/** A machine's room during one round of decisions: what is durable plus what the round books. */
public final class Room {
  public static final double EPS = 1e-6;

  private final Machine machine;
  private final TypeInfo type;
  private double cpus;
  private double gpus;
  private double memoryGb;

  private boolean fetching;
  private String fetched;

  /** Room with the machine's images as they are now. */
  public static Room of(Machine machine, TypeInfo type, long nowMs) {
    machine.noteImages(nowMs, type.cacheGb());
    Room r = new Room(machine, type);
    r.fetching = machine.fetching(nowMs, type.fetchGbPerS());
    return r;
  }

  public Room(Machine machine, TypeInfo type) {
    this.machine = machine;
    this.type = type;
    this.cpus = machine == null ? 0 : machine.cpus();
    this.gpus = machine == null ? 0 : machine.gpus();
    this.memoryGb = machine == null ? 0 : machine.memoryGb();
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

  public void book(JobSpec s) {
    if (!hasImage(s)) {
      fetching = true;
      fetched = s.image();
    }
    cpus += s.cpus();
    gpus += s.gpus();
    memoryGb += s.memoryGb();
  }

  public void free(JobSpec s) {
    cpus -= s.cpus();
    gpus -= s.gpus();
    memoryGb -= s.memoryGb();
  }

  /** The design's load: the largest booked share. */
  public double load() {
    double l = type.cpus() > 0 ? cpus / type.cpus() : 0;
    if (type.gpus() > 0) {
      l = Math.max(l, gpus / type.gpus());
    }
    return type.memoryGb() > 0 ? Math.max(l, memoryGb / type.memoryGb()) : l;
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
}
