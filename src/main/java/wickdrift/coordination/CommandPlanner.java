package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.coordination.commands.SafetyMonitor;
import wickdrift.coordination.commands.SafetyMonitor.Invariant;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.Verdict;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.Command;
import wickdrift.protocol.Report;
import wickdrift.transport.Timers;

/**
 * Decides which commands a worker receives: the difference between what the tables assign to its
 * machine and what its report shows. Because every report leads to a new comparison, any command
 * may be lost or repeated. Attempts that the report proves to be over are passed to the transaction
 * pipeline.
 */
final class CommandPlanner {
  private static final Logger LOG = LoggerFactory.getLogger(CommandPlanner.class);

  /**
   * Limit on how often one attempt of a gang member is told to wait again for the other members.
   */
  private static final int MAX_GANG_WAIT_RESTARTS = 12;

  /**
   * What may be concluded from a report, and how the commands travel.
   *
   * @param hasAuthority whether this node certainly holds authority; if not, nothing new is started
   *     and no conclusion is drawn from the report
   * @param unsolicited whether the worker sent the report on its own initiative, so that all
   *     answers to earlier reports have arrived or never will; only then does the absence of an
   *     attempt prove anything
   * @param answersReport whether the commands go into the answer to a report; only there may a run
   *     be sent
   */
  private record Scope(boolean hasAuthority, boolean unsolicited, boolean answersReport) {}

  /**
   * What is sent straight to a worker.
   *
   * @param orders the commands
   * @param awaitsReport whether an attempt is to start, so that the worker should report
   */
  record DirectPlan(List<Command.Direct> orders, boolean awaitsReport) {}

  private final Timers timers;
  private final Tables tables;
  private final TransactionPipeline pipeline;
  private final Membership membership;
  private final WorkerLinks links;
  private final SafetyMonitor monitor;

  CommandPlanner(
      Timers timers,
      Tables tables,
      TransactionPipeline pipeline,
      Membership membership,
      WorkerLinks links) {
    this.timers = timers;
    this.tables = tables;
    this.pipeline = pipeline;
    this.membership = membership;
    this.links = links;
    this.monitor = links.monitor();
  }

  /** The state of planning the commands for one report. */
  private final class Pass {
    final Machine machine;
    final Report report;
    final Scope scope;
    final WorkerCommands commands;
    final Map<String, Report.Entry> reportedTasks = new HashMap<>();
    final List<Command> answerOrders = new ArrayList<>();
    final List<Command.Direct> directOrders = new ArrayList<>();
    final List<Report.Entry> clearable = new ArrayList<>();

    /** The tasks of which another attempt must be cleared before the assigned one can start. */
    final Set<String> tasksInTheWay = new HashSet<>();

    boolean awaitsReport;

    Pass(Machine machine, Report report, Scope scope) {
      this.machine = machine;
      this.report = report;
      this.scope = scope;
      this.commands = links.commandsTo(machine);
    }

    void add(Command.Direct order) {
      answerOrders.add(order);
      directOrders.add(order);
    }

    void discardOrders() {
      clearable.clear();
      answerOrders.clear();
      directOrders.clear();
      awaitsReport = false;
    }

    CommandEvent newEvent(CommandEvent.Kind kind, TaskAttempt attempt, String reason) {
      return links.newEvent(kind, machine, attempt, report, tables.view().epoch(), reason);
    }

    void recordEvent(CommandEvent.Kind kind, TaskAttempt attempt, String reason) {
      links.recordEvent(kind, machine, attempt, report, tables.view().epoch(), reason);
    }
  }

  /** Returns the commands for the answer to an unsolicited report that is the newest one. */
  List<Command> planAnswer(Machine machine, Report report, boolean hasAuthority) {
    return plan(machine, report, new Scope(hasAuthority, true, true)).answerOrders;
  }

  /**
   * Returns the commands for an answer that is sent when a newer report of the worker is known or
   * some time has passed. They follow from the newest report.
   */
  List<Command> planLaterAnswer(Machine machine, boolean hasAuthority) {
    return plan(machine, machine.report(), new Scope(hasAuthority, false, true)).answerOrders;
  }

  /** Returns what is to be sent straight to the worker. */
  DirectPlan planDirect(Machine machine, boolean hasAuthority) {
    Pass pass = plan(machine, machine.report(), new Scope(hasAuthority, false, false));
    return new DirectPlan(pass.directOrders, pass.awaitsReport);
  }

