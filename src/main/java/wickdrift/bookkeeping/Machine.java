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

/** One machine: its durable record, what is booked on it, and what its owner last heard. */
public final class Machine {
  /** The life of a machine as the durable record tells it. */
  public enum Phase {
    /** Only named by a task's record; nothing else is known yet. */
    UNKNOWN,
    BOOTING,
    UP,
    /** Silent for too long: nothing new goes there. */
    LOST,
    /** On its way out: nothing new goes there. */
    DRAINING,
    /** The cloud answered its deletion: nothing runs there any more. */
    GONE;

    /** Changes come from several nodes; one that does not follow on what is known is void. */
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

  /** The durable part. */
  public record Info(String type, String zone, boolean spot, Phase phase, long phaseSinceWallMs) {
    public Info withPhase(Phase next, long nowWallMs) {
      return new Info(type, zone, spot, next, nowWallMs);
    }
  }

  /** A live attempt's place in its job, and since when this process has known it. */
  public static final class Slot {
    private final Job job;
    private final int index;
    private long knownSinceMs;

    Slot(Job job, int index) {
      this.job = job;
      this.index = index;
    }

    public Job job() {
      return job;
    }

    public int index() {
      return index;
    }

    public TaskState state() {
      return job.task(index);
    }

    /** The task's name, as workers know it. */
    public String taskName() {
      return job.id() + "/" + index;
    }

    /** Whether the attempt is to end: its job was withdrawn, or it is being stopped. */
    public boolean mustStop() {
      return job.withdrawnOrAnnounced() || state().stop() != TaskState.Stop.NONE;
    }

    public long ageMs(long nowMs) {
      return knownSinceMs == 0 ? 0 : nowMs - knownSinceMs;
    }

    /**
     * How much longer it may run, by its owner's estimate; what outlives that, half as long again.
     */
    public double estimatedRemainingMs(long nowMs) {
      double estimateMs = job.spec().estimateS() * 1000;
      if (job.spec().shape() == JobSpec.Shape.SERVICE) {
        return Double.MAX_VALUE;
      }
      return Math.max(estimateMs - ageMs(nowMs), ageMs(nowMs) / 2.0);
    }
  }

  /** An image that the machine has, or fetches since that time. */
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

  /** One answer may be lost; after two that were not heeded it is taken for deaf. */
  private static final int MAX_UNACKNOWLEDGED_ANSWERS = 2;

  /** How much longer than its nominal time a fetch is taken to last before it is held for done. */
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

  /** What should be there has changed since the owner last looked. */
  private boolean changed;

  // What only its owner knows, from reports; lost with the process.
  Report report;
  private long lastReportMs;
  private boolean reportsOverdue;
  private long ownedSinceMs;
  private long lastAnswerMs;
  private long latestLeaseRenewalMs;
  private boolean epochAcknowledged;

  /** Of the last answer to a report of its own; 0: none since it is ours. */
  private long lastAnswerEpoch;

  /** Whether a report since it is ours was surely no copy: it shows what it was answered. */
  private boolean provedAlive;

  /** Since when its worker shows that nothing reaches it; 0: no reason to think so. */
  private long unreachableForCommandsSinceMs;

  /** How many reports in a row showed an older token than the answer before had. */
  private int unacknowledgedAnswers;

  /** The newest report that came by itself and was surely no copy. */
  private Report lastUnsolicitedReport;

  /** The highest token that a report of its own has shown; -1: none has come. */
  private long highestReportedEpoch = -1;

  /** What shows an older token is from before its worker began anew. */
  private long trustedFromEpoch;

  // From the logs, alike at all nodes: what failed here since a task last worked.
  private final Set<Job> failedJobs = new LinkedHashSet<>();
  private int failures;
  private int failuresHandled;
  private long lastFailureMs;

  /**
   * @param number its dense number in this process
   * @param onChange told once of each run of changes, until {@link #acknowledgeChanges} is called
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

  /** The changes so far were taken note of. */
  void acknowledgeChanges() {
    changeNotified = false;
  }

  public int number() {
    return number;
  }

  /** Where it is, or null when neither its record nor a report has told that yet. */
  public String zone() {
    return info != null ? info.zone() : report != null ? report.zone() : null;
  }

