package wickdrift.transport;

/** One request to be answered, once. */
public interface Exchange {
  String method();

  String path();

  byte[] body();

  /** Answers; body may be null. A positive retryAfterS becomes the Retry-After header. */
  void reply(int status, Object body, int retryAfterS);

  default void reply(int status, Object body) {
    reply(status, body, 0);
  }
}
