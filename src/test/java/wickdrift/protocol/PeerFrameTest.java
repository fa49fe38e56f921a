package wickdrift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
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
    PeerFrame.PeerStatus s = new PeerFrame.PeerStatus(2, 41, true, 7);
    ByteBuffer bytes = hex("0301020100000000000000" + "29" + "00000007");
    assertEquals(bytes, s.encode());
    assertEquals(s, PeerFrame.decode(bytes));
  }

  /** More bytes than are known are a newer sender's. */
  @Test
  void whatANewerSenderAddsIsIgnored() throws BadMessage {
    ByteBuffer longer =
        ByteBuffer.allocate(32).put(new PeerFrame.PeerStatus(1, 5, false, 0).encode());
    assertEquals(new PeerFrame.PeerStatus(1, 5, false, 0), PeerFrame.decode(longer.rewind()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 127, 128, 300, 65_535})
  void anyNumberIsCarried(int from) throws BadMessage {
    assertEquals(
        from, PeerFrame.decode(new PeerFrame.PeerStatus(from, 1, true, 2).encode()).from());
    byte[] body = {1, 2, 3};
    PeerFrame.RelayedReport r =
        (PeerFrame.RelayedReport)
            PeerFrame.decode(new PeerFrame.RelayedReport(from, 9, body).encode());
    assertEquals(
        from + " 9 [1, 2, 3]", r.from() + " " + r.requestId() + " " + Arrays.toString(r.body()));
    PeerFrame.RelayedReply a =
        (PeerFrame.RelayedReply)
            PeerFrame.decode(new PeerFrame.RelayedReply(from, 9, 421, body).encode());
    assertEquals(from + " 421", a.from() + " " + a.status());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 127, 128, 65_535})
  void aWithdrawalAndWhoObeysAreCarried(int from) throws BadMessage {
    PeerFrame.WithdrawalConfirmationRequest w =
        new PeerFrame.WithdrawalConfirmationRequest(
            from, 7, 41, 900, "req-000001", List.of("i-000001", "i-\u00e9"));
    assertEquals(w, PeerFrame.decode(w.encode()));
    PeerFrame.WithdrawalConfirmation o =
        (PeerFrame.WithdrawalConfirmation)
            PeerFrame.decode(
                new PeerFrame.WithdrawalConfirmation(from, 7, new byte[] {5}).encode());
    assertEquals(
        from + " 7 [5]",
        o.from() + " " + o.requestId() + " " + Arrays.toString(o.confirmedMachines()));
  }

  /** However early it ends, it is malformed, and nothing is read past its end. */
  @Test
  void aWithdrawalThatEndsEarlyIsMalformed() {
    ByteBuffer whole =
        new PeerFrame.WithdrawalConfirmationRequest(
                1, 7, 41, 900, "req-000001", List.of("i-000001"))
            .encode();
    for (int n = 0; n < whole.limit(); n++) {
      ByteBuffer cut = ByteBuffer.wrap(Arrays.copyOf(whole.array(), n));
      assertThrows(BadMessage.class, () -> PeerFrame.decode(cut), n + " bytes");
    }
  }

  /** Of another layout or kind: not understood, and no reason to stop. */
  @ParameterizedTest
  @ValueSource(strings = {"040102", "030902", "03FF02", "030002", "031602000000", "030602"})
  void whatIsNotKnownIsNoError(String bytes) throws BadMessage {
    assertInstanceOf(PeerFrame.Unknown.class, PeerFrame.decode(hex(bytes)));
  }

  @ParameterizedTest
  @CsvSource({
    "''",
    "03",
    "0301",
    "030102",
    "0301020100",
    "031101",
    "0302020000",
    "030402",
    "0305020000",
    "031402000000"
  })
  void aFrameThatEndsEarlyIsMalformed(String bytes) {
    assertThrows(BadMessage.class, () -> PeerFrame.decode(hex(bytes)));
  }
}
