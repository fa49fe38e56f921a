package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.JobSpec;
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/** Decides which waiting tasks go where, or to which part their job is handed. */
final class TaskPlacer {
  private static final Logger LOG = LoggerFactory.getLogger(TaskPlacer.class);
  private static final int TASKS_A_ROUND = 256;

  /** So many jobs are tried a round; the next round goes on from what that has changed. */
  private static final int TRIES_A_ROUND = 64;

  /** So many that find room, but no writes left for it, end a round. */
  private static final int NARROWED_A_ROUND = 8;

  /** Machines of several parts are taken together no more often than this. */
  private static final long TAKES_MS = 250;

  /** The part's record, and two that say that its log stands. */
  private static final int CONDITIONS_AN_OWNER = 3;

  /**
   * A job that found no room looks again when there is more, or after this: a fetch may be over.
   */
  static final long BLOCKED_MS = 500;

  private static final int ZONE_COUNT = 4;
  private static final long DELAY_MOST_MS = 3_600_000;

  private final Timers timers;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final CapacityIndex rooms;
  private final Reservations reservations;
  private final VictimSelection givingWay;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private final Set<String> controllerZones;
  private final BooleanSupplier leadSettled;
  private long placedTasks;

  /** From the end of the last job that one awaited to the first placement of its own. */
  private final Histogram stageDelays = new Histogram(DELAY_MOST_MS, 2);

  /** Set when the job at hand was left out for lack of writes, not of room. */
  private boolean narrow;

  /** When several parts' machines were last taken with one record. */
  private long takenMs = Long.MIN_VALUE / 2;

  /** Whether this round may do so. */
  private boolean together;

  /** After how long the leader's jobs that this round passed over may be placed; 0: none was. */
  private long postponedForMs;

  TaskPlacer(
      Timers timers,
      Tables tables,
      SchedulingState scheduling,
      Types types,
      Tuning tuning,
      Settings settings,
      StateServiceLimits limits,
      BooleanSupplier leadSettled) {
    this.timers = timers;
    this.tables = tables;
    this.scheduling = scheduling;
    this.rooms = scheduling.capacityIndex();
    this.reservations = new Reservations(tables, scheduling, types, tuning, limits);
    this.givingWay = new VictimSelection(rooms, types, reservations, tuning, settings);
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
    this.controllerZones = settings.controllerZones();
    this.leadSettled = leadSettled;
  }

  /** Marks are of one view: the part records were written anew. */
  void onNewView() {
    reservations.clear();
  }

  /** Milliseconds until what was passed over may be placed, or 0. */
  long postponedForMs() {
    return postponedForMs;
  }

  /**
   * Milliseconds from a stage's last end to the next one's first placement, by percentile; 0 if
   * there was none. By the time of day of two controllers, which differ a little.
   */
  double stageDelayMs(double percentile) {
    return stageDelays.getValueAtPercentile(percentile);
  }

  /** Tasks placed so far, those of transactions that failed too. */
  long placedTasks() {
    return placedTasks;
  }

