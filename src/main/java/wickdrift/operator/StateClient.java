package wickdrift.operator;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import wickdrift.transport.Caller.Response;
import wickdrift.transport.EventLoop;
import wickdrift.transport.HttpClient;

/** Calls the state service over the network, slowly enough to leave it to the controllers. */
public final class StateClient implements Store, AutoCloseable {
  private static final long CALL_MS = 3000;
  private static final long AGAIN_MS = 250;

  private final EventLoop loop = new EventLoop();
  private final HttpClient client;
  private final String address;
  private final long limitMs;
  private final long paceMs;

  /**
   * @param address of the state service, as in the settings
   * @param perSecond at most so many requests
   * @param limitMs after so long without an answer to one request it counts as away
   */
  public StateClient(String address, double perSecond, long limitMs) {
    this.address = address;
    this.limitMs = limitMs;
    this.paceMs = (long) (1000 / perSecond);
    this.client = new HttpClient(loop.group(), 2, Set.of(address));
  }

  @Override
  public Response call(String method, String path, byte[] body) throws Away {
    long until = loop.nowMs() + limitMs;
    try {
      while (true) {
        Thread.sleep(paceMs);
        CompletableFuture<Response> got = new CompletableFuture<>();
        loop.execute(() -> client.call(address, method, path, body, CALL_MS, got::complete));
        Response a = got.get(CALL_MS + AGAIN_MS, TimeUnit.MILLISECONDS);
        boolean write = path.equals("/commit");
        if (a.status() == 0 && write) {
          // It may have been applied, or may yet be: to send it again is for who knows better.
          throw new Away("no answer to a change: it may have been made, or may yet be");
        }
        if (a.status() != 0 && a.status() != 429 && a.status() != 503) {
          return a;
        }
        if (loop.nowMs() >= until) {
          throw new Away("the state service at " + address + " does not answer");
        }
        Thread.sleep(AGAIN_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new Away("interrupted");
    } catch (ExecutionException | TimeoutException e) {
      throw new Away("the state service at " + address + " does not answer");
    }
  }

  @Override
  public void close() {
    loop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
