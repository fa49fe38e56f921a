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

class TransactionBuilderTest {
  private static final int PAGE = 3600;

  /** A gang starts in one transaction: a large one takes several pages of one revision. */
  @ParameterizedTest
  @CsvSource({"2, 1", "60, 1", "300, 2"})
  void aGangOfAnySizeIsPlacedInOneTransaction(int size, int leastPages) throws BadMessage {
    Tables t = new Tables(List.of("n0"), LevelRange.BUILD, () -> {});
    JobSpec s =
        JobSpec.parse(Document.parse(MessageCodec.encode(SimJobs.job(1, "ensemble", size, 1, 10))));
    Object record =
        MessageCodec.decode(MessageCodec.encode(Job.toStore(s, null, 5, Job.LEADER_PARTITION, 0)));
    t.apply(List.of(new StateServiceClient.Change("w/j/req-000001", record, 3)), 3);
    Job job = t.job("req-000001");
    TransactionBuilder d = new TransactionBuilder(t, "n0", 16, 16, PAGE);
    assertTrue(d.fitsWholeGang(job, size, 3));
    for (int i = 0; i < size; i++) {
      String machine = String.format("i-%06d", i);
      d.changeTask(job, i, x -> x.placed(1, t.getOrCreateMachine(machine), 0));
    }
    List<StateServiceClient.Change> news = new ArrayList<>();
    for (Object o : (List<?>) d.build().toRequest().get("then")) {
      Document w = Document.of(o);
      assertTrue(
          MessageCodec.jsonSize(w.raw("v")) <= PAGE,
          "a page takes " + MessageCodec.jsonSize(w.raw("v")));
      Object v = MessageCodec.decode(MessageCodec.encode(w.raw("v")));
      news.add(new StateServiceClient.Change(w.text("write"), v, 4));
    }
    assertTrue(news.size() >= leastPages && news.size() <= 13, "pages " + news.size());
    // Whatever the order in which the pages come.
    Collections.reverse(news);
    t.apply(news, 4);
    assertEquals(size, job.liveCount());
    // One exit at a time must fit however large the gang is: it must not hold up the others'.
    assertTrue(new TransactionBuilder(t, "n0", 16, 16, PAGE).fitsInPage(job, 1));
  }
}
