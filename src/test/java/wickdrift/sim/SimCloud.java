package wickdrift.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.transport.Caller.Response;

/** A stand-in for the cloud: rents, boots and deletes machines, and lists them with a delay. */
final class SimCloud implements SimNetwork.Server {
  private final SimWorld world;
  private final int capacity;
  private final TreeMap<String, SimWorker> runningWorkers = new TreeMap<>();
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Set<String> booting = new HashSet<>();
  private final Map<String, List<String>> machinesByClaim = new HashMap<>();

  /**
   * The number in the next machine's name. Names are never reused; a test that starts from a stored
   * state sets this so that no name in that state is used again.
   */
  int nextMachineNumber;

  /** How many of the next machines never come up. */
  int failingBoots;

  /** The boot time of a rented machine; 0: a few seconds, and almost none for one in five. */
  long bootMs;

  /** The minimum age of a listing. Its age varies up to twice that, so listings can go back. */
  long listLagMs;

  /** How many machines were rented. */
  int rentedCount;

  /** How many deletions of machines were requested. */
  int deleteRequestCount;

  /** A rented machine, with the times at which it was rented, came up and was deleted. */
  private static final class Host {
    final String zone;
    final boolean spot;
    final long rentedAtMs;
    long upSinceMs = Long.MAX_VALUE;
    long deletedAtMs = Long.MAX_VALUE;

    Host(String zone, boolean spot, long rentedAtMs) {
      this.zone = zone;
      this.spot = spot;
      this.rentedAtMs = rentedAtMs;
    }
  }

  SimCloud(SimWorld world, int capacity) {
    this.world = world;
    this.capacity = capacity;
  }

  /** Rents machines that are up from the start, without a boot time. */
  void bootAtOnce(int count) {
    for (int i = 0; i < count; i++) {
      boot(SimWorld.ZONES.get(i % SimWorld.ZONES.size()), false, 0);
    }
  }

  /** Returns the workers of the machines that are up, sorted by name. */
  List<SimWorker> workers() {
    return new ArrayList<>(runningWorkers.values());
  }

  private String boot(String zone, boolean spot, long delayMs) {
    String name = String.format("i-%06d", nextMachineNumber++);
    Host host = new Host(zone, spot, world.clock.nowMs());
    hosts.put(name, host);
    booting.add(name);
    rentedCount++;
    if (failingBoots > 0) {
      failingBoots--;
      return name;
    }
    world.clock.after(
        delayMs,
        () -> {
          if (booting.remove(name)) {
            host.upSinceMs = world.clock.nowMs();
            runningWorkers.put(
                name,
                new SimWorker(
                    world,
                    name,
                    "10.1.0." + name.substring(2) + ":1",
                    zone,
                    spot,
                    world.random.nextLong()));
          }
        });
    return name;
  }

  @Override
  public void serve(String from, String method, String path, byte[] body, Consumer<Response> done) {
    try {
      if (path.equals("/flavors")) {
        done.accept(
            SimStateService.answer(
                200,
                Map.of(
                    "flavours",
                    List.of(
                        Map.of(
                            "sku",
                            "g4",
                            "cores",
                            SimWorld.CPUS_PER_MACHINE,
                            "gpus",
                            SimWorld.GPUS_PER_MACHINE,
                            "memoryGb",
                            SimWorld.MEMORY_GB_PER_MACHINE,
                            "rate",
                            10.0,
                            "lowPrice",
                            4.0,
                            "bootS",
                            5.0,
                            "regions",
                            SimWorld.ZONES)))));
      } else if (path.equals("/hosts/delete")) {
        for (String name : Document.parse(body).texts("hosts")) {
          deleteRequestCount++;
          booting.remove(name);
          if (hosts.containsKey(name) && hosts.get(name).deletedAtMs == Long.MAX_VALUE) {
            hosts.get(name).deletedAtMs = world.clock.nowMs();
          }
          SimWorker worker = runningWorkers.remove(name);
          if (worker != null) {
            worker.terminate();
          }
        }
        done.accept(SimStateService.answer(200, Map.of()));
      } else if (path.equals("/hosts")) {
        Document request = Document.parse(body);
        List<String> names = machinesByClaim.get(request.text("claim"));
        if (names == null) {
          names = new ArrayList<>();
          for (int i = 0;
              i < request.count("count") && runningWorkers.size() + booting.size() < capacity;
              i++) {
            // Some machines come up and report before the controller has read the answer.
            boolean fixedBootTime = world.random.nextInt(5) == 0 || bootMs > 0;
            long delayMs = fixedBootTime ? 1 + bootMs : 3000 + world.random.nextInt(4000);
            names.add(boot(request.text("region"), request.flag("reclaimable"), delayMs));
          }
          if (names.isEmpty()) {
            done.accept(SimStateService.answer(503, Map.of("error", "no capacity")));
            return;
          }
          machinesByClaim.put(request.text("claim"), names);
        }
        done.accept(SimStateService.answer(200, Map.of("hosts", names)));
      } else {
        List<Object> listed = new ArrayList<>();
        long listedAtMs =
            world.clock.nowMs() - (long) (listLagMs * (1 + world.random.nextDouble()));
        hosts.forEach(
            (name, host) -> {
              if (host.rentedAtMs <= listedAtMs && listedAtMs < host.deletedAtMs) {
                listed.add(
                    Map.of(
                        "ref",
                        name,
                        "flavour",
                        "g4",
                        "region",
                        host.zone,
                        "reclaimable",
                        host.spot,
                        "phase",
                        listedAtMs < host.upSinceMs ? "starting" : "running",
                        "ageS",
                        (listedAtMs - host.rentedAtMs) / 1000.0));
              }
            });
        done.accept(SimStateService.answer(200, Map.of("hosts", listed, "truncated", false)));
      }
    } catch (BadMessage e) {
      done.accept(SimStateService.answer(400, Map.of("error", e.getMessage())));
    }
  }

  /** Returns how many machines are up or booting. */
  public int machineCount() {
    return runningWorkers.size() + booting.size();
  }
}
