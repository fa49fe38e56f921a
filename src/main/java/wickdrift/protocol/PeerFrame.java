package wickdrift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The frames that controllers exchange, in a binary encoding: version, kind, number of the sending
 * node, then the payload of the kind. Bytes after the known payload of a kind were added by a newer
 * build and are ignored.
 */
public sealed interface PeerFrame {
  /** Version of the layout; frames of other versions are {@link Unknown}. */
  byte VERSION = 3;

  /** Kind of {@link PeerStatus}. */
  byte PEER_STATUS = 1;

  /** Kind of {@link RelayedReport}. */
  byte RELAYED_REPORT = 2;

  /** Kind of {@link RelayedReply}. */
  byte RELAYED_REPLY = 3;

  /** Kind of {@link WithdrawalConfirmationRequest}. */
  byte WITHDRAWAL_CONFIRMATION_REQUEST = 4;

  /** Kind of {@link WithdrawalConfirmation}. */
  byte WITHDRAWAL_CONFIRMATION = 5;

  /** Length of the header if the number of the sender takes one byte. */
  int HEADER_BYTES = 3;

  /** Added to the kind in a frame in which the number of the sender takes four bytes, not one. */
  byte WIDE_SENDER_KIND_OFFSET = 16;

  /** Number of bytes by which the header is longer if the number of the sender takes four bytes. */
  int WIDE_SENDER_EXTRA_BYTES = 3;

  /** The number of the sending node in the node registry. */
  int from();

  /** Encodes the frame, without the length that precedes it on the connection. */
  ByteBuffer encode();

