package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wickdrift.bookkeeping.Machine;
import wickdrift.protocol.Report;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Answers to reports that wait for a short time, so that a task which is placed on the machine
 * meanwhile starts with the answer instead of with the next one. At most one answer per machine
 * waits: a worker has a single report in flight.
 */
final class HeldAnswers {
  /**
   * How long the answer to a worker without tasks waits. A worker drops answers after 4 s, and its
   * next report must not become overdue.
   */
  private static final long IDLE_WORKER_HOLD_MS = 2500;

  /** How long an answer waits at a worker that has tasks, whose ends it would report later. */
  private static final long BUSY_WORKER_HOLD_MS = 400;

  /**
   * An answer that waits.
   *
   * @param report the report to be answered
   */
  record HeldAnswer(Machine machine, Report report, Exchange exchange) {}

  private final Timers timers;
  private final Consumer<HeldAnswer> sender;
  private final Map<Machine, HeldAnswer> answers = new HashMap<>();

  /**
   * Creates an instance without answers.
   *
   * @param sender sends an answer whose time is over
   */
  HeldAnswers(Timers timers, Consumer<HeldAnswer> sender) {
    this.timers = timers;
    this.sender = sender;
  }

  /** Returns for how long the answer to a report of a machine that has room may wait. */
  static long holdMs(Report report) {
    boolean isIdle = report.tasks().stream().allMatch(task -> task.phase() == Report.Phase.EXITED);
    return isIdle ? IDLE_WORKER_HOLD_MS : BUSY_WORKER_HOLD_MS;
  }

  /** Holds an answer until it is taken or its time is over. */
  void hold(HeldAnswer answer, long forMs) {
    answers.put(answer.machine, answer);
    timers.after(
        forMs,
        () -> {
          if (answers.remove(answer.machine, answer)) {
            sender.accept(answer);
          }
        });
  }

  /** Returns the answer that waits for a machine, or null. */
  HeldAnswer find(Machine machine) {
    return answers.get(machine);
  }

  /** Removes and returns the answer that waits for a machine, or null. */
  HeldAnswer take(Machine machine) {
    return answers.remove(machine);
  }

  /** Sends all answers now. */
  void sendAll() {
    List<HeldAnswer> all = new ArrayList<>(answers.values());
    answers.clear();
    all.forEach(sender);
  }
}
