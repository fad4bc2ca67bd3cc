package org.cuminlatch.node.call;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.call.CallChannel;
import org.cuminlatch.wire.call.CallFrameHandler;
import org.cuminlatch.wire.call.CallFrames;
import org.cuminlatch.wire.call.CallTransport;
import org.cuminlatch.wire.proto.call.Begin;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.Cancel;
import org.cuminlatch.wire.proto.call.Rejoin;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Attempts are identified by their id")
class AttemptIdentityTests {

  private static final AttemptId ID = new AttemptId(7, 11);
  private static final long TEN_SECONDS_MICROS = 10_000_000;

  private final CallMesh mesh = new CallMesh();

  @AfterEach
  void close() {
    mesh.close();
  }

  @Nested
  class WhenTargetReturnsAnswerOfAnotherAttempt {

    @Test
    void callerDoesNotGetThatAnswer() throws Exception {
      CallMesh.Node node = mesh.add("a", 2);
      node.target()
          .setBehaviour(
              exchange -> {
                String own = exchange.getRequestHeaders().getFirst(CallHeaders.ATTEMPT);
                String other = "0" + own.substring(1, 32).replace('a', 'b') + own.substring(32);
                exchange
                    .getResponseHeaders()
                    .set(CallHeaders.ATTEMPT, own.equals(other) ? "f" + own.substring(1) : other);
                ScriptedTarget.answer(exchange, 200, "somebody else's booking");
              });

      HttpResponse<String> answer = mesh.post(node, "/book", "crane 1");

      assertThat(answer.statusCode(), is(502));
      assertThat(CallMesh.outcome(answer), is("unknown"));
      assertThat(CallMesh.reason(answer), is("answer-crossed"));
      assertThat(answer.body(), not(is("somebody else's booking")));
    }
  }

  @Nested
  class WhenAnswerIsLate {

    @Test
    void nextCallerGetsItsOwnAnswer() throws Exception {
      mesh.routes(
          Route.of("all", "/", CallMesh.SERVICE)
              .withLimits(CallMesh.limits(Duration.ofMillis(300), 1)));
      CallMesh.Node entry = mesh.add("a", 1);
      entry.announce(org.cuminlatch.core.membership.Member.Phase.STARTING);
      CallMesh.Node targetNode = mesh.add("b", 1);
      CountDownLatch answersAllowed = new CountDownLatch(1);
      targetNode
          .target()
          .setBehaviour(
              exchange -> {
                String path = exchange.getRequestURI().getPath();
                if (path.equals("/late")) {
                  answersAllowed.await();
                }
                ScriptedTarget.answer(exchange, 200, path);
              });

      HttpResponse<String> late = mesh.post(entry, "/late", "x");
      answersAllowed.countDown();
      HttpResponse<String> next = mesh.post(entry, "/next", "x");

      assertThat(late.statusCode(), is(504));
      assertThat(CallMesh.outcome(late), is("unknown"));
      assertThat(next.body(), is("/next"));
    }
  }

  @Nested
  class AtTargetNode {

    private final BlockingQueue<CallFrame> answers = new LinkedBlockingQueue<>();
    private final CallTransport transport = CallTransport.start(1);
    private final CallMesh.Node node = mesh.add("a", 1);

    @AfterEach
    void closeTransport() {
      transport.close();
    }

    @Test
    void repeatedBeginFrameRunsAttemptOnce() throws Exception {
      CallChannel channel = connect();

      channel.send(begin());
      channel.send(begin());
      CallFrame answer = next();
      channel.send(begin());
      channel.send(CallFrames.of(ID).setRejoin(Rejoin.getDefaultInstance()).build());
      CallFrame again = next();

      assertThat(answer.getAnswer().getStatus(), is(200));
      assertThat(again, is(answer));
      assertThat(node.target().runs(), is(1));
    }

    @Test
    void attemptCancelledBeforeItArrivesIsNotRun() throws Exception {
      CallChannel channel = connect();

      channel.send(CallFrames.of(ID).setCancel(Cancel.getDefaultInstance()).build());
      CallFrame cancelled = next();
      channel.send(begin());
      channel.send(CallFrames.of(ID).setRejoin(Rejoin.getDefaultInstance()).build());
      CallFrame after = next();

      assertThat(cancelled.getCancelled().getNotRun(), is(true));
      assertThat(after.getCancelled().getNotRun(), is(true));
      assertThat(node.target().runs(), is(0));
    }

    @Test
    void attemptFromBeforeNodeStartIsNotReportedAsNotRun() throws Exception {
      CallChannel channel = connect();
      Cancel old = Cancel.newBuilder().setAgeMicros(3_600_000_000L).build();

      channel.send(CallFrames.of(ID).setCancel(old).build());

      assertThat(next().getCancelled().getNotRun(), is(false));
    }

    @Test
    void cancelledRunningAttemptIsNotReportedAsNotRun() throws Exception {
      CountDownLatch requestRunning = new CountDownLatch(1);
      CountDownLatch answersAllowed = new CountDownLatch(1);
      node.target()
          .setBehaviour(
              exchange -> {
                requestRunning.countDown();
                answersAllowed.await();
              });
      CallChannel channel = connect();

      channel.send(begin());
      requestRunning.await();
      channel.send(CallFrames.of(ID).setCancel(Cancel.getDefaultInstance()).build());

      assertThat(next().getCancelled().getNotRun(), is(false));
    }

    private CallChannel connect() throws Exception {
      int port = node.path().forwardAddress().getPort();
      CallFrameHandler collect =
          new CallFrameHandler() {
            @Override
            public void onFrame(CallChannel channel, CallFrame frame) {
              answers.add(frame);
            }

            @Override
            public void onClosed(CallChannel channel) {}
          };
      return transport
          .connect(new Address("127.0.0.1", port), Duration.ofSeconds(5), collect)
          .get(5, TimeUnit.SECONDS);
    }

    private CallFrame begin() {
      Begin begin =
          Begin.newBuilder()
              .setRoute("all")
              .setService(CallMesh.SERVICE)
              .setTargetVersion(CallMesh.VERSION)
              .setMethod("POST")
              .setPath("/book")
              .setDeadlineMicros(TEN_SECONDS_MICROS)
              .setBodyComplete(true)
              .setCredit(65_536)
              .build();
      return CallFrames.of(ID).setBegin(begin).build();
    }

    private CallFrame next() throws InterruptedException {
      CallFrame frame = answers.poll(20, TimeUnit.SECONDS);
      assertThat("a frame arrives", frame != null, is(true));
      return frame;
    }
  }
}
