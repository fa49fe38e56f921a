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
    private long sinceMs;

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
      return sinceMs == 0 ? 0 : nowMs - sinceMs;
    }

    /**
     * How much longer it may run, by its owner's estimate; what outlives that, half as long again.
     */
    public double estimatedRemainingMs(long nowMs) {
      double estimate = job.spec().estimateS() * 1000;
      if (job.spec().shape() == JobSpec.Shape.SERVICE) {
        return Double.MAX_VALUE;
      }
      return Math.max(estimate - ageMs(nowMs), ageMs(nowMs) / 2.0);
    }
  }

  /** An image that the machine has, or fetches since that time. */
  private static final class Image {
    final double gb;
    final long sinceMs;
    boolean ready;

    Image(double gb, long sinceMs) {
      this.gb = gb;
      this.sinceMs = sinceMs;
    }
  }

  private static final long SHUN_MS = 10_000;
  private static final long SICK_MS = 60_000;
  private static final int SHUN_DOUBLINGS = 2;
  private static final int ACCUSERS_MOST = 8;

  /** One answer may be lost; after two that were not heeded it is taken for deaf. */
  private static final int UNHEEDED_MOST = 2;

  /** How much longer than its nominal time a fetch is taken to last before it is held for done. */
  private static final double FETCH_SLACK = 1.4;

  private final String name;
  private final int number;
  private final Consumer<Machine> onChange;
  private boolean noted;
  private String owner;
  private long ownerEpoch;
  private String ownerZone;
  private final List<Slot> live = new ArrayList<>();
  private final LinkedHashMap<String, Image> images = new LinkedHashMap<>(8, 0.75f, true);
  private Info info;
  private double cpus;
  private double gpus;
  private double memoryGb;

  /** What should be there has changed since the owner last looked. */
  private boolean changed;

  // What only its owner knows, from reports; lost with the process.
  Report report;
  private long heardMs;
  private boolean quiet;
  private long ownedSinceMs;
  private long answeredMs;
  private long lapseBaseMs;
  private boolean synced;

  /** Of the last answer to a report of its own; 0: none since it is ours. */
  private long answeredEpoch;

  /** Whether a report since it is ours was surely no copy: it shows what it was answered. */
  private boolean proved;

  /** Since when its worker shows that nothing reaches it; 0: no reason to think so. */
  private long deafSinceMs;

  /** How many reports in a row showed an older token than the answer before had. */
  private int unheeded;

  /** The newest report that came by itself and was surely no copy. */
  private Report own;

  /** The highest token that a report of its own has shown; -1: none has come. */
  private long shownEpoch = -1;

  /** What shows an older token is from before its worker began anew. */
  private long trustedFrom;

  // From the logs, alike at all nodes: what failed here since a task last worked.
  private final Set<Job> accusers = new LinkedHashSet<>();
  private int faults;
  private int faultsSeen;
  private long faultAtMs;

  /**
   * @param number its dense number in this process
   * @param onChange told once of each run of changes, until {@link #acknowledgeChanges} is called
   */
  Machine(String name, int number, Consumer<Machine> onChange) {
    this.name = name;
    this.number = number;
    this.onChange = onChange;
  }

  private void note() {
    if (!noted) {
      noted = true;
      onChange.accept(this);
    }
  }

  /** The changes so far were taken note of. */
  void acknowledgeChanges() {
    noted = false;
  }

  public int number() {
    return number;
  }

  /** Where it is, or null when neither its record nor a report has told that yet. */
  public String zone() {
    return info != null ? info.zone() : report != null ? report.zone() : null;
  }

  /** The member whose part it is in; worked out once a view, for reports ask for it each time. */
  public String owner(View v) {
    String zone = zone();
    if (ownerEpoch != v.epoch() || !Objects.equals(zone, ownerZone)) {
      owner = v.owner(name, zone);
      ownerEpoch = v.epoch();
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
    return live;
  }

  /** For how long this process has known a task to be here; 0 if it is not. */
  public long ageMs(Job job, int index, long nowMs) {
    for (Slot s : live) {
      if (s.index == index && s.job == job) {
        return s.ageMs(nowMs);
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
    note();
  }

  /**
   * The one function by which its phase changes: false if that does not follow on what is known.
   */
  boolean transitionTo(Info next) {
    if (!phase().canTransitionTo(next.phase())) {
      return false;
    }
    info = next;
    note();
    return true;
  }

  /** Only one that is gone and empty. */
  public boolean mayBeForgotten() {
    return phase() == Phase.GONE && live.isEmpty();
  }

  boolean forget() {
    if (!mayBeForgotten()) {
      return false;
    }
    info = null;
    note();
    return true;
  }

  void markChanged() {
    changed = true;
    note();
  }

  /** Whether what should be there has changed since the last call. */
  public boolean pollChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  void add(Slot s) {
    changed = true;
    live.add(s);
    recount();
  }

  void remove(Job job, int index) {
    live.removeIf(s -> s.index() == index && s.job() == job);
    recount();
  }

  /** Summed anew each time: adding and taking away doubles would drift. */
  private void recount() {
    note();
    cpus = 0;
    gpus = 0;
    memoryGb = 0;
    for (Slot s : live) {
      cpus += s.job().spec().cpus();
      gpus += s.job().spec().gpus();
      memoryGb += s.job().spec().memoryGb();
    }
  }

  // ---- images: what this process can tell; the cache keeps the most recently used ----

  /** Notes the images of what is booked here; call it before asking about images. */
  public void updateImages(long nowMs, double cacheGb) {
    for (Slot s : live) {
      if (s.sinceMs == 0) {
        s.sinceMs = nowMs;
      }
      String image = s.job().spec().image();
      if (images.get(image) == null) {
        images.put(image, new Image(s.job().spec().imageGb(), nowMs));
      }
    }
    double total = 0;
    for (Image i : images.values()) {
      total += i.gb;
    }
    var oldest = images.entrySet().iterator();
    while (total > cacheGb && images.size() > 1) {
      total -= oldest.next().getValue().gb;
      oldest.remove();
    }
  }

  /** A report shows a task that needs it past its fetch. */
  public void markImageReady(String image, double gb, long nowMs) {
    Image i = images.computeIfAbsent(image, k -> new Image(gb, nowMs));
    if (!i.ready) {
      i.ready = true;
      note();
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
  public long estimatedFetchEndMs(double gbPerS) {
    long until = 0;
    for (Image i : images.values()) {
      if (!i.ready && gbPerS > 0) {
        until = Math.max(until, i.sinceMs + (long) (i.gb / gbPerS * 1000 * FETCH_SLACK));
      }
    }
    return until;
  }

  // ---- the owner's own view ----

  public Report report() {
    return report;
  }

  /**
   * Takes a report that is newer than what is known.
   *
   * @param epochNow of the view
   * @return whether it is surely no late copy: it shows the epoch, or what the last report was
   *     answered with. A copy may be the first that a new owner hears, and must not make a dead
   *     machine look alive; so until one is proved the machine takes no task, and silence goes on
   */
  public boolean receiveReport(Report r, long epochNow, long nowMs) {
    boolean proves = receiveReply(r, epochNow, nowMs);
    if (proves) {
      if (quiet) {
        note();
      }
      quiet = false;
      heardMs = nowMs;
    }
    return proves;
  }

  /**
   * The same of what it answered to a command. That it answers does not end its silence: a worker
   * that reaches no controller does too, and loses all it has with its lease.
   */
  public boolean receiveReply(Report r, long epochNow, long nowMs) {
    boolean answered = answeredEpoch > 0 && r.epoch() >= answeredEpoch;
    boolean proves = r.epoch() >= trustedFrom && (r.epoch() == epochNow || answered);
    if (report == null || proves && !proved) {
      note();
    }
    if (proves || !proved) {
      if (report == null || r.tenure() > report.tenure()) {
        // Its session began by now, and with that a lease that nobody has renewed: a worker that
        // reaches no controller goes from session to session, and runs what it is told straight.
        lapseBaseMs = Math.max(lapseBaseMs, nowMs);
      }
      report = r;
    }
    proved |= proves;
    return proves;
  }

  /** From which token on its reports count; 0: any. */
  public long trustedFromEpoch() {
    return trustedFrom;
  }

  /** Whether it has shown, since it is ours, that it is there now. */
  public boolean provedAlive() {
    return proved;
  }

  /** Whether a report is older than one that came by itself: nobody waits for its answer. */
  public boolean hasNewerUnsolicitedReport(Report r) {
    return own != null && r.notNewerThan(own);
  }

  /**
   * Its worker has begun anew, under the same name, and counts from one again: what was heard of
   * the one before says nothing of this one. Late copies of what that one said may look newer than
   * what this one says, so nothing counts until it shows a token that the other never had.
   *
   * @param epochNow the highest token that the one before may have seen
   */
  public void onWorkerRestart(long epochNow) {
    trustedFrom = epochNow + 1;
    synced = false;
    shownEpoch = -1;
    report = null;
    own = null;
    proved = false;
    answeredEpoch = 0;
    markReachableForCommands();
    note();
  }

  /**
   * What a report that came by itself tells of whether its worker hears. Never judged by our having
   * answered alone: an answer may be lost with nobody deaf, and a worker may be slow.
   *
   * @param proves as {@link #receiveReport} said of it
   * @param ignored whether it lacks a task that it was long since told to run
   * @param leaseMs of the workers
   */
  public void updateCommandReachability(
      Report r, boolean proves, boolean ignored, long leaseMs, long nowMs) {
    // Had the last answer reached it, its lease could not have ended yet.
    boolean lapsed =
        own != null && r.tenure() > own.tenure() && nowMs - answeredMs < leaseMs * 3 / 4;
    boolean rose = shownEpoch >= 0 && r.epoch() > shownEpoch;
    shownEpoch = Math.max(shownEpoch, r.epoch());
    unheeded = proves || answeredEpoch == 0 ? 0 : unheeded + 1;
    if (proves) {
      own = r;
    }
    if (rose) {
      markReachableForCommands();
    } else if (lapsed || ignored || unheeded >= UNHEEDED_MOST) {
      if (deafSinceMs == 0) {
        deafSinceMs = nowMs;
        note();
      }
    }
  }

  /** Something that it was told has surely reached it. */
  public void markReachableForCommands() {
    unheeded = 0;
    if (deafSinceMs > 0) {
      deafSinceMs = 0;
      note();
    }
  }

  /** Since when nothing reaches it, as its own reports show; 0: no reason to think so. */
  public long unreachableForCommandsSinceMs() {
    return deafSinceMs;
  }

  /** A new owner starts with no report: an old one proves nothing to it. */
  public void resetReports(long lapseBase, long nowMs) {
    ownedSinceMs = nowMs;
    note();
    report = null;
    quiet = false;
    synced = false;
    answeredEpoch = 0;
    proved = false;
    deafSinceMs = 0;
    unheeded = 0;
    shownEpoch = -1;
    own = null;
    lapseBaseMs = Math.max(lapseBaseMs, lapseBase);
  }

  /** Since when nothing was heard, for whoever answers it; a new owner has not listened before. */
  public long silentSinceMs() {
    return Math.max(heardMs, ownedSinceMs);
  }

  /** Its worker has missed two reports: until the next one it takes no new task. */
  public void markReportsOverdue() {
    if (!quiet && report != null) {
      quiet = true;
      note();
    }
  }

  public boolean reportsOverdue() {
    return quiet;
  }

  public long lastReportMs() {
    return heardMs;
  }

  /**
   * @param epoch of the answer
   */
  public void recordAnswer(long nowMs, long epoch) {
    answeredEpoch = epoch;
    answeredMs = nowMs;
    lapseBaseMs = Math.max(lapseBaseMs, nowMs);
  }

  public long answeredMs() {
    return answeredMs;
  }

  /** The latest time at which anyone may have renewed the worker's lease. */
  public long latestLeaseRenewalMs() {
    return lapseBaseMs;
  }

  /** True once a report has shown our own epoch: then no older controller can command it. */
  public boolean epochAcknowledged() {
    return synced;
  }

  public void setEpochAcknowledged(boolean value) {
    synced = value;
  }

  void failed(Job job) {
    if (accusers.size() < ACCUSERS_MOST) {
      accusers.add(job);
    }
    faults++;
    note();
  }

  void worked() {
    if (!accusers.isEmpty()) {
      accusers.clear();
      note();
    }
  }

  /** A job that failed here has become suspect itself, or is no longer. */
  void judgedAnew() {
    note();
  }

  /** How many jobs failed here, of those whose failures are not taken for their own. */
  public int failedJobCount() {
    int n = 0;
    for (Job j : accusers) {
      n += j.isSuspected() ? 0 : 1;
    }
    return n;
  }

  /**
   * Until when nothing goes here; 0: no reason. One job's failure may be its own, so it is a short
   * while; failures of several jobs, one after the other, are the machine's.
   */
  public long quarantinedUntilMs(long nowMs) {
    if (faultsSeen != faults) {
      faultsSeen = faults;
      faultAtMs = nowMs;
    }
    int n = failedJobCount();
    if (n == 0) {
      return 0;
    }
    return faultAtMs + ((n > 1 ? SICK_MS : SHUN_MS) << Math.min(n - 1, SHUN_DOUBLINGS));
  }
}
