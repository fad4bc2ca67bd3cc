package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The gate of a node that stops")
class StoppingGateTests {

  private GateFixture fixture;

  @BeforeEach
  void open() throws InterruptedException {
    fixture = new GateFixture(1);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void refusesAttemptOfAnotherNodeThatMayOutlastTheStop() throws InterruptedException {
    fixture.announceStop(Duration.ofSeconds(5));

    fixture.onLoop(() -> fixture.begin(1));

    assertThat(
        fixture.awaitFrame(1, KindCase.REFUSAL).getRefusal().getReason(),
        is(RefusalReason.DRAINING));
    assertThat(fixture.received(), empty());
  }

  @Test
  void passesOnAttemptThatEndsBefore() throws InterruptedException {
    fixture.announceStop(Duration.ofMinutes(5));

    fixture.onLoop(() -> fixture.begin(1));

    fixture.awaitFrame(1, KindCase.ANSWER);
    assertThat(fixture.received(), contains("1"));
  }
}
