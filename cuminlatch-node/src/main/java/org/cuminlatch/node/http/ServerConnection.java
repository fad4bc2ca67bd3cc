package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** A caller's connection: reads requests to their ends and answers them in their order. */
final class ServerConnection extends ChannelInboundHandlerAdapter {

  /** Requests read ahead of the one that is being answered; reading pauses beyond it. */
  private static final int MOST_PIPELINED = 4;

  private final HttpServer server;
  private final Channel channel;
  private final StrictResponseEncoder encoder;
  private final Deque<ServerExchange> waiting = new ArrayDeque<>();
  private HttpRequest head;
  private ByteBuf body;
  private ServerExchange current;
  private ScheduledFuture<?> readTimer;
  private ScheduledFuture<?> idleTimer;
  private long idleSinceNanos = System.nanoTime();
  private boolean refusing;

  ServerConnection(HttpServer server, Channel channel, StrictResponseEncoder encoder) {
    this.server = server;
    this.channel = channel;
    this.encoder = encoder;
  }

  /** Returns the handler that sees the first bytes of a request before they are decoded. */
  ChannelInboundHandlerAdapter headTimer() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (head == null && readTimer == null && !refusing) {
          startReadTimer(server.limits().headerTimeout());
        }
        context.fireChannelRead(message);
      }
    };
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    scheduleIdleCheck(server.limits().idleTimeout());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (!refusing && message instanceof HttpObject part) {
        read(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      refuse(statusOf(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(request);
    }
    if (!refusing && part instanceof HttpContent content) {
      append(content);
    }
  }

  private static HttpResponseStatus statusOf(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException) {
      return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
    }
    return cause instanceof TooLongHttpLineException
        ? HttpResponseStatus.REQUEST_URI_TOO_LONG
        : HttpResponseStatus.BAD_REQUEST;
  }

  private void begin(HttpRequest request) {
    head = request;
    startReadTimer(server.limits().idleTimeout());
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      refuse(HttpResponseStatus.BAD_REQUEST);
    } else if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void append(HttpContent content) {
    if (content.content().isReadable()) {
      if (body == null) {
        body = Unpooled.buffer(content.content().readableBytes());
      }
      body.writeBytes(content.content());
      if (body.readableBytes() > server.limits().maxBodyBytes()) {
        refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
    }
    if (content instanceof LastHttpContent) {
      stopReadTimer();
      byte[] bytes = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
      ServerExchange exchange = new ServerExchange(this, head, bytes);
      head = null;
      body = null;
      if (current == null) {
        start(exchange);
      } else {
        waiting.add(exchange);
        channel.config().setAutoRead(waiting.size() < MOST_PIPELINED);
      }
    }
  }

  private void start(ServerExchange exchange) {
    current = exchange;
    encoder.bodiless(exchange.method().equals(HttpMethod.HEAD.name()));
    server.handler().handle(exchange);
  }

  /** Answers what can't be read as a request and closes the connection after it. */
  private void refuse(HttpResponseStatus status) {
    stopReadTimer();
    refusing = true;
    head = null;
    body = null;
    server
        .log()
        .request("rejected", "-")
        .with("status", status.code())
        .with("reason", "not a request that can be read")
        .with("peer", peer())
        .write();
    if (current != null) {
      return; // the answer under way ends first, the connection closes after it
    }
    writeRefusal(status);
  }

  private void writeRefusal(HttpResponseStatus status) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }

  /** Ends the present exchange; the next request that was read ahead starts. */
  void finished(boolean keep) {
    current = null;
    idleSinceNanos = System.nanoTime();
    if (!keep || refusing) {
      channel.close();
      return;
    }
    ServerExchange next = waiting.poll();
    channel.config().setAutoRead(true);
    if (next != null) {
      channel.eventLoop().execute(() -> start(next));
    }
  }

  boolean keepsAlive(HttpRequest request) {
    return HttpUtil.isKeepAlive(request) && !server.isLeaving() && !refusing;
  }

  Channel channel() {
    return channel;
  }

  String peer() {
    return String.valueOf(channel.remoteAddress());
  }

  boolean isBusy() {
    return current != null || head != null || !waiting.isEmpty();
  }

  void closeIfIdle() {
    if (!isBusy()) {
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    stopReadTimer();
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    waiting.clear();
    if (current != null) {
      current.callerLeft();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      server
          .log()
          .event("connection-failed")
          .with("peer", peer())
          .with("reason", String.valueOf(cause))
          .write();
    }
    channel.close();
  }

  private void startReadTimer(Duration limit) {
    stopReadTimer();
    readTimer =
        channel
            .eventLoop()
            .schedule(
                () -> refuse(HttpResponseStatus.REQUEST_TIMEOUT),
                limit.toMillis(),
                TimeUnit.MILLISECONDS);
  }

  private void stopReadTimer() {
    Future<?> running = readTimer;
    if (running != null) {
      running.cancel(false);
      readTimer = null;
    }
  }

  private void scheduleIdleCheck(Duration delay) {
    idleTimer =
        channel
            .eventLoop()
            .schedule(this::checkIdle, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  private void checkIdle() {
    Duration limit = server.limits().idleTimeout();
    Duration idle = Duration.ofNanos(System.nanoTime() - idleSinceNanos);
    if (isBusy()) {
      scheduleIdleCheck(limit);
    } else if (idle.compareTo(limit) >= 0) {
      channel.close();
    } else {
      scheduleIdleCheck(limit.minus(idle));
    }
  }
}
