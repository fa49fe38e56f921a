import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** A command is held up; its machine fails the task, and is back at once before it arrives. */
final class LateRunAfterReturn {
  /** The page holds commands up for 2 to 16 s. */
  private static final long HELD_MS = 14_000;

  /** The machine is back this long before the command arrives. */
  private static final long BACK_BEFORE_MS = 400;

  private record Held(Worker worker, Map<String, Object> command, long sinceMs) {}

  public static void main(String[] args) throws Exception {
    Case.main(args[0], LateRunAfterReturn::run);
  }

  private static String run(World world) throws Exception {
    world.type = new World.MachineType("iroko-64", 64, 8, 256, 1.0, 45);
    world.zones = List.of("lagos-1", "abuja-1");
    world.reportS = 2.5;
    world.leaseS = 16;
    world.gangWaitS = 45;
    world.recordStarts = true;
    world.state = new StateService(120, 25, 4, 8);
    world.configure(List.of("lagos-1", "abuja-1", "lagos-1"), Settings.ajose());
    for (int i = 0; i < 6; i++) {
      world.boot(world.zones.get(i % 2), false, 0);
    }
    Case.startAll(world);
    Thread.sleep(9000);
    AtomicReference<Held> held = new AtomicReference<>();
    if (Case.TROUBLE) {
      world.holdCommand =
          (worker, command) -> {
            boolean first =
                String.valueOf(command.get("orders")).contains("verb=run")
                    && held.compareAndSet(null, new Held(worker, command, World.nowMs()));
            if (first) {
              worker.sick = true;
              world.record("held up on its way to " + worker.name + ": " + command);
            }
            return first;
          };
    }
    Map<String, Object> job = World.job(1, "batch", 1, 5, 1, 19, 300);
    job.put("pullGb", 0.05);
    world.record("submission: " + world.submit(job, 0));
    if (!Case.TROUBLE) {
      Thread.sleep(25_000);
      return world.ranTwice.isEmpty() ? null : world.ranTwice.get(0);
    }
    long untilMs = World.nowMs() + 15_000;
    while (held.get() == null && World.nowMs() < untilMs) {
      Thread.sleep(20);
    }
    if (held.get() == null) {
      throw new Case.CouldNotRun("no direct command was sent");
    }
    Held command = held.get();
    Thread.sleep(Math.max(0, command.sinceMs + HELD_MS - BACK_BEFORE_MS - World.nowMs()));
    world.record("tasks on machines: " + world.runningCount("req-000001"));
    command.worker.beginAnew();
    world.record(command.worker.name + " is back, its worker counts from one");
    Thread.sleep(Math.max(0, command.sinceMs + HELD_MS - World.nowMs()));
    Net.Answer answer = command.worker.carryOut("/orders", Mp.encode(command.command));
    world.record("the command arrives at " + command.worker.name + ": " + answer.status());
    Thread.sleep(15_000);
    for (int i = 0; i < 3; i++) {
      Net.Answer poll = world.ask(world.nodes.get(i), "GET", "/api/jobs/req-000001", null);
      world.record(world.nodes.get(i) + " says " + poll.status() + " " + poll.field("phase"));
    }
    return world.ranTwice.isEmpty() ? null : world.ranTwice.get(0);
  }
}
