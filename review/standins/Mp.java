import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for maps, lists, text, numbers, booleans and null. */
final class Mp {
  private Mp() {}

  static byte[] encode(Object value) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    write(out, value);
    return out.toByteArray();
  }

  private static void bytes(ByteArrayOutputStream out, int head, long value, int count) {
    out.write(head);
    for (int i = count - 1; i >= 0; i--) {
      out.write((int) (value >>> (8 * i)));
    }
  }

  private static void write(ByteArrayOutputStream out, Object value) {
    if (value == null) {
      out.write(0xc0);
    } else if (value instanceof Boolean b) {
      out.write(b ? 0xc3 : 0xc2);
    } else if (value instanceof Integer i) {
      writeLong(out, i);
    } else if (value instanceof Long l) {
      writeLong(out, l);
    } else if (value instanceof Double d) {
      bytes(out, 0xcb, Double.doubleToLongBits(d), 8);
    } else if (value instanceof String s) {
      byte[] text = s.getBytes(StandardCharsets.UTF_8);
      if (text.length < 32) {
        out.write(0xa0 | text.length);
      } else if (text.length < 256) {
        bytes(out, 0xd9, text.length, 1);
      } else {
        bytes(out, 0xda, text.length, 2);
      }
      out.writeBytes(text);
    } else if (value instanceof List<?> list) {
      if (list.size() < 16) {
        out.write(0x90 | list.size());
      } else if (list.size() < 65536) {
        bytes(out, 0xdc, list.size(), 2);
      } else {
        bytes(out, 0xdd, list.size(), 4);
      }
      list.forEach(element -> write(out, element));
    } else if (value instanceof Map<?, ?> map) {
      if (map.size() < 16) {
        out.write(0x80 | map.size());
      } else {
        bytes(out, 0xde, map.size(), 2);
      }
      map.forEach(
          (k, v) -> {
            write(out, k);
            write(out, v);
          });
    } else {
      throw new IllegalArgumentException("no MessagePack for " + value.getClass());
    }
  }

  private static void writeLong(ByteArrayOutputStream out, long v) {
    if (v >= 0 && v < 128) {
      out.write((int) v);
    } else if (v >= 0 && v < 256) {
      bytes(out, 0xcc, v, 1);
    } else if (v >= 0 && v < 65536) {
      bytes(out, 0xcd, v, 2);
    } else if (v >= 0 && v < 1L << 32) {
      bytes(out, 0xce, v, 4);
    } else {
      bytes(out, 0xd3, v, 8);
    }
  }

  static Object decode(byte[] body) {
    return read(ByteBuffer.wrap(body));
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(byte[] body) {
    return body.length == 0 ? Map.of() : (Map<String, Object>) decode(body);
  }

  private static Object read(ByteBuffer in) {
    int head = in.get() & 0xff;
    if (head < 0x80) {
      return (long) head;
    } else if (head < 0x90) {
      return readMap(in, head & 0x0f);
    } else if (head < 0xa0) {
      return readList(in, head & 0x0f);
    } else if (head < 0xc0) {
      return readText(in, head & 0x1f);
    } else if (head >= 0xe0) {
      return (long) (byte) head;
    }
    return switch (head) {
      case 0xc0 -> null;
      case 0xc2 -> false;
      case 0xc3 -> true;
      case 0xca -> (double) in.getFloat();
      case 0xcb -> in.getDouble();
      case 0xcc -> (long) (in.get() & 0xff);
      case 0xcd -> (long) (in.getShort() & 0xffff);
      case 0xce -> in.getInt() & 0xffffffffL;
      case 0xcf, 0xd3 -> in.getLong();
      case 0xd0 -> (long) in.get();
      case 0xd1 -> (long) in.getShort();
      case 0xd2 -> (long) in.getInt();
      case 0xd9 -> readText(in, in.get() & 0xff);
      case 0xda -> readText(in, in.getShort() & 0xffff);
      case 0xdb -> readText(in, in.getInt());
      case 0xdc -> readList(in, in.getShort() & 0xffff);
      case 0xdd -> readList(in, in.getInt());
      case 0xde -> readMap(in, in.getShort() & 0xffff);
      case 0xdf -> readMap(in, in.getInt());
      default -> throw new IllegalArgumentException("unknown MessagePack format " + head);
    };
  }

  private static String readText(ByteBuffer in, int length) {
    byte[] text = new byte[length];
    in.get(text);
    return new String(text, StandardCharsets.UTF_8);
  }

  private static List<Object> readList(ByteBuffer in, int size) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(read(in));
    }
    return list;
  }

  private static Map<String, Object> readMap(ByteBuffer in, int size) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < size; i++) {
      String key = (String) read(in);
      map.put(key, read(in));
    }
    return map;
  }

  /** The size of a value as compact JSON, in which the protocol measures its limits. */
  static int jsonSize(Object value) {
    if (value instanceof String s) {
      return s.getBytes(StandardCharsets.UTF_8).length + 2;
    }
    if (value instanceof Map<?, ?> map) {
      int size = map.isEmpty() ? 2 : 1;
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        size += jsonSize(entry.getKey()) + 1 + jsonSize(entry.getValue()) + 1;
      }
      return size;
    }
    if (value instanceof List<?> list) {
      int size = list.isEmpty() ? 2 : 1;
      for (Object element : list) {
        size += jsonSize(element) + 1;
      }
      return size;
    }
    return String.valueOf(value).length();
  }
}
