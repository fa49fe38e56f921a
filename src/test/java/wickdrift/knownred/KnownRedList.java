package wickdrift.knownred;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The tests and commands that are known to fail because of a defect that is not fixed yet. {@code
 * KNOWN-RED.txt} at the root of the repository lists them as {@code what | cause | issue}. A test
 * of the build is {@code package.Class.method}; a command, which the build does not run, is {@code
 * command FILE ARGUMENTS seed N} with an executable file of the repository, or {@code seed none} if
 * it takes none. Empty lines and lines that begin with {@code #} are ignored.
 */
final class KnownRedList {
  static final Path FILE = Path.of("KNOWN-RED.txt");

  /** Bounds the number of failing tests that the build tolerates. */
  static final int MAX_ENTRIES = 3;

  private static final int FIELDS_PER_LINE = 3;

  private static final Pattern COMMAND = Pattern.compile("command (\\S+)( .+)? seed (\\d+|none)");

  /**
   * A test or command that may fail, the cause of its failure, and the issue that tracks the fix.
   */
  record Entry(String subject, String cause, String issue) {
    boolean isCommand() {
      return COMMAND.matcher(subject).matches();
    }
  }

  /** Thrown if the list is malformed; the message says why. */
  static final class InvalidListException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    InvalidListException(String message) {
      super(message);
    }
  }

  private KnownRedList() {}

  /** Loads the list of this repository, empty if the file doesn't exist. */
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
   * Parses a list.
   *
   * @throws InvalidListException if the list is too long or malformed, or names an unknown test
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
          "KNOWN-RED.txt has " + entries.size() + " entries, at most " + MAX_ENTRIES + " may be");
    }
    return entries;
  }

  private static Entry parseLine(String line) {
    String[] fields = line.split("\\|", -1);
    boolean complete =
        fields.length == FIELDS_PER_LINE && Arrays.stream(fields).noneMatch(String::isBlank);
    if (!complete) {
      throw new InvalidListException("not of the form 'what | cause | issue': " + line);
    }
    Entry entry = new Entry(fields[0].strip(), fields[1].strip(), fields[2].strip());
    boolean exists = entry.isCommand() ? commandExists(entry.subject) : testExists(entry.subject);
    if (!exists) {
      throw new InvalidListException("no such test or command: " + entry.subject);
    }
    return entry;
  }

  private static boolean commandExists(String command) {
    Matcher matcher = COMMAND.matcher(command);
    if (!matcher.matches()) {
      return false;
    }
    Path file = Path.of(matcher.group(1));
    boolean isInRepository = !file.isAbsolute() && !file.normalize().startsWith("..");
    return isInRepository && Files.isRegularFile(file) && Files.isExecutable(file);
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
