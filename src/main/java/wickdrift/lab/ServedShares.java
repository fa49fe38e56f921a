package wickdrift.lab;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The share of jobs served of each job class and each team, read from the report of a day; the
 * least served comes first.
 *
 * <p>A requested job counts as served if at least one of its tasks was started (of a gang: all
 * tasks), as the users' bench counts {@code started}. The counts of jobs accepted and done are
 * printed beside it, but don't affect the result: replicas are never done, and jobs that arrive
 * late in the day have no time to finish. For a class of largest jobs ({@link
 * Variant#LARGEST_SUFFIX}) the share of tasks that started within {@link
 * Variant#LARGEST_START_LIMIT_S} is printed too; the day fails if it is below {@link
 * #MIN_SERVED_SHARE}.
 */
public final class ServedShares {
  /** A day fails if the share served of any class or team is below this. */
  public static final double MIN_SERVED_SHARE = 0.5;

  /**
   * The counts of jobs of one class or team. {@code accepted} and {@code done} are -1 where the
   * report doesn't contain them, which is the case for teams.
   */
  public record Row(
      String name, boolean team, long requested, long accepted, long started, long done) {
    /** Share of the requested jobs that were served, from 0 to 1; 1 if none was requested. */
    public double servedShare() {
      return requested == 0 ? 1 : Math.min(1, (double) started / requested);
    }

    String text() {
      return String.format(
          Locale.ROOT,
          "%s %s: served %.3f (asked %d, accepted %s, started %d, done %s)",
          team ? "team" : "class",
          name,
          servedShare(),
          requested,
          accepted < 0 ? "-" : accepted,
          started,
          done < 0 ? "-" : done);
    }
  }

  private final String day;
  private final List<Row> rows;
  private final long brokenRuleCount;

  /** Share that started in time, by class of largest jobs. */
  private final Map<String, Double> startedInTimeByClass;

  private ServedShares(
      String day, List<Row> rows, long brokenRuleCount, Map<String, Double> startedInTimeByClass) {
    this.startedInTimeByClass = startedInTimeByClass;
    this.day = day;
    this.rows = rows;
    this.brokenRuleCount = brokenRuleCount;
  }

  /**
   * Parses a report that {@code fleetbench run --report} has written.
   *
   * @throws InvalidInputException if it is not JSON, or a field is missing or malformed; the
   *     message names it
   */
  public static ServedShares parse(String json) throws InvalidInputException {
    JsonElement root;
    try {
      root = JsonParser.parseString(json);
    } catch (JsonParseException e) {
      throw new InvalidInputException("not JSON: " + e.getMessage());
    }
    if (!root.isJsonObject()) {
      throw new InvalidInputException("not a JSON object");
    }
    JsonObject report = root.getAsJsonObject();
    List<Row> rows = new ArrayList<>();
    for (Map.Entry<String, JsonElement> e :
        requireObject(report, "classes", "classes").entrySet()) {
      String location = "classes." + e.getKey();
      JsonObject jobClass = requireObject(e.getValue(), location);
      rows.add(
          new Row(
              e.getKey(),
              false,
              requireCount(jobClass, "jobs", location),
              requireCount(jobClass, "accepted", location),
              requireCount(jobClass, "started", location),
              requireCount(jobClass, "done", location)));
    }
    for (Map.Entry<String, JsonElement> e : requireObject(report, "teams", "teams").entrySet()) {
      String location = "teams." + e.getKey();
      JsonObject team = requireObject(e.getValue(), location);
      rows.add(
          new Row(
              e.getKey(),
              true,
              requireCount(team, "jobs", location),
              -1,
              requireCount(team, "started", location),
              -1));
    }
    if (rows.isEmpty()) {
      throw new InvalidInputException("classes and teams are empty");
    }
    rows.sort(
        Comparator.comparingDouble(Row::servedShare)
            .thenComparing(Row::team)
            .thenComparing(Row::name));
    JsonElement scenario = report.get("scenario");
    if (scenario == null || !scenario.isJsonPrimitive()) {
      throw new InvalidInputException("scenario is missing");
    }
    long brokenRuleCount =
        requireCount(
            requireObject(report, "rules_broken", "rules_broken"), "total", "rules_broken");
    return new ServedShares(
        scenario.getAsString(), rows, brokenRuleCount, parseStartedInTime(report));
  }

  /**
   * Reads the results of the targets that a {@link Variant} adds for its classes of largest jobs.
   */
  private static Map<String, Double> parseStartedInTime(JsonObject report)
      throws InvalidInputException {
    Map<String, Double> shareByClass = new TreeMap<>();
    if (!(report.get("targets") instanceof JsonArray targets)) {
      return shareByClass;
    }
    for (JsonElement element : targets) {
      JsonObject target = requireObject(element, "targets");
      if (target.get("class") instanceof JsonPrimitive className
          && className.getAsString().endsWith(Variant.LARGEST_SUFFIX)
          // A target has no meaningful value if nothing counted towards it.
          && !(target.get("of") instanceof JsonPrimitive count
              && count.isNumber()
              && count.getAsLong() == 0)
          && target.get("value") instanceof JsonPrimitive value
          && value.isNumber()) {
        shareByClass.put(className.getAsString(), value.getAsDouble());
      }
    }
    return shareByClass;
  }

  private static JsonObject requireObject(JsonObject parent, String field, String location)
      throws InvalidInputException {
    JsonElement element = parent.get(field);
    if (element == null) {
      throw new InvalidInputException(location + " is missing");
    }
    return requireObject(element, location);
  }

  private static JsonObject requireObject(JsonElement element, String location)
      throws InvalidInputException {
    if (!element.isJsonObject()) {
      throw new InvalidInputException(location + " is not an object");
    }
    return element.getAsJsonObject();
  }

  private static long requireCount(JsonObject parent, String field, String location)
      throws InvalidInputException {
    JsonElement element = parent.get(field);
    if (element == null) {
      throw new InvalidInputException(location + "." + field + " is missing");
    }
    if (element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber()) {
      double count = element.getAsDouble();
      if (count >= 0 && count == Math.rint(count)) {
        return (long) count;
      }
    }
    throw new InvalidInputException(location + "." + field + " is not a count");
  }

  /** Name of the day: the report's {@code scenario}. */
  public String day() {
    return day;
  }

  /** All classes and teams, the least served first. */
  public List<Row> rows() {
    return rows;
  }

  /** How often a rule was broken, over all rules. */
  public long brokenRuleCount() {
    return brokenRuleCount;
  }

  /** Whether a rule was broken, or too small a share was served or started in time. */
  public boolean hasFailed() {
    return brokenRuleCount > 0
        || rows.get(0).servedShare() < MIN_SERVED_SHARE
        || startedInTimeByClass.values().stream().anyMatch(share -> share < MIN_SERVED_SHARE);
  }

  /** The result in one line, for a commit message. */
  public String summaryLine() {
    Row leastServed = rows.get(0);
    return String.format(
        Locale.ROOT,
        "%s: least served %s %s %.3f%s%s%s",
        day,
        leastServed.team() ? "team" : "class",
        leastServed.name(),
        leastServed.servedShare(),
        startedInTimeByClass.isEmpty()
            ? ""
            : ", largest in time " + formatLowest(startedInTimeByClass),
        brokenRuleCount > 0 ? ", " + brokenRuleCount + " times a rule was broken" : "",
        hasFailed() ? ", FAILED" : "");
  }

  private static String formatLowest(Map<String, Double> shares) {
    Map.Entry<String, Double> lowest =
        shares.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
    return String.format(Locale.ROOT, "%.3f %s", lowest.getValue(), lowest.getKey());
  }

  /** {@link #summaryLine}, followed by a row for each class and team. */
  public String fullText() {
    StringBuilder text = new StringBuilder(summaryLine());
    rows.forEach(row -> text.append('\n').append("  ").append(row.text()));
    startedInTimeByClass.forEach(
        (className, share) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "\n  %s: %.3f began within %.0f s",
                    className,
                    share,
                    Variant.LARGEST_START_LIMIT_S)));
    return text.toString();
  }
}
