package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import wickdrift.bookkeeping.Machine;
import wickdrift.protocol.JobSpec;

/**
 * The machines that take tasks, kept in order so that no decision looks at all of them: by place
 * (part, type, zone, kind), in each place by load, and once more for each image.
 */
final class CapacityIndex {
  /** Machines that are alike but for what is on them. */
  static final class MachineGroup {
    final String owner;
    final TypeInfo type;
    final String zone;
    final boolean spot;
    private final LoadIndex all = new LoadIndex();
    private final LoadIndex fetching = new LoadIndex();
    private final Map<String, Listed> images = new HashMap<>();
    private double freeCpus;
    private double freeGpus;
    private double freeMemoryGb;

    MachineGroup(String owner, TypeInfo type, String zone, boolean spot) {
      this.owner = owner;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
    }

    boolean allows(JobSpec s) {
      return (s.spot() || !spot) && (s.zone() == null || s.zone().equals(zone)) && type.canHold(s);
    }

    private void sum(FreeCapacity r, int sign) {
      freeCpus += sign * r.freeCpus();
      freeGpus += sign * r.freeGpus();
      freeMemoryGb += sign * r.freeMemoryGb();
    }
  }

  /** A cell's machines that have an image, and those among them that fetch something. */
  private static final class Listed {
    final LoadIndex all = new LoadIndex();
    final LoadIndex fetching = new LoadIndex();
  }

  private static final Listed NOWHERE = new Listed();

  /** Most capable first: GPUs, then memory, then CPUs. */
  private static final Comparator<MachineGroup> CAPABILITY =
      Comparator.comparingDouble((MachineGroup c) -> -c.type.gpus())
          .thenComparingDouble(c -> -c.type.memoryGb())
          .thenComparingDouble(c -> -c.type.cpus());

  private record Place(String owner, String type, String zone, boolean spot) {}

  private final Map<Place, MachineGroup> places = new HashMap<>();
  private final List<MachineGroup> cells = new ArrayList<>();
  private final Map<Machine, FreeCapacity> byMachine = new LinkedHashMap<>();
  private final Set<FreeCapacity> dirty = new HashSet<>();

  /** Rooms listed as fetching, by when that is taken to be over. */
  private final TreeSet<Fetch> fetches =
      new TreeSet<>(
          Comparator.comparingLong(Fetch::untilMs)
              .thenComparingInt(f -> f.room.machine().number()));

  private record Fetch(long untilMs, FreeCapacity room) {}

  private long version;
  private long machinesExamined;
  private Predicate<String> preferred = owner -> true;

  /**
   * Of equals, machines of these owners are taken: for the leader those whose booking takes no
   * further part's record into the transaction.
   */
  void prefer(Predicate<String> owners) {
    preferred = owners;
  }

  private boolean isPreferred(FreeCapacity r) {
    return preferred.test(r.cell.owner);
  }

  /** Changes whenever there is more room somewhere. */
  long version() {
    return version;
  }

  /** How many rooms were looked at so far. */
  long machinesExamined() {
    return machinesExamined;
  }

  FreeCapacity find(Machine m) {
    return byMachine.get(m);
  }

  // ---- keeping it ----

  /** Forgets all: a new view, or other types. */
  void clear() {
    places.clear();
    cells.clear();
    byMachine.clear();
    dirty.clear();
    fetches.clear();
    version++;
  }

  /** There may be more room than before: what was blocked looks again. */
  void grew() {
    version++;
  }

  /** Lists the machine as it is now in the tables; true if it may have more room than before. */
  boolean put(Machine m, TypeInfo type, String owner, long nowMs) {
    FreeCapacity old = byMachine.get(m);
    double before = Double.MAX_VALUE;
    int images = 0;
    if (old != null) {
      before = old.load();
      images = old.listed.size();
      unlist(old);
      dirty.remove(old);
    }
    m.updateImages(nowMs, type.cacheGb());
    FreeCapacity r = old == null || old.type() != type ? new FreeCapacity(m, type) : old;
    r.reset();
    byMachine.put(m, r);
    r.fetches(nowMs);
    list(r, cell(owner, type, m.info().zone(), m.info().spot()));
    return r.load() < before || r.listed.size() > images;
  }

  void remove(Machine m) {
    FreeCapacity r = byMachine.remove(m);
    if (r != null) {
      unlist(r);
      dirty.remove(r);
    }
  }

  private MachineGroup cell(String owner, TypeInfo type, String zone, boolean spot) {
    return places.computeIfAbsent(
        new Place(owner, type.name(), zone, spot),
        k -> {
          MachineGroup c = new MachineGroup(owner, type, zone, spot);
          cells.add(c);
          cells.sort(CAPABILITY.thenComparing(x -> x.zone + x.spot + x.owner));
          return c;
        });
  }

