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
import wickdrift.coordination.peers.PeerIdentity;
import wickdrift.coordination.peers.RequestIds;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.PeerFrame;
import wickdrift.protocol.Unsigned;
import wickdrift.transport.Timers;

/**
 * Decides when a user may be told that a job is withdrawn. A durable withdrawal is not enough: the
 * owner of a machine may be cut off from the state service, not know of the withdrawal, and renew
 * its worker's lease for longer than a cancelled task may stay. A withdrawal is therefore confirmed
 * once, for every machine that may hold a task of the job, every controller that can still renew
 * the worker's lease knows of it.
 *
 * <p>A machine is confirmed, from tables that hold the withdrawal, when its owner under their view
 * states that it knows the withdrawal and that the worker has reported the epoch of that view. The
 * worker ignores earlier owners, and the owner under a later view has read the withdrawal before
 * that view. The confirmation therefore stays valid whichever controller fails next; if the owner
 * fails, the worker's lease expires. A job in a terminal state needs no confirmation.
 */
public final class WithdrawalConfirmations {
  private static final Logger LOG = LoggerFactory.getLogger(WithdrawalConfirmations.class);

  /** Time after which a waiting request is answered even if the withdrawal is not confirmed. */
  private static final long CONFIRMATION_TIMEOUT_MS = 700;

  /** Interval at which owners that have not confirmed are asked again. */
  private static final long RETRY_INTERVAL_MS = 150;

  /**
   * Age at which a request to an owner is discarded. No user waits for its answer any more, and the
   * next user's request sends a new one.
   */
  private static final long REQUEST_TIMEOUT_MS = 2000;

  /** Number of machine names that fit into one frame, whose size is limited. */
  static final int MAX_NAMES_PER_FRAME = 1000;

  private static final long CLEANUP_INTERVAL_MS = 5000;

  /** A request to an owner that is not answered yet. */
  private record Request(String job, List<String> machines, FrameHeader header, long sentMs) {}

  /** A user's request that waits for the confirmation of a job. */
  private record Waiter(Consumer<Boolean> callback, long deadlineMs) {}

  /** A withdrawn job whose confirmation was requested. */
  private static final class TrackedJob {
    /** Names of the machines that are confirmed; a confirmation is never taken back. */
    final Set<String> confirmedMachines = new HashSet<>();

    final List<Waiter> waiters = new ArrayList<>();
    boolean confirmed;
    boolean retryScheduled;
    long lastRequestMs = Long.MIN_VALUE / 2;
    long lastRequestEpoch;
  }

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final ReportHandler reportHandler;
  private final String node;
  private final PeerIdentity identity;
  private final RequestIds requestIds;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final Map<String, TrackedJob> trackedJobs = new HashMap<>();
  private final Map<Long, Request> requests = new HashMap<>();
  private boolean cleanupScheduled;
  private long confirmedCount;
  private long unconfirmedCount;

  /**
   * Creates an instance that sends nothing until a confirmation is requested.
   *
   * @param peers senders of frames to the other controllers, by name
   */
  public WithdrawalConfirmations(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      ReportHandler reportHandler,
      String node,
      PeerIdentity identity,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.reportHandler = reportHandler;
    this.node = node;
    this.identity = identity;
    this.requestIds = new RequestIds(identity.process());
    this.peers = peers;
  }

  /** Returns the number of jobs whose withdrawal this node has confirmed. */
  public long confirmedCount() {
    return confirmedCount;
  }

  /** Returns the number of requests that timed out before the withdrawal was confirmed. */
  public long unconfirmedCount() {
    return unconfirmedCount;
  }

  /**
   * Waits for the confirmation of a job's withdrawal. The tables must hold the withdrawal, as they
   * do after a barrier.
   *
   * @param callback called exactly once: with true when the withdrawal is confirmed, or with false
   *     at the first retry after {@link #CONFIRMATION_TIMEOUT_MS}
   */
  public void whenConfirmed(String jobId, Consumer<Boolean> callback) {
    TrackedJob tracked = trackedJobs.computeIfAbsent(jobId, k -> new TrackedJob());
    tracked.waiters.add(new Waiter(callback, timers.nowMs() + CONFIRMATION_TIMEOUT_MS));
    evaluate(jobId, tracked);
    scheduleRetry(jobId, tracked);
    scheduleCleanup();
  }

