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

/** {@code wickdrift state}: the whole stored state, looked through, kept and put back. */
@CommandLine.Command(
    name = "state",
    description = "Check, keep and put back the stored state.",
    subcommands = {
      StateCommand.Check.class,
      StateCommand.Dump.class,
      StateCommand.Restoring.class,
      CommandLine.HelpCommand.class
    })
public final class StateCommand implements Runnable {
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  @Override
  public void run() {
    spec.commandLine().usage(spec.commandLine().getErr());
  }

  /** {@code state check}. */
  @CommandLine.Command(
      name = "check",
      description =
          "Say what this build can't read, and what contradicts itself. Exit code 1: errors.")
  static final class Check extends Tool {
    @CommandLine.Option(
        names = "--levels",
        paramLabel = "LEAST-MOST",
        description = "Check for a build that speaks these levels (default: this one's).")
    private String levels;

    @Override
    int run(Store store, Settings settings) throws Store.Away {
      LevelRange range = LevelRange.BUILD;
      if (levels != null) {
        String[] ends = levels.split("-");
        try {
          range =
              new LevelRange(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1]));
        } catch (IllegalArgumentException e) {
          return fail(BAD_INPUT, "--levels: " + levels + " is no range of levels, as 1-2 is");
        }
      }
      Records records = Records.read(store);
      List<StateCheck.Finding> found = StateCheck.check(records, range);
      long errors = found.stream().filter(StateCheck.Finding::error).count();
      if (json) {
        List<Object> list = new ArrayList<>();
        found.forEach(f -> list.add(Map.of("key", f.key(), "error", f.error(), "why", f.why())));
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("revision", records.rev());
        m.put("records", records.all().size());
        m.put("errors", errors);
        m.put("findings", list);
        print(m);
      } else {
        found.forEach(
            f -> out().println((f.error() ? "error  " : "note   ") + f.key() + "  " + f.why()));
        out()
            .println(
                records.all().size()
                    + " records at revision "
                    + records.rev()
                    + ": "
                    + errors
                    + " errors, "
                    + (found.size() - errors)
                    + " notes");
      }
      return errors > 0 ? NO : OK;
    }
  }

  /** {@code state dump}. */
  @CommandLine.Command(name = "dump", description = "Keep the stored state, as of one revision.")
  static final class Dump extends Tool {
    @CommandLine.Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    int run(Store store, Settings settings) throws Store.Away {
      Records records = Records.read(store);
      Path part = file.resolveSibling(file.getFileName() + ".part");
      try {
        // Under its name there is a whole file or none, whatever happens meanwhile.
        try (OutputStream out = new BufferedOutputStream(Files.newOutputStream(part))) {
          Snapshot.write(records, out);
        }
        Files.move(part, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
      } catch (IOException e) {
        try {
          Files.deleteIfExists(part);
        } catch (IOException again) {
          e.addSuppressed(again);
        }
        return fail(BAD_FILE, "can't write " + file + ": " + e.getMessage());
      }
      if (json) {
        print(Map.of("revision", records.rev(), "records", records.all().size()));
      } else {
        out().println(records.all().size() + " records at revision " + records.rev());
      }
      return OK;
    }
  }

  /** {@code state restore}. */
  @CommandLine.Command(
      name = "restore",
      description = {
        "Put a snapshot into an empty store. Only while no controller runs, and after all workers'",
        "leases have ended: what ran when it was taken is started again."
      })
  static final class Restoring extends Tool {
    @CommandLine.Parameters(paramLabel = "FILE")
    private Path file;

    @Override
    int run(Store store, Settings settings) throws Store.Away {
      Records records;
      try (InputStream in = new BufferedInputStream(Files.newInputStream(file))) {
        records = Snapshot.read(in);
      } catch (IOException e) {
        return fail(BAD_FILE, "can't read " + file + ": " + e);
      } catch (Snapshot.Damaged e) {
        return fail(BAD_FILE, file + ": " + e.getMessage());
      }
      try {
        StateServiceLimits limits =
            new StateServiceLimits(settings.stateLimits(), settings.nextLimits(), () -> true);
        int written = new Restore(store, limits).run(records);
        if (json) {
          print(Map.of("revision", records.rev(), "written", written));
        } else {
          out().println(written + " records put back, as of revision " + records.rev());
        }
        return OK;
      } catch (Restore.Refused e) {
        return fail(NO, e.getMessage());
      }
    }
  }
}
