package wickdrift.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.electronwill.nightconfig.core.Config;
import com.electronwill.nightconfig.toml.TomlParser;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Variants of a small sample site, and days of faults resolved for it. */
class VariantTest {
  private static final String SITE =
      """
      name = "s"
      duration_s = 200.0
      [workers]
      lease_s = 20.0
      cancel_s = 30.0
      [nodes]
      count = 3
      restart_delay_s = 5.0
      [[machine_types]]
      name = "m"
      gpus = 4.0
      [[capacity]]
      type = "m"
      zone = "x"
      count = 100
      spot = 20
      [[capacity]]
      type = "m"
      zone = "y"
      count = 60
      [[teams]]
      name = "t"
      gpus = 10.0
      [[jobs]]
      name = "c"
      kind = "gang"
      initial = 7
      teams = ["t"]
      tasks = { sizes = [1, 2, 6], weights = [3.0, 2.0, 1.0] }
      arrivals = { rate = 0.5 }
      [[pipelines]]
      name = "p"
      arrivals = { rate = 0.2, start_s = 20.0 }
      [[day]]
      name = "d"
      faults = [
        { at_s = 1.0, kind = "node_crash", count = 3 },
        { at_s = 2.0, kind = "node_crash", count = 1 },
        { at_s = 3.0, kind = "machine_die", count = 10 },
        { at_s = 4.0, kind = "node_crash", count = 2 },
        { at_s = 5.0, kind = "node_roll", every_s = 15.0 },
      ]
      """;

  private static Config parse(String toml) {
    return new TomlParser().parse(toml);
  }

  private static Config siteWith(String variant) throws InvalidInputException {
    Config site = Toml.deepCopy(parse(SITE));
    new Variant(parse("name = \"v\"\n" + variant)).applyTo(site);
    return site;
  }

  private static String valueAt(Config config, String path) {
    Object value = config;
    for (String key : path.split("/")) {
      value =
          value instanceof List<?> list
              ? list.get(Integer.parseInt(key))
              : ((Config) value).get(key);
    }
    return String.valueOf(value);
  }

  static Stream<Arguments> variants() {
    return Stream.of(
        Arguments.of("machines = 1.5", "capacity/0/count", "150"),
        Arguments.of("machines = 1.5", "capacity/0/spot", "30"),
        Arguments.of("machines = 1.5", "day/0/faults/2/count", "15"),
        Arguments.of("machines = 1.5", "day/0/faults/0/count", "3"),
        Arguments.of("machines = 1.5", "jobs/0/initial", "7"),
        Arguments.of("load = 2.0", "jobs/0/initial", "14"),
        Arguments.of("load = 2.0", "jobs/0/arrivals/rate", "1.0"),
        Arguments.of("load = 2.0", "pipelines/0/arrivals/rate", "0.4"),
        Arguments.of("largest = 0.1", "jobs/0/arrivals/rate", "0.45"),
        Arguments.of("largest = 0.1", "jobs/1/arrivals/rate", "0.05"),
        Arguments.of("largest = 0.1", "jobs/1/name", "c-largest"),
        Arguments.of("largest = 0.1", "jobs/1/tasks/sizes/0", "6"),
        Arguments.of("largest = 0.1", "targets/0/class", "c-largest"),
        Arguments.of("largest = 0.1", "targets/0/within_s", "240.0"),
        Arguments.of("limits = 2.0", "teams/0/gpus", "20.0"),
        Arguments.of("controllers = 7", "nodes/count", "7"),
        // A fault of all three controllers becomes one of all seven; smaller counts stay.
        Arguments.of("controllers = 7", "day/0/faults/0/count", "7"),
        Arguments.of("controllers = 7", "day/0/faults/1/count", "1"),
        Arguments.of("controllers = 7", "day/0/faults/3/count", "2"),
        Arguments.of("controllers = 9", "day/0/faults/4/every_s", "5.0"),
        Arguments.of("restart_delay_s = 0.1", "nodes/restart_delay_s", "0.1"),
        Arguments.of("boot_s = 1.5", "machine_types/0/boot_s", "1.5"),
        Arguments.of("skew = 0.5", "capacity/0/count", "130"),
        Arguments.of("skew = 0.5", "capacity/1/count", "30"),
        Arguments.of("zone = \"z\"", "capacity/2/zone", "z"),
        Arguments.of("zone = \"z\"", "capacity/2/count", "53"),
        Arguments.of("zone = \"z\"", "capacity/0/count", "67"),
        Arguments.of("teams = [{name = \"g\", guaranteed = 0.1}]", "teams/0/gpus", "72.0"),
        Arguments.of("teams = [{name = \"g\", guaranteed = 0.1}]", "jobs/0/teams", "null"));
  }

  @ParameterizedTest
  @MethodSource("variants")
  void aVariantChangesTheNamedSettings(String variant, String path, String value)
      throws InvalidInputException {
    assertEquals(value, valueAt(siteWith(variant), path));
  }

