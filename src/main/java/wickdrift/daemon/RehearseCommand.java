package wickdrift.daemon;

import com.electronwill.nightconfig.toml.TomlParser;
import io.netty.channel.Channel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import picocli.CommandLine;
import wickdrift.coordination.Tuning;
import wickdrift.protocol.MessageCodec;
import wickdrift.settings.Settings;
import wickdrift.transport.EventLoop;
import wickdrift.transport.HttpClient;
import wickdrift.transport.HttpServer;
import wickdrift.transport.PeerLink;

/**
 * Runs a controller on the loopback interface against a server that stands for the state service
 * and the cloud and returns empty results, sends it one request of each kind and exits. The build
 * records the classes that this loads.
 */
@CommandLine.Command(
    name = "rehearse",
    hidden = true,
    description = "Load what a controller loads, then end.")
public final class RehearseCommand implements Callable<Integer> {
  private static final long TIMEOUT_S = 20;
  private static final long REQUEST_TIMEOUT_MS = 2000;

  /** A reply to any request, which contains an empty result and one machine type. */
  private static final Map<String, Object> EMPTY_ANSWER =
      Map.of(
          "ledgerRev", 1,
          "entries", List.of(),
          "news", List.of(),
          "tether", 1,
          "hosts", List.of(),
          "flavours", List.of(machineType()));

  private static Map<String, Object> machineType() {
    return Map.of(
        "sku", "t", "cores", 1, "gpus", 0, "memoryGb", 1, "rate", 1, "regions", List.of("z"));
  }

  @Override
  public Integer call() throws Exception {
    EventLoop loop = new EventLoop();
    InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Channel stubChannel =
        new HttpServer(loop.group(), 16, exchange -> exchange.reply(200, EMPTY_ANSWER))
            .listen(loopback);
    Controller[] controller = new Controller[1];
    Channel httpChannel =
        new HttpServer(loop.group(), 16, exchange -> controller[0].handle(exchange))
            .listen(loopback);
    PeerLink link = new PeerLink(loop.group(), frame -> controller[0].handlePeerFrame(frame));
    Channel peerChannel = link.listen(loopback);
    Settings settings =
        Settings.parse(
            new TomlParser()
                .parse(
                    settingsToml(
                        addressOf(stubChannel), addressOf(httpChannel), addressOf(peerChannel))));
    HttpClient client = new HttpClient(loop.group(), 16, Set.of());
    Map<String, Consumer<ByteBuffer>> peers =
        Map.of("p", link.outgoingLink(addressOf(peerChannel)));
    controller[0] =
        new Controller(
            settings, Tuning.defaults(settings), loop, client, peers, "i", new Metrics());
    loop.execute(controller[0]::start);
    List<Object[]> requests =
        List.of(
            new Object[] {"GET", "/up", null},
            new Object[] {"POST", "/api/jobs", MessageCodec.encode(Map.of("ref", "req-1"))},
            new Object[] {"GET", "/api/jobs/req-1", null},
            new Object[] {"POST", "/api/jobs/req-1/withdraw", null},
            new Object[] {"POST", "/hello", MessageCodec.encode(Map.of("host", "i-1"))},
            new Object[] {"GET", "/metrics", null});
    CountDownLatch outstanding = new CountDownLatch(requests.size() + 1);
    for (Object[] request : requests) {
      loop.execute(
          () ->
              client.call(
                  addressOf(httpChannel),
                  (String) request[0],
                  (String) request[1],
                  (byte[]) request[2],
                  REQUEST_TIMEOUT_MS,
                  response -> outstanding.countDown()));
    }
    loop.after(REQUEST_TIMEOUT_MS, outstanding::countDown);
    return outstanding.await(TIMEOUT_S, TimeUnit.SECONDS) ? 0 : 1;
  }

  private static String addressOf(Channel channel) {
    return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static String settingsToml(String stubAddress, String listenAddress, String peerAddress) {
    return """
        host_name = "n"
        location = "z"
        serve_on = "%2$s"
        back = "%3$s"
        [[peers]]
        host_name = "p"
        peer_addr = "%3$s"
        [endpoints]
        cloud = "%1$s"
        state = "%1$s"
        [cluster]
        nodes = 2
        zones = ["z"]
        [[cluster.teams]]
        name = "t"
        [[cluster.objectives]]
        kind = "wait"
        [cluster.workers]
        report_s = 1.0
        lease_s = 10.0
        gang_wait_s = 10.0
        gang_peer_s = 5.0
        cancel_s = 30.0
        [cluster.state]
        rps = 100.0
        write_rps = 100.0
        value_kb = 4.0
        txn_ops = 8
        [cluster.cloud]
        rps = 4.0
        list_lag_s = 5.0
        [cluster.quota]
        fd_limit = 100
        """
        .formatted(stubAddress, listenAddress, peerAddress);
  }
}
