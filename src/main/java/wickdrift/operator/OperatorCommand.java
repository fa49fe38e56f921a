package wickdrift.operator;

import com.google.gson.GsonBuilder;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import wickdrift.settings.Settings;

/**
 * What all commands of operators share: where the state service is, plain text or JSON, and exit
 * codes. Bad input and a store that is away end in one line.
 */
abstract class OperatorCommand implements Callable<Integer> {
  /** Done. */
  static final int EXIT_OK = 0;

  /** Done, and found something; or refused, and nothing was changed. */
  static final int EXIT_FINDINGS_OR_REFUSED = 1;

  /** Bad arguments or settings. */
  static final int EXIT_BAD_INPUT = 2;

  /** The state service is away; what was asked for was not done, or (said so) perhaps in part. */
  static final int EXIT_UNAVAILABLE = 3;

  /** A file is damaged, can't be read, or can't be written. */
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
    } catch (Settings.Invalid e) {
      return fail(EXIT_BAD_INPUT, e.getMessage());
    }
    if (!(responseTimeoutS > 0 && responseTimeoutS <= 3600)) {
      return fail(EXIT_BAD_INPUT, "--wait is not between 0 and 3600 seconds");
    }
    // A fifth of what the state service takes: the controllers need the rest.
    double maxRequestsPerSecond = Math.max(1, settings.stateLimits().rps() / 5);
    try (HttpStateServiceCaller store =
        new HttpStateServiceCaller(
            settings.state(), maxRequestsPerSecond, (long) (responseTimeoutS * 1000))) {
      return run(store, settings);
    } catch (Store.Away e) {
      return fail(EXIT_UNAVAILABLE, e.getMessage());
    }
  }

  abstract int run(Store store, Settings settings) throws Store.Away;

  int fail(int exitCode, String message) {
    spec.commandLine().getErr().println("wickdrift: " + message);
    return exitCode;
  }

  PrintWriter out() {
    return spec.commandLine().getOut();
  }

  void printJson(Map<String, ?> value) {
    out()
        .println(
            new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create().toJson(value));
  }
}
