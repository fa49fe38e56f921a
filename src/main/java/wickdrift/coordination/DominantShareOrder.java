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
 * Iterates over jobs of several teams that have the same priority and are not covered by a
 * guarantee. The next job is the first of the team whose dominant share (Ghodsi et al., "Dominant
 * Resource Fairness", NSDI 2011) is lowest relative to its weight, counting the jobs that this
 * iterator has already returned. The weight of a team is its guarantee; a team without one gets the
 * lowest weight among the teams with a guarantee. The order within a team is kept.
 */
final class DominantShareOrder implements Iterator<Job> {
  /** A team's remaining jobs, its weight and the resources counted for it. */
  private static final class TeamEntry {
    final Iterator<Job> jobs;
    final double weight;
    double cpus;
    double gpus;
    Job nextJob;

    TeamEntry(Iterator<Job> jobs, double weight, QuotaShare held) {
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

  private final List<TeamEntry> teamEntries = new ArrayList<>();
  private double totalCpus;
  private double totalGpus;

  /**
   * Creates an iterator over the jobs of several teams.
   *
   * @param byTeam the jobs of each team, in the team's own order
   * @param held returns the resources held by a team's live attempts
   * @param teams the settings of the teams by name
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
          teamEntries.add(
              new TeamEntry(jobs.iterator(), weight > 0 ? weight : leastWeight, teamHeld));
        });
  }

  /** Returns a team's guaranteed GPUs, or its guaranteed CPUs if it has no GPU guarantee. */
  private static double guarantee(Settings.Team team) {
    return team == null
        ? 0
        : team.guaranteedGpus() > 0 ? team.guaranteedGpus() : team.guaranteedCpus();
  }

  /** Returns a team's dominant share divided by its weight. */
  private double weightedShare(TeamEntry team) {
    double cpus = totalCpus > 0 ? team.cpus / totalCpus : 0;
    double gpus = totalGpus > 0 ? team.gpus / totalGpus : 0;
    return Math.max(cpus, gpus) / team.weight;
  }

  @Override
  public boolean hasNext() {
    return teamEntries.stream().anyMatch(l -> l.nextJob != null);
  }

  @Override
  public Job next() {
    TeamEntry least = null;
    for (TeamEntry team : teamEntries) {
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
