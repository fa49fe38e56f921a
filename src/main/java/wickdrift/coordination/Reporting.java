package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Ledger;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Doc;
import wickdrift.protocol.Order;
import wickdrift.protocol.Report;
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
  private static final long SHUN_MS = 20_000;
  private static final int SHUN_DOUBLINGS = 4;

  private record Sent(int attempt, long tenure, long tick) {}

  private final Timers timers;
  private final Ledger ledger;
  private final Tables tables;
  private final Membership membership;
  private final Scribe scribe;
  private final Tuning tuning;
  private final String node;
  private final Map<Machine, Map<String, Sent>> runs = new HashMap<>();
  private long viewEpoch;
  private long viewSinceMs;
  private Map<String, Boolean> owned = new HashMap<>();

  public Reporting(
      Timers timers,
      Ledger ledger,
      Tables tables,
      Membership membership,
      Scribe scribe,
      Tuning tuning,
      String node) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.membership = membership;
    this.scribe = scribe;
    this.tuning = tuning;
    this.node = node;
  }

  public void start() {
    watch();
  }

  // ---- a new view ----

  /** Called after the tables changed. */
  public void tablesChanged() {
    View v = tables.view();
    if (v == null || v.epoch() == viewEpoch) {
      return;
    }
    viewEpoch = v.epoch();
    viewSinceMs = timers.nowMs();
    LOG.info("epoch {}: members {}, leader {}", v.epoch(), v.members().keySet(), v.leader());
    Map<String, Boolean> now = new HashMap<>();
    for (Machine m : tables.machines()) {
      m.synced(false);
      if (node.equals(v.owner(m.name()))) {
        now.put(m.name(), true);
        if (!owned.containsKey(m.name())) {
          // Its owner until now may go on answering it for as long as the grace allows.
          m.forgetReports(viewSinceMs + tuning.graceMs());
          runs.remove(m);
        }
      } else {
        m.forgetReports(0);
        runs.remove(m);
      }
    }
    owned = now;
    scribe.hold(viewSinceMs + tuning.settleMs());
  }

  // ---- reports ----

  public void hello(Exchange x) {
    Report r;
    try {
      r = Report.parse(Doc.parse(x.body()));
    } catch (BadMessage e) {
      LOG.warn("malformed report: {}", e.getMessage());
      x.reply(400, Map.of("error", e.getMessage()));
      return;
    }
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
    String owner = v.owner(r.machine());
    if (!owner.equals(node)) {
      x.reply(421, standing == Membership.Standing.MEMBER ? Map.of("upstream", owner) : Map.of());
      return;
    }
    if (standing == Membership.Standing.OUTSIDE) {
      x.reply(503, null, 1);
      return;
    }
    Machine m = tables.machineOrNew(r.machine());
    Report last = m.report();
    boolean late =
        last != null
            && (r.tenure() < last.tenure()
                || r.tenure() == last.tenure() && r.tick() <= last.tick());
    List<Object> orders = new ArrayList<>();
    if (!late) {
      long now = timers.nowMs();
      m.heard(r, now);
      m.synced(r.epoch() == v.epoch());
      note(m, r);
      boolean whole = standing == Membership.Standing.MEMBER;
      for (Order o : orders(m, r, whole)) {
        if (orders.size() < MAX_ORDERS) {
          orders.add(o.toWire());
        }
      }
      m.answered(now);
    }
    Map<String, Object> answer = new LinkedHashMap<>();
    answer.put("epoch", v.epoch());
    answer.put("orders", orders);
    x.reply(200, answer);
  }

  /** Brings the machine's durable record up to what the report says. */
  private void note(Machine m, Report r) {
    owned.put(m.name(), true);
    Machine.Phase wanted = r.noticeS() != null ? Machine.Phase.DRAINING : Machine.Phase.UP;
    Machine.Phase is = m.phase();
    boolean change =
        switch (is) {
          case UNKNOWN, BOOTING, LOST -> true;
          case UP -> wanted == Machine.Phase.DRAINING;
          case DRAINING, GONE -> false;
        };
    if (change && !scribe.recording(m)) {
      scribe.record(m, new Machine.Info(r.type(), r.zone(), r.spot(), wanted, timers.wallMs()));
    }
  }

  /**
   * What the worker is told. {@code whole}: we surely hold authority; if not, nothing new is
   * started and nothing is drawn from the report.
   */
  private List<Order> orders(Machine m, Report r, boolean whole) {
    List<Order> out = new ArrayList<>();
    Map<String, Report.Entry> there = new HashMap<>();
    for (Report.Entry e : r.tasks()) {
      there.put(e.task(), e);
      Job job = tables.job(e.job());
      TaskState s = job == null || e.index() >= job.size() ? null : job.task(e.index());
      boolean ours = s != null && s.live() && s.machine() == m && s.attempt() == e.attempt();
      if (!ours) {
        // Nothing durable stands for it: it is over, or was never to be.
        if (e.phase() == Report.Phase.EXITED) {
          out.add(new Order.Clear(e.job(), e.index(), e.attempt()));
        } else if (whole) {
          out.add(new Order.Halt(e.job(), e.index(), e.attempt(), 0));
        }
      } else if (e.phase() == Report.Phase.EXITED) {
        if (whole) {
          ended(m, job, e);
        }
      } else {
        halt(job, s, e, out);
      }
    }
    if (!whole) {
      return out;
    }
    Map<String, Sent> sent = runs.computeIfAbsent(m, k -> new HashMap<>());
    sent.keySet()
        .removeIf(k -> m.live().stream().noneMatch(s -> k.equals(s.job().id() + "/" + s.index())));
    for (Machine.Slot slot : m.live()) {
      TaskState s = slot.state();
      String task = slot.job().id() + "/" + slot.index();
      Report.Entry e = there.get(task);
      if (e != null && e.attempt() == s.attempt()) {
        sent.put(task, new Sent(-s.attempt(), r.tenure(), r.tick()));
        continue;
      }
      if (e != null) {
        // Another attempt of the task is here still; ours starts when it is gone.
        continue;
      }
      Sent before = sent.get(task);
      boolean wasHere = before != null && before.attempt == -s.attempt();
      boolean stop = slot.job().withdrawn() || s.stop() != TaskState.Stop.NONE;
      if (wasHere || stop && m.synced()) {
        // Seen and now absent: lost. Never seen and not wanted: the report shows our epoch, so no
        // older command can start it, and ours are dropped once the next report has been sent.
        scribe.exited(slot.job(), slot.index(), s.attempt(), m, null);
      } else if (!stop && m.phase() != Machine.Phase.GONE) {
        sent.put(task, new Sent(s.attempt(), r.tenure(), r.tick()));
        out.add(new Order.Run(slot.job().id(), slot.index(), s.attempt()));
      }
    }
    return out;
  }

  private static void halt(Job job, TaskState s, Report.Entry e, List<Order> out) {
    if (job.withdrawn() || s.stop() == TaskState.Stop.KILL) {
      out.add(new Order.Halt(job.id(), e.index(), e.attempt(), 0));
    } else if (s.stop() == TaskState.Stop.SAVE && e.phase() != Report.Phase.SAVING) {
      out.add(new Order.Halt(job.id(), e.index(), e.attempt(), job.spec().saveS() + 1));
    }
  }

  private void ended(Machine m, Job job, Report.Entry e) {
    if (Report.DONE.equals(e.why())) {
      m.worked();
    } else if (Report.ERROR.equals(e.why())) {
      m.failed(timers.nowMs() + (SHUN_MS << Math.min(m.errors(), SHUN_DOUBLINGS)));
      job.failed(timers.nowMs());
      LOG.info("{} failed on {}", e.task(), m.name());
    } else if (Report.FULL.equals(e.why())
        || Report.UNKNOWN.equals(e.why())
        || Report.BUSY.equals(e.why())) {
      LOG.info("{} refused {}: {}", m.name(), e.task(), e.why());
      job.failed(timers.nowMs());
    }
    scribe.exited(job, e.index(), e.attempt(), m, e.why());
  }

  // ---- silence ----

  private void watch() {
    timers.after(WATCH_MS, this::watch);
    View v = tables.view();
    if (v == null || membership.standing() != Membership.Standing.MEMBER) {
      return;
    }
    long now = timers.nowMs();
    for (Machine m : new ArrayList<>(tables.machines())) {
      if (!node.equals(v.owner(m.name()))) {
        continue;
      }
      long silent = now - Math.max(m.heardMs(), viewSinceMs);
      if (m.phase() == Machine.Phase.UP && silent > tuning.lostMs() && !scribe.recording(m)) {
        LOG.info("{} is silent", m.name());
        scribe.record(m, m.info().with(Machine.Phase.LOST, timers.wallMs()));
      }
      if (!m.live().isEmpty() && m.lapseBaseMs() > 0 && now - m.lapseBaseMs() > tuning.lapseMs()) {
        // No one can have renewed its lease since: the worker has killed all it had.
        for (Machine.Slot s : m.live()) {
          scribe.exited(s.job(), s.index(), s.state().attempt(), m, null);
        }
        runs.remove(m);
      }
    }
  }
}
