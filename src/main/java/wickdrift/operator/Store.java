package wickdrift.operator;

import wickdrift.transport.Caller.Response;

/** The state service as a person's command meets it: one request at a time, waiting for each. */
public interface Store {
  /** The state service did not answer, or not as its protocol says, for as long as was waited. */
  final class Away extends Exception {
    private static final long serialVersionUID = 1L;

    public Away(String message) {
      super(message);
    }
  }

  /**
   * @param path with its query
   * @param body MessagePack, or null
   * @return any answer but 429 and 503, which are waited out
   * @throws Away if there was none in bounded time
   */
  Response call(String method, String path, byte[] body) throws Away;
}
