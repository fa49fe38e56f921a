package wickdrift.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Typed, checked reading of one decoded map. */
public final class Document {
  private final Map<?, ?> map;

  private Document(Map<?, ?> map) {
    this.map = map;
  }

  public static Document of(Object value) throws BadMessage {
    if (value instanceof Map<?, ?> m) {
      return new Document(m);
    }
    throw new BadMessage("not a map");
  }

  public static Document parse(byte[] body) throws BadMessage {
    return of(MessageCodec.decode(body));
  }

  public Object raw(String key) {
    return map.get(key);
  }

  /** The fields besides those named: what a newer writer added, to survive a rewriting. */
  public Map<String, Object> without(String... excludedKeys) {
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

  public Object rawMap() {
    return map;
  }

  /** A text that must be there. */
  public String text(String key) throws BadMessage {
    String s = textOrNull(key);
    if (s == null) {
      throw new BadMessage(key + " is missing");
    }
    return s;
  }

  /** A text, or null if it is absent or null. */
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

  /** A whole number that must be there. */
  public long count(String key) throws BadMessage {
    Object v = map.get(key);
    if (v == null) {
      throw new BadMessage(key + " is missing");
    }
    return asCount(key, v);
  }

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

  /** A finite, non-negative amount. */
  public double amount(String key) throws BadMessage {
    Double d = amountOrNull(key);
    if (d == null) {
      throw new BadMessage(key + " is missing");
    }
    return d;
  }

  public double amount(String key, double defaultValue) throws BadMessage {
    Double d = amountOrNull(key);
    return d == null ? defaultValue : d;
  }

  /** A decimal number, or null if it is absent or null. */
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

  /** A boolean that must be there. */
  public boolean flag(String key) throws BadMessage {
    Object v = map.get(key);
    if (v instanceof Boolean b) {
      return b;
    }
    throw new BadMessage(key + (v == null ? " is missing" : " is not true or false"));
  }

  public boolean flag(String key, boolean defaultValue) throws BadMessage {
    return map.get(key) == null ? defaultValue : flag(key);
  }

  /** A list; an empty one if it is absent or null. */
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

  /** A list of maps; an empty one if it is absent or null. */
  public List<Document> docs(String key) throws BadMessage {
    List<Document> documents = new ArrayList<>();
    for (Object element : list(key)) {
      documents.add(of(element));
    }
    return documents;
  }

  /** A list of texts; an empty one if it is absent or null. */
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
