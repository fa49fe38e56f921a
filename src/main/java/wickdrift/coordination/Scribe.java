package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Ledger;
import wickdrift.bookkeeping.Machine;
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
  private static final int TASKS_A_ROUND = 256;

  /** The pipeline's state. */
  private enum Phase {
    READY,
    /** A transaction is out, or the tables are catching up with one. */
    BUSY,
    /** A placement's outcome is unknown: our part's record must change before we place again. */
    FENCING
  }

  private record Exit(Machine machine, int attempt, String why) {}

  private record TaskKey(String job, int index) {}

  private final Timers timers;
  private final Ledger ledger;
  private final Tables tables;
  private final Types types;
  private final Membership membership;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private final int nodeIndex;
  private final Map<TaskKey, Exit> exits = new LinkedHashMap<>();
  private final Map<Machine, Machine.Info> records = new LinkedHashMap<>();

  /** By gang, the machines that take no new tasks until it starts or gives them up. */
  private final Map<String, List<Machine>> marks = new LinkedHashMap<>();

  private Phase phase = Phase.READY;
  private boolean armed;
  private long settledAtMs;
  private long lastCycleMs;

  public Scribe(
      Timers timers,
      Ledger ledger,
      Tables tables,
      Types types,
      Membership membership,
      Tuning tuning,
      Settings settings,
      int nodeIndex) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.types = types;
    this.membership = membership;
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
    this.nodeIndex = nodeIndex;
  }

  public void start() {
    idleTick();
  }

  private void idleTick() {
    timers.after(IDLE_TICK_MS, this::idleTick);
    wake();
  }

  /** Something may be there to write. */
  public void wake() {
    if (phase != Phase.READY || armed) {
      return;
    }
    armed = true;
    // A few milliseconds let what comes together be written together.
    timers.after(
        Math.max(2, lastCycleMs + 10 - timers.nowMs()),
        () -> {
          armed = false;
          cycle();
        });
  }

  /** A new view: nothing is placed until reports had time to come in. */
  public void hold(long untilMs) {
    settledAtMs = untilMs;
    marks.clear();
  }

  public boolean settled() {
    return timers.nowMs() >= settledAtMs;
  }

  public void exited(Job job, int index, int attempt, Machine machine, String why) {
    if (exits.putIfAbsent(new TaskKey(job.id(), index), new Exit(machine, attempt, why)) == null) {
      wake();
    }
  }

  public void record(Machine m, Machine.Info info) {
    records.put(m, info);
    wake();
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
    Draft draft = new Draft(settings.stateLimits().txnOps());
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
    if (draft.empty()) {
      return;
    }
    phase = Phase.BUSY;
    boolean places = draft.places();
    Txn txn = draft.finish();
    ledger.commit(txn, false, r -> committed(r, places));
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
    View v = tables.view();
    for (Machine m : tables.machines()) {
      if (m.phase() == Machine.Phase.GONE && node.equals(v.owner(m.name()))) {
        for (Machine.Slot s : m.live()) {
          exits.putIfAbsent(
              new TaskKey(s.job().id(), s.index()), new Exit(m, s.state().attempt(), null));
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
      if (s == null || !s.live() || s.attempt() != x.attempt || s.machine() != x.machine) {
        it.remove();
        continue;
      }
      if (!draft.takes(job, index)) {
        break;
      }
      if (job.spec().shape() == JobSpec.Shape.GANG) {
        draftGangExit(draft, job, index, x.why);
      } else {
        draft.change(job, index, t -> t.exited(x.why));
      }
    }
  }

  /** A gang is done, or lost, together: when one task is done, every one is. */
  private void draftGangExit(Draft draft, Job job, int index, String why) {
    boolean done = Report.DONE.equals(why) || draft.done(job) > 0;
    draft.change(job, index, t -> t.exited(done ? Report.DONE : why));
    for (int i = 0; i < job.size(); i++) {
      TaskState s = draft.state(job, i);
      if (i == index || !draft.takes(job, i)) {
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
    for (Job job : tables.jobs()) {
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
    while (it.hasNext() && draft.hasRoom()) {
      Map.Entry<Machine, Machine.Info> e = it.next();
      Machine m = e.getKey();
      Machine.Info wanted = e.getValue();
      boolean same =
          wanted == null
              ? m.stamp() == 0
              : m.info() != null
                  && (m.phase() == wanted.phase() || m.phase() == Machine.Phase.GONE);
      if (same) {
        it.remove();
        continue;
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
    for (Job job : tables.jobs()) {
      if (job.spec().shape() != JobSpec.Shape.GANG || job.live() < 2) {
        continue;
      }
      boolean any = false;
      for (int i = 0; i < job.size(); i++) {
        any |= draft.state(job, i).live() && draft.state(job, i).stop() != TaskState.Stop.NONE;
      }
      for (int i = 0; any && i < job.size(); i++) {
        if (draft.state(job, i).live() && draft.takes(job, i)) {
          draft.change(job, i, t -> t.stopping(TaskState.Stop.SAVE));
        }
      }
    }
  }

  /** Only while nothing else is to be written: then nothing of ours is about to use the share. */
  private void draftGift(Draft draft) {
    Quota.Gift g = new Quota(settings, tables).gift(membership.leads());
    if (g != null) {
      LOG.info("giving quota of {} from {} to {}", g.team(), g.from(), g.to());
      draft.write(Part.key(g.from()), g.giver().toStore(), g.giver().stamp());
      draft.write(Part.key(g.to()), g.taker().toStore(), g.taker().stamp());
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
    List<Room> own = new ArrayList<>();
    List<Room> all = new ArrayList<>();
    rooms(v, own, all);
    Quota quota = new Quota(settings, tables);
    long now = timers.nowMs();
    boolean placedAny = false;
    List<Job> queue = Queue.order(tables, settings);
    Set<String> foreign = new HashSet<>();
    for (Job job : queue) {
      if (!node.equals(v.placer(job.part(), job.id()))) {
        continue;
      }
      if (job.withdrawn() || job.waiting() == 0 || job.retryAtMs() > now) {
        job.notWaiting();
        continue;
      }
      boolean asLeader = leader && job.part().equals(Job.LEADER);
      List<Room> rooms = asLeader ? all : own;
      int before = draft.live(job);
      if (job.spec().shape() == JobSpec.Shape.GANG) {
        placeGang(draft, job, withMarked(job, rooms), quota, v, foreign);
      } else {
        placeTasks(draft, job, rooms, quota, v, foreign);
      }
      if (draft.live(job) == before) {
        preempt(draft, job, rooms, quota, now);
      }
      if (draft.live(job) > before) {
        placedAny = true;
        draft.when(job.key(), job.stamp());
        job.notWaiting();
      } else if (!asLeader && draft.hasRoom() && handOver(job, own, all, now)) {
        draft.jobRecord(job, Job.LEADER, false);
      }
      if (!draft.hasRoom()) {
        break;
      }
    }
    if (leader) {
      draftMarks(draft, queue, all, v, now);
    }
    if (placedAny && !draft.touches(Part.key(node))) {
      draft.when(Part.key(node), mine.stamp());
    }
  }

  // ---- marks ----

  private List<Room> withMarked(Job job, List<Room> rooms) {
    List<Machine> mine = marks.get(job.id());
    if (mine == null) {
      return rooms;
    }
    List<Room> out = new ArrayList<>(rooms);
    for (Machine m : mine) {
      if (m.phase() == Machine.Phase.UP && types.find(m.info().type()) != null) {
        out.add(Room.of(m, types.find(m.info().type()), timers.nowMs()));
      }
    }
    return out;
  }

  /**
   * A gang that has waited for a while marks the machines that will be empty soonest. Marks are in
   * the part records, so that their owners place nothing there; here is only whose they are.
   */
  private void draftMarks(Draft draft, List<Job> queue, List<Room> all, View v, long now) {
    Map<String, Job> waitingGangs = new LinkedHashMap<>();
    for (Job job : queue) {
      if (job.spec().shape() == JobSpec.Shape.GANG
          && job.part().equals(Job.LEADER)
          && job.live() == 0
          && draft.live(job) == 0
          && job.retryAtMs() <= now) {
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
        mark(job, all, marked, now);
      }
    }
    for (String member : v.members().keySet()) {
      Part p = tables.part(member);
      List<String> wanted = new ArrayList<>();
      for (Machine m : marked) {
        if (member.equals(v.owner(m.name()))) {
          wanted.add(m.name());
        }
      }
      wanted.sort(Comparator.naturalOrder());
      if (p != null
          && !p.taken().equals(wanted)
          && draft.hasRoom()
          && !draft.touches(Part.key(member))) {
        draft.write(Part.key(member), p.with(wanted).toStore(), p.stamp());
      }
    }
  }

  private void mark(Job job, List<Room> all, Set<Machine> marked, long now) {
    List<Machine> mine = marks.computeIfAbsent(job.id(), k -> new ArrayList<>());
    String zone = job.spec().oneZone() && !mine.isEmpty() ? mine.get(0).info().zone() : null;
    while (mine.size() < job.waiting()) {
      Room best = null;
      double bestLeft = 0;
      for (Room r : all) {
        if (marked.contains(r.machine())
            || !r.type().canHold(job.spec())
            || !allowed(job.spec(), r)
            || zone != null && !zone.equals(r.machine().info().zone())) {
          continue;
        }
        double left = 0;
        for (Machine.Slot s : r.machine().live()) {
          left = Math.max(left, s.leftMs(now));
        }
        if (left < Double.MAX_VALUE && (best == null || left < bestLeft)) {
          best = r;
          bestLeft = left;
        }
      }
      if (best == null) {
        return;
      }
      mine.add(best.machine());
      marked.add(best.machine());
      zone = job.spec().oneZone() ? best.machine().info().zone() : null;
    }
  }

  // ---- preemption ----

  /**
   * A job of higher priority that finds no room stops work of lower priority: a service soon, since
   * its users wait; another when a good part of the time in which it should start has passed.
   */
  private void preempt(Draft draft, Job job, List<Room> rooms, Quota quota, long now) {
    JobSpec spec = job.spec();
    if (spec.priority() == JobSpec.Priority.LOW
        || !draft.hasRoom()
        || !quota.allows(spec)
        || now - job.waitingSinceMs(now) < preemptAfterMs(spec)) {
      return;
    }
    List<Room> may = new ArrayList<>();
    Map<String, Integer> zones = zones(draft, job);
    for (Room r : withMarked(job, rooms)) {
      if (allowed(spec, r) && zoneAllows(spec, zones, r.machine().info().zone())) {
        may.add(r);
      }
    }
    Preemption.Choice c = Preemption.cheapest(may, spec, now);
    if (c == null) {
      return;
    }
    for (Machine.Slot s : c.victims()) {
      if (draft.takes(s.job(), s.index())) {
        LOG.info("{} gives way to {}", s.task(), job.id());
        draft.change(
            s.job(), s.index(), t -> t.live() ? t.stopping(Preemption.how(s.job().spec())) : t);
      }
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
  private boolean handOver(Job job, List<Room> own, List<Room> all, long now) {
    if (now - job.waitingSinceMs(now) < tuning.handoverMs()) {
      return false;
    }
    boolean here = own.stream().anyMatch(r -> allowed(job.spec(), r) && r.fits(job.spec()));
    return !here && all.stream().anyMatch(r -> allowed(job.spec(), r) && r.fits(job.spec()));
  }

  private void rooms(View v, List<Room> own, List<Room> all) {
    long now = timers.nowMs();
    for (Machine m : tables.machines()) {
      if (m.phase() != Machine.Phase.UP || records.containsKey(m)) {
        continue;
      }
      TypeInfo t = types.find(m.info().type());
      if (t == null) {
        continue;
      }
      String owner = v.owner(m.name());
      Part p = tables.part(owner);
      if (p == null || p.taken().contains(m.name())) {
        continue;
      }
      boolean isOwn = owner.equals(node);
      if (isOwn && (m.shunUntilMs() > now || m.report() == null)) {
        continue;
      }
      Room r = Room.of(m, t, now);
      all.add(r);
      if (isOwn) {
        own.add(r);
      }
    }
  }

  static boolean allowed(JobSpec s, Room r) {
    Machine.Info i = r.machine().info();
    return (s.spot() || !i.spot())
        && (s.zone() == null || s.zone().equals(i.zone()))
        && s.allowsType(i.type());
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
      Draft draft, Job job, List<Room> rooms, Quota quota, View v, Set<String> foreign) {
    JobSpec spec = job.spec();
    Map<String, Integer> zones = zones(draft, job);
    int placed = 0;
    for (int i = 0; i < job.size() && placed < TASKS_A_ROUND; i++) {
      if (draft.state(job, i).phase() != TaskState.Phase.WAITING) {
        continue;
      }
      if (!draft.takes(job, i) || !quota.allows(spec)) {
        return;
      }
      Room r =
          Placement.choose(
              rooms,
              spec,
              x -> allowed(spec, x) && zoneAllows(spec, zones, x.machine().info().zone()));
      if (r == null || !reserve(draft, r, v, foreign)) {
        return;
      }
      put(draft, job, i, draft.state(job, i).attempt() + 1, r, quota);
      zones.merge(r.machine().info().zone(), 1, Integer::sum);
      placed++;
    }
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
    r.book(job.spec());
    quota.book(job.spec());
    draft.change(job, index, t -> t.placed(attempt, r.machine(), nodeIndex));
  }

  /**
   * The leader takes a machine of another's part by rewriting that part's record, and hands it back
   * in the same step: from then on the booking itself is what the owner sees.
   */
  private boolean reserve(Draft draft, Room r, View v, Set<String> foreign) {
    String owner = v.owner(r.machine().name());
    if (owner.equals(node) || foreign.contains(owner)) {
      return true;
    }
    Part p = tables.part(owner);
    // One change for the part's record, one for the task's chunk.
    if (p == null || !draft.hasRoom(2)) {
      return false;
    }
    draft.write(Part.key(owner), p.toStore(), p.stamp());
    foreign.add(owner);
    return true;
  }

  /** A gang starts whole: every member has a machine, or none is placed. */
  private void placeGang(
      Draft draft, Job job, List<Room> rooms, Quota quota, View v, Set<String> foreign) {
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
    List<Room> chosen = gangRooms(job, waiting, rooms, quota);
    if (chosen == null) {
      return;
    }
    int parts = v.members().size();
    if (!draft.hasRoom(job.chunks() + parts)) {
      return;
    }
    for (Room r : chosen) {
      if (!reserve(draft, r, v, foreign)) {
        return;
      }
    }
    int k = 0;
    for (int i = 0; i < job.size(); i++) {
      if (draft.state(job, i).phase() == TaskState.Phase.WAITING) {
        Room r = chosen.get(k++);
        int next = attempt + 1;
        draft.change(job, i, t -> t.placed(next, r.machine(), nodeIndex));
        quota.book(spec);
      }
    }
  }

  /**
   * Machines for all waiting members, booked in {@code rooms}; null (and nothing booked) if not.
   */
  private static List<Room> gangRooms(Job job, int waiting, List<Room> rooms, Quota quota) {
    JobSpec spec = job.spec();
    List<String> tries = new ArrayList<>();
    if (spec.oneZone()) {
      rooms.stream().map(r -> r.machine().info().zone()).distinct().sorted().forEach(tries::add);
      // The zone with the most room for it first.
      tries.sort(
          Comparator.comparingLong(
              z ->
                  -rooms.stream()
                      .filter(r -> r.machine().info().zone().equals(z))
                      .filter(r -> allowed(spec, r) && r.fits(spec))
                      .count()));
    } else {
      tries.add(null);
    }
    if (!quota.allows(spec, waiting)) {
      return null;
    }
    for (String zone : tries) {
      List<Room> chosen = new ArrayList<>();
      Map<String, Integer> zones = new HashMap<>();
      for (int n = 0; n < waiting; n++) {
        Room r =
            Placement.choose(
                rooms,
                spec,
                x ->
                    allowed(spec, x)
                        && (zone == null || zone.equals(x.machine().info().zone()))
                        && zoneAllows(spec, zones, x.machine().info().zone()));
        if (r == null) {
          break;
        }
        r.book(spec);
        zones.merge(r.machine().info().zone(), 1, Integer::sum);
        chosen.add(r);
      }
      if (chosen.size() == waiting) {
        return chosen;
      }
      chosen.forEach(r -> r.free(spec));
    }
    return null;
  }
}
