package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.bookkeeping.level.NodeRegistry;
import wickdrift.operator.LevelCommand;
import wickdrift.operator.Restore;
import wickdrift.operator.Snapshot;
import wickdrift.operator.StateCheck;
import wickdrift.operator.StateCommand;
import wickdrift.operator.StateServiceCaller;
import wickdrift.operator.StoredRecords;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller.Response;
import wickdrift.transport.EventLoop;
import wickdrift.transport.Exchange;
import wickdrift.transport.HttpServer;

/**
 * Tests reading the stored state of older builds, and the operators' commands that check, dump and
 * restore it.
 */
class OperatorTest {
  /** Returns the simulated state service as an operator's command sees it. */
  private static StateServiceCaller storeOf(SimStateService state) {
    return (method, path, body) -> {
      Response[] answer = new Response[1];
      state.serve("operator", method, path, body, a -> answer[0] = a);
      return answer[0];
    };
  }

  /** Creates a world with running and waiting jobs of all shapes. */
  private static SimWorld busyWorld(long seed) {
    SimWorld world = new SimWorld(seed, 8, 30, "aab", 40);
    submitJobs(world, 30);
    return world;
  }

  private static void submitJobs(SimWorld world, int jobs) {
    for (int i = 0; i < jobs; i++) {
      int jobNumber = i;
      String shape = i % 8 == 0 ? "daemon" : i % 5 < 2 ? "ensemble" : "batch";
      world.clock.after(
          i * 700,
          () ->
              world.users.submit(
                  SimJobs.job(
                      jobNumber, shape, 1 + jobNumber % 4, 1 + jobNumber % 2, 5 + jobNumber % 25),
                  0));
    }
    world.run(25_000);
  }

