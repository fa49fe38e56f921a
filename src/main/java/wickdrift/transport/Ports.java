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
  private static final long BIND_RETRY_INTERVAL_MS = 100;

  /** So long a port may stay taken, seconds; after that it is taken for a wrong setting. */
  private static final int MAX_BIND_ATTEMPTS = 300;

  /** Waits between two tries. */
  interface RetryDelay {
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
    return listen(
        server,
        address,
        MAX_BIND_ATTEMPTS,
        () -> TimeUnit.MILLISECONDS.sleep(BIND_RETRY_INTERVAL_MS));
  }

  static Channel listen(
      ServerBootstrap server, InetSocketAddress address, int maxAttempts, RetryDelay retryDelay)
      throws IOException, InterruptedException {
    for (int attempt = 1; ; attempt++) {
      ChannelFuture bindFuture = server.bind(address).await();
      if (bindFuture.isSuccess()) {
        return bindFuture.channel();
      }
      if (!(bindFuture.cause() instanceof BindException) || attempt >= maxAttempts) {
        throw new IOException(
            "can't listen on " + address + ": " + bindFuture.cause().getMessage());
      }
      if (attempt == 1) {
        LOG.warn("{} is taken; it is tried again", address);
      }
      retryDelay.run();
    }
  }
}
