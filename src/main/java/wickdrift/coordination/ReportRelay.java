package wickdrift.coordination;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.coordination.peers.PeerIdentity;
import wickdrift.coordination.peers.RequestIds;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.PeerFrame;
import wickdrift.protocol.Report;
import wickdrift.protocol.ReportKey;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Forwards reports to the owner of a machine when the worker can't reach it. Without this, a
 * controller that is cut off from the workers only would keep its member lease, while all tasks of
 * its partition die.
 *
 * <p>A reply holds commands for the worker whose report it answers, and for no other. It is passed
 * on only if it comes from the process to which the report was forwarded, is meant for this
 * process, and names the report.
 */
public final class ReportRelay {
  private static final Logger LOG = LoggerFactory.getLogger(ReportRelay.class);
  private static final long REPLY_TIMEOUT_MS = 1500;
  private static final int MAX_PENDING_REPORTS = 200;

  /** A peer closes the connection on which a much larger frame arrives. */
  private static final int MAX_FORWARDED_BYTES = 64 * 1024;

  /**
   * A forwarded report whose worker waits for the answer.
   *
   * @param request the header with which it was forwarded
   */
  private record PendingReport(Exchange exchange, ReportKey report, FrameHeader request) {}

  private final Timers timers;
  private final PeerIdentity identity;
  private final NodeRegistry registry;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final RequestIds requestIds;
  private final Map<Long, PendingReport> pendingReports = new HashMap<>();
  private long forwardedCount;
  private long deliveredCount;
  private long expiredCount;
  private long unmatchedCount;
  private long mismatchedCount;

  /**
   * Creates a relay with no pending reports.
   *
   * @param peers senders of frames to the other controllers, by name
   */
  public ReportRelay(
      Timers timers,
      PeerIdentity identity,
      NodeRegistry registry,
      Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.identity = identity;
    this.registry = registry;
    this.peers = peers;
    this.requestIds = new RequestIds(identity.process());
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

  /** Returns the number of replies that bore the number of a waiting report and were not for it. */
  public long mismatchedCount() {
    return mismatchedCount;
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
    FrameHeader header = identity.headerTo(owner);
    if (peer == null
        || header == null
        || pendingReports.size() >= MAX_PENDING_REPORTS
        || exchange.body().length > MAX_FORWARDED_BYTES) {
      return false;
    }
    long requestId = requestIds.next();
    forwardedCount++;
    LOG.debug(
        "report forwarded: requestId={}, owner={}, ownerProcess={}, report={}",
        requestId,
        owner,
        header.toProcess(),
        report.key());
    pendingReports.put(requestId, new PendingReport(exchange, report.key(), header));
    peer.accept(new PeerFrame.RelayedReport(header, requestId, exchange.body()).encode());
    timers.after(REPLY_TIMEOUT_MS, () -> expire(requestId));
    return true;
  }

  private void expire(long requestId) {
    PendingReport pending = pendingReports.remove(requestId);
    if (pending != null) {
      expiredCount++;
      LOG.debug("forwarded report got no reply in time: requestId={}", requestId);
      pending.exchange.reply(421, Map.of());
    }
  }

  /** Handles a peer's reply to a forwarded report. */
  public void handleReply(PeerFrame.RelayedReply reply) {
    PendingReport pending = pendingReports.get(reply.requestId());
    if (pending == null) {
      unmatchedCount++;
      logReply("no report is waiting for a reply", reply);
      return;
    }
    if (!isReplyTo(pending, reply)) {
      mismatchedCount++;
      logReply("reply is not for the report that is waiting", reply);
      return;
    }
    pendingReports.remove(reply.requestId());
    deliveredCount++;
    logReply("reply to a forwarded report", reply);
    try {
      pending.exchange.reply(reply.status(), Document.parse(reply.body()).rawMap());
    } catch (BadMessage e) {
      pending.exchange.reply(421, Map.of());
    }
  }

  private static boolean isReplyTo(PendingReport pending, PeerFrame.RelayedReply reply) {
    // The first layout names no report; there the number is used by this process only.
    boolean sameReport = !reply.header().isIdentified() || pending.report.equals(reply.report());
    return sameReport && PeerIdentity.isFromAskedProcess(pending.request, reply.header());
  }

  private void logReply(String event, PeerFrame.RelayedReply reply) {
    LOG.debug(
        "{}: requestId={}, from={}, fromProcess={}, toProcess={}, report={}, status={}",
        event,
        reply.requestId(),
        registry.name(reply.from()),
        reply.header().fromProcess(),
        reply.header().toProcess(),
        reply.report(),
        reply.status());
  }

  /** Returns an exchange for a report that a peer forwarded; its reply goes back to that peer. */
  public Exchange exchangeFor(PeerFrame.RelayedReport relayed) {
    return new RelayedExchange(relayed);
  }

  /** The exchange of a report that a peer forwarded. */
  private final class RelayedExchange implements Exchange {
    private final PeerFrame.RelayedReport relayed;

    RelayedExchange(PeerFrame.RelayedReport relayed) {
      this.relayed = relayed;
    }

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
      FrameHeader header = identity.replyTo(relayed.header());
      ReportKey report = reportKey();
      if (peer == null || header == null || report == null) {
        return;
      }
      LOG.debug(
          "replying to a forwarded report: requestId={}, to={}, toProcess={}, report={}, status={}",
          relayed.requestId(),
          from,
          header.toProcess(),
          report,
          status);
      byte[] body = MessageCodec.encode(value == null ? Map.of() : value);
      peer.accept(
          new PeerFrame.RelayedReply(header, relayed.requestId(), report, status, body).encode());
    }

    /** Returns what identifies the forwarded report, or null if it is malformed. */
    private ReportKey reportKey() {
      try {
        return Report.parse(Document.parse(relayed.body())).key();
      } catch (BadMessage e) {
        return null;
      }
    }
  }
}
