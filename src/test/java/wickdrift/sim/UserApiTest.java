package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;

/** Answers to single requests of the user API. */
class UserApiTest {
  /** Returns a world whose controllers have started and taken over its machines. */
  private static SimWorld startedWorld() {
    SimWorld world = new SimWorld(5, 2, 4);
    world.run(8000);
    return world;
  }

  /**
   * A controller that has lost the state service and its peers reports itself unhealthy, so that
   * users are sent to another one. During an outage of the state service all controllers still
   * reach each other and none could serve users better, so all stay healthy.
   */
  @ParameterizedTest
  @CsvSource({"true, 503", "false, 200"})
  void isolatedControllerIsUnhealthyButAnOutageIsNot(boolean isolated, int status) {
    SimWorld world = startedWorld();
    if (isolated) {
      world.cutFromState("n1", false);
      world.cutFromPeers("n1", true);
    } else {
      world.state().setOutage(true);
    }
    world.run(6000);
    assertEquals(status, world.users.request("n1", "GET", "/up", null).status());
    world.healFromState("n1");
    world.cutFromPeers("n1", false);
    world.state().setOutage(false);
    world.run(6000);
    assertEquals(200, world.users.request("n1", "GET", "/up", null).status());
  }

  @ParameterizedTest(name = "{0} {1}: {2}")
  @CsvSource({
    "GET, /up, 200",
    "POST, /up, 405",
    "GET, /hello, 405",
    "POST, /hello, 400",
    "GET, /api/jobs, 405",
    "POST, /api/jobs, 400",
    "GET, /api/jobs/req-000009, 404",
    "PUT, /api/jobs/req-000009, 405",
    "GET, /api/jobs/req-000009/withdraw, 405",
    "POST, /api/jobs/req-000009/withdraw, 404",
    "GET, /api/jobs/nonsense, 404",
    "GET, /elsewhere, 404",
  })
  void requestIsAnsweredByMethodAndPath(String method, String path, int status) {
    assertEquals(status, startedWorld().users.request("n1", method, path, new byte[] {1}).status());
  }

  @ParameterizedTest(name = "{0} = {1}: {2}")
  @CsvSource({
    "owner, nobody, 422",
    "cores, 33, 422",
    "gpus, 5, 422",
    "memoryGb, 999, 422",
    "region, elsewhere, 422",
    "cores, 32, 201",
  })
  void jobThatCanNeverRunIsRefused(String field, String value, int status) {
    Map<String, Object> job = SimJobs.job(9, "batch", 1, 1, 5);
    job.put(field, Character.isDigit(value.charAt(0)) ? (Object) Double.valueOf(value) : value);
    SimWorld world = startedWorld();
    assertEquals(
        status,
        world.users.request("n0", "POST", "/api/jobs", world.users.registerSpec(job)).status());
  }

  /**
   * A gang or service whose tasks must be in several zones but may be in one zone only can never
   * run and is refused. The tasks of an array need not run at the same time, so it is accepted.
   */
  @ParameterizedTest(name = "{0} of {1}, one zone: {2}, apart: {3}, zone {4}: {5}")
  @CsvSource({
    "ensemble, 2, true, true, , 422",
    "ensemble, 1, true, true, , 201",
    "ensemble, 2, false, true, a, 422",
    "daemon, 3, false, true, a, 422",
    "daemon, 2, true, true, , 422",
    "daemon, 2, false, true, , 201",
    "ensemble, 2, true, false, a, 201",
    "batch, 2, true, true, , 201",
    "batch, 5, false, true, b, 201",
  })
  void contradictoryZoneConstraintsAreRefused(
      String shape, int tasks, boolean oneZone, boolean apart, String zone, int status) {
    Map<String, Object> job = SimJobs.job(9, shape, tasks, 1, 5);
    job.put("oneZone", oneZone);
    job.put("apart", apart);
    job.put("region", zone);
    SimWorld world = startedWorld();
    assertEquals(
        status,
        world.users.request("n0", "POST", "/api/jobs", world.users.registerSpec(job)).status());
  }

