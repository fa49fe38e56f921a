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
import wickdrift.protocol.Document;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Order;
import wickdrift.protocol.Report;
import wickdrift.transport.Caller;
import wickdrift.transport.Timers;

/**
 * Commands that are sent straight to a worker, instead of with the answer to its next report. One
 * at a time is waited for; one that is not answered may arrive whenever the network lets it.
 */
final class DirectCommands {
  /** Most commands that one message holds, whichever way it goes. */
  static final int MAX_ORDERS_PER_MESSAGE = 400;

  /** An answer that has not come by then is not waited for any more. */
  static final long ANSWER_TIMEOUT_MS = 3000;

  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;

  /** Of a lease: so often at most a worker is asked for an answer. */
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
   * Sends what is wanted at once.
   *
   * @param hasAuthority as for {@link CommandPlanner.Scope}
   */
  void sendPlannedCommands(Machine machine, boolean hasAuthority) {
    Report report = machine.report();
    WorkerLink link = links.linkTo(machine);
    if (report == null
        || !machine.epochAcknowledged()
        || link.inFlight
        || machine.phase() == Machine.Phase.LOST) {
      return;
    }
    List<Order> orders = new ArrayList<>();
    List<TaskAttempt> runs = new ArrayList<>();
    for (Order order :
        planner.plan(machine, report, new CommandPlanner.Scope(hasAuthority, false))) {
      TaskAttempt attempt = new TaskAttempt(order.job() + "/" + order.index(), order.attempt());
      boolean isRepeatedHalt =
          order instanceof Order.Halt && !link.tryRecordHalt(attempt, timers.nowMs());
      if (orders.size() < MAX_ORDERS_PER_MESSAGE && !isRepeatedHalt) {
        orders.add(order);
        if (order instanceof Order.Run) {
          runs.add(attempt);
        }
      }
    }
    if (!orders.isEmpty()) {
      sendCommand(machine, link, report.tenure(), orders, runs);
    }
  }

  /** Asks a worker that seems deaf, or new, for an answer; whoever answers hears. */
  void probe(Machine machine, long session) {
    WorkerLink link = links.linkTo(machine);
    long now = timers.nowMs();
    if (link.inFlight || now < link.nextProbeMs || machine.report() == null) {
      return;
    }
    link.nextProbeMs = now + leaseMs / MAX_PROBES_PER_LEASE;
    sendCommand(machine, link, session, List.of(), List.of());
  }

  private void sendCommand(
      Machine machine, WorkerLink link, long session, List<Order> orders, List<TaskAttempt> runs) {
    long epoch = tables.view().epoch();
    WorkerCommands.DirectRuns command =
        new WorkerCommands.DirectRuns(epoch, session, timers.nowMs(), List.copyOf(runs));
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", epoch);
    body.put("tenure", session);
    body.put("orders", orders.stream().map(Order::toWire).toList());
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
      Machine machine, WorkerLink link, WorkerCommands.DirectRuns command, Caller.Answer answer) {
    link.inFlight = false;
    if (answer.status() != HTTP_OK && answer.status() != HTTP_CONFLICT) {
      // It may arrive yet. The answers to reports repeat it.
      if (!command.runs().isEmpty()) {
        links.commandUnanswered(machine, machine.report(), command.epoch());
      }
      return;
    }
    // Executed, or refused for good: either way this command can't come again.
    link.commands.directCommandAnswered(command);
    machine.markReachableForCommands();
    View view = tables.view();
    if (!links.isCurrent(machine, link) || view == null) {
      return;
    }
    try {
      applyReport(machine, link, Report.parse(Document.parse(answer.body())), view);
    } catch (BadMessage cause) {
      malformed.note(MalformedMessages.Sender.WORKER, "answer to orders", cause);
    }
  }

  /** What the worker shows after a command is as it is now: no copy of an answer can come. */
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
    boolean isProof = machine.receiveReply(report, view.epoch(), timers.nowMs());
    machine.setEpochAcknowledged(isProof && report.epoch() == view.epoch());
    if (isProof) {
      link.commands.epochReported(report.epoch(), report.tenure());
    }
    if (membership.status() == Membership.Status.MEMBER) {
      sendPlannedCommands(machine, true);
    }
  }
}
