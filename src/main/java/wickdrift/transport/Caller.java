package wickdrift.transport;

import java.util.function.Consumer;

/** Sends HTTP requests. The response callback runs on the event loop, exactly once per request. */
public interface Caller {
  /**
   * An HTTP response. Status 0 means that no response arrived; the request may still be executed.
   */
  record Answer(int status, byte[] body) {
    /** No response arrived. */
    public static final Answer NONE = new Answer(0, new byte[0]);
  }

  /**
   * Sends a request.
   *
   * @param address host and port
   * @param body null for an empty body
   * @param onResponse receives the response, or {@link Answer#NONE} after the timeout or a failure
   */
  void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Answer> onResponse);
}
