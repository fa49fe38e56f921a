import java.util.List;

/** What all cases share: the switch for the disruption, the time limit and the exit code. */
final class Case {
  /** Whether the disruption takes place. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long TIME_LIMIT_MS = 118_000;

  private Case() {}

  /** The body of a case: returns how the rule was broken, or null if it held. */
  interface Body {
    String run(World world) throws Exception;
  }

  /** Thrown when the case could not run. */
  static final class CouldNotRun extends Exception {
    CouldNotRun(String why) {
      super(why);
    }
  }

  static void main(String recordPath, Body body) throws Exception {
    World world = new World(java.nio.file.Path.of(recordPath));
    Thread watchdog =
        new Thread(
            () -> {
              try {
                Thread.sleep(TIME_LIMIT_MS);
              } catch (InterruptedException e) {
                return;
              }
              end(world, 2, "the case took too long");
            });
    watchdog.setDaemon(true);
    watchdog.start();
    try {
      String broken = body.run(world);
      end(world, broken == null ? 0 : 1, broken == null ? "the rule held" : "BROKEN: " + broken);
    } catch (Throwable e) {
      e.printStackTrace();
      end(world, 2, "could not run: " + e);
    }
  }

  private static void end(World world, int code, String line) {
    world.record("exit " + code + ": " + line);
    System.out.println((TROUBLE ? "with" : "without") + " the disruption: " + line);
    world.close();
    Runtime.getRuntime().halt(code);
  }

  /** Starts all controllers and waits until they are up. */
  static void startAll(World world) throws Exception {
    for (String node : world.nodes) {
      world.startNode(node);
    }
    for (String node : world.nodes) {
      if (!world.awaitUp(node, 20_000)) {
        throw new CouldNotRun(node + " did not come up");
      }
    }
  }

  static List<String> names(int from, int to) {
    return java.util.stream.IntStream.range(from, to)
        .mapToObj(i -> String.format("req-%06d", i))
        .toList();
  }
}
