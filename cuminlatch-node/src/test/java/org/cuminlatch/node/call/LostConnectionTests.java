package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.net.http.HttpResponse;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.move.CallOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A lost connection between nodes")
class LostConnectionTests {

  private final CallMesh mesh = new CallMesh();
  private final TcpRelay relay = new TcpRelay();
  private final CountDownLatch requestRunning = new CountDownLatch(1);
  private final CountDownLatch answersAllowed = new CountDownLatch(1);
  private CallMesh.Node entry;
  private CallMesh.Node targetNode;

  @BeforeEach
  void start() throws Exception {
    entry = mesh.add("a", 2);
    entry.announce(Member.Phase.STARTING);
    targetNode = mesh.add("b", 2, Optional.of(relay));
    assertThat(mesh.get(entry, "/first").statusCode(), is(200));
  }

  @AfterEach
  void close() {
    answersAllowed.countDown();
    mesh.close();
    relay.close();
  }

  private void holdRequests(CallMesh.Node node) {
    node.target()
        .setBehaviour(
            exchange -> {
              requestRunning.countDown();
              answersAllowed.await();
              ScriptedTarget.answer(exchange, 200, "booked");
            });
  }

  private long failures() {
    return mesh.outcomes().stream()
        .filter(outcome -> outcome.result() == CallOutcome.Result.FAILURE)
        .count();
  }

  private CompletableFuture<HttpResponse<String>> bookInBackground() {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return mesh.post(entry, "/book", "crane 1");
          } catch (Exception failed) {
            throw new IllegalStateException(failed);
          }
        });
  }

  @Nested
  class DueToSilence {

    @Test
    void deliversAnswerOfSingleRunOnNewConnection() throws Exception {
      holdRequests(targetNode);
      final CompletableFuture<HttpResponse<String>> booking = bookInBackground();
      requestRunning.await();
      relay.silenceOpenConnections();
      answersAllowed.countDown();

      HttpResponse<String> answer = booking.get();

      assertThat(answer.body(), is("booked"));
      assertThat(targetNode.target().runs(), is(2));
      assertThat(relay.connections(), greaterThan(1));
    }

    @Test
    void retriesRequestThatNeverArrived() throws Exception {
      relay.silenceOpenConnections();

      HttpResponse<String> answer = mesh.post(entry, "/book", "crane 1");

      assertThat(answer.body(), is("ok"));
      assertThat(targetNode.target().runs(), is(2));
    }

    @Test
    void doesNotCountAgainstTarget() throws Exception {
      for (int i = 0; i < 3; i++) {
        relay.silenceOpenConnections();
        assertThat(mesh.get(entry, "/stock").statusCode(), is(200));
      }

      assertThat(
          entry.path().explain("", "/stock", "GET", java.util.Map.of()).target().isPresent(),
          is(true));
      assertThat(failures(), is(0L));
    }
  }

  @Nested
  class DueToClosing {

    @Test
    void deliversAnswerOfSingleRunOnNewConnection() throws Exception {
      holdRequests(targetNode);
      final CompletableFuture<HttpResponse<String>> booking = bookInBackground();
      requestRunning.await();
      relay.closeOpenConnections();
      answersAllowed.countDown();

      assertThat(booking.get().body(), is("booked"));
      assertThat(targetNode.target().runs(), is(2));
    }
  }

  @Nested
  class DueToCrashOfTargetNode {

    @Test
    void reportsNonIdempotentRequestAsUnknownWithoutRetry() throws Exception {
      final CallMesh.Node other = mesh.add("c", 2);
      other.announce(Member.Phase.STARTING);
      holdRequests(targetNode);
      final CompletableFuture<HttpResponse<String>> booking = bookInBackground();
      requestRunning.await();
      other.announce(Member.Phase.SERVING);
      relay.close();
      targetNode.path().close();

      HttpResponse<String> answer = booking.get();

      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(other.target().runs(), is(0));
      assertThat(failures(), is(1L));
    }

    @Test
    void retriesIdempotentRequestsElsewhere() throws Exception {
      final CallMesh.Node other = mesh.add("c", 2);
      relay.close();
      targetNode.path().close();

      for (int i = 0; i < 10; i++) {
        assertThat(mesh.get(entry, "/stock").statusCode(), is(200));
      }

      assertThat(targetNode.target().runs(), lessThanOrEqualTo(1));
      assertThat(other.target().runs(), is(10));
    }
  }

  @Nested
  class DueToPauseOfTargetNode {

    @Test
    void reportsNonIdempotentRequestAsUnknownAndRetriesIdempotentOne() throws Exception {
      relay.silenceAllConnections();
      final HttpResponse<String> booking = mesh.post(entry, "/book", "crane 1");
      final CallMesh.Node other = mesh.add("c", 2);
      HttpResponse<String> reading = mesh.get(entry, "/stock");

      assertThat(CallMesh.outcome(booking), is("unknown"));
      assertThat(reading.statusCode(), is(200));
      assertThat(other.target().runs(), is(1));
      assertThat(targetNode.target().runs(), is(1));
    }
  }
}
