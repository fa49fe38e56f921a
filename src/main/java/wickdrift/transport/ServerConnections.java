package wickdrift.transport;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The connections of a server, and the bounds that keep slow and silent clients from taking the
 * sockets, the memory or the time of others. Every method is called on the event loop.
 *
 * <ul>
 *   <li>A request must be complete {@link #REQUEST_DEADLINE_MS} after its first byte, and a
 *       response be taken {@link #RESPONSE_DEADLINE_MS} after it was written.
 *   <li>The requests that are incomplete take a bounded number of bytes; beyond it the one that has
 *       taken longest is closed.
 *   <li>At the limit of connections a new one replaces, in this order, the request that has been
 *       incomplete for longest, the connection that has been idle for longest and is no worker's,
 *       and the worker's connection that has been idle for longest.
 * </ul>
 */
final class ServerConnections {
  /** Well below the 4 s after which a worker gives up, and the 5 s of a user. */
  static final long REQUEST_DEADLINE_MS = 3000;

  static final long RESPONSE_DEADLINE_MS = 5000;

  /** An incomplete request. */
  private static final class Progress {
    private final long startedNs;
    private long bytes;

    Progress(long startedNs) {
      this.startedNs = startedNs;
    }
  }

  private final int maxConnections;
  private final long maxIncompleteBytes;

  /** Incomplete requests, the one that has taken longest first. */
  private final Map<Channel, Progress> incomplete = new LinkedHashMap<>();

  /** Connections without a request, the one idle for longest first; new ones too. */
  private final Set<Channel> idleUsers = new LinkedHashSet<>();

  /** Connections of workers that wait for the next report, the one idle for longest first. */
  private final Set<Channel> idleWorkers = new LinkedHashSet<>();

  /** When a response was written that its client has not taken yet, the oldest first. */
  private final Map<Channel, Long> untakenSinceNs = new LinkedHashMap<>();

  private long incompleteBytes;
  private int openConnections;
  private long overdueCount;
  private long replacedCount;

  /**
   * Creates bounds for a server without connections.
   *
   * @param maxIncompleteBytes the memory that incomplete requests may take together
   */
  ServerConnections(int maxConnections, long maxIncompleteBytes) {
    this.maxConnections = maxConnections;
    this.maxIncompleteBytes = maxIncompleteBytes;
  }

  /** Returns how many connections were closed because a deadline had passed. */
  long overdueCount() {
    return overdueCount;
  }

  /** Returns how many connections were closed in favour of others. */
  long replacedCount() {
    return replacedCount;
  }

  /** Returns the memory that incomplete requests take. */
  long incompleteBytes() {
    return incompleteBytes;
  }

  /** Returns the share of the connection limit that is in use. */
  double usedShare() {
    return (double) openConnections / maxConnections;
  }

  /**
   * Adds a new connection, for which another one may be closed.
   *
   * @return false if there are too many, and all are busy with complete requests
   */
  boolean add(Channel channel) {
    if (openConnections >= maxConnections) {
      closeReplaceable();
    }
    if (openConnections >= maxConnections) {
      return false;
    }
    openConnections++;
    idleUsers.add(channel);
    channel.closeFuture().addListener(closed -> remove(channel));
    return true;
  }

  private void closeReplaceable() {
    Channel oldest = first(incomplete.keySet());
    oldest = oldest == null ? first(idleUsers) : oldest;
    oldest = oldest == null ? first(idleWorkers) : oldest;
    if (oldest != null) {
      replacedCount++;
      // On the event loop a close completes immediately and calls remove().
      oldest.close();
    }
  }

  private static Channel first(Set<Channel> channels) {
    Iterator<Channel> iterator = channels.iterator();
    return iterator.hasNext() ? iterator.next() : null;
  }

  private void remove(Channel channel) {
    openConnections--;
    idleUsers.remove(channel);
    idleWorkers.remove(channel);
    untakenSinceNs.remove(channel);
    requestComplete(channel);
  }

  /**
   * Records that bytes of a request have arrived.
   *
   * @param bytes the memory that they take
   */
  void bytesReceived(Channel channel, int bytes) {
    idleUsers.remove(channel);
    idleWorkers.remove(channel);
    Progress progress = incomplete.computeIfAbsent(channel, k -> new Progress(System.nanoTime()));
    progress.bytes += bytes;
    incompleteBytes += bytes;
    while (incompleteBytes > maxIncompleteBytes) {
      Channel oldest = first(incomplete.keySet());
      requestComplete(oldest);
      replacedCount++;
      oldest.close();
    }
  }

  /** Records that a request is complete, so that its bytes are no longer kept. */
  void requestComplete(Channel channel) {
    Progress progress = incomplete.remove(channel);
    if (progress != null) {
      incompleteBytes -= progress.bytes;
    }
  }

  /** Records that a response was written, after which the connection waits for a next request. */
  void responseWritten(Channel channel, boolean toWorker) {
    if (channel.isActive() && !incomplete.containsKey(channel)) {
      (toWorker ? idleWorkers : idleUsers).add(channel);
    }
  }

  /** Records that a response waits until its client takes it. */
  void responseUntaken(Channel channel) {
    untakenSinceNs.putIfAbsent(channel, System.nanoTime());
  }

  /** Records that a client has taken what was written. */
  void responseTaken(Channel channel) {
    untakenSinceNs.remove(channel);
  }

  /** Closes the connections whose deadline has passed. */
  void closeOverdue() {
    long nowNs = System.nanoTime();
    List<Channel> overdue = new ArrayList<>();
    for (Map.Entry<Channel, Progress> entry : incomplete.entrySet()) {
      if (!isOlder(entry.getValue().startedNs, nowNs, REQUEST_DEADLINE_MS)) {
        break;
      }
      overdue.add(entry.getKey());
    }
    for (Map.Entry<Channel, Long> entry : untakenSinceNs.entrySet()) {
      if (!isOlder(entry.getValue(), nowNs, RESPONSE_DEADLINE_MS)) {
        break;
      }
      overdue.add(entry.getKey());
    }
    overdueCount += overdue.size();
    overdue.forEach(Channel::close);
  }

  private static boolean isOlder(long startedNs, long nowNs, long limitMs) {
    return nowNs - startedNs > TimeUnit.MILLISECONDS.toNanos(limitMs);
  }
}
