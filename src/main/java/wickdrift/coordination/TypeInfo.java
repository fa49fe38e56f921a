package wickdrift.coordination;

import java.util.List;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;

/** A machine type as the cloud describes it. */
public record TypeInfo(
    String name,
    double cpus,
    double gpus,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  /** Reads a machine type of the cloud's list. */
  public static TypeInfo parse(Document d) throws BadMessage {
    return new TypeInfo(
        d.text("sku"),
        d.amount("cores"),
        d.amount("gpus", 0),
        d.amount("memoryGb"),
        d.amount("localGb", 0),
        d.amount("fetchGbPerS", 0),
        d.amount("rate", 0),
        d.amount("lowPrice", 0),
        d.amount("bootS", 0),
        List.copyOf(d.texts("regions")));
  }

  /** Whether a task of the job could ever run on a machine of this type. */
  public boolean canHold(JobSpec s) {
    return s.allowsType(name)
        && s.cpus() <= cpus + FreeCapacity.EPS
        && s.gpus() <= gpus + FreeCapacity.EPS
        && s.memoryGb() <= memoryGb + FreeCapacity.EPS
        && (s.zone() == null || zones.contains(s.zone()));
  }

  /** How many tasks of a kind an empty machine holds. */
  int tasksThatFit(JobSpec s) {
    return FreeCapacity.taskCapacity(s, cpus, gpus, memoryGb);
  }
}
