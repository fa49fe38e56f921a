package wickdrift.coordination.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.protocol.FrameHeader;
import wickdrift.protocol.PeerFrame;
import wickdrift.sim.SimClock;

/** A status that arrives late must not tell what the peer can reach now. */
class PeerStatusesTest {
  private static final long INTERVAL_MS = 250;
  private static final int PEER = 0;

  private final SimClock clock = new SimClock();
  private PeerStatuses statuses;

  @BeforeEach
  void create() throws Exception {
    PeerIdentity identity = TestIdentities.atLevel(Gate.PEER_PROCESSES.level());
    statuses = new PeerStatuses(clock, identity, new NodeRegistry(List.of("n0", "n1", "n2")));
  }

  private void advance(long ms) {
    clock.runUntil(clock.nowMs() + ms);
  }

  private long send() {
    advance(INTERVAL_MS);
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
    advance(1900);
    assertEquals(1, statuses.recent().size());
    advance(200);
    assertEquals(0, statuses.recent().size());
  }

  @Test
  void statusThatWasHeldBackDoesNotCount() {
    long number = send();
    advance(2500);
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
    advance(2100 - INTERVAL_MS);
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
