package wickdrift.lab;

import com.electronwill.nightconfig.core.Config;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A day with faults, described independently of a site. In addition to the fields of a day in a
 * site file, a fault may have these:
 *
 * <ul>
 *   <li>{@code at}: start as a share of the day's duration, in place of {@code at_s}
 *   <li>{@code plus_s}: seconds added to the start
 *   <li>{@code for_leases}, {@code for_cancels}: duration as a multiple of the workers' lease, or
 *       of the time that a cancellation may take, in place of {@code for_s}
 *   <li>{@code times}, {@code every_s}: number of occurrences, and the seconds between them
 *   <li>{@code class = "@service"}, {@code "@array"}, {@code "@gang"}: the site's first class of
 *       that kind
 *   <li>{@code share}: share of all machines that can be rented (for most {@code machine_} kinds)
 *       or of the controllers (for a {@code node_} kind), in place of {@code count}
 *   <li>{@code zone = "@1"}: the zone at that index of the site's capacity, counted from 0
 * </ul>
 *
 * <p>The {@code jobs} of a day change classes of the site; their {@code name} may also be a kind
 * like {@code "@array"}.
 */
final class Day {
  private static final Set<String> KNOWN_FIELDS =
      Set.of("name", "slot", "light", "seed", "vary", "jobs", "faults");

  /** Kinds of faults for which the bench itself evaluates {@code share}. */
  private static final Set<String> KINDS_WITH_SHARE_IN_BENCH =
      Set.of("machine_deaf", "machine_mute");

  private final Config spec;
  private final String name;

  Day(Config spec) throws InvalidInputException {
    this.spec = spec;
    this.name = Toml.requireText(spec, "name", "day");
    Toml.rejectUnknownFields(spec, KNOWN_FIELDS, "day " + name);
  }

  String name() {
    return name;
  }

  /** Returns the day for a site, in the form of the days of a site file. */
  Config resolveFor(Config site) throws InvalidInputException {
    Config day = Toml.deepCopy(spec);
    if (!day.contains("slot")) {
      day.set("slot", "scale");
    }
    if (!day.contains("light")) {
      day.set("light", false);
    }
    if (!day.contains("seed")) {
      day.set("seed", 100L);
    }
    List<Config> faults = new ArrayList<>();
    for (Config faultSpec : Toml.tables(spec, "faults")) {
      Config fault = Toml.deepCopy(faultSpec);
      String location = "day " + name + ", fault " + faultSpec.get("kind");
      double firstAtS =
          faultSpec.contains("at")
              ? Toml.numberOrDefault(faultSpec, "at", 0, location)
                  * Toml.numberOrDefault(site, "duration_s", 0, "site")
              : Toml.numberOrDefault(faultSpec, "at_s", 0, location);
      firstAtS += Toml.numberOrDefault(faultSpec, "plus_s", 0, location);
      fault.remove("plus_s");
      resolveTargets(fault, site, location);
      resolveDuration(fault, "for_leases", "workers.lease_s", site, location);
      resolveDuration(fault, "for_cancels", "workers.cancel_s", site, location);
      long times = (long) Toml.numberOrDefault(faultSpec, "times", 1, location);
      double intervalS = Toml.numberOrDefault(faultSpec, "every_s", 0, location);
      fault.remove("at");
      fault.remove("times");
      if (times > 1) {
        fault.remove("every_s");
      }
      for (int occurrenceIndex = 0; occurrenceIndex < times; occurrenceIndex++) {
        Config occurrence = Toml.deepCopy(fault);
        occurrence.set(
            "at_s", Math.round((firstAtS + occurrenceIndex * intervalS) * 1000) / 1000.0);
        faults.add(occurrence);
      }
    }
    faults.sort((a, b) -> Double.compare(a.<Double>get("at_s"), b.<Double>get("at_s")));
    day.set("faults", faults);
    List<Config> jobs = new ArrayList<>();
    for (Config jobSpec : Toml.tables(spec, "jobs")) {
      Config job = Toml.deepCopy(jobSpec);
      String jobsLocation = "day " + name + ", jobs";
      job.set(
          "name", className(Toml.requireText(jobSpec, "name", jobsLocation), site, jobsLocation));
      jobs.add(job);
    }
    if (!jobs.isEmpty()) {
      day.set("jobs", jobs);
    }
    return day;
  }

  /** Replaces a duration that is a multiple of one of the site's settings by seconds. */
  private static void resolveDuration(
      Config fault, String field, String siteField, Config site, String location)
      throws InvalidInputException {
    if (fault.contains(field)) {
      double factor = Toml.numberOrDefault(fault, field, 0, location);
      fault.set(
          "for_s",
          Math.round(factor * Toml.numberOrDefault(site, siteField, 0, "site") * 10) / 10.0);
      fault.remove(field);
    }
  }

  /** Returns the name of a job class that is given by name, or as {@code @KIND}. */
  private static String className(String name, Config site, String location)
      throws InvalidInputException {
    return name.startsWith("@")
        ? findTable(site, "jobs", "kind", name.substring(1), location).<String>get("name")
        : findTable(site, "jobs", "name", name, location).<String>get("name");
  }

  /** Replaces the references of a fault to the site's classes, zones and totals by their values. */
  private static void resolveTargets(Config fault, Config site, String location)
      throws InvalidInputException {
    String kind = Toml.requireText(fault, "kind", location);
    if (fault.get("class") instanceof String c && c.startsWith("@")) {
      fault.set("class", className(c, site, location));
    }
    if (fault.get("zone") instanceof String zone && zone.startsWith("@")) {
      List<Config> zones = Toml.tables(site, "capacity");
      if (!zone.matches("@\\d{1,4}") || Integer.parseInt(zone.substring(1)) >= zones.size()) {
        throw new InvalidInputException(location + ": the site has no zone " + zone);
      }
      fault.set("zone", zones.get(Integer.parseInt(zone.substring(1))).<String>get("zone"));
    }
    boolean ofControllers = kind.startsWith("node_");
    boolean sharesToCount =
        ofControllers || kind.startsWith("machine_") && !KINDS_WITH_SHARE_IN_BENCH.contains(kind);
    if (fault.contains("share") && sharesToCount) {
      double total = 0;
      if (ofControllers) {
        total = Toml.numberOrDefault(site, "nodes.count", 0, "site");
      } else {
        for (Config c : Toml.tables(site, "capacity")) {
          total += Variant.rentableMachines(c);
        }
      }
      fault.set(
          "count",
          Math.max(1, Math.round(Toml.numberOrDefault(fault, "share", 0, location) * total)));
      fault.remove("share");
    }
  }

  /** Returns the first of the site's tables of that kind whose field has the value. */
  private static Config findTable(
      Config site, String table, String field, String value, String location)
      throws InvalidInputException {
    for (Config candidate : Toml.tables(site, table)) {
      if (value.equals(candidate.get(field))) {
        return candidate;
      }
    }
    throw new InvalidInputException(
        location + ": the site has no " + table + " of " + field + " " + value);
  }
}
