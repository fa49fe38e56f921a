package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Bucket;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.JobHistory;
import wickdrift.bookkeeping.Ledger;
import wickdrift.bookkeeping.Overflow;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TerminalState;
import wickdrift.bookkeeping.Txn;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.settings.Settings;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/** The users' interface: submissions, status and withdrawals. */
public final class Admission {
  private static final Logger LOG = LoggerFactory.getLogger(Admission.class);
  private static final int MAX_QUEUE = 300;
  private static final long BARRIER_MS = 1500;
  private static final int TRIES = 6;
  private static final int BESIDE_MOST = 24;
  private static final long RETRY_MS = 120;
  private static final long GIVE_UP_MS = 3000;
  private static final int LOOK_UPS_MOST = 64;

  /** A user tries for a minute: nobody is sent away for a large part of that. */
  private static final int COME_AGAIN_MOST_S = 8;

  /** A batch that is not answered by then no longer holds up the next one. */
  private static final long OVERTAKE_MS = 250;

  /** So many batches may be out at once. */
  private static final int BATCHES_MOST = 4;

  /** Of a job's record, besides what was submitted. */
  private static final int RECORD_BYTES = 160;

  private record Submission(Exchange exchange, JobSpec spec, long sinceMs) {}

  private final Timers timers;
  private final Ledger ledger;
  private final Tables tables;
  private final JobHistory history;
  private final SchedulingState scheduling;
  private final Types types;
  private final Settings settings;
  private final Tuning tuning;
  private final PauseDetector pauseDetector;
  private final Confirmations confirmations;
  private final AdmissionQueue<Submission> queue = new AdmissionQueue<>(MAX_QUEUE);

  /** By job, who waits for the read after the one that is out. */
  private final Map<String, List<Exchange>> lookUps = new HashMap<>();

  private final Bucket reads;
  private long shed;
  private boolean busy;

  /** Batches that are out, and the newest of them. */
  private int batchesOut;

  private long newestBatch;
  private BooleanSupplier leaving = () -> false;

