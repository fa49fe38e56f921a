package wickdrift.sim;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A client that holds connections with unfinished requests, and renews each that is closed. */
final class UnfinishedRequests implements AutoCloseable {
  /** What is sent on each connection. */
  enum Kind {
    /** The head of a submission and most of its body. */
    BODY,
    /** A part of the head of a submission. */
    HEAD,
    /** Nothing. */
    SILENT
  }

  private static final int SENT_BODY_BYTES = 60_000;
  private static final long RENEWAL_DELAY_MS = 10;
  private static final String HEAD = "POST /api/jobs HTTP/1.1\r\nContent-Length: 65536\r\n\r\n";

  private final EventLoopGroup group =
      new NioEventLoopGroup(1, new DefaultThreadFactory("unfinished", true));
  private final InetSocketAddress address;
  private final Kind kind;
  private final AtomicLong opened = new AtomicLong();
  private volatile boolean closing;

  /** Opens the connections. */
  UnfinishedRequests(InetSocketAddress address, Kind kind, int connections) {
    this.address = address;
    this.kind = kind;
    for (int i = 0; i < connections; i++) {
      open();
    }
  }

  /** Returns how many connections were opened, renewed ones included. */
  long openedCount() {
    return opened.get();
  }

  private void open() {
    if (closing) {
      return;
    }
    Channel channel =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel c) {
                    c.pipeline().addLast(new Sender());
                  }
                })
            .connect(address)
            .channel();
    channel.closeFuture().addListener(closed -> renew());
  }

  private void renew() {
    if (!closing) {
      group.schedule(this::open, RENEWAL_DELAY_MS, TimeUnit.MILLISECONDS);
    }
  }

  private ByteBuf content() {
    byte[] head = HEAD.getBytes(StandardCharsets.US_ASCII);
    return switch (kind) {
      case BODY -> Unpooled.wrappedBuffer(head, new byte[SENT_BODY_BYTES]);
      case HEAD -> Unpooled.wrappedBuffer(head, 0, head.length / 2);
      case SILENT -> Unpooled.EMPTY_BUFFER;
    };
  }

  @Override
  public void close() {
    closing = true;
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private final class Sender extends ChannelInboundHandlerAdapter {
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      opened.incrementAndGet();
      ctx.writeAndFlush(content());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
