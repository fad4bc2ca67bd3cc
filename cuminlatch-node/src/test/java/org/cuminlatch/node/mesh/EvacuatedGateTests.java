package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.CompletableFuture;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The gate of a target in an evacuated zone")
class EvacuatedGateTests {

  /** Guards against attempts that wait at the gate and reach the target once a slot is free. */
  @Test
  void refusesWaitingAndNewAttemptsAndCompletesThoseThatRun() throws Exception {
    try (GateFixture fixture = new GateFixture(1)) {
      CompletableFuture<ServerExchange> running = new CompletableFuture<>();
      fixture.setTarget(running::complete);
      fixture.onLoop(
          () -> {
            fixture.begin(1);
            fixture.begin(2);
          });
      running.join();

      fixture.onLoop(() -> fixture.gate().setEvacuated(true));
      fixture.onLoop(() -> fixture.begin(3));

      for (int number = 2; number <= 3; number++) {
        assertThat(
            fixture.awaitFrame(number, KindCase.REFUSAL).getRefusal().getReason(),
            is(RefusalReason.DRAINING));
      }
      fixture.onLoop(() -> GateFixture.answer(running.join()));
      fixture.awaitFrame(1, KindCase.ANSWER);

      fixture.setTarget(GateFixture::answer);
      fixture.onLoop(() -> fixture.gate().setEvacuated(false));
      fixture.onLoop(() -> fixture.begin(4));
      fixture.awaitFrame(4, KindCase.ANSWER);
      assertThat(fixture.received(), contains("1", "4"));
    }
  }
}
