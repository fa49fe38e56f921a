package wickdrift.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Typed, validating access to the fields of one decoded map. Each accessor throws {@link
 * BadMessage}, with the name of the field, for a value of the wrong type or out of range.
 */
public final class Document {
  private final Map<?, ?> map;

  private Document(Map<?, ?> map) {
    this.map = map;
  }

  /** Wraps a decoded value, which must be a map. */
  public static Document of(Object value) throws BadMessage {
    if (value instanceof Map<?, ?> m) {
      return new Document(m);
    }
    throw new BadMessage("not a map");
  }

  /** Decodes a MessagePack body, which must hold a map. */
  public static Document parse(byte[] body) throws BadMessage {
    return of(MessageCodec.decode(body));
  }

  /** Returns the unchecked value of a field, or null if it is absent or null. */
  public Object raw(String key) {
    return map.get(key);
  }

  /**
   * Returns all fields except the given ones. The result holds the fields that a newer build added
   * to a stored record; they are kept when this build rewrites the record.
   */
  public Map<String, Object> fieldsExcept(String... excludedKeys) {
    List<String> excluded = List.of(excludedKeys);
    Map<String, Object> remaining = null;
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      if (!excluded.contains(entry.getKey())) {
        remaining = remaining == null ? new LinkedHashMap<>() : remaining;
        remaining.put((String) entry.getKey(), entry.getValue());
      }
    }
    return remaining == null ? Map.of() : remaining;
  }

  /** Returns the wrapped map. */
  public Object rawMap() {
    return map;
  }

  /** Returns a required text field. */
  public String text(String key) throws BadMessage {
    String s = textOrNull(key);
    if (s == null) {
      throw new BadMessage(key + " is missing");
    }
    return s;
  }

  /** Returns a text field, or null if it is absent or null. */
  public String textOrNull(String key) throws BadMessage {
    Object v = map.get(key);
    if (v == null) {
      return null;
    }
    if (v instanceof String s) {
      return s;
    }
    throw new BadMessage(key + " is not text");
  }

  /** Returns a required non-negative integer field. */
  public long count(String key) throws BadMessage {
    Object v = map.get(key);
    if (v == null) {
      throw new BadMessage(key + " is missing");
    }
    return asCount(key, v);
  }

  /** Returns a non-negative integer field, or the default value if it is absent or null. */
  public long count(String key, long defaultValue) throws BadMessage {
    Object v = map.get(key);
    return v == null ? defaultValue : asCount(key, v);
  }

  private static long asCount(String key, Object v) throws BadMessage {
    if (v instanceof Long l && l >= 0) {
      return l;
    }
    throw new BadMessage(key + " is not a count");
  }

  /** Returns a required number field, integer or decimal, in the range 0 to 1e15. */
  public double amount(String key) throws BadMessage {
    Double d = amountOrNull(key);
    if (d == null) {
      throw new BadMessage(key + " is missing");
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
    Object v = map.get(key);
    if (v == null) {
      return null;
    }
    if (v instanceof Number n) {
      double d = n.doubleValue();
      if (d >= 0 && d <= 1e15) {
        return d;
      }
    }
    throw new BadMessage(key + " is not an amount");
  }

  /** Returns a required boolean field. */
  public boolean flag(String key) throws BadMessage {
    Object v = map.get(key);
    if (v instanceof Boolean b) {
      return b;
    }
    throw new BadMessage(key + (v == null ? " is missing" : " is not true or false"));
  }

  /** Returns a boolean field, or the default value if it is absent or null. */
  public boolean flag(String key, boolean defaultValue) throws BadMessage {
    return map.get(key) == null ? defaultValue : flag(key);
  }

  /** Returns a list field; an empty list if it is absent or null. */
  public List<?> list(String key) throws BadMessage {
    Object v = map.get(key);
    if (v == null) {
      return List.of();
    }
    if (v instanceof List<?> l) {
      return l;
    }
    throw new BadMessage(key + " is not a list");
  }

  /** Returns a field that holds a list of maps; an empty list if it is absent or null. */
  public List<Document> documents(String key) throws BadMessage {
    List<Document> documents = new ArrayList<>();
    for (Object element : list(key)) {
      documents.add(of(element));
    }
    return documents;
  }

  /** Returns a field that holds a list of texts; an empty list if it is absent or null. */
  public List<String> texts(String key) throws BadMessage {
    List<String> texts = new ArrayList<>();
    for (Object element : list(key)) {
      if (!(element instanceof String s)) {
        throw new BadMessage(key + " holds something that is not text");
      }
      texts.add(s);
    }
    return texts;
  }
}
