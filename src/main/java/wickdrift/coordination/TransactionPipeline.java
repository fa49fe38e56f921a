package wickdrift.coordination;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceClient;
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
 * Writes this node's decisions: exits that reports proved, machines' records, ends of jobs, and
 * placements. One transaction is in flight at a time, decided from the tables as they are; after it
 * the tables are caught up before the next is decided.
 */
public final class TransactionPipeline {
  private static final Logger LOG = LoggerFactory.getLogger(TransactionPipeline.class);
  private static final long IDLE_TICK_MS = 500;
  private static final long RETRY_INTERVAL_MS = 150;
  private static final long MIN_CYCLE_GAP_MS = 10;

  /** So many ends may wait in their jobs' records; a load reads them all. */
  private static final int MAX_DEFERRED_MOVES = 2000;

  /** However much there is to write, so often a node looks whether another lacks share. */
  private static final long MAX_QUOTA_CHECK_DELAY_MS = 2000;

  /** A page, and a record beside it. */
  private static final int MIN_CHANGES = 2;

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
   * @param lostInEpoch the epoch in which it was gone without a trace, else 0
   */
  private record PendingExit(Machine machine, int attempt, String exitReason, long lostInEpoch) {}

  private record TaskKey(String job, int index) {}

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final Types types;
  private final Membership membership;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private final TaskPlacer taskPlacer;
  private final LogCompaction compaction;
  private final EncodingMigration encodingMigration;
  private final Map<TaskKey, PendingExit> pendingExits = new LinkedHashMap<>();
  private final Map<Machine, Machine.Info> pendingRecords = new LinkedHashMap<>();

  private Phase phase = Phase.READY;
  private boolean cycleScheduled;
  private long settledAtMs;
  private long leaderSettledAtMs;
  private long lastCycleMs;
  private long lastQuotaCheckMs;
  private long transactionCount;
  private long builtTransactionCount;
  private long cyclesWithoutBudget;

  /** Changes that the next transaction must be able to have: the last left something out. */
  private int requestedChanges;

  /** Whether a timer will wake us when the leader's jobs that were passed over may be placed. */
  private boolean postponedCycleScheduled;

