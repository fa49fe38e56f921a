package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.Report;
import wickdrift.protocol.Unsigned;

/**
 * A machine: its durable record, the task attempts placed on it, and the last reports its owner
 * received.
 */
public final class Machine {
  /** The lifecycle phase of a machine in its durable record. */
  public enum Phase {
    /** Only referred to by the record of a task; no record of the machine is known yet. */
    UNKNOWN,
    BOOTING,
    UP,
    /** No reports for too long, or unreachable for commands: no new tasks are placed there. */
    LOST,
    /** About to be removed: no new tasks are placed there. */
    DRAINING,
    /** The cloud confirmed the deletion: nothing runs there any more. */
    GONE;

    /**
     * Whether a transition is valid. Several nodes record phases; an invalid transition is ignored.
     */
    public boolean canTransitionTo(Phase next) {
      return switch (this) {
        case UNKNOWN -> next != UNKNOWN;
        case BOOTING -> next != UNKNOWN && next != BOOTING;
        case UP -> next == LOST || next == DRAINING || next == GONE;
        case LOST -> next == UP || next == DRAINING || next == GONE;
        case DRAINING -> next == GONE;
        case GONE -> false;
      };
    }
  }

  /**
   * The durable record of a machine.
   *
   * @param phaseSinceWallMs the wall-clock time at which the phase was recorded
   */
  public record Info(String type, String zone, boolean spot, Phase phase, long phaseSinceWallMs) {
    /** The same record with another phase. */
    public Info withPhase(Phase next, long nowWallMs) {
      return new Info(type, zone, spot, next, nowWallMs);
    }
  }

  /** A live attempt on a machine: its task, and since when this process has known it. */
  public static final class Slot {
    private final Job job;
    private final int index;
    private long knownSinceMs;

    Slot(Job job, int index) {
      this.job = job;
      this.index = index;
    }

    /** The job that the task belongs to. */
    public Job job() {
      return job;
    }

    /** The index of the task in its job. */
    public int index() {
      return index;
    }

    /** The current state of the task. */
    public TaskState state() {
      return job.task(index);
    }

    /** The name of the task in messages to and from workers. */
    public String taskName() {
      return job.id() + "/" + index;
    }

    /** Whether the attempt must end: its job was withdrawn, or the attempt is being stopped. */
    public boolean mustStop() {
      return job.withdrawnOrAnnounced() || state().stop() != TaskState.Stop.NONE;
    }

    /**
     * For how long this process has known the attempt, counted from the next {@link
     * Machine#updateImages} after its placement; 0 before.
     */
    public long ageMs(long nowMs) {
      return knownSinceMs == 0 ? 0 : nowMs - knownSinceMs;
    }

    /**
     * The estimated remaining run time: the user's estimate less the age, but at least half the age
     * for an attempt that outlives its estimate.
     */
    public double estimatedRemainingMs(long nowMs) {
      double estimateMs = job.spec().estimatedRunS() * 1000;
      if (job.spec().shape() == JobSpec.Shape.SERVICE) {
        return Double.MAX_VALUE;
      }
      return Math.max(estimateMs - ageMs(nowMs), ageMs(nowMs) / 2.0);
    }
  }

  /** An image that is on the machine or is being fetched. */
  private static final class Image {
    final double sizeGb;
    final long fetchStartMs;
    boolean ready;

    Image(double sizeGb, long fetchStartMs) {
      this.sizeGb = sizeGb;
      this.fetchStartMs = fetchStartMs;
    }
  }

  private static final long SINGLE_JOB_QUARANTINE_MS = 10_000;
  private static final long SEVERAL_JOBS_QUARANTINE_MS = 60_000;
  private static final int MAX_QUARANTINE_DOUBLINGS = 2;
  private static final int MAX_FAILED_JOBS = 8;

  /**
   * One lost answer is tolerated; after two unacknowledged answers the worker counts as unreachable
   * for commands.
   */
  private static final int MAX_UNACKNOWLEDGED_ANSWERS = 2;

  /** A fetch is assumed to be complete after this multiple of its nominal time. */
  private static final double FETCH_TIME_FACTOR = 1.4;

