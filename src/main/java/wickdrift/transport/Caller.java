package wickdrift.transport;

import java.util.function.Consumer;

/** Sends HTTP requests. The response callback runs on the event loop, exactly once per request. */
public interface Caller {
  /**
   * An HTTP response. Status 0 means that no response arrived; the request may still be executed.
   */
  record Response(int status, byte[] body) {
    /** No response arrived. */
    public static final Response NO_RESPONSE = new Response(0, new byte[0]);
  }

  /**
   * Sends a request.
   *
   * @param address host and port
   * @param body null for an empty body
   * @param onResponse receives the response, or {@link Response#NO_RESPONSE} after the timeout or a
   *     failure
   */
  void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Response> onResponse);
}
