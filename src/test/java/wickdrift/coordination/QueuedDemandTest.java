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

/** What waits at a part is counted as room that is taken. */
class QueuedDemandTest {
  private static final String ID = "req-000001";

  private static JobSpec spec(int tasks, double gpus) throws Exception {
    return JobSpec.parse(
        Document.parse(MessageCodec.encode(SimJobs.job(1, "batch", tasks, gpus, 5))));
  }

  private final Tables tables = new Tables(List.of("n1", "n2"), LevelRange.BUILD, () -> {});
  private long rev;

  /** The job as it is in the tables once that is durable. */
  private Job job(String part, int tasks, double gpus) throws Exception {
    Object value = Job.toStore(spec(tasks, gpus), null, 1, part, 0);
    Object stored = MessageCodec.decode(MessageCodec.encode(value));
    rev++;
    tables.apply(List.of(new StateServiceClient.Change(Job.key(ID), stored, rev)), rev);
    return tables.job(ID);
  }

  /** SimWorld's tasks want 4 CPUs and 16 GB each. */
  @ParameterizedTest
  @CsvSource({
    // waiting | GPUs each | the next wants GPUs | tasks that would take what is promised
    "0, 1, 1, 0",
    "3, 1, 1, 3",
    "3, 2, 1, 6",
    // As many tasks as the scarcest of what is promised holds: here the memory.
    "3, 1, 4, 3",
    "4, 2, 4, 4"
  })
  void countsTheScarcest(int waiting, double gpus, double next, double tasks) throws Exception {
    QueuedDemand p = new QueuedDemand();
    p.update(job("n1", 9, gpus), waiting);
    assertEquals(tasks, p.equivalentTasks(spec(1, next), "n1"), 1e-9);
    assertEquals(0, p.equivalentTasks(spec(1, next), "n2"), 1e-9);
    assertEquals(waiting, p.tasksWithImage(spec(1, next), "n1"));
  }

  @Test
  void followsAJob() throws Exception {
    QueuedDemand p = new QueuedDemand();
    Job j = job("n1", 9, 1);
    p.update(j, 9);
    p.update(j, 4);
    assertEquals(4, p.equivalentTasks(spec(1, 1), "n1"), 1e-9);
    p.add(spec(2, 1), "n1");
    assertEquals(6, p.equivalentTasks(spec(1, 1), "n1"), 1e-9);
    // Handed to another part.
    assertSame(j, job("n2", 9, 1));
    p.update(j, 4);
    assertEquals(2, p.equivalentTasks(spec(1, 1), "n1"), 1e-9);
    assertEquals(4, p.equivalentTasks(spec(1, 1), "n2"), 1e-9);
    p.update(j, 0);
    assertEquals(0, p.equivalentTasks(spec(1, 1), "n2"), 1e-9);
  }
}
