package wickdrift.sim;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.level.LevelRange;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.EncodedValue;
import wickdrift.transport.Caller;
import wickdrift.transport.Caller.Response;
import wickdrift.transport.EventLoop;
import wickdrift.transport.Exchange;
import wickdrift.transport.HttpClient;
import wickdrift.transport.HttpServer;

/**
 * Real controller processes on loopback, with stand-ins for the state service, the cloud, workers
 * and users, which run in this process in real time. All requests between processes and stand-ins
 * pass through the {@link SimNetwork} of the stand-ins, so that its faults apply to real processes
 * too. Connections between controllers pass through one {@link TcpProxy} for each direction.
 */
final class LoopbackStage implements AutoCloseable {
  private static final long CLOCK_UPDATE_INTERVAL_MS = 5;
  private static final long LOOP_CALL_TIMEOUT_S = 30;
  private static final int MAX_CONNECTIONS = 4000;

  /** Longer than a watch is held open (up to a minute); senders have timeouts of their own. */
  private static final long REQUEST_TIMEOUT_MS = 70_000;

  private static final long SIM_START_MS = 1000;

  final EventLoop loop = new EventLoop();
  final SimWorld world;
  final Path folder;
  private final HttpClient client = new HttpClient(loop.group(), MAX_CONNECTIONS, Set.of());
  private final Map<String, String> addresses = new HashMap<>();
  private final Map<String, ControllerProcess> processes = new TreeMap<>();
  private final Map<String, TcpProxy> peerProxies = new HashMap<>();
  private final List<CompletableFuture<Channel>> bindings = new ArrayList<>();
  private final long startedNs = System.nanoTime();
  private long lastClockUpdateNs;
  private long longestStallMs;
  private volatile Throwable failure;

  /**
   * Creates the stand-ins and opens all ports. No process is started yet.
   *
   * @param setup the configuration of the stand-ins and of the controllers' settings
   * @param folder the folder for settings files and logs
   */
  LoopbackStage(SimSetup setup, Path folder) throws Exception {
    this.folder = Files.createDirectories(folder);
    world = callOnLoop(() -> new SimWorld(setup));
    callOnLoop(this::connect);
    loop.execute(this::followRealTime);
  }

  /** Replaces the simulated controllers by real addresses, and opens the ports of the stand-ins. */
  private Void connect() {
    world.nodes.forEach(world::kill);
    for (String node : world.nodes) {
      addresses.put(node, loopbackAddress(LoopbackPorts.allocate()));
      addresses.put(peerAddressKey(node), loopbackAddress(LoopbackPorts.allocate()));
      world.net.processCallers.put(node, this::callProcess);
    }
    for (String from : world.nodes) {
      for (String to : world.nodes) {
        if (!from.equals(to)) {
          String address = loopbackAddress(LoopbackPorts.allocate());
          addresses.put(linkKey(from, to), address);
          peerProxies.put(
              linkKey(from, to),
              new TcpProxy(
                  loop.group(),
                  HttpClient.parseAddress(address),
                  HttpClient.parseAddress(addresses.get(peerAddressKey(to)))));
        }
      }
    }
    world.net.listenObserver = this::openPorts;
    openPorts(SimWorld.STATE_ADDRESS);
    openPorts(SimWorld.CLOUD_ADDRESS);
    world.workers().forEach(worker -> openPorts(worker.address));
    world.addressSeenByNode =
        (address, node) -> addresses.getOrDefault(standInAddressKey(address, node), address);
    return null;
  }

  private static String loopbackAddress(int port) {
    return "127.0.0.1:" + port;
  }

  private static String peerAddressKey(String node) {
    return "back:" + node;
  }

  private static String linkKey(String from, String to) {
    return from + ">" + to;
  }

  /** Each controller has its own address of a stand-in, by which its requests are recognized. */
  private static String standInAddressKey(String address, String node) {
    return address + "@" + node;
  }

