package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cuminlatch.core.retry.CallTreePosition;
import org.cuminlatch.core.retry.RetryBudget;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
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

  /**
   * Many nodes with few calls each: all answers of a service and of the one that it calls fail for
   * a while, after a time without failures in which all nodes have saved retries.
   */
  @Nested
  class OfFleetWithFewCallsPerNode {

    private static final int NODES = 27;
    private static final int CALLS_PER_SECOND = 110;
    private static final int DIRECT_CALLS_PER_SECOND = 41;
    private static final double NESTED_CALLS = 0.99;
    private static final int SECONDS = 10;
    private static final int MAX_ATTEMPTS = 3;
    private static final int PERIODS_WITHOUT_FAILURES = 3;

    /** Retries that operators allow a service beside the share of its requests. */
    private static final int SLACK = 34;

    private final SplittableRandom random = new SplittableRandom(17);
    private final List<RetryBudget> outerBudgets = new ArrayList<>();
    private final List<RetryBudget> innerBudgets = new ArrayList<>();
    private int innerRequests;
    private int innerRetries;

    private void play(boolean failing) {
      for (int i = 0; i < CALLS_PER_SECOND * SECONDS; i++) {
        RetryBudget budget = outerBudgets.get(random.nextInt(NODES));
        budget.deposit(CallTreePosition.root(), EntryHandler.RETRY_SHARE);
        callInner(failing, false);
        for (int n = 1; failing && n < MAX_ATTEMPTS && budget.tryWithdraw(); n++) {
          callInner(true, true);
        }
      }
      for (int i = 0; i < DIRECT_CALLS_PER_SECOND * SECONDS; i++) {
        attemptInner(failing, false);
      }
    }

    private void callInner(boolean failing, boolean retried) {
      if (random.nextDouble() < NESTED_CALLS) {
        attemptInner(failing, retried);
      }
    }

    private void attemptInner(boolean failing, boolean retried) {
      innerRequests += retried ? 0 : 1;
      innerRetries += retried ? 1 : 0;
      RetryBudget budget = innerBudgets.get(random.nextInt(NODES));
      budget.deposit(CallTreePosition.root(), EntryHandler.RETRY_SHARE);
      for (int n = 1; failing && n < MAX_ATTEMPTS && budget.tryWithdraw(); n++) {
        innerRetries++;
      }
    }

    @Test
    void staysWithinTheLimitAfterTimeWithoutFailures() {
      for (int i = 0; i < NODES; i++) {
        outerBudgets.add(EntryHandler.newRetryBudget());
        innerBudgets.add(EntryHandler.newRetryBudget());
      }
      for (int i = 0; i < PERIODS_WITHOUT_FAILURES; i++) {
        play(false);
      }
      innerRequests = 0;
      innerRetries = 0;

      play(true);

      double allowed = MAX_RETRIES_PER_REQUEST * innerRequests + SLACK;
      assertThat((double) innerRetries, lessThanOrEqualTo(allowed));
    }
  }
}
