package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.coordination.peers.PeerIdentity;
import wickdrift.coordination.peers.TestIdentities;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.PeerFrame;
import wickdrift.protocol.Report;
import wickdrift.protocol.ReportKey;
import wickdrift.protocol.WorkerToken;
import wickdrift.sim.SimClock;
import wickdrift.transport.Exchange;

/** A reply reaches the worker whose report it answers, and no other. */
class ReportRelayTest {
  private static final long REPLY_TIMEOUT_MS = 1500;
  private static final String OWNER = "n2";
  private static final FrameHeader OWNER_HEADER = new FrameHeader(2, "p2", 1, "p1");

  /** What distinguishes a reply from the one that the waiting report is for. */
  enum Difference {
    OTHER_SENDER,
    OTHER_SENDER_PROCESS,
    OTHER_MACHINE,
    OTHER_SESSION,
    OTHER_TICK,
    OTHER_NUMBER,
    FIRST_LAYOUT
  }

  private final SimClock clock = new SimClock();
  private final List<PeerFrame.RelayedReport> forwarded = new ArrayList<>();
  private final List<Integer> answers = new ArrayList<>();
  private ReportRelay relay;

  @BeforeEach
  void create() throws Exception {
    PeerIdentity identity = TestIdentities.atLevel(Gate.PEER_PROCESSES.level());
    NodeRegistry registry = new NodeRegistry(List.of("n0", "n1", "n2"));
    relay = new ReportRelay(clock, identity, registry, Map.of(OWNER, this::recordFrame));
  }

  private void recordFrame(ByteBuffer bytes) {
    try {
      forwarded.add((PeerFrame.RelayedReport) PeerFrame.decode(bytes));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private long forward(String machine) {
    Report report =
        new Report(machine, "", "g4", "a", false, 1, 5, new WorkerToken(7, 0), null, List.of());
    Exchange exchange =
        new Exchange() {
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
            return new byte[0];
          }

          @Override
          public void reply(int status, Object body, int retryAfterS) {
            answers.add(status);
          }
        };
    relay.forward(exchange, report, OWNER);
    return forwarded.get(forwarded.size() - 1).requestId();
  }

  private void reply(FrameHeader header, long requestId, ReportKey report) {
    byte[] body = MessageCodec.encode(Map.of("epoch", 7));
    relay.handleReply(new PeerFrame.RelayedReply(header, requestId, report, 200, body));
  }

  private static ReportKey key(String machine) {
    return new ReportKey(machine, 1, 5);
  }

  @ParameterizedTest
  @EnumSource
  void replyThatIsNotForTheWaitingReportIsNotDelivered(Difference difference) {
    long id = forward("i-1");
    switch (difference) {
      case OTHER_SENDER -> reply(new FrameHeader(0, "p2", 1, "p1"), id, key("i-1"));
      case OTHER_SENDER_PROCESS -> reply(new FrameHeader(2, "p9", 1, "p1"), id, key("i-1"));
      case OTHER_MACHINE -> reply(OWNER_HEADER, id, key("i-2"));
      case OTHER_SESSION -> reply(OWNER_HEADER, id, new ReportKey("i-1", 2, 5));
      case OTHER_TICK -> reply(OWNER_HEADER, id, new ReportKey("i-1", 1, 4));
      case OTHER_NUMBER -> reply(OWNER_HEADER, id + 1, key("i-1"));
      case FIRST_LAYOUT -> reply(FrameHeader.firstLayout(2), id, null);
      default -> throw new AssertionError(difference);
    }
    assertEquals(List.of(), answers);
    // The report goes on waiting for its own reply.
    reply(OWNER_HEADER, id, key("i-1"));
    assertEquals(List.of(200), answers);
  }

  @Test
  void lateOrDoubledReplyIsNotDelivered() {
    long first = forward("i-1");
    reply(OWNER_HEADER, first, key("i-1"));
    reply(OWNER_HEADER, first, key("i-1"));
    long second = forward("i-1");
    clock.runUntil(clock.nowMs() + REPLY_TIMEOUT_MS);
    reply(OWNER_HEADER, second, key("i-1"));
    assertEquals(List.of(200, 421), answers);
    assertEquals(2, relay.unmatchedCount());
  }

  @Test
  void forwardedReportNamesBothProcesses() {
    forward("i-1");
    assertEquals(new FrameHeader(1, "p1", 2, "p2"), forwarded.get(0).header());
  }
}
