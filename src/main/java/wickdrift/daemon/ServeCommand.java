package wickdrift.daemon;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import wickdrift.coordination.Tuning;
import wickdrift.settings.Settings;
import wickdrift.transport.EventLoop;
import wickdrift.transport.HttpClient;
import wickdrift.transport.HttpServer;
import wickdrift.transport.PeerLink;

/** Runs a controller until the process is terminated. */
@CommandLine.Command(name = "serve", description = "Run a controller.")
public final class ServeCommand implements Callable<Integer> {
  /** Not an exit code: the service continues to run on its own thread. */
  static final int KEEP_RUNNING = -1;

  private static final int EXIT_BAD_SETTINGS = 2;

  /** Time from SIGTERM to the end of the orderly shutdown. */
  private static final long SHUTDOWN_TIMEOUT_MS = 3000;

  /** Additional time for the event loop to report the end of the shutdown. */
  private static final long SHUTDOWN_SLACK_MS = 500;

  @CommandLine.Option(
      names = "--config",
      required = true,
      description = "The settings file that the platform hands over.")
  private Path config;

  /** Waits on SIGTERM until pending work has ended. On SIGKILL this does not run. */
  private static void shutDown(EventLoop loop, Controller controller) {
    CountDownLatch finished = new CountDownLatch(1);
    loop.execute(() -> controller.shutDown(SHUTDOWN_TIMEOUT_MS, finished::countDown));
    try {
      finished.await(SHUTDOWN_TIMEOUT_MS + SHUTDOWN_SLACK_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public Integer call() throws Exception {
    Settings settings;
    try {
      settings = Settings.load(config);
    } catch (Settings.InvalidSettingsException e) {
      System.err.println("wickdrift: " + e.getMessage());
      return EXIT_BAD_SETTINGS;
    }
    Logger log = LoggerFactory.getLogger(ServeCommand.class);
    EventLoop loop = new EventLoop();
    // Half of the sockets are for incoming connections, a quarter for outgoing ones; the rest is
    // a reserve.
    HttpClient client =
        new HttpClient(
            loop.group(),
            settings.maxSockets() / 4,
            Set.of(settings.stateServiceAddress(), settings.cloudAddress()));
    Controller[] controllerHolder = new Controller[1];
    PeerLink link = new PeerLink(loop.group(), frame -> controllerHolder[0].handlePeerFrame(frame));
    Map<String, Consumer<ByteBuffer>> peers = new HashMap<>();
    settings.peers().forEach(peer -> peers.put(peer.node(), link.outgoingLink(peer.address())));
    String incarnation = Long.toString(new SecureRandom().nextLong() >>> 24, 36);
    Metrics metrics = new Metrics();
    Controller controller =
        new Controller(
            settings, Tuning.defaults(settings), loop, client, peers, incarnation, metrics);
    controllerHolder[0] = controller;
    try {
      link.listen(HttpClient.parseAddress(settings.peerListenAddress()));
      HttpServer server =
          new HttpServer(loop.group(), settings.maxSockets() / 2, controller::handle);
      metrics.registerGauge("connections.overdue", server::overdueConnections);
      metrics.registerGauge("connections.replaced", server::replacedConnections);
      server.listen(HttpClient.parseAddress(settings.listenAddress()));
    } catch (IOException e) {
      System.err.println("wickdrift: " + e.getMessage());
      return EXIT_BAD_SETTINGS;
    }
    loop.execute(controller::start);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(loop, controller), "leave"));
    log.info("controller started: node={}, address={}", settings.node(), settings.listenAddress());
    return KEEP_RUNNING;
  }
}