  private Pass plan(Machine machine, Report report, Scope scope) {
    Pass pass = new Pass(machine, report, scope);
    for (Report.Entry entry : report.tasks()) {
      pass.reportedTasks.put(entry.task(), entry);
      planReported(pass, entry);
    }
    if (scope.hasAuthority) {
      planAssigned(pass);
    }
    planClears(pass);
    return pass;
  }

  // ---- what the report shows ----

  private void planReported(Pass pass, Report.Entry entry) {
    Job job = tables.job(entry.job());
    TaskState state =
        job == null || entry.index() >= job.taskCount() ? null : job.task(entry.index());
    boolean isAssigned =
        state != null
            && state.isLive()
            && state.machine() == pass.machine
            && state.attempt() == entry.attempt();
    boolean exited = entry.phase() == Report.Phase.EXITED;
    if (!exited) {
      links.checkStarted(pass.machine, pass.report, entry, tables.view().epoch());
    }
    if (!isAssigned) {
      planUnassigned(pass, entry);
    } else if (exited) {
      planExited(pass, job, state, entry);
    } else {
      if (entry.phase() != Report.Phase.FETCHING) {
        pass.machine.markImageReady(job.spec().image(), job.spec().imageGb(), timers.nowMs());
      }
      planHalt(pass, job, state, entry);
    }
  }

  /**
   * Handles a reported attempt that the tables do not assign to this machine: it is over, or was
   * never meant to run here.
   */
  private void planUnassigned(Pass pass, Report.Entry entry) {
    if (entry.phase() != Report.Phase.EXITED) {
      if (pass.scope.hasAuthority || tables.isWithdrawalAnnounced(entry.job())) {
        addHalt(pass, entry, 0, "not assigned");
      }
      return;
    }
    Verdict verdict = pass.commands.mayClear(pass.machine.epochAcknowledged());
    if (verdict.isAllowed()) {
      pass.clearable.add(entry);
    }
  }

  /**
   * Clears the ended attempts; directly only those in the way of another attempt of their task,
   * which starts sooner so.
   */
  private void planClears(Pass pass) {
    for (Report.Entry entry : pass.clearable) {
      if (pass.scope.answersReport || pass.tasksInTheWay.contains(entry.task())) {
        addClear(pass, entry);
      }
    }
  }

  private void planExited(Pass pass, Job job, TaskState state, Report.Entry entry) {
    boolean gaveUpGangWait = Report.EXIT_ALONE.equals(entry.exitReason());
    if (gaveUpGangWait && pass.scope.hasAuthority && mayRestartGangWait(pass, job, state, entry)) {
      if (pass.scope.unsolicited) {
        // The wait restarts with the same attempt on the same machine, so the other members keep
        // the images they are fetching.
        pass.commands.gangWaitRestarted(attemptOf(entry));
        pass.answerOrders.add(new Command.Clear(entry.job(), entry.index(), entry.attempt()));
        pass.answerOrders.add(new Command.Run(entry.job(), entry.index(), entry.attempt()));
      }
      return;
    }
    if (gaveUpGangWait && !pass.machine.epochAcknowledged()) {
      // This is the only kind of exit after which the same attempt may run again. A report that
      // shows an older epoch may be a copy from before such a restart, so it proves nothing.
      return;
    }
    // An attempt that was told to wait again may start once more until a unsolicited report
    // arrives: by then the answer with that command has arrived or never will.
    boolean isOver =
        pass.scope.unsolicited || pass.commands.gangWaitRestarts(attemptOf(entry)) == 0;
    if (pass.scope.hasAuthority && isOver) {
      handleExit(pass, job, entry);
    }
  }

  /**
   * Whether a gang member that gave up waiting for the others should wait again. An image may take
   * longer to fetch on one machine than a gang member waits on another. If the attempt ended for
   * that reason, the other members would abort their fetches and start over, again and again. The
   * number of restarts is limited.
   */
  private boolean mayRestartGangWait(Pass pass, Job job, TaskState state, Report.Entry entry) {
    return !job.withdrawnOrAnnounced()
        && state.stop() == TaskState.Stop.NONE
        && job.liveCount() == job.taskCount()
        && !pipeline.isExiting(job, entry.index(), entry.attempt())
        && pass.commands.gangWaitRestarts(attemptOf(entry)) < MAX_GANG_WAIT_RESTARTS;
  }

