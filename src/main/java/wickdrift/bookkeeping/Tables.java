package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.NodeRecord;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.Unsigned;

/** Replica of the stored state as of a revision; only changes from the state service modify it. */
public final class Tables implements StateServiceClient.ChangeListener {
  private static final Logger LOG = LoggerFactory.getLogger(Tables.class);

  /**
   * The record that a leader rewrites when it claims machines of several partitions, from {@link
   * Gate#TAKES} on: every owner's placement is conditional on it.
   */
  public static final String CLAIMS_KEY = "w/x";

  private static final int MAX_REMEMBERED_TERMINAL_STATES = 4096;
  private static final int MAX_ANNOUNCED_WITHDRAWALS = 20_000;

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, Partition> partitions = new HashMap<>();
  private final Map<String, String> members = new TreeMap<>();
  private final Map<String, String> memberZones = new TreeMap<>();
  private final Map<String, Long> memberStamps = new HashMap<>();
  private final Map<String, LevelRange> memberLevels = new HashMap<>();
  private final NodeRegistry registry;
  private final LevelRange supportedLevels;

  /** Reason why a record cannot be read, by key. While there is any, this node decides nothing. */
  private final Map<String, String> unreadable = new LinkedHashMap<>();

  /** Whether logs, chunks or archive buckets were skipped as unreadable; only a load recovers. */
  private boolean needsReload;

  private String blockedReason;

  /** Keys of pages, chunks and partitions in an encoding older than {@link Encoding#NUMBERED}. */
  private final TreeSet<String> keysInOldEncoding = new TreeSet<>();

  private static final TreeMap<Long, LogPage> NO_PAGES = new TreeMap<>();
  private static final ArchiveBucket EMPTY_BUCKET = new ArchiveBucket(0, 0, Map.of());

  private final Map<String, TreeMap<Long, LogPage>> pagesByNode = new HashMap<>();
  private final Map<String, ArchiveBucket> archiveBuckets = new HashMap<>();
  private long appliedRev;
  private final OrphanedRecords orphans = new OrphanedRecords();

  /** Jobs that appeared after a chunk of theirs had been skipped for lack of the job. */
  private final Set<String> jobsWithSkippedChunks = new HashSet<>();

  private final OverflowRecords overflowRecords = new OverflowRecords();

