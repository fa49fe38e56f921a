package wickdrift.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP client with keep-alive connections, each of which carries one request at a time. Every
 * method is called on the event loop. The total number of connections is limited, and idle
 * connections are limited per address and in time. The fleet may have more workers than this
 * process may open sockets: at the limit, a new connection replaces the one that has been idle for
 * longest, and a part of the connections is reserved for the addresses on which all other work
 * depends.
 */
public final class HttpClient implements Caller {
  /**
   * The protocol sets no size limit for the response to a watch. This limit bounds the memory that
   * a faulty server can make this process use.
   */
  private static final int MAX_VITAL_RESPONSE_BYTES = 6 * 1024 * 1024;

  /** A worker's answer is a report, which the protocol limits to 64 KiB as JSON. */
  private static final int MAX_RESPONSE_BYTES = 512 * 1024;

  /** Responses that are incomplete take at most this fraction of the heap. */
  private static final int HEAP_DIVISOR_FOR_INCOMPLETE_RESPONSES = 8;

  private static final int MAX_IDLE_PER_ADDRESS = 6;

  /**
   * Connections that have been idle for longer are closed when a new one is opened. A machine that
   * has disappeared never closes its side.
   */
  private static final long IDLE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(30);

  /** One eighth of the connections is reserved for the vital addresses. */
  private static final int VITAL_RESERVE_DIVISOR = 8;

  private final EventLoopGroup group;
  private final int maxConnections;
  private final Set<String> vitalAddresses;
  private final Map<String, ArrayDeque<Channel>> idleByAddress = new HashMap<>();

  /** All idle connections, the one that has been idle for longest first. */
  private final LinkedHashMap<Channel, IdleConnection> idleByAge = new LinkedHashMap<>();

  private int openConnections;

  /** Requests whose responses have begun to arrive. */
  private final Set<PendingRequest> incomplete = new LinkedHashSet<>();

  private long incompleteBytes;
  private final long maxIncompleteBytes =
      Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_FOR_INCOMPLETE_RESPONSES;

  private record IdleConnection(String address, long idleSinceNs) {}

