package wickdrift.lab;

import com.electronwill.nightconfig.core.Config;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A variant of a deployment, generated from a site file: for example with more machines, a higher
 * load, more controllers, faster restarts, other zones or other teams. The description names no
 * site, so the same description applies to every site file. Whatever it doesn't mention stays
 * unchanged.
 *
 * <p>Amounts are factors or shares, and times are in seconds. Fields:
 *
 * <ul>
 *   <li>{@code machines}: factor on the machines that are running at the start and on those that
 *       can be rented
 *   <li>{@code load}: factor on the jobs at the start and on the arrival rates
 *   <li>{@code largest}: share (0 to 1) of each class's arrivals that become jobs of the class's
 *       largest size. They form a class of their own, because a report has figures by class only;
 *       its name ends in {@link #LARGEST_SUFFIX}. The site gets a target for the share of them that
 *       starts within {@link #LARGEST_START_LIMIT_S}
 *   <li>{@code limits}: factor on the teams' guarantees and limits
 *   <li>{@code faults}: factor on the number of machines that a fault of the site's days affects
 *       (default: the factor {@code machines})
 *   <li>{@code controllers}: number of controllers
 *   <li>{@code restart_delay_s}: time until a process that has ended is restarted
 *   <li>{@code boot_s}: time that a rented machine takes to boot, for all machine types
 *   <li>{@code skew}: share (0 to 1) of the machines of each other zone that are moved to the first
 *       zone
 *   <li>{@code zone}: name of an additional zone without a controller, with an even share of the
 *       machines
 *   <li>{@code teams}: tables with {@code name}, {@code weight} (of the demand) and {@code
 *       guaranteed}, {@code most} (shares of all GPUs; 0: none), which replace the site's teams
 * </ul>
 */
final class Variant {
  /** Suffix of the name of the class that holds another class's largest jobs. */
  static final String LARGEST_SUFFIX = "-largest";

  /** Time within which the users expect the largest jobs to start. */
  static final double LARGEST_START_LIMIT_S = 240;

  private static final Set<String> KNOWN_FIELDS =
      Set.of(
          "name",
          "machines",
          "load",
          "limits",
          "largest",
          "faults",
          "controllers",
          "restart_delay_s",
          "boot_s",
          "skew",
          "zone",
          "teams");

  private final Config spec;
  private final String name;

  Variant(Config spec) throws InvalidInputException {
    this.spec = spec;
    this.name = Toml.requireText(spec, "name", "variant");
    Toml.rejectUnknownFields(spec, KNOWN_FIELDS, "variant " + name);
  }

  String name() {
    return name;
  }

  private double factor(String field, double defaultValue) throws InvalidInputException {
    return Toml.numberOrDefault(spec, field, defaultValue, "variant " + name);
  }

  /** Changes a site in place according to this description. */
  void applyTo(Config site) throws InvalidInputException {
    double machines = factor("machines", 1);
    double load = factor("load", 1);
    double limits = factor("limits", 1);
    for (Config row : Toml.tables(site, "capacity")) {
      scaleCount(row, "count", machines);
      scaleCount(row, "spot", machines);
    }
    for (Config row : Toml.tables(site, "machines")) {
      scaleCount(row, "count", machines);
    }
    for (Config job : Toml.tables(site, "jobs")) {
      scaleCount(job, "initial", load);
      if (job.get("arrivals") instanceof Config arrivals
          && arrivals.get("rate") instanceof Number rate) {
        arrivals.set("rate", rate.doubleValue() * load);
      }
    }
    for (Config pipeline : Toml.tables(site, "pipelines")) {
      if (pipeline.get("arrivals") instanceof Config arrivals
          && arrivals.get("rate") instanceof Number rate) {
        arrivals.set("rate", rate.doubleValue() * load);
      }
    }
    addLargestClasses(site, factor("largest", 0));
    for (Config team : Toml.tables(site, "teams")) {
      for (String field : List.of("cpus", "cpus_max", "gpus", "gpus_max")) {
        if (team.get(field) instanceof Number amount) {
          team.set(field, amount.doubleValue() * limits);
        }
      }
    }
    double faults = factor("faults", machines);
    for (Config day : Toml.tables(site, "day")) {
      for (Config fault : Toml.tables(day, "faults")) {
        if (fault.get("kind") instanceof String kind && kind.startsWith("machine_")) {
          scaleCount(fault, "count", faults);
        }
      }
    }
    if (spec.contains("controllers")) {
      long controllers = (long) factor("controllers", 0);
      if (controllers < 1) {
        throw new InvalidInputException("variant " + name + ": controllers is less than 1");
      }
      double controllersBefore = Toml.numberOrDefault(site, "nodes.count", 0, "site");
      site.set("nodes.count", controllers);
      for (Config day : Toml.tables(site, "day")) {
        adjustControllerFaults(day, controllersBefore, controllers);
      }
    }
    if (spec.contains("restart_delay_s")) {
      site.set("nodes.restart_delay_s", factor("restart_delay_s", 0));
    }
    if (spec.contains("boot_s")) {
      double bootSeconds = factor("boot_s", 0);
      Toml.tables(site, "machine_types").forEach(type -> type.set("boot_s", bootSeconds));
    }
    moveToFirstZone(site, factor("skew", 0));
    if (spec.contains("zone")) {
      addZone(site, Toml.requireText(spec, "zone", "variant " + name));
    }
    if (spec.contains("teams")) {
      replaceTeams(site);
    }
  }

  /** Moves a share of the arrivals of each class to a new class of its largest jobs. */
  private void addLargestClasses(Config site, double share) throws InvalidInputException {
    if (share > 1) {
      throw new InvalidInputException("variant " + name + ": largest is above 1");
    }
    if (share == 0) {
      return;
    }
    List<Config> jobs = new ArrayList<>(Toml.tables(site, "jobs"));
    List<Config> targets = new ArrayList<>(Toml.tables(site, "targets"));
    for (Config job : List.copyOf(jobs)) {
      if (!(job.get("arrivals") instanceof Config arrivals)
          || !(job.get("tasks") instanceof Config tasks)) {
        continue;
      }
      Config largestClass = Toml.deepCopy(job);
      String largestName = job.<String>get("name") + LARGEST_SUFFIX;
      largestClass.set("name", largestName);
      largestClass.remove("initial");
      largestClass.set(
          "arrivals.rate", Toml.numberOrDefault(arrivals, "rate", 0, "arrivals") * share);
      arrivals.set("rate", Toml.numberOrDefault(arrivals, "rate", 0, "arrivals") * (1 - share));
      Config size = Toml.newConfig();
      if (tasks.get("sizes") instanceof List<?> sizes) {
        size.set("sizes", List.of(sizes.get(sizes.size() - 1)));
        size.set("weights", List.of(1.0));
      } else {
        double maxTasks = Toml.numberOrDefault(tasks, "max", 1, "tasks");
        for (String field : List.of("median", "p95", "max")) {
          size.set(field, maxTasks);
        }
      }
      largestClass.set("tasks", size);
      jobs.add(largestClass);
      Config target = Toml.newConfig();
      target.set("kind", "wait");
      target.set("class", largestName);
      target.set("within_s", LARGEST_START_LIMIT_S);
      target.set("share", ServedShares.MIN_SERVED_SHARE);
      target.set("weight", 1.0);
      target.set("best", 0.01);
      target.set("worst", 1.0);
      targets.add(target);
    }
    site.set("jobs", jobs);
    site.set("targets", targets);
    // The aims of a day refer to the site's targets, and the site has additional targets now.
    Toml.tables(site, "day").forEach(day -> day.remove("aims"));
  }

  /**
   * Adjusts the faults of a day to a different number of controllers: a crash of all controllers
   * remains a crash of all.
   */
  private static void adjustControllerFaults(
      Config day, double controllersBefore, long controllers) {
    for (Config fault : Toml.tables(day, "faults")) {
      if ("node_crash".equals(fault.get("kind"))
          && fault.get("count") instanceof Number count
          && count.doubleValue() == controllersBefore) {
        fault.set("count", controllers);
      }
      // A rolling restart of all controllers keeps its total duration, because later faults of the
      // day are scheduled relative to its end.
      if ("node_roll".equals(fault.get("kind")) && fault.get("every_s") instanceof Number everyS) {
        fault.set("every_s", everyS.doubleValue() * controllersBefore / controllers);
      }
    }
  }

  /** Number of machines of a capacity row that can be rented, on-demand and spot together. */
  static double rentableMachines(Config capacity) throws InvalidInputException {
    return Toml.numberOrDefault(capacity, "count", 0, "capacity")
        + Toml.numberOrDefault(capacity, "spot", 0, "capacity");
  }

  /** Multiplies a field, if it is a number, and rounds the result. */
  private static void scaleCount(Config table, String field, double factor) {
    if (table.get(field) instanceof Number count) {
      table.set(field, Math.round(count.doubleValue() * factor));
    }
  }

  /** Moves a share of the machines of each row after the first to the first row. */
  private static void moveToFirstZone(Config site, double share) {
    if (share == 0) {
      return;
    }
    for (String table : List.of("capacity", "machines")) {
      for (String field : List.of("count", "spot")) {
        Config first = null;
        for (Config row : Toml.tables(site, table)) {
          if (!(row.get(field) instanceof Number count)) {
            continue;
          }
          if (first == null) {
            first = row;
            continue;
          }
          long moved = Math.round(count.doubleValue() * share);
          row.set(field, count.longValue() - moved);
          first.set(field, first.<Number>get(field).longValue() + moved);
        }
      }
    }
  }

  /** Adds a zone that takes an even share of the machines of all others. */
  private static void addZone(Config site, String zone) {
    for (String table : List.of("capacity", "machines")) {
      List<Config> rows = new ArrayList<>(Toml.tables(site, table));
      if (rows.isEmpty()) {
        continue;
      }
      Config zoneRow = Toml.deepCopy(rows.get(rows.size() - 1));
      zoneRow.set("zone", zone);
      for (String field : List.of("count", "spot")) {
        long sum = 0;
        for (Config row : rows) {
          sum += row.get(field) instanceof Number count ? count.longValue() : 0;
        }
        for (Config row : rows) {
          scaleCount(row, field, rows.size() / (rows.size() + 1.0));
        }
        if (zoneRow.get(field) instanceof Number) {
          zoneRow.set(field, sum / (rows.size() + 1));
        }
      }
      rows.add(zoneRow);
      site.set(table, rows);
    }
  }

  /**
   * Replaces the site's teams, and removes the teams from its jobs. GPU shares become amounts, as
   * shares of the GPUs of all machines that can be rented.
   */
  private void replaceTeams(Config site) throws InvalidInputException {
    Map<String, Double> gpusByType = new LinkedHashMap<>();
    for (Config table : Toml.tables(site, "machine_types")) {
      gpusByType.put(table.get("name"), Toml.numberOrDefault(table, "gpus", 0, "machine_types"));
    }
    double totalGpus = 0;
    for (Config row : Toml.tables(site, "capacity")) {
      totalGpus += rentableMachines(row) * gpusByType.getOrDefault(row.<String>get("type"), 0.0);
    }
    List<Config> teams = new ArrayList<>();
    for (Config table : Toml.tables(spec, "teams")) {
      String location = "variant " + name + ", team";
      Config team = Toml.newConfig();
      team.set("name", Toml.requireText(table, "name", location));
      team.set("weight", Toml.numberOrDefault(table, "weight", 1, location));
      for (var field : Map.of("gpus", "guaranteed", "gpus_max", "most").entrySet()) {
        double share = Toml.numberOrDefault(table, field.getValue(), 0, location);
        if (share > 0) {
          team.set(field.getKey(), (double) Math.round(share * totalGpus));
        }
      }
      teams.add(team);
    }
    site.set("teams", teams);
    Toml.tables(site, "jobs").forEach(job -> job.remove("teams"));
  }
}
