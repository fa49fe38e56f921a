package wickdrift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Frames between controllers of the same and of other builds. */
class PeerFrameTest {
  private static ByteBuffer hex(String s) {
    return ByteBuffer.wrap(HexFormat.of().parseHex(s));
  }

  /** The bytes that dc24b21 writes, and reads, for the numbers that it has. */
  @Test
  void theLayoutIsThatOfTheBuildBefore() throws BadMessage {
    PeerFrame.Standing s = new PeerFrame.Standing(2, 41, true, 7);
    ByteBuffer bytes = hex("0301020100000000000000" + "29" + "00000007");
    assertEquals(bytes, s.encode());
    assertEquals(s, PeerFrame.decode(bytes));
  }

  /** More bytes than are known are a newer sender's. */
  @Test
  void whatANewerSenderAddsIsIgnored() throws BadMessage {
    ByteBuffer longer =
        ByteBuffer.allocate(32).put(new PeerFrame.Standing(1, 5, false, 0).encode());
    assertEquals(new PeerFrame.Standing(1, 5, false, 0), PeerFrame.decode(longer.rewind()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 127, 128, 300, 65_535})
  void anyNumberIsCarried(int from) throws BadMessage {
    assertEquals(from, PeerFrame.decode(new PeerFrame.Standing(from, 1, true, 2).encode()).from());
    byte[] body = {1, 2, 3};
    PeerFrame.Relayed r =
        (PeerFrame.Relayed) PeerFrame.decode(new PeerFrame.Relayed(from, 9, body).encode());
    assertEquals(from + " 9 [1, 2, 3]", r.from() + " " + r.id() + " " + Arrays.toString(r.body()));
    PeerFrame.Answered a =
        (PeerFrame.Answered) PeerFrame.decode(new PeerFrame.Answered(from, 9, 421, body).encode());
    assertEquals(from + " 421", a.from() + " " + a.status());
  }

  /** Of another layout or kind: not understood, and no reason to stop. */
  @ParameterizedTest
  @ValueSource(strings = {"040102", "030902", "03FF02", "030002", "031402000000", "030402"})
  void whatIsNotKnownIsNoError(String bytes) throws BadMessage {
    assertInstanceOf(PeerFrame.Unknown.class, PeerFrame.decode(hex(bytes)));
  }

  @ParameterizedTest
  @CsvSource({"''", "03", "0301", "030102", "0301020100", "031101", "0302020000"})
  void aFrameThatEndsEarlyIsMalformed(String bytes) {
    assertThrows(BadMessage.class, () -> PeerFrame.decode(hex(bytes)));
  }
}
