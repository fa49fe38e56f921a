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

/**
 * Manages the rented machines while this node is the leader: rents machines for waiting jobs that
 * fit on no machine, deletes idle, lost and failed machines, and reconciles the tables with the
 * cloud's list of machines.
 */
public final class FleetManager {
  private static final Logger LOG = LoggerFactory.getLogger(FleetManager.class);
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

  /** For a zone that is not preferred; less than the price step from spot to on-demand machines. */
  private static final double ZONE_MISMATCH_COST_FACTOR = 1.2;

  /** A machine in the cloud's list. */
  private record ListedMachine(String phase, String type, String zone, boolean spot, double ageS) {}

  /** The type, zone and purchase option of a machine to rent. */
  private record MachineKind(String type, String zone, boolean spot) {}

  /** A request for machines of one kind whose outcome is not known yet. */
  private record RentalRequest(String idempotencyKey, MachineKind kind, int count) {}

  private final Timers timers;
  private final Caller caller;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final MachineTypes types;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final Tuning tuning;
  private final Settings settings;
  private final String incarnation;
  private final PauseDetector pauseDetector;
  private final ZoneHealth zones;
  private final MalformedMessages malformedMessages;
  private final TokenBucket cloudCallBudget;

  /** Since when a machine that the cloud should list has been missing from its list. */
  private final Map<String, Long> absentSinceMs = new HashMap<>();

  private final Map<String, Boolean> everListed = new HashMap<>();

  /** When machines were deleted: the cloud's list may still contain them for a while. */
  private final Map<String, Long> deletedAtMs = new HashMap<>();

  private final Map<String, Long> emptySinceMs = new HashMap<>();

  /** Until when no machine of a kind is requested, because the cloud had none or rejected it. */
  private final Map<MachineKind, Long> refusedUntilMs = new HashMap<>();

  private final List<RentalRequest> pendingRentals = new ArrayList<>();

  /** Unreachable zones that have a machine whose report will show when they are reachable again. */
  private final Set<String> closedZones = new HashSet<>();

  /** Rented machines that are not in the tables yet. */
  private final Map<String, Machine.Info> unrecordedRentals = new LinkedHashMap<>();

  private long rentalCounter;
  private long lastListRequestMs = Long.MIN_VALUE / 2;
  private boolean listInProgress;
  private boolean deletionInProgress;
  private boolean typesRequestInProgress;
  private long lastTypesRequestMs = Long.MIN_VALUE / 2;
  private long leaderSinceMs = Long.MIN_VALUE;

  /**
   * Whether there was no machine, neither in the tables nor in the cloud's list, when this node
   * became leader. Renting then need not wait for the reports of existing machines.
   */
  private boolean startedWithoutMachines;

  private long lastListReceivedMs = Long.MIN_VALUE;
  private long lastStatusLogMs;

  /** Creates a fleet that does nothing until it is started and this node is the leader. */
  public FleetManager(
      Timers timers,
      Caller caller,
      StateServiceClient stateService,
      Tables tables,
      SchedulingState scheduling,
      MachineTypes types,
      Membership membership,
      TransactionPipeline pipeline,
      Tuning tuning,
      Settings settings,
      PauseDetector pauseDetector,
      ZoneHealth zones,
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
    this.cloudCallBudget =
        new TokenBucket(settings.cloudLimits().maxRequestsPerSecond() * 0.8, timers.nowMs());
  }

  /** Starts the periodic check of the machines. */
  public void start() {
    tick();
  }

