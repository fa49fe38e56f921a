package wickdrift.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The served share of each class and team, computed from small sample reports. */
class ServedSharesTest {
  private static final String TWO_CLASSES =
      "{'scenario':'d','rules_broken':{'total':0},"
          + "'classes':{'a':{'jobs':10,'accepted':9,'started':8,'done':7},"
          + "'b':{'jobs':4,'accepted':4,'started':1,'done':0}},"
          + "'teams':{'t':{'jobs':14,'started':9}}}";

  private static String withDoubleQuotes(String text) {
    return text.replace('\'', '"');
  }

  static Stream<Arguments> reports() {
    return Stream.of(
        Arguments.of(TWO_CLASSES, "d: least served class b 0.250, FAILED"),
        Arguments.of(
            TWO_CLASSES.replace("'started':1", "'started':2"), "d: least served class b 0.500"),
        // Of a class and a team with equal shares, the class is named.
        Arguments.of(
            "{'scenario':'d','rules_broken':{'total':0},"
                + "'classes':{'z':{'jobs':2,'accepted':2,'started':2,'done':2}},"
                + "'teams':{'a':{'jobs':2,'started':2}}}",
            "d: least served class z 1.000"),
        // A class without jobs counts as fully served.
        Arguments.of(
            "{'scenario':'d','rules_broken':{'total':0},"
                + "'classes':{'a':{'jobs':0,'accepted':0,'started':0,'done':0}},'teams':{}}",
            "d: least served class a 1.000"),
        // Less than half of a class's largest jobs started in time: the day has failed.
        Arguments.of(
            TWO_CLASSES
                .replace("'started':1", "'started':4")
                .replace(
                    "'teams'",
                    "'targets':[{'kind':'up','class':'a','value':0.1},"
                        + "{'kind':'wait','class':'a-largest','value':0.49},"
                        + "{'kind':'wait','class':'c-largest','of':0,'value':0.0},"
                        + "{'kind':'wait','class':'b-largest','of':7,'value':0.9}],'teams'"),
            "d: least served team t 0.643, largest in time 0.490 a-largest, FAILED"),
        Arguments.of(
            "{'scenario':'d','rules_broken':{'total':3},'classes':{},"
                + "'teams':{'a':{'jobs':3,'started':2}}}",
            "d: least served team a 0.667, 3 times a rule was broken, FAILED"));
  }

  @ParameterizedTest
  @MethodSource("reports")
  void theSummaryNamesTheLeastServed(String report, String summaryLine)
      throws InvalidInputException {
    assertEquals(summaryLine, ServedShares.parse(withDoubleQuotes(report)).summaryLine());
  }

  static Stream<Arguments> malformedReports() {
    return Stream.of(
        Arguments.of("[]", "not a JSON object"),
        Arguments.of("{'scenario':'d'}", "classes is missing"),
        Arguments.of(TWO_CLASSES.replace("'jobs':4,", ""), "classes.b.jobs is missing"),
        Arguments.of(TWO_CLASSES.replace("'done':7", "'done':-1"), "classes.a.done is not a count"),
        Arguments.of(
            TWO_CLASSES.replace("'accepted':9", "'accepted':'9'"),
            "classes.a.accepted is not a count"),
        Arguments.of(TWO_CLASSES.replace("'teams'", "'crews'"), "teams is missing"),
        Arguments.of(TWO_CLASSES.replace("'started':9}", "'ran':9}"), "teams.t.started is missing"),
        Arguments.of(TWO_CLASSES.replace("'total'", "'sum'"), "rules_broken.total is missing"),
        Arguments.of(TWO_CLASSES.replace("'scenario':'d',", ""), "scenario is missing"),
        Arguments.of(
            "{'scenario':'d','classes':{},'teams':{},'rules_broken':{'total':0}}",
            "classes and teams are empty"));
  }

  @ParameterizedTest
  @MethodSource("malformedReports")
  void aMalformedReportIsRefused(String report, String reason) {
    InvalidInputException e =
        assertThrows(
            InvalidInputException.class, () -> ServedShares.parse(withDoubleQuotes(report)));
    assertEquals(reason, e.getMessage());
  }

  @Test
  void theFullTextListsEveryRow() throws InvalidInputException {
    assertEquals(
        """
        d: least served class b 0.250, FAILED
          class b: served 0.250 (asked 4, accepted 4, started 1, done 0)
          team t: served 0.643 (asked 14, accepted -, started 9, done -)
          class a: served 0.800 (asked 10, accepted 9, started 8, done 7)""",
        ServedShares.parse(withDoubleQuotes(TWO_CLASSES)).fullText());
  }
}
