package wickdrift.sim;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.operator.Snapshot;
import wickdrift.operator.StoredRecords;
import wickdrift.transport.Caller.Response;

/**
 * Two builds that speak the same levels, as real controller processes on loopback. First they serve
 * side by side under load while processes are killed and restarted with either build. Then each
 * build reads, checks, dumps and restores the state that the other one wrote, with the settings
 * files of the run, and serves from it. Not a part of CI: it takes some four minutes.
 *
 * <p>Arguments: the older jar, the newer jar, a folder for settings, logs and snapshots. Exit code
 * 1: a rule was broken or a step failed.
 */
public final class MixedBuilds {
  private static final int JOBS = 120;
  private static final long LOAD_MS = 90_000;
  private static final long STEP_MS = 8000;
  private static final int UP_TIMEOUT_S = 30;
  private static final int JOBS_TIMEOUT_S = 150;
  private static final int COMMAND_TIMEOUT_S = 60;

  /** Every sixth job is withdrawn this long after it was accepted. */
  private static final long WITHDRAW_AFTER_MS = 6000;

  private static final List<String> NODES = List.of("n0", "n1", "n2");

  private final LoopbackStage stage;
  private final SimWorld world;
  private final Path older;
  private final Path newer;
  private final Path folder;
  private final List<String> failures = new ArrayList<>();

  private MixedBuilds(Path older, Path newer, Path folder) throws Exception {
    this.older = older;
    this.newer = newer;
    this.folder = folder;
    this.stage =
        new LoopbackStage(new SimSetup(11, 10, 30).controllers("aab").plainMessages(), folder);
    this.world = stage.world;
    stage.awaitPorts();
  }

  private static void say(String format, Object... arguments) {
    System.out.printf(format + "%n", arguments);
  }

  private void expect(boolean holds, String what) {
    say("%s: %s", holds ? "ok" : "FAILED", what);
    if (!holds) {
      failures.add(what);
    }
  }

  // ---- both builds serve together ----

  private void replace(String node, Path jar, boolean orderly) throws Exception {
    stage.process(node).stop(orderly);
    stage.start(node, jar);
    Thread.sleep(STEP_MS);
    say("%s was %s and runs %s", node, orderly ? "ended" : "killed", jar.getFileName());
  }

  private void submitLoad() throws Exception {
    stage.callOnLoop(
        () -> {
          for (int i = 0; i < JOBS; i++) {
            int number = i;
            String shape = i < 6 ? "daemon" : i % 3 == 0 ? "ensemble" : "batch";
            long withdrawAfterMs = isWithdrawn(i) ? WITHDRAW_AFTER_MS : 0;
            world.clock.after(
                LOAD_MS * i / JOBS,
                () ->
                    world.users.submit(
                        SimJobs.job(number, shape, 1 + number % 3, 1 + number % 2, 2 + number % 12),
                        withdrawAfterMs));
          }
          return null;
        });
  }

  private static boolean isWithdrawn(int number) {
    return number >= 6 && number % 6 == 1;
  }

  /** Returns the first job that is not in its expected terminal state, or null. */
  private String unfinishedJob() throws Exception {
    for (int i = 6; i < JOBS; i++) {
      String id = String.format("req-%06d", i);
      String phase = stage.callOnLoop(() -> world.lastReportedPhase(id));
      boolean over = "done".equals(phase) || isWithdrawn(i) && "withdrawn".equals(phase);
      if (!over) {
        return id + " is " + phase;
      }
    }
    return null;
  }

  private void serveTogether() throws Exception {
    for (String node : NODES) {
      stage.start(node, older);
    }
    Thread.sleep(STEP_MS);
    submitLoad();
    Thread.sleep(STEP_MS);
    replace("n0", newer, false);
    expect(run(newer, "n0", "state", "check") == 0, "the newer build checks the state in use");
    expect(run(older, "n0", "level", "show") == 0, "the older build shows the level");
    expect(run(newer, "n0", "level", "show") == 0, "the newer build shows the level");
    replace("n1", older, true);
    replace("n2", newer, false);
    replace("n0", older, false);
    replace("n1", newer, true);
    replace("n2", older, false);
    replace("n0", newer, true);
    replace("n2", newer, false);
    replace("n1", older, false);
    String unfinished = unfinishedJob();
    for (int i = 0; i < JOBS_TIMEOUT_S && unfinished != null; i++) {
      Thread.sleep(1000);
      unfinished = unfinishedJob();
    }
    expect(unfinished == null, "every accepted job ended; left: " + unfinished);
    List<String> broken = stage.callOnLoop(world::violations);
    expect(broken.isEmpty(), "no rule was broken: " + broken);
    for (String node : NODES) {
      expect(stage.process(node).isAlive(), node + " runs");
    }
    say("tasks started: %d", stage.callOnLoop(world::startCount));
  }

