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

/** The links to the workers of this node's machines, and the record of what went over them. */
public final class WorkerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerLinks.class);
  private static final int MAX_KEPT_EVENTS = 2048;

  /** For events that concern no single attempt. */
  private static final TaskAttempt NO_ATTEMPT = new TaskAttempt("", 0);

  private final Timers timers;
  private final Map<Machine, WorkerLink> links = new HashMap<>();
  private final RecentEvents events = new RecentEvents(MAX_KEPT_EVENTS);
  private final SafetyMonitor monitor = new SafetyMonitor(events);
  private long workerRestarts;
  private long unansweredCommands;

  /** No links at first. */
  public WorkerLinks(Timers timers) {
    this.timers = timers;
  }

  /** Checks what is about to be sent or recorded. */
  public SafetyMonitor monitor() {
    return monitor;
  }

  /** Workers that were found to have begun anew under the same name. */
  public long workerRestarts() {
    return workerRestarts;
  }

  /** Commands sent straight to workers that were given up without an answer. */
  public long unansweredCommands() {
    return unansweredCommands;
  }

  /** Machines to which a run that was sent straight may still arrive. */
  public long machinesWithOutstandingRuns() {
    return links.values().stream().filter(link -> !link.commands.hasNoOutstandingRuns()).count();
  }

  /** The link to a machine's worker, a new one if there is none. */
  WorkerLink linkTo(Machine machine) {
    return links.computeIfAbsent(machine, k -> new WorkerLink());
  }

  /** What was sent to a machine's worker. */
  WorkerCommands commandsTo(Machine machine) {
    return linkTo(machine).commands;
  }

  /** The same if anything ever was, else null. */
  WorkerCommands commandsIfKnown(Machine machine) {
    WorkerLink link = links.get(machine);
    return link == null ? null : link.commands;
  }

  boolean isCurrent(Machine machine, WorkerLink link) {
    return links.get(machine) == link;
  }

  /** The machine is somebody else's: what was sent counts under an epoch that is over. */
  void removeLink(Machine machine) {
    links.remove(machine);
  }

  /** Somebody else may have commanded the worker, or its lease has ended. */
  void forgetRuns(Machine machine) {
    WorkerLink link = links.get(machine);
    if (link != null) {
      link.commands.forgetRuns();
    }
  }

  /**
   * The worker has begun anew under the same name: nothing it shows counts until it has shown a
   * higher epoch than any that the one before may have been sent.
   */
  void workerRestarted(Machine machine, Report report, long epoch) {
    LOG.info(
        "{} has begun anew: tenure {}, tick {}, epoch {}",
        machine.name(),
        report.tenure(),
        report.tick(),
        epoch);
    workerRestarts++;
    machine.onWorkerRestart(epoch);
    commandsTo(machine).workerRestarted();
    recordEvent(CommandEvent.Kind.WORKER_RESTARTED, machine, NO_ATTEMPT, report, epoch, "");
  }

  /** A command was given up without an answer. */
  void commandUnanswered(Machine machine, Report report, long epoch) {
    unansweredCommands++;
    recordEvent(CommandEvent.Kind.DIRECT_UNANSWERED, machine, NO_ATTEMPT, report, epoch, "");
  }

  /** Records a step with the report on which it rests, which may be null. */
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

  /** The same of a whole machine. */
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
