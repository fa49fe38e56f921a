package wickdrift.protocol;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * What a user submitted. The wire's names live here only; {@link #toStore} keeps them, so that one
 * parser checks both a submission and a stored record.
 *
 * @param awaits the jobs that must be done before a task of this one starts, each once
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointS,
    double saveS,
    Double deadlineS,
    List<String> awaits) {

  /** How a job's tasks hang together. */
  public enum Shape {
    ARRAY("batch"),
    GANG("ensemble"),
    SERVICE("daemon");

    private final String wire;

    Shape(String wire) {
      this.wire = wire;
    }

    public String wire() {
      return wire;
    }
  }

  /** Highest first, so that the ordinal sorts. */
  public enum Priority {
    PRODUCTION("production"),
    HIGH("urgent"),
    NORMAL("standard"),
    LOW("idle");

    private final String wire;

    Priority(String wire) {
      this.wire = wire;
    }

    public String wire() {
      return wire;
    }
  }

  public static final int MAX_TASKS = 100_000;
  private static final Pattern ID = Pattern.compile("req-[0-9]{1,18}");
  private static final int MAX_NAME = 128;

  public static boolean validId(String id) {
    return ID.matcher(id).matches();
  }

  /** What a submission must have; the others may be null, and so may be left out. */
  private static final List<String> REQUIRED =
      List.of(
          "gpus",
          "pullGb",
          "oneZone",
          "apart",
          "reclaimable",
          "expectS",
          "checkpointEveryS",
          "flushS");

  /** The field that a submission lacks, or null. Stored descriptions of older builds may. */
  public static String lacks(Document submitted) {
    return REQUIRED.stream().filter(f -> submitted.raw(f) == null).findFirst().orElse(null);
  }

  /** Reads a submission; what is lacking or out of range is named. */
  public static JobSpec parse(Document d) throws BadMessage {
    String id = d.text("ref");
    if (!validId(id)) {
      throw new BadMessage("ref is not a job id");
    }
    long tasks = d.count("shards");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new BadMessage("shards is out of range");
    }
    List<String> types = d.raw("flavours") == null ? null : List.copyOf(d.texts("flavours"));
    if (types != null && types.size() > 64) {
      throw new BadMessage("flavours is too long");
    }
    return new JobSpec(
        id,
        name(d, "jobclass"),
        name(d, "owner"),
        shape(d.text("shape")),
        priority(d.text("rank")),
        (int) tasks,
        d.amount("cores"),
        d.amount("gpus", 0),
        d.amount("memoryGb"),
        name(d, "bundle"),
        d.amount("pullGb", 0),
        types,
        d.textOrNull("region"),
        d.flag("oneZone", false),
        d.flag("apart", false),
        d.flag("reclaimable", false),
        d.amount("expectS", 0),
        d.amount("checkpointEveryS", 0),
        d.amount("flushS", 0),
        d.amountOrNull("dueS"),
        awaits(d));
  }

  private static List<String> awaits(Document d) throws BadMessage {
    Set<String> names = new LinkedHashSet<>(d.texts("awaits"));
    for (String n : names) {
      if (!validId(n)) {
        throw new BadMessage("awaits holds something that is not a job id");
      }
    }
    return List.copyOf(names);
  }

  /** The same, awaiting others. */
  public JobSpec awaiting(List<String> others) {
    return new JobSpec(
        id,
        jobClass,
        team,
        shape,
        priority,
        tasks,
        cpus,
        gpus,
        memoryGb,
        image,
        imageGb,
        types,
        zone,
        oneZone,
        spread,
        spot,
        estimateS,
        checkpointS,
        saveS,
        deadlineS,
        others);
  }

  private static String name(Document d, String key) throws BadMessage {
    String s = d.text(key);
    if (s.isEmpty() || s.length() > MAX_NAME) {
      throw new BadMessage(key + " is empty or too long");
    }
    return s;
  }

  private static Shape shape(String s) throws BadMessage {
    for (Shape v : Shape.values()) {
      if (v.wire.equals(s)) {
        return v;
      }
    }
    throw new BadMessage("shape is unknown");
  }

  private static Priority priority(String s) throws BadMessage {
    for (Priority v : Priority.values()) {
      if (v.wire.equals(s)) {
        return v;
      }
    }
    throw new BadMessage("rank is unknown");
  }

  /** The fields of a stored description that this build does not know. */
  public static Map<String, Object> unknownFields(Document stored) {
    return stored.without(
        "ref",
        "jobclass",
        "owner",
        "shape",
        "rank",
        "shards",
        "cores",
        "gpus",
        "memoryGb",
        "bundle",
        "pullGb",
        "flavours",
        "region",
        "oneZone",
        "apart",
        "reclaimable",
        "expectS",
        "checkpointEveryS",
        "flushS",
        "dueS",
        "awaits");
  }

  /** The submission as a job's record holds it. */
  public Map<String, Object> toStore() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("ref", id);
    m.put("jobclass", jobClass);
    m.put("owner", team);
    m.put("shape", shape.wire);
    m.put("rank", priority.wire);
    m.put("shards", tasks);
    m.put("cores", cpus);
    m.put("gpus", gpus);
    m.put("memoryGb", memoryGb);
    m.put("bundle", image);
    m.put("pullGb", imageGb);
    if (types != null) {
      m.put("flavours", types);
    }
    if (zone != null) {
      m.put("region", zone);
    }
    m.put("oneZone", oneZone);
    m.put("apart", spread);
    m.put("reclaimable", spot);
    m.put("expectS", estimateS);
    m.put("checkpointEveryS", checkpointS);
    m.put("flushS", saveS);
    if (deadlineS != null) {
      m.put("dueS", deadlineS);
    }
    if (!awaits.isEmpty()) {
      m.put("awaits", awaits);
    }
    return m;
  }

  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  /** The most tasks a zone may hold when the job asks to be spread. */
  public int zoneLimit() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
