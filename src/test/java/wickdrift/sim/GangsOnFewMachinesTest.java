package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Gangs start on fewer machines than they have members if several members fit on a machine. */
class GangsOnFewMachinesTest {
  @ParameterizedTest(name = "{1} gangs of {0} on {2} machines")
  @CsvSource({"2, 1, 1", "4, 1, 1", "2, 2, 2", "3, 2, 2", "4, 2, 2", "2, 4, 2", "3, 4, 4"})
  void gangMembersShareMachines(int tasks, int gangs, int machines) {
    SimWorld world = new SimWorld(510 + tasks, machines, machines, "aab", 60);
    world.run(8000);
    for (int i = 0; i < gangs; i++) {
      world.users.submit(SimJobs.job(i, "ensemble", tasks, 1, 300), 0);
    }
    world.run(25_000);
    assertEquals(gangs * tasks, world.startCount(), "gang members that started");
    assertEquals(List.of(), world.violations());
  }
}
