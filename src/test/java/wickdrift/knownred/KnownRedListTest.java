package wickdrift.knownred;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which lists of known failing tests are valid. */
class KnownRedListTest {
  private static final String TEST = "wickdrift.knownred.KnownRedListTest.theListIsValid";

  /** Fails the build if the repository's own list has a fourth entry or names an unknown test. */
  @Test
  void theListIsValid() {
    List<KnownRedList.Entry> entries = assertDoesNotThrow(KnownRedList::load);
    entries.forEach(entry -> System.out.println("KNOWN RED, listed: " + entry));
  }

  @Test
  void anEntryMayBeACommandWithItsSeed() {
    String command = "command review/build.sh --runs 2 seed 7";
    List<KnownRedList.Entry> entries =
        KnownRedList.parse(
            List.of(
                command + " | a cause | issue 44",
                "command review/build.sh seed none | a cause | issue 44",
                TEST + " | a cause | issue 44"));
    assertEquals(new KnownRedList.Entry(command, "a cause", "issue 44"), entries.get(0));
    assertEquals(
        List.of(true, true, false), entries.stream().map(KnownRedList.Entry::isCommand).toList());
  }

  @Test
  void anEntryConsistsOfTestCauseAndIssue() {
    List<KnownRedList.Entry> entries =
        KnownRedList.parse(List.of("# comment", "", TEST + " | a cause | issue 44"));
    assertEquals(List.of(new KnownRedList.Entry(TEST, "a cause", "issue 44")), entries);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        TEST,
        TEST + " | cause",
        TEST + " | | issue 44",
        TEST + " | cause | issue 44 | more",
        "theListIsValid | cause | issue 44",
        "wickdrift.knownred.KnownRedListTest.noSuchTest | cause | issue 44",
        "wickdrift.knownred.NoSuchTest.theListIsValid | cause | issue 44",
        "command review/build.sh | cause | issue 44",
        "command review/build.sh seed | cause | issue 44",
        "command review/build.sh seed x | cause | issue 44",
        "command review/no-such-script.sh seed 7 | cause | issue 44",
        "command pom.xml seed 7 | cause | issue 44",
        "command ../review/build.sh seed 7 | cause | issue 44",
        "command /bin/sh seed 7 | cause | issue 44",
        "review/build.sh seed 7 | cause | issue 44"
      })
  void anInvalidLineIsRefused(String line) {
    assertThrows(KnownRedList.InvalidListException.class, () -> KnownRedList.parse(List.of(line)));
  }

  @Test
  void aFourthEntryIsRefused() {
    String line = TEST + " | cause | issue 44";
    assertDoesNotThrow(() -> KnownRedList.parse(List.of(line, line, line)));
    assertThrows(
        KnownRedList.InvalidListException.class,
        () -> KnownRedList.parse(List.of(line, line, line, line)));
  }
}
