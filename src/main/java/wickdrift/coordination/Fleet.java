package wickdrift.coordination;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Partition.QuotaShare;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TeamUsage;
import wickdrift.bookkeeping.TokenBucket;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.MessageCodec;
import wickdrift.settings.Settings;
import wickdrift.transport.Caller;
import wickdrift.transport.Timers;

/** The leader's dealings with the cloud: renting for what waits, returning what is idle or lost. */
public final class Fleet {
  private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
  private static final long TICK_MS = 500;
  private static final long TELL_MS = 10_000;
  private static final long CALL_MS = 4000;
  private static final long TYPES_MS = 60_000;
  private static final int PAGE = 500;
  private static final int RENT_MOST = 50;
  private static final int DELETE_MOST = 100;
  private static final int TASKS_SEEN = 3000;
  private static final int NEW_MOST = 200;
  private static final long REFUSED_MS = 15_000;
  private static final int OVERDUE_LEAST = 2;

  /** How much dearer a zone may be that suits a job less, below the step from spot to ordinary. */
  private static final double FAR = 1.2;

  private record Listed(String phase, String type, String zone, boolean spot, double ageS) {}

  /** A kind of machine that can be asked for. */
  private record Kind(String type, String zone, boolean spot) {}

  private record Rental(String claim, Kind kind, int count) {}

  private final Timers timers;
  private final Caller caller;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final Types types;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final Tuning tuning;
  private final Settings settings;
  private final String incarnation;
  private final PauseDetector pauseDetector;
  private final Zones zones;
  private final MalformedMessages malformed;
  private final TokenBucket calls;

  private final Map<String, Long> absentSince = new HashMap<>();
  private final Map<String, Boolean> everListed = new HashMap<>();
  private final Map<String, Long> deleted = new HashMap<>();
  private final Map<String, Long> emptySince = new HashMap<>();
  private final Map<Kind, Long> refusedUntil = new HashMap<>();
  private final List<Rental> rentals = new ArrayList<>();

  /** Zones that are cut off, where machines are that would tell of their return. */
  private final Set<String> closed = new HashSet<>();

  private final Map<String, Machine.Info> rentedUnrecorded = new LinkedHashMap<>();
  private long claimCounter;
  private long lastListMs = Long.MIN_VALUE / 2;
  private boolean listing;
  private boolean deleting;
  private boolean askingTypes;
  private long typesAtMs = Long.MIN_VALUE / 2;
  private long leadSinceMs = Long.MIN_VALUE;

  /**
   * When this lead began there was no machine, neither in the tables nor in the cloud's list: none
   * has to be heard of before it is known what to rent.
   */
  private boolean fromNothing;

  private long listedMs = Long.MIN_VALUE;
  private long toldMs;

  /** Rents nothing before it is started and leads. */
  public Fleet(
      Timers timers,
      Caller caller,
      StateServiceClient ledger,
      Tables tables,
      SchedulingState scheduling,
      Types types,
      Membership membership,
      TransactionPipeline pipeline,
      Tuning tuning,
      Settings settings,
      PauseDetector pauseDetector,
      Zones zones,
      String incarnation,
      MalformedMessages malformed) {
    this.timers = timers;
    this.caller = caller;
    this.ledger = ledger;
    this.tables = tables;
    this.scheduling = scheduling;
    this.types = types;
    this.membership = membership;
    this.pipeline = pipeline;
    this.tuning = tuning;
    this.settings = settings;
    this.incarnation = incarnation;
    this.pauseDetector = pauseDetector;
    this.zones = zones;
    this.malformed = malformed;
    this.calls = new TokenBucket(settings.cloudLimits().rps() * 0.8, timers.nowMs());
  }

  public void start() {
    tick();
  }

