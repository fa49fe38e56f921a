package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * The user load of a soak: short and long one-task jobs, arrays, gangs and services of two teams
 * that reach their limits, withdrawals at any time and around the end of a task, repeated
 * submissions, and polls for jobs that nobody has submitted.
 */
final class SoakLoad {
  /** Numbers from here on are never submitted. */
  private static final int FIRST_UNKNOWN_JOB = 900_000;

  /** With more workers than this the submission rate grows in proportion to their number. */
  private static final double WORKERS_AT_BASE_RATE = 16;

  private static final long MEAN_JOB_INTERVAL_MS = 140;
  private static final long EXTRA_REQUEST_INTERVAL_MS = 2500;

  private final SimWorld world;
  private final Random random;
  private final Map<String, Map<String, Object>> submitted = new HashMap<>();
  private final List<String> services = new ArrayList<>();
  private int nextNumber = 1;
  private boolean submitting = true;

  SoakLoad(SimWorld world, Random random) {
    this.world = world;
    this.random = random;
  }

  /** Starts the load, which continues until {@link #close}. */
  void start() {
    if (random.nextBoolean()) {
      world.users.burstPoller = new BurstPoller(world);
    }
    submitNext();
    sendExtraRequests();
  }

  /** Returns how many jobs were submitted. */
  int submittedCount() {
    return submitted.size();
  }

  private void submitNext() {
    if (!submitting) {
      return;
    }
    double rateFactor = Math.max(1, world.workers().size() / WORKERS_AT_BASE_RATE);
    world.clock.after(
        (long) (MEAN_JOB_INTERVAL_MS / rateFactor * 2 * random.nextDouble()), this::submitNext);
    int number = nextNumber++;
    Map<String, Object> job = job(number);
    if (random.nextInt(3) == 0) {
      job.put("owner", "sound");
    }
    String id = (String) job.get("ref");
    submitted.put(id, job);
    boolean service = job.get("shape").equals("daemon");
    if (service) {
      services.add(id);
    }
    world.users.submit(job, withdrawalDelayMs(job, service));
  }

  /** Describes a job of a random kind. */
  private Map<String, Object> job(int number) {
    int kind = random.nextInt(100);
    if (kind < 50) {
      return SimJobs.job(number, "batch", 1, 0.25, 1 + random.nextInt(4));
    }
    if (kind < 65) {
      return SimJobs.job(number, "batch", 2 + random.nextInt(3), 1, 2 + random.nextInt(5));
    }
    if (kind < 80) {
      return SimJobs.job(number, "ensemble", 2, 1 + random.nextInt(2), 3 + random.nextInt(4));
    }
    if (kind < 88) {
      return SimJobs.job(number, "daemon", 2, 1, 0);
    }
    return SimJobs.job(number, "batch", 1, 1, 10 + random.nextInt(6));
  }

  /**
   * Returns how long after its acceptance the job is withdrawn, or 0 for a job that is not.
   * Services are always withdrawn; half of the other withdrawals come around the time when the
   * tasks end.
   */
  private long withdrawalDelayMs(Map<String, Object> job, boolean service) {
    if (service) {
      return 5000 + random.nextInt(10_000);
    }
    if (random.nextInt(5) > 1) {
      return 0;
    }
    long expectedEndMs = (long) ((double) job.get("expectS") * 1000) + 1500;
    return random.nextBoolean() ? 1 + random.nextInt(8000) : expectedEndMs + random.nextInt(800);
  }

  /** Polls for a job that does not exist and repeats the submission of one that was accepted. */
  private void sendExtraRequests() {
    if (!submitting) {
      return;
    }
    world.clock.after(EXTRA_REQUEST_INTERVAL_MS, this::sendExtraRequests);
    String unknown = String.format("req-%06d", FIRST_UNKNOWN_JOB + random.nextInt(1000));
    world.users.poll(
        world.nodes.get(random.nextInt(world.nodes.size())),
        unknown,
        2000,
        answer -> {
          if (answer.status() == 200) {
            world.rules.unknownJobReported(unknown);
          }
        });
    List<String> known = world.users.accepted.stream().sorted().toList();
    if (!known.isEmpty()) {
      String id = known.get(random.nextInt(known.size()));
      world.users.resubmit(id, submitted.get(id));
    }
  }

  /**
   * Withdraws up to {@code jobs} running jobs and returns the workers that have their first tasks.
   */
  List<SimWorker> cancelRunning(int jobs, Random draw) {
    List<SimWorker> affectedWorkers = new ArrayList<>();
    List<String> running =
        world.users.accepted.stream()
            .filter(
                id ->
                    world.rules.isRunning(id + "/0")
                        && !world.users.withdrawalRequested.contains(id))
            .sorted()
            .toList();
    for (int i = 0; i < Math.min(jobs, running.size()); i++) {
      String id = running.get(i);
      String machine = world.rules.machineOf(id + "/0");
      world.workers().stream()
          .filter(worker -> worker.name.equals(machine))
          .forEach(affectedWorkers::add);
      world.users.withdraw(id, world.nodes.get(draw.nextInt(world.nodes.size())));
    }
    return affectedWorkers;
  }

  /** Stops submitting and withdraws all services, so that every job can end. */
  void close() {
    submitting = false;
    for (String id : services) {
      if (world.users.accepted.contains(id) && !world.users.withdrawalRequested.contains(id)) {
        world.users.withdraw(id, world.nodes.get(0));
      }
    }
  }

  /** Returns the accepted jobs that users have not yet been told are in a terminal state. */
  List<String> unfinished() {
    return world.users.accepted.stream()
        .filter(id -> !world.rules.isTerminalStateReported(id))
        .sorted()
        .toList();
  }
}
