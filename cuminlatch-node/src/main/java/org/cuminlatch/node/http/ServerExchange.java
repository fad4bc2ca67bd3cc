package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufHolder;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
 * A completely received request and its response; used on one event loop.
 *
 * <p>The response is held back until all earlier requests of the connection have been answered.
 */
public final class ServerExchange {

  private final ServerConnection connection;
  private final HttpRequest head;
  private final byte[] body;
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
   * Returns the body.
   *
   * @return the body's bytes; must not be modified
   */
  public byte[] body() {
    return body;
  }

  /**
   * Sets the listener for a caller that disconnects before the response is complete.
   *
   * @param listener called at most once
   */
  public void onCallerDisconnected(Runnable listener) {
    disconnectListener = listener;
  }

  /** Returns the time since the last byte of the request was read. */
  public Duration age() {
    return Duration.ofNanos(System.nanoTime() - receivedNanos);
  }

  /** Returns whether the caller lets the connection stay open after the response. */
  boolean keepsConnection() {
    return HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
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
    heldParts.forEach(held -> connection.channel().write(held.part(), held.written()));
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
      return flush ? channel.writeAndFlush(part) : channel.write(part);
    }
    ChannelPromise written = channel.newPromise();
    heldParts.add(new HeldPart(part, written));
    heldBytes += part instanceof ByteBufHolder holder ? holder.content().readableBytes() : 0;
    return written;
  }

  private void setConnectionHeader(HttpHeaders headers) {
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
