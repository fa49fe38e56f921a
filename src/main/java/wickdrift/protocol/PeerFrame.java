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
  byte STANDING = 1;
  byte REPORT = 2;
  byte ANSWER = 3;
  byte WITHDRAWN = 4;
  byte OBEYED = 5;
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
      byte[] name = job.getBytes(StandardCharsets.UTF_8);
      List<byte[]> names = new ArrayList<>();
      int length = 24 + 2 + name.length + 2;
      for (String m : machines) {
        byte[] b = m.getBytes(StandardCharsets.UTF_8);
        names.add(b);
        length += 2 + b.length;
      }
      ByteBuffer b = head(WITHDRAWN, from, length).putLong(id).putLong(epoch).putLong(rev);
      b.putShort((short) name.length).put(name).putShort((short) names.size());
      names.forEach(n -> b.putShort((short) n.length).put(n));
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
      return head(OBEYED, from, 8 + places.length).putLong(id).put(places).flip();
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
    if (version != VERSION || kind < STANDING || kind > OBEYED) {
      return new Unknown(-1);
    }
    int least =
        switch (kind) {
          case STANDING -> 13;
          case REPORT, OBEYED -> 8;
          case WITHDRAWN -> 28;
          default -> 10;
        };
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
      case WITHDRAWN -> withdrawn(from, b);
      case OBEYED -> new Obeyed(from, b.getLong(), rest(b));
      default -> new Answered(from, b.getLong(), b.getShort(), rest(b));
    };
  }

  private static Withdrawn withdrawn(int from, ByteBuffer b) throws BadMessage {
    long id = b.getLong();
    long epoch = b.getLong();
    long rev = b.getLong();
    String job = text(b);
    int n = length(b);
    List<String> machines = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      machines.add(text(b));
    }
    return new Withdrawn(from, id, epoch, rev, job, List.copyOf(machines));
  }

  private static int length(ByteBuffer b) throws BadMessage {
    if (b.remaining() < Short.BYTES) {
      throw new BadMessage("a frame that ends early");
    }
    return Short.toUnsignedInt(b.getShort());
  }

  private static String text(ByteBuffer b) throws BadMessage {
    byte[] bytes = new byte[length(b)];
    if (b.remaining() < bytes.length) {
      throw new BadMessage("a frame that ends early");
    }
    b.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static byte[] rest(ByteBuffer b) {
    byte[] out = new byte[b.remaining()];
    b.get(out);
    return out;
  }
}
