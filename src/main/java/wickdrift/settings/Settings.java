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

/**
 * The settings from the platform's settings file. Unknown keys are ignored; an error names the key
 * that is missing or invalid.
 *
 * @param peerListenAddress address for the connections of other controllers
 * @param nextLimits announced limits of the state service that will replace {@code stateLimits};
 *     null if none are announced
 * @param maxSockets number of file descriptors that the process may use
 */
public record Settings(
    String node,
    String zone,
    String listenAddress,
    String peerListenAddress,
    List<Peer> peers,
    String cloudAddress,
    String stateServiceAddress,
    List<String> zones,
    List<Team> teams,
    List<Objective> objectives,
    Workers workers,
    StateServiceLimits.Bounds stateLimits,
    StateServiceLimits.Bounds nextLimits,
    CloudLimits cloudLimits,
    int maxSockets) {

  /** Another controller. Its zone is empty if the settings file does not contain it. */
  public record Peer(String node, String zone, String address) {}

  /**
   * A team with its guaranteed resources and its limits. A limit of 0 means that there is no limit,
   * a guarantee of 0 that nothing is guaranteed.
   */
  public record Team(
      String name, double guaranteedCpus, double maxCpus, double guaranteedGpus, double maxGpus) {}

  /** A service objective for a class of jobs. */
  public record Objective(String kind, String jobClass, double withinS, double share) {}

  /** The times of the worker protocol, in seconds. */
  public record Workers(
      double reportIntervalS,
      double leaseS,
      double gangWaitS,
      double gangPeerS,
      double cancelDeadlineS) {}

  /** The cloud's limit of requests per second, and the lag of its list of machines in seconds. */
  public record CloudLimits(double maxRequestsPerSecond, double listLagS) {}

  /**
   * A change of the view that admits a controller writes four keys in one transaction: the view,
   * the controller's partition, its node record, and the initial list of names.
   */
  private static final int MIN_TRANSACTION_OPS = 4;

  /** Enough for a job whose names all have the maximum length that users may give them. */
  private static final double MIN_VALUE_KB = 1;

  /** Invalid settings, with which the service can't start. The message names the key. */
  public static final class InvalidSettingsException extends Exception {
    /** Creates an exception whose message names the setting. */
    public InvalidSettingsException(String message) {
      super(message);
    }
  }

  /**
   * Returns the names of all controllers in an order that is the same on each of them. A
   * controller's dense number is its index in this list.
   */
  public List<String> nodeNames() {
    List<String> names = new ArrayList<>();
    names.add(node);
    peers.forEach(peer -> names.add(peer.node()));
    Collections.sort(names);
    return names;
  }

  /**
   * Returns the zones that have a controller. It continues to answer the workers of its zone when
   * the zone is cut off from the others.
   */
  public Set<String> controllerZones() {
    Set<String> zones = new HashSet<>(Set.of(zone));
    peers.forEach(peer -> zones.add(peer.zone()));
    zones.remove("");
    return zones;
  }

  /** Reads the platform's settings file. */
  public static Settings load(Path file) throws InvalidSettingsException {
    UnmodifiableConfig config;
    try (Reader reader = Files.newBufferedReader(file)) {
      config = new TomlParser().parse(reader);
    } catch (IOException e) {
      throw new InvalidSettingsException("cannot read " + file + ": " + e.getMessage());
    } catch (ParsingException e) {
      throw new InvalidSettingsException(file + " is not TOML: " + e.getMessage());
    }
    return parse(config);
  }

  /** Parses the settings. The exception names the first key that is missing or invalid. */
  public static Settings parse(UnmodifiableConfig config) throws InvalidSettingsException {
    String node = requiredText(config, "host_name");
    List<Peer> peers = new ArrayList<>();
    for (UnmodifiableConfig peer : tablesOrEmpty(config, "peers")) {
      String zone = peer.get("location") instanceof String z ? z : "";
      peers.add(
          new Peer(requiredText(peer, "host_name"), zone, requiredAddress(peer, "peer_addr")));
    }
    Set<String> names = new HashSet<>(List.of(node));
    for (Peer peer : peers) {
      if (!names.add(peer.node())) {
        throw new InvalidSettingsException("peers: host_name " + peer.node() + " is used twice");
      }
    }
    long nodeCount = (long) requiredNumber(config, "cluster.nodes");
    if (nodeCount != names.size()) {
      throw new InvalidSettingsException(
          "cluster.nodes is " + nodeCount + ", but host_name and peers name " + names.size());
    }
    List<Team> teams = new ArrayList<>();
    for (UnmodifiableConfig teamTable : tablesOrEmpty(config, "cluster.teams")) {
      Team team =
          new Team(
              requiredText(teamTable, "name"),
              numberOrDefault(teamTable, "cpus", 0),
              numberOrDefault(teamTable, "cpus_max", 0),
              numberOrDefault(teamTable, "gpus", 0),
              numberOrDefault(teamTable, "gpus_max", 0));
      if (team.maxCpus > 0 && team.guaranteedCpus > team.maxCpus
          || team.maxGpus > 0 && team.guaranteedGpus > team.maxGpus) {
        throw new InvalidSettingsException(
            "cluster.teams: " + team.name + " is guaranteed more than its limit");
      }
      teams.add(team);
    }
    List<Objective> objectives = new ArrayList<>();
    for (UnmodifiableConfig objective : tablesOrEmpty(config, "cluster.objectives")) {
      objectives.add(
          new Objective(
              requiredText(objective, "kind"),
              objective.get("class") instanceof String s ? s : null,
              numberOrDefault(objective, "within_s", 0),
              numberOrDefault(objective, "share", 0)));
    }
    Workers workers =
        new Workers(
            requiredPositive(config, "cluster.workers.report_s"),
            requiredPositive(config, "cluster.workers.lease_s"),
            requiredPositive(config, "cluster.workers.gang_wait_s"),
            requiredPositive(config, "cluster.workers.gang_peer_s"),
            requiredPositive(config, "cluster.workers.cancel_s"));
    if (workers.leaseS <= workers.reportIntervalS) {
      throw new InvalidSettingsException("cluster.workers.lease_s is not longer than report_s");
    }
    StateServiceLimits.Bounds stateLimits = parseBounds(config, "cluster.state", null);
    StateServiceLimits.Bounds nextLimits = null;
    if (config.get("cluster.state.next") instanceof UnmodifiableConfig) {
      nextLimits = parseBounds(config, "cluster.state.next", stateLimits);
    } else if (config.get("cluster.state.next") != null) {
      throw new InvalidSettingsException("cluster.state.next is not a table");
    }
    return new Settings(
        node,
        requiredText(config, "location"),
        requiredAddress(config, "serve_on"),
        requiredAddress(config, "back"),
        List.copyOf(peers),
        requiredAddress(config, "endpoints.cloud"),
        requiredAddress(config, "endpoints.state"),
        List.copyOf(requiredTexts(config, "cluster.zones")),
        List.copyOf(teams),
        List.copyOf(objectives),
        workers,
        stateLimits,
        nextLimits,
        new CloudLimits(
            requiredPositive(config, "cluster.cloud.rps"),
            requiredPositive(config, "cluster.cloud.list_lag_s")),
        (int) requiredPositive(config, "cluster.quota.fd_limit"));
  }

  /**
   * Reads a table of the state service's limits.
   *
   * @param defaults values for missing keys; null if all keys are required
   */
  private static StateServiceLimits.Bounds parseBounds(
      UnmodifiableConfig config, String key, StateServiceLimits.Bounds defaults)
      throws InvalidSettingsException {
    boolean allRequired = defaults == null;
    StateServiceLimits.Bounds bounds =
        new StateServiceLimits.Bounds(
            positiveOrDefault(config, key + ".rps", allRequired ? null : defaults.rps()),
            positiveOrDefault(config, key + ".write_rps", allRequired ? null : defaults.writeRps()),
            positiveOrDefault(config, key + ".value_kb", allRequired ? null : defaults.valueKb()),
            (int)
                positiveOrDefault(
                    config, key + ".txn_ops", allRequired ? null : (double) defaults.txnOps()));
    if (bounds.txnOps() < MIN_TRANSACTION_OPS) {
      throw new InvalidSettingsException(
          key + ".txn_ops is too small to end a job or change a view: " + bounds.txnOps());
    }
    if (bounds.valueKb() < MIN_VALUE_KB) {
      throw new InvalidSettingsException(
          key + ".value_kb is too small to hold a job: " + bounds.valueKb());
    }
    return bounds;
  }

  private static double positiveOrDefault(
      UnmodifiableConfig config, String key, Double defaultValue) throws InvalidSettingsException {
    return defaultValue != null && config.get(key) == null
        ? defaultValue
        : requiredPositive(config, key);
  }

  private static String requiredText(UnmodifiableConfig config, String key)
      throws InvalidSettingsException {
    Object value = config.get(key);
    if (value instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidSettingsException(key + (value == null ? " is missing" : " is not text"));
  }

  private static String requiredAddress(UnmodifiableConfig config, String key)
      throws InvalidSettingsException {
    String address = requiredText(config, key);
    if (!address.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
      throw new InvalidSettingsException(key + " is not an address of the form 10.0.0.1:8080");
    }
    return address;
  }

  private static double requiredNumber(UnmodifiableConfig config, String key)
      throws InvalidSettingsException {
    if (config.get(key) == null) {
      throw new InvalidSettingsException(key + " is missing");
    }
    return numberOrDefault(config, key, 0);
  }

  private static double numberOrDefault(UnmodifiableConfig config, String key, double defaultValue)
      throws InvalidSettingsException {
    Object value = config.get(key);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Number n && n.doubleValue() >= 0 && n.doubleValue() < 1e12) {
      return n.doubleValue();
    }
    throw new InvalidSettingsException(key + " is not a number of 0 or more");
  }

  private static double requiredPositive(UnmodifiableConfig config, String key)
      throws InvalidSettingsException {
    double number = requiredNumber(config, key);
    if (number <= 0) {
      throw new InvalidSettingsException(key + " is not above 0");
    }
    return number;
  }

  private static List<UnmodifiableConfig> tablesOrEmpty(UnmodifiableConfig config, String key)
      throws InvalidSettingsException {
    Object value = config.get(key);
    List<UnmodifiableConfig> tables = new ArrayList<>();
    if (value instanceof List<?> l) {
      for (Object o : l) {
        if (!(o instanceof UnmodifiableConfig t)) {
          throw new InvalidSettingsException(key + " is not a list of tables");
        }
        tables.add(t);
      }
    } else if (value != null) {
      throw new InvalidSettingsException(key + " is not a list of tables");
    }
    return tables;
  }

  private static List<String> requiredTexts(UnmodifiableConfig config, String key)
      throws InvalidSettingsException {
    List<String> texts = new ArrayList<>();
    if (config.get(key) instanceof List<?> l) {
      for (Object o : l) {
        texts.add(String.valueOf(o));
      }
      return texts;
    }
    throw new InvalidSettingsException(key + " is missing");
  }
}
