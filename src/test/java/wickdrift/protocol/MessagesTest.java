package wickdrift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import wickdrift.sim.SimJobs;

/** Encoding of messages, and the validation of submitted jobs. */
class MessagesTest {
  @Test
  void anEncodedMessageIsDecodedUnchanged() throws BadMessage {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("text", "żółw");
    fields.put("count", 1L << 40);
    fields.put("amount", 2.5);
    fields.put("flag", true);
    fields.put("none", null);
    fields.put("list", List.of(1L, "two", Map.of("k", 3L)));
    assertEquals(fields, MessageCodec.decode(MessageCodec.encode(fields)));
  }

  static List<Arguments> invalidSubmissions() {
    List<Arguments> submissions = new ArrayList<>();
    for (String missing :
        List.of(
            "ref",
            "jobclass",
            "owner",
            "shape",
            "rank",
            "shards",
            "cores",
            "gpus",
            "memoryGb",
            "bundle",
            "pullGb",
            "oneZone",
            "apart",
            "reclaimable",
            "expectS",
            "checkpointEveryS",
            "flushS")) {
      submissions.add(Arguments.of(missing, null));
    }
    Object[][] invalidValues = {
      {"ref", "job-1"},
      {"ref", "req-1/2"},
      {"ref", 7},
      {"shape", "pile"},
      {"rank", "top"},
      {"shards", 0},
      {"shards", 100_001},
      {"shards", 1.5},
      {"shards", -1},
      {"cores", -1.0},
      {"cores", Double.NaN},
      {"cores", Double.POSITIVE_INFINITY},
      {"gpus", "one"},
      {"oneZone", 1},
      {"flavours", "g4"},
      {"flavours", List.of(1)},
      {"region", 3},
      {"dueS", -2.0},
      {"bundle", ""},
    };
    Arrays.stream(invalidValues).forEach(w -> submissions.add(Arguments.of(w[0], w[1])));
    return submissions;
  }

  @ParameterizedTest(name = "{0} = {1}")
  @MethodSource("invalidSubmissions")
  void theErrorOfAnInvalidSubmissionNamesTheField(String field, Object value) {
    Map<String, Object> fields = SimJobs.job(1, "batch", 2, 1, 10);
    fields.put(field, value);
    byte[] body = MessageCodec.encode(fields);
    assertTrue(submissionError(body).contains(field), submissionError(body));
    fields.remove(field);
    if (value == null) {
      assertTrue(submissionError(MessageCodec.encode(fields)).contains(field));
    }
  }

  /** The error with which admission refuses a submission, or an empty text if it is valid. */
  private static String submissionError(byte[] body) {
    try {
      Document document = Document.parse(body);
      JobSpec.parse(document);
      return JobSpec.missingField(document) == null ? "" : JobSpec.missingField(document);
    } catch (BadMessage e) {
      return e.getMessage();
    }
  }

  /** Optional fields may be null or absent, and unknown fields are ignored. */
  @ParameterizedTest
  @ValueSource(strings = {"flavours", "region", "dueS", "awaits", "unknown"})
  void optionalFieldsMayBeNullOrAbsent(String field) throws BadMessage {
    Map<String, Object> fields = SimJobs.job(1, "batch", 2, 1, 10);
    fields.remove(field);
    assertEquals("", submissionError(MessageCodec.encode(fields)));
    JobSpec without = JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
    fields.put(field, null);
    assertEquals("", submissionError(MessageCodec.encode(fields)));
    assertEquals(without, JobSpec.parse(Document.parse(MessageCodec.encode(fields))));
  }

  @Test
  void aStoredJobIsReadBackAsSubmitted() throws BadMessage {
    Map<String, Object> fields = SimJobs.job(1, "daemon", 9, 1, 0);
    fields.put("unknown", "ignored");
    fields.put("flavours", List.of("g4"));
    fields.put("region", "a");
    fields.put("dueS", 9.5);
    JobSpec spec = JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
    assertEquals(spec, JobSpec.parse(Document.parse(MessageCodec.encode(spec.toStore()))));
    assertEquals(5, spec.maxTasksPerZone());
  }
}
