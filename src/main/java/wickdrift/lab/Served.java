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
 * What a day's report says of how each class of jobs and each team was served, the least first.
 *
 * <p>Served is the share of the jobs asked for of which at least one task was started (of a gang:
 * all), as the users' bench counts {@code started}. The shares of jobs accepted and done stand
 * beside it; replicas are never done, and what came late in the day had no time to be. Of a class
 * of largest jobs ({@link Variant#LARGEST}) the share of tasks that began within {@link
 * Variant#LARGEST_S} is told too; a day fails if that is less than half.
 */
public final class Served {
  /** A day on which less than this is served of any class or team counts as failed. */
  public static final double FAILED_BELOW = 0.5;

  /**
   * One class or team. Counts are of jobs; {@code accepted} and {@code done} are -1 where the
   * report does not tell them (it does not for teams).
   */
  public record Row(String name, boolean team, long asked, long accepted, long started, long done) {
    /** From 0 to 1; 1 where nothing was asked for. */
    public double share() {
      return asked == 0 ? 1 : Math.min(1, (double) started / asked);
    }

    String text() {
      return String.format(
          Locale.ROOT,
          "%s %s: served %.3f (asked %d, accepted %s, started %d, done %s)",
          team ? "team" : "class",
          name,
          share(),
          asked,
          accepted < 0 ? "-" : accepted,
          started,
          done < 0 ? "-" : done);
    }
  }

  private final String day;
  private final List<Row> rows;
  private final long brokenRules;

  /** By class of largest jobs, the share that began in time. */
  private final Map<String, Double> inTime;

  private Served(String day, List<Row> rows, long brokenRules, Map<String, Double> inTime) {
    this.inTime = inTime;
    this.day = day;
    this.rows = rows;
    this.brokenRules = brokenRules;
  }

  /**
   * Reads a report as {@code fleetbench run --report} writes it.
   *
   * @throws BadInput it is no JSON or lacks a field, which the message names
   */
  public static Served read(String json) throws BadInput {
    JsonElement all;
    try {
      all = JsonParser.parseString(json);
    } catch (JsonParseException e) {
      throw new BadInput("not JSON: " + e.getMessage());
    }
    if (!all.isJsonObject()) {
      throw new BadInput("not a JSON object");
    }
    JsonObject report = all.getAsJsonObject();
    List<Row> rows = new ArrayList<>();
    for (Map.Entry<String, JsonElement> e : object(report, "classes", "classes").entrySet()) {
      String at = "classes." + e.getKey();
      JsonObject c = object(e.getValue(), at);
      rows.add(
          new Row(
              e.getKey(),
              false,
              count(c, "jobs", at),
              count(c, "accepted", at),
              count(c, "started", at),
              count(c, "done", at)));
    }
    for (Map.Entry<String, JsonElement> e : object(report, "teams", "teams").entrySet()) {
      String at = "teams." + e.getKey();
      JsonObject t = object(e.getValue(), at);
      rows.add(new Row(e.getKey(), true, count(t, "jobs", at), -1, count(t, "started", at), -1));
    }
    if (rows.isEmpty()) {
      throw new BadInput("classes and teams are empty");
    }
    rows.sort(
        Comparator.comparingDouble(Row::share).thenComparing(Row::team).thenComparing(Row::name));
    JsonElement scenario = report.get("scenario");
    if (scenario == null || !scenario.isJsonPrimitive()) {
      throw new BadInput("scenario is missing");
    }
    long broken = count(object(report, "rules_broken", "rules_broken"), "total", "rules_broken");
    return new Served(scenario.getAsString(), rows, broken, inTime(report));
  }

  /** From the aims that a variant gives to its classes of largest jobs. */
  private static Map<String, Double> inTime(JsonObject report) throws BadInput {
    Map<String, Double> out = new TreeMap<>();
    if (!(report.get("targets") instanceof JsonArray targets)) {
      return out;
    }
    for (JsonElement e : targets) {
      JsonObject t = object(e, "targets");
      if (t.get("class") instanceof JsonPrimitive c
          && c.getAsString().endsWith(Variant.LARGEST)
          // Of none that counts, nothing is told.
          && !(t.get("of") instanceof JsonPrimitive n && n.isNumber() && n.getAsLong() == 0)
          && t.get("value") instanceof JsonPrimitive v
          && v.isNumber()) {
        out.put(c.getAsString(), v.getAsDouble());
      }
    }
    return out;
  }

  private static JsonObject object(JsonObject of, String field, String at) throws BadInput {
    JsonElement e = of.get(field);
    if (e == null) {
      throw new BadInput(at + " is missing");
    }
    return object(e, at);
  }

  private static JsonObject object(JsonElement e, String at) throws BadInput {
    if (!e.isJsonObject()) {
      throw new BadInput(at + " is not an object");
    }
    return e.getAsJsonObject();
  }

  private static long count(JsonObject of, String field, String at) throws BadInput {
    JsonElement e = of.get(field);
    if (e == null) {
      throw new BadInput(at + "." + field + " is missing");
    }
    if (e.isJsonPrimitive() && e.getAsJsonPrimitive().isNumber()) {
      double n = e.getAsDouble();
      if (n >= 0 && n == Math.rint(n)) {
        return (long) n;
      }
    }
    throw new BadInput(at + "." + field + " is not a count");
  }

  public String day() {
    return day;
  }

  /** The least served first. */
  public List<Row> rows() {
    return rows;
  }

  public long brokenRules() {
    return brokenRules;
  }

  /** Whether the day fails by what was served, or by a rule. */
  public boolean failed() {
    return brokenRules > 0
        || rows.get(0).share() < FAILED_BELOW
        || inTime.values().stream().anyMatch(s -> s < FAILED_BELOW);
  }

  /** The one line that a round's commit carries. */
  public String line() {
    Row least = rows.get(0);
    return String.format(
        Locale.ROOT,
        "%s: least served %s %s %.3f%s%s%s",
        day,
        least.team() ? "team" : "class",
        least.name(),
        least.share(),
        inTime.isEmpty() ? "" : ", largest in time " + least(inTime),
        brokenRules > 0 ? ", " + brokenRules + " times a rule was broken" : "",
        failed() ? ", FAILED" : "");
  }

  private static String least(Map<String, Double> shares) {
    Map.Entry<String, Double> e =
        shares.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow();
    return String.format(Locale.ROOT, "%.3f %s", e.getValue(), e.getKey());
  }

  /** The line, then a row for each class and team. */
  public String text() {
    StringBuilder b = new StringBuilder(line());
    rows.forEach(r -> b.append('\n').append("  ").append(r.text()));
    inTime.forEach(
        (c, s) ->
            b.append(
                String.format(
                    Locale.ROOT, "\n  %s: %.3f began within %.0f s", c, s, Variant.LARGEST_S)));
    return b.toString();
  }
}
