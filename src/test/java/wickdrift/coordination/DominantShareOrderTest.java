package wickdrift.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Partition.QuotaShare;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.MessageCodec;
import wickdrift.settings.Settings;
import wickdrift.sim.SimJobs;

/**
 * The order in which jobs of several teams are considered, by the resources that the teams hold.
 */
class DominantShareOrderTest {
  /** Jobs are written as team and GPUs: a4 is a job of team a that requests four GPUs. */
  @ParameterizedTest(name = "{0}, held {1}, guaranteed {2}: {3}")
  @CsvSource({
    // The jobs of one team keep their order.
    "a1 a2 a3, , , a1 a2 a3",
    // Two teams that hold nothing alternate.
    "a1 a1 a1 b1 b1, , , a1 b1 a1 b1 a1",
    // Team a holds four GPUs: team b is served first until it has as many.
    "a1 a1 b1 b1 b1 b1 b1, a4, , b1 b1 b1 b1 a1 b1 a1",
    // A large job counts with all its GPUs.
    "a8 a1 b1 b1 b1, , , a8 b1 b1 b1 a1",
    // A team with twice the guarantee gets two GPUs for each one of the other.
    "a1 a1 a1 a1 b1 b1, , a20 b10, a1 b1 a1 a1 b1 a1",
    // A team without a guarantee counts as one with the smallest guarantee.
    "a1 a1 b1 b1, , a10, a1 b1 a1 b1",
    // Many jobs of one team don't delay the single job of another.
    "a1 a1 a1 a1 a1 a1 b1, a1, , b1 a1 a1 a1 a1 a1 a1"
  })
  void theTeamWithTheSmallestDominantShareIsNext(
      String jobs, String held, String guaranteed, String expectedOrder) throws BadMessage {
    Tables tables = new Tables(List.of(), LevelRange.BUILD, () -> {});
    Map<String, List<Job>> jobsByTeam = new LinkedHashMap<>();
    Map<Job, String> names = new LinkedHashMap<>();
    int number = 0;
    for (String name : jobs.split(" ")) {
      Map<String, Object> fields = SimJobs.job(++number, "batch", 1, name.charAt(1) - '0', 5);
      fields.put("owner", name.substring(0, 1));
      fields.put("cores", 0.0);
      JobSpec spec = JobSpec.parse(Document.parse(MessageCodec.encode(fields)));
      Object stored =
          MessageCodec.decode(MessageCodec.encode(Job.toStore(spec, null, number, "n0", 0)));
      tables.apply(
          List.of(new StateServiceClient.Change(Job.key(spec.id()), stored, number)), number);
      jobsByTeam.computeIfAbsent(spec.team(), team -> new ArrayList<>()).add(tables.job(spec.id()));
      names.put(tables.job(spec.id()), name);
    }
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    gpusByTeam(guaranteed)
        .forEach((team, gpus) -> teams.put(team, new Settings.Team(team, 0, 0, gpus, 0)));
    Map<String, Double> heldGpus = gpusByTeam(held);
    DominantShareOrder shareOrder =
        new DominantShareOrder(
            jobsByTeam, team -> new QuotaShare(0, heldGpus.getOrDefault(team, 0.0)), teams);
    StringBuilder actual = new StringBuilder();
    while (shareOrder.hasNext()) {
      actual.append(actual.isEmpty() ? "" : " ").append(names.get(shareOrder.next()));
    }
    assertEquals(expectedOrder, actual.toString());
  }

  private static Map<String, Double> gpusByTeam(String text) {
    Map<String, Double> amounts = new LinkedHashMap<>();
    for (String s : text == null ? new String[0] : text.split(" ")) {
      amounts.put(s.substring(0, 1), Double.parseDouble(s.substring(1)));
    }
    return amounts;
  }
}
