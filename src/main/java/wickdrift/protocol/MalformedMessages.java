package wickdrift.protocol;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Messages that could not be read, by who sent them: each is counted, and each cause is logged
 * once.
 */
public final class MalformedMessages {
  private static final Logger LOG = LoggerFactory.getLogger(MalformedMessages.class);

  /** Causes that are remembered of one sender: a text may come with ever new values in it. */
  private static final int MAX_LOGGED_CAUSES_PER_SENDER = 100;

  /** Who sent a message. */
  public enum Sender {
    STATE_SERVICE,
    CLOUD,
    WORKER,
    PEER
  }

  private final Map<Sender, Set<String>> loggedCausesBySender = new EnumMap<>(Sender.class);
  private final Map<Sender, Long> countsBySender = new EnumMap<>(Sender.class);

  /**
   * Counts a message that could not be read.
   *
   * @param message it was: an answer to which request, say
   */
  public void note(Sender sender, String message, BadMessage error) {
    countsBySender.merge(sender, 1L, Long::sum);
    Set<String> causes = loggedCausesBySender.computeIfAbsent(sender, k -> new HashSet<>());
    String cause = message + ": " + error.getMessage();
    if (causes.size() < MAX_LOGGED_CAUSES_PER_SENDER && causes.add(cause)) {
      LOG.warn("malformed, from {}: {}", sender, cause);
    }
  }

  /** Messages of a sender that could not be read. */
  public long count(Sender sender) {
    return countsBySender.getOrDefault(sender, 0L);
  }

  /** Causes of a sender that were logged. */
  public int causes(Sender sender) {
    return loggedCausesBySender.getOrDefault(sender, Set.of()).size();
  }
}
