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
    assertDoesNotThrow(KnownRedList::load);
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
        "wickdrift.knownred.NoSuchTest.theListIsValid | cause | issue 44"
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
