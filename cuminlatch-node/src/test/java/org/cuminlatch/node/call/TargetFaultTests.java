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

@DisplayName("When a target is at fault")
class TargetFaultTests {

  private final CallMesh mesh = new CallMesh();
  private CallMesh.Node entry;
  private CallMesh.Node beside;

  @BeforeEach
  void start() {
    entry = mesh.add("a", 1);
    entry.announce(Member.Phase.STARTING);
    beside = mesh.add("b", 1);
  }

  @AfterEach
  void close() {
    mesh.close();
  }

  private void timeout(Duration timeout, int attempts) {
    mesh.routes(
        Route.of("all", "/", CallMesh.SERVICE).withLimits(CallMesh.limits(timeout, attempts)));
  }

  @Nested
  class AndClosesItsConnectionWithoutAnAnswer {

    @Test
    void oneAttemptRunsOnceEvenOfAnIdempotentRequest() throws Exception {
      timeout(Duration.ofSeconds(10), 1);
      mesh.get(entry, "/warm");
      beside
          .target()
          .behave(
              exchange -> {
                throw new IOException("broken");
              });

      HttpResponse<String> answer = mesh.get(entry, "/stock");

      assertThat(answer.statusCode(), is(502));
      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(beside.target().runs(), is(2));
    }

    @Test
    void bookingIsNotRepeated() throws Exception {
      CallMesh.Node other = mesh.add("c", 1);
      CallMesh.Node[] both = {beside, other};
      for (CallMesh.Node node : both) {
        node.target()
            .behave(
                exchange -> {
                  throw new IOException("broken");
                });
      }

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(beside.target().runs() + other.target().runs(), is(1));
    }
  }

  @Nested
  class AndBreaksItsAnswerOff {

    @Test
    void theCallerDoesNotTakePartForTheWhole() {
      beside
          .target()
          .behave(
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
  class AndRefusesBeforeRunning {

    @Test
    void bookingIsSentToAnother() throws Exception {
      beside.target().behave(TargetFaultTests::shed);
      CallMesh.Node other = mesh.add("c", 1);

      for (int i = 0; i < 3; i++) {
        HttpResponse<String> answer = mesh.post(entry, "/book", "crane " + i);
        assertThat(answer.body(), is("ok"));
      }

      assertThat(other.target().runs(), is(3));
    }

    @Test
    void theCallerIsToldThatItWasNotRunIfThereIsNoOther() throws Exception {
      beside.target().behave(TargetFaultTests::shed);

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
  class AndIsDown {

    @Test
    void nothingWasRun() throws Exception {
      beside.target().close();

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(CallMesh.outcome(answer), is("not-run"));
      assertThat(CallMesh.reason(answer), is("target-unreachable"));
    }
  }

  @Nested
  class AndHangs {

    @Test
    void theSlotIsReleasedAfterTheTimeoutAndOnlyOnce() throws Exception {
      timeout(Duration.ofMillis(300), 1);
      CountDownLatch hold = new CountDownLatch(1);
      AtomicInteger present = new AtomicInteger();
      AtomicInteger most = new AtomicInteger();
      beside
          .target()
          .behave(
              exchange -> {
                if (exchange.getRequestURI().getPath().equals("/hang")) {
                  hold.await();
                } else {
                  most.accumulateAndGet(present.incrementAndGet(), Math::max);
                  exchange.getRequestBody().readAllBytes();
                  present.decrementAndGet();
                }
                ScriptedTarget.answer(exchange, 200, "ok");
              });

      final HttpResponse<String> hung = mesh.post(entry, "/hang", "x");
      hold.countDown();
      timeout(Duration.ofSeconds(10), 1);
      List<CompletableFuture<HttpResponse<String>>> later = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        HttpRequest request =
            HttpRequest.newBuilder(entry.uri("/book"))
                .POST(HttpRequest.BodyPublishers.ofString("x"))
                .build();
        later.add(mesh.client().sendAsync(request, BodyHandlers.ofString()));
      }

      assertThat(CallMesh.reason(hung), is("target-timeout"));
      for (CompletableFuture<HttpResponse<String>> answer : later) {
        assertThat(answer.get(20, TimeUnit.SECONDS).statusCode(), is(200));
      }
      assertThat(most.get(), is(1));
    }
  }

  @Nested
  class AndItsPooledConnectionsGoSilent {

    @Test
    void idempotentWorkMovesToFreshConnection() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      AtomicInteger requests = new AtomicInteger();
      beside
          .target()
          .behave(
              exchange -> {
                if (requests.incrementAndGet() == 1) {
                  never.await();
                }
                ScriptedTarget.answer(exchange, 200, "ok");
              });

      HttpResponse<String> answer = mesh.get(entry, "/stock");

      assertThat(answer.statusCode(), is(200));
      assertThat(requests.get(), is(2));
    }

    @Test
    void answersThatHaveBegunAreNotCutOff() throws Exception {
      CountDownLatch never = new CountDownLatch(1);
      beside
          .target()
          .behave(
              exchange -> {
                exchange.sendResponseHeaders(200, 200_000);
                exchange.getResponseBody().write(new byte[100_000]);
                exchange.getResponseBody().flush();
                never.await(2500, TimeUnit.MILLISECONDS);
                exchange.getResponseBody().write(new byte[100_000]);
                exchange.close();
              });

      HttpResponse<String> answer = mesh.get(entry, "/drawings");

      assertThat(answer.body().length(), is(200_000));
    }

    @Test
    void bookingWaitsForItsOwnAnswer() throws Exception {
      CountDownLatch probed = new CountDownLatch(1);
      beside
          .target()
          .behave(
              exchange -> {
                probed.await(2500, TimeUnit.MILLISECONDS);
                ScriptedTarget.answer(exchange, 200, "booked");
              });

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(answer.body(), is("booked"));
      assertThat(beside.target().runs(), is(1));
    }
  }

  @Nested
  class AndTheCallerGoesAway {

    @Test
    void theRunIsCancelled() throws Exception {
      timeout(Duration.ofMinutes(5), 1);
      CountDownLatch broken = new CountDownLatch(1);
      beside
          .target()
          .behave(
              exchange -> {
                exchange.sendResponseHeaders(200, 0);
                byte[] part = new byte[64 * 1024];
                try {
                  while (true) {
                    exchange.getResponseBody().write(part);
                  }
                } catch (IOException cancelled) {
                  broken.countDown();
                  throw cancelled;
                }
              });

      HttpRequest request = HttpRequest.newBuilder(entry.uri("/drawings")).build();
      HttpResponse<InputStream> answer = mesh.client().send(request, BodyHandlers.ofInputStream());
      answer.body().readNBytes(1000);
      answer.body().close();

      assertThat(broken.await(20, TimeUnit.SECONDS), is(true));
    }
  }
}
