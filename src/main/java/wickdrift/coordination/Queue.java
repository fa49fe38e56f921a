package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Tables;
import wickdrift.daemon.Settings;

/** The order in which jobs are served: priority, then guarantees, then age. */
final class Queue {
  private Queue() {}

  static List<Job> order(Tables tables, Settings settings) {
    List<Job> byAge = new ArrayList<>(tables.jobs());
    byAge.sort(Comparator.comparingLong(Job::acceptedWallMs).thenComparing(Job::id));
    Set<Job> guaranteed = guaranteed(byAge, settings);
    List<Job> waiting = new ArrayList<>();
    for (Job j : byAge) {
      if (j.waiting() > 0 && !j.withdrawn()) {
        waiting.add(j);
      }
    }
    waiting.sort(
        Comparator.comparingInt((Job j) -> j.spec().priority().ordinal())
            .thenComparingInt(j -> guaranteed.contains(j) ? 0 : 1)
            .thenComparingLong(Job::acceptedWallMs)
            .thenComparing(Job::id));
    return waiting;
  }

  /** Jobs that fit into their team's guarantee together with the team's earlier unfinished ones. */
  static Set<Job> guaranteed(List<Job> byAge, Settings settings) {
    Map<String, double[]> left = new HashMap<>();
    for (Settings.Team t : settings.teams()) {
      left.put(t.name(), new double[] {t.cpus(), t.gpus()});
    }
    Set<Job> in = new HashSet<>();
    for (Job j : byAge) {
      double[] l = left.get(j.spec().team());
      if (l == null || j.withdrawn()) {
        continue;
      }
      int n = j.size() - j.done();
      l[0] -= n * j.spec().cpus();
      l[1] -= n * j.spec().gpus();
      Settings.Team t = team(settings, j.spec().team());
      boolean cpuOk = t.cpus() == 0 || l[0] >= -Room.EPS;
      boolean gpuOk = t.gpus() == 0 || l[1] >= -Room.EPS;
      if ((t.cpus() > 0 || t.gpus() > 0) && cpuOk && gpuOk) {
        in.add(j);
      }
    }
    return in;
  }

  static Settings.Team team(Settings settings, String name) {
    for (Settings.Team t : settings.teams()) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }
}
