package wickdrift.operator;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jpountz.lz4.LZ4FrameInputStream;
import net.jpountz.lz4.LZ4FrameOutputStream;
import net.jpountz.lz4.LZ4FrameOutputStream.BLOCKSIZE;
import net.jpountz.lz4.LZ4FrameOutputStream.FLG;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;

/**
 * A file that holds all records as of one revision: eight bytes that say what it is and its form,
 * then an LZ4 frame (checksums over each block and the whole) of length-prefixed MessagePack
 * values: a head, a list of key, value and stamp for each record, and an end that counts them.
 */
public final class Snapshot {
  /** The file is not a whole snapshot of a form that this build reads. */
  public static final class Damaged extends Exception {
    private static final long serialVersionUID = 1L;

    Damaged(String message) {
      super(message);
    }
  }

  private static final byte FORM = 1;
  private static final byte[] MAGIC = "WICKSNP".getBytes(StandardCharsets.US_ASCII);
  private static final int MOST_VALUE = 1 << 20;

  private Snapshot() {}

  /** Writes a snapshot of all records. */
  public static void write(Records records, OutputStream out) throws IOException {
    out.write(MAGIC);
    out.write(FORM);
    LZ4FrameOutputStream lz4 =
        new LZ4FrameOutputStream(
            out,
            BLOCKSIZE.SIZE_256KB,
            FLG.Bits.CONTENT_CHECKSUM,
            FLG.Bits.BLOCK_CHECKSUM,
            FLG.Bits.BLOCK_INDEPENDENCE);
    put(lz4, Map.of("rev", records.rev(), "records", records.all().size()));
    for (Map.Entry<String, Records.Item> e : records.all().entrySet()) {
      put(lz4, Arrays.asList(e.getKey(), e.getValue().value(), e.getValue().stamp()));
    }
    put(lz4, Map.of("end", records.all().size()));
    lz4.close();
  }

  private static void put(OutputStream out, Object value) throws IOException {
    byte[] b = MessageCodec.encode(value);
    out.write(new byte[] {(byte) (b.length >> 24), (byte) (b.length >> 16)});
    out.write(new byte[] {(byte) (b.length >> 8), (byte) b.length});
    out.write(b);
  }

  /**
   * @throws Damaged naming what is wrong and at which record
   */
  public static Records read(InputStream in) throws Damaged {
    int n = 0;
    String at = "the head";
    try {
      byte[] magic = in.readNBytes(MAGIC.length);
      if (!Arrays.equals(magic, MAGIC)) {
        throw new Damaged("this is no snapshot: its first bytes are others");
      }
      int form = in.read();
      if (form != FORM) {
        throw new Damaged("form " + form + " of a snapshot is unknown here, only " + FORM + " is");
      }
      // A bad byte is found by the frame's checksums before what it says is used.
      InputStream lz4 = new LZ4FrameInputStream(in, true);
      Document head = Document.of(get(lz4));
      long count = head.count("records");
      TreeMap<String, Records.Item> all = new TreeMap<>();
      for (; n < count; n++) {
        at = "record " + (n + 1) + " of " + count;
        if (!(get(lz4) instanceof List<?> l)
            || l.size() != 3
            || !(l.get(0) instanceof String key)
            || !(l.get(2) instanceof Long stamp)) {
          throw new Damaged(at + " is no key, value and stamp");
        }
        if (all.put(key, new Records.Item(l.get(1), stamp)) != null) {
          throw new Damaged(at + ": " + key + " is there twice");
        }
      }
      at = "the end";
      if (Document.of(get(lz4)).count("end") != count || lz4.read() >= 0) {
        throw new Damaged("the end does not say " + count + " records");
      }
      if (in.read() >= 0) {
        throw new Damaged("bytes that belong to nothing at the end of the file");
      }
      return new Records(head.count("rev"), all);
    } catch (EOFException e) {
      throw new Damaged("the file ends early, at " + at);
    } catch (IOException | RuntimeException | BadMessage e) {
      throw new Damaged("damaged at " + at + ": " + e.getMessage());
    }
  }

  private static Object get(InputStream in) throws IOException, BadMessage {
    byte[] n = in.readNBytes(4);
    if (n.length < 4) {
      throw new EOFException();
    }
    int length = (n[0] & 0xFF) << 24 | (n[1] & 0xFF) << 16 | (n[2] & 0xFF) << 8 | n[3] & 0xFF;
    if (length <= 0 || length > MOST_VALUE) {
      throw new BadMessage("a value of " + length + " bytes");
    }
    byte[] b = in.readNBytes(length);
    if (b.length < length) {
      throw new EOFException();
    }
    return MessageCodec.decode(b);
  }
}
