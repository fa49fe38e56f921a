package wickdrift.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this node hears from each zone. A machine that is silent may be anything; a zone of which
 * nothing is heard while others go on reporting is cut off as a whole. What is rented there can't
 * be used, and what runs there may be well: a controller in that zone goes on answering its
 * workers.
 */
public final class Zones {
  private static final Logger LOG = LoggerFactory.getLogger(Zones.class);

  /** So many machines must be silent there: two may have died by chance. */
  private static final int MIN_SILENT_MACHINES = 3;

  /** Of a zone's machines, how many must be recorded as silent where nothing else is known. */
  private static final double MIN_LOST_SHARE = 0.8;

  /** How long its workers have to report when it is back, in times of {@link #reportsOverdueMs}. */
  private static final long RECOVERY_PERIODS = 2;

  /** How a zone looks from here. */
  enum Reachability {
    /** Something is heard, or not enough is known. */
    REACHABLE,
    /** Nothing is heard that should be. Any report ends it. */
    UNREACHABLE
  }

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
   * @param reportsOverdueMs so long without any report is not by chance
   */
  public Zones(long reportsOverdueMs) {
    this.reportsOverdueMs = reportsOverdueMs;
  }

  private Zone getOrCreateZone(String name) {
    return zones.computeIfAbsent(name, k -> new Zone());
  }

  /** A worker there has reported, to whomever it should. */
  void heard(String name, long nowMs) {
    Zone zone = getOrCreateZone(name);
    zone.lastReportMs = nowMs;
    if (zone.reachability == Reachability.UNREACHABLE) {
      // One after the other, and each is still recorded as silent until that is written.
      zone.recoveringUntilMs = nowMs + RECOVERY_PERIODS * reportsOverdueMs;
    }
    setReachability(name, zone, Reachability.REACHABLE);
  }

  /** One of our machines there has been silent for too long. */
  void silent(String name) {
    getOrCreateZone(name).silentCount++;
  }

  /** Any machine there, by its record: up, or silent as its owner found at the time. */
  void recorded(String name, boolean isLost) {
    Zone zone = getOrCreateZone(name);
    zone.lostCount += isLost ? 1 : 0;
    zone.upCount += isLost ? 0 : 1;
  }

  /**
   * All machines have been looked at. What others found out is in the records: a leader that has
   * just started, or has no machine there, must not begin by deleting what is well behind the cut.
   *
   * @param listeningSinceMs since when we could hear
   */
  void judge(long listeningSinceMs, long nowMs) {
    // Where nothing is heard from anywhere, it is we who are cut off from the workers.
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

  /** The one function by which a zone's state changes. */
  private static void setReachability(String name, Zone zone, Reachability next) {
    if (zone.reachability != next) {
      zone.reachability = next;
      LOG.info("zone {} is {}", name, next);
    }
  }

  /** Dark, or so short a time ago that not all of its workers have reported again. */
  boolean away(String name, long nowMs) {
    Zone zone = zones.get(name);
    return zone != null
        && (zone.reachability == Reachability.UNREACHABLE || nowMs < zone.recoveringUntilMs);
  }

  boolean dark(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.reachability == Reachability.UNREACHABLE;
  }
}
