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
  private static final long TICK_INTERVAL_MS = 500;
  private static final long STATUS_LOG_INTERVAL_MS = 10_000;
  private static final long CLOUD_CALL_TIMEOUT_MS = 4000;
  private static final long TYPES_REFRESH_INTERVAL_MS = 60_000;
  private static final int MACHINES_PER_LIST_PAGE = 500;
  private static final int MAX_MACHINES_PER_RENTAL = 50;
  private static final int MAX_MACHINES_PER_DELETION = 100;
  private static final int MAX_TASKS_EXAMINED = 3000;
  private static final int MAX_NEW_MACHINES = 200;
  private static final long REFUSAL_BACKOFF_MS = 15_000;
  private static final int MIN_REPLACEABLE_OVERDUE_BOOTS = 2;

  /** How much dearer a zone may be that suits a job less, below the step from spot to ordinary. */
  private static final double ZONE_MISMATCH_COST_FACTOR = 1.2;

  private record ListedMachine(String phase, String type, String zone, boolean spot, double ageS) {}

  /** A kind of machine that can be asked for. */
  private record MachineKind(String type, String zone, boolean spot) {}

  private record RentalRequest(String idempotencyKey, MachineKind kind, int count) {}

  private final Timers timers;
  private final Caller caller;
  private final StateServiceClient stateService;
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
  private final MalformedMessages malformedMessages;
  private final TokenBucket cloudCallBudget;

  private final Map<String, Long> absentSinceMs = new HashMap<>();
  private final Map<String, Boolean> everListed = new HashMap<>();
  private final Map<String, Long> deletedAtMs = new HashMap<>();
  private final Map<String, Long> emptySinceMs = new HashMap<>();
  private final Map<MachineKind, Long> refusedUntilMs = new HashMap<>();
  private final List<RentalRequest> pendingRentals = new ArrayList<>();

  /** Zones that are cut off, where machines are that would tell of their return. */
  private final Set<String> closedZones = new HashSet<>();

  private final Map<String, Machine.Info> unrecordedRentals = new LinkedHashMap<>();
  private long rentalCounter;
  private long lastListRequestMs = Long.MIN_VALUE / 2;
  private boolean listInProgress;
  private boolean deletionInProgress;
  private boolean typesRequestInProgress;
  private long lastTypesRequestMs = Long.MIN_VALUE / 2;
  private long leaderSinceMs = Long.MIN_VALUE;

  /**
   * When this lead began there was no machine, neither in the tables nor in the cloud's list: none
   * has to be heard of before it is known what to rent.
   */
  private boolean startedWithoutMachines;

  private long lastListReceivedMs = Long.MIN_VALUE;
  private long lastStatusLogMs;

  /** Rents nothing before it is started and leads. */
  public Fleet(
      Timers timers,
      Caller caller,
      StateServiceClient stateService,
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
      MalformedMessages malformedMessages) {
    this.timers = timers;
    this.caller = caller;
    this.stateService = stateService;
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
    this.malformedMessages = malformedMessages;
    this.cloudCallBudget = new TokenBucket(settings.cloudLimits().rps() * 0.8, timers.nowMs());
  }

  public void start() {
    tick();
  }

  private void tick() {
    timers.after(TICK_INTERVAL_MS, this::tick);
    long now = timers.nowMs();
    if (now - lastTypesRequestMs > (types.known() ? TYPES_REFRESH_INTERVAL_MS : 1000)) {
      refreshTypes();
    }
    if (!membership.isLeader()
        || stateService.phase() != StateServiceClient.Phase.FOLLOWING
        || membership.isViewOutdated()
        || !types.known()) {
      leaderSinceMs = Long.MIN_VALUE;
      return;
    }
    if (leaderSinceMs < pauseDetector.uninterruptedSinceMs()) {
      // A new leader, or one that stood still: what it was about to do was judged by another's
      // time. What is still so is found again.
      leaderSinceMs = now;
      emptySinceMs.clear();
      absentSinceMs.clear();
      everListed.clear();
      pendingRentals.clear();
      scheduledDeletions.clear();
      startedWithoutMachines = false;
      lastListReceivedMs = Long.MIN_VALUE;
    }
    if (now - lastStatusLogMs >= STATUS_LOG_INTERVAL_MS) {
      lastStatusLogMs = now;
      logStatus();
    }
    refreshList();
    recordRentedMachines();
    drainIdleMachines();
    deleteUnwantedMachines();
    if ((pipeline.isLeaderSettled() || startedWithoutMachines) && stateService.reachable()) {
      rentForWaitingJobs();
    }
  }

  /** What an operator asks first: how much there is, how full it is, what waits. */
  private void logStatus() {
    int[] machinesByLoadQuarter = new int[5];
    Map<Machine.Phase, Integer> machinesByPhase = new EnumMap<>(Machine.Phase.class);
    int fetchingCount = 0;
    for (Machine machine : tables.machines()) {
      machinesByPhase.merge(machine.phase(), 1, Integer::sum);
      TypeInfo type = machine.info() == null ? null : types.find(machine.info().type());
      if (type != null && machine.phase() == Machine.Phase.UP) {
        machinesByLoadQuarter[
            (int) Math.min(4, new FreeCapacity(machine, type).load() * 4 + FreeCapacity.EPS)]++;
        fetchingCount += machine.estimatedFetchEndMs(type.fetchGbPerS()) > timers.nowMs() ? 1 : 0;
      }
    }
    LOG.info(
        "machines {}, by quarters of load {}, {} fetch; {} jobs wait",
        machinesByPhase,
        machinesByLoadQuarter,
        fetchingCount,
        scheduling.queue().size());
  }

  // ---- types ----

  private void refreshTypes() {
    if (typesRequestInProgress || !cloudCallBudget.tryAcquire(1, 0, timers.nowMs())) {
      return;
    }
    typesRequestInProgress = true;
    lastTypesRequestMs = timers.nowMs();
    caller.call(
        settings.cloud(),
        "GET",
        "/flavors",
        null,
        CLOUD_CALL_TIMEOUT_MS,
        response -> {
          typesRequestInProgress = false;
          if (response.status() != 200) {
            return;
          }
          try {
            for (Document type : Document.parse(response.body()).docs("flavours")) {
              types.put(TypeInfo.parse(type));
            }
          } catch (BadMessage e) {
            malformedMessages.note(MalformedMessages.Sender.CLOUD, "types", e);
          }
        });
  }

  // ---- the list ----

  private void refreshList() {
    long intervalMs = Math.max(1000, (long) (settings.cloudLimits().listLagS() * 500));
    if (listInProgress || timers.nowMs() - lastListRequestMs < intervalMs) {
      return;
    }
    listInProgress = true;
    lastListRequestMs = timers.nowMs();
    fetchListPage("", new TreeMap<>());
  }

  private void fetchListPage(String startAfter, Map<String, ListedMachine> listed) {
    if (!cloudCallBudget.tryAcquire(1, 0, timers.nowMs())) {
      listInProgress = false;
      return;
    }
    String path =
        "/hosts?most="
            + MACHINES_PER_LIST_PAGE
            + (startAfter.isEmpty() ? "" : "&from=" + startAfter);
    caller.call(
        settings.cloud(),
        "GET",
        path,
        null,
        CLOUD_CALL_TIMEOUT_MS,
        response -> {
          if (response.status() != 200) {
            listInProgress = false;
            return;
          }
          try {
            Document page = Document.parse(response.body());
            String lastName = startAfter;
            for (Document host : page.docs("hosts")) {
              lastName = host.text("ref");
              listed.put(
                  lastName,
                  new ListedMachine(
                      host.text("phase"),
                      host.text("flavour"),
                      host.text("region"),
                      host.flag("reclaimable", false),
                      host.amount("ageS", 0)));
            }
            if (page.flag("truncated", false) && !lastName.equals(startAfter)) {
              fetchListPage(lastName, listed);
              return;
            }
          } catch (BadMessage e) {
            malformedMessages.note(MalformedMessages.Sender.CLOUD, "list", e);
            listInProgress = false;
            return;
          }
          listInProgress = false;
          if (membership.isLeader()) {
            reconcileWithList(listed);
          }
        });
  }

  private void reconcileWithList(Map<String, ListedMachine> listed) {
    long now = timers.nowMs();
    if (lastListReceivedMs < leaderSinceMs) {
      startedWithoutMachines = listed.isEmpty() && tables.machines().isEmpty();
    }
    lastListReceivedMs = now;
    long listLagMs = (long) (settings.cloudLimits().listLagS() * 1000);
    deletedAtMs.values().removeIf(deletedMs -> now - deletedMs > 20 * listLagMs + 60_000);
    listed.forEach(
        (name, entry) -> {
          everListed.put(name, true);
          absentSinceMs.remove(name);
          if (deletedAtMs.containsKey(name)) {
            return;
          }
          Machine machine = tables.getOrCreateMachine(name);
          if (entry.phase.equals("failed")) {
            scheduleDeletion(name, "it failed");
          } else if (machine.phase() == Machine.Phase.UNKNOWN
              && !pipeline.hasPendingRecord(machine)) {
            pipeline.enqueueRecord(
                machine,
                new Machine.Info(
                    entry.type,
                    entry.zone,
                    entry.spot,
                    Machine.Phase.BOOTING,
                    timers.wallMs() - (long) (entry.ageS * 1000)));
          }
        });
    for (Machine machine : tables.machines()) {
      boolean isExpected = machine.info() != null && machine.phase() != Machine.Phase.GONE;
      if (!isExpected || listed.containsKey(machine.name())) {
        continue;
      }
      boolean couldBeListed =
          everListed.containsKey(machine.name())
              || timers.wallMs() - machine.info().phaseSinceWallMs() > 3 * listLagMs;
      boolean reportedRecently =
          machine.lastReportMs() > 0 && now - machine.lastReportMs() < 2 * listLagMs;
      if (couldBeListed && !reportedRecently) {
        absentSinceMs.putIfAbsent(machine.name(), now);
        if (now - absentSinceMs.get(machine.name()) > 2 * listLagMs) {
          scheduleDeletion(machine.name(), "it is no longer listed");
        }
      }
    }
    everListed.keySet().removeIf(n -> tables.machine(n) == null && !listed.containsKey(n));
  }

  // ---- deleting ----

  private final Map<String, String> scheduledDeletions = new LinkedHashMap<>();

  private void scheduleDeletion(String name, String reason) {
    if (!deletedAtMs.containsKey(name) && scheduledDeletions.putIfAbsent(name, reason) == null) {
      LOG.info("deleting {}: {}", name, reason);
    }
  }

  /**
   * A cancelled task whose end is not proved by now is on a machine that can't be reached, yet may
   * live: behind a cut a controller goes on answering its workers. Only the cloud can end it in
   * time.
   */
  private void scheduleOverdueWithdrawalDeletions(long nowWallMs) {
    for (Job job : scheduling.withdrawnRunningJobs()) {
      if (job.withdrawnWallMs() == 0 || nowWallMs - job.withdrawnWallMs() < tuning.overdueMs()) {
        continue;
      }
      for (Machine machine : job.machines()) {
        scheduleDeletion(machine.name(), "a cancelled task may still run there");
      }
    }
  }

  private void deleteUnwantedMachines() {
    long nowWallMs = timers.wallMs();
    scheduleOverdueWithdrawalDeletions(nowWallMs);
    for (Machine machine : new ArrayList<>(tables.machines())) {
      Machine.Info info = machine.info();
      if (info == null) {
        continue;
      }
      long phaseAgeMs = nowWallMs - info.phaseSinceWallMs();
      switch (info.phase()) {
        case BOOTING -> {
          TypeInfo type = types.find(info.type());
          double bootS = type == null ? 60 : type.bootS();
          // One that came up meanwhile has told its owner, perhaps not yet us.
          if (phaseAgeMs > bootS * 4000 + 5000 && isSettled()) {
            scheduleDeletion(machine.name(), "it does not come up");
          }
        }
        case LOST -> {
          if (phaseAgeMs > lostRetentionMs(info.zone()) && isSettled()) {
            scheduleDeletion(machine.name(), "it is silent");
          }
        }
        case DRAINING -> {
          if (machine.slots().isEmpty() && phaseAgeMs > 1000) {
            scheduleDeletion(machine.name(), "it is empty and not needed");
          }
        }
        case GONE -> {
          if (machine.slots().isEmpty() && !pipeline.hasPendingRecord(machine)) {
            pipeline.enqueueRecord(machine, null);
          }
        }
        default -> {}
      }
    }
    if (scheduledDeletions.isEmpty()
        || deletionInProgress
        || !cloudCallBudget.tryAcquire(1, 0, timers.nowMs())) {
      return;
    }
    List<String> names = new ArrayList<>();
    for (String name : scheduledDeletions.keySet()) {
      if (names.size() < MAX_MACHINES_PER_DELETION) {
        names.add(name);
      }
    }
    deletionInProgress = true;
    caller.call(
        settings.cloud(),
        "POST",
        "/hosts/delete",
        MessageCodec.encode(Map.of("hosts", names)),
        CLOUD_CALL_TIMEOUT_MS,
        response -> {
          deletionInProgress = false;
          if (response.status() != 200) {
            return;
          }
          for (String name : names) {
            scheduledDeletions.remove(name);
            deletedAtMs.put(name, timers.nowMs());
            Machine machine = tables.machine(name);
            if (machine != null && machine.info() != null) {
              // The answer is the proof that nothing runs there any more.
              pipeline.enqueueRecord(
                  machine, machine.info().withPhase(Machine.Phase.GONE, timers.wallMs()));
            }
          }
        });
  }

  /**
   * How long a silent machine is kept. In a zone that is cut off with a controller in it, that one
   * goes on answering its workers for its grace: all that runs there lives, and comes back with the
   * zone. What is cut off without one has lost its tasks by the time it is recorded as silent.
   */
  private long lostRetentionMs(String zone) {
    boolean mayStillRunTasks =
        zones.away(zone, timers.nowMs()) && settings.controllerZones().contains(zone);
    return mayStillRunTasks ? tuning.graceMs() : tuning.lostMs();
  }

  /** Long enough at it for reports to have come in from all that is up. */
  private boolean isSettled() {
    return timers.nowMs() - leaderSinceMs >= tuning.settleMs();
  }

  private void drainIdleMachines() {
    long now = timers.nowMs();
    long timeoutMs = idleTimeoutMs();
    int idleCount = 0;
    List<Machine> candidates = new ArrayList<>();
    for (Machine machine : tables.machines()) {
      if (machine.phase() != Machine.Phase.UP || !machine.slots().isEmpty()) {
        emptySinceMs.remove(machine.name());
        continue;
      }
      idleCount++;
      if (now - emptySinceMs.computeIfAbsent(machine.name(), k -> now) > timeoutMs) {
        candidates.add(machine);
      }
    }
    for (Machine machine : candidates) {
      if (idleCount <= tuning.spareMachines()) {
        return;
      }
      if (isUsableByWaitingJob(machine)) {
        continue;
      }
      if (!pipeline.hasPendingRecord(machine)) {
        pipeline.enqueueRecord(
            machine, machine.info().withPhase(Machine.Phase.DRAINING, timers.wallMs()));
      }
      idleCount--;
    }
  }

  /**
   * How long an empty machine is kept. Where work should start sooner than a rented machine comes
   * up, only machines that are there already can meet the aim, so they are kept for long.
   */
  private long idleTimeoutMs() {
    double maxBootS = 0;
    for (TypeInfo type : types.all()) {
      maxBootS = Math.max(maxBootS, type.bootS());
    }
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("wait") && objective.withinS() < maxBootS) {
        return Math.max(tuning.idleMs(), (long) (tuning.idleBootsWait() * maxBootS * 1000));
      }
    }
    return tuning.idleMs();
  }

  /**
   * Whether a job waits that could use it: in a large fleet some job waits for something always.
   */
  private boolean isUsableByWaitingJob(Machine machine) {
    Machine.Info info = machine.info();
    TypeInfo type = types.find(info.type());
    for (Job job : scheduling.queue().waiting()) {
      JobSpec spec = job.spec();
      boolean zoneMatches = spec.zone() == null || spec.zone().equals(info.zone());
      if (type != null && type.canHold(spec) && zoneMatches && (spec.spot() || !info.spot())) {
        return true;
      }
    }
    return false;
  }

  // ---- renting ----

  private void recordRentedMachines() {
    unrecordedRentals
        .entrySet()
        .removeIf(
            entry -> {
              Machine machine = tables.getOrCreateMachine(entry.getKey());
              if (machine.phase() != Machine.Phase.UNKNOWN) {
                return true;
              }
              if (!pipeline.hasPendingRecord(machine)) {
                pipeline.enqueueRecord(machine, entry.getValue());
              }
              return false;
            });
  }

  /** Machines that are not there yet, plus what would have to be rented for all that waits. */
  private void rentForWaitingJobs() {
    if (scheduling.queue().isEmpty()) {
      return;
    }
    closedZones.clear();
    List<FreeCapacity> freeCapacities = new ArrayList<>();
    for (Machine machine : tables.machines()) {
      TypeInfo type = machine.info() == null ? null : types.find(machine.info().type());
      boolean exists =
          machine.phase() != Machine.Phase.UNKNOWN && machine.phase() != Machine.Phase.GONE;
      if (exists && zones.dark(machine.info().zone())) {
        // Whatever comes up there can't be told to run anything; as long as something is there
        // that would report, no more is rented to see whether the zone is back.
        closedZones.add(machine.info().zone());
        continue;
      }
      boolean usable =
          machine.phase() == Machine.Phase.UP || machine.phase() == Machine.Phase.BOOTING;
      // One that fails whatever it is given is no room.
      if (type != null && usable && machine.failedJobCount() < 2) {
        freeCapacities.add(new FreeCapacity(machine, type));
      }
    }
    removeOverdueBoots(freeCapacities);
    Map<MachineKind, Integer> expectedMachines = new LinkedHashMap<>();
    pendingRentals.forEach(
        rental -> expectedMachines.merge(rental.kind, rental.count, Integer::sum));
    expectedMachines.keySet().stream()
        .map(MachineKind::zone)
        .filter(zones::dark)
        .forEach(closedZones::add);
    // Where many are found at once, as by the first list of a new leader, records take a while.
    for (Machine machine : tables.machines()) {
      Machine.Info info =
          machine.phase() == Machine.Phase.UNKNOWN ? pipeline.pendingRecord(machine) : null;
      if (info != null
          && (info.phase() == Machine.Phase.UP || info.phase() == Machine.Phase.BOOTING)) {
        expectedMachines.merge(
            new MachineKind(info.type(), info.zone(), info.spot()), 1, Integer::sum);
      }
    }
    expectedMachines.keySet().removeIf(kind -> closedZones.contains(kind.zone()));
    Map<MachineKind, Integer> demand =
        RentalDemand.compute(
            scheduling.queue().waiting(),
            timers.nowMs(),
            settings,
            types,
            tables.usage(),
            freeCapacities,
            toExpectedMachines(expectedMachines),
            this::chooseKind);
    for (Map.Entry<MachineKind, Integer> entry : demand.entrySet()) {
      int count = Math.min(entry.getValue(), MAX_MACHINES_PER_RENTAL);
      if (count > 0 && cloudCallBudget.tryAcquire(1, 1, timers.nowMs())) {
        View view = tables.view();
        // Never used by anyone else: the epoch, this process and a counter are in it.
        String idempotencyKey =
            "r-" + view.epoch() + "-" + settings.node() + "-" + incarnation + "-" + ++rentalCounter;
        RentalRequest rental = new RentalRequest(idempotencyKey, entry.getKey(), count);
        pendingRentals.add(rental);
        sendRental(rental, 0);
      }
    }
  }

  /**
   * Some machines take several times as long to come up as they should, and a few never do. What
   * waits is not left to wait for them; but so many at most are rented for a second time, for when
   * all are late the next ones are too. Those that come after all are used, or returned.
   */
  private void removeOverdueBoots(List<FreeCapacity> freeCapacities) {
    long nowWallMs = timers.wallMs();
    int removable =
        Math.max(
            MIN_REPLACEABLE_OVERDUE_BOOTS, (int) (freeCapacities.size() * tuning.overdueShare()));
    for (Iterator<FreeCapacity> it = freeCapacities.iterator(); it.hasNext() && removable > 0; ) {
      FreeCapacity capacity = it.next();
      Machine.Info info = capacity.machine().info();
      if (info.phase() == Machine.Phase.BOOTING
          && nowWallMs - info.phaseSinceWallMs()
              > capacity.type().bootS() * 1000 * tuning.overdueBoots()) {
        it.remove();
        removable--;
      }
    }
  }

  private List<RentalDemand.ExpectedMachine> toExpectedMachines(
      Map<MachineKind, Integer> countsByKind) {
    List<RentalDemand.ExpectedMachine> machines = new ArrayList<>();
    countsByKind.forEach(
        (kind, count) -> {
          TypeInfo type = types.find(kind.type);
          for (int i = 0; type != null && i < count; i++) {
            machines.add(new RentalDemand.ExpectedMachine(type, kind.zone, kind.spot));
          }
        });
    return machines;
  }

  /**
   * The kind to rent for a job: cheapest first, zones in turn, what was just refused not at all.
   */
  private MachineKind chooseKind(Job job, Map<String, Integer> machinesPerZone) {
    long now = timers.nowMs();
    MachineKind best = null;
    double bestCost = 0;
    for (TypeInfo type : types.all()) {
      if (!type.canHold(job.spec())) {
        continue;
      }
      for (String zone : type.zones()) {
        if (job.spec().zone() != null && !job.spec().zone().equals(zone)) {
          continue;
        }
        if (closedZones.contains(zone) && job.spec().zone() == null) {
          continue;
        }
        for (boolean spot :
            job.spec().spot() ? new boolean[] {true, false} : new boolean[] {false}) {
          MachineKind kind = new MachineKind(type.name(), zone, spot);
          if (refusedUntilMs.getOrDefault(kind, 0L) > now) {
            continue;
          }
          double cost =
              (spot ? type.spotPrice() : type.price())
                  * (1 + 0.001 * machinesPerZone.getOrDefault(zone, 0))
                  * (isPreferredZone(job, zone) ? 1 : ZONE_MISMATCH_COST_FACTOR);
          if (best == null || cost < bestCost) {
            best = kind;
            bestCost = cost;
          }
        }
      }
    }
    if (best != null && zones.dark(best.zone)) {
      // One, to see whether the zone is back.
      closedZones.add(best.zone);
    }
    return best;
  }

  /** Replicas and gangs belong where a controller is; arrays leave them the room. */
  private boolean isPreferredZone(Job job, String zone) {
    boolean isArray = job.spec().shape() == JobSpec.Shape.ARRAY;
    return settings.controllerZones().contains(zone) != isArray;
  }

  private void sendRental(RentalRequest rental, int retries) {
    if (!membership.isLeader()) {
      // Not ours to rent any more, perhaps since the answer to the last try was lost.
      pendingRentals.remove(rental);
      return;
    }
    caller.call(
        settings.cloud(),
        "POST",
        "/hosts",
        MessageCodec.encode(
            Map.of(
                "claim", rental.idempotencyKey,
                "flavour", rental.kind.type,
                "region", rental.kind.zone,
                "reclaimable", rental.kind.spot,
                "count", rental.count)),
        CLOUD_CALL_TIMEOUT_MS,
        response -> {
          if (response.status() == 200) {
            pendingRentals.remove(rental);
            handleRentalReply(rental, response.body());
          } else if (response.status() == 503 && !isTransientFailure(response.body())) {
            pendingRentals.remove(rental);
            LOG.info("no capacity: {}", rental.kind);
            refusedUntilMs.put(rental.kind, timers.nowMs() + REFUSAL_BACKOFF_MS);
          } else if (response.status() == 400) {
            pendingRentals.remove(rental);
            LOG.error("cloud refused the rental of {}", rental.kind);
            refusedUntilMs.put(rental.kind, timers.nowMs() + 4 * REFUSAL_BACKOFF_MS);
          } else if (retries < 20 && pendingRentals.contains(rental)) {
            // Perhaps executed: the same claim gives the same answer and rents nothing twice.
            timers.after(1000 + 200L * retries, () -> sendRental(rental, retries + 1));
          } else {
            pendingRentals.remove(rental);
          }
        });
  }

  private static boolean isTransientFailure(byte[] body) {
    try {
      return "trouble".equals(Document.parse(body).raw("error"));
    } catch (BadMessage e) {
      return true;
    }
  }

  private void handleRentalReply(RentalRequest rental, byte[] body) {
    List<String> names;
    try {
      names = Document.parse(body).texts("hosts");
    } catch (BadMessage e) {
      malformedMessages.note(MalformedMessages.Sender.CLOUD, "answer to a rental", e);
      return;
    }
    LOG.info("rented {} of {} {}", names.size(), rental.count, rental.kind);
    if (names.size() < rental.count) {
      refusedUntilMs.put(rental.kind, timers.nowMs() + REFUSAL_BACKOFF_MS);
    }
    for (String name : names) {
      unrecordedRentals.put(
          name,
          new Machine.Info(
              rental.kind.type,
              rental.kind.zone,
              rental.kind.spot,
              Machine.Phase.BOOTING,
              timers.wallMs()));
    }
    recordRentedMachines();
  }

  /** What waits and fits nowhere, as machines to rent. */
  static final class RentalDemand {
    /** A machine that is not in the tables yet. */
    record ExpectedMachine(TypeInfo type, String zone, boolean spot) {}

    interface KindChooser {
      MachineKind choose(Job job, Map<String, Integer> machinesPerZone);
    }

    private static final class Bin {
      final FreeCapacity capacity;
      final String zone;
      final boolean spot;
      final MachineKind kindToRent;

      Bin(FreeCapacity capacity, String zone, boolean spot, MachineKind kindToRent) {
        this.capacity = capacity;
        this.zone = zone;
        this.spot = spot;
        this.kindToRent = kindToRent;
      }
    }

    private RentalDemand() {}

    static Map<MachineKind, Integer> compute(
        Iterable<Job> waiting,
        long nowMs,
        Settings settings,
        Types types,
        TeamUsage usage,
        List<FreeCapacity> freeCapacities,
        List<ExpectedMachine> expectedMachines,
        KindChooser kindChooser) {
      List<Bin> bins = new ArrayList<>();
      for (FreeCapacity capacity : freeCapacities) {
        Machine.Info info = capacity.machine().info();
        bins.add(new Bin(capacity, info.zone(), info.spot(), null));
      }
      for (ExpectedMachine machine : expectedMachines) {
        bins.add(new Bin(new FreeCapacity(null, machine.type), machine.zone, machine.spot, null));
      }
      Map<MachineKind, Integer> demand = new LinkedHashMap<>();
      Map<String, Integer> machinesPerZone = new HashMap<>();
      bins.forEach(candidate -> machinesPerZone.merge(candidate.zone, 1, Integer::sum));
      Map<String, QuotaShare> remainingQuotas = new HashMap<>();
      Set<String> teamsSavingQuota = new HashSet<>();
      int tasksExamined = 0;
      int newMachines = 0;
      for (Job job : waiting) {
        Settings.Team team = JobQueue.findTeam(settings, job.spec().team());
        if (team == null || job.isSuspected() && job.retryAtMs() > nowMs) {
          continue;
        }
        // What seems to fail everywhere is tried, not provided for.
        boolean probeOnly = job.isSuspected() && job.spec().shape() != JobSpec.Shape.GANG;
        int taskCount = probeOnly ? 1 : job.waitingCount();
        QuotaShare quotaPerTask = new QuotaShare(job.spec().cpus(), job.spec().gpus());
        QuotaShare remainingQuota =
            remainingQuotas.computeIfAbsent(
                team.name(), k -> remainingQuota(team, usage.of(team.name())));
        int allowedTasks =
            FreeCapacity.taskCapacity(
                job.spec(), remainingQuota.cpus(), remainingQuota.gpus(), Double.POSITIVE_INFINITY);
        // What its team's limit forbids has no use for a machine: it runs where others have ended.
        // But for the first gang that waits for it: the limit is saved up for that one.
        boolean isGang = job.spec().shape() == JobSpec.Shape.GANG;
        if (!isGang) {
          taskCount = Math.min(taskCount, allowedTasks);
        } else if (allowedTasks < taskCount && !teamsSavingQuota.add(team.name())) {
          continue;
        }
        remainingQuotas.put(team.name(), remainingQuota.minus(quotaPerTask.times(taskCount)));
        // Its tasks are alike: where one did not fit, the next does not either.
        int nextBin = 0;
        for (int n = 0; n < taskCount; n++) {
          if (++tasksExamined > MAX_TASKS_EXAMINED || newMachines >= MAX_NEW_MACHINES) {
            return demand;
          }
          Bin bin = null;
          for (; nextBin < bins.size(); nextBin++) {
            Bin candidate = bins.get(nextBin);
            if ((job.spec().spot() || !candidate.spot)
                && (job.spec().zone() == null || job.spec().zone().equals(candidate.zone))
                && candidate.capacity.type().canHold(job.spec())
                && candidate.capacity.fits(job.spec())) {
              bin = candidate;
              break;
            }
          }
          if (bin == null) {
            MachineKind kind = kindChooser.choose(job, machinesPerZone);
            if (kind == null) {
              break;
            }
            bin =
                new Bin(new FreeCapacity(null, types.find(kind.type)), kind.zone, kind.spot, kind);
            bins.add(bin);
            newMachines++;
            demand.merge(kind, 1, Integer::sum);
            machinesPerZone.merge(kind.zone, 1, Integer::sum);
          }
          bin.capacity.book(job.spec());
        }
      }
      return demand;
    }

    /** What a team may use beyond what it does; without end where it has no limit. */
    private static QuotaShare remainingQuota(Settings.Team team, QuotaShare used) {
      return new QuotaShare(
          team.cpusMax() > 0 ? team.cpusMax() - used.cpus() : Double.POSITIVE_INFINITY,
          team.gpusMax() > 0 ? team.gpusMax() - used.gpus() : Double.POSITIVE_INFINITY);
    }
  }
}
