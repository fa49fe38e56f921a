package wickdrift.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** The faults of messages that are in force in a soak, by rules that come and go. */
final class SoakNetwork implements SimNet.FaultScript {
  /** A request on its way. */
  record Message(String from, String to, String path) {}

  /** Which requests a rule concerns. */
  interface Filter {
    boolean matches(Message message);
  }

  /** What becomes of a share of the requests that a filter matches. */
  record Rule(Filter filter, double share, SimNet.Fate fate) {}

  private final Random random;
  private final List<Rule> rules = new ArrayList<>();
  private final long lateFromMs;
  private final long lateToMs;
  private long struck;

  /**
   * @param lateFromMs the least that a late request is late
   * @param lateToMs the most
   */
  SoakNetwork(Random random, long lateFromMs, long lateToMs) {
    this.random = random;
    this.lateFromMs = lateFromMs;
    this.lateToMs = lateToMs;
  }

  void add(Rule rule) {
    rules.add(rule);
  }

  void remove(Rule rule) {
    rules.remove(rule);
  }

  /** Requests that did not simply arrive. */
  long struck() {
    return struck;
  }

  @Override
  public SimNet.Fate fateOf(String from, String to, String path, byte[] body) {
    Message message = new Message(from, to, path);
    for (Rule rule : rules) {
      if (rule.filter.matches(message) && random.nextDouble() < rule.share) {
        struck++;
        return rule.fate;
      }
    }
    return SimNet.Fate.DELIVERED;
  }

  @Override
  public long lateMs() {
    return lateFromMs + (long) (random.nextDouble() * (lateToMs - lateFromMs));
  }
}
