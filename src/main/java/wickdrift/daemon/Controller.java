package wickdrift.daemon;

import java.nio.ByteBuffer;
import java.util.Locale;
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
import wickdrift.coordination.FleetManager;
import wickdrift.coordination.MachineTypes;
import wickdrift.coordination.Membership;
import wickdrift.coordination.PauseDetector;
import wickdrift.coordination.RefusedRequests;
import wickdrift.coordination.ReportHandler;
import wickdrift.coordination.ReportRelay;
import wickdrift.coordination.SchedulingState;
import wickdrift.coordination.TransactionPipeline;
import wickdrift.coordination.Tuning;
import wickdrift.coordination.WithdrawalConfirmations;
import wickdrift.coordination.WorkerLinks;
import wickdrift.coordination.ZoneHealth;
import wickdrift.coordination.peers.FrameVerdict;
import wickdrift.coordination.peers.PeerIdentity;
import wickdrift.coordination.peers.PeerStatuses;
import wickdrift.coordination.peers.RejectedFrames;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.PeerFrame;
import wickdrift.settings.Settings;
import wickdrift.transport.Caller;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Creates and connects the components of a controller. It opens no sockets itself, so tests can run
 * it in a simulated cluster.
 */
public final class Controller {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final String JOBS_PATH = "/api/jobs";

  /**
   * Retry-After, in seconds, of a node that can't use the stored state. Only an operator can
   * resolve this, and other nodes serve in the meantime.
   */
  private static final int BLOCKED_RETRY_S = 5;

  private static final long SHUTDOWN_POLL_INTERVAL_MS = 20;

  private final PauseDetector pauseDetector;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final SchedulingState scheduling;
  private final JobHistory history;
  private final PeerIdentity peerIdentity;
  private final PeerStatuses peerStatuses;
  private final RejectedFrames rejectedFrames = new RejectedFrames();
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final ReportRelay reportRelay;
  private final ReportHandler reportHandler;
  private final WithdrawalConfirmations confirmations;
  private final Admission admission;
  private final FleetManager fleet;
  private final Metrics metrics;
  private final RefusedRequests refusedRequests;
  private long unknownFrameCount;
  private final MalformedMessages malformedMessages = new MalformedMessages();

  /** Creates a controller that supports the levels of this build. */
  public Controller(
      Settings settings,
      Tuning tuning,
      Timers unmonitoredTimers,
      Caller unmonitoredCaller,
      Map<String, Consumer<ByteBuffer>> peers,
      String incarnation,
      Metrics metrics) {
    this(
        settings,
        tuning,
        unmonitoredTimers,
        unmonitoredCaller,
        peers,
        incarnation,
        metrics,
        LevelRange.BUILD);
  }

