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
import wickdrift.bookkeeping.level.Gate;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.Verdict;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Command;
import wickdrift.protocol.Document;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.Report;
import wickdrift.protocol.Unsigned;
import wickdrift.protocol.WorkerToken;
import wickdrift.transport.Caller;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Answers the reports of the workers in this node's partition, and decides whether the withdrawal
 * of a job can be confirmed for a machine. {@link CommandPlanner} decides which commands a worker
 * receives.
 */
public final class ReportHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ReportHandler.class);

  /** By then a run that was sent in an answer has arrived, or commands do not reach the worker. */
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
  private final ZoneHealth zones;
  private final MalformedMessages malformed;
  private final WorkerLinks links;
  private final MachineTypes types;
  private final CommandPlanner planner;
  private final DirectCommands directCommands;
  private final MachineHealthMonitor healthMonitor;
  private final HeldAnswers heldAnswers;

  /** Machines whose workers were directed to their owner in this view. */
  private final Set<String> redirectedMachines = new HashSet<>();

  /** Machines of this node's partition that have not reported to this node in this view. */
  private final Set<String> unreportedMachines = new HashSet<>();

  private View currentView;
  private View previousView;
  private String lastLeader;
  private long viewEpoch;
  private long viewStartedMs;

  private final long leaseMs;
  private Set<String> ownedMachines = new HashSet<>();

  /** Creates a handler that answers no report before the tables are loaded. */
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
      ZoneHealth zones,
      WorkerLinks links,
      MachineTypes types,
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
    this.types = types;
    this.leaseMs = leaseMs;
    this.node = node;
    this.malformed = malformed;
    planner = new CommandPlanner(timers, tables, pipeline, membership, links);
    directCommands =
        new DirectCommands(timers, tables, membership, links, planner, caller, leaseMs, malformed);
    heldAnswers = new HeldAnswers(timers, this::sendHeldAnswer);
    healthMonitor =
        new MachineHealthMonitor(
            timers, tables, membership, pipeline, tuning, pauseDetector, zones, links, node);
  }

  /** Starts the detection of machines that stop reporting. */
  public void start() {
    healthMonitor.start();
  }

  // ---- a new view ----

  /** Called after the tables changed, with the machines that changed. */
  public void tablesChanged(List<Machine> changed) {
    View view = tables.view();
    if (view != null && view.epoch() != viewEpoch) {
      viewChanged(view);
    }
    if (view != null && membership.status() == Membership.Status.MEMBER) {
      for (Machine machine : changed) {
        if (ownedMachines.contains(machine.name()) && machine.pollChanged()) {
          sendChanges(machine);
        }
      }
    }
  }

  /** Sends what follows from a change of the machine's assigned attempts. */
  private void sendChanges(Machine machine) {
    HeldAnswers.HeldAnswer held = heldAnswers.find(machine);
    if (held != null && mayStartWith(held)) {
      List<Command> orders = planner.planLaterAnswer(machine, true);
      if (!orders.isEmpty()) {
        heldAnswers.take(machine);
        sendAnswer(held, orders);
      }
    }
    // The worker may be gone and the answer lost, so halts are sent directly too.
    directCommands.sendPlannedCommands(machine, true);
  }

  private void viewChanged(View view) {
    // If a view was skipped, for example during a process pause, another node may have owned any of
    // these machines in between and may have answered its worker.
    boolean skippedViews = view.epoch() > viewEpoch + 1;
    previousView = currentView;
    currentView = view;
    viewEpoch = view.epoch();
    redirectedMachines.clear();
    viewStartedMs = timers.nowMs();
    healthMonitor.onEpochStarted(viewStartedMs);
    LOG.info(
        "view changed: epoch={}, memberIncarnations={}, leader={}, revision={}",
        view.epoch(),
        view.members(),
        view.leader(),
        Unsigned.toText(tables.appliedRev()));
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
          // The previous owner may go on answering the worker for as long as the grace period
          // allows.
          machine.resetReports(viewStartedMs + tuning.leaseGraceMs(), viewStartedMs);
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
    heldAnswers.sendAll();
    pipeline.onNewView();
    // After a takeover nothing is placed on the machines taken over until there was time for
    // reports to arrive, or all known machines have reported. A machine takes no task before it has
    // reported, so a node that already had a partition goes on placing on it. A node that had no
    // partition waits, and so does a new leader with the leader's placements.
    if (ownedNothing) {
      pipeline.holdPlacementsUntil(viewStartedMs + tuning.takeoverSettleMs());
    }
    if (becameLeader) {
      pipeline.holdLeaderPlacementsUntil(viewStartedMs + tuning.takeoverSettleMs());
    }
  }

  /**
   * Whether this node owned a machine until this change of view. A machine whose zone was unknown
   * at the last change may have been assigned to this node by its name alone, while the controllers
   * of its zone have answered it since. Treating its silence towards this node as real silence
   * would end a lease that they renew.
   */
  private boolean ownedInPreviousView(Machine machine) {
    return ownedMachines.contains(machine.name())
        && (previousView == null
            || node.equals(previousView.owner(machine.name(), machine.zone())));
  }

  // ---- reports ----

  /** Handles a report that a worker sent to this node. */
  public void handleReport(Exchange exchange) {
    handleReport(exchange, true);
  }

  /** Handles a report that a peer passed on; it is never passed on again. */
  public void handleRelayedReport(Exchange exchange) {
    handleReport(exchange, false);
  }

  private void handleReport(Exchange exchange, boolean mayRelay) {
    if (!membership.caughtUp()) {
      // After a process pause, an answer under an epoch that was superseded meanwhile would keep
      // the worker at this node while its lease runs out. If the state service cannot be reached,
      // the grace period decides.
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
      malformed.record(MalformedMessages.Sender.WORKER, "report", cause);
      exchange.reply(400, Map.of("error", cause.getMessage()));
      return;
    }
    LOG.debug(
        "report received: machine={}, tenure={}, tick={}, epoch={}, relayed={}",
        report.machine(),
        report.tenure(),
        report.tick(),
        report.epoch(),
        !mayRelay);
    zones.reportReceived(report.zone(), timers.nowMs());
    View view = tables.view();
    if (view == null || stateService.phase() != StateServiceClient.Phase.FOLLOWING) {
      exchange.reply(503, null, 1);
      return;
    }
    if (report.epoch() > view.epoch() || membership.isViewOutdated()) {
      // Another node has taken over: catch up with the state, and let the worker find its owner.
      stateService.barrier(StateServiceClient.BACKGROUND_BARRIER_TIMEOUT_MS, ok -> {});
      exchange.reply(421, Map.of());
      return;
    }
    Membership.Status status = membership.status();
    String owner = view.owner(report.machine(), report.zone());
    if (!owner.equals(node)) {
      // A worker that knows this epoch has been answered by its owner and has left it, so it cannot
      // reach the owner. The owner may work otherwise, so the report is passed on to it.
      boolean hasLeftOwner =
          report.epoch() == view.epoch()
              || redirectedMachines.contains(report.machine())
              // The same owner may have answered it under the previous view.
              || previousView != null
                  && report.epoch() == previousView.epoch()
                  && owner.equals(previousView.owner(report.machine(), report.zone()));
      if (hasLeftOwner && mayRelay && reportRelay.forward(exchange, report, owner)) {
        return;
      }
      redirectedMachines.add(report.machine());
      // A spare node knows the owner as well as a member does. A node that is cut off from the
      // state service may not.
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
      // Either the report is a late copy: its worker has received an answer long ago or has given
      // up, so the copy proves nothing and must not get an answer that would renew a lease. Or the
      // machine came back before its absence was noticed, and its worker counts from one again:
      // only the answer to a probe can tell.
      directCommands.probe(machine, report.tenure());
      exchange.reply(503, null, 1);
      return;
    }
    Report lastReport = machine.report();
    boolean isOutdated =
        lastReport != null && machine.provedAlive() && report.notNewerThan(lastReport);
    HeldAnswers.HeldAnswer superseded = heldAnswers.take(machine);
    if (superseded != null) {
      // A worker that sends another report does not wait for this answer any more.
      superseded.exchange().reply(503, null, 1);
    }
    links.linkTo(machine).wakeUps.tokenReported(report.token(), view.epoch());
    HeldAnswers.HeldAnswer answer = new HeldAnswers.HeldAnswer(machine, report, exchange);
    if (isOutdated) {
      // A newer report is known from the answer to a direct command. This answer renews the lease
      // too, if the worker still waits for it.
      sendAnswer(answer, planner.planLaterAnswer(machine, status == Membership.Status.MEMBER));
      return;
    }
    long now = timers.nowMs();
    boolean provesAlive = machine.receiveReport(report, view.epoch(), now);
    machine.setEpochAcknowledged(provesAlive && report.epoch() == view.epoch());
    machine.updateCommandReachability(
        report, provesAlive, hasIgnoredRun(machine, report, now), leaseMs, now);
    if (unreportedMachines.remove(machine.name()) && unreportedMachines.isEmpty()) {
      pipeline.settleNow();
    }
    updateMachineRecord(machine, report, provesAlive);
    // A report that may be a copy proves nothing. It is answered, so that the worker's next
    // report shows this node's epoch.
    boolean hasAuthority = status == Membership.Status.MEMBER && provesAlive;
    List<Command> orders = planner.planAnswer(machine, report, hasAuthority);
    // The worker of a newly owned machine is probed, so that it can prove itself before its next
    // report.
    boolean notYetProvedAlive = !machine.provedAlive() && machine.phase() == Machine.Phase.UP;
    if (machine.unreachableForCommandsSinceMs() > 0 || notYetProvedAlive) {
      directCommands.probe(machine, report.tenure());
    }
    // Only clears may wait: nothing depends on how soon an ended attempt is forgotten.
    boolean mayWait = orders.stream().allMatch(Command.Clear.class::isInstance);
    if (mayRelay && mayWait && mayStartWith(answer) && hasRoom(machine, report)) {
      heldAnswers.hold(answer, HeldAnswers.holdMs(report));
    } else {
      sendAnswer(answer, orders);
    }
  }

  /** Whether a machine could take another task, or will once the ends it reports are durable. */
  private boolean hasRoom(Machine machine, Report report) {
    MachineType type = types.find(report.type());
    boolean hasEnded = report.tasks().stream().anyMatch(t -> t.phase() == Report.Phase.EXITED);
    return hasEnded
        || type != null
            && machine.cpus() < type.cpus() - FreeCapacity.EPS
            && machine.memoryGb() < type.memoryGb() - FreeCapacity.EPS;
  }

  /** Whether tasks may start with an answer: this node owns the machine, which takes tasks. */
  private boolean mayStartWith(HeldAnswers.HeldAnswer answer) {
    Machine machine = answer.machine();
    return membership.status() == Membership.Status.MEMBER
        && !membership.isLeaving()
        && tables.view().epoch() == viewEpoch
        && node.equals(machine.owner(tables.view()))
        && machine.report() != null
        && machine.provedAlive()
        && machine.epochAcknowledged()
        && answer.report().epoch() == viewEpoch
        && takesTasks(machine.phase());
  }

  /** Whether a machine takes tasks, or will as soon as its record shows that it is up. */
  private static boolean takesTasks(Machine.Phase phase) {
    return switch (phase) {
      case UNKNOWN, BOOTING, UP -> true;
      case LOST, DRAINING, GONE -> false;
    };
  }

  /** Sends an answer whose time is over, unless this node may not answer the report any more. */
  private void sendHeldAnswer(HeldAnswers.HeldAnswer answer) {
    if (!membership.caughtUp()) {
      stateService.barrier(CATCH_UP_TIMEOUT_MS, ok -> finishHeldAnswer(answer));
      return;
    }
    finishHeldAnswer(answer);
  }

  private void finishHeldAnswer(HeldAnswers.HeldAnswer answer) {
    View view = tables.view();
    boolean isFollowing = stateService.phase() == StateServiceClient.Phase.FOLLOWING;
    if (!isFollowing || membership.status() == Membership.Status.OUTSIDE) {
      answer.exchange().reply(503, null, 1);
      return;
    }
    String owner = answer.machine().owner(view);
    if (membership.isViewOutdated()) {
      answer.exchange().reply(421, Map.of());
    } else if (!owner.equals(node)) {
      answer.exchange().reply(421, Map.of("upstream", owner));
    } else {
      boolean mayStart = mayStartWith(answer);
      sendAnswer(answer, mayStart ? planner.planLaterAnswer(answer.machine(), true) : List.of());
    }
  }

  private void sendAnswer(HeldAnswers.HeldAnswer answer, List<Command> orders) {
    Machine machine = answer.machine();
    long epoch = tables.view().epoch();
    WorkerToken token = links.tokenSent(machine, answer.report(), epoch);
    machine.recordAnswer(timers.nowMs(), epoch);
    LOG.debug(
        "report answered: machine={}, tick={}, token={}, orders={}",
        machine.name(),
        answer.report().tick(),
        token,
        orders);
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", token.toWire(tables.isOpen(Gate.WAKE_UPS)));
    body.put(
        "orders",
        orders.stream().limit(DirectCommands.MAX_ORDERS_PER_MESSAGE).map(Command::toWire).toList());
    answer.exchange().reply(200, body);
  }

  /** Sends all answers that wait, because this node is about to leave. */
  public void sendHeldAnswers() {
    heldAnswers.sendAll();
  }

  /** Updates the machine's durable record to what the report says. */
  private void updateMachineRecord(Machine machine, Report report, boolean provesAlive) {
    ownedMachines.add(machine.name());
    if (!provesAlive || machine.unreachableForCommandsSinceMs() > 0) {
      // The report may be a late copy from a machine that is gone, or commands do not reach the
      // machine.
      return;
    }
    Machine.Phase wantedPhase =
        report.reclaimNoticeS() != null ? Machine.Phase.DRAINING : Machine.Phase.UP;
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

  /**
   * Whether a report lacks a task that its worker was told to run more than {@link
   * #RUN_DELIVERY_TIMEOUT_MS} ago.
   */
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

  // ---- direct commands and withdrawals ----

  /**
   * Halts the tasks of a job whose withdrawal a peer has announced. This works without the state
   * service too: the tasks of a withdrawn job are over for good, whichever node holds authority.
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
   * Whether the withdrawal of a job can be confirmed for a machine: its worker takes commands from
   * this node alone, and no task of the job can start there any more.
   *
   * <p>The worker has shown this view's epoch, so it refuses commands of earlier owners. No run of
   * the job is on the way to it, and every task of the job that it has is past its image fetch.
   * This stays true: the owner in a later view has read the withdrawal from the state service. If a
   * lease that nobody renews could outlast the time allowed for a cancellation, no task of the job
   * may be left at all.
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
    Verdict verdict = commands.verifyNoRunPending(job);
    if (verdict.isAllowed()) {
      verdict = verifyReportedTasks(commands, report, job);
    }
    links.recordConfirmation(machine, report, viewEpoch, job, verdict);
    return verdict.isAllowed();
  }

  private Verdict verifyReportedTasks(WorkerCommands commands, Report report, String job) {
    for (Report.Entry entry : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(entry.task(), entry.attempt());
      boolean exited = entry.phase() == Report.Phase.EXITED;
      boolean mayStartAgain = exited && commands.gangWaitRestarts(attempt) > 0;
      boolean mayOutlastCancellation = !tuning.leaseExpiresBeforeCancelDeadline() && !exited;
      if (entry.job().equals(job)
          && (entry.phase() == Report.Phase.FETCHING || mayStartAgain || mayOutlastCancellation)) {
        return Verdict.ANSWER_IN_FLIGHT;
      }
    }
    return Verdict.PROVEN;
  }
}
