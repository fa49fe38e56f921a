package wickdrift.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wickdrift.protocol.MessageCodec;

/**
 * HTTP/1.1 server with MessagePack bodies. It limits the size of a body, and the connections as
 * {@link ServerConnections} says. The fleet may have more workers than this process may open
 * sockets, and their connections must not keep out users, health probes and peers: above a
 * threshold, a worker's connection is closed after the response.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /**
   * The protocol limits a body to 64 KiB as JSON, where a number may take two bytes that takes nine
   * in MessagePack.
   */
  private static final int MAX_BODY_BYTES = 64 * 1024 * 9 / 2;

  /** Long enough for a burst of connections to wait rather than to be dropped by the kernel. */
  private static final int ACCEPT_BACKLOG = 4096;

  private static final int MAX_REQUEST_LINE_BYTES = 2048;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 8192;
  private static final long DEADLINE_CHECK_INTERVAL_MS = 250;

  /** Incomplete requests take at most this fraction of the heap. */
  private static final int HEAP_DIVISOR_FOR_INCOMPLETE_REQUESTS = 16;

  /** Fraction of the connection limit above which connections of workers are not kept alive. */
  private static final double WORKER_KEEP_ALIVE_THRESHOLD = 0.75;

  /** Path of the reports of workers; no other client uses it. */
  private static final String REPORT_PATH = "/hello";

  private final EventLoopGroup group;
  private final Consumer<Exchange> handler;
  private final ServerConnections connections;

  /**
   * Creates a server that does not listen yet.
   *
   * @param handler is called for each request, on the event loop
   */
  public HttpServer(EventLoopGroup group, int maxConnections, Consumer<Exchange> handler) {
    this(
        group,
        new ServerConnections(
            maxConnections,
            Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_FOR_INCOMPLETE_REQUESTS),
        handler);
  }

  HttpServer(EventLoopGroup group, ServerConnections connections, Consumer<Exchange> handler) {
    this.group = group;
    this.connections = connections;
    this.handler = handler;
  }

  /** Returns how many connections were closed because a request or response took too long. */
  public long overdueConnections() {
    return connections.overdueCount();
  }

  /** Returns how many connections were closed in favour of others. */
  public long replacedConnections() {
    return connections.replacedCount();
  }

  /**
   * Starts to accept connections at an address.
   *
   * @throws IOException if the address cannot be bound, see {@link PortBinder}
   */
  public Channel listen(InetSocketAddress address) throws IOException, InterruptedException {
    Channel channel = PortBinder.bindWithRetry(server(), address);
    group
        .next()
        .scheduleWithFixedDelay(
            connections::closeOverdue,
            DEADLINE_CHECK_INTERVAL_MS,
            DEADLINE_CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    return channel;
  }

  private ServerBootstrap server() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, HeapBuffers.RECEIVE_ALLOCATOR)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel ch) {
                acceptConnection(ch);
              }
            });
  }

  private void acceptConnection(SocketChannel channel) {
    if (!connections.add(channel)) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addLast(new ArrivalHandler())
        .addLast(new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
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

  /** Records the bytes that arrive on one connection before anything else is done with them. */
  private final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connections.bytesReceived(ctx.channel(), ((ByteBuf) message).capacity());
      ctx.fireChannelRead(message);
    }
  }

  /** Passes the requests of one connection to the handler of the server. */
  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private boolean awaitsReply;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      connections.requestComplete(ctx.channel());
      if (awaitsReply || !ctx.channel().isWritable()) {
        // The client sends a request before it has taken the response to the previous one.
        ctx.close();
        return;
      }
      if (request.decoderResult().isFailure()) {
        new HttpExchange(ctx, "", "", new byte[0], false).reply(400, null);
        return;
      }
      awaitsReply = true;
      String path = pathOf(request);
      boolean fromWorker = path.equals(REPORT_PATH);
      boolean keepConnection =
          HttpUtil.isKeepAlive(request)
              && !(fromWorker && connections.usedShare() > WORKER_KEEP_ALIVE_THRESHOLD);
      Exchange exchange =
          new HttpExchange(
              ctx,
              request.method().name(),
              path,
              ByteBufUtil.getBytes(request.content()),
              keepConnection) {
            @Override
            void replied(ChannelFuture written) {
              awaitsReply = false;
              connections.responseWritten(ctx.channel(), fromWorker);
              if (!written.isDone()) {
                connections.responseUntaken(ctx.channel());
                written.addListener(taken -> connections.responseTaken(ctx.channel()));
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
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection failed", cause);
      ctx.close();
    }
  }

  /** Returns the decoded path of a request with its query, without scheme and host. */
  private static String pathOf(FullHttpRequest request) {
    String uri = request.uri();
    if (uri.startsWith("/") && uri.indexOf('%') < 0) {
      return uri;
    }
    try {
      URI target = new URI(uri);
      String query = target.getRawQuery();
      String path = target.getPath() == null ? uri : target.getPath();
      return query == null ? path : path + "?" + query;
    } catch (URISyntaxException notStandard) {
      return uri;
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
      ChannelFuture writeFuture = ctx.writeAndFlush(response);
      if (!keepAlive) {
        writeFuture.addListener(ChannelFutureListener.CLOSE);
      }
      replied(writeFuture);
    }

    /**
     * Called after the response is handed to the connection, which may wait for a next request.
     *
     * @param written completes when the response has left this process
     */
    void replied(ChannelFuture written) {}
  }
}
