package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Machine;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.coordination.commands.RecentEvents;
import wickdrift.coordination.commands.SafetyMonitor;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.Report;
import wickdrift.transport.Timers;

/**
 * Keeps the link to the worker of each of this node's machines, and the record of the events on
 * these links.
 */
public final class WorkerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerLinks.class);
  private static final int MAX_KEPT_EVENTS = 2048;

  /** Stands for the attempt in events that concern no single attempt. */
  private static final TaskAttempt NO_ATTEMPT = new TaskAttempt("", 0);

  private final Timers timers;
  private final Map<Machine, WorkerLink> links = new HashMap<>();
  private final RecentEvents events = new RecentEvents(MAX_KEPT_EVENTS);
  private final SafetyMonitor monitor = new SafetyMonitor(events);
  private long workerRestarts;
  private long unansweredCommands;
  private long answersByOtherMachines;

  /** Creates an instance without links. */
  public WorkerLinks(Timers timers) {
    this.timers = timers;
  }

  /**
   * Returns the monitor that checks commands before they are sent and ends of attempts before they
   * are recorded.
   */
  public SafetyMonitor monitor() {
    return monitor;
  }

  /** Returns how many restarts of workers under the same name were detected. */
  public long workerRestarts() {
    return workerRestarts;
  }

  /** Returns the number of direct commands that were given up without an answer. */
  public long unansweredCommands() {
    return unansweredCommands;
  }

  /** Returns the number of answers to direct commands that came from another machine. */
  public long answersByOtherMachines() {
    return answersByOtherMachines;
  }

  /** Returns the number of machines at which a direct run may still arrive. */
  public long machinesWithOutstandingRuns() {
    return links.values().stream().filter(link -> !link.commands.hasNoOutstandingRuns()).count();
  }

  /** Returns the link to a machine's worker, which is created if there is none. */
  WorkerLink linkTo(Machine machine) {
    return links.computeIfAbsent(machine, k -> new WorkerLink());
  }

  /** Returns the commands that were sent to a machine's worker, which are empty at first. */
  WorkerCommands commandsTo(Machine machine) {
    return linkTo(machine).commands;
  }

  /**
   * Returns the commands that were sent to a machine's worker, or null if there is no link to it.
   */
  WorkerCommands commandsIfKnown(Machine machine) {
    WorkerLink link = links.get(machine);
    return link == null ? null : link.commands;
  }

  boolean isCurrent(Machine machine, WorkerLink link) {
    return links.get(machine) == link;
  }

  /**
   * Removes the link to a machine that another node owns now: what was sent counts under a past
   * epoch only.
   */
  void removeLink(Machine machine) {
    links.remove(machine);
  }

  /**
   * Forgets the runs sent to a worker, because another node may have commanded it or its lease has
   * ended.
   */
  void forgetRuns(Machine machine) {
    WorkerLink link = links.get(machine);
    if (link != null) {
      link.commands.forgetRuns();
    }
  }

  /**
   * Handles the restart of a worker under the same name. Its reports prove nothing until they show
   * a higher epoch than any that was sent to its previous incarnation.
   */
  void workerRestarted(Machine machine, Report report, long epoch) {
    LOG.info(
        "worker restarted: machine={}, tenure={}, tick={}, epoch={}",
        machine.name(),
        report.tenure(),
        report.tick(),
        epoch);
    workerRestarts++;
    machine.onWorkerRestart(epoch);
    commandsTo(machine).workerRestarted();
    recordEvent(CommandEvent.Kind.WORKER_RESTARTED, machine, NO_ATTEMPT, report, epoch, "");
  }

  /** Records that a direct command was given up without an answer. */
  void commandUnanswered(Machine machine, Report report, long epoch) {
    unansweredCommands++;
    recordEvent(CommandEvent.Kind.DIRECT_UNANSWERED, machine, NO_ATTEMPT, report, epoch, "");
  }

  /** Records that another machine than the one that was meant has answered a direct command. */
  void commandAnsweredByOtherMachine(Machine machine, Report answer, long epoch) {
    answersByOtherMachines++;
    LOG.warn(
        "command answered by another machine: machine={}, answeredBy={}, address={}, epoch={}",
        machine.name(),
        answer.machine(),
        answer.address(),
        epoch);
  }

  /** Records an event together with the report on which it is based, which may be null. */
  void recordEvent(
      CommandEvent.Kind kind,
      Machine machine,
      TaskAttempt attempt,
      Report report,
      long epoch,
      String reason) {
    record(newEvent(kind, machine, attempt, report, epoch, reason));
  }

  void record(CommandEvent event) {
    events.add(event);
  }

  /** Records an event that concerns a whole machine. */
  void recordEvent(
      CommandEvent.Kind kind, Machine machine, Report report, long epoch, String reason) {
    recordEvent(kind, machine, NO_ATTEMPT, report, epoch, reason);
  }

  CommandEvent newEvent(
      CommandEvent.Kind kind,
      Machine machine,
      TaskAttempt attempt,
      Report report,
      long epoch,
      String reason) {
    long session = report == null ? 0 : report.tenure();
    long tick = report == null ? 0 : report.tick();
    return new CommandEvent(
        timers.nowMs(), kind, machine.name(), attempt, epoch, session, tick, reason);
  }
}
