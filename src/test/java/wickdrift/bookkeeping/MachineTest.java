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
  void whatReportsProve(long epoch, String reports, boolean proved, boolean deaf) {
    Machine m = new Machine("m", 0, x -> {});
    for (String r : reports.trim().split(" ")) {
      boolean hears = r.startsWith("h");
      boolean ignored = r.endsWith("!");
      String[] p = r.replace("h", "").replace("!", "").split("[:/]");
      long now = Long.parseLong(p[0]) * 1000 + 1;
      if (hears) {
        m.markReachableForCommands();
      }
      Report is =
          new Report(
              "m",
              "a",
              "t",
              "z",
              false,
              Long.parseLong(p[1]),
              Long.parseLong(p[2]),
              Long.parseLong(p[3]),
              null,
              List.of());
      boolean proves = m.receiveReport(is, epoch, now);
      m.updateCommandReachability(is, proves, ignored, LEASE_MS, now);
      m.recordAnswer(now, epoch);
    }
    assertEquals(proved, m.provedAlive());
    assertEquals(deaf, m.unreachableForCommandsSinceMs() > 0);
  }

  /** What came by itself makes older ones copies; of an earlier session too. */
  @ParameterizedTest
  @CsvSource({"1, 1, true", "1, 5, true", "1, 6, false", "2, 1, false"})
  void whatIsOlderIsACopy(long tenure, long tick, boolean copy) {
    Machine m = new Machine("m", 0, x -> {});
    Report own = new Report("m", "a", "t", "z", false, 1, 5, 7, null, List.of());
    m.updateCommandReachability(own, m.receiveReport(own, 7, 1), false, LEASE_MS, 1);
    Report r = new Report("m", "a", "t", "z", false, tenure, tick, 7, null, List.of());
    assertEquals(copy, m.hasNewerUnsolicitedReport(r));
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
  void aNewSessionIsANewLease(String events, long baseS) {
    Machine m = new Machine("m", 0, x -> {});
    long heardMs = 0;
    for (String e : events.split(" ")) {
      String[] p = e.substring(1).split("[:/]");
      long now = Long.parseLong(p[0]) * 1000;
      if (e.startsWith("a")) {
        m.recordAnswer(now, 7);
        continue;
      }
      long tenure = Long.parseLong(p[1]);
      long tick = Long.parseLong(p[2]);
      Report r = new Report("m", "a", "t", "z", false, tenure, tick, 7, null, List.of());
      if (e.startsWith("h")) {
        m.receiveReport(r, 7, now);
        heardMs = now;
      } else {
        m.receiveReply(r, 7, now);
      }
    }
    assertEquals(baseS * 1000, m.latestLeaseRenewalMs());
    // What it answers to commands is no report.
    assertEquals(heardMs, m.silentSinceMs());
  }
}
