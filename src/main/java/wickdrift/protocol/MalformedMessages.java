package wickdrift.protocol;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts messages that could not be decoded, by kind of sender, and logs each distinct cause once.
 */
public final class MalformedMessages {
  private static final Logger LOG = LoggerFactory.getLogger(MalformedMessages.class);

  /**
   * Bounds the remembered causes of each kind of sender: a cause may contain values that differ
   * from message to message. Further causes are counted but not logged.
   */
  private static final int MAX_LOGGED_CAUSES_PER_SENDER = 100;

  /** The kinds of senders. */
  public enum Sender {
    STATE_SERVICE,
    CLOUD,
    WORKER,
    PEER
  }

  private final Map<Sender, Set<String>> loggedCausesBySender = new EnumMap<>(Sender.class);
  private final Map<Sender, Long> countsBySender = new EnumMap<>(Sender.class);

  /**
   * Counts a message that could not be decoded, and logs the cause if it is new.
   *
   * @param message the kind of message, for example the request that it answers
   */
  public void record(Sender sender, String message, BadMessage error) {
    countsBySender.merge(sender, 1L, Long::sum);
    Set<String> causes = loggedCausesBySender.computeIfAbsent(sender, k -> new HashSet<>());
    String cause = message + ": " + error.getMessage();
    if (causes.size() < MAX_LOGGED_CAUSES_PER_SENDER && causes.add(cause)) {
      LOG.warn("malformed message: sender={}, cause={}", sender, cause);
    }
  }

  /** Returns the number of messages of a sender that could not be decoded. */
  public long count(Sender sender) {
    return countsBySender.getOrDefault(sender, 0L);
  }

  /** Returns the number of causes that were logged for a sender. */
  public int loggedCauses(Sender sender) {
    return loggedCausesBySender.getOrDefault(sender, Set.of()).size();
  }
}
