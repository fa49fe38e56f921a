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
import wickdrift.protocol.EncodedValue;
import wickdrift.protocol.MessageCodec;
import wickdrift.protocol.Unsigned;

/**
 * Reads and writes snapshot files, which hold all records at one revision.
 *
 * <p>A file starts with eight bytes: seven magic bytes and the format version. An LZ4 frame
 * follows, with checksums of each block and of the whole content. It contains length-prefixed
 * MessagePack values: a header with the revision and the number of records, a list of key, value
 * and stamp for each record, and a trailer with the number of records again.
 */
public final class Snapshot {
  /** The file is not a complete snapshot of a format version that this build reads. */
  public static final class CorruptSnapshotException extends Exception {
    private static final long serialVersionUID = 1L;

    CorruptSnapshotException(String message) {
      super(message);
    }
  }

  private static final byte FORMAT_VERSION = 1;
  private static final byte[] MAGIC = "WICKSNP".getBytes(StandardCharsets.US_ASCII);
  private static final int MAX_VALUE_BYTES = 1 << 20;

  private Snapshot() {}

  /** Writes a snapshot of all records. */
  public static void write(StoredRecords records, OutputStream out) throws IOException {
    out.write(MAGIC);
    out.write(FORMAT_VERSION);
    LZ4FrameOutputStream lz4 =
        new LZ4FrameOutputStream(
            out,
            BLOCKSIZE.SIZE_256KB,
            FLG.Bits.CONTENT_CHECKSUM,
            FLG.Bits.BLOCK_CHECKSUM,
            FLG.Bits.BLOCK_INDEPENDENCE);
    writeValue(
        lz4, Map.of("rev", Unsigned.toWire(records.revision()), "records", records.byKey().size()));
    for (Map.Entry<String, StoredRecords.StoredValue> entry : records.byKey().entrySet()) {
      writeValue(
          lz4,
          Arrays.asList(
              entry.getKey(), entry.getValue().value(), Unsigned.toWire(entry.getValue().stamp())));
    }
    writeValue(lz4, Map.of("end", records.byKey().size()));
    lz4.close();
  }

  /** Writes a value with its length as a prefix of four bytes, most significant byte first. */
  private static void writeValue(OutputStream out, Object value) throws IOException {
    byte[] bytes = MessageCodec.encode(value);
    out.write(new byte[] {(byte) (bytes.length >> 24), (byte) (bytes.length >> 16)});
    out.write(new byte[] {(byte) (bytes.length >> 8), (byte) bytes.length});
    out.write(bytes);
  }

  /**
   * Reads and verifies a whole snapshot.
   *
   * @throws CorruptSnapshotException with the reason and the position in the file
   */
  public static StoredRecords read(InputStream in) throws CorruptSnapshotException {
    int recordIndex = 0;
    String position = "the head";
    try {
      byte[] magic = in.readNBytes(MAGIC.length);
      if (!Arrays.equals(magic, MAGIC)) {
        throw new CorruptSnapshotException("this is no snapshot: its first bytes are others");
      }
      int formatVersion = in.read();
      if (formatVersion != FORMAT_VERSION) {
        throw new CorruptSnapshotException(
            "form "
                + formatVersion
                + " of a snapshot is unknown here, only "
                + FORMAT_VERSION
                + " is");
      }
      // The frame's checksums detect a corrupt byte before the content that it belongs to is used.
      InputStream lz4 = new LZ4FrameInputStream(in, true);
      Document header = Document.of(readValue(lz4));
      long count = header.count("records");
      TreeMap<String, StoredRecords.StoredValue> byKey = new TreeMap<>();
      for (; recordIndex < count; recordIndex++) {
        position = "record " + (recordIndex + 1) + " of " + count;
        List<EncodedValue> fields = readValue(lz4).elements();
        if (fields.size() != 3 || !(fields.get(0).decode() instanceof String key)) {
          throw new CorruptSnapshotException(position + " is no key, value and stamp");
        }
        long stamp = Unsigned.fromWire(fields.get(2).decode());
        if (byKey.put(key, new StoredRecords.StoredValue(fields.get(1), stamp)) != null) {
          throw new CorruptSnapshotException(position + ": " + key + " is there twice");
        }
      }
      position = "the end";
      if (Document.of(readValue(lz4)).count("end") != count || lz4.read() >= 0) {
        throw new CorruptSnapshotException("the end does not say " + count + " records");
      }
      if (in.read() >= 0) {
        throw new CorruptSnapshotException("bytes that belong to nothing at the end of the file");
      }
      return new StoredRecords(header.unsigned("rev"), byKey);
    } catch (EOFException e) {
      throw new CorruptSnapshotException("the file ends early, at " + position);
    } catch (IOException | RuntimeException | BadMessage e) {
      throw new CorruptSnapshotException("damaged at " + position + ": " + e.getMessage());
    }
  }

  private static EncodedValue readValue(InputStream in) throws IOException, BadMessage {
    byte[] lengthPrefix = in.readNBytes(4);
    if (lengthPrefix.length < 4) {
      throw new EOFException();
    }
    int length =
        (lengthPrefix[0] & 0xFF) << 24
            | (lengthPrefix[1] & 0xFF) << 16
            | (lengthPrefix[2] & 0xFF) << 8
            | lengthPrefix[3] & 0xFF;
    if (length <= 0 || length > MAX_VALUE_BYTES) {
      throw new BadMessage("a value of " + length + " bytes");
    }
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException();
    }
    return EncodedValue.of(bytes);
  }
}
