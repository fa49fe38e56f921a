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
 * The waiting jobs in service order: by priority, then jobs within their team's guarantee before
 * others, then, among teams beyond their guarantees, by the resources each team holds ({@link
 * DominantShareOrder}), then by the latest start time that meets the deadline (without a deadline:
 * by age). Maintained incrementally as jobs change; no round sorts the jobs again.
 */
final class JobQueue {
  /** A time and a job id, ordered by time. */
  private record JobTime(long timeMs, String id) {}

  private static final Comparator<JobTime> BY_TIME =
      Comparator.comparingLong(JobTime::timeMs).thenComparing(JobTime::id);

  private static final JobTime EARLIEST = new JobTime(Long.MIN_VALUE, "");

  /**
   * Jobs that are served together: those of one priority that are all within or all beyond their
   * guarantees.
   */
  private record ServiceClass(int priority, int beyondGuarantee) {}

  /** Position of a waiting job in the service order. */
  private record Position(int priority, int beyondGuarantee, JobTime startBy) {}

  private static final Comparator<Position> SERVICE_ORDER =
      Comparator.comparingInt(Position::priority)
          .thenComparingInt(Position::beyondGuarantee)
          .thenComparing(Position::startBy, BY_TIME);

  /** Resources that the unfinished tasks of a job need. */
  private record Demand(double cpus, double gpus) {}

  /**
   * The unfinished jobs of a team by age, and the first of them that the team's guarantee does not
   * cover.
   */
  private static final class TeamJobs {
    final Settings.Team settings;
    final TreeMap<JobTime, Job> jobs = new TreeMap<>(BY_TIME);
    final Map<Job, Demand> demands = new HashMap<>();
    double cpus;
    double gpus;

    /** The oldest job that the guarantee does not cover; null if it covers all. */
    JobTime firstBeyondGuarantee;

    /** Whether the jobs changed since the reach of the guarantee was last computed. */
    boolean stale;

    TeamJobs(Settings.Team settings) {
      this.settings = settings;
    }

    /** Whether the team has a guarantee for any resource. */
    boolean hasGuarantee() {
      return settings.guaranteedCpus() > 0 || settings.guaranteedGpus() > 0;
    }

    /**
     * Whether the guarantee covers these resources; a guarantee of 0 sets no bound for its
     * resource.
     */
    boolean covers(double neededCpus, double neededGpus) {
      return (settings.guaranteedCpus() == 0
              || neededCpus <= settings.guaranteedCpus() + FreeCapacity.EPS)
          && (settings.guaranteedGpus() == 0
              || neededGpus <= settings.guaranteedGpus() + FreeCapacity.EPS);
    }
  }

  private final Map<String, TeamJobs> teams = new HashMap<>();
  private final Map<Job, Position> positions = new HashMap<>();
  private final TreeMap<Position, Job> waiting = new TreeMap<>(SERVICE_ORDER);

  /**
   * Waiting jobs by service class and team, since jobs beyond a guarantee are ordered by what their
   * teams hold.
   */
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

  /**
   * Returns the time since which a job could have been served; the time it waited for other jobs
   * does not count.
   */
  private static JobTime readyTimeOf(Job job) {
    return new JobTime(job.readyWallMs(), job.id());
  }

  /**
   * Returns the latest start time that meets the deadline of the job and of those that await it;
   * without a deadline, the time since which the job could have been served.
   */
  private static JobTime startByOf(Job job) {
    Double deadlineS = job.spec().deadlineS();
    double slackS = deadlineS == null ? 0 : Math.max(0, deadlineS - job.spec().estimatedRunS());
    long ownStartByMs =
        deadlineS == null ? job.readyWallMs() : job.acceptedWallMs() + (long) (slackS * 1000);
    return new JobTime(Math.min(ownStartByMs, job.startByWallMs()), job.id());
  }

  /**
   * Updates the queue after a change of a job.
   *
   * @param unfinished whether the job still exists and has not ended
   */
  void onJobChanged(Job job, boolean unfinished) {
    if (job.spec() == null) {
      return;
    }
    // A job that awaits other jobs holds no resources and requests none, so it must not count
    // against the guarantee of its team.
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
        team.jobs.put(readyTimeOf(job), job);
      } else {
        team.jobs.remove(readyTimeOf(job));
      }
      team.stale = true;
    }
    updatePosition(job, counts && job.waitingCount() > 0);
    waitingByPartition.update(job, counts ? job.waitingCount() : 0);
  }

  /** Returns the demand of the waiting jobs by partition. */
  QueuedDemand waitingByPartition() {
    return waitingByPartition;
  }

  /** Inserts, moves or removes a job according to its current state. */
  private void updatePosition(Job job, boolean waits) {
    Position oldPosition = positions.get(job);
    Position newPosition = null;
    if (waits) {
      TeamJobs team = teams.get(job.spec().team());
      boolean withinGuarantee =
          team != null
              && team.hasGuarantee()
              && (team.firstBeyondGuarantee == null
                  || BY_TIME.compare(readyTimeOf(job), team.firstBeyondGuarantee) < 0);
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

  /** Returns the waiting jobs in service order. */
  Iterable<Job> waiting() {
    teams.values().forEach(this::updateGuaranteeReach);
    return teams.size() < 2 ? waiting.values() : ServiceIterator::new;
  }

  /** Returns the waiting jobs by team of the service class of a position. */
  private Map<String, TreeMap<Position, Job>> jobsByTeam(Position position) {
    return byClassAndTeam.computeIfAbsent(
        new ServiceClass(position.priority, position.beyondGuarantee), k -> new LinkedHashMap<>());
  }

  /**
   * Iterates over the service classes in order. Jobs beyond their guarantees are ordered by the
   * dominant shares of their teams.
   */
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
      Position from = new Position(serviceClass.priority, 0, EARLIEST);
      return waiting
          .subMap(from, new Position(serviceClass.priority, 1, EARLIEST))
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

  /** Recomputes which jobs of a team its guarantee covers. If it covers all, no job is examined. */
  private void updateGuaranteeReach(TeamJobs team) {
    if (!team.stale) {
      return;
    }
    team.stale = false;
    JobTime firstBeyond = null;
    if (!team.covers(team.cpus, team.gpus)) {
      double cpus = 0;
      double gpus = 0;
      for (Map.Entry<JobTime, Job> e : team.jobs.entrySet()) {
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

  /** Returns the number of waiting jobs. */
  int size() {
    return waiting.size();
  }

  /** Whether no job is waiting. */
  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Returns the settings of a team, or null if it is not configured. */
  static Settings.Team findTeam(Settings settings, String name) {
    for (Settings.Team t : settings.teams()) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }
}
