package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Ledger;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MalformedMessages;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Order;
import wickdrift.protocol.Report;
import wickdrift.transport.Caller;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Answers the workers of this node's part. Orders follow from the tables alone: what should be on a
 * machine against what its report says is there, so any of them may be lost or repeated.
 */
public final class Reporting {
  private static final Logger LOG = LoggerFactory.getLogger(Reporting.class);
  private static final long WATCH_MS = 500;
  private static final int MAX_ORDERS = 400;

  private static final long DIRECT_MS = 3000;

  /** A command that was sent straight and in answers has come by then, or does not come. */
  private static final long IGNORED_MS = 3500;

  private static final long UNCERTAIN_MS = 5000;
  private static final long BEGUN_ANEW_MS = 2000;
  private static final long CATCH_UP_MS = 1000;
  private static final int WAITS_MOST = 12;

  /**
   * The last run command for a task, by the report it followed.
   *
   * @param seen a report had it
   * @param tenure of the worker then: what is sent in one is void in the next
   * @param sinceMs when the first was sent
   */
  private record Sent(int attempt, long tick, boolean seen, long tenure, long sinceMs) {}

  private record Try(String task, int attempt) {}

  /** A run sent straight to a worker that may yet arrive, under this epoch and tenure. */
  private record Loose(long epoch, long tenure, long sinceMs) {}

  /** What was sent straight to one worker. */
  private static final class Direct {
    boolean inFlight;
    long probeAtMs;
    final Map<Try, Loose> loose = new HashMap<>();

    /** The newest that was known when the last was sent: an answer to it can't be older. */
    private Report known;

    void sent(Report newest) {
      inFlight = true;
      known = newest;
    }

    boolean olderThanKnown(Report r) {
      return known != null && isLate(r, known);
    }

    final Map<Try, Long> halted = new HashMap<>();
  }

  private final Timers timers;
  private final Ledger ledger;
  private final Tables tables;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final Tuning tuning;
  private final String node;
  private final Caller caller;
  private final Relay relay;
  private final PauseDetector pauseDetector;
  private final Zones zones;
  private final MalformedMessages malformed;

  /** Machines that were told of their owner in this view. */
  private final Set<String> sentAway = new HashSet<>();

  /** Machines of our part that have not reported to us in this view. */
  private final Set<String> unheard = new HashSet<>();

  private final Map<Machine, Map<String, Sent>> runs = new HashMap<>();

  /** How often a gang's members were told to go on waiting. */
  private final Map<Machine, Map<Try, Integer>> waits = new HashMap<>();

  private final Map<Machine, Direct> directs = new HashMap<>();
  private View current;
  private View before;
  private String viewLeader;
  private long viewEpoch;
  private long viewSinceMs;

  private final long leaseMs;
  private Set<String> owned = new HashSet<>();

