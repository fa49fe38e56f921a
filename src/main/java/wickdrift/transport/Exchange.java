package wickdrift.transport;

/** An HTTP request that is to be answered exactly once. */
public interface Exchange {
  /** The HTTP method. */
  String method();

  /** The path with its query. */
  String path();

  /** The request body; empty if there is none. */
  byte[] body();

  /**
   * Sends the response.
   *
   * @param body the value to encode as the body; null: an empty map
   * @param retryAfterS the value of the Retry-After header; 0: no such header
   */
  void reply(int status, Object body, int retryAfterS);

  /** Sends the response without a Retry-After header. */
  default void reply(int status, Object body) {
    reply(status, body, 0);
  }
}