  /** Runs an action on the event loop that owns the stand-ins, and waits for its result. */
  <T> T callOnLoop(Supplier<T> action) throws Exception {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            result.complete(action.get());
          } catch (RuntimeException | Error e) {
            result.completeExceptionally(e);
          }
        });
    return result.get(LOOP_CALL_TIMEOUT_S, TimeUnit.SECONDS);
  }

  // ---- time ----

  /** Advances the simulated time to the real time, periodically. */
  private void followRealTime() {
    long now = System.nanoTime();
    if (lastClockUpdateNs > 0) {
      longestStallMs = Math.max(longestStallMs, (now - lastClockUpdateNs) / 1_000_000);
    }
    lastClockUpdateNs = now;
    loop.after(CLOCK_UPDATE_INTERVAL_MS, this::followRealTime);
    try {
      advanceTo(SIM_START_MS + (now - startedNs) / 1_000_000);
    } catch (RuntimeException | Error e) {
      failure = e;
      throw e;
    }
  }

  /** Returns the error of a stand-in, or null. After an error the run has no valid result. */
  Throwable standInFailure() {
    return failure;
  }

  private void advanceTo(long ms) {
    if (ms > world.clock.nowMs()) {
      world.clock.runUntil(ms);
    }
  }

  /** Returns the longest pause of the stand-ins; measured times are not valid during a pause. */
  long longestStallMs() {
    return longestStallMs;
  }

  // ---- messages ----

  /** Sends a request from a stand-in to a controller process. */
  private void callProcess(
      String node,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      java.util.function.Consumer<Response> done) {
    boolean fromUser = path.startsWith("/api/");
    client.call(
        addresses.get(node),
        method,
        path,
        body,
        timeoutMs,
        answer -> {
          if (fromUser) {
            // Requests sent before this answer must have an earlier time than those sent after it.
            advanceTo(world.clock.nowMs() + 1);
          }
          done.accept(answer);
        });
  }

  /** Opens a port for each controller to a stand-in. */
  private void openPorts(String address) {
    if (world.nodes.contains(address) || address.startsWith("peer:")) {
      return;
    }
    for (String node : world.nodes) {
      int port = LoopbackPorts.allocate();
      if (addresses.putIfAbsent(standInAddressKey(address, node), loopbackAddress(port)) == null) {
        bind(port, address, node);
      }
    }
  }

  /** Binds a port from another thread: the event loop's thread must not wait for itself. */
  private void bind(int port, String address, String node) {
    CompletableFuture<Channel> bound = new CompletableFuture<>();
    bindings.add(bound);
    Caller caller = world.net.caller(node, () -> true);
    Thread binder =
        new Thread(
            () -> {
              try {
                bound.complete(
                    new HttpServer(
                            loop.group(),
                            MAX_CONNECTIONS,
                            exchange -> forward(caller, address, exchange))
                        .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
              } catch (IOException | InterruptedException e) {
                bound.completeExceptionally(e);
              }
            });
    binder.setDaemon(true);
    binder.start();
  }

  private void forward(Caller caller, String address, Exchange exchange) {
    caller.call(
        address,
        exchange.method(),
        exchange.path(),
        exchange.body(),
        REQUEST_TIMEOUT_MS,
        answer -> reply(exchange, answer));
  }

  private static void reply(Exchange exchange, Response answer) {
    if (answer.status() == 0) {
      return;
    }
    try {
      boolean empty = answer.body() == null || answer.body().length == 0;
      exchange.reply(answer.status(), empty ? Map.of() : EncodedValue.of(answer.body()));
    } catch (BadMessage e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sets the mode of the proxy for connections from one controller to another. */
  void setPeerLinkMode(String from, String to, TcpProxy.Mode mode) {
    peerProxies.get(linkKey(from, to)).setMode(mode);
  }

  // ---- processes ----

  /** Waits until every port is open. */
  void awaitPorts() throws Exception {
    for (CompletableFuture<Channel> bound : callOnLoop(() -> List.copyOf(bindings))) {
      bound.get(LOOP_CALL_TIMEOUT_S, TimeUnit.SECONDS);
    }
  }

  /** Writes a controller's settings file with real addresses, and starts its process. */
  void start(String node, Path jar) throws Exception {
    String text = callOnLoop(() -> world.settingsText(node, SimWorld.STATE_ADDRESS));
    Map<String, String> realAddresses = new LinkedHashMap<>();
    realAddresses.put(
        SimWorld.STATE_ADDRESS, addresses.get(standInAddressKey(SimWorld.STATE_ADDRESS, node)));
    realAddresses.put(
        SimWorld.CLOUD_ADDRESS, addresses.get(standInAddressKey(SimWorld.CLOUD_ADDRESS, node)));
    for (int i = 0; i < world.nodes.size(); i++) {
      String other = world.nodes.get(i);
      boolean self = other.equals(node);
      realAddresses.put("10.0.0." + i + ":1", addresses.get(other));
      realAddresses.put(
          "10.0.1." + i + ":1", addresses.get(self ? peerAddressKey(node) : linkKey(node, other)));
    }
    for (Map.Entry<String, String> entry : realAddresses.entrySet()) {
      text = text.replace("\"" + entry.getKey() + "\"", "\"" + entry.getValue() + "\"");
    }
    Path settings = folder.resolve(node + ".toml");
    Files.writeString(settings, text);
    synchronized (processes) {
      processes.put(node, ControllerProcess.start(jar, settings, logFile(node)));
    }
  }

  /** Returns the address at which a controller serves users, workers and health probes. */
  InetSocketAddress addressOf(String node) {
    return HttpClient.parseAddress(addresses.get(node));
  }

  /** Returns the address at which a controller accepts connections of other controllers. */
  InetSocketAddress peerAddressOf(String node) {
    return HttpClient.parseAddress(addresses.get(peerAddressKey(node)));
  }

  /** Returns the path of a controller's log file. */
  Path logFile(String node) {
    return folder.resolve(node + ".log");
  }

  /** Returns a controller's current process, or null if it was never started. */
  ControllerProcess process(String node) {
    synchronized (processes) {
      return processes.get(node);
    }
  }

  /** Loads the content of the state service into new tables, as a controller would. */
  Tables loadStoredTables() {
    Tables tables = new Tables(world.nodes, LevelRange.BUILD, () -> {});
    tables.load(world.state().all(), world.state().revision());
    return tables;
  }

  @Override
  public void close() {
    synchronized (processes) {
      processes.values().forEach(ControllerProcess::destroy);
    }
    loop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
