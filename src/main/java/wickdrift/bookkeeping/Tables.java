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

  private static final int FINISHED_KEPT = 4096;
  private static final int FORETOLD_MOST = 20_000;

  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, Partition> partitions = new HashMap<>();
  private final Map<String, String> members = new TreeMap<>();
  private final Map<String, String> memberZones = new TreeMap<>();
  private final Map<String, Long> memberStamps = new HashMap<>();
  private final Map<String, LevelRange> memberLevels = new HashMap<>();
  private final NodeRegistry registry;
  private final LevelRange levels;

  /** What can't be read, by key, and why. While there is any nothing is decided. */
  private final Map<String, String> unreadable = new LinkedHashMap<>();

  /** Whether something that could not be read was passed over, which only a new load mends. */
  private boolean needsReload;

  private String blockedReason;

  /** Pages, chunks and parts of a form older than the newest that is known here. */
  private final TreeSet<String> keysInOldEncoding = new TreeSet<>();

  private static final TreeMap<Long, LogPage> EMPTY_LOG = new TreeMap<>();
  private static final ArchiveBucket NO_SHELF = new ArchiveBucket(0, 0, Map.of());

  private final Map<String, TreeMap<Long, LogPage>> nodesWithLogPages = new HashMap<>();
  private final Map<String, ArchiveBucket> archiveBuckets = new HashMap<>();
  private long appliedRev;
  private final TreeSet<String> orphanedKeys = new TreeSet<>();
  private final Map<String, TerminalState> finished =
      new LinkedHashMap<>(256, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, TerminalState> eldest) {
          return size() > FINISHED_KEPT;
        }
      };
  private final DependencyGraph dependencies = new DependencyGraph(jobs::get, this::terminalState);

  /** Jobs that are over and whose end stands in their own record still, with its stamp. */
  private final Map<String, PendingHistoryEntry> pendingHistory = new LinkedHashMap<>();

  /** How a job ended, and the stamp of the record that says so. */
  public record PendingHistoryEntry(TerminalState terminalState, long stamp) {}

  /** Names of awaited jobs, by record, until their job has them all. */
  private final TreeMap<String, List<String>> names = new TreeMap<>();

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
  private int machineNumbers;

  /**
   * @param names all controllers that the settings name, sorted
   * @param levels what this build reads and writes
   * @param onApplied called after each run of changes
   */
  public Tables(List<String> names, LevelRange levels, Runnable onApplied) {
    this.registry = new NodeRegistry(names);
    this.levels = levels;
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

  private void bar() {
    String now = null;
    if (!unreadable.isEmpty()) {
      Map.Entry<String, String> first = unreadable.entrySet().iterator().next();
      now = "record " + first.getKey() + " can't be read: " + first.getValue();
    } else if (view != null && !levels.includes(view.level())) {
      now =
          "level "
              + view.level()
              + " of the stored state is in force, and this build speaks "
              + levels;
    }
    if (now != null && !now.equals(blockedReason)) {
      LOG.error("stays outside and decides nothing: {}", now);
    } else if (now == null && blockedReason != null) {
      LOG.warn("understands the stored state again");
    }
    blockedReason = now;
  }

  private void unreadable(String key, Exception why) {
    unreadable.putIfAbsent(key, why instanceof BadMessage ? why.getMessage() : "malformed: " + why);
  }

  @Override
  public boolean needsReload() {
    return needsReload && unreadable.isEmpty();
  }

  private void noteForm(StateServiceClient.Change c) throws BadMessage {
    if (c.value() != null && Encoding.versionOf(c.value()) < Encoding.NUMBERED) {
      keysInOldEncoding.add(c.key());
    } else {
      keysInOldEncoding.remove(c.key());
    }
  }

  // ---- what has changed: those who keep indices ask after each run of changes ----

  /** The machines changed since the last call, each once, those that are gone too. */
  public List<Machine> drainChangedMachines() {
    List<Machine> out = new ArrayList<>(changedMachines);
    changedMachines.clear();
    out.forEach(Machine::acknowledgeChanges);
    return out;
  }

  /** The jobs changed since the last call, each once, those that are over too. */
  public List<Job> drainChangedJobs() {
    List<Job> out = new ArrayList<>(changedJobs);
    changedJobs.clear();
    out.forEach(Job::acknowledgeChanges);
    return out;
  }

  public TeamUsage usage() {
    return usage;
  }

  /** Whether a gang that waits has marked the machine. */
  public boolean isReserved(Machine m) {
    return marked.contains(m.name());
  }

  private void remark() {
    Set<String> now = new HashSet<>();
    // Where a change of view leaves the parts alone, marks are of the epoch that they tell.
    boolean ofView = isOpen(Gate.VIEWS);
    partitions.values().stream()
        .filter(p -> !ofView || p.epoch() == view.epoch())
        .forEach(p -> now.addAll(p.reserved()));
    if (!now.equals(marked)) {
      Set<String> differ = new HashSet<>(now);
      differ.addAll(marked);
      marked.clear();
      marked.addAll(now);
      for (String name : differ) {
        Machine m = machines.get(name);
        if (m != null) {
          m.markChanged();
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
        name, k -> new Machine(k, machineNumbers++, changedMachines::add));
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
    Partition p = partitions.get(node);
    if (!isOpen(Gate.VIEWS)) {
      return p;
    }
    Partition is = p == null ? Partition.empty(view.epoch(), encoding()) : p;
    return is.epoch() == view.epoch() ? is : is.inEpoch(view.epoch());
  }

  /**
   * The parts that were last written before placements were conditional on the view: something that
   * was prepared by then is conditional on those records alone, and may come yet.
   */
  public List<String> unfencedPartitions() {
    List<String> out = new ArrayList<>();
    if (isOpen(Gate.VIEWS)) {
      partitions.forEach(
          (n, p) -> {
            if (p.epoch() < view.viewsGateEpoch()) {
              out.add(n);
            }
          });
    }
    return out;
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
    PendingHistoryEntry o = pendingHistory.get(id);
    return o != null ? o.terminalState : finished.get(id);
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
    if (foretold.size() >= FORETOLD_MOST) {
      return false;
    }
    foretold.put(id, rev);
    Job j = jobs.get(id);
    if (j != null) {
      j.announceWithdrawal();
    }
    return true;
  }

  /** Whether a job is known to be withdrawn ahead of what the tables say. */
  public boolean isWithdrawalAnnounced(String id) {
    return foretold.containsKey(id);
  }

  private void appliedTo(long rev) {
    appliedRev = rev;
    foretold.values().removeIf(told -> told <= rev);
  }

  public void rememberTerminalState(String id, TerminalState how) {
    finished.put(id, how);
    dependencies.jobTerminated(id, how);
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
    names.clear();
    pendingHistory.clear();
    machines.values().forEach(m -> m.restore(null));
    archiveBuckets.clear();
    nodesWithLogPages.clear();
    appliedRev = 0;
    partitions.clear();
    remark();
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
    return nodesWithLogPages.getOrDefault(node, EMPTY_LOG);
  }

  /** The nodes that have pages. */
  public Set<String> nodesWithLogPages() {
    return nodesWithLogPages.keySet();
  }

  /** The revision up to which all is applied. */
  public long appliedRev() {
    return appliedRev;
  }

  /** What is stored of machines whose names differ in the last letter only. */
  public record ArchiveBucket(long stamp, long rev, Map<String, Object> extra) {}

  public ArchiveBucket archiveBucket(String name) {
    return archiveBuckets.getOrDefault(name, NO_SHELF);
  }

  public Map<String, ArchiveBucket> archiveBuckets() {
    return archiveBuckets;
  }

  public static String archiveBucketKey(String shelf) {
    return "w/h/" + shelf;
  }

  /** The machines of a shelf as of a revision. */
  public Map<String, Object> encodeArchiveBucket(String shelf, long rev) {
    List<Object> list = new ArrayList<>();
    for (Machine m : onShelf(shelf)) {
      if (m.info() != null) {
        list.add(LogEntry.machine(m.name(), m.info()));
      }
    }
    Map<String, Object> out = new LinkedHashMap<>(archiveBucket(shelf).extra);
    out.put("rev", rev);
    out.put("m", list);
    return out;
  }

  public boolean isArchiveBucketEmpty(String shelf) {
    return onShelf(shelf).stream().allMatch(m -> m.info() == null && m.slots().isEmpty());
  }

  private List<Machine> onShelf(String shelf) {
    List<Machine> out = new ArrayList<>();
    for (Machine m : machines.tailMap(shelf, true).values()) {
      if (!m.name().startsWith(shelf)) {
        break;
      }
      if (Machine.archiveBucketOf(m.name()).equals(shelf)) {
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
      Job j = jobs.get(subject);
      if (j == null) {
        return true;
      }
      int width = LogEntry.width(entry);
      for (int i = LogEntry.first(entry); i + width <= entry.size(); i += width) {
        if (rev > j.chunkRevision(LogEntry.number(entry, i) / Job.TASKS_PER_CHUNK)) {
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
  public RequiredWrites requiredWrites(LogPage p) {
    RequiredWrites n = new RequiredWrites(new LinkedHashMap<>(), new LinkedHashSet<>());
    for (LogPage.Run r : p.runs()) {
      for (Object o : r.entries()) {
        List<?> e = (List<?>) o;
        if (isObsolete(r.rev(), e)) {
          continue;
        }
        try {
          if (LogEntry.aboutMachine(e)) {
            n.archiveBuckets.add(Machine.archiveBucketOf(LogEntry.subject(e)));
            continue;
          }
          Job j = jobs.get(LogEntry.subject(e));
          int width = LogEntry.width(e);
          for (int i = LogEntry.first(e); i + width <= e.size(); i += width) {
            n.chunks
                .computeIfAbsent(j, k -> new LinkedHashSet<>())
                .add(LogEntry.number(e, i) / Job.TASKS_PER_CHUNK);
          }
        } catch (BadMessage x) {
          LOG.error("unreadable entry: {}", x.getMessage());
        }
      }
    }
    return n;
  }

  /** No page holds anything older than this. */
  public long oldestEntryRev() {
    long oldest = Long.MAX_VALUE;
    for (TreeMap<Long, LogPage> pages : nodesWithLogPages.values()) {
      for (LogPage p : pages.values()) {
        for (LogPage.Run r : p.runs()) {
          oldest = Math.min(oldest, r.rev());
        }
      }
    }
    return oldest;
  }

  /** Never passes over an entry in silence: others may have drawn something from it. */
  private void run(String page, LogPage.Run run) {
    for (Object o : run.entries()) {
      try {
        if (!(o instanceof List<?> e)) {
          throw new BadMessage("an entry is not a list");
        }
        entry(run.rev(), e);
      } catch (BadMessage | RuntimeException x) {
        unreadable(page, x);
        needsReload = true;
      }
    }
  }

  private void entry(long rev, List<?> e) throws BadMessage {
    String kind = LogEntry.kind(e);
    String subject = LogEntry.subject(e);
    if (LogEntry.aboutMachine(e)) {
      if (rev > archiveBucket(Machine.archiveBucketOf(subject)).rev) {
        Machine m = getOrCreateMachine(subject);
        boolean applies =
            kind.equals(LogEntry.MACHINE) ? m.transitionTo(LogEntry.info(e)) : m.forget();
        if (!applies) {
          LOG.debug("void: {} of {}", e, m.phase());
        }
        if (m.info() == null && m.slots().isEmpty()) {
          machines.remove(subject);
        }
      }
      return;
    }
    LogEntry.known(kind);
    int width = LogEntry.width(e);
    if ((e.size() - LogEntry.first(e)) % width != 0) {
      throw new BadMessage("an entry that ends early");
    }
    if (kind.equals(LogEntry.PLACED) && LogEntry.number(e, 2) > NodeRecord.MOST_NUMBER) {
      throw new BadMessage("no controller has the number " + LogEntry.number(e, 2));
    }
    Job j = jobs.get(subject);
    if (j == null) {
      return;
    }
    for (int i = LogEntry.first(e); i + width <= e.size(); i += width) {
      int index = LogEntry.number(e, i);
      int attempt = LogEntry.number(e, i + 1);
      if (index >= j.taskCount() || rev <= j.chunkRevision(index / Job.TASKS_PER_CHUNK)) {
        continue;
      }
      boolean applies =
          switch (kind) {
            case LogEntry.PLACED ->
                j.applyPlacement(
                    index,
                    attempt,
                    getOrCreateMachine(LogEntry.text(e, i + 2)),
                    LogEntry.number(e, 2));
            case LogEntry.EXITED -> j.applyExit(index, attempt, LogEntry.number(e, i + 2));
            case LogEntry.STOPPED ->
                j.applyStop(index, attempt, TaskState.Stop.values()[LogEntry.number(e, 2)]);
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
  public void load(List<StateServiceClient.Change> all, long rev) {
    record Of(String page, LogPage.Run run) {}
    List<Of> runs = new ArrayList<>();
    for (StateServiceClient.Change c : all) {
      if (!LogPage.isPage(c.key()) && !Job.isChunkKey(c.key())) {
        apply(c, true);
      }
    }
    for (StateServiceClient.Change c : all) {
      if (Job.isChunkKey(c.key())) {
        apply(c, true);
      } else if (LogPage.isPage(c.key())) {
        LogPage p = page(c);
        if (p != null) {
          p.runs().forEach(r -> runs.add(new Of(c.key(), r)));
        }
      }
    }
    runs.sort(Comparator.comparingLong(o -> o.run.rev()));
    for (Of o : runs) {
      if (o.run.rev() <= rev) {
        run(o.page, o.run);
      }
    }
    jobs.values().forEach(Job::completeGang);
    // Named by what a log still says of tasks that are over; itself it was forgotten long ago.
    machines.values().removeIf(m -> m.info() == null && m.slots().isEmpty() && m.report() == null);
    appliedTo(rev);
    bar();
  }

  /** Something to apply at a revision; of one revision in this order. */
  private record Step(long rev, int order, String key, Runnable action) {
    static final int RUN = 0;
    static final int STORED = 1;
    static final int RECORD = 2;
  }

  /** Takes changes in the order of their revisions, whatever the order in which they come. */
  @Override
  public void apply(List<StateServiceClient.Change> news, long rev) {
    List<Step> steps = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (StateServiceClient.Change c : news) {
      if (LogPage.isPage(c.key())) {
        LogPage p = page(c);
        for (LogPage.Run r : p == null ? List.<LogPage.Run>of() : p.runs()) {
          // A page that changed twice comes twice, and each time whole; and a large transaction
          // writes several pages under one revision.
          if (r.rev() > appliedRev && seen.add(r.rev() + c.key())) {
            steps.add(new Step(r.rev(), Step.RUN, c.key(), () -> run(c.key(), r)));
          }
        }
        continue;
      }
      steps.add(new Step(c.stamp(), Step.RECORD, c.key(), () -> apply(c, false)));
      long holds = holds(c);
      if (holds > appliedRev) {
        // Newer than what we have: what it replaces may have gone from the pages we see.
        steps.add(new Step(holds, Step.STORED, c.key(), () -> apply(c, true)));
      }
    }
    // The pages of one transaction in their order: what is placed may follow on an exit.
    steps.sort(
        Comparator.comparingLong(Step::rev).thenComparingInt(Step::order).thenComparing(Step::key));
    steps.forEach(s -> s.action.run());
    appliedTo(Math.max(appliedRev, rev));
    bar();
  }

  /** Up to which revision a chunk or a shelf holds what the logs say; 0 for other records. */
  private static long holds(StateServiceClient.Change c) {
    boolean stored = Job.isChunkKey(c.key()) || c.key().startsWith("w/h/");
    try {
      return stored && c.value() != null
          ? Encoding.decode(c.value(), newestReadableEncoding(c.key())).count("rev")
          : 0;
    } catch (BadMessage e) {
      return 0;
    }
  }

  /** Notes a page as it is now; null when it is gone or can't be read. */
  private LogPage page(StateServiceClient.Change c) {
    String node = LogPage.node(c.key());
    try {
      if (c.value() == null) {
        TreeMap<Long, LogPage> pages = nodesWithLogPages.get(node);
        if (pages != null) {
          pages.remove(LogPage.number(c.key()));
          if (pages.isEmpty()) {
            nodesWithLogPages.remove(node);
          }
        }
        unreadable.remove(c.key());
        noteForm(c);
        return null;
      }
      LogPage p = LogPage.parse(c.key(), c.value(), c.stamp());
      nodesWithLogPages.computeIfAbsent(node, k -> new TreeMap<>()).put(p.number(), p);
      noteForm(c);
      return p;
    } catch (BadMessage | RuntimeException e) {
      unreadable(c.key(), e);
      needsReload = true;
      return null;
    }
  }

  private void apply(StateServiceClient.Change c, boolean whole) {
    try {
      applyChecked(c, whole);
      unreadable.remove(c.key());
    } catch (BadMessage | RuntimeException e) {
      // A record we cannot read is left alone: acting on half of it would be worse.
      unreadable(c.key(), e);
      needsReload |= Job.isChunkKey(c.key()) || c.key().startsWith("w/h/");
    }
  }

  /** The newest form that this build reads of what a key holds. */
  public static int newestReadableEncoding(String key) {
    boolean numbered = key.equals(View.KEY) || key.startsWith("w/p/") || LogPage.isPage(key);
    return Job.isChunkKey(key) ? Encoding.DENSE : numbered ? Encoding.NUMBERED : Encoding.FIRST;
  }

  /** A job is over: what is left of it is to be deleted in time. */
  private void drop(Job j) {
    if (j == null) {
      return;
    }
    for (int k = 0; k < j.chunkCount(); k++) {
      if (j.chunkStamp(k) > 0) {
        orphanedKeys.add(j.chunkKey(k));
      }
    }
    for (int k = 0; j.overflow() != null && k < j.overflow().records(); k++) {
      orphanedKeys.add(j.overflow().key(k));
    }
    j.releaseTasks();
    dependencies.jobRemoved(j);
  }

  /** Gives a job the names that its own record has no room for, once all are there. */
  private boolean gather(Job j) {
    AwaitsOverflow o = j.overflow();
    List<String> all = new ArrayList<>();
    for (int k = 0; o != null && k < o.records(); k++) {
      List<String> some = names.get(o.key(k));
      if (some == null) {
        return false;
      }
      all.addAll(some);
    }
    if (o != null) {
      j.setAwaits(List.copyOf(all));
      for (int k = 0; k < o.records(); k++) {
        names.remove(o.key(k));
      }
    }
    return o != null;
  }

  private static void unknown(StateServiceClient.Change c) throws BadMessage {
    if (c.value() != null) {
      throw new BadMessage("nobody here knows such a record");
    }
  }

  private void applyChecked(StateServiceClient.Change c, boolean whole) throws BadMessage {
    String key = c.key();
    if (key.equals(View.KEY)) {
      View read = c.value() == null ? null : View.parse(c.value());
      view = read;
      viewStamp = c.value() == null ? 0 : c.stamp();
      remark();
      return;
    }
    if (key.equals(CLAIMS_KEY)) {
      claimsStamp = c.value() == null ? 0 : c.stamp();
      return;
    }
    if (key.length() < 5 || key.charAt(3) != '/') {
      unknown(c);
      return;
    }
    String name = key.substring(4);
    Document d = c.value() == null ? null : Encoding.decode(c.value(), newestReadableEncoding(key));
    switch (key.charAt(2)) {
      case 'c' -> registry.apply(name, d, c.stamp());
      case 'j' -> {
        pendingHistory.remove(name);
        if (d != null && d.raw("over") != null) {
          TerminalState how = TerminalState.parse(Document.of(d.raw("over")));
          pendingHistory.put(name, new PendingHistoryEntry(how, c.stamp()));
          rememberTerminalState(name, how);
          drop(jobs.remove(name));
        } else if (c.value() == null) {
          drop(jobs.remove(name));
        } else {
          Job j = jobs.get(name);
          if (j == null) {
            j = new Job(name, usage, changedJobs::add);
            j.applyRecord(d, c.stamp());
            jobs.put(name, j);
            if (foretold.containsKey(name)) {
              j.announceWithdrawal();
            }
            gather(j);
            dependencies.jobAdded(j);
          } else {
            boolean was = j.withdrawnByUser();
            j.applyRecord(d, c.stamp());
            if (was != j.withdrawnByUser()) {
              dependencies.jobChanged(j);
            }
          }
        }
      }
      case 'a' -> {
        if (d == null) {
          names.remove(key);
          orphanedKeys.remove(key);
          return;
        }
        names.put(key, AwaitsOverflow.parseNames(d));
        Job j = jobs.get(AwaitsOverflow.jobOfKey(key));
        if (j != null && j.overflow() != null && j.awaits().isEmpty() && gather(j)) {
          dependencies.jobAdded(j);
        }
      }
      case 't' -> {
        int slash = name.lastIndexOf('/');
        Job j = jobs.get(name.substring(0, slash));
        int chunk = Integer.parseInt(name.substring(slash + 1));
        long stamp = c.value() == null ? 0 : c.stamp();
        if (j != null && whole) {
          j.restoreChunk(chunk, d, stamp, this::getOrCreateMachine);
        } else if (j != null) {
          j.onChunkStored(chunk, d, stamp);
        } else if (c.value() != null) {
          orphanedKeys.add(key);
        } else {
          orphanedKeys.remove(key);
        }
        noteForm(c);
      }
      case 'h' -> shelve(name, d, c.stamp(), whole);
      case 'p' -> {
        if (c.value() == null) {
          partitions.remove(name);
        } else {
          partitions.put(name, Partition.parse(c.value(), c.stamp()));
        }
        noteForm(c);
        remark();
      }
      case 'm' -> member(name, c.value(), c.stamp());
      case 'd' -> {
        if (d != null) {
          rememberTerminalState(name, TerminalState.parse(d));
        }
      }
      default -> unknown(c);
    }
  }

  /**
   * A member that can't be read is none, and holds up every rise of the level; it is tied to a
   * lease, so it is no reason for the others to stop.
   */
  private void member(String name, Object value, long stamp) {
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
      Document d = Encoding.decode(value, Encoding.FIRST);
      String incarnation = d.text("inc");
      String zone = d.textOrNull("zone");
      memberLevels.put(name, LevelRange.parse(d));
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

  private void shelve(String shelf, Document d, long stamp, boolean whole) throws BadMessage {
    if (d == null) {
      archiveBuckets.remove(shelf);
      return;
    }
    archiveBuckets.put(shelf, new ArchiveBucket(stamp, d.count("rev"), d.without("rev", "m")));
    if (whole) {
      onShelf(shelf).forEach(m -> m.restore(null));
      for (Object o : d.list("m")) {
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
