package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
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
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

  /** Time after which a caller should repeat a request that was refused for a limit. */
  private static final String RETRY_AFTER_SECONDS = "1";

  /** Time for which a closing connection still reads what the caller has sent before. */
  private static final Duration LINGER_TIMEOUT = Duration.ofMillis(500);

  /** Largest body that is read to its end after a rejection, so that the connection is kept. */
  private static final int MAX_DISCARDED_BYTES = 64 * 1024;

  /** Memory that a field of a head occupies beside its characters. */
  private static final int FIELD_OVERHEAD_BYTES = 150;

  /** Memory that a request occupies beside its fields and body. */
  private static final int REQUEST_OVERHEAD_BYTES = 1024;

  /** Memory that a byte of an unfinished head may occupy: the shortest field has 4 bytes. */
  private static final int MEMORY_PER_HEAD_BYTE = FIELD_OVERHEAD_BYTES / 4;

  /** Memory up to which the only request of a connection is not counted: 100 fields. */
  private static final int MAX_UNCOUNTED_HEAD_BYTES = 16 * 1024;

  /** Bytes that may stand in front of a request and begin none: an empty line. */
  private static final int EMPTY_LINE_BYTES = 2;

  private static final byte[] NO_BODY = {};

  private final HttpServer server;
  private final Channel channel;
  private final StrictRequestDecoder decoder;
  private final HeadAwareResponseEncoder encoder;

  /** Requests that have been read and not started. */
  private final Deque<ServerExchange> pipelined = new ArrayDeque<>();

  /** Requests that are handled, in the order received; the first may send its response. */
  private final Deque<ServerExchange> running = new ArrayDeque<>();

  /** Parts of requests that have been read and wait for room in the budget. */
  private final Deque<HttpObject> unread = new ArrayDeque<>();

  private final MinimumRate bodyRate;
  private final MinimumRate responseRate;
  private long enqueuedBytes;
  private long lastFlushedBytes;
  private int pipelinedBytes;
  private HttpRequest head;
  private BodyBuffer body;

  /** Request that was handed over and whose body is still being received, null if there is none. */
  private ServerExchange streamed;

  private int discardedBytes;
  private int headReservation;
  private Optional<Rejection> headRejection = Optional.empty();
  private Instant waitingSince;
  private ScheduledFuture<?> readTimeoutTimer;
  private ScheduledFuture<?> idleTimer;
  private long idleSinceNanos = System.nanoTime();

  /** Whether what the caller sends is no longer read as requests. */
  private boolean rejecting;

  /** Whether the last response has been sent; no further request is started. */
  private boolean closing;

  ServerConnection(
      HttpServer server,
      Channel channel,
      StrictRequestDecoder decoder,
      HeadAwareResponseEncoder encoder) {
    this.server = server;
    this.channel = channel;
    this.decoder = decoder;
    this.encoder = encoder;
    this.bodyRate = newRate(server);
    this.responseRate = newRate(server);
  }

  private static MinimumRate newRate(HttpServer server) {
    ServerLimits limits = server.serverLimits();
    return new MinimumRate(server.clock(), limits.ratePeriod(), limits.minBytesPerPeriod());
  }

  /**
   * Returns the handler that starts the header timeout and counts bytes. It precedes the decoder
   * because the timeout starts with the first byte of a request.
   */
  ChannelDuplexHandler transferHandler() {
    return new ChannelDuplexHandler() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (isBetweenRequests()) {
          startReadTimeout(server.limits().headerTimeout());
        }
        context.fireChannelRead(message);
        if (decoder.unfinishedHeadBytes() > EMPTY_LINE_BYTES && !rejecting) {
          if (isBetweenRequests()) {
            startReadTimeout(server.limits().headerTimeout());
          }
          reserveHead(decoder.unfinishedHeadBytes() * MEMORY_PER_HEAD_BYTE);
        }
      }

      @Override
      public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        enqueuedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        context.write(message, promise);
      }
    };
  }

  private boolean isBetweenRequests() {
    return head == null
        && streamed == null
        && readTimeoutTimer == null
        && !rejecting
        && unread.isEmpty();
  }

  /**
   * Changes the reservation for the head being read, and rejects the request if there is no room.
   * Of the only request of a connection, a head of usual size is not counted, so that the budget
   * never stops requests without a body.
   */
  private void reserveHead(int memoryBytes) {
    boolean counted =
        memoryBytes > MAX_UNCOUNTED_HEAD_BYTES || !running.isEmpty() || !pipelined.isEmpty();
    int missing = (counted ? memoryBytes : 0) - headReservation;
    if (missing < 0) {
      server.serverLimits().budget().release(-missing);
      headReservation += missing;
    } else if (server.serverLimits().budget().tryReserveSmall(missing)) {
      headReservation += missing;
    } else {
      refuse(ServerLimit.BODY_BUDGET);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    scheduleIdleCheck(server.limits().idleTimeout());
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (!rejecting && message instanceof HttpObject part) {
        if (!unread.isEmpty() || !tryRead(part)) {
          waitForRoom(part);
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  /** Reads a part of a request; returns false if there is no room for it. */
  private boolean tryRead(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      reject(statusOf(part.decoderResult().cause()));
      return true;
    }
    if (part instanceof HttpRequest request) {
      begin(request);
    }
    return rejecting || !(part instanceof HttpContent content) || tryAppend(content);
  }

  /** Pauses reading until the budget has room for a part of a body. */
  private void waitForRoom(HttpObject part) {
    unread.add(ReferenceCountUtil.retain(part));
    if (waitingSince == null) {
      waitingSince = server.clock().instant();
      server.beginWait(this);
      updateReading();
    }
  }

  /** Goes on with the parts that waited for room, as far as there is room now. */
  void resume() {
    while (!unread.isEmpty()) {
      HttpObject part = unread.poll();
      if (!rejecting && !tryRead(part)) {
        unread.addFirst(part);
        return;
      }
      ReferenceCountUtil.release(part);
    }
    endWait();
  }

  private void endWait() {
    unread.forEach(ReferenceCountUtil::release);
    unread.clear();
    if (waitingSince != null) {
      waitingSince = null;
      server.endWait(this);
      bodyRate.restart();
      updateReading();
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
    headRejection = Optional.empty();
    discardedBytes = 0;
    bodyRate.restart();
    startReadTimeout(server.limits().idleTimeout());
    reserveHead(memoryOf(request));
    if (rejecting) {
      return;
    }
    if (request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      reject(HttpResponseStatus.BAD_REQUEST);
    } else if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
    } else if (hasOtherTransferCoding(request)) {
      reject(HttpResponseStatus.NOT_IMPLEMENTED);
    } else {
      checkHead(request);
      continueIfExpected();
    }
  }

  private static int memoryOf(HttpRequest request) {
    int bytes = REQUEST_OVERHEAD_BYTES + request.uri().length();
    for (Map.Entry<String, String> field : request.headers()) {
      bytes += FIELD_OVERHEAD_BYTES + field.getKey().length() + field.getValue().length();
    }
    return bytes;
  }

  /**
   * Has the handler check the head of a request with a body before the body is received. A rejected
   * request is answered at once, unless its body is so short that the connection can be kept.
   */
  private void checkHead(HttpRequest request) {
    long declaredBytes = HttpUtil.getContentLength(request, 0L);
    boolean chunked = HttpUtil.isTransferEncodingChunked(request);
    if (declaredBytes == 0 && !chunked) {
      return;
    }
    headRejection =
        server
            .handler()
            .checkHead(new ServerExchange(this, request, NO_BODY, 0, false, Optional.empty()));
    boolean answeredAtOnce =
        chunked || declaredBytes > MAX_DISCARDED_BYTES || HttpUtil.is100ContinueExpected(request);
    if (headRejection.isPresent() && answeredAtOnce) {
      rejecting = true;
      stopReadTimeout();
      enqueue(NO_BODY);
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
      bodyRate.restart();
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Reads a part of a body; returns false if there is no room for it. */
  private boolean tryAppend(HttpContent content) {
    if (streamed != null) {
      appendStreamed(content);
      return true;
    }
    int bytes = content.content().readableBytes();
    long received = (body == null ? discardedBytes : body.length()) + (long) bytes;
    if (received > server.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return true;
    }
    if (headRejection.isPresent() || server.handler().ignoresBodies()) {
      discardedBytes += bytes;
    } else if (bytes > 0) {
      if (body == null) {
        body = new BodyBuffer(server.serverLimits().budget(), HttpUtil.getContentLength(head, -1L));
      }
      if (!body.tryAppend(content.content())) {
        return false;
      }
    }
    bodyRate.record(bytes);
    if (content instanceof LastHttpContent) {
      stopReadTimeout();
      enqueue(body == null ? NO_BODY : body.complete());
    } else if (body != null
        && body.length() > HttpServer.STREAMED_BODY_BYTES
        && server.handler().receivesBodiesInParts()) {
      return tryStartStreaming();
    }
    return true;
  }

  /**
   * Hands over a request whose body is received in parts from now on; returns false if the budget
   * has no room for what such a body occupies.
   */
  private boolean tryStartStreaming() {
    int missing = Math.max(0, StreamedBody.MAX_BYTES_HELD - body.reserved());
    long declared = HttpUtil.getContentLength(head, -1L);
    boolean small = declared >= 0 && declared <= BodyBuffer.MAX_SMALL_BYTES;
    BodyBudget budget = server.serverLimits().budget();
    if (!(small ? budget.tryReserveSmall(missing) : budget.tryReserve(missing))) {
      return false;
    }
    stopReadTimeout(); // from now on, the deadline of the request limits the time
    byte[] received = body.complete();
    int reserved = headReservation + body.reserved() + missing;
    headReservation = 0;
    streamed =
        new ServerExchange(this, head, received, reserved, false, Optional.empty())
            .withRest(new StreamedBody(received));
    head = null;
    body = null;
    pipelined.add(streamed);
    pipelinedBytes += reserved;
    updateReading();
    scheduleNext();
    return true;
  }

  private void appendStreamed(HttpContent content) {
    StreamedBody rest = streamed.streamedBody().orElseThrow();
    rest.add(ByteBufUtil.getBytes(content.content()));
    bodyRate.record(content.content().readableBytes());
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
    updateReading();
  }

  /** Delivers what was read of a request's body, and reads further if there is room. */
  void deliverBody(ServerExchange exchange) {
    exchange.streamedBody().ifPresent(StreamedBody::deliver);
    if (channel.isActive()) {
      updateReading();
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
      pipelinedBytes -= aborted.reservedBytes();
      releaseReservation(aborted);
      updateReading();
      return; // not started; responded to like one that was not handed over
    }
    aborted.abortBody();
    aborted.respond(status.code(), List.of(), new byte[0]); // unless the response has started
  }

  /** Adds the request that has been read to those to be handled. */
  private void enqueue(byte[] bodyBytes) {
    int reserved = headReservation + (body == null ? 0 : body.reserved());
    headReservation = 0;
    boolean oversized = body != null && body.isOversized();
    ServerExchange exchange =
        new ServerExchange(this, head, bodyBytes, reserved, oversized, headRejection);
    head = null;
    body = null;
    pipelined.add(exchange);
    pipelinedBytes += reserved;
    updateReading();
    scheduleNext();
  }

  /**
   * Pauses reading if too much has been read ahead or there is no room for a body; a close is not
   * seen during the pause.
   */
  private void updateReading() {
    boolean withinLimits =
        pipelined.size() < MAX_PIPELINED_REQUESTS && pipelinedBytes < MAX_PIPELINED_BYTES;
    boolean mayRead =
        streamed == null
            ? waitingSince == null && (withinLimits || pipelined.size() <= 1)
            : streamed.streamedBody().orElseThrow().acceptsMore();
    if (mayRead && !channel.config().isAutoRead()) {
      bodyRate.restart();
    }
    channel.config().setAutoRead(mayRead || closing);
  }

  private void releaseReservation(ServerExchange exchange) {
    exchange.releaseReservation(server.serverLimits().budget());
  }

  /** Gives up what has been received of a request that will not be handled. */
  private void discardUnfinished() {
    head = null;
    if (body != null) {
      body.discard();
      body = null;
    }
    server.serverLimits().budget().release(headReservation);
    headReservation = 0;
    endWait();
  }

  private void discardPipelined() {
    pipelined.forEach(this::releaseReservation);
    pipelined.clear();
    pipelinedBytes = 0;
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
            && running.getLast().mayKeepConnection()
            && server.handler().mayOverlap(running.getLast())
            && server.handler().mayOverlap(next));
  }

  private void startNext() {
    if (!channel.isActive()) {
      pipelined.forEach(server.handler()::onAbandoned);
      discardPipelined();
      return;
    }
    while (mayStart(pipelined.peek())) {
      ServerExchange next = pipelined.poll();
      pipelinedBytes -= next.reservedBytes();
      running.add(next);
      updateReading();
      if (running.getFirst() == next) {
        releaseFirst();
      }
      if (next.rejection().isPresent()) {
        server.handler().reject(next, next.rejection().get());
      } else {
        server.handler().handle(next);
      }
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
    reject(status, "request is malformed, over a limit or incomplete");
  }

  private void reject(HttpResponseStatus status, String reason) {
    stopReadTimeout();
    rejecting = true;
    discardUnfinished();
    server
        .log()
        .request("rejected", "-")
        .with("status", status.code())
        .with("reason", reason)
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
    if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
    }
    channel.writeAndFlush(response).addListener(written -> close(true));
  }

  /** Rejects the request that is being read with 503, or closes a connection without one. */
  private void refuse(ServerLimit limit) {
    if (streamed != null && !pipelined.contains(streamed)) {
      closeAfterEarlierResponses(limit);
      return;
    }
    server.serverLimits().listener().accept(limit);
    reject(HttpResponseStatus.SERVICE_UNAVAILABLE, limit.reason());
  }

  /**
   * Ends the request whose body is passed on in parts, once earlier requests have been answered. It
   * may have run, so that no status may deny that.
   */
  private void closeAfterEarlierResponses(ServerLimit limit) {
    server.serverLimits().listener().accept(limit);
    server
        .log()
        .request("connection-closed", "-")
        .with("reason", limit.reason())
        .with("peer", peer())
        .write();
    ServerExchange aborted = streamed;
    streamed = null;
    rejecting = true;
    aborted.abortBody();
    aborted.abort();
  }

  /** Rejects a request whose body is being received. */
  void refuseBody(ServerLimit limit) {
    if ((head != null || streamed != null) && !rejecting) {
      refuse(limit);
    }
  }

  void closeFor(ServerLimit limit) {
    server.serverLimits().listener().accept(limit);
    server
        .log()
        .request("connection-closed", "-")
        .with("reason", limit.reason())
        .with("peer", peer())
        .write();
    channel.close();
  }

  /** Rejects a body and closes a connection that make less progress than they must. */
  void checkRates() {
    if (isReceivingBody() && bodyRate.isMissed()) {
      refuse(ServerLimit.BODY_RATE);
    }
    long flushed = flushedBytes();
    if (flushed >= enqueuedBytes) {
      responseRate.restart();
    } else {
      responseRate.record(flushed - lastFlushedBytes);
      if (responseRate.isMissed()) {
        closeFor(ServerLimit.RESPONSE_RATE);
      }
    }
    lastFlushedBytes = flushed;
  }

  void restartRates() {
    bodyRate.restart();
    responseRate.restart();
  }

  /** Returns how many of the bytes written to the channel have been taken by the socket. */
  private long flushedBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null || buffer.isEmpty()
        ? enqueuedBytes
        : Math.min(
            enqueuedBytes - 1,
            enqueuedBytes - buffer.totalPendingWriteBytes() + buffer.currentProgress());
  }

  /** Returns whether the caller waits for the interim response that earlier requests hold back. */
  private boolean awaitsContinue() {
    return body == null && HttpUtil.is100ContinueExpected(head) && isHandling();
  }

  /** Returns whether a body is received and reading is not paused by this side. */
  private boolean isReceivingBody() {
    boolean streams = streamed != null && !streamed.streamedBody().orElseThrow().isDiscarding();
    return (head != null && !awaitsContinue() || streams)
        && waitingSince == null
        && !rejecting
        && channel.config().isAutoRead();
  }

  boolean bodyStalledFor(Duration time) {
    return isReceivingBody()
        && (body != null || streamed != null)
        && bodyRate.sinceProgress().compareTo(time) >= 0;
  }

  boolean responseStalledFor(Duration time) {
    return flushedBytes() < enqueuedBytes && responseRate.sinceProgress().compareTo(time) >= 0;
  }

  boolean hasWaitedFor(Duration time) {
    return waitingSince != null
        && Duration.between(waitingSince, server.clock().instant()).compareTo(time) >= 0;
  }

  /** Returns the time since the client last sent a part of a body or was answered. */
  Duration sinceProgress() {
    Duration idle = Duration.ofNanos(System.nanoTime() - idleSinceNanos);
    boolean receives = head != null || streamed != null;
    return receives && bodyRate.sinceProgress().compareTo(idle) < 0
        ? bodyRate.sinceProgress()
        : idle;
  }

  boolean isHandling() {
    return !running.isEmpty() || !pipelined.isEmpty();
  }

  boolean isClosed() {
    return !channel.isOpen();
  }

  /** Ends an exchange whose response was sent; the next one may send its response then. */
  void exchangeFinished(ServerExchange exchange, boolean keepAlive) {
    running.remove(exchange);
    releaseReservation(exchange);
    idleSinceNanos = System.nanoTime();
    if (!keepAlive) {
      boolean callerMaySend = !exchange.isBodyReceived() || exchange.rejection().isPresent();
      close(exchange.keepsConnection() || callerMaySend);
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
    streamed = null;
    discardUnfinished();
    discardPipelined();
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
    discardUnfinished();
    startNext();
    List.copyOf(running)
        .forEach(
            exchange -> {
              exchange.callerDisconnected();
              releaseReservation(exchange);
            });
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
            .schedule(() -> onReadTimeout(timeout), timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  /** Rejects a request that is not read to its end in time, unless reading is paused. */
  private void onReadTimeout(Duration timeout) {
    if (channel.config().isAutoRead()) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT);
    } else {
      startReadTimeout(timeout);
    }
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
