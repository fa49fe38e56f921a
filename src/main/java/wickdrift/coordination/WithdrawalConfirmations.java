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
  private static final long CONFIRMATION_TIMEOUT_MS = 700;

  /** An owner that can't say so yet is asked again after that. */
  private static final long RETRY_INTERVAL_MS = 150;

  /** An answer that comes later than this is of no use to whoever waits; the next one asks anew. */
  private static final long REQUEST_TIMEOUT_MS = 2000;

  /** A frame is bounded: so many machines' names fit. */
  static final int MAX_NAMES_PER_FRAME = 1000;

  private static final long CLEANUP_INTERVAL_MS = 5000;

  /** A question that is out. */
  private record Request(String job, String owner, List<String> machines, long sentMs) {}

  private record Waiter(Consumer<Boolean> callback, long deadlineMs) {}

  /** A withdrawn job that somebody has asked about. */
  private static final class TrackedJob {
    /** Machines of which it is proved; it stays so. */
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
  private final ReportHandler reporting;
  private final String node;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final Map<String, TrackedJob> trackedJobs = new HashMap<>();
  private final Map<Long, Request> requests = new HashMap<>();
  private long lastRequestId;
  private boolean cleanupScheduled;
  private long confirmedCount;
  private long unconfirmedCount;

  /** Nothing is asked until somebody waits for an answer. */
  public WithdrawalConfirmations(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      ReportHandler reporting,
      String node,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.stateService = stateService;
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
   * @param callback told soon, and once; false: not proved yet
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

  /** Looks at what is proved, asks for what is not, and tells those who wait. */
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

  /** By owner, the machines of which it is not proved; null: these tables can't tell. */
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
      if (owner.equals(node) && reporting.canConfirmWithdrawal(machine, jobId)) {
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
    int number = tables.registry().numberOf(node);
    if (number < 0
        || now - tracked.lastRequestMs < RETRY_INTERVAL_MS && tracked.lastRequestEpoch == epoch) {
      return;
    }
    tracked.lastRequestMs = now;
    tracked.lastRequestEpoch = epoch;
    unconfirmed.forEach(
        (owner, machines) -> {
          Consumer<ByteBuffer> peer = peers.get(owner);
          for (int i = 0; peer != null && i < machines.size(); i += MAX_NAMES_PER_FRAME) {
            List<String> batch =
                List.copyOf(
                    machines.subList(i, Math.min(machines.size(), i + MAX_NAMES_PER_FRAME)));
            long requestId = ++lastRequestId;
            requests.put(requestId, new Request(jobId, owner, batch, now));
            peer.accept(
                new PeerFrame.Withdrawn(number, requestId, epoch, tables.appliedRev(), jobId, batch)
                    .encode());
          }
        });
  }

  /** An owner's answer. Whoever was not asked has nothing to say. */
  public void handleConfirmation(PeerFrame.Obeyed answer) {
    Request request = requests.get(answer.id());
    if (request == null || !request.owner.equals(tables.registry().name(answer.from()))) {
      return;
    }
    requests.remove(answer.id());
    TrackedJob tracked = trackedJobs.get(request.job);
    if (tracked == null) {
      return;
    }
    BitSet positions = BitSet.valueOf(answer.places());
    for (int i = positions.nextSetBit(0);
        i >= 0 && i < request.machines.size();
        i = positions.nextSetBit(i + 1)) {
      tracked.confirmedMachines.add(request.machines.get(i));
    }
    evaluate(request.job, tracked);
  }

  /**
   * A peer has told of a withdrawal and asks which of our machines obey us alone. From here on we
   * know, whether the state service serves us or not; what can't be kept is not answered.
   */
  public void handleConfirmationRequest(PeerFrame.Withdrawn request) {
    boolean alreadyKnown =
        tables.isWithdrawalAnnounced(request.job()) || request.rev() <= tables.appliedRev();
    if (!tables.announceWithdrawal(request.job(), request.rev())) {
      LOG.error("too many withdrawals are known ahead of the tables: {} is not", request.job());
      return;
    }
    Job job = tables.job(request.job());
    if (!alreadyKnown && job != null) {
      reporting.haltTasksOf(job);
    }
    View view = tables.view();
    Consumer<ByteBuffer> peer = peers.get(tables.registry().name(request.from()));
    int number = tables.registry().numberOf(node);
    if (peer == null || number < 0 || view == null || view.epoch() != request.epoch()) {
      return;
    }
    if (tables.blockedReason() != null
        || stateService.phase() != StateServiceClient.Phase.FOLLOWING) {
      return;
    }
    BitSet positions = new BitSet();
    for (int i = 0; i < request.machines().size(); i++) {
      Machine machine = tables.machine(request.machines().get(i));
      positions.set(i, machine != null && reporting.canConfirmWithdrawal(machine, request.job()));
    }
    peer.accept(new PeerFrame.Obeyed(number, request.id(), positions.toByteArray()).encode());
  }

  /** What is known of a job is kept as long as it lives. */
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
