package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The share of repeats")
class RetryShareTests {

  /** Repeats per request that operators allow a service, over all nodes together. */
  private static final double ALLOWED = 0.2;

  /** Levels of calls: a caller's, one that its target makes, and one more. */
  private static final int LEVELS = 3;

  /** A repeated execution makes its calls again, and each of them may be repeated itself. */
  @Test
  void staysWithinWhatIsAllowedAtTheLastOfThreeLevels() {
    double executions = Math.pow(1 + Entry.RETRY_SHARE, LEVELS);

    assertThat(executions - 1, lessThan(ALLOWED));
  }
}
