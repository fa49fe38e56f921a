package wickdrift.coordination;

import java.util.function.BooleanSupplier;
import wickdrift.bookkeeping.JobHistory;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.settings.Settings;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** The users' interface: submissions, status and withdrawals. */
public final class Admission {
  private final StateServiceClient ledger;
  private final Tables tables;
  private final Types types;
  private final Submissions submissions;
  private final JobStatus status;
  private final Withdrawals withdrawals;

  /** Wires the handlers of users' requests. */
  public Admission(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      JobHistory history,
      SchedulingState scheduling,
      Types types,
      Settings settings,
      Tuning tuning,
      PauseDetector pauseDetector,
      WithdrawalConfirmations confirmations) {
    this.ledger = ledger;
    this.tables = tables;
    this.types = types;
    this.status =
        new JobStatus(timers, ledger, tables, pauseDetector, confirmations, settings, tuning);
    this.withdrawals = new Withdrawals(timers, ledger, tables, status);
    this.submissions =
        new Submissions(
            timers,
            ledger,
            tables,
            new JobRouter(tables, scheduling, types, settings, tuning),
            new DependencyValidator(ledger, tables, history),
            status,
            this::isReady);
  }

  /** Whether requests can be served at all. */
  public boolean isReady() {
    return ledger.phase() == StateServiceClient.Phase.FOLLOWING
        && tables.view() != null
        && types.known();
  }

  /** Once that is so, no submission is taken any more. */
  public void refuseSubmissionsWhen(BooleanSupplier condition) {
    submissions.stopAcceptingWhen(condition);
  }

  /** Whether no submission waits for its answer. */
  public boolean isIdle() {
    return submissions.isIdle();
  }

  /** Questions that were answered 503, as the reads of the state service are limited. */
  public long shedStatusRequests() {
    return status.shedCount();
  }

  /** A job is submitted, perhaps not for the first time. */
  public void submit(Exchange exchange) {
    submissions.submit(exchange);
  }

  /** A user asks how a job stands. */
  public void jobStatus(Exchange exchange, String id) {
    status.poll(exchange, id);
  }

  /** A user cancels a job. */
  public void withdraw(Exchange exchange, String id) {
    withdrawals.withdraw(exchange, id);
  }
}
