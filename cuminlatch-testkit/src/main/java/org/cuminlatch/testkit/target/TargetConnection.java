package org.cuminlatch.testkit.target;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.testkit.http.Query;

/** Handler of one connection to a target; executes one request at a time. */
final class TargetConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final String DEADLINE_HEADER = "x-cuminlatch-deadline-millis";
  private static final Duration UNLIMITED = Duration.ofDays(1);
  private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

  private final TargetState state;
  private Future<?> pendingCompletion;

  TargetConnection(TargetState state) {
    this.state = state;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    URI uri = URI.create(request.uri());
    String path = uri.getPath();
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (path.startsWith("/admin/")) {
      send(context, handleAdmin(path, Query.parse(uri.getRawQuery())), keepAlive);
    } else if (path.equals("/health")) {
      send(context, AnswerFactory.json(Map.of("state", state.hint().state())), keepAlive);
    } else if (path.equals("/load")) {
      send(context, loadAnswer(), keepAlive);
    } else {
      execute(context, request, path, keepAlive);
    }
  }

  private FullHttpResponse loadAnswer() {
    return AnswerFactory.json(
        Map.of("busy", state.hint().busy(), "slots", state.options().slots()));
  }

  private FullHttpResponse handleAdmin(String path, Query query) {
    try {
      switch (path.substring("/admin/".length())) {
        case "behaviour" -> state.setBehaviour(Behaviour.of(query));
        case "drain" -> state.drain();
        case "executions" -> {}
        default -> throw new IllegalArgumentException("no such admin request: " + path);
      }
      return AnswerFactory.json(state.counter().executions());
    } catch (IllegalArgumentException e) {
      return AnswerFactory.error(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
    }
  }

  private void execute(
      ChannelHandlerContext context, FullHttpRequest request, String path, boolean keepAlive) {
    state.countArrival();
    Duration remaining = Duration.ofMillis(deadlineMillis(request));
    if (state.draining()
        || remaining.isZero()
        || remaining.isNegative()
        || !state.tryAcquireSlot()) {
      state.counter().countRefused();
      send(context, AnswerFactory.notRun(), keepAlive);
      return;
    }
    String requestId = request.headers().get(AnswerFactory.REQUEST_ID_HEADER, "");
    long executionNumber = state.counter().countStarted(requestId);
    Behaviour behaviour = state.behaviour();
    boolean fail = behaviour.fails(path, executionNumber, ThreadLocalRandom.current().nextDouble());
    boolean closeConnection = ThreadLocalRandom.current().nextDouble() < behaviour.cutShare();
    byte[] body = ByteBufUtil.getBytes(request.content());
    Duration executionTime = behaviour.silent() ? UNLIMITED : state.executionTime();
    Runnable completion =
        executionTime.compareTo(remaining) > 0 && !behaviour.silent()
            ? () -> endAtDeadline(context, keepAlive)
            : () -> finish(context, path, requestId, body, fail, closeConnection, keepAlive);
    Duration delay =
        executionTime.compareTo(remaining) > 0 && !behaviour.silent() ? remaining : executionTime;
    pendingCompletion =
        context.executor().schedule(completion, delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  private static long deadlineMillis(FullHttpRequest request) {
    String value = request.headers().get(DEADLINE_HEADER);
    return value == null ? UNLIMITED.toMillis() : Long.parseLong(value);
  }

  private void endAtDeadline(ChannelHandlerContext context, boolean keepAlive) {
    releaseSlot();
    state.counter().countLate();
    send(context, AnswerFactory.error(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), keepAlive);
  }

  private void finish(
      ChannelHandlerContext context,
      String path,
      String requestId,
      byte[] body,
      boolean fail,
      boolean closeConnection,
      boolean keepAlive) {
    releaseSlot();
    if (closeConnection) {
      state.counter().countFailed();
      context.close();
    } else if (fail) {
      state.counter().countFailed();
      send(
          context,
          AnswerFactory.error(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed"),
          keepAlive);
    } else {
      state.counter().countAnswered();
      FullHttpResponse answer = createAnswer(path, requestId, body);
      answer.headers().set(AnswerFactory.REQUEST_ID_HEADER, requestId);
      send(context, answer, keepAlive);
    }
  }

  private static FullHttpResponse createAnswer(String path, String requestId, byte[] body) {
    if (path.matches("/.*bytes/\\d{1,8}")) {
      int length = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
      return AnswerFactory.repeated(requestId, Math.min(MAX_ANSWER_BYTES, length));
    }
    return AnswerFactory.echo(requestId, body);
  }

  private void releaseSlot() {
    pendingCompletion = null;
    state.releaseSlot();
  }

  private void send(ChannelHandlerContext context, FullHttpResponse answer, boolean keepAlive) {
    answer.headers().set(AnswerFactory.TARGET_VERSION_HEADER, state.options().version());
    HttpUtil.setKeepAlive(answer, keepAlive);
    var writeFuture = context.writeAndFlush(answer);
    if (!keepAlive) {
      writeFuture.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (pendingCompletion != null) {
      pendingCompletion.cancel(false);
      releaseSlot();
      state.counter().countCancelled();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
