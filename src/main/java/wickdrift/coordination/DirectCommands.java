package wickdrift.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Command;
import wickdrift.protocol.Document;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Report;
import wickdrift.transport.Caller;
import wickdrift.transport.Timers;

/**
 * Sends commands to a worker immediately, instead of with the answer to its next report. At most
 * one command per worker awaits its answer; a command without an answer may still arrive at any
 * later time.
 */
final class DirectCommands {
  /**
   * Maximum number of orders in one message, whether a direct command or the answer to a report.
   */
  static final int MAX_ORDERS_PER_MESSAGE = 400;

  /** How long the answer to a direct command is awaited. */
  static final long ANSWER_TIMEOUT_MS = 3000;

  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;

  /** Maximum number of probes sent to one worker within the length of a lease. */
  private static final int MAX_PROBES_PER_LEASE = 8;

  private final Timers timers;
  private final Tables tables;
  private final Membership membership;
  private final WorkerLinks links;
  private final CommandPlanner planner;
  private final Caller caller;
  private final long leaseMs;
  private final MalformedMessages malformed;

  DirectCommands(
      Timers timers,
      Tables tables,
      Membership membership,
      WorkerLinks links,
      CommandPlanner planner,
      Caller caller,
      long leaseMs,
      MalformedMessages malformed) {
    this.timers = timers;
    this.tables = tables;
    this.membership = membership;
    this.links = links;
    this.planner = planner;
    this.caller = caller;
    this.leaseMs = leaseMs;
    this.malformed = malformed;
  }

  /**
   * Sends the commands that follow from the machine's last report immediately.
   *
   * @param hasAuthority as for {@link CommandPlanner.Scope}
   */
  void sendPlannedCommands(Machine machine, boolean hasAuthority) {
    Report report = machine.report();
    WorkerLink link = links.linkTo(machine);
    if (report == null
        || !machine.epochAcknowledged()
        || link.inFlight
        || link.isAddressDisproved(report)
        || machine.phase() == Machine.Phase.LOST) {
      return;
    }
    List<Command> orders = new ArrayList<>();
    List<TaskAttempt> runs = new ArrayList<>();
    for (Command order :
        planner.plan(machine, report, new CommandPlanner.Scope(hasAuthority, false))) {
      TaskAttempt attempt = new TaskAttempt(order.job() + "/" + order.index(), order.attempt());
      boolean isRepeatedHalt =
          order instanceof Command.Halt && !link.tryRecordHalt(attempt, timers.nowMs());
      if (orders.size() < MAX_ORDERS_PER_MESSAGE && !isRepeatedHalt) {
        orders.add(order);
        if (order instanceof Command.Run) {
          runs.add(attempt);
        }
      }
    }
    if (!orders.isEmpty()) {
      sendCommand(machine, link, report.tenure(), orders, runs);
    }
  }

  /**
   * Sends an empty command to a worker that seems unreachable for commands, is newly owned or may
   * have restarted: its answer proves that commands reach it.
   */
  void probe(Machine machine, long session) {
    WorkerLink link = links.linkTo(machine);
    long now = timers.nowMs();
    if (link.inFlight
        || now < link.nextProbeMs
        || machine.report() == null
        || link.isAddressDisproved(machine.report())) {
      return;
    }
    link.nextProbeMs = now + leaseMs / MAX_PROBES_PER_LEASE;
    sendCommand(machine, link, session, List.of(), List.of());
  }

  private void sendCommand(
      Machine machine,
      WorkerLink link,
      long session,
      List<Command> orders,
      List<TaskAttempt> runs) {
    long epoch = tables.view().epoch();
    WorkerCommands.DirectRuns command =
        new WorkerCommands.DirectRuns(epoch, session, timers.nowMs(), List.copyOf(runs));
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", epoch);
    body.put("tenure", session);
    body.put("orders", orders.stream().map(Command::toWire).toList());
    link.commandSent(machine.report());
    link.commands.directCommandSent(command);
    caller.call(
        machine.report().address(),
        "POST",
        "/orders",
        MessageCodec.encode(body),
        ANSWER_TIMEOUT_MS,
        answer -> handleAnswer(machine, link, command, answer));
  }

  private void handleAnswer(
      Machine machine, WorkerLink link, WorkerCommands.DirectRuns command, Caller.Response answer) {
    link.inFlight = false;
    Report report = reportIn(answer);
    if (report == null) {
      handleMissingAnswer(machine, command);
      return;
    }
    if (!report.machine().equals(machine.name())) {
      // Another machine has this address now. Its answer tells nothing about the worker that was
      // meant, which may still get the command if it was sent there before.
      links.commandAnsweredByOtherMachine(machine, report, command.epoch());
      link.addressDisproved(machine.report());
      handleMissingAnswer(machine, command);
      return;
    }
    // The worker has executed the command or refused it for good, so it cannot take effect again.
    link.commands.directCommandAnswered(command);
    View view = tables.view();
    if (links.isCurrent(machine, link) && view != null) {
      machine.markReachableForCommands();
      applyReport(machine, link, report, view);
    }
  }

  /** Returns the report in an answer, or null if no worker has answered with a report. */
  private Report reportIn(Caller.Response answer) {
    if (answer.status() != HTTP_OK && answer.status() != HTTP_CONFLICT) {
      return null;
    }
    try {
      return Report.parse(Document.parse(answer.body()));
    } catch (BadMessage cause) {
      malformed.record(MalformedMessages.Sender.WORKER, "answer to orders", cause);
      return null;
    }
  }

  /** The command may still arrive. The answers to reports repeat its content. */
  private void handleMissingAnswer(Machine machine, WorkerCommands.DirectRuns command) {
    if (!command.runs().isEmpty()) {
      links.commandUnanswered(machine, machine.report(), command.epoch());
    }
  }

  /**
   * Applies the report in the answer to a command. It shows the worker's current state because,
   * unlike a report, an answer to a command cannot arrive as a late copy.
   */
  private void applyReport(Machine machine, WorkerLink link, Report report, View view) {
    if (link.isOlderThanCommand(report)) {
      links.workerRestarted(machine, report, view.epoch());
      return;
    }
    links.recordEvent(CommandEvent.Kind.DIRECT_ANSWERED, machine, report, view.epoch(), "");
    Report lastReport = machine.report();
    if (lastReport == null || report.notNewerThan(lastReport)) {
      return;
    }
    boolean provesAlive = machine.receiveReply(report, view.epoch(), timers.nowMs());
    machine.setEpochAcknowledged(provesAlive && report.epoch() == view.epoch());
    if (provesAlive) {
      link.commands.epochReported(report.epoch(), report.tenure());
    }
    if (membership.status() == Membership.Status.MEMBER) {
      sendPlannedCommands(machine, true);
    }
  }
}
