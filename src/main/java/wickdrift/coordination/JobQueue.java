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

  private static final Age FIRST = new Age(Long.MIN_VALUE, "");

  /** Jobs that are served as one: of a priority, and within guarantees or beyond. */
  private record Class(int priority, int borrowed) {}

  private record Place(int priority, int borrowed, Age startBy) {}

  private static final Comparator<Place> ORDER =
      Comparator.comparingInt(Place::priority)
          .thenComparingInt(Place::borrowed)
          .thenComparing(Place::startBy, BY_AGE);

  private record Need(double cpus, double gpus) {}

  /** One team's unfinished jobs by age, and up to which of them its guarantee reaches. */
  private static final class Team {
    final Settings.Team settings;
    final TreeMap<Age, Job> jobs = new TreeMap<>(BY_AGE);
    final Map<Job, Need> needs = new HashMap<>();
    double cpus;
    double gpus;

    /** The first job that is not within the guarantee; null: all are. */
    Age beyond;

    boolean stale;

    Team(Settings.Team settings) {
      this.settings = settings;
    }

    boolean guarantees() {
      return settings.cpus() > 0 || settings.gpus() > 0;
    }

    boolean covers(double c, double g) {
      return (settings.cpus() == 0 || c <= settings.cpus() + FreeCapacity.EPS)
          && (settings.gpus() == 0 || g <= settings.gpus() + FreeCapacity.EPS);
    }
  }

  private final Map<String, Team> teams = new HashMap<>();
  private final Map<Job, Place> places = new HashMap<>();
  private final TreeMap<Place, Job> waiting = new TreeMap<>(ORDER);

  /** By class and team, for those beyond a guarantee are served by what their teams hold. */
  private final TreeMap<Class, Map<String, TreeMap<Place, Job>>> beyond =
      new TreeMap<>(Comparator.comparingInt(Class::priority).thenComparingInt(Class::borrowed));

  private final Map<String, Settings.Team> byName = new HashMap<>();
  private final TeamUsage usage;
  private final QueuedDemand waitingByPartition = new QueuedDemand();

  JobQueue(Settings settings, TeamUsage usage) {
    this.usage = usage;
    settings.teams().forEach(t -> teams.put(t.name(), new Team(t)));
    settings.teams().forEach(t -> byName.put(t.name(), t));
  }

  /** Since when it could have been served: what waits for others has no age. */
  private static Age age(Job j) {
    return new Age(j.readyWallMs(), j.id());
  }

  private static Age startBy(Job j) {
    Double due = j.spec().deadlineS();
    double slackS = due == null ? 0 : Math.max(0, due - j.spec().estimateS());
    long own = due == null ? j.readyWallMs() : j.acceptedWallMs() + (long) (slackS * 1000);
    return new Age(Math.min(own, j.startByWallMs()), j.id());
  }

  /** A job has changed; {@code there}: it is still unfinished. */
  void changed(Job j, boolean there) {
    if (j.spec() == null) {
      return;
    }
    // What waits for others holds nothing, asks for nothing, and is in nobody's way.
    boolean counts = there && !j.withdrawn() && j.dependencyState() == Job.DependencyState.READY;
    Team t = teams.get(j.spec().team());
    if (t != null && t.guarantees()) {
      int n = counts ? j.taskCount() - j.doneCount() : 0;
      Need need = new Need(n * j.spec().cpus(), n * j.spec().gpus());
      Need old = counts ? t.needs.put(j, need) : t.needs.remove(j);
      t.cpus += need.cpus - (old == null ? 0 : old.cpus);
      t.gpus += need.gpus - (old == null ? 0 : old.gpus);
      if (counts) {
        t.jobs.put(age(j), j);
      } else {
        t.jobs.remove(age(j));
      }
      t.stale = true;
    }
    place(j, counts && j.waitingCount() > 0);
    waitingByPartition.update(j, counts ? j.waitingCount() : 0);
  }

  /** What waits at each part. */
  QueuedDemand waitingByPartition() {
    return waitingByPartition;
  }

  private void place(Job j, boolean waits) {
    Place old = places.get(j);
    Place now = null;
    if (waits) {
      Team t = teams.get(j.spec().team());
      boolean in =
          t != null && t.guarantees() && (t.beyond == null || BY_AGE.compare(age(j), t.beyond) < 0);
      now = new Place(j.effectivePriority().ordinal(), in ? 0 : 1, startBy(j));
    }
    if (now == null ? old == null : now.equals(old)) {
      return;
    }
    if (old != null) {
      waiting.remove(old);
      places.remove(j);
      lines(old).get(j.spec().team()).remove(old);
    }
    if (now != null) {
      waiting.put(now, j);
      places.put(j, now);
      lines(now).computeIfAbsent(j.spec().team(), k -> new TreeMap<>(ORDER)).put(now, j);
    }
  }

  /** The waiting jobs in order. */
  Iterable<Job> waiting() {
    teams.values().forEach(this::reach);
    return teams.size() < 2 ? waiting.values() : Served::new;
  }

  private Map<String, TreeMap<Place, Job>> lines(Place p) {
    return beyond.computeIfAbsent(new Class(p.priority, p.borrowed), k -> new LinkedHashMap<>());
  }

  /** One class after the other; of one with several teams beyond their guarantees, fairly. */
  private final class Served implements Iterator<Job> {
    private final Iterator<Map.Entry<Class, Map<String, TreeMap<Place, Job>>>> classes =
        beyond.entrySet().iterator();
    private Iterator<Job> now = List.<Job>of().iterator();

    @Override
    public boolean hasNext() {
      while (!now.hasNext() && classes.hasNext()) {
        Map.Entry<Class, Map<String, TreeMap<Place, Job>>> e = classes.next();
        now = e.getKey().borrowed == 0 ? covered(e.getKey()) : fairly(e.getValue());
      }
      return now.hasNext();
    }

    private Iterator<Job> covered(Class c) {
      Place from = new Place(c.priority, 0, FIRST);
      return waiting.subMap(from, new Place(c.priority, 1, FIRST)).values().iterator();
    }

    private Iterator<Job> fairly(Map<String, TreeMap<Place, Job>> byTeam) {
      Map<String, Collection<Job>> lines = new LinkedHashMap<>();
      byTeam.forEach(
          (team, jobs) -> {
            if (!jobs.isEmpty()) {
              lines.put(team, jobs.values());
            }
          });
      return new DominantShareOrder(lines, usage::of, byName);
    }

    @Override
    public Job next() {
      if (!hasNext()) {
        throw new NoSuchElementException();
      }
      return now.next();
    }
  }

  /** Looks how far a guarantee reaches; where it covers all, that takes no look at the jobs. */
  private void reach(Team t) {
    if (!t.stale) {
      return;
    }
    t.stale = false;
    Age beyond = null;
    if (!t.covers(t.cpus, t.gpus)) {
      double c = 0;
      double g = 0;
      for (Map.Entry<Age, Job> e : t.jobs.entrySet()) {
        Need n = t.needs.get(e.getValue());
        c += n.cpus;
        g += n.gpus;
        if (!t.covers(c, g)) {
          beyond = e.getKey();
          break;
        }
      }
    } else if (t.jobs.isEmpty()) {
      t.cpus = 0;
      t.gpus = 0;
    }
    if (beyond == null ? t.beyond != null : !beyond.equals(t.beyond)) {
      t.beyond = beyond;
      for (Job j : t.jobs.values()) {
        place(j, j.waitingCount() > 0);
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
