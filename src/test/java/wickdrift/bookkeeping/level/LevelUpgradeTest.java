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

/** When the level may rise, and what of it is malformed. */
class LevelUpgradeTest {
  private static Document doc(Map<String, Object> m) throws BadMessage {
    return Document.parse(MessageCodec.encode(m));
  }

  /** Names with the most that they speak: {@code a2 b1}. */
  private static Map<String, Integer> levels(String text) {
    Map<String, Integer> out = new TreeMap<>();
    for (String s : text == null ? new String[0] : text.split(" ")) {
      out.put(s.substring(0, 1), Integer.parseInt(s.substring(1)));
    }
    return out;
  }

  @ParameterizedTest(name = "{0}: there {1}, announced {2}, named {3}, said {4}, done {5}")
  @CsvSource({
    // level | there | announced for good | settings name | operators say | done | then | why
    "1, a2 b2 c2, a2 b2 c2, a b c, ,          0, 2, ''",
    "1, a2 b2,    a2 b2 c2, a b c, ,          0, 2, ''",
    "1, a2 b2,    a2 b2,    a b c, ,          0, 1, c is down and has announced nothing",
    "1, a2 b2,    a2 b2 c1, a b c, ,          0, 1, c is down and spoke levels 1 to 1",
    "1, a2 b2 c1, a2 b2 c2, a b c, ,          0, 1, c speaks levels 1 to 1",
    "1, a2 b2,    a2 b2,    a b c, without c, 0, 2, ''",
    "1, a2 b2 c1, a2 b2,    a b c, without c, 0, 1, c speaks levels 1 to 1",
    "1, a2 b2 c2, a2 b2 c2, a b c, held numbers, 0, 1, gate numbers is held back",
    "1, a2 b2 c2, a2 b2 c2, a b c, held later, 0, 1, gate later is held back",
    // One that nobody here names, but a member's settings do.
    "1, a2 b2,    a2 b2,    a,     ,          0, 2, ''",
    "1, a2 b2 d2, a2 b2 d2, a b,   ,          0, 1, e is down and has announced nothing",
    "2, a3 b3,    a3 b3,    a b,   ,          2, 3, ''",
    // Level 3 changes no form: it asks for no conversion, and comes in one step with level 2.
    "2, a3 b3,    a3 b3,    a b,   ,          0, 3, ''",
    "1, a3 b3 c3, a3 b3 c3, a b c, ,          0, 3, ''",
    "1, a3 b3 c2, a3 b3 c2, a b c, ,          0, 2, ''",
    "1, a3 b3 c3, a3 b3 c3, a b c, held takes, 0, 2, ''",
    "1, a3 b3 c3, a3 b3 c3, a b c, held numbers, 0, 1, gate numbers is held back",
    // One that nobody here knows may change forms: it waits.
    "4, a5 b5,    a5 b5,    a b,   ,          2, 4, records of a form older than level 4 are left",
    "4, a5 b5,    a5 b5,    a b,   ,          4, 5, ''",
    "5, a5 b5,    a5 b5,    a b,   ,          5, 5, ''",
    // Nor does level 4, however old the records are.
    "3, a4 b4,    a4 b4,    a b,   ,          0, 4, ''",
    "3, a4 b4 c3, a4 b4 c4, a b c, ,          2, 3, c speaks levels 1 to 3",
    "3, a4 b4,    a4 b4 c3, a b c, ,          2, 3, c is down and spoke levels 1 to 3",
    "3, a4 b4 c4, a4 b4 c4, a b c, held awaits, 2, 3, gate awaits is held back"
  })
  void theLevelRisesWhenAllThatMayActSpeakIt(
      int now,
      String there,
      String announced,
      String named,
      String said,
      int done,
      int then,
      String why)
      throws BadMessage {
    NodeRegistry registry = new NodeRegistry(List.of("a", "b", "c"));
    int stamp = 10;
    for (Map.Entry<String, Integer> e : levels(announced).entrySet()) {
      int n = e.getKey().charAt(0) - 'a';
      List<String> peers = e.getKey().equals("d") ? List.of("d", "e") : List.of(e.getKey());
      NodeRecord a = NodeRecord.create(n, e.getKey(), new LevelRange(1, e.getValue()), peers);
      registry.apply("" + n, doc(a.toStore()), stamp++);
    }
    if (said != null) {
      String[] word = said.split(" ");
      OperatorOverrides w =
          word[0].equals("held")
              ? OperatorOverrides.NONE.withGateHeld(word[1], true)
              : OperatorOverrides.NONE.withNodeIgnored(word[1], true);
      registry.apply("word", doc(w.toStore()), 30);
    }
    if (done > 0) {
      registry.apply("done", doc(NodeRegistry.encodeConvertedLevel(done)), 31);
    }
    Map<String, LevelRange> live = new TreeMap<>();
    levels(there).forEach((n, most) -> live.put(n, new LevelRange(1, most)));
    LevelUpgrade r =
        LevelUpgrade.evaluate(now, new LevelRange(1, 5), live, List.of(named.split(" ")), registry);
    assertEquals(then, r.level());
    assertEquals(why.isEmpty() ? List.of() : List.of(why), r.blockers());
    if (then > now) {
      assertEquals(said == null ? 0L : 30L, r.conditions().get(OperatorOverrides.KEY));
      for (String n : levels(announced).keySet()) {
        // Of one that is down: that it has not come back, nor announced anything else.
        boolean asked = r.conditions().containsKey("w/m/" + n);
        assertEquals(!live.containsKey(n) && List.of(named.split(" ")).contains(n), asked, n);
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"0, 1", "2, 1", "-1, 2", "1, 99999999999", "1, ", ", 2"})
  void aRangeThatIsNoneIsRefused(Long least, Long most) throws BadMessage {
    Map<String, Object> m = new TreeMap<>();
    if (least != null) {
      m.put("least", least);
    }
    if (most != null) {
      m.put("most", most);
    }
    Document d = doc(m);
    assertThrows(BadMessage.class, () -> LevelRange.parse(d));
  }

  /** What is malformed leaves the roster as it was. */
  @ParameterizedTest
  @CsvSource({"70000, number", "what, number", "list, names one twice", "word, not a list"})
  void aMalformedRecordOfTheRosterIsRefused(String name, String why) throws BadMessage {
    NodeRegistry registry = new NodeRegistry(List.of("a", "b"));
    Document d =
        doc(Map.of("name", "x", "peers", List.of(), "names", List.of("a", "a"), "held", 7L));
    BadMessage e = assertThrows(BadMessage.class, () -> registry.apply(name, d, 5));
    assertTrue(e.getMessage().contains(why), e.getMessage());
    assertEquals(List.of("a", "b"), registry.initialNames());
    assertEquals(OperatorOverrides.NONE, registry.overrides());
  }

  /** A number is never given twice, whoever is gone. */
  @Test
  void aNumberIsNeverGivenTwice() throws BadMessage {
    NodeRegistry registry = new NodeRegistry(List.of("a", "b"));
    registry.apply("list", doc(NodeRegistry.encodeInitialNames(List.of("a", "b", "c"))), 1);
    assertEquals(3, registry.nextNumber());
    registry.apply(
        "7", doc(NodeRecord.create(7, "z", LevelRange.BUILD, List.of("z")).toStore()), 2);
    assertEquals(8, registry.nextNumber());
    assertEquals(7, registry.numberOf("z"));
    assertEquals("c", registry.name(2));
    assertEquals(-1, registry.numberOf("q"));
  }
}
