package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Ledger;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Page;
import wickdrift.bookkeeping.Part;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.Txn;
import wickdrift.bookkeeping.View;
import wickdrift.daemon.Settings;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.Report;
import wickdrift.transport.Timers;

/**
 * Writes this node's decisions: exits that reports proved, machines' records, ends of jobs, and
 * placements. One transaction is in flight at a time, decided from the tables as they are; after it
 * the tables are caught up before the next is decided.
 */
public final class Scribe {
  private static final Logger LOG = LoggerFactory.getLogger(Scribe.class);
  private static final long IDLE_TICK_MS = 500;
  private static final long REFUSED_MS = 150;
  private static final long GAP_MS = 10;
  private static final int TASKS_A_ROUND = 256;

  /** So many jobs are tried a round; the next round goes on from what that has changed. */
  private static final int TRIES_A_ROUND = 64;

  /**
   * A job that found no room looks again when there is more, or after this: a fetch may be over.
   */
  private static final long BLOCKED_MS = 500;

  private static final long MARKS_MS = 500;
  private static final int MARK_BYTES = 48;
  private static final int ZONE_COUNT = 4;

  private static final long SHELVES_MS = 5000;

  /** So many jobs a round look for what to stop, each for so many of its tasks. */
  private static final int PREEMPT_SCANS = 4;

  private static final int PREEMPT_MOST = 16;

  /** The pipeline's state. */
  private enum Phase {
    READY,
    /** A transaction is out, or the tables are catching up with one. */
    BUSY,
    /** A placement's outcome is unknown: our part's record must change before we place again. */
    FENCING
  }

  /**
   * An attempt that is over. One that ended on its machine (the worker shows it until it is
   * cleared) or with it stays so. One that is gone without a trace does only as long as nobody runs
   * it again, and under another view its machine's owner may.
   *
   * @param lostIn the epoch in which it was gone without a trace, else 0
   */
  private record Exit(Machine machine, int attempt, String why, long lostIn) {}

  private record TaskKey(String job, int index) {}

  private final Timers timers;
  private final Ledger ledger;
  private final Tables tables;
  private final Board board;
  private final Rooms rooms;
  private final Types types;
  private final Membership membership;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private final Set<String> controllerZones;
  private final int nodeIndex;
  private final Map<TaskKey, Exit> exits = new LinkedHashMap<>();
  private final Map<Machine, Machine.Info> records = new LinkedHashMap<>();

  /** By gang, the machines that take no new tasks until it starts or gives them up. */
  private final Map<String, List<Machine>> marks = new LinkedHashMap<>();

  private Phase phase = Phase.READY;
  private boolean armed;
  private long settledAtMs;
  private long leadSettledAtMs;
  private long lastCycleMs;
  private long nextMarksMs;
  private long placed;
  private long transactions;
  private long nextShelvesMs;
  private int preemptScans;

