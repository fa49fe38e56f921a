package wickdrift.coordination;

import java.util.ArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.transport.Timers;

/**
 * Periodically checks for machines that are silent or unreachable for commands, for workers whose
 * lease has certainly expired, and for restarted workers, which need a higher epoch.
 */
final class MachineHealthMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);
  private static final long CHECK_INTERVAL_MS = 500;

  /** Time that a new epoch has to reach the workers before a higher one is proposed for them. */
  private static final long MIN_EPOCH_INTERVAL_MS = 2000;

  private final Timers timers;
  private final Tables tables;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final Tuning tuning;
  private final PauseDetector pauseDetector;
  private final ZoneHealth zones;
  private final WorkerLinks links;
  private final String node;
  private long epochSinceMs;

  MachineHealthMonitor(
      Timers timers,
      Tables tables,
      Membership membership,
      TransactionPipeline pipeline,
      Tuning tuning,
      PauseDetector pauseDetector,
      ZoneHealth zones,
      WorkerLinks links,
      String node) {
    this.timers = timers;
    this.tables = tables;
    this.membership = membership;
    this.pipeline = pipeline;
    this.tuning = tuning;
    this.pauseDetector = pauseDetector;
    this.zones = zones;
    this.links = links;
    this.node = node;
  }

  /** Starts the periodic checks. */
  void start() {
    checkMachines();
  }

  /** Called when this node starts to work under a new epoch. */
  void onEpochStarted(long nowMs) {
    epochSinceMs = nowMs;
  }

  private void checkMachines() {
    timers.after(CHECK_INTERVAL_MS, this::checkMachines);
    View view = tables.view();
    if (view == null || membership.status() != Membership.Status.MEMBER) {
      return;
    }
    long now = timers.nowMs();
    boolean needsHigherEpoch = false;
    for (Machine machine : new ArrayList<>(tables.machines())) {
      boolean up = machine.phase() == Machine.Phase.UP;
      boolean lost = machine.phase() == Machine.Phase.LOST;
      if (up || lost) {
        zones.addRecordedMachine(machine.info().zone(), lost);
      }
      if (node.equals(machine.owner(view))) {
        checkSilence(machine, up, up || lost, now);
        checkLease(machine, view, now);
        needsHigherEpoch |= needsHigherEpoch(machine, view, now);
      }
    }
    zones.evaluate(pauseDetector.uninterruptedSinceMs(), now);
    if (needsHigherEpoch) {
      membership.raiseEpoch();
    }
  }

  private void checkSilence(Machine machine, boolean up, boolean known, long now) {
    // A view change does not reset the silence of a machine that this node owned before: with a
    // view change every few seconds no machine would ever be found silent.
    long silentMs = now - Math.max(machine.silentSinceMs(), pauseDetector.uninterruptedSinceMs());
    if (known && silentMs > tuning.reportsOverdueMs()) {
      machine.markReportsOverdue();
      zones.addSilentMachine(machine.info().zone());
    }
    boolean unreachable =
        machine.unreachableForCommandsSinceMs() > 0
            && now - machine.unreachableForCommandsSinceMs() > tuning.lostTimeoutMs();
    if (up
        && (unreachable || silentMs > tuning.lostTimeoutMs())
        && !pipeline.hasPendingRecord(machine)) {
      LOG.info(
          "machine lost: name={}, reason={}",
          machine.name(),
          unreachable ? "unreachable for commands" : "silent: no reports");
      pipeline.enqueueRecord(
          machine, machine.info().withPhase(Machine.Phase.LOST, timers.wallMs()));
    }
  }

  private void checkLease(Machine machine, View view, long now) {
    long lastRenewalMs = machine.latestLeaseRenewalMs();
    if (!machine.slots().isEmpty()
        && lastRenewalMs > 0
        && now - lastRenewalMs > tuning.workerLeaseExpiryMs()) {
      // No controller can have renewed the worker's lease since then, so the worker has killed all
      // its tasks.
      links.recordEvent(
          CommandEvent.Kind.LEASE_EXPIRED,
          machine,
          machine.report(),
          view.epoch(),
          "not renewed for " + (now - lastRenewalMs) + " ms");
      pipeline.onWorkerLeaseExpired(machine);
      links.forgetRuns(machine);
    }
  }

  /**
   * A restarted worker is trusted again once it reports a higher epoch. Epochs are not raised
   * faster for this than they reach the workers.
   */
  private boolean needsHigherEpoch(Machine machine, View view, long now) {
    return machine.trustedFromEpoch() > view.epoch() && now - epochSinceMs > MIN_EPOCH_INTERVAL_MS;
  }
}
