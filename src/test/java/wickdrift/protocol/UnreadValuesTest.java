package wickdrift.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import wickdrift.bookkeeping.level.Encoding;
import wickdrift.sim.MessageVariation;
import wickdrift.sim.SimJobs;

/** What nobody reads refuses no message, and goes back as it was received. */
class UnreadValuesTest {
  private static EncodedValue encoded(String hexOrDepth) throws BadMessage {
    if (hexOrDepth.startsWith("depth ")) {
      byte[] lists = new byte[Integer.parseInt(hexOrDepth.substring(6))];
      Arrays.fill(lists, (byte) 0x91);
      lists[lists.length - 1] = (byte) 0x90;
      return EncodedValue.of(lists);
    }
    return EncodedValue.of(HexFormat.of().parseHex(hexOrDepth));
  }

  private static Map<String, Object> report(Map<String, Object> task) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("host", "i-1");
    fields.put("address", "10.1.0.1:1");
    fields.put("flavour", "g4");
    fields.put("region", "a");
    fields.put("tenure", 1);
    fields.put("tick", 2);
    fields.put("shards", List.of(task));
    return fields;
  }

  private static Map<String, Object> task() {
    return new LinkedHashMap<>(Map.of("shard", "req-1/0", "try", 1, "phase", "running"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "cfffffffffffffffff", // 2^64 - 1
        "cf8000000000000000", // 2^63
        "d38000000000000000", // -2^63
        "cb7ff8000000000000", // NaN
        "ca3f800000", // a decimal of 32 bits
        "d900", // a text with a longer header than it needs
        "a2c328", // a text that is not UTF-8
        "810107", // a map whose key is a number
        "c40107", // binary data
        "d6ff00000001", // an extension: a timestamp
        "depth 13",
        "depth 2000",
        "depth 60000",
      })
  void anUnknownFieldRefusesNoMessageAndIsKeptByteForByte(String value) throws BadMessage {
    Map<String, Object> submission = SimJobs.job(1, "batch", 2, 1, 10);
    JobSpec spec = JobSpec.parse(Document.parse(MessageCodec.encode(submission)));
    submission.put("unknown", encoded(value));
    Document document = Document.parse(MessageCodec.encode(submission));
    assertEquals(spec, JobSpec.parse(document));
    assertEquals(Map.of("unknown", encoded(value)), JobSpec.unknownFields(document));
    Map<String, Object> stored = new LinkedHashMap<>(spec.toStore());
    stored.putAll(JobSpec.unknownFields(document));
    byte[] numbered = MessageCodec.encode(Encoding.wrap(Encoding.NUMBERED, stored));
    Document readAgain = Encoding.decode(EncodedValue.of(numbered), Encoding.NUMBERED);
    assertEquals(spec, JobSpec.parse(readAgain));
    assertArrayEquals(
        MessageCodec.encode(encoded(value)),
        MessageCodec.encode(JobSpec.unknownFields(readAgain).get("unknown")));

    Report known = Report.parse(Document.parse(MessageCodec.encode(report(task()))));
    Map<String, Object> task = task();
    task.put("unknown", encoded(value));
    Map<String, Object> report = report(task);
    report.put("unknown", encoded(value));
    assertEquals(known, Report.parse(Document.parse(MessageCodec.encode(report))));
  }

  @ParameterizedTest
  @CsvSource({
    "'', the message ends early",
    "81a161, the message ends early",
    "81a1619191, the message ends early",
    "ddffffffff01, the message ends early",
    "dd7fffffff01, the message ends early",
    "df7fffffffa16101, the message ends early",
    "c1, not MessagePack",
    "81a161c1, not MessagePack",
    "81a1610101, bytes after the end of the message",
    "91a161, not a map",
    "c40161, not a map",
  })
  void whatIsNoMapOfMessagePackIsRefusedWithItsCause(String hex, String cause) {
    BadMessage error =
        assertThrows(BadMessage.class, () -> Document.parse(HexFormat.of().parseHex(hex)), hex);
    assertEquals(cause, error.getMessage());
  }

  @ParameterizedTest
  @CsvSource({
    "shards, cfffffffffffffffff, shards is out of range",
    "shards, d3ffffffffffffffff, shards is not a count",
    "cores, c40107, cores is not an amount",
    "cores, 9191919191919191919191919191919191919190, cores is not an amount",
    "region, 810107, region is not text",
    "oneZone, cfffffffffffffffff, oneZone is not true or false",
    "flavours, 91810107, flavours holds something that is not text",
  })
  void aKnownFieldIsCheckedWhereItIsReadAndTheErrorTellsWhere(
      String field, String hex, String cause) throws BadMessage {
    Map<String, Object> submission = SimJobs.job(1, "batch", 2, 1, 10);
    submission.remove(field);
    byte[] withoutField = MessageCodec.encode(submission);
    submission.put(field, encoded(hex));
    byte[] body = MessageCodec.encode(submission);
    BadMessage error = assertThrows(BadMessage.class, () -> JobSpec.parse(Document.parse(body)));
    assertEquals(cause, error.getMessage());
    boolean hasOffset = !cause.endsWith("out of range");
    assertEquals(
        hasOffset ? withoutField.length + 1 + field.length() : BadMessage.NO_OFFSET,
        error.offset());
  }

  @Test
  void ofAFieldThatOccursTwiceTheLastCounts() throws BadMessage {
    assertEquals(2, Document.parse(HexFormat.of().parseHex("82a16101a16102")).unsigned("a"));
  }

  @Test
  void numbersFrom2To63OnAreComparedAndPrintedAsUnsigned() throws BadMessage {
    Document document = Document.parse(HexFormat.of().parseHex("81a161cfffffffffffffffff"));
    long number = document.unsigned("a");
    assertEquals("18446744073709551615", Unsigned.toText(number));
    assertTrue(Unsigned.isGreater(number, Long.MAX_VALUE));
    assertEquals(number, Unsigned.max(7, number));
    assertEquals(7, Unsigned.min(7, number));
    assertArrayEquals(
        HexFormat.of().parseHex("cfffffffffffffffff"),
        MessageCodec.encode(Unsigned.toWire(number)));
    assertThrows(BadMessage.class, () -> document.count("a"));
  }

  @ParameterizedTest
  @CsvSource({
    "9300cb0000000000000000c3, '[0,0,true]'",
    "82a161c0a162a2c3b3, '{\"a\":null,\"b\":\"ó\"}'",
    "90, []",
    "a4f09f9880, '\"😀\"'",
  })
  void theShortestSizeAsJsonIsThatOfCompactUtf8(String hex, String json) throws BadMessage {
    assertEquals(
        json.getBytes(java.nio.charset.StandardCharsets.UTF_8).length,
        JsonSize.lowerBound(encoded(hex)));
  }

  /** Random values in random spellings are read as the library reads them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void valuesAreReadAsTheLibraryReadsThem(long seed) throws Exception {
    MessageVariation variation = new MessageVariation(seed, 1);
    byte[] message = MessageCodec.encode(SimJobs.job(1, "batch", 2, 1, 10));
    for (int i = 0; i < 300; i++) {
      byte[] body = variation.vary(message);
      Document document = Document.parse(body);
      try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
        Map<Value, Value> expected = unpacker.unpackValue().asMapValue().map();
        assertEquals(expected.size(), document.rawMap().size());
        for (Map.Entry<Value, Value> field : expected.entrySet()) {
          Object value = document.value(field.getKey().asStringValue().asString());
          try (MessageUnpacker single =
              MessagePack.newDefaultUnpacker(MessageCodec.encode(value))) {
            // Compared as texts, since a decimal that is no number equals nothing.
            assertEquals(field.getValue().toString(), single.unpackValue().toString());
          }
          assertSameScalar(field.getValue(), EncodedValue.of(MessageCodec.encode(value)).decode());
        }
      }
    }
  }

  private static void assertSameScalar(Value expected, Object actual) {
    if (expected.isIntegerValue()) {
      assertEquals(expected.asIntegerValue().toBigInteger().toString(), actual.toString());
    } else if (expected.isFloatValue()) {
      assertEquals(expected.asFloatValue().toDouble(), actual);
    } else if (expected.isStringValue()) {
      assertEquals(expected.asStringValue().toString(), actual);
    } else if (expected.isBooleanValue()) {
      assertEquals(expected.asBooleanValue().getBoolean(), actual);
    }
  }
}
