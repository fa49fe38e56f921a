package wickdrift.coordination;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.TreeMap;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.TeamUsage;
import wickdrift.settings.Settings;

/**
 * The jobs that wait, in the order in which they are served: priority, then guarantees, then, of
 * teams that are beyond theirs, by what each holds ({@link DominantShareOrder}), then by when they
 * must start to be done in time (without a deadline: by age). Kept up to date by the changes of
 * jobs; no round sorts them anew.
 */
final class JobQueue {
  private record Age(long acceptedMs, String id) {}

  private static final Comparator<Age> BY_AGE =
      Comparator.comparingLong(Age::acceptedMs).thenComparing(Age::id);

  private static final Age OLDEST = new Age(Long.MIN_VALUE, "");

  /** Jobs that are served as one: of a priority, and within guarantees or beyond. */
  private record ServiceClass(int priority, int beyondGuarantee) {}

  private record Position(int priority, int beyondGuarantee, Age startBy) {}

  private static final Comparator<Position> SERVICE_ORDER =
      Comparator.comparingInt(Position::priority)
          .thenComparingInt(Position::beyondGuarantee)
          .thenComparing(Position::startBy, BY_AGE);

  private record Demand(double cpus, double gpus) {}

  /** One team's unfinished jobs by age, and up to which of them its guarantee reaches. */
  private static final class TeamJobs {
    final Settings.Team settings;
    final TreeMap<Age, Job> jobs = new TreeMap<>(BY_AGE);
    final Map<Job, Demand> demands = new HashMap<>();
    double cpus;
    double gpus;

    /** The first job that is not within the guarantee; null: all are. */
    Age firstBeyondGuarantee;

    boolean stale;

    TeamJobs(Settings.Team settings) {
      this.settings = settings;
    }

    boolean hasGuarantee() {
      return settings.cpus() > 0 || settings.gpus() > 0;
    }

    boolean covers(double neededCpus, double neededGpus) {
      return (settings.cpus() == 0 || neededCpus <= settings.cpus() + FreeCapacity.EPS)
          && (settings.gpus() == 0 || neededGpus <= settings.gpus() + FreeCapacity.EPS);
    }
  }

  private final Map<String, TeamJobs> teams = new HashMap<>();
  private final Map<Job, Position> positions = new HashMap<>();
  private final TreeMap<Position, Job> waiting = new TreeMap<>(SERVICE_ORDER);

  /** By class and team, for those beyond a guarantee are served by what their teams hold. */
  private final TreeMap<ServiceClass, Map<String, TreeMap<Position, Job>>> byClassAndTeam =
      new TreeMap<>(
          Comparator.comparingInt(ServiceClass::priority)
              .thenComparingInt(ServiceClass::beyondGuarantee));

  private final Map<String, Settings.Team> teamSettings = new HashMap<>();
  private final TeamUsage usage;
  private final QueuedDemand waitingByPartition = new QueuedDemand();

  JobQueue(Settings settings, TeamUsage usage) {
    this.usage = usage;
    settings.teams().forEach(t -> teams.put(t.name(), new TeamJobs(t)));
    settings.teams().forEach(t -> teamSettings.put(t.name(), t));
  }

  /** Since when it could have been served: what waits for others has no age. */
  private static Age ageOf(Job job) {
    return new Age(job.readyWallMs(), job.id());
  }

  private static Age startByOf(Job job) {
    Double deadlineS = job.spec().deadlineS();
    double slackS = deadlineS == null ? 0 : Math.max(0, deadlineS - job.spec().estimateS());
    long ownStartByMs =
        deadlineS == null ? job.readyWallMs() : job.acceptedWallMs() + (long) (slackS * 1000);
    return new Age(Math.min(ownStartByMs, job.startByWallMs()), job.id());
  }

  /** A job has changed; {@code there}: it is still unfinished. */
  void changed(Job job, boolean unfinished) {
    if (job.spec() == null) {
      return;
    }
    // What waits for others holds nothing, asks for nothing, and is in nobody's way.
    boolean counts =
        unfinished && !job.withdrawn() && job.dependencyState() == Job.DependencyState.READY;
    TeamJobs team = teams.get(job.spec().team());
    if (team != null && team.hasGuarantee()) {
      int unfinishedTasks = counts ? job.taskCount() - job.doneCount() : 0;
      Demand demand =
          new Demand(unfinishedTasks * job.spec().cpus(), unfinishedTasks * job.spec().gpus());
      Demand old = counts ? team.demands.put(job, demand) : team.demands.remove(job);
      team.cpus += demand.cpus - (old == null ? 0 : old.cpus);
      team.gpus += demand.gpus - (old == null ? 0 : old.gpus);
      if (counts) {
        team.jobs.put(ageOf(job), job);
      } else {
        team.jobs.remove(ageOf(job));
      }
      team.stale = true;
    }
    updatePosition(job, counts && job.waitingCount() > 0);
    waitingByPartition.update(job, counts ? job.waitingCount() : 0);
  }

