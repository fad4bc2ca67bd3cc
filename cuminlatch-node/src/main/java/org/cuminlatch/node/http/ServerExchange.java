package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A request that has been read to its end and its answer; used on one event loop. */
public final class ServerExchange {

  private final ServerConnection connection;
  private final HttpRequest head;
  private final byte[] body;
  private Runnable leaveListener = () -> {};
  private boolean started;
  private boolean ended;
  private boolean keep;

  ServerExchange(ServerConnection connection, HttpRequest head, byte[] body) {
    this.connection = connection;
    this.head = head;
    this.body = body;
  }

  /**
   * Returns the method.
   *
   * @return as the caller sent it
   */
  public String method() {
    return head.method().name();
  }

  /**
   * Returns path and query.
   *
   * @return as the caller sent them
   */
  public String target() {
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
   * @return the values in their order
   */
  public List<String> headers(String name) {
    return head.headers().getAll(name);
  }

  /**
   * Returns all headers.
   *
   * @return names and values in their order
   */
  public Iterable<Map.Entry<String, String>> headers() {
    return head.headers();
  }

  /**
   * Returns the body.
   *
   * @return its bytes; must not be changed
   */
  public byte[] body() {
    return body;
  }

  /**
   * Sets what is called when the caller leaves before it has the whole answer.
   *
   * @param listener called once at most
   */
  public void onCallerLeft(Runnable listener) {
    leaveListener = listener;
  }

  void callerLeft() {
    if (!ended) {
      ended = true;
      leaveListener.run();
    }
  }

  /**
   * Answers with a whole body.
   *
   * @param status status
   * @param headers headers but for length and connection
   * @param content the body
   */
  public void respond(int status, List<Map.Entry<String, String>> headers, byte[] content) {
    if (ended || started) {
      return;
    }
    started = true;
    ended = true;
    keep = connection.keepsAlive(head);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    headers.forEach(entry -> response.headers().add(entry.getKey(), entry.getValue()));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    setConnection(response.headers());
    write(response).addListener(done -> connection.finished(keep && done.isSuccess()));
  }

  /**
   * Starts an answer whose body follows in parts.
   *
   * @param status status
   * @param headers headers but for length and connection
   * @param length length of the body in bytes, negative if not known
   */
  public void start(int status, List<Map.Entry<String, String>> headers, long length) {
    if (ended || started) {
      return;
    }
    started = true;
    keep = connection.keepsAlive(head);
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    headers.forEach(entry -> response.headers().add(entry.getKey(), entry.getValue()));
    if (length >= 0) {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      keep = false;
    } else {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    setConnection(response.headers());
    connection.channel().write(response);
  }

  /**
   * Sends a part of the body.
   *
   * @param content the part
   * @return completes when it is written
   */
  public ChannelFuture send(ByteBuf content) {
    return write(new DefaultHttpContent(content));
  }

  /** Ends the body; to be called once all of it was sent. */
  public void end() {
    if (ended) {
      return;
    }
    ended = true;
    write(LastHttpContent.EMPTY_LAST_CONTENT)
        .addListener(done -> connection.finished(keep && done.isSuccess()));
  }

  /** Breaks the answer off so that it can't look complete, by closing the connection. */
  public void abort() {
    if (!ended) {
      ended = true;
      connection.channel().close();
    }
  }

  /**
   * Returns the caller's address.
   *
   * @return address for logs
   */
  public String peer() {
    return connection.peer();
  }

  private ChannelFuture write(Object part) {
    Channel channel = connection.channel();
    return channel.writeAndFlush(part);
  }

  private void setConnection(HttpHeaders headers) {
    if (!keep) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }
}
