package wickdrift.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.LogEntry;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;

/**
 * Loads tables of a given size as a controller does at its start, and reloads them as it does after
 * a long pause, to show that both fit into the heap. Arguments: the numbers of machines and tasks.
 */
final class TableMemoryProbe {
  private static final int JOB_COUNT = 1000;

  private TableMemoryProbe() {}

  /** Loads the tables twice, checks their content and prints the heap in use. */
  public static void main(String[] args) throws Exception {
    int machines = Integer.parseInt(args[0]);
    int tasks = Integer.parseInt(args[1]);
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    tables.load(storedRecords(machines, tasks), 10);
    tables.reset();
    tables.load(storedRecords(machines, tasks), 20);
    int liveTasks = tables.jobs().stream().mapToInt(Job::liveCount).sum();
    if (liveTasks != tasks || tables.machines().size() != machines) {
      throw new IllegalStateException(
          liveTasks + " live tasks, machines: " + tables.machines().size());
    }
    System.gc();
    long usedBytes = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    System.out.println("held in " + usedBytes / 1024 / 1024 + " MB");
  }

  /**
   * Returns the stored records: archive buckets of machines, jobs, and chunks of tasks. One job has
   * half of the tasks.
   */
  private static List<StateServiceClient.Change> storedRecords(int machines, int tasks)
      throws Exception {
    List<StateServiceClient.Change> records = new ArrayList<>();
    for (int bucket = 0; bucket < machines / 10; bucket++) {
      List<Object> bucketMachines = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        String zone = i % 2 == 0 ? "zone-a" : "zone-b";
        bucketMachines.add(
            LogEntry.machine(
                name(10 * bucket + i),
                new Machine.Info("type", zone, false, Machine.Phase.UP, 1_790_000_000_000L)));
      }
      put(
          records,
          "w/h/" + Machine.archiveBucketOf(name(10 * bucket)),
          Map.of("rev", 5L, "m", bucketMachines));
    }
    int firstTask = 0;
    for (int jobIndex = 0; jobIndex < JOB_COUNT; jobIndex++) {
      int size =
          jobIndex == 0
              ? tasks / 2
              : jobIndex < JOB_COUNT - 1 ? tasks / 2 / (JOB_COUNT - 1) : tasks - firstTask;
      Map<String, Object> job = SimJobs.job(jobIndex, "batch", size, 1, 60);
      put(
          records,
          Job.key((String) job.get("ref")),
          Job.toStore(
              JobSpec.parse(Document.parse(MessageCodec.encode(job))),
              null,
              1_790_000_000_000L,
              "n0",
              0));
      for (int chunkIndex = 0; chunkIndex * Job.TASKS_PER_CHUNK < size; chunkIndex++) {
        List<Object> live = new ArrayList<>();
        for (int i = chunkIndex * Job.TASKS_PER_CHUNK;
            i < Math.min(size, (chunkIndex + 1) * Job.TASKS_PER_CHUNK);
            i++) {
          live.add(List.of(i, 1, name((firstTask + i) % machines), jobIndex % 5, 0));
        }
        Map<String, Object> chunk = new LinkedHashMap<>();
        chunk.put("rev", 5L);
        chunk.put("done", List.of());
        chunk.put("live", live);
        chunk.put("tried", List.of());
        put(records, "w/t/" + job.get("ref") + "/" + chunkIndex, chunk);
      }
      firstTask += size;
    }
    return records;
  }

  private static String name(int i) {
    return String.format("i-%06d", i);
  }

  private static void put(List<StateServiceClient.Change> records, String key, Object value)
      throws Exception {
    records.add(
        new StateServiceClient.Change(key, MessageCodec.decode(MessageCodec.encode(value)), 7));
  }
}
