package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.MessageCodec;

/**
 * Transactions whose responses are lost, or that are delayed on their way to the state service.
 * Users and placements must not wait for a response if the result shows in the tables, and a
 * delayed transaction must neither block the next ones nor take effect twice.
 */
class LostTransactionResponsesTest {
  private static final long STARTUP_MS = 8000;

  /** The answers to submissions so far, and how long each submission waited for its answer. */
  private static final class SubmissionAnswers {
    final Map<String, Long> waitMsByJob = new TreeMap<>();
    final List<Integer> statuses = new ArrayList<>();
  }

  private static SimWorld startedWorld(long seed) {
    SimWorld world = new SimWorld(seed, 8, 8, "aab", 60);
    world.run(STARTUP_MS);
    return world;
  }

  private static void submit(SimWorld world, String node, int number, SubmissionAnswers answers) {
    Map<String, Object> job = SimJobs.job(number, "batch", 1, 1, 5);
    world.users.registerSpec(job);
    long submittedAtMs = world.clock.nowMs();
    world
        .net
        .caller("user", () -> true)
        .call(
            node,
            "POST",
            "/api/jobs",
            MessageCodec.encode(job),
            5000,
            answer -> {
              answers.statuses.add(answer.status());
              answers.waitMsByJob.put((String) job.get("ref"), world.clock.nowMs() - submittedAtMs);
            });
  }

  /** Whether every answer so far accepts its submission. */
  private static boolean allAccepted(SubmissionAnswers answers) {
    return answers.statuses.stream().allMatch(s -> s == 200 || s == 201);
  }

  /** A committed submission shows in the tables and is answered from there without the response. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void durableSubmissionsAreAnsweredThoughTransactionResponsesAreLost(long seed) {
    SimWorld world = startedWorld(seed);
    world.state().loseAnswers(1, seed);
    SubmissionAnswers answers = new SubmissionAnswers();
    for (int i = 0; i < 12; i++) {
      submit(world, world.nodes.get(i % 3), i, answers);
    }
    world.run(1200);
    assertEquals(12, answers.statuses.size(), "answered: " + answers.waitMsByJob);
    assertTrue(allAccepted(answers), "statuses " + answers.statuses);
    world.state().loseAnswers(0, 1);
    world.run(60_000);
    assertEquals(List.of(), world.violations());
  }

  /** Each placement shows in the tables, and the next one is decided without the response. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void placementContinuesThoughTransactionResponsesAreLost(long seed) {
    SimWorld world = startedWorld(seed);
    world.state().loseAnswers(1, seed);
    for (int i = 0; i < 10; i++) {
      int number = i;
      world.clock.after(
          400L * i,
          () -> submit(world, world.nodes.get(number % 3), number, new SubmissionAnswers()));
    }
    world.run(400 * 10 + 4500);
    assertEquals(10, world.startCount(), "tasks that started");
    assertEquals(List.of(), world.violations());
  }

  /** A delayed batch is overtaken and sent again; when it arrives in the end it changes nothing. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void delayedBatchIsOvertakenAndSentAgain(long seed) {
    SimWorld world = startedWorld(seed);
    world.state().delayCommits(1, 6000, seed);
    SubmissionAnswers first = new SubmissionAnswers();
    submit(world, "n0", 1, first);
    while (world.state().delayedCommitCount == 0) {
      world.run(1);
    }
    world.state().delayCommits(0, 0, 1);
    SubmissionAnswers next = new SubmissionAnswers();
    submit(world, "n0", 2, next);
    world.run(500);
    assertEquals(
        1, next.statuses.size(), "answers for the second batch, which must not wait for the first");
    world.run(900);
    assertEquals(1, first.statuses.size(), "answers for the first batch, which must be sent again");
    assertTrue(allAccepted(first) && allAccepted(next), first.statuses + " and " + next.statuses);
    long stamp = world.tables("n1").job("req-000001").stamp();
    world.run(6000);
    assertTrue(
        world.tables("n1").job("req-000001") == null
            || world.tables("n1").job("req-000001").stamp() == stamp,
        "the delayed transaction accepted the job again");
    assertEquals(List.of(), world.violations());
  }

  /** A withdrawal that is committed is confirmed at once although the response is lost. */
  @Test
  void durableWithdrawalIsConfirmedThoughItsResponseIsLost() {
    SimWorld world = startedWorld(9);
    world.users.submit(SimJobs.job(1, "batch", 2, 1, 100), 0);
    world.run(6000);
    world.state().loseAnswers(1, 9);
    world.users.withdraw("req-000001", "n0");
    world.run(1500);
    assertTrue(world.rules.isWithdrawalConfirmed("req-000001"), "the withdrawal was not confirmed");
    world.run(30_000);
    assertEquals(List.of(), world.violations());
  }
}
