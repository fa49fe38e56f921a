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
 * Answers users' requests for the status of jobs. It answers from tables that are at least as
 * recent as the request, so that no controller answers with an older state than another one did.
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

  /** Requests that wait for the next read of a terminal state, by job, while one is in flight. */
  private final Map<String, List<Exchange>> lookupWaiters = new HashMap<>();

  private final TokenBucket readBudget;
  private long shedCount;

  /** Creates the service; its budget for reads is a fraction of this node's request limit. */
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
    this.readBudget = new TokenBucket(readsPerSecond * tuning.statusReadShare(), timers.nowMs());
  }

  /** Returns the number of requests that were answered 503 because of load or the read budget. */
  long shedCount() {
    return shedCount;
  }

  /**
   * Handles a user's poll. When this node is overloaded it sheds polls first, except for jobs whose
   * terminal state is known, because reports, leases, submissions and withdrawals wait for the same
   * event loop.
   */
  void poll(Exchange exchange, String jobId) {
    if (pauseDetector.timerDelayMs() > tuning.statusSheddingDelayMs()
        && tables.terminalState(jobId) == null) {
      shedCount++;
      UserRequests.replyTryAgain(exchange);
    } else {
      replyStatus(exchange, jobId);
    }
  }

  /** Replies with a job's status from tables that are at least as recent as this call. */
  void replyStatus(Exchange exchange, String jobId) {
    TerminalState terminalState = tables.terminalState(jobId);
    if (terminalState != null) {
      // A terminal state never changes, so no node can have answered with a newer one.
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

  /** Replies with a job's status from the tables as they are; the caller ensures their age. */
  void replyFromTables(Exchange exchange, String jobId) {
    Job job = tables.job(jobId);
    if (job == null && tables.terminalState(jobId) != null) {
      // The job ended after the request; its terminal state may not be stored yet.
      replyTerminalState(exchange, jobId, tables.terminalState(jobId));
      return;
    }
    if (job == null) {
      lookUpTerminalState(exchange, jobId);
      return;
    }
    if (job.dependencyState() == Job.DependencyState.UNRESOLVED && !job.withdrawn()) {
      // The job may have been withdrawn together with a job that it awaits, and another request may
      // have been answered so.
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
   * Reads the terminal state of a job that is not in the tables. The rate of these reads is
   * limited, because users may request jobs that were never submitted, as often as they like.
   * Requests that arrive during a read share the next one, because the result of the one in flight
   * may be older than the request.
   */
  private void lookUpTerminalState(Exchange exchange, String jobId) {
    List<Exchange> waiters = lookupWaiters.get(jobId);
    if (waiters != null && waiters.size() < MAX_WAITERS_PER_LOOKUP) {
      waiters.add(exchange);
    } else if (waiters == null && readBudget.tryAcquire(1, 0, timers.nowMs())) {
      readTerminalState(jobId, List.of(exchange));
    } else {
      shedCount++;
      UserRequests.replyTryAgain(exchange);
    }
  }

  private void readTerminalState(String jobId, List<Exchange> requests) {
    lookupWaiters.put(jobId, new ArrayList<>());
    stateService.read(
        Job.terminalStateKey(jobId),
        result -> {
          List<Exchange> waiters = lookupWaiters.remove(jobId);
          if (!waiters.isEmpty()) {
            readTerminalState(jobId, waiters);
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

  /** Replies with a job's terminal state. */
  static void replyTerminalState(Exchange exchange, String jobId, TerminalState terminalState) {
    long done = terminalState.done() ? terminalState.tasks() : 0;
    exchange.reply(
        200, Map.of("ref", jobId, "phase", terminalState.phase(), "done", done, "running", 0));
  }

  /** Replies with a job's stored terminal state, and keeps it in the tables. */
  void replyTerminalState(Exchange exchange, String jobId, Document value) {
    try {
      TerminalState terminalState = TerminalState.parse(value);
      tables.rememberTerminalState(jobId, terminalState);
      replyTerminalState(exchange, jobId, terminalState);
    } catch (BadMessage e) {
      LOG.error("unreadable terminal state: job={}, error={}", jobId, e.getMessage());
      UserRequests.replyTryAgain(exchange);
    }
  }

  /**
   * Replies that a job is withdrawn once the withdrawal is confirmed. Until then no other status is
   * given, because another request may have been answered that the job is withdrawn.
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