  private void scheduleRetry(String jobId, TrackedJob tracked) {
    if (tracked.waiters.isEmpty() || tracked.retryScheduled) {
      return;
    }
    tracked.retryScheduled = true;
    timers.after(
        RETRY_INTERVAL_MS,
        () -> {
          tracked.retryScheduled = false;
          evaluate(jobId, tracked);
          long now = timers.nowMs();
          List<Waiter> expired = new ArrayList<>();
          tracked.waiters.removeIf(waiter -> waiter.deadlineMs <= now && expired.add(waiter));
          unconfirmedCount += expired.size();
          expired.forEach(waiter -> waiter.callback.accept(false));
          scheduleRetry(jobId, tracked);
        });
  }

  /**
   * Determines which machines are confirmed. Requests the missing confirmations, or notifies the
   * waiters if there are none.
   */
  private void evaluate(String jobId, TrackedJob tracked) {
    if (!tracked.confirmed) {
      Map<String, List<String>> unconfirmed = unconfirmedMachines(jobId, tracked);
      if (unconfirmed == null) {
        return;
      }
      if (!unconfirmed.isEmpty()) {
        requestConfirmations(jobId, tracked, unconfirmed);
        return;
      }
      tracked.confirmed = true;
      confirmedCount++;
    }
    List<Waiter> confirmedWaiters = List.copyOf(tracked.waiters);
    tracked.waiters.clear();
    confirmedWaiters.forEach(waiter -> waiter.callback.accept(true));
  }

  /**
   * Returns the machines that are not confirmed, by owner, or null if the local tables can't tell.
   */
  private Map<String, List<String>> unconfirmedMachines(String jobId, TrackedJob tracked) {
    View view = tables.view();
    Job job = tables.job(jobId);
    if (job == null && tables.terminalState(jobId) != null) {
      return Map.of();
    }
    if (view == null
        || job == null
        || !job.withdrawn()
        || tables.blockedReason() != null
        || stateService.phase() != StateServiceClient.Phase.FOLLOWING) {
      return null;
    }
    Map<String, List<String>> unconfirmed = new TreeMap<>();
    for (Machine machine : job.machines()) {
      if (tracked.confirmedMachines.contains(machine.name())) {
        continue;
      }
      String owner = machine.owner(view);
      if (owner.equals(node) && reportHandler.canConfirmWithdrawal(machine, jobId)) {
        tracked.confirmedMachines.add(machine.name());
      } else {
        unconfirmed.computeIfAbsent(owner, k -> new ArrayList<>()).add(machine.name());
      }
    }
    return unconfirmed;
  }

  private void requestConfirmations(
      String jobId, TrackedJob tracked, Map<String, List<String>> unconfirmed) {
    long now = timers.nowMs();
    long epoch = tables.view().epoch();
    if (tables.registry().numberOf(node) < 0
        || now - tracked.lastRequestMs < RETRY_INTERVAL_MS && tracked.lastRequestEpoch == epoch) {
      return;
    }
    tracked.lastRequestMs = now;
    tracked.lastRequestEpoch = epoch;
    unconfirmed.forEach(
        (owner, machines) -> {
          FrameHeader header = identity.headerTo(owner);
          for (int i = 0; header != null && i < machines.size(); i += MAX_NAMES_PER_FRAME) {
            int end = Math.min(machines.size(), i + MAX_NAMES_PER_FRAME);
            requestConfirmation(jobId, owner, List.copyOf(machines.subList(i, end)), header);
          }
        });
  }

  private void requestConfirmation(
      String jobId, String owner, List<String> machines, FrameHeader header) {
    Consumer<ByteBuffer> peer = peers.get(owner);
    if (peer == null) {
      return;
    }
    long requestId = requestIds.next();
    requests.put(requestId, new Request(jobId, machines, header, timers.nowMs()));
    peer.accept(
        new PeerFrame.WithdrawalConfirmationRequest(
                header, requestId, tables.view().epoch(), tables.appliedRev(), jobId, machines)
            .encode());
  }

