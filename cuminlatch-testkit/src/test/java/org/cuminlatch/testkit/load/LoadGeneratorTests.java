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

@DisplayName("The load generator")
class LoadGeneratorTests {

  private static final TargetOptions MANY_SLOTS =
      new TargetOptions(0, 100, Duration.ofMillis(1), Duration.ZERO, "v1");

  private static LoadOptions load(Target target, String path) {
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
  void recognisesWholeAnswersToItsOwnRequests() throws Exception {
    try (Target target = Target.start(MANY_SLOTS)) {
      List<Observation> seen = LoadGenerator.run(load(target, "/bytes/5000"));
      LoadSummary summary = LoadSummary.of(seen);
      assertThat(summary.sent(), is(50L));
      assertThat(summary.ok(), is(50L));
      assertThat(summary.p99Micros(), greaterThan(0L));
      Map<String, Integer> runs = TargetRuns.of(List.of("127.0.0.1:" + target.port()));
      assertThat(Audit.of(seen, runs).clean(), is(true));
    }
  }

  @Test
  void tellsFailuresAndLostAnswersApart() {
    try (Target target = Target.start(MANY_SLOTS)) {
      target.behave(Behaviour.of(Query.parse("failShare=1")));
      assertThat(LoadSummary.of(LoadGenerator.run(load(target, "/"))).other(), is(50L));
      target.behave(Behaviour.of(Query.parse("cutShare=1")));
      assertThat(LoadSummary.of(LoadGenerator.run(load(target, "/"))).unknown(), is(50L));
    }
  }

  @Nested
  class AnAudit {

    private Observation seen(boolean idempotent, Outcome outcome) {
      return new Observation("r", idempotent, outcome, 0, "", Duration.ZERO, Duration.ZERO);
    }

    private Audit audit(Observation seen, int runs) {
      return Audit.of(List.of(seen), Map.of("r", runs));
    }

    @Test
    void findsRequestsThatRanTwiceAlthoughNotRepeatable() {
      assertThat(audit(seen(false, Outcome.UNKNOWN), 2).repeated(), hasSize(1));
      assertThat(audit(seen(true, Outcome.UNKNOWN), 2).repeated(), empty());
    }

    @Test
    void findsAnUntrueNotRun() {
      assertThat(audit(seen(true, Outcome.NOT_RUN), 1).falselyNotRun(), hasSize(1));
      assertThat(audit(seen(true, Outcome.NOT_RUN), 0).clean(), is(true));
    }

    @Test
    void findsAnswersThatNoTargetGave() {
      assertThat(audit(seen(true, Outcome.OK), 0).unranAnswers(), hasSize(1));
      assertThat(audit(seen(true, Outcome.WRONG_ANSWER), 1).wrongAnswers(), hasSize(1));
    }
  }
}
