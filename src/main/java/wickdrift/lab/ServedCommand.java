package wickdrift.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;

/**
 * {@code wickdrift-lab served}: prints the share of jobs served by class and team, from reports.
 */
@CommandLine.Command(
    name = "served",
    mixinStandardHelpOptions = true,
    description = {
      "For each class and team of a day's report: asked, accepted, started, done, share served,",
      "the least first. Exit code 1: a day failed by that, or a rule was broken; 2: a bad report."
    })
final class ServedCommand implements Callable<Integer> {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @CommandLine.Parameters(
      arity = "1..*",
      paramLabel = "REPORT",
      description = "Files as fleetbench run --report writes them.")
  private List<Path> reports;

  @CommandLine.Option(names = "--line", description = "One line a day, for a commit.")
  private boolean summaryOnly;

  @Override
  public Integer call() {
    int exitCode = 0;
    for (Path report : reports) {
      try {
        ServedShares shares = ServedShares.parse(Files.readString(report));
        spec.commandLine().getOut().println(summaryOnly ? shares.summaryLine() : shares.fullText());
        exitCode = Math.max(exitCode, shares.hasFailed() ? 1 : 0);
      } catch (IOException | InvalidInputException e) {
        spec.commandLine().getErr().println("wickdrift-lab: " + report + ": " + e.getMessage());
        return 2;
      }
    }
    return exitCode;
  }
}
