package wickdrift.protocol;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The description of a job as its user submitted it. Only this class knows the protocol's names of
 * the fields. {@link #toStore} uses the same names, so that one parser validates both submissions
 * and stored records.
 *
 * @param types the machine types that may run the tasks; null: any
 * @param zone the zone in which the tasks must run; null: any
 * @param oneZone whether all tasks must run in the same zone
 * @param spread whether no zone may hold more than {@link #maxTasksPerZone} tasks
 * @param spot whether tasks may run on spot machines
 * @param estimatedRunS the expected run time of a task
 * @param checkpointIntervalS the interval between checkpoints of a task; 0: it makes none
 * @param checkpointSaveS the time that a task needs to save a checkpoint when it is stopped
 * @param deadlineS the time after its acceptance by which the job should be done; null: no deadline
 * @param awaits the jobs that must be done before a task of this one starts, without duplicates
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
    double estimatedRunS,
    double checkpointIntervalS,
    double checkpointSaveS,
    Double deadlineS,
    List<String> awaits) {

  /**
   * The kind of a job: independent tasks, tasks that only run together, or tasks that run until the
   * job is withdrawn.
   */
  public enum Shape {
    ARRAY("batch"),
    GANG("ensemble"),
    SERVICE("daemon");

    private final String wireName;

    Shape(String wireName) {
      this.wireName = wireName;
    }

    /** Returns the name in the protocol and in stored records. */
    public String wireName() {
      return wireName;
    }
  }

  /** Priorities, highest first: they are compared by ordinal. */
  public enum Priority {
    PRODUCTION("production"),
    HIGH("urgent"),
    NORMAL("standard"),
    LOW("idle");

    private final String wireName;

    Priority(String wireName) {
      this.wireName = wireName;
    }

    /** Returns the name in the protocol and in stored records. */
    public String wireName() {
      return wireName;
    }
  }

  /** Maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  private static final Pattern ID_PATTERN = Pattern.compile("req-[0-9]{1,18}");

  /** Returns whether a text has the format of a job id. */
  public static boolean validId(String id) {
    return ID_PATTERN.matcher(id).matches();
  }

  /**
   * Fields that a submission must contain although {@link #parse} has defaults for them. The
   * optional fields that are not listed may be null, and so may be absent.
   */
  private static final List<String> REQUIRED_FIELDS =
      List.of(
          "gpus",
          "pullGb",
          "oneZone",
          "apart",
          "reclaimable",
          "expectS",
          "checkpointEveryS",
          "flushS");

  /**
   * Returns the first required field that a submission lacks, or null. {@link #parse} does not
   * check this, since descriptions that older builds stored may lack these fields.
   */
  public static String missingField(Document submission) {
    return REQUIRED_FIELDS.stream()
        .filter(field -> !submission.has(field))
        .findFirst()
        .orElse(null);
  }

  /**
   * Parses a submission or a stored description.
   *
   * @throws BadMessage if a field is missing or out of range; the text names it
   */
  public static JobSpec parse(Document submission) throws BadMessage {
    String id = submission.text("ref");
    if (!validId(id)) {
      throw new BadMessage("ref is not a job id");
    }
    long tasks = submission.unsigned("shards");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new BadMessage("shards is out of range");
    }
    List<String> types =
        !submission.has("flavours") ? null : List.copyOf(submission.texts("flavours"));
    return new JobSpec(
        id,
        name(submission, "jobclass"),
        name(submission, "owner"),
        parseShape(submission.text("shape")),
        parsePriority(submission.text("rank")),
        (int) tasks,
        submission.amount("cores"),
        submission.amount("gpus", 0),
        submission.amount("memoryGb"),
        name(submission, "bundle"),
        submission.amount("pullGb", 0),
        types,
        submission.textOrNull("region"),
        submission.flag("oneZone", false),
        submission.flag("apart", false),
        submission.flag("reclaimable", false),
        submission.amount("expectS", 0),
        submission.amount("checkpointEveryS", 0),
        submission.amount("flushS", 0),
        submission.amountOrNull("dueS"),
        parseAwaits(submission));
  }

  private static List<String> parseAwaits(Document submission) throws BadMessage {
    Set<String> jobIds = new LinkedHashSet<>(submission.texts("awaits"));
    for (String jobId : jobIds) {
      if (!validId(jobId)) {
        throw new BadMessage("awaits holds something that is not a job id");
      }
    }
    return List.copyOf(jobIds);
  }

  /** Returns a copy that awaits the given jobs instead. */
  public JobSpec withAwaits(List<String> dependencies) {
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
        estimatedRunS,
        checkpointIntervalS,
        checkpointSaveS,
        deadlineS,
        dependencies);
  }

  private static String name(Document submission, String key) throws BadMessage {
    String value = submission.text(key);
    if (value.isEmpty()) {
      throw new BadMessage(key + " is empty");
    }
    return value;
  }

  private static Shape parseShape(String wireName) throws BadMessage {
    for (Shape shape : Shape.values()) {
      if (shape.wireName.equals(wireName)) {
        return shape;
      }
    }
    throw new BadMessage("shape is unknown");
  }

  private static Priority parsePriority(String wireName) throws BadMessage {
    for (Priority priority : Priority.values()) {
      if (priority.wireName.equals(wireName)) {
        return priority;
      }
    }
    throw new BadMessage("rank is unknown");
  }

  /** Returns the fields of a stored description that this build does not know. */
  public static Map<String, Object> unknownFields(Document stored) {
    return stored.fieldsExcept(
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

  /** Encodes the description for the job's record. */
  public Map<String, Object> toStore() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("ref", id);
    fields.put("jobclass", jobClass);
    fields.put("owner", team);
    fields.put("shape", shape.wireName);
    fields.put("rank", priority.wireName);
    fields.put("shards", tasks);
    fields.put("cores", cpus);
    fields.put("gpus", gpus);
    fields.put("memoryGb", memoryGb);
    fields.put("bundle", image);
    fields.put("pullGb", imageGb);
    if (types != null) {
      fields.put("flavours", types);
    }
    if (zone != null) {
      fields.put("region", zone);
    }
    fields.put("oneZone", oneZone);
    fields.put("apart", spread);
    fields.put("reclaimable", spot);
    fields.put("expectS", estimatedRunS);
    fields.put("checkpointEveryS", checkpointIntervalS);
    fields.put("flushS", checkpointSaveS);
    if (deadlineS != null) {
      fields.put("dueS", deadlineS);
    }
    if (!awaits.isEmpty()) {
      fields.put("awaits", awaits);
    }
    return fields;
  }

  /** Returns whether tasks may run on machines of a type. */
  public boolean allowsType(String type) {
    return types == null || types.contains(type);
  }

  /**
   * Returns the maximum number of tasks in one zone: half of them, rounded up, for a job that asks
   * to be spread, otherwise all.
   */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