  private void list(FreeCapacity r, MachineGroup c) {
    r.cell = c;
    c.all.add(r);
    c.sum(r, 1);
    r.listed.clear();
    r.images(r.listed::add);
    if (r.isFetching()) {
      c.fetching.add(r);
      fetches.add(new Fetch(r.fetchesUntilMs(), r));
    }
    for (String i : r.listed) {
      Listed l = c.images.computeIfAbsent(i, k -> new Listed());
      l.all.add(r);
      if (r.isFetching()) {
        l.fetching.add(r);
      }
    }
  }

  private void unlist(FreeCapacity r) {
    MachineGroup c = r.cell;
    c.all.remove(r);
    c.sum(r, -1);
    if (r.isFetching()) {
      c.fetching.remove(r);
      fetches.remove(new Fetch(r.fetchesUntilMs(), r));
    }
    for (String i : r.listed) {
      Listed l = c.images.get(i);
      l.all.remove(r);
      if (r.isFetching()) {
        l.fetching.remove(r);
      }
      if (l.all.size() == 0) {
        c.images.remove(i);
      }
    }
  }

  /** Books in the round of decisions under way. */
  void book(FreeCapacity r, JobSpec s) {
    unlist(r);
    r.book(s);
    list(r, r.cell);
    dirty.add(r);
  }

  /** Undoes what was booked since the room looked like that. */
  void restore(FreeCapacity r, FreeCapacity.Saved saved) {
    unlist(r);
    r.restore(saved);
    list(r, r.cell);
  }

  /** A new round starts from what is durable, and from the fetches that are not over yet. */
  void newRound(long nowMs) {
    for (FreeCapacity r : dirty) {
      unlist(r);
      r.reset();
      r.fetches(nowMs);
      list(r, r.cell);
    }
    dirty.clear();
    while (!fetches.isEmpty() && fetches.first().untilMs <= nowMs) {
      FreeCapacity r = fetches.first().room;
      unlist(r);
      r.fetches(nowMs);
      list(r, r.cell);
      version++;
    }
  }

  // ---- the choice ----

  /**
   * The sub-greedy rule for the linear hierarchy (Definition 3 with the sets of Lemma 1): a task
   * that the i most capable machines can hold goes to the least loaded with room among ranks
   * ceil(i/2) to i. If that half is full, any eligible machine with room takes it; else it waits.
   *
   * <p>Machines of equal capability are ranked in three groups: the rest, the fuller ones, by 64ths
   * of load, after the emptier; then those without room, full or fetching another image; last, in
   * the half that is looked at first, those that have the task's image and are not too full for it.
   * So tasks of one image gather, and empty machines are left for gangs.
   */
  FreeCapacity choose(JobSpec s, Predicate<MachineGroup> allowed) {
    List<MachineGroup> eligible = new ArrayList<>();
    int n = 0;
    for (MachineGroup c : cells) {
      if (c.all.size() > 0 && c.allows(s) && allowed.test(c)) {
        eligible.add(c);
        n += c.all.size();
      }
    }
    if (n == 0) {
      return null;
    }
    int left = n - ((n + 1) / 2 - 1);
    FreeCapacity best = null;
    int to = eligible.size();
    while (to > 0 && left > 0) {
      int from = to - 1;
      while (from > 0 && CAPABILITY.compare(eligible.get(from - 1), eligible.get(to - 1)) == 0) {
        from--;
      }
      List<MachineGroup> equals = eligible.subList(from, to);
      best = better(inHalf(equals, left, s), best, s);
      for (MachineGroup c : equals) {
        left -= c.all.size();
      }
      to = from;
    }
    return best != null ? best : anyWithRoom(eligible, s);
  }

  private static Listed listed(MachineGroup c, JobSpec s) {
    return c.images.getOrDefault(s.image(), NOWHERE);
  }

  private static LoadIndex withImage(MachineGroup c, JobSpec s) {
    return listed(c, s).all;
  }

  /**
   * The least loaded with room among the last {@code most} of some machines of equal capability.
   */
  private FreeCapacity inHalf(List<MachineGroup> equals, int most, JobSpec s) {
    int size = 0;
    int images = 0;
    int rest = 0;
    for (MachineGroup c : equals) {
      double load = mostLoad(s, c.type);
      size += c.all.size();
      images += withImage(c, s).upTo(load);
      rest += plain(c, s, load, LoadIndex::upTo);
    }
    FreeCapacity best = null;
    int last = Math.min(most, size);
    int suited = Math.min(images, last);
    if (suited == images) {
      for (MachineGroup c : equals) {
        best = better(best, least(withImage(c, s), 0, s), s);
      }
      int[] start = cut(equals, last - (size - rest), s, false);
      for (int i = 0; i < start.length; i++) {
        best = better(best, least(equals.get(i).all, start[i], s), s);
      }
    } else {
      int[] start = cut(equals, suited, s, true);
      for (int i = 0; i < start.length; i++) {
        best = better(best, least(withImage(equals.get(i), s), start[i], s), s);
      }
    }
    return best;
  }

