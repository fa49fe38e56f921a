import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A controller that passes reports on to the machines' owner ends and is back at once; does each
 * worker get the answer to its own report?
 */
final class Relay extends Case {
  private static final int MACHINES = 14;

  public static void main(String[] args) {
    run(new Relay(), args[0]);
  }

  private final Map<String, Rig.Worker> workers = new HashMap<>();

  @Override
  boolean play() throws Exception {
    // Up to three times with a deployment of its own, as not every answer finds a waiting report.
    boolean held = playOnce();
    for (int i = 1; i < 3 && held && record.s() < 75; i++) {
      rig.close();
      workers.clear();
      rig = new Rig(record);
      say("once more, with a new deployment");
      held = playOnce();
    }
    return held;
  }

  private boolean playOnce() throws Exception {
    rig.set.machinesUp = 0;
    rig.cloud.full = true;
    rig.restartMs = 0;
    rig.proxied = List.of("0>1", "2>1");
    rig.start();
    require(rig.awaitUp(20_000), "the controllers are not healthy");
    // All machines are in the zone of wick-1, which owns them; every second one is a spot machine.
    for (int i = 0; i < MACHINES; i++) {
      rig.cloud.boot("warszawa-b", i % 2 == 1, 0);
    }
    rig.cloud.workers().forEach(w -> workers.put(w.name, w));
    Thread.sleep(6500);
    if (trouble) {
      cutAndReturn();
    } else {
      submitGangs();
    }
    Thread.sleep(5000);
    int wrongPlace = 0;
    int ranTwice = 0;
    for (Rig.Start s : rig.starts) {
      boolean spot = workers.get(s.machine).spot;
      wrongPlace += spot ? 1 : 0;
      ranTwice += s.others.isEmpty() ? 0 : 1;
      say("%s attempt %d starts on %s, %s%s", s.shard, s.attempt, s.machine,
          spot ? "a SPOT machine" : "an ordinary machine",
          s.others.isEmpty() ? "" : ", WHILE IT IS ON " + s.others);
    }
    require(!rig.starts.isEmpty(), "no task started");
    say("wrong_place: %d starts, ran_twice: %d starts", wrongPlace, ranTwice);
    return wrongPlace == 0 && ranTwice == 0;
  }

  private void cutAndReturn() throws Exception {
    rig.networks.get(1).hold(true);
    rig.cutNodes.add(1);
    rig.commandsLost = true;
    long cutAt = Rig.now();
    say("wick-1 is cut off from the workers; packets of the other controllers to it are held back");
    while (Rig.now() < cutAt + 14_000 && passedOn(cutAt).size() < MACHINES - 5) {
      Thread.sleep(10);
    }
    List<String> before = passedOn(cutAt);
    Rig.Node relay = rig.nodes.get(2);
    relay.kill();
    long killedAt = Rig.now();
    relay.start();
    say("wick-2 had passed on reports of %s", before);
    Thread.sleep(Math.max(0, cutAt + 11_000 - Rig.now()));
    submitGangs();
    // The cut ends while reports wait for an answer whose numbers other machines' reports had.
    List<String> after = List.of();
    int open = 0;
    while (open == 0 && Rig.now() < cutAt + 22_000) {
      open = 0;
      after = passedOn(killedAt);
      for (int id = 0; id < Math.min(before.size(), after.size()); id++) {
        Rig.Worker now = workers.get(after.get(id));
        boolean waits = now.openTo == 2 && Rig.now() - now.openSince < 1000 && now.openSince > killedAt;
        open += waits && now.spot && !workers.get(before.get(id)).spot ? 1 : 0;
      }
      Thread.sleep(10);
    }
    rig.networks.get(1).hold(false);
    say("since its return wick-2 has passed on reports of %s", after);
    say("%.1f s after the cut the packets arrive", (Rig.now() - cutAt) / 1000.0);
    Thread.sleep(2000);
    rig.cutNodes.clear();
    rig.commandsLost = false;
    say("wick-1 reaches the workers");
  }

  /** Gangs of one task, as the site has them, which fill an ordinary machine each. */
  private void submitGangs() throws InterruptedException {
    List<Thread> users = new ArrayList<>();
    for (int i = 0; i < MACHINES / 2; i++) {
      Map<String, Object> job = rig.job(1 + i, "ensemble", 1, 28, 4, 100, 300, "zespol-skan");
      Thread t =
          new Thread(
              () -> {
                int status =
                    new Rig.Client(rig.nodes.get(0).port)
                        .request("POST", "/api/jobs", Rig.Msg.encode(job), 5000)
                        .status;
                say("submitted %s, not reclaimable: %d", job.get("ref"), status);
              });
      users.add(t);
      t.start();
    }
    for (Thread t : users) {
      t.join();
    }
  }

  /** The machines whose reports wick-2 has passed on since then, in order. */
  private List<String> passedOn(long since) {
    List<Object[]> all = new ArrayList<>();
    for (Object[] p : rig.passedOn) {
      if ((Integer) p[0] == 2 && (Long) p[2] >= since) {
        all.add(p);
      }
    }
    for (Rig.Worker w : workers.values()) {
      long sent = w.openSince;
      if (w.openTo == 2 && sent >= since && Rig.now() - sent > 150) {
        all.add(new Object[] {2, w.name, sent});
      }
    }
    all.sort(Comparator.comparingLong(p -> (Long) p[2]));
    List<String> names = new ArrayList<>();
    all.forEach(p -> names.add((String) p[1]));
    return names;
  }
}
