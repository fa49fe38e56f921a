import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** HTTP on loopback addresses, and TCP proxies that cut a link. */
final class Net {
  static final ExecutorService POOL =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

  private Net() {}

  /** An answer; status 0 means that there was none. */
  record Answer(int status, byte[] body, int retryAfterS) {
    Answer(int status, byte[] body) {
      this(status, body, 0);
    }

    Object field(String name) {
      return status == 0 || body.length == 0 ? null : Mp.map(body).get(name);
    }
  }

  /** Handles a request; a null answer closes the connection without one. */
  interface Handler {
    Answer handle(String method, String path, byte[] body) throws Exception;
  }

  /** A free port below those that the system gives to outgoing connections. */
  static int freePort() throws IOException {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (GIVEN.add(socket.getLocalPort())) {
          return port;
        }
      } catch (BindException e) {
        // It is in use; another one is tried.
      }
    }
  }

  /** Starts an HTTP server and returns its address. */
  static String serve(Handler handler) throws IOException {
    int port = freePort();
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 256);
    server.setExecutor(POOL);
    server.createContext(
        "/",
        exchange -> {
          try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Answer answer =
                handler.handle(
                    exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
            if (answer != null) {
              exchange.sendResponseHeaders(
                  answer.status(), answer.body().length == 0 ? -1 : answer.body().length);
              OutputStream out = exchange.getResponseBody();
              for (int at = 0; at < answer.body().length; at += 16384) {
                out.write(answer.body(), at, Math.min(16384, answer.body().length - at));
              }
            }
          } catch (Exception e) {
            if (!(e instanceof IOException)) {
              e.printStackTrace();
            }
          } finally {
            exchange.close();
          }
        });
    server.start();
    return "127.0.0.1:" + port;
  }

  /** A client with connections of its own. */
  static HttpClient client() {
    return HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofMillis(1500))
        .executor(POOL)
        .build();
  }

  static CompletableFuture<Answer> call(
      HttpClient client, String address, String method, String path, Object body, long timeoutMs) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(Duration.ofMillis(timeoutMs))
            .header("Content-Type", "application/msgpack")
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(Mp.encode(body)))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .handle(
            (response, failure) ->
                failure != null
                    ? new Answer(0, new byte[0])
                    : new Answer(
                        response.statusCode(),
                        response.body(),
                        response
                            .headers()
                            .firstValue("Retry-After")
                            .map(Integer::parseInt)
                            .orElse(0)));
  }

  /** Forwards connections to an address until it is cut; a cut resets all connections. */
  static final class Proxy {
    private final String target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    final String address;

    Proxy(String target) throws IOException {
      this.target = target;
      int port = freePort();
      ServerSocket listener = new ServerSocket(port, 256, InetAddress.getByName("127.0.0.1"));
      address = "127.0.0.1:" + port;
      POOL.execute(() -> accept(listener));
    }

    private void accept(ServerSocket listener) {
      while (true) {
        try {
          Socket inbound = listener.accept();
          open.add(inbound);
          if (cut) {
            reset(inbound);
            continue;
          }
          POOL.execute(
              () -> {
                try {
                  int colon = target.indexOf(':');
                  Socket outbound =
                      new Socket("127.0.0.1", Integer.parseInt(target.substring(colon + 1)));
                  outbound.setTcpNoDelay(true);
                  inbound.setTcpNoDelay(true);
                  open.add(outbound);
                  POOL.execute(() -> pump(outbound, inbound));
                  pump(inbound, outbound);
                } catch (IOException e) {
                  reset(inbound);
                }
              });
        } catch (IOException e) {
          return;
        }
      }
    }

    private void pump(Socket from, Socket to) {
      byte[] buffer = new byte[65536];
      try {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        for (int n = in.read(buffer); n >= 0 && !cut; n = in.read(buffer)) {
          out.write(buffer, 0, n);
          out.flush();
        }
      } catch (IOException e) {
        // The connection ended.
      }
      reset(from);
      reset(to);
    }

    private void reset(Socket socket) {
      try {
        open.remove(socket);
        if (cut) {
          socket.setSoLinger(true, 0);
        }
        socket.close();
      } catch (IOException e) {
        // It is closed.
      }
    }

    void setCut(boolean on) {
      cut = on;
      if (on) {
        Set.copyOf(open).forEach(this::reset);
      }
    }
  }
}
