package wickdrift.lab;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;

/** {@code wickdrift-lab served}: who was served how well on a day, from its report. */
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
  private boolean line;

  @Override
  public Integer call() {
    int code = 0;
    for (Path p : reports) {
      try {
        Served s = Served.read(Files.readString(p));
        spec.commandLine().getOut().println(line ? s.line() : s.text());
        code = Math.max(code, s.failed() ? 1 : 0);
      } catch (IOException | BadInput e) {
        spec.commandLine().getErr().println("wickdrift-lab: " + p + ": " + e.getMessage());
        return 2;
      }
    }
    return code;
  }
}
