package wickdrift.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.protocol.Report;

/** What a machine's reports prove: that it is there now, and that its worker hears. */
class MachineTest {
  private static final long LEASE_MS = 16_000;

  /**
   * Reports as {@code second:tenure/tick/token}, each answered with the epoch in force; {@code !}:
   * it lacks what it was told to run; {@code h}: a command sent straight was answered before it.
   */
  @ParameterizedTest(name = "epoch {0}, {1}: proved {2}, deaf {3}")
  @CsvSource({
    // Its first report shows an older epoch, or none: perhaps a copy. The next shows the answer's.
    "7, 0:1/1/0,                           false, false",
    "7, 0:1/1/6,                           false, false",
    "7, 0:1/1/0 3:1/2/7,                   true,  false",
    // Of this epoch: no copy from before it.
    "7, 0:1/1/7,                           true,  false",
    // The token does not rise, though it was answered twice.
    "7, 0:1/1/6 5:1/2/6,                   false, false",
    "7, 0:1/1/6 5:1/2/6 10:1/3/6,          false, true",
    "7, 0:1/1/6 5:1/2/6 10:1/3/6 15:1/4/7, true,  false",
    // Its lease ended sooner than one that was renewed by the last answer could have.
    "7, 0:1/1/7 5:1/2/7 10:2/3/7,          true,  true",
    // It was cut off for longer than that: its lease may have ended with nothing wrong.
    "7, 0:1/1/7 5:1/2/7 22:2/3/7,          true,  false",
    // It lacks what it was long since told to run; it hears once it answers a command.
    "7, 0:1/1/7 5:1/2/7!,                  true,  true",
    "7, 0:1/1/7 5:1/2/7! h8:1/3/7,         true,  false",
    "7, 0:1/1/7 5:1/2/7! 8:1/3/7,          true,  true",
    // A higher token has reached it.
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
              Long.parseLong(fields[3]),
              null,
              List.of());
      boolean proves = machine.receiveReport(report, epoch, nowMs);
      machine.updateCommandReachability(report, proves, runIgnored, LEASE_MS, nowMs);
      machine.recordAnswer(nowMs, epoch);
    }
    assertEquals(provedAlive, machine.provedAlive());
    assertEquals(unreachableForCommands, machine.unreachableForCommandsSinceMs() > 0);
  }

  /** What came by itself makes older ones copies; of an earlier session too. */
  @ParameterizedTest
  @CsvSource({"1, 1, true", "1, 5, true", "1, 6, false", "2, 1, false"})
  void aReportOlderThanAnUnsolicitedOneIsADuplicate(long session, long tick, boolean duplicate) {
    Machine machine = new Machine("m", 0, x -> {});
    Report unsolicited = new Report("m", "a", "t", "z", false, 1, 5, 7, null, List.of());
    machine.updateCommandReachability(
        unsolicited, machine.receiveReport(unsolicited, 7, 1), false, LEASE_MS, 1);
    Report report = new Report("m", "a", "t", "z", false, session, tick, 7, null, List.of());
    assertEquals(duplicate, machine.hasNewerUnsolicitedReport(report));
  }

  /**
   * Until when its worker's lease may last, as far as is known: from the last answer to a report of
   * its own, and from the first that was heard of its session. A worker that reaches no controller
   * begins a new session, and runs in it what it is told straight, long after the last answer.
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
      Report report = new Report("m", "a", "t", "z", false, session, tick, 7, null, List.of());
      if (event.startsWith("h")) {
        machine.receiveReport(report, 7, nowMs);
        lastReportMs = nowMs;
      } else {
        machine.receiveReply(report, 7, nowMs);
      }
    }
    assertEquals(expectedRenewalS * 1000, machine.latestLeaseRenewalMs());
    // What it answers to commands is no report.
    assertEquals(lastReportMs, machine.silentSinceMs());
  }
}