  private final String name;
  private final int number;
  private final Consumer<Machine> onChange;
  private boolean changeNotified;
  private String owner;
  private long ownerViewEpoch;
  private String ownerZone;
  private final List<Slot> slots = new ArrayList<>();
  private final LinkedHashMap<String, Image> images = new LinkedHashMap<>(8, 0.75f, true);
  private Info info;
  private double cpus;
  private double gpus;
  private double memoryGb;

  /** Whether the attempts that should run here changed since the last {@link #pollChanged}. */
  private boolean changed;

  // Known to the owner only, from reports; lost when the process ends.
  Report report;
  private long lastReportMs;
  private boolean reportsOverdue;
  private long ownedSinceMs;
  private long lastAnswerMs;
  private long latestLeaseRenewalMs;
  private boolean epochAcknowledged;

  /** The epoch of the last answer to an unsolicited report; 0: none since this node owns it. */
  private long lastAnswerEpoch;

  /**
   * Whether a report received since this node owns the machine was certainly not a delayed
   * duplicate.
   */
  private boolean provedAlive;

  /** Since when the worker's reports show that no command reaches it; 0: reachable. */
  private long unreachableForCommandsSinceMs;

  /** The number of consecutive reports that showed an older epoch than the last answer. */
  private int unacknowledgedAnswers;

  /** The newest unsolicited report that was certainly not a delayed duplicate. */
  private Report lastUnsolicitedReport;

  /** The highest epoch that an unsolicited report has shown; -1: no such report was received. */
  private long highestReportedEpoch = -1;

  /** Reports with a lower epoch are from before the last restart of the worker. */
  private long trustedFromEpoch;

  // Derived from the logs and equal at all nodes: failures here since a task last succeeded.
  private final Set<Job> failedJobs = new LinkedHashSet<>();
  private int failures;
  private int failuresHandled;
  private long lastFailureMs;

  /**
   * Creates a machine without a record.
   *
   * @param number its dense number in this process
   * @param onChange is called at the first change, and again only after {@link #acknowledgeChanges}
   */
  Machine(String name, int number, Consumer<Machine> onChange) {
    this.name = name;
    this.number = number;
    this.onChange = onChange;
  }

  private void notifyChange() {
    if (!changeNotified) {
      changeNotified = true;
      onChange.accept(this);
    }
  }

  /** Acknowledges all changes so far: the next change calls {@code onChange} again. */
  void acknowledgeChanges() {
    changeNotified = false;
  }

  /** The dense number of the machine in this process. */
  public int number() {
    return number;
  }

  /** The zone, or null if neither the record nor a report contains it yet. */
  public String zone() {
    return info != null ? info.zone() : report != null ? report.zone() : null;
  }

  /**
   * The member whose partition contains the machine. It is cached per view, because every report
   * needs it.
   */
  public String owner(View view) {
    String zone = zone();
    if (ownerViewEpoch != view.epoch() || !Objects.equals(zone, ownerZone)) {
      owner = view.owner(name, zone);
      ownerViewEpoch = view.epoch();
      ownerZone = zone;
    }
    return owner;
  }

  /** The name of the machine in records and messages. */
  public String name() {
    return name;
  }

  /**
   * The archive bucket of a machine: machines whose names differ only in the last letter are stored
   * together.
   */
  public static String archiveBucketOf(String name) {
    return name.substring(0, Math.max(1, name.length() - 1));
  }

  /** The durable record, or null if there is none. */
  public Info info() {
    return info;
  }

  /** The recorded phase, or {@link Phase#UNKNOWN} without a record. */
  public Phase phase() {
    return info == null ? Phase.UNKNOWN : info.phase();
  }

  /** The live attempts that are placed on the machine. */
  public List<Slot> slots() {
    return slots;
  }

  /** For how long this process has known a task to be placed here; 0 if it is not. */
  public long ageMs(Job job, int index, long nowMs) {
    for (Slot slot : slots) {
      if (slot.index == index && slot.job == job) {
        return slot.ageMs(nowMs);
      }
    }
    return 0;
  }

  /** The CPUs that the live attempts use. */
  public double cpus() {
    return cpus;
  }

  /** The GPUs that the live attempts use. */
  public double gpus() {
    return gpus;
  }

  /** The memory that the live attempts use. */
  public double memoryGb() {
    return memoryGb;
  }

  void restore(Info known) {
    info = known;
    notifyChange();
  }

