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

/** Frames between controllers of the same build and of other builds. */
class PeerFrameTest {
  private static ByteBuffer fromHex(String bytes) {
    return ByteBuffer.wrap(HexFormat.of().parseHex(bytes));
  }

  /** The layout is fixed: controllers of build dc24b21 write and read exactly these bytes. */
  @Test
  void theStatusLayoutMatchesTheFormerBuild() throws BadMessage {
    PeerFrame.PeerStatus status = new PeerFrame.PeerStatus(2, 41, true, 7);
    ByteBuffer bytes = fromHex("0301020100000000000000" + "29" + "00000007");
    assertEquals(bytes, status.encode());
    assertEquals(status, PeerFrame.decode(bytes));
  }

  /** A newer build may append fields to a frame; an older one ignores them. */
  @Test
  void trailingBytesOfANewerSenderAreIgnored() throws BadMessage {
    ByteBuffer longer =
        ByteBuffer.allocate(32).put(new PeerFrame.PeerStatus(1, 5, false, 0).encode());
    assertEquals(new PeerFrame.PeerStatus(1, 5, false, 0), PeerFrame.decode(longer.rewind()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 127, 128, 300, 65_535})
  void anyNodeNumberIsEncoded(int from) throws BadMessage {
    assertEquals(
        from, PeerFrame.decode(new PeerFrame.PeerStatus(from, 1, true, 2).encode()).from());
    byte[] body = {1, 2, 3};
    PeerFrame.RelayedReport relayed =
        (PeerFrame.RelayedReport)
            PeerFrame.decode(new PeerFrame.RelayedReport(from, 9, body).encode());
    assertEquals(
        from + " 9 [1, 2, 3]",
        relayed.from() + " " + relayed.requestId() + " " + Arrays.toString(relayed.body()));
    PeerFrame.RelayedReply answered =
        (PeerFrame.RelayedReply)
            PeerFrame.decode(new PeerFrame.RelayedReply(from, 9, 421, body).encode());
    assertEquals(from + " 421", answered.from() + " " + answered.status());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 127, 128, 65_535})
  void aWithdrawalAndItsConfirmationAreEncoded(int from) throws BadMessage {
    PeerFrame.WithdrawalConfirmationRequest withdrawal =
        new PeerFrame.WithdrawalConfirmationRequest(
            from, 7, 41, 900, "req-000001", List.of("i-000001", "i-\u00e9"));
    assertEquals(withdrawal, PeerFrame.decode(withdrawal.encode()));
    PeerFrame.WithdrawalConfirmation confirmation =
        (PeerFrame.WithdrawalConfirmation)
            PeerFrame.decode(
                new PeerFrame.WithdrawalConfirmation(from, 7, new byte[] {5}).encode());
    assertEquals(
        from + " 7 [5]",
        confirmation.from()
            + " "
            + confirmation.requestId()
            + " "
            + Arrays.toString(confirmation.confirmedMachines()));
  }

  /** A frame truncated at any length is malformed, and nothing is read past its end. */
  @Test
  void aTruncatedWithdrawalIsMalformed() {
    ByteBuffer whole =
        new PeerFrame.WithdrawalConfirmationRequest(
                1, 7, 41, 900, "req-000001", List.of("i-000001"))
            .encode();
    for (int length = 0; length < whole.limit(); length++) {
      ByteBuffer truncated = ByteBuffer.wrap(Arrays.copyOf(whole.array(), length));
      assertThrows(BadMessage.class, () -> PeerFrame.decode(truncated), length + " bytes");
    }
  }

  /** A frame of an unknown layout or kind is decoded as unknown instead of failing. */
  @ParameterizedTest
  @ValueSource(strings = {"040102", "030902", "03FF02", "030002", "031602000000", "030602"})
  void anUnknownFrameIsNoError(String bytes) throws BadMessage {
    assertInstanceOf(PeerFrame.Unknown.class, PeerFrame.decode(fromHex(bytes)));
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
  void aTruncatedFrameIsMalformed(String bytes) {
    assertThrows(BadMessage.class, () -> PeerFrame.decode(fromHex(bytes)));
  }
}
