package org.cuminlatch.node.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cuminlatch.node.http.UnsolicitedBytes.Position;

/** One connection of an {@link HttpClient}. */
final class ClientConnection extends ChannelInboundHandlerAdapter {

  /** Fraction of the server's announced idle timeout after which a connection is not reused. */
  private static final double IDLE_TIMEOUT_FRACTION = 0.6;

  private static final byte[] EMPTY_BODY = new byte[0];

  /** Maximum number of interim responses and responses to others before that to a request. */
  private static final int MAX_SKIPPED_RESPONSES = 32;

  /** Time for which a response whose body contains the head of a response is held back. */
  private static final Duration HOLD_TIME = Duration.ofMillis(100);

  private static final Duration MAX_IDLE_TIMEOUT = Duration.ofSeconds(4);
  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

  private final HttpClient client;
  private final ProbedSocketChannel channel;
  private final int maxBodyBytes;
  private final ResponseDecoder decoder;
  private ClientRequest request;
  private ClientListener listener;
  private ChannelFuture writeFuture;

  /** Whether an upload holds the connection whose request has not been started. */
  private boolean reserved;

  /** Whether the body of the request has been passed on to the channel up to its end. */
  private boolean bodyPassedOn;

  /** Whether a write has failed while the channel was kept open to read the response. */
  private boolean outputFailed;

  private HttpResponse head;
  private ClientResponse bodiless;
  private ResponseOwner owner;
  private ByteBuf body;
  private Duration idleTimeout = MAX_IDLE_TIMEOUT;
  private long idleSinceNanos;
  private boolean hasReceivedResponse;
  private int skippedResponses;

  /** Whether the response is held back because its body contains the head of a response. */
  private boolean held;

  ClientConnection(HttpClient client, ProbedSocketChannel channel, int maxBodyBytes) {
    this.client = client;
    this.channel = channel;
    this.maxBodyBytes = maxBodyBytes;
    this.decoder =
        new ResponseDecoder(
            () -> request != null && request.method().equals("HEAD"),
            maxBodyBytes,
            bytes -> client.onUnsolicitedBytes(Position.BEFORE_RESPONSE, bytes));
  }

  void addTo(ChannelPipeline pipeline) {
    pipeline
        .addLast(new HttpRequestEncoder())
        .addLast(new InputGuard())
        .addLast(decoder)
        .addLast(this);
  }

