package wickdrift.lab;

import com.electronwill.nightconfig.core.Config;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * A day of troubles, described without a site. Beside what a day of a site file has, a fault may
 * have
 *
 * <ul>
 *   <li>{@code at}: when, as a share of the day, in place of {@code at_s}
 *   <li>{@code plus_s}: so many seconds after that
 *   <li>{@code for_leases}, {@code for_cancels}: for so many times the workers' lease, or the time
 *       that a cancellation has, in place of {@code for_s}
 *   <li>{@code times}, {@code every_s}: it comes so often, so many seconds apart
 *   <li>{@code class = "@service"}, {@code "@array"}, {@code "@gang"}: the site's first class of
 *       that kind
 *   <li>{@code share}: of all machines that can be had (for most {@code machine_} kinds), or of the
 *       controllers (for a {@code node_} kind), in place of {@code count}
 *   <li>{@code zone = "@1"}: the second zone of the site's capacity, say
 * </ul>
 *
 * A day's {@code jobs} change classes of the site, of which {@code name} may be {@code "@array"} as
 * well.
 */
final class Day {
  private static final Set<String> FIELDS =
      Set.of("name", "slot", "light", "seed", "vary", "jobs", "faults");

  /** Of these the bench takes a share itself. */
  private static final Set<String> OF_WHAT_IS_THERE = Set.of("machine_deaf", "machine_mute");

  private final Config spec;
  private final String name;

  Day(Config spec) throws BadInput {
    this.spec = spec;
    this.name = Toml.text(spec, "name", "day");
    Toml.only(spec, FIELDS, "day " + name);
  }

  String name() {
    return name;
  }

  /** The day on that site. */
  Config on(Config site) throws BadInput {
    Config day = Toml.copy(spec);
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
    for (Config f : Toml.tables(spec, "faults")) {
      Config fault = Toml.copy(f);
      String at = "day " + name + ", fault " + f.get("kind");
      double first =
          f.contains("at")
              ? Toml.number(f, "at", 0, at) * Toml.number(site, "duration_s", 0, "site")
              : Toml.number(f, "at_s", 0, at);
      first += Toml.number(f, "plus_s", 0, at);
      fault.remove("plus_s");
      place(fault, site, at);
      last(fault, "for_leases", "workers.lease_s", site, at);
      last(fault, "for_cancels", "workers.cancel_s", site, at);
      long times = (long) Toml.number(f, "times", 1, at);
      double every = Toml.number(f, "every_s", 0, at);
      fault.remove("at");
      fault.remove("times");
      if (times > 1) {
        fault.remove("every_s");
      }
      for (int n = 0; n < times; n++) {
        Config one = Toml.copy(fault);
        one.set("at_s", Math.round((first + n * every) * 1000) / 1000.0);
        faults.add(one);
      }
    }
    faults.sort((a, b) -> Double.compare(a.<Double>get("at_s"), b.<Double>get("at_s")));
    day.set("faults", faults);
    List<Config> jobs = new ArrayList<>();
    for (Config j : Toml.tables(spec, "jobs")) {
      Config job = Toml.copy(j);
      String of = "day " + name + ", jobs";
      job.set("name", className(Toml.text(j, "name", of), site, of));
      jobs.add(job);
    }
    if (!jobs.isEmpty()) {
      day.set("jobs", jobs);
    }
    return day;
  }

  /** How long a fault lasts, as a multiple of one of the site's own times. */
  private static void last(Config fault, String field, String of, Config site, String at)
      throws BadInput {
    if (fault.contains(field)) {
      double times = Toml.number(fault, field, 0, at);
      fault.set("for_s", Math.round(times * Toml.number(site, of, 0, "site") * 10) / 10.0);
      fault.remove(field);
    }
  }

  private static String className(String name, Config site, String at) throws BadInput {
    return name.startsWith("@")
        ? named(site, "jobs", "kind", name.substring(1), at).<String>get("name")
        : named(site, "jobs", "name", name, at).<String>get("name");
  }

  private static void place(Config fault, Config site, String at) throws BadInput {
    String kind = Toml.text(fault, "kind", at);
    if (fault.get("class") instanceof String c && c.startsWith("@")) {
      fault.set("class", className(c, site, at));
    }
    if (fault.get("zone") instanceof String z && z.startsWith("@")) {
      List<Config> zones = Toml.tables(site, "capacity");
      if (!z.matches("@\\d{1,4}") || Integer.parseInt(z.substring(1)) >= zones.size()) {
        throw new BadInput(at + ": the site has no zone " + z);
      }
      fault.set("zone", zones.get(Integer.parseInt(z.substring(1))).<String>get("zone"));
    }
    boolean ofControllers = kind.startsWith("node_");
    boolean counted =
        ofControllers || kind.startsWith("machine_") && !OF_WHAT_IS_THERE.contains(kind);
    if (fault.contains("share") && counted) {
      double all = 0;
      if (ofControllers) {
        all = Toml.number(site, "nodes.count", 0, "site");
      } else {
        for (Config c : Toml.tables(site, "capacity")) {
          all += Variant.had(c);
        }
      }
      fault.set("count", Math.max(1, Math.round(Toml.number(fault, "share", 0, at) * all)));
      fault.remove("share");
    }
  }

  private static Config named(Config site, String table, String field, String value, String at)
      throws BadInput {
    for (Config c : Toml.tables(site, table)) {
      if (value.equals(c.get(field))) {
        return c;
      }
    }
    throw new BadInput(at + ": the site has no " + table + " of " + field + " " + value);
  }
}
