package wickdrift.coordination;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.Transaction;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.LevelUpgrade;
import wickdrift.bookkeeping.level.NodeRecord;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.PeerFrame;
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/** This node's lease and membership, and the changes of view. */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  private static final long TICK_MS = 250;
  private static final long PEER_FRESH_MS = 2000;
  private static final double BUSIER = 1.25;
  private static final double RAMP = 2;

  /** Conditions of a change of view besides the members': the view, and a few of a rise. */
  private static final int BESIDE_MEMBERS = 4;

  private static final long BARRIER_MS = 1500;

  /** How this node stands. */
  public enum Status {
    /** No lease, or the view does not hold this incarnation. */
    OUTSIDE,
    /** In the view with a lease that surely holds. */
    MEMBER,
    /** Was a member; the lease may have ended, but within the grace reports are answered. */
    GRACE
  }

  private record Heard(boolean stateOk, long atMs, int writes) {}

  private final Timers timers;
  private final StateServiceClient ledger;
  private final Tables tables;
  private final Tuning tuning;
  private final String node;
  private final Settings settings;
  private final LevelRange levels;
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

  /** Whether this process goes on, for whoever asks for the reasons. */
  private enum Stage {
    SERVING,
    /** Told to end: it takes nothing new, and keeps its lease until what it has begun is done. */
    LEAVING,
    /** Its lease is given back. */
    GONE
  }

  private Stage stage = Stage.SERVING;
  private boolean joined;
  private String said;
  private double toldWrites;

  /** Asks for no lease before it is started. */
  public Membership(
      Timers timers,
      StateServiceClient ledger,
      Tables tables,
      Tuning tuning,
      Settings settings,
      LevelRange levels,
      String incarnation,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.ledger = ledger;
    this.tables = tables;
    this.tuning = tuning;
    this.node = settings.node();
    this.settings = settings;
    this.levels = levels;
    this.process = incarnation;
    this.incarnation = incarnation;
    this.peers = peers;
  }

  public void start() {
    tick();
  }

  /** What this node may do now. */
  public Status status() {
    View v = tables.view();
    // What can't be read whole, or stands at a level that this build does not speak, proves
    // nothing.
    if (v == null
        || stage == Stage.GONE
        || tables.blockedReason() != null
        || !incarnation.equals(v.members().get(node))) {
      return Status.OUTSIDE;
    }
    long now = timers.nowMs();
    if (now < leaseUntilMs && caughtUp) {
      return Status.MEMBER;
    }
    return now < leaseUntilMs + tuning.graceMs() ? Status.GRACE : Status.OUTSIDE;
  }

  /**
   * This process has stood still. Its lease may hold, but the view may have changed: it decides
   * nothing, and answers no report with an epoch that may be superseded, until it has caught up.
   */
  public void onProcessResumed() {
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

  /** Whether this node is there with a lease that holds, and the view has no room for it. */
  public boolean isSpare() {
    return timers.nowMs() < leaseUntilMs
        && caughtUp
        && stage == Stage.SERVING
        && tables.blockedReason() == null
        && incarnation.equals(tables.members().get(node));
  }

  public boolean isLeader() {
    return status() == Status.MEMBER && node.equals(tables.view().leader());
  }

  /** True when a peer has shown a view newer than ours: ours must not be acted on. */
  public boolean isViewOutdated() {
    return tables.view() != null && peerEpoch > tables.view().epoch();
  }

  /**
   * True when we are not served by the state service, and a peer says that it is, or none is heard:
   * who has lost both has only its workers, and users are better off anywhere else.
   */
  public boolean isIsolated() {
    if (ledger.reachable()) {
      return false;
    }
    long now = timers.nowMs();
    List<Heard> fresh = heard.values().stream().filter(h -> now - h.atMs < PEER_FRESH_MS).toList();
    return fresh.isEmpty() ? !peers.isEmpty() : fresh.stream().anyMatch(Heard::stateOk);
  }

  private void tick() {
    timers.after(TICK_MS, this::tick);
    keepLease();
    catchUp();
    if (ledger.phase() == StateServiceClient.Phase.FOLLOWING
        && tables.blockedReason() == null
        && stage == Stage.SERVING) {
      keepMember();
      keepRoster();
      fenceParts();
      considerView();
    }
    tellPeers();
    shareWrites();
  }

  // ---- the lease ----

  private void keepLease() {
    long now = timers.nowMs();
    if (asking || stage == Stage.GONE || tables.blockedReason() != null) {
      // Who may not take part asks for no lease, and lets the one it has end.
      return;
    }
    if (tether == 0) {
      asking = true;
      ledger.grantLease(
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
      ledger.extendLease(
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
    String stands = tables.members().get(node);
    if (tether == 0 || writing || incarnation.equals(stands)) {
      joined |= incarnation.equals(stands);
      return;
    }
    if (stands != null && joined && !stands.startsWith(process)) {
      // We were in and were put out by a process that is not an earlier one of ours: were both to
      // go on claiming the name, every claim would change the view for all.
      say("another process serves under the name " + node + ": staying outside until it is gone");
      return;
    }
    NodeRegistry registry = tables.registry();
    NodeRecord known = registry.nodeRecord(node);
    List<String> names = settings.nodeNames();
    Transaction txn = new Transaction();
    boolean may = mayJoin(names);
    if (!registry.hasStoredInitialNames()) {
      if (!may) {
        return;
      }
      // Before anyone has a number: else two might be given one of different lists.
      txn.requireStamp(NodeRegistry.INITIAL_NAMES_KEY, 0)
          .write(NodeRegistry.INITIAL_NAMES_KEY, NodeRegistry.encodeInitialNames(names));
    }
    if (known == null || !known.levels().equals(levels) || !known.peers().equals(names)) {
      int number = registry.numberOf(node) < 0 ? registry.nextNumber() : registry.numberOf(node);
      NodeRecord next =
          known == null
              ? NodeRecord.create(number, node, levels, names)
              : known.withLevels(levels, names);
      txn.requireStamp(NodeRecord.key(number), next.stamp())
          .write(NodeRecord.key(number), next.toStore());
    }
    if (may) {
      Map<String, Object> member = new LinkedHashMap<>();
      member.put("inc", incarnation);
      member.put("zone", settings.zone());
      levels.addTo(member);
      txn.requireStamp("w/m/" + node, tables.memberStamp(node))
          .write("w/m/" + node, member, tether);
    }
    if (txn.changeCount() == 0) {
      return;
    }
    writing = true;
    ledger.commit(
        txn,
        StateServiceClient.WritePriority.AUTHORITY,
        r -> {
          if (r.leaseNotFound()) {
            tether = 0;
          }
          ledger.barrier(2000, ok -> writing = false);
        });
  }

  /**
   * Where numbers are places in the list of the settings still, only those may act whose list is
   * the one that the others go by: to any other the same number would be another controller, and
   * its attempts would count against the wrong share of a team's limit.
   */
  private boolean mayJoin(List<String> names) {
    NodeRegistry registry = tables.registry();
    View v = tables.view();
    if (tables.isOpen(Gate.NUMBERS)) {
      return true;
    }
    boolean same =
        registry.hasStoredInitialNames()
            ? registry.initialNames().equals(names)
            : v == null || names.containsAll(v.members().keySet());
    if (!same) {
      say(
          "staying outside until level "
              + Gate.NUMBERS.level()
              + " is in force: the settings name "
              + names
              + ", and the others go by "
              + (registry.hasStoredInitialNames()
                  ? registry.initialNames()
                  : v.members().keySet()));
    }
    return same;
  }

  /** A reason is told once, not at each try. */
  private void say(String why) {
    if (!why.equals(said)) {
      said = why;
      LOG.error("{}", why);
    }
  }

  /**
   * What the leader keeps of the roster: that nobody counts as speaking a level that the build
   * which it runs now does not. One that was put back to an older build and is down when the level
   * rises would stay outside for ever.
   */
  private void keepRoster() {
    if (writing || !isLeader()) {
      return;
    }
    NodeRegistry registry = tables.registry();
    Transaction txn = new Transaction().requireStamp(View.KEY, tables.viewStamp());
    for (Map.Entry<String, LevelRange> m : tables.memberLevels().entrySet()) {
      NodeRecord a = registry.nodeRecord(m.getKey());
      if (a != null && !a.levels().equals(m.getValue()) && txn.changeCount() == 0) {
        LOG.info("{} speaks levels {} now", a.name(), m.getValue());
        txn.requireStamp(NodeRecord.key(a.number()), a.stamp())
            .requireStamp("w/m/" + a.name(), tables.memberStamp(a.name()))
            .write(NodeRecord.key(a.number()), a.withLevels(m.getValue(), a.peers()).toStore());
      }
    }
    if (txn.changeCount() > 0) {
      writing = true;
      ledger.commit(
          txn,
          StateServiceClient.WritePriority.WORK,
          r -> ledger.barrier(2000, ok -> writing = false));
    }
  }

  /**
   * The parts that did not fit into the switch to a view that is a condition itself. Until they are
   * rewritten nobody places anything: what was prepared before is conditional on them alone.
   */
  private void fenceParts() {
    if (writing || !isLeader()) {
      return;
    }
    Transaction txn = new Transaction().requireStamp(View.KEY, tables.viewStamp());
    for (String n : tables.unfencedPartitions()) {
      Partition p = tables.partition(n);
      if (txn.changeCount() < ledger.limits().maxTransactionChanges()) {
        Partition told =
            p.encoding() == Encoding.FIRST
                ? Quota.toNumberedEncoding(p, n, tables.registry(), settings)
                : p;
        txn.requireStamp(Partition.key(n), p.stamp())
            .write(Partition.key(n), told.inEpoch(tables.view().epoch()).toStore());
      }
    }
    if (txn.changeCount() > 0) {
      LOG.info("writing {} parts anew for the view to count", txn.changeCount());
      writing = true;
      ledger.commit(
          txn,
          StateServiceClient.WritePriority.AUTHORITY,
          r -> ledger.barrier(2000, ok -> writing = false));
    }
  }

  // ---- ending ----

  /** Told to end: from now on nothing new is taken. */
  public void leave() {
    if (stage == Stage.SERVING) {
      to(Stage.LEAVING, "told to end");
    }
  }

  /** Whether this process was told to end. */
  public boolean isLeaving() {
    return stage != Stage.SERVING;
  }

  /**
   * Gives the lease back, so that the others need not wait for its end.
   *
   * @param done called once the state service has answered, or has not in time
   */
  public void releaseLease(Runnable done) {
    if (stage == Stage.GONE || tether == 0) {
      to(Stage.GONE, "without a lease");
      done.run();
      return;
    }
    to(Stage.GONE, "giving the lease back");
    ledger.revokeLease(tether, done);
  }

  private void to(Stage next, String why) {
    if (next.ordinal() > stage.ordinal()) {
      LOG.info("{} -> {}: {}", stage, next, why);
      stage = next;
    }
  }

  // ---- the view ----

  private void considerView() {
    View now = tables.view();
    View next = View.next(now, tables.members(), tables.memberZones());
    View base = next != null ? next : now == null ? null : now.withNextEpoch();
    long nowMs = timers.nowMs();
    if (base == null || proposing || nowMs >= leaseUntilMs || !mayPropose()) {
      differsSinceMs = -1;
      return;
    }
    LevelUpgrade rise =
        LevelUpgrade.evaluate(
            base.level(), levels, tables.memberLevels(), settings.nodeNames(), tables.registry());
    boolean rises = rise.level() > base.level() && tables.registry().hasStoredInitialNames();
    View wanted = fitting(rises ? base.withLevel(rise.level()) : base);
    boolean same = now != null && wanted.members().equals(now.members());
    if (same && !rises) {
      differsSinceMs = -1;
      return;
    }
    if (differsSinceMs < 0) {
      differsSinceMs = nowMs;
    }
    // The coming leader proposes first; the others only if it does not.
    long turn = base.leader().equals(node) ? 0 : 600L * (1 + place());
    if (nowMs - differsSinceMs < turn) {
      return;
    }
    if (rises) {
      LOG.info("level {} may come into force: all speak it", rise.level());
      Map<String, Long> conditions = new LinkedHashMap<>(rise.conditions());
      conditions.put(NodeRegistry.INITIAL_NAMES_KEY, tables.registry().initialNamesStamp());
      tables
          .memberLevels()
          .keySet()
          .forEach(m -> conditions.put("w/m/" + m, tables.memberStamp(m)));
      propose(wanted, conditions);
    } else {
      propose(wanted, Map.of());
    }
  }

  /**
   * Members do, and where there is none, those who wait outside for the level to rise: else nobody
   * would ever raise it when the settings of all were changed at once.
   */
  private boolean mayPropose() {
    return incarnation.equals(tables.members().get(node))
        || tables.members().isEmpty() && tables.view() != null && tether > 0;
  }

  /** This node's place among those that are there: it decides whose turn it is. */
  private int place() {
    return new ArrayList<>(tables.members().keySet()).indexOf(node);
  }

  /**
   * One transaction rewrites the parts of all that come, stay and go. Where that is more than it
   * may hold, those that go come first, and of those that come as many as fit. The rest are spares:
   * they serve users as all do, and take the place of the next member that goes.
   */
  private View fitting(View next) {
    View now = tables.view();
    if (next.isOpen(Gate.VIEWS)) {
      return named(next);
    }
    int most = ledger.limits().maxTransactionChanges() - 1;
    TreeSet<String> all = new TreeSet<>(next.members().keySet());
    all.addAll(now == null ? Set.of() : now.members().keySet());
    if (all.size() <= most) {
      return next;
    }
    Set<String> before = now == null ? Set.of() : now.members().keySet();
    Map<String, String> fewer = new TreeMap<>(next.members());
    fewer.keySet().retainAll(before);
    int room = most - before.size();
    while (room-- > 0 && fewer.size() < next.members().size()) {
      String comes = nextIn(next, fewer.keySet());
      fewer.put(comes, next.members().get(comes));
    }
    if (fewer.isEmpty()) {
      // All members are gone at once: one of them makes room for the first that comes.
      fewer.putAll(now.members());
      fewer.remove(before.iterator().next());
    }
    Map<String, String> zones = new TreeMap<>(now == null ? Map.of() : now.zones());
    zones.putAll(next.zones());
    return among(next, fewer, zones);
  }

  /** The view with fewer members; its leader stays, if it is one of them. */
  private static View among(View next, Map<String, String> fewer, Map<String, String> zones) {
    zones.keySet().retainAll(fewer.keySet());
    String leader =
        fewer.containsKey(next.leader()) ? next.leader() : fewer.keySet().iterator().next();
    return next.withMembers(fewer, leader, zones);
  }

  /**
   * Where a change of view rewrites no parts, a view has as many members as the conditions of one
   * transaction allow, which must all be there: of those that come, as many as fit beside those
   * that stay.
   */
  private View named(View next) {
    // The switch itself rewrites parts still, on condition of each.
    int parts = tables.isOpen(Gate.VIEWS) ? 0 : ledger.limits().maxTransactionChanges() - 1;
    int most = ledger.limits().maxTransactionConditions() - BESIDE_MEMBERS - parts;
    if (next.members().size() <= most) {
      return next;
    }
    Map<String, String> fewer = new TreeMap<>(next.members());
    if (tables.view() != null) {
      fewer.keySet().retainAll(tables.view().members().keySet());
    }
    while (fewer.size() > most) {
      String last = ((TreeMap<String, String>) fewer).lastKey();
      String other =
          fewer.keySet().stream().filter(m -> !m.equals(next.leader())).findFirst().get();
      fewer.remove(last.equals(next.leader()) ? other : last);
    }
    while (fewer.size() < most) {
      String comes = nextIn(next, fewer.keySet());
      fewer.put(comes, next.members().get(comes));
    }
    Map<String, String> zones = new TreeMap<>(next.zones());
    return among(next, fewer, zones);
  }

  /** Who comes next: of the zone that has the fewest members, or it would stand alone in a cut. */
  private static String nextIn(View next, Set<String> in) {
    Map<String, Integer> zones = new HashMap<>();
    in.forEach(m -> zones.merge(next.zones().getOrDefault(m, ""), 1, Integer::sum));
    String best = null;
    for (String m : next.members().keySet()) {
      int here = zones.getOrDefault(next.zones().getOrDefault(m, ""), 0);
      if (!in.contains(m)
          && (best == null || here < zones.getOrDefault(next.zones().getOrDefault(best, ""), 0))) {
        best = m;
      }
    }
    return best;
  }

  /** The same view under a higher epoch, so that commands given under this one are void. */
  public void raiseEpoch() {
    View v = tables.view();
    // Spares are there too.
    boolean whole = tables.members().entrySet().containsAll(v.members().entrySet());
    if (!proposing && status() == Status.MEMBER && whole) {
      propose(v.withNextEpoch(), Map.of());
    }
  }

  private void propose(View next, Map<String, Long> conditions) {
    proposing = true;
    Transaction txn =
        new Transaction()
            .requireStamp(View.KEY, tables.viewStamp())
            .write(View.KEY, next.toStore());
    next.members().keySet().forEach(m -> txn.requireStamp("w/m/" + m, tables.memberStamp(m)));
    // Rewriting the parts makes whatever was prepared under the old view fail. Those of nodes in
    // neither view were rewritten when they left: nothing of theirs can come any more. Since what
    // is prepared is conditional on the view itself, they are rewritten no more; at the switch, as
    // many as the transaction holds, and the rest before anything is placed.
    Set<String> all = new LinkedHashSet<>();
    if (!tables.isOpen(Gate.VIEWS)) {
      all.addAll(
          tables.view() == null ? tables.partitions().keySet() : tables.view().members().keySet());
      all.addAll(next.members().keySet());
    }
    int parts = next.isOpen(Gate.VIEWS) ? ledger.limits().maxTransactionChanges() - 1 : all.size();
    for (String m : all) {
      if (parts-- <= 0) {
        break;
      }
      Partition p = tables.partition(m);
      Partition told = p == null ? Partition.empty(0, Encoding.forLevel(next.level())) : p;
      if (next.isOpen(Gate.NUMBERS) && told.encoding() == Encoding.FIRST) {
        told = Quota.toNumberedEncoding(told, m, tables.registry(), settings);
      }
      txn.requireStamp(Partition.key(m), p == null ? 0 : p.stamp());
      txn.write(Partition.key(m), told.inEpoch(next.epoch()).toStore());
    }
    // Nobody outside the view acts, so what is known of them is asked for as far as it fits.
    int most = ledger.limits().maxTransactionConditions();
    conditions.forEach(
        (key, stamp) -> {
          if (txn.conditions().size() < most) {
            txn.requireStamp(key, stamp);
          }
        });
    LOG.info(
        "proposing epoch {}: level {}, members {}, leader {}",
        next.epoch(),
        next.level(),
        next.members().keySet(),
        next.leader());
    ledger.commit(
        txn,
        StateServiceClient.WritePriority.AUTHORITY,
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
   * The writes that the others leave are ours; but beyond an even share no more than a few times
   * what we told them last, or all who are idle and begin at once would each take what the others
   * left.
   *
   * <p>One that is idle may begin at any time, one that is busy may become busier, and of one that
   * is not heard half an even share is assumed.
   */
  private void shareWrites() {
    View v = tables.view();
    if (v == null) {
      return;
    }
    int there = Math.max(v.members().size(), tables.memberLevels().size());
    ledger.divideLimits(there, node.equals(v.leader()));
    double fair = ledger.fairWriteRate();
    double even = ledger.evenWriteRate();
    long now = timers.nowMs();
    int known = 0;
    double others = 0;
    for (Heard h : heard.values()) {
      if (now - h.atMs < PEER_FRESH_MS) {
        known++;
        others += Math.max(h.writes * BUSIER, even / 4);
      }
    }
    int unknown = Math.max(0, there - 1 - known);
    ledger.setOtherMembersWriteRate(others + unknown * even / 2, Math.max(fair, toldWrites * RAMP));
    toldWrites = ledger.recentWriteRate();
  }

  private void tellPeers() {
    long epoch = tables.view() == null ? 0 : tables.view().epoch();
    int number = tables.registry().numberOf(node);
    if (number < 0) {
      return;
    }
    ByteBuffer frame =
        new PeerFrame.Standing(
                number, epoch, ledger.reachable(), (int) Math.ceil(ledger.recentWriteRate()))
            .encode();
    peers.values().forEach(p -> p.accept(frame.duplicate()));
  }

  public void handlePeerStatus(PeerFrame.Standing s) {
    heard.put(s.from(), new Heard(s.stateOk(), timers.nowMs(), s.writes()));
    peerEpoch = Math.max(peerEpoch, s.epoch());
  }
}
