package wickdrift.daemon;

import picocli.CommandLine;
import wickdrift.operator.LevelCommand;
import wickdrift.operator.StateCommand;

/** The command line. Sub-commands leave room for clients to come. */
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

  /** Starts what the command line names. */
  public static void main(String[] args) {
    configureLogging();
    CommandLine commandLine = new CommandLine(new Main());
    if (args.length == 0 || !args[0].equals("serve")) {
      // A controller, which starts on a part of a core, does without the operators' commands.
      commandLine.addSubcommand(new StateCommand()).addSubcommand(new LevelCommand());
    }
    int code = commandLine.execute(args);
    if (code != ServeCommand.KEEP_RUNNING) {
      System.exit(code);
    }
  }

  /** Before the first logger is made. */
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
