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
  private static final int CAUSES_MOST = 100;

  /** Who sent a message. */
  public enum Sender {
    STATE_SERVICE,
    CLOUD,
    WORKER,
    PEER
  }

  private final Map<Sender, Set<String>> told = new EnumMap<>(Sender.class);
  private final Map<Sender, Long> counts = new EnumMap<>(Sender.class);

  /**
   * Counts a message that could not be read.
   *
   * @param what it was: an answer to which request, say
   */
  public void note(Sender from, String what, BadMessage why) {
    counts.merge(from, 1L, Long::sum);
    Set<String> causes = told.computeIfAbsent(from, k -> new HashSet<>());
    String cause = what + ": " + why.getMessage();
    if (causes.size() < CAUSES_MOST && causes.add(cause)) {
      LOG.warn("malformed, from {}: {}", from, cause);
    }
  }

  /** Messages of a sender that could not be read. */
  public long count(Sender from) {
    return counts.getOrDefault(from, 0L);
  }

  /** Causes of a sender that were logged. */
  public int causes(Sender from) {
    return told.getOrDefault(from, Set.of()).size();
  }
}
