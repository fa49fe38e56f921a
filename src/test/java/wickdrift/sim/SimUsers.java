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
 * Stand-ins for users: they submit with retries, poll, cancel, and tell the rules what they hear.
 */
public final class SimUsers {
  private final SimWorld world;

  public final Set<String> accepted = new HashSet<>();

  final Set<String> asked = new HashSet<>();

  private final Map<String, Long> firstAsked = new HashMap<>();

  /** The longest that a user waited for the word that a job is withdrawn. */
  long slowestWordMs;

  /** Answers to submissions that sent the user away for now, and submissions without an answer. */
  int refusedSubmissions;

  /** If users look closely whenever something becomes known of a job. */
  SimCloseLooks closeLooks;

  private final Map<String, byte[]> submissions = new HashMap<>();

  SimUsers(SimWorld world) {
    this.world = world;
  }

  /** Submits once all that it awaits are accepted, as users do. */
  public void submitChained(Map<String, Object> job, long withdrawAfterMs) {
    Object awaits = job.getOrDefault("awaits", List.of());
    if (accepted.containsAll((List<?>) awaits)) {
      submit(job, withdrawAfterMs);
    } else {
      world.clock.after(100, () -> submitChained(job, withdrawAfterMs));
    }
  }

  /** Tells the workers of a job: users hand them its description themselves. */
  public byte[] describe(Map<String, Object> job) {
    byte[] body = MessageCodec.encode(job);
    submissions.put((String) job.get("ref"), body);
    try {
      world.specs.put((String) job.get("ref"), JobSpec.parse(Document.parse(body)));
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
    return body;
  }

  /** Submits with retries, then polls until the job is over. */
  public void submit(Map<String, Object> job, long withdrawAfterMs) {
    String id = (String) job.get("ref");
    byte[] body = describe(job);
    trySubmit(id, body, withdrawAfterMs);
  }

  private String anyNode() {
    return world.nodes.get(world.random.nextInt(world.nodes.size()));
  }

  private void trySubmit(String id, byte[] body, long withdrawAfterMs) {
    world
        .net
        .caller("user", () -> true)
        .call(
            anyNode(),
            "POST",
            "/api/jobs",
            body,
            5000,
            a -> {
              if (a.status() == 200 || a.status() == 201) {
                if (accepted.add(id)) {
                  world.rules.accepted(id);
                  look(id);
                }
                world.clock.after(5000, () -> poll(id));
                if (withdrawAfterMs > 0) {
                  world.clock.after(withdrawAfterMs, () -> withdraw(id));
                }
              } else if (a.status() == 400 || a.status() == 422) {
                world.rules.broken.add("refused " + id + " with " + a.status());
              } else {
                refusedSubmissions++;
                world.clock.after(1000, () -> trySubmit(id, body, withdrawAfterMs));
              }
            });
  }

  /** A user repeats a submission, whatever has become of it. */
  void submitAgain(String id, Map<String, Object> job) {
    submissions.put(id, MessageCodec.encode(job));
    submitAgain(anyNode(), id, () -> {});
  }

  /**
   * A user repeats a submission at one node.
   *
   * @param told called when the answer tells the job's state
   */
  void submitAgain(String node, String id, Runnable told) {
    long asked = world.clock.nowMs();
    world
        .net
        .caller("user", () -> true)
        .call(
            node,
            "POST",
            "/api/jobs",
            submissions.get(id),
            5000,
            a -> {
              if (a.status() == 201 && accepted.contains(id)) {
                world.rules.acceptedAgain(id, asked);
              } else if (a.status() == 200) {
                told.run();
                told(id, phase(a), asked);
              } else if (a.status() == 400 || a.status() == 422 || a.status() == 404) {
                told(id, null, asked);
              }
            });
  }

  /** A user hears how a job stands; null: that it is not known. */
  private void told(String id, String phase, long asked) {
    boolean wasFinal = world.rules.isFinal(id);
    world.rules.told(id, phase, asked);
    if (!wasFinal && world.rules.isFinal(id)) {
      look(id);
    }
  }

  private void look(String id) {
    if (closeLooks != null) {
      closeLooks.at(id);
    }
  }

  /** The last of a job's tasks has just ended. */
  void ended(String id) {
    if (accepted.contains(id)) {
      look(id);
    }
  }

  /** One poll at one node, which does not repeat. */
  void pollOnce(String node, String id, Runnable told) {
    long asked = world.clock.nowMs();
    poll(
        node,
        id,
        2000,
        a -> {
          if (a.status() == 200) {
            told.run();
            told(id, phase(a), asked);
          } else if (a.status() == 404) {
            told(id, null, asked);
          }
        });
  }

  /** One poll by itself. */
  public void poll(String node, String id, long timeoutMs, Consumer<Response> done) {
    world
        .net
        .caller("user", () -> true)
        .call(node, "GET", "/api/jobs/" + id, null, timeoutMs, done);
  }

  private void poll(String id) {
    pollOnce(anyNode(), id, () -> {});
    world.clock.after(5000, () -> poll(id));
  }

  private static String phase(Response a) {
    try {
      return Document.parse(a.body()).text("phase");
    } catch (BadMessage e) {
      throw new AssertionError(e);
    }
  }

  private void withdraw(String id) {
    withdraw(id, anyNode());
  }

  /** A user calls a job off, at this node first, until one answers. */
  void withdraw(String id, String node) {
    asked.add(id);
    long asked = world.clock.nowMs();
    firstAsked.putIfAbsent(id, asked);
    world
        .net
        .caller("user", () -> true)
        .call(
            node,
            "POST",
            "/api/jobs/" + id + "/withdraw",
            null,
            5000,
            a -> {
              if (a.status() == 200) {
                String p = phase(a);
                if (p.equals("withdrawn")) {
                  world.rules.withdrawn(id);
                  slowestWordMs = Math.max(slowestWordMs, world.clock.nowMs() - firstAsked.get(id));
                }
                told(id, p, asked);
              } else if (a.status() == 404) {
                told(id, null, asked);
              } else {
                world.clock.after(1000, () -> withdraw(id));
              }
            });
  }

  /** One request as it is, for tests of single answers; null if none comes within five seconds. */
  public Response ask(String node, String method, String path, byte[] body) {
    Response[] got = new Response[1];
    world.net.caller("user", () -> true).call(node, method, path, body, 5000, a -> got[0] = a);
    world.run(5001);
    return got[0];
  }

  /** Submits 240 jobs of all shapes within 20 seconds; arrays have so many tasks. */
  public void submitMixed(long seed, int arrayTasks) {
    Random r = new Random(seed);
    for (int i = 0; i < 240; i++) {
      int n = i;
      String shape = i % 4 == 0 ? "ensemble" : i % 4 == 1 ? "daemon" : "batch";
      int tasks = i % 4 < 2 ? 2 : arrayTasks;
      world.clock.after(
          r.nextInt(20_000),
          () -> submit(SimJobs.job(n, shape, tasks, n % 4 == 0 ? 4 : 1, 5 + n % 9), 0));
    }
  }

  /**
   * Submits 60 small jobs of all shapes, of which some are withdrawn.
   *
   * @param fromMs when the first may come, within so many milliseconds the last
   * @param offMs within so long a withdrawal comes
   * @param seconds a job runs, by its number
   * @return those that must be done in the end
   */
  List<String> submitSmall(
      Random r, int fromMs, int spanMs, int offMs, IntToDoubleFunction seconds) {
    List<String> finite = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      int n = i;
      int kind = r.nextInt(10);
      int tasks = 1 + r.nextInt(4);
      boolean off = kind > 7 && r.nextBoolean();
      long offAfter = off ? 500 + r.nextInt(offMs) : 0;
      String shape = kind < 2 ? "daemon" : kind < 5 ? "ensemble" : "batch";
      int most = kind < 2 ? 2 : kind < 5 ? 3 : 4;
      double run = kind < 2 ? 0 : seconds.applyAsDouble(n);
      double gpus = shape.equals("ensemble") ? 2 : 1;
      world.clock.after(
          fromMs + r.nextInt(spanMs),
          () -> submit(SimJobs.job(n, shape, Math.min(tasks, most), gpus, run), offAfter));
      if (kind >= 2 && !off) {
        finite.add(String.format("req-%06d", n));
      }
    }
    return finite;
  }
}
