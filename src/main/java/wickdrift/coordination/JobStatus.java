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
  private static final int LOOK_UPS_MOST = 64;

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final PauseDetector pauseDetector;
  private final WithdrawalConfirmations confirmations;
  private final Tuning tuning;

  /** By job, who waits for the read after the one that is out. */
  private final Map<String, List<Exchange>> lookUps = new HashMap<>();

  private final TokenBucket reads;
  private long shedCount;

  JobStatus(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      PauseDetector pauseDetector,
      WithdrawalConfirmations confirmations,
      Settings settings,
      Tuning tuning) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.pauseDetector = pauseDetector;
    this.confirmations = confirmations;
    this.tuning = tuning;
    double share = settings.stateLimits().rps() / (settings.peers().size() + 1);
    this.reads = new TokenBucket(share * tuning.lookUpShare(), timers.nowMs());
  }

  /** Questions that were answered 503, as the reads of the state service are limited. */
  long shedCount() {
    return shedCount;
  }

  /**
   * A user's poll. When this node falls behind, polls are what it leaves out: reports, leases,
   * submissions and withdrawals wait in the same line.
   */
  void poll(Exchange x, String id) {
    if (pauseDetector.timerDelayMs() > tuning.busyMs() && tables.terminalState(id) == null) {
      shedCount++;
      UserRequests.later(x);
    } else {
      status(x, id);
    }
  }

  /** Answers from tables that are no older than this request. */
  void status(Exchange x, String id) {
    TerminalState fin = tables.terminalState(id);
    if (fin != null) {
      // Final: no node can have told anyone anything newer.
      answerFinal(x, id, fin);
      return;
    }
    if (ledger.phase() != StateServiceClient.Phase.FOLLOWING) {
      UserRequests.later(x);
      return;
    }
    ledger.barrier(
        UserRequests.BARRIER_MS,
        ok -> {
          if (ok) {
            answerStatus(x, id);
          } else {
            UserRequests.later(x);
          }
        });
  }

  void answerStatus(Exchange x, String id) {
    Job job = tables.job(id);
    if (job == null && tables.terminalState(id) != null) {
      // It has ended since it was asked for; where that is kept for good it may not stand yet.
      answerFinal(x, id, tables.terminalState(id));
      return;
    }
    if (job == null) {
      lookUp(x, id);
      return;
    }
    if (job.dependencyState() == Job.DependencyState.UNRESOLVED && !job.withdrawn()) {
      // It may have been withdrawn with one that it awaits, and someone may have been told so.
      UserRequests.later(x);
      return;
    }
    if (job.withdrawn()) {
      tellWithdrawn(x, id);
      return;
    }
    String phase = job.liveCount() > 0 ? "running" : "pending";
    x.reply(
        200,
        Map.of("ref", id, "phase", phase, "done", job.doneCount(), "running", job.liveCount()));
  }

  /**
   * What is in no table is read from the store, and so many a second at most: users also ask for
   * jobs that no one has submitted, as often as they like. Who asks while a read is out shares the
   * next one: the one that is out may be older than the question.
   */
  private void lookUp(Exchange x, String id) {
    List<Exchange> next = lookUps.get(id);
    if (next != null && next.size() < LOOK_UPS_MOST) {
      next.add(x);
    } else if (next == null && reads.tryAcquire(1, 0, timers.nowMs())) {
      read(id, List.of(x));
    } else {
      shedCount++;
      UserRequests.later(x);
    }
  }

  private void read(String id, List<Exchange> asking) {
    lookUps.put(id, new ArrayList<>());
    ledger.read(
        Job.terminalStateKey(id),
        r -> {
          List<Exchange> next = lookUps.remove(id);
          if (!next.isEmpty()) {
            read(id, next);
          }
          for (Exchange x : asking) {
            if (!r.ok()) {
              UserRequests.later(x);
            } else if (r.value() == null) {
              x.reply(404, Map.of("error", "no such job"));
            } else {
              answerFinal(x, id, r.value());
            }
          }
        });
  }

  static void answerFinal(Exchange x, String id, TerminalState how) {
    long done = how.done() ? how.tasks() : 0;
    x.reply(200, Map.of("ref", id, "phase", how.phase(), "done", done, "running", 0));
  }

  void answerFinal(Exchange x, String id, Document value) {
    try {
      TerminalState how = TerminalState.parse(value);
      tables.rememberTerminalState(id, how);
      answerFinal(x, id, how);
    } catch (BadMessage e) {
      LOG.error("unreadable final record of {}: {}", id, e.getMessage());
      UserRequests.later(x);
    }
  }

  /**
   * Says that a job is withdrawn, which its record says, once that will be kept whatever fails
   * next. Until then nobody is told anything else of it: someone may have been told already.
   */
  void tellWithdrawn(Exchange x, String id) {
    confirmations.whenKept(
        id,
        kept -> {
          TerminalState fin = tables.terminalState(id);
          Job job = tables.job(id);
          if (fin != null) {
            answerFinal(x, id, fin);
          } else if (!kept) {
            UserRequests.later(x);
          } else {
            int done = job == null ? 0 : job.doneCount();
            x.reply(
                200,
                Map.of("ref", id, "phase", TerminalState.WITHDRAWN, "done", done, "running", 0));
          }
        });
  }
}