  /** The member whose part it is in; worked out once a view, for reports ask for it each time. */
  public String owner(View view) {
    String zone = zone();
    if (ownerViewEpoch != view.epoch() || !Objects.equals(zone, ownerZone)) {
      owner = view.owner(name, zone);
      ownerViewEpoch = view.epoch();
      ownerZone = zone;
    }
    return owner;
  }

  public String name() {
    return name;
  }

  /** Machines whose names differ in the last letter only are stored together. */
  public static String archiveBucketOf(String name) {
    return name.substring(0, Math.max(1, name.length() - 1));
  }

  public Info info() {
    return info;
  }

  public Phase phase() {
    return info == null ? Phase.UNKNOWN : info.phase();
  }

  public List<Slot> slots() {
    return slots;
  }

  /** For how long this process has known a task to be here; 0 if it is not. */
  public long ageMs(Job job, int index, long nowMs) {
    for (Slot slot : slots) {
      if (slot.index == index && slot.job == job) {
        return slot.ageMs(nowMs);
      }
    }
    return 0;
  }

  public double cpus() {
    return cpus;
  }

  public double gpus() {
    return gpus;
  }

  public double memoryGb() {
    return memoryGb;
  }

  void restore(Info known) {
    info = known;
    notifyChange();
  }

  /**
   * The one function by which its phase changes: false if that does not follow on what is known.
   */
  boolean transitionTo(Info next) {
    if (!phase().canTransitionTo(next.phase())) {
      return false;
    }
    info = next;
    notifyChange();
    return true;
  }

  /** Only one that is gone and empty. */
  public boolean mayBeForgotten() {
    return phase() == Phase.GONE && slots.isEmpty();
  }

  boolean forget() {
    if (!mayBeForgotten()) {
      return false;
    }
    info = null;
    notifyChange();
    return true;
  }

  void markChanged() {
    changed = true;
    notifyChange();
  }

