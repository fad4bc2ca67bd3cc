package org.cuminlatch.core.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The routes of calls that the local target makes")
class NestedRoutesTests {

  private final NestedRoutes routes = new NestedRoutes();

  private void observe(int requests, double matches) {
    for (int i = 0; i < requests; i++) {
      routes.observe("route", (int) ((i + 1) * matches) > (int) (i * matches));
    }
  }

  @Nested
  class WhenTheirDeadlinesMatchThoseOfRunningRequests {

    @Test
    void areRecognizedAfterSomeRequests() {
      observe(NestedRoutes.MIN_REQUESTS - 1, 1);
      assertThat(routes.isNested("route"), is(false));

      observe(1, 1);
      assertThat(routes.isNested("route"), is(true));
    }

    /** Some calls have a shorter timeout of their own, and some are delayed. */
    @Test
    void areRecognizedIfSomeDoNotMatch() {
      observe(200, 0.8);

      assertThat(routes.isNested("route"), is(true));
    }
  }

  /** The requests of clients must not be taken for calls of the target, which would go first. */
  @Nested
  class WhenTheirDeadlinesMatchByChance {

    @Test
    void areNotTakenForCalls() {
      observe(200, 0.25);

      assertThat(routes.isNested("route"), is(false));
    }
  }

  @Test
  void areNotKnownAtFirst() {
    assertThat(routes.isNested("route"), is(false));
  }
}
