package wickdrift.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Sound submissions are accepted, however their users write them, and each is one job. */
class SoundSubmissionTest {
  private static final String ID = "req-427622";
  private static final int INCIDENT_BYTES = 1573;

  /** The labels of the submission in the records of the incident, byte for byte. */
  private static final String LABELS =
      "87a76772c3b6c39f65ade697a5e69cace8aa9e20e29c93a16ecfffffffffffffffffa16df9a166cb3ff4000000000000"
          + "a46e6f6e65c0a16c939080c3a4646565709191919190";

  private static void pack(MessageBufferPacker packer, Object value) throws IOException {
    if (value == null) {
      packer.packNil();
    } else if (value instanceof String text) {
      packer.packString(text);
    } else if (value instanceof Integer number) {
      packer.packInt(number);
    } else if (value instanceof Double amount) {
      packer.packDouble(amount);
    } else if (value instanceof byte[] encoded) {
      packer.writePayload(encoded);
    } else {
      packer.packBoolean((Boolean) value);
    }
  }

  /** Returns the submission of the incident, with the given value of its unknown labels. */
  private static byte[] submission(byte[] labels, String image) throws IOException {
    Object[][] fields = {
      {"x_text", "lorem ipsum ".repeat(100)},
      {"apart", false},
      {"bundle", image},
      {"checkpointEveryS", 0.0},
      {"cores", 6.0},
      {"dueS", null},
      {"expectS", 40.0},
      {"flavours", null},
      {"flushS", 0.0},
      {"gpus", 1.0},
      {"jobclass", "warstwy-hash"},
      {"memoryGb", 24.0},
      {"oneZone", false},
      {"owner", "vision"},
      {"pullGb", 0.1},
      {"rank", "standard"},
      {"reclaimable", true},
      {"ref", ID},
      {"region", null},
      {"shape", "batch"},
      {"shards", 2},
      {"x_labels", labels},
    };
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      // The records show a header of three bytes, although fewer would do.
      packer.writePayload(new byte[] {(byte) 0xde, 0, (byte) fields.length});
      for (Object[] field : fields) {
        packer.packString((String) field[0]);
        pack(packer, field[1]);
      }
      return packer.toByteArray();
    }
  }

  static byte[] incidentSubmission() throws IOException {
    byte[] labels = HexFormat.of().parseHex(LABELS);
    int missing = INCIDENT_BYTES - submission(labels, "img").length;
    return submission(labels, "img" + "g".repeat(missing));
  }

  private static SimWorld startedWorld(long seed) {
    SimWorld world = new SimWorld(seed, 4, 4);
    world.run(8000);
    world.users.registerSpec(SimJobs.job(427_622, "batch", 2, 1, 40));
    return world;
  }

  private static int submit(SimWorld world, String node, byte[] body) {
    return world.users.request(node, "POST", "/api/jobs", body).status();
  }

  @Test
  void theRefusedSubmissionOfTheIncidentIsAccepted() throws IOException {
    byte[] body = incidentSubmission();
    assertEquals(INCIDENT_BYTES, body.length);
    assertEquals(201, submit(startedWorld(6), "n0", body));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "cfffffffffffffffff",
        "cf8000000000000000",
        "d38000000000000000",
        "cb7ff8000000000000",
        "a2c328",
        "8101c0",
        "c4020707",
        "d6ff00000001",
        "depth 13",
        "depth 2000",
        "depth 31000"
      })
  void aValueThatNobodyReadsDoesNotRefuseASubmission(String value) throws IOException {
    byte[] encoded;
    if (value.startsWith("depth ")) {
      encoded = new byte[Integer.parseInt(value.substring(6))];
      Arrays.fill(encoded, (byte) 0x91);
      encoded[encoded.length - 1] = (byte) 0x90;
    } else {
      encoded = HexFormat.of().parseHex(value);
    }
    assertEquals(201, submit(startedWorld(6), "n1", submission(encoded, "img")));
  }

  /** The protocol limits no name; a record that no stored value can hold is tried again later. */
  @ParameterizedTest
  @CsvSource({"1000, 201", "5000, 503"})
  void aLongNameDoesNotMakeASubmissionMalformed(int characters, int status) throws IOException {
    byte[] noLabels = {(byte) 0xc0};
    byte[] body = submission(noLabels, "g".repeat(characters));
    assertEquals(status, submit(startedWorld(6), "n0", body));
  }

  /** The protocol limits the size as JSON: there, 0 takes one byte and its comma another. */
  @ParameterizedTest
  @CsvSource({"30000, cb0000000000000000, 201", "40000, cb0000000000000000, 400", "40000, 00, 400"})
  void theSizeOfASubmissionIsLimitedAsJson(int elements, String zero, int status)
      throws IOException {
    ByteArrayOutputStream labels = new ByteArrayOutputStream();
    labels.write(0xdd);
    labels.write(new byte[] {0, 0, (byte) (elements >> 8), (byte) elements});
    for (int i = 0; i < elements; i++) {
      labels.write(HexFormat.of().parseHex(zero));
    }
    assertEquals(status, submit(startedWorld(6), "n0", submission(labels.toByteArray(), "img")));
  }

  /** The same job in other spellings, at two nodes at once and later, is accepted once. */
  @ParameterizedTest
  @ValueSource(longs = {6, 7, 8})
  void aJobInAnotherSpellingIsTheSameJob(long seed) throws Exception {
    SimWorld world = startedWorld(seed);
    Map<String, Object> job = SimJobs.job(1, "batch", 2, 1, 5);
    byte[] body = world.users.registerSpec(job);
    MessageVariation variation = new MessageVariation(seed, 1);
    int[] created = new int[1];
    for (String node : List.of("n0", "n1", "n2", "n0")) {
      world
          .net
          .caller("user", () -> true)
          .call(
              node,
              "POST",
              "/api/jobs",
              variation.vary(body),
              5000,
              answer -> created[0] += answer.status() == 201 ? 1 : 0);
    }
    world.run(60_000);
    assertEquals(200, submit(world, "n2", variation.vary(body)));
    assertEquals(2, world.startCount());
    assertEquals(List.of(), world.violations());
  }
}
