package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import org.cuminlatch.node.http.ServerExchange;
import org.cuminlatch.wire.proto.call.CallFrame.KindCase;
import org.cuminlatch.wire.proto.call.RefusalReason;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to a target that has told an earlier process that it leaves. */
@DisplayName("The gate of a target that has run before the process")
class TargetCheckTests {

  private final CompletableFuture<ServerExchange> check = new CompletableFuture<>();
  private GateFixture fixture;

  @BeforeEach
  void openWithTargetThatHasReportedBefore() throws InterruptedException {
    fixture = new GateFixture(10);
    fixture.setHealthCheck(check::complete);
    fixture.reportReady(2000, 7);
  }

  @AfterEach
  void close() {
    fixture.close();
  }

  private void setHealthPath(Optional<String> path) throws InterruptedException {
    fixture.onLoop(() -> fixture.gate().setCheckPath(path));
  }

  private void answerCheck(int status, Map<String, String> headers) {
    check.join().respond(status, List.copyOf(headers.entrySet()), new byte[0]);
  }

  private RefusalReason awaitRefusal(int number) {
    return fixture.awaitFrame(number, KindCase.REFUSAL).getRefusal().getReason();
  }

  @Test
  void refusesAttemptsIfTheTargetLeaves() throws Exception {
    setHealthPath(Optional.of(GateFixture.HEALTH_PATH));
    fixture.onLoop(() -> fixture.begin(1));
    answerCheck(200, Map.of("Leaving", "1"));

    assertThat(awaitRefusal(1), is(RefusalReason.DRAINING));
    assertThat(fixture.received(), is(empty()));
  }

  @Test
  void refusesAttemptsIfAnotherTargetAnswers() throws Exception {
    setHealthPath(Optional.of(GateFixture.HEALTH_PATH));
    fixture.onLoop(() -> fixture.begin(1));
    answerCheck(421, Map.of());

    assertThat(awaitRefusal(1), is(RefusalReason.TARGET_UNREACHABLE));
    assertThat(fixture.received(), is(empty()));
  }

  @Test
  void limitsAttemptsIfTheTargetNamesLimit() throws Exception {
    fixture.setTarget(exchange -> {});
    setHealthPath(Optional.of(GateFixture.HEALTH_PATH));
    fixture.onLoop(() -> fixture.begin(1));
    answerCheck(200, Map.of("Limit", "12"));

    GateFixture.await(() -> fixture.received().size() == 1);
    assertThat(fixture.gate().limitPerSecond(), is(OptionalDouble.of(12)));
  }

  @Test
  void sendsAttemptsIfTheTargetDoesNotAnswer() throws Exception {
    setHealthPath(Optional.of(GateFixture.HEALTH_PATH));
    fixture.onLoop(() -> fixture.begin(1));

    fixture.awaitFrame(1, KindCase.ANSWER);
    assertThat(check.isDone(), is(true));
  }

  /** Guards against trusting the headers of a response whose status no target can mean. */
  @ParameterizedTest
  @ValueSource(ints = {0, 600, 999})
  void sendsAttemptsIfTheStatusIsInvalid(int status) throws Exception {
    setHealthPath(Optional.of(GateFixture.HEALTH_PATH));
    fixture.onLoop(() -> fixture.begin(1));
    answerCheck(status, Map.of("Leaving", "1"));

    fixture.awaitFrame(1, KindCase.ANSWER);
  }

  @Test
  void refusesAttemptsOfServiceWithColdTargetsUntilThePathIsKnown() throws Exception {
    fixture.onLoop(() -> fixture.beginCold(1, 12));
    assertThat(awaitRefusal(1), is(RefusalReason.NOT_SERVING));

    setHealthPath(Optional.empty());
    fixture.onLoop(() -> fixture.begin(2));

    fixture.awaitFrame(2, KindCase.ANSWER);
    assertThat(check.isDone(), is(false));
  }

  /** Guards against refusals at each restart where no target can become cold. */
  @Test
  void sendsOtherAttemptsBeforeThePathIsKnown() throws Exception {
    fixture.onLoop(() -> fixture.begin(1));

    fixture.awaitFrame(1, KindCase.ANSWER);
  }
}