  private void tick() {
    timers.after(TICK_MS, this::tick);
    long now = timers.nowMs();
    if (now - typesAtMs > (types.known() ? TYPES_MS : 1000)) {
      askTypes();
    }
    if (!membership.isLeader()
        || ledger.phase() != StateServiceClient.Phase.FOLLOWING
        || membership.isViewOutdated()
        || !types.known()) {
      leadSinceMs = Long.MIN_VALUE;
      return;
    }
    if (leadSinceMs < pauseDetector.uninterruptedSinceMs()) {
      // A new leader, or one that stood still: what it was about to do was judged by another's
      // time. What is still so is found again.
      leadSinceMs = now;
      emptySince.clear();
      absentSince.clear();
      everListed.clear();
      rentals.clear();
      condemned.clear();
      fromNothing = false;
      listedMs = Long.MIN_VALUE;
    }
    if (now - toldMs >= TELL_MS) {
      toldMs = now;
      tell();
    }
    list();
    recordRented();
    retireIdle();
    deleteUnwanted();
    if ((pipeline.isLeaderSettled() || fromNothing) && ledger.reachable()) {
      rent();
    }
  }

  /** What an operator asks first: how much there is, how full it is, what waits. */
  private void tell() {
    int[] byLoad = new int[5];
    Map<Machine.Phase, Integer> phases = new EnumMap<>(Machine.Phase.class);
    int fetching = 0;
    for (Machine m : tables.machines()) {
      phases.merge(m.phase(), 1, Integer::sum);
      TypeInfo t = m.info() == null ? null : types.find(m.info().type());
      if (t != null && m.phase() == Machine.Phase.UP) {
        byLoad[(int) Math.min(4, new FreeCapacity(m, t).load() * 4 + FreeCapacity.EPS)]++;
        fetching += m.estimatedFetchEndMs(t.fetchGbPerS()) > timers.nowMs() ? 1 : 0;
      }
    }
    LOG.info(
        "machines {}, by quarters of load {}, {} fetch; {} jobs wait",
        phases,
        byLoad,
        fetching,
        scheduling.queue().size());
  }

  // ---- types ----

  private void askTypes() {
    if (askingTypes || !calls.tryAcquire(1, 0, timers.nowMs())) {
      return;
    }
    askingTypes = true;
    typesAtMs = timers.nowMs();
    caller.call(
        settings.cloud(),
        "GET",
        "/flavors",
        null,
        CALL_MS,
        a -> {
          askingTypes = false;
          if (a.status() != 200) {
            return;
          }
          try {
            for (Document d : Document.parse(a.body()).docs("flavours")) {
              types.put(TypeInfo.parse(d));
            }
          } catch (BadMessage e) {
            malformed.note(MalformedMessages.Sender.CLOUD, "types", e);
          }
        });
  }

  // ---- the list ----

  private void list() {
    long gap = Math.max(1000, (long) (settings.cloudLimits().listLagS() * 500));
    if (listing || timers.nowMs() - lastListMs < gap) {
      return;
    }
    listing = true;
    lastListMs = timers.nowMs();
    page("", new TreeMap<>());
  }

  private void page(String from, Map<String, Listed> got) {
    if (!calls.tryAcquire(1, 0, timers.nowMs())) {
      listing = false;
      return;
    }
    String path = "/hosts?most=" + PAGE + (from.isEmpty() ? "" : "&from=" + from);
    caller.call(
        settings.cloud(),
        "GET",
        path,
        null,
        CALL_MS,
        a -> {
          if (a.status() != 200) {
            listing = false;
            return;
          }
          try {
            Document d = Document.parse(a.body());
            String last = from;
            for (Document h : d.docs("hosts")) {
              last = h.text("ref");
              got.put(
                  last,
                  new Listed(
                      h.text("phase"),
                      h.text("flavour"),
                      h.text("region"),
                      h.flag("reclaimable", false),
                      h.amount("ageS", 0)));
            }
            if (d.flag("truncated", false) && !last.equals(from)) {
              page(last, got);
              return;
            }
          } catch (BadMessage e) {
            malformed.note(MalformedMessages.Sender.CLOUD, "list", e);
            listing = false;
            return;
          }
          listing = false;
          if (membership.isLeader()) {
            compare(got);
          }
        });
  }

