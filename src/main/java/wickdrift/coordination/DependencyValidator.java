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
  interface Outcome {
    void known(Submission s);

    void refused(Submission s, String why);
  }

  private final StateServiceClient ledger;
  private final Tables tables;
  private final JobHistory history;

  DependencyValidator(StateServiceClient ledger, Tables tables, JobHistory history) {
    this.ledger = ledger;
    this.tables = tables;
    this.history = history;
  }

  /**
   * Takes a submission on once all that it names are known to have been accepted. That one was not
   * is said only when the state service has said so since the question came: the tables lag.
   */
  void check(Submission s, Outcome outcome) {
    if (unknownNames(s.spec()).isEmpty()) {
      named(s, outcome);
      return;
    }
    ledger.barrier(
        UserRequests.BARRIER_MS,
        ok -> {
          List<String> unknown = unknownNames(s.spec());
          if (unknown.isEmpty()) {
            named(s, outcome);
          } else if (!ok) {
            UserRequests.later(s.exchange());
          } else {
            readNames(s, unknown, outcome);
          }
        });
  }

  private List<String> unknownNames(JobSpec spec) {
    return spec.awaits().stream()
        .filter(a -> tables.job(a) == null && tables.terminalState(a) == null)
        .toList();
  }

  private void readNames(Submission s, List<String> unknown, Outcome outcome) {
    int[] left = {unknown.size()};
    String[] never = new String[1];
    boolean[] unsaid = new boolean[1];
    for (String id : unknown) {
      history.lookUp(
          id,
          a -> {
            if (a == JobHistory.LookupResult.UNAVAILABLE) {
              unsaid[0] = true;
            } else if (a == JobHistory.LookupResult.NOT_TERMINAL
                && tables.job(id) == null
                && tables.terminalState(id) == null) {
              never[0] = id;
            }
            if (--left[0] > 0) {
              return;
            }
            if (unsaid[0]) {
              UserRequests.later(s.exchange());
            } else if (never[0] != null) {
              outcome.refused(s, "awaits " + never[0] + ", which was never accepted");
            } else {
              named(s, outcome);
            }
          });
    }
  }

  /** All names are of accepted jobs. One that is never done can't be awaited. */
  private void named(Submission s, Outcome outcome) {
    for (String id : s.spec().awaits()) {
      Job j = tables.job(id);
      if (j != null && j.spec().shape() == JobSpec.Shape.SERVICE && !j.withdrawn()) {
        outcome.refused(s, "awaits " + id + ", a service, which is never done");
        return;
      }
    }
    outcome.known(s);
  }
}
