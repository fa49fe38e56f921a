package wickdrift.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.MessageCodec;

/**
 * HTTP/1.1 server with MessagePack bodies. It limits body size, idle time and the number of
 * connections. The fleet may have more workers than this process may open sockets, and their
 * connections must not keep out users, health probes and peers: above a threshold, a worker's
 * connection is closed after the response, and at the limit, a new connection replaces the worker's
 * connection that has been idle for longest.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int IDLE_TIMEOUT_S = 60;

  /** Fraction of the connection limit above which connections of workers are not kept alive. */
  private static final double WORKER_KEEP_ALIVE_THRESHOLD = 0.75;

  /** Path of the reports of workers; no other client uses it. */
  private static final String REPORT_PATH = "/hello";

  private final EventLoopGroup group;
  private final Consumer<Exchange> handler;
  private final int maxConnections;

  /** Connections of workers that wait for the next report, the one idle for longest first. */
  private final Set<Channel> idleWorkerChannels = new LinkedHashSet<>();

  private int openConnections;

  /**
   * Creates a server that does not listen yet.
   *
   * @param handler is called for each request, on the event loop
   */
  public HttpServer(EventLoopGroup group, int maxConnections, Consumer<Exchange> handler) {
    this.group = group;
    this.maxConnections = maxConnections;
    this.handler = handler;
  }

  /**
   * Starts to accept connections at an address.
   *
   * @throws IOException if the address cannot be bound, see {@link PortBinder}
   */
  public Channel listen(InetSocketAddress address) throws IOException, InterruptedException {
    return PortBinder.bindWithRetry(server(), address);
  }

  private ServerBootstrap server() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 256)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, UnpooledByteBufAllocator.DEFAULT)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                acceptConnection(ch);
              }
            });
  }

  private void acceptConnection(SocketChannel channel) {
    if (openConnections >= maxConnections && !idleWorkerChannels.isEmpty()) {
      Channel oldest = idleWorkerChannels.iterator().next();
      idleWorkerChannels.remove(oldest);
      oldest.close();
    }
    if (openConnections >= maxConnections) {
      channel.close();
      return;
    }
    openConnections++;
    channel
        .closeFuture()
        .addListener(
            closed -> {
              openConnections--;
              idleWorkerChannels.remove(channel);
            });
    channel
        .pipeline()
        .addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S))
        .addLast(new HttpServerCodec(2048, 8192, 8192))
        .addLast(
            new HttpObjectAggregator(MAX_BODY_BYTES, true) {
              @Override
              protected void handleOversizedMessage(
                  ChannelHandlerContext ctx, io.netty.handler.codec.http.HttpMessage oversized) {
                // The protocol specifies status 400 for a body that is too large.
                FullHttpResponse r =
                    new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST);
                r.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
                r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
              }
            })
        .addLast(new RequestHandler());
  }

  /** Passes the requests of one connection to the handler of the server. */
  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (request.decoderResult().isFailure()) {
        new HttpExchange(ctx, "", "", new byte[0], false).reply(400, null);
        return;
      }
      boolean fromWorker = request.uri().equals(REPORT_PATH);
      idleWorkerChannels.remove(ctx.channel());
      boolean keepConnection =
          HttpUtil.isKeepAlive(request)
              && !(fromWorker && openConnections > WORKER_KEEP_ALIVE_THRESHOLD * maxConnections);
      Exchange exchange =
          new HttpExchange(
              ctx,
              request.method().name(),
              request.uri(),
              ByteBufUtil.getBytes(request.content()),
              keepConnection) {
            @Override
            void replied() {
              if (fromWorker && keepConnection && ctx.channel().isActive()) {
                idleWorkerChannels.add(ctx.channel());
              }
            }
          };
      try {
        handler.accept(exchange);
      } catch (RuntimeException e) {
        LOG.error("request failed: method={}, path={}", exchange.method(), exchange.path(), e);
        exchange.reply(503, null, 1);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
      if (event instanceof IdleStateEvent) {
        ctx.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection failed", cause);
      ctx.close();
    }
  }

  /** A request on a connection of this server. */
  private static class HttpExchange implements Exchange {
    private final ChannelHandlerContext ctx;
    private final String method;
    private final String path;
    private final byte[] body;
    private final boolean keepAlive;
    private boolean replied;

    HttpExchange(
        ChannelHandlerContext ctx, String method, String path, byte[] body, boolean keepAlive) {
      this.ctx = ctx;
      this.method = method;
      this.path = path;
      this.body = body;
      this.keepAlive = keepAlive;
    }

    @Override
    public String method() {
      return method;
    }

    @Override
    public String path() {
      return path;
    }

    @Override
    public byte[] body() {
      return body;
    }

    @Override
    public void reply(int status, Object value, int retryAfterS) {
      if (replied) {
        return;
      }
      replied = true;
      byte[] bytes = MessageCodec.encode(value == null ? Map.of() : value);
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(status),
              Unpooled.wrappedBuffer(bytes));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/msgpack");
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
      if (retryAfterS > 0) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
      }
      if (!keepAlive) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      var writeFuture = ctx.writeAndFlush(response);
      if (!keepAlive) {
        writeFuture.addListener(ChannelFutureListener.CLOSE);
      }
      replied();
    }

    /** Called after the response is handed to the connection, which may wait for a next request. */
    void replied() {}
  }
}