  // ---- each build reads what the other one wrote ----

  private int run(Path jar, String node, String... arguments) throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-jar", jar.toString()));
    command.addAll(List.of(arguments));
    command.addAll(List.of("--config", folder.resolve(node + ".toml").toString()));
    Process process = new ProcessBuilder(command).inheritIO().start();
    if (!process.waitFor(COMMAND_TIMEOUT_S, TimeUnit.SECONDS)) {
      process.destroyForcibly();
      throw new IOException("no end of " + command);
    }
    return process.exitValue();
  }

  private void endAll() throws Exception {
    for (String node : NODES) {
      stage.process(node).stop(true);
    }
  }

  private int status(String node) throws Exception {
    CompletableFuture<Response> answer = new CompletableFuture<>();
    stage.loop.execute(
        () ->
            world
                .net
                .processCallers
                .get(node)
                .call(node, "GET", "/up", null, 3000, answer::complete));
    return answer.get(5, TimeUnit.SECONDS).status();
  }

  private boolean serves(Path jar) throws Exception {
    for (String node : NODES) {
      stage.start(node, jar);
    }
    boolean up = false;
    for (int i = 0; i < UP_TIMEOUT_S && !up; i++) {
      Thread.sleep(1000);
      up = true;
      for (String node : NODES) {
        up &= status(node) == 200;
      }
    }
    return up;
  }

  private Path snapshot(String name) {
    return folder.resolve(name + ".snap").toAbsolutePath();
  }

  private static StoredRecords readSnapshot(Path file) throws Exception {
    try (InputStream in = Files.newInputStream(file)) {
      return Snapshot.read(in);
    }
  }

  private void emptyStore() throws Exception {
    stage.callOnLoop(
        () -> {
          for (StateServiceClient.Change change : world.state().all()) {
            world.state().forceWrite(change.key(), null);
          }
          return null;
        });
  }

  /** Dumps with both builds, restores with the reader, and serves with it. */
  private void handOver(Path writer, Path reader, String name) throws Exception {
    Path byWriter = snapshot(name + "-by-writer");
    Path byReader = snapshot(name + "-by-reader");
    expect(run(writer, "n0", "state", "dump", byWriter.toString()) == 0, name + ": writer dumps");
    expect(run(reader, "n0", "state", "dump", byReader.toString()) == 0, name + ": reader dumps");
    // The bytes may differ: the order of the fields in a header varies between processes.
    StoredRecords fromWriter = readSnapshot(byWriter);
    StoredRecords fromReader = readSnapshot(byReader);
    expect(
        fromWriter.revision() == fromReader.revision()
            && fromWriter.byKey().equals(fromReader.byKey()),
        name + ": both snapshots hold the same records at the same revision");
    expect(run(reader, "n1", "state", "check") == 0, name + ": reader checks the state");
    emptyStore();
    expect(run(reader, "n0", "state", "restore", byWriter.toString()) == 0, name + ": restored");
    expect(run(writer, "n1", "state", "check") == 0, name + ": writer checks the restored state");
    expect(serves(reader), name + ": reader serves from it");
    endAll();
  }

  private void play() throws Exception {
    serveTogether();
    endAll();
    handOver(older, newer, "older-to-newer");
    handOver(newer, older, "newer-to-older");
    expect(stage.standInFailure() == null, "no stand-in failed: " + stage.standInFailure());
  }

  /** Plays one run. */
  public static void main(String[] args) throws Exception {
    Path folder = Files.createDirectories(Path.of(args[2]));
    MixedBuilds run =
        new MixedBuilds(
            Path.of(args[0]).toAbsolutePath(), Path.of(args[1]).toAbsolutePath(), folder);
    try {
      run.play();
    } finally {
      run.stage.close();
    }
    say(run.failures.isEmpty() ? "all steps passed" : "FAILED: " + run.failures);
    System.exit(run.failures.isEmpty() ? 0 : 1);
  }
}
