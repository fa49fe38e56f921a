package wickdrift.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes MessagePack bodies, represented as maps, lists, strings, numbers, booleans
 * and null.
 */
public final class MessageCodec {
  /**
   * No message of the protocol is nested as deeply as this. The limit protects the stack against
   * malicious input.
   */
  private static final int MAX_NESTING_DEPTH = 12;

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
    } else if (value instanceof Double d) {
      packer.packDouble(d);
    } else if (value instanceof Boolean b) {
      packer.packBoolean(b);
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
   * limits.
   */
  public static int jsonSize(Object value) {
    if (value instanceof String s) {
      int size = 2;
      for (int i = 0; i < s.length(); i++) {
        char c = s.charAt(i);
        // Each escaped or non-ASCII character is counted as the longest escape, 6 characters.
        size += c < ' ' || c > '~' || c == '"' || c == '\\' ? 6 : 1;
      }
      return size;
    }
    if (value instanceof Map<?, ?> m) {
      int size = 2;
      for (Map.Entry<?, ?> entry : m.entrySet()) {
        size += jsonSize(entry.getKey()) + 2 + jsonSize(entry.getValue());
      }
      return size;
    }
    if (value instanceof List<?> l) {
      int size = 2;
      for (Object element : l) {
        size += 1 + jsonSize(element);
      }
      return size;
    }
    return String.valueOf(value).length();
  }

  /**
   * Decodes a body that holds exactly one value.
   *
   * @throws BadMessage if the body is not valid MessagePack, or holds anything that the protocol
   *     does not use, such as binary data
   */
  public static Object decode(byte[] body) throws BadMessage {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
      Object value = read(unpacker, 0, body.length);
      if (unpacker.hasNext()) {
        throw new BadMessage("bytes after the end of the message");
      }
      return value;
    } catch (IOException | MessagePackException | ArithmeticException e) {
      throw new BadMessage("not MessagePack");
    }
  }

  private static Object read(MessageUnpacker unpacker, int depth, int messageBytes)
      throws IOException, BadMessage {
    if (depth > MAX_NESTING_DEPTH) {
      throw new BadMessage("nested too deeply");
    }
    MessageFormat format = unpacker.getNextFormat();
    switch (format.getValueType()) {
      case NIL -> {
        unpacker.unpackNil();
        return null;
      }
      case BOOLEAN -> {
        return unpacker.unpackBoolean();
      }
      case INTEGER -> {
        if (format == MessageFormat.UINT64) {
          return unpacker.unpackBigInteger().longValueExact();
        }
        return unpacker.unpackLong();
      }
      case FLOAT -> {
        return unpacker.unpackDouble();
      }
      case STRING -> {
        return unpacker.unpackString();
      }
      case ARRAY -> {
        int n = unpacker.unpackArrayHeader();
        if (n > messageBytes) {
          throw new BadMessage("list longer than its message");
        }
        List<Object> list = new ArrayList<>(Math.min(n, 1024));
        for (int i = 0; i < n; i++) {
          list.add(read(unpacker, depth + 1, messageBytes));
        }
        return list;
      }
      case MAP -> {
        int n = unpacker.unpackMapHeader();
        if (n > messageBytes) {
          throw new BadMessage("map longer than its message");
        }
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < n; i++) {
          Object key = read(unpacker, depth + 1, messageBytes);
          if (!(key instanceof String s)) {
            throw new BadMessage("a map's key is not text");
          }
          map.put(s, read(unpacker, depth + 1, messageBytes));
        }
        return map;
      }
      default -> throw new BadMessage("binary data");
    }
  }
}
