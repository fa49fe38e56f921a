package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.LogEntry;
import wickdrift.bookkeeping.LogPage;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** Which machines and tasks are chosen for preemption. */
class PreemptionTest {
  private static final MachineType TYPE =
      new MachineType("t", 64, 4, 128, 100, 0.5, 1, 1, 1, List.of("a"));
  private static final Machine.Info UP = new Machine.Info("t", "a", false, Machine.Phase.UP, 0);

  private final Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
  private long revision;

  private void applyValue(String key, Object value) throws BadMessage {
    revision++;
    StateServiceClient.Change c =
        new StateServiceClient.Change(
            key, MessageCodec.decode(MessageCodec.encode(value)), revision);
    tables.apply(List.of(c), revision);
  }

  private void applyLogEntry(List<Object> entry) throws BadMessage {
    applyValue(
        LogPage.key("n0", revision), LogPage.encode(null, 1, List.of(entry), (r, e) -> false));
  }

  private static JobSpec spec(int number, String priority, double gpus, String image)
      throws BadMessage {
    var m = SimJobs.job(number, "batch", 1, gpus, 10);
    m.put("rank", priority);
    m.put("cores", 1.0);
    m.put("memoryGb", 1.0);
    m.put("bundle", image);
    return JobSpec.parse(Document.parse(MessageCodec.encode(m)));
  }

  /**
   * Each machine is given by its running tasks: priority, GPUs, and {@code i} if the task has the
   * image of the waiting job ({@code idle2i}). The expected result lists the chosen machines in
   * order, each with its number of preemption victims.
   */
  @ParameterizedTest(name = "{1} preempts {0}, victims up to {2}: {3}")
  @CsvSource({
    "idle4 / standard4, urgent, LOW, m0:1",
    "idle4 / standard4, urgent, HIGH, m0:1 m1:1",
    // Tasks of the same priority are never preempted, however long the job has waited.
    "urgent4 / standard4, urgent, HIGH, m1:1",
    // Victims and free capacity together must suffice.
    "idle2 standard2 / idle4, urgent, LOW, m1:1",
    "idle1 / idle2 idle2, urgent, LOW, m0:1 m1:2",
    "idle2, urgent, LOW, m0:1",
    // Of machines with equal cost, the one that has the image is preferred.
    "idle4 / idle4i, urgent, LOW, m1:1 m0:1",
    // The cheapest machines come first, three at most.
    "idle4 / idle3 / idle2 / idle1, urgent, LOW, m3:1 m2:1 m1:1",
  })
  void theCheapestVictimsAreChosen(
      String machines, String priority, JobSpec.Priority strongestVictim, String expected)
      throws BadMessage {
    int jobNumber = 1;
    List<FreeCapacity> capacities = new ArrayList<>();
    String[] machineTasks = machines.split(" / ");
    for (int i = 0; i < machineTasks.length; i++) {
      applyLogEntry(LogEntry.machine("m" + i, UP));
      for (String task : machineTasks[i].split(" ")) {
        boolean hasImage = task.endsWith("i");
        String priorityAndGpus = hasImage ? task.substring(0, task.length() - 1) : task;
        double gpus = priorityAndGpus.charAt(priorityAndGpus.length() - 1) - '0';
        JobSpec spec =
            spec(
                jobNumber++,
                priorityAndGpus.substring(0, priorityAndGpus.length() - 1),
                gpus,
                hasImage ? "img" : "other");
        applyValue(Job.key(spec.id()), Job.toStore(spec, null, 1, "n0", 0));
        List<Object> placed = LogEntry.placed(spec.id(), 0);
        placed.addAll(List.of(0, 1, "m" + i));
        applyLogEntry(placed);
      }
      Machine machine = tables.machine("m" + i);
      machine.updateImages(0, 100);
      capacities.add(new FreeCapacity(machine, TYPE));
    }
    StringBuilder actual = new StringBuilder();
    for (Preemption.Choice choice :
        Preemption.cheapestChoices(
            capacities,
            spec(99, priority, 4, "img"),
            spec(99, priority, 4, "img").priority(),
            strongestVictim,
            0,
            3)) {
      actual.append(actual.isEmpty() ? "" : " ").append(choice.machine().name());
      actual.append(":").append(choice.victims().size());
    }
    assertEquals(expected, actual.toString());
  }
}