  /** Whether what should be there has changed since the last call. */
  public boolean pollChanged() {
    boolean was = changed;
    changed = false;
    return was;
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

  /** Summed anew each time: adding and taking away doubles would drift. */
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

  // ---- images: what this process can tell; the cache keeps the most recently used ----

  /** Notes the images of what is booked here; call it before asking about images. */
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

  /** A report shows a task that needs it past its fetch. */
  public void markImageReady(String image, double sizeGb, long nowMs) {
    Image entry = images.computeIfAbsent(image, k -> new Image(sizeGb, nowMs));
    if (!entry.ready) {
      entry.ready = true;
      notifyChange();
    }
  }

  /** It is there, or on its way. */
  public boolean hasImage(String image) {
    return images.containsKey(image);
  }

  public Set<String> images() {
    return images.keySet();
  }

  /** Until when it is taken to fetch images, as far as this process can tell. */
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

  // ---- the owner's own view ----

  public Report report() {
    return report;
  }

  /**
   * Takes a report that is newer than what is known.
   *
   * @param viewEpoch of the view
   * @return whether it is surely no late copy: it shows the epoch, or what the last report was
   *     answered with. A copy may be the first that a new owner hears, and must not make a dead
   *     machine look alive; so until one is proved the machine takes no task, and silence goes on
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
   * The same of what it answered to a command. That it answers does not end its silence: a worker
   * that reaches no controller does too, and loses all it has with its lease.
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
      if (report == null || newReport.tenure() > report.tenure()) {
        // Its session began by now, and with that a lease that nobody has renewed: a worker that
        // reaches no controller goes from session to session, and runs what it is told straight.
        latestLeaseRenewalMs = Math.max(latestLeaseRenewalMs, nowMs);
      }
      report = newReport;
    }
    provedAlive |= provesAlive;
    return provesAlive;
  }

  /** From which token on its reports count; 0: any. */
  public long trustedFromEpoch() {
    return trustedFromEpoch;
  }

  /** Whether it has shown, since it is ours, that it is there now. */
  public boolean provedAlive() {
    return provedAlive;
  }

  /** Whether a report is older than one that came by itself: nobody waits for its answer. */
  public boolean hasNewerUnsolicitedReport(Report other) {
    return lastUnsolicitedReport != null && other.notNewerThan(lastUnsolicitedReport);
  }

  /**
   * Its worker has begun anew, under the same name, and counts from one again: what was heard of
   * the one before says nothing of this one. Late copies of what that one said may look newer than
   * what this one says, so nothing counts until it shows a token that the other never had.
   *
   * @param maxSeenEpoch the highest token that the one before may have seen
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
   * What a report that came by itself tells of whether its worker hears. Never judged by our having
   * answered alone: an answer may be lost with nobody deaf, and a worker may be slow.
   *
   * @param provesAlive as {@link #receiveReport} said of it
   * @param lacksCommandedTask whether it lacks a task that it was long since told to run
   * @param leaseMs of the workers
   */
  public void updateCommandReachability(
      Report newReport, boolean provesAlive, boolean lacksCommandedTask, long leaseMs, long nowMs) {
    // Had the last answer reached it, its lease could not have ended yet.
    boolean leaseLapsed =
        lastUnsolicitedReport != null
            && newReport.tenure() > lastUnsolicitedReport.tenure()
            && nowMs - lastAnswerMs < leaseMs * 3 / 4;
    boolean epochRose = highestReportedEpoch >= 0 && newReport.epoch() > highestReportedEpoch;
    highestReportedEpoch = Math.max(highestReportedEpoch, newReport.epoch());
    unacknowledgedAnswers = provesAlive || lastAnswerEpoch == 0 ? 0 : unacknowledgedAnswers + 1;
    if (provesAlive) {
      lastUnsolicitedReport = newReport;
    }
    if (epochRose) {
      markReachableForCommands();
    } else if (leaseLapsed
        || lacksCommandedTask
        || unacknowledgedAnswers >= MAX_UNACKNOWLEDGED_ANSWERS) {
      if (unreachableForCommandsSinceMs == 0) {
        unreachableForCommandsSinceMs = nowMs;
        notifyChange();
      }
    }
  }

  /** Something that it was told has surely reached it. */
  public void markReachableForCommands() {
    unacknowledgedAnswers = 0;
    if (unreachableForCommandsSinceMs > 0) {
      unreachableForCommandsSinceMs = 0;
      notifyChange();
    }
  }

  /** Since when nothing reaches it, as its own reports show; 0: no reason to think so. */
  public long unreachableForCommandsSinceMs() {
    return unreachableForCommandsSinceMs;
  }

  /** A new owner starts with no report: an old one proves nothing to it. */
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

  /** Since when nothing was heard, for whoever answers it; a new owner has not listened before. */
  public long silentSinceMs() {
    return Math.max(lastReportMs, ownedSinceMs);
  }

  /** Its worker has missed two reports: until the next one it takes no new task. */
  public void markReportsOverdue() {
    if (!reportsOverdue && report != null) {
      reportsOverdue = true;
      notifyChange();
    }
  }

  public boolean reportsOverdue() {
    return reportsOverdue;
  }

  public long lastReportMs() {
    return lastReportMs;
  }

  /**
   * @param epoch of the answer
   */
  public void recordAnswer(long nowMs, long epoch) {
    lastAnswerEpoch = epoch;
    lastAnswerMs = nowMs;
    latestLeaseRenewalMs = Math.max(latestLeaseRenewalMs, nowMs);
  }

  public long lastAnswerMs() {
    return lastAnswerMs;
  }

  /** The latest time at which anyone may have renewed the worker's lease. */
  public long latestLeaseRenewalMs() {
    return latestLeaseRenewalMs;
  }

  /** True once a report has shown our own epoch: then no older controller can command it. */
  public boolean epochAcknowledged() {
    return epochAcknowledged;
  }

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

  /** A job that failed here has become suspect itself, or is no longer. */
  void jobSuspicionChanged() {
    notifyChange();
  }

  /** How many jobs failed here, of those whose failures are not taken for their own. */
  public int failedJobCount() {
    int count = 0;
    for (Job job : failedJobs) {
      count += job.isSuspected() ? 0 : 1;
    }
    return count;
  }

  /**
   * Until when nothing goes here; 0: no reason. One job's failure may be its own, so it is a short
   * while; failures of several jobs, one after the other, are the machine's.
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
