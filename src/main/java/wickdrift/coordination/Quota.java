package wickdrift.coordination;

import java.util.HashMap;
import java.util.Map;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.TaskState;
import wickdrift.daemon.Settings;
import wickdrift.protocol.JobSpec;

/**
 * This node's share of the teams' limits. Each limit is divided evenly among all controllers of the
 * deployment, live or not, and every attempt counts against the share of the node that placed it.
 * So no interleaving of placers passes a limit, however old their tables are.
 */
final class Quota {
  private record Use(double cpus, double gpus) {
    Use plus(JobSpec s, int n) {
      return new Use(cpus + n * s.cpus(), gpus + n * s.gpus());
    }
  }

  private final Map<String, Settings.Team> teams = new HashMap<>();
  private final Map<String, Use> used = new HashMap<>();
  private final int nodes;

  Quota(Settings settings, Tables tables, int nodeIndex) {
    this.nodes = settings.peers().size() + 1;
    settings.teams().forEach(t -> teams.put(t.name(), t));
    for (Job job : tables.jobs()) {
      Settings.Team t = teams.get(job.spec().team());
      if (job.live() == 0 || t == null || t.cpusMax() == 0 && t.gpusMax() == 0) {
        continue;
      }
      int n = 0;
      for (int i = 0; i < job.size(); i++) {
        TaskState s = job.task(i);
        if (s.live() && s.placer() == nodeIndex) {
          n++;
        }
      }
      used.put(t.name(), used.getOrDefault(t.name(), new Use(0, 0)).plus(job.spec(), n));
    }
  }

  boolean allows(JobSpec spec) {
    return allows(spec, 1);
  }

  boolean allows(JobSpec spec, int n) {
    Settings.Team t = teams.get(spec.team());
    if (t == null) {
      return false;
    }
    Use u = used.getOrDefault(t.name(), new Use(0, 0)).plus(spec, n);
    return (t.cpusMax() == 0 || u.cpus <= t.cpusMax() / nodes + Room.EPS)
        && (t.gpusMax() == 0 || u.gpus <= t.gpusMax() / nodes + Room.EPS);
  }

  void book(JobSpec spec) {
    used.put(spec.team(), used.getOrDefault(spec.team(), new Use(0, 0)).plus(spec, 1));
  }
}
