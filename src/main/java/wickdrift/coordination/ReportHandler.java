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
  private static final long IGNORED_MS = 3500;

  private static final long CATCH_UP_MS = 1000;

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final Tuning tuning;
  private final String node;
  private final ReportRelay relay;
  private final Zones zones;
  private final MalformedMessages malformed;
  private final WorkerLinks links;
  private final CommandPlanner planner;
  private final DirectCommands directCommands;
  private final MachineHealthMonitor silenceWatch;

  /** Machines that were told of their owner in this view. */
  private final Set<String> sentAway = new HashSet<>();

  /** Machines of our part that have not reported to us in this view. */
  private final Set<String> unheard = new HashSet<>();

  private View current;
  private View before;
  private String viewLeader;
  private long viewEpoch;
  private long viewSinceMs;

  private final long leaseMs;
  private Set<String> owned = new HashSet<>();

  /** Answers no report before the tables are loaded. */
  public ReportHandler(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      Membership membership,
      TransactionPipeline pipeline,
      Tuning tuning,
      Caller caller,
      ReportRelay relay,
      PauseDetector pauseDetector,
      Zones zones,
      WorkerLinks links,
      long leaseMs,
      String node,
      MalformedMessages malformed) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.membership = membership;
    this.pipeline = pipeline;
    this.tuning = tuning;
    this.relay = relay;
    this.zones = zones;
    this.links = links;
    this.leaseMs = leaseMs;
    this.node = node;
    this.malformed = malformed;
    planner = new CommandPlanner(timers, tables, pipeline, membership, links);
    directCommands =
        new DirectCommands(timers, tables, membership, links, planner, caller, leaseMs, malformed);
    silenceWatch =
        new MachineHealthMonitor(
            timers, tables, membership, pipeline, tuning, pauseDetector, zones, links, node);
  }

  public void start() {
    silenceWatch.start();
  }

  // ---- a new view ----

  /** Called after the tables changed, with the machines that did. */
  public void tablesChanged(List<Machine> changed) {
    View v = tables.view();
    if (v != null && v.epoch() != viewEpoch) {
      viewChanged(v);
    }
    if (v != null && membership.status() == Membership.Status.MEMBER) {
      for (Machine m : changed) {
        if (owned.contains(m.name()) && m.pollChanged()) {
          directCommands.send(m, true);
        }
      }
    }
  }

  private void viewChanged(View v) {
    // Of views in between nothing is known: someone else may have owned any of our machines, and
    // have answered its worker, as when we stood still meanwhile.
    boolean skipped = v.epoch() > viewEpoch + 1;
    before = current;
    current = v;
    viewEpoch = v.epoch();
    sentAway.clear();
    viewSinceMs = timers.nowMs();
    silenceWatch.onEpochStarted(viewEpoch, viewSinceMs);
    LOG.info(
        "epoch {}: members with incarnations {}, leader {}, read at revision {}",
        v.epoch(),
        v.members(),
        v.leader(),
        tables.appliedRev());
    boolean leads = v.leader().equals(node);
    boolean gainedLead = leads && !v.leader().equals(viewLeader);
    boolean joined = owned.isEmpty();
    viewLeader = v.leader();
    Set<String> now = new HashSet<>();
    unheard.clear();
    for (Machine m : tables.machines()) {
      m.setEpochAcknowledged(false);
      if (node.equals(m.owner(v))) {
        now.add(m.name());
        if (skipped || !wasOurs(m)) {
          // Its owner until now may go on answering it for as long as the grace allows.
          m.resetReports(viewSinceMs + tuning.graceMs(), viewSinceMs);
          links.forgetRuns(m);
        }
        if (m.report() == null && m.phase() == Machine.Phase.UP) {
          unheard.add(m.name());
        }
      } else {
        m.resetReports(0, viewSinceMs);
        links.drop(m);
      }
    }
    owned = now;
    pipeline.newView();
    // Whoever takes over places nothing on what it took over until reports had time to come in, or
    // all known machines have reported. A machine takes no task before it has reported, so a node
    // that had a part goes on with that; one that is new, and one that is new as leader, wait.
    if (joined) {
      pipeline.hold(viewSinceMs + tuning.settleMs());
    }
    if (gainedLead) {
      pipeline.holdLead(viewSinceMs + tuning.settleMs());
    }
  }

  /**
   * Whether a machine was ours until this change of view. One whose zone was not known at the last
   * change may have been counted as ours by its name alone, and its zone's controllers have
   * answered it since: to take its silence here for its own would end a lease that they renew.
   */
  private boolean wasOurs(Machine m) {
    return owned.contains(m.name())
        && (before == null || node.equals(before.owner(m.name(), m.zone())));
  }

  // ---- reports ----

  public void handleReport(Exchange x) {
    hello(x, true);
  }

  /** A report that a peer passed on: never passed on again. */
  public void handleRelayedReport(Exchange x) {
    hello(x, false);
  }

  private void hello(Exchange x, boolean mayRelay) {
    if (!membership.caughtUp()) {
      // After a pause: an answer under an epoch that was superseded meanwhile would hold the worker
      // here while its lease runs out. The state service being away, the grace decides.
      ledger.barrier(CATCH_UP_MS, ok -> answer(x, mayRelay));
      return;
    }
    answer(x, mayRelay);
  }

  private void answer(Exchange x, boolean mayRelay) {
    Report r;
    try {
      r = Report.parse(Document.parse(x.body()));
    } catch (BadMessage e) {
      malformed.note(MalformedMessages.Sender.WORKER, "report", e);
      x.reply(400, Map.of("error", e.getMessage()));
      return;
    }
    zones.heard(r.zone(), timers.nowMs());
    View v = tables.view();
    if (v == null || ledger.phase() != StateServiceClient.Phase.FOLLOWING) {
      x.reply(503, null, 1);
      return;
    }
    if (r.epoch() > v.epoch() || membership.isViewOutdated()) {
      // Someone else commands by now: catch up, and let the worker find them.
      ledger.barrier(2000, ok -> {});
      x.reply(421, Map.of());
      return;
    }
    Membership.Status standing = membership.status();
    String owner = v.owner(r.machine(), r.zone());
    if (!owner.equals(node)) {
      // A worker that knows this epoch has been answered by its owner, and has left it: it can't
      // reach it. The owner may be well otherwise, so the report is passed on.
      boolean left =
          r.epoch() == v.epoch()
              || sentAway.contains(r.machine())
              // Answered by it under the view before, too.
              || before != null
                  && r.epoch() == before.epoch()
                  && owner.equals(before.owner(r.machine(), r.zone()));
      if (left && mayRelay && relay.forward(x, owner)) {
        return;
      }
      sentAway.add(r.machine());
      // A spare knows as much as a member; who is cut off from the store may not.
      boolean knows = standing == Membership.Status.MEMBER || membership.isSpare();
      x.reply(421, knows ? Map.of("upstream", owner) : Map.of());
      return;
    }
    if (standing == Membership.Status.OUTSIDE) {
      x.reply(503, null, 1);
      return;
    }
    Machine m = tables.getOrCreateMachine(r.machine());
    if (m.hasNewerUnsolicitedReport(r)) {
      // A copy: its worker has long had an answer, or has given up. It proves nothing, and an
      // answer that would renew a lease is not given. Or its machine was back so soon that nobody
      // missed it, and its worker counts from one again: only an answer of its own can tell.
      directCommands.probe(m, r.tenure());
      x.reply(503, null, 1);
      return;
    }
    Report last = m.report();
    boolean late = last != null && m.provedAlive() && r.notNewerThan(last);
    List<Order> orders;
    if (!late) {
      long now = timers.nowMs();
      boolean proves = m.receiveReport(r, v.epoch(), now);
      m.setEpochAcknowledged(proves && r.epoch() == v.epoch());
      if (proves) {
        links.commands(m).epochReported(r.epoch(), r.tenure());
      }
      m.updateCommandReachability(r, proves, ignores(m, r, now), leaseMs, now);
      if (unheard.remove(m.name()) && unheard.isEmpty()) {
        pipeline.settle();
      }
      note(m, r, proves);
      // What may be a copy proves nothing: it is answered, so that the next one shows our token.
      boolean whole = standing == Membership.Status.MEMBER && proves;
      orders = planner.plan(m, r, new CommandPlanner.Scope(whole, true));
    } else {
      // Its answer renews the lease too, should the worker still wait for it.
      orders = planner.haltsOfCancelled(m);
    }
    m.recordAnswer(timers.nowMs(), v.epoch());
    // One that is newly ours need not wait for its next report to prove itself.
    boolean unproved = !late && !m.provedAlive() && m.phase() == Machine.Phase.UP;
    if (m.unreachableForCommandsSinceMs() > 0 || unproved) {
      directCommands.probe(m, r.tenure());
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", v.epoch());
    body.put(
        "orders", orders.stream().limit(DirectCommands.MAX_ORDERS).map(Order::toWire).toList());
    x.reply(200, body);
  }

  /** Brings the machine's durable record up to what the report says. */
  private void note(Machine m, Report r, boolean proves) {
    owned.add(m.name());
    if (!proves || m.unreachableForCommandsSinceMs() > 0) {
      // Perhaps a copy of what a machine said that is gone by now; or one that nothing reaches.
      return;
    }
    Machine.Phase wanted = r.noticeS() != null ? Machine.Phase.DRAINING : Machine.Phase.UP;
    Machine.Phase is = m.phase();
    boolean change =
        switch (is) {
          case UNKNOWN, BOOTING, LOST -> true;
          case UP -> wanted == Machine.Phase.DRAINING;
          case DRAINING, GONE -> false;
        };
    if (change && !pipeline.hasPendingRecord(m)) {
      pipeline.enqueueRecord(
          m, new Machine.Info(r.type(), r.zone(), r.spot(), wanted, timers.wallMs()));
    }
  }

  /** Whether a report lacks a task that its worker was told to run longer ago than that takes. */
  private boolean ignores(Machine m, Report r, long now) {
    WorkerCommands commands = links.commands(m);
    for (Machine.Slot slot : m.slots()) {
      TaskAttempt attempt = new TaskAttempt(slot.taskName(), slot.state().attempt());
      if (commands.ignoredFor(attempt, IGNORED_MS, now)
          && r.tasks().stream().noneMatch(e -> e.task().equals(slot.taskName()))) {
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
    Membership.Status standing = membership.status();
    if (standing == Membership.Status.OUTSIDE) {
      return;
    }
    for (Machine m : job.machines()) {
      if (owned.contains(m.name())) {
        directCommands.send(m, standing == Membership.Status.MEMBER);
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
  public boolean canConfirmWithdrawal(Machine m, String job) {
    View v = tables.view();
    Report r = m.report();
    if (v == null || !node.equals(m.owner(v)) || v.epoch() != viewEpoch) {
      return false;
    }
    if (r == null || !m.epochAcknowledged() || !m.provedAlive()) {
      return false;
    }
    WorkerCommands commands = links.commands(m);
    // One that was sent and shown is asked for too: it may be under way once more.
    Verdict verdict = commands.verifyNoRunPending(job);
    if (verdict.isAllowed()) {
      verdict = shownHarmless(commands, r, job);
    }
    links.recordEvent(CommandEvent.Kind.CONFIRMATION, m, r, viewEpoch, job + ": " + verdict);
    return verdict.isAllowed();
  }

  private Verdict shownHarmless(WorkerCommands commands, Report r, String job) {
    for (Report.Entry e : r.tasks()) {
      TaskAttempt attempt = new TaskAttempt(e.task(), e.attempt());
      boolean exited = e.phase() == Report.Phase.EXITED;
      boolean again = exited && commands.waits(attempt) > 0;
      boolean mayOutlast = !tuning.leaseEndsInTime() && !exited;
      if (e.job().equals(job) && (e.phase() == Report.Phase.FETCHING || again || mayOutlast)) {
        return Verdict.ANSWER_UNDER_WAY;
      }
    }
    return Verdict.PROVEN;
  }
}
