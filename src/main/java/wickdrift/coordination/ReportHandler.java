package wickdrift.coordination;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.Verdict;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.Order;
import wickdrift.protocol.Report;
import wickdrift.transport.Caller;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Answers the reports of the workers of this node's part, and knows which of its machines obey it
 * alone. What a worker is told is decided by {@link CommandPlanner}.
 */
public final class ReportHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ReportHandler.class);

  /** A command that was sent straight and in answers has come by then, or does not come. */
  private static final long RUN_DELIVERY_TIMEOUT_MS = 3500;

  private static final long CATCH_UP_TIMEOUT_MS = 1000;

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final Tuning tuning;
  private final String node;
  private final ReportRelay reportRelay;
  private final Zones zones;
  private final MalformedMessages malformed;
  private final WorkerLinks links;
  private final CommandPlanner planner;
  private final DirectCommands directCommands;
  private final MachineHealthMonitor healthMonitor;

  /** Machines that were told of their owner in this view. */
  private final Set<String> redirectedMachines = new HashSet<>();

  /** Machines of our part that have not reported to us in this view. */
  private final Set<String> unreportedMachines = new HashSet<>();

  private View currentView;
  private View previousView;
  private String lastLeader;
  private long viewEpoch;
  private long viewStartedMs;

  private final long leaseMs;
  private Set<String> ownedMachines = new HashSet<>();

  /** Answers no report before the tables are loaded. */
  public ReportHandler(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      Membership membership,
      TransactionPipeline pipeline,
      Tuning tuning,
      Caller caller,
      ReportRelay reportRelay,
      PauseDetector pauseDetector,
      Zones zones,
      WorkerLinks links,
      long leaseMs,
      String node,
      MalformedMessages malformed) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.membership = membership;
    this.pipeline = pipeline;
    this.tuning = tuning;
    this.reportRelay = reportRelay;
    this.zones = zones;
    this.links = links;
    this.leaseMs = leaseMs;
    this.node = node;
    this.malformed = malformed;
    planner = new CommandPlanner(timers, tables, pipeline, membership, links);
    directCommands =
        new DirectCommands(timers, tables, membership, links, planner, caller, leaseMs, malformed);
    healthMonitor =
        new MachineHealthMonitor(
            timers, tables, membership, pipeline, tuning, pauseDetector, zones, links, node);
  }

  public void start() {
    healthMonitor.start();
  }

  // ---- a new view ----

  /** Called after the tables changed, with the machines that did. */
  public void tablesChanged(List<Machine> changed) {
    View view = tables.view();
    if (view != null && view.epoch() != viewEpoch) {
      viewChanged(view);
    }
    if (view != null && membership.status() == Membership.Status.MEMBER) {
      for (Machine machine : changed) {
        if (ownedMachines.contains(machine.name()) && machine.pollChanged()) {
          directCommands.sendPlannedCommands(machine, true);
        }
      }
    }
  }

  private void viewChanged(View view) {
    // Of views in between nothing is known: someone else may have owned any of our machines, and
    // have answered its worker, as when we stood still meanwhile.
    boolean skippedViews = view.epoch() > viewEpoch + 1;
    previousView = currentView;
    currentView = view;
    viewEpoch = view.epoch();
    redirectedMachines.clear();
    viewStartedMs = timers.nowMs();
    healthMonitor.onEpochStarted(viewEpoch, viewStartedMs);
    LOG.info(
        "epoch {}: members with incarnations {}, leader {}, read at revision {}",
        view.epoch(),
        view.members(),
        view.leader(),
        tables.appliedRev());
    boolean isLeader = view.leader().equals(node);
    boolean becameLeader = isLeader && !view.leader().equals(lastLeader);
    boolean ownedNothing = ownedMachines.isEmpty();
    lastLeader = view.leader();
    Set<String> ownedNow = new HashSet<>();
    unreportedMachines.clear();
    for (Machine machine : tables.machines()) {
      machine.setEpochAcknowledged(false);
      if (node.equals(machine.owner(view))) {
        ownedNow.add(machine.name());
        if (skippedViews || !ownedInPreviousView(machine)) {
          // Its owner until now may go on answering it for as long as the grace allows.
          machine.resetReports(viewStartedMs + tuning.graceMs(), viewStartedMs);
          links.forgetRuns(machine);
        }
        if (machine.report() == null && machine.phase() == Machine.Phase.UP) {
          unreportedMachines.add(machine.name());
        }
      } else {
        machine.resetReports(0, viewStartedMs);
        links.removeLink(machine);
      }
    }
    ownedMachines = ownedNow;
    pipeline.onNewView();
    // Whoever takes over places nothing on what it took over until reports had time to come in, or
    // all known machines have reported. A machine takes no task before it has reported, so a node
    // that had a part goes on with that; one that is new, and one that is new as leader, wait.
    if (ownedNothing) {
      pipeline.holdPlacementsUntil(viewStartedMs + tuning.settleMs());
    }
    if (becameLeader) {
      pipeline.holdLeaderPlacementsUntil(viewStartedMs + tuning.settleMs());
    }
  }

  /**
   * Whether a machine was ours until this change of view. One whose zone was not known at the last
   * change may have been counted as ours by its name alone, and its zone's controllers have
   * answered it since: to take its silence here for its own would end a lease that they renew.
   */
  private boolean ownedInPreviousView(Machine machine) {
    return ownedMachines.contains(machine.name())
        && (previousView == null
            || node.equals(previousView.owner(machine.name(), machine.zone())));
  }

  // ---- reports ----

  public void handleReport(Exchange exchange) {
    handleReport(exchange, true);
  }

  /** A report that a peer passed on: never passed on again. */
  public void handleRelayedReport(Exchange exchange) {
    handleReport(exchange, false);
  }

  private void handleReport(Exchange exchange, boolean mayRelay) {
    if (!membership.caughtUp()) {
      // After a pause: an answer under an epoch that was superseded meanwhile would hold the worker
      // here while its lease runs out. The state service being away, the grace decides.
      stateService.barrier(CATCH_UP_TIMEOUT_MS, ok -> answerReport(exchange, mayRelay));
      return;
    }
    answerReport(exchange, mayRelay);
  }

  private void answerReport(Exchange exchange, boolean mayRelay) {
    Report report;
    try {
      report = Report.parse(Document.parse(exchange.body()));
    } catch (BadMessage cause) {
      malformed.note(MalformedMessages.Sender.WORKER, "report", cause);
      exchange.reply(400, Map.of("error", cause.getMessage()));
      return;
    }
    zones.heard(report.zone(), timers.nowMs());
    View view = tables.view();
    if (view == null || stateService.phase() != StateServiceClient.Phase.FOLLOWING) {
      exchange.reply(503, null, 1);
      return;
    }
    if (report.epoch() > view.epoch() || membership.isViewOutdated()) {
      // Someone else commands by now: catch up, and let the worker find them.
      stateService.barrier(2000, ok -> {});
      exchange.reply(421, Map.of());
      return;
    }
    Membership.Status status = membership.status();
    String owner = view.owner(report.machine(), report.zone());
    if (!owner.equals(node)) {
      // A worker that knows this epoch has been answered by its owner, and has left it: it can't
      // reach it. The owner may be well otherwise, so the report is passed on.
      boolean hasLeftOwner =
          report.epoch() == view.epoch()
              || redirectedMachines.contains(report.machine())
              // Answered by it under the view before, too.
              || previousView != null
                  && report.epoch() == previousView.epoch()
                  && owner.equals(previousView.owner(report.machine(), report.zone()));
      if (hasLeftOwner && mayRelay && reportRelay.forward(exchange, owner)) {
        return;
      }
      redirectedMachines.add(report.machine());
      // A spare knows as much as a member; who is cut off from the store may not.
      boolean knowsOwner = status == Membership.Status.MEMBER || membership.isSpare();
      exchange.reply(421, knowsOwner ? Map.of("upstream", owner) : Map.of());
      return;
    }
    if (status == Membership.Status.OUTSIDE) {
      exchange.reply(503, null, 1);
      return;
    }
    Machine machine = tables.getOrCreateMachine(report.machine());
    if (machine.hasNewerUnsolicitedReport(report)) {
      // A copy: its worker has long had an answer, or has given up. It proves nothing, and an
      // answer that would renew a lease is not given. Or its machine was back so soon that nobody
      // missed it, and its worker counts from one again: only an answer of its own can tell.
      directCommands.probe(machine, report.tenure());
      exchange.reply(503, null, 1);
      return;
    }
    Report lastReport = machine.report();
    boolean isOutdated =
        lastReport != null && machine.provedAlive() && report.notNewerThan(lastReport);
    List<Order> orders;
    if (!isOutdated) {
      long now = timers.nowMs();
      boolean isProof = machine.receiveReport(report, view.epoch(), now);
      machine.setEpochAcknowledged(isProof && report.epoch() == view.epoch());
      if (isProof) {
        links.commandsTo(machine).epochReported(report.epoch(), report.tenure());
      }
      machine.updateCommandReachability(
          report, isProof, hasIgnoredRun(machine, report, now), leaseMs, now);
      if (unreportedMachines.remove(machine.name()) && unreportedMachines.isEmpty()) {
        pipeline.settleNow();
      }
      updateMachineRecord(machine, report, isProof);
      // What may be a copy proves nothing: it is answered, so that the next one shows our token.
      boolean hasAuthority = status == Membership.Status.MEMBER && isProof;
      orders = planner.plan(machine, report, new CommandPlanner.Scope(hasAuthority, true));
    } else {
      // Its answer renews the lease too, should the worker still wait for it.
      orders = planner.planHaltsOfCancelledJobs(machine);
    }
    machine.recordAnswer(timers.nowMs(), view.epoch());
    // One that is newly ours need not wait for its next report to prove itself.
    boolean unproved = !isOutdated && !machine.provedAlive() && machine.phase() == Machine.Phase.UP;
    if (machine.unreachableForCommandsSinceMs() > 0 || unproved) {
      directCommands.probe(machine, report.tenure());
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", view.epoch());
    body.put(
        "orders",
        orders.stream().limit(DirectCommands.MAX_ORDERS_PER_MESSAGE).map(Order::toWire).toList());
    exchange.reply(200, body);
  }

  /** Brings the machine's durable record up to what the report says. */
  private void updateMachineRecord(Machine machine, Report report, boolean isProof) {
    ownedMachines.add(machine.name());
    if (!isProof || machine.unreachableForCommandsSinceMs() > 0) {
      // Perhaps a copy of what a machine said that is gone by now; or one that nothing reaches.
      return;
    }
    Machine.Phase wantedPhase =
        report.noticeS() != null ? Machine.Phase.DRAINING : Machine.Phase.UP;
    Machine.Phase currentPhase = machine.phase();
    boolean needsUpdate =
        switch (currentPhase) {
          case UNKNOWN, BOOTING, LOST -> true;
          case UP -> wantedPhase == Machine.Phase.DRAINING;
          case DRAINING, GONE -> false;
        };
    if (needsUpdate && !pipeline.hasPendingRecord(machine)) {
      pipeline.enqueueRecord(
          machine,
          new Machine.Info(
              report.type(), report.zone(), report.spot(), wantedPhase, timers.wallMs()));
    }
  }

  /** Whether a report lacks a task that its worker was told to run longer ago than that takes. */
  private boolean hasIgnoredRun(Machine machine, Report report, long now) {
    WorkerCommands commands = links.commandsTo(machine);
    for (Machine.Slot slot : machine.slots()) {
      TaskAttempt attempt = new TaskAttempt(slot.taskName(), slot.state().attempt());
      if (commands.isRunIgnoredLongerThan(attempt, RUN_DELIVERY_TIMEOUT_MS, now)
          && report.tasks().stream().noneMatch(entry -> entry.task().equals(slot.taskName()))) {
        return true;
      }
    }
    return false;
  }

  // ---- commands sent straight to a worker ----

  /**
   * Stops a job whose withdrawal a peer has told of. Without the state service too: what is there
   * of it is over for good, whoever holds authority.
   */
  public void haltTasksOf(Job job) {
    Membership.Status status = membership.status();
    if (status == Membership.Status.OUTSIDE) {
      return;
    }
    for (Machine machine : job.machines()) {
      if (ownedMachines.contains(machine.name())) {
        directCommands.sendPlannedCommands(machine, status == Membership.Status.MEMBER);
      }
    }
  }

  /**
   * Whether a worker takes orders from this node alone, and nothing of a job that this node knows
   * to be withdrawn can begin there any more. It has shown this view's epoch, so it drops what any
   * earlier owner says; no run of the job is under way to it, and what it has of the job is past
   * its fetch. Once so, it stays so: a later view's owner has read of the withdrawal. Where a lease
   * that nobody renews would outlast a cancellation, nothing of the job may be left at all.
   */
  public boolean canConfirmWithdrawal(Machine machine, String job) {
    View view = tables.view();
    Report report = machine.report();
    if (view == null || !node.equals(machine.owner(view)) || view.epoch() != viewEpoch) {
      return false;
    }
    if (report == null || !machine.epochAcknowledged() || !machine.provedAlive()) {
      return false;
    }
    WorkerCommands commands = links.commandsTo(machine);
    // One that was sent and shown is asked for too: it may be under way once more.
    Verdict verdict = commands.verifyNoRunPending(job);
    if (verdict.isAllowed()) {
      verdict = verifyReportedTasks(commands, report, job);
    }
    links.recordEvent(
        CommandEvent.Kind.CONFIRMATION, machine, report, viewEpoch, job + ": " + verdict);
    return verdict.isAllowed();
  }

  private Verdict verifyReportedTasks(WorkerCommands commands, Report report, String job) {
    for (Report.Entry entry : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(entry.task(), entry.attempt());
      boolean exited = entry.phase() == Report.Phase.EXITED;
      boolean mayStartAgain = exited && commands.gangWaitRestarts(attempt) > 0;
      boolean mayOutlastCancellation = !tuning.leaseEndsInTime() && !exited;
      if (entry.job().equals(job)
          && (entry.phase() == Report.Phase.FETCHING || mayStartAgain || mayOutlastCancellation)) {
        return Verdict.ANSWER_IN_FLIGHT;
      }
    }
    return Verdict.PROVEN;
  }
}
