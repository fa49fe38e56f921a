package wickdrift.bookkeeping.level;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.EncodedValue;

/**
 * Encoding versions of stored records. Version 1 is a bare map without a version number; every
 * later version is a list of the version number and the map. A build that knows no versions treats
 * a value that is not a map as a malformed answer and cannot proceed, so each record in a newer
 * encoding by itself keeps such a build out.
 */
public final class Encoding {
  /** The bare map. */
  public static final int FIRST = 1;

  /** Encoding of view, partition, log page and chunk from {@link Gate#NUMBERS} on. */
  public static final int NUMBERED = 2;

  /** Encoding of a chunk that would exceed the value size limit, from {@link Gate#LIMITS} on. */
  public static final int DENSE = 3;

  private Encoding() {}

  /** The value to store for a map in an encoding version. */
  public static Object wrap(int version, Map<String, Object> map) {
    return version == FIRST ? map : List.of((long) version, map);
  }

  /** The encoding version at a level, for the records that {@link Gate#NUMBERS} changes. */
  public static int forLevel(int level) {
    return level >= Gate.NUMBERS.level() ? NUMBERED : FIRST;
  }

  /**
   * The encoding version of a stored value.
   *
   * @throws BadMessage if it is neither a map nor a list of encoding version and map
   */
  public static int versionOf(Object value) throws BadMessage {
    if (value instanceof EncodedValue encoded) {
      return versionOf(withDecodedVersion(encoded));
    }
    if (value instanceof Map<?, ?>) {
      return FIRST;
    }
    if (value instanceof List<?> l
        && l.size() == 2
        && l.get(0) instanceof Long version
        && version > FIRST
        && version <= Integer.MAX_VALUE
        && (l.get(1) instanceof Map<?, ?>
            || l.get(1) instanceof EncodedValue encoded && encoded.isMap())) {
      return version.intValue();
    }
    throw new BadMessage("neither a map nor a list of encoding version and map");
  }

  /** Returns a value of which only the outermost list and its first element are decoded. */
  private static Object withDecodedVersion(EncodedValue value) throws BadMessage {
    if (value.isMap()) {
      return Map.of();
    }
    List<Object> elements = value.isList() ? new ArrayList<>(value.elements()) : List.of();
    if (!elements.isEmpty()) {
      elements.set(0, ((EncodedValue) elements.get(0)).decode());
    }
    return elements;
  }

  /**
   * The map of a stored value.
   *
   * @param newest the newest encoding version of this kind of record that this build reads
   * @throws BadMessage if the value is malformed or in a newer encoding version
   */
  public static Document decode(Object value, int newest) throws BadMessage {
    int version = versionOf(value);
    if (version > newest) {
      throw new BadMessage(
          "form " + version + " is newer than this build, which reads up to " + newest);
    }
    if (version == FIRST) {
      return Document.of(value);
    }
    List<?> versionAndMap =
        value instanceof EncodedValue encoded ? encoded.elements() : (List<?>) value;
    return Document.of(versionAndMap.get(1));
  }
}
