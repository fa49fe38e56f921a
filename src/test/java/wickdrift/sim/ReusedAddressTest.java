package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.Report;

/** Direct commands are answered by another machine, which has the address of one that is gone. */
class ReusedAddressTest {
  private static final int JOBS = 12;

  /** Guards against taking another machine's report for the state of the machine that was meant. */
  @ParameterizedTest
  @ValueSource(longs = {6201, 6202, 6203})
  void answerOfAnotherMachineTellsNothingAboutTheOneThatWasMeant(long seed) {
    SimWorld world = new SimWorld(seed, 4, 4);
    world.run(10_000);
    for (int i = 0; i < JOBS; i++) {
      world.users.submit(SimJobs.job(i, "batch", 1, 1, 300), 0);
    }
    world.run(15_000);
    SimWorker gone =
        world.workers().stream().filter(w -> jobsOn(world, w).size() >= 2).findFirst().get();
    List<String> jobs = jobsOn(world, gone);
    SimWorker other = world.workers().stream().filter(w -> w != gone).findFirst().get();
    String owner = world.ownerOf("n0", gone.name);
    world.killMachine(world.workers().indexOf(gone));
    world.net.listen(gone.address, other);
    world.users.withdraw(jobs.get(0), owner);
    world.run(1500);
    assertEquals(1, answersByOthers(world, owner));
    Report known = world.tables(owner).machine(gone.name).report();
    assertEquals(gone.name, known.machine());
    assertEquals(0, world.metric(owner, "wickdrift.workers.restarted"));
    world.users.withdraw(jobs.get(1), owner);
    world.run(60_000);
    assertEquals(1, answersByOthers(world, owner), "sent to that address again");
    assertEquals("withdrawn", world.lastReportedPhase(jobs.get(0)));
    assertEquals("withdrawn", world.lastReportedPhase(jobs.get(1)));
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  private static double answersByOthers(SimWorld world, String owner) {
    return world.metric(owner, "wickdrift.commands.answered.by.other");
  }

  /** Returns the jobs that have a task on a machine. */
  private static List<String> jobsOn(SimWorld world, SimWorker worker) {
    return IntStream.range(0, JOBS)
        .mapToObj(i -> String.format("req-%06d", i))
        .filter(job -> worker.hasTask(job + "/0"))
        .toList();
  }
}
