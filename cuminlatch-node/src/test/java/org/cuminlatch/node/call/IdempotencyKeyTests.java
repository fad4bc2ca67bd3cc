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

  private static final Duration CLOCK_ADVANCE = Duration.ofSeconds(10);
  private static final long VERSION_7 = 0x7000;
  private static final long VARIANT = 0x8000000000000000L;

  private final CallMesh mesh = new CallMesh();
  private final CallMesh.Node firstNode = mesh.add("one", 4);
  private final CallMesh.Node secondNode = mesh.add("two", 4);

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
    return firstNode.target().runs() + secondNode.target().runs();
  }

  @Nested
  class GeneratedAfterItsOwnerStarted {

    private String key;

    @BeforeEach
    void generateKey() throws Exception {
      for (int i = 0; i < 16; i++) {
        book(firstNode, "known-to-both-" + i);
      }
      mesh.advance(CLOCK_ADVANCE);
      key = newKey();
    }

    @Test
    void runsOnceAndGetsSameAnswerFromEachEntryNode() throws Exception {
      HttpResponse<String> first = book(firstNode, key);
      HttpResponse<String> second = book(secondNode, key);
      HttpResponse<String> third = book(firstNode, key);

      assertThat(first.statusCode(), is(200));
      assertThat(second.body(), is(first.body()));
      assertThat(third.body(), is(first.body()));
      assertThat(runs(), is(1));
    }

    @Test
    void isNotRunAgainAfterUnknownOutcome() throws Exception {
      for (CallMesh.Node node : new CallMesh.Node[] {firstNode, secondNode}) {
        node.target()
            .setBehaviour(
                exchange -> {
                  throw new IOException("broken");
                });
      }
      book(firstNode, key);

      HttpResponse<String> again = book(secondNode, key);

      assertThat(CallMesh.outcome(again), is("unknown"));
      assertThat(CallMesh.reason(again), is("key-seen"));
      assertThat(runs(), is(1));
    }

    @Test
    void isNotRunAgainByNewOwnerWithoutRecordOfIt() throws Exception {
      final HttpResponse<String> first = book(firstNode, key);
      CallMesh.Node owner = firstNode.target().runs() == 1 ? firstNode : secondNode;
      final CallMesh.Node other = owner == firstNode ? secondNode : firstNode;
      mesh.advance(CLOCK_ADVANCE);
      owner.announce(Member.Phase.LEFT);

      final HttpResponse<String> again = book(other, key);
      mesh.advance(CLOCK_ADVANCE);
      final HttpResponse<String> withNewKey = book(other, newKey());

      assertThat(first.statusCode(), is(200));
      assertThat(CallMesh.reason(again), is("key-in-doubt"));
      assertThat(CallMesh.outcome(again), is("unknown"));
      assertThat(withNewKey.statusCode(), is(200));
      assertThat(other.target().runs(), is(1));
    }
  }

  @Nested
  class OfUnknownAge {

    @Test
    void isNotRunWhileItsOwnerIsNew() throws Exception {
      HttpResponse<String> answer = book(firstNode, "order-4711");

      assertThat(answer.statusCode(), is(502));
      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(CallMesh.reason(answer), is("key-in-doubt"));
      assertThat(runs(), is(0));
    }

    @Test
    void runsOnceIfItsOwnerHasOwnedItForRetentionTime() throws Exception {
      book(firstNode, "order-4710");
      mesh.advance(IdempotencyTable.RETENTION.plus(CLOCK_ADVANCE));

      book(firstNode, "order-4711");
      HttpResponse<String> again = book(secondNode, "order-4711");

      assertThat(again.body(), is("ok"));
      assertThat(runs(), is(1));
    }
  }
}
