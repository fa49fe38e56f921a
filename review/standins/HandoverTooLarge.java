import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;

/**
 * Jobs that await many others become ready at once, after a burst of jobs has filled the zone that
 * had most room when they were accepted.
 */
final class HandoverTooLarge {
  private static final int FIRST_STAGE = 360;
  private static final int SECOND_STAGE = 80;

  /** A job may wait for this long beside room, once all troubles are over. */
  private static final long BOUND_MS = 90_000;

  public static void main(String[] args) throws Exception {
    Case.main(args[0], HandoverTooLarge::run);
  }

  /** Submits jobs at a steady pace and waits until all of them are accepted. */
  private static void submitAll(World world, List<Map<String, Object>> jobs, long gapMs, String what)
      throws Exception {
    List<Future<Integer>> pending = new ArrayList<>();
    for (Map<String, Object> job : jobs) {
      int first = pending.size();
      pending.add(Net.POOL.submit(() -> world.submit(job, first)));
      Thread.sleep(gapMs);
    }
    for (int i = 0; i < jobs.size(); i++) {
      int status = pending.get(i).get();
      if (status != 201 && status != 200) {
        throw new Case.CouldNotRun(jobs.get(i).get("ref") + " was not accepted: " + status);
      }
    }
    world.record(what + ": " + jobs.size() + " jobs accepted");
  }

  private static int countPhase(World world, List<Map<String, Object>> jobs, String phase, int from)
      throws Exception {
    int count = 0;
    for (int i = 0; i < jobs.size(); i++) {
      String path = "/api/jobs/" + jobs.get(i).get("ref");
      Net.Answer answer = world.ask(world.nodes.get((from + i) % 3), "GET", path, null);
      count += answer.status() == 200 && phase.equals(answer.field("phase")) ? 1 : 0;
    }
    return count;
  }

  private static String run(World world) throws Exception {
    world.type = new World.MachineType("jodla-32", 32, 4, 128, 1.0, 35);
    world.zones = List.of("warszawa-a", "warszawa-b");
    world.reportS = 6;
    world.leaseS = 28;
    world.capacity = 18;
    world.state = new StateService(250, 100, 32, 16);
    world.configure(List.of("warszawa-a", "warszawa-b", "warszawa-a"), Settings.rejestr());
    for (int i = 0; i < 18; i++) {
      world.boot(i % 3 == 0 ? "warszawa-a" : "warszawa-b", false, 0);
    }
    Case.startAll(world);
    List<Map<String, Object>> first = new ArrayList<>();
    for (int k = 0; k < FIRST_STAGE; k++) {
      Map<String, Object> job = World.job(1000 + k, "batch", 1, 0.25, 0, 0.9, 1);
      job.put("region", "warszawa-a");
      first.add(job);
    }
    submitAll(world, first, 13, "first stage");
    List<Map<String, Object>> second = new ArrayList<>();
    for (int k = 0; k < SECOND_STAGE; k++) {
      Map<String, Object> job = World.job(5000 + k, "batch", 1, 0.25, 0, 0.9, 3);
      job.put("bundle", "img-02");
      job.put("awaits", Case.names(1000, 1000 + FIRST_STAGE));
      second.add(job);
    }
    submitAll(world, second, 15, "second stage");
    if (Case.TROUBLE) {
      List<Map<String, Object>> burst = new ArrayList<>();
      for (int k = 0; k < 24; k++) {
        Map<String, Object> job = World.job(9000 + k, "batch", 16, 1, 0, 3.6, 300);
        job.put("region", "warszawa-b");
        job.put("rank", "urgent");
        burst.add(job);
      }
      submitAll(world, burst, 20, "burst of jobs in warszawa-b");
    }
    // The second stage may start once all tasks of the first are completed.
    long untilMs = World.nowMs() + 25_000;
    while (world.doneCount() < FIRST_STAGE) {
      if (World.nowMs() > untilMs) {
        throw new Case.CouldNotRun("the first stage took too long");
      }
      Thread.sleep(100);
    }
    long readyMs = World.nowMs();
    world.record("the last task of the first stage is completed");
    while (World.nowMs() - readyMs < BOUND_MS) {
      int firstDone = countPhase(world, first.subList(FIRST_STAGE - 10, FIRST_STAGE), "done", 0);
      int secondDone = countPhase(world, second.subList(0, 10), "done", 1);
      world.record(
          "done: "
              + firstDone
              + " of the last 10 jobs of the first stage, "
              + secondDone
              + " of the first 10 of the second; transactions refused as too large: "
              + world.state.refusedForSize
              + ", largest "
              + world.state.largestRefused
              + " bytes as JSON");
      if (secondDone == 10 && countPhase(world, second, "done", 0) == SECOND_STAGE) {
        return null;
      }
      Thread.sleep(2500);
    }
    int pending = countPhase(world, second, "pending", 0);
    int running = world.runningCount("");
    world.record(
        "second stage: " + pending + " of " + SECOND_STAGE + " jobs are pending; tasks on machines of "
            + "warszawa-a: "
            + world.runningIn("warszawa-a")
            + ", which has room for 768 such tasks; tasks on machines in all: "
            + running);
    return pending > 0 && world.runningIn("warszawa-a") == 0
        ? pending
            + " of "
            + SECOND_STAGE
            + " accepted jobs still wait "
            + (World.nowMs() - readyMs) / 1000
            + " s after they could start, beside 6 empty machines"
        : null;
  }
}
