package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.membership.Member;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@DisplayName("If a target fails")
class TargetFaultTests {

  private final CallMesh mesh = new CallMesh();
  private CallMesh.Node entry;
  private CallMesh.Node targetNode;

  @BeforeEach
  void start() {
    entry = mesh.add("a", 1);
    entry.announce(Member.Phase.STARTING);
    targetNode = mesh.add("b", 1);
  }

  @AfterEach
  void close() {
    mesh.close();
  }

  private void setRouteLimits(Duration routeTimeout, int maxAttempts) {
    mesh.routes(
        Route.of("all", "/", CallMesh.SERVICE)
            .withLimits(CallMesh.limits(routeTimeout, maxAttempts)));
  }

  @Nested
  class ByClosingConnectionWithoutAnswer {

    @Test
    void singleAttemptRunsOnceEvenForIdempotentRequest() throws Exception {
      setRouteLimits(Duration.ofSeconds(10), 1);
      mesh.get(entry, "/warm");
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                throw new IOException("broken");
              });

      HttpResponse<String> answer = mesh.get(entry, "/stock");

      assertThat(answer.statusCode(), is(502));
      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(targetNode.target().runs(), is(2));
    }

    @Test
    void nonIdempotentRequestIsNotRetried() throws Exception {
      CallMesh.Node other = mesh.add("c", 1);
      CallMesh.Node[] both = {targetNode, other};
      for (CallMesh.Node node : both) {
        node.target()
            .setBehaviour(
                exchange -> {
                  throw new IOException("broken");
                });
      }

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(targetNode.target().runs() + other.target().runs(), is(1));
    }
  }

  @Nested
  class ByClosingConnectionWithinAnswer {

    @Test
    void callerDoesNotTakePartialAnswerForComplete() {
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                exchange.sendResponseHeaders(200, 0);
                exchange.getResponseBody().write(new byte[100_000]);
                exchange.getResponseBody().flush();
                throw new IOException("broken");
              });

      assertThrows(IOException.class, () -> mesh.get(entry, "/drawings"));
    }
  }

  @Nested
  class ByRespondingWithInvalidStatus {

    /** Guards against callers that get a status which they can't interpret. */
    @ParameterizedTest
    @ValueSource(ints = {0, 99, 600, 999})
    void requestThatMayNotBeRepeatedFailsWithUnknownOutcome(int status) throws Exception {
      targetNode.target().setBehaviour(exchange -> ScriptedTarget.answer(exchange, status, "x"));

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(answer.statusCode(), is(502));
      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(targetNode.target().runs(), is(1));
    }
  }

  @Nested
  class ByRefusingBeforeRunning {

    @Test
    void nonIdempotentRequestIsRetriedAtAnotherTarget() throws Exception {
      targetNode.target().setBehaviour(TargetFaultTests::shed);
      CallMesh.Node other = mesh.add("c", 1);

      for (int i = 0; i < 3; i++) {
        HttpResponse<String> answer = mesh.post(entry, "/book", "crane " + i);
        assertThat(answer.body(), is("ok"));
      }

      assertThat(other.target().runs(), is(3));
    }

    @Test
    void outcomeIsNotRunIfThereIsNoOtherTarget() throws Exception {
      targetNode.target().setBehaviour(TargetFaultTests::shed);

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(answer.statusCode(), is(503));
      assertThat(CallMesh.outcome(answer), is("not-run"));
      assertThat(CallMesh.reason(answer), is("target-shed"));
    }
  }

  private static void shed(HttpExchange exchange) throws IOException {
    exchange.getResponseHeaders().set(CallHeaders.NOT_RUN, "true");
    ScriptedTarget.answer(exchange, 503, "busy");
  }

  @Nested
  class ByBeingDown {

    @Test
    void outcomeIsNotRun() throws Exception {
      targetNode.target().close();

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(CallMesh.outcome(answer), is("not-run"));
      assertThat(CallMesh.reason(answer), is("target-unreachable"));
    }
  }

  @Nested
  class ByHanging {

    @Test
    void slotIsReleasedOnceAfterTimeout() throws Exception {
      setRouteLimits(Duration.ofMillis(300), 1);
      CountDownLatch hungRequestAllowed = new CountDownLatch(1);
      AtomicInteger running = new AtomicInteger();
      AtomicInteger maxRunning = new AtomicInteger();
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                if (exchange.getRequestURI().getPath().equals("/hang")) {
                  hungRequestAllowed.await();
                } else {
                  maxRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
                  exchange.getRequestBody().readAllBytes();
                  running.decrementAndGet();
                }
                ScriptedTarget.answer(exchange, 200, "ok");
              });

      final HttpResponse<String> hung = mesh.post(entry, "/hang", "x");
      hungRequestAllowed.countDown();
      setRouteLimits(Duration.ofSeconds(10), 1);
      List<CompletableFuture<HttpResponse<String>>> laterAnswers = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        HttpRequest request =
            HttpRequest.newBuilder(entry.uri("/book"))
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        laterAnswers.add(mesh.client().sendAsync(request, BodyHandlers.ofString()));
      }

      assertThat(CallMesh.reason(hung), is("target-timeout"));
      for (CompletableFuture<HttpResponse<String>> answer : laterAnswers) {
        assertThat(answer.get(20, TimeUnit.SECONDS).statusCode(), is(200));
      }
      assertThat(maxRunning.get(), is(1));
    }
  }

  @Nested
  class BySilenceOfItsPooledConnections {

    @Test
    void idempotentRequestIsRetriedOnNewConnection() throws Exception {
      CountDownLatch neverReleased = new CountDownLatch(1);
      AtomicInteger requests = new AtomicInteger();
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                if (requests.incrementAndGet() == 1) {
                  neverReleased.await();
                }
                ScriptedTarget.answer(exchange, 200, "ok");
              });

      HttpResponse<String> answer = mesh.get(entry, "/stock");

      assertThat(answer.statusCode(), is(200));
      assertThat(requests.get(), is(2));
    }

    @Test
    void startedAnswerIsNotInterrupted() throws Exception {
      CountDownLatch neverReleased = new CountDownLatch(1);
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                exchange.sendResponseHeaders(200, 200_000);
                exchange.getResponseBody().write(new byte[100_000]);
                exchange.getResponseBody().flush();
                neverReleased.await(2500, TimeUnit.MILLISECONDS);
                exchange.getResponseBody().write(new byte[100_000]);
                exchange.close();
              });

      HttpResponse<String> answer = mesh.get(entry, "/drawings");

      assertThat(answer.body().length(), is(200_000));
    }

    @Test
    void nonIdempotentRequestWaitsForItsAnswer() throws Exception {
      CountDownLatch probed = new CountDownLatch(1);
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                probed.await(2500, TimeUnit.MILLISECONDS);
                ScriptedTarget.answer(exchange, 200, "booked");
              });

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(answer.body(), is("booked"));
      assertThat(targetNode.target().runs(), is(1));
    }
  }

  @Nested
  class OrCallerDisconnects {

    @Test
    void runningRequestIsCancelled() throws Exception {
      setRouteLimits(Duration.ofMinutes(5), 1);
      CountDownLatch writeFailed = new CountDownLatch(1);
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                exchange.sendResponseHeaders(200, 0);
                byte[] part = new byte[64 * 1024];
                try {
                  while (true) {
                    exchange.getResponseBody().write(part);
                  }
                } catch (IOException cancelled) {
                  writeFailed.countDown();
                  throw cancelled;
                }
              });

      HttpRequest request = HttpRequest.newBuilder(entry.uri("/drawings")).build();
      HttpResponse<InputStream> answer = mesh.client().send(request, BodyHandlers.ofInputStream());
      answer.body().readNBytes(1000);
      answer.body().close();

      assertThat(writeFailed.await(20, TimeUnit.SECONDS), is(true));
    }
  }
}
