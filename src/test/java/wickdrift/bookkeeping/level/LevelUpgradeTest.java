package wickdrift.bookkeeping.level;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.MessageCodec;

/** When the level in force may be upgraded, and which records of it are malformed. */
class LevelUpgradeTest {
  private static Document toDocument(Map<String, Object> fields) throws BadMessage {
    return Document.parse(MessageCodec.encode(fields));
  }

  /** Parses node names with the highest level that each supports: {@code a2 b1}. */
  private static Map<String, Integer> parseLevels(String text) {
    Map<String, Integer> maxLevels = new TreeMap<>();
    for (String s : text == null ? new String[0] : text.split(" ")) {
      maxLevels.put(s.substring(0, 1), Integer.parseInt(s.substring(1)));
    }
    return maxLevels;
  }

  @ParameterizedTest(
      name = "{0}: live {1}, announced {2}, configured {3}, override {4}, converted {5}")
  @CsvSource({
    // level, live, announced in records, configured, override, converted level, expected, blocker
    "1, a2 b2 c2, a2 b2 c2, a b c, ,          0, 2, ''",
    "1, a2 b2,    a2 b2 c2, a b c, ,          0, 2, ''",
    "1, a2 b2,    a2 b2,    a b c, ,          0, 1, c is down and has announced nothing",
    "1, a2 b2,    a2 b2 c1, a b c, ,          0, 1, c is down and spoke levels 1 to 1",
    "1, a2 b2 c1, a2 b2 c2, a b c, ,          0, 1, c speaks levels 1 to 1",
    "1, a2 b2,    a2 b2,    a b c, without c, 0, 2, ''",
    "1, a2 b2 c1, a2 b2,    a b c, without c, 0, 1, c speaks levels 1 to 1",
    "1, a2 b2 c2, a2 b2 c2, a b c, held numbers, 0, 1, gate numbers is held back",
    "1, a2 b2 c2, a2 b2 c2, a b c, held later, 0, 1, gate later is held back",
    // A node counts although only the settings of a member name it: d's record names e.
    "1, a2 b2,    a2 b2,    a,     ,          0, 2, ''",
    "1, a2 b2 d2, a2 b2 d2, a b,   ,          0, 1, e is down and has announced nothing",
    "2, a3 b3,    a3 b3,    a b,   ,          2, 3, ''",
    // Level 3 changes no encoding: it needs no conversion and comes in one step with level 2.
    "2, a3 b3,    a3 b3,    a b,   ,          0, 3, ''",
    "1, a3 b3 c3, a3 b3 c3, a b c, ,          0, 3, ''",
    "1, a3 b3 c2, a3 b3 c2, a b c, ,          0, 2, ''",
    "1, a3 b3 c3, a3 b3 c3, a b c, held takes, 0, 2, ''",
    "1, a3 b3 c3, a3 b3 c3, a b c, held numbers, 0, 1, gate numbers is held back",
    // Level 7 has no gate in this build and may change encodings: it waits for the conversion.
    "6, a7 b7,    a7 b7,    a b,   ,          2, 6, records of a form older than level 6 are left",
    "6, a7 b7,    a7 b7,    a b,   ,          6, 7, ''",
    "7, a7 b7,    a7 b7,    a b,   ,          7, 7, ''",
    // Level 6 changes no encoding and doesn't wait.
    "5, a6 b6,    a6 b6,    a b,   ,          2, 6, ''",
    "5, a6 b6 c5, a6 b6 c6, a b c, ,          2, 5, c speaks levels 1 to 5",
    "5, a6 b6 c6, a6 b6 c6, a b c, held wake_ups, 2, 5, gate wake_ups is held back",
    // Level 5 changes no encoding and doesn't wait.
    "4, a5 b5,    a5 b5,    a b,   ,          2, 5, ''",
    "4, a5 b5 c4, a5 b5 c5, a b c, ,          2, 4, c speaks levels 1 to 4",
    "4, a5 b5 c5, a5 b5 c5, a b c, held peer_processes, 2, 4, gate peer_processes is held back",
    // Level 4 changes no encoding either and doesn't wait, however old the records are.
    "3, a4 b4,    a4 b4,    a b,   ,          0, 4, ''",
    "3, a4 b4 c3, a4 b4 c4, a b c, ,          2, 3, c speaks levels 1 to 3",
    "3, a4 b4,    a4 b4 c3, a b c, ,          2, 3, c is down and spoke levels 1 to 3",
    "3, a4 b4 c4, a4 b4 c4, a b c, held awaits, 2, 3, gate awaits is held back"
  })
  void theLevelIsUpgradedWhenAllControllersThatMayActSupportIt(
      int currentLevel,
      String liveNodes,
      String announced,
      String configuredNodes,
      String override,
      int convertedLevel,
      int expectedLevel,
      String blocker)
      throws BadMessage {
    NodeRegistry registry = new NodeRegistry(List.of("a", "b", "c"));
    int stamp = 10;
    for (Map.Entry<String, Integer> e : parseLevels(announced).entrySet()) {
      int number = e.getKey().charAt(0) - 'a';
      List<String> peers = e.getKey().equals("d") ? List.of("d", "e") : List.of(e.getKey());
      NodeRecord nodeRecord =
          NodeRecord.create(number, e.getKey(), new LevelRange(1, e.getValue()), peers);
      registry.apply("" + number, toDocument(nodeRecord.toStore()), stamp++);
    }
    if (override != null) {
      String[] overrideFields = override.split(" ");
      OperatorOverrides overrides =
          overrideFields[0].equals("held")
              ? OperatorOverrides.NONE.withGateHeld(overrideFields[1], true)
              : OperatorOverrides.NONE.withNodeIgnored(overrideFields[1], true);
      registry.apply("word", toDocument(overrides.toStore()), 30);
    }
    if (convertedLevel > 0) {
      registry.apply("done", toDocument(NodeRegistry.encodeConvertedLevel(convertedLevel)), 31);
    }
    Map<String, LevelRange> live = new TreeMap<>();
    parseLevels(liveNodes).forEach((name, max) -> live.put(name, new LevelRange(1, max)));
    LevelUpgrade upgrade =
        LevelUpgrade.evaluate(
            currentLevel,
            new LevelRange(1, 7),
            live,
            List.of(configuredNodes.split(" ")),
            registry);
    assertEquals(expectedLevel, upgrade.level());
    assertEquals(blocker.isEmpty() ? List.of() : List.of(blocker), upgrade.blockers());
    if (expectedLevel > currentLevel) {
      assertEquals(override == null ? 0L : 30L, upgrade.conditions().get(OperatorOverrides.KEY));
      for (String name : parseLevels(announced).keySet()) {
        // The upgrade is conditional on nodes that are down: they must not have come back.
        boolean conditional = upgrade.conditions().containsKey("w/m/" + name);
        assertEquals(
            !live.containsKey(name) && List.of(configuredNodes.split(" ")).contains(name),
            conditional,
            name);
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"0, 1", "2, 1", "-1, 2", "1, 99999999999", "1, ", ", 2"})
  void anInvalidLevelRangeIsRefused(Long min, Long max) throws BadMessage {
    Map<String, Object> fields = new TreeMap<>();
    if (min != null) {
      fields.put("least", min);
    }
    if (max != null) {
      fields.put("most", max);
    }
    Document document = toDocument(fields);
    assertThrows(BadMessage.class, () -> LevelRange.parse(document));
  }

  /** A malformed record leaves the node registry unchanged. */
  @ParameterizedTest
  @CsvSource({"70000, number", "what, number", "list, names one twice", "word, not a list"})
  void aMalformedRegistryRecordIsRefused(String key, String reason) throws BadMessage {
    NodeRegistry registry = new NodeRegistry(List.of("a", "b"));
    Document document =
        toDocument(Map.of("name", "x", "peers", List.of(), "names", List.of("a", "a"), "held", 7L));
    BadMessage e = assertThrows(BadMessage.class, () -> registry.apply(key, document, 5));
    assertTrue(e.getMessage().contains(reason), e.getMessage());
    assertEquals(List.of("a", "b"), registry.initialNames());
    assertEquals(OperatorOverrides.NONE, registry.overrides());
  }

  /** The next number is above all numbers ever assigned, also those of nodes that are gone. */
  @Test
  void nodeNumbersAreNeverReused() throws BadMessage {
    NodeRegistry registry = new NodeRegistry(List.of("a", "b"));
    registry.apply("list", toDocument(NodeRegistry.encodeInitialNames(List.of("a", "b", "c"))), 1);
    assertEquals(3, registry.nextNumber());
    registry.apply(
        "7", toDocument(NodeRecord.create(7, "z", LevelRange.BUILD, List.of("z")).toStore()), 2);
    assertEquals(8, registry.nextNumber());
    assertEquals(7, registry.numberOf("z"));
    assertEquals("c", registry.name(2));
    assertEquals(-1, registry.numberOf("q"));
  }
}
