package wickdrift.sim;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.transport.Caller.Response;

/**
 * Real controller processes of two builds on loopback, against this project's own state service,
 * cloud, workers and users in one process and real time: rolled forward, back and forward again
 * under load, with kills; then the older build is started once more, to see that it is kept out.
 * Not a part of CI: it takes some five minutes. See {@code docs/operations-rollout.md}.
 *
 * <p>Arguments: the older jar, the newer jar, a folder for settings and logs; {@code --same} rolls
 * the newer build only, for comparison.
 */
public final class Loopback {
  private static final int NODES = 3;
  private static final long STEP_MS = 9000;

  /** The first job of the chains. */
  private static final int CHAINS = 2000;

  private static final List<String> NAMES = List.of("n0", "n1", "n2");

  private final LoopbackStage stage;
  private final SimWorld world;
  private final Map<String, Integer> seenOn = new HashMap<>();
  private double lostReplicaS;
  private double replicaS;
  private int kills;

  private Loopback(Path dir) throws Exception {
    stage = new LoopbackStage(new SimSetup(7, 10, 30).controllers("aab"), dir);
    world = stage.world;
    world.next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 40.0";
    stage.awaitPorts();
  }

  private <T> T ask(Supplier<T> what) throws Exception {
    return stage.ask(what);
  }

  // ---- processes ----

  private void start(String node, Path jar) throws Exception {
    stage.start(node, jar);
  }

  private void end(String node, boolean orderly) throws Exception {
    long at = System.nanoTime();
    kills += orderly ? 0 : 1;
    stage.process(node).end(orderly);
    say(
        "%s %s after %d ms",
        node, orderly ? "ended" : "killed", (System.nanoTime() - at) / 1_000_000);
  }

  private void replace(String node, Path jar, boolean orderly) throws Exception {
    end(node, orderly);
    start(node, jar);
    rest(STEP_MS);
    say("%s runs %s; level %d", node, jar.getFileName(), level());
  }

  private static void say(String form, Object... of) {
    System.out.printf(form + "%n", of);
  }

  private void rest(long ms) throws InterruptedException {
    Thread.sleep(ms);
  }

  private int level() throws Exception {
    return ask(() -> stage.stored().level());
  }

  // ---- load and what is measured ----

  private void load(int jobs, long forMs) throws Exception {
    ask(
        () -> {
          for (int i = 0; i < jobs; i++) {
            int n = i;
            String shape = i < 8 ? "daemon" : i % 3 == 0 ? "ensemble" : "batch";
            world.clock.after(
                i < 8 ? 0 : (long) (forMs * (double) i / jobs),
                () ->
                    world.users.submit(SimJobs.job(n, shape, 1 + n % 3, 1 + n % 2, 2 + n % 12), 0));
          }
          watchReplicas();
          return null;
        });
  }

  /** Replicas that were up and are not: what a rollout may not cost. */
  private void watchReplicas() {
    world.clock.after(250, this::watchReplicas);
    for (int j = 0; j < 8; j++) {
      for (int i = 0; i < 1 + j % 3; i++) {
        String task = String.format("req-%06d/%d", j, i);
        boolean on = world.rules.isOn(task);
        if (on || seenOn.containsKey(task)) {
          seenOn.put(task, 1);
          replicaS += 0.25;
          lostReplicaS += on ? 0 : 0.25;
        }
      }
    }
  }

  private int status(String node, String method, String path, byte[] body) throws Exception {
    CompletableFuture<Response> got = new CompletableFuture<>();
    stage.loop.execute(
        () -> world.net.outside.get(node).call(node, method, path, body, 3000, got::complete));
    return got.get(5, TimeUnit.SECONDS).status();
  }

  private boolean done(int jobs) throws Exception {
    for (int i = 8; i < jobs; i++) {
      String id = String.format("req-%06d", i);
      if (!"done".equals(ask(() -> world.lastTold(id)))) {
        say("not done: %s is %s", id, ask(() -> world.lastTold(id)));
        return false;
      }
    }
    return true;
  }

