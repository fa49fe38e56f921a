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
  private static final long TICK_INTERVAL_MS = 250;
  private static final long MAX_PEER_STATUS_AGE_MS = 2000;
  private static final double PEER_WRITE_RATE_MARGIN = 1.25;
  private static final double MAX_WRITE_RATE_GROWTH = 2;

  /** Conditions of a change of view besides the members': the view, and a few of a rise. */
  private static final int NON_MEMBER_CONDITIONS = 4;

  private static final long CATCH_UP_TIMEOUT_MS = 1500;

  /** How this node stands. */
  public enum Status {
    /** No lease, or the view does not hold this incarnation. */
    OUTSIDE,
    /** In the view with a lease that surely holds. */
    MEMBER,
    /** Was a member; the lease may have ended, but within the grace reports are answered. */
    GRACE
  }

  private record PeerStatus(boolean stateReachable, long receivedMs, int writeRate) {}

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final Tuning tuning;
  private final String node;
  private final Settings settings;
  private final LevelRange supportedLevels;
  private final String processIncarnation;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final Map<Integer, PeerStatus> peerStatuses = new HashMap<>();

  /**
   * A new one with each lease. If one process kept its incarnation, then between the grant of a new
   * lease and the news of its expulsion under the old one it would take itself for a member.
   */
  private String incarnation;

  private int leaseCount;
  private long leaseId;
  private long leaseDeadlineMs = Long.MIN_VALUE / 2;
  private boolean leaseRequestInFlight;
  private boolean writeInFlight;
  private long viewDiffersSinceMs = -1;
  private boolean proposalInFlight;
  private long highestPeerEpoch;

  /** False from waking until the tables hold all that was durable by then. */
  private boolean caughtUp = true;

  private boolean catchingUp;

  /** Whether this process goes on, for whoever asks for the reasons. */
  private enum Stage {
    SERVING,
    /** Told to end: it takes nothing new, and keeps its lease until what it has begun is done. */
    LEAVING,
    /** Its lease is given back. */
    RELEASED
  }

  private Stage stage = Stage.SERVING;
  private boolean joined;
  private String lastLoggedReason;
  private double lastSentWriteRate;

  /** Asks for no lease before it is started. */
  public Membership(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      Tuning tuning,
      Settings settings,
      LevelRange levels,
      String incarnation,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.tuning = tuning;
    this.node = settings.node();
    this.settings = settings;
    this.supportedLevels = levels;
    this.processIncarnation = incarnation;
    this.incarnation = incarnation;
    this.peers = peers;
  }

  public void start() {
    tick();
  }

  /** What this node may do now. */
  public Status status() {
    View view = tables.view();
    // What can't be read whole, or stands at a level that this build does not speak, proves
    // nothing.
    if (view == null
        || stage == Stage.RELEASED
        || tables.blockedReason() != null
        || !incarnation.equals(view.members().get(node))) {
      return Status.OUTSIDE;
    }
    long now = timers.nowMs();
    if (now < leaseDeadlineMs && caughtUp) {
      return Status.MEMBER;
    }
    return now < leaseDeadlineMs + tuning.graceMs() ? Status.GRACE : Status.OUTSIDE;
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
    stateService.barrier(
        CATCH_UP_TIMEOUT_MS,
        ok -> {
          catchingUp = false;
          caughtUp |= ok;
        });
  }

  /** Whether this node is there with a lease that holds, and the view has no room for it. */
  public boolean isSpare() {
    return timers.nowMs() < leaseDeadlineMs
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
    return tables.view() != null && highestPeerEpoch > tables.view().epoch();
  }

  /**
   * True when we are not served by the state service, and a peer says that it is, or none is heard:
   * who has lost both has only its workers, and users are better off anywhere else.
   */
  public boolean isIsolated() {
    if (stateService.reachable()) {
      return false;
    }
    long now = timers.nowMs();
    List<PeerStatus> recentStatuses =
        peerStatuses.values().stream()
            .filter(status -> now - status.receivedMs < MAX_PEER_STATUS_AGE_MS)
            .toList();
    return recentStatuses.isEmpty()
        ? !peers.isEmpty()
        : recentStatuses.stream().anyMatch(PeerStatus::stateReachable);
  }

  private void tick() {
    timers.after(TICK_INTERVAL_MS, this::tick);
    maintainLease();
    catchUp();
    if (stateService.phase() == StateServiceClient.Phase.FOLLOWING
        && tables.blockedReason() == null
        && stage == Stage.SERVING) {
      maintainMemberRecord();
      correctNodeRecords();
      fencePartitions();
      evaluateView();
    }
    broadcastStatus();
    updateWriteBudget();
  }

  // ---- the lease ----

  private void maintainLease() {
    long now = timers.nowMs();
    if (leaseRequestInFlight || stage == Stage.RELEASED || tables.blockedReason() != null) {
      // Who may not take part asks for no lease, and lets the one it has end.
      return;
    }
    if (leaseId == 0) {
      leaseRequestInFlight = true;
      stateService.grantLease(
          tuning.memberLeaseMs(),
          grantedId -> {
            leaseRequestInFlight = false;
            if (grantedId > 0) {
              leaseId = grantedId;
              incarnation =
                  leaseCount++ == 0 ? processIncarnation : processIncarnation + "-" + leaseCount;
              extendLeaseDeadline(now);
            }
          });
    } else if (leaseDeadlineMs - now < tuning.memberLeaseMs() * 3 / 4) {
      leaseRequestInFlight = true;
      long extendedId = leaseId;
      stateService.extendLease(
          extendedId,
          status -> {
            leaseRequestInFlight = false;
            if (status == 200) {
              extendLeaseDeadline(now);
            } else if (status == 404) {
              LOG.warn("our lease has ended");
              leaseId = 0;
            }
          });
    }
  }

  /** Measured from when the renewal was sent, less drift: never later than the state service's. */
  private void extendLeaseDeadline(long sentMs) {
    leaseDeadlineMs = sentMs + tuning.memberLeaseMs() - tuning.memberLeaseMs() / 1000 - 1;
  }

  private void maintainMemberRecord() {
    String recorded = tables.members().get(node);
    if (leaseId == 0 || writeInFlight || incarnation.equals(recorded)) {
      joined |= incarnation.equals(recorded);
      return;
    }
    if (recorded != null && joined && !recorded.startsWith(processIncarnation)) {
      // We were in and were put out by a process that is not an earlier one of ours: were both to
      // go on claiming the name, every claim would change the view for all.
      logReasonOnce(
          "another process serves under the name " + node + ": staying outside until it is gone");
      return;
    }
    NodeRegistry registry = tables.registry();
    NodeRecord nodeRecord = registry.nodeRecord(node);
    List<String> names = settings.nodeNames();
    Transaction transaction = new Transaction();
    boolean mayJoin = mayJoin(names);
    if (!registry.hasStoredInitialNames()) {
      if (!mayJoin) {
        return;
      }
      // Before anyone has a number: else two might be given one of different lists.
      transaction
          .requireStamp(NodeRegistry.INITIAL_NAMES_KEY, 0)
          .write(NodeRegistry.INITIAL_NAMES_KEY, NodeRegistry.encodeInitialNames(names));
    }
    if (nodeRecord == null
        || !nodeRecord.levels().equals(supportedLevels)
        || !nodeRecord.peers().equals(names)) {
      int number = registry.numberOf(node) < 0 ? registry.nextNumber() : registry.numberOf(node);
      NodeRecord updatedRecord =
          nodeRecord == null
              ? NodeRecord.create(number, node, supportedLevels, names)
              : nodeRecord.withLevels(supportedLevels, names);
      transaction
          .requireStamp(NodeRecord.key(number), updatedRecord.stamp())
          .write(NodeRecord.key(number), updatedRecord.toStore());
    }
    if (mayJoin) {
      Map<String, Object> member = new LinkedHashMap<>();
      member.put("inc", incarnation);
      member.put("zone", settings.zone());
      supportedLevels.addTo(member);
      transaction
          .requireStamp("w/m/" + node, tables.memberStamp(node))
          .write("w/m/" + node, member, leaseId);
    }
    if (transaction.changeCount() == 0) {
      return;
    }
    writeInFlight = true;
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.AUTHORITY,
        result -> {
          if (result.leaseNotFound()) {
            leaseId = 0;
          }
          stateService.barrier(2000, ok -> writeInFlight = false);
        });
  }

  /**
   * Where numbers are places in the list of the settings still, only those may act whose list is
   * the one that the others go by: to any other the same number would be another controller, and
   * its attempts would count against the wrong share of a team's limit.
   */
  private boolean mayJoin(List<String> names) {
    NodeRegistry registry = tables.registry();
    View view = tables.view();
    if (tables.isOpen(Gate.NUMBERS)) {
      return true;
    }
    boolean listMatches =
        registry.hasStoredInitialNames()
            ? registry.initialNames().equals(names)
            : view == null || names.containsAll(view.members().keySet());
    if (!listMatches) {
      logReasonOnce(
          "staying outside until level "
              + Gate.NUMBERS.level()
              + " is in force: the settings name "
              + names
              + ", and the others go by "
              + (registry.hasStoredInitialNames()
                  ? registry.initialNames()
                  : view.members().keySet()));
    }
    return listMatches;
  }

  /** A reason is told once, not at each try. */
  private void logReasonOnce(String reason) {
    if (!reason.equals(lastLoggedReason)) {
      lastLoggedReason = reason;
      LOG.error("{}", reason);
    }
  }

  /**
   * What the leader keeps of the roster: that nobody counts as speaking a level that the build
   * which it runs now does not. One that was put back to an older build and is down when the level
   * rises would stay outside for ever.
   */
  private void correctNodeRecords() {
    if (writeInFlight || !isLeader()) {
      return;
    }
    NodeRegistry registry = tables.registry();
    Transaction transaction = new Transaction().requireStamp(View.KEY, tables.viewStamp());
    for (Map.Entry<String, LevelRange> live : tables.memberLevels().entrySet()) {
      NodeRecord nodeRecord = registry.nodeRecord(live.getKey());
      if (nodeRecord != null
          && !nodeRecord.levels().equals(live.getValue())
          && transaction.changeCount() == 0) {
        LOG.info("{} speaks levels {} now", nodeRecord.name(), live.getValue());
        transaction
            .requireStamp(NodeRecord.key(nodeRecord.number()), nodeRecord.stamp())
            .requireStamp("w/m/" + nodeRecord.name(), tables.memberStamp(nodeRecord.name()))
            .write(
                NodeRecord.key(nodeRecord.number()),
                nodeRecord.withLevels(live.getValue(), nodeRecord.peers()).toStore());
      }
    }
    if (transaction.changeCount() > 0) {
      writeInFlight = true;
      stateService.commit(
          transaction,
          StateServiceClient.WritePriority.WORK,
          r -> stateService.barrier(2000, ok -> writeInFlight = false));
    }
  }

  /**
   * The parts that did not fit into the switch to a view that is a condition itself. Until they are
   * rewritten nobody places anything: what was prepared before is conditional on them alone.
   */
  private void fencePartitions() {
    if (writeInFlight || !isLeader()) {
      return;
    }
    Transaction transaction = new Transaction().requireStamp(View.KEY, tables.viewStamp());
    for (String name : tables.unfencedPartitions()) {
      Partition partition = tables.partition(name);
      if (transaction.changeCount() < stateService.limits().maxTransactionChanges()) {
        Partition updated =
            partition.encoding() == Encoding.FIRST
                ? Quota.toNumberedEncoding(partition, name, tables.registry(), settings)
                : partition;
        transaction
            .requireStamp(Partition.key(name), partition.stamp())
            .write(Partition.key(name), updated.inEpoch(tables.view().epoch()).toStore());
      }
    }
    if (transaction.changeCount() > 0) {
      LOG.info("writing {} parts anew for the view to count", transaction.changeCount());
      writeInFlight = true;
      stateService.commit(
          transaction,
          StateServiceClient.WritePriority.AUTHORITY,
          r -> stateService.barrier(2000, ok -> writeInFlight = false));
    }
  }

  // ---- ending ----

  /** Told to end: from now on nothing new is taken. */
  public void leave() {
    if (stage == Stage.SERVING) {
      advanceTo(Stage.LEAVING, "told to end");
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
    if (stage == Stage.RELEASED || leaseId == 0) {
      advanceTo(Stage.RELEASED, "without a lease");
      done.run();
      return;
    }
    advanceTo(Stage.RELEASED, "giving the lease back");
    stateService.revokeLease(leaseId, done);
  }

  private void advanceTo(Stage next, String reason) {
    if (next.ordinal() > stage.ordinal()) {
      LOG.info("{} -> {}: {}", stage, next, reason);
      stage = next;
    }
  }

  // ---- the view ----

  private void evaluateView() {
    View current = tables.view();
    View next = View.next(current, tables.members(), tables.memberZones());
    View base = next != null ? next : current == null ? null : current.withNextEpoch();
    long nowMs = timers.nowMs();
    if (base == null || proposalInFlight || nowMs >= leaseDeadlineMs || !mayPropose()) {
      viewDiffersSinceMs = -1;
      return;
    }
    LevelUpgrade upgrade =
        LevelUpgrade.evaluate(
            base.level(),
            supportedLevels,
            tables.memberLevels(),
            settings.nodeNames(),
            tables.registry());
    boolean upgrades = upgrade.level() > base.level() && tables.registry().hasStoredInitialNames();
    View wanted = fitToTransactionLimit(upgrades ? base.withLevel(upgrade.level()) : base);
    boolean sameMembers = current != null && wanted.members().equals(current.members());
    if (sameMembers && !upgrades) {
      viewDiffersSinceMs = -1;
      return;
    }
    if (viewDiffersSinceMs < 0) {
      viewDiffersSinceMs = nowMs;
    }
    // The coming leader proposes first; the others only if it does not.
    long turnDelayMs = base.leader().equals(node) ? 0 : 600L * (1 + memberIndex());
    if (nowMs - viewDiffersSinceMs < turnDelayMs) {
      return;
    }
    if (upgrades) {
      LOG.info("level {} may come into force: all speak it", upgrade.level());
      Map<String, Long> conditions = new LinkedHashMap<>(upgrade.conditions());
      conditions.put(NodeRegistry.INITIAL_NAMES_KEY, tables.registry().initialNamesStamp());
      tables
          .memberLevels()
          .keySet()
          .forEach(member -> conditions.put("w/m/" + member, tables.memberStamp(member)));
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
        || tables.members().isEmpty() && tables.view() != null && leaseId > 0;
  }

  /** This node's place among those that are there: it decides whose turn it is. */
  private int memberIndex() {
    return new ArrayList<>(tables.members().keySet()).indexOf(node);
  }

  /**
   * One transaction rewrites the parts of all that come, stay and go. Where that is more than it
   * may hold, those that go come first, and of those that come as many as fit. The rest are spares:
   * they serve users as all do, and take the place of the next member that goes.
   */
  private View fitToTransactionLimit(View next) {
    View current = tables.view();
    if (next.isOpen(Gate.VIEWS)) {
      return fitToConditionLimit(next);
    }
    int maxMembers = stateService.limits().maxTransactionChanges() - 1;
    TreeSet<String> oldAndNew = new TreeSet<>(next.members().keySet());
    oldAndNew.addAll(current == null ? Set.of() : current.members().keySet());
    if (oldAndNew.size() <= maxMembers) {
      return next;
    }
    Set<String> currentMembers = current == null ? Set.of() : current.members().keySet();
    Map<String, String> selected = new TreeMap<>(next.members());
    selected.keySet().retainAll(currentMembers);
    int slots = maxMembers - currentMembers.size();
    while (slots-- > 0 && selected.size() < next.members().size()) {
      String added = nextMemberToAdd(next, selected.keySet());
      selected.put(added, next.members().get(added));
    }
    if (selected.isEmpty()) {
      // All members are gone at once: one of them makes room for the first that comes.
      selected.putAll(current.members());
      selected.remove(currentMembers.iterator().next());
    }
    Map<String, String> zones = new TreeMap<>(current == null ? Map.of() : current.zones());
    zones.putAll(next.zones());
    return restrictTo(next, selected, zones);
  }

  /** The view with fewer members; its leader stays, if it is one of them. */
  private static View restrictTo(
      View next, Map<String, String> selected, Map<String, String> zones) {
    zones.keySet().retainAll(selected.keySet());
    String leader =
        selected.containsKey(next.leader()) ? next.leader() : selected.keySet().iterator().next();
    return next.withMembers(selected, leader, zones);
  }

  /**
   * Where a change of view rewrites no parts, a view has as many members as the conditions of one
   * transaction allow, which must all be there: of those that come, as many as fit beside those
   * that stay.
   */
  private View fitToConditionLimit(View next) {
    // The switch itself rewrites parts still, on condition of each.
    int partitionConditions =
        tables.isOpen(Gate.VIEWS) ? 0 : stateService.limits().maxTransactionChanges() - 1;
    int maxMembers =
        stateService.limits().maxTransactionConditions()
            - NON_MEMBER_CONDITIONS
            - partitionConditions;
    if (next.members().size() <= maxMembers) {
      return next;
    }
    Map<String, String> selected = new TreeMap<>(next.members());
    if (tables.view() != null) {
      selected.keySet().retainAll(tables.view().members().keySet());
    }
    while (selected.size() > maxMembers) {
      String lastName = ((TreeMap<String, String>) selected).lastKey();
      String lastOther =
          selected.keySet().stream()
              .filter(member -> !member.equals(next.leader()))
              .findFirst()
              .get();
      selected.remove(lastName.equals(next.leader()) ? lastOther : lastName);
    }
    while (selected.size() < maxMembers) {
      String added = nextMemberToAdd(next, selected.keySet());
      selected.put(added, next.members().get(added));
    }
    Map<String, String> zones = new TreeMap<>(next.zones());
    return restrictTo(next, selected, zones);
  }

  /** Who comes next: of the zone that has the fewest members, or it would stand alone in a cut. */
  private static String nextMemberToAdd(View next, Set<String> selected) {
    Map<String, Integer> membersPerZone = new HashMap<>();
    selected.forEach(
        member -> membersPerZone.merge(next.zones().getOrDefault(member, ""), 1, Integer::sum));
    String best = null;
    for (String member : next.members().keySet()) {
      int inZone = membersPerZone.getOrDefault(next.zones().getOrDefault(member, ""), 0);
      if (!selected.contains(member)
          && (best == null
              || inZone < membersPerZone.getOrDefault(next.zones().getOrDefault(best, ""), 0))) {
        best = member;
      }
    }
    return best;
  }

  /** The same view under a higher epoch, so that commands given under this one are void. */
  public void raiseEpoch() {
    View view = tables.view();
    // Spares are there too.
    boolean allPresent = tables.members().entrySet().containsAll(view.members().entrySet());
    if (!proposalInFlight && status() == Status.MEMBER && allPresent) {
      propose(view.withNextEpoch(), Map.of());
    }
  }

  private void propose(View next, Map<String, Long> conditions) {
    proposalInFlight = true;
    Transaction transaction =
        new Transaction()
            .requireStamp(View.KEY, tables.viewStamp())
            .write(View.KEY, next.toStore());
    next.members()
        .keySet()
        .forEach(member -> transaction.requireStamp("w/m/" + member, tables.memberStamp(member)));
    // Rewriting the parts makes whatever was prepared under the old view fail. Those of nodes in
    // neither view were rewritten when they left: nothing of theirs can come any more. Since what
    // is prepared is conditional on the view itself, they are rewritten no more; at the switch, as
    // many as the transaction holds, and the rest before anything is placed.
    Set<String> rewritten = new LinkedHashSet<>();
    if (!tables.isOpen(Gate.VIEWS)) {
      rewritten.addAll(
          tables.view() == null ? tables.partitions().keySet() : tables.view().members().keySet());
      rewritten.addAll(next.members().keySet());
    }
    int remaining =
        next.isOpen(Gate.VIEWS)
            ? stateService.limits().maxTransactionChanges() - 1
            : rewritten.size();
    for (String member : rewritten) {
      if (remaining-- <= 0) {
        break;
      }
      Partition partition = tables.partition(member);
      Partition updated =
          partition == null ? Partition.empty(0, Encoding.forLevel(next.level())) : partition;
      if (next.isOpen(Gate.NUMBERS) && updated.encoding() == Encoding.FIRST) {
        updated = Quota.toNumberedEncoding(updated, member, tables.registry(), settings);
      }
      transaction.requireStamp(Partition.key(member), partition == null ? 0 : partition.stamp());
      transaction.write(Partition.key(member), updated.inEpoch(next.epoch()).toStore());
    }
    // Nobody outside the view acts, so what is known of them is asked for as far as it fits.
    int maxConditions = stateService.limits().maxTransactionConditions();
    conditions.forEach(
        (key, stamp) -> {
          if (transaction.conditions().size() < maxConditions) {
            transaction.requireStamp(key, stamp);
          }
        });
    LOG.info(
        "proposing epoch {}: level {}, members {}, leader {}",
        next.epoch(),
        next.level(),
        next.members().keySet(),
        next.leader());
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.AUTHORITY,
        r ->
            stateService.barrier(
                2000,
                ok -> {
                  proposalInFlight = false;
                  viewDiffersSinceMs = -1;
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
  private void updateWriteBudget() {
    View view = tables.view();
    if (view == null) {
      return;
    }
    int controllers = Math.max(view.members().size(), tables.memberLevels().size());
    stateService.divideLimits(controllers, node.equals(view.leader()));
    double fairWriteRate = stateService.fairWriteRate();
    double evenWriteRate = stateService.evenWriteRate();
    long now = timers.nowMs();
    int reporting = 0;
    double othersWriteRate = 0;
    for (PeerStatus status : peerStatuses.values()) {
      if (now - status.receivedMs < MAX_PEER_STATUS_AGE_MS) {
        reporting++;
        othersWriteRate += Math.max(status.writeRate * PEER_WRITE_RATE_MARGIN, evenWriteRate / 4);
      }
    }
    int silent = Math.max(0, controllers - 1 - reporting);
    stateService.setOtherMembersWriteRate(
        othersWriteRate + silent * evenWriteRate / 2,
        Math.max(fairWriteRate, lastSentWriteRate * MAX_WRITE_RATE_GROWTH));
    lastSentWriteRate = stateService.recentWriteRate();
  }

  private void broadcastStatus() {
    long epoch = tables.view() == null ? 0 : tables.view().epoch();
    int number = tables.registry().numberOf(node);
    if (number < 0) {
      return;
    }
    ByteBuffer frame =
        new PeerFrame.Standing(
                number,
                epoch,
                stateService.reachable(),
                (int) Math.ceil(stateService.recentWriteRate()))
            .encode();
    peers.values().forEach(peer -> peer.accept(frame.duplicate()));
  }

  public void handlePeerStatus(PeerFrame.Standing status) {
    peerStatuses.put(
        status.from(), new PeerStatus(status.stateOk(), timers.nowMs(), status.writes()));
    highestPeerEpoch = Math.max(highestPeerEpoch, status.epoch());
  }
}
