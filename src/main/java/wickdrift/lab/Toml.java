package wickdrift.lab;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.core.io.ParsingException;
import com.electronwill.nightconfig.core.io.ParsingMode;
import com.electronwill.nightconfig.toml.TomlFormat;
import com.electronwill.nightconfig.toml.TomlParser;
import com.electronwill.nightconfig.toml.TomlWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;

/** Reads, writes and validates TOML files; the order of the fields is kept. */
final class Toml {
  private Toml() {}

  /** Creates an empty table that keeps the order of its fields. */
  static Config newConfig() {
    return TomlFormat.newConfig(LinkedHashMap::new);
  }

  /** Reads and parses a file. */
  static Config load(Path file) throws InvalidInputException {
    try {
      Config config = newConfig();
      new TomlParser().parse(Files.readString(file), config, ParsingMode.REPLACE);
      return config;
    } catch (IOException | ParsingException e) {
      throw new InvalidInputException(file + ": " + e.getMessage());
    }
  }

  /** Converts a table to TOML text. */
  static String serialize(Config config) {
    return new TomlWriter().writeToString(config);
  }

  /** Returns a deep copy. */
  static Config deepCopy(Config config) {
    Config copy = newConfig();
    for (Config.Entry entry : config.entrySet()) {
      copy.set(List.of(entry.getKey()), copyValue(entry.getValue()));
    }
    return copy;
  }

  private static Object copyValue(Object value) {
    if (value instanceof Config config) {
      return deepCopy(config);
    }
    if (value instanceof List<?> list) {
      List<Object> copy = new ArrayList<>();
      list.forEach(element -> copy.add(copyValue(element)));
      return copy;
    }
    return value;
  }

  /** Returns the tables of an array field; empty if the field is missing. */
  static List<Config> tables(Config config, String field) {
    List<Config> tables = new ArrayList<>();
    if (config.get(field) instanceof List<?> list) {
      for (Object element : list) {
        if (element instanceof Config table) {
          tables.add(table);
        }
      }
    }
    return tables;
  }

  /** Returns the non-empty text of a field; {@code location} prefixes the error message. */
  static String requireText(Config config, String field, String location)
      throws InvalidInputException {
    if (config.get(field) instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw new InvalidInputException(location + ": " + field + " is missing or no text");
  }

  /** Returns the non-negative number of a field, or the default value if the field is missing. */
  static double numberOrDefault(Config config, String field, double defaultValue, String location)
      throws InvalidInputException {
    Object value = config.get(field);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Number number && number.doubleValue() >= 0) {
      return number.doubleValue();
    }
    throw new InvalidInputException(location + ": " + field + " is no number of at least 0");
  }

  /** Fails if a table has a field that is not among the given ones. */
  static void rejectUnknownFields(Config config, Set<String> fields, String location)
      throws InvalidInputException {
    for (Config.Entry entry : config.entrySet()) {
      if (!fields.contains(entry.getKey())) {
        throw new InvalidInputException(location + ": " + entry.getKey() + " is not known");
      }
    }
  }
}
