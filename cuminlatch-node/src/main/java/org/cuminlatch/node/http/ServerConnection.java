package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
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
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A caller's connection: reads complete requests, has them handled and sends the responses in the
 * order of the requests.
 *
 * <p>Requests that a caller sends ahead of earlier responses are handled side by side if the
 * handler allows it, up to a bound, and otherwise one after the other. A request behind one whose
 * response closes the connection is not handled.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

  /** Number of requests read ahead of the current one at which reading pauses. */
  private static final int MAX_PIPELINED_REQUESTS = 64;

  /** Size of the bodies read ahead at which reading pauses. */
  private static final int MAX_PIPELINED_BYTES = 256 * 1024;

  /** Number of requests that are handled side by side. */
  static final int MAX_OVERLAPPING_REQUESTS = 8;

  /** Size of the responses that wait for an earlier one at which no further request is started. */
  private static final int MAX_HELD_BYTES = 512 * 1024;

  /** Time for which a closing connection still reads what the caller has sent before. */
  private static final Duration LINGER_TIMEOUT = Duration.ofMillis(500);

  private final HttpServer server;
  private final Channel channel;
  private final HeadAwareResponseEncoder encoder;

  /** Requests that have been read and not started. */
  private final Deque<ServerExchange> pipelined = new ArrayDeque<>();

  /** Requests that are handled, in the order received; the first may send its response. */
  private final Deque<ServerExchange> running = new ArrayDeque<>();

  private int pipelinedBytes;
  private HttpRequest head;
  private ByteBuf body;

  /** Request that was handed over and whose body is still being received, null if there is none. */
  private ServerExchange streamed;

  private ScheduledFuture<?> readTimeoutTimer;
  private ScheduledFuture<?> idleTimer;
  private long idleSinceNanos = System.nanoTime();

  /** Whether what the caller sends is no longer read as requests. */
  private boolean rejecting;

  /** Whether the last response has been sent; no further request is started. */
  private boolean closing;

  ServerConnection(HttpServer server, Channel channel, HeadAwareResponseEncoder encoder) {
    this.server = server;
    this.channel = channel;
    this.encoder = encoder;
  }

  /**
   * Returns the handler that starts the header timeout. It precedes the decoder because the timeout
   * starts with the first byte of a request.
   */
  ChannelInboundHandlerAdapter headerTimeoutHandler() {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (head == null && streamed == null && readTimeoutTimer == null && !rejecting) {
          startReadTimeout(server.limits().headerTimeout());
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
      if (!rejecting && message instanceof HttpObject part) {
        read(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      reject(statusOf(part.decoderResult().cause()));
      return;
    }
    if (part instanceof HttpRequest request) {
      begin(request);
    }
    if (!rejecting && part instanceof HttpContent content) {
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
    startReadTimeout(server.limits().idleTimeout());
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      reject(HttpResponseStatus.BAD_REQUEST);
    } else if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else if (hasOtherTransferCoding(request)) {
      reject(HttpResponseStatus.NOT_IMPLEMENTED);
    } else {
      continueIfExpected();
    }
  }

  /** Returns whether the body has a transfer coding besides chunked, which is the last one. */
  private static boolean hasOtherTransferCoding(HttpRequest request) {
    List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return codings.size() > 1
        || codings.stream()
            .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
  }

  /**
   * Sends the interim response that the caller awaits before it sends the body, once all earlier
   * requests have been answered: before that, it would belong to one of them.
   */
  private void continueIfExpected() {
    boolean expected = head != null && body == null && HttpUtil.is100ContinueExpected(head);
    if (expected && !rejecting && running.isEmpty() && pipelined.isEmpty()) {
      startReadTimeout(server.limits().idleTimeout());
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void append(HttpContent content) {
    if (streamed != null) {
      appendStreamed(content);
      return;
    }
    if (content.content().isReadable()) {
      if (body == null) {
        body = Unpooled.buffer(content.content().readableBytes());
      }
      body.writeBytes(content.content());
      if (body.readableBytes() > server.limits().maxBodyBytes()) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        return;
      }
    }
    if (content instanceof LastHttpContent) {
      stopReadTimeout();
      byte[] bodyBytes = body == null ? new byte[0] : ByteBufUtil.getBytes(body);
      ServerExchange exchange = new ServerExchange(this, head, bodyBytes);
      head = null;
      body = null;
      pipelined.add(exchange);
      pipelinedBytes += bodyBytes.length;
      pauseOrResumeReading();
      scheduleNext();
    } else if (body != null
        && body.readableBytes() > HttpServer.STREAMED_BODY_BYTES
        && server.handler().receivesBodiesInParts()) {
      startStreaming();
    }
  }

  /** Hands over a request whose body is received in parts from now on. */
  private void startStreaming() {
    stopReadTimeout(); // from now on, the deadline of the request limits the time
    byte[] received = ByteBufUtil.getBytes(body);
    streamed = new ServerExchange(this, head, received, new StreamedBody(received));
    head = null;
    body = null;
    pipelined.add(streamed);
    pipelinedBytes += received.length;
    pauseOrResumeReading();
    scheduleNext();
  }

  private void appendStreamed(HttpContent content) {
    StreamedBody rest = streamed.streamedBody().orElseThrow();
    rest.add(ByteBufUtil.getBytes(content.content()));
    if (rest.receivedBytes() > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (content instanceof LastHttpContent) {
      final ServerExchange ended = streamed;
      rest.end();
      streamed = null;
      idleSinceNanos = System.nanoTime();
      deliverBody(ended);
    }
    pauseOrResumeReading();
  }

  /** Delivers what was read of a request's body, and reads further if there is room. */
  void deliverBody(ServerExchange exchange) {
    exchange.streamedBody().ifPresent(StreamedBody::deliver);
    if (channel.isActive()) {
      pauseOrResumeReading();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (streamed != null) {
      deliverBody(streamed);
    }
    context.fireChannelReadComplete();
  }

  /** Ends a request whose body was handed over in part and can't be received to its end. */
  private void abortStreamed(HttpResponseStatus status) {
    ServerExchange aborted = streamed;
    streamed = null;
    if (pipelined.remove(aborted)) {
      pipelinedBytes -= aborted.body().length;
      return; // not started; responded to like one that was not handed over
    }
    aborted.streamedBody().orElseThrow().abort();
    aborted.respond(status.code(), List.of(), new byte[0]); // unless the response has started
  }

  /** Pauses reading if too much has been read ahead; a close is not seen during the pause. */
  private void pauseOrResumeReading() {
    if (streamed != null) {
      channel.config().setAutoRead(streamed.streamedBody().orElseThrow().acceptsMore());
      return;
    }
    boolean withinLimits =
        pipelined.size() < MAX_PIPELINED_REQUESTS && pipelinedBytes < MAX_PIPELINED_BYTES;
    channel.config().setAutoRead(withinLimits || pipelined.size() <= 1);
  }

  /**
   * Starts the next request in a later task of the event loop, when everything that the caller has
   * sent has been read, so that a close that follows the request is seen first.
   */
  private void scheduleNext() {
    if (mayStart(pipelined.peek())) {
      channel.eventLoop().execute(this::startNext);
    }
  }

  /** Returns whether a request may be started now, alone or side by side with those before it. */
  private boolean mayStart(ServerExchange next) {
    if (next == null || closing) {
      return false;
    }
    return running.isEmpty()
        || (running.size() < MAX_OVERLAPPING_REQUESTS
            && running.stream().mapToInt(ServerExchange::heldBytes).sum() < MAX_HELD_BYTES
            && !server.isDraining()
            && running.getLast().keepsConnection()
            && server.handler().mayOverlap(running.getLast())
            && server.handler().mayOverlap(next));
  }

  private void startNext() {
    if (!channel.isActive()) {
      pipelined.forEach(server.handler()::onAbandoned);
      pipelined.clear();
      return;
    }
    while (mayStart(pipelined.peek())) {
      ServerExchange next = pipelined.poll();
      pipelinedBytes -= next.body().length;
      running.add(next);
      pauseOrResumeReading();
      if (running.getFirst() == next) {
        releaseFirst();
      }
      server.handler().handle(next);
    }
  }

  /** Lets the first of the running requests send its response. */
  private void releaseFirst() {
    ServerExchange first = running.getFirst();
    encoder.setBodyOmitted(first.method().equals(HttpMethod.HEAD.name()));
    first.release();
  }

  /** Rejects a request that could not be read and closes the connection after the response. */
  private void reject(HttpResponseStatus status) {
    stopReadTimeout();
    rejecting = true;
    head = null;
    body = null;
    server
        .log()
        .request("rejected", "-")
        .with("status", status.code())
        .with("reason", "request is malformed, over a limit or incomplete")
        .with("peer", peer())
        .write();
    if (streamed != null) {
      abortStreamed(status);
    }
    if (!closing && running.isEmpty() && pipelined.isEmpty()) {
      writeRejection(status);
    } // otherwise the connection is closed once the earlier requests have been answered
  }

  private void writeRejection(HttpResponseStatus status) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response).addListener(written -> close(true));
  }

  /** Ends an exchange whose response was sent; the next one may send its response then. */
  void exchangeFinished(ServerExchange exchange, boolean keepAlive) {
    running.remove(exchange);
    idleSinceNanos = System.nanoTime();
    if (!keepAlive) {
      close(exchange.keepsConnection() || streamed == exchange);
    } else if (!running.isEmpty()) {
      releaseFirst();
      scheduleNext();
    } else if (pipelined.isEmpty() && rejecting) {
      close(true);
    } else {
      scheduleNext();
      continueIfExpected();
    }
  }

  /**
   * Closes the connection. If the caller may still be sending, it is read for a while: closing a
   * connection with unread bytes resets it, and the caller could lose the response.
   */
  private void close(boolean callerMaySend) {
    closing = true;
    stopReadTimeout();
    head = null;
    body = null;
    streamed = null;
    pipelined.clear();
    if (!callerMaySend || !channel.isActive()) {
      channel.close();
      return;
    }
    rejecting = true;
    channel.config().setAutoRead(true);
    ((SocketChannel) channel).shutdownOutput();
    channel
        .eventLoop()
        .schedule(() -> channel.close(), LINGER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Returns whether the connection stays open after the response of an exchange. While the server
   * drains, or if an unreadable request follows, the response to the last request closes it.
   */
  boolean keepsAlive(ServerExchange exchange) {
    boolean closesAfterLast = server.isDraining() || (rejecting && pipelined.isEmpty());
    return exchange.keepsConnection()
        && exchange.isBodyReceived()
        && !(closesAfterLast && running.peekLast() == exchange);
  }

  Channel channel() {
    return channel;
  }

  String peer() {
    return String.valueOf(channel.remoteAddress());
  }

  boolean isBusy() {
    return !running.isEmpty() || head != null || streamed != null || !pipelined.isEmpty();
  }

  void closeIfIdle() {
    if (!isBusy()) {
      channel.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    stopReadTimeout();
    if (idleTimer != null) {
      idleTimer.cancel(false);
    }
    startNext();
    List.copyOf(running).forEach(ServerExchange::callerDisconnected);
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

  private void startReadTimeout(Duration timeout) {
    stopReadTimeout();
    readTimeoutTimer =
        channel
            .eventLoop()
            .schedule(
                () -> reject(HttpResponseStatus.REQUEST_TIMEOUT),
                timeout.toMillis(),
                TimeUnit.MILLISECONDS);
  }

  private void stopReadTimeout() {
    Future<?> currentTimer = readTimeoutTimer;
    if (currentTimer != null) {
      currentTimer.cancel(false);
      readTimeoutTimer = null;
    }
  }

  private void scheduleIdleCheck(Duration delay) {
    idleTimer =
        channel
            .eventLoop()
            .schedule(this::checkIdle, Math.max(1, delay.toMillis()), TimeUnit.MILLISECONDS);
  }

  private void checkIdle() {
    Duration timeout = server.limits().idleTimeout();
    Duration idle = Duration.ofNanos(System.nanoTime() - idleSinceNanos);
    if (isBusy()) {
      scheduleIdleCheck(timeout);
    } else if (idle.compareTo(timeout) >= 0) {
      channel.close();
    } else {
      scheduleIdleCheck(timeout.minus(idle));
    }
  }
}
