package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.function.Function;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Partition.QuotaShare;
import wickdrift.settings.Settings;

/**
 * Jobs of one rank that no guarantee covers, of several teams, in an order that weighs what each
 * team holds: next is the first job of the team whose dominant share (Ghodsi et al., "Dominant
 * Resource Fairness", NSDI 2011) is least for its weight, counted with the jobs that were taken
 * before in this look. A team's weight is its guarantee; one without counts as the least that is
 * guaranteed. Within a team the order stays.
 */
final class DominantShareOrder implements Iterator<Job> {
  private static final class TeamLine {
    final Iterator<Job> jobs;
    final double weight;
    double cpus;
    double gpus;
    Job nextJob;

    TeamLine(Iterator<Job> jobs, double weight, QuotaShare held) {
      this.jobs = jobs;
      this.weight = weight;
      this.cpus = held.cpus();
      this.gpus = held.gpus();
      advance();
    }

    void advance() {
      nextJob = jobs.hasNext() ? jobs.next() : null;
    }
  }

  private final List<TeamLine> teamLines = new ArrayList<>();
  private double totalCpus;
  private double totalGpus;

  /**
   * @param byTeam the jobs of each team, in its own order
   * @param held what a team's live attempts take
   */
  DominantShareOrder(
      Map<String, ? extends Iterable<Job>> byTeam,
      Function<String, QuotaShare> held,
      Map<String, Settings.Team> teams) {
    Map<String, Double> weights = new HashMap<>();
    byTeam.keySet().forEach(name -> weights.put(name, guarantee(teams.get(name))));
    double leastWeight =
        weights.values().stream().filter(weight -> weight > 0).min(Double::compare).orElse(1.0);
    byTeam.forEach(
        (team, jobs) -> {
          QuotaShare teamHeld = held.apply(team);
          totalCpus += teamHeld.cpus();
          totalGpus += teamHeld.gpus();
          double weight = weights.get(team);
          teamLines.add(new TeamLine(jobs.iterator(), weight > 0 ? weight : leastWeight, teamHeld));
        });
  }

  private static double guarantee(Settings.Team team) {
    return team == null ? 0 : team.gpus() > 0 ? team.gpus() : team.cpus();
  }

  private double weightedShare(TeamLine team) {
    double cpus = totalCpus > 0 ? team.cpus / totalCpus : 0;
    double gpus = totalGpus > 0 ? team.gpus / totalGpus : 0;
    return Math.max(cpus, gpus) / team.weight;
  }

  @Override
  public boolean hasNext() {
    return teamLines.stream().anyMatch(l -> l.nextJob != null);
  }

  @Override
  public Job next() {
    TeamLine least = null;
    for (TeamLine team : teamLines) {
      if (team.nextJob != null && (least == null || weightedShare(team) < weightedShare(least))) {
        least = team;
      }
    }
    if (least == null) {
      throw new NoSuchElementException();
    }
    Job job = least.nextJob;
    double cpus = job.waitingCount() * job.spec().cpus();
    double gpus = job.waitingCount() * job.spec().gpus();
    least.cpus += cpus;
    least.gpus += gpus;
    totalCpus += cpus;
    totalGpus += gpus;
    least.advance();
    return job;
  }
}
