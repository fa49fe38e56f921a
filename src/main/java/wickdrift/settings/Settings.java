package wickdrift.settings;

import com.electronwill.nightconfig.core.UnmodifiableConfig;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.toml.TomlParser;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import wickdrift.bookkeeping.StateServiceLimits;

/** The settings the platform hands over. Unknown fields are ignored, missing ones are named. */
public record Settings(
    String node,
    String zone,
    String serveOn,
    String back,
    List<Peer> peers,
    String cloud,
    String state,
    List<String> zones,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateServiceLimits.Bounds stateLimits,
    StateServiceLimits.Bounds nextLimits,
    CloudLimits cloudLimits,
    int sockets) {

  /** Its zone is empty when the settings do not tell it. */
  public record Peer(String node, String zone, String address) {}

  /** A limit of 0 means none; a guarantee of 0 means none is given. */
  public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

  /** What is expected of a class of jobs. */
  public record Objective(String kind, String jobClass, double withinS, double share) {}

  /** The workers' times, in seconds. */
  public record Workers(
      double reportS, double leaseS, double gangWaitS, double gangPeerS, double cancelS) {}

  /** Requests a second that the cloud takes, and how late its list is. */
  public record CloudLimits(double rps, double listLagS) {}

  /** A view, the part of one that comes, its lasting record, and the first list. */
  private static final int LEAST_OPS = 4;

  /** A job with names of the longest kind that a user may give. */
  private static final double LEAST_VALUE_KB = 1;

  /** A setting that keeps the service from starting. */
  public static final class Invalid extends Exception {
    public Invalid(String message) {
      super(message);
    }
  }

  /** All controllers' names in one fixed order; a controller's dense number is its place here. */
  public List<String> nodeNames() {
    List<String> names = new ArrayList<>();
    names.add(node);
    peers.forEach(p -> names.add(p.node()));
    Collections.sort(names);
    return names;
  }

  /**
   * The zones that have a controller, which goes on answering its workers when they are cut off.
   */
  public Set<String> controllerZones() {
    Set<String> zones = new HashSet<>(Set.of(zone));
    peers.forEach(p -> zones.add(p.zone()));
    zones.remove("");
    return zones;
  }

  /** Reads the platform's settings file. */
  public static Settings load(Path file) throws Invalid {
    UnmodifiableConfig c;
    try (Reader r = Files.newBufferedReader(file)) {
      c = new TomlParser().parse(r);
    } catch (IOException e) {
      throw new Invalid("cannot read " + file + ": " + e.getMessage());
    } catch (ParsingException e) {
      throw new Invalid(file + " is not TOML: " + e.getMessage());
    }
    return parse(c);
  }

  /** Reads settings; the first that is wrong is named. */
  public static Settings parse(UnmodifiableConfig c) throws Invalid {
    String node = text(c, "host_name");
    List<Peer> peers = new ArrayList<>();
    for (UnmodifiableConfig p : tables(c, "peers")) {
      String zone = p.get("location") instanceof String z ? z : "";
      peers.add(new Peer(text(p, "host_name"), zone, address(p, "peer_addr")));
    }
    Set<String> names = new HashSet<>(List.of(node));
    for (Peer p : peers) {
      if (!names.add(p.node())) {
        throw new Invalid("peers: host_name " + p.node() + " is used twice");
      }
    }
    long nodes = (long) number(c, "cluster.nodes");
    if (nodes != names.size()) {
      throw new Invalid(
          "cluster.nodes is " + nodes + ", but host_name and peers name " + names.size());
    }
    List<Team> teams = new ArrayList<>();
    for (UnmodifiableConfig t : tables(c, "cluster.teams")) {
      Team team =
          new Team(
              text(t, "name"),
              number(t, "cpus", 0),
              number(t, "cpus_max", 0),
              number(t, "gpus", 0),
              number(t, "gpus_max", 0));
      if (team.cpusMax > 0 && team.cpus > team.cpusMax
          || team.gpusMax > 0 && team.gpus > team.gpusMax) {
        throw new Invalid("cluster.teams: " + team.name + " is guaranteed more than its limit");
      }
      teams.add(team);
    }
    List<Objective> objectives = new ArrayList<>();
    for (UnmodifiableConfig o : tables(c, "cluster.objectives")) {
      objectives.add(
          new Objective(
              text(o, "kind"),
              o.get("class") instanceof String s ? s : null,
              number(o, "within_s", 0),
              number(o, "share", 0)));
    }
    Workers workers =
        new Workers(
            positive(c, "cluster.workers.report_s"),
            positive(c, "cluster.workers.lease_s"),
            positive(c, "cluster.workers.gang_wait_s"),
            positive(c, "cluster.workers.gang_peer_s"),
            positive(c, "cluster.workers.cancel_s"));
    if (workers.leaseS <= workers.reportS) {
      throw new Invalid("cluster.workers.lease_s is not longer than report_s");
    }
    StateServiceLimits.Bounds state = bounds(c, "cluster.state", null);
    StateServiceLimits.Bounds next = null;
    if (c.get("cluster.state.next") instanceof UnmodifiableConfig) {
      next = bounds(c, "cluster.state.next", state);
    } else if (c.get("cluster.state.next") != null) {
      throw new Invalid("cluster.state.next is not a table");
    }
    return new Settings(
        node,
        text(c, "location"),
        address(c, "serve_on"),
        address(c, "back"),
        List.copyOf(peers),
        address(c, "endpoints.cloud"),
        address(c, "endpoints.state"),
        List.copyOf(texts(c, "cluster.zones")),
        List.copyOf(teams),
        List.copyOf(objectives),
        workers,
        state,
        next,
        new CloudLimits(positive(c, "cluster.cloud.rps"), positive(c, "cluster.cloud.list_lag_s")),
        (int) positive(c, "cluster.quota.fd_limit"));
  }

  /**
   * @param otherwise where a field is missing; null: all must be there
   */
  private static StateServiceLimits.Bounds bounds(
      UnmodifiableConfig c, String key, StateServiceLimits.Bounds otherwise) throws Invalid {
    boolean all = otherwise == null;
    StateServiceLimits.Bounds b =
        new StateServiceLimits.Bounds(
            bound(c, key + ".rps", all ? null : otherwise.rps()),
            bound(c, key + ".write_rps", all ? null : otherwise.writeRps()),
            bound(c, key + ".value_kb", all ? null : otherwise.valueKb()),
            (int) bound(c, key + ".txn_ops", all ? null : (double) otherwise.txnOps()));
    if (b.txnOps() < LEAST_OPS) {
      throw new Invalid(key + ".txn_ops is too small to end a job or change a view: " + b.txnOps());
    }
    if (b.valueKb() < LEAST_VALUE_KB) {
      throw new Invalid(key + ".value_kb is too small to hold a job: " + b.valueKb());
    }
    return b;
  }

  private static double bound(UnmodifiableConfig c, String key, Double otherwise) throws Invalid {
    return otherwise != null && c.get(key) == null ? otherwise : positive(c, key);
  }

  private static String text(UnmodifiableConfig c, String key) throws Invalid {
    Object v = c.get(key);
    if (v instanceof String s && !s.isEmpty()) {
      return s;
    }
    throw new Invalid(key + (v == null ? " is missing" : " is not text"));
  }

  private static String address(UnmodifiableConfig c, String key) throws Invalid {
    String s = text(c, key);
    if (!s.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
      throw new Invalid(key + " is not an address of the form 10.0.0.1:8080");
    }
    return s;
  }

  private static double number(UnmodifiableConfig c, String key) throws Invalid {
    if (c.get(key) == null) {
      throw new Invalid(key + " is missing");
    }
    return number(c, key, 0);
  }

  private static double number(UnmodifiableConfig c, String key, double otherwise) throws Invalid {
    Object v = c.get(key);
    if (v == null) {
      return otherwise;
    }
    if (v instanceof Number n && n.doubleValue() >= 0 && n.doubleValue() < 1e12) {
      return n.doubleValue();
    }
    throw new Invalid(key + " is not a number of 0 or more");
  }

  private static double positive(UnmodifiableConfig c, String key) throws Invalid {
    double d = number(c, key);
    if (d <= 0) {
      throw new Invalid(key + " is not above 0");
    }
    return d;
  }

  private static List<UnmodifiableConfig> tables(UnmodifiableConfig c, String key) throws Invalid {
    Object v = c.get(key);
    List<UnmodifiableConfig> out = new ArrayList<>();
    if (v instanceof List<?> l) {
      for (Object o : l) {
        if (!(o instanceof UnmodifiableConfig t)) {
          throw new Invalid(key + " is not a list of tables");
        }
        out.add(t);
      }
    } else if (v != null) {
      throw new Invalid(key + " is not a list of tables");
    }
    return out;
  }

  private static List<String> texts(UnmodifiableConfig c, String key) throws Invalid {
    List<String> out = new ArrayList<>();
    if (c.get(key) instanceof List<?> l) {
      for (Object o : l) {
        out.add(String.valueOf(o));
      }
      return out;
    }
    throw new Invalid(key + " is missing");
  }
}