  private void compare(Map<String, Listed> got) {
    long now = timers.nowMs();
    if (listedMs < leadSinceMs) {
      fromNothing = got.isEmpty() && tables.machines().isEmpty();
    }
    listedMs = now;
    long lag = (long) (settings.cloudLimits().listLagS() * 1000);
    deleted.values().removeIf(t -> now - t > 20 * lag + 60_000);
    got.forEach(
        (name, l) -> {
          everListed.put(name, true);
          absentSince.remove(name);
          if (deleted.containsKey(name)) {
            return;
          }
          Machine m = tables.getOrCreateMachine(name);
          if (l.phase.equals("failed")) {
            condemn(name, "it failed");
          } else if (m.phase() == Machine.Phase.UNKNOWN && !pipeline.hasPendingRecord(m)) {
            pipeline.enqueueRecord(
                m,
                new Machine.Info(
                    l.type,
                    l.zone,
                    l.spot,
                    Machine.Phase.BOOTING,
                    timers.wallMs() - (long) (l.ageS * 1000)));
          }
        });
    for (Machine m : tables.machines()) {
      boolean known = m.info() != null && m.phase() != Machine.Phase.GONE;
      if (!known || got.containsKey(m.name())) {
        continue;
      }
      boolean couldBeListed =
          everListed.containsKey(m.name())
              || timers.wallMs() - m.info().phaseSinceWallMs() > 3 * lag;
      boolean heard = m.lastReportMs() > 0 && now - m.lastReportMs() < 2 * lag;
      if (couldBeListed && !heard) {
        absentSince.putIfAbsent(m.name(), now);
        if (now - absentSince.get(m.name()) > 2 * lag) {
          condemn(m.name(), "it is no longer listed");
        }
      }
    }
    everListed.keySet().removeIf(n -> tables.machine(n) == null && !got.containsKey(n));
  }

  // ---- deleting ----

  private final Map<String, String> condemned = new LinkedHashMap<>();

  private void condemn(String name, String why) {
    if (!deleted.containsKey(name) && condemned.putIfAbsent(name, why) == null) {
      LOG.info("deleting {}: {}", name, why);
    }
  }

  /**
   * A cancelled task whose end is not proved by now is on a machine that can't be reached, yet may
   * live: behind a cut a controller goes on answering its workers. Only the cloud can end it in
   * time.
   */
  private void deleteOverdue(long wall) {
    for (Job j : scheduling.withdrawnRunningJobs()) {
      if (j.withdrawnWallMs() == 0 || wall - j.withdrawnWallMs() < tuning.overdueMs()) {
        continue;
      }
      for (Machine m : j.machines()) {
        condemn(m.name(), "a cancelled task may still run there");
      }
    }
  }

  private void deleteUnwanted() {
    long wall = timers.wallMs();
    deleteOverdue(wall);
    for (Machine m : new ArrayList<>(tables.machines())) {
      Machine.Info i = m.info();
      if (i == null) {
        continue;
      }
      long age = wall - i.phaseSinceWallMs();
      switch (i.phase()) {
        case BOOTING -> {
          TypeInfo t = types.find(i.type());
          double boot = t == null ? 60 : t.bootS();
          // One that came up meanwhile has told its owner, perhaps not yet us.
          if (age > boot * 4000 + 5000 && settled()) {
            condemn(m.name(), "it does not come up");
          }
        }
        case LOST -> {
          if (age > keepLostMs(i.zone()) && settled()) {
            condemn(m.name(), "it is silent");
          }
        }
        case DRAINING -> {
          if (m.slots().isEmpty() && age > 1000) {
            condemn(m.name(), "it is empty and not needed");
          }
        }
        case GONE -> {
          if (m.slots().isEmpty() && !pipeline.hasPendingRecord(m)) {
            pipeline.enqueueRecord(m, null);
          }
        }
        default -> {}
      }
    }
    if (condemned.isEmpty() || deleting || !calls.tryAcquire(1, 0, timers.nowMs())) {
      return;
    }
    List<String> names = new ArrayList<>();
    for (String n : condemned.keySet()) {
      if (names.size() < DELETE_MOST) {
        names.add(n);
      }
    }
    deleting = true;
    caller.call(
        settings.cloud(),
        "POST",
        "/hosts/delete",
        MessageCodec.encode(Map.of("hosts", names)),
        CALL_MS,
        a -> {
          deleting = false;
          if (a.status() != 200) {
            return;
          }
          for (String n : names) {
            condemned.remove(n);
            deleted.put(n, timers.nowMs());
            Machine m = tables.machine(n);
            if (m != null && m.info() != null) {
              // The answer is the proof that nothing runs there any more.
              pipeline.enqueueRecord(m, m.info().withPhase(Machine.Phase.GONE, timers.wallMs()));
            }
          }
        });
  }

