package wickdrift.sim;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/**
 * Rewrites messages in other ways that the protocol allows: fields in another order, fields that
 * the receiver does not know, longer spellings of numbers, texts, lists and maps, amounts as
 * integers, and null fields left out. The meaning stays the same.
 */
public final class MessageVariation {
  private static final String UNKNOWN_FIELD_PREFIX = "x_";
  private static final int MAX_UNKNOWN_FIELDS = 3;
  private static final int MAX_UNKNOWN_DEPTH = 2000;

  /** What is added must not take a message beyond the limit of 64 KiB. */
  private static final int MAX_VARIED_BYTES = 16 * 1024;

  /** Fields that hold stored values, whose content belongs to the service. */
  private static final Set<String> STORED_FIELDS = Set.of("v");

  /** The paths of requests that controllers receive. */
  private static final List<String> CONTROLLER_PATHS = List.of("/hello", "/api/", "/up");

  private final Random random;
  private final double share;

  /**
   * Creates a variation.
   *
   * @param share the share of the messages that is rewritten
   */
  public MessageVariation(long seed, double share) {
    this.random = new Random(seed);
    this.share = share;
  }

  /** Returns whether controllers receive the requests to a path. */
  private static boolean isReceivedByControllers(String path) {
    return CONTROLLER_PATHS.stream().anyMatch(path::startsWith);
  }

  /** Returns the body of a request, rewritten if it is one that controllers receive. */
  byte[] ofRequest(String path, byte[] body) {
    return isReceivedByControllers(path) ? vary(body) : body;
  }

  /** Returns the body of an answer, rewritten if it is one that controllers receive. */
  byte[] ofAnswer(String path, byte[] body) {
    return isReceivedByControllers(path) ? body : vary(body);
  }

  /** Rewrites a message; a body that is large or no map is returned as it is. */
  public byte[] vary(byte[] body) {
    if (body == null
        || body.length == 0
        || body.length > MAX_VARIED_BYTES
        || random.nextDouble() >= share) {
      return body;
    }
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body);
        MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      if (!unpacker.getNextFormat().getValueType().isMapType()) {
        return body;
      }
      Value message = unpacker.unpackValue();
      write(out, message, false);
      return out.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void write(MessagePacker out, Value value, boolean stored) throws IOException {
    if (value.isMapValue()) {
      writeMap(out, value, stored);
    } else if (value.isArrayValue()) {
      ArrayValue list = value.asArrayValue();
      if (random.nextBoolean()) {
        writeHeader(out, 0xdd, Integer.BYTES, list.size());
      } else {
        out.packArrayHeader(list.size());
      }
      for (Value element : list) {
        write(out, element, stored);
      }
    } else if (value.isStringValue() && random.nextInt(4) == 0) {
      byte[] text = value.asStringValue().asByteArray();
      writeHeader(out, 0xdb, Integer.BYTES, text.length);
      out.writePayload(text);
    } else if (value.isIntegerValue()
        && value.asIntegerValue().isInLongRange()
        && value.asIntegerValue().asLong() >= 0
        && random.nextInt(4) == 0) {
      writeHeader(out, 0xcf, Long.BYTES, value.asIntegerValue().asLong());
    } else if (value.isFloatValue() && !stored && isSmallInteger(value.asFloatValue().toDouble())) {
      long number = (long) value.asFloatValue().toDouble();
      boolean asInteger = random.nextInt(4) == 0;
      Value spelling = asInteger ? ValueFactory.newInteger(number) : value;
      out.packValue(spelling);
    } else {
      out.packValue(value);
    }
  }

  private static boolean isSmallInteger(double number) {
    return number == Math.rint(number) && number >= 0 && number < 1e9;
  }

  private void writeMap(MessagePacker out, Value value, boolean stored) throws IOException {
    List<Map.Entry<Value, Value>> entries = new ArrayList<>(value.asMapValue().entrySet());
    if (!stored) {
      entries.removeIf(entry -> entry.getValue().isNilValue() && random.nextBoolean());
    }
    Collections.shuffle(entries, random);
    int unknownCount = stored ? 0 : random.nextInt(MAX_UNKNOWN_FIELDS + 1);
    int size = entries.size() + unknownCount;
    if (random.nextInt(4) == 0) {
      writeHeader(out, 0xdf, Integer.BYTES, size);
    } else {
      out.packMapHeader(size);
    }
    int unknownBefore = unknownCount == 0 ? 0 : random.nextInt(unknownCount + 1);
    writeUnknownFields(out, 0, unknownBefore);
    for (Map.Entry<Value, Value> entry : entries) {
      write(out, entry.getKey(), stored);
      boolean isStored = stored || STORED_FIELDS.contains(entry.getKey().toString());
      write(out, entry.getValue(), isStored);
    }
    writeUnknownFields(out, unknownBefore, unknownCount);
  }

  private void writeUnknownFields(MessagePacker out, int from, int to) throws IOException {
    for (int i = from; i < to; i++) {
      String name = UNKNOWN_FIELD_PREFIX + i;
      out.packString(name);
      out.writePayload(unknownValue(random));
    }
  }

  /** Returns the encoded value of a field that no receiver knows. */
  static byte[] unknownValue(Random random) throws IOException {
    return switch (random.nextInt(14)) {
      case 0 -> numberWithHeader(0xcf, -1L);
      case 1 -> numberWithHeader(0xcf, Long.MIN_VALUE);
      case 2 -> numberWithHeader(0xcf, random.nextLong());
      case 3 -> numberWithHeader(0xd3, Long.MIN_VALUE);
      case 4 -> numberWithHeader(0xcb, Double.doubleToRawLongBits(Double.NaN));
      case 5 -> nestedLists(1 + random.nextInt(MAX_UNKNOWN_DEPTH));
      case 6 -> nestedLists(13);
      case 7 -> encode(packer -> packer.packString("größe 日本語 ✓"));
      // A text that is not UTF-8.
      case 8 -> new byte[] {(byte) 0xa2, (byte) 0xc3, 0x28};
      case 9 -> encode(packer -> packer.packBinaryHeader(2).addPayload(new byte[] {7, 7}));
      case 10 -> encode(packer -> packer.packTimestamp(1_000_000L, 7));
      // A map whose key is a number.
      case 11 -> new byte[] {(byte) 0x81, 0x01, (byte) 0xc0};
      case 12 -> encode(packer -> packer.packString("lorem ipsum ".repeat(20)));
      default -> new byte[] {(byte) 0xc0};
    };
  }

  private static byte[] numberWithHeader(int format, long bits) {
    return ByteBuffer.allocate(1 + Long.BYTES).put((byte) format).putLong(bits).array();
  }

  /** Returns an empty list inside other lists. */
  static byte[] nestedLists(int depth) {
    byte[] lists = new byte[depth];
    Arrays.fill(lists, (byte) 0x91);
    lists[depth - 1] = (byte) 0x90;
    return lists;
  }

  private interface Packing {
    void writeTo(MessagePacker packer) throws IOException;
  }

  private static byte[] encode(Packing packing) throws IOException {
    try (var packer = MessagePack.newDefaultBufferPacker()) {
      packing.writeTo(packer);
      return packer.toByteArray();
    }
  }

  private static void writeHeader(MessagePacker out, int format, int bytes, long number)
      throws IOException {
    byte[] header = new byte[1 + bytes];
    header[0] = (byte) format;
    for (int i = 1; i <= bytes; i++) {
      header[i] = (byte) (number >>> 8 * (bytes - i));
    }
    out.writePayload(header);
  }
}
