package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One connection of an {@link HttpClient}. */
final class ClientConnection extends ChannelInboundHandlerAdapter {

  /** Part of the server's stated idle timeout after which a connection is not used again. */
  private static final double IDLE_SAFETY = 0.6;

  private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(4);
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  private final HttpClient client;
  private final Channel channel;
  private final int maxBodyBytes;
  private ClientRequest request;
  private ClientListener listener;
  private ChannelFuture written;
  private HttpResponse head;
  private ByteBuf body;
  private Duration idleLimit = DEFAULT_IDLE_LIMIT;
  private long idleSinceNanos;

  ClientConnection(HttpClient client, Channel channel, int maxBodyBytes) {
    this.client = client;
    this.channel = channel;
    this.maxBodyBytes = maxBodyBytes;
  }

  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new HttpRequestEncoder()).addLast(new Decoder()).addLast(this);
  }

  ClientCall send(ClientRequest toSend, ClientListener takesEnd) {
    request = toSend;
    listener = takesEnd;
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(toSend.method()),
            toSend.target(),
            Unpooled.wrappedBuffer(toSend.body()));
    for (Map.Entry<String, String> header : toSend.headers()) {
      message.headers().add(header.getKey(), header.getValue());
    }
    if (toSend.body().length > 0 || !hasNoBody(toSend.method())) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, toSend.body().length);
    }
    written = channel.writeAndFlush(message);
    return () -> cancel(toSend);
  }

  private static boolean hasNoBody(String method) {
    return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
  }

  private void cancel(ClientRequest cancelled) {
    if (request == cancelled) {
      request = null;
      listener = null;
      close();
    }
  }

  boolean isUsable() {
    return channel.isActive() && idleTime().compareTo(idleLimit) < 0;
  }

  Duration idleTime() {
    return Duration.ofNanos(System.nanoTime() - idleSinceNanos);
  }

  void close() {
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    client.opened(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (request == null) {
        close(); // bytes that belong to no request
      } else if (message instanceof HttpObject part) {
        read(part);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void read(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      fail("answer can't be read: " + part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpResponse response) {
      head = response;
      body = Unpooled.buffer();
    }
    if (part instanceof HttpContent content && head != null) {
      body.writeBytes(content.content());
      if (body.readableBytes() > maxBodyBytes) {
        fail("answer is larger than " + maxBodyBytes + " bytes");
      } else if (content instanceof LastHttpContent) {
        complete();
      }
    }
  }

  private void complete() {
    HttpResponse completed = head;
    final ClientResponse response =
        new ClientResponse(
            completed.status().code(), headersOf(completed), ByteBufUtil.getBytes(body));
    head = null;
    body = null;
    if (completed.status().code() < 200) {
      return; // an interim answer
    }
    if (!request.belongs().test(response)) {
      return; // a late answer to an earlier request; the own one follows
    }
    final ClientListener ended = listener;
    request = null;
    listener = null;
    keepOrClose(completed);
    ended.answered(response);
  }

  private void keepOrClose(HttpResponse completed) {
    boolean bounded =
        HttpUtil.isContentLengthSet(completed)
            || HttpUtil.isTransferEncodingChunked(completed)
            || completed.status().code() == 204
            || completed.status().code() == 304;
    if (!bounded || !HttpUtil.isKeepAlive(completed) || !written.isSuccess()) {
      close();
      return;
    }
    idleLimit = idleLimitOf(completed);
    idleSinceNanos = System.nanoTime();
    client.released(this);
  }

  private static Duration idleLimitOf(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive");
    Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
    if (!timeout.find()) {
      return DEFAULT_IDLE_LIMIT;
    }
    long millis = (long) (Long.parseLong(timeout.group(1)) * 1000 * IDLE_SAFETY);
    return Duration.ofMillis(Math.min(millis, DEFAULT_IDLE_LIMIT.toMillis()));
  }

  private static List<Map.Entry<String, String>> headersOf(HttpResponse response) {
    List<Map.Entry<String, String>> headers = new ArrayList<>(response.headers().size());
    response.headers().forEach(entry -> headers.add(Map.entry(entry.getKey(), entry.getValue())));
    return headers;
  }

  private void fail(String reason) {
    final ClientListener ended = listener;
    request = null;
    listener = null;
    head = null;
    close();
    if (ended != null) {
      ended.failed(new ClientListener.Failure(true, reason));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    client.closed(this);
    if (request != null) {
      fail(head == null ? "connection closed without an answer" : "answer broken off");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail("connection failed: " + cause.getMessage());
  }

  /** Knows which answers have no body. */
  private final class Decoder extends HttpResponseDecoder {

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
      boolean head = request != null && request.method().equals("HEAD");
      return head || super.isContentAlwaysEmpty(message);
    }
  }
}
