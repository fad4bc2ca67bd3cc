package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.config.Route;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("A call within a call tree")
class CallTreeTests {

  private static final String MAX_DEPTH_TOKEN = "0".repeat(32) + "-16-f";

  private final CallMesh mesh = new CallMesh();
  private final CallMesh.Node node = mesh.add("a", 4);
  private final CountDownLatch childAnswerAllowed = new CountDownLatch(1);
  private final BlockingQueue<HttpResponse<String>> childAnswers = new LinkedBlockingQueue<>();
  private final BlockingQueue<Long> childMillisLeft = new LinkedBlockingQueue<>();

  @AfterEach
  void close() {
    childAnswerAllowed.countDown();
    mesh.close();
  }

  private void letParentCallChild() {
    node.target()
        .setBehaviour(
            exchange -> {
              String token = exchange.getRequestHeaders().getFirst(CallHeaders.ATTEMPT);
              if (exchange.getRequestURI().getPath().equals("/child")) {
                childMillisLeft.add(
                    Long.parseLong(
                        exchange.getRequestHeaders().getFirst(CallHeaders.DEADLINE_MILLIS)));
                childAnswerAllowed.await();
              } else {
                childAnswers.add(
                    mesh.send(
                        HttpRequest.newBuilder(node.uri("/child"))
                            .header(CallHeaders.ATTEMPT, token)
                            .POST(HttpRequest.BodyPublishers.ofString("x"))));
              }
              ScriptedTarget.answer(exchange, 200, "ok");
            });
  }

  @Test
  void endsWhenParentCallEnds() throws Exception {
    mesh.routes(
        Route.of("child", "/child", CallMesh.SERVICE)
            .withLimits(CallMesh.limits(Duration.ofSeconds(60), 1)),
        Route.of("parent", "/parent", CallMesh.SERVICE)
            .withLimits(CallMesh.limits(Duration.ofMillis(500), 1)));
    letParentCallChild();

    HttpResponse<String> parent = mesh.post(node, "/parent", "x");

    assertThat(parent.statusCode(), is(504));
    HttpResponse<String> child = childAnswers.poll(20, TimeUnit.SECONDS);
    assertThat(CallMesh.outcome(child), is("unknown"));
    assertThat(childMillisLeft.take(), lessThanOrEqualTo(500L));
  }

  @Test
  void isRefusedBelowMaximumDepth() throws Exception {
    HttpResponse<String> answer =
        mesh.send(
            HttpRequest.newBuilder(node.uri("/stock"))
                .header(CallHeaders.ATTEMPT, MAX_DEPTH_TOKEN));

    assertThat(CallMesh.outcome(answer), is("not-run"));
    assertThat(CallMesh.reason(answer), is("too-deep"));
  }

  @Test
  void passesCallersDeadlineToTarget() throws Exception {
    letParentCallChild();

    HttpResponse<String> answer =
        mesh.send(
            HttpRequest.newBuilder(node.uri("/child"))
                .header(CallHeaders.DEADLINE_MILLIS, "300")
                .POST(HttpRequest.BodyPublishers.ofString("x")));

    assertThat(answer.statusCode(), is(504));
    assertThat(childMillisLeft.take(), lessThanOrEqualTo(300L));
  }
}