  /** A submission without a field is malformed, unless the field may be null. */
  @ParameterizedTest
  @CsvSource({"gpus, 400", "flushS, 400", "reclaimable, 400", "shards, 400", "region, 201"})
  void submissionWithoutARequiredFieldIsMalformed(String field, int status) {
    Map<String, Object> job = SimJobs.job(9, "batch", 1, 1, 5);
    SimWorld world = startedWorld();
    world.users.registerSpec(job);
    byte[] completeBody = MessageCodec.encode(job);
    job.remove(field);
    assertEquals(
        status, world.users.request("n0", "POST", "/api/jobs", MessageCodec.encode(job)).status());
    if (!field.equals("shards")) {
      // An accepted submission is never refused later, not even as malformed: an older build may
      // have accepted it.
      world.users.request("n1", "POST", "/api/jobs", completeBody);
      assertEquals(
          200, world.users.request("n2", "POST", "/api/jobs", MessageCodec.encode(job)).status());
      world.run(30_000);
      assertEquals(
          200, world.users.request("n2", "POST", "/api/jobs", MessageCodec.encode(job)).status());
    }
  }

  /** An accepted submission that is repeated is answered with 200 and the job's phase. */
  @Test
  void repeatedSubmissionReturnsTheJobsPhase() throws BadMessage {
    SimWorld world = startedWorld();
    byte[] body = world.users.registerSpec(SimJobs.job(9, "batch", 2, 1, 6));
    assertEquals(201, world.users.request("n0", "POST", "/api/jobs", body).status());
    List<String> phases = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      var answer = world.users.request("n" + i % 3, "POST", "/api/jobs", body);
      assertEquals(200, answer.status());
      phases.add(Document.parse(answer.body()).text("phase"));
    }
    assertTrue(phases.contains("running"), phases.toString());
    assertEquals("done", phases.get(5));
    assertTrue(phases.lastIndexOf("running") < phases.indexOf("done"), phases.toString());
  }

  /**
   * An array needs one task within the team's limit; a gang and a service need all their tasks in
   * it.
   */
  @ParameterizedTest
  @CsvSource({"batch, 201", "ensemble, 422", "daemon, 422"})
  void teamLimitAppliesToOneTaskOrAllTasksByShape(String shape, int status) {
    Map<String, Object> job = SimJobs.job(9, shape, 61, 1, 5);
    SimWorld world = startedWorld();
    assertEquals(
        status,
        world.users.request("n2", "POST", "/api/jobs", world.users.registerSpec(job)).status());
  }

  /**
   * Polls share reads of the state service, reads for unknown jobs are limited, and every poll is
   * answered.
   */
  @Test
  void thousandsOfPollsShareFewReads() {
    SimWorld world = startedWorld();
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 100), 0);
    world.run(5000);
    int[] known = new int[600];
    int[] unknown = new int[600];
    int before = world.state().requestCount();
    for (int i = 0; i < 3000; i++) {
      int n = i;
      String id = n % 2 == 0 ? "req-000001" : "req-9" + n % 1000;
      int[] count = n % 2 == 0 ? known : unknown;
      world.clock.after(n / 3, () -> world.users.poll("n0", id, 2000, a -> count[a.status()]++));
    }
    world.run(4000);
    assertEquals(1500, known[200]);
    assertEquals(1500, unknown[404] + unknown[503]);
    assertTrue(unknown[404] > 0);
    int requests = world.state().requestCount() - before;
    assertTrue(requests < 350, requests + " requests");
  }

  /**
   * During an outage requests fail at once instead of waiting, and the answer about a job in a
   * terminal state is still given.
   */
  @Test
  void finalAnswersAreKeptAndOthersFailAtOnceDuringAnOutage() {
    SimWorld world = startedWorld();
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 2), 0);
    world.run(20_000);
    assertEquals("done", world.lastReportedPhase("req-000001"));
    world.state().setOutage(true);
    world.run(2500);
    byte[] job = world.users.registerSpec(SimJobs.job(2, "batch", 1, 1, 2));
    assertEquals(503, world.users.request("n0", "POST", "/api/jobs", job).status());
    assertEquals(503, world.users.request("n0", "GET", "/api/jobs/req-000002", null).status());
    var kept = world.users.request("n0", "GET", "/api/jobs/req-000001", null);
    assertNotNull(kept);
    assertEquals(200, kept.status());
    world.state().setOutage(false);
    world.run(5000);
    assertEquals(201, world.users.request("n0", "POST", "/api/jobs", job).status());
    assertEquals(200, world.users.request("n1", "POST", "/api/jobs", job).status());
  }
}