  private static byte[] snapshotBytes(StoredRecords r) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Snapshot.write(r, out);
    return out.toByteArray();
  }

  // ---- state written by older builds: before levels, and before jobs with dependencies ----

  /** The stored records of an older build, and the digest that it computed from them. */
  private record GoldenState(
      long revision, TreeMap<String, StoredRecords.StoredValue> records, String digest) {
    static GoldenState read(String build) throws IOException, BadMessage {
      try (InputStream in =
              OperatorTest.class.getResourceAsStream("/golden/" + build + ".msgpack");
          InputStream text = OperatorTest.class.getResourceAsStream("/golden/" + build + ".txt")) {
        Document document = Document.parse(in.readAllBytes());
        TreeMap<String, StoredRecords.StoredValue> records = new TreeMap<>();
        for (Object o : document.list("records")) {
          List<?> fields = (List<?>) o;
          records.put(
              (String) fields.get(0),
              new StoredRecords.StoredValue(fields.get(1), (Long) fields.get(2)));
        }
        return new GoldenState(
            document.count("rev"),
            records,
            new String(text.readAllBytes(), StandardCharsets.UTF_8));
      }
    }
  }

  /** This build derives the same tables from the records of an older build as that build did. */
  @ParameterizedTest
  @ValueSource(strings = {"dc24b21", "4175cec"})
  void recordsOfAnOlderBuildKeepTheirMeaning(String build) throws Exception {
    GoldenState golden = GoldenState.read(build);
    Tables tables = new Tables(List.of("n0", "n1", "n2"), LevelRange.BUILD, () -> {});
    tables.load(new StoredRecords(golden.revision, golden.records).toChanges(), golden.revision);
    assertNull(tables.blockedReason());
    StringBuilder digest = new StringBuilder(SimWorld.digest(tables));
    for (int n = 0; n < 3; n++) {
      digest
          .append("n")
          .append(n)
          .append(' ')
          .append(tables.usage().placedBy("vision", n).gpus())
          .append('\n');
    }
    assertEquals(golden.digest, digest.toString());
    assertEquals(
        0,
        StateCheck.check(new StoredRecords(golden.revision, golden.records), LevelRange.BUILD)
            .stream()
            .filter(StateCheck.Finding::isError)
            .count());
  }

  /** Jobs that the older build accepted finish exactly once under this build. */
  @ParameterizedTest
  @ValueSource(strings = {"dc24b21", "4175cec"})
  void clusterContinuesFromTheStateOfAnOlderBuild(String build) throws Exception {
    GoldenState golden = GoldenState.read(build);
    SimWorld world = new SimWorld(501, 4, 30, "aab", 40);
    world.nodes.forEach(world::kill);
    world.cloud.nextMachineNumber = 1000;
    Map<String, Object> records = new TreeMap<>();
    golden.records.forEach((k, i) -> records.put(k, i.value()));
    // The leases of the old members have expired.
    records.keySet().removeIf(k -> k.startsWith("w/m/"));
    world.state().preload(records, golden.revision);
    List<String> openJobs = new ArrayList<>();
    for (Map.Entry<String, Object> e : records.entrySet()) {
      if (e.getKey().startsWith("w/j/")) {
        Document spec = Document.of(Document.of(e.getValue()).raw("spec"));
        world.users.registerSpec(new TreeMap<>(spec.fieldsExcept()));
        if (!spec.text("shape").equals("daemon") && !Document.of(e.getValue()).flag("off")) {
          openJobs.add(spec.text("ref"));
        }
      }
    }
    world.nodes.forEach(world::startNode);
    world.run(240_000);
    assertEquals(LevelRange.BUILD.max(), world.tables("n0").level());
    assertFalse(openJobs.isEmpty());
    for (String id : openJobs) {
      assertTrue(world.state().keys().contains("w/d/" + id), id);
      assertFalse(world.state().keys().contains("w/j/" + id), id);
    }
    assertEquals(List.of(), world.violations());
    assertNull(world.describeDivergence());
    assertTrue(world.state().keys().contains(NodeRegistry.CONVERTED_LEVEL_KEY));
  }

  /**
   * Below its level this build writes what build 4175cec wrote: for each kind of record no encoding
   * version, field or log entry that the stored example lacks.
   */
  @Test
  void belowItsLevelTheBuildWritesOnlyOldRecordShapes() throws Exception {
    Map<String, Set<String>> oldShapes = new TreeMap<>();
    for (Map.Entry<String, StoredRecords.StoredValue> e :
        GoldenState.read("4175cec").records.entrySet()) {
      collectShape(e.getKey(), e.getValue().value(), oldShapes);
    }
    SimWorld world = new SimWorld(502, 8, 30, "aab", 40);
    world.restartAll(new LevelRange(1, 3), "");
    submitJobs(world, 40);
    Map<String, Set<String>> newShapes = new TreeMap<>();
    for (StateServiceClient.Change c : world.state().all()) {
      collectShape(c.key(), c.value(), newShapes);
    }
    assertTrue(newShapes.size() > 6, "kinds of records: " + newShapes.keySet());
    newShapes.forEach(
        (kind, shapes) -> {
          for (String shape : shapes) {
            assertTrue(oldShapes.getOrDefault(kind, Set.of()).contains(shape), kind + " " + shape);
          }
        });
  }

  /** Adds the encoding version, fields and log entry kinds of a record, by the kind of its key. */
  private static void collectShape(String key, Object value, Map<String, Set<String>> shapesByKind)
      throws BadMessage {
    Set<String> shapes = shapesByKind.computeIfAbsent(key.substring(0, 3), k -> new TreeSet<>());
    shapes.add("encoding version " + Encoding.versionOf(value));
    Document document = Encoding.decode(value, 9);
    for (Map.Entry<String, Object> e : document.fieldsExcept().entrySet()) {
      shapes.add(e.getKey());
      if (e.getKey().equals("spec")) {
        Document.of(e.getValue()).fieldsExcept().keySet().forEach(f -> shapes.add("spec." + f));
      }
      for (Object run : e.getKey().equals("g") ? (List<?>) e.getValue() : List.of()) {
        for (Object entry : (List<?>) ((List<?>) run).get(1)) {
          // Build 4175cec reads all of these kinds; the small logs of its example lack some.
          if (!Set.of("p", "x", "s", "h", "f").contains(((List<?>) entry).get(0))) {
            shapes.add("entry " + ((List<?>) entry).get(0));
          }
        }
      }
    }
  }

  // ---- snapshots ----

  @Test
  void snapshotIsConsistentWhileControllersWrite() throws Exception {
    SimWorld world = busyWorld(511);
    // The controllers keep writing while the snapshot is read page by page.
    StateServiceCaller storeWithConcurrentWrites =
        (method, path, body) -> {
          world.run(400);
          return storeOf(world.state()).call(method, path, body);
        };
    StoredRecords snapshot = StoredRecords.read(storeWithConcurrentWrites);
    StoredRecords current = StoredRecords.read(storeOf(world.state()));
    assertEquals(current.revision(), snapshot.revision());
    assertEquals(current.byKey(), snapshot.byKey());
    assertEquals(snapshot, Snapshot.read(new ByteArrayInputStream(snapshotBytes(snapshot))));
  }

  static Stream<String> damageKinds() {
    return Stream.of("first byte", "form", "cut", "cut late", "flip early", "flip late", "more");
  }

  @ParameterizedTest
  @org.junit.jupiter.params.provider.MethodSource("damageKinds")
  void damagedSnapshotIsRefused(String damage) throws Exception {
    byte[] intact = snapshotBytes(StoredRecords.read(storeOf(busyWorld(512).state())));
    byte[] damaged = intact.clone();
    switch (damage) {
      case "first byte" -> damaged[0]++;
      case "form" -> damaged[7] = 9;
      case "cut" -> damaged = Arrays.copyOf(intact, 40);
      case "cut late" -> damaged = Arrays.copyOf(intact, intact.length - 9);
      case "flip early" -> damaged[60] ^= 4;
      case "flip late" -> damaged[intact.length - 30] ^= 1;
      default -> damaged = Arrays.copyOf(intact, intact.length + 5);
    }
    byte[] file = damaged;
    Snapshot.CorruptSnapshotException e =
        assertThrows(
            Snapshot.CorruptSnapshotException.class,
            () -> Snapshot.read(new ByteArrayInputStream(file)));
    String expectedText =
        damage.equals("form") ? "form 9" : damage.equals("first byte") ? "no snapshot" : " at ";
    assertTrue(e.getMessage().contains(expectedText), e.getMessage());
  }

  /**
   * A restore that was interrupted at any step can be resumed. Controllers stay outside until it is
   * complete.
   */
  @Test
  void controllersStayOutUntilARestoreIsComplete() throws Exception {
    StoredRecords records = StoredRecords.read(storeOf(busyWorld(513).state()));
    int interruptions = 0;
    boolean complete = false;
    for (int failAtCommit = 0; !complete; failAtCommit++) {
      SimWorld world = new SimWorld(514, 4, 30, "aab", 40);
      world.nodes.forEach(world::kill);
      world.cloud.nextMachineNumber = 1000;
      int[] commitsLeft = {failAtCommit};
      StateServiceCaller failing =
          (method, path, body) -> {
            if (path.equals("/commit") && commitsLeft[0]-- == 0) {
              throw new StateServiceCaller.UnavailableException("interrupted");
            }
            return storeOf(world.state()).call(method, path, body);
          };
      try {
        new Restore(failing, world.stateServiceLimits()).run(records);
        complete = true;
      } catch (StateServiceCaller.UnavailableException e) {
        interruptions++;
        if (failAtCommit % 3 == 1) {
          world.nodes.forEach(world::startNode);
          world.run(5000);
          world.nodes.forEach(n -> assertTrue(world.tables(n).blockedReason() != null, n));
          world.nodes.forEach(world::kill);
        }
        new Restore(storeOf(world.state()), world.stateServiceLimits()).run(records);
      }
      assertThrows(
          Restore.RestoreRefusedException.class,
          () -> new Restore(storeOf(world.state()), world.stateServiceLimits()).run(records));
      for (String key : world.state().keys()) {
        if (Job.isChunkKey(key)) {
          // The tasks that ran have ended with their workers' leases.
          Object value = MessageCodec.decode(MessageCodec.encode(world.state().value(key)));
          assertEquals(List.of(), Encoding.decode(value, Encoding.NUMBERED).list("live"), key);
        }
      }
      assertClusterContinues(world, records);
    }
    assertTrue(interruptions > 3, "interrupted restores: " + interruptions);
  }

  /** Starts the controllers on restored records and asserts that jobs continue under new epochs. */
  private static void assertClusterContinues(SimWorld world, StoredRecords restored)
      throws BadMessage {
    int openJobs = 0;
    for (Map.Entry<String, StoredRecords.StoredValue> e : restored.byKey().entrySet()) {
      if (e.getKey().startsWith("w/j/")) {
        Document spec = Document.of(Document.of(e.getValue().value()).raw("spec"));
        world.users.registerSpec(new TreeMap<>(spec.fieldsExcept()));
        openJobs++;
      }
    }
    assertTrue(openJobs > 5);
    world.nodes.forEach(world::startNode);
    world.run(6000);
    assertEquals(List.of(), world.violations());
    world.nodes.forEach(n -> assertNull(world.tables(n).blockedReason(), n));
    assertTrue(world.epoch("n0") > 10_000_000);
    assertNull(world.describeDivergence());
    world.run(20_000);
    assertTrue(world.startCount() > 0);
    assertEquals(List.of(), world.violations());
  }

  // ---- state check ----

  @ParameterizedTest
  @CsvSource({
    "w/x/1, 1, nobody here knows",
    "w/v, 3, form 3 is newer",
    "w/p/n1, 2, is of epoch",
    "w/c/0, 1, first list gives the number",
    "w/c/9, 1, has the number",
    "w/c/done, 1, which is not in force",
    "w/d/req-000008, 1, says that it is over",
    "w/l/n9/0000000001, 2, unknown kind"
  })
  void contradictoryRecordIsReported(String key, int encodingVersion, String expectedReason)
      throws Exception {
    SimWorld world = busyWorld(521);
    StateServiceCaller store = storeOf(world.state());
    assertEquals(
        0,
        StateCheck.check(StoredRecords.read(store), LevelRange.BUILD).stream()
            .filter(StateCheck.Finding::isError)
            .count());
    Map<String, Object> fields = new TreeMap<>();
    fields.put("name", "n1");
    fields.put("peers", List.of("n1"));
    fields.put("level", 7L);
    fields.put("epoch", 10_000L);
    fields.put("phase", "done");
    fields.put("g", List.of(List.of(0L, List.of(List.of("z", "req-000008")))));
    world.state().forceWrite(key, Encoding.wrap(encodingVersion, fields));
    List<StateCheck.Finding> findings =
        StateCheck.check(StoredRecords.read(store), LevelRange.BUILD);
    assertTrue(
        findings.stream().anyMatch(f -> f.isError() && f.reason().contains(expectedReason)),
        findings.toString());
  }

  /** The check for a build of fewer levels reports that it can't read the state of this build. */
  @Test
  void checkReportsThatABuildOfFewerLevelsCannotReadTheState() throws Exception {
    List<StateCheck.Finding> findings =
        StateCheck.check(StoredRecords.read(storeOf(busyWorld(522).state())), LevelRange.FIRST);
    assertTrue(
        findings.get(0).isError() && findings.get(0).reason().contains("this build speaks 1 to 1"));
  }

  // ---- the command line, over real sockets ----

  /** Runs commands in process against the simulated state service, and keeps their output. */
  private static final class CommandRunner implements AutoCloseable {
    final SimStateService state;
    final EventLoop loop = new EventLoop();
    final Channel server;
    final Path config;
    String standardOutput;
    String standardError;

    CommandRunner(SimWorld world, Path dir) throws Exception {
      this.state = world.state();
      server =
          new HttpServer(loop.group(), 16, this::serve)
              .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      int port = ((InetSocketAddress) server.localAddress()).getPort();
      config = dir.resolve("settings.toml");
      Files.writeString(config, world.settingsText("n0", "127.0.0.1:" + port));
    }

    private void serve(Exchange exchange) {
      state.serve(
          "operator",
          exchange.method(),
          exchange.path(),
          exchange.body(),
          answer -> {
            try {
              exchange.reply(answer.status(), MessageCodec.decode(answer.body()));
            } catch (BadMessage e) {
              throw new AssertionError(e);
            }
          });
    }

    int run(Object command, String... args) {
      StringWriter outWriter = new StringWriter();
      StringWriter errWriter = new StringWriter();
      List<String> arguments = new ArrayList<>(List.of(args));
      arguments.add(1, "--config");
      arguments.add(2, config.toString());
      int exitCode =
          new CommandLine(command)
              .setOut(new PrintWriter(outWriter))
              .setErr(new PrintWriter(errWriter))
              .execute(arguments.toArray(new String[0]));
      standardOutput = outWriter.toString();
      standardError = errWriter.toString();
      return exitCode;
    }

    @Override
    public void close() {
      server.close().syncUninterruptibly();
      loop.group().shutdownGracefully(0, 10, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void operatorCommandsReportResultsAndExitCodes(@TempDir Path dir) throws Exception {
    SimWorld world = busyWorld(531);
    try (CommandRunner runner = new CommandRunner(world, dir)) {
      assertEquals(0, runner.run(new StateCommand(), "check"));
      assertEquals(1, runner.run(new StateCommand(), "check", "--levels", "1-1"));
      assertEquals(2, runner.run(new StateCommand(), "check", "--levels", "2-1"));
      assertEquals(0, runner.run(new LevelCommand(), "show"));
      assertTrue(
          runner.standardOutput.contains("level " + LevelRange.BUILD.max() + " is in force"),
          runner.standardOutput);
      assertTrue(runner.standardOutput.contains("gate numbers: open"), runner.standardOutput);
      assertEquals(0, runner.run(new LevelCommand(), "show", "--json"));
      assertTrue(
          runner.standardOutput.contains("\"level\": " + LevelRange.BUILD.max()),
          runner.standardOutput);
      assertEquals(1, runner.run(new LevelCommand(), "hold", "numbers"));
      assertTrue(runner.standardError.contains("is open"), runner.standardError);
      assertEquals(2, runner.run(new LevelCommand(), "hold", "nonsense"));
      assertTrue(runner.standardError.contains("there are: numbers"), runner.standardError);
      assertEquals(2, runner.run(new LevelCommand(), "release", "numbers"));
      assertEquals(1, runner.run(new LevelCommand(), "without", "n1"));
      assertEquals(2, runner.run(new LevelCommand(), "without", "n7"));
      world.kill("n1");
      world.run(8000);
      assertEquals(0, runner.run(new LevelCommand(), "without", "n1"));
      world.run(1000);
      assertEquals(List.of("n1"), world.tables("n0").registry().overrides().ignoredNodes());
      assertEquals(0, runner.run(new LevelCommand(), "without", "n1", "--undo"));
      String file = dir.resolve("kept").toString();
      assertEquals(0, runner.run(new StateCommand(), "dump", file));
      assertEquals(1, runner.run(new StateCommand(), "restore", file));
      assertTrue(runner.standardError.contains("not empty"), runner.standardError);
      assertEquals(4, runner.run(new StateCommand(), "restore", file + "x"));
      assertEquals(4, runner.run(new StateCommand(), "dump", dir.resolve("no/where").toString()));
      Files.write(Path.of(file), new byte[] {1, 2, 3});
      assertEquals(4, runner.run(new StateCommand(), "restore", file));
      assertTrue(runner.standardError.contains("no snapshot"), runner.standardError);
      world.state().setOutage(true);
      assertEquals(3, runner.run(new StateCommand(), "check", "--wait", "0.5"));
      assertEquals(1, runner.standardError.lines().count(), runner.standardError);
      assertEquals(2, runner.run(new StateCommand(), "check", "--wait", "0"));
    }
  }
}
