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
abstract class Tool implements Callable<Integer> {
  /** Done. */
  static final int OK = 0;

  /** Done, and found something; or refused, and nothing was changed. */
  static final int NO = 1;

  /** Bad arguments or settings. */
  static final int BAD_INPUT = 2;

  /** The state service is away; what was asked for was not done, or (said so) perhaps in part. */
  static final int AWAY = 3;

  /** A file is damaged, can't be read, or can't be written. */
  static final int BAD_FILE = 4;

  @CommandLine.Spec CommandLine.Model.CommandSpec spec;

  @CommandLine.Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "A controller's settings file: it tells where the state service is.")
  private Path config;

  @CommandLine.Option(names = "--json", description = "Print JSON.")
  boolean json;

  @CommandLine.Option(
      names = "--wait",
      paramLabel = "SECONDS",
      defaultValue = "10",
      description = "Give up after so long without an answer (default: ${DEFAULT-VALUE}).")
  private double waitS;

  @Override
  public final Integer call() {
    Settings settings;
    try {
      settings = Settings.load(config);
    } catch (Settings.InvalidSettingsException e) {
      return fail(BAD_INPUT, e.getMessage());
    }
    if (!(waitS > 0 && waitS <= 3600)) {
      return fail(BAD_INPUT, "--wait is not between 0 and 3600 seconds");
    }
    // A fifth of what the state service takes: the controllers need the rest.
    double perSecond = Math.max(1, settings.stateLimits().rps() / 5);
    try (StateClient store =
        new StateClient(settings.stateServiceAddress(), perSecond, (long) (waitS * 1000))) {
      return run(store, settings);
    } catch (Store.Away e) {
      return fail(AWAY, e.getMessage());
    }
  }

  abstract int run(Store store, Settings settings) throws Store.Away;

  int fail(int code, String why) {
    spec.commandLine().getErr().println("wickdrift: " + why);
    return code;
  }

  PrintWriter out() {
    return spec.commandLine().getOut();
  }

  void print(Map<String, ?> value) {
    out()
        .println(
            new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create().toJson(value));
  }
}