  /**
   * How long a silent machine is kept. In a zone that is cut off with a controller in it, that one
   * goes on answering its workers for its grace: all that runs there lives, and comes back with the
   * zone. What is cut off without one has lost its tasks by the time it is recorded as silent.
   */
  private long keepLostMs(String zone) {
    boolean lives = zones.away(zone, timers.nowMs()) && settings.controllerZones().contains(zone);
    return lives ? tuning.graceMs() : tuning.lostMs();
  }

  /** Long enough at it for reports to have come in from all that is up. */
  private boolean settled() {
    return timers.nowMs() - leadSinceMs >= tuning.settleMs();
  }

  private void retireIdle() {
    long now = timers.nowMs();
    long keepMs = idleMs();
    int idle = 0;
    List<Machine> candidates = new ArrayList<>();
    for (Machine m : tables.machines()) {
      if (m.phase() != Machine.Phase.UP || !m.slots().isEmpty()) {
        emptySince.remove(m.name());
        continue;
      }
      idle++;
      if (now - emptySince.computeIfAbsent(m.name(), k -> now) > keepMs) {
        candidates.add(m);
      }
    }
    for (Machine m : candidates) {
      if (idle <= tuning.spareMachines()) {
        return;
      }
      if (wanted(m)) {
        continue;
      }
      if (!pipeline.hasPendingRecord(m)) {
        pipeline.enqueueRecord(m, m.info().withPhase(Machine.Phase.DRAINING, timers.wallMs()));
      }
      idle--;
    }
  }

  /**
   * How long an empty machine is kept. Where work should start sooner than a rented machine comes
   * up, only machines that are there already can meet the aim, so they are kept for long.
   */
  private long idleMs() {
    double boot = 0;
    for (TypeInfo t : types.all()) {
      boot = Math.max(boot, t.bootS());
    }
    for (Settings.Objective o : settings.objectives()) {
      if (o.kind().equals("wait") && o.withinS() < boot) {
        return Math.max(tuning.idleMs(), (long) (tuning.idleBootsWait() * boot * 1000));
      }
    }
    return tuning.idleMs();
  }

  /**
   * Whether a job waits that could use it: in a large fleet some job waits for something always.
   */
  private boolean wanted(Machine m) {
    Machine.Info i = m.info();
    TypeInfo t = types.find(i.type());
    for (Job j : scheduling.queue().waiting()) {
      JobSpec s = j.spec();
      boolean zone = s.zone() == null || s.zone().equals(i.zone());
      if (t != null && t.canHold(s) && zone && (s.spot() || !i.spot())) {
        return true;
      }
    }
    return false;
  }

  // ---- renting ----

  private void recordRented() {
    rentedUnrecorded
        .entrySet()
        .removeIf(
            e -> {
              Machine m = tables.getOrCreateMachine(e.getKey());
              if (m.phase() != Machine.Phase.UNKNOWN) {
                return true;
              }
              if (!pipeline.hasPendingRecord(m)) {
                pipeline.enqueueRecord(m, e.getValue());
              }
              return false;
            });
  }