  /**
   * @param vitalAddresses the addresses for which connections are reserved
   */
  public HttpClient(EventLoopGroup group, int maxConnections, Set<String> vitalAddresses) {
    this.group = group;
    this.maxConnections = maxConnections;
    this.vitalAddresses = vitalAddresses;
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      long timeoutMs,
      Consumer<Response> onResponse) {
    PendingRequest pending = new PendingRequest(address, onResponse);
    pending.timeoutTask =
        group
            .next()
            .schedule(
                () -> pending.finish(Response.NO_RESPONSE, false),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(method),
            path,
            body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body == null ? 0 : body.length);
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/msgpack");
    Channel idleChannel = pollIdle(address);
    if (idleChannel != null) {
      pending.send(idleChannel, request);
      return;
    }
    if (!ensureCapacityFor(address)) {
      group.next().execute(() -> pending.finish(Response.NO_RESPONSE, false));
      return;
    }
    openConnections++;
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
            .option(ChannelOption.RCVBUF_ALLOCATOR, HeapBuffers.RECEIVE_ALLOCATOR)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.min(timeoutMs, 3000))
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel c) {
                    boolean vital = vitalAddresses.contains(address);
                    int maxBytes = vital ? MAX_VITAL_RESPONSE_BYTES : MAX_RESPONSE_BYTES;
                    ResponseHandler responseHandler = new ResponseHandler();
                    c.pipeline()
                        .addLast(new ArrivalHandler(responseHandler))
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(maxBytes))
                        .addLast(responseHandler);
                  }
                })
            .connect(parseAddress(address));
    connectFuture.channel().closeFuture().addListener(x -> openConnections--);
    pending.channel = connectFuture.channel();
    connectFuture.addListener(
        x -> {
          if (connectFuture.isSuccess() && !pending.finished) {
            pending.send(connectFuture.channel(), request);
          } else {
            connectFuture.channel().close();
            pending.finish(Response.NO_RESPONSE, false);
          }
        });
  }

  private Channel pollIdle(String address) {
    ArrayDeque<Channel> channels = idleByAddress.get(address);
    Channel found = null;
    while (found == null && channels != null && !channels.isEmpty()) {
      Channel candidate = channels.pollLast();
      idleByAge.remove(candidate);
      found = candidate.isActive() ? candidate : null;
    }
    if (channels != null && channels.isEmpty()) {
      idleByAddress.remove(address);
    }
    return found;
  }

  private void addIdle(String address, Channel channel) {
    idleByAddress.computeIfAbsent(address, k -> new ArrayDeque<>()).addLast(channel);
    idleByAge.put(channel, new IdleConnection(address, System.nanoTime()));
  }

  private void removeIdle(Channel channel) {
    IdleConnection removed = idleByAge.remove(channel);
    if (removed != null) {
      ArrayDeque<Channel> channels = idleByAddress.get(removed.address);
      channels.remove(channel);
      if (channels.isEmpty()) {
        idleByAddress.remove(removed.address);
      }
    }
  }

  /**
   * Returns whether a connection to an address may be opened. Closes connections that have been
   * idle for too long, and, at the limit, the ones that have been idle for longest.
   */
  private boolean ensureCapacityFor(String address) {
    int reserved = vitalAddresses.contains(address) ? 0 : maxConnections / VITAL_RESERVE_DIVISOR;
    long nowNs = System.nanoTime();
    while (!idleByAge.isEmpty()) {
      Map.Entry<Channel, IdleConnection> oldest = idleByAge.entrySet().iterator().next();
      if (openConnections < maxConnections - reserved
          && nowNs - oldest.getValue().idleSinceNs < IDLE_TIMEOUT_NS) {
        break;
      }
      Channel channel = oldest.getKey();
      removeIdle(channel);
      // On the event loop a close completes immediately and decrements openConnections.
      channel.close();
    }
    return openConnections < maxConnections - reserved;
  }

  /** Parses an address of the form host:port. */
  public static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  /** A request whose response callback has not been called yet. */
  private final class PendingRequest {
    private final String address;
    private final Consumer<Response> onResponse;
    private java.util.concurrent.ScheduledFuture<?> timeoutTask;
    private Channel channel;
    private boolean finished;
    private long receivedBytes;

    PendingRequest(String address, Consumer<Response> onResponse) {
      this.address = address;
      this.onResponse = onResponse;
    }

    void send(Channel connection, FullHttpRequest request) {
      channel = connection;
      connection.pipeline().get(ResponseHandler.class).pendingRequest = this;
      connection
          .writeAndFlush(request)
          .addListener(
              write -> {
                if (!write.isSuccess()) {
                  finish(Response.NO_RESPONSE, false);
                }
              });
    }

    void finish(Response response, boolean reusable) {
      if (finished) {
        return;
      }
      finished = true;
      incomplete.remove(this);
      incompleteBytes -= receivedBytes;
      timeoutTask.cancel(false);
      if (channel != null) {
        ResponseHandler responseHandler = channel.pipeline().get(ResponseHandler.class);
        if (responseHandler != null) {
          responseHandler.pendingRequest = null;
        }
        ArrayDeque<Channel> idleChannels = idleByAddress.get(address);
        if (reusable && (idleChannels == null || idleChannels.size() < MAX_IDLE_PER_ADDRESS)) {
          addIdle(address, channel);
        } else {
          channel.close();
        }
      }
      onResponse.accept(response);
    }
  }

  /**
   * Counts the memory that a response takes before it is complete. At the limit the largest
   * response is given up, one of a worker before any other.
   */
  private void bytesReceived(PendingRequest request, int bytes) {
    incomplete.add(request);
    request.receivedBytes += bytes;
    incompleteBytes += bytes;
    while (incompleteBytes > maxIncompleteBytes) {
      PendingRequest largest = request;
      for (PendingRequest other : incomplete) {
        if (isGivenUpBefore(other, largest)) {
          largest = other;
        }
      }
      largest.finish(Response.NO_RESPONSE, false);
    }
  }

  private boolean isGivenUpBefore(PendingRequest a, PendingRequest b) {
    boolean aIsVital = vitalAddresses.contains(a.address);
    boolean bIsVital = vitalAddresses.contains(b.address);
    return aIsVital == bIsVital ? a.receivedBytes > b.receivedBytes : bIsVital;
  }

  /** Records the bytes that arrive on one connection before anything else is done with them. */
  private final class ArrivalHandler extends ChannelInboundHandlerAdapter {
    private final ResponseHandler responseHandler;

    ArrivalHandler(ResponseHandler responseHandler) {
      this.responseHandler = responseHandler;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (responseHandler.pendingRequest != null) {
        bytesReceived(responseHandler.pendingRequest, ((ByteBuf) message).capacity());
      }
      ctx.fireChannelRead(message);
    }
  }

  /** Passes the responses of one connection to its pending request. */
  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private PendingRequest pendingRequest;

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse msg) {
      PendingRequest request = pendingRequest;
      if (request == null) {
        ctx.close();
        return;
      }
      if (msg.decoderResult().isFailure()) {
        request.finish(Response.NO_RESPONSE, false);
        return;
      }
      request.finish(
          new Response(msg.status().code(), ByteBufUtil.getBytes(msg.content())),
          HttpUtil.isKeepAlive(msg));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      removeIdle(ctx.channel());
      if (pendingRequest != null) {
        pendingRequest.finish(Response.NO_RESPONSE, false);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