  /** Answers no report before the tables are loaded. */
  public Reporting(
      Timers timers,
      Ledger ledger,
      Tables tables,
      Membership membership,
      TransactionPipeline pipeline,
      Tuning tuning,
      Caller caller,
      Relay relay,
      PauseDetector pauseDetector,
      Zones zones,
      long leaseMs,
      String node,
      MalformedMessages malformed) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.membership = membership;
    this.pipeline = pipeline;
    this.tuning = tuning;
    this.caller = caller;
    this.relay = relay;
    this.pauseDetector = pauseDetector;
    this.zones = zones;
    this.leaseMs = leaseMs;
    this.node = node;
    this.malformed = malformed;
  }

  public void start() {
    watch();
  }

  // ---- a new view ----

  /** Called after the tables changed, with the machines that did. */
  public void tablesChanged(List<Machine> changed) {
    View v = tables.view();
    if (v != null && v.epoch() != viewEpoch) {
      viewChanged(v);
    }
    if (v != null && membership.standing() == Membership.Standing.MEMBER) {
      for (Machine m : changed) {
        if (owned.contains(m.name()) && m.takeChanged()) {
          direct(m, true);
        }
      }
    }
  }

  private void viewChanged(View v) {
    // Of views in between nothing is known: someone else may have owned any of our machines, and
    // have answered its worker, as when we stood still meanwhile.
    boolean skipped = v.epoch() > viewEpoch + 1;
    before = current;
    current = v;
    viewEpoch = v.epoch();
    sentAway.clear();
    viewSinceMs = timers.nowMs();
    LOG.info("epoch {}: members {}, leader {}", v.epoch(), v.members().keySet(), v.leader());
    boolean leads = v.leader().equals(node);
    boolean gainedLead = leads && !v.leader().equals(viewLeader);
    boolean joined = owned.isEmpty();
    viewLeader = v.leader();
    Set<String> now = new HashSet<>();
    unheard.clear();
    for (Machine m : tables.machines()) {
      m.synced(false);
      if (node.equals(m.owner(v))) {
        now.add(m.name());
        if (skipped || !wasOurs(m)) {
          // Its owner until now may go on answering it for as long as the grace allows.
          m.forgetReports(viewSinceMs + tuning.graceMs(), viewSinceMs);
          runs.remove(m);
        }
        if (m.report() == null && m.phase() == Machine.Phase.UP) {
          unheard.add(m.name());
        }
      } else {
        m.forgetReports(0, viewSinceMs);
        runs.remove(m);
        waits.remove(m);
        directs.remove(m);
      }
    }
    owned = now;
    pipeline.newView();
    // Whoever takes over places nothing on what it took over until reports had time to come in, or
    // all known machines have reported. A machine takes no task before it has reported, so a node
    // that had a part goes on with that; one that is new, and one that is new as leader, wait.
    if (joined) {
      pipeline.hold(viewSinceMs + tuning.settleMs());
    }
    if (gainedLead) {
      pipeline.holdLead(viewSinceMs + tuning.settleMs());
    }
  }

  /**
   * Whether a machine was ours until this change of view. One whose zone was not known at the last
   * change may have been counted as ours by its name alone, and its zone's controllers have
   * answered it since: to take its silence here for its own would end a lease that they renew.
   */
  private boolean wasOurs(Machine m) {
    return owned.contains(m.name())
        && (before == null || node.equals(before.owner(m.name(), m.zone())));
  }

  // ---- reports ----

  public void hello(Exchange x) {
    hello(x, true);
  }

  /** A report that a peer passed on: never passed on again. */
  public void relayed(Exchange x) {
    hello(x, false);
  }

  private void hello(Exchange x, boolean mayRelay) {
    if (!membership.caughtUp()) {
      // After a pause: an answer under an epoch that was superseded meanwhile would hold the worker
      // here while its lease runs out. The state service being away, the grace decides.
      ledger.barrier(CATCH_UP_MS, ok -> answer(x, mayRelay));
      return;
    }
    answer(x, mayRelay);
  }

  private void answer(Exchange x, boolean mayRelay) {
    Report r;
    try {
      r = Report.parse(Document.parse(x.body()));
    } catch (BadMessage e) {
      malformed.note(MalformedMessages.Sender.WORKER, "report", e);
      x.reply(400, Map.of("error", e.getMessage()));
      return;
    }
    zones.heard(r.zone(), timers.nowMs());
    View v = tables.view();
    if (v == null || ledger.phase() != Ledger.Phase.FOLLOWING) {
      x.reply(503, null, 1);
      return;
    }
    if (r.epoch() > v.epoch() || membership.outdated()) {
      // Someone else commands by now: catch up, and let the worker find them.
      ledger.barrier(2000, ok -> {});
      x.reply(421, Map.of());
      return;
    }
    Membership.Standing standing = membership.standing();
    String owner = v.owner(r.machine(), r.zone());
    if (!owner.equals(node)) {
      // A worker that knows this epoch has been answered by its owner, and has left it: it can't
      // reach it. The owner may be well otherwise, so the report is passed on.
      boolean left =
          r.epoch() == v.epoch()
              || sentAway.contains(r.machine())
              // Answered by it under the view before, too.
              || before != null
                  && r.epoch() == before.epoch()
                  && owner.equals(before.owner(r.machine(), r.zone()));
      if (left && mayRelay && relay.pass(x, owner)) {
        return;
      }
      sentAway.add(r.machine());
      // A spare knows as much as a member; who is cut off from the store may not.
      boolean knows = standing == Membership.Standing.MEMBER || membership.spare();
      x.reply(421, knows ? Map.of("upstream", owner) : Map.of());
      return;
    }
    if (standing == Membership.Standing.OUTSIDE) {
      x.reply(503, null, 1);
      return;
    }
    Machine m = tables.machineOrNew(r.machine());
    if (m.hasOwnNewerThan(r)) {
      // A copy: its worker has long had an answer, or has given up. It proves nothing, and an
      // answer that would renew a lease is not given. Or its machine was back so soon that nobody
      // missed it, and its worker counts from one again: only an answer of its own can tell.
      probe(m, r.tenure());
      x.reply(503, null, 1);
      return;
    }
    Report last = m.report();
    boolean late = last != null && m.proved() && isLate(r, last);
    List<Object> orders = new ArrayList<>();
    if (!late) {
      long now = timers.nowMs();
      boolean proves = m.heard(r, v.epoch(), now);
      m.synced(r.epoch() == v.epoch());
      m.listens(r, proves, ignores(m, r, now), leaseMs, now);
      if (unheard.remove(m.name()) && unheard.isEmpty()) {
        pipeline.settle();
      }
      note(m, r, proves);
      // What may be a copy proves nothing: it is answered, so that the next one shows our token.
      boolean whole = standing == Membership.Standing.MEMBER && proves;
      Direct d = directs.get(m);
      if (d != null) {
        d.loose.values().removeIf(l -> r.epoch() > l.epoch || r.tenure() != l.tenure);
      }
      for (Order o : orders(m, r, whole, true)) {
        if (orders.size() < MAX_ORDERS) {
          orders.add(o.toWire());
        }
      }
    }
    // A late report's answer renews the lease too, should the worker still wait for it.
    m.answered(timers.nowMs(), v.epoch());
    // One that is newly ours need not wait for its next report to prove itself.
    boolean unproved = !late && !m.proved() && m.phase() == Machine.Phase.UP;
    if (m.deafSinceMs() > 0 || unproved) {
      probe(m, r.tenure());
    }
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", v.epoch());
    body.put("orders", orders);
    x.reply(200, body);
  }

  /** Brings the machine's durable record up to what the report says. */
  private void note(Machine m, Report r, boolean proves) {
    owned.add(m.name());
    if (!proves || m.deafSinceMs() > 0) {
      // Perhaps a copy of what a machine said that is gone by now; or one that nothing reaches.
      return;
    }
    Machine.Phase wanted = r.noticeS() != null ? Machine.Phase.DRAINING : Machine.Phase.UP;
    Machine.Phase is = m.phase();
    boolean change =
        switch (is) {
          case UNKNOWN, BOOTING, LOST -> true;
          case UP -> wanted == Machine.Phase.DRAINING;
          case DRAINING, GONE -> false;
        };
    if (change && !pipeline.recording(m)) {
      pipeline.record(m, new Machine.Info(r.type(), r.zone(), r.spot(), wanted, timers.wallMs()));
    }
  }

  /**
   * What the worker is told. {@code whole}: we surely hold authority; if not, nothing new is
   * started and nothing is drawn from the report. {@code own}: the report came by itself, so all
   * answers to earlier ones have arrived or never will; only then does absence prove anything.
   */
  private List<Order> orders(Machine m, Report r, boolean whole, boolean own) {
    List<Order> out = new ArrayList<>();
    Map<String, Report.Entry> there = new HashMap<>();
    Direct direct = directs.get(m);
    for (Report.Entry e : r.tasks()) {
      there.put(e.task(), e);
      Job job = tables.job(e.job());
      TaskState s = job == null || e.index() >= job.size() ? null : job.task(e.index());
      boolean ours = s != null && s.live() && s.machine() == m && s.attempt() == e.attempt();
      if (!ours) {
        // Nothing durable stands for it: it is over, or was never to be.
        if (e.phase() != Report.Phase.EXITED) {
          if (whole || tables.foretold(e.job())) {
            out.add(new Order.Halt(e.job(), e.index(), e.attempt(), 0));
          }
        } else if (own && m.synced() && !loose(direct, e.task(), e.attempt())) {
          // Not while a run for it may still arrive: it would start once more.
          out.add(new Order.Clear(e.job(), e.index(), e.attempt()));
        }
      } else if (e.phase() == Report.Phase.EXITED && whole && waitsOn(m, job, s, e)) {
        if (own) {
          // Under the same attempt, on the same machine: its mates keep the images they fetch.
          waited(m, e);
          out.add(new Order.Clear(e.job(), e.index(), e.attempt()));
          out.add(new Order.Run(e.job(), e.index(), e.attempt()));
        }
      } else if (e.phase() == Report.Phase.EXITED && !m.synced() && Report.ALONE.equals(e.why())) {
        // Of all ends only this one may be followed by the same attempt running again, and whoever
        // shows an older epoch may be a copy from before that.
        continue;
      } else if (e.phase() == Report.Phase.EXITED) {
        // Told to go on waiting, it may start once more until a report of its own comes: by then
        // the answer that tells it so has arrived, or never will.
        if (whole && (own || waits(m, e) == 0)) {
          ended(m, job, e);
        }
      } else {
        if (e.phase() != Report.Phase.FETCHING) {
          m.imageReady(job.spec().image(), job.spec().imageGb(), timers.nowMs());
        }
        halt(job, s, e, out);
      }
    }
    if (!whole) {
      return out;
    }
    Map<String, Sent> sent = runs.computeIfAbsent(m, k -> new HashMap<>());
    if (own) {
      Set<String> live = liveTasks(m);
      sent.keySet().retainAll(live);
      if (waits.containsKey(m)) {
        waits.get(m).keySet().removeIf(t -> !live.contains(t.task));
      }
    }
    for (Machine.Slot slot : m.live()) {
      TaskState s = slot.state();
      String task = slot.task();
      Report.Entry e = there.get(task);
      if (e != null && e.attempt() == s.attempt()) {
        if (sent.containsKey(task) && !sent.get(task).seen && own) {
          // It was told to run this, and does.
          m.hears();
        }
        sent.put(task, new Sent(s.attempt(), r.tick(), true, r.tenure(), 0));
        continue;
      }
      if (e != null || pipeline.exiting(slot.job(), slot.index(), s.attempt())) {
        // Another attempt of the task is here still, and ours starts when it is gone; or ours is
        // known to be over, and must not start again while that is being written.
        continue;
      }
      Sent before = sent.get(task);
      if (before != null && before.attempt != s.attempt()) {
        before = null;
      }
      if (before != null && before.seen) {
        // Seen and now absent: the worker lost it with its lease, and late commands with it.
        if (own && pipeline.exited(slot.job(), slot.index(), s.attempt(), m, null)) {
          LOG.info("{} has lost {}, tenure {}", m.name(), task, r.tenure());
        }
      } else if (own
          && before != null
          && before.tenure < r.tenure()
          && (m.deafSinceMs() > 0 || slot.unwanted())
          && !loose(direct, task, s.attempt())) {
        // What was sent in an earlier session can't arrive in this one, and nothing was since.
        pipeline.exited(slot.job(), slot.index(), s.attempt(), m, null);
      } else if (m.deafSinceMs() > 0 && !slot.unwanted()) {
        // Nothing reaches it: what is told now could only come late. Its next session proves that
        // it has not got this.
        if (before == null) {
          sent.put(task, new Sent(s.attempt(), r.tick(), false, r.tenure(), timers.nowMs()));
        }
      } else if (slot.unwanted()) {
        // Never seen and not wanted: the report shows our epoch, so no older command can start it,
        // and ours have been dropped, unless one sent straight to the worker is still under way.
        if (own && m.synced() && !loose(direct, task, s.attempt())) {
          pipeline.exited(slot.job(), slot.index(), s.attempt(), m, null);
        }
      } else if (m.phase() != Machine.Phase.GONE
          && (own || before == null || before.tick != r.tick())) {
        long since = before == null ? timers.nowMs() : before.sinceMs;
        sent.put(task, new Sent(s.attempt(), r.tick(), false, r.tenure(), since));
        out.add(new Order.Run(slot.job().id(), slot.index(), s.attempt()));
      }
    }
    return out;
  }

  /**
   * A member of a gang gave up waiting for the others, which still fetch: an image may take longer
   * on one machine than a gang waits on another. Were the attempt over for that, the others would
   * give up their fetches and begin anew, again and again. It goes on waiting, so often at most.
   */
  private boolean waitsOn(Machine m, Job job, TaskState s, Report.Entry e) {
    if (!Report.ALONE.equals(e.why())
        || job.calledOff()
        || s.stop() != TaskState.Stop.NONE
        || job.live() < job.size()
        || pipeline.exiting(job, e.index(), e.attempt())) {
      return false;
    }
    return waits(m, e) < WAITS_MOST;
  }

  private int waits(Machine m, Report.Entry e) {
    return waits.getOrDefault(m, Map.of()).getOrDefault(new Try(e.task(), e.attempt()), 0);
  }

  private void waited(Machine m, Report.Entry e) {
    Try t = new Try(e.task(), e.attempt());
    waits.computeIfAbsent(m, k -> new HashMap<>()).merge(t, 1, Integer::sum);
  }

  /** Whether a report lacks a task that its worker was told to run longer ago than that takes. */
  private boolean ignores(Machine m, Report r, long now) {
    Map<String, Sent> sent = runs.getOrDefault(m, Map.of());
    for (Machine.Slot slot : m.live()) {
      Sent s = sent.get(slot.task());
      if (s != null
          && !s.seen
          && s.attempt == slot.state().attempt()
          && now - s.sinceMs > IGNORED_MS
          && r.tasks().stream().noneMatch(e -> e.task().equals(slot.task()))) {
        return true;
      }
    }
    return false;
  }

  /** Asks a worker that seems deaf, or new, for an answer; whoever answers hears. */
  private void probe(Machine m, long tenure) {
    Direct d = directs.computeIfAbsent(m, k -> new Direct());
    long now = timers.nowMs();
    if (d.inFlight || now < d.probeAtMs || m.report() == null) {
      return;
    }
    d.probeAtMs = now + leaseMs / 8;
    post(m, d, tenure, List.of(), List.of());
  }

  private static boolean loose(Direct d, String task, int attempt) {
    return d != null && d.loose.containsKey(new Try(task, attempt));
  }

  private static Set<String> liveTasks(Machine m) {
    Set<String> out = new HashSet<>();
    m.live().forEach(s -> out.add(s.task()));
    return out;
  }

  // ---- commands sent straight to a worker ----

  /**
   * Stops a job whose withdrawal a peer has told of. Without the state service too: what is there
   * of it is over for good, whoever holds authority.
   */
  public void stop(Job job) {
    Membership.Standing standing = membership.standing();
    if (standing == Membership.Standing.OUTSIDE) {
      return;
    }
    for (Machine m : job.machines()) {
      if (owned.contains(m.name())) {
        direct(m, standing == Membership.Standing.MEMBER);
      }
    }
  }

  /**
   * Whether a worker takes orders from this node alone, and nothing of a job that this node knows
   * to be withdrawn can begin there any more. It has shown this view's epoch, so it drops what any
   * earlier owner says; no run of the job is under way to it, and what it has of the job is past
   * its fetch. Once so, it stays so: a later view's owner has read of the withdrawal. Where a lease
   * that nobody renews would outlast a cancellation, nothing of the job may be left at all.
   */
  public boolean obeys(Machine m, String job) {
    View v = tables.view();
    Report r = m.report();
    if (v == null || !node.equals(m.owner(v)) || v.epoch() != viewEpoch) {
      return false;
    }
    if (r == null || !m.synced()) {
      return false;
    }
    String prefix = job + "/";
    // One that was sent straight and not answered is among these: no report has shown it.
    Map<String, Sent> sent = runs.getOrDefault(m, Map.of());
    for (Map.Entry<String, Sent> s : sent.entrySet()) {
      if (!s.getValue().seen && s.getKey().startsWith(prefix)) {
        return false;
      }
    }
    for (Report.Entry e : r.tasks()) {
      boolean again = e.phase() == Report.Phase.EXITED && waits(m, e) > 0;
      boolean mayOutlast = !tuning.leaseEndsInTime() && e.phase() != Report.Phase.EXITED;
      if (e.job().equals(job) && (e.phase() == Report.Phase.FETCHING || again || mayOutlast)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Sends what is wanted at once, instead of with the answer to the next report.
   *
   * @param whole as for {@link #orders}
   */
  private void direct(Machine m, boolean whole) {
    Report r = m.report();
    Direct d = directs.computeIfAbsent(m, k -> new Direct());
    View v = tables.view();
    if (r == null || !m.synced() || d.inFlight || m.phase() == Machine.Phase.LOST) {
      return;
    }
    List<Object> wire = new ArrayList<>();
    List<Try> tries = new ArrayList<>();
    for (Order o : orders(m, r, whole, false)) {
      Try t = new Try(o.job() + "/" + o.index(), o.attempt());
      if (wire.size() >= MAX_ORDERS || o instanceof Order.Halt && !firstHalt(d, t)) {
        continue;
      }
      wire.add(o.toWire());
      if (o instanceof Order.Run) {
        tries.add(t);
        d.loose.put(t, new Loose(v.epoch(), r.tenure(), timers.nowMs()));
      }
    }
    if (wire.isEmpty()) {
      return;
    }
    post(m, d, r.tenure(), wire, tries);
  }

  /** Sends orders straight to a worker, of which none may be under way. */
  private void post(Machine m, Direct d, long tenure, List<Object> wire, List<Try> tries) {
    Map<String, Object> body = new LinkedHashMap<>();
    body.put("epoch", tables.view().epoch());
    body.put("tenure", tenure);
    body.put("orders", wire);
    d.sent(m.report());
    caller.call(
        m.report().address(),
        "POST",
        "/orders",
        MessageCodec.encode(body),
        DIRECT_MS,
        a -> directAnswered(m, d, tries, a));
  }

  /** A stopping task may be reported as running for a while: it is not told again at once. */
  private boolean firstHalt(Direct d, Try t) {
    long now = timers.nowMs();
    d.halted.values().removeIf(at -> now - at > DIRECT_MS);
    return d.halted.putIfAbsent(t, now) == null;
  }

  private void directAnswered(Machine m, Direct d, List<Try> tries, Caller.Answer a) {
    d.inFlight = false;
    if (a.status() != 200 && a.status() != 409) {
      // No answer: it may arrive yet. The answers to reports repeat it.
      return;
    }
    // Executed, or refused for good: either way it cannot come again.
    tries.forEach(d.loose::remove);
    m.hears();
    View v = tables.view();
    if (directs.get(m) != d || v == null) {
      return;
    }
    try {
      Report r = Report.parse(Document.parse(a.body()));
      if (d.olderThanKnown(r)) {
        LOG.info("{} has begun anew: tenure {}, tick {}", m.name(), r.tenure(), r.tick());
        m.restarted(v.epoch());
        return;
      }
      Report last = m.report();
      if (last == null || isLate(r, last)) {
        return;
      }
      m.learnt(r, v.epoch(), timers.nowMs());
      m.synced(r.epoch() == v.epoch());
      if (membership.standing() == Membership.Standing.MEMBER) {
        direct(m, true);
      }
    } catch (BadMessage e) {
      malformed.note(MalformedMessages.Sender.WORKER, "answer to orders", e);
    }
  }

  private static boolean isLate(Report r, Report last) {
    return r.tenure() < last.tenure() || r.tenure() == last.tenure() && r.tick() <= last.tick();
  }

  private static void halt(Job job, TaskState s, Report.Entry e, List<Order> out) {
    if (job.calledOff() || s.stop() == TaskState.Stop.KILL) {
      out.add(new Order.Halt(job.id(), e.index(), e.attempt(), 0));
    } else if (s.stop() == TaskState.Stop.SAVE && e.phase() != Report.Phase.SAVING) {
      out.add(new Order.Halt(job.id(), e.index(), e.attempt(), job.spec().saveS() + 1));
    }
  }

  private void ended(Machine m, Job job, Report.Entry e) {
    if (!pipeline.exited(job, e.index(), e.attempt(), m, e.why())) {
      // Reported again until it is cleared: it failed once.
      return;
    }
    if (Report.ERROR.equals(e.why())) {
      // Told once a round by all of a suspect's tasks together.
      if (!job.suspect()) {
        LOG.info("{} failed on {}", e.task(), m.name());
      }
    } else if (Report.FULL.equals(e.why())
        || Report.UNKNOWN.equals(e.why())
        || Report.BUSY.equals(e.why())) {
      LOG.info("{} refused {}: {}", m.name(), e.task(), e.why());
      job.refused(timers.nowMs());
    }
  }

  // ---- silence ----

  private void watch() {
    timers.after(WATCH_MS, this::watch);
    View v = tables.view();
    if (v == null || membership.standing() != Membership.Standing.MEMBER) {
      return;
    }
    long now = timers.nowMs();
    boolean stuck = false;
    for (Machine m : new ArrayList<>(tables.machines())) {
      boolean up = m.phase() == Machine.Phase.UP;
      boolean lost = m.phase() == Machine.Phase.LOST;
      if (up || lost) {
        zones.recorded(m.info().zone(), lost);
      }
      if (!node.equals(m.owner(v))) {
        continue;
      }
      // A change of view is no news of a machine that was ours before: with one every few seconds
      // none would ever be found silent.
      long silent = now - Math.max(m.silentSinceMs(), pauseDetector.listeningSinceMs());
      if ((up || lost) && silent > tuning.quietMs()) {
        m.quiet();
        zones.silent(m.info().zone());
      }
      boolean deaf = m.deafSinceMs() > 0 && now - m.deafSinceMs() > tuning.lostMs();
      if (up && (deaf || silent > tuning.lostMs()) && !pipeline.recording(m)) {
        LOG.info("{} is {}", m.name(), deaf ? "deaf: nothing reaches it" : "silent");
        pipeline.record(m, m.info().with(Machine.Phase.LOST, timers.wallMs()));
      }
      if (!m.live().isEmpty() && m.lapseBaseMs() > 0 && now - m.lapseBaseMs() > tuning.lapseMs()) {
        // No one can have renewed its lease since: the worker has killed all it had.
        pipeline.lapsed(m);
        runs.remove(m);
      }
      stuck |= stuck(m, now);
      // One that has begun anew is trusted again with a higher token; no more often than that has
      // time to reach the workers.
      stuck |= m.trustedFrom() > v.epoch() && now - viewSinceMs > BEGUN_ANEW_MS;
    }
    zones.judge(pauseDetector.listeningSinceMs(), now);
    if (stuck) {
      // Only a higher epoch, shown by the worker, proves that the command can't arrive any more.
      membership.raiseEpoch();
    }
  }

  /** Whether an attempt is to be stopped while a run for it may still arrive. */
  private boolean stuck(Machine m, long now) {
    Direct d = directs.get(m);
    if (d == null || d.loose.isEmpty() || now - m.heardMs() > DIRECT_MS) {
      return false;
    }
    for (Machine.Slot s : m.live()) {
      Loose l = d.loose.get(new Try(s.task(), s.state().attempt()));
      if (s.unwanted() && l != null && now - l.sinceMs > UNCERTAIN_MS && l.epoch == viewEpoch) {
        return true;
      }
    }
    return false;
  }
}
