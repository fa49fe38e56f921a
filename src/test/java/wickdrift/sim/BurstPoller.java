package wickdrift.sim;

import java.util.List;

/**
 * Users who poll a job and repeat its submission at all nodes, within milliseconds after its state
 * has changed. This finds nodes that answer with an older state than another node has answered.
 */
final class BurstPoller {
  private static final long[] POLL_DELAYS_MS = {1, 3, 8, 20, 60, 150};

  private final SimWorld world;
  private int answerCount;

  BurstPoller(SimWorld world) {
    this.world = world;
  }

  /** Returns how many answers contained the state of a job. */
  int answerCount() {
    return answerCount;
  }

  /** Polls and resubmits an accepted job, whose state has just changed, at all nodes. */
  void pollAllNodes(String id) {
    List<String> nodes = world.nodes;
    for (long delayMs : POLL_DELAYS_MS) {
      for (String node : nodes) {
        world.clock.after(delayMs, () -> world.users.pollOnce(node, id, () -> answerCount++));
        world.clock.after(delayMs + 1, () -> world.users.resubmit(node, id, () -> answerCount++));
      }
    }
  }
}
