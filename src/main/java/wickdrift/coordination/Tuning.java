package wickdrift.coordination;

import wickdrift.settings.Settings;

/**
 * Parameters that the platform's settings file does not contain. Their defaults derive from that
 * file where they depend on the deployment.
 *
 * @param memberLeaseMs lease of a controller's membership
 * @param pauseThresholdMs a gap between events that is longer than this is a pause of the process
 * @param statusSheddingDelayMs status requests are shed while timers are late by more than this
 * @param statusReadShare share of a controller's request rate at the state service for status
 *     requests
 * @param leaseGraceMs how long a controller whose lease has expired continues to answer its workers
 * @param reportsOverdueMs without a report for longer than this, the reports of a machine are
 *     overdue
 * @param lostTimeoutMs a machine without reports, or unreachable for commands, for longer than this
 *     is recorded as lost
 * @param workerLeaseExpiryMs time after the last renewal by which a worker's lease has certainly
 *     expired
 * @param leaseExpiresBeforeCancelDeadline whether a worker's lease that is not renewed expires
 *     before the deadline by which the tasks of a cancelled job must have ended
 * @param withdrawalOverdueMs time after a withdrawal at which the machines of tasks that have not
 *     provably ended are deleted
 * @param takeoverSettleMs time for the reports of all machines to arrive after a controller takes
 *     over machines or the leadership
 * @param handoverDelayMs how long a job waits in a partition without free capacity for it before it
 *     is handed over to the leader
 * @param reservationDelayMs how long a gang waits before machines are reserved for it
 * @param lowPriorityPreemptionDelayMs how long a job waits before it preempts tasks of the lowest
 *     priority
 * @param preemptionDelayMs how long a job waits at least before it preempts other tasks, unless an
 *     objective demands an earlier start
 * @param preemptionObjectiveShare share of an objective's time after which a job preempts other
 *     tasks, where a rented machine would come too late
 * @param preemptionBootFactor how long a job waits for a rented machine before it preempts other
 *     tasks, as a multiple of the boot time
 * @param idleTimeoutMs how long an idle machine is kept
 * @param idleTimeoutBootFactor how long an idle machine is kept, as a multiple of the boot time, if
 *     an objective demands a start sooner than a machine boots
 * @param bootOverdueFactor a boot that takes longer than this multiple of the boot time is overdue
 * @param maxOverdueBootShare share of the machines that are replaced at most because their boot is
 *     overdue
 * @param largeJobShare a job that needs more than this share of a partition's machines is assigned
 *     to the leader
 * @param spareMachines number of idle machines that are always kept
 * @param maxLogPages number of pages of a controller's own log that compaction keeps
 * @param maxLogPageBytes largest size of a page of the log
 */
public record Tuning(
    long memberLeaseMs,
    long pauseThresholdMs,
    long statusSheddingDelayMs,
    double statusReadShare,
    long leaseGraceMs,
    long reportsOverdueMs,
    long lostTimeoutMs,
    long workerLeaseExpiryMs,
    boolean leaseExpiresBeforeCancelDeadline,
    long withdrawalOverdueMs,
    long takeoverSettleMs,
    long handoverDelayMs,
    long reservationDelayMs,
    long lowPriorityPreemptionDelayMs,
    long preemptionDelayMs,
    double preemptionObjectiveShare,
    double preemptionBootFactor,
    long idleTimeoutMs,
    double idleTimeoutBootFactor,
    double bootOverdueFactor,
    double maxOverdueBootShare,
    double largeJobShare,
    int spareMachines,
    int maxLogPages,
    int maxLogPageBytes) {

  /** Clocks drift by at most 0.05%. This is doubled, since two clocks measure a lease. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  private static final long TIMER_SLACK_MS = 300;
  private static final long MEMBER_LEASE_MS = 4000;

  /** Returns the defaults for a deployment. */
  public static Tuning defaults(Settings settings) {
    long leaseMs = (long) (settings.workers().leaseS() * 1000);
    double cancelMs = settings.workers().cancelDeadlineS() * 1000;
    long reportMs = (long) (settings.workers().reportIntervalS() * 1000);
    return new Tuning(
        MEMBER_LEASE_MS,
        // A process on a fraction of a core is occasionally late by some hundred milliseconds,
        // which is neither a pause nor overload.
        MEMBER_LEASE_MS / 4,
        MEMBER_LEASE_MS / 8,
        0.2,
        3 * leaseMs,
        // Two successive reports are missing.
        Math.min(leaseMs / 2, 2 * (reportMs * 5 / 4) + TIMER_SLACK_MS),
        leaseMs,
        (long) (leaseMs * (1 + MAX_CLOCK_DRIFT)) + TIMER_SLACK_MS,
        // Reports are sometimes late, and a worker checks its lease only at intervals.
        leaseMs * (1 + MAX_CLOCK_DRIFT) + TIMER_SLACK_MS + reportMs < cancelMs,
        // Slightly more than half of the time for a cancellation. If that leaves time for one or
        // two deletions, no sooner than the lease of a worker that does not report has expired.
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
        // Each change rewrites a whole page, so pages are small even where values may be large.
        (int) Math.min(3600, settings.stateLimits().valueKb() * 1024 * 0.9));
  }

  /** Returns a copy with other limits for a controller's log. */
  public Tuning withLogSize(int pages, int pageBytes) {
    return new Tuning(
        memberLeaseMs,
        pauseThresholdMs,
        statusSheddingDelayMs,
        statusReadShare,
        leaseGraceMs,
        reportsOverdueMs,
        lostTimeoutMs,
        workerLeaseExpiryMs,
        leaseExpiresBeforeCancelDeadline,
        withdrawalOverdueMs,
        takeoverSettleMs,
        handoverDelayMs,
        reservationDelayMs,
        lowPriorityPreemptionDelayMs,
        preemptionDelayMs,
        preemptionObjectiveShare,
        preemptionBootFactor,
        idleTimeoutMs,
        idleTimeoutBootFactor,
        bootOverdueFactor,
        maxOverdueBootShare,
        largeJobShare,
        spareMachines,
        pages,
        pageBytes);
  }
}
