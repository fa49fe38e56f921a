package wickdrift.bookkeeping.level;

import java.util.Locale;

/**
 * What is new, each bound to the level of stored state with which it is switched on. Whoever
 * decides asks the tables, as of their revision, whether a gate is open; never what its own build
 * could do. One constant a change: what it changes, and when it can go.
 */
public enum Gate {
  /**
   * Controllers have durable numbers in the store, so their list may change; a part's record says
   * what it gave and got of each team's limit instead of amounts. Forms: view, part, page and chunk
   * 2. Can go, and with it the reading of form 1, in a build whose least level is 2, when {@code
   * w/c/done} has said so for longer than any transaction may be under way.
   */
  NUMBERS(2, true),

  /**
   * A leader that takes machines of several parts rewrites one record, {@code w/x}, in place of
   * each part's, and every owner's placement is conditional on it too. No form changes. Can go, and
   * with it the older way, in a build whose least level is 3.
   */
  TAKES(3, false),

  /**
   * A job may name others that must be done before it starts ({@code awaits} in its record, and
   * {@code w/a/}); what ends a job tells when. Its record is one that an older build would read and
   * run too early; the level keeps such a build out.
   */
  AWAITS(4, false),

  /**
   * What a member decides is conditional on the view itself, so a change of view rewrites no part
   * and is one write, however many members there are. Can go, and with it the older way, in a build
   * whose least level is 4.
   */
  VIEWS(4, false),

  /** What is written fits the smaller of the state service's limits of now and next. */
  LIMITS(4, false);

  private final int level;
  private final boolean requiresConversion;

  Gate(int level, boolean requiresConversion) {
    this.level = level;
    this.requiresConversion = requiresConversion;
  }

  /**
   * Whether a level's gate opens only when no record is left of a form older than the level before.
   * One that changes no form may open in one step with that level; one that nobody here knows may
   * change any.
   */
  static boolean requiresConversion(int level) {
    for (Gate g : values()) {
      if (g.level == level) {
        return g.requiresConversion;
      }
    }
    return true;
  }

  /** The level with which it opens. */
  public int level() {
    return level;
  }

  /** The name that operators use: lower case. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** The gate of that label, or null if nobody here knows it. */
  public static Gate byLabel(String label) {
    for (Gate g : values()) {
      if (g.label().equals(label)) {
        return g;
      }
    }
    return null;
  }

  static int newestLevel() {
    int most = 1;
    for (Gate g : values()) {
      most = Math.max(most, g.level);
    }
    return most;
  }
}
