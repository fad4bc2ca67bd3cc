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

/** One connection to a target; it runs one request at a time. */
final class TargetConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final String DEADLINE = "x-cuminlatch-deadline-millis";
  private static final Duration NO_LIMIT = Duration.ofDays(1);
  private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;

  private final TargetState state;
  private Future<?> running;

  TargetConnection(TargetState state) {
    this.state = state;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    URI uri = URI.create(request.uri());
    String path = uri.getPath();
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (path.startsWith("/admin/")) {
      send(context, admin(path, Query.parse(uri.getRawQuery())), keepAlive);
    } else if (path.equals("/health")) {
      send(context, Answers.json(Map.of("state", state.hint().state())), keepAlive);
    } else if (path.equals("/load")) {
      send(context, load(), keepAlive);
    } else {
      run(context, request, path, keepAlive);
    }
  }

  private FullHttpResponse load() {
    return Answers.json(Map.of("busy", state.hint().busy(), "slots", state.options().slots()));
  }

  private FullHttpResponse admin(String path, Query query) {
    try {
      switch (path.substring("/admin/".length())) {
        case "behaviour" -> state.behave(Behaviour.of(query));
        case "drain" -> state.drain();
        case "executions" -> {}
        default -> throw new IllegalArgumentException("no such request: " + path);
      }
      return Answers.json(state.counter().executions());
    } catch (IllegalArgumentException e) {
      return Answers.error(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
    }
  }

  private void run(
      ChannelHandlerContext context, FullHttpRequest request, String path, boolean keepAlive) {
    state.arrived();
    Duration left = Duration.ofMillis(deadlineMillis(request));
    if (state.draining() || left.isZero() || left.isNegative() || !state.takeSlot()) {
      state.counter().refused();
      send(context, Answers.notRun(), keepAlive);
      return;
    }
    String requestId = request.headers().get(Answers.REQUEST_ID, "");
    long number = state.counter().started(requestId);
    Behaviour behaviour = state.behaviour();
    boolean fails = behaviour.fails(path, number, ThreadLocalRandom.current().nextDouble());
    boolean cuts = ThreadLocalRandom.current().nextDouble() < behaviour.cutShare();
    byte[] body = ByteBufUtil.getBytes(request.content());
    Duration runTime = behaviour.silent() ? NO_LIMIT : state.runTime();
    Runnable end =
        runTime.compareTo(left) > 0 && !behaviour.silent()
            ? () -> giveUp(context, keepAlive)
            : () -> finish(context, path, requestId, body, fails, cuts, keepAlive);
    Duration until = runTime.compareTo(left) > 0 && !behaviour.silent() ? left : runTime;
    running = context.executor().schedule(end, until.toNanos(), TimeUnit.NANOSECONDS);
  }

  private static long deadlineMillis(FullHttpRequest request) {
    String value = request.headers().get(DEADLINE);
    return value == null ? NO_LIMIT.toMillis() : Long.parseLong(value);
  }

  private void giveUp(ChannelHandlerContext context, boolean keepAlive) {
    release();
    state.counter().late();
    send(context, Answers.error(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline"), keepAlive);
  }

  private void finish(
      ChannelHandlerContext context,
      String path,
      String requestId,
      byte[] body,
      boolean fails,
      boolean cuts,
      boolean keepAlive) {
    release();
    if (cuts) {
      state.counter().failed();
      context.close();
    } else if (fails) {
      state.counter().failed();
      send(context, Answers.error(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed"), keepAlive);
    } else {
      state.counter().answered();
      FullHttpResponse answer = answer(path, requestId, body);
      answer.headers().set(Answers.REQUEST_ID, requestId);
      send(context, answer, keepAlive);
    }
  }

  private static FullHttpResponse answer(String path, String requestId, byte[] body) {
    if (path.matches("/.*bytes/\\d{1,8}")) {
      int length = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
      return Answers.repeated(requestId, Math.min(MAX_ANSWER_BYTES, length));
    }
    return Answers.echo(requestId, body);
  }

  private void release() {
    running = null;
    state.freeSlot();
  }

  private void send(ChannelHandlerContext context, FullHttpResponse answer, boolean keepAlive) {
    answer.headers().set(Answers.VERSION, state.options().version());
    HttpUtil.setKeepAlive(answer, keepAlive);
    var written = context.writeAndFlush(answer);
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (running != null) {
      running.cancel(false);
      release();
      state.counter().cancelled();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
