package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import wickdrift.bookkeeping.AwaitsOverflow;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.Transaction;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Accepts jobs. Submissions wait in a fair order and are written in batches; each is answered once
 * its record is durable.
 */
final class Submissions {
  private static final int MAX_QUEUE = 300;
  private static final long GIVE_UP_MS = 3000;

  /** A user tries for a minute: nobody is sent away for a large part of that. */
  private static final int COME_AGAIN_MOST_S = 8;

  /** A batch that is not answered by then no longer holds up the next one. */
  private static final long OVERTAKE_MS = 250;

  /** So many batches may be out at once. */
  private static final int BATCHES_MOST = 4;

  /** Of a job's record, besides what was submitted. */
  private static final int RECORD_BYTES = 160;

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final JobRouter router;
  private final DependencyValidator awaited;
  private final JobStatus status;
  private final BooleanSupplier ready;
  private final AdmissionQueue<Submission> queue = new AdmissionQueue<>(MAX_QUEUE);
  private BooleanSupplier leaving = () -> false;

  /** Whether the next batch waits, for more to come or for the one that is out. */
  private boolean busy;

  /** Batches that are out, and the newest of them. */
  private int batchesOut;

  private long newestBatch;

  private final DependencyValidator.Outcome onNames =
      new DependencyValidator.Outcome() {
        @Override
        public void known(Submission s) {
          enqueue(s);
        }

        @Override
        public void refused(Submission s, String why) {
          refuse(s, 422, why);
        }
      };

