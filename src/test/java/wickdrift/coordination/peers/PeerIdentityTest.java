package wickdrift.coordination.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.FrameHeader;

/** Which frames a process acts on, by the processes that a frame names. */
class PeerIdentityTest {
  private static final int UNIDENTIFIED_LEVEL = Gate.PEER_PROCESSES.level() - 1;

  @ParameterizedTest
  @CsvSource({
    // from, fromProcess, to, toProcess, verdict
    "0, p0, 1, p1, ACCEPTED",
    // A frame to any process: its sender doesn't know the present one.
    "0, p0, 1, '', ACCEPTED",
    // A process of the sender that is not, or not yet, in the view.
    "0, p9, 1, p1, ACCEPTED",
    "0, p0, 1, p0, OTHER_PROCESS",
    "0, p0, 2, p1, OTHER_RECEIVER",
    "0, p0, -1, p1, OTHER_RECEIVER",
    "1, p1, 1, p1, SENT_UNDER_OWN_NAME",
    "77, p0, 1, p1, UNKNOWN_SENDER",
    "0, '', -1, '', PROCESSES_NOT_NAMED"
  })
  void frameIsJudgedByTheProcessesThatItNames(
      int from, String fromProcess, int to, String toProcess, FrameVerdict expected)
      throws Exception {
    PeerIdentity identity = TestIdentities.atLevel(Gate.PEER_PROCESSES.level());
    FrameHeader header = new FrameHeader(from, fromProcess, to, toProcess);
    assertEquals(expected, identity.judge(header));
    assertEquals(expected, identity.judgeRequest(header, 1));
  }

  /** Below the gate, builds that count their requests from one in each process get no reply. */
  @Test
  void requestOfAnOlderBuildIsRefusedBelowTheGate() throws Exception {
    PeerIdentity identity = TestIdentities.atLevel(UNIDENTIFIED_LEVEL);
    FrameHeader header = FrameHeader.firstLayout(0);
    assertEquals(FrameVerdict.ACCEPTED, identity.judge(header));
    assertEquals(FrameVerdict.REQUEST_NOT_UNIQUE, identity.judgeRequest(header, 1));
    long uniqueId = new RequestIds("p0").next();
    assertEquals(FrameVerdict.ACCEPTED, identity.judgeRequest(header, uniqueId));
  }

  @Test
  void frameIsAddressedToTheProcessInTheViewAndTheReplyToTheProcessThatAsked() throws Exception {
    PeerIdentity identity = TestIdentities.atLevel(Gate.PEER_PROCESSES.level());
    // A process keeps its identity under a later lease.
    assertEquals(new FrameHeader(1, "p1", 2, "p2"), identity.headerTo("n2"));
    assertEquals(
        new FrameHeader(1, "p1", 0, "p9"), identity.replyTo(new FrameHeader(0, "p9", 1, "p1")));
    PeerIdentity older = TestIdentities.atLevel(UNIDENTIFIED_LEVEL);
    assertFalse(older.headerTo("n2").isIdentified());
    assertFalse(older.replyTo(FrameHeader.firstLayout(0)).isIdentified());
  }

  @ParameterizedTest
  @CsvSource({
    "2, p2, true",
    "2, p9, false",
    "0, p2, false",
    "2, '', false",
  })
  void replyCountsOnlyFromTheProcessThatWasAsked(int from, String fromProcess, boolean expected)
      throws Exception {
    FrameHeader request = TestIdentities.atLevel(Gate.PEER_PROCESSES.level()).headerTo("n2");
    FrameHeader reply = new FrameHeader(from, fromProcess, 1, "p1");
    assertEquals(expected, PeerIdentity.isFromAskedProcess(request, reply));
  }

  /** A frame of the first layout doesn't tell which process sent it. */
  @Test
  void replyCountsOnlyInTheLayoutOfTheRequest() {
    FrameHeader toAnyProcess = new FrameHeader(1, "p1", 2, "");
    assertTrue(PeerIdentity.isFromAskedProcess(toAnyProcess, new FrameHeader(2, "p2", 1, "p1")));
    assertFalse(PeerIdentity.isFromAskedProcess(toAnyProcess, FrameHeader.firstLayout(2)));
    FrameHeader firstLayout = new FrameHeader(1, "", 2, "");
    assertTrue(PeerIdentity.isFromAskedProcess(firstLayout, FrameHeader.firstLayout(2)));
    assertFalse(PeerIdentity.isFromAskedProcess(firstLayout, new FrameHeader(2, "p2", 1, "p1")));
  }

  /** Guards against two processes that use the same number for different requests. */
  @Test
  void numbersOfRequestsAreNotUsedByTwoProcesses() {
    Set<Long> used = new HashSet<>();
    for (int process = 0; process < 200; process++) {
      RequestIds requestIds = new RequestIds("inc" + process);
      for (int i = 0; i < 100; i++) {
        long id = requestIds.next();
        assertTrue(RequestIds.isUnique(id));
        assertTrue(used.add(id), "used twice: " + id);
      }
    }
    assertFalse(RequestIds.isUnique(1));
    assertNotEquals(new RequestIds("a").next(), new RequestIds("b").next());
  }
}
