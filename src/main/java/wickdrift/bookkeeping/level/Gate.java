package wickdrift.bookkeeping.level;

import java.util.Locale;

/**
 * Feature gates, each enabled at a level of the stored state. Code that decides asks the tables, as
 * of their revision, whether a gate is open, never what its own build supports. Each constant says
 * what it changes and when it can be removed.
 */
public enum Gate {
  /**
   * Controllers have durable numbers in the store, so that their list may change. A partition's
   * record holds the quota transfers it gave and received of each team's limit instead of amounts.
   * View, partition, log page and chunk use encoding version 2. Can be removed, together with
   * reading version 1, in a build whose minimum level is 2, once {@code w/c/done} has reported this
   * level for longer than any transaction may be in flight.
   */
  NUMBERS(2, true),

  /**
   * A leader that claims machines of several partitions rewrites the single record {@code w/x}
   * instead of each partition's record, and every owner's placement is conditional on it too. No
   * encoding changes. Can be removed, together with the older method, in a build whose minimum
   * level is 3.
   */
  TAKES(3, false),

  /**
   * A job may name other jobs that must finish before it starts ({@code awaits} in its record, and
   * {@code w/a/}), and a terminal state holds its time. An older build would read such a job's
   * record and run the job too early; the level keeps such a build out.
   */
  AWAITS(4, false),

  /**
   * A member's decisions are conditional on the view itself, so a view change rewrites no partition
   * and is a single write however many members there are. Can be removed, together with the older
   * method, in a build whose minimum level is 4.
   */
  VIEWS(4, false),

  /** All writes fit the smaller of the state service's current and next limits. */
  LIMITS(4, false),

  /**
   * Frames between controllers name the processes of sender and receiver. Frames that don't, of
   * older builds, are refused. No encoding of stored state changes. Can be removed, together with
   * the first layout of frames, in a build whose minimum level is 5.
   */
  PEER_PROCESSES(5, false),

  /**
   * The tokens sent to workers count wake-ups, so that a worker can be made to report at once. An
   * older build's tokens are lower, and a worker that has seen a larger one would drop them. No
   * encoding of stored state changes. Can be removed, together with bare epochs as tokens, in a
   * build whose minimum level is 6.
   */
  WAKE_UPS(6, false);

  private final int level;
  private final boolean requiresConversion;

  Gate(int level, boolean requiresConversion) {
    this.level = level;
    this.requiresConversion = requiresConversion;
  }

  /**
   * Whether a level comes into force only when no record is left in an encoding older than that of
   * the previous level. A level that changes no encoding may come into force together with the
   * previous one. A level unknown to this build may change any encoding, so it requires conversion.
   */
  static boolean requiresConversion(int level) {
    for (Gate g : values()) {
      if (g.level == level) {
        return g.requiresConversion;
      }
    }
    return true;
  }

  /** The level at which the gate opens. */
  public int level() {
    return level;
  }

  /** The lower-case name that operators use. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The gate with a label, or null if this build does not know it. */
  public static Gate byLabel(String label) {
    for (Gate g : values()) {
      if (g.label().equals(label)) {
        return g;
      }
    }
    return null;
  }

  static int newestLevel() {
    int newest = 1;
    for (Gate g : values()) {
      newest = Math.max(newest, g.level);
    }
    return newest;
  }
}
