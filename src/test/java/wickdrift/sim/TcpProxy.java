package wickdrift.sim;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

/** A TCP proxy between two processes. It can hold back the bytes or reset the connections. */
final class TcpProxy {
  /** What the proxy does with connections and their bytes. */
  enum Mode {
    FORWARD,
    /** Bytes are held back until the mode changes to {@link #FORWARD}, and then arrive in order. */
    HOLD,
    /** Open and new connections are reset. */
    RESET
  }

  private static final int CONNECT_TIMEOUT_MS = 1000;

  private final EventLoopGroup group;
  private final InetSocketAddress target;
  private final Set<Channel> channels = new HashSet<>();
  private Mode mode = Mode.FORWARD;

  /** Listens at an address, and connects to the target for each connection that it accepts. */
  TcpProxy(EventLoopGroup group, InetSocketAddress listen, InetSocketAddress target) {
    this.group = group;
    this.target = target;
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel client) {
                accept(client);
              }
            })
        .bind(listen);
  }

  /** Changes the mode. Must be called on the event loop. */
  void setMode(Mode next) {
    mode = next;
    for (Channel channel : Set.copyOf(channels)) {
      if (mode == Mode.RESET) {
        reset(channel);
      } else {
        channel.config().setAutoRead(mode == Mode.FORWARD);
      }
    }
  }

  private static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  private void accept(SocketChannel client) {
    if (mode == Mode.RESET) {
      reset(client);
      return;
    }
    ChannelFuture connected =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(new Forwarder(client))
            .connect(target);
    client.pipeline().addLast(new Forwarder(connected.channel()));
    connected.addListener(
        done -> {
          if (!done.isSuccess() || mode == Mode.RESET) {
            reset(client);
            return;
          }
          startForwarding(client);
          startForwarding(connected.channel());
        });
  }

  private void startForwarding(Channel channel) {
    channels.add(channel);
    channel.closeFuture().addListener(closed -> channels.remove(channel));
    channel.config().setAutoRead(mode == Mode.FORWARD);
  }

  /** Writes the bytes of one connection to its peer, and closes the peer when it is closed. */
  private static final class Forwarder extends ChannelInboundHandlerAdapter {
    private final Channel peer;

    Forwarder(Channel peer) {
      this.peer = peer;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      peer.writeAndFlush((ByteBuf) message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      peer.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
