package wickdrift.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds submissions as users send them. */
public final class SimJobs {
  private SimJobs() {}

  /** Returns a submission of the team {@code vision}, whose job class has the name of its shape. */
  public static Map<String, Object> job(
      int number, String shape, int tasks, double gpus, double seconds) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("ref", String.format("req-%06d", number));
    fields.put("jobclass", shape);
    fields.put("owner", "vision");
    fields.put("shape", shape);
    fields.put("rank", "standard");
    fields.put("shards", tasks);
    fields.put("cores", 4.0);
    fields.put("gpus", gpus);
    fields.put("memoryGb", 16.0);
    fields.put("bundle", "img");
    fields.put("pullGb", 1.0);
    fields.put("oneZone", shape.equals("ensemble"));
    fields.put("apart", shape.equals("daemon"));
    fields.put("reclaimable", true);
    fields.put("expectS", seconds);
    fields.put("checkpointEveryS", 0.0);
    fields.put("flushS", 0.0);
    return fields;
  }

  /** Returns the ids of the jobs numbered from 0. */
  static List<String> ids(int count) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(String.format("req-%06d", i));
    }
    return ids;
  }

  /** Adds dependencies to a submission, and returns it. */
  public static Map<String, Object> addAwaits(Map<String, Object> job, int... others) {
    List<String> ids = new ArrayList<>();
    for (int other : others) {
      ids.add(String.format("req-%06d", other));
    }
    job.put("awaits", ids);
    return job;
  }
}
