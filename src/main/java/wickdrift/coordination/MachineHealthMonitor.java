package wickdrift.coordination;

import java.util.ArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.coordination.commands.CommandEvent;
import wickdrift.coordination.commands.TaskAttempt;
import wickdrift.coordination.commands.WorkerCommands;
import wickdrift.transport.Timers;

/**
 * Looks regularly for machines that are silent or deaf, for workers whose lease has surely ended,
 * and for commands that only a higher epoch can make void.
 */
final class MachineHealthMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MachineHealthMonitor.class);
  private static final long CHECK_INTERVAL_MS = 500;

  /** A run that is unanswered for so long, and unwanted, is made void by a higher epoch. */
  private static final long UNCERTAIN_RUN_TIMEOUT_MS = 5000;

  /** A new epoch has time to reach the workers before a higher one is proposed. */
  private static final long MIN_EPOCH_INTERVAL_MS = 2000;

  private final Timers timers;
  private final Tables tables;
  private final Membership membership;
  private final TransactionPipeline pipeline;
  private final Tuning tuning;
  private final PauseDetector pauseDetector;
  private final Zones zones;
  private final WorkerLinks links;
  private final String node;
  private long epoch;
  private long epochSinceMs;

  MachineHealthMonitor(
      Timers timers,
      Tables tables,
      Membership membership,
      TransactionPipeline pipeline,
      Tuning tuning,
      PauseDetector pauseDetector,
      Zones zones,
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

  void start() {
    checkMachines();
  }

  /** An epoch has begun, as this node knows it. */
  void onEpochStarted(long newEpoch, long nowMs) {
    epoch = newEpoch;
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
        zones.recorded(machine.info().zone(), lost);
      }
      if (node.equals(machine.owner(view))) {
        checkSilence(machine, up, up || lost, now);
        checkLease(machine, view, now);
        needsHigherEpoch |= needsHigherEpoch(machine, view, now);
      }
    }
    zones.judge(pauseDetector.uninterruptedSinceMs(), now);
    if (needsHigherEpoch) {
      // Only a higher epoch, shown by the worker, proves that a command can't arrive any more.
      membership.raiseEpoch();
    }
  }

  private void checkSilence(Machine machine, boolean up, boolean known, long now) {
    // A change of view is no news of a machine that was ours before: with one every few seconds
    // none would ever be found silent.
    long silentMs = now - Math.max(machine.silentSinceMs(), pauseDetector.uninterruptedSinceMs());
    if (known && silentMs > tuning.quietMs()) {
      machine.markReportsOverdue();
      zones.silent(machine.info().zone());
    }
    boolean unreachable =
        machine.unreachableForCommandsSinceMs() > 0
            && now - machine.unreachableForCommandsSinceMs() > tuning.lostMs();
    if (up && (unreachable || silentMs > tuning.lostMs()) && !pipeline.hasPendingRecord(machine)) {
      LOG.info("{} is {}", machine.name(), unreachable ? "deaf: nothing reaches it" : "silent");
      pipeline.enqueueRecord(
          machine, machine.info().withPhase(Machine.Phase.LOST, timers.wallMs()));
    }
  }

  private void checkLease(Machine machine, View view, long now) {
    long leaseBaseMs = machine.latestLeaseRenewalMs();
    if (!machine.slots().isEmpty() && leaseBaseMs > 0 && now - leaseBaseMs > tuning.lapseMs()) {
      // No one can have renewed its lease since: the worker has killed all it had.
      links.recordEvent(
          CommandEvent.Kind.LEASE_EXPIRED,
          machine,
          machine.report(),
          view.epoch(),
          "not renewed for " + (now - leaseBaseMs) + " ms");
      pipeline.onWorkerLeaseExpired(machine);
      links.forgetRuns(machine);
    }
  }

  private boolean needsHigherEpoch(Machine machine, View view, long now) {
    // One that has begun anew is trusted again with a higher token; no more often than that has
    // time to reach the workers.
    boolean needsNewToken =
        machine.trustedFromEpoch() > view.epoch() && now - epochSinceMs > MIN_EPOCH_INTERVAL_MS;
    return needsNewToken || hasUncertainCommand(machine, now);
  }

  /**
   * Whether an attempt is to be stopped while a run for it may still arrive; or has ended and can't
   * be cleared for that, for longer than a lease: what is not cleared makes reports grow.
   */
  private boolean hasUncertainCommand(Machine machine, long now) {
    WorkerCommands commands = links.commandsIfKnown(machine);
    if (commands == null
        || commands.hasNoOutstandingRuns()
        || now - machine.lastReportMs() > DirectCommands.ANSWER_TIMEOUT_MS) {
      return false;
    }
    for (Machine.Slot slot : machine.slots()) {
      TaskAttempt attempt = new TaskAttempt(slot.taskName(), slot.state().attempt());
      if (slot.mustStop()
          && commands.isRunOutstandingLongerThan(attempt, epoch, UNCERTAIN_RUN_TIMEOUT_MS, now)) {
        return true;
      }
    }
    return commands.isClearOverdue(epoch, tuning.lapseMs(), now);
  }
}
