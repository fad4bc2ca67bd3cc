package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import java.util.OptionalDouble;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The gate of a target that names a request limit")
class TargetLimitTests {

  private GateFixture fixture;

  @BeforeEach
  void open() throws InterruptedException {
    fixture = new GateFixture(4);
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
  void ignoresLimitThatIsNoNumber() throws InterruptedException {
    answerNextWith(1, Map.of("Limit", "25.5"));
    answerNextWith(2, Map.of("Limit", "many"));

    assertThat(fixture.gate().limitPerSecond(), is(OptionalDouble.of(25.5)));
  }
}
