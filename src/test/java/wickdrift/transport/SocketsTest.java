package wickdrift.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import wickdrift.protocol.MessageCodec;

/**
 * A controller has more workers than sockets: their connections must not keep users from its server
 * side, nor its client side from the state service. A controller that restarts also has to wait
 * until the port of its predecessor is free.
 */
class SocketsTest {
  private static final int MAX_CONNECTIONS = 8;
  private static final Map<String, Object> BODY = Map.of("ok", true);

  private final EventLoop loop = new EventLoop();
  private final List<Socket> sockets = new ArrayList<>();

  @AfterEach
  void closeSockets() throws Exception {
    for (Socket s : sockets) {
      s.close();
    }
    loop.group().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private InetSocketAddress startServer(int maxConnections)
      throws IOException, InterruptedException {
    HttpServer server = new HttpServer(loop.group(), maxConnections, x -> x.reply(200, BODY));
    return (InetSocketAddress)
        server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).localAddress();
  }

  /** Sends one request and returns the head of the response, empty if the connection was closed. */
  private String request(Socket socket, String method, String path) throws IOException {
    socket.setSoTimeout(10_000);
    String head = method + " " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    StringBuilder response = new StringBuilder();
    InputStream in = socket.getInputStream();
    try {
      for (int c = in.read(); c >= 0; c = in.read()) {
        response.append((char) c);
        if (response.indexOf("\r\n\r\n") >= 0) {
          in.readNBytes(MessageCodec.encode(BODY).length);
          return response.toString();
        }
      }
    } catch (java.net.SocketException e) {
      return "";
    }
    return "";
  }

  private Socket openConnection(InetSocketAddress server) throws IOException {
    Socket socket = new Socket(server.getAddress(), server.getPort());
    sockets.add(socket);
    return socket;
  }

  @Test
  void workerConnectionsAreClosedWhenConnectionsAreScarce() throws Exception {
    InetSocketAddress server = startServer(MAX_CONNECTIONS);
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      String head = request(openConnection(server), "POST", "/hello");
      assertTrue(head.startsWith("HTTP/1.1 200"), "every worker gets a response: " + i);
      assertEquals(i >= MAX_CONNECTIONS * 3 / 4, head.contains("connection: close"), "worker " + i);
    }
    String user = request(openConnection(server), "GET", "/up");
    assertTrue(user.startsWith("HTTP/1.1 200") && !user.contains("connection: close"));
  }

  @Test
  void aUserReplacesTheWorkerConnectionThatIsIdleLongest() throws Exception {
    InetSocketAddress server = startServer(MAX_CONNECTIONS);
    Socket first = openConnection(server);
    request(first, "POST", "/hello");
    Socket second = openConnection(server);
    request(second, "POST", "/hello");
    for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
      assertTrue(
          request(openConnection(server), "GET", "/up").startsWith("HTTP/1.1 200"), "user " + i);
    }
    assertEquals("", request(first, "POST", "/hello"), "connection closed for the last user");
    assertTrue(
        request(second, "POST", "/hello").startsWith("HTTP/1.1 200"),
        "other worker connections stay open");
  }

  @Test
  void aClientWithManyWorkersReachesTheStateService() throws Exception {
    List<String> workers = new ArrayList<>();
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      InetSocketAddress worker = startServer(MAX_CONNECTIONS);
      workers.add(worker.getAddress().getHostAddress() + ":" + worker.getPort());
    }
    InetSocketAddress serviceAddress = startServer(MAX_CONNECTIONS);
    String stateService =
        serviceAddress.getAddress().getHostAddress() + ":" + serviceAddress.getPort();
    HttpClient client = new HttpClient(loop.group(), MAX_CONNECTIONS, Set.of(stateService));
    for (String worker : workers) {
      assertEquals(
          200,
          callOnLoop(client, worker).get(10, TimeUnit.SECONDS),
          "an idle connection is closed for the new one");
    }
    // All calls at once: more than may be open, and no idle connection to close.
    List<CompletableFuture<Integer>> statuses = new ArrayList<>();
    CompletableFuture<CompletableFuture<Integer>> last = new CompletableFuture<>();
    loop.execute(
        () -> {
          workers.forEach(worker -> statuses.add(callFromLoop(client, worker)));
          last.complete(callFromLoop(client, stateService));
        });
    assertEquals(200, last.get(10, TimeUnit.SECONDS).get(10, TimeUnit.SECONDS));
    int refused = 0;
    for (CompletableFuture<Integer> status : statuses) {
      refused += status.get(10, TimeUnit.SECONDS) == 0 ? 1 : 0;
    }
    assertTrue(refused > 0, "no call to a worker was refused");
  }

  private CompletableFuture<Integer> callOnLoop(HttpClient client, String address) {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    loop.execute(() -> callFromLoop(client, address).thenAccept(status::complete));
    return status;
  }

  private static CompletableFuture<Integer> callFromLoop(HttpClient client, String address) {
    CompletableFuture<Integer> status = new CompletableFuture<>();
    client.call(address, "GET", "/up", null, 5000, a -> status.complete(a.status()));
    return status;
  }

  /**
   * The port of a process that ended a moment ago may still be in use. Binding fails after the
   * given number of attempts if it stays in use, and succeeds once it is free.
   */
  @Test
  void bindingIsRetriedWhileThePortIsInUse() throws Exception {
    ServerSocket formerProcess = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    InetSocketAddress address = (InetSocketAddress) formerProcess.getLocalSocketAddress();
    ServerBootstrap server =
        new ServerBootstrap()
            .group(loop.group())
            .channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInboundHandlerAdapter());
    int[] pauseCount = {0};
    IOException e =
        assertThrows(
            IOException.class,
            () -> PortBinder.bindWithRetry(server, address, 3, () -> pauseCount[0]++));
    assertEquals(2, pauseCount[0]);
    assertTrue(e.getMessage().contains(String.valueOf(address.getPort())), e.getMessage());
    Channel channel =
        PortBinder.bindWithRetry(
            server,
            address,
            9,
            () -> {
              try {
                formerProcess.close();
              } catch (IOException x) {
                throw new AssertionError(x);
              }
            });
    assertEquals(address, channel.localAddress());
    channel.close().sync();
  }
}
