package wickdrift.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Listening where the process that ended a moment ago may listen still: a start within a fraction
 * of a second is not to end for that.
 */
public final class Ports {
  private static final Logger LOG = LoggerFactory.getLogger(Ports.class);

  /** Between two tries, milliseconds. */
  private static final long PAUSE_MS = 100;

  /** So long a port may stay taken, seconds; after that it is taken for a wrong setting. */
  private static final int TRIES = 300;

  /** Waits between two tries. */
  interface Pause {
    void run() throws InterruptedException;
  }

  private Ports() {}

  /**
   * Binds, trying again for 30 s while the port is taken.
   *
   * @throws IOException it can't be had; the message names the address
   */
  static Channel listen(ServerBootstrap server, InetSocketAddress address)
      throws IOException, InterruptedException {
    return listen(server, address, TRIES, () -> TimeUnit.MILLISECONDS.sleep(PAUSE_MS));
  }

  static Channel listen(ServerBootstrap server, InetSocketAddress address, int tries, Pause pause)
      throws IOException, InterruptedException {
    for (int n = 1; ; n++) {
      ChannelFuture f = server.bind(address).await();
      if (f.isSuccess()) {
        return f.channel();
      }
      if (!(f.cause() instanceof BindException) || n >= tries) {
        throw new IOException("can't listen on " + address + ": " + f.cause().getMessage());
      }
      if (n == 1) {
        LOG.warn("{} is taken; it is tried again", address);
      }
      pause.run();
    }
  }
}
