package wickdrift.coordination;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.PeerFrame;
import wickdrift.protocol.Report;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Forwards reports to the owner of a machine when the worker can't reach it. Without this, a
 * controller that is cut off from the workers only would keep its member lease, while all tasks of
 * its partition die.
 */
public final class ReportRelay {
  private static final Logger LOG = LoggerFactory.getLogger(ReportRelay.class);
  private static final long REPLY_TIMEOUT_MS = 1500;
  private static final int MAX_PENDING_REPORTS = 200;

  private final Timers timers;
  private final String node;
  private final NodeRegistry registry;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final Map<Long, Exchange> pendingExchanges = new HashMap<>();
  private long lastRequestId;
  private long forwardedCount;
  private long deliveredCount;
  private long expiredCount;
  private long unmatchedCount;

  /**
   * Creates a relay with no pending reports.
   *
   * @param peers senders of frames to the other controllers, by name
   */
  public ReportRelay(
      Timers timers, String node, NodeRegistry registry, Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.node = node;
    this.registry = registry;
    this.peers = peers;
  }

  /** Returns the number of reports that were forwarded to the owner of their machine. */
  public long forwardedCount() {
    return forwardedCount;
  }

  /** Returns the number of replies that were passed to a waiting worker. */
  public long deliveredCount() {
    return deliveredCount;
  }

  /** Returns the number of forwarded reports that got no reply in time. */
  public long expiredCount() {
    return expiredCount;
  }

  /** Returns the number of replies for which no report was waiting. */
  public long unmatchedCount() {
    return unmatchedCount;
  }

  /**
   * Forwards a report to the owner of its machine. The exchange gets the owner's reply, or 421
   * after {@link #REPLY_TIMEOUT_MS}.
   *
   * @param report the report in the body of the exchange
   * @return false if the report can't be forwarded
   */
  public boolean forward(Exchange exchange, Report report, String owner) {
    Consumer<ByteBuffer> peer = peers.get(owner);
    int number = registry.numberOf(node);
    if (peer == null || number < 0 || pendingExchanges.size() >= MAX_PENDING_REPORTS) {
      return false;
    }
    long requestId = ++lastRequestId;
    forwardedCount++;
    LOG.debug(
        "report forwarded: requestId={}, owner={}, machine={}, tenure={}, tick={}",
        requestId,
        owner,
        report.machine(),
        report.tenure(),
        report.tick());
    pendingExchanges.put(requestId, exchange);
    peer.accept(new PeerFrame.RelayedReport(number, requestId, exchange.body()).encode());
    timers.after(
        REPLY_TIMEOUT_MS,
        () -> {
          if (pendingExchanges.remove(requestId) != null) {
            expiredCount++;
            LOG.debug("forwarded report got no reply in time: requestId={}", requestId);
            exchange.reply(421, Map.of());
          }
        });
    return true;
  }

  /** Handles a peer's reply to a forwarded report. */
  public void handleReply(PeerFrame.RelayedReply answer) {
    Exchange exchange = pendingExchanges.remove(answer.requestId());
    if (exchange == null) {
      unmatchedCount++;
      LOG.debug(
          "no report is waiting for a reply: requestId={}, from={}, status={}, lastRequestId={}",
          answer.requestId(),
          registry.name(answer.from()),
          answer.status(),
          lastRequestId);
      return;
    }
    deliveredCount++;
    LOG.debug(
        "reply to a forwarded report: requestId={}, from={}, status={}",
        answer.requestId(),
        registry.name(answer.from()),
        answer.status());
    try {
      exchange.reply(answer.status(), Document.parse(answer.body()).rawMap());
    } catch (BadMessage e) {
      exchange.reply(421, Map.of());
    }
  }

  /** Returns an exchange for a report that a peer forwarded; its reply goes back to that peer. */
  public Exchange exchangeFor(PeerFrame.RelayedReport relayed) {
    return new Exchange() {
      @Override
      public String method() {
        return "POST";
      }

      @Override
      public String path() {
        return "/hello";
      }

      @Override
      public byte[] body() {
        return relayed.body();
      }

      @Override
      public void reply(int status, Object value, int retryAfterS) {
        String from = registry.name(relayed.from());
        Consumer<ByteBuffer> peer = from == null ? null : peers.get(from);
        int number = registry.numberOf(node);
        if (peer != null && number >= 0) {
          LOG.debug(
              "replying to a forwarded report: requestId={}, to={}, status={}",
              relayed.requestId(),
              from,
              status);
          byte[] body = MessageCodec.encode(value == null ? Map.of() : value);
          peer.accept(
              new PeerFrame.RelayedReply(number, relayed.requestId(), status, body).encode());
        }
      }
    };
  }
}
