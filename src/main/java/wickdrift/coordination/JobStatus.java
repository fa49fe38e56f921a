package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TerminalState;
import wickdrift.bookkeeping.TokenBucket;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.settings.Settings;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Tells users how their jobs stand, from tables that are no older than the question, so that no
 * controller answers something older than another one did.
 */
final class JobStatus {
  private static final Logger LOG = LoggerFactory.getLogger(JobStatus.class);
  private static final int MAX_WAITERS_PER_LOOKUP = 64;

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final PauseDetector pauseDetector;
  private final WithdrawalConfirmations confirmations;
  private final Tuning tuning;

  /** By job, who waits for the read after the one that is out. */
  private final Map<String, List<Exchange>> lookupWaiters = new HashMap<>();

  private final TokenBucket readBudget;
  private long shedCount;

  JobStatus(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      PauseDetector pauseDetector,
      WithdrawalConfirmations confirmations,
      Settings settings,
      Tuning tuning) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.pauseDetector = pauseDetector;
    this.confirmations = confirmations;
    this.tuning = tuning;
    double readsPerSecond = settings.stateLimits().rps() / (settings.peers().size() + 1);
    this.readBudget = new TokenBucket(readsPerSecond * tuning.lookUpShare(), timers.nowMs());
  }

  /** Questions that were answered 503, as the reads of the state service are limited. */
  long shedCount() {
    return shedCount;
  }

  /**
   * A user's poll. When this node falls behind, polls are what it leaves out: reports, leases,
   * submissions and withdrawals wait in the same line.
   */
  void poll(Exchange exchange, String jobId) {
    if (pauseDetector.timerDelayMs() > tuning.busyMs() && tables.terminalState(jobId) == null) {
      shedCount++;
      UserRequests.replyTryAgain(exchange);
    } else {
      replyStatus(exchange, jobId);
    }
  }

  /** Answers from tables that are no older than this request. */
  void replyStatus(Exchange exchange, String jobId) {
    TerminalState terminalState = tables.terminalState(jobId);
    if (terminalState != null) {
      // Final: no node can have told anyone anything newer.
      replyTerminalState(exchange, jobId, terminalState);
      return;
    }
    if (stateService.phase() != StateServiceClient.Phase.FOLLOWING) {
      UserRequests.replyTryAgain(exchange);
      return;
    }
    stateService.barrier(
        UserRequests.BARRIER_TIMEOUT_MS,
        ok -> {
          if (ok) {
            replyFromTables(exchange, jobId);
          } else {
            UserRequests.replyTryAgain(exchange);
          }
        });
  }

  void replyFromTables(Exchange exchange, String jobId) {
    Job job = tables.job(jobId);
    if (job == null && tables.terminalState(jobId) != null) {
      // It has ended since it was asked for; where that is kept for good it may not stand yet.
      replyTerminalState(exchange, jobId, tables.terminalState(jobId));
      return;
    }
    if (job == null) {
      lookUpFinalRecord(exchange, jobId);
      return;
    }
    if (job.dependencyState() == Job.DependencyState.UNRESOLVED && !job.withdrawn()) {
      // It may have been withdrawn with one that it awaits, and someone may have been told so.
      UserRequests.replyTryAgain(exchange);
      return;
    }
    if (job.withdrawn()) {
      replyWithdrawn(exchange, jobId);
      return;
    }
    String phase = job.liveCount() > 0 ? "running" : "pending";
    exchange.reply(
        200,
        Map.of("ref", jobId, "phase", phase, "done", job.doneCount(), "running", job.liveCount()));
  }

  /**
   * What is in no table is read from the store, and so many a second at most: users also ask for
   * jobs that no one has submitted, as often as they like. Who asks while a read is out shares the
   * next one: the one that is out may be older than the question.
   */
  private void lookUpFinalRecord(Exchange exchange, String jobId) {
    List<Exchange> waiters = lookupWaiters.get(jobId);
    if (waiters != null && waiters.size() < MAX_WAITERS_PER_LOOKUP) {
      waiters.add(exchange);
    } else if (waiters == null && readBudget.tryAcquire(1, 0, timers.nowMs())) {
      readFinalRecord(jobId, List.of(exchange));
    } else {
      shedCount++;
      UserRequests.replyTryAgain(exchange);
    }
  }

  private void readFinalRecord(String jobId, List<Exchange> requests) {
    lookupWaiters.put(jobId, new ArrayList<>());
    stateService.read(
        Job.terminalStateKey(jobId),
        result -> {
          List<Exchange> waiters = lookupWaiters.remove(jobId);
          if (!waiters.isEmpty()) {
            readFinalRecord(jobId, waiters);
          }
          for (Exchange exchange : requests) {
            if (!result.ok()) {
              UserRequests.replyTryAgain(exchange);
            } else if (result.value() == null) {
              exchange.reply(404, Map.of("error", "no such job"));
            } else {
              replyTerminalState(exchange, jobId, result.value());
            }
          }
        });
  }

  static void replyTerminalState(Exchange exchange, String jobId, TerminalState terminalState) {
    long done = terminalState.done() ? terminalState.tasks() : 0;
    exchange.reply(
        200, Map.of("ref", jobId, "phase", terminalState.phase(), "done", done, "running", 0));
  }

  void replyTerminalState(Exchange exchange, String jobId, Document value) {
    try {
      TerminalState terminalState = TerminalState.parse(value);
      tables.rememberTerminalState(jobId, terminalState);
      replyTerminalState(exchange, jobId, terminalState);
    } catch (BadMessage e) {
      LOG.error("unreadable final record of {}: {}", jobId, e.getMessage());
      UserRequests.replyTryAgain(exchange);
    }
  }

  /**
   * Says that a job is withdrawn, which its record says, once that will be kept whatever fails
   * next. Until then nobody is told anything else of it: someone may have been told already.
   */
  void replyWithdrawn(Exchange exchange, String jobId) {
    confirmations.whenConfirmed(
        jobId,
        confirmed -> {
          TerminalState terminalState = tables.terminalState(jobId);
          Job job = tables.job(jobId);
          if (terminalState != null) {
            replyTerminalState(exchange, jobId, terminalState);
          } else if (!confirmed) {
            UserRequests.replyTryAgain(exchange);
          } else {
            int done = job == null ? 0 : job.doneCount();
            exchange.reply(
                200,
                Map.of("ref", jobId, "phase", TerminalState.WITHDRAWN, "done", done, "running", 0));
          }
        });
  }
}
