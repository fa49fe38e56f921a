package wickdrift.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Typed, validating access to the fields of one map. Each accessor throws {@link BadMessage}, with
 * the name of the field, for a value of the wrong type or out of range. A field is decoded and
 * checked only by its accessor, so a field that nobody reads refuses no message.
 */
public final class Document {
  private static final double MAX_AMOUNT = 1e15;

  /** The values are decoded, or each an {@link EncodedValue}. */
  private final Map<?, ?> fields;

  private Document(Map<?, ?> fields) {
    this.fields = fields;
  }

  /** Wraps a decoded or encoded value, which must be a map. */
  public static Document of(Object value) throws BadMessage {
    if (value instanceof Map<?, ?> m) {
      return new Document(m);
    }
    if (value instanceof EncodedValue encoded) {
      return new Document(encoded.fields());
    }
    throw new BadMessage("not a map");
  }

  /** Reads a MessagePack body, which must hold a map. */
  public static Document parse(byte[] body) throws BadMessage {
    return of(EncodedValue.of(body));
  }

  /** Whether a field is present and not null. */
  public boolean has(String key) {
    return fields.get(key) != null;
  }

  /** Returns a field as it was received: encoded if the map was; null if it is absent or null. */
  public Object value(String key) {
    return fields.get(key);
  }

  /** Returns the decoded value of a field, or null if it is absent or null. */
  public Object raw(String key) throws BadMessage {
    Object value = fields.get(key);
    return value instanceof EncodedValue encoded ? encoded.decode() : value;
  }

  /** Returns the value of a field; a list or map that is encoded remains so. */
  private Object scalar(String key) throws BadMessage {
    Object value = fields.get(key);
    return value instanceof EncodedValue encoded ? encoded.decodeScalar() : value;
  }

  private BadMessage invalid(String key, String reason) {
    int offset =
        fields.get(key) instanceof EncodedValue encoded ? encoded.offset() : BadMessage.NO_OFFSET;
    return new BadMessage(key + " " + reason, offset);
  }

  /**
   * Returns all fields except the given ones, as they were received. The result holds the fields
   * that a newer build added to a stored record; they are kept when this build rewrites the record.
   */
  public Map<String, Object> fieldsExcept(String... excludedKeys) {
    List<String> excluded = List.of(excludedKeys);
    Map<String, Object> remaining = null;
    for (Map.Entry<?, ?> entry : fields.entrySet()) {
      if (!excluded.contains(entry.getKey())) {
        remaining = remaining == null ? new LinkedHashMap<>() : remaining;
        Object value = entry.getValue();
        remaining.put(
            (String) entry.getKey(),
            value instanceof EncodedValue encoded ? encoded.detached() : value);
      }
    }
    return remaining == null ? Map.of() : remaining;
  }

  /** Returns the fields in the form in which {@link MessageCodec} encodes them. */
  public Map<?, ?> rawMap() {
    return fields;
  }

  /** Returns a required text field. */
  public String text(String key) throws BadMessage {
    String s = textOrNull(key);
    if (s == null) {
      throw invalid(key, "is missing");
    }
    return s;
  }

  /** Returns a text field, or null if it is absent or null. */
  public String textOrNull(String key) throws BadMessage {
    Object v = scalar(key);
    if (v == null) {
      return null;
    }
    if (v instanceof String s) {
      return s;
    }
    throw invalid(key, "is not text");
  }

  /**
   * Returns a required integer field of the service's own records, from 0 to 2^63 - 1. Counts of
   * the protocol are read by {@link #unsigned(String)}.
   */
  public long count(String key) throws BadMessage {
    long number = unsigned(key);
    if (number < 0) {
      throw invalid(key, "is out of range");
    }
    return number;
  }

  /** Returns an integer field from 0 to 2^63 - 1, or the default if it is absent or null. */
  public long count(String key, long defaultValue) throws BadMessage {
    return has(key) ? count(key) : defaultValue;
  }

  /** Returns a required integer field from 0 to 2^64 - 1; see {@link Unsigned}. */
  public long unsigned(String key) throws BadMessage {
    Object v = scalar(key);
    if (v == null) {
      throw invalid(key, "is missing");
    }
    if (!Unsigned.isInRange(v)) {
      throw invalid(key, "is not a count");
    }
    return Unsigned.fromWire(v);
  }

  /** Returns an integer field from 0 to 2^64 - 1, or the default if it is absent or null. */
  public long unsigned(String key, long defaultValue) throws BadMessage {
    return has(key) ? unsigned(key) : defaultValue;
  }

  /** Returns a required number field, integer or decimal, in the range 0 to 1e15. */
  public double amount(String key) throws BadMessage {
    Double d = amountOrNull(key);
    if (d == null) {
      throw invalid(key, "is missing");
    }
    return d;
  }

  /**
   * Returns a number field in the range 0 to 1e15, or the default value if it is absent or null.
   */
  public double amount(String key, double defaultValue) throws BadMessage {
    Double d = amountOrNull(key);
    return d == null ? defaultValue : d;
  }

  /** Returns a number field in the range 0 to 1e15, or null if it is absent or null. */
  public Double amountOrNull(String key) throws BadMessage {
    Object v = scalar(key);
    if (v == null) {
      return null;
    }
    if (v instanceof Number n) {
      double d = n.doubleValue();
      if (d >= 0 && d <= MAX_AMOUNT) {
        return d;
      }
    }
    throw invalid(key, "is not an amount");
  }

  /** Returns a required boolean field. */
  public boolean flag(String key) throws BadMessage {
    Object v = scalar(key);
    if (v instanceof Boolean b) {
      return b;
    }
    throw invalid(key, v == null ? "is missing" : "is not true or false");
  }

  /** Returns a boolean field, or the default value if it is absent or null. */
  public boolean flag(String key, boolean defaultValue) throws BadMessage {
    return has(key) ? flag(key) : defaultValue;
  }

  /** Returns a list field with its decoded elements; an empty list if it is absent or null. */
  public List<?> list(String key) throws BadMessage {
    Object v = fields.get(key);
    if (v == null) {
      return List.of();
    }
    if (v instanceof EncodedValue encoded && encoded.isList()) {
      return (List<?>) encoded.decode();
    }
    if (v instanceof List<?> l) {
      return l;
    }
    throw invalid(key, "is not a list");
  }

  /** Returns the elements of a list field, encoded if the map was. */
  private List<?> elements(String key) throws BadMessage {
    return fields.get(key) instanceof EncodedValue encoded && encoded.isList()
        ? encoded.elements()
        : list(key);
  }

  /** Returns a field that holds a list of maps; an empty list if it is absent or null. */
  public List<Document> documents(String key) throws BadMessage {
    List<Document> documents = new ArrayList<>();
    for (Object element : elements(key)) {
      documents.add(of(element));
    }
    return documents;
  }

  /** Returns a field that holds a list of texts; an empty list if it is absent or null. */
  public List<String> texts(String key) throws BadMessage {
    List<String> texts = new ArrayList<>();
    for (Object element : elements(key)) {
      Object decoded = element instanceof EncodedValue encoded ? encoded.decodeScalar() : element;
      if (!(decoded instanceof String s)) {
        throw invalid(key, "holds something that is not text");
      }
      texts.add(s);
    }
    return texts;
  }
}