  private void tick() {
    timers.after(TICK_INTERVAL_MS, this::tick);
    long now = timers.nowMs();
    if (now - lastTypesRequestMs > (types.isLoaded() ? TYPES_REFRESH_INTERVAL_MS : 1000)) {
      refreshTypes();
    }
    if (!membership.isLeader()
        || stateService.phase() != StateServiceClient.Phase.FOLLOWING
        || membership.isViewOutdated()
        || !types.isLoaded()) {
      leaderSinceMs = Long.MIN_VALUE;
      return;
    }
    if (leaderSinceMs < pauseDetector.uninterruptedSinceMs()) {
      // This node has become leader, or its process was paused. Its observations and plans may be
      // out of date: whatever still holds will be observed again.
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
    if ((pipeline.isLeaderSettled() || startedWithoutMachines) && stateService.isReachable()) {
      rentForWaitingJobs();
    }
  }

  /** Logs the number of machines by phase and by load, and the number of waiting jobs. */
  private void logStatus() {
    int[] machinesByLoadQuarter = new int[5];
    Map<Machine.Phase, Integer> machinesByPhase = new EnumMap<>(Machine.Phase.class);
    int fetchingCount = 0;
    for (Machine machine : tables.machines()) {
      machinesByPhase.merge(machine.phase(), 1, Integer::sum);
      MachineType type = machine.info() == null ? null : types.find(machine.info().type());
      if (type != null && machine.phase() == Machine.Phase.UP) {
        machinesByLoadQuarter[
            (int) Math.min(4, new FreeCapacity(machine, type).load() * 4 + FreeCapacity.EPS)]++;
        fetchingCount += machine.estimatedFetchEndMs(type.fetchGbPerS()) > timers.nowMs() ? 1 : 0;
      }
    }
    LOG.info(
        "fleet status: machines by phase={}, by load quarter={}, fetching={}, waiting jobs={}",
        machinesByPhase,
        machinesByLoadQuarter,
        fetchingCount,
        scheduling.queue().size());
  }

  /** Reads the machine types from the cloud. */
  private void refreshTypes() {
    if (typesRequestInProgress || !cloudCallBudget.tryAcquire(1, 0, timers.nowMs())) {
      return;
    }
    typesRequestInProgress = true;
    lastTypesRequestMs = timers.nowMs();
    caller.call(
        settings.cloudAddress(),
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
            for (Document type : Document.parse(response.body()).documents("flavours")) {
              types.put(MachineType.parse(type));
            }
          } catch (BadMessage e) {
            malformedMessages.record(MalformedMessages.Sender.CLOUD, "types", e);
          }
        });
  }

  /** Reads the cloud's list of machines, at intervals of half of its lag, at least a second. */
  private void refreshList() {
    long intervalMs = Math.max(1000, (long) (settings.cloudLimits().listLagS() * 500));
    if (listInProgress || timers.nowMs() - lastListRequestMs < intervalMs) {
      return;
    }
    listInProgress = true;
    lastListRequestMs = timers.nowMs();
    fetchListPage("", new TreeMap<>());
  }

  /** Reads the page of the list that follows a machine's name, and then the remaining pages. */
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
        settings.cloudAddress(),
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
            for (Document host : page.documents("hosts")) {
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
            malformedMessages.record(MalformedMessages.Sender.CLOUD, "list", e);
            listInProgress = false;
            return;
          }
          listInProgress = false;
          if (membership.isLeader()) {
            reconcileWithList(listed);
          }
        });
  }

  /**
   * Records listed machines that are unknown here, and schedules machines for deletion that have
   * failed or are no longer listed. The list lags, so a machine counts as missing only if it was
   * listed before or is old enough to be listed, and has not reported recently.
   */
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
            scheduleDeletion(name, "it has failed");
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

  /** Machines that are to be deleted, with the reason. */
  private final Map<String, String> scheduledDeletions = new LinkedHashMap<>();

  private void scheduleDeletion(String name, String reason) {
    if (!deletedAtMs.containsKey(name) && scheduledDeletions.putIfAbsent(name, reason) == null) {
      LOG.info("deletion scheduled: machine={}, reason={}", name, reason);
    }
  }

  /**
   * Schedules the machines of withdrawn jobs for deletion if the end of the tasks is not proven
   * {@link Tuning#withdrawalOverdueMs} after the withdrawal. Such a machine is unreachable from
   * here, but its tasks may still run, since a controller that is isolated in the same zone
   * continues to answer its workers. Only the cloud can then end the tasks in time.
   */
  private void scheduleOverdueWithdrawalDeletions(long nowWallMs) {
    for (Job job : scheduling.withdrawnRunningJobs()) {
      if (job.withdrawnWallMs() == 0
          || nowWallMs - job.withdrawnWallMs() < tuning.withdrawalOverdueMs()) {
        continue;
      }
      for (Machine machine : job.machines()) {
        scheduleDeletion(machine.name(), "a withdrawn task may still run there");
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
          MachineType type = types.find(info.type());
          double bootS = type == null ? 60 : type.bootS();
          // A machine that came up in the meantime has reported to its owner, but possibly not yet
          // to this node, so a new leader waits.
          if (phaseAgeMs > bootS * 4000 + 5000 && isSettled()) {
            scheduleDeletion(machine.name(), "it did not come up in time");
          }
        }
        case LOST -> {
          if (phaseAgeMs > lostRetentionMs(info.zone()) && isSettled()) {
            scheduleDeletion(machine.name(), "no reports from its worker");
          }
        }
        case DRAINING -> {
          if (machine.slots().isEmpty() && phaseAgeMs > 1000) {
            scheduleDeletion(machine.name(), "it is idle and not needed");
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
        settings.cloudAddress(),
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
              // The reply proves that nothing runs on the machine any more.
              pipeline.enqueueRecord(
                  machine, machine.info().withPhase(Machine.Phase.GONE, timers.wallMs()));
            }
          }
        });
  }

  /**
   * Returns how long a lost machine is kept before it is deleted. In an unreachable zone that has a
   * controller, this controller continues to answer its workers for its grace period: their tasks
   * keep running and are available again when the zone is. Machines that no controller can reach
   * have lost their tasks by the time they are recorded as lost.
   */
  private long lostRetentionMs(String zone) {
    boolean mayStillRunTasks =
        zones.isUnreachableOrRecovering(zone, timers.nowMs())
            && settings.controllerZones().contains(zone);
    return mayStillRunTasks ? tuning.leaseGraceMs() : tuning.lostTimeoutMs();
  }

  /** Whether this node has been leader long enough for all machines that are up to report. */
  private boolean isSettled() {
    return timers.nowMs() - leaderSinceMs >= tuning.takeoverSettleMs();
  }

  /** Drains idle machines that no waiting job can use, except for the configured spares. */
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
   * Returns how long an idle machine is kept. If an objective requires jobs to start sooner than a
   * rented machine boots, only machines that already exist can meet it, so idle machines are kept
   * longer.
   */
  private long idleTimeoutMs() {
    double maxBootS = 0;
    for (MachineType type : types.all()) {
      maxBootS = Math.max(maxBootS, type.bootS());
    }
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind().equals("wait") && objective.withinS() < maxBootS) {
        return Math.max(
            tuning.idleTimeoutMs(), (long) (tuning.idleTimeoutBootFactor() * maxBootS * 1000));
      }
    }
    return tuning.idleTimeoutMs();
  }

  /**
   * Whether a waiting job could use the machine. In a large cluster some job is always waiting, so
   * a queue that is not empty is no reason to keep every machine.
   */
  private boolean isUsableByWaitingJob(Machine machine) {
    Machine.Info info = machine.info();
    MachineType type = types.find(info.type());
    for (Job job : scheduling.queue().waiting()) {
      JobSpec spec = job.spec();
      boolean zoneMatches = spec.zone() == null || spec.zone().equals(info.zone());
      if (type != null && type.canHold(spec) && zoneMatches && (spec.spot() || !info.spot())) {
        return true;
      }
    }
    return false;
  }

  /** Enqueues records of the rented machines until they appear in the tables. */
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

  /** Rents machines for the waiting tasks that fit on no existing or expected machine. */
  private void rentForWaitingJobs() {
    if (scheduling.queue().isEmpty()) {
      return;
    }
    closedZones.clear();
    List<FreeCapacity> freeCapacities = new ArrayList<>();
    for (Machine machine : tables.machines()) {
      MachineType type = machine.info() == null ? null : types.find(machine.info().type());
      boolean exists =
          machine.phase() != Machine.Phase.UNKNOWN && machine.phase() != Machine.Phase.GONE;
      if (exists && zones.isUnreachable(machine.info().zone())) {
        // A machine in an unreachable zone can't receive commands. While machines exist there
        // that would report, no machine is rented to find out whether the zone is reachable.
        closedZones.add(machine.info().zone());
        continue;
      }
      boolean usable =
          machine.phase() == Machine.Phase.UP || machine.phase() == Machine.Phase.BOOTING;
      // A machine on which two or more jobs have failed is not counted as free capacity.
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
        .filter(zones::isUnreachable)
        .forEach(closedZones::add);
    // When many machines are found at once, as in the first list that a new leader receives,
    // writing their records takes a while: pending records count as expected machines.
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
        // Unique, since it contains the epoch, the node, its incarnation and a counter.
        String idempotencyKey =
            "r-" + view.epoch() + "-" + settings.node() + "-" + incarnation + "-" + ++rentalCounter;
        RentalRequest rental = new RentalRequest(idempotencyKey, entry.getKey(), count);
        pendingRentals.add(rental);
        sendRental(rental, 0);
      }
    }
  }

  /**
   * Removes machines whose boot is overdue, so that replacements are rented for them. Some machines
   * take several times their type's boot time, and a few never come up. The number of replacements
   * is limited, because when all boots are late the replacements will be late too. Overdue machines
   * that come up in the end are used, or deleted when idle.
   */
  private void removeOverdueBoots(List<FreeCapacity> freeCapacities) {
    long nowWallMs = timers.wallMs();
    int removable =
        Math.max(
            MIN_REPLACEABLE_OVERDUE_BOOTS,
            (int) (freeCapacities.size() * tuning.maxOverdueBootShare()));
    for (Iterator<FreeCapacity> it = freeCapacities.iterator(); it.hasNext() && removable > 0; ) {
      FreeCapacity capacity = it.next();
      Machine.Info info = capacity.machine().info();
      if (info.phase() == Machine.Phase.BOOTING
          && nowWallMs - info.phaseSinceWallMs()
              > capacity.type().bootS() * 1000 * tuning.bootOverdueFactor()) {
        it.remove();
        removable--;
      }
    }
  }

  /** Lists the machines one by one, without those of unknown types. */
  private List<RentalDemand.ExpectedMachine> toExpectedMachines(
      Map<MachineKind, Integer> countsByKind) {
    List<RentalDemand.ExpectedMachine> machines = new ArrayList<>();
    countsByKind.forEach(
        (kind, count) -> {
          MachineType type = types.find(kind.type);
          for (int i = 0; type != null && i < count; i++) {
            machines.add(new RentalDemand.ExpectedMachine(type, kind.zone, kind.spot));
          }
        });
    return machines;
  }

  /**
   * Chooses the cheapest kind of machine to rent for a job, or returns null if there is none. At
   * equal prices the zone with fewer machines is chosen; kinds that the cloud refused recently are
   * skipped.
   */
  private MachineKind chooseKind(Job job, Map<String, Integer> machinesPerZone) {
    long now = timers.nowMs();
    MachineKind best = null;
    double bestCost = 0;
    for (MachineType type : types.all()) {
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
    if (best != null && zones.isUnreachable(best.zone)) {
      // Only one machine is rented in an unreachable zone, to find out when it is reachable again.
      closedZones.add(best.zone);
    }
    return best;
  }

  /** Zones with a controller are preferred for replicas and gangs, the other zones for arrays. */
  private boolean isPreferredZone(Job job, String zone) {
    boolean isArray = job.spec().shape() == JobSpec.Shape.ARRAY;
    return settings.controllerZones().contains(zone) != isArray;
  }

  /** Sends a rental request to the cloud, and repeats it while its outcome is unknown. */
  private void sendRental(RentalRequest rental, int retries) {
    if (!membership.isLeader()) {
      // This node has lost the leadership, possibly after the reply to the last request was lost.
      pendingRentals.remove(rental);
      return;
    }
    caller.call(
        settings.cloudAddress(),
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
            LOG.info("rental rejected, no capacity: kind={}", rental.kind);
            refusedUntilMs.put(rental.kind, timers.nowMs() + REFUSAL_BACKOFF_MS);
          } else if (response.status() == 400) {
            pendingRentals.remove(rental);
            LOG.error("rental rejected by the cloud as invalid: kind={}", rental.kind);
            refusedUntilMs.put(rental.kind, timers.nowMs() + 4 * REFUSAL_BACKOFF_MS);
          } else if (retries < 20 && pendingRentals.contains(rental)) {
            // The request may have been executed. Repeating it with the same key gives the same
            // reply and rents nothing twice.
            timers.after(1000 + 200L * retries, () -> sendRental(rental, retries + 1));
          } else {
            pendingRentals.remove(rental);
          }
        });
  }

  /** Whether a 503 reply reports a transient failure, rather than a lack of capacity. */
  private static boolean isTransientFailure(byte[] body) {
    try {
      return "trouble".equals(Document.parse(body).raw("error"));
    } catch (BadMessage e) {
      return true;
    }
  }

  /** Records the rented machines; fewer than requested means that the capacity is exhausted. */
  private void handleRentalReply(RentalRequest rental, byte[] body) {
    List<String> names;
    try {
      names = Document.parse(body).texts("hosts");
    } catch (BadMessage e) {
      malformedMessages.record(MalformedMessages.Sender.CLOUD, "answer to a rental", e);
      return;
    }
    LOG.info(
        "machines rented: count={}, requested={}, kind={}",
        names.size(),
        rental.count,
        rental.kind);
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

  /** Computes the machines to rent for waiting tasks that fit on no existing machine. */
  static final class RentalDemand {
    /** A machine that has been requested or rented but is not in the tables yet. */
    record ExpectedMachine(MachineType type, String zone, boolean spot) {}

    /** Chooses the kind of machine to rent for a job; null if none can be rented now. */
    interface KindChooser {
      MachineKind choose(Job job, Map<String, Integer> machinesPerZone);
    }

    /** The free capacity of a machine; {@code kindToRent} is null unless the machine is new. */
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

    /** Returns how many machines of each kind to rent for the jobs, in the order of the queue. */
    static Map<MachineKind, Integer> compute(
        Iterable<Job> waiting,
        long nowMs,
        Settings settings,
        MachineTypes types,
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
        // A job that seems to fail everywhere is probed with one task, so one machine is enough.
        boolean probeOnly = job.isSuspected() && job.spec().shape() != JobSpec.Shape.GANG;
        int taskCount = probeOnly ? 1 : job.waitingCount();
        QuotaShare quotaPerTask = new QuotaShare(job.spec().cpus(), job.spec().gpus());
        QuotaShare remainingQuota =
            remainingQuotas.computeIfAbsent(
                team.name(), k -> remainingQuota(team, usage.of(team.name())));
        int allowedTasks =
            FreeCapacity.taskCapacity(
                job.spec(), remainingQuota.cpus(), remainingQuota.gpus(), Double.POSITIVE_INFINITY);
        // Tasks beyond their team's limit need no new machine: they run where other tasks of the
        // team have ended. The first gang that waits for the limit is the exception, because quota
        // is held for it.
        boolean isGang = job.spec().shape() == JobSpec.Shape.GANG;
        if (!isGang) {
          taskCount = Math.min(taskCount, allowedTasks);
        } else if (allowedTasks < taskCount && !teamsSavingQuota.add(team.name())) {
          continue;
        }
        remainingQuotas.put(team.name(), remainingQuota.minus(quotaPerTask.times(taskCount)));
        // All tasks of a job are alike: where one did not fit, the next one does not fit either.
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

    /** Returns what a team may use beyond its present usage; infinite where it has no limit. */
    private static QuotaShare remainingQuota(Settings.Team team, QuotaShare used) {
      return new QuotaShare(
          team.maxCpus() > 0 ? team.maxCpus() - used.cpus() : Double.POSITIVE_INFINITY,
          team.maxGpus() > 0 ? team.maxGpus() - used.gpus() : Double.POSITIVE_INFINITY);
    }
  }
}
