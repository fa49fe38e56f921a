package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Caller.Response;

/**
 * Stand-ins for users: they submit jobs with retries, poll and withdraw them, and pass the answers
 * to {@link SimRules}.
 */
public final class SimUsers {
  private final SimWorld world;

  /** The jobs whose submission was accepted. */
  public final Set<String> accepted = new HashSet<>();

  /** The jobs whose withdrawal was requested. */
  final Set<String> withdrawalRequested = new HashSet<>();

  private final Map<String, Long> firstWithdrawalRequestMs = new HashMap<>();

  /** The longest time from a user's first withdrawal request to its confirmation. */
  long slowestWithdrawalMs;

  /** How many submissions were refused for the time being, or got no answer. */
  int refusedSubmissions;

  /** Polls a job at all nodes whenever users learn something new about it; null: no such polls. */
  BurstPoller burstPoller;

  private final Map<String, byte[]> submissionBodies = new HashMap<>();

  SimUsers(SimWorld world) {
    this.world = world;
  }

  /** Submits a job as soon as all jobs that it awaits are accepted, as users do. */
  public void submitAfterDependencies(Map<String, Object> job, long withdrawAfterMs) {
    Object awaits = job.getOrDefault("awaits", List.of());
    if (accepted.containsAll((List<?>) awaits)) {
      submit(job, withdrawAfterMs);
    } else {
      world.clock.after(100, () -> submitAfterDependencies(job, withdrawAfterMs));
    }
  }

