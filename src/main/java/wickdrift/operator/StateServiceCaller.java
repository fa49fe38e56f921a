package wickdrift.operator;

import wickdrift.transport.Caller.Response;

/**
 * Blocking access of the operators' commands to the state service: one request at a time, each of
 * which waits for its response.
 */
public interface StateServiceCaller {
  /**
   * The state service is unavailable: within the time limit it did not respond, or its responses
   * violated the protocol.
   */
  final class UnavailableException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception; the command prints the message. */
    public UnavailableException(String message) {
      super(message);
    }
  }

  /**
   * Sends a request and waits for the response.
   *
   * @param path including the query
   * @param body MessagePack, or null
   * @return any response except 429 and 503, after which the request is retried
   * @throws UnavailableException if no such response arrived in bounded time
   */
  Response call(String method, String path, byte[] body) throws UnavailableException;
}