  private boolean play(Path old, Path next, boolean same) throws Exception {
    int jobs = 160;
    for (String n : NAMES) {
      start(n, same ? next : old);
    }
    rest(5000);
    load(jobs, same ? 60_000 : 150_000);
    rest(8000);
    List<String> wrong = new ArrayList<>();
    if (same) {
      for (String n : NAMES) {
        replace(n, next, true);
      }
    } else {
      replace("n0", next, false);
      replace("n2", next, true);
      replace("n2", old, true);
      replace("n0", old, true);
      replace("n1", next, true);
      end("n2", false);
      start("n2", old);
      rest(STEP_MS);
      replace("n0", next, true);
      if (level() == LevelRange.BUILD.max()) {
        wrong.add("the level rose while n2 ran the older build");
      }
      replace("n2", next, false);
      if (level() != LevelRange.BUILD.max()) {
        wrong.add("the level did not rise");
      }
      pipelines();
      keptOut(old, next, wrong);
      replace("n1", next, false);
    }
    rest(30_000);
    for (int i = 0; i < 50 && !done(jobs); i++) {
      rest(5000);
    }
    for (int i = CHAINS; !same && i < CHAINS + 12 * 4; i++) {
      String id = String.format("req-%06d", i);
      String wanted = i < CHAINS + 4 ? "withdrawn" : "done";
      if (!wanted.equals(ask(() -> world.lastTold(id)))) {
        wrong.add(id + " of a chain is " + ask(() -> world.lastTold(id)));
      }
    }
    if (!done(jobs)) {
      wrong.add("a job did not end");
    }
    wrong.addAll(ask(world::broken));
    say(
        "replicas lost %.1f s of %.0f s (%.3f%%); submissions refused %d; tasks killed by leases %d;"
            + " kills %d; starts %d",
        lostReplicaS,
        replicaS,
        100 * lostReplicaS / replicaS,
        world.users.refusedSubmissions,
        ask(world::killedByLease),
        kills,
        world.starts());
    wrong.forEach(w -> say("WRONG: %s", w));
    return wrong.isEmpty();
  }

  /**
   * Once all have the newer build: twelve chains of four, the first of them cancelled, and the
   * state service falls to its next limits.
   */
  private void pipelines() throws Exception {
    ask(
        () -> {
          world.state().fall(2, 4, 40);
          for (int i = 0; i < 12 * 4; i++) {
            String shape = i % 4 == 2 ? "ensemble" : "batch";
            Map<String, Object> job = SimJobs.job(CHAINS + i, shape, 1 + i % 3, 1, 3);
            if (i % 4 > 0) {
              SimJobs.awaiting(job, CHAINS + i - 1);
            }
            long off = i == 0 ? 500 : 0;
            world.clock.after(2500L * (i / 4), () -> world.users.submitChained(job, off));
          }
          return null;
        });
  }

  /** The older build is started after the switch, as an operator might who does not know of it. */
  private void keptOut(Path old, Path next, List<String> wrong) throws Exception {
    end("n1", true);
    long[] commits = new long[1];
    List<String> wrote = new ArrayList<>();
    ask(
        () -> {
          world.state().fate =
              (from, d) -> {
                try {
                  for (var t : d.documents("then")) {
                    String key = t.textOrNull("write");
                    if (key != null && key.equals("w/m/n1")) {
                      wrote.add(key);
                    }
                  }
                } catch (BadMessage e) {
                  wrote.add("malformed");
                }
                commits[0]++;
                return SimState.Fate.APPLIED;
              };
          return null;
        });
    start("n1", old);
    rest(12_000);
    byte[] job = ask(() -> world.users.describe(SimJobs.job(900, "batch", 1, 1, 2)));
    Map<String, Integer> got = new TreeMap<>();
    got.put("up", status("n1", "GET", "/up", null));
    got.put("submit", status("n1", "POST", "/api/jobs", job));
    got.put("poll", status("n1", "GET", "/api/jobs/req-000010", null));
    say("the older build after the switch answers %s and wrote %s", got, wrote);
    got.forEach(
        (what, code) -> {
          if (code != 503) {
            wrong.add("the older build answers " + what + " with " + code);
          }
        });
    if (!wrote.isEmpty()) {
      wrong.add("the older build wrote " + wrote);
    }
    end("n1", false);
    start("n1", next);
    rest(STEP_MS);
  }

  /** Plays one rollout with real processes. */
  public static void main(String[] args) throws Exception {
    Path old = Path.of(args[0]).toAbsolutePath();
    Path next = Path.of(args[1]).toAbsolutePath();
    boolean same = args.length > 3 && args[3].equals("--same");
    Path dir = Files.createDirectories(Path.of(args[2]));
    Loopback l = new Loopback(dir);
    boolean ok = false;
    try {
      ok = l.play(old, next, same);
    } finally {
      l.stage.close();
    }
    say(ok ? "no rule broken, every accepted job ended once" : "FAILED");
    System.exit(ok ? 0 : 1);
  }
}
