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

@DisplayName("A watch over the configuration of nodes")
class ConfigurationWatchTests {

  private final ConfigurationWatch watch = new ConfigurationWatch();

  private static NodeSample sample(String instance, long seconds, long version, String hash) {
    return new NodeSample(instance, Duration.ofSeconds(seconds), true, version, hash, 0);
  }

  @Nested
  class WhenAllIsWell {

    @Test
    void measuresHowLongVersionsTakeToReachAllNodes() {
      watch.takeRound(List.of(sample("a", 1, 5, "x"), sample("b", 1, 5, "x")));
      watch.takeRound(List.of(sample("a", 2, 6, "y"), sample("b", 2, 5, "x")));
      watch.takeRound(List.of(sample("a", 4, 6, "y"), sample("b", 4, 6, "y")));

      assertThat(watch.violations(), empty());
      assertThat(watch.unsettled(), is(0));
      assertThat(watch.convergence(), contains(Duration.ZERO, Duration.ofSeconds(2)));
    }

    @Test
    void leavesOutNodesThatAreNotReady() {
      watch.takeRound(List.of(sample("a", 1, 5, "x")));
      watch.takeRound(List.of(new NodeSample("a", Duration.ofSeconds(2), false, 0, "", 0)));

      assertThat(watch.violations(), empty());
      assertThat(watch.samples(), is(1L));
    }
  }

  @Nested
  class WhenPromisesAreBroken {

    @Test
    void reportsNodesThatGoBack() {
      watch.takeRound(List.of(sample("a", 1, 5, "x")));
      watch.takeRound(List.of(sample("a", 2, 4, "w")));

      assertThat(watch.violations(), contains(containsString("a went back from version 5")));
    }

    @Test
    void reportsTwoStatesAtOneVersion() {
      watch.takeRound(List.of(sample("a", 1, 5, "x"), sample("b", 1, 5, "z")));

      assertThat(watch.violations(), contains(containsString("b differs at one version")));
    }

    @Test
    void reportsRoutesWithoutTheirService() {
      watch.takeRound(List.of(new NodeSample("a", Duration.ZERO, true, 1, "x", 2)));

      assertThat(watch.violations(), contains(containsString("routes without their service")));
    }

    @Test
    void countsVersionsThatDidNotReachEveryNode() {
      watch.takeRound(List.of(sample("a", 1, 6, "y"), sample("b", 1, 5, "x")));

      assertThat(watch.unsettled(), is(1));
    }
  }
}
