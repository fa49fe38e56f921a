package wickdrift.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The single thread that owns all state. */
public final class EventLoop implements Timers {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
  private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));

  public EventLoopGroup group() {
    return group;
  }

  @Override
  public long nowMs() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  @Override
  public void after(long delayMs, Runnable action) {
    group.next().schedule(() -> runGuarded(action), delayMs, TimeUnit.MILLISECONDS);
  }

  public void run(Runnable action) {
    group.next().execute(() -> runGuarded(action));
  }

  private static void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      // A bug in one action must not end the service: every loop re-arms itself first.
      LOG.error("action failed", e);
    }
  }
}
