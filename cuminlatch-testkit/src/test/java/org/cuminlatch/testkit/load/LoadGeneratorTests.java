package org.cuminlatch.testkit.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.cuminlatch.testkit.http.Query;
import org.cuminlatch.testkit.target.Behaviour;
import org.cuminlatch.testkit.target.Target;
import org.cuminlatch.testkit.target.TargetOptions;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Load generator")
class LoadGeneratorTests {

  private static final TargetOptions MANY_SLOTS =
      new TargetOptions(0, 100, Duration.ofMillis(1), Duration.ZERO, "v1");

  private static LoadOptions options(Target target, String path) {
    return new LoadOptions(
        List.of("127.0.0.1:" + target.port()),
        List.of(path),
        200,
        Duration.ofMillis(250),
        Duration.ofSeconds(10),
        0.5,
        20,
        "t",
        1);
  }

  @Test
  void countsCompleteAnswersToTheirOwnRequestsAsOk() throws Exception {
    try (Target target = Target.start(MANY_SLOTS)) {
      List<Observation> observations = LoadGenerator.run(options(target, "/bytes/5000"));
      LoadSummary summary = LoadSummary.of(observations);
      assertThat(summary.sent(), is(50L));
      assertThat(summary.ok(), is(50L));
      assertThat(summary.p99Micros(), greaterThan(0L));
      Map<String, Integer> executions = TargetExecutions.of(List.of("127.0.0.1:" + target.port()));
      assertThat(Audit.of(observations, executions).hasNoViolations(), is(true));
    }
  }

  @Test
  void distinguishesFailuresFromLostAnswers() {
    try (Target target = Target.start(MANY_SLOTS)) {
      target.setBehaviour(Behaviour.of(Query.parse("failShare=1")));
      assertThat(LoadSummary.of(LoadGenerator.run(options(target, "/"))).other(), is(50L));
      target.setBehaviour(Behaviour.of(Query.parse("cutShare=1")));
      assertThat(LoadSummary.of(LoadGenerator.run(options(target, "/"))).unknown(), is(50L));
    }
  }

  @Nested
  class AuditOfObservations {

    private Observation observation(boolean idempotent, Outcome outcome) {
      return new Observation("r", idempotent, outcome, 0, "", Duration.ZERO, Duration.ZERO);
    }

    private Audit audit(Observation observation, int executions) {
      return Audit.of(List.of(observation), Map.of("r", executions));
    }

    @Test
    void findsNonIdempotentRequestExecutedTwice() {
      assertThat(audit(observation(false, Outcome.UNKNOWN), 2).repeated(), hasSize(1));
      assertThat(audit(observation(true, Outcome.UNKNOWN), 2).repeated(), empty());
    }

    @Test
    void findsExecutedRequestReportedAsNotRun() {
      assertThat(audit(observation(true, Outcome.NOT_RUN), 1).falselyNotRun(), hasSize(1));
      assertThat(audit(observation(true, Outcome.NOT_RUN), 0).hasNoViolations(), is(true));
    }

    @Test
    void findsAnswersWithoutExecutionAndWrongAnswers() {
      assertThat(audit(observation(true, Outcome.OK), 0).unranAnswers(), hasSize(1));
      assertThat(audit(observation(true, Outcome.WRONG_ANSWER), 1).wrongAnswers(), hasSize(1));
    }
  }
}
