package wickdrift.coordination;

import java.util.function.BooleanSupplier;
import wickdrift.bookkeeping.JobHistory;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.settings.Settings;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** The entry point for user requests: submissions, status queries and withdrawals. */
public final class Admission {
  private final StateServiceClient stateService;
  private final Tables tables;
  private final MachineTypes types;
  private final Submissions submissions;
  private final JobStatus status;
  private final Withdrawals withdrawals;

  /** Creates the handlers of user requests. */
  public Admission(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      JobHistory history,
      SchedulingState scheduling,
      MachineTypes types,
      Settings settings,
      Tuning tuning,
      PauseDetector pauseDetector,
      WithdrawalConfirmations confirmations) {
    this.stateService = stateService;
    this.tables = tables;
    this.types = types;
    this.status =
        new JobStatus(timers, stateService, tables, pauseDetector, confirmations, settings, tuning);
    this.withdrawals = new Withdrawals(timers, stateService, tables, status);
    this.submissions =
        new Submissions(
            timers,
            stateService,
            tables,
            new JobRouter(tables, scheduling, types, settings, tuning),
            new DependencyValidator(stateService, tables, history),
            status,
            this::isReady);
  }

  /**
   * Whether requests can be served: the state service is being followed, and the view and the
   * machine types are known.
   */
  public boolean isReady() {
    return stateService.phase() == StateServiceClient.Phase.FOLLOWING
        && tables.view() != null
        && types.isLoaded();
  }

  /** Sets the condition under which submissions are refused. */
  public void refuseSubmissionsWhen(BooleanSupplier condition) {
    submissions.stopAcceptingWhen(condition);
  }

  /** Whether no submission is waiting for its answer. */
  public boolean isIdle() {
    return submissions.isIdle();
  }

  /**
   * Returns the number of status queries answered with 503 because reads of the state service are
   * limited.
   */
  public long shedStatusRequests() {
    return status.shedCount();
  }

  /** Handles a submission of a job, which may be a repeated one. */
  public void submit(Exchange exchange) {
    submissions.submit(exchange);
  }

  /** Handles a query for the status of a job. */
  public void jobStatus(Exchange exchange, String id) {
    status.poll(exchange, id);
  }

  /** Handles a withdrawal of a job. */
  public void withdraw(Exchange exchange, String id) {
    withdrawals.withdraw(exchange, id);
  }
}
