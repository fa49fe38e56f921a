package wickdrift.daemon;

import picocli.CommandLine;
import wickdrift.operator.LevelCommand;
import wickdrift.operator.StateCommand;

/** The command line interface. */
@CommandLine.Command(
    name = "wickdrift",
    description = "A cluster scheduler.",
    mixinStandardHelpOptions = true,
    version = "wickdrift 0.1.0",
    subcommands = {ServeCommand.class, RehearseCommand.class})
public final class Main implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(System.err);
  }

  /** Runs the command that the arguments name. */
  public static void main(String[] args) {
    configureLogging();
    CommandLine commandLine = new CommandLine(new Main());
    if (args.length == 0 || !args[0].equals("serve")) {
      // Not loaded for a controller, which has only a fraction of a core to start on.
      commandLine.addSubcommand(new StateCommand()).addSubcommand(new LevelCommand());
    }
    int code = commandLine.execute(args);
    if (code != ServeCommand.KEEP_RUNNING) {
      System.exit(code);
    }
  }

  /** Configures logging. This must run before the first logger is created. */
  private static void configureLogging() {
    String level = System.getenv("LOG_LEVEL");
    String validLevel =
        level != null && java.util.Set.of("error", "warn", "info", "debug").contains(level)
            ? level
            : "error";
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", validLevel);
    System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    System.setProperty("org.slf4j.simpleLogger.logFile", "System.err");
  }
}
