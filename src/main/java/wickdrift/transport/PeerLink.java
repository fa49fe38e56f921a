package wickdrift.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Links between controllers. Each frame is preceded by its length in four bytes. A link has a
 * connection of its own for each direction.
 */
public final class PeerLink {
  private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);
  private static final int MAX_FRAME_BYTES = 80 * 1024;
  private static final int MAX_INBOUND_CONNECTIONS = 64;
  private static final int CONNECT_TIMEOUT_MS = 1000;

  /** A peer sends several frames a second; bytes that complete no frame count as silence. */
  private static final long SILENCE_TIMEOUT_MS = 30_000;

  private static final long SILENCE_CHECK_INTERVAL_MS = 1000;

  private final EventLoopGroup group;
  private final Consumer<ByteBuffer> frameHandler;

  /** When each inbound connection has brought a frame, or was opened; the longest ago first. */
  private final Map<Channel, Long> lastFrameNsByInbound = new LinkedHashMap<>();

  /**
   * Creates the links of one controller.
   *
   * @param frameHandler is called for each received frame, on the event loop
   */
  public PeerLink(EventLoopGroup group, Consumer<ByteBuffer> frameHandler) {
    this.group = group;
    this.frameHandler = frameHandler;
  }

  /**
   * Starts to accept connections of peers at an address.
   *
   * @throws IOException if the address cannot be bound, see {@link PortBinder}
   */
  public Channel listen(InetSocketAddress address) throws IOException, InterruptedException {
    Channel channel = PortBinder.bindWithRetry(server(), address);
    group
        .next()
        .scheduleWithFixedDelay(
            this::closeSilentConnections,
            SILENCE_CHECK_INTERVAL_MS,
            SILENCE_CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    return channel;
  }

  /** Adds an inbound connection; at the limit it replaces the one that is silent for longest. */
  private void addInbound(Channel channel) {
    if (lastFrameNsByInbound.size() >= MAX_INBOUND_CONNECTIONS) {
      closeInbound(lastFrameNsByInbound.keySet().iterator().next());
    }
    lastFrameNsByInbound.put(channel, System.nanoTime());
    channel.closeFuture().addListener(closed -> lastFrameNsByInbound.remove(channel));
  }

  private void frameReceived(Channel channel) {
    if (lastFrameNsByInbound.remove(channel) != null) {
      lastFrameNsByInbound.put(channel, System.nanoTime());
    }
  }

  private void closeInbound(Channel channel) {
    lastFrameNsByInbound.remove(channel);
    channel.close();
  }

  private void closeSilentConnections() {
    long nowNs = System.nanoTime();
    List<Channel> silent = new ArrayList<>();
    lastFrameNsByInbound.forEach(
        (channel, lastFrameNs) -> {
          if (nowNs - lastFrameNs > TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MS)) {
            silent.add(channel);
          }
        });
    silent.forEach(this::closeInbound);
  }

  private ServerBootstrap server() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, HeapBuffers.RECEIVE_ALLOCATOR)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                addInbound(ch);
                ch.pipeline()
                    .addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 4))
                    .addLast(new FrameHandler());
              }
            });
  }

  /**
   * Returns a consumer that sends frames to a peer. Delivery is not guaranteed: frames are dropped
   * while there is no connection or its write buffer is full.
   */
  public Consumer<ByteBuffer> outgoingLink(String address) {
    return new OutgoingLink(HttpClient.parseAddress(address));
  }

  /** Sends frames to one peer, and connects on the next frame when there is no connection. */
  private final class OutgoingLink implements Consumer<ByteBuffer> {
    private final InetSocketAddress address;
    private Channel channel;

    OutgoingLink(InetSocketAddress address) {
      this.address = address;
    }

    @Override
    public void accept(ByteBuffer frame) {
      if (channel == null) {
        connect();
        return;
      }
      if (!channel.isActive() || !channel.isWritable()) {
        return;
      }
      ByteBuf message = Unpooled.buffer(4 + frame.remaining());
      message.writeInt(frame.remaining());
      message.writeBytes(frame.duplicate());
      channel.writeAndFlush(message);
    }

    private void connect() {
      channel =
          new Bootstrap()
              .group(group)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
              .option(ChannelOption.RCVBUF_ALLOCATOR, HeapBuffers.RECEIVE_ALLOCATOR)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
              .handler(new WriteOnlyHandler())
              .connect(address)
              .channel();
      channel.closeFuture().addListener(f -> channel = null);
    }
  }

  private static void closeFailed(ChannelHandlerContext ctx, Throwable cause) {
    LOG.debug(
        "connection between controllers failed: remote={}", ctx.channel().remoteAddress(), cause);
    ctx.close();
  }

  /**
   * Handler of an outgoing connection, on which a peer never sends. Received data or an error
   * closes the connection, and the next frame opens a new one.
   */
  @ChannelHandler.Sharable
  private static final class WriteOnlyHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) {
      ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      closeFailed(ctx, cause);
    }
  }

  /** Passes received frames to the handler; closes the connection when it fails. */
  private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf msg) {
      frameReceived(ctx.channel());
      frameHandler.accept(ByteBuffer.wrap(ByteBufUtil.getBytes(msg)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      closeFailed(ctx, cause);
    }
  }
}
