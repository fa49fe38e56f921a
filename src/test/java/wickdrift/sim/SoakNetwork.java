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
  record Rule(Filter filter, double probability, SimNet.Fate fate) {}

  private final Random random;
  private final List<Rule> rules = new ArrayList<>();
  private final long minDelayMs;
  private final long maxDelayMs;
  private long affectedRequests;

  /**
   * @param minDelayMs the least that a late request is late
   * @param maxDelayMs the most
   */
  SoakNetwork(Random random, long minDelayMs, long maxDelayMs) {
    this.random = random;
    this.minDelayMs = minDelayMs;
    this.maxDelayMs = maxDelayMs;
  }

  void add(Rule rule) {
    rules.add(rule);
  }

  void remove(Rule rule) {
    rules.remove(rule);
  }

  /** Requests that did not simply arrive. */
  long affectedRequests() {
    return affectedRequests;
  }

  @Override
  public SimNet.Fate fateOf(String from, String to, String path, byte[] body) {
    Message message = new Message(from, to, path);
    for (Rule rule : rules) {
      if (rule.filter.matches(message) && random.nextDouble() < rule.probability) {
        affectedRequests++;
        return rule.fate;
      }
    }
    return SimNet.Fate.DELIVERED;
  }

  @Override
  public long lateMs() {
    return minDelayMs + (long) (random.nextDouble() * (maxDelayMs - minDelayMs));
  }
}
