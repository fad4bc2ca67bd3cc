package org.cuminlatch.testkit.observe;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("Configuration checker")
class ConfigurationCheckerTests {

  private final ConfigurationChecker checker = new ConfigurationChecker();

  private static NodeSample sample(String instance, long seconds, long version, String hash) {
    return new NodeSample(instance, Duration.ofSeconds(seconds), true, version, hash, 0);
  }

  @Nested
  class WithoutViolations {

    @Test
    void measuresTimeUntilVersionReachesAllNodes() {
      checker.checkRound(List.of(sample("a", 1, 5, "x"), sample("b", 1, 5, "x")));
      checker.checkRound(List.of(sample("a", 2, 6, "y"), sample("b", 2, 5, "x")));
      checker.checkRound(List.of(sample("a", 4, 6, "y"), sample("b", 4, 6, "y")));

      assertThat(checker.violations(), empty());
      assertThat(checker.unsettledVersions(), is(0));
      assertThat(checker.convergenceTimes(), contains(Duration.ZERO, Duration.ofSeconds(2)));
    }

    @Test
    void ignoresNodesThatAreNotReady() {
      checker.checkRound(List.of(sample("a", 1, 5, "x")));
      checker.checkRound(List.of(new NodeSample("a", Duration.ofSeconds(2), false, 0, "", 0)));

      assertThat(checker.violations(), empty());
      assertThat(checker.samples(), is(1L));
    }
  }

  @Nested
  class WithViolations {

    @Test
    void reportsNodeWhoseVersionDecreases() {
      checker.checkRound(List.of(sample("a", 1, 5, "x")));
      checker.checkRound(List.of(sample("a", 2, 4, "w")));

      assertThat(checker.violations(), contains(containsString("a reverted from version 5")));
    }

    @Test
    void reportsDifferentStatesAtSameVersion() {
      checker.checkRound(List.of(sample("a", 1, 5, "x"), sample("b", 1, 5, "z")));

      assertThat(
          checker.violations(),
          contains(containsString("b has a different state at the same version")));
    }

    @Test
    void reportsRoutesWhoseServiceIsMissing() {
      checker.checkRound(List.of(new NodeSample("a", Duration.ZERO, true, 1, "x", 2)));

      assertThat(checker.violations(), contains(containsString("routes whose service is missing")));
    }

    @Test
    void countsVersionsThatHaveNotReachedEveryNode() {
      checker.checkRound(List.of(sample("a", 1, 6, "y"), sample("b", 1, 5, "x")));

      assertThat(checker.unsettledVersions(), is(1));
    }
  }
}
