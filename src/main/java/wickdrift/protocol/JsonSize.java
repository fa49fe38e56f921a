package wickdrift.protocol;

import java.util.List;
import java.util.Map;

/** Sizes of values as JSON, the form in which the protocol defines its size limits. */
public final class JsonSize {
  /** How many bytes a text is assumed to take, as the protocol does not say how it is escaped. */
  enum Text {
    /** As few as JSON allows: UTF-8, escaped only where it must be, and no white space. */
    SHORTEST,
    /** Every character that is not printable ASCII as an escape of six. */
    ESCAPED
  }

  static final int BRACKETS = 2;
  private static final int QUOTES = 2;
  private static final int SHORT_ESCAPE = 2;
  private static final int LONG_ESCAPE = 6;

  /** The control characters for which JSON has an escape of two characters. */
  private static final String SHORT_ESCAPED = "\"\\\b\f\n\r\t";

  private JsonSize() {}

  /** Returns an upper bound of a value's size, for limits that must not be exceeded. */
  public static int upperBound(Object value) {
    if (value instanceof EncodedValue encoded) {
      return encoded.jsonSize(Text.ESCAPED);
    }
    if (value instanceof Map<?, ?> map) {
      int size = BRACKETS;
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        size += upperBound(entry.getKey()) + 2 + upperBound(entry.getValue());
      }
      return size;
    }
    if (value instanceof List<?> list) {
      int size = BRACKETS;
      for (Object element : list) {
        size += 1 + upperBound(element);
      }
      return size;
    }
    return value instanceof String text
        ? ofText(text, Text.ESCAPED)
        : ofScalar(value, Text.ESCAPED);
  }

  /** Returns a lower bound of a value's size, for limits that its sender must not exceed. */
  public static int lowerBound(EncodedValue value) {
    return value.jsonSize(Text.SHORTEST);
  }

  /** Returns the size of the commas, and in a map the colons, between elements. */
  static int separators(int count, int perElement, Text text) {
    boolean lastCommaCounts = text == Text.ESCAPED || count == 0;
    return perElement * count - (lastCommaCounts ? 0 : 1);
  }

  static int ofText(String value, Text text) {
    int size = QUOTES;
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      boolean plain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
      size += plain ? 1 : text == Text.ESCAPED ? LONG_ESCAPE : shortestSize(c);
    }
    return size;
  }

  private static int shortestSize(char c) {
    if (SHORT_ESCAPED.indexOf(c) >= 0) {
      return SHORT_ESCAPE;
    }
    if (c < ' ') {
      return LONG_ESCAPE;
    }
    // A character outside the basic plane takes four bytes and is a pair of two.
    return c < 0x80 ? 1 : c < 0x800 || Character.isSurrogate(c) ? 2 : 3;
  }

  static int ofScalar(Object value, Text text) {
    String digits = String.valueOf(value);
    boolean hasZeroFraction = text == Text.SHORTEST && digits.endsWith(".0");
    return hasZeroFraction ? digits.length() - 2 : digits.length();
  }
}
