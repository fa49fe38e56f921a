package wickdrift.daemon;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.JobHistory;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.coordination.Admission;
import wickdrift.coordination.Fleet;
import wickdrift.coordination.Membership;
import wickdrift.coordination.PauseDetector;
import wickdrift.coordination.ReportHandler;
import wickdrift.coordination.ReportRelay;
import wickdrift.coordination.SchedulingState;
import wickdrift.coordination.TransactionPipeline;
import wickdrift.coordination.Tuning;
import wickdrift.coordination.Types;
import wickdrift.coordination.WithdrawalConfirmations;
import wickdrift.coordination.WorkerLinks;
import wickdrift.coordination.Zones;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.PeerFrame;
import wickdrift.settings.Settings;
import wickdrift.transport.Caller;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** One controller, put together. It knows no sockets, so tests run it in a simulated world. */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final String JOBS = "/api/jobs";

  /** Seconds: what keeps this node out is mended by people, and others serve meanwhile. */
  private static final int BARRED_RETRY_S = 5;

  private static final long LEAVE_STEP_MS = 20;

  private final PauseDetector pauseDetector;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final JobHistory history;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final ReportRelay relay;
  private final ReportHandler reporting;
  private final WithdrawalConfirmations confirmations;
  private final Admission admission;
  private final Fleet fleet;
  private final Metrics metrics;
  private long unknownFrames;
  private final MalformedMessages malformed = new MalformedMessages();

  public Controller(
      Settings settings,
      Tuning tuning,
      Timers clock,
      Caller calls,
      Map<String, Consumer<ByteBuffer>> peers,
      String incarnation,
      Metrics metrics) {
    this(settings, tuning, clock, calls, peers, incarnation, metrics, LevelRange.BUILD);
  }

  /**
   * @param levels of stored state that this controller is to speak: a part of what the build does,
   *     or more, to stand for another build
   */
  public Controller(
      Settings settings,
      Tuning tuning,
      Timers clock,
      Caller calls,
      Map<String, Consumer<ByteBuffer>> peers,
      String incarnation,
      Metrics metrics,
      LevelRange levels) {
    this.metrics = metrics;
    pauseDetector = new PauseDetector(clock, tuning.stillMs());
    Timers timers = pauseDetector.monitoredTimers();
    Caller caller =
        (address, method, path, body, timeoutMs, done) ->
            calls.call(
                address,
                method,
                path,
                body,
                timeoutMs,
                a -> {
                  pauseDetector.recordActivity();
                  done.accept(a);
                });
    Types types = new Types();
    tables = new Tables(settings.nodeNames(), levels, this::tablesChanged);
    scheduling = new SchedulingState(timers, tables, types, settings);
    StateServiceLimits limits =
        new StateServiceLimits(
            settings.stateLimits(), settings.nextLimits(), () -> tables.isOpen(Gate.LIMITS));
    ledger =
        new StateServiceClient(
            timers,
            caller,
            settings.state(),
            limits,
            settings.peers().size() + 1,
            tables,
            malformed);
    membership =
        new Membership(timers, ledger, tables, tuning, settings, levels, incarnation, peers);
    relay = new ReportRelay(timers, settings.node(), tables.registry(), peers);
    pipeline =
        new TransactionPipeline(
            timers, ledger, tables, scheduling, types, membership, tuning, settings);
    Zones zones = new Zones(tuning.quietMs());
    WorkerLinks links = new WorkerLinks(timers);
    reporting =
        new ReportHandler(
            timers,
            ledger,
            tables,
            membership,
            pipeline,
            tuning,
            caller,
            relay,
            pauseDetector,
            zones,
            links,
            (long) (settings.workers().leaseS() * 1000),
            settings.node(),
            malformed);
    history = new JobHistory(timers, ledger, tables);
    confirmations =
        new WithdrawalConfirmations(timers, ledger, tables, reporting, settings.node(), peers);
    admission =
        new Admission(
            timers,
            ledger,
            tables,
            history,
            scheduling,
            types,
            settings,
            tuning,
            pauseDetector,
            confirmations);
    admission.refuseSubmissionsWhen(membership::isLeaving);
    fleet =
        new Fleet(
            timers,
            caller,
            ledger,
            tables,
            scheduling,
            types,
            membership,
            pipeline,
            tuning,
            settings,
            pauseDetector,
            zones,
            incarnation,
            malformed);
    // In this order: what was drawn from silence is dropped after nothing is decided any more.
    pauseDetector.onResume(ms -> membership.onProcessResumed());
    pauseDetector.onResume(ms -> pipeline.onProcessResumed());
    registerMetrics(limits, links, settings.node());
  }

  private void registerMetrics(StateServiceLimits limits, WorkerLinks links, String node) {
    metrics.watch("rooms.looked", () -> scheduling.machinesExamined());
    metrics.watch("tasks.placed", pipeline::placedTasks);
    metrics.watch("transactions", pipeline::transactionCount);
    metrics.watch("transactions.drafted", pipeline::builtTransactionCount);
    metrics.watch("transactions.unpaid", pipeline::cyclesWithoutBudget);
    metrics.watch("transactions.refused.by.budget", ledger::refusedByBudget);
    metrics.watch("transactions.refused.by.store", ledger::refusedByStore);
    metrics.watch("transactions.failed.by.condition", ledger::failedByCondition);
    metrics.watch("jobs.unfinished", () -> tables.jobs().size());
    metrics.watch("machines.known", () -> tables.machines().size());
    metrics.watch("transactions.too.large", ledger::tooLargeCount);
    metrics.watch("state.limits.fallen", () -> limits.nextLimitsInEffect() ? 1 : 0);
    metrics.watch("finals.read", history::readCount);
    metrics.watch("stages.delay.ms", () -> pipeline.stageDelayMs(90));
    metrics.watch("jobs.over", () -> tables.pendingHistory().size());
    metrics.watch("jobs.unclear", () -> tables.dependencies().unresolved().size());
    metrics.watch("log.pages", () -> tables.logPages(node).size());
    metrics.watch("polls.shed", admission::shedStatusRequests);
    metrics.watch("loop.late.ms", pauseDetector::timerDelayMs);
    metrics.watch("loop.pauses", pauseDetector::pauseCount);
    metrics.watch("loop.paused.ms", pauseDetector::totalPausedMs);
    metrics.watch("state.writes.ease", ledger::writeBudgetFraction);
    metrics.watch("state.level", tables::level);
    metrics.watch("state.barred", () -> tables.blockedReason() == null ? 0 : 1);
    metrics.watch("state.old.forms", () -> tables.keysInOldEncoding().size());
    metrics.watch("peers.unknown", () -> unknownFrames);
    metrics.watch("peers.malformed", () -> malformed.count(MalformedMessages.Sender.PEER));
    metrics.watch("state.malformed", () -> malformed.count(MalformedMessages.Sender.STATE_SERVICE));
    metrics.watch("cloud.malformed", () -> malformed.count(MalformedMessages.Sender.CLOUD));
    metrics.watch("workers.malformed", () -> malformed.count(MalformedMessages.Sender.WORKER));
    metrics.watch("workers.restarted", links::workerRestarts);
    metrics.watch("commands.unanswered", links::unansweredCommands);
    metrics.watch("commands.uncertain.machines", links::machinesWithOutstandingRuns);
    metrics.watch("invariants.violated", links.monitor()::violations);
    metrics.watch("withdrawals.kept", confirmations::confirmedCount);
    metrics.watch("withdrawals.unkept", confirmations::unconfirmedCount);
  }

  /** For looking in from outside: what this node holds for durable. */
  public Tables tables() {
    return tables;
  }

  /** Begins to load the tables, and everything that runs by timers. */
  public void start() {
    pauseDetector.start();
    ledger.start();
    membership.start();
    pipeline.start();
    reporting.start();
    fleet.start();
  }

  /**
   * Ends in order: takes nothing new, lets the transaction that is out end, and gives its lease
   * back, so that the others take over at once instead of after the lease.
   *
   * @param withinMs by then it has ended, whatever is still under way
   * @param done called once
   */
  public void leave(long withinMs, Runnable done) {
    membership.leave();
    leaveStep(pauseDetector.monitoredTimers().nowMs() + withinMs, done);
  }

  private void leaveStep(long byMs, Runnable done) {
    long now = pauseDetector.monitoredTimers().nowMs();
    if (pipeline.isIdle() && admission.isIdle() || now >= byMs) {
      boolean[] once = new boolean[1];
      Runnable end =
          () -> {
            if (!once[0]) {
              once[0] = true;
              done.run();
            }
          };
      membership.releaseLease(end);
      pauseDetector.monitoredTimers().after(Math.max(0, byMs - now), end);
    } else {
      pauseDetector.monitoredTimers().after(LEAVE_STEP_MS, () -> leaveStep(byMs, done));
    }
  }

  private void tablesChanged() {
    history.resolveDependencies();
    scheduling.update();
    reporting.tablesChanged(scheduling.drainChangedMachines());
    pipeline.scheduleCycle();
  }

  /** Takes a frame that came in on the link between controllers. */
  public void peerFrame(ByteBuffer bytes) {
    pauseDetector.recordActivity();
    PeerFrame frame;
    try {
      frame = PeerFrame.decode(bytes);
    } catch (BadMessage e) {
      malformed.note(MalformedMessages.Sender.PEER, "frame", e);
      return;
    }
    if (frame instanceof PeerFrame.Standing s) {
      membership.handlePeerStatus(s);
    } else if (frame instanceof PeerFrame.Relayed r) {
      reporting.handleRelayedReport(relay.exchangeFor(r));
    } else if (frame instanceof PeerFrame.Answered a) {
      relay.handleReply(a);
    } else if (frame instanceof PeerFrame.Withdrawn w) {
      confirmations.handleConfirmationRequest(w);
    } else if (frame instanceof PeerFrame.Obeyed o) {
      confirmations.handleConfirmation(o);
    } else if (unknownFrames++ == 0) {
      LOG.info("from a peer: a frame that this build does not know, and passes over");
    }
  }

  /** Every request of users, workers and the load balancer comes in here. */
  public void handle(Exchange x) {
    pauseDetector.recordActivity();
    metrics.request();
    String path = x.path();
    int query = path.indexOf('?');
    if (query >= 0) {
      path = path.substring(0, query);
    }
    if (tables.blockedReason() != null && !path.equals("/metrics")) {
      // Who does not understand the stored state answers nobody from it: users and workers go on
      // to the others.
      x.reply(503, Map.of("error", "not in service"), BARRED_RETRY_S);
      return;
    }
    boolean post = x.method().equals("POST");
    boolean get = x.method().equals("GET");
    if (path.equals("/hello")) {
      if (post) {
        reporting.handleReport(x);
      } else {
        wrongMethod(x);
      }
    } else if (path.equals("/up")) {
      if (!get) {
        wrongMethod(x);
      } else if (healthy()) {
        x.reply(200, Map.of("ok", true));
      } else {
        x.reply(503, Map.of("ok", false), 1);
      }
    } else if (path.equals("/metrics")) {
      x.reply(200, metrics.snapshot());
    } else if (path.equals(JOBS)) {
      if (post) {
        admission.submit(x);
      } else {
        wrongMethod(x);
      }
    } else if (path.startsWith(JOBS + "/")) {
      job(x, path.substring(JOBS.length() + 1), get, post);
    } else {
      x.reply(404, Map.of("error", "no such path"));
    }
  }

  private void job(Exchange x, String rest, boolean get, boolean post) {
    int slash = rest.indexOf('/');
    String id = slash < 0 ? rest : rest.substring(0, slash);
    boolean withdraw = slash >= 0 && rest.substring(slash).equals("/withdraw");
    if (slash >= 0 && !withdraw || !JobSpec.validId(id)) {
      x.reply(404, Map.of("error", "no such job"));
    } else if (withdraw && post) {
      admission.withdraw(x, id);
    } else if (!withdraw && get) {
      admission.jobStatus(x, id);
    } else {
      wrongMethod(x);
    }
  }

  private static void wrongMethod(Exchange x) {
    x.reply(405, Map.of("error", "method not allowed"));
  }

  /**
   * Healthy in an outage of the state service too, where no other node could serve better; not when
   * a peer is served and we alone are not.
   */
  private boolean healthy() {
    return admission.isReady() && !membership.isIsolated() && !membership.isLeaving();
  }
}
