package wickdrift.coordination.commands;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Random sequences of sends, losses, late arrivals, reports, sessions, epochs and restarts against
 * a model of the worker and the network that holds every message: whatever is cleared, ended or
 * confirmed must never start again.
 */
class WorkerCommandsWalkTest {
  private static final int STEPS = 400;
  private static final int TASKS = 3;

  /** A command on its way to the worker. */
  private record Message(
      long epoch, long session, TaskAttempt run, WorkerCommands.DirectRuns sent) {
    boolean isDirect() {
      return sent != null;
    }
  }

  /** What the worker is: the slow, obviously right side. */
  private static final class Worker {
    long epoch;
    long session = 1;
    long tick;
    final Set<TaskAttempt> held = new HashSet<>();
    final Set<TaskAttempt> ended = new HashSet<>();
  }

  private final Random random;
  private final Worker worker = new Worker();
  private final WorkerCommands commands = new WorkerCommands();
  private final List<Message> onTheWay = new ArrayList<>();

  /** A run that the answer to the last report carries; the next report means that it is settled. */
  private final List<Message> inAnswer = new ArrayList<>();

  private final Map<String, Integer> booked = new HashMap<>();
  private final Set<TaskAttempt> over = new HashSet<>();
  private long epoch = 1;

  /** The worker has begun anew, and counts once it shows this epoch. */
  private long trustedFrom;

  private int ends;
  private int clears;

  WorkerCommandsWalkTest() {
    this.random = new Random();
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7})
  void nothingThatIsOverStartsAgain(int block) {
    for (int seed = 1000 * block; seed < 1000 * block + 250; seed++) {
      WorkerCommandsWalkTest walk = new WorkerCommandsWalkTest();
      walk.random.setSeed(seed);
      walk.walk(seed);
      assertTrue(walk.ends + walk.clears > 5, "seed " + seed + " has proved nothing");
    }
  }

  private void walk(int seed) {
    for (int i = 0; i < TASKS; i++) {
      booked.put("req-000001/" + i, 1);
    }
    for (int step = 0; step < STEPS; step++) {
      switch (random.nextInt(10)) {
        case 0, 1, 2 -> report();
        case 3 -> sendDirectly();
        case 4, 5 -> deliver(seed);
        case 6 -> endOne();
        case 7 -> epoch += random.nextInt(4) == 0 ? 1 : 0;
        case 8 -> lapse();
        default -> restart();
      }
    }
  }

  private TaskAttempt attemptOf(String task) {
    return new TaskAttempt(task, booked.get(task));
  }

  private void sendDirectly() {
    String task = "req-000001/" + random.nextInt(TASKS);
    TaskAttempt run = attemptOf(task);
    boolean synced = worker.epoch == epoch && worker.epoch >= trustedFrom;
    if (synced && !worker.held.contains(run) && !commands.wasReported(run)) {
      WorkerCommands.DirectRuns sent =
          new WorkerCommands.DirectRuns(epoch, worker.session, 0, List.of(run));
      commands.directCommandSent(sent);
      commands.runSent(run, worker.tick, worker.session, 0);
      onTheWay.add(new Message(epoch, worker.session, run, sent));
    }
  }

  /** Any command arrives, in any order; its answer may be lost, and what was lost never comes. */
  private void deliver(int seed) {
    if (onTheWay.isEmpty()) {
      return;
    }
    Message message = onTheWay.remove(random.nextInt(onTheWay.size()));
    execute(message, seed);
    if (random.nextInt(3) > 0) {
      commands.directCommandAnswered(message.sent);
    }
  }

  private void execute(Message message, int seed) {
    if (message.epoch < worker.epoch || message.session != worker.session) {
      return;
    }
    worker.epoch = message.epoch;
    boolean known = worker.held.contains(message.run) || worker.ended.contains(message.run);
    if (!known) {
      assertFalse(
          over.contains(message.run), "seed " + seed + ": " + message.run + " starts again");
      worker.held.add(message.run);
    }
  }

  /** The answer to the report before has arrived by now, or never will. */
  private void report() {
    for (Message message : inAnswer) {
      if (random.nextBoolean()) {
        execute(message, -1);
      }
    }
    inAnswer.clear();
    worker.tick++;
    boolean proves = worker.epoch == epoch && worker.epoch >= trustedFrom;
    if (!proves) {
      // It is answered, so that the next report shows our epoch.
      worker.epoch = Math.max(worker.epoch, epoch);
      raiseForTheRestarted();
      return;
    }
    commands.epochReported(worker.epoch, worker.session);
    for (TaskAttempt ended : Set.copyOf(worker.ended)) {
      if (over.contains(ended) && commands.mayClear(ended, true, true).isAllowed()) {
        worker.ended.remove(ended);
        clears++;
      }
    }
    for (String task : List.copyOf(booked.keySet())) {
      planBooked(attemptOf(task));
    }
  }

  private void raiseForTheRestarted() {
    if (trustedFrom > epoch) {
      epoch = trustedFrom;
    }
  }

  private void planBooked(TaskAttempt attempt) {
    if (worker.held.contains(attempt)) {
      commands.attemptReported(attempt, worker.tick, worker.session);
      return;
    }
    if (worker.ended.contains(attempt)) {
      commands.attemptReported(attempt, worker.tick, worker.session);
      next(attempt);
      return;
    }
    boolean unwanted = random.nextInt(4) == 0;
    Verdict verdict =
        commands.mayEnd(
            attempt,
            new WorkerCommands.AbsenceEvidence(true, true, worker.session, false, unwanted));
    if (verdict == Verdict.WORKER_RESTARTED) {
      commands.workerRestarted();
      trustedFrom = epoch + 1;
    } else if (verdict.isAllowed()) {
      ends++;
      next(attempt);
    } else if (!commands.wasReported(attempt) && !unwanted) {
      commands.runSent(attempt, worker.tick, worker.session, 0);
      inAnswer.add(new Message(epoch, worker.session, attempt, null));
    }
  }

  /** The attempt is over: the next one takes its place. */
  private void next(TaskAttempt attempt) {
    over.add(attempt);
    booked.put(attempt.task(), attempt.attempt() + 1);
  }

  private void endOne() {
    worker.held.stream()
        .findFirst()
        .ifPresent(
            attempt -> {
              worker.held.remove(attempt);
              worker.ended.add(attempt);
            });
  }

  private void lapse() {
    if (random.nextInt(3) == 0) {
      worker.held.clear();
      worker.ended.clear();
      worker.session++;
      inAnswer.clear();
    }
  }

  /**
   * The worker is back at once in its first session, with no epoch. What was sent straight to the
   * one before in a later session is refused by this one until it gets there; in the model commands
   * of earlier sessions of the one before, and of ends before the restart, went with its machine.
   */
  private void restart() {
    if (random.nextInt(6) > 0 || worker.session > 1) {
      return;
    }
    worker.held.clear();
    worker.ended.clear();
    worker.epoch = 0;
    inAnswer.clear();
    onTheWay.removeIf(message -> over.contains(message.run));
  }
}