  /**
   * The status of the sender, sent periodically to all peers.
   *
   * @param epoch the epoch of its view; 0 without a view
   * @param stateServiceReachable whether the state service answers it
   * @param writesPerSecond the number of writes per second that it sends to the state service
   */
  record PeerStatus(int from, long epoch, boolean stateServiceReachable, int writesPerSecond)
      implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(PEER_STATUS, from, 13)
          .put((byte) (stateServiceReachable ? 1 : 0))
          .putLong(epoch)
          .putInt(writesPerSecond)
          .flip();
    }
  }

  /**
   * A worker's report that the sender received and forwards to the owner of the worker's machine.
   *
   * @param requestId a number by which the sender matches the reply
   * @param body the report as received
   */
  record RelayedReport(int from, long requestId, byte[] body) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(RELAYED_REPORT, from, 8 + body.length)
          .putLong(requestId)
          .put(body)
          .flip();
    }
  }

  /**
   * The owner's reply to a {@link RelayedReport} report.
   *
   * @param requestId the number in the relayed report
   * @param status the HTTP status for the worker
   * @param body the response body for the worker
   */
  record RelayedReply(int from, long requestId, int status, byte[] body) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(RELAYED_REPLY, from, 10 + body.length)
          .putLong(requestId)
          .putShort((short) status)
          .put(body)
          .flip();
    }
  }

  /**
   * Announces that the withdrawal of a job is stored durably. The receiver stops the job, even if
   * its own tables don't contain the withdrawal yet, and replies which of the listed machines
   * accept commands from no other controller ({@link WithdrawalConfirmation}).
   *
   * @param requestId a number by which the sender matches the reply
   * @param epoch the epoch of the view in which the receiver owns the machines
   * @param revision the revision of the sender's tables, which contain the withdrawal
   * @param machines the names of the machines
   */
  record WithdrawalConfirmationRequest(
      int from, long requestId, long epoch, long revision, String job, List<String> machines)
      implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      byte[] jobBytes = job.getBytes(StandardCharsets.UTF_8);
      List<byte[]> machineNames = new ArrayList<>();
      int payloadBytes = 24 + 2 + jobBytes.length + 2;
      for (String machine : machines) {
        byte[] b = machine.getBytes(StandardCharsets.UTF_8);
        machineNames.add(b);
        payloadBytes += 2 + b.length;
      }
      ByteBuffer b =
          allocateWithHeader(WITHDRAWAL_CONFIRMATION_REQUEST, from, payloadBytes)
              .putLong(requestId)
              .putLong(epoch)
              .putLong(revision);
      b.putShort((short) jobBytes.length).put(jobBytes).putShort((short) machineNames.size());
      machineNames.forEach(n -> b.putShort((short) n.length).put(n));
      return b.flip();
    }
  }

  /**
   * The reply to {@link WithdrawalConfirmationRequest}: its sender knows of the withdrawal, and the
   * workers on the indicated machines accept commands from it alone, under the requested epoch, and
   * start no task of the job any more.
   *
   * @param requestId the number in the request
   * @param confirmedMachines a bit for each machine of the request, in its order; the least
   *     significant bit of the first byte is the first machine
   */
  record WithdrawalConfirmation(int from, long requestId, byte[] confirmedMachines)
      implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(WITHDRAWAL_CONFIRMATION, from, 8 + confirmedMachines.length)
          .putLong(requestId)
          .put(confirmedMachines)
          .flip();
    }
  }

  /**
   * A frame of a version or kind that this build does not know. It is counted and otherwise
   * ignored: it says nothing about the state of its sender.
   */
  record Unknown(int from) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      throw new UnsupportedOperationException("a frame of unknown kind cannot be encoded");
    }
  }

  /**
   * Allocates a buffer and writes the header. Sender numbers up to 127 take one byte, as in older
   * builds, which assign no larger ones; larger numbers take four bytes.
   */
  private static ByteBuffer allocateWithHeader(byte kind, int from, int payloadBytes) {
    boolean narrowSender = from <= Byte.MAX_VALUE;
    ByteBuffer buffer =
        ByteBuffer.allocate(
                HEADER_BYTES + (narrowSender ? 0 : WIDE_SENDER_EXTRA_BYTES) + payloadBytes)
            .put(VERSION);
    return narrowSender
        ? buffer.put(kind).put((byte) from)
        : buffer.put((byte) (kind + WIDE_SENDER_KIND_OFFSET)).putInt(from);
  }

  /**
   * Decodes a frame; one of another version or kind becomes {@link Unknown}.
   *
   * @throws BadMessage if the header or the payload of a known kind is truncated
   */
  static PeerFrame decode(ByteBuffer buffer) throws BadMessage {
    if (buffer.remaining() < HEADER_BYTES) {
      throw new BadMessage("frame is truncated");
    }
    byte version = buffer.get();
    byte encodedKind = buffer.get();
    boolean wideSender = encodedKind > WIDE_SENDER_KIND_OFFSET;
    byte kind = wideSender ? (byte) (encodedKind - WIDE_SENDER_KIND_OFFSET) : encodedKind;
    if (version != VERSION || kind < PEER_STATUS || kind > WITHDRAWAL_CONFIRMATION) {
      return new Unknown(-1);
    }
    int minPayloadBytes =
        switch (kind) {
          case PEER_STATUS -> 13;
          case RELAYED_REPORT, WITHDRAWAL_CONFIRMATION -> 8;
          case WITHDRAWAL_CONFIRMATION_REQUEST -> 28;
          default -> 10;
        };
    if (buffer.remaining() < minPayloadBytes + (wideSender ? 1 + WIDE_SENDER_EXTRA_BYTES : 1)) {
      throw new BadMessage("frame is truncated");
    }
    int from = wideSender ? buffer.getInt() : buffer.get();
    return switch (kind) {
      case PEER_STATUS -> {
        boolean stateServiceReachable = buffer.get() == 1;
        yield new PeerStatus(from, buffer.getLong(), stateServiceReachable, buffer.getInt());
      }
      case RELAYED_REPORT -> new RelayedReport(from, buffer.getLong(), readRemaining(buffer));
      case WITHDRAWAL_CONFIRMATION_REQUEST -> decodeConfirmationRequest(from, buffer);
      case WITHDRAWAL_CONFIRMATION ->
          new WithdrawalConfirmation(from, buffer.getLong(), readRemaining(buffer));
      default -> new RelayedReply(from, buffer.getLong(), buffer.getShort(), readRemaining(buffer));
    };
  }

  private static WithdrawalConfirmationRequest decodeConfirmationRequest(
      int from, ByteBuffer buffer) throws BadMessage {
    long requestId = buffer.getLong();
    long epoch = buffer.getLong();
    long revision = buffer.getLong();
    String job = readText(buffer);
    int machineCount = readLength(buffer);
    List<String> machines = new ArrayList<>();
    for (int i = 0; i < machineCount; i++) {
      machines.add(readText(buffer));
    }
    return new WithdrawalConfirmationRequest(
        from, requestId, epoch, revision, job, List.copyOf(machines));
  }

  private static int readLength(ByteBuffer buffer) throws BadMessage {
    if (buffer.remaining() < Short.BYTES) {
      throw new BadMessage("frame is truncated");
    }
    return Short.toUnsignedInt(buffer.getShort());
  }

  private static String readText(ByteBuffer buffer) throws BadMessage {
    byte[] bytes = new byte[readLength(buffer)];
    if (buffer.remaining() < bytes.length) {
      throw new BadMessage("frame is truncated");
    }
    buffer.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static byte[] readRemaining(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }
}
