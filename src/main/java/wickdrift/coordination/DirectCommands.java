package wickdrift.coordination;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Command;
import wickdrift.protocol.Document;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Report;
import wickdrift.protocol.Unsigned;
import wickdrift.protocol.WorkerToken;
import wickdrift.transport.Caller;
import wickdrift.transport.Timers;

/**
 * Sends commands to a worker immediately, instead of with the answer to its next report. At most
 * one command per worker awaits its answer. A direct command may arrive at any later time and any
 * number of times, so none of them starts anything: where an attempt is to start, the worker is
 * woken up, and the answer to its report carries the run.
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
    CommandPlanner.DirectPlan plan = planner.planDirect(machine, hasAuthority);
    List<Command.Direct> orders = new ArrayList<>();
    for (Command.Direct order : plan.orders()) {
      TaskAttempt attempt = new TaskAttempt(order.job() + "/" + order.index(), order.attempt());
      boolean isRepeatedHalt =
          order instanceof Command.Halt && !link.tryRecordHalt(attempt, timers.nowMs());
      if (orders.size() < MAX_ORDERS_PER_MESSAGE && !isRepeatedHalt) {
        orders.add(order);
      }
    }
    boolean wakesUp = plan.awaitsReport() && canWakeUp(link);
    if (!orders.isEmpty() || wakesUp) {
      sendCommand(machine, link, report.tenure(), orders, wakesUp);
    }
  }

  private boolean canWakeUp(WorkerLink link) {
    return tables.isOpen(Gate.WAKE_UPS)
        && link.wakeUps.canWake(tables.view().epoch(), timers.nowMs());
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
    sendCommand(machine, link, session, List.of(), false);
  }

  private void sendCommand(
      Machine machine,
      WorkerLink link,
      long session,
      List<Command.Direct> orders,
      boolean wakesUp) {
    long epoch = tables.view().epoch();
    WorkerToken token = wakesUp ? link.wakeUps.nextToken(epoch) : link.wakeUps.tokenFor(epoch);
    link.wakeUps.tokenSent(token, machine.report().token(), timers.nowMs());
    if (wakesUp) {
      links.wokeUp(machine, token);
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", token.toWire(tables.isOpen(Gate.WAKE_UPS)));
    body.put("tenure", Unsigned.toWire(session));
    body.put("orders", orders.stream().map(Command::toWire).toList());
    link.commandSent(machine.report());
    caller.call(
        machine.report().address(),
        "POST",
        "/orders",
        MessageCodec.encode(body),
        ANSWER_TIMEOUT_MS,
        answer -> handleAnswer(machine, link, epoch, answer));
  }

  private void handleAnswer(Machine machine, WorkerLink link, long epoch, Caller.Response answer) {
    link.inFlight = false;
    Report report = reportIn(answer);
    if (report == null) {
      links.commandUnanswered(machine, machine.report(), epoch);
      return;
    }
    if (!report.machine().equals(machine.name())) {
      // Another machine has this address now. Its answer tells nothing about the worker that was
      // meant.
      links.commandAnsweredByOtherMachine(machine, report, epoch);
      link.addressDisproved(machine.report());
      return;
    }
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
    link.wakeUps.tokenReported(report.token(), view.epoch());
    if (membership.status() == Membership.Status.MEMBER) {
      sendPlannedCommands(machine, true);
    }
  }
}
