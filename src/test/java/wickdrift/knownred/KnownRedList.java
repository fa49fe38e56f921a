package wickdrift.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The tests that are known to fail for a real fault that is not mended yet, as {@code
 * KNOWN-RED.txt} at the root of the repository lists them: {@code test | cause | issue}, where the
 * test is {@code package.Class.method}. Empty lines and lines that begin with {@code #} don't
 * count.
 */
final class KnownRedList {
  static final Path FILE = Path.of("KNOWN-RED.txt");

  /** More than this is no list of exceptions any more. */
  static final int MAX_ENTRIES = 3;

  private static final int FIELDS_PER_LINE = 3;

  /** A test that may fail, why it does, and the issue in which it is to be mended. */
  record Entry(String test, String cause, String issue) {}

  /** Tells what is wrong with the list. */
  static final class InvalidListException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidListException(String message) {
      super(message);
    }
  }

  private KnownRedList() {}

  /** The list of this repository; no file means that no test is known to fail. */
  static List<Entry> load() {
    if (!Files.exists(FILE)) {
      return List.of();
    }
    try {
      return parse(Files.readAllLines(FILE));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads a list, and refuses one that is too long, malformed, or names a test that isn't there.
   */
  static List<Entry> parse(List<String> lines) {
    List<Entry> entries = new ArrayList<>();
    for (String line : lines) {
      if (!line.isBlank() && !line.startsWith("#")) {
        entries.add(parseLine(line));
      }
    }
    if (entries.size() > MAX_ENTRIES) {
      throw new InvalidListException(
          "KNOWN-RED.txt lists " + entries.size() + " tests, at most " + MAX_ENTRIES + " may be");
    }
    return entries;
  }

  private static Entry parseLine(String line) {
    String[] fields = line.split("\\|", -1);
    boolean complete =
        fields.length == FIELDS_PER_LINE && Arrays.stream(fields).noneMatch(String::isBlank);
    if (!complete) {
      throw new InvalidListException("not of the form 'test | cause | issue': " + line);
    }
    Entry entry = new Entry(fields[0].strip(), fields[1].strip(), fields[2].strip());
    if (!testExists(entry.test)) {
      throw new InvalidListException("no such test: " + entry.test);
    }
    return entry;
  }

  private static boolean testExists(String test) {
    int dot = test.lastIndexOf('.');
    if (dot < 0) {
      return false;
    }
    try {
      Class<?> testClass = Class.forName(test.substring(0, dot));
      Method[] methods = testClass.getDeclaredMethods();
      return Arrays.stream(methods).anyMatch(m -> m.getName().equals(test.substring(dot + 1)));
    } catch (ClassNotFoundException e) {
      return false;
    }
  }
}
