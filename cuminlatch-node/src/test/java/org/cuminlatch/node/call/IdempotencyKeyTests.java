package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.retry.IdempotencyTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("A request with an Idempotency-Key")
class IdempotencyKeyTests {

  private static final Duration WHILE = Duration.ofSeconds(10);
  private static final long VERSION_7 = 0x7000;
  private static final long VARIANT = 0x8000000000000000L;

  private final CallMesh mesh = new CallMesh();
  private final CallMesh.Node one = mesh.add("one", 4);
  private final CallMesh.Node two = mesh.add("two", 4);

  @AfterEach
  void close() {
    mesh.close();
  }

  private String newKey() {
    long millis = mesh.now().toEpochMilli();
    return new UUID((millis << 16) | VERSION_7, VARIANT | millis).toString();
  }

  private HttpResponse<String> book(CallMesh.Node entry, String key)
      throws IOException, InterruptedException {
    return mesh.send(
        HttpRequest.newBuilder(entry.uri("/book"))
            .header("Idempotency-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("crane 1")));
  }

  private int runs() {
    return one.target().runs() + two.target().runs();
  }

  @Nested
  class MadeAfterItsOwnerBegan {

    private String key;

    @BeforeEach
    void makeKey() throws Exception {
      for (int i = 0; i < 16; i++) {
        book(one, "known-to-both-" + i);
      }
      mesh.advance(WHILE);
      key = newKey();
    }

    @Test
    void runsOnceAndGivesTheSameAnswerByWhicheverNode() throws Exception {
      HttpResponse<String> first = book(one, key);
      HttpResponse<String> second = book(two, key);
      HttpResponse<String> third = book(one, key);

      assertThat(first.statusCode(), is(200));
      assertThat(second.body(), is(first.body()));
      assertThat(third.body(), is(first.body()));
      assertThat(runs(), is(1));
    }

    @Test
    void staysUnknownAfterAnUnknownOutcome() throws Exception {
      for (CallMesh.Node node : new CallMesh.Node[] {one, two}) {
        node.target()
            .behave(
                exchange -> {
                  throw new IOException("broken");
                });
      }
      book(one, key);

      HttpResponse<String> again = book(two, key);

      assertThat(CallMesh.outcome(again), is("unknown"));
      assertThat(CallMesh.reason(again), is("key-seen"));
      assertThat(runs(), is(1));
    }

    @Test
    void isNotRunAgainByAnotherOwnerThatCannotKnow() throws Exception {
      final HttpResponse<String> first = book(one, key);
      CallMesh.Node owner = one.target().runs() == 1 ? one : two;
      final CallMesh.Node other = owner == one ? two : one;
      mesh.advance(WHILE);
      owner.announce(Member.Phase.LEFT);

      final HttpResponse<String> again = book(other, key);
      mesh.advance(WHILE);
      final HttpResponse<String> fresh = book(other, newKey());

      assertThat(first.statusCode(), is(200));
      assertThat(CallMesh.reason(again), is("key-in-doubt"));
      assertThat(CallMesh.outcome(again), is("unknown"));
      assertThat(fresh.statusCode(), is(200));
      assertThat(other.target().runs(), is(1));
    }
  }

  @Nested
  class OfUnknownAge {

    @Test
    void isInDoubtWhileItsOwnerIsNew() throws Exception {
      HttpResponse<String> answer = book(one, "order-4711");

      assertThat(answer.statusCode(), is(502));
      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(CallMesh.reason(answer), is("key-in-doubt"));
      assertThat(runs(), is(0));
    }

    @Test
    void runsOnceItsOwnerHasBeenThereForLong() throws Exception {
      book(one, "order-4710");
      mesh.advance(IdempotencyTable.RETENTION.plus(WHILE));

      book(one, "order-4711");
      HttpResponse<String> again = book(two, "order-4711");

      assertThat(again.body(), is("ok"));
      assertThat(runs(), is(1));
    }
  }
}