  public Admission(
      Timers timers,
      Ledger ledger,
      Tables tables,
      JobHistory history,
      SchedulingState scheduling,
      Types types,
      Settings settings,
      Tuning tuning,
      PauseDetector pauseDetector,
      Confirmations confirmations) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.history = history;
    this.scheduling = scheduling;
    this.types = types;
    this.settings = settings;
    this.tuning = tuning;
    this.pauseDetector = pauseDetector;
    this.confirmations = confirmations;
    double share = settings.stateLimits().rps() / (settings.peers().size() + 1);
    this.reads = new Bucket(share * tuning.lookUpShare(), timers.nowMs());
  }

  /** Whether requests can be served at all. */
  public boolean ready() {
    return ledger.phase() == Ledger.Phase.FOLLOWING && tables.view() != null && types.known();
  }

  /** Once that is so, no submission is taken any more. */
  public void leaving(BooleanSupplier now) {
    leaving = now;
  }

  /** Whether no submission waits for its answer. */
  public boolean idle() {
    return !busy && batchesOut == 0 && queue.isEmpty();
  }

  private static void later(Exchange x) {
    x.reply(503, Map.of("error", "try again"), 1);
  }

  /**
   * In how many seconds a submission that is sent away should come again: when half of what waits
   * here now has been taken at the rate that users have, so that the door is never empty meanwhile.
   */
  private int comeAgainS() {
    double seconds = queue.size() / 2.0 / Math.max(1, ledger.userRate());
    return (int) Math.max(1, Math.min(COME_AGAIN_MOST_S, Math.round(seconds)));
  }

  private void tooMany(Exchange x) {
    x.reply(429, Map.of("error", "too many submissions"), comeAgainS());
  }

  // ---- submissions ----

  public void submit(Exchange x) {
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
    if (tables.job(spec.id()) != null || tables.finished(spec.id()) != null) {
      status(x, spec.id());
      return;
    }
    if (!ready() || !ledger.reachable() || leaving.getAsBoolean()) {
      later(x);
      return;
    }
    Submission s = new Submission(x, spec, timers.nowMs());
    if (lacks != null) {
      // A build before this one may have taken it.
      refuse(s, 400, lacks + " is missing");
    } else if (spec.awaits().isEmpty()) {
      enqueue(s);
    } else if (!tables.open(Gate.AWAITS)) {
      // An older build would read the record, and run the job too early.
      later(x);
    } else {
      namesKnown(s);
    }
  }

  private void enqueue(Submission s) {
    Submission gone = queue.add(s.spec, s);
    if (gone != null) {
      tooMany(gone.exchange);
    }
    pump();
  }

  // ---- jobs that await others ----

  /**
   * Takes a submission on once all that it names are known to have been accepted. That one was not
   * is said only when the state service has said so since the question came: the tables lag.
   */
  private void namesKnown(Submission s) {
    if (unknownNames(s.spec).isEmpty()) {
      named(s);
      return;
    }
    ledger.barrier(
        BARRIER_MS,
        ok -> {
          List<String> unknown = unknownNames(s.spec);
          if (unknown.isEmpty()) {
            named(s);
          } else if (!ok) {
            later(s.exchange);
          } else {
            readNames(s, unknown);
          }
        });
  }

  private List<String> unknownNames(JobSpec spec) {
    return spec.awaits().stream()
        .filter(a -> tables.job(a) == null && tables.finished(a) == null)
        .toList();
  }

  private void readNames(Submission s, List<String> unknown) {
    int[] left = {unknown.size()};
    String[] never = new String[1];
    boolean[] unsaid = new boolean[1];
    for (String id : unknown) {
      history.ask(
          id,
          a -> {
            if (a == JobHistory.Answer.NONE) {
              unsaid[0] = true;
            } else if (a == JobHistory.Answer.NOT_OVER
                && tables.job(id) == null
                && tables.finished(id) == null) {
              never[0] = id;
            }
            if (--left[0] > 0) {
              return;
            }
            if (unsaid[0]) {
              later(s.exchange);
            } else if (never[0] != null) {
              refuse(s, 422, "awaits " + never[0] + ", which was never accepted");
            } else {
              named(s);
            }
          });
    }
  }

  /** All names are of accepted jobs. One that is never done can't be awaited. */
  private void named(Submission s) {
    for (String id : s.spec.awaits()) {
      Job j = tables.job(id);
      if (j != null && j.spec().shape() == JobSpec.Shape.SERVICE && !j.withdrawn()) {
        refuse(s, 422, "awaits " + id + ", a service, which is never done");
        return;
      }
    }
    enqueue(s);
  }

  /** Whether a job's record has no room for all names that it awaits. */
  private boolean overflows(JobSpec spec) {
    int most = ledger.limits().usedBytes() - RECORD_BYTES;
    return !spec.awaits().isEmpty() && MessageCodec.jsonSize(spec.toStore()) > most;
  }

  /**
   * Writes the names that a job's record has no room for, in records of their own, before the job
   * is accepted: each transaction is conditional on the job's absence, and who tries again writes
   * the same.
   */
  private void writeNames(Submission s, Overflow more) {
    List<Map.Entry<String, Object>> open =
        new ArrayList<>(more.values(s.spec.awaits(), ledger.limits().usedBytes()).entrySet());
    writeNames(s, more, open);
  }

  private void writeNames(Submission s, Overflow more, List<Map.Entry<String, Object>> open) {
    if (open.isEmpty()) {
      batchOf(s, more);
      return;
    }
    String id = s.spec.id();
    Txn txn = new Txn().when(Job.key(id), 0).when(Job.finalKey(id), 0);
    int n = Math.min(open.size(), ledger.limits().txnOps() / 2);
    open.subList(0, n).forEach(e -> txn.write(e.getKey(), e.getValue()));
    ledger.commit(
        txn,
        Ledger.Rank.USER,
        r -> {
          if (r.outcome() == Ledger.Outcome.OK) {
            writeNames(s, more, open.subList(n, open.size()));
          } else if (r.outcome() == Ledger.Outcome.REFUSED
              && ledger.reachable()
              && timers.nowMs() - s.sinceMs < GIVE_UP_MS) {
            timers.after(RETRY_MS, () -> writeNames(s, more, open));
          } else if (r.outcome() == Ledger.Outcome.FAILED) {
            busy = false;
            status(s.exchange, id);
            pump();
          } else {
            busy = false;
            later(s.exchange);
            pump();
          }
        });
  }

  /** A transaction for one job alone, whose names are written. */
  private void batchOf(Submission s, Overflow more) {
    Txn txn = new Txn();
    put(txn, s.spec, more, new Promised());
    ledger.commit(
        txn,
        Ledger.Rank.USER,
        r -> {
          busy = false;
          accepted(r, Map.of(s.spec.id(), new ArrayList<>(List.of(s))));
        });
  }

  private void put(Txn txn, JobSpec spec, Overflow more, Promised together) {
    String id = spec.id();
    txn.when(Job.key(id), 0).when(Job.finalKey(id), 0);
    String part = route(spec, together);
    together.add(spec, part);
    txn.write(Job.key(id), Job.toStore(spec, more, timers.wallMs(), part, 0));
  }

  /** Why the job can never run, or null. */
  String impossible(JobSpec s) {
    Settings.Team team = Queue.team(settings, s.team());
    if (team == null) {
      return "unknown team";
    }
    if (types.all().stream().noneMatch(t -> t.canHold(s))) {
      return "a task fits no allowed machine type";
    }
    int n = s.shape() == JobSpec.Shape.ARRAY ? 1 : s.tasks();
    if (n > s.zoneLimit() && (s.oneZone() || s.zone() != null || zonesOf(s) < 2)) {
      return "its tasks must be in several zones, and may be in one only";
    }
    if (team.cpusMax() > 0 && n * s.cpus() > team.cpusMax() + FreeCapacity.EPS
        || team.gpusMax() > 0 && n * s.gpus() > team.gpusMax() + FreeCapacity.EPS) {
      return "more than the team's limit";
    }
    return null;
  }

  private long zonesOf(JobSpec s) {
    return types.all().stream()
        .filter(t -> t.canHold(s))
        .flatMap(t -> t.zones().stream())
        .distinct()
        .count();
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
    Promised together = new Promised();
    Txn txn = new Txn();
    while (!queue.isEmpty() && batch.size() < ledger.limits().txnOps()) {
      Submission s = queue.poll();
      String id = s.spec.id();
      if (timers.nowMs() - s.sinceMs > GIVE_UP_MS) {
        s.exchange.reply(503, Map.of("error", "try again"), comeAgainS());
        continue;
      }
      if (tables.job(id) != null || tables.finished(id) != null) {
        status(s.exchange, id);
        continue;
      }
      if (overflows(s.spec) && impossible(s.spec) == null) {
        if (!batch.isEmpty()) {
          queue.back(s.spec, s);
          break;
        }
        // By itself, in several steps: the next ones wait for it.
        writeNames(s, Overflow.of(id, s.spec.awaits(), ledger.limits().usedBytes()));
        return;
      }
      if (!batch.containsKey(id)) {
        put(txn, s.spec, null, together);
      }
      batch.computeIfAbsent(id, k -> new ArrayList<>()).add(s);
    }
    // A job that can never run is refused only if it was not accepted before.
    batch
        .entrySet()
        .removeIf(
            e -> {
              String why = impossible(e.getValue().get(0).spec);
              if (why == null) {
                return false;
              }
              txn.drop(Job.key(e.getKey()));
              txn.drop(Job.finalKey(e.getKey()));
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
        Ledger.Rank.USER,
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

  private void refuse(Submission s, int status, String why) {
    ledger.barrier(
        BARRIER_MS,
        ok -> {
          if (!ok) {
            later(s.exchange);
          } else if (tables.job(s.spec.id()) != null || tables.finished(s.spec.id()) != null) {
            answerStatus(s.exchange, s.spec.id());
          } else {
            ledger.read(
                Job.finalKey(s.spec.id()),
                read -> {
                  if (!read.ok()) {
                    later(s.exchange);
                  } else if (read.value() != null) {
                    answerFinal(s.exchange, s.spec.id(), read.value());
                  } else {
                    s.exchange.reply(status, Map.of("error", why));
                  }
                });
          }
        });
  }

  private void accepted(Ledger.Result r, Map<String, List<Submission>> batch) {
    switch (r.outcome()) {
      case OK ->
          batch.forEach(
              (id, all) ->
                  all.forEach(s -> s.exchange.reply(201, Map.of("ref", id, "phase", "pending"))));
      case FAILED ->
          batch.forEach(
              (id, all) -> {
                boolean known =
                    r.failed().contains(Job.key(id)) || r.failed().contains(Job.finalKey(id));
                for (Submission s : all) {
                  if (known) {
                    status(s.exchange, id);
                  } else {
                    queue.back(s.spec, s);
                  }
                }
              });
      case REFUSED -> {
        if (ledger.reachable()) {
          putBack(batch);
          busy = true;
          timers.after(
              RETRY_MS,
              () -> {
                busy = false;
                pump();
              });
          return;
        }
        batch.values().forEach(l -> l.forEach(s -> later(s.exchange)));
      }
      // Sent again: who finds a job's record there answers by it, and of two that are carried out
      // only one finds it absent.
      case UNKNOWN -> {
        if (ledger.reachable()) {
          putBack(batch);
        } else {
          batch.values().forEach(l -> l.forEach(s -> later(s.exchange)));
        }
      }
    }
    pump();
  }

  /** Back where they were: the oldest is not to give up for those that came later. */
  private void putBack(Map<String, List<Submission>> batch) {
    List<Submission> again = new ArrayList<>();
    batch.values().forEach(again::addAll);
    Collections.reverse(again);
    again.forEach(s -> queue.back(s.spec, s));
  }

  /**
   * The part with most free room for it; gangs and what is large against a part go to the leader.
   */
  private String route(JobSpec s, Promised together) {
    View v = tables.view();
    // A part holds its own zone's machines first: what must be in several is for who sees all.
    boolean manyZones = s.spread() && s.tasks() > 1 && v.partsKeepToZones();
    if (s.shape() == JobSpec.Shape.GANG || manyZones) {
      return Job.LEADER;
    }
    CapacityIndex rooms = scheduling.rooms();
    // Room beside its image, if a part has enough of that for the whole job: elsewhere it would
    // wait for a fetch, which may take longer than its class has to start.
    // The one with most of it, counted far enough that several jobs at once do not meet there.
    String best = v.owner(s.id());
    Promised waiting = scheduling.queue().promised();
    int enough = s.tasks() + BESIDE_MOST;
    int beside = Integer.MIN_VALUE;
    double free = Double.NEGATIVE_INFINITY;
    String freest = best;
    for (String part : inOrder(v, best)) {
      int promised = waiting.besideImage(s, part) + together.besideImage(s, part);
      // Counted no further than that: with more promised the image is no reason to go there.
      int most = enough + Math.min(promised, BESIDE_MOST);
      int n = Math.min(enough, rooms.freeBesideImage(s, part, most) - promised);
      if (n > beside) {
        best = part;
        beside = n;
      }
      double f = rooms.free(s, part) - waiting.tasks(s, part) - together.tasks(s, part);
      if (f > free + FreeCapacity.EPS) {
        freest = part;
        free = f;
      }
    }
    if (beside < s.tasks()) {
      best = freest;
    }
    double total = rooms.machines(s);
    double partMachines = total / v.members().size();
    double wanted = s.tasks() * largestShare(s);
    return total > 0 && wanted > tuning.largeShare() * partMachines ? Job.LEADER : best;
  }

  /** The members, the one that the hash names first: it is taken among equals. */
  private static List<String> inOrder(View v, String first) {
    List<String> all = new ArrayList<>(v.members().keySet());
    all.remove(first);
    all.add(0, first);
    return all;
  }

  private double largestShare(JobSpec s) {
    double share = 0;
    for (TypeInfo t : types.all()) {
      if (t.canHold(s)) {
        share =
            Math.max(
                share,
                Math.max(
                    s.cpus() / t.cpus(),
                    Math.max(t.gpus() > 0 ? s.gpus() / t.gpus() : 0, s.memoryGb() / t.memoryGb())));
      }
    }
    return share;
  }

  // ---- status ----

  /**
   * A user's poll. When this node falls behind, polls are what it leaves out: reports, leases,
   * submissions and withdrawals wait in the same line.
   */
  public void poll(Exchange x, String id) {
    if (pauseDetector.lateMs() > tuning.busyMs() && tables.finished(id) == null) {
      shed++;
      later(x);
    } else {
      status(x, id);
    }
  }

  /** Polls that were answered 503 because this node was busy, or had no read left for them. */
  public long shed() {
    return shed;
  }

  /** Answers from tables that are no older than this request. */
  public void status(Exchange x, String id) {
    TerminalState fin = tables.finished(id);
    if (fin != null) {
      // Final: no node can have told anyone anything newer.
      answerFinal(x, id, fin);
      return;
    }
    if (ledger.phase() != Ledger.Phase.FOLLOWING) {
      later(x);
      return;
    }
    ledger.barrier(
        BARRIER_MS,
        ok -> {
          if (ok) {
            answerStatus(x, id);
          } else {
            later(x);
          }
        });
  }

  private void answerStatus(Exchange x, String id) {
    Job job = tables.job(id);
    if (job == null && tables.finished(id) != null) {
      // It has ended since it was asked for; where that is kept for good it may not stand yet.
      answerFinal(x, id, tables.finished(id));
      return;
    }
    if (job == null) {
      lookUp(x, id);
      return;
    }
    if (job.stage() == Job.Stage.UNCLEAR && !job.withdrawn()) {
      // It may have been withdrawn with one that it awaits, and someone may have been told so.
      later(x);
      return;
    }
    if (job.withdrawn()) {
      tellWithdrawn(x, id);
      return;
    }
    String phase = job.live() > 0 ? "running" : "pending";
    x.reply(200, Map.of("ref", id, "phase", phase, "done", job.done(), "running", job.live()));
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
    } else if (next == null && reads.take(1, 0, timers.nowMs())) {
      read(id, List.of(x));
    } else {
      shed++;
      later(x);
    }
  }

  private void read(String id, List<Exchange> asking) {
    lookUps.put(id, new ArrayList<>());
    ledger.read(
        Job.finalKey(id),
        r -> {
          List<Exchange> next = lookUps.remove(id);
          if (!next.isEmpty()) {
            read(id, next);
          }
          for (Exchange x : asking) {
            if (!r.ok()) {
              later(x);
            } else if (r.value() == null) {
              x.reply(404, Map.of("error", "no such job"));
            } else {
              answerFinal(x, id, r.value());
            }
          }
        });
  }

  private static void answerFinal(Exchange x, String id, TerminalState how) {
    long done = how.done() ? how.tasks() : 0;
    x.reply(200, Map.of("ref", id, "phase", how.phase(), "done", done, "running", 0));
  }

  private void answerFinal(Exchange x, String id, Document value) {
    try {
      TerminalState how = TerminalState.parse(value);
      tables.rememberFinished(id, how);
      answerFinal(x, id, how);
    } catch (BadMessage e) {
      LOG.error("unreadable final record of {}: {}", id, e.getMessage());
      later(x);
    }
  }

  // ---- withdrawals ----

  public void withdraw(Exchange x, String id) {
    if (ledger.phase() != Ledger.Phase.FOLLOWING) {
      later(x);
      return;
    }
    withdraw(x, id, TRIES);
  }

  private void withdraw(Exchange x, String id, int tries) {
    if (tables.finished(id) != null) {
      x.reply(200, Map.of("ref", id, "phase", tables.finished(id).phase()));
      return;
    }
    ledger.barrier(
        BARRIER_MS,
        ok -> {
          Job job = tables.job(id);
          if (!ok || tries == 0) {
            later(x);
          } else if (job == null) {
            answerStatus(x, id);
          } else if (job.withdrawn()) {
            tellWithdrawn(x, id);
          } else {
            commitWithdrawal(x, job, tries);
          }
        });
  }

  private void commitWithdrawal(Exchange x, Job job, int tries) {
    Txn txn =
        new Txn()
            .when(job.key(), job.stamp())
            .write(job.key(), job.toStore(job.part(), timers.wallMs()));
    ledger.commit(
        txn,
        Ledger.Rank.USER,
        r -> {
          switch (r.outcome()) {
            // Whom to ask is known once the tables hold what was placed before.
            case OK ->
                ledger.barrier(
                    BARRIER_MS,
                    ok -> {
                      if (ok) {
                        tellWithdrawn(x, job.id());
                      } else {
                        later(x);
                      }
                    });
            case FAILED -> withdraw(x, job.id(), tries - 1);
            case REFUSED -> {
              if (ledger.reachable()) {
                timers.after(RETRY_MS, () -> withdraw(x, job.id(), tries - 1));
              } else {
                later(x);
              }
            }
            case UNKNOWN -> {
              if (r.settled()) {
                withdraw(x, job.id(), tries - 1);
              } else {
                later(x);
              }
            }
          }
        });
  }

  /**
   * Says that a job is withdrawn, which its record says, once that will be kept whatever fails
   * next. Until then nobody is told anything else of it: someone may have been told already.
   */
  private void tellWithdrawn(Exchange x, String id) {
    confirmations.whenKept(
        id,
        kept -> {
          TerminalState fin = tables.finished(id);
          Job job = tables.job(id);
          if (fin != null) {
            answerFinal(x, id, fin);
          } else if (!kept) {
            later(x);
          } else {
            int done = job == null ? 0 : job.done();
            x.reply(
                200,
                Map.of("ref", id, "phase", TerminalState.WITHDRAWN, "done", done, "running", 0));
          }
        });
  }
}
