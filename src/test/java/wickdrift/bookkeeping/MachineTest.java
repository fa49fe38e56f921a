package wickdrift.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.protocol.Report;
import wickdrift.protocol.WorkerToken;

/** What reports prove about a machine: that it is alive, and that commands reach its worker. */
class MachineTest {
  private static final WorkerToken TOKEN = new WorkerToken(7, 0);
  private static final long LEASE_MS = 16_000;

  /**
   * Reports are written as {@code second:session/tick/token}, and each is answered with the current
   * epoch. The suffix {@code !} means that the report lacks a run that was sent long before; the
   * prefix {@code h} means that the worker answered a direct command before the report.
   */
  @ParameterizedTest(name = "epoch {0}, {1}: alive {2}, unreachable for commands {3}")
  @CsvSource({
    // A first report with an older epoch, or none, may be a duplicate; the next shows the answer's.
    "7, 0:1/1/0,                           false, false",
    "7, 0:1/1/6,                           false, false",
    "7, 0:1/1/0 3:1/2/7,                   true,  false",
    // A report that shows the current epoch is no duplicate of an earlier one.
    "7, 0:1/1/7,                           true,  false",
    // The token does not rise although two reports were answered: commands don't arrive.
    "7, 0:1/1/6 5:1/2/6,                   false, false",
    "7, 0:1/1/6 5:1/2/6 10:1/3/6,          false, true",
    "7, 0:1/1/6 5:1/2/6 10:1/3/6 15:1/4/7, true,  false",
    // The new session began before a lease renewed by the last answer could have expired.
    "7, 0:1/1/7 5:1/2/7 10:2/3/7,          true,  true",
    // No report came for longer than the lease: it may have expired although commands arrive.
    "7, 0:1/1/7 5:1/2/7 22:2/3/7,          true,  false",
    // A run sent long before is missing; an answered command shows that commands arrive again.
    "7, 0:1/1/7 5:1/2/7!,                  true,  true",
    "7, 0:1/1/7 5:1/2/7! h8:1/3/7,         true,  false",
    "7, 0:1/1/7 5:1/2/7! 8:1/3/7,          true,  true",
    // A higher token shows that a command has arrived.
    "7, 0:1/1/6 3:1/2/7! 6:1/3/8,          true,  false"
  })
  void reportsShowWhetherTheWorkerIsAliveAndReachable(
      long epoch, String reports, boolean provedAlive, boolean unreachableForCommands) {
    Machine machine = new Machine("m", 0, x -> {});
    for (String text : reports.trim().split(" ")) {
      boolean commandAnswered = text.startsWith("h");
      boolean runIgnored = text.endsWith("!");
      String[] fields = text.replace("h", "").replace("!", "").split("[:/]");
      long nowMs = Long.parseLong(fields[0]) * 1000 + 1;
      if (commandAnswered) {
        machine.markReachableForCommands();
      }
      Report report =
          new Report(
              "m",
              "a",
              "t",
              "z",
              false,
              Long.parseLong(fields[1]),
              Long.parseLong(fields[2]),
              WorkerToken.fromWire(Long.parseLong(fields[3])),
              null,
              List.of());
      boolean proves = machine.receiveReport(report, epoch, nowMs);
      machine.updateCommandReachability(report, proves, runIgnored, LEASE_MS, nowMs);
      machine.recordAnswer(nowMs, epoch);
    }
    assertEquals(provedAlive, machine.provedAlive());
    assertEquals(unreachableForCommands, machine.unreachableForCommandsSinceMs() > 0);
  }

  /** A report older than an unsolicited one is a duplicate, also across sessions. */
  @ParameterizedTest
  @CsvSource({"1, 1, true", "1, 5, true", "1, 6, false", "2, 1, false"})
  void aReportOlderThanAnUnsolicitedOneIsADuplicate(long session, long tick, boolean duplicate) {
    Machine machine = new Machine("m", 0, x -> {});
    Report unsolicited = new Report("m", "a", "t", "z", false, 1, 5, TOKEN, null, List.of());
    machine.updateCommandReachability(
        unsolicited, machine.receiveReport(unsolicited, 7, 1), false, LEASE_MS, 1);
    Report report = new Report("m", "a", "t", "z", false, session, tick, TOKEN, null, List.of());
    assertEquals(duplicate, machine.hasNewerUnsolicitedReport(report));
  }

  /**
   * The worker's lease may last from the later of two times: the last answer to an unsolicited
   * report, and the first message received in the current session. A worker that reaches no
   * controller starts a new session and executes direct commands in it long after the last answer.
   *
   * <p>Events are {@code h} (an unsolicited report) and {@code d} (a reply to a direct command),
   * both as {@code second:session/tick}, and {@code a} (an answer to a report) with its second.
   */
  @ParameterizedTest
  @CsvSource({
    "h1:1/1,                       1",
    "h1:1/1 a2,                    2",
    "h1:1/1 a2 d9:1/4,             2",
    "h1:1/1 a2 d9:1/4 d30:2/5,     30",
    "h1:1/1 a2 d30:2/5 d40:2/6,    30",
    "h1:1/1 a2 d30:2/5 d60:3/6 a61, 61",
  })
  void theLeaseIsCountedFromTheLastAnswerOrTheStartOfTheSession(
      String events, long expectedRenewalS) {
    Machine machine = new Machine("m", 0, x -> {});
    long lastReportMs = 0;
    for (String event : events.split(" ")) {
      String[] fields = event.substring(1).split("[:/]");
      long nowMs = Long.parseLong(fields[0]) * 1000;
      if (event.startsWith("a")) {
        machine.recordAnswer(nowMs, 7);
        continue;
      }
      long session = Long.parseLong(fields[1]);
      long tick = Long.parseLong(fields[2]);
      Report report = new Report("m", "a", "t", "z", false, session, tick, TOKEN, null, List.of());
      if (event.startsWith("h")) {
        machine.receiveReport(report, 7, nowMs);
        lastReportMs = nowMs;
      } else {
        machine.receiveReply(report, 7, nowMs);
      }
    }
    assertEquals(expectedRenewalS * 1000, machine.latestLeaseRenewalMs());
    // A reply to a command doesn't count as a report.
    assertEquals(lastReportMs, machine.silentSinceMs());
  }
}
