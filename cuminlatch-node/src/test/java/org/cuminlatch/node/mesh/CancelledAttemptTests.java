package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("An attempt that is cancelled in the round of the event loop in which it arrived")
class CancelledAttemptTests {

  private GateFixture fixture;

  @BeforeEach
  void openConnectionToTarget() throws InterruptedException {
    fixture = new GateFixture(4);
    fixture.onLoop(() -> fixture.begin(1));
    fixture.awaitFrame(1, KindCase.ANSWER);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void assertOnlyOthersReachTarget() throws InterruptedException {
    fixture.onLoop(() -> fixture.begin(3));
    fixture.awaitFrame(3, KindCase.ANSWER);
    assertThat(fixture.withdrawnFromTarget(), is(0L));
    assertThat(fixture.received(), contains("1", "3"));
  }

  @Test
  void isNotSentToTarget() throws InterruptedException {
    fixture.onLoop(
        () -> {
          fixture.begin(2);
          fixture.cancel(2);
        });

    assertThat(fixture.awaitFrame(2, KindCase.CANCELLED).getCancelled().getNotRun(), is(true));
    assertOnlyOthersReachTarget();
  }

  @Test
  void isNotSentToTargetIfItsConnectionIsLost() throws InterruptedException {
    fixture.onLoop(
        () -> {
          fixture.begin(2);
          fixture.replaceConnection();
        });

    assertOnlyOthersReachTarget();
  }
}
