package org.cuminlatch.node.call;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Supplier;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.move.CallOutcome;
import org.cuminlatch.core.move.CallOutcome.Result;
import org.cuminlatch.core.move.CallOutcomeListener;

/** Reports the outcomes of attempts at the local target. */
final class OutcomeReporter {

  static final Duration COLD_START_WINDOW = Duration.ofSeconds(10);

  private static final int MIN_CALLER_ERROR_STATUS = 400;
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final CallOutcomeListener outcomeListener;
  private final Supplier<Member> self;
  private final InstantSource clock;
  private volatile Instant servingSince;

  OutcomeReporter(CallOutcomeListener outcomeListener, Supplier<Member> self, InstantSource clock) {
    this.outcomeListener = outcomeListener;
    this.self = self;
    this.clock = clock;
  }

  static Result result(int status) {
    if (status >= MIN_SERVER_ERROR_STATUS) {
      return Result.FAILURE;
    }
    return status >= MIN_CALLER_ERROR_STATUS ? Result.CALLER_ERROR : Result.SUCCESS;
  }

  void reportNotRun(RunningAttempt attempt) {
    reportEnded(attempt, Result.NOT_RUN, Duration.ZERO);
  }

  void reportEnded(RunningAttempt attempt, Result result, Duration latency) {
    Member selfMember = self.get();
    outcomeListener.onCallOutcome(
        new CallOutcome(
            attempt.begin().getRoute(),
            selfMember.service(),
            selfMember.targetVersion(),
            result,
            latency,
            isCold()));
  }

  /** Records when the target starts serving; {@link #COLD_START_WINDOW} is counted from then. */
  void updateServingSince(Instant now) {
    if (self.get().phase() != Phase.SERVING) {
      servingSince = null;
    } else if (servingSince == null) {
      servingSince = now;
    }
  }

  private boolean isCold() {
    Instant since = servingSince;
    return since == null || clock.instant().isBefore(since.plus(COLD_START_WINDOW));
  }
}
