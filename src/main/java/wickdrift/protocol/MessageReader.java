package wickdrift.protocol;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;

/**
 * Reads MessagePack values one after the other. It allocates nothing but what it returns, since
 * every field of every message passes through it.
 */
final class MessageReader {
  /** The kinds of values. */
  enum Kind {
    NIL,
    BOOLEAN,
    INTEGER,
    DECIMAL,
    TEXT,
    LIST,
    MAP,
    /** Binary data and extensions, which the protocol does not use. */
    OTHER
  }

  private static final int NIL = 0xc0;
  private static final int NEVER_USED = 0xc1;
  private static final int FALSE = 0xc2;
  private static final int TRUE = 0xc3;
  private static final int BINARY_8 = 0xc4;
  private static final int EXTENSION_8 = 0xc7;
  private static final int DECIMAL_32 = 0xca;
  private static final int DECIMAL_64 = 0xcb;
  private static final int UNSIGNED_8 = 0xcc;
  private static final int UNSIGNED_64 = 0xcf;
  private static final int SIGNED_8 = 0xd0;
  private static final int SIGNED_64 = 0xd3;
  private static final int FIXED_EXTENSION_1 = 0xd4;
  private static final int TEXT_8 = 0xd9;
  private static final int LIST_16 = 0xdc;
  private static final int MAP_16 = 0xde;
  private static final int NEGATIVE_FIXED = 0xe0;

  private final byte[] bytes;
  private final int end;
  private int position;

  MessageReader(byte[] bytes, int start, int end) {
    this.bytes = bytes;
    this.position = start;
    this.end = end;
  }

  int position() {
    return position;
  }

  boolean hasNext() {
    return position < end;
  }

  /** Returns the kind of the value that begins with a byte. */
  static Kind kindOf(byte first) {
    int format = first & 0xff;
    if (format < 0x80 || format >= NEGATIVE_FIXED) {
      return Kind.INTEGER;
    }
    if (format < NIL) {
      return format < 0x90 ? Kind.MAP : format < 0xa0 ? Kind.LIST : Kind.TEXT;
    }
    return switch (format) {
      case NIL -> Kind.NIL;
      case FALSE, TRUE -> Kind.BOOLEAN;
      case DECIMAL_32, DECIMAL_64 -> Kind.DECIMAL;
      case TEXT_8, TEXT_8 + 1, TEXT_8 + 2 -> Kind.TEXT;
      case LIST_16, LIST_16 + 1 -> Kind.LIST;
      case MAP_16, MAP_16 + 1 -> Kind.MAP;
      default ->
          format >= UNSIGNED_8 && format <= SIGNED_64 && format != NEVER_USED
              ? Kind.INTEGER
              : Kind.OTHER;
    };
  }

  /** Returns the kind of the next value. */
  Kind nextKind() throws BadMessage {
    require(1);
    return kindOf(bytes[position]);
  }

  private void require(long count) throws BadMessage {
    if (count > end - position) {
      throw new BadMessage("the message ends early", end);
    }
  }

  private int nextByte() throws BadMessage {
    require(1);
    return bytes[position++] & 0xff;
  }

  /** Reads an unsigned number of up to eight bytes. */
  private long nextNumber(int length) throws BadMessage {
    require(length);
    long number = 0;
    for (int i = 0; i < length; i++) {
      number = number << 8 | bytes[position++] & 0xff;
    }
    return number;
  }

  private void advance(long count) throws BadMessage {
    require(count);
    position += (int) count;
  }

  /** Skips one value with all that it contains. Nesting takes no stack. */
  void skip() throws BadMessage {
    long remaining = 1;
    while (remaining > 0) {
      remaining--;
      switch (nextKind()) {
        case LIST -> remaining += readListHeader();
        case MAP -> remaining += 2 * readMapHeader();
        default -> skipScalar();
      }
    }
  }

  private void skipScalar() throws BadMessage {
    int format = nextByte();
    if (format < 0x80 || format >= NEGATIVE_FIXED) {
      return;
    }
    if (format < NIL) {
      advance(format & 0x1f);
    } else if (format == NEVER_USED) {
      throw new BadMessage("not MessagePack", position - 1);
    } else if (format >= BINARY_8 && format < EXTENSION_8) {
      advance(nextNumber(1 << format - BINARY_8));
    } else if (format >= EXTENSION_8 && format < DECIMAL_32) {
      // An extension has a byte for its type before its content.
      advance(nextNumber(1 << format - EXTENSION_8) + 1);
    } else if (format == DECIMAL_32 || format == DECIMAL_64) {
      advance(format == DECIMAL_32 ? Float.BYTES : Double.BYTES);
    } else if (format >= UNSIGNED_8 && format <= UNSIGNED_64) {
      advance(1L << format - UNSIGNED_8);
    } else if (format >= SIGNED_8 && format <= SIGNED_64) {
      advance(1L << format - SIGNED_8);
    } else if (format >= FIXED_EXTENSION_1 && format < TEXT_8) {
      advance((1L << format - FIXED_EXTENSION_1) + 1);
    } else if (format >= TEXT_8 && format < LIST_16) {
      advance(nextNumber(1 << format - TEXT_8));
    }
  }

  /** Reads the header of a list, and returns the number of elements that follow. */
  long readListHeader() throws BadMessage {
    int format = nextByte();
    return format < NIL ? format & 0x0f : nextNumber(format == LIST_16 ? 2 : 4);
  }

  /** Reads the header of a map, and returns the number of keys that follow, each with a value. */
  long readMapHeader() throws BadMessage {
    int format = nextByte();
    return format < NIL ? format & 0x0f : nextNumber(format == MAP_16 ? 2 : 4);
  }

  /** Reads a text; bytes that are not UTF-8 become replacement characters. */
  String readText() throws BadMessage {
    int format = nextByte();
    long length = format < NIL ? format & 0x1f : nextNumber(1 << format - TEXT_8);
    require(length);
    String text = new String(bytes, position, (int) length, StandardCharsets.UTF_8);
    position += (int) length;
    return text;
  }

  /** Reads null, a boolean, a number or a text. */
  Object readScalar() throws BadMessage {
    return switch (nextKind()) {
      case NIL -> {
        position++;
        yield null;
      }
      case BOOLEAN -> nextByte() == TRUE;
      case INTEGER -> readInteger();
      case DECIMAL -> readDecimal();
      case TEXT -> readText();
      default -> throw new IllegalStateException("the next value is no scalar");
    };
  }

  private Number readInteger() throws BadMessage {
    int format = nextByte();
    if (format < 0x80 || format >= NEGATIVE_FIXED) {
      return (long) (byte) format;
    }
    if (format <= UNSIGNED_64) {
      long number = nextNumber(1 << format - UNSIGNED_8);
      return number >= 0 ? (Number) number : new BigInteger(Unsigned.toText(number));
    }
    int length = 1 << format - SIGNED_8;
    int shift = Long.SIZE - Byte.SIZE * length;
    return nextNumber(length) << shift >> shift;
  }

  private double readDecimal() throws BadMessage {
    return nextByte() == DECIMAL_32
        ? Float.intBitsToFloat((int) nextNumber(Float.BYTES))
        : Double.longBitsToDouble(nextNumber(Double.BYTES));
  }
}
