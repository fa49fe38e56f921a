package wickdrift.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import wickdrift.bookkeeping.StateServiceClient.Change;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.sim.SimJobs;

/**
 * Guards against records that a load reads at different revisions being taken for one state: a
 * task's stored state whose job was accepted between the two reads was deleted as left over.
 */
class LoadConsistencyTest {
  private static final String JOB_ID = "req-000001";
  private static final String JOB_KEY = Job.key(JOB_ID);
  private static final String CHUNK_KEY = "w/t/" + JOB_ID + "/0";
  private static final String OVERFLOW_KEY = "w/a/" + JOB_ID + "/abc-0";
  private static final long LOADED_REV = 10;
  private static final long JOB_STAMP = 20;
  private static final long PLACED_REV = 25;
  private static final long CHUNK_STAMP = 30;

  private final Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
  private Object jobValue;
  private Object chunkValue;

  @BeforeEach
  void buildRecords() throws BadMessage {
    JobSpec spec =
        JobSpec.parse(Document.parse(MessageCodec.encode(SimJobs.job(1, "batch", 2, 1, 10))));
    jobValue = asStored(Job.toStore(spec, null, 5, "n0", 0));
    Tables other = new Tables(List.of(), LevelRange.BUILD, () -> {});
    other.apply(List.of(new Change(JOB_KEY, jobValue, JOB_STAMP)), JOB_STAMP);
    TaskState live = TaskState.NEW.placed(1, other.getOrCreateMachine("i-1"), 0);
    chunkValue = asStored(other.job(JOB_ID).encodeChunk(0, PLACED_REV, i -> live));
  }

  private static Object asStored(Object value) throws BadMessage {
    return MessageCodec.decode(MessageCodec.encode(value));
  }

  private void load(Change... records) {
    tables.reset();
    tables.load(List.of(records), LOADED_REV);
  }

  private void apply(Change... changes) {
    tables.apply(List.of(changes), changes[changes.length - 1].stamp());
  }

  @Test
  void chunkReadBeforeItsJobIsNoOrphanOnceTheJobIsKnown() {
    load(new Change(CHUNK_KEY, chunkValue, CHUNK_STAMP));
    apply(new Change(JOB_KEY, jobValue, JOB_STAMP), new Change(CHUNK_KEY, chunkValue, CHUNK_STAMP));
    assertTrue(tables.orphanedRecords().isEmpty(), "orphans: " + tables.orphanedRecords());
    assertEquals(2, tables.job(JOB_ID).liveCount());
    assertFalse(tables.needsReload());
  }

  /** The changes do not repeat a chunk that was read before them; its content must not be lost. */
  @Test
  void tablesReloadWhenAJobAppearsWhoseChunkWasSkipped() {
    load();
    apply(new Change(CHUNK_KEY, chunkValue, CHUNK_STAMP));
    apply(new Change(JOB_KEY, jobValue, CHUNK_STAMP + 1));
    assertTrue(tables.orphanedRecords().isEmpty(), "orphans: " + tables.orphanedRecords());
    assertTrue(tables.needsReload());
    apply(new Change(JOB_KEY, null, CHUNK_STAMP + 2));
    assertFalse(tables.needsReload());
    assertEquals(CHUNK_KEY, tables.orphanedRecords().get(0).key());
  }

  /** While the job's record cannot be read, its log entries and chunks are skipped. */
  @Test
  void tablesReloadWhenAJobRecordBecomesReadable() throws BadMessage {
    load(new Change(JOB_KEY, asStored(Map.of("off", "maybe")), 5));
    assertFalse(tables.needsReload());
    apply(new Change(JOB_KEY, jobValue, JOB_STAMP));
    assertTrue(tables.needsReload());
  }

  @Test
  void chunkOfAnEndedJobIsAnOrphanWithTheStampsThatItsDeletionRequires() throws BadMessage {
    Object terminal = asStored(Job.terminalToStore(new TerminalState("done", 2, 7)));
    load(
        new Change(OVERFLOW_KEY, asStored(Map.of("names", List.of("req-000002"))), 4),
        new Change(JOB_KEY, terminal, 8),
        new Change(CHUNK_KEY, chunkValue, 6));
    assertEquals(
        List.of(
            new OrphanedRecords.Orphan(OVERFLOW_KEY, 4, JOB_ID),
            new OrphanedRecords.Orphan(CHUNK_KEY, 6, JOB_ID)),
        tables.orphanedRecords());
    assertEquals(8, tables.recordStampOfEndedJob(JOB_ID));
    apply(new Change(JOB_KEY, null, 11));
    assertEquals(0, tables.recordStampOfEndedJob(JOB_ID));
    apply(new Change(CHUNK_KEY, null, 12), new Change(OVERFLOW_KEY, null, 12));
    assertTrue(tables.orphanedRecords().isEmpty());
  }
}