  /** Machines that are not there yet, plus what would have to be rented for all that waits. */
  private void rent() {
    if (scheduling.queue().isEmpty()) {
      return;
    }
    closed.clear();
    List<FreeCapacity> rooms = new ArrayList<>();
    for (Machine m : tables.machines()) {
      TypeInfo t = m.info() == null ? null : types.find(m.info().type());
      boolean there = m.phase() != Machine.Phase.UNKNOWN && m.phase() != Machine.Phase.GONE;
      if (there && zones.dark(m.info().zone())) {
        // Whatever comes up there can't be told to run anything; as long as something is there
        // that would report, no more is rented to see whether the zone is back.
        closed.add(m.info().zone());
        continue;
      }
      boolean usable = m.phase() == Machine.Phase.UP || m.phase() == Machine.Phase.BOOTING;
      // One that fails whatever it is given is no room.
      if (t != null && usable && m.failedJobCount() < 2) {
        rooms.add(new FreeCapacity(m, t));
      }
    }
    leaveOutOverdue(rooms);
    Map<Kind, Integer> coming = new LinkedHashMap<>();
    rentals.forEach(r -> coming.merge(r.kind, r.count, Integer::sum));
    coming.keySet().stream().map(Kind::zone).filter(zones::dark).forEach(closed::add);
    // Where many are found at once, as by the first list of a new leader, records take a while.
    for (Machine m : tables.machines()) {
      Machine.Info i = m.phase() == Machine.Phase.UNKNOWN ? pipeline.pendingRecord(m) : null;
      if (i != null && (i.phase() == Machine.Phase.UP || i.phase() == Machine.Phase.BOOTING)) {
        coming.merge(new Kind(i.type(), i.zone(), i.spot()), 1, Integer::sum);
      }
    }
    coming.keySet().removeIf(k -> closed.contains(k.zone()));
    Map<Kind, Integer> wanted =
        Demand.of(
            scheduling.queue().waiting(),
            timers.nowMs(),
            settings,
            types,
            tables.usage(),
            rooms,
            toKinds(coming),
            this::pick);
    for (Map.Entry<Kind, Integer> e : wanted.entrySet()) {
      int n = Math.min(e.getValue(), RENT_MOST);
      if (n > 0 && calls.tryAcquire(1, 1, timers.nowMs())) {
        View v = tables.view();
        // Never used by anyone else: the epoch, this process and a counter are in it.
        String claim =
            "r-" + v.epoch() + "-" + settings.node() + "-" + incarnation + "-" + ++claimCounter;
        Rental r = new Rental(claim, e.getKey(), n);
        rentals.add(r);
        ask(r, 0);
      }
    }
  }

  /**
   * Some machines take several times as long to come up as they should, and a few never do. What
   * waits is not left to wait for them; but so many at most are rented for a second time, for when
   * all are late the next ones are too. Those that come after all are used, or returned.
   */
  private void leaveOutOverdue(List<FreeCapacity> rooms) {
    long wall = timers.wallMs();
    int most = Math.max(OVERDUE_LEAST, (int) (rooms.size() * tuning.overdueShare()));
    for (Iterator<FreeCapacity> it = rooms.iterator(); it.hasNext() && most > 0; ) {
      FreeCapacity r = it.next();
      Machine.Info i = r.machine().info();
      if (i.phase() == Machine.Phase.BOOTING
          && wall - i.phaseSinceWallMs() > r.type().bootS() * 1000 * tuning.overdueBoots()) {
        it.remove();
        most--;
      }
    }
  }

  private List<Demand.Virtual> toKinds(Map<Kind, Integer> coming) {
    List<Demand.Virtual> out = new ArrayList<>();
    coming.forEach(
        (k, n) -> {
          TypeInfo t = types.find(k.type);
          for (int i = 0; t != null && i < n; i++) {
            out.add(new Demand.Virtual(t, k.zone, k.spot));
          }
        });
    return out;
  }

