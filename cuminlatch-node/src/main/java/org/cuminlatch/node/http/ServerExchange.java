package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A request and its response; used on one event loop.
 *
 * <p>A request with a large body is handed to its handler before the body is complete, see {@link
 * #isBodyComplete}. If its response is sent before the body was received to its end, the connection
 * is closed after the response.
 *
 * <p>The response is held back until all earlier requests of the connection have been answered.
 */
public final class ServerExchange {

  private static final byte[] EMPTY_BODY = new byte[0];

  private final ServerConnection connection;
  private final HttpRequest head;
  private Optional<StreamedBody> streamedBody = Optional.empty();
  private byte[] body;
  private final Optional<Rejection> rejection;
  private int reservedBytes;
  private boolean oversized;
  private Runnable disconnectListener = () -> {};
  private boolean started;
  private boolean ended;
  private boolean keepAlive;
  private final long receivedNanos = System.nanoTime();
  private final Deque<HeldPart> heldParts = new ArrayDeque<>();
  private int heldBytes;
  private boolean released;
  private boolean aborted;

  /** A part of the response that waits for the responses to earlier requests. */
  private record HeldPart(Object part, ChannelPromise written) {}

  /**
   * Creates an exchange.
   *
   * @param reservedBytes bytes that are reserved in the body budget until the exchange ends
   * @param oversized whether the body is the oversized one of the process
   * @param rejection rejection at the head, empty if the request is to be handled
   */
  ServerExchange(
      ServerConnection connection,
      HttpRequest head,
      byte[] body,
      int reservedBytes,
      boolean oversized,
      Optional<Rejection> rejection) {
    this.connection = connection;
    this.head = head;
    this.body = body;
    this.reservedBytes = reservedBytes;
    this.oversized = oversized;
    this.rejection = rejection;
  }

  /** Sets the rest of a body that is still being received. */
  ServerExchange withRest(StreamedBody rest) {
    streamedBody = Optional.of(rest);
    return this;
  }

  Optional<Rejection> rejection() {
    return rejection;
  }

  /** Gives what is reserved for the request back to the budget. */
  void releaseReservation(BodyBudget budget) {
    budget.release(reservedBytes);
    reservedBytes = 0;
    if (oversized) {
      oversized = false;
      budget.releaseOversized();
    }
  }

  int reservedBytes() {
    return reservedBytes;
  }

  /**
   * Returns the HTTP method.
   *
   * @return the method as the caller sent it
   */
  public String method() {
    return head.method().name();
  }

  /**
   * Returns the request target: path and query.
   *
   * @return the request target as the caller sent it
   */
  public String requestTarget() {
    return head.uri();
  }

  /**
   * Returns the first value of a header.
   *
   * @param name name in any case
   * @return the value, empty if there is none
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(head.headers().get(name));
  }

  /**
   * Returns all values of a header.
   *
   * @param name name in any case
   * @return the values in the order received
   */
  public List<String> headers(String name) {
    return head.headers().getAll(name);
  }

  /**
   * Returns all headers.
   *
   * @return names and values in the order received
   */
  public Iterable<Map.Entry<String, String>> headers() {
    return head.headers();
  }

  /**
   * Returns the body, or its beginning if it was not complete when the request was handed over.
   *
   * @return the bytes that had been received then, none once they are delivered to a receiver; must
   *     not be modified
   */
  public byte[] body() {
    return body;
  }

  /**
   * Returns whether {@link #body} is the complete body. Otherwise, the body is only delivered to a
   * receiver.
   *
   * @return false if the request was handed over before its body was complete
   */
  public boolean isBodyComplete() {
    return streamedBody.isEmpty();
  }

  /**
   * Returns the length of the body as the caller has declared it.
   *
   * @return the length in bytes, -1 if the body is sent in chunks
   */
  public long declaredLength() {
    return HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, 0L);
  }

  /**
   * Sets the receiver of a body that is not complete. It gets the body from its first byte on, as
   * far as it grants credit.
   *
   * @param receiver the receiver
   */
  public void receiveBody(BodyReceiver receiver) {
    streamedBody.orElseThrow().setReceiver(notNull(receiver, "receiver"));
    body = EMPTY_BODY;
  }

  /**
   * Lets further bytes be delivered to the receiver. The caller's connection is read only a little
   * further than its credit.
   *
   * @param bytes number of further bytes
   */
  public void grantCredit(int bytes) {
    streamedBody.orElseThrow().grantCredit(bytes);
    connection.deliverBody(this);
  }

  /** Returns the body that is still being received, empty if it was complete from the start. */
  Optional<StreamedBody> streamedBody() {
    return streamedBody;
  }

  /**
   * Ends a body before its last part. While no receiver is set, the listener for a caller that
   * disconnects is told instead, so that a request which waits is not started.
   */
  void abortBody() {
    StreamedBody rest = streamedBody.orElseThrow();
    boolean received = rest.hasReceiver();
    rest.abort();
    if (!received && !ended) {
      disconnectListener.run();
    }
  }

  /**
   * Returns the number of bytes that the body occupies while the request waits.
   *
   * @return the size of the body, or what is counted for one that is received in parts
   */
  public int heldBodyBytes() {
    return isBodyComplete() ? body.length : StreamedBody.MAX_BYTES_HELD;
  }

  /** Returns whether the body has been received to its end. */
  boolean isBodyReceived() {
    return streamedBody.isEmpty() || streamedBody.get().isEnded();
  }

  /** Stops the delivery of a body that no one needs any more after the start of the response. */
  private void discardRestOfBody() {
    if (streamedBody.isPresent()) {
      streamedBody.get().discard();
      connection.deliverBody(this);
    }
  }

  /**
   * Sets the listener for a caller that disconnects before the response is complete.
   *
   * @param listener called at most once
   */
  public void onCallerDisconnected(Runnable listener) {
    disconnectListener = listener;
  }

  /**
   * Returns the time since the last byte of the request was read, or since it was handed over if
   * its body was not complete then.
   *
   * @return the time
   */
  public Duration age() {
    return Duration.ofNanos(System.nanoTime() - receivedNanos);
  }

  /** Returns whether the caller lets the connection stay open after the response. */
  boolean keepsConnection() {
    return HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
  }

  /** Returns whether the connection may stay open after the response, as far as is known. */
  boolean mayKeepConnection() {
    return keepsConnection() && (!started || keepAlive);
  }

  int heldBytes() {
    return heldBytes;
  }

  /** Sends what has been held back of the response, and its further parts at once. */
  void release() {
    released = true;
    if (aborted) {
      connection.channel().close();
      return;
    }
    heldParts.forEach(
        held -> closeOnFailure(connection.channel().write(held.part(), held.written())));
    heldParts.clear();
    heldBytes = 0;
    connection.channel().flush();
  }

  private void discardHeldParts() {
    for (HeldPart held : heldParts) {
      ReferenceCountUtil.release(held.part());
      held.written().tryFailure(new ClosedChannelException());
    }
    heldParts.clear();
    heldBytes = 0;
  }

  void callerDisconnected() {
    discardHeldParts();
    if (!ended) {
      ended = true;
      disconnectListener.run();
    }
    streamedBody.ifPresent(StreamedBody::abort);
  }

  /**
   * Sends a complete response.
   *
   * @param status HTTP status
   * @param headers headers except Content-Length and Connection
   * @param content the body
   */
  public void respond(int status, List<Map.Entry<String, String>> headers, byte[] content) {
    if (ended || started) {
      return;
    }
    started = true;
    ended = true;
    keepAlive = connection.keepsAlive(this);
    discardRestOfBody();
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    headers.forEach(entry -> response.headers().add(entry.getKey(), entry.getValue()));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    setConnectionHeader(response.headers());
    write(response)
        .addListener(done -> connection.exchangeFinished(this, keepAlive && done.isSuccess()));
  }

  /**
   * Starts a response whose body follows in parts.
   *
   * @param status HTTP status
   * @param headers headers except Content-Length, Transfer-Encoding and Connection
   * @param length length of the body in bytes, negative if unknown
   */
  public void start(int status, List<Map.Entry<String, String>> headers, long length) {
    if (ended || started) {
      return;
    }
    started = true;
    keepAlive = connection.keepsAlive(this);
    discardRestOfBody();
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    headers.forEach(entry -> response.headers().add(entry.getKey(), entry.getValue()));
    if (length >= 0) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      keepAlive = false;
    } else {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    setConnectionHeader(response.headers());
    write(response, false);
  }

  /**
   * Sends a part of the body.
   *
   * @param content the part
   * @return completes when the part has been written
   */
  public ChannelFuture send(ByteBuf content) {
    return write(new DefaultHttpContent(content));
  }

  /** Ends the response; must be called after the last part of the body was sent. */
  public void end() {
    if (ended) {
      return;
    }
    ended = true;
    write(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(done -> connection.exchangeFinished(this, keepAlive && done.isSuccess()));
  }

  /** Aborts the response by closing the connection, so that it can't be taken for complete. */
  public void abort() {
    if (ended) {
      return;
    }
    ended = true;
    if (released) {
      connection.channel().close();
    } else {
      aborted = true; // closes the connection once the earlier requests have been answered
      discardHeldParts();
    }
  }

  /**
   * Returns the caller's address.
   *
   * @return the address, as text for logs
   */
  public String peer() {
    return connection.peer();
  }

  private ChannelFuture write(Object part) {
    return write(part, true);
  }

  private ChannelFuture write(Object part, boolean flush) {
    Channel channel = connection.channel();
    if (released) {
      return closeOnFailure(flush ? channel.writeAndFlush(part) : channel.write(part));
    }
    ChannelPromise written = channel.newPromise();
    heldParts.add(new HeldPart(part, written));
    heldBytes += part instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
    return written;
  }

  /**
   * Has the connection log a failed write and close, as the caller would take later bytes for the
   * missing ones. The channel closes itself only if its socket has failed.
   */
  private static ChannelFuture closeOnFailure(ChannelFuture write) {
    return write.addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
  }

  private void setConnectionHeader(HttpHeaders headers) {
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