  /**
   * Applies a phase change; returns false if the transition is invalid. Apart from {@link #restore}
   * and {@link #forget}, no other method changes the phase.
   */
  boolean transitionTo(Info next) {
    if (!phase().canTransitionTo(next.phase())) {
      return false;
    }
    info = next;
    notifyChange();
    return true;
  }

  /** Whether the record may be removed: the machine is gone and no live attempt refers to it. */
  public boolean mayBeForgotten() {
    return phase() == Phase.GONE && slots.isEmpty();
  }

  /** Removes the record if that is allowed; returns whether it was removed. */
  boolean forget() {
    if (!mayBeForgotten()) {
      return false;
    }
    info = null;
    notifyChange();
    return true;
  }

  /** Notes that the attempts that should run here have changed. */
  void markChanged() {
    changed = true;
    notifyChange();
  }

  /**
   * Whether the attempts that should run here have changed since the last call; resets the flag.
   */
  public boolean pollChanged() {
    boolean wasChanged = changed;
    changed = false;
    return wasChanged;
  }

  void add(Slot slot) {
    changed = true;
    slots.add(slot);
    recomputeUsage();
  }

  void remove(Job job, int index) {
    slots.removeIf(s -> s.index() == index && s.job() == job);
    recomputeUsage();
  }

  /**
   * Sums up the usage from scratch: incremental updates of doubles would accumulate rounding
   * errors.
   */
  private void recomputeUsage() {
    notifyChange();
    cpus = 0;
    gpus = 0;
    memoryGb = 0;
    for (Slot slot : slots) {
      cpus += slot.job().spec().cpus();
      gpus += slot.job().spec().gpus();
      memoryGb += slot.job().spec().memoryGb();
    }
  }

  // ---- images, as far as this process knows; the cache evicts the least recently used ----

  /**
   * Adds the images of the live attempts, and removes the least recently used ones beyond the cache
   * size. Must be called before images are queried.
   */
  public void updateImages(long nowMs, double cacheGb) {
    for (Slot slot : slots) {
      if (slot.knownSinceMs == 0) {
        slot.knownSinceMs = nowMs;
      }
      String image = slot.job().spec().image();
      if (images.get(image) == null) {
        images.put(image, new Image(slot.job().spec().imageGb(), nowMs));
      }
    }
    double totalGb = 0;
    for (Image image : images.values()) {
      totalGb += image.sizeGb;
    }
    var oldest = images.entrySet().iterator();
    while (totalGb > cacheGb && images.size() > 1) {
      totalGb -= oldest.next().getValue().sizeGb;
      oldest.remove();
    }
  }

  /** Notes that an image is present, since a report shows a task that uses it past its fetch. */
  public void markImageReady(String image, double sizeGb, long nowMs) {
    Image entry = images.computeIfAbsent(image, k -> new Image(sizeGb, nowMs));
    if (!entry.ready) {
      entry.ready = true;
      notifyChange();
    }
  }

  /** Whether an image is present or being fetched. */
  public boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** The images that are present or being fetched. */
  public Set<String> images() {
    return images.keySet();
  }

  /** The estimated time at which the image fetches in progress end; 0 if there are none. */
  public long estimatedFetchEndMs(double gbPerSecond) {
    long endMs = 0;
    for (Image image : images.values()) {
      if (!image.ready && gbPerSecond > 0) {
        endMs =
            Math.max(
                endMs,
                image.fetchStartMs
                    + (long) (image.sizeGb / gbPerSecond * 1000 * FETCH_TIME_FACTOR));
      }
    }
    return endMs;
  }

  // ---- reports and commands, known to the owner only ----

  /** The newest report, or null. */
  public Report report() {
    return report;
  }

  /**
   * Takes over an unsolicited report that is newer than the known one.
   *
   * @param viewEpoch the epoch of the current view
   * @return whether the report is certainly not a delayed duplicate: it shows the epoch of the view
   *     or of the last answer. A duplicate may be the first report that a new owner receives, and
   *     must not make a dead machine look alive; so until a report proves otherwise, the machine
   *     gets no task and still counts as silent
   */
  public boolean receiveReport(Report newReport, long viewEpoch, long nowMs) {
    boolean provesAlive = receiveReply(newReport, viewEpoch, nowMs);
    if (provesAlive) {
      if (reportsOverdue) {
        notifyChange();
      }
      reportsOverdue = false;
      lastReportMs = nowMs;
    }
    return provesAlive;
  }