  /**
   * The kind to rent for a job: cheapest first, zones in turn, what was just refused not at all.
   */
  private Kind pick(Job job, Map<String, Integer> perZone) {
    long now = timers.nowMs();
    Kind best = null;
    double bestCost = 0;
    for (TypeInfo t : types.all()) {
      if (!t.canHold(job.spec())) {
        continue;
      }
      for (String zone : t.zones()) {
        if (job.spec().zone() != null && !job.spec().zone().equals(zone)) {
          continue;
        }
        if (closed.contains(zone) && job.spec().zone() == null) {
          continue;
        }
        for (boolean spot :
            job.spec().spot() ? new boolean[] {true, false} : new boolean[] {false}) {
          Kind k = new Kind(t.name(), zone, spot);
          if (refusedUntil.getOrDefault(k, 0L) > now) {
            continue;
          }
          double cost =
              (spot ? t.spotPrice() : t.price())
                  * (1 + 0.001 * perZone.getOrDefault(zone, 0))
                  * (near(job, zone) ? 1 : FAR);
          if (best == null || cost < bestCost) {
            best = k;
            bestCost = cost;
          }
        }
      }
    }
    if (best != null && zones.dark(best.zone)) {
      // One, to see whether the zone is back.
      closed.add(best.zone);
    }
    return best;
  }

  /** Replicas and gangs belong where a controller is; arrays leave them the room. */
  private boolean near(Job job, String zone) {
    boolean array = job.spec().shape() == JobSpec.Shape.ARRAY;
    return settings.controllerZones().contains(zone) != array;
  }

  private void ask(Rental r, int tries) {
    if (!membership.isLeader()) {
      // Not ours to rent any more, perhaps since the answer to the last try was lost.
      rentals.remove(r);
      return;
    }
    caller.call(
        settings.cloud(),
        "POST",
        "/hosts",
        MessageCodec.encode(
            Map.of(
                "claim", r.claim,
                "flavour", r.kind.type,
                "region", r.kind.zone,
                "reclaimable", r.kind.spot,
                "count", r.count)),
        CALL_MS,
        a -> {
          if (a.status() == 200) {
            rentals.remove(r);
            rented(r, a.body());
          } else if (a.status() == 503 && !trouble(a.body())) {
            rentals.remove(r);
            LOG.info("no capacity: {}", r.kind);
            refusedUntil.put(r.kind, timers.nowMs() + REFUSED_MS);
          } else if (a.status() == 400) {
            rentals.remove(r);
            LOG.error("cloud refused the rental of {}", r.kind);
            refusedUntil.put(r.kind, timers.nowMs() + 4 * REFUSED_MS);
          } else if (tries < 20 && rentals.contains(r)) {
            // Perhaps executed: the same claim gives the same answer and rents nothing twice.
            timers.after(1000 + 200L * tries, () -> ask(r, tries + 1));
          } else {
            rentals.remove(r);
          }
        });
  }

  private static boolean trouble(byte[] body) {
    try {
      return "trouble".equals(Document.parse(body).raw("error"));
    } catch (BadMessage e) {
      return true;
    }
  }

  private void rented(Rental r, byte[] body) {
    List<String> names;
    try {
      names = Document.parse(body).texts("hosts");
    } catch (BadMessage e) {
      malformed.note(MalformedMessages.Sender.CLOUD, "answer to a rental", e);
      return;
    }
    LOG.info("rented {} of {} {}", names.size(), r.count, r.kind);
    if (names.size() < r.count) {
      refusedUntil.put(r.kind, timers.nowMs() + REFUSED_MS);
    }
    for (String n : names) {
      rentedUnrecorded.put(
          n,
          new Machine.Info(
              r.kind.type, r.kind.zone, r.kind.spot, Machine.Phase.BOOTING, timers.wallMs()));
    }
    recordRented();
  }

  /** What waits and fits nowhere, as machines to rent. */
  static final class Demand {
    /** A machine that is not in the tables yet. */
    record Virtual(TypeInfo type, String zone, boolean spot) {}

    interface Picker {
      Kind pick(Job job, Map<String, Integer> perZone);
    }

    private static final class Bin {
      final FreeCapacity room;
      final String zone;
      final boolean spot;
      final Kind fresh;

