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

  public void book(JobSpec s) {
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
