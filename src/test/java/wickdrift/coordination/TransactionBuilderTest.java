package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/** Transactions that place and end the tasks of large gangs. */
class TransactionBuilderTest {
  private static final int MAX_PAGE_BYTES = 3600;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;

  private static TransactionBuilder newBuilder(Tables tables) {
    return new TransactionBuilder(
        tables,
        "n0",
        new TransactionBuilder.Capacity(16, 16, MAX_TRANSACTION_BYTES, MAX_PAGE_BYTES),
        key -> true);
  }

  /** A gang starts in one transaction; a large gang takes several log pages of one revision. */
  @ParameterizedTest
  @CsvSource({"2, 1", "60, 1", "300, 2"})
  void aGangOfAnySizeIsPlacedInOneTransaction(int size, int minPages) throws BadMessage {
    Tables tables = new Tables(List.of("n0"), LevelRange.BUILD, () -> {});
    JobSpec spec =
        JobSpec.parse(Document.parse(MessageCodec.encode(SimJobs.job(1, "ensemble", size, 1, 10))));
    Object record =
        MessageCodec.decode(
            MessageCodec.encode(Job.toStore(spec, null, 5, Job.LEADER_PARTITION, 0)));
    tables.apply(List.of(new StateServiceClient.Change("w/j/req-000001", record, 3)), 3);
    Job job = tables.job("req-000001");
    TransactionBuilder builder = newBuilder(tables);
    assertTrue(builder.fitsWholeGang(job, size, 3));
    for (int i = 0; i < size; i++) {
      String machine = String.format("i-%06d", i);
      builder.changeTask(job, i, task -> task.placed(1, tables.getOrCreateMachine(machine), 0));
    }
    List<StateServiceClient.Change> changes = new ArrayList<>();
    for (Object operation : (List<?>) builder.build().toRequest().get("then")) {
      Document write = Document.of(operation);
      assertTrue(
          MessageCodec.jsonSize(write.raw("v")) <= MAX_PAGE_BYTES,
          "a page takes " + MessageCodec.jsonSize(write.raw("v")));
      Object value = MessageCodec.decode(MessageCodec.encode(write.raw("v")));
      changes.add(new StateServiceClient.Change(write.text("write"), value, 4));
    }
    assertTrue(changes.size() >= minPages && changes.size() <= 13, "pages " + changes.size());
    // The order in which the pages arrive doesn't matter.
    Collections.reverse(changes);
    tables.apply(changes, 4);
    assertEquals(size, job.liveCount());
    // A single exit fits however large the gang is, so it can't block the exits of other jobs.
    assertTrue(newBuilder(tables).fitsInPage(job, 1));
  }

  /** A transaction above 64 KiB is refused, however few writes it has. */
  @ParameterizedTest
  @CsvSource({"100", "5000", "28000"})
  void recordsAreAddedUpToTheSizeLimitOfATransaction(int recordBytes) throws BadMessage {
    Tables tables = new Tables(List.of("n0"), LevelRange.BUILD, () -> {});
    TransactionBuilder builder = newBuilder(tables);
    JobSpec spec =
        JobSpec.parse(Document.parse(MessageCodec.encode(SimJobs.job(1, "batch", 9, 1, 10))));
    Object record = MessageCodec.decode(MessageCodec.encode(Job.toStore(spec, null, 5, "n0", 0)));
    tables.apply(List.of(new StateServiceClient.Change("w/j/req-000001", record, 3)), 3);
    Object value = "x".repeat(recordBytes);
    int written = 0;
    while (builder.canWrite("w/t/req-000009/" + written, value)) {
      builder.write("w/t/req-000009/" + written, value, 0);
      written++;
    }
    assertTrue(written > 0);
    Job job = tables.job("req-000001");
    for (int i = 0; i < job.taskCount() && builder.fitsInPage(job, 1); i++) {
      String machine = String.format("i-%06d", i);
      builder.changeTask(job, i, task -> task.placed(1, tables.getOrCreateMachine(machine), 0));
    }
    int requestBytes = MessageCodec.jsonSize(builder.build().toRequest());
    assertTrue(requestBytes <= MAX_TRANSACTION_BYTES, "the transaction takes " + requestBytes);
  }
}
