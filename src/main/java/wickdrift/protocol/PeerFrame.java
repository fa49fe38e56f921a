package wickdrift.protocol;

import java.nio.ByteBuffer;

/**
 * What controllers say to each other, laid out by hand: version, kind, sender, then the kind's own.
 */
public sealed interface PeerFrame {
  byte VERSION = 3;
  byte STANDING = 1;
  byte REPORT = 2;
  byte ANSWER = 3;
  int HEAD = 3;

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
      return head(STANDING, from, 13)
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
      return head(REPORT, from, 8 + body.length).putLong(id).put(body).flip();
    }
  }

  /** The owner's answer to a report passed on. */
  record Answered(int from, long id, int status, byte[] body) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      return head(ANSWER, from, 10 + body.length)
          .putLong(id)
          .putShort((short) status)
          .put(body)
          .flip();
    }
  }

  private static ByteBuffer head(byte kind, int from, int more) {
    return ByteBuffer.allocate(HEAD + more).put(VERSION).put(kind).put((byte) from);
  }

  static PeerFrame decode(ByteBuffer b) throws BadMessage {
    if (b.remaining() < HEAD || b.get() != VERSION) {
      throw new BadMessage("a frame of another version");
    }
    byte kind = b.get();
    int from = b.get();
    int least = kind == STANDING ? 13 : kind == REPORT ? 8 : 10;
    if (b.remaining() < least) {
      throw new BadMessage("a frame that ends early");
    }
    switch (kind) {
      case STANDING -> {
        boolean ok = b.get() == 1;
        return new Standing(from, b.getLong(), ok, b.getInt());
      }
      case REPORT -> {
        return new Relayed(from, b.getLong(), rest(b));
      }
      case ANSWER -> {
        return new Answered(from, b.getLong(), b.getShort(), rest(b));
      }
      default -> throw new BadMessage("a frame of unknown kind");
    }
  }

  private static byte[] rest(ByteBuffer b) {
    byte[] out = new byte[b.remaining()];
    b.get(out);
    return out;
  }
}
