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

/** MessagePack bodies as plain maps, lists, text, numbers, booleans and null. */
public final class MessageCodec {
  /**
   * Deeper nesting than any message of the protocol has; guards the stack against hostile input.
   */
  private static final int MAX_DEPTH = 12;

  private MessageCodec() {}

  /** A value as MessagePack. */
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
      for (Map.Entry<?, ?> e : m.entrySet()) {
        packer.packString((String) e.getKey());
        write(packer, e.getValue());
      }
    } else if (value instanceof List<?> l) {
      packer.packArrayHeader(l.size());
      for (Object o : l) {
        write(packer, o);
      }
    } else {
      throw new IllegalArgumentException("cannot encode " + value.getClass());
    }
  }

  /** How long a value is as JSON: the form in which the protocol counts its limits. */
  public static int jsonSize(Object value) {
    if (value instanceof String s) {
      int n = 2;
      for (int i = 0; i < s.length(); i++) {
        char c = s.charAt(i);
        // Escapes and what is not ASCII, counted at their longest.
        n += c < ' ' || c > '~' || c == '"' || c == '\\' ? 6 : 1;
      }
      return n;
    }
    if (value instanceof Map<?, ?> m) {
      int n = 2;
      for (Map.Entry<?, ?> e : m.entrySet()) {
        n += jsonSize(e.getKey()) + 2 + jsonSize(e.getValue());
      }
      return n;
    }
    if (value instanceof List<?> l) {
      int n = 2;
      for (Object o : l) {
        n += 1 + jsonSize(o);
      }
      return n;
    }
    return String.valueOf(value).length();
  }

  /** The value that a whole MessagePack body holds. */
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

  private static Object read(MessageUnpacker in, int depth, int size)
      throws IOException, BadMessage {
    if (depth > MAX_DEPTH) {
      throw new BadMessage("nested too deeply");
    }
    MessageFormat format = in.getNextFormat();
    switch (format.getValueType()) {
      case NIL -> {
        in.unpackNil();
        return null;
      }
      case BOOLEAN -> {
        return in.unpackBoolean();
      }
      case INTEGER -> {
        if (format == MessageFormat.UINT64) {
          return in.unpackBigInteger().longValueExact();
        }
        return in.unpackLong();
      }
      case FLOAT -> {
        return in.unpackDouble();
      }
      case STRING -> {
        return in.unpackString();
      }
      case ARRAY -> {
        int n = in.unpackArrayHeader();
        if (n > size) {
          throw new BadMessage("list longer than its message");
        }
        List<Object> list = new ArrayList<>(Math.min(n, 1024));
        for (int i = 0; i < n; i++) {
          list.add(read(in, depth + 1, size));
        }
        return list;
      }
      case MAP -> {
        int n = in.unpackMapHeader();
        if (n > size) {
          throw new BadMessage("map longer than its message");
        }
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < n; i++) {
          Object key = read(in, depth + 1, size);
          if (!(key instanceof String s)) {
            throw new BadMessage("a map's key is not text");
          }
          map.put(s, read(in, depth + 1, size));
        }
        return map;
      }
      default -> throw new BadMessage("binary data");
    }
  }
}
