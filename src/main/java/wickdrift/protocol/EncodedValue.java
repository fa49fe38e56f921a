package wickdrift.protocol;

import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageFormat;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * A MessagePack value in its encoded form, which is known to be complete. It is decoded only where
 * it is read, so a value that nobody reads may hold anything that MessagePack can express, and goes
 * back byte for byte where it is stored again.
 */
public final class EncodedValue {
  /** Lists and maps inside this many others are not decoded by {@link #decode}. */
  private static final int MAX_DECODED_DEPTH = 12;

  private final byte[] bytes;
  private final int start;
  private final int end;

  private EncodedValue(byte[] bytes, int start, int end) {
    this.bytes = bytes;
    this.start = start;
    this.end = end;
  }

  /**
   * Wraps a body that holds exactly one value. The array must not be changed afterwards.
   *
   * @throws BadMessage if the body is not MessagePack, ends early, or has bytes behind the value
   */
  public static EncodedValue of(byte[] body) throws BadMessage {
    int end = 0;
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
      try {
        skip(unpacker);
      } finally {
        end = (int) unpacker.getTotalReadBytes();
      }
    } catch (MessageInsufficientBufferException e) {
      throw new BadMessage("the message ends early", end);
    } catch (IOException | MessagePackException e) {
      throw new BadMessage("not MessagePack", end);
    }
    if (end != body.length) {
      throw new BadMessage("bytes after the end of the message", end);
    }
    return new EncodedValue(body, 0, end);
  }

  /** Skips one value with all that it contains. Nesting takes no stack. */
  private static void skip(MessageUnpacker unpacker) throws IOException {
    long remaining = 1;
    while (remaining > 0) {
      remaining--;
      switch (unpacker.getNextFormat().getValueType()) {
        case ARRAY -> remaining += unpacker.unpackArrayHeader();
        case MAP -> remaining += 2L * unpacker.unpackMapHeader();
        default -> unpacker.skipValue();
      }
    }
  }

  private MessageUnpacker unpacker() {
    return MessagePack.newDefaultUnpacker(bytes, start, end - start);
  }

  private EncodedValue next(MessageUnpacker unpacker) throws IOException {
    int from = start + (int) unpacker.getTotalReadBytes();
    skip(unpacker);
    return new EncodedValue(bytes, from, start + (int) unpacker.getTotalReadBytes());
  }

  /** Returns the position of the value in the message that it was read from. */
  int offset() {
    return start;
  }

  /** Returns the number of bytes of the value. */
  public int length() {
    return end - start;
  }

  ValueType type() {
    return MessageFormat.valueOf(bytes[start]).getValueType();
  }

  /** Whether the value is a map. */
  public boolean isMap() {
    return type() == ValueType.MAP;
  }

  /** Whether the value is a list. */
  public boolean isList() {
    return type() == ValueType.ARRAY;
  }

  /** Returns a copy that does not keep the rest of its message in memory. */
  public EncodedValue detached() {
    return new EncodedValue(Arrays.copyOfRange(bytes, start, end), 0, end - start);
  }

  /**
   * Returns the fields of a map in their order, null for a field that is null. A field whose name
   * is not text is left out; of a name that occurs several times, the last field counts.
   *
   * @throws BadMessage if the value is not a map
   */
  Map<String, Object> fields() throws BadMessage {
    if (!isMap()) {
      throw new BadMessage("not a map", start);
    }
    try (MessageUnpacker unpacker = unpacker()) {
      int count = unpacker.unpackMapHeader();
      Map<String, Object> fields = new LinkedHashMap<>();
      for (int i = 0; i < count; i++) {
        String name = null;
        if (unpacker.getNextFormat().getValueType() == ValueType.STRING) {
          name = unpacker.unpackString();
        } else {
          skip(unpacker);
        }
        EncodedValue value = next(unpacker);
        if (name != null) {
          fields.put(name, value.type() == ValueType.NIL ? null : value);
        }
      }
      return fields;
    } catch (IOException | MessagePackException e) {
      throw new BadMessage("not MessagePack", start);
    }
  }

  /**
   * Returns the elements of a list.
   *
   * @throws BadMessage if the value is not a list
   */
  public List<EncodedValue> elements() throws BadMessage {
    if (!isList()) {
      throw new BadMessage("not a list", start);
    }
    try (MessageUnpacker unpacker = unpacker()) {
      int count = unpacker.unpackArrayHeader();
      List<EncodedValue> elements = new ArrayList<>(count);
      for (int i = 0; i < count; i++) {
        elements.add(next(unpacker));
      }
      return elements;
    } catch (IOException | MessagePackException e) {
      throw new BadMessage("not MessagePack", start);
    }
  }

  /** Decodes a value that is no list and no map; one that is remains as it is. */
  Object decodeScalar() throws BadMessage {
    return isList() || isMap() ? this : decode();
  }

  /**
   * Decodes the value to maps, lists, texts, numbers, booleans and null. What these can't express
   * remains encoded: binary data, a map whose keys are not all text, and what is nested deeply.
   */
  public Object decode() throws BadMessage {
    try (MessageUnpacker unpacker = unpacker()) {
      return read(unpacker, 0);
    } catch (IOException | MessagePackException e) {
      throw new BadMessage("not MessagePack", start);
    }
  }

  private Object read(MessageUnpacker unpacker, int depth) throws IOException {
    switch (unpacker.getNextFormat().getValueType()) {
      case NIL -> {
        unpacker.unpackNil();
        return null;
      }
      case BOOLEAN -> {
        return unpacker.unpackBoolean();
      }
      case INTEGER -> {
        return readInteger(unpacker);
      }
      case FLOAT -> {
        return unpacker.unpackDouble();
      }
      case STRING -> {
        return unpacker.unpackString();
      }
      case ARRAY -> {
        return depth < MAX_DECODED_DEPTH ? readList(unpacker, depth) : next(unpacker).detached();
      }
      case MAP -> {
        return readMap(unpacker, depth);
      }
      default -> {
        return next(unpacker).detached();
      }
    }
  }

  private static Number readInteger(MessageUnpacker unpacker) throws IOException {
    if (unpacker.getNextFormat() != MessageFormat.UINT64) {
      return unpacker.unpackLong();
    }
    BigInteger number = unpacker.unpackBigInteger();
    return number.bitLength() < Long.SIZE ? (Number) number.longValue() : number;
  }

  private List<Object> readList(MessageUnpacker unpacker, int depth) throws IOException {
    int count = unpacker.unpackArrayHeader();
    List<Object> list = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      list.add(read(unpacker, depth + 1));
    }
    return list;
  }

  /** Reads a map, or leaves it encoded if it has a key that is not text. */
  private Object readMap(MessageUnpacker unpacker, int depth) throws IOException {
    int from = (int) unpacker.getTotalReadBytes();
    if (depth >= MAX_DECODED_DEPTH) {
      return next(unpacker).detached();
    }
    int count = unpacker.unpackMapHeader();
    Map<String, Object> map = new LinkedHashMap<>();
    boolean allText = true;
    for (int i = 0; i < count; i++) {
      allText &= unpacker.getNextFormat().getValueType() == ValueType.STRING;
      if (allText) {
        map.put(unpacker.unpackString(), read(unpacker, depth + 1));
      } else {
        skip(unpacker);
        skip(unpacker);
      }
    }
    int to = (int) unpacker.getTotalReadBytes();
    return allText ? map : new EncodedValue(bytes, start + from, start + to).detached();
  }

  /** Writes the value as it was received. */
  void writeTo(MessagePacker packer) throws IOException {
    packer.writePayload(bytes, start, end - start);
  }

  /** Returns the size of the value as JSON, see {@link JsonSize}. */
  int jsonSize(JsonSize.Text text) {
    int size = 0;
    try (MessageUnpacker unpacker = unpacker()) {
      while (unpacker.getTotalReadBytes() < end - start) {
        switch (unpacker.getNextFormat().getValueType()) {
          case ARRAY -> {
            int count = unpacker.unpackArrayHeader();
            size += JsonSize.BRACKETS + JsonSize.separators(count, 1, text);
          }
          case MAP -> {
            int count = unpacker.unpackMapHeader();
            size += JsonSize.BRACKETS + JsonSize.separators(count, 2, text);
          }
          case STRING -> size += JsonSize.ofText(unpacker.unpackString(), text);
          case NIL, BOOLEAN, INTEGER, FLOAT -> size += JsonSize.ofScalar(read(unpacker, 0), text);
          default -> size += next(unpacker).length();
        }
      }
      return size;
    } catch (IOException | MessagePackException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof EncodedValue value
        && Arrays.equals(bytes, start, end, value.bytes, value.start, value.end);
  }

  @Override
  public int hashCode() {
    int hash = 1;
    for (int i = start; i < end; i++) {
      hash = 31 * hash + bytes[i];
    }
    return hash;
  }

  /** Returns the size only: the content comes from outside and may be large. */
  @Override
  public String toString() {
    return "encoded value of " + length() + " bytes";
  }
}
