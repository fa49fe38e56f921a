package wickdrift.coordination.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.PeerFrame;
import wickdrift.transport.Timers;

/** A status that arrives late must not tell what the peer can reach now. */
class PeerStatusesTest {
  private static final long INTERVAL_MS = 250;
  private static final int PEER = 0;

  private long nowMs = 100_000;
  private PeerStatuses statuses;

  @BeforeEach
  void create() throws Exception {
    Timers timers =
        new Timers() {
          @Override
          public long nowMs() {
            return nowMs;
          }

          @Override
          public long wallMs() {
            return nowMs;
          }

          @Override
          public void after(long delayMs, Runnable action) {
            throw new UnsupportedOperationException();
          }
        };
    PeerIdentity identity = TestIdentities.atLevel(Gate.PEER_PROCESSES.level());
    statuses = new PeerStatuses(timers, identity, new NodeRegistry(List.of("n0", "n1", "n2")));
  }

  private long send() {
    nowMs += INTERVAL_MS;
    return statuses.nextStatus("n0", 7, true, 1).number();
  }

  private static PeerFrame.PeerStatus status(
      String process, String toProcess, long number, long echoedNumber) {
    FrameHeader header = new FrameHeader(PEER, process, 1, toProcess);
    return new PeerFrame.PeerStatus(header, 9, true, 3, number, echoedNumber);
  }

  private void receive(String process, String toProcess, long number, long echoedNumber) {
    statuses.receive(status(process, toProcess, number, echoedNumber));
  }

  @Test
  void statusThatEchoesARecentOneCountsForItsTime() {
    receive("p0", "p1", 1, send());
    assertEquals(1, statuses.recent().size());
    nowMs += 1900;
    assertEquals(1, statuses.recent().size());
    nowMs += 200;
    assertEquals(0, statuses.recent().size());
  }

  @Test
  void statusThatWasHeldBackDoesNotCount() {
    long number = send();
    nowMs += 2500;
    receive("p0", "p1", 1, number);
    assertEquals(0, statuses.recent().size());
    assertEquals(1, statuses.staleCount());
    assertEquals(9, statuses.highestEpoch(), "an epoch stays true");
  }

  @Test
  void statusWithoutAnEchoOrToAnEarlierProcessDoesNotCount() {
    receive("p0", "", 1, 0);
    receive("p0", "p0", 2, send());
    receive("p0", "p1", 3, 999);
    assertEquals(0, statuses.recent().size());
  }

  @Test
  void copyOfAStatusDoesNotCountAgain() {
    long number = send();
    receive("p0", "p1", 1, number);
    nowMs += 2100 - INTERVAL_MS;
    receive("p0", "p1", 2, send());
    receive("p0", "p1", 1, number);
    receive("p0", "p1", 2, number);
    assertEquals(2, statuses.staleCount());
  }

  /** Each process is told the number of its own last status, never that of an earlier one's. */
  @Test
  void statusOfAnotherProcessChangesWhatIsEchoed() {
    receive("p0", "p1", 8, send());
    PeerFrame.PeerStatus first = statuses.nextStatus("n0", 7, true, 1);
    assertEquals("p0 8", first.header().toProcess() + " " + first.echoedNumber());
    receive("p9", "", 1, 0);
    PeerFrame.PeerStatus second = statuses.nextStatus("n0", 7, true, 1);
    assertEquals("p9 1", second.header().toProcess() + " " + second.echoedNumber());
  }
}
