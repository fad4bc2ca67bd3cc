package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Map;
import java.util.OptionalDouble;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The gate of a target that names a request limit")
class TargetLimitTests {

  /** Requests that may be sent at once after a pause, at 20 per second. */
  private static final int MAX_BURST = 5;

  private static final int MAX_BEFORE_ANSWER = 4;

  private GateFixture fixture;

  @BeforeEach
  void open() throws InterruptedException {
    fixture = new GateFixture(10);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void answerNextWith(int number, Map<String, String> headers) throws InterruptedException {
    fixture.setTarget(exchange -> GateFixture.answer(exchange, 200, headers));
    fixture.onLoop(() -> fixture.begin(number));
    fixture.awaitFrame(number, KindCase.ANSWER);
  }

  @Test
  void reportsTheLimitForAsLongAsAnswersNameIt() throws InterruptedException {
    answerNextWith(1, Map.of("Limit", "25.5"));
    assertThat(fixture.gate().limitPerSecond(), is(OptionalDouble.of(25.5)));

    answerNextWith(2, Map.of());
    assertThat(fixture.gate().limitPerSecond(), is(OptionalDouble.empty()));
  }

  @Test
  void sendsNoMoreThanTheLimitToTarget() throws InterruptedException {
    final long limitedAt = System.nanoTime();
    answerNextWith(1, Map.of("Limit", "20"));
    fixture.onLoop(() -> beginAll(2, 31));

    int received = 0;
    while (received < 31) {
      received = fixture.received().size();
      double seconds = (System.nanoTime() - limitedAt) / 1e9;
      assertThat((double) received, lessThanOrEqualTo(1 + 20 * seconds + MAX_BURST));
    }
  }

  @Test
  void sendsAllAtOnceWhenTheLimitHasEnded() throws InterruptedException {
    answerNextWith(1, Map.of("Limit", "1"));
    answerNextWith(2, Map.of());
    fixture.setTarget(exchange -> {});
    fixture.onLoop(() -> beginAll(3, 6));

    GateFixture.await(() -> fixture.received().size() == 6);
  }

  @Test
  void sendsFewRequestsBeforeTheFirstAnswerShowsWhetherThereIsOne() throws InterruptedException {
    fixture.setTarget(exchange -> {});
    fixture.onLoop(() -> beginAll(1, 20));
    GateFixture.await(() -> fixture.received().size() == MAX_BEFORE_ANSWER);

    assertThat(fixture.gate().running(), is(MAX_BEFORE_ANSWER));
  }

  /** Guards against a restarted gate that sends as many requests as the target has slots. */
  @Test
  void keepsTheLimitThatAnEntryNodeKnowsUntilTheFirstAnswer() throws InterruptedException {
    fixture.setTarget(exchange -> {});
    fixture.setLimitKnownToEntry(2);
    fixture.onLoop(() -> beginAll(1, 10));
    fixture.onLoop(() -> {}); // the attempts are offered in a later task of the loop
    assertThat(fixture.gate().limitPerSecond(), is(OptionalDouble.of(2)));
    assertThat(fixture.gate().running(), is(0));
    fixture.setTarget(GateFixture::answer);
    GateFixture.await(() -> fixture.received().size() == 1);
    fixture.awaitFrame(Integer.parseInt(fixture.received().get(0)), KindCase.ANSWER);

    assertThat(fixture.gate().limitPerSecond(), is(OptionalDouble.empty()));
    GateFixture.await(() -> fixture.received().size() == 10);
  }

  private void beginAll(int first, int last) {
    for (int number = first; number <= last; number++) {
      fixture.begin(number);
    }
  }

  @Test
  void ignoresLimitThatIsNoNumber() throws InterruptedException {
    answerNextWith(1, Map.of("Limit", "25.5"));
    answerNextWith(2, Map.of("Limit", "many"));

    assertThat(fixture.gate().limitPerSecond(), is(OptionalDouble.of(25.5)));
  }
}
