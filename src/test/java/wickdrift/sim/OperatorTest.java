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

/** Stored state of other builds and other days: read, looked through, kept and put back. */
class OperatorTest {
  /** The simulated state service, asked from outside. */
  private static StateServiceCaller store(SimState state) {
    return (method, path, body) -> {
      Response[] got = new Response[1];
      state.serve("operator", method, path, body, a -> got[0] = a);
      return got[0];
    };
  }

  private static SimWorld busy(long seed) {
    SimWorld w = new SimWorld(seed, 8, 30, "aab", 40);
    load(w, 30);
    return w;
  }

  private static void load(SimWorld w, int jobs) {
    for (int i = 0; i < jobs; i++) {
      int n = i;
      String shape = i % 8 == 0 ? "daemon" : i % 5 < 2 ? "ensemble" : "batch";
      w.clock.after(
          i * 700,
          () -> w.users.submit(SimJobs.job(n, shape, 1 + n % 4, 1 + n % 2, 5 + n % 25), 0));
    }
    w.run(25_000);
  }

  private static byte[] written(StoredRecords r) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Snapshot.write(r, out);
    return out.toByteArray();
  }

  // ---- what builds before wrote: the one before levels, and the one before jobs that await ----

  private record Golden(long rev, TreeMap<String, StoredRecords.StoredValue> all, String digest) {
    static Golden read(String build) throws IOException, BadMessage {
      try (InputStream in =
              OperatorTest.class.getResourceAsStream("/golden/" + build + ".msgpack");
          InputStream text = OperatorTest.class.getResourceAsStream("/golden/" + build + ".txt")) {
        Document d = Document.parse(in.readAllBytes());
        TreeMap<String, StoredRecords.StoredValue> all = new TreeMap<>();
        for (Object o : d.list("records")) {
          List<?> l = (List<?>) o;
          all.put((String) l.get(0), new StoredRecords.StoredValue(l.get(1), (Long) l.get(2)));
        }
        return new Golden(
            d.count("rev"), all, new String(text.readAllBytes(), StandardCharsets.UTF_8));
      }
    }
  }

  /** Records that a build before wrote mean to this one what they meant to that one. */
  @ParameterizedTest
  @ValueSource(strings = {"dc24b21", "4175cec"})
  void recordsOfTheBuildBeforeAreReadAsItReadThem(String build) throws Exception {
    Golden g = Golden.read(build);
    Tables t = new Tables(List.of("n0", "n1", "n2"), LevelRange.BUILD, () -> {});
    t.load(new StoredRecords(g.rev, g.all).toChanges(), g.rev);
    assertNull(t.blockedReason());
    StringBuilder b = new StringBuilder(SimWorld.digest(t));
    for (int n = 0; n < 3; n++) {
      b.append("n")
          .append(n)
          .append(' ')
          .append(t.usage().placedBy("vision", n).gpus())
          .append('\n');
    }
    assertEquals(g.digest, b.toString());
    assertEquals(
        0,
        StateCheck.check(new StoredRecords(g.rev, g.all), LevelRange.BUILD).stream()
            .filter(StateCheck.Finding::isError)
            .count());
  }

  /** And this build goes on from them: jobs that were accepted then end once. */
  @ParameterizedTest
  @ValueSource(strings = {"dc24b21", "4175cec"})
  void aStoreOfTheBuildBeforeIsGoneOnWith(String build) throws Exception {
    Golden g = Golden.read(build);
    SimWorld w = new SimWorld(501, 4, 30, "aab", 40);
    w.nodes.forEach(w::kill);
    w.cloud.machineNumber = 1000;
    Map<String, Object> records = new TreeMap<>();
    g.all.forEach((k, i) -> records.put(k, i.value()));
    // The members' leases have ended.
    records.keySet().removeIf(k -> k.startsWith("w/m/"));
    w.state().preload(records, g.rev);
    List<String> open = new ArrayList<>();
    for (Map.Entry<String, Object> e : records.entrySet()) {
      if (e.getKey().startsWith("w/j/")) {
        Document spec = Document.of(Document.of(e.getValue()).raw("spec"));
        w.users.describe(new TreeMap<>(spec.fieldsExcept()));
        if (!spec.text("shape").equals("daemon") && !Document.of(e.getValue()).flag("off")) {
          open.add(spec.text("ref"));
        }
      }
    }
    w.nodes.forEach(w::startNode);
    w.run(240_000);
    assertEquals(LevelRange.BUILD.max(), w.tables("n0").level());
    assertFalse(open.isEmpty());
    for (String id : open) {
      assertTrue(w.state().keys().contains("w/d/" + id), id);
      assertFalse(w.state().keys().contains("w/j/" + id), id);
    }
    assertEquals(List.of(), w.broken());
    assertNull(w.diverged());
    assertTrue(w.state().keys().contains(NodeRegistry.CONVERTED_LEVEL_KEY));
  }

  /**
   * Below its level this build writes what 4175cec wrote: of each kind of record no form, field or
   * entry that the stored example lacks.
   */
  @Test
  void belowTheLevelItWritesWhatTheBuildBeforeWrote() throws Exception {
    Map<String, Set<String>> before = new TreeMap<>();
    for (Map.Entry<String, StoredRecords.StoredValue> e : Golden.read("4175cec").all.entrySet()) {
      shape(e.getKey(), e.getValue().value(), before);
    }
    SimWorld w = new SimWorld(502, 8, 30, "aab", 40);
    w.restartAll(new LevelRange(1, 3), "");
    load(w, 40);
    Map<String, Set<String>> now = new TreeMap<>();
    for (StateServiceClient.Change c : w.state().all()) {
      shape(c.key(), c.value(), now);
    }
    assertTrue(now.size() > 6, "kinds " + now.keySet());
    now.forEach(
        (kind, shapes) -> {
          for (String s : shapes) {
            assertTrue(before.getOrDefault(kind, Set.of()).contains(s), kind + " " + s);
          }
        });
  }

  /** The form and the fields of a record, those of what is in it too, by kind. */
  private static void shape(String key, Object value, Map<String, Set<String>> into)
      throws BadMessage {
    Set<String> all = into.computeIfAbsent(key.substring(0, 3), k -> new TreeSet<>());
    all.add("form " + Encoding.versionOf(value));
    Document d = Encoding.decode(value, 9);
    for (Map.Entry<String, Object> e : d.fieldsExcept().entrySet()) {
      all.add(e.getKey());
      if (e.getKey().equals("spec")) {
        Document.of(e.getValue()).fieldsExcept().keySet().forEach(f -> all.add("spec." + f));
      }
      for (Object run : e.getKey().equals("g") ? (List<?>) e.getValue() : List.of()) {
        for (Object entry : (List<?>) ((List<?>) run).get(1)) {
          // All that 4175cec reads; a stored example of small logs need not hold each.
          if (!Set.of("p", "x", "s", "h", "f").contains(((List<?>) entry).get(0))) {
            all.add("entry " + ((List<?>) entry).get(0));
          }
        }
      }
    }
  }

  // ---- snapshots ----

  @Test
  void aSnapshotHoldsWhatWasThereAtOnce() throws Exception {
    SimWorld w = busy(511);
    // While it is read, page by page, the controllers go on writing.
    StateServiceCaller slow =
        (method, path, body) -> {
          w.run(400);
          return store(w.state()).call(method, path, body);
        };
    StoredRecords r = StoredRecords.read(slow);
    StoredRecords now = StoredRecords.read(store(w.state()));
    assertEquals(now.revision(), r.revision());
    assertEquals(now.byKey(), r.byKey());
    assertEquals(r, Snapshot.read(new ByteArrayInputStream(written(r))));
  }

  static Stream<String> damages() {
    return Stream.of("first byte", "form", "cut", "cut late", "flip early", "flip late", "more");
  }

  @ParameterizedTest
  @org.junit.jupiter.params.provider.MethodSource("damages")
  void aDamagedSnapshotIsRefused(String damage) throws Exception {
    byte[] b = written(StoredRecords.read(store(busy(512).state())));
    byte[] bad = b.clone();
    switch (damage) {
      case "first byte" -> bad[0]++;
      case "form" -> bad[7] = 9;
      case "cut" -> bad = Arrays.copyOf(b, 40);
      case "cut late" -> bad = Arrays.copyOf(b, b.length - 9);
      case "flip early" -> bad[60] ^= 4;
      case "flip late" -> bad[b.length - 30] ^= 1;
      default -> bad = Arrays.copyOf(b, b.length + 5);
    }
    byte[] file = bad;
    Snapshot.CorruptSnapshotException e =
        assertThrows(
            Snapshot.CorruptSnapshotException.class,
            () -> Snapshot.read(new ByteArrayInputStream(file)));
    String wanted =
        damage.equals("form") ? "form 9" : damage.equals("first byte") ? "no snapshot" : " at ";
    assertTrue(e.getMessage().contains(wanted), e.getMessage());
  }

  /** A restore that is interrupted at any step goes on; only a whole one lets controllers in. */
  @Test
  void aRestoreIsWholeOrLetsNobodyIn() throws Exception {
    StoredRecords r = StoredRecords.read(store(busy(513).state()));
    int steps = 0;
    boolean whole = false;
    for (int stop = 0; !whole; stop++) {
      SimWorld w = new SimWorld(514, 4, 30, "aab", 40);
      w.nodes.forEach(w::kill);
      w.cloud.machineNumber = 1000;
      int[] left = {stop};
      StateServiceCaller failing =
          (method, path, body) -> {
            if (path.equals("/commit") && left[0]-- == 0) {
              throw new StateServiceCaller.UnavailableException("interrupted");
            }
            return store(w.state()).call(method, path, body);
          };
      try {
        new Restore(failing, w.limits()).run(r);
        whole = true;
      } catch (StateServiceCaller.UnavailableException e) {
        steps++;
        if (stop % 3 == 1) {
          w.nodes.forEach(w::startNode);
          w.run(5000);
          w.nodes.forEach(n -> assertTrue(w.tables(n).blockedReason() != null, n));
          w.nodes.forEach(w::kill);
        }
        new Restore(store(w.state()), w.limits()).run(r);
      }
      assertThrows(
          Restore.RestoreRefusedException.class,
          () -> new Restore(store(w.state()), w.limits()).run(r));
      for (String key : w.state().keys()) {
        if (Job.isChunkKey(key)) {
          // What ran has ended with its worker's lease.
          Object v = MessageCodec.decode(MessageCodec.encode(w.state().value(key)));
          assertEquals(List.of(), Encoding.decode(v, Encoding.NUMBERED).list("live"), key);
        }
      }
      goesOn(w, r);
    }
    assertTrue(steps > 3, "steps " + steps);
  }

  private static void goesOn(SimWorld w, StoredRecords r) throws BadMessage {
    int open = 0;
    for (Map.Entry<String, StoredRecords.StoredValue> e : r.byKey().entrySet()) {
      if (e.getKey().startsWith("w/j/")) {
        Document spec = Document.of(Document.of(e.getValue().value()).raw("spec"));
        w.users.describe(new TreeMap<>(spec.fieldsExcept()));
        open++;
      }
    }
    assertTrue(open > 5);
    w.nodes.forEach(w::startNode);
    w.run(6000);
    assertEquals(List.of(), w.broken());
    w.nodes.forEach(n -> assertNull(w.tables(n).blockedReason(), n));
    assertTrue(w.epoch("n0") > 10_000_000);
    assertNull(w.diverged());
    w.run(20_000);
    assertTrue(w.starts() > 0);
    assertEquals(List.of(), w.broken());
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
  void whatContradictsItselfIsFound(String key, int form, String why) throws Exception {
    SimWorld w = busy(521);
    StateServiceCaller store = store(w.state());
    assertEquals(
        0,
        StateCheck.check(StoredRecords.read(store), LevelRange.BUILD).stream()
            .filter(StateCheck.Finding::isError)
            .count());
    Map<String, Object> v = new TreeMap<>();
    v.put("name", "n1");
    v.put("peers", List.of("n1"));
    v.put("level", 7L);
    v.put("epoch", 10_000L);
    v.put("phase", "done");
    v.put("g", List.of(List.of(0L, List.of(List.of("z", "req-000008")))));
    w.state().force(key, Encoding.wrap(form, v));
    List<StateCheck.Finding> found = StateCheck.check(StoredRecords.read(store), LevelRange.BUILD);
    assertTrue(
        found.stream().anyMatch(f -> f.isError() && f.reason().contains(why)), found.toString());
  }

  /** A build of fewer levels is told that it can't read what this one wrote. */
  @Test
  void aBuildOfFewerLevelsIsToldSo() throws Exception {
    List<StateCheck.Finding> found =
        StateCheck.check(StoredRecords.read(store(busy(522).state())), LevelRange.FIRST);
    assertTrue(
        found.get(0).isError() && found.get(0).reason().contains("this build speaks 1 to 1"));
  }

  // ---- the command line, over real sockets ----

  private static final class Line implements AutoCloseable {
    final SimState state;
    final EventLoop loop = new EventLoop();
    final Channel server;
    final Path config;
    String out;
    String err;

    Line(SimWorld world, Path dir) throws Exception {
      this.state = world.state();
      server =
          new HttpServer(loop.group(), 16, this::serve)
              .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      int port = ((InetSocketAddress) server.localAddress()).getPort();
      config = dir.resolve("settings.toml");
      Files.writeString(config, world.settingsText("n0", "127.0.0.1:" + port));
    }

    private void serve(Exchange x) {
      state.serve(
          "operator",
          x.method(),
          x.path(),
          x.body(),
          a -> {
            try {
              x.reply(a.status(), MessageCodec.decode(a.body()));
            } catch (BadMessage e) {
              throw new AssertionError(e);
            }
          });
    }

    int run(Object command, String... args) {
      StringWriter o = new StringWriter();
      StringWriter e = new StringWriter();
      List<String> all = new ArrayList<>(List.of(args));
      all.add(1, "--config");
      all.add(2, config.toString());
      int code =
          new CommandLine(command)
              .setOut(new PrintWriter(o))
              .setErr(new PrintWriter(e))
              .execute(all.toArray(new String[0]));
      out = o.toString();
      err = e.toString();
      return code;
    }

    @Override
    public void close() {
      server.close().syncUninterruptibly();
      loop.group().shutdownGracefully(0, 10, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
  }

  @Test
  void theCommandsOfOperators(@TempDir Path dir) throws Exception {
    SimWorld w = busy(531);
    try (Line l = new Line(w, dir)) {
      assertEquals(0, l.run(new StateCommand(), "check"));
      assertEquals(1, l.run(new StateCommand(), "check", "--levels", "1-1"));
      assertEquals(2, l.run(new StateCommand(), "check", "--levels", "2-1"));
      assertEquals(0, l.run(new LevelCommand(), "show"));
      assertTrue(l.out.contains("level " + LevelRange.BUILD.max() + " is in force"), l.out);
      assertTrue(l.out.contains("gate numbers: open"), l.out);
      assertEquals(0, l.run(new LevelCommand(), "show", "--json"));
      assertTrue(l.out.contains("\"level\": " + LevelRange.BUILD.max()), l.out);
      assertEquals(1, l.run(new LevelCommand(), "hold", "numbers"));
      assertTrue(l.err.contains("is open"), l.err);
      assertEquals(2, l.run(new LevelCommand(), "hold", "nonsense"));
      assertTrue(l.err.contains("there are: numbers"), l.err);
      assertEquals(2, l.run(new LevelCommand(), "release", "numbers"));
      assertEquals(1, l.run(new LevelCommand(), "without", "n1"));
      assertEquals(2, l.run(new LevelCommand(), "without", "n7"));
      w.kill("n1");
      w.run(8000);
      assertEquals(0, l.run(new LevelCommand(), "without", "n1"));
      w.run(1000);
      assertEquals(List.of("n1"), w.tables("n0").registry().overrides().ignoredNodes());
      assertEquals(0, l.run(new LevelCommand(), "without", "n1", "--undo"));
      String file = dir.resolve("kept").toString();
      assertEquals(0, l.run(new StateCommand(), "dump", file));
      assertEquals(1, l.run(new StateCommand(), "restore", file));
      assertTrue(l.err.contains("not empty"), l.err);
      assertEquals(4, l.run(new StateCommand(), "restore", file + "x"));
      assertEquals(4, l.run(new StateCommand(), "dump", dir.resolve("no/where").toString()));
      Files.write(Path.of(file), new byte[] {1, 2, 3});
      assertEquals(4, l.run(new StateCommand(), "restore", file));
      assertTrue(l.err.contains("no snapshot"), l.err);
      w.state().outage(true);
      assertEquals(3, l.run(new StateCommand(), "check", "--wait", "0.5"));
      assertEquals(1, l.err.lines().count(), l.err);
      assertEquals(2, l.run(new StateCommand(), "check", "--wait", "0"));
    }
  }
}
