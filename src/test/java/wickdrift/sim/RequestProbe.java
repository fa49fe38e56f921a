package wickdrift.sim;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends single requests to a controller, each on a connection of its own. */
final class RequestProbe {
  /** Status of a request without an answer. */
  static final int NO_ANSWER = 0;

  private static final int STATUS_START = "HTTP/1.1 ".length();
  private static final int STATUS_END = STATUS_START + 3;

  private final InetSocketAddress address;
  private final int timeoutMs;

  RequestProbe(InetSocketAddress address, int timeoutMs) {
    this.address = address;
    this.timeoutMs = timeoutMs;
  }

  /** Returns the status of the answer, or {@link #NO_ANSWER}. */
  int request(String method, String path, byte[] body) {
    String head = method + " " + path + " HTTP/1.1\r\nContent-Length: " + body.length + "\r\n\r\n";
    byte[] bytes = head.getBytes(StandardCharsets.US_ASCII);
    byte[] request = new byte[bytes.length + body.length];
    System.arraycopy(bytes, 0, request, 0, bytes.length);
    System.arraycopy(body, 0, request, bytes.length, body.length);
    return send(request);
  }

  /** Sends bytes, and returns the status of the answer, or {@link #NO_ANSWER}. */
  int send(byte[] request) {
    try (Socket socket = new Socket()) {
      socket.connect(address, timeoutMs);
      socket.setSoTimeout(timeoutMs);
      socket.getOutputStream().write(request);
      InputStream in = socket.getInputStream();
      byte[] statusLine = in.readNBytes(STATUS_END);
      return statusLine.length < STATUS_END
          ? NO_ANSWER
          : Integer.parseInt(
              new String(
                  statusLine, STATUS_START, STATUS_END - STATUS_START, StandardCharsets.US_ASCII));
    } catch (IOException noAnswer) {
      return NO_ANSWER;
    }
  }
}
