package wickdrift.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The event loop: the single thread on which all state of the process is read and changed. */
public final class EventLoop implements Timers {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);

  private final EventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("loop"));

  /** Returns the Netty group that consists of this event loop's thread. */
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

  /** Queues an action for execution on the event loop. */
  public void execute(Runnable action) {
    group.next().execute(() -> runGuarded(action));
  }

  private static void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      // A bug in one action must not stop the process. Periodic actions schedule their next run
      // before they do anything else, so they continue after an exception.
      LOG.error("action failed", e);
    }
  }
}
