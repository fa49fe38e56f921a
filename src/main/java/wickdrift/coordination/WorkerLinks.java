package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Machine;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.coordination.commands.RecentEvents;
import wickdrift.coordination.commands.SafetyMonitor;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.Verdict;
import wickdrift.coordination.commands.WakeUps;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.Report;
import wickdrift.protocol.WorkerToken;
import wickdrift.transport.Timers;

/**
 * Keeps the link to the worker of each of this node's machines, and the record of the events on
 * these links.
 */
public final class WorkerLinks {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerLinks.class);
  private static final int MAX_KEPT_EVENTS = 2048;
  private static final long MAX_START_DELAY_MS = 3_600_000;

  /** Stands for the attempt in events that concern no single attempt. */
  private static final TaskAttempt NO_ATTEMPT = new TaskAttempt("", 0);

  private final Timers timers;
  private final long leaseMs;
  private final LongSupplier appliedRevision;
  private final Map<Machine, WorkerLink> links = new HashMap<>();
  private final RecentEvents events = new RecentEvents(MAX_KEPT_EVENTS);
  private final SafetyMonitor monitor = new SafetyMonitor(events);
  private long workerRestarts;
  private long unansweredCommands;
  private long answersByOtherMachines;
  private long wakeUpCount;
  private final Histogram startDelays = new Histogram(MAX_START_DELAY_MS, 2);
  private long unexplainedStarts;

  /**
   * Creates an instance without links.
   *
   * @param leaseMs the duration of a worker's lease
   * @param appliedRevision the revision of the stored state that this node has read
   */
  public WorkerLinks(Timers timers, long leaseMs, LongSupplier appliedRevision) {
    this.timers = timers;
    this.appliedRevision = appliedRevision;
    this.leaseMs = leaseMs;
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

  /**
   * Returns a percentile of the time from a placement, as this node learnt of it, to the first
   * report of the attempt, in milliseconds.
   */
  public double startDelayMs(double percentile) {
    return startDelays.getValueAtPercentile(percentile);
  }

  /** Records that a report shows an attempt for the first time since it was placed. */
  void recordStart(long delayMs) {
    startDelays.recordValue(Math.min(delayMs, MAX_START_DELAY_MS));
  }

  /** Returns how many starts were reported that no command in force explains. */
  public long unexplainedStarts() {
    return unexplainedStarts;
  }

  /** Returns how often a worker was woken up. */
  public long wakeUps() {
    return wakeUpCount;
  }

  /** Returns the link to a machine's worker, which is created if there is none. */
  WorkerLink linkTo(Machine machine) {
    return links.computeIfAbsent(machine, k -> new WorkerLink(leaseMs));
  }

  /** Returns the commands that were sent to a machine's worker, which are empty at first. */
  WorkerCommands commandsTo(Machine machine) {
    return linkTo(machine).commands;
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

  /** Records that a report is answered, and returns the token for the answer. */
  WorkerToken tokenSent(Machine machine, Report report, long epoch) {
    WakeUps wakeUps = linkTo(machine).wakeUps;
    WorkerToken token = wakeUps.tokenFor(epoch);
    wakeUps.tokenSent(token, report.token(), timers.nowMs());
    return token;
  }

  /** Records the end, or the clear, of an attempt. */
  void recordEnd(Machine machine, CommandEvent event) {
    record(event);
    linkTo(machine).endedAttempts.ended(event);
  }

  /** Records whether the cancellation of a job can be confirmed for a machine. */
  void recordConfirmation(Machine machine, Report report, long epoch, String job, Verdict verdict) {
    CommandEvent event =
        newEvent(
            CommandEvent.Kind.CONFIRMATION,
            machine,
            NO_ATTEMPT,
            report,
            epoch,
            job + ": " + verdict);
    record(event);
    if (verdict.isAllowed()) {
      linkTo(machine).endedAttempts.confirmed(job, event);
    }
  }

  /** Checks whether a reported attempt that has not exited was recognized as over before. */
  void checkStarted(Machine machine, Report report, Report.Entry entry, long epoch) {
    WorkerLink link = linkTo(machine);
    TaskAttempt attempt = new TaskAttempt(entry.task(), entry.attempt());
    boolean wasReported = link.commands.wasReported(attempt);
    CommandEvent evidence =
        link.endedAttempts.findEvidenceAgainst(attempt, entry.job(), wasReported);
    if (evidence != null) {
      unexplainedStarts++;
      recordEvent(
          CommandEvent.Kind.UNEXPLAINED_START, machine, attempt, report, epoch, evidence.reason());
      LOG.warn(
          "start that no command explains: machine={}, task={}, attempt={}, session={}, tick={},"
              + " evidence={}, last events={}",
          machine.name(),
          entry.task(),
          entry.attempt(),
          report.tenure(),
          report.tick(),
          evidence,
          events.eventsOf(machine.name()));
    }
  }

  /** Records that a worker was woken up. */
  void wokeUp(Machine machine, WorkerToken token) {
    wakeUpCount++;
    recordEvent(
        CommandEvent.Kind.WAKE_UP,
        machine,
        machine.report(),
        token.epoch(),
        "wake-up " + token.wakeUps());
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
    WorkerLink link = linkTo(machine);
    return new CommandEvent(
        timers.nowMs(),
        kind,
        machine.name(),
        link.commands.incarnation(),
        attempt,
        link.wakeUps.tokenFor(epoch),
        session,
        tick,
        appliedRevision.getAsLong(),
        reason);
  }
}
