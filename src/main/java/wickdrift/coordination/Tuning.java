package wickdrift.coordination;

import wickdrift.settings.Settings;

/**
 * The operators' own settings, all with defaults that derive from what the platform hands over.
 * Those that the design marks "ours" are here.
 *
 * @param leaseEndsInTime whether a worker's lease that nobody renews ends sooner than a cancelled
 *     task must be gone
 */
public record Tuning(
    long memberLeaseMs,
    long stillMs,
    long busyMs,
    double lookUpShare,
    long graceMs,
    long quietMs,
    long lostMs,
    long lapseMs,
    boolean leaseEndsInTime,
    long overdueMs,
    long settleMs,
    long handoverMs,
    long markWaitMs,
    long preemptLowMs,
    long preemptMs,
    double preemptShare,
    double preemptBoots,
    long idleMs,
    double idleBootsWait,
    double overdueBoots,
    double overdueShare,
    double largeShare,
    int spareMachines,
    int logPages,
    int logPageBytes) {

  /** Clocks drift apart by at most 0.05%; twice that, for a lease is measured by two clocks. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  private static final long TIMER_SLACK_MS = 300;
  private static final long MEMBER_LEASE_MS = 4000;

  /** The defaults for a deployment. */
  public static Tuning defaults(Settings settings) {
    long leaseMs = (long) (settings.workers().leaseS() * 1000);
    double cancelMs = settings.workers().cancelS() * 1000;
    long reportMs = (long) (settings.workers().reportS() * 1000);
    return new Tuning(
        MEMBER_LEASE_MS,
        // A process on a fraction of a core is now and then late by some hundred milliseconds.
        MEMBER_LEASE_MS / 4,
        MEMBER_LEASE_MS / 8,
        0.2,
        3 * leaseMs,
        // Two reports in a row are missing.
        Math.min(leaseMs / 2, 2 * (reportMs * 5 / 4) + TIMER_SLACK_MS),
        leaseMs,
        (long) (leaseMs * (1 + MAX_CLOCK_DRIFT)) + TIMER_SLACK_MS,
        // Reports are late now and then, and a worker looks at its lease now and then.
        leaseMs * (1 + MAX_CLOCK_DRIFT) + TIMER_SLACK_MS + reportMs < cancelMs,
        // A little more than half of the time for a cancellation, and, if that leaves time for a
        // deletion or two, no sooner than a silent worker's lease ends by itself.
        (long) Math.max(cancelMs * 0.55, Math.min(leaseMs + 1000, cancelMs * 0.7)),
        reportMs * 5 / 4 + TIMER_SLACK_MS,
        1500,
        3000,
        1000,
        20_000,
        0.3,
        1.25,
        45_000,
        20,
        1.6,
        0.05,
        0.5,
        1,
        12,
        // Pages are rewritten whole, so they are kept small even where values may be large.
        (int) Math.min(3600, settings.stateLimits().valueKb() * 1024 * 0.9));
  }

  /** The same with other sizes of a node's log. */
  public Tuning withLog(int pages, int pageBytes) {
    return new Tuning(
        memberLeaseMs,
        stillMs,
        busyMs,
        lookUpShare,
        graceMs,
        quietMs,
        lostMs,
        lapseMs,
        leaseEndsInTime,
        overdueMs,
        settleMs,
        handoverMs,
        markWaitMs,
        preemptLowMs,
        preemptMs,
        preemptShare,
        preemptBoots,
        idleMs,
        idleBootsWait,
        overdueBoots,
        overdueShare,
        largeShare,
        spareMachines,
        pages,
        pageBytes);
  }
}
