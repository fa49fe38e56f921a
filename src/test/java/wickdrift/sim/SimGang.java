package wickdrift.sim;

import java.util.ArrayList;
import java.util.List;
import wickdrift.protocol.JobSpec;

/** One attempt of a gang: its tasks start together, are done together, and are lost together. */
final class SimGang {
  private static final long NOTICE_MS = 2000;
  private final SimWorld world;
  private final JobSpec spec;
  private final List<SimWorker.Task> members = new ArrayList<>();
  private boolean started;
  private boolean over;

  SimGang(SimWorld world, JobSpec spec) {
    this.world = world;
    this.spec = spec;
  }

  void joined(SimWorker.Task t) {
    members.add(t);
    if (over) {
      // Started again where it was lost: the others are on their way out.
      world.clock.after(NOTICE_MS, t::mateGone);
      return;
    }
    if (started || members.size() < spec.tasks()) {
      world.clock.after(
          30_000,
          () -> {
            if (!started) {
              t.alone();
            }
          });
      return;
    }
    started = true;
    members.forEach(m -> m.phase = "running");
    finishLater((long) (spec.estimatedRunS() * 1000));
  }

  private void finishLater(long ms) {
    world.clock.after(
        ms,
        () -> {
          if (over) {
            return;
          }
          if (members.stream().anyMatch(SimWorker.Task::stands)) {
            finishLater(500);
            return;
          }
          over = true;
          List.copyOf(members).forEach(SimWorker.Task::complete);
        });
  }

  void left(SimWorker.Task t) {
    members.remove(t);
    if (started && members.isEmpty()) {
      // Whoever starts the same attempt after that begins it.
      world.gangs.remove(t.gang(), this);
    }
    if (started && !over) {
      over = true;
      world.clock.after(NOTICE_MS, () -> List.copyOf(members).forEach(SimWorker.Task::mateGone));
    }
  }
}
