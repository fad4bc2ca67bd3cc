package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The gate of a target whose answer says that it leaves")
class TargetLeavingTests {

  private GateFixture fixture;

  @BeforeEach
  void answerOnceWithLeaving() throws InterruptedException {
    fixture = new GateFixture(1);
    fixture.setTarget(
        exchange -> GateFixture.answer(exchange, 200, Map.of(GateFixture.HEADERS.leaving(), "1")));
    fixture.onLoop(
        () -> {
          fixture.begin(1);
          fixture.begin(2);
        });
    fixture.awaitFrame(1, KindCase.ANSWER);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private RefusalReason awaitRefusal(int number) {
    return fixture.awaitFrame(number, KindCase.REFUSAL).getRefusal().getReason();
  }

  @Test
  void refusesWaitingAndNewAttempts() throws InterruptedException {
    fixture.onLoop(() -> fixture.begin(3));

    assertThat(awaitRefusal(2), is(RefusalReason.DRAINING));
    assertThat(awaitRefusal(3), is(RefusalReason.DRAINING));
    assertThat(fixture.received(), contains("1"));
  }

  @Test
  void staysClosedWhenTheSameStartReportsThatItIsReady() throws InterruptedException {
    fixture.reportReady(1000, 2);
    fixture.onLoop(() -> fixture.begin(3));

    assertThat(awaitRefusal(3), is(RefusalReason.DRAINING));
  }

  @Test
  void opensForTheNextStart() throws InterruptedException {
    fixture.reportReady(2000, 1);
    fixture.onLoop(() -> fixture.begin(3));

    fixture.awaitFrame(3, KindCase.ANSWER);
  }
}
