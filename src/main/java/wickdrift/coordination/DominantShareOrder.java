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
  private static final class Line {
    final Iterator<Job> jobs;
    final double weight;
    double cpus;
    double gpus;
    Job next;

    Line(Iterator<Job> jobs, double weight, QuotaShare held) {
      this.jobs = jobs;
      this.weight = weight;
      this.cpus = held.cpus();
      this.gpus = held.gpus();
      advance();
    }

    void advance() {
      next = jobs.hasNext() ? jobs.next() : null;
    }
  }

  private final List<Line> lines = new ArrayList<>();
  private double allCpus;
  private double allGpus;

  /**
   * @param byTeam the jobs of each team, in its own order
   * @param held what a team's live attempts take
   */
  DominantShareOrder(
      Map<String, ? extends Iterable<Job>> byTeam,
      Function<String, QuotaShare> held,
      Map<String, Settings.Team> teams) {
    Map<String, Double> weights = new HashMap<>();
    byTeam.keySet().forEach(t -> weights.put(t, guarantee(teams.get(t))));
    double least = weights.values().stream().filter(w -> w > 0).min(Double::compare).orElse(1.0);
    byTeam.forEach(
        (team, jobs) -> {
          QuotaShare h = held.apply(team);
          allCpus += h.cpus();
          allGpus += h.gpus();
          double w = weights.get(team);
          lines.add(new Line(jobs.iterator(), w > 0 ? w : least, h));
        });
  }

  private static double guarantee(Settings.Team t) {
    return t == null ? 0 : t.gpus() > 0 ? t.gpus() : t.cpus();
  }

  private double share(Line l) {
    double cpus = allCpus > 0 ? l.cpus / allCpus : 0;
    double gpus = allGpus > 0 ? l.gpus / allGpus : 0;
    return Math.max(cpus, gpus) / l.weight;
  }

  @Override
  public boolean hasNext() {
    return lines.stream().anyMatch(l -> l.next != null);
  }

  @Override
  public Job next() {
    Line least = null;
    for (Line l : lines) {
      if (l.next != null && (least == null || share(l) < share(least))) {
        least = l;
      }
    }
    if (least == null) {
      throw new NoSuchElementException();
    }
    Job j = least.next;
    double cpus = j.waitingCount() * j.spec().cpus();
    double gpus = j.waitingCount() * j.spec().gpus();
    least.cpus += cpus;
    least.gpus += gpus;
    allCpus += cpus;
    allGpus += gpus;
    least.advance();
    return j;
  }
}
