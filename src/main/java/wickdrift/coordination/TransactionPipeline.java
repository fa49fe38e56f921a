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
  private static final long REFUSED_MS = 150;
  private static final long GAP_MS = 10;

  /** So many ends may wait in their jobs' records; a load reads them all. */
  private static final int MOVES_LATE_MOST = 2000;

  /** However much there is to write, so often a node looks whether another lacks share. */
  private static final long GIFT_OVERDUE_MS = 2000;

  /** A page, and a record beside it. */
  private static final int LEAST_CHANGES = 2;

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
  private final StateServiceClient ledger;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final Types types;
  private final Membership membership;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private final TaskPlacer placing;
  private final LogCompaction compaction;
  private final EncodingMigration conversion;
  private final Map<TaskKey, Exit> exits = new LinkedHashMap<>();
  private final Map<Machine, Machine.Info> records = new LinkedHashMap<>();

  private Phase phase = Phase.READY;
  private boolean armed;
  private long settledAtMs;
  private long leadSettledAtMs;
  private long lastCycleMs;
  private long giftLookMs;
  private long transactions;
  private long drafted;
  private long unpaid;

  /** Changes that the next transaction must be able to have: the last left something out. */
  private int owed;

  /** Whether a timer will wake us when the leader's jobs that were passed over may be placed. */
  private boolean postponed;

  /** Writes nothing before it is started. */
  public TransactionPipeline(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      SchedulingState scheduling,
      Types types,
      Membership membership,
      Tuning tuning,
      Settings settings) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.scheduling = scheduling;
    scheduling.setPendingFilter(records::containsKey);
    this.types = types;
    this.membership = membership;
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
    this.placing =
        new TaskPlacer(
            timers,
            tables,
            scheduling,
            types,
            tuning,
            settings,
            ledger.limits(),
            this::isLeaderSettled);
    this.compaction = new LogCompaction(timers, ledger, tables, membership, tuning, node);
    this.conversion = new EncodingMigration(timers, ledger, tables, membership, settings);
  }

  public void start() {
    idleTick();
  }

  /** Tasks placed so far, those of transactions that failed too. */
  public long placedTasks() {
    return placing.placedTasks();
  }

  /** From a stage's last end to the next one's first placement, in milliseconds. */
  public double stageDelayMs(double percentile) {
    return placing.stageDelayMs(percentile);
  }

  /** Whether no transaction is out: what was begun is durable, or its failure is known. */
  public boolean isIdle() {
    return phase == Phase.READY;
  }

  public long transactionCount() {
    return transactions;
  }

  /** Drafts that were put together, those with nothing in them too. */
  public long builtTransactionCount() {
    return drafted;
  }

  /** Times that nothing was drafted, as too little could be paid yet. */
  public long cyclesWithoutBudget() {
    return unpaid;
  }

  private void idleTick() {
    timers.after(IDLE_TICK_MS, this::idleTick);
    scheduling.readmitAvoidedMachines();
    scheduleCycle();
  }

  /** Something may be there to write. */
  public void scheduleCycle() {
    if (phase != Phase.READY || armed) {
      return;
    }
    armed = true;
    // A few milliseconds let what comes together be written together; more when writes are short.
    double ease = ledger.writeBudgetFraction();
    long gap = ease > 0.6 ? GAP_MS : ease > 0.3 || owed > 0 ? 8 * GAP_MS : 25 * GAP_MS;
    timers.after(
        Math.max(2, lastCycleMs + gap - timers.nowMs()),
        () -> {
          armed = false;
          cycle();
        });
  }

  /** Marks are of one view: the part records were written anew. */
  public void newView() {
    placing.onNewView();
  }

  /** Taken over: nothing is placed until reports had time to come in, or {@link #settle}. */
  public void hold(long untilMs) {
    settledAtMs = untilMs;
  }

  /** All known machines have reported. */
  public void settle() {
    settledAtMs = Math.min(settledAtMs, timers.nowMs());
    scheduleCycle();
  }

  /** The lead was taken over: what the leader places waits too. */
  public void holdLead(long untilMs) {
    leadSettledAtMs = untilMs;
  }

  public boolean settled() {
    return timers.nowMs() >= settledAtMs;
  }

  public boolean isLeaderSettled() {
    return settled() && timers.nowMs() >= leadSettledAtMs;
  }

  /** True when this is the first that is heard of it. */
  public boolean exited(Job job, int index, int attempt, Machine machine, String why) {
    Exit exit = new Exit(machine, attempt, why, why == null ? tables.view().epoch() : 0);
    if (exits.putIfAbsent(new TaskKey(job.id(), index), exit) != null) {
      return false;
    }
    scheduleCycle();
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
  public void onWorkerLeaseExpired(Machine m) {
    int fresh = 0;
    for (Machine.Slot s : m.slots()) {
      fresh += exited(s.job(), s.index(), s.state().attempt(), m, null) ? 1 : 0;
    }
    if (fresh > 0) {
      LOG.info("the lease of {}'s worker has ended with {} tasks", m.name(), fresh);
    }
  }

  public void enqueueRecord(Machine m, Machine.Info info) {
    records.put(m, info);
    scheduling.updateMachine(m);
    scheduleCycle();
  }

  /** After a pause: silence that this process did not listen to proves nothing. */
  public void onProcessResumed() {
    records
        .entrySet()
        .removeIf(
            e -> {
              boolean silence = e.getValue() != null && e.getValue().phase() == Machine.Phase.LOST;
              if (silence) {
                scheduling.updateMachine(e.getKey());
              }
              return silence;
            });
    // So were losses; whoever owns the machine finds them again. What a worker has shown stands.
    exits.values().removeIf(x -> x.lostIn > 0);
  }

  /** What is about to be recorded of a machine, or null. */
  public Machine.Info pendingRecord(Machine m) {
    return records.get(m);
  }

  public boolean hasPendingRecord(Machine m) {
    return records.containsKey(m);
  }

  // ---- the cycle ----

  private void cycle() {
    if (phase != Phase.READY
        || ledger.phase() != StateServiceClient.Phase.FOLLOWING
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
    int most = ledger.limits().maxTransactionChanges();
    int pageBytes = Math.min(tuning.logPageBytes(), ledger.limits().targetValueBytes());
    int payable = ledger.affordableChanges(most);
    if (payable < Math.min(most, Math.max(LEAST_CHANGES, owed))) {
      unpaid++;
      scheduleCycle();
      return;
    }
    drafted++;
    TransactionBuilder draft = new TransactionBuilder(tables, node, payable, most, pageBytes);
    if (giftOverdue()) {
      // By itself: what is placed beside it was decided by the share that is given away.
      draftGift(draft);
      if (!draft.empty()) {
        commit(draft);
        return;
      }
    }
    draftExits(draft);
    draftEnds(draft);
    draftRecords(draft);
    draftStops(draft);
    if (settled() && types.known() && ledger.reachable()) {
      placing.placeWaitingTasks(draft);
      if (placing.postponedForMs() > 0 && !postponed) {
        postponed = true;
        timers.after(
            placing.postponedForMs(),
            () -> {
              postponed = false;
              scheduleCycle();
            });
      }
    }
    draftOrphans(draft);
    if (draft.empty() && settled()) {
      draftGift(draft);
    }
    compaction.draft(draft);
    if (draft.empty()
        && ledger.writeBudgetFraction() > EncodingMigration.MIN_WRITE_BUDGET_FRACTION) {
      conversion.addNextRecord(draft);
    }
    draftMoves(draft);
    owed = draft.wanted();
    if (draft.empty()) {
      if (owed > 0) {
        scheduleCycle();
      }
      return;
    }
    commit(draft);
  }

  private void commit(TransactionBuilder draft) {
    phase = Phase.BUSY;
    transactions++;
    boolean places = draft.places();
    Transaction txn = draft.build();
    ledger.commit(txn, StateServiceClient.WritePriority.WORK, r -> committed(r, places));
  }

  /**
   * Whether other work has kept this node from giving share away for so long that somebody may wait
   * beside room for it.
   */
  private boolean giftOverdue() {
    return settled() && timers.nowMs() - giftLookMs > GIFT_OVERDUE_MS;
  }

  private void committed(StateServiceClient.CommitResult r, boolean places) {
    switch (r.outcome()) {
      case OK -> ledger.runAtRevision(r.rev(), this::ready);
      case CONDITION_FAILED -> {
        LOG.debug("transaction failed on {}", r.failedKeys());
        ledger.runAtRevision(r.rev(), this::ready);
      }
      case REFUSED -> timers.after(REFUSED_MS + spread(), this::ready);
      case UNKNOWN -> {
        if (r.settled()) {
          ledger.runAtRevision(r.rev(), this::ready);
        } else if (places) {
          phase = Phase.FENCING;
          fence();
        } else {
          afterBarrier(this::ready);
        }
      }
      default -> throw new AssertionError(r.outcome());
    }
  }

  /** Those that were refused together do not come back together. */
  private long spread() {
    return Math.floorMod(tables.registry().numberOf(node), 16) * 20L;
  }

  private void ready() {
    phase = Phase.READY;
    scheduleCycle();
  }

  /**
   * A placement whose outcome is unknown may be applied late, beside others that are decided
   * without it. Rewriting our part's record settles it: after that it was applied or never will be.
   */
  private void fence() {
    afterBarrier(
        () -> {
          Partition p = tables.currentPartition(node);
          if (p == null || membership.status() != Membership.Status.MEMBER) {
            // Outside the view nothing is placed, and joining again rewrites the record.
            timers.after(REFUSED_MS, this::fence);
            return;
          }
          Transaction txn =
              new Transaction()
                  .requireStamp(Partition.key(node), p.stamp())
                  .write(Partition.key(node), p.toStore());
          ledger.commit(
              txn,
              StateServiceClient.WritePriority.AUTHORITY,
              r -> {
                // Whoever has rewritten it, the placement can't follow any more.
                if (r.outcome() == StateServiceClient.Outcome.OK || r.settled()) {
                  ledger.runAtRevision(r.rev(), this::ready);
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

  private void draftExits(TransactionBuilder draft) {
    for (Machine m : scheduling.goneMachinesWithTasks()) {
      if (node.equals(m.owner(tables.view()))) {
        for (Machine.Slot s : m.slots()) {
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
      if (stale
          || s == null
          || !s.isLive()
          || s.attempt() != x.attempt
          || s.machine() != x.machine) {
        it.remove();
        continue;
      }
      if (!draft.fitsInPage(job, 1)) {
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
  private boolean underView(TransactionBuilder draft) {
    if (tables.isOpen(Gate.VIEWS)) {
      draft.requireCurrentView();
      return true;
    }
    Partition mine = tables.partition(node);
    if (mine == null || mine.epoch() != tables.view().epoch()) {
      return false;
    }
    if (!draft.touches(Partition.key(node))) {
      draft.addCondition(Partition.key(node), mine.stamp());
    }
    return true;
  }

  /** A gang is done, or lost, together: when one task is done, every one is. */
  private void draftGangExit(TransactionBuilder draft, Job job, int index, String why) {
    boolean done = Report.DONE.equals(why) || draft.doneTaskCount(job) > 0;
    TaskState was = draft.taskState(job, index);
    if (!done && job.taskCount() > 1 && was.stop() == TaskState.Stop.NONE) {
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
    for (int i = 0; i < job.taskCount(); i++) {
      TaskState s = draft.taskState(job, i);
      if (i == index || !draft.fitsInPage(job, 1)) {
        continue;
      }
      if (done && s.phase() == TaskState.Phase.WAITING) {
        draft.changeTask(job, i, TaskState::doneWithGang);
      } else if (s.isLive() && !done) {
        // The others cannot go on without it; a new attempt needs all of this one to be over.
        draft.changeTask(job, i, t -> t.stopping(TaskState.Stop.SAVE));
      }
    }
  }

  private void draftEnds(TransactionBuilder draft) {
    Set<Job> candidates = new LinkedHashSet<>(draft.touched());
    candidates.addAll(scheduling.finishableJobs());
    for (Job job : candidates) {
      if (!draft.roomToEnd()) {
        return;
      }
      boolean mine = node.equals(tables.view().placer(job.partition(), job.id()));
      if (draft.touched().contains(job) || mine) {
        if (job.withdrawn()) {
          if (draft.liveTaskCount(job) == 0) {
            draft.end(job, TerminalState.WITHDRAWN, timers.wallMs());
          }
        } else if (draft.doneTaskCount(job) == job.taskCount()) {
          draft.end(job, TerminalState.DONE, timers.wallMs());
        }
      }
    }
  }

  /**
   * Moves ends to their lasting place: while there are writes to spare, or when there are many.
   * Each is moved by the member that the hash names, so that nobody waits for another.
   */
  private void draftMoves(TransactionBuilder draft) {
    boolean many = tables.pendingHistory().size() > MOVES_LATE_MOST;
    if (!many
        && !(draft.empty()
            && ledger.writeBudgetFraction() > EncodingMigration.MIN_WRITE_BUDGET_FRACTION)) {
      return;
    }
    for (Map.Entry<String, Tables.PendingHistoryEntry> e : tables.pendingHistory().entrySet()) {
      if (!draft.roomToMove()) {
        return;
      }
      if (node.equals(tables.view().owner(e.getKey()))) {
        draft.move(e.getKey(), e.getValue());
      }
    }
  }

  private void draftRecords(TransactionBuilder draft) {
    Iterator<Map.Entry<Machine, Machine.Info>> it = records.entrySet().iterator();
    while (it.hasNext()) {
      Map.Entry<Machine, Machine.Info> e = it.next();
      Machine m = e.getKey();
      Machine.Info wanted = e.getValue();
      // One that no longer follows on what is known would be void, and be written for ever; so
      // would one of a machine that was forgotten meanwhile, as when two leaders returned it.
      boolean is =
          wanted == null ? !m.mayBeForgotten() : !m.phase().canTransitionTo(wanted.phase());
      if (is || tables.machine(m.name()) != m) {
        it.remove();
        scheduling.updateMachine(m);
        continue;
      }
      if (!draft.takesMachine(m)) {
        return;
      }
      draft.machine(m, wanted);
    }
  }

  private void draftOrphans(TransactionBuilder draft) {
    if (!membership.isLeader()) {
      return;
    }
    for (String key : tables.orphanedKeys()) {
      if (!draft.canAddWrites()) {
        return;
      }
      draft.delete(key);
    }
  }

  /** A gang with a member being stopped is stopped whole, within the time its mates wait. */
  private void draftStops(TransactionBuilder draft) {
    for (Job job : scheduling.partlyStoppingGangs()) {
      for (int i = 0; i < job.taskCount(); i++) {
        if (draft.taskState(job, i).isLive() && draft.fitsInPage(job, 1)) {
          draft.changeTask(job, i, t -> t.stopping(TaskState.Stop.SAVE));
        }
      }
    }
  }

  /** In a transaction of its own: nothing of ours is about to use the share. */
  private void draftGift(TransactionBuilder draft) {
    giftLookMs = timers.nowMs();
    Quota quota = new Quota(settings, tables);
    quota.holdQuotaForGangs(scheduling.queue().waiting(), timers.wallMs());
    Quota.Transfer g = quota.proposeTransfer(membership.isLeader(), scheduling.queue().waiting());
    if (g != null) {
      LOG.info("giving quota of {} from {} to {}", g.team(), g.donor(), g.recipient());
      draft.write(
          Partition.key(g.donor()), g.donorPartition().toStore(), g.donorPartition().stamp());
      draft.write(
          Partition.key(g.recipient()),
          g.recipientPartition().toStore(),
          g.recipientPartition().stamp());
      draft.gives();
      draft.requireCurrentView();
    }
  }
}
