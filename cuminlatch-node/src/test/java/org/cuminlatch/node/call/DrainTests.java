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

@DisplayName("A node that drains")
class DrainTests {

  private final CallMesh mesh = new CallMesh();
  private final CallMesh.Node entry = mesh.add("a", 4);
  private final CallMesh.Node leaving = mesh.add("b", 4);

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
  class WhileOthersStillChooseIt {

    @Test
    void losesNoBookingAndRunsNoneTwice() throws Exception {
      List<CompletableFuture<HttpResponse<String>>> bookings = new ArrayList<>();
      for (int i = 0; i < 200; i++) {
        if (i == 100) {
          leaving.path().drain();
        }
        bookings.add(book(entry, i));
        if (i % 8 == 0) {
          bookings.get(i).get(20, TimeUnit.SECONDS);
        }
      }

      assertThat(statuses(bookings), everyItem(is(200)));
      assertThat(entry.target().runs() + leaving.target().runs(), is(200));
    }

    @Test
    void takesNoNewWork() throws Exception {
      leaving.path().drain();
      int before = leaving.target().runs();
      for (int i = 0; i < 20; i++) {
        assertThat(book(entry, i).get(20, TimeUnit.SECONDS).statusCode(), is(200));
      }

      assertThat(leaving.target().runs(), is(before));
      assertThat(entry.target().runs(), greaterThan(0));
    }
  }

  @Nested
  class WithWorkUnderWay {

    @Test
    void cutsNothingOffAndIsDrainedOnlyAfterwards() throws Exception {
      CountDownLatch running = new CountDownLatch(1);
      CountDownLatch hold = new CountDownLatch(1);
      entry.announce(Member.Phase.STARTING);
      leaving
          .target()
          .behave(
              exchange -> {
                running.countDown();
                hold.await();
                ScriptedTarget.answer(exchange, 200, "booked");
              });
      final CompletableFuture<HttpResponse<String>> booking = book(entry, 1);
      running.await();

      CompletableFuture<Void> drained = leaving.path().drain();
      boolean drainedEarly = drained.isDone();
      hold.countDown();

      assertThat(drainedEarly, is(false));
      assertThat(booking.get(20, TimeUnit.SECONDS).body(), is("booked"));
      drained.get(20, TimeUnit.SECONDS);
    }

    @Test
    void refusesWhatStillWaitsAsNotRun() throws Exception {
      CountDownLatch running = new CountDownLatch(4);
      CountDownLatch hold = new CountDownLatch(1);
      entry.announce(Member.Phase.STARTING);
      leaving
          .target()
          .behave(
              exchange -> {
                running.countDown();
                hold.await();
                ScriptedTarget.answer(exchange, 200, "booked");
              });
      List<CompletableFuture<HttpResponse<String>>> held = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        held.add(book(entry, i));
      }
      running.await();
      CompletableFuture<HttpResponse<String>> waiting = book(entry, 5);
      while (leaving.path().load().queued() == 0) {
        Thread.onSpinWait();
      }

      leaving.path().drain();
      HttpResponse<String> refused = waiting.get(20, TimeUnit.SECONDS);
      hold.countDown();

      assertThat(CallMesh.outcome(refused), is("not-run"));
      assertThat(CallMesh.reason(refused), is("draining"));
      assertThat(statuses(held), everyItem(is(200)));
    }
  }

  @Nested
  class ThatCallersEnterByToo {

    @Test
    void stillSendsTheirCallsElsewhere() throws Exception {
      leaving.path().drain();

      HttpResponse<String> answer = book(leaving, 1).get(20, TimeUnit.SECONDS);

      assertThat(answer.statusCode(), is(200));
      assertThat(answer.headers().firstValue("connection").orElse(""), is("close"));
    }
  }
}
