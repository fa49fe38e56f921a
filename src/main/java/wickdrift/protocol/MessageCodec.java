package wickdrift.protocol;

import java.io.IOException;
import java.math.BigInteger;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

/**
 * Encodes and decodes MessagePack bodies, represented as maps, lists, strings, numbers, booleans
 * and null. Whatever else MessagePack can express is kept as an {@link EncodedValue}.
 */
public final class MessageCodec {
  private MessageCodec() {}

  /** Encodes a value as MessagePack. */
  public static byte[] encode(Object value) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      write(packer, value);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void write(MessagePacker packer, Object value) throws IOException {
    if (value == null) {
      packer.packNil();
    } else if (value instanceof String s) {
      packer.packString(s);
    } else if (value instanceof Integer i) {
      packer.packInt(i);
    } else if (value instanceof Long l) {
      packer.packLong(l);
    } else if (value instanceof BigInteger unsigned) {
      packer.packBigInteger(unsigned);
    } else if (value instanceof Double d) {
      packer.packDouble(d);
    } else if (value instanceof Boolean b) {
      packer.packBoolean(b);
    } else if (value instanceof EncodedValue encoded) {
      encoded.writeTo(packer);
    } else if (value instanceof Map<?, ?> m) {
      packer.packMapHeader(m.size());
      for (Map.Entry<?, ?> entry : m.entrySet()) {
        packer.packString((String) entry.getKey());
        write(packer, entry.getValue());
      }
    } else if (value instanceof List<?> l) {
      packer.packArrayHeader(l.size());
      for (Object element : l) {
        write(packer, element);
      }
    } else {
      throw new IllegalArgumentException(
          "value cannot be encoded as MessagePack: " + value.getClass());
    }
  }

  /**
   * Returns the size of a value as JSON, the encoding in which the protocol defines its size
   * limits. Where JSON has several spellings, it is the size of the longest.
   */
  public static int jsonSize(Object value) {
    return JsonSize.upperBound(value);
  }

  /**
   * Decodes a body that holds exactly one value.
   *
   * @throws BadMessage if the body is not valid MessagePack
   */
  public static Object decode(byte[] body) throws BadMessage {
    return EncodedValue.of(body).decode();
  }
}