  private final Map<String, TerminalState> terminalStates =
      new LinkedHashMap<>(256, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TerminalState> eldest) {
          return size() > MAX_REMEMBERED_TERMINAL_STATES;
        }
      };
  private final DependencyGraph dependencies = new DependencyGraph(jobs::get, this::terminalState);

  /** Ended jobs whose terminal state is not yet moved from their own record to the job history. */
  private final Map<String, PendingHistoryEntry> pendingHistory = new LinkedHashMap<>();

  /** Terminal state of a job, and the stamp of the job record that holds it. */
  public record PendingHistoryEntry(TerminalState terminalState, long stamp) {}

  /**
   * Withdrawals announced by a peer, with a revision that holds them and is not applied here yet. A
   * node that the state service does not serve learns of a withdrawal in no other way.
   */
  private final Map<String, Long> announcedWithdrawals = new HashMap<>();

  private View view;
  private long viewStamp;
  private long claimsStamp;
  private final TeamUsage usage = new TeamUsage();
  private final Runnable onApplied;
  private final List<Machine> changedMachines = new ArrayList<>();
  private final List<Job> changedJobs = new ArrayList<>();
  private final Set<String> reservedMachines = new HashSet<>();
  private int nextMachineNumber;

  /**
   * @param names all controllers that the settings name, sorted
   * @param supportedLevels levels that this build reads and writes
   * @param onApplied called after each batch of changes
   */
  public Tables(List<String> names, LevelRange supportedLevels, Runnable onApplied) {
    this.registry = new NodeRegistry(names);
    this.supportedLevels = supportedLevels;
    this.onApplied = onApplied;
  }

  /** The controllers' numbers and supported levels, and the operator overrides. */
  public NodeRegistry registry() {
    return registry;
  }

  /** The level in force, as of the tables' revision. */
  public int level() {
    return view == null ? 1 : view.level();
  }

  /** Whether the feature behind a gate is enabled, as of the tables' revision. */
  public boolean isOpen(Gate gate) {
    return level() >= gate.level();
  }

  /** Encoding in which the records that {@link Gate#NUMBERS} changes are written at this level. */
  public int encoding() {
    return Encoding.forLevel(level());
  }

  /** Reason why no decision may be based on these tables, or null. */
  public String blockedReason() {
    return blockedReason;
  }

  /** Keys of pages, chunks and partitions in an older encoding than the level in force requires. */
  public TreeSet<String> keysInOldEncoding() {
    return encoding() == Encoding.FIRST ? new TreeSet<>() : keysInOldEncoding;
  }

  /** Reason why a stored record cannot be read, by key. */
  public Map<String, String> unreadableRecords() {
    return unreadable;
  }

  private void updateBlockedReason() {
    String reason = null;
    if (!unreadable.isEmpty()) {
      Map.Entry<String, String> first = unreadable.entrySet().iterator().next();
      reason = "record " + first.getKey() + " can't be read: " + first.getValue();
    } else if (view != null && !supportedLevels.includes(view.level())) {
      reason =
          "level "
              + view.level()
              + " of the stored state is in force, and this build speaks "
              + supportedLevels;
    }
    if (reason != null && !reason.equals(blockedReason)) {
      LOG.error("stays outside and decides nothing: {}", reason);
    } else if (reason == null && blockedReason != null) {
      LOG.warn("stored state is readable again, decisions resume");
    }
    blockedReason = reason;
  }

  private void noteUnreadable(String key, Exception why) {
    unreadable.putIfAbsent(key, why instanceof BadMessage ? why.getMessage() : "malformed: " + why);
  }

  @Override
  public boolean needsReload() {
    // After a load, the changes deliver a skipped chunk of a new job again. One that is still
    // skipped was read without its job and is not among the changes.
    jobsWithSkippedChunks.removeIf(id -> !jobs.containsKey(id) || !orphans.hasChunkOf(id));
    return (needsReload || !jobsWithSkippedChunks.isEmpty()) && unreadable.isEmpty();
  }

  private void noteEncoding(StateServiceClient.Change change) throws BadMessage {
    if (change.value() != null && Encoding.versionOf(change.value()) < Encoding.NUMBERED) {
      keysInOldEncoding.add(change.key());
    } else {
      keysInOldEncoding.remove(change.key());
    }
  }

  /** Returns the machines changed or removed since the last call, each once. */
  public List<Machine> drainChangedMachines() {
    List<Machine> changed = new ArrayList<>(changedMachines);
    changedMachines.clear();
    changed.forEach(Machine::acknowledgeChanges);
    return changed;
  }

  /** Returns the jobs changed or ended since the last call, each once. */
  public List<Job> drainChangedJobs() {
    List<Job> changed = new ArrayList<>(changedJobs);
    changedJobs.clear();
    changed.forEach(Job::acknowledgeChanges);
    return changed;
  }

  public TeamUsage usage() {
    return usage;
  }

  /** Whether the machine is reserved for a waiting gang. */
  public boolean isReserved(Machine machine) {
    return reservedMachines.contains(machine.name());
  }

  private void updateReservations() {
    Set<String> reserved = new HashSet<>();
    // From VIEWS on, a new view rewrites no partition: reservations of older epochs are void.
    boolean ofView = isOpen(Gate.VIEWS);
    partitions.values().stream()
        .filter(p -> !ofView || p.epoch() == view.epoch())
        .forEach(p -> reserved.addAll(p.reserved()));
    if (!reserved.equals(reservedMachines)) {
      Set<String> changed = new HashSet<>(reserved);
      changed.addAll(reservedMachines);
      reservedMachines.clear();
      reservedMachines.addAll(reserved);
      for (String name : changed) {
        Machine machine = machines.get(name);
        if (machine != null) {
          machine.markChanged();
        }
      }
    }
  }

  public Collection<Job> jobs() {
    return jobs.values();
  }

  public Job job(String id) {
    return jobs.get(id);
  }

  public Collection<Machine> machines() {
    return machines.values();
  }

  public Machine machine(String name) {
    return machines.get(name);
  }

  /** The machine of that name, created when a report or the cloud names it for the first time. */
  public Machine getOrCreateMachine(String name) {
    return machines.computeIfAbsent(
        name, k -> new Machine(k, nextMachineNumber++, changedMachines::add));
  }

  public Partition partition(String node) {
    return partitions.get(node);
  }

  public Map<String, Partition> partitions() {
    return partitions;
  }

  /**
   * A node's partition as decisions and rewrites must see it. From {@link Gate#VIEWS} on, one
   * written under another view reserves nothing and a missing one is empty; before, a missing one
   * is null.
   */
  public Partition currentPartition(String node) {
    Partition partition = partitions.get(node);
    if (!isOpen(Gate.VIEWS)) {
      return partition;
    }
    Partition current = partition == null ? Partition.empty(view.epoch(), encoding()) : partition;
    return current.epoch() == view.epoch() ? current : current.inEpoch(view.epoch());
  }

  /**
   * Nodes whose partition was last written before placements became conditional on the view. A
   * transaction prepared by then is conditional on that record alone and may still be committed.
   */
  public List<String> unfencedPartitions() {
    List<String> nodes = new ArrayList<>();
    if (isOpen(Gate.VIEWS)) {
      partitions.forEach(
          (n, p) -> {
            if (p.epoch() < view.viewsGateEpoch()) {
              nodes.add(n);
            }
          });
    }
    return nodes;
  }

  public Map<String, String> members() {
    return members;
  }

  /** The zone of each member that reports one. */
  public Map<String, String> memberZones() {
    return memberZones;
  }

  public long memberStamp(String node) {
    return memberStamps.getOrDefault(node, 0L);
  }

  public View view() {
    return view;
  }

  public long viewStamp() {
    return viewStamp;
  }

  /** The stamp of {@link #CLAIMS_KEY}; 0 while no leader has claimed a machine. */
  public long claimsStamp() {
    return claimsStamp;
  }

  /** The chunk and overflow records whose job has ended, ordered by key; they can be deleted. */
  public List<OrphanedRecords.Orphan> orphanedRecords() {
    return orphans.withoutJobIn(jobs.keySet());
  }

  /** Whether an overflow record is stored. */
  public boolean hasOverflowRecord(String key) {
    return overflowRecords.contains(key);
  }

  /**
   * The stamp that the record of an ended job must have for the job to be still over: that of the
   * record that holds its terminal state, or 0 if the record is deleted.
   */
  public long recordStampOfEndedJob(String id) {
    PendingHistoryEntry pending = pendingHistory.get(id);
    return pending == null ? 0 : pending.stamp;
  }

  /** Terminal state of a job if it is held here, else null. It is final, so it is never stale. */
  public TerminalState terminalState(String id) {
    PendingHistoryEntry pending = pendingHistory.get(id);
    return pending != null ? pending.terminalState : terminalStates.get(id);
  }

  /** Terminal states that are still to be moved to the job history, oldest first. */
  public Map<String, PendingHistoryEntry> pendingHistory() {
    return pendingHistory;
  }

  /**
   * Records a withdrawal before the tables hold it; being final, it is kept until they reach {@code
   * rev}, as of which the job's record is withdrawn. False if too many are held to keep this one.
   */
  public boolean announceWithdrawal(String id, long rev) {
    if (!Unsigned.isGreater(rev, appliedRev) || announcedWithdrawals.containsKey(id)) {
      return true;
    }
    if (announcedWithdrawals.size() >= MAX_ANNOUNCED_WITHDRAWALS) {
      return false;
    }
    announcedWithdrawals.put(id, rev);
    Job job = jobs.get(id);
    if (job != null) {
      job.announceWithdrawal();
    }
    return true;
  }

  /** Whether the job's withdrawal was announced and the tables do not hold it yet. */
  public boolean isWithdrawalAnnounced(String id) {
    return announcedWithdrawals.containsKey(id);
  }

  private void advanceTo(long rev) {
    appliedRev = rev;
    announcedWithdrawals.values().removeIf(announcedRev -> !Unsigned.isGreater(announcedRev, rev));
  }

  public void rememberTerminalState(String id, TerminalState terminalState) {
    terminalStates.put(id, terminalState);
    dependencies.jobTerminated(id, terminalState);
  }

  /** The dependency graph of the jobs that await others. */
  public DependencyGraph dependencies() {
    return dependencies;
  }

  @Override
  public void reset() {
    jobs.values().forEach(Job::releaseTasks);
    jobs.clear();
    dependencies.reset();
    pendingHistory.clear();
    machines.values().forEach(m -> m.restore(null));
    archiveBuckets.clear();
    pagesByNode.clear();
    appliedRev = 0;
    partitions.clear();
    updateReservations();
    members.clear();
    memberZones.clear();
    memberStamps.clear();
    memberLevels.clear();
    registry.reset();
    unreadable.clear();
    needsReload = false;
    keysInOldEncoding.clear();
    orphans.clear();
    jobsWithSkippedChunks.clear();
    overflowRecords.clear();
    view = null;
    viewStamp = 0;
    claimsStamp = 0;
  }

  /** A node's log pages by number, oldest first. */
  public TreeMap<Long, LogPage> logPages(String node) {
    return pagesByNode.getOrDefault(node, NO_PAGES);
  }

  /** The nodes that have log pages. */
  public Set<String> nodesWithLogPages() {
    return pagesByNode.keySet();
  }

  /** The revision up to which all changes are applied. */
  public long appliedRev() {
    return appliedRev;
  }

  /** Archived records of the machines whose names differ in the last character only. */
  public record ArchiveBucket(long stamp, long rev, Map<String, Object> extra) {}

  public ArchiveBucket archiveBucket(String name) {
    return archiveBuckets.getOrDefault(name, EMPTY_BUCKET);
  }

  public Map<String, ArchiveBucket> archiveBuckets() {
    return archiveBuckets;
  }

  public static String archiveBucketKey(String bucket) {
    return "w/h/" + bucket;
  }

  /** The value to store for an archive bucket: its machines as of a revision. */
  public Map<String, Object> encodeArchiveBucket(String bucket, long rev) {
    List<Object> list = new ArrayList<>();
    for (Machine m : machinesInBucket(bucket)) {
      if (m.info() != null) {
        list.add(LogEntry.machine(m.name(), m.info()));
      }
    }
    Map<String, Object> record = new LinkedHashMap<>(archiveBucket(bucket).extra);
    record.put("rev", Unsigned.toWire(rev));
    record.put("m", list);
    return record;
  }

  public boolean isArchiveBucketEmpty(String bucket) {
    return machinesInBucket(bucket).stream().allMatch(m -> m.info() == null && m.slots().isEmpty());
  }

  private List<Machine> machinesInBucket(String bucket) {
    List<Machine> out = new ArrayList<>();
    for (Machine m : machines.tailMap(bucket, true).values()) {
      if (!m.name().startsWith(bucket)) {
        break;
      }
      if (Machine.archiveBucketOf(m.name()).equals(bucket)) {
        out.add(m);
      }
    }
    return out;
  }

  /**
   * Whether an entry is no longer needed: its job has ended or a later record holds its content.
   */
  public boolean isObsolete(long rev, List<?> entry) {
    try {
      String subject = LogEntry.subject(entry);
      if (LogEntry.aboutMachine(entry)) {
        return !Unsigned.isGreater(rev, archiveBucket(Machine.archiveBucketOf(subject)).rev);
      }
      Job job = jobs.get(subject);
      if (job == null) {
        return true;
      }
      int width = LogEntry.valuesPerTask(entry);
      for (int i = LogEntry.firstTaskIndex(entry); i + width <= entry.size(); i += width) {
        int chunk = LogEntry.number(entry, i) / Job.TASKS_PER_CHUNK;
        if (Unsigned.isGreater(rev, job.chunkRevision(chunk))) {
          return false;
        }
      }
      return true;
    } catch (BadMessage e) {
      // An entry that this build cannot read is kept: another build may need it.
      return false;
    }
  }

  /** Revision of the oldest run in any log page; {@link Unsigned#MAX_VALUE} if there is none. */
  public long oldestEntryRev() {
    long oldest = Unsigned.MAX_VALUE;
    for (TreeMap<Long, LogPage> pages : pagesByNode.values()) {
      for (LogPage p : pages.values()) {
        for (LogPage.Run r : p.runs()) {
          oldest = Unsigned.min(oldest, r.rev());
        }
      }
    }
    return oldest;
  }

  /** Records every entry that cannot be applied: other nodes may have decisions based on it. */
  private void applyRun(String page, LogPage.Run run) {
    for (Object o : run.entries()) {
      try {
        if (!(o instanceof List<?> e)) {
          throw new BadMessage("a log entry is not a list");
        }
        applyEntry(run.rev(), e);
      } catch (BadMessage | RuntimeException x) {
        noteUnreadable(page, x);
        needsReload = true;
      }
    }
  }

  private void applyEntry(long rev, List<?> entry) throws BadMessage {
    String kind = LogEntry.kind(entry);
    String subject = LogEntry.subject(entry);
    if (LogEntry.aboutMachine(entry)) {
      if (Unsigned.isGreater(rev, archiveBucket(Machine.archiveBucketOf(subject)).rev)) {
        Machine machine = getOrCreateMachine(subject);
        boolean applies =
            kind.equals(LogEntry.MACHINE)
                ? machine.transitionTo(LogEntry.info(entry))
                : machine.forget();
        if (!applies) {
          LOG.debug("entry not applied: {}, machine phase={}", entry, machine.phase());
        }
        if (machine.info() == null && machine.slots().isEmpty()) {
          machines.remove(subject);
        }
      }
      return;
    }
    LogEntry.checkKnown(kind);
    int width = LogEntry.valuesPerTask(entry);
    if ((entry.size() - LogEntry.firstTaskIndex(entry)) % width != 0) {
      throw new BadMessage("truncated log entry");
    }
    if (kind.equals(LogEntry.PLACED) && LogEntry.number(entry, 2) > NodeRecord.MAX_NUMBER) {
      throw new BadMessage("no controller has the number " + LogEntry.number(entry, 2));
    }
    Job job = jobs.get(subject);
    if (job == null) {
      return;
    }
    for (int i = LogEntry.firstTaskIndex(entry); i + width <= entry.size(); i += width) {
      int index = LogEntry.number(entry, i);
      int attempt = LogEntry.number(entry, i + 1);
      if (index >= job.taskCount()
          || !Unsigned.isGreater(rev, job.chunkRevision(index / Job.TASKS_PER_CHUNK))) {
        continue;
      }
      boolean applies =
          switch (kind) {
            case LogEntry.PLACED ->
                job.applyPlacement(
                    index,
                    attempt,
                    getOrCreateMachine(LogEntry.text(entry, i + 2)),
                    LogEntry.number(entry, 2));
            case LogEntry.EXITED -> job.applyExit(index, attempt, LogEntry.number(entry, i + 2));
            case LogEntry.STOPPED ->
                job.applyStop(index, attempt, TaskState.Stop.values()[LogEntry.number(entry, 2)]);
            default -> throw new BadMessage("unknown kind " + kind);
          };
      if (!applies) {
        LOG.debug("entry not applied: {}, attempt={}, task={}/{}", kind, attempt, subject, index);
      }
    }
  }

  /**
   * Loads a full copy whose records were read at different revisions, none before {@code rev}. The
   * logs were read first: the content of a page deleted since is in the chunks and archive buckets.
   * Log entries newer than {@code rev} are delivered again as changes, in their order.
   */
  @Override
  public void load(List<StateServiceClient.Change> records, long rev) {
    record PageRun(String page, LogPage.Run run) {}
    List<PageRun> runs = new ArrayList<>();
    for (StateServiceClient.Change change : records) {
      if (!LogPage.isPage(change.key()) && !Job.isChunkKey(change.key())) {
        apply(change, true);
      }
    }
    for (StateServiceClient.Change change : records) {
      if (Job.isChunkKey(change.key())) {
        apply(change, true);
      } else if (LogPage.isPage(change.key())) {
        LogPage p = updatePage(change);
        if (p != null) {
          p.runs().forEach(r -> runs.add(new PageRun(change.key(), r)));
        }
      }
    }
    runs.sort((a, b) -> Unsigned.compare(a.run.rev(), b.run.rev()));
    for (PageRun o : runs) {
      if (!Unsigned.isGreater(o.run.rev(), rev)) {
        applyRun(o.page, o.run);
      }
    }
    jobs.values().forEach(Job::completeGang);
    // Log entries of ended tasks still name machines that were themselves forgotten long ago.
    machines.values().removeIf(m -> m.info() == null && m.slots().isEmpty() && m.report() == null);
    advanceTo(rev);
    updateBlockedReason();
  }

  /** An action to apply at a revision; actions of one revision run in ascending order. */
  private record Step(long rev, int order, String key, Runnable action) {
    static final int RUN = 0;
    static final int STORED = 1;
    static final int RECORD = 2;
  }

  /** Applies changes in the order of their revisions, whatever the order of arrival. */
  @Override
  public void apply(List<StateServiceClient.Change> changes, long rev) {
    List<Step> steps = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (StateServiceClient.Change change : changes) {
      if (LogPage.isPage(change.key())) {
        LogPage page = updatePage(change);
        for (LogPage.Run r : page == null ? List.<LogPage.Run>of() : page.runs()) {
          // A page changed twice arrives twice in full; one transaction may write several pages.
          if (Unsigned.isGreater(r.rev(), appliedRev) && seen.add(r.rev() + change.key())) {
            steps.add(new Step(r.rev(), Step.RUN, change.key(), () -> applyRun(change.key(), r)));
          }
        }
        continue;
      }
      steps.add(new Step(change.stamp(), Step.RECORD, change.key(), () -> apply(change, false)));
      long holds = archivedUpTo(change);
      if (Unsigned.isGreater(holds, appliedRev)) {
        // Newer than the tables: the log entries it replaces may already be deleted from the pages.
        steps.add(new Step(holds, Step.STORED, change.key(), () -> apply(change, true)));
      }
    }
    // Pages of one transaction apply in key order: a placement may depend on an earlier exit.
    steps.sort(
        Comparator.comparing(Step::rev, Unsigned::compare)
            .thenComparingInt(Step::order)
            .thenComparing(Step::key));
    steps.forEach(s -> s.action.run());
    advanceTo(Unsigned.max(appliedRev, rev));
    updateBlockedReason();
  }

  /** Revision up to which a chunk or archive bucket holds the logs' content; else 0. */
  private static long archivedUpTo(StateServiceClient.Change change) {
    boolean stored = Job.isChunkKey(change.key()) || change.key().startsWith("w/h/");
    try {
      return stored && change.value() != null
          ? Encoding.decode(change.value(), newestReadableEncoding(change.key())).unsigned("rev")
          : 0;
    } catch (BadMessage e) {
      return 0;
    }
  }

  /** Stores the current state of a page; returns null if it is deleted or cannot be read. */
  private LogPage updatePage(StateServiceClient.Change change) {
    String node = LogPage.node(change.key());
    try {
      if (change.value() == null) {
        TreeMap<Long, LogPage> pages = pagesByNode.get(node);
        if (pages != null) {
          pages.remove(LogPage.number(change.key()));
          if (pages.isEmpty()) {
            pagesByNode.remove(node);
          }
        }
        unreadable.remove(change.key());
        noteEncoding(change);
        return null;
      }
      LogPage page = LogPage.parse(change.key(), change.value(), change.stamp());
      pagesByNode.computeIfAbsent(node, k -> new TreeMap<>()).put(page.number(), page);
      noteEncoding(change);
      return page;
    } catch (BadMessage | RuntimeException e) {
      noteUnreadable(change.key(), e);
      needsReload = true;
      return null;
    }
  }

  private void apply(StateServiceClient.Change change, boolean whole) {
    try {
      applyRecord(change, whole);
      unreadable.remove(change.key());
    } catch (BadMessage | RuntimeException e) {
      // An unreadable record is not applied: acting on half of it would be worse.
      noteUnreadable(change.key(), e);
      needsReload |= skipsOtherRecords(change.key());
    }
  }

  /**
   * Whether an unreadable record leaves a gap that reading it later does not fill: the states in
   * it, or the log entries and chunks of its job, are not applied either.
   */
  private boolean skipsOtherRecords(String key) {
    boolean ofUnknownJob =
        key.startsWith(Job.key("")) && !jobs.containsKey(key.substring(Job.key("").length()));
    return ofUnknownJob || Job.isChunkKey(key) || key.startsWith("w/h/");
  }

  /** The newest encoding version of a key's record that this build reads. */
  public static int newestReadableEncoding(String key) {
    boolean numbered = key.equals(View.KEY) || key.startsWith("w/p/") || LogPage.isPage(key);
    return Job.isChunkKey(key) ? Encoding.DENSE : numbered ? Encoding.NUMBERED : Encoding.FIRST;
  }

  /** Releases an ended job and queues its remaining chunk and overflow records for deletion. */
  private void discard(String id) {
    overflowRecords.stampsOf(id).forEach(orphans::add);
    Job job = jobs.remove(id);
    if (job == null) {
      return;
    }
    for (int k = 0; k < job.chunkCount(); k++) {
      if (job.chunkStamp(k) != 0) {
        orphans.add(job.chunkKey(k), job.chunkStamp(k));
      }
    }
    job.releaseTasks();
    dependencies.jobRemoved(job);
  }

  private static void rejectUnknown(StateServiceClient.Change change) throws BadMessage {
    if (change.value() != null) {
      throw new BadMessage("nobody here knows such a record");
    }
  }

  private void applyRecord(StateServiceClient.Change change, boolean whole) throws BadMessage {
    String key = change.key();
    if (key.equals(View.KEY)) {
      View read = change.value() == null ? null : View.parse(change.value());
      view = read;
      viewStamp = change.value() == null ? 0 : change.stamp();
      updateReservations();
      return;
    }
    if (key.equals(CLAIMS_KEY)) {
      claimsStamp = change.value() == null ? 0 : change.stamp();
      return;
    }
    if (key.length() < 5 || key.charAt(3) != '/') {
      rejectUnknown(change);
      return;
    }
    String name = key.substring(4);
    Document document =
        change.value() == null
            ? null
            : Encoding.decode(change.value(), newestReadableEncoding(key));
    switch (key.charAt(2)) {
      case 'c' -> registry.apply(name, document, change.stamp());
      case 'j' -> {
        pendingHistory.remove(name);
        if (document != null && document.has("over")) {
          TerminalState terminalState = TerminalState.parse(Document.of(document.value("over")));
          pendingHistory.put(name, new PendingHistoryEntry(terminalState, change.stamp()));
          rememberTerminalState(name, terminalState);
          discard(name);
        } else if (change.value() == null) {
          discard(name);
        } else {
          Job job = jobs.get(name);
          if (job == null) {
            job = new Job(name, usage, changedJobs::add);
            job.applyRecord(document, change.stamp());
            jobs.put(name, job);
            if (orphans.hasChunkOf(name)) {
              jobsWithSkippedChunks.add(name);
            }
            if (announcedWithdrawals.containsKey(name)) {
              job.announceWithdrawal();
            }
            overflowRecords.setAwaitsOf(job);
            dependencies.jobAdded(job);
          } else {
            boolean wasWithdrawn = job.withdrawnByUser();
            job.applyRecord(document, change.stamp());
            if (wasWithdrawn != job.withdrawnByUser()) {
              dependencies.jobChanged(job);
            }
          }
        }
      }
      case 'a' -> {
        if (document == null) {
          overflowRecords.remove(key);
          orphans.remove(key);
          return;
        }
        overflowRecords.put(key, AwaitsOverflow.parseNames(document), change.stamp());
        Job job = jobs.get(AwaitsOverflow.jobOfKey(key));
        if (job != null && job.awaits().isEmpty() && overflowRecords.setAwaitsOf(job)) {
          dependencies.jobAdded(job);
        }
      }
      case 't' -> {
        int slash = name.lastIndexOf('/');
        Job job = jobs.get(name.substring(0, slash));
        int chunk = Integer.parseInt(name.substring(slash + 1));
        long stamp = change.value() == null ? 0 : change.stamp();
        if (job != null && whole) {
          job.restoreChunk(chunk, document, stamp, this::getOrCreateMachine);
          orphans.remove(key);
        } else if (job != null) {
          job.onChunkStored(chunk, document, stamp);
        } else if (change.value() != null) {
          orphans.add(key, stamp);
        }
        if (change.value() == null) {
          orphans.remove(key);
        }
        noteEncoding(change);
      }
      case 'h' -> applyArchiveBucket(name, document, change.stamp(), whole);
      case 'p' -> {
        if (change.value() == null) {
          partitions.remove(name);
        } else {
          partitions.put(name, Partition.parse(change.value(), change.stamp()));
        }
        noteEncoding(change);
        updateReservations();
      }
      case 'm' -> applyMember(name, change.value(), change.stamp());
      case 'd' -> {
        if (document != null) {
          rememberTerminalState(name, TerminalState.parse(document));
        }
      }
      default -> rejectUnknown(change);
    }
  }

  /**
   * Applies a member record. A malformed one counts as no member and blocks every level upgrade; it
   * is tied to a lease, so it does not stop the other nodes from deciding.
   */
  private void applyMember(String name, Object value, long stamp) {
    members.remove(name);
    memberZones.remove(name);
    memberStamps.remove(name);
    memberLevels.remove(name);
    if (value == null) {
      return;
    }
    memberStamps.put(name, stamp);
    memberLevels.put(name, LevelRange.FIRST);
    try {
      Document document = Encoding.decode(value, Encoding.FIRST);
      String incarnation = document.text("inc");
      String zone = document.textOrNull("zone");
      memberLevels.put(name, LevelRange.parse(document));
      members.put(name, incarnation);
      if (zone != null && !zone.isEmpty()) {
        memberZones.put(name, zone);
      }
    } catch (BadMessage e) {
      LOG.error("member record ignored: node={}, cause={}", name, e.getMessage());
    }
  }

  /** Supported levels by node, for every member record that exists, readable or not. */
  public Map<String, LevelRange> memberLevels() {
    return memberLevels;
  }

  private void applyArchiveBucket(String bucket, Document document, long stamp, boolean whole)
      throws BadMessage {
    if (document == null) {
      archiveBuckets.remove(bucket);
      return;
    }
    archiveBuckets.put(
        bucket,
        new ArchiveBucket(stamp, document.unsigned("rev"), document.fieldsExcept("rev", "m")));
    if (whole) {
      machinesInBucket(bucket).forEach(m -> m.restore(null));
      for (Object o : document.list("m")) {
        List<?> e = (List<?>) o;
        getOrCreateMachine(LogEntry.subject(e)).restore(LogEntry.info(e));
      }
    }
  }

  @Override
  public void changesApplied() {
    onApplied.run();
  }
}
