package wickdrift.protocol;

import java.nio.ByteBuffer;

/**
 * What controllers say to each other, laid out by hand: version, kind, sender's number, then the
 * kind's own. Bytes after those that a kind is known to have are a newer sender's and are ignored.
 */
public sealed interface PeerFrame {
  byte VERSION = 3;
  byte STANDING = 1;
  byte REPORT = 2;
  byte ANSWER = 3;
  int HEAD = 3;

  /** Added to a kind whose sender's number takes four bytes instead of one. */
  byte WIDE = 16;

  /** By so many bytes its head is longer. */
  int WIDER = 3;

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

  /** Something that this build does not understand: counted, and taken as a sign of nothing. */
  record Unknown(int from) implements PeerFrame {
    @Override
    public ByteBuffer encode() {
      throw new UnsupportedOperationException("nobody sends what he does not know");
    }
  }

  /** Numbers that a byte holds go as every build knows them; larger ones only newer builds have. */
  private static ByteBuffer head(byte kind, int from, int more) {
    boolean narrow = from <= Byte.MAX_VALUE;
    ByteBuffer b = ByteBuffer.allocate(HEAD + (narrow ? 0 : WIDER) + more).put(VERSION);
    return narrow ? b.put(kind).put((byte) from) : b.put((byte) (kind + WIDE)).putInt(from);
  }

  /**
   * @throws BadMessage if a frame of a known kind ends early
   */
  static PeerFrame decode(ByteBuffer b) throws BadMessage {
    if (b.remaining() < HEAD) {
      throw new BadMessage("a frame that ends early");
    }
    byte version = b.get();
    byte said = b.get();
    boolean wide = said > WIDE;
    byte kind = wide ? (byte) (said - WIDE) : said;
    if (version != VERSION || kind < STANDING || kind > ANSWER) {
      return new Unknown(-1);
    }
    int least = kind == STANDING ? 13 : kind == REPORT ? 8 : 10;
    if (b.remaining() < least + (wide ? 1 + WIDER : 1)) {
      throw new BadMessage("a frame that ends early");
    }
    int from = wide ? b.getInt() : b.get();
    return switch (kind) {
      case STANDING -> {
        boolean ok = b.get() == 1;
        yield new Standing(from, b.getLong(), ok, b.getInt());
      }
      case REPORT -> new Relayed(from, b.getLong(), rest(b));
      default -> new Answered(from, b.getLong(), b.getShort(), rest(b));
    };
  }

  private static byte[] rest(ByteBuffer b) {
    byte[] out = new byte[b.remaining()];
    b.get(out);
    return out;
  }
}
