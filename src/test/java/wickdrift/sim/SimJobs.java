package wickdrift.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Submissions as users send them. */
public final class SimJobs {
  private SimJobs() {}

  /** A job of the team vision: its class is called as its shape. */
  public static Map<String, Object> job(
      int number, String shape, int tasks, double gpus, double seconds) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("ref", String.format("req-%06d", number));
    m.put("jobclass", shape);
    m.put("owner", "vision");
    m.put("shape", shape);
    m.put("rank", "standard");
    m.put("shards", tasks);
    m.put("cores", 4.0);
    m.put("gpus", gpus);
    m.put("memoryGb", 16.0);
    m.put("bundle", "img");
    m.put("pullGb", 1.0);
    m.put("oneZone", shape.equals("ensemble"));
    m.put("apart", shape.equals("daemon"));
    m.put("reclaimable", true);
    m.put("expectS", seconds);
    m.put("checkpointEveryS", 0.0);
    m.put("flushS", 0.0);
    return m;
  }

  /** The same, awaiting others. */
  public static Map<String, Object> awaiting(Map<String, Object> job, int... others) {
    List<String> ids = new ArrayList<>();
    for (int o : others) {
      ids.add(String.format("req-%06d", o));
    }
    job.put("awaits", ids);
    return job;
  }
}
