package wickdrift.coordination.peers;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.PeerFrame;

/** Counts the frames that were not acted on, and logs each kind of cause once per sender. */
public final class RejectedFrames {
  private static final Logger LOG = LoggerFactory.getLogger(RejectedFrames.class);

  /** Bounds the remembered causes; further ones are counted but not logged. */
  private static final int MAX_LOGGED_CAUSES = 100;

  private record Cause(FrameVerdict verdict, int from, Class<? extends PeerFrame> kind) {}

  private final Map<FrameVerdict, Long> counts = new EnumMap<>(FrameVerdict.class);
  private final Set<Cause> loggedCauses = new HashSet<>();

  /** Records that a frame is not acted on. */
  public void record(FrameVerdict verdict, PeerFrame frame) {
    counts.merge(verdict, 1L, Long::sum);
    FrameHeader header = frame.header();
    Cause cause = new Cause(verdict, header.from(), frame.getClass());
    if (loggedCauses.size() < MAX_LOGGED_CAUSES && loggedCauses.add(cause)) {
      LOG.info(
          "peer frame rejected: reason={}, kind={}, from={}, fromProcess={}, to={}, toProcess={}",
          verdict,
          frame.getClass().getSimpleName(),
          header.from(),
          header.fromProcess(),
          header.to(),
          header.toProcess());
    }
  }

  /** Returns the number of frames that were rejected for a reason. */
  public long count(FrameVerdict verdict) {
    return counts.getOrDefault(verdict, 0L);
  }

  /** Returns the number of all rejected frames. */
  public long total() {
    return counts.values().stream().mapToLong(Long::longValue).sum();
  }
}
