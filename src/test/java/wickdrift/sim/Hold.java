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

/** Loads a fleet as a controller does at its start, and again on top as after a long standstill. */
final class Hold {
  private static final int JOBS = 1000;

  private Hold() {}

  public static void main(String[] args) throws Exception {
    int machines = Integer.parseInt(args[0]);
    int tasks = Integer.parseInt(args[1]);
    Tables t = new Tables(List.of(), LevelRange.BUILD, () -> {});
    t.load(store(machines, tasks), 10);
    t.reset();
    t.load(store(machines, tasks), 20);
    int live = t.jobs().stream().mapToInt(Job::liveCount).sum();
    if (live != tasks || t.machines().size() != machines) {
      throw new IllegalStateException(live + " tasks on " + t.machines().size());
    }
    System.gc();
    long used = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    System.out.println("held in " + used / 1024 / 1024 + " MB");
  }

  /** What is read: shelves of machines, jobs, chunks; one job has half of the tasks. */
  private static List<StateServiceClient.Change> store(int machines, int tasks) throws Exception {
    List<StateServiceClient.Change> all = new ArrayList<>();
    for (int s = 0; s < machines / 10; s++) {
      List<Object> shelf = new ArrayList<>();
      for (int i = 0; i < 10; i++) {
        String zone = i % 2 == 0 ? "zone-a" : "zone-b";
        shelf.add(
            LogEntry.machine(
                name(10 * s + i),
                new Machine.Info("type", zone, false, Machine.Phase.UP, 1_790_000_000_000L)));
      }
      put(all, "w/h/" + Machine.archiveBucketOf(name(10 * s)), Map.of("rev", 5L, "m", shelf));
    }
    int next = 0;
    for (int j = 0; j < JOBS; j++) {
      int size = j == 0 ? tasks / 2 : j < JOBS - 1 ? tasks / 2 / (JOBS - 1) : tasks - next;
      Map<String, Object> job = SimJobs.job(j, "batch", size, 1, 60);
      put(
          all,
          Job.key((String) job.get("ref")),
          Job.toStore(
              JobSpec.parse(Document.parse(MessageCodec.encode(job))),
              null,
              1_790_000_000_000L,
              "n0",
              0));
      for (int c = 0; c * Job.TASKS_PER_CHUNK < size; c++) {
        List<Object> live = new ArrayList<>();
        for (int i = c * Job.TASKS_PER_CHUNK;
            i < Math.min(size, (c + 1) * Job.TASKS_PER_CHUNK);
            i++) {
          live.add(List.of(i, 1, name((next + i) % machines), j % 5, 0));
        }
        Map<String, Object> chunk = new LinkedHashMap<>();
        chunk.put("rev", 5L);
        chunk.put("done", List.of());
        chunk.put("live", live);
        chunk.put("tried", List.of());
        put(all, "w/t/" + job.get("ref") + "/" + c, chunk);
      }
      next += size;
    }
    return all;
  }

  private static String name(int i) {
    return String.format("i-%06d", i);
  }

  private static void put(List<StateServiceClient.Change> all, String key, Object value)
      throws Exception {
    all.add(new StateServiceClient.Change(key, MessageCodec.decode(MessageCodec.encode(value)), 7));
  }
}
