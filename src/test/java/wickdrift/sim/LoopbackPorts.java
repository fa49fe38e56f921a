package wickdrift.sim;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates loopback ports for the servers of a test process. The ports lie outside the kernel's
 * range for outgoing connections; otherwise such a connection could take a port between its
 * allocation and its use.
 */
final class LoopbackPorts {
  private static final int FIRST_PORT = 11_000;
  private static final int END_PORT = 32_000;

  /** Starts at an offset derived from the process id, so that parallel test processes differ. */
  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * 997 % (END_PORT - FIRST_PORT)));

  private LoopbackPorts() {}

  /** Returns a port on which nothing listens, and which this process has not allocated before. */
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
    throw new IllegalStateException("no free loopback port from 11000 to 31999");
  }
}
