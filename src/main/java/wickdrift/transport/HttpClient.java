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
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keep-alive connections, one request at a time on each. Every method is called on the event loop.
 * Connections are bounded in total, idle ones per address and by time. A fleet has more workers
 * than this process may have sockets: the connection that has been idle for longest makes way for a
 * new one, and the last few are kept for the addresses that nothing works without.
 */
public final class HttpClient implements Caller {
  /** A watch has no size limit; this bounds what a broken peer may make us hold. */
  private static final int MAX_RESPONSE = 6 * 1024 * 1024;

  private static final int MAX_IDLE = 6;

  /** A machine that is gone says nothing: what is not used for so long is closed. */
  private static final long IDLE_NS = TimeUnit.SECONDS.toNanos(30);

  /** An eighth of the connections is for vital addresses alone. */
  private static final int VITAL_SHARE = 8;

  private final EventLoopGroup group;
  private final int maxConnections;
  private final Set<String> vital;
  private final Map<String, ArrayDeque<Channel>> idle = new HashMap<>();

  /** All idle connections, the one that has been idle for longest first. */
  private final LinkedHashMap<Channel, Idle> byAge = new LinkedHashMap<>();

  private int open;

  private record Idle(String address, long sinceNs) {}

  /**
   * @param vital the addresses that are never left without a connection for the others' sake
   */
  public HttpClient(EventLoopGroup group, int maxConnections, Set<String> vital) {
    this.group = group;
    this.maxConnections = maxConnections;
    this.vital = vital;
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
    if (!roomFor(address)) {
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
    Channel found = null;
    while (found == null && q != null && !q.isEmpty()) {
      Channel ch = q.pollLast();
      byAge.remove(ch);
      found = ch.isActive() ? ch : null;
    }
    if (q != null && q.isEmpty()) {
      idle.remove(address);
    }
    return found;
  }

  private void keepIdle(String address, Channel ch) {
    idle.computeIfAbsent(address, k -> new ArrayDeque<>()).addLast(ch);
    byAge.put(ch, new Idle(address, System.nanoTime()));
  }

  private void forgetIdle(Channel ch) {
    Idle was = byAge.remove(ch);
    if (was != null) {
      ArrayDeque<Channel> q = idle.get(was.address);
      q.remove(ch);
      if (q.isEmpty()) {
        idle.remove(was.address);
      }
    }
  }

  /** Whether one more may be opened; closes those that are idle for too long, or longest. */
  private boolean roomFor(String address) {
    int spared = vital.contains(address) ? 0 : maxConnections / VITAL_SHARE;
    long now = System.nanoTime();
    while (!byAge.isEmpty()) {
      Map.Entry<Channel, Idle> oldest = byAge.entrySet().iterator().next();
      if (open < maxConnections - spared && now - oldest.getValue().sinceNs < IDLE_NS) {
        break;
      }
      Channel ch = oldest.getKey();
      forgetIdle(ch);
      // On this loop that is at once, and the count falls with it.
      ch.close();
    }
    return open < maxConnections - spared;
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
        ArrayDeque<Channel> q = idle.get(address);
        if (reuse && (q == null || q.size() < MAX_IDLE)) {
          keepIdle(address, channel);
        } else {
          channel.close();
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
      forgetIdle(ctx.channel());
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
