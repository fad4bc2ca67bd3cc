package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.membership.Member;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A draining node")
class DrainTests {

  private final CallMesh mesh = new CallMesh();
  private final CallMesh.Node entry = mesh.add("a", 4);
  private final CallMesh.Node drainingNode = mesh.add("b", 4);

  @AfterEach
  void close() {
    mesh.close();
  }

  private CompletableFuture<HttpResponse<String>> book(CallMesh.Node node, int number) {
    HttpRequest request =
        HttpRequest.newBuilder(node.uri("/book"))
            .POST(HttpRequest.BodyPublishers.ofString("crane " + number))
            .build();
    return mesh.client().sendAsync(request, BodyHandlers.ofString());
  }

  private static List<Integer> statuses(List<CompletableFuture<HttpResponse<String>>> calls)
      throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (CompletableFuture<HttpResponse<String>> call : calls) {
      statuses.add(call.get(20, TimeUnit.SECONDS).statusCode());
    }
    return statuses;
  }

  @Nested
  class WhileOthersStillSelectIt {

    @Test
    void runsEachBookingExactlyOnce() throws Exception {
      List<CompletableFuture<HttpResponse<String>>> bookings = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        if (i == 100) {
          drainingNode.path().drain();
        }
        bookings.add(book(entry, i));
        if (i % 8 == 0) {
          bookings.get(i).get(20, TimeUnit.SECONDS);
        }
      }

      assertThat(statuses(bookings), everyItem(is(200)));
      assertThat(entry.target().runs() + drainingNode.target().runs(), is(200));
    }

    @Test
    void runsNoNewCalls() throws Exception {
      drainingNode.path().drain();
      int before = drainingNode.target().runs();
      for (int i = 0; i < 20; i++) {
        assertThat(book(entry, i).get(20, TimeUnit.SECONDS).statusCode(), is(200));
      }

      assertThat(drainingNode.target().runs(), is(before));
      assertThat(entry.target().runs(), greaterThan(0));
    }
  }

  @Nested
  class WithRunningCalls {

    @Test
    void completesRunningCallBeforeItIsDrained() throws Exception {
      CountDownLatch requestsRunning = new CountDownLatch(1);
      CountDownLatch answersAllowed = new CountDownLatch(1);
      entry.announce(Member.Phase.STARTING);
      drainingNode
          .target()
          .setBehaviour(
              exchange -> {
                requestsRunning.countDown();
                answersAllowed.await();
                ScriptedTarget.answer(exchange, 200, "booked");
              });
      final CompletableFuture<HttpResponse<String>> booking = book(entry, 1);
      requestsRunning.await();

      CompletableFuture<Void> drained = drainingNode.path().drain();
      boolean drainedBeforeCallEnded = drained.isDone();
      answersAllowed.countDown();

      assertThat(drainedBeforeCallEnded, is(false));
      assertThat(booking.get(20, TimeUnit.SECONDS).body(), is("booked"));
      drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void refusesQueuedCallAsNotRun() throws Exception {
      CountDownLatch requestsRunning = new CountDownLatch(4);
      CountDownLatch answersAllowed = new CountDownLatch(1);
      entry.announce(Member.Phase.STARTING);
      drainingNode
          .target()
          .setBehaviour(
              exchange -> {
                requestsRunning.countDown();
                answersAllowed.await();
                ScriptedTarget.answer(exchange, 200, "booked");
              });
      List<CompletableFuture<HttpResponse<String>>> runningCalls = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        runningCalls.add(book(entry, i));
      }
      requestsRunning.await();
      CompletableFuture<HttpResponse<String>> queuedCall = book(entry, 5);
      while (drainingNode.path().load().queued() == 0) {
        Thread.onSpinWait();
      }

      drainingNode.path().drain();
      HttpResponse<String> refused = queuedCall.get(20, TimeUnit.SECONDS);
      answersAllowed.countDown();

      assertThat(CallMesh.outcome(refused), is("not-run"));
      assertThat(CallMesh.reason(refused), is("draining"));
      assertThat(statuses(runningCalls), everyItem(is(200)));
    }
  }

  @Nested
  class AsEntryNode {

    @Test
    void routesCallsElsewhereAndClosesCallersConnections() throws Exception {
      drainingNode.path().drain();

      HttpResponse<String> answer = book(drainingNode, 1).get(20, TimeUnit.SECONDS);

      assertThat(answer.statusCode(), is(200));
      assertThat(answer.headers().firstValue("connection").orElse(""), is("close"));
    }
  }
}
