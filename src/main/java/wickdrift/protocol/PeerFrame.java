package wickdrift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * What controllers say to each other, laid out by hand: version, kind, sender's number, then the
 * kind's own. Bytes after those that a kind is known to have are a newer sender's and are ignored.
 */
public sealed interface PeerFrame {
  byte VERSION = 3;
  byte PEER_STATUS = 1;
  byte RELAYED_REPORT = 2;
  byte ANSWER = 3;
  byte WITHDRAWAL_CONFIRMATION_REQUEST = 4;
  byte OBEYED = 5;
  int HEADER_BYTES = 3;

  /** Added to a kind whose sender's number takes four bytes instead of one. */
  byte WIDE_SENDER_KIND_OFFSET = 16;

  /** By so many bytes its head is longer. */
  int WIDE_SENDER_EXTRA_BYTES = 3;

  /** The sender's number. */
  int from();

  ByteBuffer encode();

  /**
   * How the sender stands: its epoch, whether the state service serves it, and how many writes a
   * second it sends there.
   */
  record Standing(int from, long epoch, boolean stateOk, int writes) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(PEER_STATUS, from, 13)
          .put((byte) (stateOk ? 1 : 0))
          .putLong(epoch)
          .putInt(writes)
          .flip();
    }
  }

  /** A worker's report, passed on to the owner of its machine. */
  record Relayed(int from, long id, byte[] body) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(RELAYED_REPORT, from, 8 + body.length).putLong(id).put(body).flip();
    }
  }

  /** The owner's answer to a report passed on. */
  record Answered(int from, long id, int status, byte[] body) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(ANSWER, from, 10 + body.length)
          .putLong(id)
          .putShort((short) status)
          .put(body)
          .flip();
    }
  }

  /**
   * A job is withdrawn, durably: the receiver is to stop it, though its tables may not say so yet,
   * and to answer which of these machines of its own obey it alone ({@link Obeyed}).
   *
   * @param epoch of the view by which the sender holds the receiver for their owner
   * @param rev of the sender's tables, which say that it is withdrawn
   */
  record Withdrawn(int from, long id, long epoch, long rev, String job, List<String> machines)
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
              .putLong(id)
              .putLong(epoch)
              .putLong(rev);
      b.putShort((short) jobBytes.length).put(jobBytes).putShort((short) machineNames.size());
      machineNames.forEach(n -> b.putShort((short) n.length).put(n));
      return b.flip();
    }
  }

  /**
   * The answer: the receiver knows of the withdrawal, and of the machines that it was asked about
   * these, by their places, take no order but its own under that epoch, and begin nothing of it.
   *
   * @param places a bit for each machine, the lowest of the first byte first
   */
  record Obeyed(int from, long id, byte[] places) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return allocateWithHeader(OBEYED, from, 8 + places.length).putLong(id).put(places).flip();
    }
  }

  /** Something that this build does not understand: counted, and taken as a sign of nothing. */
  record Unknown(int from) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      throw new UnsupportedOperationException("nobody sends what he does not know");
    }
  }

  /** Numbers that a byte holds go as every build knows them; larger ones only newer builds have. */
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
   * @throws BadMessage if a frame of a known kind ends early
   */
  static PeerFrame decode(ByteBuffer buffer) throws BadMessage {
    if (buffer.remaining() < HEADER_BYTES) {
      throw new BadMessage("a frame that ends early");
    }
    byte version = buffer.get();
    byte encodedKind = buffer.get();
    boolean wideSender = encodedKind > WIDE_SENDER_KIND_OFFSET;
    byte kind = wideSender ? (byte) (encodedKind - WIDE_SENDER_KIND_OFFSET) : encodedKind;
    if (version != VERSION || kind < PEER_STATUS || kind > OBEYED) {
      return new Unknown(-1);
    }
    int minPayloadBytes =
        switch (kind) {
          case PEER_STATUS -> 13;
          case RELAYED_REPORT, OBEYED -> 8;
          case WITHDRAWAL_CONFIRMATION_REQUEST -> 28;
          default -> 10;
        };
    if (buffer.remaining() < minPayloadBytes + (wideSender ? 1 + WIDE_SENDER_EXTRA_BYTES : 1)) {
      throw new BadMessage("a frame that ends early");
    }
    int from = wideSender ? buffer.getInt() : buffer.get();
    return switch (kind) {
      case PEER_STATUS -> {
        boolean stateServiceReachable = buffer.get() == 1;
        yield new Standing(from, buffer.getLong(), stateServiceReachable, buffer.getInt());
      }
      case RELAYED_REPORT -> new Relayed(from, buffer.getLong(), readRemaining(buffer));
      case WITHDRAWAL_CONFIRMATION_REQUEST -> decodeConfirmationRequest(from, buffer);
      case OBEYED -> new Obeyed(from, buffer.getLong(), readRemaining(buffer));
      default -> new Answered(from, buffer.getLong(), buffer.getShort(), readRemaining(buffer));
    };
  }

  private static Withdrawn decodeConfirmationRequest(int from, ByteBuffer buffer)
      throws BadMessage {
    long requestId = buffer.getLong();
    long epoch = buffer.getLong();
    long revision = buffer.getLong();
    String job = readText(buffer);
    int machineCount = readLength(buffer);
    List<String> machines = new ArrayList<>();
    for (int i = 0; i < machineCount; i++) {
      machines.add(readText(buffer));
    }
    return new Withdrawn(from, requestId, epoch, revision, job, List.copyOf(machines));
  }

  private static int readLength(ByteBuffer buffer) throws BadMessage {
    if (buffer.remaining() < Short.BYTES) {
      throw new BadMessage("a frame that ends early");
    }
    return Short.toUnsignedInt(buffer.getShort());
  }

  private static String readText(ByteBuffer buffer) throws BadMessage {
    byte[] bytes = new byte[readLength(buffer)];
    if (buffer.remaining() < bytes.length) {
      throw new BadMessage("a frame that ends early");
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
