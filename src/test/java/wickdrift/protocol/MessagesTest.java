package wickdrift.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
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

class MessagesTest {
  @Test
  void anEncodedMessageIsDecodedUnchanged() throws BadMessage {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("text", "żółw");
    m.put("count", 1L << 40);
    m.put("amount", 2.5);
    m.put("flag", true);
    m.put("none", null);
    m.put("list", List.of(1L, "two", Map.of("k", 3L)));
    assertEquals(m, MessageCodec.decode(MessageCodec.encode(m)));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "", // nothing at all
        "c1", // a byte that MessagePack never uses
        "c40161", // binary data
        "81a161", // a map that ends early
        "dd7fffffff01", // a list longer than its message
        "df7fffffffa16101", // a map longer than its message
        "810101", // a key that is not text
        "81a1610101", // bytes after the end
        "91919191919191919191919191919191", // too deep
        "81a161cfffffffffffffffff" // a count beyond 63 bits
      })
  void malformedBytesAreRefused(String hex) {
    byte[] b = new byte[hex.length() / 2];
    for (int i = 0; i < b.length; i++) {
      b[i] = (byte) Integer.parseInt(hex.substring(2 * i, 2 * i + 2), 16);
    }
    assertThrows(BadMessage.class, () -> MessageCodec.decode(b));
  }

  static List<Arguments> invalidSubmissions() {
    List<Arguments> out = new ArrayList<>();
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
      out.add(Arguments.of(missing, null));
    }
    Object[][] wrong = {
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
    Arrays.stream(wrong).forEach(w -> out.add(Arguments.of(w[0], w[1])));
    return out;
  }

  @ParameterizedTest(name = "{0} = {1}")
  @MethodSource("invalidSubmissions")
  void theErrorOfAnInvalidSubmissionNamesTheField(String field, Object value) {
    Map<String, Object> m = SimJobs.job(1, "batch", 2, 1, 10);
    m.put(field, value);
    byte[] body = MessageCodec.encode(m);
    assertTrue(submissionError(body).contains(field), submissionError(body));
    m.remove(field);
    if (value == null) {
      assertTrue(submissionError(MessageCodec.encode(m)).contains(field));
    }
  }

  /** What the door finds wrong with a submission; empty: nothing. */
  private static String submissionError(byte[] body) {
    try {
      Document d = Document.parse(body);
      JobSpec.parse(d);
      return JobSpec.lacks(d) == null ? "" : JobSpec.lacks(d);
    } catch (BadMessage e) {
      return e.getMessage();
    }
  }

  /** What may be null may be left out, and what nobody knows is ignored. */
  @ParameterizedTest
  @ValueSource(strings = {"flavours", "region", "dueS", "awaits", "unknown"})
  void optionalFieldsMayBeNullOrAbsent(String field) throws BadMessage {
    Map<String, Object> m = SimJobs.job(1, "batch", 2, 1, 10);
    m.remove(field);
    assertEquals("", submissionError(MessageCodec.encode(m)));
    JobSpec without = JobSpec.parse(Document.parse(MessageCodec.encode(m)));
    m.put(field, null);
    assertEquals("", submissionError(MessageCodec.encode(m)));
    assertEquals(without, JobSpec.parse(Document.parse(MessageCodec.encode(m))));
  }

  @Test
  void aStoredJobIsReadBackAsSubmitted() throws BadMessage {
    Map<String, Object> m = SimJobs.job(1, "daemon", 9, 1, 0);
    m.put("unknown", "ignored");
    m.put("flavours", List.of("g4"));
    m.put("region", "a");
    m.put("dueS", 9.5);
    JobSpec s = JobSpec.parse(Document.parse(MessageCodec.encode(m)));
    assertEquals(s, JobSpec.parse(Document.parse(MessageCodec.encode(s.toStore()))));
    assertEquals(5, s.zoneLimit());
  }
}
