package wickdrift.coordination;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Ledger;
import wickdrift.bookkeeping.Part;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.Txn;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.PeerFrame;
import wickdrift.transport.Timers;

/** This node's lease and membership, and the changes of view. */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  private static final long TICK_MS = 250;
  private static final long PEER_FRESH_MS = 2000;
  private static final double BUSIER = 1.25;
  private static final long BARRIER_MS = 1500;

  /** How this node stands. */
  public enum Standing {
    /** No lease, or the view does not hold this incarnation. */
    OUTSIDE,
    /** In the view with a lease that surely holds. */
    MEMBER,
    /** Was a member; the lease may have ended, but within the grace reports are answered. */
    GRACE
  }

  private record Heard(boolean stateOk, long atMs, int writes) {}

  private final Timers timers;
  private final Ledger ledger;
  private final Tables tables;
  private final Tuning tuning;
  private final String node;
  private final String zone;
  private final int nodeIndex;
  private final String process;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final Map<Integer, Heard> heard = new HashMap<>();

  /**
   * A new one with each lease. If one process kept its incarnation, then between the grant of a new
   * lease and the news of its expulsion under the old one it would take itself for a member.
   */
  private String incarnation;

  private int leases;
  private long tether;
  private long leaseUntilMs = Long.MIN_VALUE / 2;
  private boolean asking;
  private boolean writing;
  private long differsSinceMs = -1;
  private boolean proposing;
  private long peerEpoch;

  /** False from waking until the tables hold all that was durable by then. */
  private boolean caughtUp = true;

  private boolean catchingUp;

  public Membership(
      Timers timers,
      Ledger ledger,
      Tables tables,
      Tuning tuning,
      String node,
      String zone,
      int nodeIndex,
      String incarnation,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.tuning = tuning;
    this.node = node;
    this.zone = zone;
    this.nodeIndex = nodeIndex;
    this.process = incarnation;
    this.incarnation = incarnation;
    this.peers = peers;
  }

  public void start() {
    tick();
  }

  public Standing standing() {
    View v = tables.view();
    if (v == null || !incarnation.equals(v.members().get(node))) {
      return Standing.OUTSIDE;
    }
    long now = timers.nowMs();
    if (now < leaseUntilMs && caughtUp) {
      return Standing.MEMBER;
    }
    return now < leaseUntilMs + tuning.graceMs() ? Standing.GRACE : Standing.OUTSIDE;
  }

  /**
   * This process has stood still. Its lease may hold, but the view may have changed: it decides
   * nothing, and answers no report with an epoch that may be superseded, until it has caught up.
   */
  public void woke() {
    caughtUp = false;
    catchUp();
  }

  /** Whether what this node knows is no older than its last pause. */
  public boolean caughtUp() {
    return caughtUp;
  }

  private void catchUp() {
    if (caughtUp || catchingUp) {
      return;
    }
    catchingUp = true;
    ledger.barrier(
        BARRIER_MS,
        ok -> {
          catchingUp = false;
          caughtUp |= ok;
        });
  }

  public boolean leads() {
    return standing() == Standing.MEMBER && node.equals(tables.view().leader());
  }

  /** True when a peer has shown a view newer than ours: ours must not be acted on. */
  public boolean outdated() {
    return tables.view() != null && peerEpoch > tables.view().epoch();
  }

  /** True when a peer says that it is served by the state service while we are not. */
  public boolean aloneWithoutState() {
    if (ledger.reachable()) {
      return false;
    }
    long now = timers.nowMs();
    return heard.values().stream().anyMatch(h -> h.stateOk && now - h.atMs < PEER_FRESH_MS);
  }

  private void tick() {
    timers.after(TICK_MS, this::tick);
    keepLease();
    catchUp();
    if (ledger.phase() == Ledger.Phase.FOLLOWING) {
      keepMember();
      considerView();
    }
    tellPeers();
    shareWrites();
  }

  // ---- the lease ----

  private void keepLease() {
    long now = timers.nowMs();
    if (asking) {
      return;
    }
    if (tether == 0) {
      asking = true;
      ledger.grant(
          tuning.memberLeaseMs(),
          t -> {
            asking = false;
            if (t > 0) {
              tether = t;
              incarnation = leases++ == 0 ? process : process + "-" + leases;
              renewed(now);
            }
          });
    } else if (leaseUntilMs - now < tuning.memberLeaseMs() * 3 / 4) {
      asking = true;
      long asked = tether;
      ledger.extend(
          asked,
          status -> {
            asking = false;
            if (status == 200) {
              renewed(now);
            } else if (status == 404) {
              LOG.warn("our lease has ended");
              tether = 0;
            }
          });
    }
  }

  /** Measured from when the renewal was sent, less drift: never later than the state service's. */
  private void renewed(long sentMs) {
    leaseUntilMs = sentMs + tuning.memberLeaseMs() - tuning.memberLeaseMs() / 1000 - 1;
  }

  private void keepMember() {
    if (tether == 0 || writing || incarnation.equals(tables.members().get(node))) {
      return;
    }
    writing = true;
    String key = "w/m/" + node;
    Txn txn =
        new Txn()
            .when(key, tables.memberStamp(node))
            .write(key, Map.of("inc", incarnation, "zone", zone), tether);
    ledger.commit(
        txn,
        Ledger.Rank.AUTHORITY,
        r -> {
          if (r.noLease()) {
            tether = 0;
          }
          ledger.barrier(2000, ok -> writing = false);
        });
  }

  // ---- the view ----

  private void considerView() {
    View next = View.next(tables.view(), tables.members(), tables.memberZones());
    long now = timers.nowMs();
    if (next == null
        || !incarnation.equals(tables.members().get(node))
        || now >= leaseUntilMs
        || proposing) {
      differsSinceMs = -1;
      return;
    }
    if (differsSinceMs < 0) {
      differsSinceMs = now;
    }
    // The coming leader proposes first; the others only if it does not.
    long turn = next.leader().equals(node) ? 0 : 600L * (1 + nodeIndex);
    if (now - differsSinceMs < turn) {
      return;
    }
    propose(next);
  }

  /** The same view under a higher epoch, so that commands given under this one are void. */
  public void raiseEpoch() {
    View v = tables.view();
    if (!proposing && standing() == Standing.MEMBER && v.members().equals(tables.members())) {
      propose(new View(v.epoch() + 1, v.members(), v.leader(), v.zones()));
    }
  }

  private void propose(View next) {
    proposing = true;
    Txn txn = new Txn().when(View.KEY, tables.viewStamp()).write(View.KEY, next.toStore());
    for (String m : next.members().keySet()) {
      txn.when("w/m/" + m, tables.memberStamp(m));
    }
    // Rewriting every part makes whatever was prepared under the old view fail.
    Map<String, Boolean> all = new TreeMap<>();
    next.members().keySet().forEach(m -> all.put(m, true));
    tables.parts().keySet().forEach(m -> all.put(m, true));
    for (String m : all.keySet()) {
      Part p = tables.part(m);
      txn.when(Part.key(m), p == null ? 0 : p.stamp());
      txn.write(Part.key(m), (p == null ? Part.fresh(0) : p).inEpoch(next.epoch()).toStore());
    }
    LOG.info(
        "proposing epoch {}: members {}, leader {}",
        next.epoch(),
        next.members().keySet(),
        next.leader());
    ledger.commit(
        txn,
        Ledger.Rank.AUTHORITY,
        r ->
            ledger.barrier(
                2000,
                ok -> {
                  proposing = false;
                  differsSinceMs = -1;
                }));
  }

  // ---- peers ----

  /**
   * The writes that the others leave are ours. One that is idle may begin at any time, one that is
   * busy may become busier, and of one that is not heard half an even share is assumed.
   */
  private void shareWrites() {
    View v = tables.view();
    if (v == null) {
      return;
    }
    double fair = ledger.fairWrites();
    long now = timers.nowMs();
    int known = 0;
    double others = 0;
    for (Heard h : heard.values()) {
      if (now - h.atMs < PEER_FRESH_MS) {
        known++;
        others += Math.max(h.writes * BUSIER, fair / 4);
      }
    }
    int unknown = Math.max(0, v.members().size() - 1 - known);
    ledger.othersWrite(others + unknown * fair / 2);
  }

  private void tellPeers() {
    long epoch = tables.view() == null ? 0 : tables.view().epoch();
    ByteBuffer frame =
        new PeerFrame.Standing(
                nodeIndex, epoch, ledger.reachable(), (int) Math.ceil(ledger.writing()))
            .encode();
    peers.values().forEach(p -> p.accept(frame.duplicate()));
  }

  public void peerStands(PeerFrame.Standing s) {
    heard.put(s.from(), new Heard(s.stateOk(), timers.nowMs(), s.writes()));
    peerEpoch = Math.max(peerEpoch, s.epoch());
  }
}
