package wickdrift.protocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** The encoding of the headers of {@link PeerFrame}, and of what their payloads have in common. */
final class PeerFrameEncoding {
  /** Version, kind and one further byte; no frame is shorter. */
  static final int MIN_FRAME_BYTES = 3;

  /** Added to the kind in a first-layout frame in which the sender's number takes four bytes. */
  private static final byte WIDE_SENDER_KIND_OFFSET = 16;

  private static final byte NO_KIND = 0;

  private PeerFrameEncoding() {}

  /**
   * Returns the kind of a frame, or a value that is no kind for a version that is not known.
   *
   * @param encodedKind the second byte of the frame
   */
  static byte kind(byte version, byte encodedKind) {
    if (version == PeerFrame.IDENTIFIED_VERSION) {
      return encodedKind;
    }
    if (version != PeerFrame.FIRST_VERSION) {
      return NO_KIND;
    }
    return isWideSender(encodedKind) ? (byte) (encodedKind - WIDE_SENDER_KIND_OFFSET) : encodedKind;
  }

  private static boolean isWideSender(byte encodedKind) {
    return encodedKind > WIDE_SENDER_KIND_OFFSET;
  }

  /** Allocates a buffer for a frame, and writes version, kind and header. */
  static ByteBuffer allocate(byte kind, FrameHeader header, int payloadBytes) {
    return header.isIdentified()
        ? allocateIdentified(kind, header, payloadBytes)
        : allocateFirstLayout(kind, header.from(), payloadBytes);
  }

  private static ByteBuffer allocateIdentified(byte kind, FrameHeader header, int payloadBytes) {
    byte[] fromProcess = header.fromProcess().getBytes(StandardCharsets.UTF_8);
    byte[] toProcess = header.toProcess().getBytes(StandardCharsets.UTF_8);
    int processBytes = 2 * Short.BYTES + fromProcess.length + toProcess.length;
    ByteBuffer buffer =
        ByteBuffer.allocate(2 + 2 * Integer.BYTES + processBytes + payloadBytes)
            .put(PeerFrame.IDENTIFIED_VERSION)
            .put(kind)
            .putInt(header.from())
            .putInt(header.to());
    putText(buffer, fromProcess);
    putText(buffer, toProcess);
    return buffer;
  }

  /**
   * Allocates a frame of the first layout. Sender numbers up to 127 take one byte, as in older
   * builds, which assign no larger ones; larger numbers take four bytes.
   */
  private static ByteBuffer allocateFirstLayout(byte kind, int from, int payloadBytes) {
    boolean wideSender = from > Byte.MAX_VALUE;
    int senderBytes = wideSender ? Integer.BYTES : 1;
    ByteBuffer buffer =
        ByteBuffer.allocate(2 + senderBytes + payloadBytes).put(PeerFrame.FIRST_VERSION);
    return wideSender
        ? buffer.put((byte) (kind + WIDE_SENDER_KIND_OFFSET)).putInt(from)
        : buffer.put(kind).put((byte) from);
  }

  /** Decodes the header that follows version and kind. */
  static FrameHeader decodeHeader(byte version, byte encodedKind, ByteBuffer buffer)
      throws BadMessage {
    if (version == PeerFrame.FIRST_VERSION) {
      if (!isWideSender(encodedKind)) {
        return FrameHeader.firstLayout(buffer.get());
      }
      requireRemaining(buffer, Integer.BYTES);
      return FrameHeader.firstLayout(buffer.getInt());
    }
    requireRemaining(buffer, 2 * Integer.BYTES);
    int from = buffer.getInt();
    int to = buffer.getInt();
    String fromProcess = readText(buffer);
    if (fromProcess.isEmpty()) {
      throw new BadMessage("frame names no sending process");
    }
    return new FrameHeader(from, fromProcess, to, readText(buffer));
  }

  static void requireRemaining(ByteBuffer buffer, int bytes) throws BadMessage {
    if (buffer.remaining() < bytes) {
      throw new BadMessage("frame is truncated");
    }
  }

  static void putText(ByteBuffer buffer, byte[] text) {
    buffer.putShort((short) text.length).put(text);
  }

  static int readLength(ByteBuffer buffer) throws BadMessage {
    requireRemaining(buffer, Short.BYTES);
    return Short.toUnsignedInt(buffer.getShort());
  }

  static String readText(ByteBuffer buffer) throws BadMessage {
    byte[] bytes = new byte[readLength(buffer)];
    requireRemaining(buffer, bytes.length);
    buffer.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  static byte[] readRemaining(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }
}