  private interface Count {
    int of(LoadIndex list, double load);
  }

  /** Of some machines of a cell, those that neither have the image nor fetch another one. */
  private static int plain(MachineGroup c, JobSpec s, double load, Count n) {
    Listed with = listed(c, s);
    return n.of(c.all, load)
        - n.of(with.all, load)
        - n.of(c.fetching, load)
        + n.of(with.fetching, load);
  }

  /**
   * Where in each cell the last {@code k} begin that are not too full, counted among the machines
   * with the image, or among those that neither have it nor fetch another one. Within one 64th of
   * load the later cell's machines rank later.
   */
  private int[] cut(List<MachineGroup> equals, int k, JobSpec s, boolean image) {
    double most = mostLoad(s, equals.get(0).type);
    int[] start = new int[equals.size()];
    for (int i = 0; i < start.length; i++) {
      start[i] = (image ? withImage(equals.get(i), s) : equals.get(i).all).upTo(most);
    }
    int left = k;
    for (int level = LoadIndex.bucket(most); level >= 0 && left > 0; level--) {
      int at = level;
      for (int i = start.length - 1; i >= 0 && left > 0; i--) {
        MachineGroup c = equals.get(i);
        LoadIndex list = image ? withImage(c, s) : c.all;
        int counted =
            image ? list.atLevel(level, most) : plain(c, s, most, (l, load) -> l.atLevel(at, load));
        if (counted <= left) {
          start[i] -= list.atLevel(level, most);
          left -= counted;
        } else {
          // The border is in this cell and level.
          start[i] = image ? start[i] - left : border(c, listed(c, s), start[i], left);
          left = 0;
        }
      }
    }
    return start;
  }

  /**
   * From where on, up to a place in a cell, there are {@code k} machines that neither have the
   * image nor fetch another one. Half a large fleet may lie there, so it is searched by halving.
   */
  private int border(MachineGroup c, Listed with, int end, int k) {
    int from = 0;
    int to = end;
    // Invariant: enough lie behind from, and too few behind to.
    while (to - from > 1) {
      int mid = from + to >>> 1;
      machinesExamined++;
      int excluded =
          between(with.all, c, mid, end)
              + between(c.fetching, c, mid, end)
              - between(with.fetching, c, mid, end);
      if (end - mid - excluded >= k) {
        from = mid;
      } else {
        to = mid;
      }
    }
    return from;
  }

  /** How many of a part of a cell's machines lie between two places of the cell. */
  private static int between(LoadIndex part, MachineGroup c, int from, int to) {
    return place(part, c, to) - place(part, c, from);
  }

  private static int place(LoadIndex part, MachineGroup c, int at) {
    return at < c.all.size() ? part.search(c.all.get(at)) : part.size();
  }

  /** The least loaded that fits, from a place in the list on. */
  private FreeCapacity least(LoadIndex list, int from, JobSpec s) {
    if (list.size() == 0) {
      return null;
    }
    double most = mostLoad(s, list.get(0).type());
    for (int i = from; i < list.size(); i++) {
      FreeCapacity r = list.get(i);
      machinesExamined++;
      if (r.load() > most) {
        return null;
      }
      if (r.fitsWithFetch(s)) {
        return r;
      }
    }
    return null;
  }

  /** No machine with a higher load than this can have room for it. */
  private static double mostLoad(JobSpec s, TypeInfo t) {
    double share = 1;
    if (t.cpus() > 0) {
      share = Math.min(share, s.cpus() / t.cpus());
    }
    if (t.gpus() > 0) {
      share = Math.min(share, s.gpus() / t.gpus());
    }
    if (t.memoryGb() > 0) {
      share = Math.min(share, s.memoryGb() / t.memoryGb());
    }
    return 1 - share + FreeCapacity.EPS;
  }

