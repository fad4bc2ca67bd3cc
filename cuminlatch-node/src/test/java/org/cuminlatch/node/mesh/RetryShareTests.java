package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The share of retries")
class RetryShareTests {

  /** Retries per request that operators usually allow for a service, across all nodes. */
  private static final double MAX_RETRIES_PER_REQUEST = 0.2;

  /** Nested calls: that of a caller, that of its target, and that of the target after it. */
  private static final int CALL_LEVELS = 3;

  /** A retried execution makes its own calls again, and each of these may be retried as well. */
  @Test
  void staysBelowTheLimitAtTheLastOfThreeCallLevels() {
    double executions = Math.pow(1 + EntryHandler.RETRY_SHARE, CALL_LEVELS);

    assertThat(executions - 1, lessThan(MAX_RETRIES_PER_REQUEST));
  }
}