  void placeWaitingTasks(TransactionBuilder draft) {
    View v = tables.view();
    Partition mine = tables.currentPartition(node);
    if (mine == null || mine.epoch() != v.epoch() || !tables.unfencedPartitions().isEmpty()) {
      return;
    }
    boolean leader = node.equals(v.leader());
    long now = timers.nowMs();
    together = tables.isOpen(Gate.TAKES);
    postponedForMs = 0;
    rooms.newRound(now);
    Quota quota = new Quota(settings, tables);
    quota.holdQuotaForGangs(scheduling.queue().waiting(), timers.wallMs());
    boolean placedAny = false;
    Set<String> foreign = new HashSet<>();
    List<JobSpec> noRoom = new ArrayList<>();
    List<JobSpec> noRoomAnywhere = new ArrayList<>();
    int tries = 0;
    givingWay.newRound();
    rooms.prefer(owner -> owner.equals(node) || foreign.contains(owner));
    int narrowed = 0;
    for (Job job : scheduling.queue().waiting()) {
      if (!draft.canAddConditions() || !draft.fitsInPage(job, 1) || tries >= TRIES_A_ROUND) {
        break;
      }
      if (!node.equals(v.placer(job.partition(), job.id()))
          || job.partition().equals(Job.LEADER_PARTITION) && !leadSettled.getAsBoolean()) {
        continue;
      }
      if (job.retryAtMs() > now) {
        job.resetWaiting();
        continue;
      }
      if (job.stillBlocked(rooms.version(), now)) {
        continue;
      }
      boolean asLeader = leader && job.partition().equals(Job.LEADER_PARTITION);
      if (asLeader && together && now - takenMs < TAKES_MS) {
        // Looked for a place only when it can be taken: each look costs, and would be for nothing.
        postponedForMs = takenMs + TAKES_MS - now;
        continue;
      }
      if (!asLeader && !foreign.isEmpty()) {
        // Others may have written meanwhile: what is in our own part is not to fail with that.
        continue;
      }
      List<JobSpec> failed = asLeader ? noRoomAnywhere : noRoom;
      int before = draft.liveTaskCount(job);
      // A gang that has marked machines has room that nobody else saw.
      boolean hopeless =
          reservations.of(job).isEmpty()
              && failed.stream().anyMatch(f -> needsNoLess(job.spec(), f));
      if (!asLeader && draft.canAddWrites() && imageIsElsewhere(job)) {
        // The leader, who sees all parts, places it beside the image at once.
        draft.moveToPartition(job, Job.LEADER_PARTITION);
        continue;
      }
      narrow = false;
      if (!hopeless) {
        tries++;
        if (job.spec().shape() == JobSpec.Shape.GANG) {
          placeGang(draft, job, quota, v, foreign);
        } else {
          placeTasks(draft, job, asLeader, quota, v, foreign, failed);
        }
      }
      if (draft.liveTaskCount(job) > before) {
        placedAny = true;
        if (before == 0 && job.doneCount() == 0 && !job.awaits().isEmpty()) {
          stageDelays.recordValue(
              Math.max(0, Math.min(DELAY_MOST_MS, timers.wallMs() - job.readyWallMs())));
        }
        draft.addCondition(job.key(), job.stamp());
        job.resetWaiting();
        if (job.isSuspected()) {
          job.scheduleNextProbe(now);
        }
        continue;
      }
      if (narrow) {
        // There is room: it is not blocked, and nothing is stopped for it.
        if (!tables.isOpen(Gate.TAKES)) {
          draft.requestMaxWrites();
        }
        if (++narrowed >= NARROWED_A_ROUND) {
          break;
        }
        continue;
      }
      job.setBlocked(rooms.version(), now + BLOCKED_MS);
      if (draft.canAddWrites()) {
        givingWay.draft(draft, job, asLeader, quota, now);
        if (!asLeader && draft.canAddWrites() && handOver(draft, job, now)) {
          draft.moveToPartition(job, Job.LEADER_PARTITION);
        }
      }
    }
    if (leader && leadSettled.getAsBoolean()) {
      reservations.draft(draft, quota, v, now);
    }
    if (draft.touches(Tables.CLAIMS_KEY)) {
      takenMs = now;
    }
    if (placedAny) {
      draft.requireCurrentView();
      if (!draft.touches(Partition.key(node))) {
        draft.addCondition(Partition.key(node), mine.stamp());
      }
    }
    if (placedAny && !leader && tables.isOpen(Gate.TAKES)) {
      // The leader may have taken machines of ours with those of others.
      draft.addCondition(Tables.CLAIMS_KEY, tables.claimsStamp());
    }
  }