  /**
   * Takes over a report from the reply to a command. A reply does not end the silence: a worker
   * that cannot reach any controller replies too, and loses all its tasks with its lease.
   */
  public boolean receiveReply(Report newReport, long viewEpoch, long nowMs) {
    boolean showsLastAnswer = lastAnswerEpoch > 0 && newReport.epoch() >= lastAnswerEpoch;
    boolean provesAlive =
        newReport.epoch() >= trustedFromEpoch
            && (newReport.epoch() == viewEpoch || showsLastAnswer);
    if (report == null || provesAlive && !provedAlive) {
      notifyChange();
    }
    if (provesAlive || !provedAlive) {
      if (report == null || Unsigned.isGreater(newReport.tenure(), report.tenure())) {
        // The new session began no later than now, and with it a lease that no controller has
        // renewed yet. A worker that cannot reach any controller starts session after session, and
        // still runs what it is sent directly.
        latestLeaseRenewalMs = Math.max(latestLeaseRenewalMs, nowMs);
      }
      report = newReport;
    }
    provedAlive |= provesAlive;
    return provesAlive;
  }

  /** The lowest epoch whose reports are trusted; 0: all are. */
  public long trustedFromEpoch() {
    return trustedFromEpoch;
  }

  /** Whether a report has proved, since this node owns the machine, that its worker is alive. */
  public boolean provedAlive() {
    return provedAlive;
  }

  /**
   * Whether a report is not newer than the newest unsolicited one: no worker waits for the answer
   * to such a report.
   */
  public boolean hasNewerUnsolicitedReport(Report other) {
    return lastUnsolicitedReport != null && other.notNewerThan(lastUnsolicitedReport);
  }

  /**
   * Handles a restart of the worker under the same name, after which its counters start from one.
   * What was received from the previous incarnation says nothing about this one, and delayed
   * duplicates of its reports may look newer. So no report counts until it shows an epoch that the
   * previous incarnation never had.
   *
   * @param maxSeenEpoch the highest epoch that the previous incarnation may have seen
   */
  public void onWorkerRestart(long maxSeenEpoch) {
    trustedFromEpoch = maxSeenEpoch + 1;
    epochAcknowledged = false;
    highestReportedEpoch = -1;
    report = null;
    lastUnsolicitedReport = null;
    provedAlive = false;
    lastAnswerEpoch = 0;
    markReachableForCommands();
    notifyChange();
  }

  /**
   * Decides from an unsolicited report whether commands reach the worker. Having answered is not
   * enough to decide on: an answer may be lost although the worker is reachable, and a worker may
   * be slow.
   *
   * @param provesAlive the result of {@link #receiveReport} for this report
   * @param lacksCommandedTask whether the report lacks a task that the worker was told to run long
   *     ago
   * @param leaseMs the duration of a worker's lease
   */
  public void updateCommandReachability(
      Report newReport, boolean provesAlive, boolean lacksCommandedTask, long leaseMs, long nowMs) {
    // If the last answer had reached the worker, its lease could not have expired yet.
    boolean leaseExpired =
        lastUnsolicitedReport != null
            && Unsigned.isGreater(newReport.tenure(), lastUnsolicitedReport.tenure())
            && nowMs - lastAnswerMs < leaseMs * 3 / 4;
    boolean epochRose = highestReportedEpoch >= 0 && newReport.epoch() > highestReportedEpoch;
    highestReportedEpoch = Math.max(highestReportedEpoch, newReport.epoch());
    unacknowledgedAnswers = provesAlive || lastAnswerEpoch == 0 ? 0 : unacknowledgedAnswers + 1;
    if (provesAlive) {
      lastUnsolicitedReport = newReport;
    }
    if (epochRose) {
      markReachableForCommands();
    } else if (leaseExpired
        || lacksCommandedTask
        || unacknowledgedAnswers >= MAX_UNACKNOWLEDGED_ANSWERS) {
      if (unreachableForCommandsSinceMs == 0) {
        unreachableForCommandsSinceMs = nowMs;
        notifyChange();
      }
    }
  }

