package wickdrift.coordination;

import java.util.List;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.JobHistory;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.protocol.JobSpec;

/** Checks that the jobs that a submission awaits were accepted and can complete. */
final class DependencyValidator {

  /**
   * Receives the result of a validation. It is not called when the result can't be determined yet;
   * the user is then asked to try again.
   */
  interface Callback {
    /** Called when all awaited jobs were accepted and can complete. */
    void onValid(Submission submission);

    /** Called when an awaited job was never accepted or can't complete. */
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
   * Validates the jobs that a submission awaits. A job counts as never accepted only by an answer
   * of the state service that is newer than the submission, because the tables lag behind it.
   */
  void validate(Submission submission, Callback callback) {
    if (unknownJobs(submission.spec()).isEmpty()) {
      checkCanComplete(submission, callback);
      return;
    }
    stateService.barrier(
        UserRequests.BARRIER_TIMEOUT_MS,
        ok -> {
          List<String> unknown = unknownJobs(submission.spec());
          if (unknown.isEmpty()) {
            checkCanComplete(submission, callback);
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
              checkCanComplete(submission, callback);
            }
          });
    }
  }

  /**
   * Reports whether all awaited jobs, which are known to be accepted, can complete. A service does
   * not complete unless it is withdrawn.
   */
  private void checkCanComplete(Submission submission, Callback callback) {
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