  /** What waits at each part. */
  QueuedDemand waitingByPartition() {
    return waitingByPartition;
  }

  private void updatePosition(Job job, boolean waits) {
    Position oldPosition = positions.get(job);
    Position newPosition = null;
    if (waits) {
      TeamJobs team = teams.get(job.spec().team());
      boolean withinGuarantee =
          team != null
              && team.hasGuarantee()
              && (team.firstBeyondGuarantee == null
                  || BY_AGE.compare(ageOf(job), team.firstBeyondGuarantee) < 0);
      newPosition =
          new Position(job.effectivePriority().ordinal(), withinGuarantee ? 0 : 1, startByOf(job));
    }
    if (newPosition == null ? oldPosition == null : newPosition.equals(oldPosition)) {
      return;
    }
    if (oldPosition != null) {
      waiting.remove(oldPosition);
      positions.remove(job);
      jobsByTeam(oldPosition).get(job.spec().team()).remove(oldPosition);
    }
    if (newPosition != null) {
      waiting.put(newPosition, job);
      positions.put(job, newPosition);
      jobsByTeam(newPosition)
          .computeIfAbsent(job.spec().team(), k -> new TreeMap<>(SERVICE_ORDER))
          .put(newPosition, job);
    }
  }

  /** The waiting jobs in order. */
  Iterable<Job> waiting() {
    teams.values().forEach(this::updateGuaranteeReach);
    return teams.size() < 2 ? waiting.values() : ServiceIterator::new;
  }

  private Map<String, TreeMap<Position, Job>> jobsByTeam(Position position) {
    return byClassAndTeam.computeIfAbsent(
        new ServiceClass(position.priority, position.beyondGuarantee), k -> new LinkedHashMap<>());
  }

  /** One class after the other; of one with several teams beyond their guarantees, fairly. */
  private final class ServiceIterator implements Iterator<Job> {
    private final Iterator<Map.Entry<ServiceClass, Map<String, TreeMap<Position, Job>>>> classes =
        byClassAndTeam.entrySet().iterator();
    private Iterator<Job> current = List.<Job>of().iterator();

    @Override
    public boolean hasNext() {
      while (!current.hasNext() && classes.hasNext()) {
        Map.Entry<ServiceClass, Map<String, TreeMap<Position, Job>>> entry = classes.next();
        current =
            entry.getKey().beyondGuarantee == 0
                ? withinGuarantee(entry.getKey())
                : byDominantShare(entry.getValue());
      }
      return current.hasNext();
    }

    private Iterator<Job> withinGuarantee(ServiceClass serviceClass) {
      Position from = new Position(serviceClass.priority, 0, OLDEST);
      return waiting
          .subMap(from, new Position(serviceClass.priority, 1, OLDEST))
          .values()
          .iterator();
    }

    private Iterator<Job> byDominantShare(Map<String, TreeMap<Position, Job>> byTeam) {
      Map<String, Collection<Job>> nonEmpty = new LinkedHashMap<>();
      byTeam.forEach(
          (team, jobs) -> {
            if (!jobs.isEmpty()) {
              nonEmpty.put(team, jobs.values());
            }
          });
      return new DominantShareOrder(nonEmpty, usage::of, teamSettings);
    }

    @Override
    public Job next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      return current.next();
    }
  }

  /** Looks how far a guarantee reaches; where it covers all, that takes no look at the jobs. */
  private void updateGuaranteeReach(TeamJobs team) {
    if (!team.stale) {
      return;
    }
    team.stale = false;
    Age firstBeyond = null;
    if (!team.covers(team.cpus, team.gpus)) {
      double cpus = 0;
      double gpus = 0;
      for (Map.Entry<Age, Job> e : team.jobs.entrySet()) {
        Demand demand = team.demands.get(e.getValue());
        cpus += demand.cpus;
        gpus += demand.gpus;
        if (!team.covers(cpus, gpus)) {
          firstBeyond = e.getKey();
          break;
        }
      }
    } else if (team.jobs.isEmpty()) {
      team.cpus = 0;
      team.gpus = 0;
    }
    if (firstBeyond == null
        ? team.firstBeyondGuarantee != null
        : !firstBeyond.equals(team.firstBeyondGuarantee)) {
      team.firstBeyondGuarantee = firstBeyond;
      for (Job job : team.jobs.values()) {
        updatePosition(job, job.waitingCount() > 0);
      }
    }
  }

  int size() {
    return waiting.size();
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  static Settings.Team findTeam(Settings settings, String name) {
    for (Settings.Team t : settings.teams()) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }
}