  /**
   * Makes a job's specification known to the workers, which get it from users and not from
   * controllers.
   *
   * @return the body of the submission
   */
  public byte[] registerSpec(Map<String, Object> job) {
    byte[] body = MessageCodec.encode(job);
    submissionBodies.put((String) job.get("ref"), body);
    try {
      world.specs.put((String) job.get("ref"), JobSpec.parse(Document.parse(body)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
    return body;
  }

  /**
   * Submits a job with retries, then polls it.
   *
   * @param withdrawAfterMs the time from its acceptance to its withdrawal; 0: never
   */
  public void submit(Map<String, Object> job, long withdrawAfterMs) {
    String id = (String) job.get("ref");
    byte[] body = registerSpec(job);
    trySubmit(id, body, withdrawAfterMs);
  }

  private String randomNode() {
    return world.nodes.get(world.random.nextInt(world.nodes.size()));
  }

  private void trySubmit(String id, byte[] body, long withdrawAfterMs) {
    world
        .net
        .caller("user", () -> true)
        .call(
            randomNode(),
            "POST",
            "/api/jobs",
            body,
            5000,
            answer -> {
              if (answer.status() == 200 || answer.status() == 201) {
                if (accepted.add(id)) {
                  world.rules.jobAccepted(id);
                  pollBurst(id);
                }
                world.clock.after(5000, () -> poll(id));
                if (withdrawAfterMs > 0) {
                  world.clock.after(withdrawAfterMs, () -> withdraw(id));
                }
              } else if (answer.status() == 400 || answer.status() == 422) {
                world.rules.violations.add("refused " + id + " with " + answer.status());
              } else {
                refusedSubmissions++;
                world.clock.after(1000, () -> trySubmit(id, body, withdrawAfterMs));
              }
            });
  }

  /** Repeats a submission at a random node, whatever state the job is in. */
  void resubmit(String id, Map<String, Object> job) {
    submissionBodies.put(id, MessageCodec.encode(job));
    resubmit(randomNode(), id, () -> {});
  }

  /**
   * Repeats a submission at one node.
   *
   * @param onAnswer called when the answer contains the job's state
   */
  void resubmit(String node, String id, Runnable onAnswer) {
    long requestSentMs = world.clock.nowMs();
    world
        .net
        .caller("user", () -> true)
        .call(
            node,
            "POST",
            "/api/jobs",
            submissionBodies.get(id),
            5000,
            answer -> {
              if (answer.status() == 201 && accepted.contains(id)) {
                world.rules.submissionAcceptedAsNew(id, requestSentMs);
              } else if (answer.status() == 200) {
                onAnswer.run();
                phaseReceived(id, phase(answer), requestSentMs);
              } else if (answer.status() == 400
                  || answer.status() == 422
                  || answer.status() == 404) {
                phaseReceived(id, null, requestSentMs);
              }
            });
  }

  /** A user was told the phase of a job, or (null) that the job is unknown. */
  private void phaseReceived(String id, String phase, long requestSentMs) {
    boolean wasTerminal = world.rules.isTerminalStateReported(id);
    world.rules.phaseReported(id, phase, requestSentMs);
    if (!wasTerminal && world.rules.isTerminalStateReported(id)) {
      pollBurst(id);
    }
  }

  /** Polls a job at all nodes, if a test has enabled it. */
  private void pollBurst(String id) {
    if (burstPoller != null) {
      burstPoller.pollAllNodes(id);
    }
  }

  /** All tasks of a job are done. */
  void allTasksDone(String id) {
    if (accepted.contains(id)) {
      pollBurst(id);
    }
  }

  /** Polls a job once at one node, and passes the answer to the rules. */
  void pollOnce(String node, String id, Runnable onAnswer) {
    long requestSentMs = world.clock.nowMs();
    poll(
        node,
        id,
        2000,
        answer -> {
          if (answer.status() == 200) {
            onAnswer.run();
            phaseReceived(id, phase(answer), requestSentMs);
          } else if (answer.status() == 404) {
            phaseReceived(id, null, requestSentMs);
          }
        });
  }

  /** Sends a single poll; its answer is not checked by the rules. */
  public void poll(String node, String id, long timeoutMs, Consumer<Response> done) {
    world
        .net
        .caller("user", () -> true)
        .call(node, "GET", "/api/jobs/" + id, null, timeoutMs, done);
  }

  private void poll(String id) {
    pollOnce(randomNode(), id, () -> {});
    world.clock.after(5000, () -> poll(id));
  }

  private static String phase(Response answer) {
    try {
      return Document.parse(answer.body()).text("phase");
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private void withdraw(String id) {
    withdraw(id, randomNode());
  }

  /** Withdraws a job at one node, then at random ones, until one answers. */
  void withdraw(String id, String node) {
    withdrawalRequested.add(id);
    long requestSentMs = world.clock.nowMs();
    firstWithdrawalRequestMs.putIfAbsent(id, requestSentMs);
    world
        .net
        .caller("user", () -> true)
        .call(
            node,
            "POST",
            "/api/jobs/" + id + "/withdraw",
            null,
            5000,
            answer -> {
              if (answer.status() == 200) {
                String phase = phase(answer);
                if (phase.equals("withdrawn")) {
                  world.rules.withdrawalConfirmed(id);
                  slowestWithdrawalMs =
                      Math.max(
                          slowestWithdrawalMs,
                          world.clock.nowMs() - firstWithdrawalRequestMs.get(id));
                }
                phaseReceived(id, phase, requestSentMs);
              } else if (answer.status() == 404) {
                phaseReceived(id, null, requestSentMs);
              } else {
                world.clock.after(1000, () -> withdraw(id));
              }
            });
  }

  /**
   * Sends a request and runs the world for five seconds.
   *
   * @return the answer, with status 0 if there was none
   */
  public Response request(String node, String method, String path, byte[] body) {
    Response[] answer = new Response[1];
    world.net.caller("user", () -> true).call(node, method, path, body, 5000, a -> answer[0] = a);
    world.run(5001);
    return answer[0];
  }

  /** Submits 240 jobs of all shapes within 20 seconds; batch jobs have {@code arrayTasks} tasks. */
  public void submitMixedJobs(long seed, int arrayTasks) {
    Random random = new Random(seed);
    for (int i = 0; i < 240; i++) {
      int number = i;
      String shape = i % 4 == 0 ? "ensemble" : i % 4 == 1 ? "daemon" : "batch";
      int tasks = i % 4 < 2 ? 2 : arrayTasks;
      world.clock.after(
          random.nextInt(20_000),
          () ->
              submit(
                  SimJobs.job(number, shape, tasks, number % 4 == 0 ? 4 : 1, 5 + number % 9), 0));
    }
  }

  /**
   * Submits 60 small jobs of all shapes, some of which are withdrawn.
   *
   * @param fromMs the delay of the earliest submission
   * @param spanMs the time within which the submissions are spread
   * @param withdrawSpanMs the time after its acceptance within which a job may be withdrawn
   * @param runSeconds the run time of a job, by its number
   * @return the jobs that must be done in the end
   */
  List<String> submitSmallJobs(
      Random random, int fromMs, int spanMs, int withdrawSpanMs, IntToDoubleFunction runSeconds) {
    List<String> jobsExpectedDone = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      int number = i;
      int kind = random.nextInt(10);
      int tasks = 1 + random.nextInt(4);
      boolean withdrawn = kind > 7 && random.nextBoolean();
      long withdrawAfterMs = withdrawn ? 500 + random.nextInt(withdrawSpanMs) : 0;
      String shape = kind < 2 ? "daemon" : kind < 5 ? "ensemble" : "batch";
      int maxTasks = kind < 2 ? 2 : kind < 5 ? 3 : 4;
      double runS = kind < 2 ? 0 : runSeconds.applyAsDouble(number);
      double gpus = shape.equals("ensemble") ? 2 : 1;
      world.clock.after(
          fromMs + random.nextInt(spanMs),
          () ->
              submit(
                  SimJobs.job(number, shape, Math.min(tasks, maxTasks), gpus, runS),
                  withdrawAfterMs));
      if (kind >= 2 && !withdrawn) {
        jobsExpectedDone.add(String.format("req-%06d", number));
      }
    }
    return jobsExpectedDone;
  }
}
