package wickdrift.coordination;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.LogPage;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.OrphanedRecords;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.TerminalState;
import wickdrift.bookkeeping.Transaction;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.Report;
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/**
 * Writes this node's decisions: exits that reports proved, machine records, ends of jobs, and
 * placements. At most one transaction is in flight. Each is decided from the current tables, and
 * the tables catch up with it before the next one is decided.
 */
public final class TransactionPipeline {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionPipeline.class);
  private static final long IDLE_TICK_MS = 500;
  private static final long RETRY_INTERVAL_MS = 150;
  private static final long MIN_CYCLE_GAP_MS = 10;

  /**
   * Maximum number of job ends that remain in the jobs' own records. Every load of the state reads
   * all of them.
   */
  private static final int MAX_DEFERRED_MOVES = 2000;

  /**
   * After this time a node checks whether another one lacks quota share, however much other work
   * there is.
   */
  private static final long MAX_QUOTA_CHECK_DELAY_MS = 2000;

  /** One write for a log page and one for another record. */
  private static final int MIN_CHANGES = 2;

  /** The pipeline's state. */
  private enum Phase {
    READY,
    /** A transaction is in flight, or the tables are catching up with one. */
    BUSY,
    /**
     * The outcome of a placement is unknown: this node's partition record must change before the
     * next one.
     */
    FENCING
  }

  /**
   * The end of an attempt that is not durable yet. An attempt that ended on its machine (the worker
   * reports it until it is cleared), or that was lost with its machine, stays over. An attempt that
   * disappeared without an exit stays over only as long as nobody runs it again, and under another
   * view the machine's owner may do that.
   *
   * @param lostInEpoch the epoch in which the attempt disappeared without an exit, otherwise 0
   */
  private record PendingExit(Machine machine, long attempt, String exitReason, long lostInEpoch) {}

  /** Identifies a task. */
  private record TaskKey(String job, int index) {}

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final MachineTypes types;
  private final Membership membership;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private final TaskPlacer taskPlacer;
  private final LogCompaction compaction;
  private final EncodingMigration encodingMigration;
  private final Map<TaskKey, PendingExit> pendingExits = new LinkedHashMap<>();
  private final Map<Machine, Machine.Info> pendingRecords = new LinkedHashMap<>();

  private final RejectionBackoff rejectionBackoff = new RejectionBackoff();
  private Phase phase = Phase.READY;
  private boolean cycleScheduled;

  /** Whether the last transaction was built for the next limits of the state service. */
  private boolean builtForNextLimits;

  private long settledAtMs;
  private long leaderSettledAtMs;
  private long lastCycleMs;
  private long lastQuotaCheckMs;
  private long transactionCount;
  private long builtTransactionCount;
  private long cyclesWithoutBudget;

  /**
   * Number of changes that the next transaction must allow, because the last one left something
   * out.
   */
  private int requestedChanges;

  /**
   * Whether a timer is set to start a cycle when the leader's jobs that were passed over may be
   * placed.
   */
  private boolean postponedCycleScheduled;

  /** Creates a pipeline that writes nothing before it is started. */
  public TransactionPipeline(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      SchedulingState scheduling,
      MachineTypes types,
      Membership membership,
      Tuning tuning,
      Settings settings) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.scheduling = scheduling;
    scheduling.setPendingFilter(pendingRecords::containsKey);
    this.types = types;
    this.membership = membership;
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
    this.taskPlacer =
        new TaskPlacer(
            timers,
            tables,
            scheduling,
            types,
            tuning,
            settings,
            stateService.limits(),
            this::isLeaderSettled);
    this.compaction = new LogCompaction(timers, stateService, tables, membership, tuning, node);
    this.encodingMigration =
        new EncodingMigration(timers, stateService, tables, membership, settings);
  }

  /** Starts the cycles that write the decisions of this node. */
  public void start() {
    idleTick();
  }

  /** Returns the number of tasks placed so far, including those of failed transactions. */
  public long placedTasks() {
    return taskPlacer.placedTasks();
  }

  /**
   * Returns a percentile of the time from the last end in a stage to the first placement of the
   * next stage, in milliseconds.
   */
  public double stageDelayMs(double percentile) {
    return taskPlacer.stageDelayMs(percentile);
  }

  /** Whether no transaction is in flight: everything begun is durable, or its failure is known. */
  public boolean isIdle() {
    return phase == Phase.READY;
  }

  /** Returns the number of transactions that were sent. */
  public long transactionCount() {
    return transactionCount;
  }

  /** Returns the number of transactions that were built, including those that remained empty. */
  public long builtTransactionCount() {
    return builtTransactionCount;
  }

  /** Returns how often no transaction was built because the write budget was still too small. */
  public long cyclesWithoutBudget() {
    return cyclesWithoutBudget;
  }

  private void idleTick() {
    timers.after(IDLE_TICK_MS, this::idleTick);
    scheduling.releaseQuarantinedMachines();
    scheduleCycle();
  }

  /** Schedules a cycle, because there may be something to write. */
  public void scheduleCycle() {
    if (phase != Phase.READY || cycleScheduled) {
      return;
    }
    cycleScheduled = true;
    // A few milliseconds let changes that arrive together be written together. The gap is longer
    // when few writes are available.
    double writeBudgetFraction = stateService.writeBudgetFraction();
    long gapMs =
        writeBudgetFraction > 0.6
            ? MIN_CYCLE_GAP_MS
            : writeBudgetFraction > 0.3 || requestedChanges > 0
                ? 8 * MIN_CYCLE_GAP_MS
                : 25 * MIN_CYCLE_GAP_MS;
    timers.after(
        Math.max(2, lastCycleMs + gapMs - timers.nowMs()),
        () -> {
          cycleScheduled = false;
          runCycle();
        });
  }

  /**
   * Discards the reservations, which belong to one view: the partition records were rewritten with
   * the new one.
   */
  public void onNewView() {
    taskPlacer.onNewView();
  }

  /**
   * Holds placements after a takeover, until there was time for reports to arrive or {@link
   * #settleNow} is called.
   */
  public void holdPlacementsUntil(long untilMs) {
    settledAtMs = untilMs;
  }

  /** Ends the hold, because all known machines have reported. */
  public void settleNow() {
    settledAtMs = Math.min(settledAtMs, timers.nowMs());
    scheduleCycle();
  }

  /** Holds the leader's placements too, after this node became the leader. */
  public void holdLeaderPlacementsUntil(long untilMs) {
    leaderSettledAtMs = untilMs;
  }

  /** Returns how many transactions the state service has rejected for their size or form. */
  public long rejectedTransactions() {
    return rejectionBackoff.rejections();
  }

  /**
   * Returns how often a handover was left to a later transaction, for lack of room in the first.
   */
  public long handoversDeferred() {
    return taskPlacer.handoversDeferred();
  }

  /** Whether the hold on placements after a takeover has ended. */
  public boolean isSettled() {
    return timers.nowMs() >= settledAtMs;
  }

  /** Whether the hold on the leader's placements has ended too. */
  public boolean isLeaderSettled() {
    return isSettled() && timers.nowMs() >= leaderSettledAtMs;
  }

  /**
   * Records the end of an attempt, to be written with the next transaction.
   *
   * @param exitReason the reason that the worker reported, or null if the attempt was lost
   * @return whether the end was not recorded before
   */
  public boolean recordExit(Job job, int index, long attempt, Machine machine, String exitReason) {
    PendingExit exit =
        new PendingExit(
            machine, attempt, exitReason, exitReason == null ? tables.view().epoch() : 0);
    if (pendingExits.putIfAbsent(new TaskKey(job.id(), index), exit) != null) {
      return false;
    }
    scheduleCycle();
    return true;
  }

  /**
   * Whether the attempt is known to be over but its end is not durable yet. Until it is, a command
   * to run the attempt would start it once more, beside the next attempt.
   */
  public boolean isExiting(Job job, int index, long attempt) {
    PendingExit exit = pendingExits.get(new TaskKey(job.id(), index));
    return exit != null && exit.attempt == attempt;
  }

  /**
   * Records the loss of all tasks on a machine whose worker's lease has expired: nobody can have
   * renewed the lease, so the worker has killed all its tasks.
   */
  public void onWorkerLeaseExpired(Machine machine) {
    int newExits = 0;
    for (Machine.Slot slot : machine.slots()) {
      boolean isNew = recordExit(slot.job(), slot.index(), slot.state().attempt(), machine, null);
      newExits += isNew ? 1 : 0;
    }
    if (newExits > 0) {
      LOG.info("worker lease expired: machine={}, tasks={}", machine.name(), newExits);
    }
  }

  /**
   * Adds a machine record to those that are to be written.
   *
   * @param info the new record, or null if the machine's record is to be deleted
   */
  public void enqueueRecord(Machine machine, Machine.Info info) {
    pendingRecords.put(machine, info);
    scheduling.updateMachine(machine);
    scheduleCycle();
  }

  /**
   * Discards conclusions that a process pause may have made wrong: silence proves nothing while
   * this process was not receiving.
   */
  public void onProcessResumed() {
    pendingRecords
        .entrySet()
        .removeIf(
            entry -> {
              boolean isLoss =
                  entry.getValue() != null && entry.getValue().phase() == Machine.Phase.LOST;
              if (isLoss) {
                scheduling.updateMachine(entry.getKey());
              }
              return isLoss;
            });
    // Attempts that disappeared without an exit are discarded too; the machine's owner detects them
    // again. Exits that a worker has reported remain.
    pendingExits.values().removeIf(exit -> exit.lostInEpoch > 0);
  }

  /** Returns the machine record that is about to be written, or null. */
  public Machine.Info pendingRecord(Machine machine) {
    return pendingRecords.get(machine);
  }

  /** Whether a record of the machine is about to be written. */
  public boolean hasPendingRecord(Machine machine) {
    return pendingRecords.containsKey(machine);
  }

  // ---- the cycle ----

  private void runCycle() {
    if (phase != Phase.READY
        || stateService.phase() != StateServiceClient.Phase.FOLLOWING
        || membership.status() != Membership.Status.MEMBER
        || membership.isViewOutdated()
        || membership.isLeaving()
        || tables.registry().numberOf(node) < 0) {
      return;
    }
    lastCycleMs = timers.nowMs();
    scheduling.update();
    // The builder is limited to what the write budget allows. A transaction that the budget refuses
    // would be built again and again, and everything in it would wait.
    TransactionBuilder.Capacity capacity = transactionCapacity();
    if (capacity.affordableChanges()
        < Math.min(capacity.maxChanges(), Math.max(MIN_CHANGES, requestedChanges))) {
      cyclesWithoutBudget++;
      scheduleCycle();
      return;
    }
    builtTransactionCount++;
    TransactionBuilder builder =
        new TransactionBuilder(
            tables, node, capacity, key -> rejectionBackoff.mayWrite(key, lastCycleMs));
    if (isQuotaCheckOverdue()) {
      // The transfer is a transaction of its own: placements beside it would have been decided with
      // the quota share that it transfers.
      addQuotaTransfer(builder);
      if (!builder.isEmpty()) {
        commit(builder);
        return;
      }
    }
    addExits(builder);
    addJobEnds(builder);
    addMachineRecords(builder);
    addGangStops(builder);
    if (isSettled() && types.isLoaded() && stateService.isReachable()) {
      taskPlacer.placeWaitingTasks(builder);
      if (taskPlacer.postponedForMs() > 0 && !postponedCycleScheduled) {
        postponedCycleScheduled = true;
        timers.after(
            taskPlacer.postponedForMs(),
            () -> {
              postponedCycleScheduled = false;
              scheduleCycle();
            });
      }
    }
    addOrphanDeletions(builder);
    if (builder.isEmpty() && isSettled()) {
      addQuotaTransfer(builder);
    }
    compaction.addCompaction(builder);
    if (builder.isEmpty()
        && stateService.writeBudgetFraction() > EncodingMigration.MIN_WRITE_BUDGET_FRACTION) {
      encodingMigration.addNextRecord(builder);
    }
    addHistoryMoves(builder);
    requestedChanges = builder.requestedWrites();
    if (builder.isEmpty()) {
      if (requestedChanges > 0) {
        scheduleCycle();
      }
      return;
    }
    commit(builder);
  }

  private TransactionBuilder.Capacity transactionCapacity() {
    StateServiceLimits limits = stateService.limits();
    builtForNextLimits = limits.nextLimitsInEffect();
    int maxChanges = limits.maxTransactionChanges();
    return rejectionBackoff.reduce(
        new TransactionBuilder.Capacity(
            stateService.affordableChanges(maxChanges),
            maxChanges,
            limits.targetTransactionBytes(),
            Math.min(tuning.maxLogPageBytes(), limits.targetValueBytes())),
        timers.nowMs());
  }

  private void commit(TransactionBuilder builder) {
    phase = Phase.BUSY;
    transactionCount++;
    boolean needsFencing = builder.needsFencing();
    Transaction transaction = builder.build();
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.WORK,
        result -> handleResult(transaction, result, needsFencing));
  }

  /**
   * Whether other work has kept this node from transferring quota share for so long that jobs
   * elsewhere may be waiting although capacity is free.
   */
  private boolean isQuotaCheckOverdue() {
    return isSettled() && timers.nowMs() - lastQuotaCheckMs > MAX_QUOTA_CHECK_DELAY_MS;
  }

  private void handleResult(
      Transaction transaction, StateServiceClient.CommitResult result, boolean needsFencing) {
    switch (result.outcome()) {
      case OK -> stateService.runAtRevision(result.rev(), this::becomeReady);
      case CONDITION_FAILED -> {
        LOG.debug("transaction failed: failedKeys={}", result.failedKeys());
        stateService.runAtRevision(result.rev(), this::becomeReady);
      }
      case REFUSED -> timers.after(RETRY_INTERVAL_MS + retrySpreadMs(), this::becomeReady);
      case REJECTED -> {
        noteRejection(transaction);
        timers.after(RETRY_INTERVAL_MS + retrySpreadMs(), this::becomeReady);
      }
      case UNKNOWN -> {
        if (result.settled()) {
          stateService.runAtRevision(result.rev(), this::becomeReady);
        } else if (needsFencing) {
          phase = Phase.FENCING;
          fencePlacement(false);
        } else {
          afterBarrier(this::becomeReady);
        }
      }
      default -> throw new AssertionError(result.outcome());
    }
  }

  private void noteRejection(Transaction transaction) {
    boolean limitsHaveChanged = stateService.limits().nextLimitsInEffect() && !builtForNextLimits;
    if (!limitsHaveChanged) {
      Set<String> recordKeys = new LinkedHashSet<>(transaction.changedKeys());
      recordKeys.removeIf(LogPage::isPage);
      rejectionBackoff.rejected(recordKeys, timers.nowMs());
    }
  }

  /**
   * Returns an additional delay that differs between nodes, so that nodes refused together do not
   * retry together.
   */
  private long retrySpreadMs() {
    return Math.floorMod(tables.registry().numberOf(node), 16) * 20L;
  }

  private void becomeReady() {
    phase = Phase.READY;
    scheduleCycle();
  }

  /**
   * Fences a placement whose outcome is unknown. It may still be applied late, beside others that
   * are decided without it. After this node's partition record is rewritten, the placement either
   * was applied or never will be.
   */
  private void fencePlacement(boolean withoutReservations) {
    afterBarrier(
        () -> {
          Partition partition = tables.currentPartition(node);
          if (partition == null || membership.status() != Membership.Status.MEMBER) {
            // Outside the view nothing is placed, and joining again rewrites the record.
            timers.after(RETRY_INTERVAL_MS, () -> fencePlacement(false));
            return;
          }
          // Any change of the record does. Without the reservations, which the leader adds again,
          // the record fits under lower limits than it was stored under.
          Partition rewritten = withoutReservations ? partition.withReserved(List.of()) : partition;
          Transaction transaction =
              new Transaction()
                  .requireStamp(Partition.key(node), partition.stamp())
                  .write(Partition.key(node), rewritten.toStore());
          stateService.commit(
              transaction,
              StateServiceClient.WritePriority.AUTHORITY,
              result -> {
                // Whichever node rewrote the record, the placement can no longer be applied.
                if (result.outcome() == StateServiceClient.Outcome.OK || result.settled()) {
                  stateService.runAtRevision(result.rev(), this::becomeReady);
                } else {
                  boolean rejected = result.outcome() == StateServiceClient.Outcome.REJECTED;
                  timers.after(RETRY_INTERVAL_MS, () -> fencePlacement(rejected));
                }
              });
        });
  }

  private void afterBarrier(Runnable next) {
    stateService.barrier(
        StateServiceClient.BACKGROUND_BARRIER_TIMEOUT_MS,
        ok -> {
          if (ok) {
            next.run();
          } else {
            timers.after(RETRY_INTERVAL_MS, () -> afterBarrier(next));
          }
        });
  }

  // ---- exits, ends, records ----

  private void addExits(TransactionBuilder builder) {
    for (Machine machine : scheduling.goneMachinesWithTasks()) {
      if (node.equals(machine.owner(tables.view()))) {
        for (Machine.Slot slot : machine.slots()) {
          pendingExits.putIfAbsent(
              new TaskKey(slot.job().id(), slot.index()),
              new PendingExit(machine, slot.state().attempt(), null, 0));
        }
      }
    }
    Iterator<Map.Entry<TaskKey, PendingExit>> iterator = pendingExits.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<TaskKey, PendingExit> entry = iterator.next();
      Job job = tables.job(entry.getKey().job());
      int index = entry.getKey().index();
      TaskState state = job == null ? null : job.task(index);
      PendingExit exit = entry.getValue();
      // Under another view another node may have owned the machine and answered its worker.
      boolean isStale = exit.lostInEpoch > 0 && exit.lostInEpoch != tables.view().epoch();
      if (isStale
          || state == null
          || !state.isLive()
          || state.attempt() != exit.attempt
          || state.machine() != exit.machine) {
        iterator.remove();
        continue;
      }
      if (!builder.fitsInPage(job, 1)) {
        break;
      }
      if (exit.lostInEpoch > 0 && !requireCurrentView(builder)) {
        continue;
      }
      if (job.spec().shape() == JobSpec.Shape.GANG) {
        addGangExit(builder, job, index, exit.exitReason);
      } else {
        builder.endAttempt(job, index, exit.exitReason);
      }
    }
  }

  /**
   * Makes the transaction fail if the view has changed, since the machine's new owner may have
   * renewed its worker's lease. Checking this node's own lease beforehand is not enough: it may
   * have ended by the time the transaction arrives. A change of view always rewrites the record on
   * which the condition is set.
   *
   * @return false if no such condition can be set now
   */
  private boolean requireCurrentView(TransactionBuilder builder) {
    if (tables.isOpen(Gate.VIEWS)) {
      builder.requireCurrentView();
      return true;
    }
    Partition ownPartition = tables.partition(node);
    if (ownPartition == null || ownPartition.epoch() != tables.view().epoch()) {
      return false;
    }
    if (!builder.changesKey(Partition.key(node))) {
      builder.addCondition(Partition.key(node), ownPartition.stamp());
    }
    return true;
  }

  /**
   * Ends a gang attempt as a whole: if one task is done, all are, and if one is lost, the others
   * are stopped.
   */
  private void addGangExit(TransactionBuilder builder, Job job, int index, String exitReason) {
    boolean gangDone = Report.EXIT_DONE.equals(exitReason) || builder.doneTaskCount(job) > 0;
    TaskState before = builder.taskState(job, index);
    if (!gangDone && job.taskCount() > 1 && before.stop() == TaskState.Stop.NONE) {
      LOG.info(
          "gang member lost: gang={}, attempt={}, member={}, machine={}, reason={}, placedAgoS={}",
          job.id(),
          before.attempt(),
          index,
          before.machine().name(),
          exitReason,
          before.machine().ageMs(job, index, timers.nowMs()) / 1000);
    }
    builder.endAttempt(job, index, gangDone ? Report.EXIT_DONE : exitReason);
    for (int i = 0; i < job.taskCount(); i++) {
      TaskState state = builder.taskState(job, i);
      if (i == index || !builder.fitsInPage(job, 1)) {
        continue;
      }
      if (gangDone && state.phase() == TaskState.Phase.WAITING) {
        builder.changeTask(job, i, TaskState::doneWithGang);
      } else if (state.isLive() && !gangDone) {
        // The other members cannot continue without it, and a new attempt requires that all of this
        // one is over.
        builder.changeTask(job, i, task -> task.stopping(TaskState.Stop.SAVE));
      }
    }
  }

  private void addJobEnds(TransactionBuilder builder) {
    Set<Job> candidates = new LinkedHashSet<>(builder.changedJobs());
    candidates.addAll(scheduling.finishableJobs());
    for (Job job : candidates) {
      if (!builder.canEndJob()) {
        return;
      }
      boolean isPlacer = node.equals(tables.view().placingNode(job.partition(), job.id()));
      if (builder.changedJobs().contains(job) || isPlacer) {
        if (job.withdrawn()) {
          if (builder.liveTaskCount(job) == 0) {
            builder.endJob(job, TerminalState.WITHDRAWN, timers.wallMs());
          }
        } else if (builder.doneTaskCount(job) == job.taskCount()) {
          builder.endJob(job, TerminalState.DONE, timers.wallMs());
        }
      }
    }
  }

  /**
   * Moves job ends to the job history while there are writes to spare, or when there are many. The
   * hash of its id determines the member that moves a job's end, so that no member waits for
   * another.
   */
  private void addHistoryMoves(TransactionBuilder builder) {
    boolean backlogged = tables.pendingHistory().size() > MAX_DEFERRED_MOVES;
    if (!backlogged
        && !(builder.isEmpty()
            && stateService.writeBudgetFraction() > EncodingMigration.MIN_WRITE_BUDGET_FRACTION)) {
      return;
    }
    for (Map.Entry<String, Tables.PendingHistoryEntry> entry : tables.pendingHistory().entrySet()) {
      if (!builder.canMoveToHistory()) {
        return;
      }
      if (node.equals(tables.view().owner(entry.getKey()))) {
        builder.moveToHistory(entry.getKey(), entry.getValue());
      }
    }
  }

  private void addMachineRecords(TransactionBuilder builder) {
    Iterator<Map.Entry<Machine, Machine.Info>> iterator = pendingRecords.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Machine, Machine.Info> entry = iterator.next();
      Machine machine = entry.getKey();
      Machine.Info newInfo = entry.getValue();
      // A change of phase that is not allowed from the current one would have no effect and be
      // written forever. So would the record of a machine that was removed meanwhile, as when two
      // leaders returned it.
      boolean isVoid =
          newInfo == null
              ? !machine.mayBeForgotten()
              : !machine.phase().canTransitionTo(newInfo.phase());
      if (isVoid || tables.machine(machine.name()) != machine) {
        iterator.remove();
        scheduling.updateMachine(machine);
        continue;
      }
      if (!builder.fitsMachineInPage(machine)) {
        return;
      }
      builder.setMachineInfo(machine, newInfo);
    }
  }

  /** Deletes records of ended jobs that were not deleted with the job. */
  private void addOrphanDeletions(TransactionBuilder builder) {
    if (!membership.isLeader()) {
      return;
    }
    for (OrphanedRecords.Orphan orphan : tables.orphanedRecords()) {
      if (!builder.canAddWrites() || !builder.canAddConditions()) {
        return;
      }
      LOG.debug("deleting a record of an ended job: {}", orphan);
      builder.deleteOrphan(orphan);
    }
  }

  /**
   * Stops all of a gang that has a member being stopped, within the time that its members wait for
   * each other.
   */
  private void addGangStops(TransactionBuilder builder) {
    for (Job job : scheduling.partlyStoppingGangs()) {
      for (int i = 0; i < job.taskCount(); i++) {
        if (builder.taskState(job, i).isLive() && builder.fitsInPage(job, 1)) {
          builder.changeTask(job, i, task -> task.stopping(TaskState.Stop.SAVE));
        }
      }
    }
  }

  /**
   * Adds a transfer of quota share. It is in a transaction of its own, so that no placement of this
   * node is about to use that share.
   */
  private void addQuotaTransfer(TransactionBuilder builder) {
    lastQuotaCheckMs = timers.nowMs();
    Quota quota = new Quota(settings, tables);
    quota.holdQuotaForGangs(scheduling.queue().waiting(), timers.wallMs());
    Quota.Transfer transfer =
        quota.proposeTransfer(membership.isLeader(), scheduling.queue().waiting());
    if (transfer != null
        && canWritePartition(builder, transfer.donor(), transfer.donorPartition())
        && canWritePartition(builder, transfer.recipient(), transfer.recipientPartition())) {
      LOG.info(
          "transferring quota share: team={}, from={}, to={}",
          transfer.team(),
          transfer.donor(),
          transfer.recipient());
      writePartition(builder, transfer.donor(), transfer.donorPartition());
      writePartition(builder, transfer.recipient(), transfer.recipientPartition());
      builder.requireFencing();
      builder.requireCurrentView();
    }
  }

  private static boolean canWritePartition(
      TransactionBuilder builder, String owner, Partition partition) {
    return builder.canWrite(Partition.key(owner), partition.toStore());
  }

  private static void writePartition(
      TransactionBuilder builder, String owner, Partition partition) {
    builder.write(Partition.key(owner), partition.toStore(), partition.stamp());
  }
}
