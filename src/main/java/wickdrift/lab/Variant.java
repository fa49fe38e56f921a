package wickdrift.lab;

import com.electronwill.nightconfig.core.Config;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Another deployment made of a site file: more machines, load, controllers, quicker returns, other
 * zones and teams. A description names no site, so that the same one serves every site file; what
 * it does not name stays as it is.
 *
 * <p>Amounts are factors or shares, times are in seconds. Fields:
 *
 * <ul>
 *   <li>{@code machines}: factor on the machines that are up and that can be had
 *   <li>{@code load}: factor on the jobs at the start and on the rates of arrival
 *   <li>{@code largest}: from 0 to 1, the share of each class's arrivals that are jobs of its
 *       largest size, as a class of their own, called as {@link #LARGEST} says; a report tells of
 *       classes only. How many of them begin within {@link #LARGEST_S} is a target of the site's
 *   <li>{@code limits}: factor on the teams' guarantees and limits
 *   <li>{@code faults}: factor on how many machines a fault of the site's days strikes (default: as
 *       {@code machines})
 *   <li>{@code controllers}: how many
 *   <li>{@code restart_delay_s}: how long a process that has ended stays away
 *   <li>{@code boot_s}: how long a rented machine of any type takes to boot
 *   <li>{@code skew}: from 0 to 1, the share of each zone's machines but the first's that are moved
 *       to the first
 *   <li>{@code zone}: a further zone without a controller, with an even share of the machines
 *   <li>{@code teams}: tables with {@code name}, {@code weight} (of what is asked for) and {@code
 *       guaranteed}, {@code most} (shares of all GPUs; 0: none), in place of the site's
 * </ul>
 */
final class Variant {
  /** What a class of the largest jobs is called beside its class. */
  static final String LARGEST = "-largest";

  /** Seconds within which the users want the largest to begin. */
  static final double LARGEST_S = 240;

  private static final Set<String> FIELDS =
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

  Variant(Config spec) throws BadInput {
    this.spec = spec;
    this.name = Toml.text(spec, "name", "variant");
    Toml.only(spec, FIELDS, "variant " + name);
  }

  String name() {
    return name;
  }

  private double factor(String field, double otherwise) throws BadInput {
    return Toml.number(spec, field, otherwise, "variant " + name);
  }

  /** Changes a site in place. */
  void apply(Config site) throws BadInput {
    double machines = factor("machines", 1);
    double load = factor("load", 1);
    double limits = factor("limits", 1);
    for (Config c : Toml.tables(site, "capacity")) {
      scale(c, "count", machines);
      scale(c, "spot", machines);
    }
    for (Config c : Toml.tables(site, "machines")) {
      scale(c, "count", machines);
    }
    for (Config j : Toml.tables(site, "jobs")) {
      scale(j, "initial", load);
      if (j.get("arrivals") instanceof Config a && a.get("rate") instanceof Number r) {
        a.set("rate", r.doubleValue() * load);
      }
    }
    for (Config p : Toml.tables(site, "pipelines")) {
      if (p.get("arrivals") instanceof Config a && a.get("rate") instanceof Number r) {
        a.set("rate", r.doubleValue() * load);
      }
    }
    largest(site, factor("largest", 0));
    for (Config t : Toml.tables(site, "teams")) {
      for (String f : List.of("cpus", "cpus_max", "gpus", "gpus_max")) {
        if (t.get(f) instanceof Number n) {
          t.set(f, n.doubleValue() * limits);
        }
      }
    }
    double faults = factor("faults", machines);
    for (Config d : Toml.tables(site, "day")) {
      for (Config f : Toml.tables(d, "faults")) {
        if (f.get("kind") instanceof String kind && kind.startsWith("machine_")) {
          scale(f, "count", faults);
        }
      }
    }
    if (spec.contains("controllers")) {
      long n = (long) factor("controllers", 0);
      if (n < 1) {
        throw new BadInput("variant " + name + ": controllers is less than 1");
      }
      double before = Toml.number(site, "nodes.count", 0, "site");
      site.set("nodes.count", n);
      for (Config d : Toml.tables(site, "day")) {
        crashes(d, before, n);
      }
    }
    if (spec.contains("restart_delay_s")) {
      site.set("nodes.restart_delay_s", factor("restart_delay_s", 0));
    }
    if (spec.contains("boot_s")) {
      double bootSeconds = factor("boot_s", 0);
      Toml.tables(site, "machine_types").forEach(t -> t.set("boot_s", bootSeconds));
    }
    skew(site, factor("skew", 0));
    if (spec.contains("zone")) {
      addZone(site, Toml.text(spec, "zone", "variant " + name));
    }
    if (spec.contains("teams")) {
      teams(site);
    }
  }

  private void largest(Config site, double share) throws BadInput {
    if (share > 1) {
      throw new BadInput("variant " + name + ": largest is above 1");
    }
    if (share == 0) {
      return;
    }
    List<Config> jobs = new ArrayList<>(Toml.tables(site, "jobs"));
    List<Config> targets = new ArrayList<>(Toml.tables(site, "targets"));
    for (Config j : List.copyOf(jobs)) {
      if (!(j.get("arrivals") instanceof Config a) || !(j.get("tasks") instanceof Config tasks)) {
        continue;
      }
      Config big = Toml.copy(j);
      String bigName = j.<String>get("name") + LARGEST;
      big.set("name", bigName);
      big.remove("initial");
      big.set("arrivals.rate", Toml.number(a, "rate", 0, "arrivals") * share);
      a.set("rate", Toml.number(a, "rate", 0, "arrivals") * (1 - share));
      Config size = Toml.fresh();
      if (tasks.get("sizes") instanceof List<?> sizes) {
        size.set("sizes", List.of(sizes.get(sizes.size() - 1)));
        size.set("weights", List.of(1.0));
      } else {
        double most = Toml.number(tasks, "max", 1, "tasks");
        for (String f : List.of("median", "p95", "max")) {
          size.set(f, most);
        }
      }
      big.set("tasks", size);
      jobs.add(big);
      Config t = Toml.fresh();
      t.set("kind", "wait");
      t.set("class", bigName);
      t.set("within_s", LARGEST_S);
      t.set("share", Served.FAILED_BELOW);
      t.set("weight", 1.0);
      t.set("best", 0.01);
      t.set("worst", 1.0);
      targets.add(t);
    }
    site.set("jobs", jobs);
    site.set("targets", targets);
    // A day's own aims go by the site's targets, of which there are more now.
    Toml.tables(site, "day").forEach(d -> d.remove("aims"));
  }

  /** What struck all controllers of the site strikes all of these. */
  private static void crashes(Config day, double all, long n) {
    for (Config f : Toml.tables(day, "faults")) {
      if ("node_crash".equals(f.get("kind"))
          && f.get("count") instanceof Number c
          && c.doubleValue() == all) {
        f.set("count", n);
      }
      // A roll that goes through all takes as long as it did: what follows it goes by its end.
      if ("node_roll".equals(f.get("kind")) && f.get("every_s") instanceof Number e) {
        f.set("every_s", e.doubleValue() * all / n);
      }
    }
  }

  /** How many machines of a row of the capacity can be had, of both kinds. */
  static double had(Config capacity) throws BadInput {
    return Toml.number(capacity, "count", 0, "capacity")
        + Toml.number(capacity, "spot", 0, "capacity");
  }

  private static void scale(Config c, String field, double factor) {
    if (c.get(field) instanceof Number n) {
      c.set(field, Math.round(n.doubleValue() * factor));
    }
  }

  private static void skew(Config site, double share) {
    if (share == 0) {
      return;
    }
    for (String table : List.of("capacity", "machines")) {
      for (String field : List.of("count", "spot")) {
        Config first = null;
        for (Config c : Toml.tables(site, table)) {
          if (!(c.get(field) instanceof Number n)) {
            continue;
          }
          if (first == null) {
            first = c;
            continue;
          }
          long moved = Math.round(n.doubleValue() * share);
          c.set(field, n.longValue() - moved);
          first.set(field, first.<Number>get(field).longValue() + moved);
        }
      }
    }
  }

  private static void addZone(Config site, String zone) {
    for (String table : List.of("capacity", "machines")) {
      List<Config> all = new ArrayList<>(Toml.tables(site, table));
      if (all.isEmpty()) {
        continue;
      }
      Config last = Toml.copy(all.get(all.size() - 1));
      last.set("zone", zone);
      for (String field : List.of("count", "spot")) {
        long sum = 0;
        for (Config c : all) {
          sum += c.get(field) instanceof Number n ? n.longValue() : 0;
        }
        for (Config c : all) {
          scale(c, field, all.size() / (all.size() + 1.0));
        }
        if (last.get(field) instanceof Number) {
          last.set(field, sum / (all.size() + 1));
        }
      }
      all.add(last);
      site.set(table, all);
    }
  }

  private void teams(Config site) throws BadInput {
    Map<String, Double> gpus = new LinkedHashMap<>();
    for (Config t : Toml.tables(site, "machine_types")) {
      gpus.put(t.get("name"), Toml.number(t, "gpus", 0, "machine_types"));
    }
    double all = 0;
    for (Config c : Toml.tables(site, "capacity")) {
      all += had(c) * gpus.getOrDefault(c.<String>get("type"), 0.0);
    }
    List<Config> out = new ArrayList<>();
    for (Config t : Toml.tables(spec, "teams")) {
      String at = "variant " + name + ", team";
      Config team = Toml.fresh();
      team.set("name", Toml.text(t, "name", at));
      team.set("weight", Toml.number(t, "weight", 1, at));
      for (var f : Map.of("gpus", "guaranteed", "gpus_max", "most").entrySet()) {
        double share = Toml.number(t, f.getValue(), 0, at);
        if (share > 0) {
          team.set(f.getKey(), (double) Math.round(share * all));
        }
      }
      out.add(team);
    }
    site.set("teams", out);
    Toml.tables(site, "jobs").forEach(j -> j.remove("teams"));
  }
}
