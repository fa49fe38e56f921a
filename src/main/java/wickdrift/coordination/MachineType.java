package wickdrift.coordination;

import java.util.List;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;

/**
 * A machine type as the cloud describes it.
 *
 * @param cacheGb local storage for images
 * @param fetchGbPerS rate at which a machine fetches images
 * @param bootS seconds that a machine usually takes to boot
 * @param zones where machines of the type can be rented
 */
public record MachineType(
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

  /** Parses an entry of the cloud's list of machine types. */
  public static MachineType parse(Document document) throws BadMessage {
    return new MachineType(
        document.text("sku"),
        document.amount("cores"),
        document.amount("gpus", 0),
        document.amount("memoryGb"),
        document.amount("localGb", 0),
        document.amount("fetchGbPerS", 0),
        document.amount("rate", 0),
        document.amount("lowPrice", 0),
        document.amount("bootS", 0),
        List.copyOf(document.texts("regions")));
  }

  /** Whether a task of the job can run on an empty machine of this type. */
  public boolean canHold(JobSpec spec) {
    return spec.allowsType(name)
        && spec.cpus() <= cpus + FreeCapacity.EPS
        && spec.gpus() <= gpus + FreeCapacity.EPS
        && spec.memoryGb() <= memoryGb + FreeCapacity.EPS
        && (spec.zone() == null || zones.contains(spec.zone()));
  }

  /** Returns how many tasks of the job fit on an empty machine. */
  int tasksThatFit(JobSpec spec) {
    return FreeCapacity.taskCapacity(spec, cpus, gpus, memoryGb);
  }
}