  ClientCall send(ClientRequest newRequest, ClientListener newListener) {
    awaitResponse(newRequest, newListener);
    bodyPassedOn = true;
    DefaultFullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(newRequest.method()),
            newRequest.requestTarget(),
            Unpooled.wrappedBuffer(newRequest.body()));
    for (Map.Entry<String, String> header : newRequest.headers()) {
      message.headers().add(header.getKey(), header.getValue());
    }
    if (newRequest.body().length > 0 || !omitsEmptyBody(newRequest.method())) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, newRequest.body().length);
    }
    watchWrite(channel.writeAndFlush(message), newRequest);
    return new RunningCall(newRequest);
  }

  private void awaitResponse(ClientRequest newRequest, ClientListener newListener) {
    request = newRequest;
    listener = newListener;
    skippedResponses = 0;
    held = false;
    decoder.awaitResponse();
  }

  /** Keeps the connection for an upload; the listener is told if it is lost meanwhile. */
  void reserve(ClientListener newListener) {
    reserved = true;
    listener = newListener;
  }

  boolean isReserved() {
    return reserved;
  }

  /** Sends the head of an upload; returns false if the connection can't be used any more. */
  boolean start(ClientRequest newRequest, long length) {
    boolean usable = reserved && channel.isActive() && probeIsQuiet();
    reserved = false;
    if (!usable) {
      listener = null;
      close();
      return false;
    }
    awaitResponse(newRequest, listener);
    bodyPassedOn = false;
    HttpRequest message =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(newRequest.method()),
            newRequest.requestTarget());
    for (Map.Entry<String, String> header : newRequest.headers()) {
      message.headers().add(header.getKey(), header.getValue());
    }
    if (length >= 0) {
      message.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    } else {
      message.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    // a server that responds early may reset the connection; a failed write must not close it
    // before the response was read
    channel.config().setAutoClose(false);
    watchWrite(channel.write(message), newRequest);
    return true;
  }

  /** Sends a part of an upload's body, unless the upload has ended. */
  ChannelFuture sendPart(ClientRequest upload, byte[] content, boolean last) {
    if (request != upload) {
      return channel.newFailedFuture(new ClosedChannelException());
    }
    bodyPassedOn = last;
    ByteBuf part = Unpooled.wrappedBuffer(content);
    return watchWrite(
        channel.writeAndFlush(
            last ? new DefaultLastHttpContent(part) : new DefaultHttpContent(part)),
        upload);
  }

  /**
   * Ends the request if a write fails while the connection works, as the server would take later
   * bytes for the missing ones. If the connection has failed, the input tells how the request ends.
   */
  private ChannelFuture watchWrite(ChannelFuture write, ClientRequest written) {
    writeFuture = write;
    return write.addListener(
        future -> {
          if (request == written
              && !future.isSuccess()
              && !(future.cause() instanceof IOException)) {
            fail("request could not be written: " + future.cause());
          }
        });
  }

  /** Cancels an upload, whether its request has been started or not. */
  void cancelUpload(ClientRequest upload) {
    if (reserved) {
      reserved = false;
      listener = null;
      close();
    } else if (upload != null) {
      cancel(upload);
    }
  }

  boolean hasResponseStarted(ClientRequest sent) {
    return request == sent && head != null;
  }

  private static boolean omitsEmptyBody(String method) {
    return method.equals("GET") || method.equals("HEAD") || method.equals("DELETE");
  }

  private void cancel(ClientRequest cancelled) {
    if (request == cancelled) {
      request = null;
      listener = null;
      discardResponse();
      close();
    }
  }

  boolean isUsable() {
    return channel.isActive() && idleTime().compareTo(idleTimeout) < 0;
  }

  /**
   * Looks for bytes that the event loop has not read yet, and reports them. The connection can be
   * used only if there are none.
   *
   * @return true if the connection is open and has received nothing since its last response
   */
  boolean probeIsQuiet() {
    ProbedSocketChannel.Input input = channel.probeInput();
    if (input == ProbedSocketChannel.Input.BYTES) {
      client.onUnsolicitedBytes(Position.IDLE, 1);
    }
    return input == ProbedSocketChannel.Input.NONE;
  }

  Duration idleTime() {
    return Duration.ofNanos(System.nanoTime() - idleSinceNanos);
  }

  void close() {
    channel.close();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    client.onOpened(this);
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
      fail("response could not be decoded: " + part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpResponse response) {
      begin(response);
    }
    if (part instanceof HttpContent content && head != null) {
      append(content);
    }
  }

  private void begin(HttpResponse response) {
    int status = response.status().code();
    boolean interim = ResponseStatus.isInterim(status);
    if (!interim && !ResponseStatus.isFinal(status)) {
      failForStatus(ResponseStatus.text(status));
      return;
    }
    bodiless = withoutBody(response);
    owner = interim ? ResponseOwner.THIS_REQUEST : request.ownerOfResponse().apply(bodiless);
    if (decoder.isHeadAmbiguous() && (hasReceivedResponse || owner != ResponseOwner.THIS_REQUEST)) {
      client.onUnsolicitedBytes(Position.WITHIN_RESPONSE, decoder.unread().readableBytes());
      fail("head of a response holds another status line");
    } else if (owner == ResponseOwner.OTHER_REQUEST) {
      client.onUnsolicitedBytes(Position.BEFORE_RESPONSE, decoder.unread().readableBytes());
      hasReceivedResponse = true;
      decoder.skipResponse(HttpUtil.getContentLength(response, -1));
      countSkippedResponse();
    } else if (owner == ResponseOwner.UNNAMED && hasReceivedResponse) {
      fail("response names no request on a connection that has carried another response");
    } else {
      head = response;
      body = Unpooled.buffer();
    }
  }

  /** Ends the request, which may have been executed, as the response can't be interpreted. */
  private void failForStatus(String status) {
    client.onInvalidStatus(status);
    fail("response has invalid status " + status);
  }

  private static ClientResponse withoutBody(HttpResponse response) {
    List<Map.Entry<String, String>> headers = new ArrayList<>(response.headers().size());
    response.headers().forEach(entry -> headers.add(Map.entry(entry.getKey(), entry.getValue())));
    return new ClientResponse(response.status().code(), headers, EMPTY_BODY);
  }

  private void append(HttpContent content) {
    int bytes = content.content().readableBytes();
    body.writeBytes(content.content());
    client.onBuffered(bytes);
    if (body != null && body.readableBytes() > maxBodyBytes) {
      fail("response body is larger than " + maxBodyBytes + " bytes");
    } else if (body != null && content instanceof LastHttpContent) {
      if (channel.isActive()) {
        completeIfWhole();
      } else {
        // the decoder ends a body without a length at any close of the channel, also by this side
        fail("connection failed before the end of a response without a length");
      }
    }
  }

  /** Returns the size of the part of a response's body that has been received. */
  int bufferedBytes() {
    return body == null ? 0 : body.readableBytes();
  }

  /** Forgets the response that is being received. */
  private void discardResponse() {
    client.onBuffered(-bufferedBytes());
    head = null;
    bodiless = null;
    body = null;
  }

  /** Ends the request because the responses of all connections need too much memory. */
  void failForMemory() {
    fail("responses of the server that are being received need too much memory");
  }

  /** Completes the response unless its body contains bytes of another one. */
  private void completeIfWhole() {
    if (owner == ResponseOwner.UNSPECIFIED) {
      complete();
      return;
    }
    switch (BodyInspection.inspect(body, decoder.unread(), hasFraming(head), this::isOwnHead)) {
      case WHOLE -> complete();
      case WHOLE_IF_LAST -> hold();
      default -> failAsMixed();
    }
  }

  private boolean isOwnHead(HttpResponse other) {
    return request.ownerOfResponse().apply(withoutBody(other)) == ResponseOwner.THIS_REQUEST;
  }

  /** Completes the response after some time unless further bytes are received. */
  private void hold() {
    held = true;
    ClientRequest heldRequest = request;
    channel
        .eventLoop()
        .schedule(() -> completeIfHeld(heldRequest), HOLD_TIME.toMillis(), TimeUnit.MILLISECONDS);
  }

  private void completeIfHeld(ClientRequest heldRequest) {
    if (held && request == heldRequest) {
      complete();
    }
  }

  private void failAsMixed() {
    client.onUnsolicitedBytes(Position.WITHIN_RESPONSE, body.readableBytes());
    fail("body contains the head of a response");
  }

  private void complete() {
    HttpResponse responseHead = head;
    final ClientResponse response =
        new ClientResponse(bodiless.status(), bodiless.headers(), ByteBufUtil.getBytes(body));
    discardResponse();
    held = false;
    if (ResponseStatus.isInterim(responseHead.status().code())) {
      countSkippedResponse(); // an interim response
      return;
    }
    hasReceivedResponse = true;
    int unread = decoder.unread().readableBytes();
    if (unread > 0) {
      client.onUnsolicitedBytes(Position.AFTER_RESPONSE, unread);
    }
    final ClientListener endedListener = listener;
    request = null;
    listener = null;
    keepOrClose(responseHead);
    endedListener.onResponse(response);
  }

  private void countSkippedResponse() {
    skippedResponses++;
    if (skippedResponses > MAX_SKIPPED_RESPONSES) {
      fail("more than " + MAX_SKIPPED_RESPONSES + " other responses were received");
    }
  }

  private void keepOrClose(HttpResponse responseHead) {
    boolean endsInput = !decoder.unread().isReadable();
    if (!hasFraming(responseHead)
        || !endsInput
        || !HttpUtil.isKeepAlive(responseHead)
        || !bodyPassedOn
        || !writeFuture.isSuccess()
        || !channel.isActive()
        || !client.permitsReuse()) {
      close();
      return;
    }
    idleTimeout = idleTimeoutOf(responseHead);
    idleSinceNanos = System.nanoTime();
    channel.config().setAutoClose(true);
    client.onReleased(this);
  }

  private static boolean hasFraming(HttpResponse response) {
    return HttpUtil.isContentLengthSet(response)
        || HttpUtil.isTransferEncodingChunked(response)
        || response.status().code() == 204
        || response.status().code() == 304;
  }

  private static Duration idleTimeoutOf(HttpResponse response) {
    String keepAlive = response.headers().get("Keep-Alive");
    Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive == null ? "" : keepAlive);
    if (!timeout.find()) {
      return MAX_IDLE_TIMEOUT;
    }
    long millis = (long) (Long.parseLong(timeout.group(1)) * 1000 * IDLE_TIMEOUT_FRACTION);
    return Duration.ofMillis(Math.min(millis, MAX_IDLE_TIMEOUT.toMillis()));
  }

  private void fail(String reason) {
    final ClientListener endedListener = listener;
    final boolean sent = !reserved;
    request = null;
    listener = null;
    reserved = false;
    discardResponse();
    close();
    if (endedListener != null) {
      endedListener.onFailure(new ClientListener.Failure(sent, reason));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    client.onClosed(this);
    if (reserved) {
      reserved = false;
      final ClientListener waiting = listener;
      listener = null;
      waiting.onFailure(
          new ClientListener.Failure(false, "connection closed before the request was sent"));
    } else if (held && request != null) {
      complete();
    } else if (request != null) {
      fail(
          head == null
              ? "connection closed before a response was received"
              : "connection closed before the response was complete");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (request == null) {
      close(); // the decoder reads the same bytes once more when the connection is closed
    } else if (cause.getCause() instanceof InvalidStatusException invalid) {
      failForStatus(invalid.status());
    } else if (cause instanceof DecoderException) {
      fail("response could not be decoded: " + cause.getCause());
    } else {
      fail("connection failed: " + cause.getMessage());
    }
  }

  /** A request that this connection carries. */
  private final class RunningCall implements ClientCall {

    private final ClientRequest sent;

    RunningCall(ClientRequest sent) {
      this.sent = sent;
    }

    @Override
    public void cancel() {
      ClientConnection.this.cancel(sent);
    }

    @Override
    public boolean hasResponseStarted() {
      return ClientConnection.this.hasResponseStarted(sent);
    }
  }

  /**
   * Keeps input from the decoder that it would take for a part of a response: bytes that follow a
   * response, and an end of the input that may be due to a reset.
   */
  private final class InputGuard extends ChannelInboundHandlerAdapter {

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (request == null) {
        client.onUnsolicitedBytes(Position.IDLE, ((ByteBuf) message).readableBytes());
        ReferenceCountUtil.release(message);
        close();
      } else if (held) {
        ReferenceCountUtil.release(message);
        failAsMixed();
      } else {
        context.fireChannelRead(message);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelOutputShutdownEvent) {
        outputFailed = true;
      }
      // a socket reports a reset only once: after a failed write, a read returns the end of the
      // input as if the server had sent it
      if (event instanceof ChannelInputShutdownEvent && outputFailed && request != null && !held) {
        fail("connection failed while the request was written");
      } else {
        context.fireUserEventTriggered(event);
      }
    }
  }
}
