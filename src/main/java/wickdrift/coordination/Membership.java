package wickdrift.coordination;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
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
import wickdrift.coordination.peers.PeerIdentity;
import wickdrift.coordination.peers.PeerStatuses;
import wickdrift.protocol.PeerFrame;
import wickdrift.settings.Settings;
import wickdrift.transport.Timers;

/**
 * Maintains this controller's member lease and its record in the list of live members, and proposes
 * changes of the view.
 */
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
  private static final long TICK_INTERVAL_MS = 250;

  /** Factor by which a busy peer is assumed to exceed the write rate that it reported last. */
  private static final double PEER_WRITE_RATE_MARGIN = 1.25;

  /** Factor by which this node may exceed the write rate that it reported to its peers last. */
  private static final double MAX_WRITE_RATE_GROWTH = 2;

  /**
   * Conditions of a view change other than those on member records: one on the view, and a few for
   * a level upgrade.
   */
  private static final int NON_MEMBER_CONDITIONS = 4;

  private static final long CATCH_UP_TIMEOUT_MS = 1500;

  /** The authority that this node has under the current view. */
  public enum Status {
    /** The node has no lease, or the view does not contain its incarnation. */
    OUTSIDE,
    /** The view contains the node, and its lease is certainly valid. */
    MEMBER,
    /**
     * The view contains the node, but its lease may have expired. It still answers reports until
     * the grace period ends.
     */
    GRACE
  }

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final Tuning tuning;
  private final String node;
  private final Settings settings;
  private final LevelRange supportedLevels;
  private final String processIncarnation;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final PeerStatuses peerStatuses;

  /**
   * The incarnation under the current lease; each lease gets a new one. If the process kept its
   * incarnation, it would consider itself a member between the grant of a new lease and the arrival
   * of the view that removes it because the old lease expired.
   */
  private String incarnation;

  private int leaseCount;
  private long leaseId;
  private long leaseDeadlineMs = Long.MIN_VALUE / 2;
  private boolean leaseRequestInFlight;
  private boolean writeInFlight;
  private long viewDiffersSinceMs = -1;
  private boolean proposalInFlight;

  /**
   * False after a process pause until the tables hold everything that was durable when the process
   * resumed.
   */
  private boolean caughtUp = true;

  private boolean catchingUp;

  /** The stages of this process; it only moves forward. */
  private enum Stage {
    SERVING,
    /**
     * Shutdown was requested: the node accepts no new work and keeps its lease until the work in
     * progress is done.
     */
    LEAVING,
    /** The lease was revoked, or there was none. */
    RELEASED
  }

  private Stage stage = Stage.SERVING;

  /** Whether the state service has listed this process as a live member. */
  private boolean joined;

  private String lastLoggedReason;
  private double lastSentWriteRate;

  /**
   * Creates the membership of this node; it requests no lease before {@link #start}.
   *
   * @param levels the levels of stored state that this build supports
   * @param identity the identity of this process
   * @param peers senders of frames to the other controllers, by name
   */
  public Membership(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      Tuning tuning,
      Settings settings,
      LevelRange levels,
      PeerIdentity identity,
      PeerStatuses peerStatuses,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.tuning = tuning;
    this.node = settings.node();
    this.settings = settings;
    this.supportedLevels = levels;
    this.processIncarnation = identity.process();
    this.incarnation = identity.process();
    this.peerStatuses = peerStatuses;
    this.peers = peers;
  }

  /** Starts the periodic work: lease, member record, view and peer status. */
  public void start() {
    tick();
  }

  /** Returns the authority that this node has now. */
  public Status status() {
    View view = tables.view();
    // Stored state that can't be read completely, or is at a level that this build does not
    // support, proves no membership.
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
    return now < leaseDeadlineMs + tuning.leaseGraceMs() ? Status.GRACE : Status.OUTSIDE;
  }

  /**
   * Called when the process resumes after a pause. The lease may still be valid, but the view may
   * have changed: until the tables have caught up, the node decides nothing and answers no report
   * with an epoch that may be superseded.
   */
  public void onProcessResumed() {
    caughtUp = false;
    catchUp();
  }

  /** Returns whether the tables are at least as recent as the end of the last process pause. */
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

  /**
   * Returns whether this node is live with a valid lease. Such a node is a spare if the view does
   * not contain it because the view is full.
   */
  public boolean isSpare() {
    return timers.nowMs() < leaseDeadlineMs
        && caughtUp
        && stage == Stage.SERVING
        && tables.blockedReason() == null
        && incarnation.equals(tables.members().get(node));
  }

  /** Returns whether this node is a member and the leader of the current view. */
  public boolean isLeader() {
    return status() == Status.MEMBER && node.equals(tables.view().leader());
  }

  /**
   * Returns whether a peer has reported a higher epoch than that of the local view. The local view
   * must not be acted on then.
   */
  public boolean isViewOutdated() {
    return tables.view() != null && peerStatuses.highestEpoch() > tables.view().epoch();
  }

  /**
   * Returns whether this controller is isolated: it can't reach the state service, and either a
   * peer can or no peer has sent its status recently. It may still reach its workers, but any other
   * controller serves users better. A controller without peers is never isolated.
   */
  public boolean isIsolated() {
    if (stateService.isReachable()) {
      return false;
    }
    Collection<PeerStatuses.Status> recentStatuses = peerStatuses.recent();
    return recentStatuses.isEmpty()
        ? !peers.isEmpty()
        : recentStatuses.stream().anyMatch(PeerStatuses.Status::stateServiceReachable);
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

  // ---- lease and member record ----

  private void maintainLease() {
    long now = timers.nowMs();
    if (leaseRequestInFlight || stage == Stage.RELEASED || tables.blockedReason() != null) {
      // A node that may not take part requests no lease and lets the one that it has expire.
      return;
    }
    if (leaseId == 0) {
      leaseRequestInFlight = true;
      stateService.grantLease(
          tuning.memberLeaseMs(),
          grantedId -> {
            leaseRequestInFlight = false;
            if (grantedId != 0) {
              leaseId = grantedId;
              leaseCount++;
              incarnation = PeerIdentity.underLease(processIncarnation, leaseCount);
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
              LOG.warn("member lease expired");
              leaseId = 0;
            }
          });
    }
  }

  /**
   * Sets the local lease deadline. It counts from the time the request was sent, less clock drift,
   * so it is never later than the expiry at the state service.
   */
  private void extendLeaseDeadline(long sentMs) {
    leaseDeadlineMs = sentMs + tuning.memberLeaseMs() - tuning.memberLeaseMs() / 1000 - 1;
  }

  private void maintainMemberRecord() {
    String recorded = tables.members().get(node);
    if (leaseId == 0 || writeInFlight || incarnation.equals(recorded)) {
      joined |= incarnation.equals(recorded);
      return;
    }
    if (recorded != null
        && joined
        && !PeerIdentity.processOf(recorded).equals(processIncarnation)) {
      // This node was a member and was replaced by another process that uses the same name. If
      // both kept claiming the name, every claim would change the view for all controllers.
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
      // The list is stored before any number is assigned: otherwise the same number might be
      // assigned to two controllers from different lists.
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
          stateService.barrier(
              StateServiceClient.BACKGROUND_BARRIER_TIMEOUT_MS, ok -> writeInFlight = false);
        });
  }

  /**
   * Returns whether this node may become a member. While controller numbers are positions in the
   * list of the settings, a node may join only with the same list as the others: with another list
   * the same number would mean another controller, and its attempts would count against the wrong
   * quota share.
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

  /** Logs a reason when it differs from the last one, not at each attempt. */
  private void logReasonOnce(String reason) {
    if (!reason.equals(lastLoggedReason)) {
      lastLoggedReason = reason;
      LOG.error("{}", reason);
    }
  }

  /**
   * As leader, corrects node records that differ from the levels in the live member records. A
   * level upgrade must not rely on a level that a controller's present build does not support: a
   * controller that was downgraded and is down during the upgrade could never rejoin.
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
          r ->
              stateService.barrier(
                  StateServiceClient.BACKGROUND_BARRIER_TIMEOUT_MS, ok -> writeInFlight = false));
    }
  }

  /**
   * As leader, rewrites the partitions that did not fit into the transaction that opened {@link
   * Gate#VIEWS}. Transactions prepared before it are conditional on their partitions only, so no
   * controller places anything until all partitions are rewritten.
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
      LOG.info(
          "rewriting partitions to fence transactions of earlier views: count={}",
          transaction.changeCount());
      writeInFlight = true;
      stateService.commit(
          transaction,
          StateServiceClient.WritePriority.AUTHORITY,
          r ->
              stateService.barrier(
                  StateServiceClient.BACKGROUND_BARRIER_TIMEOUT_MS, ok -> writeInFlight = false));
    }
  }

  // ---- shutdown ----

  /** Starts the shutdown of this node: from now on it accepts no new work. */
  public void leave() {
    if (stage == Stage.SERVING) {
      advanceTo(Stage.LEAVING, "shutdown requested");
    }
  }

  /** Returns whether shutdown was requested. */
  public boolean isLeaving() {
    return stage != Stage.SERVING;
  }

  /**
   * Revokes the lease, so that the other controllers need not wait for its expiry.
   *
   * @param done called when the state service has answered or the request has timed out
   */
  public void releaseLease(Runnable done) {
    if (stage == Stage.RELEASED || leaseId == 0) {
      advanceTo(Stage.RELEASED, "no lease to revoke");
      done.run();
      return;
    }
    advanceTo(Stage.RELEASED, "revoking the lease");
    stateService.revokeLease(leaseId, done);
  }

  private void advanceTo(Stage next, String reason) {
    if (next.ordinal() > stage.ordinal()) {
      LOG.info("membership stage changed: {} -> {}, reason={}", stage, next, reason);
      stage = next;
    }
  }

  // ---- view changes ----

  private void evaluateView() {
    View current = tables.view();
    View next = View.nextView(current, tables.members(), tables.memberZones());
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
    // The leader of the next view proposes first. The others follow in turn if it does not.
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
   * Returns whether this node may propose a view: a live member may, and where there is none, a
   * controller that waits for a level upgrade. Otherwise no controller could upgrade the level
   * after the settings of all of them were changed at once.
   */
  private boolean mayPropose() {
    return incarnation.equals(tables.members().get(node))
        || tables.members().isEmpty() && tables.view() != null && leaseId != 0;
  }

  /** Returns this node's position among the live members, which sets the order of proposals. */
  private int memberIndex() {
    return new ArrayList<>(tables.members().keySet()).indexOf(node);
  }

  /**
   * Restricts a view so that one transaction can rewrite the partitions of all members that join,
   * stay or leave. If they are too many, all leaving members are removed, and as many joining
   * members as fit are added. The remaining nodes are spares: they serve users too, and replace the
   * next member that leaves.
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
      // All members left at once: one of them is removed so that the first new one can join.
      selected.putAll(current.members());
      selected.remove(currentMembers.iterator().next());
    }
    Map<String, String> zones = new TreeMap<>(current == null ? Map.of() : current.zones());
    zones.putAll(next.zones());
    return restrictTo(next, selected, zones);
  }

  /** Returns the view with the selected members; the leader stays if it is one of them. */
  private static View restrictTo(
      View next, Map<String, String> selected, Map<String, String> zones) {
    zones.keySet().retainAll(selected.keySet());
    String leader =
        selected.containsKey(next.leader()) ? next.leader() : selected.keySet().iterator().next();
    return next.withMembers(selected, leader, zones);
  }

  /**
   * Restricts a view to as many members as the conditions of one transaction allow, as the record
   * of each member is a condition. Members that stay have precedence; joining ones are added as far
   * as they fit. This applies when view changes no longer rewrite partitions.
   */
  private View fitToConditionLimit(View next) {
    // The view change that opens the gate still rewrites partitions, each with its condition.
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

  /**
   * Returns the next node to add: one from the zone with the fewest selected members, so that a
   * zone that gets cut off is not left without a controller.
   */
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

  /** Proposes the same view under a higher epoch, which voids the commands of the current one. */
  public void raiseEpoch() {
    View view = tables.view();
    // The live members may include spares, so this is no test for equality.
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
    // Rewriting a partition makes every transaction prepared under the old view fail. Partitions of
    // nodes in neither view were rewritten when the nodes left, so no transaction of theirs can
    // succeed. Once Gate.VIEWS is open, transactions are conditional on the view itself and
    // partitions are not rewritten. The view change that opens it rewrites as many as fit; the rest
    // follow before anything is placed (see fencePartitions).
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
    // Nodes outside the view don't act, so the conditions on their records are added only as far
    // as they fit.
    int maxConditions = stateService.limits().maxTransactionConditions();
    conditions.forEach(
        (key, stamp) -> {
          if (transaction.conditions().size() < maxConditions) {
            transaction.requireStamp(key, stamp);
          }
        });
    LOG.info(
        "proposing view: epoch={}, level={}, members={}, leader={}",
        next.epoch(),
        next.level(),
        next.members().keySet(),
        next.leader());
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.AUTHORITY,
        r ->
            stateService.barrier(
                StateServiceClient.BACKGROUND_BARRIER_TIMEOUT_MS,
                ok -> {
                  proposalInFlight = false;
                  viewDiffersSinceMs = -1;
                }));
  }

  // ---- peers ----

  /**
   * Updates this node's share of the write limit of the state service. The node may use what the
   * other controllers leave, but beyond a fair share at most {@link #MAX_WRITE_RATE_GROWTH} times
   * the rate that it reported last. Otherwise several idle controllers that start writing at once
   * would each take the whole unused budget.
   *
   * <p>A peer counts with its reported rate times {@link #PEER_WRITE_RATE_MARGIN}, as it may become
   * busier, but at least with a quarter of an even share, as an idle one may start to write at any
   * time. A peer without a recent status counts with half an even share.
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
    double othersWriteRate = 0;
    Collection<PeerStatuses.Status> recentStatuses = peerStatuses.recent();
    for (PeerStatuses.Status status : recentStatuses) {
      double assumedRate = status.writesPerSecond() * PEER_WRITE_RATE_MARGIN;
      othersWriteRate += Math.max(assumedRate, evenWriteRate / 4);
    }
    int silent = Math.max(0, controllers - 1 - recentStatuses.size());
    stateService.setOtherMembersWriteRate(
        othersWriteRate + silent * evenWriteRate / 2,
        Math.max(fairWriteRate, lastSentWriteRate * MAX_WRITE_RATE_GROWTH));
    lastSentWriteRate = stateService.recentWriteRate();
  }

  private void broadcastStatus() {
    long epoch = tables.view() == null ? 0 : tables.view().epoch();
    int writesPerSecond = (int) Math.ceil(stateService.recentWriteRate());
    peers.forEach(
        (name, peer) -> {
          PeerFrame status =
              peerStatuses.nextStatus(name, epoch, stateService.isReachable(), writesPerSecond);
          if (status != null) {
            peer.accept(status.encode());
          }
        });
  }
}