  private void planHalt(Pass pass, Job job, TaskState state, Report.Entry entry) {
    if (job.withdrawnOrAnnounced()) {
      addHalt(pass, entry, 0, "job cancelled");
    } else if (state.stop() == TaskState.Stop.KILL) {
      addHalt(pass, entry, 0, "stop requested");
    } else if (state.stop() == TaskState.Stop.SAVE && entry.phase() != Report.Phase.SAVING) {
      addHalt(pass, entry, job.spec().checkpointSaveS() + 1, "save and stop requested");
    }
  }

  private void handleExit(Pass pass, Job job, Report.Entry entry) {
    if (!pipeline.recordExit(
        job, entry.index(), entry.attempt(), pass.machine, entry.exitReason())) {
      // The worker reports the exit until it is cleared, but the failure counts only once.
      return;
    }
    links.recordEnd(
        pass.machine,
        pass.newEvent(
            CommandEvent.Kind.ATTEMPT_ENDED,
            attemptOf(entry),
            "reported as " + entry.exitReason()));
    noteExitReason(pass.machine, job, entry.task(), entry.exitReason());
  }

  private void noteExitReason(Machine machine, Job job, String task, String exitReason) {
    if (Report.EXIT_ERROR.equals(exitReason)) {
      // For a suspected job, the failures of all its tasks are logged together once per round.
      if (!job.isSuspected()) {
        LOG.info("task failed: task={}, machine={}", task, machine.name());
      }
    } else if (Report.EXIT_FULL.equals(exitReason)
        || Report.EXIT_UNKNOWN.equals(exitReason)
        || Report.EXIT_BUSY.equals(exitReason)) {
      LOG.info("task refused: machine={}, task={}, reason={}", machine.name(), task, exitReason);
      job.backOffAfterRefusal(timers.nowMs());
    }
  }

  // ---- what is assigned to the machine ----

  private void planAssigned(Pass pass) {
    if (pass.scope.unsolicited) {
      Set<String> assignedTasks = new HashSet<>();
      pass.machine.slots().forEach(slot -> assignedTasks.add(slot.taskName()));
      pass.commands.retainTasks(assignedTasks);
    }
    for (Machine.Slot slot : pass.machine.slots()) {
      Report.Entry entry = pass.reportedTasks.get(slot.taskName());
      TaskAttempt attempt = attemptOf(slot);
      if (entry != null && entry.attempt() == attempt.attempt()) {
        boolean firstReport =
            pass.commands.attemptReported(attempt, pass.report.tick(), pass.report.tenure());
        if (firstReport) {
          links.recordStart(slot.ageMs(timers.nowMs()));
        }
        if (firstReport && pass.scope.unsolicited) {
          // The worker was told to run this attempt and does, so commands reach it.
          pass.machine.markReachableForCommands();
        }
      } else if (entry != null) {
        // The worker still has another attempt of the task: this one starts when the other is gone.
        if (entry.phase() == Report.Phase.EXITED) {
          pass.tasksInTheWay.add(slot.taskName());
        }
        if (slot.mustStop() && !pass.commands.wasSent(attempt) && !isExiting(slot)) {
          planUnreported(pass, slot, attempt);
        }
      } else if (!isExiting(slot)) {
        // An attempt that is known to be over must not start again while its end is being written.
        if (planUnreported(pass, slot, attempt) == Verdict.WORKER_RESTARTED) {
          pass.discardOrders();
          links.workerRestarted(pass.machine, pass.report, tables.view().epoch());
          return;
        }
      }
    }
  }

  private boolean isExiting(Machine.Slot slot) {
    return pipeline.isExiting(slot.job(), slot.index(), slot.state().attempt());
  }

