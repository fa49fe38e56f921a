package wickdrift.transport;

import java.util.function.Consumer;

/** Makes HTTP requests. The answer arrives on the event loop, exactly once. */
public interface Caller {
  /** An HTTP answer. Status 0: none came, and the request may yet be executed. */
  record Answer(int status, byte[] body) {
    public static final Answer NONE = new Answer(0, new byte[0]);
  }

  void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Answer> onResponse);
}
