package wickdrift.coordination;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.PeerFrame;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Passes reports on to the owner of a machine that its worker can't reach. Without this, a
 * controller cut off from the workers alone keeps its lease, and its part's tasks all die.
 */
public final class ReportRelay {
  private static final long REPLY_TIMEOUT_MS = 1500;
  private static final int MAX_PENDING = 200;

  private final Timers timers;
  private final String node;
  private final NodeRegistry registry;
  private final Map<String, Consumer<ByteBuffer>> peers;
  private final Map<Long, Exchange> pending = new HashMap<>();
  private long lastRequestId;

  public ReportRelay(
      Timers timers, String node, NodeRegistry registry, Map<String, Consumer<ByteBuffer>> peers) {
    this.timers = timers;
    this.node = node;
    this.registry = registry;
    this.peers = peers;
  }

  /** Passes a report on; false if that can't be done. The answer, or 421, follows in time. */
  public boolean forward(Exchange exchange, String owner) {
    Consumer<ByteBuffer> peer = peers.get(owner);
    int number = registry.numberOf(node);
    if (peer == null || number < 0 || pending.size() >= MAX_PENDING) {
      return false;
    }
    long requestId = ++lastRequestId;
    pending.put(requestId, exchange);
    peer.accept(new PeerFrame.Relayed(number, requestId, exchange.body()).encode());
    timers.after(
        REPLY_TIMEOUT_MS,
        () -> {
          if (pending.remove(requestId) != null) {
            exchange.reply(421, Map.of());
          }
        });
    return true;
  }

  /** A peer's answer to a report that was passed on. */
  public void handleReply(PeerFrame.Answered answer) {
    Exchange exchange = pending.remove(answer.id());
    if (exchange == null) {
      return;
    }
    try {
      exchange.reply(answer.status(), Document.parse(answer.body()).rawMap());
    } catch (BadMessage e) {
      exchange.reply(421, Map.of());
    }
  }

  /** A report that a peer passed on to us, as a request whose answer goes back to that peer. */
  public Exchange exchangeFor(PeerFrame.Relayed relayed) {
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
          byte[] body = MessageCodec.encode(value == null ? Map.of() : value);
          peer.accept(new PeerFrame.Answered(number, relayed.id(), status, body).encode());
        }
      }
    };
  }
}
