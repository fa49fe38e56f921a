package wickdrift.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.Machine;
import wickdrift.bookkeeping.TaskState;
import wickdrift.protocol.JobSpec;
import wickdrift.settings.Settings;

/** Decides when a job that finds no room stops work of lower priority, and where. */
final class VictimSelection {
  private static final Logger LOG = LoggerFactory.getLogger(VictimSelection.class);

  /** So many jobs a round look for what to stop, each for so many of its tasks. */
  private static final int PREEMPT_SCANS = 4;

  private static final int PREEMPT_MOST = 16;

  private final CapacityIndex rooms;
  private final Types types;
  private final Reservations reservations;
  private final Tuning tuning;
  private final Settings settings;
  private final String node;
  private int preemptScans;

  VictimSelection(
      CapacityIndex rooms,
      Types types,
      Reservations reservations,
      Tuning tuning,
      Settings settings) {
    this.rooms = rooms;
    this.types = types;
    this.reservations = reservations;
    this.tuning = tuning;
    this.settings = settings;
    this.node = settings.node();
  }

  void newRound() {
    preemptScans = 0;
  }

  /**
   * A job that finds no room stops work of lower priority: work of the lowest at once, for that
   * takes what others leave and gives it back; other work when a good part of the time in which the
   * job should start has passed.
   */
  void draft(TransactionBuilder draft, Job job, boolean asLeader, Quota quota, long now) {
    JobSpec spec = job.spec();
    long waited = now - job.waitingSinceMs(now);
    if (job.preemptionPriority() == JobSpec.Priority.LOW
        || job.isSuspected()
        || preemptScans >= PREEMPT_SCANS
        || now < job.nextPreemptionAtMs()) {
      return;
    }
    long patience = preemptAfterMs(spec);
    if (waited < Math.min(patience, tuning.preemptLowMs()) || !quota.allows(spec)) {
      return;
    }
    preemptScans++;
    job.setNextPreemptionAtMs(now + TaskPlacer.BLOCKED_MS);
    JobSpec.Priority strongest = waited < patience ? JobSpec.Priority.LOW : JobSpec.Priority.HIGH;
    List<FreeCapacity> may = new ArrayList<>();
    Map<String, Integer> zones = TaskPlacer.zones(draft, job);
    Predicate<CapacityIndex.MachineGroup> scope = TaskPlacer.scope(node, asLeader);
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    if (gang && asLeader) {
      emptyMarked(draft, job, strongest, now);
    }
    int lack = job.waitingCount() - (gang ? reservations.of(job).size() : 0);
    if (lack <= 0) {
      return;
    }
    rooms.each(spec, c -> scope.test(c) && TaskPlacer.zoneAllows(spec, zones, c.zone), may::add);
    if (gang) {
      keepToMarkedZone(job, may);
      if (spec.oneZone()) {
        keepToCheapestZone(may, job, strongest, lack, now);
      }
    }
    for (Preemption.Choice c :
        Preemption.cheapestChoices(
            may, spec, job.preemptionPriority(), strongest, now, Math.min(lack, PREEMPT_MOST))) {
      if (gang && asLeader) {
        // Else what is stopped for it makes room for others.
        reservations.markFor(job, c.machine(), now);
      }
      stop(draft, job, c);
    }
  }

  private void stop(TransactionBuilder draft, Job job, Preemption.Choice c) {
    for (Machine.Slot s : c.victims()) {
      if (draft.fitsInPage(s.job(), 1)) {
        if (draft.taskState(s.job(), s.index()).stop() == TaskState.Stop.NONE) {
          LOG.info("{} gives way to {}", s.taskName(), job.id());
        }
        draft.changeTask(
            s.job(), s.index(), t -> t.isLive() ? t.stopping(Preemption.how(s.job().spec())) : t);
      }
    }
  }

  /** Stops what may be stopped on all the machines that a gang has marked, not one by one. */
  private void emptyMarked(
      TransactionBuilder draft, Job job, JobSpec.Priority strongest, long now) {
    for (Machine m : reservations.of(job)) {
      TypeInfo t = m.info() == null ? null : types.find(m.info().type());
      Preemption.Choice c =
          t == null
              ? null
              : Preemption.on(
                  new FreeCapacity(m, t), job.spec(), job.preemptionPriority(), strongest, now);
      if (c != null) {
        stop(draft, job, c);
      }
    }
  }

  /** Machines already marked are being emptied; the rest of a one-zone gang goes beside them. */
  private void keepToMarkedZone(Job job, List<FreeCapacity> may) {
    List<Machine> mine = reservations.of(job);
    if (job.spec().oneZone() && !mine.isEmpty()) {
      String zone = mine.get(0).info().zone();
      may.removeIf(r -> !zone.equals(r.machine().info().zone()));
    }
    may.removeIf(r -> mine.contains(r.machine()));
  }

  /** Of the zones where enough machines can be emptied, the one where that costs least. */
  private static void keepToCheapestZone(
      List<FreeCapacity> may, Job job, JobSpec.Priority strongest, int lack, long now) {
    Map<String, List<FreeCapacity>> byZone = new HashMap<>();
    for (FreeCapacity r : may) {
      byZone.computeIfAbsent(r.machine().info().zone(), k -> new ArrayList<>()).add(r);
    }
    List<FreeCapacity> best = List.of();
    double least = Double.MAX_VALUE;
    for (List<FreeCapacity> rooms : byZone.values()) {
      List<Preemption.Choice> all =
          Preemption.cheapestChoices(
              rooms, job.spec(), job.preemptionPriority(), strongest, now, lack);
      double lost = all.stream().mapToDouble(Preemption.Choice::lost).sum();
      if (all.size() == lack && lost < least) {
        least = lost;
        best = rooms;
      }
    }
    may.retainAll(Set.copyOf(best));
  }

  private long preemptAfterMs(JobSpec spec) {
    double boot = 0;
    for (TypeInfo t : types.all()) {
      boot = Math.max(boot, t.canHold(spec) ? t.bootS() * 1000 : 0);
    }
    // Where a rented machine comes in time, it is waited for: stopping work wastes it.
    long patient = Math.max(tuning.preemptMs(), (long) (boot * tuning.preemptBoots()));
    for (Settings.Objective o : settings.objectives()) {
      boolean ours = o.kind().equals("wait") && spec.jobClass().equals(o.jobClass());
      if (ours && o.withinS() * 1000 < boot * tuning.preemptBoots()) {
        patient = Math.min(patient, (long) (o.withinS() * 1000 * tuning.preemptShare()));
      }
    }
    return patient;
  }
}