      Bin(FreeCapacity room, String zone, boolean spot, Kind fresh) {
        this.room = room;
        this.zone = zone;
        this.spot = spot;
        this.fresh = fresh;
      }
    }

    private Demand() {}

    static Map<Kind, Integer> of(
        Iterable<Job> waiting,
        long nowMs,
        Settings settings,
        Types types,
        TeamUsage usage,
        List<FreeCapacity> rooms,
        List<Virtual> coming,
        Picker picker) {
      List<Bin> bins = new ArrayList<>();
      for (FreeCapacity r : rooms) {
        Machine.Info i = r.machine().info();
        bins.add(new Bin(r, i.zone(), i.spot(), null));
      }
      for (Virtual c : coming) {
        bins.add(new Bin(new FreeCapacity(null, c.type), c.zone, c.spot, null));
      }
      Map<Kind, Integer> wanted = new LinkedHashMap<>();
      Map<String, Integer> perZone = new HashMap<>();
      bins.forEach(b -> perZone.merge(b.zone, 1, Integer::sum));
      Map<String, QuotaShare> leftOfLimit = new HashMap<>();
      Set<String> savedFor = new HashSet<>();
      int seen = 0;
      int fresh = 0;
      for (Job job : waiting) {
        Settings.Team team = JobQueue.findTeam(settings, job.spec().team());
        if (team == null || job.isSuspected() && job.retryAtMs() > nowMs) {
          continue;
        }
        // What seems to fail everywhere is tried, not provided for.
        boolean one = job.isSuspected() && job.spec().shape() != JobSpec.Shape.GANG;
        int most = one ? 1 : job.waitingCount();
        QuotaShare need = new QuotaShare(job.spec().cpus(), job.spec().gpus());
        QuotaShare left =
            leftOfLimit.computeIfAbsent(team.name(), k -> leftOf(team, usage.of(team.name())));
        int allowed =
            FreeCapacity.taskCapacity(
                job.spec(), left.cpus(), left.gpus(), Double.POSITIVE_INFINITY);
        // What its team's limit forbids has no use for a machine: it runs where others have ended.
        // But for the first gang that waits for it: the limit is saved up for that one.
        boolean gang = job.spec().shape() == JobSpec.Shape.GANG;
        if (!gang) {
          most = Math.min(most, allowed);
        } else if (allowed < most && !savedFor.add(team.name())) {
          continue;
        }
        leftOfLimit.put(team.name(), left.minus(need.times(most)));
        // Its tasks are alike: where one did not fit, the next does not either.
        int from = 0;
        for (int n = 0; n < most; n++) {
          if (++seen > TASKS_SEEN || fresh >= NEW_MOST) {
            return wanted;
          }
          Bin bin = null;
          for (; from < bins.size(); from++) {
            Bin b = bins.get(from);
            if ((job.spec().spot() || !b.spot)
                && (job.spec().zone() == null || job.spec().zone().equals(b.zone))
                && b.room.type().canHold(job.spec())
                && b.room.fits(job.spec())) {
              bin = b;
              break;
            }
          }
          if (bin == null) {
            Kind k = picker.pick(job, perZone);
            if (k == null) {
              break;
            }
            bin = new Bin(new FreeCapacity(null, types.find(k.type)), k.zone, k.spot, k);
            bins.add(bin);
            fresh++;
            wanted.merge(k, 1, Integer::sum);
            perZone.merge(k.zone, 1, Integer::sum);
          }
          bin.room.book(job.spec());
        }
      }
      return wanted;
    }

    /** What a team may use beyond what it does; without end where it has no limit. */
    private static QuotaShare leftOf(Settings.Team team, QuotaShare used) {
      return new QuotaShare(
          team.cpusMax() > 0 ? team.cpusMax() - used.cpus() : Double.POSITIVE_INFINITY,
          team.gpusMax() > 0 ? team.gpusMax() - used.gpus() : Double.POSITIVE_INFINITY);
    }
  }
}
