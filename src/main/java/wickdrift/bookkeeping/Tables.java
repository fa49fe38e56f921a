package wickdrift.bookkeeping;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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

/** All that is durable, as of the ledger's revision. Changed by the ledger's changes alone. */
public final class Tables implements StateServiceClient.ChangeListener {
  private static final Logger LOG = LoggerFactory.getLogger(Tables.class);

  /**
   * The record that a leader rewrites when it takes machines of several parts, since {@link
   * Gate#TAKES}: every owner's placement is conditional on it.
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

  /** What can't be read, by key, and why. While there is any nothing is decided. */
  private final Map<String, String> unreadable = new LinkedHashMap<>();

  /** Whether something that could not be read was passed over, which only a new load mends. */
  private boolean needsReload;

  private String blockedReason;

  /** Pages, chunks and parts of a form older than the newest that is known here. */
  private final TreeSet<String> keysInOldEncoding = new TreeSet<>();

  private static final TreeMap<Long, LogPage> NO_PAGES = new TreeMap<>();
  private static final ArchiveBucket EMPTY_BUCKET = new ArchiveBucket(0, 0, Map.of());

  private final Map<String, TreeMap<Long, LogPage>> pagesByNode = new HashMap<>();
  private final Map<String, ArchiveBucket> archiveBuckets = new HashMap<>();
  private long appliedRev;
  private final TreeSet<String> orphanedKeys = new TreeSet<>();
  private final Map<String, TerminalState> terminalStates =
      new LinkedHashMap<>(256, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TerminalState> eldest) {
          return size() > MAX_REMEMBERED_TERMINAL_STATES;
        }
      };
  private final DependencyGraph dependencies = new DependencyGraph(jobs::get, this::terminalState);

  /** Jobs that are over and whose end stands in their own record still, with its stamp. */
  private final Map<String, PendingHistoryEntry> pendingHistory = new LinkedHashMap<>();

  /** How a job ended, and the stamp of the record that says so. */
  public record PendingHistoryEntry(TerminalState terminalState, long stamp) {}

  /** Names of awaited jobs, by record, until their job has them all. */
  private final TreeMap<String, List<String>> awaitedNames = new TreeMap<>();

  /**
   * Jobs that a peer has told to be withdrawn, with a revision that says so and is not applied here
   * yet: who is not served by the state service learns of it in no other way.
   */
  private final Map<String, Long> foretold = new HashMap<>();

  private View view;
  private long viewStamp;
  private long claimsStamp;
  private final TeamUsage usage = new TeamUsage();
  private final Runnable onApplied;
  private final List<Machine> changedMachines = new ArrayList<>();
  private final List<Job> changedJobs = new ArrayList<>();
  private final Set<String> marked = new HashSet<>();
  private int nextMachineNumber;

  /**
   * @param names all controllers that the settings name, sorted
   * @param supportedLevels what this build reads and writes
   * @param onApplied called after each run of changes
   */
  public Tables(List<String> names, LevelRange supportedLevels, Runnable onApplied) {
    this.registry = new NodeRegistry(names);
    this.supportedLevels = supportedLevels;
    this.onApplied = onApplied;
  }

  // ---- what this build understands ----

  /** The controllers' numbers, the levels that they speak, and what operators said of them. */
  public NodeRegistry registry() {
    return registry;
  }

  /** The level in force, as of the tables' revision. */
  public int level() {
    return view == null ? 1 : view.level();
  }

  /** Whether what a gate stands for is switched on, as of the tables' revision. */
  public boolean isOpen(Gate gate) {
    return level() >= gate.level();
  }

  /** In which form the records that changed it are written at the level in force. */
  public int encoding() {
    return Encoding.forLevel(level());
  }

  /** Why nothing may be decided from these tables, or null. */
  public String blockedReason() {
    return blockedReason;
  }

  /** The keys of pages, chunks and parts whose form is older than the level in force asks for. */
  public TreeSet<String> keysInOldEncoding() {
    return encoding() == Encoding.FIRST ? new TreeSet<>() : keysInOldEncoding;
  }

  /** What of the stored state can't be read, by key, with why. */
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
      LOG.warn("understands the stored state again");
    }
    blockedReason = reason;
  }

  private void noteUnreadable(String key, Exception why) {
    unreadable.putIfAbsent(key, why instanceof BadMessage ? why.getMessage() : "malformed: " + why);
  }

  @Override
  public boolean needsReload() {
    return needsReload && unreadable.isEmpty();
  }

  private void noteEncoding(StateServiceClient.Change change) throws BadMessage {
    if (change.value() != null && Encoding.versionOf(change.value()) < Encoding.NUMBERED) {
      keysInOldEncoding.add(change.key());
    } else {
      keysInOldEncoding.remove(change.key());
    }
  }

  // ---- what has changed: those who keep indices ask after each run of changes ----

  /** The machines changed since the last call, each once, those that are gone too. */
  public List<Machine> drainChangedMachines() {
    List<Machine> changed = new ArrayList<>(changedMachines);
    changedMachines.clear();
    changed.forEach(Machine::acknowledgeChanges);
    return changed;
  }

  /** The jobs changed since the last call, each once, those that are over too. */
  public List<Job> drainChangedJobs() {
    List<Job> changed = new ArrayList<>(changedJobs);
    changedJobs.clear();
    changed.forEach(Job::acknowledgeChanges);
    return changed;
  }

  public TeamUsage usage() {
    return usage;
  }

  /** Whether a gang that waits has marked the machine. */
  public boolean isReserved(Machine machine) {
    return marked.contains(machine.name());
  }

  private void updateReservations() {
    Set<String> reserved = new HashSet<>();
    // Where a change of view leaves the parts alone, marks are of the epoch that they tell.
    boolean ofView = isOpen(Gate.VIEWS);
    partitions.values().stream()
        .filter(p -> !ofView || p.epoch() == view.epoch())
        .forEach(p -> reserved.addAll(p.reserved()));
    if (!reserved.equals(marked)) {
      Set<String> changed = new HashSet<>(reserved);
      changed.addAll(marked);
      marked.clear();
      marked.addAll(reserved);
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

  /** The machine of that name; made up when a report or the cloud names it first. */
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
   * A node's part as it is to be decided from, and written anew: since {@link Gate#VIEWS} one that
   * was not written under this view marks nothing, and one that was never written is empty. Null
   * before that level, if it is not there.
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
   * The parts that were last written before placements were conditional on the view: something that
   * was prepared by then is conditional on those records alone, and may come yet.
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

  /** Where the members are, as they have told. */
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

  /** The stamp of {@link #CLAIMS_KEY}; 0 while no leader has taken any. */
  public long claimsStamp() {
    return claimsStamp;
  }

  /** Chunk records whose job is over, left to be deleted. */
  public TreeSet<String> orphanedKeys() {
    return orphanedKeys;
  }

  /** How a job ended, if it is remembered here. Final, so never out of date. */
  public TerminalState terminalState(String id) {
    PendingHistoryEntry pending = pendingHistory.get(id);
    return pending != null ? pending.terminalState : terminalStates.get(id);
  }

  /** The ends that are to be moved to their lasting place, oldest first. */
  public Map<String, PendingHistoryEntry> pendingHistory() {
    return pendingHistory;
  }

  /**
   * Takes in that a job is withdrawn, ahead of the record that says so. It is final, so it is kept
   * until the tables hold it themselves.
   *
   * @param rev a revision as of which the job's record says it
   * @return false if so much is known ahead already that it can't be kept
   */
  public boolean announceWithdrawal(String id, long rev) {
    if (rev <= appliedRev || foretold.containsKey(id)) {
      return true;
    }
    if (foretold.size() >= MAX_ANNOUNCED_WITHDRAWALS) {
      return false;
    }
    foretold.put(id, rev);
    Job job = jobs.get(id);
    if (job != null) {
      job.announceWithdrawal();
    }
    return true;
  }

  /** Whether a job is known to be withdrawn ahead of what the tables say. */
  public boolean isWithdrawalAnnounced(String id) {
    return foretold.containsKey(id);
  }

  private void advanceTo(long rev) {
    appliedRev = rev;
    foretold.values().removeIf(told -> told <= rev);
  }

  public void rememberTerminalState(String id, TerminalState terminalState) {
    terminalStates.put(id, terminalState);
    dependencies.jobTerminated(id, terminalState);
  }

  /** Which jobs await which. */
  public DependencyGraph dependencies() {
    return dependencies;
  }

  @Override
  public void reset() {
    jobs.values().forEach(Job::releaseTasks);
    jobs.clear();
    dependencies.reset();
    awaitedNames.clear();
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
    orphanedKeys.clear();
    view = null;
    viewStamp = 0;
    claimsStamp = 0;
  }

  // ---- the logs ----

  /** A node's pages, oldest first. */
  public TreeMap<Long, LogPage> logPages(String node) {
    return pagesByNode.getOrDefault(node, NO_PAGES);
  }

  /** The nodes that have pages. */
  public Set<String> nodesWithLogPages() {
    return pagesByNode.keySet();
  }

  /** The revision up to which all is applied. */
  public long appliedRev() {
    return appliedRev;
  }

  /** What is stored of machines whose names differ in the last letter only. */
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

  /** The machines of a shelf as of a revision. */
  public Map<String, Object> encodeArchiveBucket(String bucket, long rev) {
    List<Object> list = new ArrayList<>();
    for (Machine m : machinesInBucket(bucket)) {
      if (m.info() != null) {
        list.add(LogEntry.machine(m.name(), m.info()));
      }
    }
    Map<String, Object> record = new LinkedHashMap<>(archiveBucket(bucket).extra);
    record.put("rev", rev);
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

  /** Whether nobody needs an entry any more: its job is over, or what it says is stored. */
  public boolean isObsolete(long rev, List<?> entry) {
    try {
      String subject = LogEntry.subject(entry);
      if (LogEntry.aboutMachine(entry)) {
        return rev <= archiveBucket(Machine.archiveBucketOf(subject)).rev;
      }
      Job job = jobs.get(subject);
      if (job == null) {
        return true;
      }
      int width = LogEntry.valuesPerTask(entry);
      for (int i = LogEntry.firstTaskIndex(entry); i + width <= entry.size(); i += width) {
        if (rev > job.chunkRevision(LogEntry.number(entry, i) / Job.TASKS_PER_CHUNK)) {
          return false;
        }
      }
      return true;
    } catch (BadMessage e) {
      // Who can't read it does not drop it: whoever can may need it.
      return false;
    }
  }

  /** What must be stored before a page may go: chunks of jobs, and shelves of machines. */
  public record RequiredWrites(Map<Job, Set<Integer>> chunks, Set<String> archiveBuckets) {}

  /** What a page still speaks of that no later record holds. */
  public RequiredWrites requiredWrites(LogPage page) {
    RequiredWrites required = new RequiredWrites(new LinkedHashMap<>(), new LinkedHashSet<>());
    for (LogPage.Run r : page.runs()) {
      for (Object o : r.entries()) {
        List<?> entry = (List<?>) o;
        if (isObsolete(r.rev(), entry)) {
          continue;
        }
        try {
          if (LogEntry.aboutMachine(entry)) {
            required.archiveBuckets.add(Machine.archiveBucketOf(LogEntry.subject(entry)));
            continue;
          }
          Job job = jobs.get(LogEntry.subject(entry));
          int width = LogEntry.valuesPerTask(entry);
          for (int i = LogEntry.firstTaskIndex(entry); i + width <= entry.size(); i += width) {
            required
                .chunks
                .computeIfAbsent(job, k -> new LinkedHashSet<>())
                .add(LogEntry.number(entry, i) / Job.TASKS_PER_CHUNK);
          }
        } catch (BadMessage x) {
          LOG.error("unreadable entry: {}", x.getMessage());
        }
      }
    }
    return required;
  }

  /** No page holds anything older than this. */
  public long oldestEntryRev() {
    long oldest = Long.MAX_VALUE;
    for (TreeMap<Long, LogPage> pages : pagesByNode.values()) {
      for (LogPage p : pages.values()) {
        for (LogPage.Run r : p.runs()) {
          oldest = Math.min(oldest, r.rev());
        }
      }
    }
    return oldest;
  }

  /** Never passes over an entry in silence: others may have drawn something from it. */
  private void applyRun(String page, LogPage.Run run) {
    for (Object o : run.entries()) {
      try {
        if (!(o instanceof List<?> e)) {
          throw new BadMessage("an entry is not a list");
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
      if (rev > archiveBucket(Machine.archiveBucketOf(subject)).rev) {
        Machine machine = getOrCreateMachine(subject);
        boolean applies =
            kind.equals(LogEntry.MACHINE)
                ? machine.transitionTo(LogEntry.info(entry))
                : machine.forget();
        if (!applies) {
          LOG.debug("void: {} of {}", entry, machine.phase());
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
      throw new BadMessage("an entry that ends early");
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
      if (index >= job.taskCount() || rev <= job.chunkRevision(index / Job.TASKS_PER_CHUNK)) {
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
        LOG.debug("void: {} {} of {}/{}", kind, attempt, subject, index);
      }
    }
  }

  // ---- records ----

  /**
   * Takes a whole copy, whose parts were read at different revisions, none before {@code rev}. The
   * logs were read first: what a page said that is gone by then is in the chunks and shelves. What
   * is newer than {@code rev} in the logs comes again, in its order, as changes.
   */
  @Override
  public void load(List<StateServiceClient.Change> records, long rev) {
    record Of(String page, LogPage.Run run) {}
    List<Of> runs = new ArrayList<>();
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
          p.runs().forEach(r -> runs.add(new Of(change.key(), r)));
        }
      }
    }
    runs.sort(Comparator.comparingLong(o -> o.run.rev()));
    for (Of o : runs) {
      if (o.run.rev() <= rev) {
        applyRun(o.page, o.run);
      }
    }
    jobs.values().forEach(Job::completeGang);
    // Named by what a log still says of tasks that are over; itself it was forgotten long ago.
    machines.values().removeIf(m -> m.info() == null && m.slots().isEmpty() && m.report() == null);
    advanceTo(rev);
    updateBlockedReason();
  }

  /** Something to apply at a revision; of one revision in this order. */
  private record Step(long rev, int order, String key, Runnable action) {
    static final int RUN = 0;
    static final int STORED = 1;
    static final int RECORD = 2;
  }

  /** Takes changes in the order of their revisions, whatever the order in which they come. */
  @Override
  public void apply(List<StateServiceClient.Change> changes, long rev) {
    List<Step> steps = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (StateServiceClient.Change change : changes) {
      if (LogPage.isPage(change.key())) {
        LogPage page = updatePage(change);
        for (LogPage.Run r : page == null ? List.<LogPage.Run>of() : page.runs()) {
          // A page that changed twice comes twice, and each time whole; and a large transaction
          // writes several pages under one revision.
          if (r.rev() > appliedRev && seen.add(r.rev() + change.key())) {
            steps.add(new Step(r.rev(), Step.RUN, change.key(), () -> applyRun(change.key(), r)));
          }
        }
        continue;
      }
      steps.add(new Step(change.stamp(), Step.RECORD, change.key(), () -> apply(change, false)));
      long holds = archivedUpTo(change);
      if (holds > appliedRev) {
        // Newer than what we have: what it replaces may have gone from the pages we see.
        steps.add(new Step(holds, Step.STORED, change.key(), () -> apply(change, true)));
      }
    }
    // The pages of one transaction in their order: what is placed may follow on an exit.
    steps.sort(
        Comparator.comparingLong(Step::rev).thenComparingInt(Step::order).thenComparing(Step::key));
    steps.forEach(s -> s.action.run());
    advanceTo(Math.max(appliedRev, rev));
    updateBlockedReason();
  }

  /** Up to which revision a chunk or a shelf holds what the logs say; 0 for other records. */
  private static long archivedUpTo(StateServiceClient.Change change) {
    boolean stored = Job.isChunkKey(change.key()) || change.key().startsWith("w/h/");
    try {
      return stored && change.value() != null
          ? Encoding.decode(change.value(), newestReadableEncoding(change.key())).count("rev")
          : 0;
    } catch (BadMessage e) {
      return 0;
    }
  }

  /** Notes a page as it is now; null when it is gone or can't be read. */
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
      // A record we cannot read is left alone: acting on half of it would be worse.
      noteUnreadable(change.key(), e);
      needsReload |= Job.isChunkKey(change.key()) || change.key().startsWith("w/h/");
    }
  }

  /** The newest form that this build reads of what a key holds. */
  public static int newestReadableEncoding(String key) {
    boolean numbered = key.equals(View.KEY) || key.startsWith("w/p/") || LogPage.isPage(key);
    return Job.isChunkKey(key) ? Encoding.DENSE : numbered ? Encoding.NUMBERED : Encoding.FIRST;
  }

  /** A job is over: what is left of it is to be deleted in time. */
  private void discard(Job job) {
    if (job == null) {
      return;
    }
    for (int k = 0; k < job.chunkCount(); k++) {
      if (job.chunkStamp(k) > 0) {
        orphanedKeys.add(job.chunkKey(k));
      }
    }
    for (int k = 0; job.overflow() != null && k < job.overflow().records(); k++) {
      orphanedKeys.add(job.overflow().key(k));
    }
    job.releaseTasks();
    dependencies.jobRemoved(job);
  }

  /** Gives a job the names that its own record has no room for, once all are there. */
  private boolean gatherAwaitedNames(Job job) {
    AwaitsOverflow overflow = job.overflow();
    List<String> names = new ArrayList<>();
    for (int k = 0; overflow != null && k < overflow.records(); k++) {
      List<String> part = awaitedNames.get(overflow.key(k));
      if (part == null) {
        return false;
      }
      names.addAll(part);
    }
    if (overflow != null) {
      job.setAwaits(List.copyOf(names));
      for (int k = 0; k < overflow.records(); k++) {
        awaitedNames.remove(overflow.key(k));
      }
    }
    return overflow != null;
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
        if (document != null && document.raw("over") != null) {
          TerminalState terminalState = TerminalState.parse(Document.of(document.raw("over")));
          pendingHistory.put(name, new PendingHistoryEntry(terminalState, change.stamp()));
          rememberTerminalState(name, terminalState);
          discard(jobs.remove(name));
        } else if (change.value() == null) {
          discard(jobs.remove(name));
        } else {
          Job job = jobs.get(name);
          if (job == null) {
            job = new Job(name, usage, changedJobs::add);
            job.applyRecord(document, change.stamp());
            jobs.put(name, job);
            if (foretold.containsKey(name)) {
              job.announceWithdrawal();
            }
            gatherAwaitedNames(job);
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
          awaitedNames.remove(key);
          orphanedKeys.remove(key);
          return;
        }
        awaitedNames.put(key, AwaitsOverflow.parseNames(document));
        Job job = jobs.get(AwaitsOverflow.jobOfKey(key));
        if (job != null
            && job.overflow() != null
            && job.awaits().isEmpty()
            && gatherAwaitedNames(job)) {
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
        } else if (job != null) {
          job.onChunkStored(chunk, document, stamp);
        } else if (change.value() != null) {
          orphanedKeys.add(key);
        } else {
          orphanedKeys.remove(key);
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
   * A member that can't be read is none, and holds up every rise of the level; it is tied to a
   * lease, so it is no reason for the others to stop.
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
      LOG.error("{} is not taken for a member: {}", name, e.getMessage());
    }
  }

  /** All whose record is there, with the levels that they speak, readable members or not. */
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
        bucket, new ArchiveBucket(stamp, document.count("rev"), document.without("rev", "m")));
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
