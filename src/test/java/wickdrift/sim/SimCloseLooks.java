package wickdrift.sim;

import java.util.List;

/**
 * Users who ask at all nodes within milliseconds after something became known of a job, and repeat
 * its submission.
 */
final class SimCloseLooks {
  private static final long[] POLL_DELAYS_MS = {1, 3, 8, 20, 60, 150};

  private final SimWorld world;
  private int answerCount;

  SimCloseLooks(SimWorld world) {
    this.world = world;
  }

  /** Answers that told a job's state. */
  int answered() {
    return answerCount;
  }

  /** Something has just become known of a job that was accepted. */
  void pollAllNodes(String id) {
    List<String> nodes = world.nodes;
    for (long delayMs : POLL_DELAYS_MS) {
      for (String node : nodes) {
        world.clock.after(delayMs, () -> world.users.pollOnce(node, id, () -> answerCount++));
        world.clock.after(
            delayMs + 1, () -> world.users.submitAgain(node, id, () -> answerCount++));
      }
    }
  }
}