  /**
   * @param ready whether requests can be served at all
   */
  Submissions(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      JobRouter router,
      DependencyValidator awaited,
      JobStatus status,
      BooleanSupplier ready) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.router = router;
    this.awaited = awaited;
    this.status = status;
    this.ready = ready;
  }

  /** Once that is so, no submission is taken any more. */
  void stopAcceptingWhen(BooleanSupplier now) {
    leaving = now;
  }

  /** Whether no submission waits for its answer. */
  boolean isIdle() {
    return !busy && batchesOut == 0 && queue.isEmpty();
  }

  void submit(Exchange x) {
    JobSpec spec;
    String lacks;
    try {
      Document d = Document.parse(x.body());
      spec = JobSpec.parse(d);
      lacks = JobSpec.lacks(d);
    } catch (BadMessage e) {
      x.reply(400, Map.of("error", e.getMessage()));
      return;
    }
    if (tables.job(spec.id()) != null || tables.terminalState(spec.id()) != null) {
      status.status(x, spec.id());
      return;
    }
    if (!ready.getAsBoolean() || !ledger.reachable() || leaving.getAsBoolean()) {
      UserRequests.later(x);
      return;
    }
    Submission s = new Submission(x, spec, timers.nowMs());
    if (lacks != null) {
      // A build before this one may have taken it.
      refuse(s, 400, lacks + " is missing");
    } else if (spec.awaits().isEmpty()) {
      enqueue(s);
    } else if (!tables.isOpen(Gate.AWAITS)) {
      // An older build would read the record, and run the job too early.
      UserRequests.later(x);
    } else {
      awaited.check(s, onNames);
    }
  }

  /**
   * In how many seconds a submission that is sent away should come again: when half of what waits
   * here now has been taken at the rate that users have, so that the door is never empty meanwhile.
   */
  private int comeAgainS() {
    double seconds = queue.size() / 2.0 / Math.max(1, ledger.guaranteedUserWriteRate());
    return (int) Math.max(1, Math.min(COME_AGAIN_MOST_S, Math.round(seconds)));
  }

  private void tooMany(Exchange x) {
    x.reply(429, Map.of("error", "too many submissions"), comeAgainS());
  }

  private void enqueue(Submission s) {
    Submission gone = queue.offer(s.spec(), s);
    if (gone != null) {
      tooMany(gone.exchange());
    }
    pump();
  }

  /** Whether a job's record has no room for all names that it awaits. */
  private boolean overflows(JobSpec spec) {
    int most = ledger.limits().targetValueBytes() - RECORD_BYTES;
    return !spec.awaits().isEmpty() && MessageCodec.jsonSize(spec.toStore()) > most;
  }

  /**
   * Writes the names that a job's record has no room for, in records of their own, before the job
   * is accepted: each transaction is conditional on the job's absence, and who tries again writes
   * the same.
   */
  private void writeNames(Submission s, AwaitsOverflow more) {
    List<Map.Entry<String, Object>> open =
        new ArrayList<>(
            more.values(s.spec().awaits(), ledger.limits().targetValueBytes()).entrySet());
    writeNames(s, more, open);
  }

  private void writeNames(Submission s, AwaitsOverflow more, List<Map.Entry<String, Object>> open) {
    if (open.isEmpty()) {
      batchOf(s, more);
      return;
    }
    String id = s.spec().id();
    Transaction txn =
        new Transaction().requireStamp(Job.key(id), 0).requireStamp(Job.terminalStateKey(id), 0);
    int n = Math.min(open.size(), ledger.limits().maxTransactionChanges() / 2);
    open.subList(0, n).forEach(e -> txn.write(e.getKey(), e.getValue()));
    ledger.commit(
        txn,
        StateServiceClient.WritePriority.USER,
        r -> {
          if (r.outcome() == StateServiceClient.Outcome.OK) {
            writeNames(s, more, open.subList(n, open.size()));
          } else if (r.outcome() == StateServiceClient.Outcome.REFUSED
              && ledger.reachable()
              && timers.nowMs() - s.sinceMs() < GIVE_UP_MS) {
            timers.after(UserRequests.RETRY_MS, () -> writeNames(s, more, open));
          } else if (r.outcome() == StateServiceClient.Outcome.CONDITION_FAILED) {
            busy = false;
            status.status(s.exchange(), id);
            pump();
          } else {
            busy = false;
            UserRequests.later(s.exchange());
            pump();
          }
        });
  }

  /** A transaction for one job alone, whose names are written. */
  private void batchOf(Submission s, AwaitsOverflow more) {
    Transaction txn = new Transaction();
    put(txn, s.spec(), more, new QueuedDemand());
    ledger.commit(
        txn,
        StateServiceClient.WritePriority.USER,
        r -> {
          busy = false;
          accepted(r, Map.of(s.spec().id(), new ArrayList<>(List.of(s))));
        });
  }

  private void put(Transaction txn, JobSpec spec, AwaitsOverflow more, QueuedDemand together) {
    String id = spec.id();
    txn.requireStamp(Job.key(id), 0).requireStamp(Job.terminalStateKey(id), 0);
    String part = router.route(spec, together);
    together.add(spec, part);
    txn.write(Job.key(id), Job.toStore(spec, more, timers.wallMs(), part, 0));
  }

  private void pump() {
    if (busy || queue.isEmpty()) {
      return;
    }
    busy = true;
    // Submissions that arrive together are accepted in one transaction.
    timers.after(2, this::accept);
  }

  private void accept() {
    Map<String, List<Submission>> batch = new LinkedHashMap<>();
    QueuedDemand together = new QueuedDemand();
    Transaction txn = new Transaction();
    while (!queue.isEmpty() && batch.size() < ledger.limits().maxTransactionChanges()) {
      Submission s = queue.poll();
      String id = s.spec().id();
      if (timers.nowMs() - s.sinceMs() > GIVE_UP_MS) {
        s.exchange().reply(503, Map.of("error", "try again"), comeAgainS());
        continue;
      }
      if (tables.job(id) != null || tables.terminalState(id) != null) {
        status.status(s.exchange(), id);
        continue;
      }
      if (overflows(s.spec()) && router.impossible(s.spec()) == null) {
        if (!batch.isEmpty()) {
          queue.returnToFront(s.spec(), s);
          break;
        }
        // By itself, in several steps: the next ones wait for it.
        writeNames(s, AwaitsOverflow.of(id, s.spec().awaits(), ledger.limits().targetValueBytes()));
        return;
      }
      if (!batch.containsKey(id)) {
        put(txn, s.spec(), null, together);
      }
      batch.computeIfAbsent(id, k -> new ArrayList<>()).add(s);
    }
    // A job that can never run is refused only if it was not accepted before.
    batch
        .entrySet()
        .removeIf(
            e -> {
              String why = router.impossible(e.getValue().get(0).spec());
              if (why == null) {
                return false;
              }
              txn.remove(Job.key(e.getKey()));
              txn.remove(Job.terminalStateKey(e.getKey()));
              e.getValue().forEach(s -> refuse(s, 422, why));
              return true;
            });
    if (batch.isEmpty()) {
      busy = false;
      pump();
      return;
    }
    batchesOut++;
    long number = ++newestBatch;
    ledger.commit(
        txn,
        StateServiceClient.WritePriority.USER,
        r -> {
          batchesOut--;
          // One that was overtaken holds up nobody any more.
          busy &= number != newestBatch;
          accepted(r, batch);
        });
    timers.after(OVERTAKE_MS, () -> overtake(number));
  }

  /** Lets the next batch go, where this one's answer is late or lost. */
  private void overtake(long number) {
    if (busy && number == newestBatch && batchesOut > 0 && batchesOut < BATCHES_MOST) {
      busy = false;
      pump();
    }
  }

  private void refuse(Submission s, int code, String why) {
    ledger.barrier(
        UserRequests.BARRIER_MS,
        ok -> {
          if (!ok) {
            UserRequests.later(s.exchange());
          } else if (tables.job(s.spec().id()) != null
              || tables.terminalState(s.spec().id()) != null) {
            status.answerStatus(s.exchange(), s.spec().id());
          } else {
            ledger.read(
                Job.terminalStateKey(s.spec().id()),
                read -> {
                  if (!read.ok()) {
                    UserRequests.later(s.exchange());
                  } else if (read.value() != null) {
                    status.answerFinal(s.exchange(), s.spec().id(), read.value());
                  } else {
                    s.exchange().reply(code, Map.of("error", why));
                  }
                });
          }
        });
  }

  private void accepted(StateServiceClient.CommitResult r, Map<String, List<Submission>> batch) {
    switch (r.outcome()) {
      case OK ->
          batch.forEach(
              (id, all) ->
                  all.forEach(s -> s.exchange().reply(201, Map.of("ref", id, "phase", "pending"))));
      case CONDITION_FAILED ->
          batch.forEach(
              (id, all) -> {
                boolean known =
                    r.failedKeys().contains(Job.key(id))
                        || r.failedKeys().contains(Job.terminalStateKey(id));
                for (Submission s : all) {
                  if (known) {
                    status.status(s.exchange(), id);
                  } else {
                    queue.returnToFront(s.spec(), s);
                  }
                }
              });
      case REFUSED -> {
        if (ledger.reachable()) {
          putBack(batch);
          busy = true;
          timers.after(
              UserRequests.RETRY_MS,
              () -> {
                busy = false;
                pump();
              });
          return;
        }
        batch.values().forEach(l -> l.forEach(s -> UserRequests.later(s.exchange())));
      }
      // Sent again: who finds a job's record there answers by it, and of two that are carried out
      // only one finds it absent.
      case UNKNOWN -> {
        if (ledger.reachable()) {
          putBack(batch);
        } else {
          batch.values().forEach(l -> l.forEach(s -> UserRequests.later(s.exchange())));
        }
      }
      default -> throw new AssertionError(r.outcome());
    }
    pump();
  }

  /** Back where they were: the oldest is not to give up for those that came later. */
  private void putBack(Map<String, List<Submission>> batch) {
    List<Submission> again = new ArrayList<>();
    batch.values().forEach(again::addAll);
    Collections.reverse(again);
    again.forEach(s -> queue.returnToFront(s.spec(), s));
  }
}
