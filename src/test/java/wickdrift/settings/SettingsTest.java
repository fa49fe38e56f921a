package wickdrift.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.electronwill.nightconfig.toml.TomlParser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.StateServiceLimits;

/** Which settings are accepted, and which field the error of an invalid one names. */
class SettingsTest {
  private static final String VALID =
      """
      host_name = "a"
      serve_on = "10.0.0.1:8080"
      back = "10.0.0.1:8081"
      location = "z"
      novel = 1
      [[peers]]
      host_name = "b"
      peer_addr = "10.0.0.2:8081"
      [endpoints]
      cloud = "10.2.0.2:1"
      state = "10.2.0.1:1"
      [cluster]
      nodes = 2
      zones = ["z"]
      [[cluster.teams]]
      name = "t"
      gpus = 4.0
      gpus_max = 8.0
      [cluster.workers]
      report_s = 3.0
      lease_s = 28.0
      gang_wait_s = 30.0
      gang_peer_s = 5.0
      cancel_s = 53.0
      [cluster.state]
      rps = 250.0
      write_rps = 100.0
      value_kb = 32.0
      txn_ops = 16
      [cluster.state.next]
      write_rps = 70.0
      value_kb = 2.0
      txn_ops = 5
      [cluster.cloud]
      rps = 4.0
      list_lag_s = 5.0
      [cluster.quota]
      fd_limit = 1500
      """;

  private static Settings parse(String toml) throws Settings.InvalidSettingsException {
    return Settings.parse(new TomlParser().parse(toml));
  }

  @Test
  void unknownFieldsAreIgnored() throws Settings.InvalidSettingsException {
    Settings settings = parse(VALID);
    assertEquals("a", settings.node());
    assertEquals(16, settings.stateLimits().txnOps());
    assertEquals(8.0, settings.teams().get(0).maxGpus());
    // Limits absent from [cluster.state.next] keep their values; without the table none change.
    assertEquals(new StateServiceLimits.Bounds(250, 70, 2, 5), settings.nextLimits());
    assertNull(parse(VALID.replace("[cluster.state.next]", "[cluster.later]")).nextLimits());
  }

  @ParameterizedTest(name = "{0} -> {1}")
  @CsvSource(
      delimiter = '|',
      value = {
        "host_name = \"a\"            | # gone                      | host_name",
        "serve_on = \"10.0.0.1:8080\" | serve_on = \"nowhere\"      | serve_on",
        "state = \"10.2.0.1:1\"       | # gone                      | endpoints.state",
        "nodes = 2                    | nodes = 3                   | cluster.nodes",
        "host_name = \"b\"            | host_name = \"a\"           | peers",
        "gpus = 4.0                   | gpus = 9.0                  | cluster.teams",
        "lease_s = 28.0               | lease_s = 2.0               | cluster.workers.lease_s",
        "report_s = 3.0               | report_s = \"often\"        | cluster.workers.report_s",
        "rps = 250.0                  | rps = 0.0                   | cluster.state.rps",
        "txn_ops = 16                 | txn_ops = 2                 | cluster.state.txn_ops",
        "fd_limit = 1500              | fd_limit = -1               | cluster.quota.fd_limit",
        "write_rps = 70.0             | write_rps = 0.0             | cluster.state.next.write_rps",
        "value_kb = 2.0               | value_kb = \"small\"          | cluster.state.next.value_kb",
        "value_kb = 2.0               | value_kb = 0.5              | cluster.state.next.value_kb",
        "txn_ops = 5                  | txn_ops = 3                 | cluster.state.next.txn_ops",
        "[cluster.state.next]         | next = 7\\n[cluster.other]   | cluster.state.next",
      })
  void theErrorNamesTheInvalidField(String original, String replacement, String field) {
    String toml = VALID.replace(original, replacement.replace("\\n", "\n"));
    Settings.InvalidSettingsException e =
        assertThrows(Settings.InvalidSettingsException.class, () -> parse(toml));
    assertTrue(e.getMessage().contains(field), e.getMessage());
  }
}
