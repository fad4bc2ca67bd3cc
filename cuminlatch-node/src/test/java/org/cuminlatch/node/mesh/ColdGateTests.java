package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Instant;
import org.cuminlatch.core.target.ColdState;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The gate of a cold target")
class ColdGateTests {

  private static final double PER_SECOND = 20;
  private static final int REQUESTS = 30;

  private GateFixture fixture;

  @BeforeEach
  void open() throws InterruptedException {
    fixture = new GateFixture(REQUESTS);
    fixture.onLoop(() -> fixture.begin(100));
    fixture.awaitFrame(100, KindCase.ANSWER);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void setCold(Instant coldUntil) throws InterruptedException {
    fixture.onLoop(() -> fixture.gate().setCold(new ColdState(PER_SECOND, coldUntil, Instant.MAX)));
  }

  private void beginAll() throws InterruptedException {
    fixture.onLoop(
        () -> {
          for (int number = 1; number <= REQUESTS; number++) {
            fixture.begin(number);
          }
        });
  }

  @Test
  void sendsWaitingRequestsAtTheRateOfTheTarget() throws InterruptedException {
    final long coldAt = System.nanoTime();
    setCold(Instant.MAX);
    beginAll();

    int received = 0;
    while (received < REQUESTS) {
      received = fixture.received().size() - 1;
      double seconds = (System.nanoTime() - coldAt) / 1e9;
      assertThat((double) received, lessThanOrEqualTo(PER_SECOND * seconds + PER_SECOND / 4));
    }
  }

  /** Guards against requests that go on waiting for permits that are no longer needed. */
  @Test
  void sendsAllThatWaitOnceTheTargetIsWarm() throws InterruptedException {
    fixture.setTarget(exchange -> {});
    setCold(Instant.MAX);
    beginAll();

    setCold(Instant.MIN);

    assertThat(fixture.gate().running(), is(REQUESTS));
    GateFixture.await(() -> fixture.received().size() == REQUESTS + 1);
    assertThat(fixture.received(), hasSize(REQUESTS + 1));
  }
}
