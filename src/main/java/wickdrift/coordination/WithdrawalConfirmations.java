package wickdrift.coordination;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.PeerFrame;
import wickdrift.transport.Timers;

/**
 * When a user may be told that a job is withdrawn. That it is durably so is not enough: the owner
 * of a machine may be refused by the state service, know nothing of it, and go on renewing its
 * worker's lease for longer than a cancelled task may stay. So the word is given once, for every
 * machine that may hold a task of the job, everyone who can still renew its worker's lease knows.
 *
 * <p>The proof for a machine, from tables that hold the withdrawal: its owner under their view says
 * that it knows, and that the worker has shown that view's epoch. The worker drops whatever an
 * earlier owner says, and a later view's owner has read the withdrawal before the view. So it stays
 * proved, whoever fails next: if the owner does, the lease ends. What is over needs no proof.
 */
public final class WithdrawalConfirmations {
  private static final Logger LOG = LoggerFactory.getLogger(WithdrawalConfirmations.class);

  /** Who asks is answered within this time, kept or not. */
  private static final long WAIT_MS = 700;

  /** An owner that can't say so yet is asked again after that. */
  private static final long AGAIN_MS = 150;

  /** An answer that comes later than this is of no use to whoever waits; the next one asks anew. */
  private static final long QUESTION_MS = 2000;

  /** A frame is bounded: so many machines' names fit. */
  static final int NAMES_MOST = 1000;

  private static final long TIDY_MS = 5000;

  /** A question that is out. */
  private record Question(String job, String owner, List<String> machines, long sinceMs) {}

  private record Waiter(Consumer<Boolean> done, long untilMs) {}

  /** A withdrawn job that somebody has asked about. */
  private static final class Open {
    /** Machines of which it is proved; it stays so. */
    final Set<String> proved = new HashSet<>();

    final List<Waiter> waiters = new ArrayList<>();
    boolean kept;
    boolean armed;
    long askedMs = Long.MIN_VALUE / 2;
    long askedEpoch;
  }

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final ReportHandler reporting;
  private final String node;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final Map<String, Open> open = new HashMap<>();
  private final Map<Long, Question> questions = new HashMap<>();
  private long nextId;
  private boolean tidying;
  private long confirmedCount;
  private long unconfirmedCount;

  /** Nothing is asked until somebody waits for an answer. */
  public WithdrawalConfirmations(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      ReportHandler reporting,
      String node,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.reporting = reporting;
    this.node = node;
    this.peers = peers;
  }

  /** Jobs of which this node found that their withdrawal will be kept. */
  public long confirmedCount() {
    return confirmedCount;
  }

  /** Questions that were answered without the word, as it was not proved in time. */
  public long unconfirmedCount() {
    return unconfirmedCount;
  }

  /**
   * Asks whether a job's withdrawal will be kept. The tables must hold it, as after a barrier.
   *
   * @param done told soon, and once; false: not proved yet
   */
  public void whenKept(String job, Consumer<Boolean> done) {
    Open o = open.computeIfAbsent(job, k -> new Open());
    o.waiters.add(new Waiter(done, timers.nowMs() + WAIT_MS));
    judge(job, o);
    arm(job, o);
    tidy();
  }

  private void arm(String job, Open o) {
    if (o.waiters.isEmpty() || o.armed) {
      return;
    }
    o.armed = true;
    timers.after(
        AGAIN_MS,
        () -> {
          o.armed = false;
          judge(job, o);
          long now = timers.nowMs();
          List<Waiter> late = new ArrayList<>();
          o.waiters.removeIf(w -> w.untilMs <= now && late.add(w));
          unconfirmedCount += late.size();
          late.forEach(w -> w.done.accept(false));
          arm(job, o);
        });
  }

  /** Looks at what is proved, asks for what is not, and tells those who wait. */
  private void judge(String job, Open o) {
    if (!o.kept) {
      Map<String, List<String>> left = unproved(job, o);
      if (left == null) {
        return;
      }
      if (!left.isEmpty()) {
        ask(job, o, left);
        return;
      }
      o.kept = true;
      confirmedCount++;
    }
    List<Waiter> told = List.copyOf(o.waiters);
    o.waiters.clear();
    told.forEach(w -> w.done.accept(true));
  }