  /** Handles an attempt that is assigned to the machine but missing from its report. */
  private Verdict planUnreported(Pass pass, Machine.Slot slot, TaskAttempt attempt) {
    Machine machine = pass.machine;
    Report report = pass.report;
    Verdict verdict =
        pass.commands.mayEnd(
            attempt,
            new WorkerCommands.AbsenceEvidence(
                pass.scope.unsolicited,
                machine.epochAcknowledged(),
                report.tenure(),
                machine.unreachableForCommandsSinceMs() > 0,
                slot.mustStop()));
    if (verdict == Verdict.PROVEN) {
      handleLoss(pass, slot, attempt, verdict);
    } else if (mayRun(pass, slot, attempt)) {
      if (pass.scope.answersReport) {
        addRun(pass, slot, attempt);
      } else {
        pass.awaitsReport = true;
      }
    }
    return verdict;
  }

  /** Whether an attempt that its worker does not report is to be started now. */
  private static boolean mayRun(Pass pass, Machine.Slot slot, TaskAttempt attempt) {
    boolean isSentAlready =
        !pass.scope.unsolicited && pass.commands.wasSentAfter(attempt, pass.report.tick());
    return !pass.commands.wasReported(attempt)
        && !slot.mustStop()
        && pass.machine.phase() != Machine.Phase.GONE
        && !isSentAlready;
  }

  /**
   * Records the end of an attempt that is no longer on its machine and for which the worker
   * reported no exit.
   */
  private void handleLoss(Pass pass, Machine.Slot slot, TaskAttempt attempt, Verdict verdict) {
    CommandEvent event =
        pass.newEvent(CommandEvent.Kind.ATTEMPT_ENDED, attempt, "not reported: " + verdict);
    boolean isProven =
        verdict.isAllowed() && (pass.scope.unsolicited || !pass.commands.wasSent(attempt));
    if (!monitor.check(Invariant.NO_END_WITHOUT_PROOF, isProven, event)) {
      return;
    }
    if (pipeline.recordExit(slot.job(), slot.index(), attempt.attempt(), pass.machine, null)) {
      links.recordEnd(pass.machine, event);
      if (pass.commands.wasReported(attempt)) {
        LOG.info(
            "task lost: machine={}, task={}, tenure={}",
            pass.machine.name(),
            attempt.task(),
            pass.report.tenure());
      }
    }
  }

  // ---- commands, checked against the invariants before they are sent ----

  private void addRun(Pass pass, Machine.Slot slot, TaskAttempt attempt) {
    CommandEvent event =
        pass.newEvent(CommandEvent.Kind.RUN_IN_ANSWER, attempt, "assigned, not reported");
    boolean isCancelled = slot.job().withdrawnOrAnnounced();
    boolean isAssigned = slot.state().isLive() && slot.state().machine() == pass.machine;
    boolean holdsLease = membership.status() == Membership.Status.MEMBER;
    if (!monitor.check(Invariant.NO_START_OF_A_CANCELLED_JOB, !isCancelled, event)
        || !monitor.check(
            Invariant.NO_START_OF_AN_ENDED_ATTEMPT, isAssigned && !isExiting(slot), event)
        || !monitor.check(Invariant.NO_START_WITHOUT_A_LEASE, holdsLease, event)) {
      return;
    }
    Report report = pass.report;
    pass.commands.runSent(attempt, report.tick(), report.tenure(), timers.nowMs());
    pass.answerOrders.add(new Command.Run(slot.job().id(), slot.index(), attempt.attempt()));
    links.record(event);
  }

  private void addHalt(Pass pass, Report.Entry entry, double graceS, String reason) {
    pass.add(new Command.Halt(entry.job(), entry.index(), entry.attempt(), graceS));
    pass.recordEvent(CommandEvent.Kind.HALT, attemptOf(entry), reason);
  }

  private void addClear(Pass pass, Report.Entry entry) {
    TaskAttempt attempt = attemptOf(entry);
    CommandEvent event = pass.newEvent(CommandEvent.Kind.CLEAR, attempt, "its end is durable");
    boolean nothingArrives = !pass.commands.isRunInFlight(attempt);
    if (monitor.check(Invariant.NO_CLEAR_WHILE_A_RUN_MAY_ARRIVE, nothingArrives, event)) {
      pass.add(new Command.Clear(entry.job(), entry.index(), entry.attempt()));
      links.recordEnd(pass.machine, event);
    }
  }

  private static TaskAttempt attemptOf(Report.Entry entry) {
    return new TaskAttempt(entry.task(), entry.attempt());
  }

  private static TaskAttempt attemptOf(Machine.Slot slot) {
    return new TaskAttempt(slot.taskName(), slot.state().attempt());
  }
}