  /**
   * Whether a service would have to fetch its image here, while another part has room beside it.
   */
  private boolean imageIsElsewhere(Job job) {
    JobSpec spec = job.spec();
    if (spec.shape() != JobSpec.Shape.SERVICE
        || rooms.taskCapacityWithImage(spec, node, job.waitingCount()) >= job.waitingCount()) {
      return false;
    }
    int elsewhere = 0;
    for (String member : tables.view().members().keySet()) {
      elsewhere +=
          member.equals(node) ? 0 : rooms.taskCapacityWithImage(spec, member, job.waitingCount());
    }
    return elsewhere >= job.waitingCount();
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

  static Predicate<CapacityIndex.MachineGroup> scope(String node, boolean asLeader) {
    return asLeader ? c -> true : c -> c.owner.equals(node);
  }

  /**
   * A job waits in a part that has no room for it while another has: the leader, who sees all,
   * takes it. Room in a zone where no more of it may be is none: a part may have lost the machines
   * of other zones since the job came to it.
   */
  private boolean handOver(TransactionBuilder draft, Job job, long now) {
    if (now - job.waitingSinceMs(now) < tuning.handoverMs()) {
      return false;
    }
    Map<String, Integer> zones = zones(draft, job);
    Predicate<CapacityIndex.MachineGroup> allowed = c -> zoneAllows(job.spec(), zones, c.zone);
    return !rooms.any(job.spec(), scope(node, false).and(allowed))
        && rooms.any(job.spec(), scope(node, true).and(allowed));
  }

  /** How many of the job's live attempts are in each zone, as durable plus drafted. */
  static Map<String, Integer> zones(TransactionBuilder draft, Job job) {
    Map<String, Integer> n = new HashMap<>();
    if (!job.spec().oneZone() && !job.spec().spread() || draft.liveTaskCount(job) == 0) {
      return n;
    }
    for (int i = 0; i < job.taskCount(); i++) {
      TaskState s = draft.taskState(job, i);
      if (s.isLive()) {
        Machine.Info info = s.machine().info();
        // A machine whose record is gone may be in any zone; the mark blocks a one-zone job.
        n.merge(info == null ? "?" : info.zone(), 1, Integer::sum);
      }
    }
    return n;
  }

  static boolean zoneAllows(JobSpec s, Map<String, Integer> zones, String zone) {
    int unknown = zones.getOrDefault("?", 0);
    if (s.oneZone() && !zones.isEmpty() && !(zones.size() == 1 && zones.containsKey(zone))) {
      return false;
    }
    return !s.spread() || zones.getOrDefault(zone, 0) + unknown < s.zoneLimit();
  }

  private void placeTasks(
      TransactionBuilder draft,
      Job job,
      boolean asLeader,
      Quota quota,
      View v,
      Set<String> foreign,
      List<JobSpec> failed) {
    JobSpec spec = job.spec();
    Map<String, Integer> zones = zones(draft, job);
    Predicate<CapacityIndex.MachineGroup> scope = scope(node, asLeader);
    int placed = 0;
    // Of a job that seems to fail everywhere, one task is enough to see.
    int most = job.isSuspected() ? 1 : TASKS_A_ROUND;
    for (int i = job.nextWaiting(0); i >= 0 && placed < most; i = job.nextWaiting(i + 1)) {
      if (draft.taskState(job, i).phase() != TaskState.Phase.WAITING) {
        continue;
      }
      if (!draft.fitsInPage(job, 1) || !quota.allows(job)) {
        return;
      }
      FreeCapacity r = chooseFor(spec, c -> scope.test(c) && zoneAllows(spec, zones, c.zone));
      if (r == null && zones.isEmpty()) {
        failed.add(spec);
      }
      if (r == null || !reserve(draft, r, v, foreign)) {
        return;
      }
      put(draft, job, i, draft.taskState(job, i).attempt() + 1, r, quota);
      zones.merge(r.machine().info().zone(), 1, Integer::sum);
      placed++;
    }
  }

  /**
   * Replicas go to zones that have a controller, if there is room: when another zone is cut off, no
   * one renews its workers' leases, and all that runs there ends. A machine that has the image is
   * worth more than that.
   */
  private FreeCapacity chooseFor(JobSpec spec, Predicate<CapacityIndex.MachineGroup> allowed) {
    if (spec.shape() != JobSpec.Shape.SERVICE) {
      return rooms.choose(spec, allowed);
    }
    FreeCapacity near = rooms.choose(spec, allowed.and(c -> controllerZones.contains(c.zone)));
    if (near != null && near.hasImage(spec)) {
      return near;
    }
    FreeCapacity any = rooms.choose(spec, allowed);
    return near == null || any != null && any.hasImage(spec) ? any : near;
  }

  private void put(
      TransactionBuilder draft, Job job, int index, int attempt, FreeCapacity r, Quota quota) {
    LOG.debug(
        "placing {} {}/{} on {}, load {}, image there {}, {} ms after it was accepted",
        job.spec().jobClass(),
        job.id(),
        index,
        r.machine().name(),
        r.load(),
        r.hasImage(job.spec()),
        timers.wallMs() - job.acceptedWallMs());
    placedTasks++;
    rooms.book(r, job.spec());
    quota.book(job.spec());
    draft.changeTask(job, index, t -> t.placed(attempt, r.machine(), draft.nodeNumber()));
  }

  /**
   * The leader takes a machine of another's part by rewriting that part's record, and hands it back
   * in the same step: from then on the booking itself is what the owner sees.
   */
  private boolean reserve(TransactionBuilder draft, FreeCapacity r, View v, Set<String> foreign) {
    String owner = r.machine().owner(v);
    if (owner.equals(node) || foreign.contains(owner)) {
      return true;
    }
    Partition p = tables.currentPartition(owner);
    if (p == null) {
      return false;
    }
    if (!draft.canAddWrites(takes(1, foreign)) || !draft.canAddConditions()) {
      narrow = true;
      return false;
    }
    if (!together || foreign.isEmpty()) {
      draft.write(Partition.key(owner), p.toStore(), p.stamp());
    } else if (foreign.size() == 1) {
      // One write for all of them. It fails whatever any owner has under way, so it is not used
      // for one, nor more often than now and then; the leader's jobs wait for that.
      draft.removeWrite(Partition.key(foreign.iterator().next()));
      draft.write(Tables.CLAIMS_KEY, Map.of("epoch", v.epoch()), tables.claimsStamp());
    }
    // The owner's own placements leave its part's record alone. Those that we have not seen yet
    // are in its log: if it has written since, what we took for room may be gone.
    draft.requireUnchangedLog(owner);
    foreign.add(owner);
    return true;
  }

  /** How many writes it takes to take machines of so many more owners. */
  private int takes(int more, Set<String> foreign) {
    return !together ? more : more > 0 && foreign.isEmpty() ? 1 : 0;
  }

  /** A gang starts whole: every member has a machine, or none is placed. */
  private void placeGang(
      TransactionBuilder draft, Job job, Quota quota, View v, Set<String> foreign) {
    JobSpec spec = job.spec();
    if (draft.liveTaskCount(job) > 0 || draft.doneTaskCount(job) > 0 && job.waitingCount() == 0) {
      return;
    }
    // Counted as drafted: members whose exits are in this transaction wait from then on.
    int waiting = 0;
    int attempt = 0;
    for (int i = 0; i < job.taskCount(); i++) {
      attempt = Math.max(attempt, draft.taskState(job, i).attempt());
      waiting += draft.taskState(job, i).phase() == TaskState.Phase.WAITING ? 1 : 0;
    }
    if (!quota.allows(spec, waiting)) {
      return;
    }
    if (!draft.fitsWholeGang(job, waiting, 0)) {
      // The page is full: known before machines are looked for.
      narrow = true;
      return;
    }
    reservations.lend(job);
    // Two gangs may have marked a machine: lent anew, its room knows only what is durable, and
    // would be given to the second as well.
    for (Machine m : reservations.of(job)) {
      FreeCapacity r = rooms.find(m);
      if (r != null && tables.isReserved(m)) {
        draft.placementsOn(m).forEach(s -> rooms.book(r, s));
      }
    }
    List<FreeCapacity> chosen = gangRooms(job, waiting);
    if (chosen != null) {
      // All of it or nothing: counted before anything of it is in the transaction.
      Set<String> owners = new HashSet<>();
      chosen.forEach(r -> owners.add(r.machine().owner(v)));
      owners.remove(node);
      owners.removeAll(foreign);
      int writes = takes(owners.size(), foreign);
      if (!draft.fitsWholeGang(job, waiting, writes)
          || !draft.canAddWrites(writes)
          || !draft.canAddConditions(CONDITIONS_AN_OWNER * owners.size() + 4)) {
        narrow = true;
        chosen = null;
      }
    }
    for (int n = 0; chosen != null && n < chosen.size(); n++) {
      if (!reserve(draft, chosen.get(n), v, foreign)) {
        chosen = null;
      }
    }
    if (chosen != null) {
      int k = 0;
      for (int i = 0; i < job.taskCount(); i++) {
        if (draft.taskState(job, i).phase() == TaskState.Phase.WAITING) {
          put(draft, job, i, attempt + 1, chosen.get(k++), quota);
        }
      }
    }
    reservations.takeBack(job);
  }

  /** Machines for all waiting members, or null; nothing stays booked. */
  private List<FreeCapacity> gangRooms(Job job, int waiting) {
    JobSpec spec = job.spec();
    List<String> tries = new ArrayList<>();
    if (spec.oneZone()) {
      // Zones that have a controller, and of those the one with the most room, first.
      Map<String, Integer> room = new HashMap<>();
      for (String z : rooms.zones()) {
        room.put(z, rooms.count(spec, c -> c.zone.equals(z), ZONE_COUNT * waiting));
        boolean fits = room.get(z) >= waiting || rooms.holds(spec, c -> c.zone.equals(z), waiting);
        if (fits) {
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
      List<FreeCapacity> chosen = new ArrayList<>();
      List<FreeCapacity.Saved> saved = new ArrayList<>();
      Map<String, Integer> zones = new HashMap<>();
      for (int n = 0; n < waiting; n++) {
        FreeCapacity r =
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
