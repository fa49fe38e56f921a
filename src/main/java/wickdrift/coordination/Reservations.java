package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.Partition;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.protocol.JobSpec;

/** Decides, as the leader, which machines take no new tasks for the sake of gangs that wait. */
final class Reservations {
  private static final long MARKS_MS = 500;
  private static final int MARK_BYTES = 48;

  private final Tables tables;
  private final SchedulingState scheduling;
  private final CapacityIndex rooms;
  private final Types types;
  private final Tuning tuning;
  private final StateServiceLimits limits;

  /** By gang, the machines that take no new tasks until it starts or gives them up. */
  private final Map<String, List<Machine>> reservations = new LinkedHashMap<>();

  private long nextMarksMs;

  Reservations(
      Tables tables,
      SchedulingState scheduling,
      Types types,
      Tuning tuning,
      StateServiceLimits limits) {
    this.types = types;
    this.tables = tables;
    this.scheduling = scheduling;
    this.rooms = scheduling.capacityIndex();
    this.tuning = tuning;
    this.limits = limits;
  }

  /** Marks are of one view: the part records were written anew. */
  void clear() {
    reservations.clear();
  }

  /** The machines that a gang has marked. */
  List<Machine> of(Job job) {
    return reservations.getOrDefault(job.id(), List.of());
  }

  /**
   * A gang that has waited for a while marks the machines that will be empty soonest. Marks are in
   * the part records, so that their owners place nothing there; here is only whose they are.
   */
  void draft(TransactionBuilder draft, Quota quota, View v, long now) {
    if (now < nextMarksMs) {
      return;
    }
    nextMarksMs = now + MARKS_MS;
    List<Job> gangs = waitingGangs(draft);
    FleetSize size = gangs.isEmpty() ? null : new FleetSize(tables, types);
    Map<String, Job> waitingGangs = couldStart(gangs, size, quota);
    reservations.keySet().retainAll(waitingGangs.keySet());
    for (List<Machine> l : reservations.values()) {
      l.removeIf(m -> m.phase() != Machine.Phase.UP);
    }
    Set<Machine> marked = new HashSet<>();
    reservations.values().forEach(marked::addAll);
    for (Job job : waitingGangs.values()) {
      if (now - job.waitingSinceMs(now) >= tuning.markWaitMs()) {
        mark(job, size, marked, now);
      }
    }
    Map<String, List<String>> wanted = new HashMap<>();
    for (Machine m : marked) {
      wanted.computeIfAbsent(m.owner(v), k -> new ArrayList<>()).add(m.name());
    }
    for (String member : v.members().keySet()) {
      Partition p = tables.currentPartition(member);
      List<String> names = wanted.getOrDefault(member, List.of());
      names = names.stream().sorted().limit(maxMarks()).toList();
      if (p != null
          && !p.reserved().equals(names)
          && draft.canAddWrites()
          && !draft.touches(Partition.key(member))) {
        draft.write(Partition.key(member), p.withReserved(names).toStore(), p.stamp());
      }
    }
  }

  private List<Job> waitingGangs(TransactionBuilder draft) {
    List<Job> gangs = new ArrayList<>();
    for (Job job : scheduling.queue().waiting()) {
      if (job.spec().shape() == JobSpec.Shape.GANG
          && job.partition().equals(Job.LEADER_PARTITION)
          && job.liveCount() == 0
          && draft.liveTaskCount(job) == 0
          && !job.isSuspected()) {
        gangs.add(job);
      }
    }
    return gangs;
  }

  /**
   * Those that may keep machines from others. One that its team's limit forbids could not use them,
   * unless the limit is being saved up for it; nor could one that there are too few machines for,
   * whatever makes way.
   */
  private static Map<String, Job> couldStart(List<Job> gangs, FleetSize size, Quota quota) {
    Quota.Remainder remainder = quota.new Remainder();
    Map<String, Job> out = new LinkedHashMap<>();
    for (Job job : gangs) {
      boolean enough = size.holds(job.spec(), job.waitingCount());
      if (enough && (remainder.take(job.spec(), job.waitingCount()) || quota.savingFor(job))) {
        out.put(job.id(), job);
      }
    }
    return out;
  }

  /** So many names leave room in a part's record for its shares, whatever the limit of a value. */
  private int maxMarks() {
    return limits.maxValueBytes() / 2 / MARK_BYTES;
  }

  private void mark(Job job, FleetSize size, Set<Machine> marked, long now) {
    List<Machine> mine = reservations.computeIfAbsent(job.id(), k -> new ArrayList<>());
    while (mine.size() < job.waitingCount() && marked.size() < maxMarks()) {
      boolean oneZone = job.spec().oneZone();
      String zone = oneZone && !mine.isEmpty() ? mine.get(0).info().zone() : null;
      Soonest s = new Soonest(now);
      rooms.each(
          job.spec(),
          c ->
              zone != null
                  ? zone.equals(c.zone)
                  : !oneZone || size.holds(job.spec(), c.zone, job.waitingCount()),
          r -> {
            if (!marked.contains(r.machine())) {
              s.look(r.machine());
            }
          });
      if (s.best == null) {
        return;
      }
      mine.add(s.best);
      marked.add(s.best);
    }
  }

  /** The machine that will be empty soonest, as far as the estimates tell. */
  private static final class Soonest {
    private final long now;
    private Machine best;
    private double bestLeft;

    Soonest(long now) {
      this.now = now;
    }

    void look(Machine m) {
      double left = 0;
      for (Machine.Slot s : m.slots()) {
        left = Math.max(left, s.estimatedRemainingMs(now));
      }
      if (left < Double.MAX_VALUE && (best == null || left < bestLeft)) {
        best = m;
        bestLeft = left;
      }
    }
  }

  void markFor(Job job, Machine m, long now) {
    List<Machine> mine = reservations.computeIfAbsent(job.id(), k -> new ArrayList<>());
    if (!mine.contains(m) && mine.size() < job.waitingCount()) {
      mine.add(m);
      nextMarksMs = now;
    }
  }

  void lend(Job job) {
    of(job).forEach(scheduling::lend);
  }

  void takeBack(Job job) {
    of(job).forEach(scheduling::takeBack);
  }
}
