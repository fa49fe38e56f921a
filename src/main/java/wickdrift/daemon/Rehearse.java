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
 * Runs a controller on loopback against a partner that has nothing, sends it one request of each
 * kind and ends. The build records which classes that loads.
 */
@CommandLine.Command(
    name = "rehearse",
    hidden = true,
    description = "Load what a controller loads, then end.")
public final class Rehearse implements Callable<Integer> {
  private static final long LIMIT_S = 20;
  private static final long STEP_MS = 2000;

  /** One answer that reads as empty whatever was asked. */
  private static final Map<String, Object> NOTHING =
      Map.of(
          "ledgerRev", 1,
          "entries", List.of(),
          "news", List.of(),
          "tether", 1,
          "hosts", List.of(),
          "flavours", List.of(type()));

  private static Map<String, Object> type() {
    return Map.of(
        "sku", "t", "cores", 1, "gpus", 0, "memoryGb", 1, "rate", 1, "regions", List.of("z"));
  }

  @Override
  public Integer call() throws Exception {
    EventLoop loop = new EventLoop();
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    Channel partner = new HttpServer(loop.group(), 16, x -> x.reply(200, NOTHING)).listen(any);
    Controller[] box = new Controller[1];
    Channel front = new HttpServer(loop.group(), 16, x -> box[0].handle(x)).listen(any);
    PeerLink link = new PeerLink(loop.group(), f -> box[0].peerFrame(f));
    Channel back = link.listen(any);
    Settings settings =
        Settings.parse(new TomlParser().parse(settings(at(partner), at(front), at(back))));
    HttpClient client = new HttpClient(loop.group(), 16, Set.of());
    Map<String, Consumer<ByteBuffer>> peers = Map.of("p", link.to(at(back)));
    box[0] =
        new Controller(
            settings, Tuning.defaults(settings), loop, client, peers, "i", new Metrics());
    loop.run(box[0]::start);
    List<Object[]> asks =
        List.of(
            new Object[] {"GET", "/up", null},
            new Object[] {"POST", "/api/jobs", MessageCodec.encode(Map.of("ref", "req-1"))},
            new Object[] {"GET", "/api/jobs/req-1", null},
            new Object[] {"POST", "/api/jobs/req-1/withdraw", null},
            new Object[] {"POST", "/hello", MessageCodec.encode(Map.of("host", "i-1"))},
            new Object[] {"GET", "/metrics", null});
    CountDownLatch left = new CountDownLatch(asks.size() + 1);
    for (Object[] a : asks) {
      loop.run(
          () ->
              client.call(
                  at(front),
                  (String) a[0],
                  (String) a[1],
                  (byte[]) a[2],
                  STEP_MS,
                  r -> left.countDown()));
    }
    loop.after(STEP_MS, left::countDown);
    return left.await(LIMIT_S, TimeUnit.SECONDS) ? 0 : 1;
  }

  private static String at(Channel c) {
    return "127.0.0.1:" + ((InetSocketAddress) c.localAddress()).getPort();
  }

  private static String settings(String partner, String front, String back) {
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
        .formatted(partner, front, back);
  }
}
