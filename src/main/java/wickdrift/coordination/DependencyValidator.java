package wickdrift.coordination;

import java.util.List;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.JobHistory;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.JobSpec;

/** Whether the jobs that a submission awaits were accepted, and can be awaited. */
final class DependencyValidator {

  /** What was found. Where nothing can be said yet the user is sent away. */
  interface Callback {
    void onValid(Submission submission);

    void onInvalid(Submission submission, String reason);
  }

  private final StateServiceClient stateService;
  private final Tables tables;
  private final JobHistory history;

  DependencyValidator(StateServiceClient stateService, Tables tables, JobHistory history) {
    this.stateService = stateService;
    this.tables = tables;
    this.history = history;
  }

  /**
   * Takes a submission on once all that it names are known to have been accepted. That one was not
   * is said only when the state service has said so since the question came: the tables lag.
   */
  void validate(Submission submission, Callback callback) {
    if (unknownJobs(submission.spec()).isEmpty()) {
      rejectServices(submission, callback);
      return;
    }
    stateService.barrier(
        UserRequests.BARRIER_TIMEOUT_MS,
        ok -> {
          List<String> unknown = unknownJobs(submission.spec());
          if (unknown.isEmpty()) {
            rejectServices(submission, callback);
          } else if (!ok) {
            UserRequests.replyTryAgain(submission.exchange());
          } else {
            queryHistory(submission, unknown, callback);
          }
        });
  }

  private List<String> unknownJobs(JobSpec spec) {
    return spec.awaits().stream()
        .filter(jobId -> tables.job(jobId) == null && tables.terminalState(jobId) == null)
        .toList();
  }

  private void queryHistory(Submission submission, List<String> unknown, Callback callback) {
    int[] remaining = {unknown.size()};
    String[] neverAccepted = new String[1];
    boolean[] undetermined = new boolean[1];
    for (String jobId : unknown) {
      history.lookUp(
          jobId,
          answer -> {
            if (answer == JobHistory.LookupResult.UNAVAILABLE) {
              undetermined[0] = true;
            } else if (answer == JobHistory.LookupResult.NOT_TERMINAL
                && tables.job(jobId) == null
                && tables.terminalState(jobId) == null) {
              neverAccepted[0] = jobId;
            }
            if (--remaining[0] > 0) {
              return;
            }
            if (undetermined[0]) {
              UserRequests.replyTryAgain(submission.exchange());
            } else if (neverAccepted[0] != null) {
              callback.onInvalid(
                  submission, "awaits " + neverAccepted[0] + ", which was never accepted");
            } else {
              rejectServices(submission, callback);
            }
          });
    }
  }

  /** All names are of accepted jobs. One that is never done can't be awaited. */
  private void rejectServices(Submission submission, Callback callback) {
    for (String jobId : submission.spec().awaits()) {
      Job job = tables.job(jobId);
      if (job != null && job.spec().shape() == JobSpec.Shape.SERVICE && !job.withdrawn()) {
        callback.onInvalid(submission, "awaits " + jobId + ", a service, which is never done");
        return;
      }
    }
    callback.onValid(submission);
  }
}
