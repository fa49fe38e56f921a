package wickdrift.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Decides the fate of each request in a soak by the rules that are in force at the time. */
final class SoakNetwork implements SimNetwork.FaultScript {
  /** A request in transit. */
  record Message(String from, String to, String path) {}

  /** Selects the requests that a rule applies to. */
  interface Filter {
    boolean matches(Message message);
  }

  /** Gives a request that the filter matches the fate with the probability. */
  record Rule(Filter filter, double probability, SimNetwork.RequestOutcome fate) {}

  private final Random random;
  private final List<Rule> rules = new ArrayList<>();
  private final long minDelayMs;
  private final long maxDelayMs;
  private long affectedRequests;

  /**
   * @param minDelayMs the shortest delay of a late request
   * @param maxDelayMs the longest delay of a late request
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

  /** Returns how many requests had another fate than normal delivery. */
  long affectedRequests() {
    return affectedRequests;
  }

  @Override
  public SimNetwork.RequestOutcome outcomeOf(String from, String to, String path, byte[] body) {
    Message message = new Message(from, to, path);
    for (Rule rule : rules) {
      if (rule.filter.matches(message) && random.nextDouble() < rule.probability) {
        affectedRequests++;
        return rule.fate;
      }
    }
    return SimNetwork.RequestOutcome.DELIVERED;
  }

  @Override
  public long lateMs() {
    return minDelayMs + (long) (random.nextDouble() * (maxDelayMs - minDelayMs));
  }
}
