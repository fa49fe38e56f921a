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
  private static final int SILENT_LEAST = 3;

  /** Of a zone's machines, how many must be recorded as silent where nothing else is known. */
  private static final double LOST_SHARE = 0.8;

  /** How long its workers have to report when it is back, in times of {@link #quietMs}. */
  private static final long BACK = 2;

  /** How a zone looks from here. */
  enum Light {
    /** Something is heard, or not enough is known. */
    LIT,
    /** Nothing is heard that should be. Any report ends it. */
    DARK
  }

  private static final class Zone {
    Light light = Light.LIT;
    long heardMs;
    long backUntilMs;
    int silent;
    int up;
    int lost;
  }

  private final Map<String, Zone> zones = new LinkedHashMap<>();
  private final long quietMs;

  /**
   * @param quietMs so long without any report is not by chance
   */
  public Zones(long quietMs) {
    this.quietMs = quietMs;
  }

  private Zone zone(String name) {
    return zones.computeIfAbsent(name, k -> new Zone());
  }

  /** A worker there has reported, to whomever it should. */
  void heard(String name, long nowMs) {
    Zone z = zone(name);
    z.heardMs = nowMs;
    if (z.light == Light.DARK) {
      // One after the other, and each is still recorded as silent until that is written.
      z.backUntilMs = nowMs + BACK * quietMs;
    }
    become(name, z, Light.LIT);
  }

  /** One of our machines there has been silent for too long. */
  void silent(String name) {
    zone(name).silent++;
  }

  /** Any machine there, by its record: up, or silent as its owner found at the time. */
  void recorded(String name, boolean lost) {
    Zone z = zone(name);
    z.lost += lost ? 1 : 0;
    z.up += lost ? 0 : 1;
  }

  /**
   * All machines have been looked at. What others found out is in the records: a leader that has
   * just started, or has no machine there, must not begin by deleting what is well behind the cut.
   *
   * @param listeningMs since when we could hear
   */
  void judge(long listeningMs, long nowMs) {
    // Where nothing is heard from anywhere, it is we who are cut off from the workers.
    boolean any = zones.values().stream().anyMatch(z -> nowMs - z.heardMs < quietMs);
    zones.forEach(
        (name, z) -> {
          boolean quiet = nowMs - Math.max(z.heardMs, listeningMs) > quietMs;
          boolean found = z.silent >= SILENT_LEAST && quiet;
          boolean known = z.lost >= SILENT_LEAST && z.lost >= LOST_SHARE * (z.lost + z.up);
          if ((found || known && nowMs - z.heardMs > quietMs) && any) {
            become(name, z, Light.DARK);
          }
          z.silent = 0;
          z.up = 0;
          z.lost = 0;
        });
  }

  /** The one function by which a zone's state changes. */
  private static void become(String name, Zone z, Light next) {
    if (z.light != next) {
      z.light = next;
      LOG.info("zone {} is {}", name, next);
    }
  }

  /** Dark, or so short a time ago that not all of its workers have reported again. */
  boolean away(String name, long nowMs) {
    Zone z = zones.get(name);
    return z != null && (z.light == Light.DARK || nowMs < z.backUntilMs);
  }

  boolean dark(String name) {
    Zone z = zones.get(name);
    return z != null && z.light == Light.DARK;
  }
}
