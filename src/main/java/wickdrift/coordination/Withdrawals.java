package wickdrift.coordination;

import java.util.Map;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.Transaction;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** Handles users' requests to withdraw jobs. */
final class Withdrawals {
  private static final int MAX_ATTEMPTS = 6;

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final JobStatus status;

  Withdrawals(Timers timers, StateServiceClient stateService, Tables tables, JobStatus status) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.status = status;
  }

  /** Withdraws a job. The reply is 503 if the withdrawal is not durable and confirmed in time. */
  void withdraw(Exchange exchange, String jobId) {
    if (stateService.phase() != StateServiceClient.Phase.FOLLOWING) {
      UserRequests.replyTryAgain(exchange);
      return;
    }
    withdraw(exchange, jobId, MAX_ATTEMPTS);
  }

  private void withdraw(Exchange exchange, String jobId, int attemptsLeft) {
    if (tables.terminalState(jobId) != null) {
      exchange.reply(200, Map.of("ref", jobId, "phase", tables.terminalState(jobId).phase()));
      return;
    }
    stateService.barrier(
        UserRequests.BARRIER_TIMEOUT_MS,
        ok -> {
          Job job = tables.job(jobId);
          if (!ok || attemptsLeft == 0) {
            UserRequests.replyTryAgain(exchange);
          } else if (job == null) {
            status.replyFromTables(exchange, jobId);
          } else if (job.withdrawn()) {
            status.replyWithdrawn(exchange, jobId);
          } else {
            commitWithdrawal(exchange, job, attemptsLeft);
          }
        });
  }

  private void commitWithdrawal(Exchange exchange, Job job, int attemptsLeft) {
    Transaction transaction =
        new Transaction()
            .requireStamp(job.key(), job.stamp())
            .write(job.key(), job.toStore(job.partition(), timers.wallMs()));
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.USER,
        result -> {
          switch (result.outcome()) {
            // The machines to confirm are known once the tables hold all earlier placements.
            case OK ->
                stateService.barrier(
                    UserRequests.BARRIER_TIMEOUT_MS,
                    ok -> {
                      if (ok) {
                        status.replyWithdrawn(exchange, job.id());
                      } else {
                        UserRequests.replyTryAgain(exchange);
                      }
                    });
            case CONDITION_FAILED -> withdraw(exchange, job.id(), attemptsLeft - 1);
            case REFUSED -> {
              if (stateService.isReachable()) {
                timers.after(
                    UserRequests.RETRY_DELAY_MS,
                    () -> withdraw(exchange, job.id(), attemptsLeft - 1));
              } else {
                UserRequests.replyTryAgain(exchange);
              }
            }
            case REJECTED -> UserRequests.replyTryAgain(exchange);
            case UNKNOWN -> {
              if (result.settled()) {
                withdraw(exchange, job.id(), attemptsLeft - 1);
              } else {
                UserRequests.replyTryAgain(exchange);
              }
            }
            default -> throw new AssertionError(result.outcome());
          }
        });
  }
}