  static Stream<Arguments> invalidVariants() {
    return Stream.of(
        Arguments.of("machine = 2.0", "variant v: machine is not known"),
        Arguments.of("load = \"2\"", "variant v: load is no number of at least 0"),
        Arguments.of("largest = 2.0", "variant v: largest is above 1"),
        Arguments.of("controllers = 0", "variant v: controllers is less than 1"),
        Arguments.of("teams = [{weight = 1.0}]", "variant v, team: name is missing or no text"));
  }

  @ParameterizedTest
  @MethodSource("invalidVariants")
  void anInvalidVariantIsRefused(String variant, String reason) {
    assertEquals(
        reason, assertThrows(InvalidInputException.class, () -> siteWith(variant)).getMessage());
  }

  static Stream<Arguments> dayFaults() {
    return Stream.of(
        Arguments.of("at = 0.5, kind = \"state_outage\"", "at_s", "100.0"),
        Arguments.of("at_s = 7.0, kind = \"state_outage\"", "at_s", "7.0"),
        Arguments.of("at_s = 7.0, kind = \"job_burst\", class = \"@gang\"", "class", "c"),
        Arguments.of("at_s = 7.0, kind = \"zone_cut\", zone = \"@1\"", "zone", "y"),
        Arguments.of("at_s = 7.0, kind = \"machine_die\", share = 0.1", "count", "18"),
        Arguments.of("at_s = 7.0, kind = \"node_crash\", share = 1.0", "count", "3"),
        Arguments.of("at_s = 7.0, kind = \"machine_mute\", share = 0.3", "share", "0.3"),
        Arguments.of("at = 0.5, plus_s = 1.5, kind = \"state_outage\"", "at_s", "101.5"),
        Arguments.of("at = 0.5, plus_s = 1.5, kind = \"state_outage\"", "plus_s", "null"),
        Arguments.of("at_s = 1.0, kind = \"zone_cut\", for_leases = 1.5", "for_s", "30.0"),
        Arguments.of("at_s = 1.0, kind = \"zone_cut\", for_cancels = 1.3", "for_s", "39.0"),
        Arguments.of("at_s = 1.0, kind = \"zone_cut\", for_cancels = 1.3", "for_cancels", "null"),
        // For other kinds of faults the share is a field of the fault and stays.
        Arguments.of("at_s = 7.0, kind = \"spot_taken\", share = 0.3", "share", "0.3"));
  }

  @ParameterizedTest
  @MethodSource("dayFaults")
  void faultsAreResolvedForTheSite(String fault, String field, String value)
      throws InvalidInputException {
    Config day = new Day(parse("name = \"d\"\nfaults = [{" + fault + "}]")).resolveFor(parse(SITE));
    assertEquals(value, valueAt(day, "faults/0/" + field));
  }

  /** A day changes classes of the site, selected by their name or by their kind. */
  @ParameterizedTest
  @ValueSource(strings = {"@gang", "c"})
  void aDayChangesAClassSelectedByNameOrKind(String name) throws InvalidInputException {
    Config day =
        new Day(parse("name = \"d\"\njobs = [{name = \"" + name + "\", cancelled = 0.8}]"))
            .resolveFor(parse(SITE));
    assertEquals("c 0.8", valueAt(day, "jobs/0/name") + " " + valueAt(day, "jobs/0/cancelled"));
  }

  @Test
  void aDayThatChangesAnUnknownClassIsRefused() {
    InvalidInputException e =
        assertThrows(
            InvalidInputException.class,
            () -> new Day(parse("name = \"d\"\njobs = [{name = \"x\"}]")).resolveFor(parse(SITE)));
    assertEquals("day d, jobs: the site has no jobs of name x", e.getMessage());
  }

  @Test
  void aRepeatedFaultIsListedForEachTime() throws InvalidInputException {
    Config day =
        new Day(
                parse(
                    "name = \"d\"\nfaults = ["
                        + "{at_s = 9.0, kind = \"a\", times = 3, every_s = 2.0},"
                        + "{at_s = 10.0, kind = \"b\"}]"))
            .resolveFor(parse(SITE));
    List<String> times =
        Toml.tables(day, "faults").stream().map(f -> f.get("kind") + "@" + f.get("at_s")).toList();
    assertEquals(List.of("a@9.0", "b@10.0", "a@11.0", "a@13.0"), times);
  }

  @ParameterizedTest
  @ValueSource(strings = {"@2", "@x", "@"})
  void aFaultInAnUnknownZoneIsRefused(String zone) {
    String fault = "at_s = 1.0, kind = \"zone_cut\", zone = \"" + zone + "\"";
    InvalidInputException e =
        assertThrows(
            InvalidInputException.class,
            () ->
                new Day(parse("name = \"d\"\nfaults = [{" + fault + "}]")).resolveFor(parse(SITE)));
    assertEquals("day d, fault zone_cut: the site has no zone " + zone, e.getMessage());
  }

  @Test
  void aFaultForAnUnknownKindIsRefused() {
    InvalidInputException e =
        assertThrows(
            InvalidInputException.class,
            () ->
                new Day(
                        parse(
                            "name=\"d\"\nfaults=[{at_s=1.0,kind=\"job_burst\",class=\"@array\"}]"))
                    .resolveFor(parse(SITE)));
    assertEquals("day d, fault job_burst: the site has no jobs of kind array", e.getMessage());
  }
}
