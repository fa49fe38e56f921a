package wickdrift.sim;

import java.util.List;

/**
 * Users who ask at all nodes within milliseconds after something became known of a job, and repeat
 * its submission.
 */
final class SimCloseLooks {
  private static final long[] AFTER_MS = {1, 3, 8, 20, 60, 150};

  private final SimWorld world;
  private int answered;

  SimCloseLooks(SimWorld world) {
    this.world = world;
  }

  /** Answers that told a job's state. */
  int answered() {
    return answered;
  }

  /** Something has just become known of a job that was accepted. */
  void at(String id) {
    List<String> nodes = world.nodes;
    for (long after : AFTER_MS) {
      for (String node : nodes) {
        world.clock.after(after, () -> world.users.pollOnce(node, id, () -> answered++));
        world.clock.after(after + 1, () -> world.users.submitAgain(node, id, () -> answered++));
      }
    }
  }
}
