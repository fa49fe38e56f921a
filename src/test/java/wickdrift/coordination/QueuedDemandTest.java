package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** Tasks that wait at a partition count as used capacity of that partition. */
class QueuedDemandTest {
  private static final String JOB_ID = "req-000001";

  private static JobSpec spec(int tasks, double gpus) throws Exception {
    return JobSpec.parse(
        Document.parse(MessageCodec.encode(SimJobs.job(1, "batch", tasks, gpus, 5))));
  }

  private final Tables tables = new Tables(List.of("n1", "n2"), LevelRange.BUILD, () -> {});
  private long revision;

  /** Stores the job in the given partition and returns it as the tables hold it. */
  private Job storeJob(String partition, int tasks, double gpus) throws Exception {
    Object value = Job.toStore(spec(tasks, gpus), null, 1, partition, 0);
    Object stored = MessageCodec.decode(MessageCodec.encode(value));
    revision++;
    tables.apply(
        List.of(new StateServiceClient.Change(Job.key(JOB_ID), stored, revision)), revision);
    return tables.job(JOB_ID);
  }

  /** The simulated world's tasks request 4 CPUs and 16 GB of memory each. */
  @ParameterizedTest
  @CsvSource({
    // waiting tasks, GPUs per task, GPUs of the next task, tasks equivalent to the queued demand
    "0, 1, 1, 0",
    "3, 1, 1, 3",
    "3, 2, 1, 6",
    // The scarcest resource counts, here the memory.
    "3, 1, 4, 3",
    "4, 2, 4, 4"
  })
  void demandIsCountedByTheScarcestResource(
      int waiting, double gpusPerTask, double nextGpusPerTask, double expectedTasks)
      throws Exception {
    QueuedDemand demand = new QueuedDemand();
    demand.update(storeJob("n1", 9, gpusPerTask), waiting);
    assertEquals(expectedTasks, demand.equivalentTasks(spec(1, nextGpusPerTask), "n1"), 1e-9);
    assertEquals(0, demand.equivalentTasks(spec(1, nextGpusPerTask), "n2"), 1e-9);
    assertEquals(waiting, demand.tasksWithImage(spec(1, nextGpusPerTask), "n1"));
  }

  @Test
  void demandFollowsTheWaitingTasksAndThePartitionOfAJob() throws Exception {
    QueuedDemand demand = new QueuedDemand();
    Job job = storeJob("n1", 9, 1);
    demand.update(job, 9);
    demand.update(job, 4);
    assertEquals(4, demand.equivalentTasks(spec(1, 1), "n1"), 1e-9);
    demand.add(spec(2, 1), "n1");
    assertEquals(6, demand.equivalentTasks(spec(1, 1), "n1"), 1e-9);
    // The job moves to another partition.
    assertSame(job, storeJob("n2", 9, 1));
    demand.update(job, 4);
    assertEquals(2, demand.equivalentTasks(spec(1, 1), "n1"), 1e-9);
    assertEquals(4, demand.equivalentTasks(spec(1, 1), "n2"), 1e-9);
    demand.update(job, 0);
    assertEquals(0, demand.equivalentTasks(spec(1, 1), "n2"), 1e-9);
  }
}