  /** By owner, the machines of which it is not proved; null: these tables can't tell. */
  private Map<String, List<String>> unproved(String id, Open o) {
    View v = tables.view();
    Job job = tables.job(id);
    if (job == null && tables.terminalState(id) != null) {
      return Map.of();
    }
    if (v == null
        || job == null
        || !job.withdrawn()
        || tables.blockedReason() != null
        || ledger.phase() != StateServiceClient.Phase.FOLLOWING) {
      return null;
    }
    Map<String, List<String>> left = new TreeMap<>();
    for (Machine m : job.machines()) {
      if (o.proved.contains(m.name())) {
        continue;
      }
      String owner = m.owner(v);
      if (owner.equals(node) && reporting.canConfirmWithdrawal(m, id)) {
        o.proved.add(m.name());
      } else {
        left.computeIfAbsent(owner, k -> new ArrayList<>()).add(m.name());
      }
    }
    return left;
  }

  private void ask(String job, Open o, Map<String, List<String>> left) {
    long now = timers.nowMs();
    long epoch = tables.view().epoch();
    int number = tables.registry().numberOf(node);
    if (number < 0 || now - o.askedMs < AGAIN_MS && o.askedEpoch == epoch) {
      return;
    }
    o.askedMs = now;
    o.askedEpoch = epoch;
    left.forEach(
        (owner, machines) -> {
          Consumer<ByteBuffer> peer = peers.get(owner);
          for (int i = 0; peer != null && i < machines.size(); i += NAMES_MOST) {
            List<String> some =
                List.copyOf(machines.subList(i, Math.min(machines.size(), i + NAMES_MOST)));
            long id = ++nextId;
            questions.put(id, new Question(job, owner, some, now));
            peer.accept(
                new PeerFrame.Withdrawn(number, id, epoch, tables.appliedRev(), job, some)
                    .encode());
          }
        });
  }

  /** An owner's answer. Whoever was not asked has nothing to say. */
  public void handleConfirmation(PeerFrame.Obeyed a) {
    Question q = questions.get(a.id());
    if (q == null || !q.owner.equals(tables.registry().name(a.from()))) {
      return;
    }
    questions.remove(a.id());
    Open o = open.get(q.job);
    if (o == null) {
      return;
    }
    BitSet places = BitSet.valueOf(a.places());
    for (int i = places.nextSetBit(0);
        i >= 0 && i < q.machines.size();
        i = places.nextSetBit(i + 1)) {
      o.proved.add(q.machines.get(i));
    }
    judge(q.job, o);
  }

  /**
   * A peer has told of a withdrawal and asks which of our machines obey us alone. From here on we
   * know, whether the state service serves us or not; what can't be kept is not answered.
   */
  public void handleConfirmationRequest(PeerFrame.Withdrawn w) {
    boolean knew = tables.isWithdrawalAnnounced(w.job()) || w.rev() <= tables.appliedRev();
    if (!tables.announceWithdrawal(w.job(), w.rev())) {
      LOG.error("too many withdrawals are known ahead of the tables: {} is not", w.job());
      return;
    }
    Job job = tables.job(w.job());
    if (!knew && job != null) {
      reporting.haltTasksOf(job);
    }
    View v = tables.view();
    Consumer<ByteBuffer> peer = peers.get(tables.registry().name(w.from()));
    int number = tables.registry().numberOf(node);
    if (peer == null || number < 0 || v == null || v.epoch() != w.epoch()) {
      return;
    }
    if (tables.blockedReason() != null || ledger.phase() != StateServiceClient.Phase.FOLLOWING) {
      return;
    }
    BitSet places = new BitSet();
    for (int i = 0; i < w.machines().size(); i++) {
      Machine m = tables.machine(w.machines().get(i));
      places.set(i, m != null && reporting.canConfirmWithdrawal(m, w.job()));
    }
    peer.accept(new PeerFrame.Obeyed(number, w.id(), places.toByteArray()).encode());
  }

  /** What is known of a job is kept as long as it lives. */
  private void tidy() {
    if (tidying) {
      return;
    }
    tidying = true;
    timers.after(
        TIDY_MS,
        () -> {
          tidying = false;
          long now = timers.nowMs();
          questions.values().removeIf(q -> now - q.sinceMs > QUESTION_MS);
          for (Iterator<Map.Entry<String, Open>> it = open.entrySet().iterator(); it.hasNext(); ) {
            Map.Entry<String, Open> e = it.next();
            if (e.getValue().waiters.isEmpty() && tables.job(e.getKey()) == null) {
              it.remove();
            }
          }
          if (!open.isEmpty() || !questions.isEmpty()) {
            tidy();
          }
        });
  }
}
