package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A controller that is back a fraction of a second after it ended: before its lease, its peers'
 * sockets, its last transactions and its last commands are gone. What is done to it is a row; each
 * is played with several times until it is back.
 */
class ReturnsTest {
  private static final int[] BACK_MS = {100, 300, 1000};

  private record Row(String name, BiConsumer<SimWorld, Integer> trouble) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static void at(SimWorld w, long ms, Runnable r) {
    w.clock.after(ms, r);
  }

  private static void crash(SimWorld w, long atMs, String node, int backMs) {
    at(w, atMs, () -> w.crash(node, backMs));
  }

  private static void all(SimWorld w, long atMs, int backMs) {
    w.nodes.forEach(n -> crash(w, atMs, n, backMs));
  }

  private static String leader(SimWorld w) {
    return w.tables("n0").view().leader();
  }

  /** Its view, its part, its lease and its record are as they were: nobody has noticed yet. */
  private static final List<Row> ROWS =
      List.of(
          new Row("one", (w, back) -> crash(w, 9000, "n1", back)),
          new Row("the leader", (w, back) -> at(w, 9000, () -> w.crash(leader(w), back))),
          new Row("all", (w, back) -> all(w, 9000, back)),
          new Row(
              "all three times within 5 s, the state service away",
              (w, back) -> {
                at(w, 8500, () -> w.state().outage(true));
                for (int i = 0; i < 3; i++) {
                  all(w, 9000 + 2100 * i, back);
                }
                at(w, 15_000, () -> w.state().outage(false));
              }),
          new Row(
              "the same one every 2 s for a minute",
              (w, back) -> {
                for (int i = 0; i < 30; i++) {
                  crash(w, 9000 + 2000 * i, "n1", back);
                }
              }),
          new Row(
              "the leader every 2 s for half a minute",
              (w, back) -> {
                for (int i = 0; i < 15; i++) {
                  at(w, 9000 + 2000 * i, () -> w.crash(leader(w), back));
                }
              }),
          new Row(
              "two in the same tick, twice",
              (w, back) -> {
                for (int i = 0; i < 2; i++) {
                  crash(w, 9000 + 2500 * i, "n1", back);
                  crash(w, 9000 + 2500 * i, "n2", back);
                }
              }),
          new Row(
              "in every step of joining",
              (w, back) -> {
                for (int i = 0; i < 40; i++) {
                  crash(w, 9000 + 1150L * i, "n2", Math.min(back, 150));
                  crash(w, 9000 + 1150L * i + 160 + 20 * i, "n2", Math.min(back, 150));
                }
              }),
          new Row(
              "its transactions are applied late",
              (w, back) -> {
                at(w, 7000, () -> w.state().lateCommits(0.25, 2600, 7));
                for (int i = 0; i < 8; i++) {
                  crash(w, 9000 + 3100 * i, "n" + i % 3, back);
                }
                at(w, 36_000, () -> w.state().lateCommits(0, 0, 7));
              }),
          new Row(
              "its commands to workers are held and come late",
              (w, back) -> {
                for (int i = 0; i < 4; i++) {
                  int machine = i;
                  at(w, 8000 + 500 * i, () -> w.cutMachine(machine, true));
                  at(w, 14_000 + 2000 * i, () -> w.healMachine(machine, ""));
                }
                for (int i = 0; i < 6; i++) {
                  crash(w, 8600 + 1300 * i, "n" + i % 3, Math.min(back, 1000));
                }
              }),
          new Row(
              "its peers do not hear it",
              (w, back) -> {
                at(w, 8500, () -> w.cutFromPeers("n1", true));
                crash(w, 9000, "n1", back);
                crash(w, 12_000, "n1", back);
                at(w, 16_000, () -> w.cutFromPeers("n1", false));
              }),
          new Row(
              "told to end, and back",
              (w, back) -> {
                at(w, 9000, () -> w.restart("n1", 3000, back));
                at(w, 14_000, () -> w.restart(leader(w), 3000, back));
              }),
          new Row(
              "cut from the state service, its transactions held",
              (w, back) -> {
                at(w, 8700, () -> w.cutFromState("n1", true));
                crash(w, 9000, "n1", back);
                at(w, 13_000, () -> w.healFromState("n1"));
              }));

  static Stream<Arguments> rows() {
    List<Arguments> out = new ArrayList<>();
    for (Row row : ROWS) {
      for (int back : BACK_MS) {
        out.add(Arguments.of(row, back));
      }
    }
    return out.stream();
  }

  @ParameterizedTest(name = "{0}, back after {1} ms")
  @MethodSource("rows")
  void comesBackAtOnce(Row row, int backMs) {
    SimWorld w = new SimWorld(31 + backMs, 14, 20);
    Random r = new Random(backMs);
    List<String> finite = w.users.submitSmall(r, 4000, 30_000, 5000, n -> n % 2 == 0 ? 5 : 6);
    row.trouble.accept(w, backMs);
    w.run(240_000);
    assertEquals(0, w.full);
    ClusterTest.check(w, finite);
  }

  /** What its restarts cost the state service, whose limits all share. */
  @Test
  void oneThatCrashesAgainAndAgainCostsTheOthersLittle() {
    SimWorld w = new SimWorld(41, 14, 20);
    w.run(20_000);
    int requests = w.state().requests();
    int commits = w.state().commits();
    w.run(60_000);
    int quietRequests = w.state().requests() - requests;
    int quietCommits = w.state().commits() - commits;
    requests = w.state().requests();
    commits = w.state().commits();
    for (int i = 0; i < 30; i++) {
      crash(w, 2000L * i, "n1", 300);
    }
    w.run(60_000);
    double aStart = (w.state().requests() - requests - quietRequests) / 30.0;
    double written = (w.state().commits() - commits - quietCommits) / 30.0;
    System.out.println("a start: " + aStart + " requests, " + written + " transactions");
    // Of 250 requests a second: 30 starts a minute are to take a tenth of them at most.
    assertTrue(aStart < 50, "requests a start " + aStart);
    assertTrue(written < 6, "transactions a start " + written);
  }
}