  /** Handles an owner's answer. An answer from a process that was not asked is ignored. */
  public void handleConfirmation(PeerFrame.WithdrawalConfirmation answer) {
    Request request = requests.get(answer.requestId());
    if (request == null || !PeerIdentity.isFromAskedProcess(request.header, answer.header())) {
      return;
    }
    requests.remove(answer.requestId());
    TrackedJob tracked = trackedJobs.get(request.job);
    if (tracked == null) {
      return;
    }
    BitSet positions = BitSet.valueOf(answer.confirmedMachines());
    for (int i = positions.nextSetBit(0);
        i >= 0 && i < request.machines.size();
        i = positions.nextSetBit(i + 1)) {
      tracked.confirmedMachines.add(request.machines.get(i));
    }
    evaluate(request.job, tracked);
  }

  /**
   * Handles the announcement of a withdrawal in a peer's request. The node knows of the withdrawal
   * from now on, even if it can't reach the state service. That a withdrawal is durable stays true,
   * so the announcement counts however late it arrives.
   *
   * @return false if the withdrawal can't be remembered
   */
  public boolean handleAnnouncement(PeerFrame.WithdrawalConfirmationRequest request) {
    boolean alreadyKnown =
        tables.isWithdrawalAnnounced(request.job())
            || !Unsigned.isGreater(request.revision(), tables.appliedRev());
    if (!tables.announceWithdrawal(request.job(), request.revision())) {
      LOG.error("too many announced withdrawals, announcement ignored: job={}", request.job());
      return false;
    }
    Job job = tables.job(request.job());
    if (!alreadyKnown && job != null) {
      reportHandler.haltTasksOf(job);
    }
    return true;
  }

  /**
   * Handles a peer's request: it announces a withdrawal and asks which of this node's machines
   * accept the token of this node only. A request whose withdrawal can't be remembered is not
   * answered.
   */
  public void handleConfirmationRequest(PeerFrame.WithdrawalConfirmationRequest request) {
    if (!handleAnnouncement(request)) {
      return;
    }
    View view = tables.view();
    Consumer<ByteBuffer> peer = peers.get(tables.registry().name(request.from()));
    FrameHeader header = identity.replyTo(request.header());
    if (peer == null || header == null || view == null || view.epoch() != request.epoch()) {
      return;
    }
    if (tables.blockedReason() != null
        || stateService.phase() != StateServiceClient.Phase.FOLLOWING) {
      return;
    }
    BitSet positions = new BitSet();
    for (int i = 0; i < request.machines().size(); i++) {
      Machine machine = tables.machine(request.machines().get(i));
      positions.set(
          i, machine != null && reportHandler.canConfirmWithdrawal(machine, request.job()));
    }
    peer.accept(
        new PeerFrame.WithdrawalConfirmation(header, request.requestId(), positions.toByteArray())
            .encode());
  }

  /**
   * Schedules the removal of expired requests, and of tracked jobs that nobody waits for and that
   * are no longer in the tables. It repeats while anything is left.
   */
  private void scheduleCleanup() {
    if (cleanupScheduled) {
      return;
    }
    cleanupScheduled = true;
    timers.after(
        CLEANUP_INTERVAL_MS,
        () -> {
          cleanupScheduled = false;
          long now = timers.nowMs();
          requests.values().removeIf(request -> now - request.sentMs > REQUEST_TIMEOUT_MS);
          for (Iterator<Map.Entry<String, TrackedJob>> it = trackedJobs.entrySet().iterator();
              it.hasNext(); ) {
            Map.Entry<String, TrackedJob> entry = it.next();
            if (entry.getValue().waiters.isEmpty() && tables.job(entry.getKey()) == null) {
              it.remove();
            }
          }
          if (!trackedJobs.isEmpty() || !requests.isEmpty()) {
            scheduleCleanup();
          }
        });
  }
}
