package wickdrift.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keep-alive connections, one request at a time on each. Every method is called on the event loop.
 * Connections are bounded in total; idle ones are bounded per address.
 */
public final class HttpClient implements Caller {
  /** A watch has no size limit; this bounds what a broken peer may make us hold. */
  private static final int MAX_RESPONSE = 6 * 1024 * 1024;

  private static final int MAX_IDLE = 6;

  private final EventLoopGroup group;
  private final int maxConnections;
  private final Map<String, ArrayDeque<Channel>> idle = new HashMap<>();
  private int open;

  public HttpClient(EventLoopGroup group, int maxConnections) {
    this.group = group;
    this.maxConnections = maxConnections;
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Answer> done) {
    Call call = new Call(address, done);
    call.timeout =
        group
            .next()
            .schedule(() -> call.finish(Answer.NONE, false), timeoutMs, TimeUnit.MILLISECONDS);
    FullHttpRequest req =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            path,
            body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    req.headers().set(HttpHeaderNames.HOST, address);
    req.headers().set(HttpHeaderNames.CONTENT_LENGTH, body == null ? 0 : body.length);
    req.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/msgpack");
    Channel ch = takeIdle(address);
    if (ch != null) {
      call.send(ch, req);
      return;
    }
    if (open >= maxConnections) {
      group.next().execute(() -> call.finish(Answer.NONE, false));
      return;
    }
    open++;
    ChannelFuture f =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(timeoutMs, 3000))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel c) {
                    c.pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MAX_RESPONSE))
                        .addLast(new Responses());
                  }
                })
            .connect(parse(address));
    f.channel().closeFuture().addListener(x -> open--);
    call.channel = f.channel();
    f.addListener(
        x -> {
          if (f.isSuccess() && !call.finished) {
            call.send(f.channel(), req);
          } else {
            f.channel().close();
            call.finish(Answer.NONE, false);
          }
        });
  }

  private Channel takeIdle(String address) {
    ArrayDeque<Channel> q = idle.get(address);
    while (q != null && !q.isEmpty()) {
      Channel ch = q.pollLast();
      if (ch.isActive()) {
        return ch;
      }
    }
    return null;
  }

  public static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private final class Call {
    private final String address;
    private final Consumer<Answer> done;
    private java.util.concurrent.ScheduledFuture<?> timeout;
    private Channel channel;
    private boolean finished;

    Call(String address, Consumer<Answer> done) {
      this.address = address;
      this.done = done;
    }

    void send(Channel ch, FullHttpRequest req) {
      channel = ch;
      ch.pipeline().get(Responses.class).call = this;
      ch.writeAndFlush(req)
          .addListener(
              w -> {
                if (!w.isSuccess()) {
                  finish(Answer.NONE, false);
                }
              });
    }

    void finish(Answer answer, boolean reuse) {
      if (finished) {
        return;
      }
      finished = true;
      timeout.cancel(false);
      if (channel != null) {
        Responses r = channel.pipeline().get(Responses.class);
        if (r != null) {
          r.call = null;
        }
        ArrayDeque<Channel> q = idle.computeIfAbsent(address, k -> new ArrayDeque<>());
        if (reuse && q.size() < MAX_IDLE) {
          q.addLast(channel);
        } else {
          channel.close();
        }
        if (q.isEmpty()) {
          idle.remove(address);
        }
      }
      done.accept(answer);
    }
  }

  private final class Responses extends SimpleChannelInboundHandler<FullHttpResponse> {
    private Call call;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse msg) {
      Call c = call;
      if (c == null) {
        ctx.close();
        return;
      }
      c.finish(
          new Answer(msg.status().code(), ByteBufUtil.getBytes(msg.content())),
          HttpUtil.isKeepAlive(msg) && msg.decoderResult().isSuccess());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (call != null) {
        call.finish(Answer.NONE, false);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
