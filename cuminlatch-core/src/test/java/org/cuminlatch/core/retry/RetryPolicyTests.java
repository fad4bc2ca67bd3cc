package org.cuminlatch.core.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.retry.RetryPolicy.Decision;
import org.cuminlatch.core.retry.RetryPolicy.EndedAttempt;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@DisplayName("The retry policy")
class RetryPolicyTests {

  private static final CallLimits LIMITS = CallLimits.defaults();

  @ParameterizedTest(name = "{0}, overloaded {1}, attempt {2}, idempotent {3}, replayable {4}: {7}")
  @CsvSource({
    "ANSWERED, false, 1, true,  true,  1000, false, ANSWERED",
    "NOT_RUN,  false, 1, false, true,  1000, false, RETRY",
    "NOT_RUN,  true,  1, false, true,  1000, false, RETRY",
    "NOT_RUN,  false, 1, false, false, 1000, false, NOT_REPLAYABLE",
    "NOT_RUN,  false, 3, false, true,  1000, false, ATTEMPTS_SPENT",
    "NOT_RUN,  false, 1, false, true,  1,    false, NO_TIME_LEFT",
    "NOT_RUN,  false, 1, false, true,  1000, true,  RETRY",
    "NOT_RUN,  true,  1, false, true,  1000, true,  RETRIED_ABOVE",
    "UNKNOWN,  false, 1, false, true,  1000, false, NOT_IDEMPOTENT",
    "UNKNOWN,  false, 1, true,  true,  1000, false, RETRY",
    "UNKNOWN,  false, 1, true,  true,  1000, true,  RETRIED_ABOVE",
    "UNKNOWN,  false, 3, true,  true,  1000, false, ATTEMPTS_SPENT",
  })
  void decidesByOutcomeAndLimits(
      AttemptOutcome outcome,
      boolean overloaded,
      int number,
      boolean idempotent,
      boolean replayable,
      long millisLeft,
      boolean retriedAbove,
      Decision expected) {
    EndedAttempt ended =
        new EndedAttempt(
            outcome,
            overloaded,
            number,
            idempotent,
            replayable,
            Duration.ofMillis(millisLeft),
            new CallTreePosition(1, retriedAbove));

    assertThat(RetryPolicy.decide(ended, LIMITS, new RetryBudget()), is(expected));
  }

  @Nested
  class WhenEveryTargetOfTenLevelsFails {

    private static final int DEPTH = 10;
    private static final int CALLS = 2_000;

    private final RetryBudget[] budgets = new RetryBudget[DEPTH];
    private final long[] executions = new long[DEPTH];

    @Test
    void limitsExecutionsPerLevelToOnePlusShareTimesDepth() {
      for (int level = 0; level < DEPTH; level++) {
        budgets[level] = new RetryBudget();
      }
      for (int call = 0; call < CALLS; call++) {
        call(0, false);
      }

      for (int level = 0; level < DEPTH; level++) {
        int levels = level + 1;
        double maxExecutions =
            CALLS * (1 + LIMITS.retryBudget() * levels) + RetryBudget.INITIAL_TOKENS * levels;
        assertThat((double) executions[level], lessThanOrEqualTo(maxExecutions));
      }
    }

    private void call(int level, boolean retriedAbove) {
      CallTreePosition tree = new CallTreePosition(level, retriedAbove);
      budgets[level].deposit(tree, LIMITS.retryBudget());
      boolean retried = retriedAbove;
      Decision decision = Decision.RETRY;
      for (int number = 1; decision == Decision.RETRY; number++) {
        executions[level]++;
        if (level + 1 < DEPTH) {
          call(level + 1, retried);
        }
        decision = RetryPolicy.decide(failed(number, tree), LIMITS, budgets[level]);
        retried = true;
      }
    }

    private EndedAttempt failed(int number, CallTreePosition tree) {
      return new EndedAttempt(
          AttemptOutcome.UNKNOWN, false, number, true, true, Duration.ofSeconds(1), tree);
    }
  }
}
