package wickdrift.coordination.peers;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.PeerFrame;
import wickdrift.transport.Timers;

/**
 * The statuses that controllers send each other periodically.
 *
 * <p>A status may be held back on its way, and arrive after its sender has changed or ended. It
 * counts only if it was sent recently, which it proves by the number of a status that its sender
 * had received from this process. A late status echoes a number that this process sent long ago,
 * and the status of an earlier process, or one meant for an earlier process, echoes none.
 */
public final class PeerStatuses {
  /** A status counts for this time, and must have been sent within this time before it arrives. */
  private static final long MAX_AGE_MS = 2000;

  /** The send times of so many statuses to each peer are kept; they cover {@link #MAX_AGE_MS}. */
  private static final int KEPT_SEND_TIMES = 16;

  /**
   * The content of a peer's status.
   *
   * @param stateServiceReachable whether the state service answers the peer
   * @param receivedMs when the status was received
   * @param writesPerSecond the writes per second that the peer sends to the state service
   */
  public record Status(boolean stateServiceReachable, long receivedMs, int writesPerSecond) {}

  /** Which statuses were sent to a peer and received from it. */
  private static final class PeerCounters {
    final long[] sentMs = new long[KEPT_SEND_TIMES];
    long sentCount;

    /** The process of the peer from which the newest status came. */
    String process = "";

    /** The number of the newest status from that process. */
    long newestNumber;

    long recordSent(long nowMs) {
      sentCount++;
      sentMs[slot(sentCount)] = nowMs;
      return sentCount;
    }

    boolean wasSentSince(long number, long sinceMs) {
      boolean isKept = number > 0 && number <= sentCount && number > sentCount - KEPT_SEND_TIMES;
      return isKept && sentMs[slot(number)] >= sinceMs;
    }

    private static int slot(long number) {
      return (int) (number % KEPT_SEND_TIMES);
    }
  }

  private final Timers timers;
  private final PeerIdentity identity;
  private final NodeRegistry registry;
  private final Map<Integer, PeerCounters> countersByPeer = new HashMap<>();
  private final Map<Integer, Status> statuses = new HashMap<>();
  private long highestEpoch;
  private long staleCount;

  /** Creates an instance without any status. */
  public PeerStatuses(Timers timers, PeerIdentity identity, NodeRegistry registry) {
    this.timers = timers;
    this.identity = identity;
    this.registry = registry;
  }

  /**
   * Returns the next status frame to a peer, or null if this node or the peer has no number yet.
   *
   * @param epoch the epoch of this node's view; 0 without a view
   */
  public PeerFrame.PeerStatus nextStatus(
      String peer, long epoch, boolean stateServiceReachable, int writesPerSecond) {
    PeerCounters counters = countersOf(registry.numberOf(peer));
    FrameHeader header = identity.headerTo(peer, counters.process);
    if (header == null) {
      return null;
    }
    long number = counters.recordSent(timers.nowMs());
    return new PeerFrame.PeerStatus(
        header, epoch, stateServiceReachable, writesPerSecond, number, counters.newestNumber);
  }

  /** Handles a peer's status that {@link PeerIdentity#judge} has accepted. */
  public void receive(PeerFrame.PeerStatus status) {
    // An epoch stays true however late it arrives: its view is durable.
    highestEpoch = Math.max(highestEpoch, status.epoch());
    if (status.header().isIdentified() && !isRecent(status)) {
      staleCount++;
      return;
    }
    statuses.put(
        status.from(),
        new Status(status.stateServiceReachable(), timers.nowMs(), status.writesPerSecond()));
  }

  /** Notes which status is echoed next, and returns whether this one was sent recently. */
  private boolean isRecent(PeerFrame.PeerStatus status) {
    FrameHeader header = status.header();
    PeerCounters counters = countersOf(status.from());
    boolean sameProcess = header.fromProcess().equals(counters.process);
    if (sameProcess && status.number() <= counters.newestNumber) {
      return false;
    }
    counters.process = header.fromProcess();
    counters.newestNumber = status.number();
    return header.toProcess().equals(identity.process())
        && counters.wasSentSince(status.echoedNumber(), timers.nowMs() - MAX_AGE_MS);
  }

  private PeerCounters countersOf(int peerNumber) {
    return countersByPeer.computeIfAbsent(peerNumber, k -> new PeerCounters());
  }

  /** Returns the last status of each peer that has sent one recently. */
  public Collection<Status> recent() {
    long sinceMs = timers.nowMs() - MAX_AGE_MS;
    return List.copyOf(
        statuses.values().stream().filter(status -> status.receivedMs() > sinceMs).toList());
  }

  /** Returns the highest epoch that any peer has reported. */
  public long highestEpoch() {
    return highestEpoch;
  }

  /** Returns the number of statuses that did not count because they were late or doubled. */
  public long staleCount() {
    return staleCount;
  }
}
