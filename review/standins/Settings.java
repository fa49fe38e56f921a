/**
 * The tables of the settings below {@code [cluster]}, with the figures of two deployments in the
 * kit but for the numbers of controllers and of teams.
 */
final class Settings {
  private Settings() {}

  /** {@code ajose-commons-grown}. */
  static String ajose() {
    return text("lagos-1", "abuja-1", 2.5, 16, 45, 36, 120, 25, 4, 8, 8, 8, 0.425, 263, 1800);
  }

  /** {@code rejestr-wspolny-grown}. */
  static String rejestr() {
    return text(
        "warszawa-a", "warszawa-b", 6, 28, 30, 53, 250, 100, 32, 16, 4, 5, 0.255, 263, 1500);
  }

  private static String text(
      String zoneA,
      String zoneB,
      double reportS,
      double leaseS,
      double gangWaitS,
      double cancelS,
      double rps,
      double writeRps,
      double valueKb,
      int txnOps,
      double cloudRps,
      double listLagS,
      double cores,
      double memoryMb,
      int sockets) {
    return """
    [cluster]
    nodes = 3
    zones = ["%s", "%s"]
    time_bound_ms = 100.0

    [[cluster.teams]]
    name = "team"
    cpus = 0.0
    cpus_max = 0.0
    gpus = 0.0
    gpus_max = 0.0

    [cluster.workers]
    report_s = %s
    lease_s = %s
    gang_wait_s = %s
    gang_peer_s = 5.0
    cancel_s = %s

    [cluster.cloud]
    rps = %s
    list_lag_s = %s

    [cluster.quota]
    cores = %s
    memory_mb = %s
    fd_limit = %d

    [cluster.state]
    rps = %s
    write_rps = %s
    value_kb = %s
    txn_ops = %d
    """
        .formatted(
            zoneA, zoneB, reportS, leaseS, gangWaitS, cancelS, cloudRps, listLagS, cores, memoryMb,
            sockets, rps, writeRps, valueKb, txnOps);
  }
}
