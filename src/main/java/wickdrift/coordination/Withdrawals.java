package wickdrift.coordination;

import java.util.Map;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.Transaction;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** Cancels jobs for their users. */
final class Withdrawals {
  private static final int TRIES = 6;

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final JobStatus status;

  Withdrawals(Timers timers, StateServiceClient ledger, Tables tables, JobStatus status) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.status = status;
  }

  void withdraw(Exchange x, String id) {
    if (ledger.phase() != StateServiceClient.Phase.FOLLOWING) {
      UserRequests.later(x);
      return;
    }
    withdraw(x, id, TRIES);
  }

  private void withdraw(Exchange x, String id, int tries) {
    if (tables.terminalState(id) != null) {
      x.reply(200, Map.of("ref", id, "phase", tables.terminalState(id).phase()));
      return;
    }
    ledger.barrier(
        UserRequests.BARRIER_MS,
        ok -> {
          Job job = tables.job(id);
          if (!ok || tries == 0) {
            UserRequests.later(x);
          } else if (job == null) {
            status.answerStatus(x, id);
          } else if (job.withdrawn()) {
            status.tellWithdrawn(x, id);
          } else {
            commitWithdrawal(x, job, tries);
          }
        });
  }

  private void commitWithdrawal(Exchange x, Job job, int tries) {
    Transaction txn =
        new Transaction()
            .requireStamp(job.key(), job.stamp())
            .write(job.key(), job.toStore(job.partition(), timers.wallMs()));
    ledger.commit(
        txn,
        StateServiceClient.WritePriority.USER,
        r -> {
          switch (r.outcome()) {
            // Whom to ask is known once the tables hold what was placed before.
            case OK ->
                ledger.barrier(
                    UserRequests.BARRIER_MS,
                    ok -> {
                      if (ok) {
                        status.tellWithdrawn(x, job.id());
                      } else {
                        UserRequests.later(x);
                      }
                    });
            case CONDITION_FAILED -> withdraw(x, job.id(), tries - 1);
            case REFUSED -> {
              if (ledger.reachable()) {
                timers.after(UserRequests.RETRY_MS, () -> withdraw(x, job.id(), tries - 1));
              } else {
                UserRequests.later(x);
              }
            }
            case UNKNOWN -> {
              if (r.settled()) {
                withdraw(x, job.id(), tries - 1);
              } else {
                UserRequests.later(x);
              }
            }
            default -> throw new AssertionError(r.outcome());
          }
        });
  }
}
