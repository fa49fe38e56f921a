package wickdrift.sim;

import java.util.ArrayList;
import java.util.List;
import wickdrift.protocol.JobSpec;

/** An attempt of a gang: its tasks start, finish and are lost together. */
final class SimGang {
  /** The time after which the members of a gang notice that one of them is lost. */
  private static final long PEER_LOSS_NOTICE_MS = 2000;

  private final SimWorld world;
  private final JobSpec spec;
  private final List<SimWorker.Task> members = new ArrayList<>();
  private boolean started;
  private boolean ended;

  SimGang(SimWorld world, JobSpec spec) {
    this.world = world;
    this.spec = spec;
  }

  /** A task of the gang is ready on its machine; the last one starts the gang. */
  void addMember(SimWorker.Task task) {
    members.add(task);
    if (ended) {
      // This task was restarted after the gang had lost a member; the others are about to end.
      world.clock.after(PEER_LOSS_NOTICE_MS, task::onPeerLost);
      return;
    }
    if (started || members.size() < spec.tasks()) {
      world.clock.after(
          30_000,
          () -> {
            if (!started) {
              task.onGangWaitExpired();
            }
          });
      return;
    }
    started = true;
    members.forEach(SimWorker.Task::startRunning);
    scheduleCompletion((long) (spec.estimatedRunS() * 1000));
  }

  /** Completes the gang after a delay, or later if one of its machines hangs. */
  private void scheduleCompletion(long delayMs) {
    world.clock.after(
        delayMs,
        () -> {
          if (ended) {
            return;
          }
          if (members.stream().anyMatch(SimWorker.Task::isMachineHung)) {
            scheduleCompletion(500);
            return;
          }
          ended = true;
          List.copyOf(members).forEach(SimWorker.Task::complete);
        });
  }

  /** A task of the gang has stopped; the other tasks of a running gang end after a delay. */
  void removeMember(SimWorker.Task task) {
    members.remove(task);
    if (started && members.isEmpty()) {
      // A task that starts with the same attempt number after this begins a new gang.
      world.gangs.remove(task.gangAttemptId(), this);
    }
    if (started && !ended) {
      ended = true;
      world.clock.after(
          PEER_LOSS_NOTICE_MS, () -> List.copyOf(members).forEach(SimWorker.Task::onPeerLost));
    }
  }
}
