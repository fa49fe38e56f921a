package wickdrift.operator;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import picocli.CommandLine;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.settings.Settings;

/** {@code wickdrift state}: checks the stored state, saves it to a snapshot and restores it. */
@CommandLine.Command(
    name = "state",
    description = "Check, keep and put back the stored state.",
    subcommands = {
      StateCommand.CheckCommand.class,
      StateCommand.DumpCommand.class,
      StateCommand.RestoreCommand.class,
      CommandLine.HelpCommand.class
    })
public final class StateCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getErr());
  }

  /** {@code state check}: prints the findings of {@link StateCheck}. */
  @CommandLine.Command(
      name = "check",
      description =
          "Say what this build can't read, and what contradicts itself. Exit code 1: errors.")
  static final class CheckCommand extends OperatorCommand {
    @CommandLine.Option(
        names = "--levels",
        paramLabel = "LEAST-MOST",
        description = "Check for a build that speaks these levels (default: this one's).")
    private String requestedLevels;

    @Override
    int run(StateServiceCaller store, Settings settings)
        throws StateServiceCaller.UnavailableException {
      LevelRange supportedLevels = LevelRange.BUILD;
      if (requestedLevels != null) {
        String[] bounds = requestedLevels.split("-");
        try {
          supportedLevels =
              new LevelRange(
                  Integer.parseInt(bounds[0]), Integer.parseInt(bounds[bounds.length - 1]));
        } catch (IllegalArgumentException e) {
          return fail(
              EXIT_BAD_INPUT, "--levels: " + requestedLevels + " is no range of levels, as 1-2 is");
        }
      }
      StoredRecords records = StoredRecords.read(store);
      List<StateCheck.Finding> findings = StateCheck.check(records, supportedLevels);
      long errors = findings.stream().filter(StateCheck.Finding::isError).count();
      if (jsonOutput) {
        List<Object> findingList = new ArrayList<>();
        findings.forEach(
            finding ->
                findingList.add(
                    Map.of(
                        "key",
                        finding.key(),
                        "error",
                        finding.isError(),
                        "why",
                        finding.reason())));
        Map<String, Object> output = new LinkedHashMap<>();
        output.put("revision", records.revision());
        output.put("records", records.byKey().size());
        output.put("errors", errors);
        output.put("findings", findingList);
        printJson(output);
      } else {
        findings.forEach(
            finding ->
                out()
                    .println(
                        (finding.isError() ? "error  " : "note   ")
                            + finding.key()
                            + "  "
                            + finding.reason()));
        out()
            .println(
                records.byKey().size()
                    + " records at revision "
                    + records.revision()
                    + ": "
                    + errors
                    + " errors, "
                    + (findings.size() - errors)
                    + " notes");
      }
      return errors > 0 ? EXIT_FINDINGS_OR_REFUSED : EXIT_OK;
    }
  }

  /** {@code state dump}: writes the stored state to a snapshot file. */
  @CommandLine.Command(name = "dump", description = "Keep the stored state, as of one revision.")
  static final class DumpCommand extends OperatorCommand {
    @CommandLine.Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    int run(StateServiceCaller store, Settings settings)
        throws StateServiceCaller.UnavailableException {
      StoredRecords records = StoredRecords.read(store);
      Path temporaryFile = file.resolveSibling(file.getFileName() + ".part");
      try {
        // The snapshot is written under a temporary name and then moved: a failure never leaves an
        // incomplete file under the requested name.
        try (OutputStream out = new BufferedOutputStream(Files.newOutputStream(temporaryFile))) {
          Snapshot.write(records, out);
        }
        Files.move(
            temporaryFile,
            file,
            StandardCopyOption.ATOMIC_MOVE,
            StandardCopyOption.REPLACE_EXISTING);
      } catch (IOException e) {
        try {
          Files.deleteIfExists(temporaryFile);
        } catch (IOException deleteFailure) {
          e.addSuppressed(deleteFailure);
        }
        return fail(EXIT_BAD_FILE, "can't write " + file + ": " + e.getMessage());
      }
      if (jsonOutput) {
        printJson(Map.of("revision", records.revision(), "records", records.byKey().size()));
      } else {
        out().println(records.byKey().size() + " records at revision " + records.revision());
      }
      return EXIT_OK;
    }
  }

  /** {@code state restore}: writes a snapshot into an empty store. */
  @CommandLine.Command(
      name = "restore",
      description = {
        "Put a snapshot into an empty store. Only while no controller runs, and after all workers'",
        "leases have ended: what ran when it was taken is started again."
      })
  static final class RestoreCommand extends OperatorCommand {
    @CommandLine.Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    int run(StateServiceCaller store, Settings settings)
        throws StateServiceCaller.UnavailableException {
      StoredRecords records;
      try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
        records = Snapshot.read(in);
      } catch (IOException e) {
        return fail(EXIT_BAD_FILE, "can't read " + file + ": " + e);
      } catch (Snapshot.CorruptSnapshotException e) {
        return fail(EXIT_BAD_FILE, file + ": " + e.getMessage());
      }
      try {
        StateServiceLimits limits =
            new StateServiceLimits(settings.stateLimits(), settings.nextLimits(), () -> true);
        int written = new Restore(store, limits).run(records);
        if (jsonOutput) {
          printJson(Map.of("revision", records.revision(), "written", written));
        } else {
          out().println(written + " records put back, as of revision " + records.revision());
        }
        return EXIT_OK;
      } catch (Restore.RestoreRefusedException e) {
        return fail(EXIT_FINDINGS_OR_REFUSED, e.getMessage());
      }
    }
  }
}