  /** Writes nothing before it is started. */
  public TransactionPipeline(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      SchedulingState scheduling,
      Types types,
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

  public void start() {
    idleTick();
  }

  /** Tasks placed so far, those of transactions that failed too. */
  public long placedTasks() {
    return taskPlacer.placedTasks();
  }

  /** From a stage's last end to the next one's first placement, in milliseconds. */
  public double stageDelayMs(double percentile) {
    return taskPlacer.stageDelayMs(percentile);
  }

  /** Whether no transaction is out: what was begun is durable, or its failure is known. */
  public boolean isIdle() {
    return phase == Phase.READY;
  }

  public long transactionCount() {
    return transactionCount;
  }

  /** Drafts that were put together, those with nothing in them too. */
  public long builtTransactionCount() {
    return builtTransactionCount;
  }

  /** Times that nothing was drafted, as too little could be paid yet. */
  public long cyclesWithoutBudget() {
    return cyclesWithoutBudget;
  }

  private void idleTick() {
    timers.after(IDLE_TICK_MS, this::idleTick);
    scheduling.readmitAvoidedMachines();
    scheduleCycle();
  }

  /** Something may be there to write. */
  public void scheduleCycle() {
    if (phase != Phase.READY || cycleScheduled) {
      return;
    }
    cycleScheduled = true;
    // A few milliseconds let what comes together be written together; more when writes are short.
    double writeHeadroom = stateService.writeBudgetFraction();
    long gapMs =
        writeHeadroom > 0.6
            ? MIN_CYCLE_GAP_MS
            : writeHeadroom > 0.3 || requestedChanges > 0
                ? 8 * MIN_CYCLE_GAP_MS
                : 25 * MIN_CYCLE_GAP_MS;
    timers.after(
        Math.max(2, lastCycleMs + gapMs - timers.nowMs()),
        () -> {
          cycleScheduled = false;
          runCycle();
        });
  }

  /** Marks are of one view: the part records were written anew. */
  public void onNewView() {
    taskPlacer.onNewView();
  }

  /** Taken over: nothing is placed until reports had time to come in, or {@link #settleNow}. */
  public void holdPlacementsUntil(long untilMs) {
    settledAtMs = untilMs;
  }

  /** All known machines have reported. */
  public void settleNow() {
    settledAtMs = Math.min(settledAtMs, timers.nowMs());
    scheduleCycle();
  }

  /** The lead was taken over: what the leader places waits too. */
  public void holdLeaderPlacementsUntil(long untilMs) {
    leaderSettledAtMs = untilMs;
  }

  public boolean isSettled() {
    return timers.nowMs() >= settledAtMs;
  }

  public boolean isLeaderSettled() {
    return isSettled() && timers.nowMs() >= leaderSettledAtMs;
  }

  /** True when this is the first that is heard of it. */
  public boolean recordExit(Job job, int index, int attempt, Machine machine, String exitReason) {
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
   * Whether the attempt is known to be over, though not durably yet: until it is, a command to run
   * it would start it once more, beside the next attempt.
   */
  public boolean isExiting(Job job, int index, int attempt) {
    PendingExit exit = pendingExits.get(new TaskKey(job.id(), index));
    return exit != null && exit.attempt == attempt;
  }

  /** No one can have renewed the worker's lease: it has killed all it had. */
  public void onWorkerLeaseExpired(Machine machine) {
    int newExits = 0;
    for (Machine.Slot slot : machine.slots()) {
      newExits +=
          recordExit(slot.job(), slot.index(), slot.state().attempt(), machine, null) ? 1 : 0;
    }
    if (newExits > 0) {
      LOG.info("the lease of {}'s worker has ended with {} tasks", machine.name(), newExits);
    }
  }

  public void enqueueRecord(Machine machine, Machine.Info info) {
    pendingRecords.put(machine, info);
    scheduling.updateMachine(machine);
    scheduleCycle();
  }

  /** After a pause: silence that this process did not listen to proves nothing. */
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
    // So were losses; whoever owns the machine finds them again. What a worker has shown stands.
    pendingExits.values().removeIf(exit -> exit.lostInEpoch > 0);
  }

  /** What is about to be recorded of a machine, or null. */
  public Machine.Info pendingRecord(Machine machine) {
    return pendingRecords.get(machine);
  }

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
    // What is drafted can be paid: a draft that our own budget refuses is drawn anew again and
    // again, and all that it holds waits.
    int maxChanges = stateService.limits().maxTransactionChanges();
    int pageBytes = Math.min(tuning.logPageBytes(), stateService.limits().targetValueBytes());
    int affordableChanges = stateService.affordableChanges(maxChanges);
    if (affordableChanges < Math.min(maxChanges, Math.max(MIN_CHANGES, requestedChanges))) {
      cyclesWithoutBudget++;
      scheduleCycle();
      return;
    }
    builtTransactionCount++;
    TransactionBuilder builder =
        new TransactionBuilder(tables, node, affordableChanges, maxChanges, pageBytes);
    if (isQuotaCheckOverdue()) {
      // By itself: what is placed beside it was decided by the share that is given away.
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
    if (isSettled() && types.known() && stateService.reachable()) {
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

  private void commit(TransactionBuilder builder) {
    phase = Phase.BUSY;
    transactionCount++;
    boolean needsFencing = builder.needsFencing();
    Transaction transaction = builder.build();
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.WORK,
        result -> handleResult(result, needsFencing));
  }

  /**
   * Whether other work has kept this node from giving share away for so long that somebody may wait
   * beside room for it.
   */
  private boolean isQuotaCheckOverdue() {
    return isSettled() && timers.nowMs() - lastQuotaCheckMs > MAX_QUOTA_CHECK_DELAY_MS;
  }

  private void handleResult(StateServiceClient.CommitResult result, boolean needsFencing) {
    switch (result.outcome()) {
      case OK -> stateService.runAtRevision(result.rev(), this::becomeReady);
      case CONDITION_FAILED -> {
        LOG.debug("transaction failed on {}", result.failedKeys());
        stateService.runAtRevision(result.rev(), this::becomeReady);
      }
      case REFUSED -> timers.after(RETRY_INTERVAL_MS + retrySpreadMs(), this::becomeReady);
      case UNKNOWN -> {
        if (result.settled()) {
          stateService.runAtRevision(result.rev(), this::becomeReady);
        } else if (needsFencing) {
          phase = Phase.FENCING;
          fencePlacement();
        } else {
          afterBarrier(this::becomeReady);
        }
      }
      default -> throw new AssertionError(result.outcome());
    }
  }

  /** Those that were refused together do not come back together. */
  private long retrySpreadMs() {
    return Math.floorMod(tables.registry().numberOf(node), 16) * 20L;
  }

  private void becomeReady() {
    phase = Phase.READY;
    scheduleCycle();
  }

  /**
   * A placement whose outcome is unknown may be applied late, beside others that are decided
   * without it. Rewriting our part's record settles it: after that it was applied or never will be.
   */
  private void fencePlacement() {
    afterBarrier(
        () -> {
          Partition partition = tables.currentPartition(node);
          if (partition == null || membership.status() != Membership.Status.MEMBER) {
            // Outside the view nothing is placed, and joining again rewrites the record.
            timers.after(RETRY_INTERVAL_MS, this::fencePlacement);
            return;
          }
          Transaction transaction =
              new Transaction()
                  .requireStamp(Partition.key(node), partition.stamp())
                  .write(Partition.key(node), partition.toStore());
          stateService.commit(
              transaction,
              StateServiceClient.WritePriority.AUTHORITY,
              result -> {
                // Whoever has rewritten it, the placement can't follow any more.
                if (result.outcome() == StateServiceClient.Outcome.OK || result.settled()) {
                  stateService.runAtRevision(result.rev(), this::becomeReady);
                } else {
                  timers.after(RETRY_INTERVAL_MS, this::fencePlacement);
                }
              });
        });
  }

  private void afterBarrier(Runnable next) {
    stateService.barrier(
        2000,
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
      // Under another view someone else may have owned the machine, and have answered its worker.
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
   * Makes the draft fail if the view has changed: whoever owns the machine now may have renewed its
   * worker's lease since. The lease of our own that was looked at before may have ended by the time
   * that the transaction arrives; the part's record, which every change of view rewrites, has not.
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
    if (!builder.touches(Partition.key(node))) {
      builder.addCondition(Partition.key(node), ownPartition.stamp());
    }
    return true;
  }

  /** A gang is done, or lost, together: when one task is done, every one is. */
  private void addGangExit(TransactionBuilder builder, Job job, int index, String exitReason) {
    boolean gangDone = Report.DONE.equals(exitReason) || builder.doneTaskCount(job) > 0;
    TaskState before = builder.taskState(job, index);
    if (!gangDone && job.taskCount() > 1 && before.stop() == TaskState.Stop.NONE) {
      LOG.info(
          "gang {} attempt {} has lost member {} on {} ({}), {} s after it was placed",
          job.id(),
          before.attempt(),
          index,
          before.machine().name(),
          exitReason,
          before.machine().ageMs(job, index, timers.nowMs()) / 1000);
    }
    builder.endAttempt(job, index, gangDone ? Report.DONE : exitReason);
    for (int i = 0; i < job.taskCount(); i++) {
      TaskState state = builder.taskState(job, i);
      if (i == index || !builder.fitsInPage(job, 1)) {
        continue;
      }
      if (gangDone && state.phase() == TaskState.Phase.WAITING) {
        builder.changeTask(job, i, TaskState::doneWithGang);
      } else if (state.isLive() && !gangDone) {
        // The others cannot go on without it; a new attempt needs all of this one to be over.
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
      boolean isPlacer = node.equals(tables.view().placer(job.partition(), job.id()));
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
   * Moves ends to their lasting place: while there are writes to spare, or when there are many.
   * Each is moved by the member that the hash names, so that nobody waits for another.
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
      Machine.Info wanted = entry.getValue();
      // One that no longer follows on what is known would be void, and be written for ever; so
      // would one of a machine that was forgotten meanwhile, as when two leaders returned it.
      boolean isVoid =
          wanted == null
              ? !machine.mayBeForgotten()
              : !machine.phase().canTransitionTo(wanted.phase());
      if (isVoid || tables.machine(machine.name()) != machine) {
        iterator.remove();
        scheduling.updateMachine(machine);
        continue;
      }
      if (!builder.fitsMachineInPage(machine)) {
        return;
      }
      builder.setMachineInfo(machine, wanted);
    }
  }

  private void addOrphanDeletions(TransactionBuilder builder) {
    if (!membership.isLeader()) {
      return;
    }
    for (String key : tables.orphanedKeys()) {
      if (!builder.canAddWrites()) {
        return;
      }
      builder.delete(key);
    }
  }

  /** A gang with a member being stopped is stopped whole, within the time its mates wait. */
  private void addGangStops(TransactionBuilder builder) {
    for (Job job : scheduling.partlyStoppingGangs()) {
      for (int i = 0; i < job.taskCount(); i++) {
        if (builder.taskState(job, i).isLive() && builder.fitsInPage(job, 1)) {
          builder.changeTask(job, i, task -> task.stopping(TaskState.Stop.SAVE));
        }
      }
    }
  }

  /** In a transaction of its own: nothing of ours is about to use the share. */
  private void addQuotaTransfer(TransactionBuilder builder) {
    lastQuotaCheckMs = timers.nowMs();
    Quota quota = new Quota(settings, tables);
    quota.holdQuotaForGangs(scheduling.queue().waiting(), timers.wallMs());
    Quota.Transfer transfer =
        quota.proposeTransfer(membership.isLeader(), scheduling.queue().waiting());
    if (transfer != null) {
      LOG.info(
          "giving quota of {} from {} to {}",
          transfer.team(),
          transfer.donor(),
          transfer.recipient());
      builder.write(
          Partition.key(transfer.donor()),
          transfer.donorPartition().toStore(),
          transfer.donorPartition().stamp());
      builder.write(
          Partition.key(transfer.recipient()),
          transfer.recipientPartition().toStore(),
          transfer.recipientPartition().stamp());
      builder.requireFencing();
      builder.requireCurrentView();
    }
  }
}
