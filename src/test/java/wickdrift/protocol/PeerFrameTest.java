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
    PeerFrame.PeerStatus status =
        new PeerFrame.PeerStatus(FrameHeader.firstLayout(2), 41, true, 7, 0, 0);
    ByteBuffer bytes = fromHex("0301020100000000000000" + "29" + "00000007");
    assertEquals(bytes, status.encode());
    assertEquals(status, PeerFrame.decode(bytes));
  }

  /** A newer build may append fields to a frame; an older one ignores them. */
  @Test
  void trailingBytesOfANewerSenderAreIgnored() throws BadMessage {
    ByteBuffer longer =
        ByteBuffer.allocate(32)
            .put(new PeerFrame.PeerStatus(FrameHeader.firstLayout(1), 5, false, 0, 0, 0).encode());
    assertEquals(
        new PeerFrame.PeerStatus(FrameHeader.firstLayout(1), 5, false, 0, 0, 0),
        PeerFrame.decode(longer.rewind()));
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 127, 128, 300, 65_535})
  void anyNodeNumberIsEncoded(int from) throws BadMessage {
    assertEquals(
        from,
        PeerFrame.decode(
                new PeerFrame.PeerStatus(FrameHeader.firstLayout(from), 1, true, 2, 0, 0).encode())
            .from());
    byte[] body = {1, 2, 3};
    PeerFrame.RelayedReport relayed =
        (PeerFrame.RelayedReport)
            PeerFrame.decode(
                new PeerFrame.RelayedReport(FrameHeader.firstLayout(from), 9, body).encode());
    assertEquals(
        from + " 9 [1, 2, 3]",
        relayed.from() + " " + relayed.requestId() + " " + Arrays.toString(relayed.body()));
    PeerFrame.RelayedReply answered =
        (PeerFrame.RelayedReply)
            PeerFrame.decode(
                new PeerFrame.RelayedReply(FrameHeader.firstLayout(from), 9, null, 421, body)
                    .encode());
    assertEquals(from + " 421", answered.from() + " " + answered.status());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 127, 128, 65_535})
  void aWithdrawalAndItsConfirmationAreEncoded(int from) throws BadMessage {
    PeerFrame.WithdrawalConfirmationRequest withdrawal =
        new PeerFrame.WithdrawalConfirmationRequest(
            FrameHeader.firstLayout(from),
            7,
            41,
            900,
            "req-000001",
            List.of("i-000001", "i-\u00e9"));
    assertEquals(withdrawal, PeerFrame.decode(withdrawal.encode()));
    PeerFrame.WithdrawalConfirmation confirmation =
        (PeerFrame.WithdrawalConfirmation)
            PeerFrame.decode(
                new PeerFrame.WithdrawalConfirmation(
                        FrameHeader.firstLayout(from), 7, new byte[] {5})
                    .encode());
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
                FrameHeader.firstLayout(1), 7, 41, 900, "req-000001", List.of("i-000001"))
            .encode();
    for (int length = 0; length < whole.limit(); length++) {
      ByteBuffer truncated = ByteBuffer.wrap(Arrays.copyOf(whole.array(), length));
      assertThrows(BadMessage.class, () -> PeerFrame.decode(truncated), length + " bytes");
    }
  }

  private static FrameHeader identified() {
    return new FrameHeader(70_000, "inc-a", 3, "inc-b");
  }

  private static List<PeerFrame> identifiedFrames() {
    return List.of(
        new PeerFrame.PeerStatus(identified(), 41, true, 7, 900, 899),
        new PeerFrame.RelayedReport(identified(), 1L << 62, new byte[] {1, 2}),
        new PeerFrame.RelayedReply(
            identified(), 9, new ReportKey("i-000001", 2, 41), 200, new byte[] {3}),
        new PeerFrame.WithdrawalConfirmationRequest(
            identified(), 7, 41, 900, "req-000001", List.of("i-000001", "i-\u00e9")),
        new PeerFrame.WithdrawalConfirmation(identified(), 7, new byte[] {5}));
  }

  /** A frame of the second layout names the processes of sender and receiver. */
  @Test
  void anIdentifiedFrameIsEncodedWithItsHeader() throws BadMessage {
    for (PeerFrame frame : identifiedFrames()) {
      PeerFrame decoded = PeerFrame.decode(frame.encode());
      assertEquals(identified(), decoded.header());
      assertEquals(frame.getClass(), decoded.getClass());
      assertEquals(frame.encode(), decoded.encode());
    }
  }

  /** Builds that know the first layout only see an unknown version, and ignore the frame. */
  @Test
  void anIdentifiedFrameHasAVersionThatOlderBuildsDoNotKnow() {
    for (PeerFrame frame : identifiedFrames()) {
      assertEquals(PeerFrame.IDENTIFIED_VERSION, frame.encode().get(0));
    }
  }

  @Test
  void aTruncatedIdentifiedFrameIsMalformed() {
    int bytesOfBody = 2;
    for (PeerFrame frame : identifiedFrames()) {
      byte[] whole = frame.encode().array();
      for (int length = 0; length < whole.length - bytesOfBody; length++) {
        ByteBuffer truncated = ByteBuffer.wrap(Arrays.copyOf(whole, length));
        assertThrows(BadMessage.class, () -> PeerFrame.decode(truncated), frame + ", " + length);
      }
    }
  }

  /** A frame of an unknown layout or kind is decoded as unknown instead of failing. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "050102",
        "040602",
        "040002",
        "041102",
        "030902",
        "03FF02",
        "030002",
        "031602000000",
        "030602"
      })
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
    "031402000000",
    "040102",
    "04010000000200000001",
    "040100000002000000010001610001"
  })
  void aTruncatedFrameIsMalformed(String bytes) {
    assertThrows(BadMessage.class, () -> PeerFrame.decode(fromHex(bytes)));
  }
}
