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

/** Reading and writing settings files whose fields keep their order. */
final class Toml {
  private Toml() {}

  static Config fresh() {
    return TomlFormat.newConfig(LinkedHashMap::new);
  }

  static Config load(Path p) throws BadInput {
    try {
      Config c = fresh();
      new TomlParser().parse(Files.readString(p), c, ParsingMode.REPLACE);
      return c;
    } catch (IOException | ParsingException e) {
      throw new BadInput(p + ": " + e.getMessage());
    }
  }

  static String text(Config c) {
    return new TomlWriter().writeToString(c);
  }

  /** A copy all the way down. */
  static Config copy(Config c) {
    Config out = fresh();
    for (Config.Entry e : c.entrySet()) {
      out.set(List.of(e.getKey()), value(e.getValue()));
    }
    return out;
  }

  private static Object value(Object v) {
    if (v instanceof Config c) {
      return copy(c);
    }
    if (v instanceof List<?> l) {
      List<Object> out = new ArrayList<>();
      l.forEach(x -> out.add(value(x)));
      return out;
    }
    return v;
  }

  /** The tables of a list, which may be missing. */
  static List<Config> tables(Config c, String field) {
    List<Config> out = new ArrayList<>();
    if (c.get(field) instanceof List<?> l) {
      for (Object o : l) {
        if (o instanceof Config t) {
          out.add(t);
        }
      }
    }
    return out;
  }

  static String text(Config c, String field, String at) throws BadInput {
    if (c.get(field) instanceof String s && !s.isEmpty()) {
      return s;
    }
    throw new BadInput(at + ": " + field + " is missing or no text");
  }

  static double number(Config c, String field, double otherwise, String at) throws BadInput {
    Object v = c.get(field);
    if (v == null) {
      return otherwise;
    }
    if (v instanceof Number n && n.doubleValue() >= 0) {
      return n.doubleValue();
    }
    throw new BadInput(at + ": " + field + " is no number of at least 0");
  }

  static void only(Config c, Set<String> fields, String at) throws BadInput {
    for (Config.Entry e : c.entrySet()) {
      if (!fields.contains(e.getKey())) {
        throw new BadInput(at + ": " + e.getKey() + " is not known");
      }
    }
  }
}
