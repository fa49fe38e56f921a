import java.util.Map;

/** A gang of 64 tasks is accepted after the state service has lowered its limits. */
final class GangAfterLowerLimits {
  private static final int TASKS = 64;

  /** The page allows 90 s of waiting beside room. */
  private static final long BOUND_MS = 90_000;

  public static void main(String[] args) throws Exception {
    Case.main(args[0], GangAfterLowerLimits::run);
  }

  private static String run(World world) throws Exception {
    world.type = new World.MachineType("iroko-64", 64, 8, 256, 1.0, 45);
    world.zones = java.util.List.of("lagos-1", "abuja-1");
    world.reportS = 2.5;
    world.leaseS = 16;
    world.gangWaitS = 45;
    world.state = new StateService(120, 25, 4, 8);
    world.configure(
        java.util.List.of("lagos-1", "abuja-1", "lagos-1"), Settings.ajose(Case.TROUBLE));
    for (int i = 0; i < 20; i++) {
      world.boot(world.zones.get(i % 2), false, 0);
    }
    Case.startAll(world);
    Thread.sleep(6000);
    if (Case.TROUBLE) {
      world.state.lowerLimits(18, 2, 4);
      world.record("the state service lowers its limits: 18 changes a second, 2 KiB, 4 changes");
    }
    // Shows that the deployment serves: a gang of 4 tasks, as in the site file.
    Map<String, Object> small = World.job(1, "ensemble", 4, 2, 0, 6.4, 5);
    Map<String, Object> large = World.job(2, "ensemble", TASKS, 5, 1, 19, 10);
    int smallStatus = world.submit(small, 0);
    int largeStatus = world.submit(large, 1);
    long acceptedMs = World.nowMs();
    world.record("submissions: small " + smallStatus + ", large " + largeStatus);
    if (smallStatus != 201 || largeStatus != 201) {
      throw new Case.CouldNotRun("a submission was not accepted");
    }
    String smallPhase = "pending";
    String largePhase = "pending";
    for (int i = 0; World.nowMs() - acceptedMs < BOUND_MS + 1000; i++) {
      Thread.sleep(2500);
      String node = world.nodes.get(i % 3);
      Net.Answer first = world.ask(node, "GET", "/api/jobs/req-000001", null);
      Net.Answer second = world.ask(node, "GET", "/api/jobs/req-000002", null);
      smallPhase = first.status() == 200 ? (String) first.field("phase") : smallPhase;
      largePhase = second.status() == 200 ? (String) second.field("phase") : largePhase;
      world.record(
          node
              + " says: small "
              + first.status()
              + " "
              + smallPhase
              + ", large "
              + second.status()
              + " "
              + largePhase
              + "; tasks of the large gang on machines "
              + world.runningCount("req-000002"));
      if (largePhase.equals("done")) {
        break;
      }
    }
    if (!smallPhase.equals("done")) {
      throw new Case.CouldNotRun("the gang of 4 tasks did not run either");
    }
    world.record("state service: refused for size " + world.state.refusedForSize);
    return largePhase.equals("pending")
        ? "accepted gang of "
            + TASKS
            + " tasks still pending "
            + (World.nowMs() - acceptedMs) / 1000
            + " s after its acceptance, with 20 idle machines that hold 160 such tasks"
        : null;
  }
}
