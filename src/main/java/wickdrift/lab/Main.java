package wickdrift.lab;

import picocli.CommandLine;

/** Command line of the lab: {@code java -jar target/wickdrift-lab.jar COMMAND}. */
@CommandLine.Command(
    name = "wickdrift-lab",
    description = "Makes deployments and days to try the service on, and reads their reports.",
    mixinStandardHelpOptions = true,
    subcommands = {VariantCommand.class, ServedCommand.class})
public final class Main implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getErr());
  }

  /** Runs the command line and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }
}