  public Scribe(
      Timers timers,
      Ledger ledger,
      Tables tables,
      Board board,
      Types types,
      Membership membership,
      Tuning tuning,
      Settings settings,
      int nodeIndex) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.board = board;
    this.rooms = board.rooms();
    board.pending(records::containsKey);
    this.types = types;
    this.membership = membership;
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
    this.controllerZones = settings.controllerZones();
    this.nodeIndex = nodeIndex;
  }

  public void start() {
    idleTick();
  }

  /** Tasks placed so far, those of transactions that failed too. */
  public long placed() {
    return placed;
  }

  public long transactions() {
    return transactions;
  }

  private void idleTick() {
    timers.after(IDLE_TICK_MS, this::idleTick);
    board.tick();
    wake();
  }

  /** Something may be there to write. */
  public void wake() {
    if (phase != Phase.READY || armed) {
      return;
    }
    armed = true;
    // A few milliseconds let what comes together be written together; more when writes are short.
    double ease = ledger.ease();
    long gap = ease > 0.6 ? GAP_MS : ease > 0.3 ? 8 * GAP_MS : 25 * GAP_MS;
    timers.after(
        Math.max(2, lastCycleMs + gap - timers.nowMs()),
        () -> {
          armed = false;
          cycle();
        });
  }

  /** Marks are of one view: the part records were written anew. */
  public void newView() {
    marks.clear();
  }

  /** Taken over: nothing is placed until reports had time to come in, or {@link #settle}. */
  public void hold(long untilMs) {
    settledAtMs = untilMs;
  }

  /** All known machines have reported. */
  public void settle() {
    settledAtMs = Math.min(settledAtMs, timers.nowMs());
    wake();
  }

  /** The lead was taken over: what the leader places waits too. */
  public void holdLead(long untilMs) {
    leadSettledAtMs = untilMs;
  }

  public boolean settled() {
    return timers.nowMs() >= settledAtMs;
  }

  public boolean leadSettled() {
    return settled() && timers.nowMs() >= leadSettledAtMs;
  }

  /** True when this is the first that is heard of it. */
  public boolean exited(Job job, int index, int attempt, Machine machine, String why) {
    Exit exit = new Exit(machine, attempt, why, why == null ? tables.view().epoch() : 0);
    if (exits.putIfAbsent(new TaskKey(job.id(), index), exit) != null) {
      return false;
    }
    wake();
    return true;
  }

  /**
   * Whether the attempt is known to be over, though not durably yet: until it is, a command to run
   * it would start it once more, beside the next attempt.
   */
  public boolean exiting(Job job, int index, int attempt) {
    Exit x = exits.get(new TaskKey(job.id(), index));
    return x != null && x.attempt == attempt;
  }

  /** No one can have renewed the worker's lease: it has killed all it had. */
  public void lapsed(Machine m) {
    int fresh = 0;
    for (Machine.Slot s : m.live()) {
      fresh += exited(s.job(), s.index(), s.state().attempt(), m, null) ? 1 : 0;
    }
    if (fresh > 0) {
      LOG.info("the lease of {}'s worker has ended with {} tasks", m.name(), fresh);
    }
  }

  public void record(Machine m, Machine.Info info) {
    records.put(m, info);
    board.machine(m);
    wake();
  }

  /** After a pause: silence that this process did not listen to proves nothing. */
  public void woke() {
    records
        .entrySet()
        .removeIf(
            e -> {
              boolean silence = e.getValue() != null && e.getValue().phase() == Machine.Phase.LOST;
              if (silence) {
                board.machine(e.getKey());
              }
              return silence;
            });
    // So were losses; whoever owns the machine finds them again. What a worker has shown stands.
    exits.values().removeIf(x -> x.lostIn > 0);
  }

  /** What is about to be recorded of a machine, or null. */
  public Machine.Info recorded(Machine m) {
    return records.get(m);
  }

  public boolean recording(Machine m) {
    return records.containsKey(m);
  }

  // ---- the cycle ----

  private void cycle() {
    if (phase != Phase.READY
        || ledger.phase() != Ledger.Phase.FOLLOWING
        || membership.standing() != Membership.Standing.MEMBER
        || membership.outdated()) {
      return;
    }
    lastCycleMs = timers.nowMs();
    board.update();
    Draft draft = draft();
    draftExits(draft);
    draftEnds(draft);
    draftRecords(draft);
    draftStops(draft);
    if (settled() && types.known() && ledger.reachable()) {
      draftPlacements(draft);
    }
    draftOrphans(draft);
    if (draft.empty() && settled()) {
      draftGift(draft);
    }
    draftFold(draft);
    if (draft.empty()) {
      return;
    }
    phase = Phase.BUSY;
    transactions++;
    boolean places = draft.places();
    Txn txn = draft.finish();
    ledger.commit(txn, false, r -> committed(r, places));
  }

  private Draft draft() {
    return new Draft(
        tables, node, nodeIndex, settings.stateLimits().txnOps(), tuning.logPageBytes());
  }

  private void committed(Ledger.Result r, boolean places) {
    switch (r.outcome()) {
      case OK -> ledger.whenAt(r.rev(), this::ready);
      case FAILED -> {
        LOG.debug("transaction failed on {}", r.failed());
        ledger.whenAt(r.rev(), this::ready);
      }
      case REFUSED -> timers.after(REFUSED_MS + nodeIndex * 20L, this::ready);
      case UNKNOWN -> {
        if (places) {
          phase = Phase.FENCING;
          fence();
        } else {
          afterBarrier(this::ready);
        }
      }
    }
  }

  private void ready() {
    phase = Phase.READY;
    wake();
  }

  /**
   * A placement whose outcome is unknown may be applied late, beside others that are decided
   * without it. Rewriting our part's record settles it: after that it was applied or never will be.
   */
  private void fence() {
    afterBarrier(
        () -> {
          Part p = tables.part(node);
          if (p == null || membership.standing() != Membership.Standing.MEMBER) {
            // Outside the view nothing is placed, and joining again rewrites the record.
            timers.after(REFUSED_MS, this::fence);
            return;
          }
          Txn txn = new Txn().when(Part.key(node), p.stamp()).write(Part.key(node), p.toStore());
          ledger.commit(
              txn,
              true,
              r -> {
                if (r.outcome() == Ledger.Outcome.OK) {
                  ledger.whenAt(r.rev(), this::ready);
                } else {
                  timers.after(REFUSED_MS, this::fence);
                }
              });
        });
  }

  private void afterBarrier(Runnable next) {
    ledger.barrier(
        2000,
        ok -> {
          if (ok) {
            next.run();
          } else {
            timers.after(REFUSED_MS, () -> afterBarrier(next));
          }
        });
  }

  // ---- exits, ends, records ----

  private void draftExits(Draft draft) {
    for (Machine m : board.gone()) {
      if (node.equals(m.owner(tables.view()))) {
        for (Machine.Slot s : m.live()) {
          exits.putIfAbsent(
              new TaskKey(s.job().id(), s.index()), new Exit(m, s.state().attempt(), null, 0));
        }
      }
    }
    Iterator<Map.Entry<TaskKey, Exit>> it = exits.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<TaskKey, Exit> e = it.next();
      Job job = tables.job(e.getKey().job());
      int index = e.getKey().index();
      TaskState s = job == null ? null : job.task(index);
      Exit x = e.getValue();
      // Under another view someone else may have owned the machine, and have answered its worker.
      boolean stale = x.lostIn > 0 && x.lostIn != tables.view().epoch();
      if (stale || s == null || !s.live() || s.attempt() != x.attempt || s.machine() != x.machine) {
        it.remove();
        continue;
      }
      if (!draft.takes(job, 1)) {
        break;
      }
      if (x.lostIn > 0 && !underView(draft)) {
        continue;
      }
      if (job.spec().shape() == JobSpec.Shape.GANG) {
        draftGangExit(draft, job, index, x.why);
      } else {
        draft.exit(job, index, x.why);
      }
    }
  }

  /**
   * Makes the draft fail if the view has changed: whoever owns the machine now may have renewed its
   * worker's lease since. The lease of our own that was looked at before may have ended by the time
   * that the transaction arrives; the part's record, which every change of view rewrites, has not.
   */
  private boolean underView(Draft draft) {
    Part mine = tables.part(node);
    if (mine == null || mine.epoch() != tables.view().epoch()) {
      return false;
    }
    if (!draft.touches(Part.key(node))) {
      draft.when(Part.key(node), mine.stamp());
    }
    return true;
  }

  /** A gang is done, or lost, together: when one task is done, every one is. */
  private void draftGangExit(Draft draft, Job job, int index, String why) {
    boolean done = Report.DONE.equals(why) || draft.done(job) > 0;
    TaskState was = draft.state(job, index);
    if (!done && job.size() > 1 && was.stop() == TaskState.Stop.NONE) {
      LOG.info(
          "gang {} attempt {} has lost member {} on {} ({}), {} s after it was placed",
          job.id(),
          was.attempt(),
          index,
          was.machine().name(),
          why,
          was.machine().ageMs(job, index, timers.nowMs()) / 1000);
    }
    draft.exit(job, index, done ? Report.DONE : why);
    for (int i = 0; i < job.size(); i++) {
      TaskState s = draft.state(job, i);
      if (i == index || !draft.takes(job, 1)) {
        continue;
      }
      if (done && s.phase() == TaskState.Phase.WAITING) {
        draft.change(job, i, TaskState::doneWithGang);
      } else if (s.live() && !done) {
        // The others cannot go on without it; a new attempt needs all of this one to be over.
        draft.change(job, i, t -> t.stopping(TaskState.Stop.SAVE));
      }
    }
  }

  private void draftEnds(Draft draft) {
    Set<Job> candidates = new LinkedHashSet<>(draft.touched());
    candidates.addAll(board.endable());
    for (Job job : candidates) {
      if (!draft.roomToEnd()) {
        return;
      }
      boolean mine = node.equals(tables.view().placer(job.part(), job.id()));
      if (draft.touched().contains(job) || mine) {
        if (job.withdrawn()) {
          if (draft.live(job) == 0) {
            draft.end(job, "withdrawn");
          }
        } else if (draft.done(job) == job.size()) {
          draft.end(job, "done");
        }
      }
    }
  }

  private void draftRecords(Draft draft) {
    Iterator<Map.Entry<Machine, Machine.Info>> it = records.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<Machine, Machine.Info> e = it.next();
      Machine m = e.getKey();
      Machine.Info wanted = e.getValue();
      // One that no longer follows on what is known would be void, and be written for ever; so
      // would one of a machine that was forgotten meanwhile, as when two leaders returned it.
      boolean is = wanted == null ? !m.mayBeForgotten() : !m.phase().mayBecome(wanted.phase());
      if (is || tables.machine(m.name()) != m) {
        it.remove();
        board.machine(m);
        continue;
      }
      if (!draft.takesMachine(m)) {
        return;
      }
      draft.machine(m, wanted);
    }
  }

  private void draftOrphans(Draft draft) {
    if (!membership.leads()) {
      return;
    }
    for (String key : tables.orphans()) {
      if (!draft.hasRoom()) {
        return;
      }
      draft.delete(key);
    }
  }

  /** A gang with a member being stopped is stopped whole, within the time its mates wait. */
  private void draftStops(Draft draft) {
    for (Job job : board.halting()) {
      for (int i = 0; i < job.size(); i++) {
        if (draft.state(job, i).live() && draft.takes(job, 1)) {
          draft.change(job, i, t -> t.stopping(TaskState.Stop.SAVE));
        }
      }
    }
  }

  /** Only while nothing else is to be written: then nothing of ours is about to use the share. */
  private void draftGift(Draft draft) {
    Quota.Gift g = new Quota(settings, tables).gift(membership.leads(), board.queue().waiting());
    if (g != null) {
      LOG.info("giving quota of {} from {} to {}", g.team(), g.from(), g.to());
      draft.write(Part.key(g.from()), g.giver().toStore(), g.giver().stamp());
      draft.write(Part.key(g.to()), g.taker().toStore(), g.taker().stamp());
    }
  }

  // ---- folding the log ----

  /**
   * Stores what the oldest page says in the jobs' chunks and the machines' shelves, then deletes
   * it. While there is other work this waits, until the log is twice as long as it should be.
   */
  private void draftFold(Draft draft) {
    List<String> logs = new ArrayList<>(List.of(node));
    if (membership.leads()) {
      // A node outside the view can't write: the leader does it.
      for (String n : tables.logs()) {
        if (!tables.view().members().containsKey(n)) {
          logs.add(n);
        }
      }
      forgetShelves(draft);
    }
    for (String n : logs) {
      var pages = tables.log(n);
      // What has ended by the time its page is the oldest needs no folding.
      int keep = n.equals(node) ? tuning.logPages() : 0;
      if (pages.size() > (draft.empty() ? keep : 2 * keep)) {
        fold(draft, pages.firstEntry().getValue());
      }
    }
  }

  private void fold(Draft draft, Page p) {
    Tables.Needed needed = tables.needed(p);
    long rev = ledger.rev();
    for (Map.Entry<Job, Set<Integer>> e : needed.chunks().entrySet()) {
      Job job = e.getKey();
      for (int c : e.getValue()) {
        if (!draft.hasRoom() || !draft.hasConditions()) {
          return;
        }
        draft.when(job.key(), job.stamp());
        draft.write(job.chunkKey(c), job.encodeChunk(c, rev, job::task), job.chunkStamp(c));
      }
    }
    for (String shelf : needed.shelves()) {
      if (!draft.hasRoom() || !draft.hasConditions()) {
        return;
      }
      draft.write(
          Tables.shelfKey(shelf), tables.encodeShelf(shelf, rev), tables.shelf(shelf).stamp());
    }
    // In the same transaction: if a chunk can't be stored, the page stays.
    if (draft.hasRoom() && draft.hasConditions()) {
      draft.when(p.key(), p.stamp());
      draft.delete(p.key());
    }
  }

  /** A shelf whose machines are all forgotten goes when no page is left that names them. */
  private void forgetShelves(Draft draft) {
    long now = timers.nowMs();
    if (!draft.empty() || now < nextShelvesMs) {
      return;
    }
    nextShelvesMs = now + SHELVES_MS;
    long oldest = tables.oldestEntry();
    for (Map.Entry<String, Tables.Shelf> e : tables.shelves().entrySet()) {
      if (e.getValue().rev() < oldest && tables.emptyShelf(e.getKey()) && draft.hasRoom()) {
        draft.when(Tables.shelfKey(e.getKey()), e.getValue().stamp());
        draft.delete(Tables.shelfKey(e.getKey()));
      }
    }
  }

  // ---- placements ----

  private void draftPlacements(Draft draft) {
    View v = tables.view();
    Part mine = tables.part(node);
    if (mine == null || mine.epoch() != v.epoch()) {
      return;
    }
    boolean leader = node.equals(v.leader());
    long now = timers.nowMs();
    rooms.newRound(now);
    Quota quota = new Quota(settings, tables);
    boolean placedAny = false;
    Set<String> foreign = new HashSet<>();
    List<JobSpec> noRoom = new ArrayList<>();
    List<JobSpec> noRoomAnywhere = new ArrayList<>();
    int tries = 0;
    preemptScans = 0;
    for (Job job : board.queue().waiting()) {
      if (!draft.hasRoom() || !draft.hasConditions() || tries >= TRIES_A_ROUND) {
        break;
      }
      if (!node.equals(v.placer(job.part(), job.id()))
          || job.part().equals(Job.LEADER) && !leadSettled()) {
        continue;
      }
      if (job.retryAtMs() > now) {
        job.notWaiting();
        continue;
      }
      if (job.stillBlocked(rooms.version(), now)) {
        continue;
      }
      boolean asLeader = leader && job.part().equals(Job.LEADER);
      if (!asLeader && !foreign.isEmpty()) {
        // Others may have written meanwhile: what is in our own part is not to fail with that.
        continue;
      }
      List<JobSpec> failed = asLeader ? noRoomAnywhere : noRoom;
      int before = draft.live(job);
      boolean hopeless = failed.stream().anyMatch(f -> needsNoLess(job.spec(), f));
      if (!asLeader && draft.hasRoom() && imageIsElsewhere(job)) {
        // The leader, who sees all parts, places it beside the image at once.
        draft.handOver(job, Job.LEADER);
        continue;
      }
      if (!hopeless) {
        tries++;
        if (job.spec().shape() == JobSpec.Shape.GANG) {
          placeGang(draft, job, quota, v, foreign);
        } else {
          placeTasks(draft, job, asLeader, quota, v, foreign, failed);
        }
      }
      if (draft.live(job) > before) {
        placedAny = true;
        draft.when(job.key(), job.stamp());
        job.notWaiting();
        if (job.suspect()) {
          job.probed(now);
        }
        continue;
      }
      job.blocked(rooms.version(), now + BLOCKED_MS);
      if (draft.hasRoom()) {
        preempt(draft, job, asLeader, quota, now);
        if (!asLeader && draft.hasRoom() && handOver(job, now)) {
          draft.handOver(job, Job.LEADER);
        }
      }
    }
    if (leader && leadSettled()) {
      draftMarks(draft, v, now);
    }
    if (placedAny && !draft.touches(Part.key(node))) {
      draft.when(Part.key(node), mine.stamp());
    }
  }

  /**
   * Whether a service would have to fetch its image here, while another part has room beside it.
   */
  private boolean imageIsElsewhere(Job job) {
    JobSpec spec = job.spec();
    if (spec.shape() != JobSpec.Shape.SERVICE
        || rooms.freeBesideImage(spec, node, job.waiting()) >= job.waiting()) {
      return false;
    }
    int elsewhere = 0;
    for (String member : tables.view().members().keySet()) {
      elsewhere += member.equals(node) ? 0 : rooms.freeBesideImage(spec, member, job.waiting());
    }
    return elsewhere >= job.waiting();
  }

  /** Whether there is no room for it either, given that there was none for the other. */
  private static boolean needsNoLess(JobSpec s, JobSpec failed) {
    return s.cpus() >= failed.cpus()
        && s.gpus() >= failed.gpus()
        && s.memoryGb() >= failed.memoryGb()
        && s.image().equals(failed.image())
        && (failed.spot() || !s.spot())
        && (failed.zone() == null || failed.zone().equals(s.zone()))
        && (failed.types() == null || failed.types().equals(s.types()));
  }

  private Predicate<Rooms.Cell> scope(boolean asLeader) {
    return asLeader ? c -> true : c -> c.owner.equals(node);
  }

  // ---- marks ----

  /**
   * A gang that has waited for a while marks the machines that will be empty soonest. Marks are in
   * the part records, so that their owners place nothing there; here is only whose they are.
   */
  private void draftMarks(Draft draft, View v, long now) {
    if (now < nextMarksMs) {
      return;
    }
    nextMarksMs = now + MARKS_MS;
    Map<String, Job> waitingGangs = new LinkedHashMap<>();
    for (Job job : board.queue().waiting()) {
      if (job.spec().shape() == JobSpec.Shape.GANG
          && job.part().equals(Job.LEADER)
          && job.live() == 0
          && draft.live(job) == 0
          && !job.suspect()) {
        waitingGangs.put(job.id(), job);
      }
    }
    marks.keySet().retainAll(waitingGangs.keySet());
    for (List<Machine> l : marks.values()) {
      l.removeIf(m -> m.phase() != Machine.Phase.UP);
    }
    Set<Machine> marked = new HashSet<>();
    marks.values().forEach(marked::addAll);
    for (Job job : waitingGangs.values()) {
      if (now - job.waitingSinceMs(now) >= tuning.markWaitMs()) {
        mark(job, marked, now);
      }
    }
    Map<String, List<String>> wanted = new HashMap<>();
    for (Machine m : marked) {
      wanted.computeIfAbsent(m.owner(v), k -> new ArrayList<>()).add(m.name());
    }
    for (String member : v.members().keySet()) {
      Part p = tables.part(member);
      List<String> names = wanted.getOrDefault(member, List.of());
      names = names.stream().sorted().limit(maxMarks()).toList();
      if (p != null
          && !p.taken().equals(names)
          && draft.hasRoom()
          && !draft.touches(Part.key(member))) {
        draft.write(Part.key(member), p.with(names).toStore(), p.stamp());
      }
    }
  }

  /** So many names leave room in a part's record for its shares, whatever the limit of a value. */
  private int maxMarks() {
    return (int) (settings.stateLimits().valueKb() * 1024 / 2 / MARK_BYTES);
  }

  private void mark(Job job, Set<Machine> marked, long now) {
    List<Machine> mine = marks.computeIfAbsent(job.id(), k -> new ArrayList<>());
    while (mine.size() < job.waiting() && marked.size() < maxMarks()) {
      String zone = job.spec().oneZone() && !mine.isEmpty() ? mine.get(0).info().zone() : null;
      Soonest s = new Soonest(now);
      rooms.each(
          job.spec(),
          c -> zone == null || zone.equals(c.zone),
          r -> {
            if (!marked.contains(r.machine())) {
              s.look(r.machine());
            }
          });
      if (s.best == null) {
        return;
      }
      mine.add(s.best);
      marked.add(s.best);
    }
  }

  /** The machine that will be empty soonest, as far as the estimates tell. */
  private static final class Soonest {
    private final long now;
    private Machine best;
    private double bestLeft;

    Soonest(long now) {
      this.now = now;
    }

    void look(Machine m) {
      double left = 0;
      for (Machine.Slot s : m.live()) {
        left = Math.max(left, s.leftMs(now));
      }
      if (left < Double.MAX_VALUE && (best == null || left < bestLeft)) {
        best = m;
        bestLeft = left;
      }
    }
  }

  // ---- preemption ----

  /**
   * A job that finds no room stops work of lower priority: work of the lowest at once, for that
   * takes what others leave and gives it back; other work when a good part of the time in which the
   * job should start has passed.
   */
  private void preempt(Draft draft, Job job, boolean asLeader, Quota quota, long now) {
    JobSpec spec = job.spec();
    long waited = now - job.waitingSinceMs(now);
    if (spec.priority() == JobSpec.Priority.LOW
        || job.suspect()
        || preemptScans >= PREEMPT_SCANS
        || now < job.preemptAtMs()) {
      return;
    }
    long patience = preemptAfterMs(spec);
    if (waited < Math.min(patience, tuning.preemptLowMs()) || !quota.allows(spec)) {
      return;
    }
    preemptScans++;
    job.preemptAtMs(now + BLOCKED_MS);
    JobSpec.Priority strongest = waited < patience ? JobSpec.Priority.LOW : JobSpec.Priority.HIGH;
    List<Room> may = new ArrayList<>();
    Map<String, Integer> zones = zones(draft, job);
    Predicate<Rooms.Cell> scope = scope(asLeader);
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    if (gang && asLeader) {
      emptyMarked(draft, job, strongest, now);
    }
    int lack = job.waiting() - (gang ? marks.getOrDefault(job.id(), List.of()).size() : 0);
    if (lack <= 0) {
      return;
    }
    rooms.each(spec, c -> scope.test(c) && zoneAllows(spec, zones, c.zone), may::add);
    if (gang) {
      keepToMarkedZone(job, may);
      if (spec.oneZone()) {
        keepToCheapestZone(may, spec, strongest, lack, now);
      }
    }
    for (Preemption.Choice c :
        Preemption.cheapest(may, spec, strongest, now, Math.min(lack, PREEMPT_MOST))) {
      if (gang && asLeader) {
        // Else what is stopped for it makes room for others.
        markFor(job, c.machine(), now);
      }
      stop(draft, job, c);
    }
  }

  private void stop(Draft draft, Job job, Preemption.Choice c) {
    for (Machine.Slot s : c.victims()) {
      if (draft.takes(s.job(), 1)) {
        if (draft.state(s.job(), s.index()).stop() == TaskState.Stop.NONE) {
          LOG.info("{} gives way to {}", s.task(), job.id());
        }
        draft.change(
            s.job(), s.index(), t -> t.live() ? t.stopping(Preemption.how(s.job().spec())) : t);
      }
    }
  }

  /** Stops what may be stopped on all the machines that a gang has marked, not one by one. */
  private void emptyMarked(Draft draft, Job job, JobSpec.Priority strongest, long now) {
    for (Machine m : marks.getOrDefault(job.id(), List.of())) {
      TypeInfo t = m.info() == null ? null : types.find(m.info().type());
      Preemption.Choice c =
          t == null ? null : Preemption.on(new Room(m, t), job.spec(), strongest, now);
      if (c != null) {
        stop(draft, job, c);
      }
    }
  }

  /** Machines already marked are being emptied; the rest of a one-zone gang goes beside them. */
  private void keepToMarkedZone(Job job, List<Room> may) {
    List<Machine> mine = marks.getOrDefault(job.id(), List.of());
    if (job.spec().oneZone() && !mine.isEmpty()) {
      String zone = mine.get(0).info().zone();
      may.removeIf(r -> !zone.equals(r.machine().info().zone()));
    }
    may.removeIf(r -> mine.contains(r.machine()));
  }

  /** Of the zones where enough machines can be emptied, the one where that costs least. */
  private static void keepToCheapestZone(
      List<Room> may, JobSpec spec, JobSpec.Priority strongest, int lack, long now) {
    Map<String, List<Room>> byZone = new HashMap<>();
    for (Room r : may) {
      byZone.computeIfAbsent(r.machine().info().zone(), k -> new ArrayList<>()).add(r);
    }
    List<Room> best = List.of();
    double least = Double.MAX_VALUE;
    for (List<Room> rooms : byZone.values()) {
      List<Preemption.Choice> all = Preemption.cheapest(rooms, spec, strongest, now, lack);
      double lost = all.stream().mapToDouble(Preemption.Choice::lost).sum();
      if (all.size() == lack && lost < least) {
        least = lost;
        best = rooms;
      }
    }
    may.retainAll(Set.copyOf(best));
  }

  private void markFor(Job job, Machine m, long now) {
    List<Machine> mine = marks.computeIfAbsent(job.id(), k -> new ArrayList<>());
    if (!mine.contains(m) && mine.size() < job.waiting()) {
      mine.add(m);
      nextMarksMs = now;
    }
  }

  private long preemptAfterMs(JobSpec spec) {
    double boot = 0;
    for (TypeInfo t : types.all()) {
      boot = Math.max(boot, t.canHold(spec) ? t.bootS() * 1000 : 0);
    }
    // Where a rented machine comes in time, it is waited for: stopping work wastes it.
    long patient = Math.max(tuning.preemptMs(), (long) (boot * tuning.preemptBoots()));
    for (Settings.Objective o : settings.objectives()) {
      boolean ours = o.kind().equals("wait") && spec.jobClass().equals(o.jobClass());
      if (ours && o.withinS() * 1000 < boot * tuning.preemptBoots()) {
        patient = Math.min(patient, (long) (o.withinS() * 1000 * tuning.preemptShare()));
      }
    }
    return patient;
  }

  /** A job waits in a full part while another part has room: the leader, who sees all, takes it. */
  private boolean handOver(Job job, long now) {
    return now - job.waitingSinceMs(now) >= tuning.handoverMs()
        && !rooms.any(job.spec(), scope(false))
        && rooms.any(job.spec(), scope(true));
  }

  /** How many of the job's live attempts are in each zone, as durable plus drafted. */
  private static Map<String, Integer> zones(Draft draft, Job job) {
    Map<String, Integer> n = new HashMap<>();
    if (!job.spec().oneZone() && !job.spec().spread() || draft.live(job) == 0) {
      return n;
    }
    for (int i = 0; i < job.size(); i++) {
      TaskState s = draft.state(job, i);
      if (s.live()) {
        Machine.Info info = s.machine().info();
        // A machine whose record is gone may be in any zone; the mark blocks a one-zone job.
        n.merge(info == null ? "?" : info.zone(), 1, Integer::sum);
      }
    }
    return n;
  }

  private static boolean zoneAllows(JobSpec s, Map<String, Integer> zones, String zone) {
    int unknown = zones.getOrDefault("?", 0);
    if (s.oneZone() && !zones.isEmpty() && !(zones.size() == 1 && zones.containsKey(zone))) {
      return false;
    }
    return !s.spread() || zones.getOrDefault(zone, 0) + unknown < s.zoneLimit();
  }

  private void placeTasks(
      Draft draft,
      Job job,
      boolean asLeader,
      Quota quota,
      View v,
      Set<String> foreign,
      List<JobSpec> failed) {
    JobSpec spec = job.spec();
    Map<String, Integer> zones = zones(draft, job);
    Predicate<Rooms.Cell> scope = scope(asLeader);
    int placed = 0;
    // Of a job that seems to fail everywhere, one task is enough to see.
    int most = job.suspect() ? 1 : TASKS_A_ROUND;
    for (int i = job.nextWaiting(0); i >= 0 && placed < most; i = job.nextWaiting(i + 1)) {
      if (draft.state(job, i).phase() != TaskState.Phase.WAITING) {
        continue;
      }
      if (!draft.takes(job, 1) || !quota.allows(spec)) {
        return;
      }
      Room r = chooseFor(spec, c -> scope.test(c) && zoneAllows(spec, zones, c.zone));
      if (r == null && zones.isEmpty()) {
        failed.add(spec);
      }
      if (r == null || !reserve(draft, r, v, foreign)) {
        return;
      }
      put(draft, job, i, draft.state(job, i).attempt() + 1, r, quota);
      zones.merge(r.machine().info().zone(), 1, Integer::sum);
      placed++;
    }
  }

  /**
   * Replicas go to zones that have a controller, if there is room: when another zone is cut off, no
   * one renews its workers' leases, and all that runs there ends. A machine that has the image is
   * worth more than that.
   */
  private Room chooseFor(JobSpec spec, Predicate<Rooms.Cell> allowed) {
    if (spec.shape() != JobSpec.Shape.SERVICE) {
      return rooms.choose(spec, allowed);
    }
    Room near = rooms.choose(spec, allowed.and(c -> controllerZones.contains(c.zone)));
    if (near != null && near.hasImage(spec)) {
      return near;
    }
    Room any = rooms.choose(spec, allowed);
    return near == null || any != null && any.hasImage(spec) ? any : near;
  }

  private void put(Draft draft, Job job, int index, int attempt, Room r, Quota quota) {
    LOG.debug(
        "placing {} {}/{} on {}, load {}, image there {}, {} ms after it was accepted",
        job.spec().jobClass(),
        job.id(),
        index,
        r.machine().name(),
        r.load(),
        r.hasImage(job.spec()),
        timers.wallMs() - job.acceptedWallMs());
    placed++;
    rooms.book(r, job.spec());
    quota.book(job.spec());
    draft.change(job, index, t -> t.placed(attempt, r.machine(), nodeIndex));
  }

  /**
   * The leader takes a machine of another's part by rewriting that part's record, and hands it back
   * in the same step: from then on the booking itself is what the owner sees.
   */
  private boolean reserve(Draft draft, Room r, View v, Set<String> foreign) {
    String owner = r.machine().owner(v);
    if (owner.equals(node) || foreign.contains(owner)) {
      return true;
    }
    Part p = tables.part(owner);
    if (p == null || !draft.hasRoom()) {
      return false;
    }
    draft.write(Part.key(owner), p.toStore(), p.stamp());
    // The owner's own placements leave its part's record alone. Those that we have not seen yet
    // are in its log: if it has written since, what we took for room may be gone.
    draft.whenLogStands(owner);
    foreign.add(owner);
    return true;
  }

  /** A gang starts whole: every member has a machine, or none is placed. */
  private void placeGang(Draft draft, Job job, Quota quota, View v, Set<String> foreign) {
    JobSpec spec = job.spec();
    if (draft.live(job) > 0 || draft.done(job) > 0 && job.waiting() == 0) {
      return;
    }
    // Counted as drafted: members whose exits are in this transaction wait from then on.
    int waiting = 0;
    int attempt = 0;
    for (int i = 0; i < job.size(); i++) {
      attempt = Math.max(attempt, draft.state(job, i).attempt());
      waiting += draft.state(job, i).phase() == TaskState.Phase.WAITING ? 1 : 0;
    }
    if (!quota.allows(spec, waiting)
        || !draft.takesWhole(job, waiting, v.members().size() - foreign.size())
        || !draft.hasRoom(v.members().size() - foreign.size())) {
      return;
    }
    lendMarked(job);
    List<Room> chosen = gangRooms(job, waiting);
    for (int n = 0; chosen != null && n < chosen.size(); n++) {
      if (!reserve(draft, chosen.get(n), v, foreign)) {
        chosen = null;
      }
    }
    if (chosen != null) {
      int k = 0;
      for (int i = 0; i < job.size(); i++) {
        if (draft.state(job, i).phase() == TaskState.Phase.WAITING) {
          put(draft, job, i, attempt + 1, chosen.get(k++), quota);
        }
      }
    }
    takeBackMarked(job);
  }

  private void lendMarked(Job job) {
    marks.getOrDefault(job.id(), List.of()).forEach(board::lend);
  }

  private void takeBackMarked(Job job) {
    marks.getOrDefault(job.id(), List.of()).forEach(board::takeBack);
  }

  /** Machines for all waiting members, or null; nothing stays booked. */
  private List<Room> gangRooms(Job job, int waiting) {
    JobSpec spec = job.spec();
    List<String> tries = new ArrayList<>();
    if (spec.oneZone()) {
      // Zones that have a controller, and of those the one with the most room, first.
      Map<String, Integer> room = new HashMap<>();
      for (String z : rooms.zones()) {
        room.put(z, rooms.count(spec, c -> c.zone.equals(z), ZONE_COUNT * waiting));
        if (room.get(z) >= waiting) {
          tries.add(z);
        }
      }
      tries.sort(
          Comparator.comparing((String z) -> !controllerZones.contains(z))
              .thenComparingInt(z -> -room.get(z)));
    } else {
      tries.add(null);
    }
    for (String zone : tries) {
      List<Room> chosen = new ArrayList<>();
      List<Room.Saved> saved = new ArrayList<>();
      Map<String, Integer> zones = new HashMap<>();
      for (int n = 0; n < waiting; n++) {
        Room r =
            rooms.choose(
                spec,
                c -> (zone == null || zone.equals(c.zone)) && zoneAllows(spec, zones, c.zone));
        if (r == null) {
          break;
        }
        saved.add(r.save());
        rooms.book(r, spec);
        zones.merge(r.machine().info().zone(), 1, Integer::sum);
        chosen.add(r);
      }
      for (int n = chosen.size() - 1; n >= 0; n--) {
        rooms.restore(chosen.get(n), saved.get(n));
      }
      if (chosen.size() == waiting) {
        return chosen;
      }
    }
    return null;
  }
}
