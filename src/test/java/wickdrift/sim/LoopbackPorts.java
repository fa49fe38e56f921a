package wickdrift.sim;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports on loopback for servers of one test process, outside the range from which the kernel takes
 * those of outgoing connections: else one might be taken between its choice and its use.
 */
final class LoopbackPorts {
  private static final int FIRST_PORT = 11_000;
  private static final int END_PORT = 32_000;

  /** Test processes at the same time begin at different places. */
  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % (END_PORT - FIRST_PORT)));

  private LoopbackPorts() {}

  /** A port on which nothing listens, given out once. */
  static int allocate() {
    for (int tries = FIRST_PORT; tries < END_PORT; tries++) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), END_PORT - FIRST_PORT);
      try (ServerSocket socket = new ServerSocket()) {
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1);
        return port;
      } catch (IOException taken) {
        continue;
      }
    }
    throw new IllegalStateException("no port is free on loopback");
  }
}