  /** Notes that a command or an answer has certainly reached the worker. */
  public void markReachableForCommands() {
    unacknowledgedAnswers = 0;
    if (unreachableForCommandsSinceMs > 0) {
      unreachableForCommandsSinceMs = 0;
      notifyChange();
    }
  }

  /** Since when no command reaches the worker, as its unsolicited reports show; 0: reachable. */
  public long unreachableForCommandsSinceMs() {
    return unreachableForCommandsSinceMs;
  }

  /**
   * Drops all reports when the owner changes or may have changed in between: an older report proves
   * nothing to a new owner.
   *
   * @param leaseRenewalMs the latest time at which the previous owner may renew the worker's lease
   */
  public void resetReports(long leaseRenewalMs, long nowMs) {
    ownedSinceMs = nowMs;
    notifyChange();
    report = null;
    reportsOverdue = false;
    epochAcknowledged = false;
    lastAnswerEpoch = 0;
    provedAlive = false;
    unreachableForCommandsSinceMs = 0;
    unacknowledgedAnswers = 0;
    highestReportedEpoch = -1;
    lastUnsolicitedReport = null;
    latestLeaseRenewalMs = Math.max(latestLeaseRenewalMs, leaseRenewalMs);
  }

  /**
   * Since when no report proved that the worker is alive; for a new owner, at the earliest since it
   * took over.
   */
  public long silentSinceMs() {
    return Math.max(lastReportMs, ownedSinceMs);
  }

  /** Notes that the worker missed two reports: until the next one the machine gets no new task. */
  public void markReportsOverdue() {
    if (!reportsOverdue && report != null) {
      reportsOverdue = true;
      notifyChange();
    }
  }

  /** Whether the worker missed reports, so that the machine gets no new task. */
  public boolean reportsOverdue() {
    return reportsOverdue;
  }

  /** When the last report was received that proved the worker alive. */
  public long lastReportMs() {
    return lastReportMs;
  }

  /**
   * Notes that an unsolicited report was answered, which may renew the worker's lease.
   *
   * @param epoch the epoch in the answer
   */
  public void recordAnswer(long nowMs, long epoch) {
    lastAnswerEpoch = epoch;
    lastAnswerMs = nowMs;
    latestLeaseRenewalMs = Math.max(latestLeaseRenewalMs, nowMs);
  }

  /** The latest time at which any controller may have renewed the worker's lease. */
  public long latestLeaseRenewalMs() {
    return latestLeaseRenewalMs;
  }

  /**
   * Whether a report has shown the epoch of this node's view: from then on the worker accepts no
   * commands from controllers with a lower epoch.
   */
  public boolean epochAcknowledged() {
    return epochAcknowledged;
  }

  /** Sets whether a report has shown the epoch of this node's view. */
  public void setEpochAcknowledged(boolean value) {
    epochAcknowledged = value;
  }

  void recordFailure(Job job) {
    if (failedJobs.size() < MAX_FAILED_JOBS) {
      failedJobs.add(job);
    }
    failures++;
    notifyChange();
  }

  void recordSuccess() {
    if (!failedJobs.isEmpty()) {
      failedJobs.clear();
      notifyChange();
    }
  }

  /** Notes that a job that failed here became suspected, or is no longer suspected. */
  void jobSuspicionChanged() {
    notifyChange();
  }

  /** The number of jobs that failed here and are not suspected as the cause themselves. */
  public int failedJobCount() {
    int count = 0;
    for (Job job : failedJobs) {
      count += job.isSuspected() ? 0 : 1;
    }
    return count;
  }

  /**
   * Until when the machine is quarantined and gets no task; 0: it is not. The failure of a single
   * job may be its own fault, so the quarantine is short; successive failures of several jobs are
   * attributed to the machine.
   */
  public long quarantinedUntilMs(long nowMs) {
    if (failuresHandled != failures) {
      failuresHandled = failures;
      lastFailureMs = nowMs;
    }
    int jobCount = failedJobCount();
    if (jobCount == 0) {
      return 0;
    }
    return lastFailureMs
        + ((jobCount > 1 ? SEVERAL_JOBS_QUARANTINE_MS : SINGLE_JOB_QUARANTINE_MS)
            << Math.min(jobCount - 1, MAX_QUARANTINE_DOUBLINGS));
  }
}
