package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.protocol.Report;

/** Direct commands are answered by another machine, which has the address of one that is gone. */
class ReusedAddressTest {
  private static final String JOB = "req-000001";
  private static final String TASK = JOB + "/0";

  /** Guards against taking another machine's report for the state of the machine that was meant. */
  @ParameterizedTest
  @ValueSource(longs = {6201, 6202, 6203})
  void answerOfAnotherMachineTellsNothingAboutTheOneThatWasMeant(long seed) {
    SimWorld world = new SimWorld(seed, 4, 4);
    world.run(10_000);
    world.users.submit(SimJobs.job(1, "batch", 1, 1, 300), 0);
    world.run(15_000);
    SimWorker gone = worker(world, world.rules.machineOf(TASK));
    SimWorker other = world.workers().stream().filter(w -> w != gone).findFirst().get();
    String owner = world.ownerOf("n0", gone.name);
    world.killMachine(world.workers().indexOf(gone));
    world.net.listen(gone.address, other);
    world.users.withdraw(JOB, owner);
    world.run(3000);
    assertEquals(1, answersByOthers(world, owner));
    Report known = world.tables(owner).machine(gone.name).report();
    assertEquals(gone.name, known.machine());
    assertEquals(0, world.metric(owner, "wickdrift.workers.restarted"));
    world.run(60_000);
    assertEquals(1, answersByOthers(world, owner), "sent to that address again");
    assertEquals("withdrawn", world.lastReportedPhase(JOB));
    ClusterTest.assertJobsDoneAndRulesHeld(world, List.of());
  }

  private static double answersByOthers(SimWorld world, String owner) {
    return world.metric(owner, "wickdrift.commands.answered.by.other");
  }

  private static SimWorker worker(SimWorld world, String name) {
    return world.workers().stream().filter(w -> w.name.equals(name)).findFirst().get();
  }
}
