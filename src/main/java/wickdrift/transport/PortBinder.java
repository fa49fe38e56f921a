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
 * Binds server sockets, with retries. The previous process may still listen on the address when its
 * replacement starts within a fraction of a second; the start must not fail for that.
 */
public final class PortBinder {
  private static final Logger LOG = LoggerFactory.getLogger(PortBinder.class);

  private static final long BIND_RETRY_INTERVAL_MS = 100;

  /**
   * Attempts are made for 30 s. An address that is still in use then is treated as a wrong setting.
   */
  private static final int MAX_BIND_ATTEMPTS = 300;

  /** Waits between two attempts. */
  interface RetryDelay {
    void run() throws InterruptedException;
  }

  private PortBinder() {}

  /**
   * Binds, with retries for 30 s while the address is in use.
   *
   * @throws IOException if the address cannot be bound; the message names it
   */
  static Channel bindWithRetry(ServerBootstrap server, InetSocketAddress address)
      throws IOException, InterruptedException {
    return bindWithRetry(
        server,
        address,
        MAX_BIND_ATTEMPTS,
        () -> TimeUnit.MILLISECONDS.sleep(BIND_RETRY_INTERVAL_MS));
  }

  /** Binds, with retries after a delay, up to the given number of attempts. */
  static Channel bindWithRetry(
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
        LOG.warn("address in use, bind will be retried: address={}", address);
      }
      retryDelay.run();
    }
  }
}
