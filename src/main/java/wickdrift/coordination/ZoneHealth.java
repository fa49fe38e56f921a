package wickdrift.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects unreachable zones from the reports of their workers. A single machine without reports may
 * have any cause; a zone without any report, while other zones report, is unreachable as a whole. A
 * machine rented there can't be used, while the tasks there may keep running, since a controller in
 * that zone continues to answer its workers.
 */
public final class ZoneHealth {
  private static final Logger LOG = LoggerFactory.getLogger(ZoneHealth.class);

  /** Two machines of a zone may have failed independently. */
  private static final int MIN_SILENT_MACHINES = 3;

  /**
   * The least share of a zone's machines that must be recorded as lost for the zone to count as
   * unreachable if this node has not observed the silence itself.
   */
  private static final double MIN_LOST_SHARE = 0.8;

  /**
   * How long the workers of a zone that is reachable again have to report, as a multiple of {@link
   * #reportsOverdueMs}.
   */
  private static final long RECOVERY_PERIODS = 2;

  /** Whether the workers of a zone can be reached from this node. */
  enum Reachability {
    /** Some worker reports, or too little is known to decide. */
    REACHABLE,
    /** No worker reports although some should. The next report ends this state. */
    UNREACHABLE
  }

  /** The state of a zone; the counts are those since the last evaluation. */
  private static final class Zone {
    Reachability reachability = Reachability.REACHABLE;
    long lastReportMs;
    long recoveringUntilMs;
    int silentCount;
    int upCount;
    int lostCount;
  }

  private final Map<String, Zone> zones = new LinkedHashMap<>();
  private final long reportsOverdueMs;

  /**
   * Creates the state, with all zones reachable.
   *
   * @param reportsOverdueMs a zone without any report for longer than this may be unreachable
   */
  public ZoneHealth(long reportsOverdueMs) {
    this.reportsOverdueMs = reportsOverdueMs;
  }

  private Zone getOrCreateZone(String name) {
    return zones.computeIfAbsent(name, k -> new Zone());
  }

  /** Notes that a worker of the zone has reported, to this node or to its owner. */
  void reportReceived(String name, long nowMs) {
    Zone zone = getOrCreateZone(name);
    zone.lastReportMs = nowMs;
    if (zone.reachability == Reachability.UNREACHABLE) {
      // The workers report one after the other, and each machine stays recorded as lost until its
      // new record is written.
      zone.recoveringUntilMs = nowMs + RECOVERY_PERIODS * reportsOverdueMs;
    }
    setReachability(name, zone, Reachability.REACHABLE);
  }

  /** Counts a machine of this node in the zone whose reports are overdue. */
  void addSilentMachine(String name) {
    getOrCreateZone(name).silentCount++;
  }

  /** Counts a machine in the zone that is recorded as up, or as lost by its owner. */
  void addRecordedMachine(String name, boolean isLost) {
    Zone zone = getOrCreateZone(name);
    zone.lostCount += isLost ? 1 : 0;
    zone.upCount += isLost ? 0 : 1;
  }

  /**
   * Decides which zones are unreachable, after all machines have been counted, and resets the
   * counts. The records contain what other nodes have observed: a leader that has just started, or
   * owns no machine in the zone, must not delete machines that work behind a network partition.
   *
   * @param listeningSinceMs since when this process has received reports without a pause
   */
  void evaluate(long listeningSinceMs, long nowMs) {
    // If no zone reports, it is this node that is cut off from the workers.
    boolean anyZoneReports =
        zones.values().stream().anyMatch(zone -> nowMs - zone.lastReportMs < reportsOverdueMs);
    zones.forEach(
        (name, zone) -> {
          boolean reportsOverdue =
              nowMs - Math.max(zone.lastReportMs, listeningSinceMs) > reportsOverdueMs;
          boolean observedSilent = zone.silentCount >= MIN_SILENT_MACHINES && reportsOverdue;
          boolean recordedAsLost =
              zone.lostCount >= MIN_SILENT_MACHINES
                  && zone.lostCount >= MIN_LOST_SHARE * (zone.lostCount + zone.upCount);
          if ((observedSilent || recordedAsLost && nowMs - zone.lastReportMs > reportsOverdueMs)
              && anyZoneReports) {
            setReachability(name, zone, Reachability.UNREACHABLE);
          }
          zone.silentCount = 0;
          zone.upCount = 0;
          zone.lostCount = 0;
        });
  }

  /** Changes the state of a zone. No other method does. */
  private static void setReachability(String name, Zone zone, Reachability next) {
    if (zone.reachability != next) {
      zone.reachability = next;
      LOG.info("zone reachability changed: zone={}, state={}", name, next);
    }
  }

  /**
   * Whether the zone is unreachable, or was until so recently that not all of its workers have had
   * time to report again.
   */
  boolean isUnreachableOrRecovering(String name, long nowMs) {
    Zone zone = zones.get(name);
    return zone != null
        && (zone.reachability == Reachability.UNREACHABLE || nowMs < zone.recoveringUntilMs);
  }

  /** Whether the zone is unreachable. */
  boolean isUnreachable(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.reachability == Reachability.UNREACHABLE;
  }
}