  private FreeCapacity better(FreeCapacity a, FreeCapacity b, JobSpec s) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    if (Math.abs(a.load() - b.load()) > FreeCapacity.EPS) {
      return a.load() < b.load() ? a : b;
    }
    if (a.hasImage(s) != b.hasImage(s)) {
      return a.hasImage(s) ? a : b;
    }
    return isPreferred(b) && !isPreferred(a) ? b : a;
  }

  /** Outside the half: one with the image, then the fullest, so that empty machines stay empty. */
  private FreeCapacity anyWithRoom(List<MachineGroup> eligible, JobSpec s) {
    FreeCapacity best = null;
    for (MachineGroup c : eligible) {
      best = fuller(best, fullest(withImage(c, s), s));
    }
    if (best != null) {
      return best;
    }
    for (MachineGroup c : eligible) {
      best = fuller(best, fullest(c.all, s));
    }
    return best;
  }

  private FreeCapacity fuller(FreeCapacity a, FreeCapacity b) {
    if (a == null || b == null) {
      return a == null ? b : a;
    }
    if (Math.abs(b.load() - a.load()) > FreeCapacity.EPS) {
      return b.load() > a.load() ? b : a;
    }
    return isPreferred(b) && !isPreferred(a) ? b : a;
  }

  private FreeCapacity fullest(LoadIndex list, JobSpec s) {
    if (list.size() == 0) {
      return null;
    }
    for (int i = list.upTo(mostLoad(s, list.get(0).type())) - 1; i >= 0; i--) {
      machinesExamined++;
      if (list.get(i).fitsWithFetch(s)) {
        return list.get(i);
      }
    }
    return null;
  }

  // ---- other questions ----

  boolean any(JobSpec s, Predicate<MachineGroup> allowed) {
    for (MachineGroup c : cells) {
      if (c.allows(s) && allowed.test(c) && fullest(c.all, s) != null) {
        return true;
      }
    }
    return false;
  }

  /** In how many of the machines it would fit, counted up to {@code most}. */
  int count(JobSpec s, Predicate<MachineGroup> allowed, int most) {
    int n = 0;
    for (MachineGroup c : cells) {
      if (!c.allows(s) || !allowed.test(c)) {
        continue;
      }
      for (int i = c.all.upTo(mostLoad(s, c.type)) - 1; i >= 0 && n < most; i--) {
        machinesExamined++;
        n += c.all.get(i).fitsWithFetch(s) ? 1 : 0;
      }
    }
    return n;
  }

  /** Whether so many tasks have room at once, several of them on one machine too. */
  boolean holds(JobSpec s, Predicate<MachineGroup> allowed, int tasks) {
    int left = tasks;
    for (MachineGroup c : cells) {
      if (!c.allows(s) || !allowed.test(c)) {
        continue;
      }
      for (int i = c.all.upTo(mostLoad(s, c.type)) - 1; i >= 0 && left > 0; i--) {
        machinesExamined++;
        left -= c.all.get(i).tasksThatFit(s, left);
      }
    }
    return left <= 0;
  }

  List<String> zones() {
    Set<String> out = new HashSet<>();
    cells.forEach(c -> out.add(c.zone));
    List<String> sorted = new ArrayList<>(out);
    Collections.sort(sorted);
    return sorted;
  }

  void each(JobSpec s, Predicate<MachineGroup> allowed, Consumer<FreeCapacity> use) {
    for (MachineGroup c : cells) {
      if (c.allows(s) && allowed.test(c)) {
        for (int i = 0; i < c.all.size(); i++) {
          use.accept(c.all.get(i));
        }
      }
    }
  }

  /** About how many tasks of this kind a part has room for. */
  double estimateTaskCapacity(JobSpec s, String owner) {
    double sum = 0;
    for (MachineGroup c : cells) {
      if (c.owner.equals(owner) && c.allows(s)) {
        double n = 1e9;
        n = s.cpus() > 0 ? Math.min(n, c.freeCpus / s.cpus()) : n;
        n = s.gpus() > 0 ? Math.min(n, c.freeGpus / s.gpus()) : n;
        n = s.memoryGb() > 0 ? Math.min(n, c.freeMemoryGb / s.memoryGb()) : n;
        sum += n;
      }
    }
    return sum;
  }

  /** The same beside the task's image, counted up to {@code most}. */
  int taskCapacityWithImage(JobSpec s, String owner, int most) {
    int n = 0;
    for (MachineGroup c : cells) {
      if (!c.owner.equals(owner) || !c.allows(s)) {
        continue;
      }
      LoadIndex l = withImage(c, s);
      int withRoom = l.upTo(mostLoad(s, c.type));
      for (int i = 0; i < withRoom && n < most; i++) {
        machinesExamined++;
        n += l.get(i).times(s);
      }
    }
    return Math.min(n, most);
  }

  int countCapableMachines(JobSpec s) {
    int n = 0;
    for (MachineGroup c : cells) {
      n += c.type.canHold(s) ? c.all.size() : 0;
    }
    return n;
  }
}
