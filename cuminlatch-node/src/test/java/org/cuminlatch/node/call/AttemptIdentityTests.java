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

@DisplayName("Attempts are matched by their identity")
class AttemptIdentityTests {

  private static final AttemptId ID = new AttemptId(7, 11);
  private static final long LONG_MICROS = 10_000_000;

  private final CallMesh mesh = new CallMesh();

  @AfterEach
  void close() {
    mesh.close();
  }

  @Nested
  class WhenTheTargetCrossesAnswers {

    @Test
    void noCallerGetsTheAnswerOfAnother() throws Exception {
      CallMesh.Node node = mesh.add("a", 2);
      node.target()
          .behave(
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
  class WhenAnAnswerIsLate {

    @Test
    void theNextCallerGetsItsOwnAnswer() throws Exception {
      mesh.routes(
          Route.of("all", "/", CallMesh.SERVICE)
              .withLimits(CallMesh.limits(Duration.ofMillis(300), 1)));
      CallMesh.Node entry = mesh.add("a", 1);
      entry.announce(org.cuminlatch.core.membership.Member.Phase.STARTING);
      CallMesh.Node beside = mesh.add("b", 1);
      CountDownLatch hold = new CountDownLatch(1);
      beside
          .target()
          .behave(
              exchange -> {
                String path = exchange.getRequestURI().getPath();
                if (path.equals("/late")) {
                  hold.await();
                }
                ScriptedTarget.answer(exchange, 200, path);
              });

      HttpResponse<String> late = mesh.post(entry, "/late", "x");
      hold.countDown();
      HttpResponse<String> next = mesh.post(entry, "/next", "x");

      assertThat(late.statusCode(), is(504));
      assertThat(CallMesh.outcome(late), is("unknown"));
      assertThat(next.body(), is("/next"));
    }
  }

  @Nested
  class AtTheNodeBesideTheTarget {

    private final BlockingQueue<CallFrame> answers = new LinkedBlockingQueue<>();
    private final CallTransport transport = CallTransport.start(1);
    private final CallMesh.Node node = mesh.add("a", 1);

    @AfterEach
    void closeTransport() {
      transport.close();
    }

    @Test
    void beginningDeliveredTwiceRunsOnce() throws Exception {
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
    void attemptWithdrawnBeforeItArrivesIsNeverRun() throws Exception {
      CallChannel channel = connect();

      channel.send(CallFrames.of(ID).setCancel(Cancel.getDefaultInstance()).build());
      CallFrame withdrawn = next();
      channel.send(begin());
      channel.send(CallFrames.of(ID).setRejoin(Rejoin.getDefaultInstance()).build());
      CallFrame after = next();

      assertThat(withdrawn.getCancelled().getNotRun(), is(true));
      assertThat(after.getCancelled().getNotRun(), is(true));
      assertThat(node.target().runs(), is(0));
    }

    @Test
    void attemptFromBeforeTheNodesStartIsNotSaidToBeNotRun() throws Exception {
      CallChannel channel = connect();
      Cancel old = Cancel.newBuilder().setAgeMicros(3_600_000_000L).build();

      channel.send(CallFrames.of(ID).setCancel(old).build());

      assertThat(next().getCancelled().getNotRun(), is(false));
    }

    @Test
    void cancelledRunIsNotSaidToBeNotRun() throws Exception {
      CountDownLatch running = new CountDownLatch(1);
      CountDownLatch hold = new CountDownLatch(1);
      node.target()
          .behave(
              exchange -> {
                running.countDown();
                hold.await();
              });
      CallChannel channel = connect();

      channel.send(begin());
      running.await();
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
              .setDeadlineMicros(LONG_MICROS)
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
