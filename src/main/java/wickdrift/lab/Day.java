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
 *   <li>{@code times}, {@code every_s}: it comes so often, so many seconds apart
 *   <li>{@code class = "@service"}, {@code "@array"}, {@code "@gang"}: the site's first class of
 *       that kind
 *   <li>{@code share}: of all machines that can be had (for a {@code machine_} kind), or of the
 *       controllers (for a {@code node_} kind), in place of {@code count}
 *   <li>{@code zone = "@1"}: the second zone of the site's capacity, say
 * </ul>
 */
final class Day {
  private static final Set<String> FIELDS =
      Set.of("name", "slot", "light", "seed", "vary", "faults");

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
      place(fault, site, at);
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
    return day;
  }

  private static void place(Config fault, Config site, String at) throws BadInput {
    String kind = Toml.text(fault, "kind", at);
    if (fault.get("class") instanceof String c && c.startsWith("@")) {
      fault.set("class", named(site, "jobs", "kind", c.substring(1), at).<String>get("name"));
    }
    if (fault.get("zone") instanceof String z && z.startsWith("@")) {
      List<Config> zones = Toml.tables(site, "capacity");
      if (!z.matches("@\\d{1,4}") || Integer.parseInt(z.substring(1)) >= zones.size()) {
        throw new BadInput(at + ": the site has no zone " + z);
      }
      fault.set("zone", zones.get(Integer.parseInt(z.substring(1))).<String>get("zone"));
    }
    boolean ofControllers = kind.startsWith("node_");
    if (fault.contains("share") && (ofControllers || kind.startsWith("machine_"))) {
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
