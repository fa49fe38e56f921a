package wickdrift.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import wickdrift.protocol.MessageReader.Kind;

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
    MessageReader reader = new MessageReader(body, 0, body.length);
    reader.skip();
    if (reader.hasNext()) {
      throw new BadMessage("bytes after the end of the message", reader.position());
    }
    return new EncodedValue(body, 0, body.length);
  }

  private MessageReader reader() {
    return new MessageReader(bytes, start, end);
  }

  private EncodedValue next(MessageReader reader) throws BadMessage {
    int from = reader.position();
    reader.skip();
    return new EncodedValue(bytes, from, reader.position());
  }

  /** Returns the position of the value in the message that it was read from. */
  int offset() {
    return start;
  }

  /** Returns the number of bytes of the value. */
  public int length() {
    return end - start;
  }

  private Kind kind() {
    return MessageReader.kindOf(bytes[start]);
  }

  /** Whether the value is a map. */
  public boolean isMap() {
    return kind() == Kind.MAP;
  }

  /** Whether the value is a list. */
  public boolean isList() {
    return kind() == Kind.LIST;
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
    MessageReader reader = reader();
    long count = reader.readMapHeader();
    Map<String, Object> fields = new LinkedHashMap<>();
    for (long i = 0; i < count; i++) {
      String name = null;
      if (reader.nextKind() == Kind.TEXT) {
        name = reader.readText();
      } else {
        reader.skip();
      }
      EncodedValue value = next(reader);
      if (name != null) {
        fields.put(name, value.kind() == Kind.NIL ? null : value);
      }
    }
    return fields;
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
    MessageReader reader = reader();
    long count = reader.readListHeader();
    List<EncodedValue> elements = new ArrayList<>((int) count);
    for (long i = 0; i < count; i++) {
      elements.add(next(reader));
    }
    return elements;
  }

  /** Decodes a value that is no list and no map; one that is remains as it is. */
  Object decodeScalar() throws BadMessage {
    return switch (kind()) {
      case LIST, MAP, OTHER -> this;
      default -> reader().readScalar();
    };
  }

  /**
   * Decodes the value to maps, lists, texts, numbers, booleans and null. What these can't express
   * remains encoded: binary data, a map whose keys are not all text, and what is nested deeply.
   */
  public Object decode() throws BadMessage {
    return read(reader(), 0);
  }

  private Object read(MessageReader reader, int depth) throws BadMessage {
    Kind kind = reader.nextKind();
    boolean isContainer = kind == Kind.LIST || kind == Kind.MAP;
    if (kind == Kind.OTHER || isContainer && depth >= MAX_DECODED_DEPTH) {
      return next(reader).detached();
    }
    if (kind == Kind.LIST) {
      return readList(reader, depth);
    }
    return kind == Kind.MAP ? readMap(reader, depth) : reader.readScalar();
  }

  private List<Object> readList(MessageReader reader, int depth) throws BadMessage {
    long count = reader.readListHeader();
    List<Object> list = new ArrayList<>((int) count);
    for (long i = 0; i < count; i++) {
      list.add(read(reader, depth + 1));
    }
    return list;
  }

  /** Reads a map, or leaves it encoded if it has a key that is not text. */
  private Object readMap(MessageReader reader, int depth) throws BadMessage {
    int from = reader.position();
    long count = reader.readMapHeader();
    Map<String, Object> map = new LinkedHashMap<>();
    boolean allText = true;
    for (long i = 0; i < count; i++) {
      allText &= reader.nextKind() == Kind.TEXT;
      if (allText) {
        map.put(reader.readText(), read(reader, depth + 1));
      } else {
        reader.skip();
        reader.skip();
      }
    }
    return allText ? map : new EncodedValue(bytes, from, reader.position()).detached();
  }

  /** Writes the value as it was received. */
  void writeTo(MessagePacker packer) throws IOException {
    packer.writePayload(bytes, start, end - start);
  }

  /** Returns the size of the value as JSON, see {@link JsonSize}. */
  int jsonSize(JsonSize.Text text) {
    int size = 0;
    try {
      MessageReader reader = reader();
      while (reader.hasNext()) {
        size +=
            switch (reader.nextKind()) {
              case LIST ->
                  JsonSize.BRACKETS + JsonSize.separators((int) reader.readListHeader(), 1, text);
              case MAP ->
                  JsonSize.BRACKETS + JsonSize.separators((int) reader.readMapHeader(), 2, text);
              case TEXT -> JsonSize.ofText(reader.readText(), text);
              case OTHER -> next(reader).length();
              default -> JsonSize.ofScalar(reader.readScalar(), text);
            };
      }
      return size;
    } catch (BadMessage incomplete) {
      throw new IllegalStateException(incomplete);
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
