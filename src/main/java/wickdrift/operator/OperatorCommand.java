package wickdrift.operator;

import com.google.gson.GsonBuilder;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import wickdrift.settings.Settings;

/**
 * Base class of the operators' commands: options for the state service's address, its timeout and
 * the output format, and the exit codes. Bad input and an unavailable state service are each
 * reported in one line.
 */
abstract class OperatorCommand implements Callable<Integer> {
  /** The command succeeded. */
  static final int EXIT_OK = 0;

  /** The command reported errors that it found, or refused and changed nothing. */
  static final int EXIT_FINDINGS_OR_REFUSED = 1;

  /** The arguments or the settings are invalid. */
  static final int EXIT_BAD_INPUT = 2;

  /**
   * The state service is unavailable. The requested action was not performed, or possibly in part
   * if the message says so.
   */
  static final int EXIT_UNAVAILABLE = 3;

  /** A file is damaged, or can't be read or written. */
  static final int EXIT_BAD_FILE = 4;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @CommandLine.Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "A controller's settings file: it tells where the state service is.")
  private Path configFile;

  @CommandLine.Option(names = "--json", description = "Print JSON.")
  boolean jsonOutput;

  @CommandLine.Option(
      names = "--wait",
      paramLabel = "SECONDS",
      defaultValue = "10",
      description = "Give up after so long without an answer (default: ${DEFAULT-VALUE}).")
  private double responseTimeoutS;

  @Override
  public final Integer call() {
    Settings settings;
    try {
      settings = Settings.load(configFile);
    } catch (Settings.InvalidSettingsException e) {
      return fail(EXIT_BAD_INPUT, e.getMessage());
    }
    if (!(responseTimeoutS > 0 && responseTimeoutS <= 3600)) {
      return fail(EXIT_BAD_INPUT, "--wait is not between 0 and 3600 seconds");
    }
    // Uses at most a fifth of the state service's request rate; the controllers need the rest.
    double maxRequestsPerSecond = Math.max(1, settings.stateLimits().rps() / 5);
    try (HttpStateServiceCaller store =
        new HttpStateServiceCaller(
            settings.stateServiceAddress(),
            maxRequestsPerSecond,
            (long) (responseTimeoutS * 1000))) {
      return run(store, settings);
    } catch (StateServiceCaller.UnavailableException e) {
      return fail(EXIT_UNAVAILABLE, e.getMessage());
    }
  }

  /**
   * Runs the command.
   *
   * @return the exit code
   * @throws StateServiceCaller.UnavailableException if the state service is unavailable
   */
  abstract int run(StateServiceCaller store, Settings settings)
      throws StateServiceCaller.UnavailableException;

  /** Prints the message to standard error and returns the exit code. */
  int fail(int exitCode, String message) {
    spec.commandLine().getErr().println("wickdrift: " + message);
    return exitCode;
  }

  /** Standard output of the command line. */
  PrintWriter out() {
    return spec.commandLine().getOut();
  }

  /** Prints the value as indented JSON. */
  void printJson(Map<String, ?> value) {
    out()
        .println(
            new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create().toJson(value));
  }
}
