package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Map;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

/** Guards against answers that pile up at a gate until the node has no memory left. */
@DisplayName("The gate of a target with large answers to callers that do not read")
class SlowCallerTests {

  private static final int SLOTS = 2;
  private static final int ANSWER_BYTES = 1 << 20;
  private static final int MAX_WAITING_BYTES = 16 << 20;
  private static final int ATTEMPTS = 40;
  private static final String LARGE_ROUTE = "large";
  private static final String SMALL_ROUTE = "small";

  private GateFixture fixture;

  @BeforeEach
  void open() throws InterruptedException {
    fixture = new GateFixture(SLOTS);
    fixture.setTarget(SlowCallerTests::answer);
    for (int i = 0; i < ATTEMPTS; i++) {
      begin(i, LARGE_ROUTE);
    }
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private static void answer(ServerExchange exchange) {
    boolean large = Integer.parseInt(exchange.header("id").orElseThrow()) < ATTEMPTS;
    byte[] body = new byte[large ? ANSWER_BYTES : 1];
    exchange.respond(200, List.of(Map.entry("id", exchange.header("id").orElseThrow())), body);
  }

  /** Begins an attempt without credit for its answer and waits for its end. */
  private void begin(int number, String route) throws InterruptedException {
    fixture.onLoop(() -> fixture.begin(number, true, route, 1));
    GateFixture.await(
        () ->
            fixture.find(number, KindCase.ANSWER).isPresent()
                || fixture.find(number, KindCase.REFUSAL).isPresent());
  }

  private boolean isRefused(int number) {
    return fixture
        .find(number, KindCase.REFUSAL)
        .filter(frame -> frame.getRefusal().getReason() == RefusalReason.QUEUE_FULL)
        .isPresent();
  }

  @Test
  void requestsNoMoreAnswersThanItCanHold() {
    int answersInMemory = MAX_WAITING_BYTES / ANSWER_BYTES + SLOTS;

    assertThat(fixture.received().size(), lessThanOrEqualTo(answersInMemory));
    assertThat(isRefused(ATTEMPTS - 1), is(true));
  }

  @Test
  void servesRoutesWithSmallAnswers() throws InterruptedException {
    begin(ATTEMPTS, SMALL_ROUTE);

    assertThat(fixture.find(ATTEMPTS, KindCase.ANSWER).isPresent(), is(true));
  }

  @Test
  void servesLargeAnswersAgainOnceOneHasBeenRead() throws InterruptedException {
    fixture.onLoop(() -> fixture.grantCredit(0, ANSWER_BYTES));
    fixture.onLoop(() -> fixture.grantCredit(1, ANSWER_BYTES));

    begin(ATTEMPTS + 1, LARGE_ROUTE);

    assertThat(fixture.find(ATTEMPTS + 1, KindCase.ANSWER).isPresent(), is(true));
  }
}
