package wickdrift.operator;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import wickdrift.transport.Caller.Response;
import wickdrift.transport.EventLoop;
import wickdrift.transport.HttpClient;

/**
 * Calls the state service over HTTP. The request rate is limited so that the controllers keep most
 * of the state service's capacity.
 */
public final class HttpStateServiceCaller implements StateServiceCaller, AutoCloseable {
  private static final long CALL_TIMEOUT_MS = 3000;
  private static final long RETRY_INTERVAL_MS = 250;

  private final EventLoop eventLoop = new EventLoop();
  private final HttpClient httpClient;
  private final String address;
  private final long unavailableAfterMs;
  private final long requestIntervalMs;

  /**
   * Creates a caller with an event loop of its own, which {@link #close} ends.
   *
   * @param address of the state service, as in the settings
   * @param maxRequestsPerSecond limit of the request rate
   * @param unavailableAfterMs time without a usable response to one request after which the state
   *     service counts as unavailable
   */
  public HttpStateServiceCaller(
      String address, double maxRequestsPerSecond, long unavailableAfterMs) {
    this.address = address;
    this.unavailableAfterMs = unavailableAfterMs;
    this.requestIntervalMs = (long) (1000 / maxRequestsPerSecond);
    this.httpClient = new HttpClient(eventLoop.group(), 2, Set.of(address));
  }

  @Override
  public Response call(String method, String path, byte[] body) throws UnavailableException {
    long deadlineMs = eventLoop.nowMs() + unavailableAfterMs;
    try {
      while (true) {
        Thread.sleep(requestIntervalMs);
        CompletableFuture<Response> pendingResponse = new CompletableFuture<>();
        eventLoop.execute(
            () ->
                httpClient.call(
                    address, method, path, body, CALL_TIMEOUT_MS, pendingResponse::complete));
        Response response =
            pendingResponse.get(CALL_TIMEOUT_MS + RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
        boolean isWrite = path.equals("/commit");
        if (response.status() == 0 && isWrite) {
          // The commit may have been applied already, or may be applied later. Only the caller can
          // decide whether it is safe to send it again.
          throw new UnavailableException(
              "no answer to a change: it may have been made, or may yet be");
        }
        if (response.status() != 0 && response.status() != 429 && response.status() != 503) {
          return response;
        }
        if (eventLoop.nowMs() >= deadlineMs) {
          throw new UnavailableException("the state service at " + address + " does not answer");
        }
        Thread.sleep(RETRY_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new UnavailableException("interrupted");
    } catch (ExecutionException | TimeoutException e) {
      throw new UnavailableException("the state service at " + address + " does not answer");
    }
  }

  @Override
  public void close() {
    eventLoop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
  }
}
