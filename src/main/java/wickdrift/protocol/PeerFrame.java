package wickdrift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * The frames that controllers exchange, in a binary encoding: version, kind, {@link FrameHeader},
 * then the payload of the kind. Bytes after the known payload of a kind were added by a newer build
 * and are ignored.
 *
 * <p>There are two layouts. The first ({@link #FIRST_VERSION}) names the sending controller only;
 * the second ({@link #IDENTIFIED_VERSION}) names both processes. The header decides which layout a
 * frame is encoded in.
 */
public sealed interface PeerFrame {
  /** Version of the layout whose header holds the number of the sender only. */
  byte FIRST_VERSION = 3;

  /** Version of the layout whose header names the processes of sender and receiver. */
  byte IDENTIFIED_VERSION = 4;

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

  /** Sender and receiver. */
  FrameHeader header();

  /** The number of the sending node in the node registry. */
  default int from() {
    return header().from();
  }

  /** Encodes the frame, without the length that precedes it on the connection. */
  ByteBuffer encode();

  /**
   * The status of the sender, sent periodically to each peer. The numbers of the statuses are part
   * of the identified layout only.
   *
   * @param epoch the epoch of its view; 0 without a view
   * @param stateServiceReachable whether the state service answers it
   * @param writesPerSecond the number of writes per second that it sends to the state service
   * @param number counts the statuses that the sending process sends to this receiver
   * @param echoedNumber the number of the newest status that the sender has received from the
   *     process to which the header addresses the frame; 0: none
   */
  record PeerStatus(
      FrameHeader header,
      long epoch,
      boolean stateServiceReachable,
      int writesPerSecond,
      long number,
      long echoedNumber)
      implements PeerFrame {
    private static final int FIRST_PAYLOAD_BYTES = 13;
    private static final int IDENTIFIED_PAYLOAD_BYTES = FIRST_PAYLOAD_BYTES + 16;

    @Override
    public ByteBuffer encode() {
      ByteBuffer buffer =
          PeerFrameEncoding.allocate(PEER_STATUS, header, payloadBytes(header))
              .put((byte) (stateServiceReachable ? 1 : 0))
              .putLong(epoch)
              .putInt(writesPerSecond);
      if (header.isIdentified()) {
        buffer.putLong(number).putLong(echoedNumber);
      }
      return buffer.flip();
    }

    private static int payloadBytes(FrameHeader header) {
      return header.isIdentified() ? IDENTIFIED_PAYLOAD_BYTES : FIRST_PAYLOAD_BYTES;
    }

    static PeerStatus decode(FrameHeader header, ByteBuffer buffer) throws BadMessage {
      PeerFrameEncoding.requireRemaining(buffer, payloadBytes(header));
      boolean stateServiceReachable = buffer.get() == 1;
      long epoch = buffer.getLong();
      int writesPerSecond = buffer.getInt();
      long number = header.isIdentified() ? buffer.getLong() : 0;
      long echoedNumber = header.isIdentified() ? buffer.getLong() : 0;
      return new PeerStatus(
          header, epoch, stateServiceReachable, writesPerSecond, number, echoedNumber);
    }
  }

  /**
   * A worker's report that the sender received and forwards to the owner of the worker's machine.
   *
   * @param requestId a number by which the sending process recognizes the reply
   * @param body the report as received
   */
  record RelayedReport(FrameHeader header, long requestId, byte[] body) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return PeerFrameEncoding.allocate(RELAYED_REPORT, header, Long.BYTES + body.length)
          .putLong(requestId)
          .put(body)
          .flip();
    }

    static RelayedReport decode(FrameHeader header, ByteBuffer buffer) throws BadMessage {
      PeerFrameEncoding.requireRemaining(buffer, Long.BYTES);
      return new RelayedReport(header, buffer.getLong(), PeerFrameEncoding.readRemaining(buffer));
    }
  }

  /**
   * The owner's reply to a {@link RelayedReport} report.
   *
   * @param requestId the number in the relayed report
   * @param report the report that is answered; null in the first layout
   * @param status the HTTP status for the worker
   * @param body the response body for the worker
   */
  record RelayedReply(FrameHeader header, long requestId, ReportKey report, int status, byte[] body)
      implements PeerFrame {
    private static final int FIRST_PAYLOAD_BYTES = Long.BYTES + Short.BYTES;

    @Override
    public ByteBuffer encode() {
      byte[] machine =
          header.isIdentified() ? report.machine().getBytes(StandardCharsets.UTF_8) : new byte[0];
      int keyBytes = header.isIdentified() ? Short.BYTES + machine.length + 2 * Long.BYTES : 0;
      ByteBuffer buffer =
          PeerFrameEncoding.allocate(
                  RELAYED_REPLY, header, FIRST_PAYLOAD_BYTES + keyBytes + body.length)
              .putLong(requestId)
              .putShort((short) status);
      if (header.isIdentified()) {
        PeerFrameEncoding.putText(buffer, machine);
        buffer.putLong(report.tenure()).putLong(report.tick());
      }
      return buffer.put(body).flip();
    }

    static RelayedReply decode(FrameHeader header, ByteBuffer buffer) throws BadMessage {
      PeerFrameEncoding.requireRemaining(buffer, FIRST_PAYLOAD_BYTES);
      long requestId = buffer.getLong();
      int status = buffer.getShort();
      ReportKey report = header.isIdentified() ? decodeKey(buffer) : null;
      byte[] body = PeerFrameEncoding.readRemaining(buffer);
      return new RelayedReply(header, requestId, report, status, body);
    }

    private static ReportKey decodeKey(ByteBuffer buffer) throws BadMessage {
      String machine = PeerFrameEncoding.readText(buffer);
      PeerFrameEncoding.requireRemaining(buffer, 2 * Long.BYTES);
      return new ReportKey(machine, buffer.getLong(), buffer.getLong());
    }
  }

  /**
   * Announces that the withdrawal of a job is stored durably. The receiver stops the job, even if
   * its own tables don't contain the withdrawal yet, and replies which of the listed machines
   * accept commands from no other controller ({@link WithdrawalConfirmation}).
   *
   * @param requestId a number by which the sending process recognizes the reply
   * @param epoch the epoch of the view in which the receiver owns the machines
   * @param revision the revision of the sender's tables, which contain the withdrawal
   * @param machines the names of the machines
   */
  record WithdrawalConfirmationRequest(
      FrameHeader header,
      long requestId,
      long epoch,
      long revision,
      String job,
      List<String> machines)
      implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      byte[] jobBytes = job.getBytes(StandardCharsets.UTF_8);
      List<byte[]> machineNames = new ArrayList<>();
      int payloadBytes = 3 * Long.BYTES + Short.BYTES + jobBytes.length + Short.BYTES;
      for (String machine : machines) {
        byte[] name = machine.getBytes(StandardCharsets.UTF_8);
        machineNames.add(name);
        payloadBytes += Short.BYTES + name.length;
      }
      ByteBuffer buffer =
          PeerFrameEncoding.allocate(WITHDRAWAL_CONFIRMATION_REQUEST, header, payloadBytes)
              .putLong(requestId)
              .putLong(epoch)
              .putLong(revision);
      PeerFrameEncoding.putText(buffer, jobBytes);
      buffer.putShort((short) machineNames.size());
      machineNames.forEach(name -> PeerFrameEncoding.putText(buffer, name));
      return buffer.flip();
    }

    static WithdrawalConfirmationRequest decode(FrameHeader header, ByteBuffer buffer)
        throws BadMessage {
      PeerFrameEncoding.requireRemaining(buffer, 3 * Long.BYTES);
      long requestId = buffer.getLong();
      long epoch = buffer.getLong();
      long revision = buffer.getLong();
      String job = PeerFrameEncoding.readText(buffer);
      int machineCount = PeerFrameEncoding.readLength(buffer);
      List<String> machines = new ArrayList<>();
      for (int i = 0; i < machineCount; i++) {
        machines.add(PeerFrameEncoding.readText(buffer));
      }
      return new WithdrawalConfirmationRequest(
          header, requestId, epoch, revision, job, List.copyOf(machines));
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
  record WithdrawalConfirmation(FrameHeader header, long requestId, byte[] confirmedMachines)
      implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return PeerFrameEncoding.allocate(
              WITHDRAWAL_CONFIRMATION, header, Long.BYTES + confirmedMachines.length)
          .putLong(requestId)
          .put(confirmedMachines)
          .flip();
    }

    static WithdrawalConfirmation decode(FrameHeader header, ByteBuffer buffer) throws BadMessage {
      PeerFrameEncoding.requireRemaining(buffer, Long.BYTES);
      long requestId = buffer.getLong();
      return new WithdrawalConfirmation(header, requestId, PeerFrameEncoding.readRemaining(buffer));
    }
  }

  /**
   * A frame of a version or kind that this build does not know. It is counted and otherwise
   * ignored: it says nothing about the state of its sender.
   */
  record Unknown() implements PeerFrame {
    @Override
    public FrameHeader header() {
      return FrameHeader.firstLayout(-1);
    }

    @Override
    public ByteBuffer encode() {
      throw new UnsupportedOperationException("a frame of unknown kind cannot be encoded");
    }
  }

  /**
   * Decodes a frame; one of another version or kind becomes {@link Unknown}.
   *
   * @throws BadMessage if the header or the payload of a known kind is truncated
   */
  static PeerFrame decode(ByteBuffer buffer) throws BadMessage {
    PeerFrameEncoding.requireRemaining(buffer, PeerFrameEncoding.MIN_FRAME_BYTES);
    byte version = buffer.get();
    byte encodedKind = buffer.get();
    byte kind = PeerFrameEncoding.kind(version, encodedKind);
    if (kind < PEER_STATUS || kind > WITHDRAWAL_CONFIRMATION) {
      return new Unknown();
    }
    FrameHeader header = PeerFrameEncoding.decodeHeader(version, encodedKind, buffer);
    return switch (kind) {
      case PEER_STATUS -> PeerStatus.decode(header, buffer);
      case RELAYED_REPORT -> RelayedReport.decode(header, buffer);
      case RELAYED_REPLY -> RelayedReply.decode(header, buffer);
      case WITHDRAWAL_CONFIRMATION_REQUEST -> WithdrawalConfirmationRequest.decode(header, buffer);
      default -> WithdrawalConfirmation.decode(header, buffer);
    };
  }
}
