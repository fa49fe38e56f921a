import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Controllers are restarted one after the other, and the first one loses the state service for a
 * while as it starts.
 */
final class LostChunk {
  private static final int JOBS = 9;
  private static final int TASKS = 64;

  /** The longest cut of a controller from the state service in the site files. */
  private static final long MAX_CUT_MS = 48_000;

  private static final long BACK_AFTER_MS = 5_000;

  public static void main(String[] args) throws Exception {
    Case.main(args[0], LostChunk::run);
  }

  private static void restart(World world, String node) throws Exception {
    world.record("kill " + node);
    world.process(node).destroyForcibly();
    Thread.sleep(BACK_AFTER_MS);
    world.startNode(node);
  }

  private static String run(World world) throws Exception {
    world.type = new World.MachineType("jodla-32", 32, 4, 128, 1.0, 35);
    world.zones = List.of("warszawa-a", "warszawa-b");
    world.reportS = 6;
    world.leaseS = 28;
    world.capacity = 48;
    world.state = new StateService(250, 100, 32, 16);
    world.configure(List.of("warszawa-a", "warszawa-b", "warszawa-a"), Settings.rejestr());
    for (int i = 0; i < 48; i++) {
      world.boot(world.zones.get(i % 2), false, 0);
    }
    // The first controller leads.
    world.startNode("wick-0");
    if (!world.awaitUp("wick-0", 20_000)) {
      throw new Case.CouldNotRun("wick-0 did not come up");
    }
    world.startNode("wick-1");
    world.startNode("wick-2");
    if (!world.awaitUp("wick-1", 20_000) || !world.awaitUp("wick-2", 20_000)) {
      throw new Case.CouldNotRun("a controller did not come up");
    }
    Thread.sleep(1500);
    Map<String, Object> array = World.job(1, "batch", 25_000, 0.25, 0, 0.9, 4);
    array.put("rank", "idle");
    world.record("submission of the large array: " + world.submit(array, 0));
    Thread.sleep(3000);
    // The roll begins: wick-1 ends and comes back, and loses the state service as it reads the
    // stored state.
    Net.Proxy link = world.stateLinks.get("wick-1");
    AtomicBoolean armed = new AtomicBoolean(Case.TROUBLE);
    world.state.onRequest =
        (node, path) -> {
          if (node.equals("wick-1")
              && path.startsWith("/store?prefix=w/m/")
              && armed.compareAndSet(true, false)) {
            link.setCut(true);
            world.record("wick-1 is cut from the state service");
          }
        };
    restart(world, "wick-1");
    long startedMs = World.nowMs();
    while (armed.get() && World.nowMs() - startedMs < 10_000) {
      Thread.sleep(5);
    }
    long cutMs = World.nowMs();
    Set<String> ids = new HashSet<>();
    for (int k = 0; k < JOBS; k++) {
      Map<String, Object> job = World.job(900_000 + k, "batch", TASKS, 0.25, 0, 0.9, 300);
      int status = world.submit(job, k % 2 * 2);
      world.record("submission of " + job.get("ref") + ": " + status);
      ids.add((String) job.get("ref"));
    }
    // Until the state service holds records of the tasks' states.
    long cutForMs = Case.TROUBLE ? MAX_CUT_MS - 2000 : 20_000;
    while (World.nowMs() - cutMs < cutForMs && chunks(world, ids).size() < 6) {
      Thread.sleep(250);
    }
    world.record("records of task states: " + chunks(world, ids));
    if (Case.TROUBLE && chunks(world, ids).isEmpty()) {
      throw new Case.CouldNotRun("no record of the tasks' states was stored during the cut");
    }
    link.setCut(false);
    world.record("the cut is over after " + (World.nowMs() - cutMs) + " ms");
    if (!world.awaitUp("wick-1", 10_000)) {
      throw new Case.CouldNotRun("wick-1 did not come up");
    }
    Thread.sleep(3000);
    // The roll goes on.
    for (String node : List.of("wick-0", "wick-2")) {
      restart(world, node);
      world.awaitUp(node, 10_000);
      world.record("records of task states: " + chunks(world, ids));
      Thread.sleep(9000);
    }
    // A controller that comes back places nothing for a report interval.
    long rolledMs = World.nowMs();
    while (world.ranTwice.isEmpty() && World.nowMs() - rolledMs < 30_000) {
      Thread.sleep(200);
    }
    Thread.sleep(2000);
    synchronized (world.ranTwice) {
      return world.ranTwice.isEmpty()
          ? null
          : world.ranTwice.size() + " tasks ran twice, first " + world.ranTwice.get(0);
    }
  }

  private static List<String> chunks(World world, Set<String> ids) {
    List<String> found = new ArrayList<>();
    ids.forEach(id -> found.addAll(world.state.keys("w/t/" + id + "/")));
    return found;
  }
}