  /**
   * Creates a controller that supports the given levels.
   *
   * @param levels of stored state; fewer or more than this build supports, to simulate another
   *     build
   */
  public Controller(
      Settings settings,
      Tuning tuning,
      Timers unmonitoredTimers,
      Caller unmonitoredCaller,
      Map<String, Consumer<ByteBuffer>> peers,
      String incarnation,
      Metrics metrics,
      LevelRange levels) {
    this.metrics = metrics;
    refusedRequests = new RefusedRequests(this::registerRefusal);
    pauseDetector = new PauseDetector(unmonitoredTimers, tuning.pauseThresholdMs());
    Timers timers = pauseDetector.monitoredTimers();
    Caller caller =
        (address, method, path, body, timeoutMs, done) ->
            unmonitoredCaller.call(
                address,
                method,
                path,
                body,
                timeoutMs,
                response -> {
                  pauseDetector.recordActivity();
                  done.accept(response);
                });
    MachineTypes types = new MachineTypes();
    tables = new Tables(settings.nodeNames(), levels, this::onTablesChanged);
    scheduling = new SchedulingState(timers, tables, types, settings);
    StateServiceLimits limits =
        new StateServiceLimits(
            settings.stateLimits(), settings.nextLimits(), () -> tables.isOpen(Gate.LIMITS));
    stateService =
        new StateServiceClient(
            timers,
            caller,
            settings.stateServiceAddress(),
            limits,
            settings.peers().size() + 1,
            tables,
            malformedMessages);
    peerIdentity = new PeerIdentity(settings.node(), incarnation, tables);
    peerStatuses = new PeerStatuses(timers, peerIdentity, tables.registry());
    membership =
        new Membership(
            timers,
            stateService,
            tables,
            tuning,
            settings,
            levels,
            peerIdentity,
            peerStatuses,
            peers);
    reportRelay = new ReportRelay(timers, peerIdentity, tables.registry(), peers);
    pipeline =
        new TransactionPipeline(
            timers, stateService, tables, scheduling, types, membership, tuning, settings);
    ZoneHealth zones = new ZoneHealth(tuning.reportsOverdueMs());
    long workerLeaseMs = (long) (settings.workers().leaseS() * 1000);
    WorkerLinks links = new WorkerLinks(timers, workerLeaseMs, tables::appliedRev);
    reportHandler =
        new ReportHandler(
            timers,
            stateService,
            tables,
            membership,
            pipeline,
            tuning,
            caller,
            reportRelay,
            pauseDetector,
            zones,
            links,
            types,
            workerLeaseMs,
            settings.node(),
            malformedMessages);
    history = new JobHistory(timers, stateService, tables);
    confirmations =
        new WithdrawalConfirmations(
            timers, stateService, tables, reportHandler, settings.node(), peerIdentity, peers);
    admission =
        new Admission(
            timers,
            stateService,
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
        new FleetManager(
            timers,
            caller,
            stateService,
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
            malformedMessages);
    // The order matters: the membership ends all decisions before the pipeline discards what was
    // concluded from missing reports.
    pauseDetector.onResume(ms -> membership.onProcessResumed());
    pauseDetector.onResume(ms -> pipeline.onProcessResumed());
    registerMetrics(limits, links, settings.node());
  }

  private void registerMetrics(StateServiceLimits limits, WorkerLinks links, String node) {
    metrics.registerGauge("rooms.looked", () -> scheduling.machinesExamined());
    metrics.registerGauge("tasks.placed", pipeline::placedTasks);
    metrics.registerGauge("transactions", pipeline::transactionCount);
    metrics.registerGauge("transactions.drafted", pipeline::builtTransactionCount);
    metrics.registerGauge("transactions.unpaid", pipeline::cyclesWithoutBudget);
    metrics.registerGauge("transactions.refused.by.budget", stateService::refusedByBudget);
    metrics.registerGauge("transactions.refused.by.store", stateService::refusedByStore);
    metrics.registerGauge("transactions.failed.by.condition", stateService::failedByCondition);
    metrics.registerGauge("jobs.unfinished", () -> tables.jobs().size());
    metrics.registerGauge("machines.known", () -> tables.machines().size());
    metrics.registerGauge("transactions.too.large", stateService::tooLargeCount);
    metrics.registerGauge("transactions.rejected", pipeline::rejectedTransactions);
    metrics.registerGauge("handovers.deferred", pipeline::handoversDeferred);
    metrics.registerGauge("state.limits.fallen", () -> limits.nextLimitsInEffect() ? 1 : 0);
    metrics.registerGauge("finals.read", history::readCount);
    metrics.registerGauge("stages.delay.ms", () -> pipeline.stageDelayMs(90));
    metrics.registerGauge("jobs.over", () -> tables.pendingHistory().size());
    metrics.registerGauge("records.orphaned", () -> tables.orphanedRecords().size());
    metrics.registerGauge("jobs.unclear", () -> tables.dependencies().unresolved().size());
    metrics.registerGauge("log.pages", () -> tables.logPages(node).size());
    metrics.registerGauge("polls.shed", admission::shedStatusRequests);
    metrics.registerGauge("loop.late.ms", pauseDetector::timerDelayMs);
    metrics.registerGauge("loop.pauses", pauseDetector::pauseCount);
    metrics.registerGauge("loop.paused.ms", pauseDetector::totalPausedMs);
    metrics.registerGauge("state.writes.ease", stateService::writeBudgetFraction);
    metrics.registerGauge("state.level", tables::level);
    metrics.registerGauge("state.barred", () -> tables.blockedReason() == null ? 0 : 1);
    metrics.registerGauge("state.old.forms", () -> tables.keysInOldEncoding().size());
    metrics.registerGauge("peers.unknown", () -> unknownFrameCount);
    metrics.registerGauge(
        "peers.malformed", () -> malformedMessages.count(MalformedMessages.Sender.PEER));
    metrics.registerGauge(
        "state.malformed", () -> malformedMessages.count(MalformedMessages.Sender.STATE_SERVICE));
    metrics.registerGauge(
        "cloud.malformed", () -> malformedMessages.count(MalformedMessages.Sender.CLOUD));
    metrics.registerGauge(
        "workers.malformed", () -> malformedMessages.count(MalformedMessages.Sender.WORKER));
    metrics.registerGauge("workers.restarted", links::workerRestarts);
    metrics.registerGauge("commands.unanswered", links::unansweredCommands);
    metrics.registerGauge("commands.answered.by.other", links::answersByOtherMachines);
    metrics.registerGauge("workers.woken.up", links::wakeUps);
    metrics.registerGauge("starts.unexplained", links::unexplainedStarts);
    metrics.registerGauge("starts.delay.p50.ms", () -> links.startDelayMs(50));
    metrics.registerGauge("starts.delay.p99.ms", () -> links.startDelayMs(99));
    metrics.registerGauge("invariants.violated", links.monitor()::violations);
    metrics.registerGauge("peers.rejected", rejectedFrames::total);
    metrics.registerGauge("peers.statuses.stale", peerStatuses::staleCount);
    metrics.registerGauge("relay.mismatched", reportRelay::mismatchedCount);
    metrics.registerGauge("relay.forwarded", reportRelay::forwardedCount);
    metrics.registerGauge("relay.delivered", reportRelay::deliveredCount);
    metrics.registerGauge("relay.expired", reportRelay::expiredCount);
    metrics.registerGauge("relay.unmatched", reportRelay::unmatchedCount);
    metrics.registerGauge("withdrawals.kept", confirmations::confirmedCount);
    metrics.registerGauge("withdrawals.unkept", confirmations::unconfirmedCount);
  }

  /** Registers the count of the requests that are refused for a cause. */
  private void registerRefusal(RefusedRequests.Cause cause) {
    String name =
        "users.refused."
            + String.join(
                ".",
                cause.kind().name().toLowerCase(Locale.ROOT),
                Integer.toString(cause.status()),
                cause.reason().replace(' ', '-'));
    metrics.registerGauge(name, () -> refusedRequests.count(cause));
  }

  /** Returns the tables, which hold the stored state as this node knows it. */
  public Tables tables() {
    return tables;
  }

  /** Starts loading the tables, and all periodic work. */
  public void start() {
    pauseDetector.start();
    stateService.start();
    membership.start();
    pipeline.start();
    reportHandler.start();
    fleet.start();
  }

  /**
   * Shuts down in order: accepts no new work, waits for pending transactions and submissions, and
   * releases its lease, so that other controllers take over at once instead of after its expiry.
   *
   * @param timeoutMs the shutdown completes after this time even if work is still pending
   * @param done called once, on completion
   */
  public void shutDown(long timeoutMs, Runnable done) {
    membership.leave();
    reportHandler.sendHeldAnswers();
    awaitIdle(pauseDetector.monitoredTimers().nowMs() + timeoutMs, done);
  }

  /** Waits until nothing is pending or the deadline has passed, then releases the lease. */
  private void awaitIdle(long deadlineMs, Runnable done) {
    long now = pauseDetector.monitoredTimers().nowMs();
    if (pipeline.isIdle() && admission.isIdle() || now >= deadlineMs) {
      boolean[] finished = new boolean[1];
      Runnable finish =
          () -> {
            if (!finished[0]) {
              finished[0] = true;
              done.run();
            }
          };
      membership.releaseLease(finish);
      pauseDetector.monitoredTimers().after(Math.max(0, deadlineMs - now), finish);
    } else {
      pauseDetector
          .monitoredTimers()
          .after(SHUTDOWN_POLL_INTERVAL_MS, () -> awaitIdle(deadlineMs, done));
    }
  }

  private void onTablesChanged() {
    history.resolveDependencies();
    scheduling.update();
    reportHandler.tablesChanged(scheduling.drainChangedMachines());
    pipeline.scheduleCycle();
  }

  /** Handles a frame from another controller. */
  public void handlePeerFrame(ByteBuffer bytes) {
    pauseDetector.recordActivity();
    PeerFrame frame;
    try {
      frame = PeerFrame.decode(bytes);
    } catch (BadMessage e) {
      malformedMessages.record(MalformedMessages.Sender.PEER, "frame", e);
      return;
    }
    if (frame instanceof PeerFrame.Unknown) {
      if (unknownFrameCount++ == 0) {
        LOG.info("ignoring peer frames of a type that this build does not know");
      }
      return;
    }
    FrameVerdict verdict = judge(frame);
    if (!verdict.isAccepted()) {
      rejectedFrames.record(verdict, frame);
      if (verdict == FrameVerdict.REQUEST_NOT_UNIQUE
          && frame instanceof PeerFrame.WithdrawalConfirmationRequest request) {
        confirmations.handleAnnouncement(request);
      }
      return;
    }
    if (frame instanceof PeerFrame.PeerStatus status) {
      peerStatuses.receive(status);
    } else if (frame instanceof PeerFrame.RelayedReport report) {
      reportHandler.handleRelayedReport(reportRelay.exchangeFor(report));
    } else if (frame instanceof PeerFrame.RelayedReply reply) {
      reportRelay.handleReply(reply);
    } else if (frame instanceof PeerFrame.WithdrawalConfirmationRequest request) {
      confirmations.handleConfirmationRequest(request);
    } else if (frame instanceof PeerFrame.WithdrawalConfirmation confirmation) {
      confirmations.handleConfirmation(confirmation);
    }
  }

  private FrameVerdict judge(PeerFrame frame) {
    if (frame instanceof PeerFrame.RelayedReport report) {
      return peerIdentity.judgeRequest(report.header(), report.requestId());
    }
    if (frame instanceof PeerFrame.WithdrawalConfirmationRequest request) {
      return peerIdentity.judgeRequest(request.header(), request.requestId());
    }
    return peerIdentity.judge(frame.header());
  }

  /** Handles a request of a user, a worker or the load balancer. */
  public void handle(Exchange exchange) {
    pauseDetector.recordActivity();
    metrics.countRequest();
    String path = exchange.path();
    int queryStart = path.indexOf('?');
    if (queryStart >= 0) {
      path = path.substring(0, queryStart);
    }
    if (tables.blockedReason() != null && !path.equals("/metrics")) {
      // A node that can't read the stored state does not answer from it. Users and workers turn to
      // other nodes.
      exchange.reply(503, Map.of("error", "not in service"), BLOCKED_RETRY_S);
      return;
    }
    boolean isPost = exchange.method().equals("POST");
    boolean isGet = exchange.method().equals("GET");
    if (path.equals("/hello")) {
      if (isPost) {
        reportHandler.handleReport(exchange);
      } else {
        replyMethodNotAllowed(exchange);
      }
    } else if (path.equals("/up")) {
      if (!isGet) {
        replyMethodNotAllowed(exchange);
      } else if (isHealthy()) {
        exchange.reply(200, Map.of("ok", true));
      } else {
        exchange.reply(503, Map.of("ok", false), 1);
      }
    } else if (path.equals("/metrics")) {
      exchange.reply(200, metrics.snapshot());
    } else if (path.equals(JOBS_PATH)) {
      Exchange submission =
          refusedRequests.observe(exchange, RefusedRequests.Kind.SUBMISSION, null);
      if (isPost) {
        admission.submit(submission);
      } else {
        replyMethodNotAllowed(submission);
      }
    } else if (path.startsWith(JOBS_PATH + "/")) {
      handleJobRequest(exchange, path.substring(JOBS_PATH.length() + 1), isGet, isPost);
    } else {
      exchange.reply(404, Map.of("error", "no such path"));
    }
  }

  private void handleJobRequest(Exchange received, String subPath, boolean isGet, boolean isPost) {
    int slash = subPath.indexOf('/');
    String id = slash < 0 ? subPath : subPath.substring(0, slash);
    boolean isWithdrawal = slash >= 0 && subPath.substring(slash).equals("/withdraw");
    boolean isValidId = JobSpec.validId(id);
    Exchange exchange =
        refusedRequests.observe(
            received,
            isWithdrawal ? RefusedRequests.Kind.CANCELLATION : RefusedRequests.Kind.POLL,
            isValidId ? id : "unknown");
    if (slash >= 0 && !isWithdrawal || !isValidId) {
      exchange.reply(404, Map.of("error", "no such job"));
    } else if (isWithdrawal && isPost) {
      admission.withdraw(exchange, id);
    } else if (!isWithdrawal && isGet) {
      admission.jobStatus(exchange, id);
    } else {
      replyMethodNotAllowed(exchange);
    }
  }

  private static void replyMethodNotAllowed(Exchange exchange) {
    exchange.reply(405, Map.of("error", "method not allowed"));
  }

  /**
   * Whether the load balancer should send requests to this node. This holds during an outage of the
   * state service too, when no other node could serve better, but not when the state service is
   * unreachable for this node while a peer can reach it.
   */
  private boolean isHealthy() {
    return admission.isReady() && !membership.isIsolated() && !membership.isLeaving();
  }
}
