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

/** Reports the outcomes of attempts at the target beside the node. */
final class OutcomeReport {

  static final Duration COLD_START = Duration.ofSeconds(10);

  private static final int FIRST_CALLER_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;

  private final CallOutcomeListener observer;
  private final Supplier<Member> self;
  private final InstantSource clock;
  private volatile Instant servingSince;

  OutcomeReport(CallOutcomeListener observer, Supplier<Member> self, InstantSource clock) {
    this.observer = observer;
    this.self = self;
    this.clock = clock;
  }

  static Result result(int status) {
    if (status >= FIRST_SERVER_ERROR) {
      return Result.FAILURE;
    }
    return status >= FIRST_CALLER_ERROR ? Result.CALLER_ERROR : Result.SUCCESS;
  }

  void notRun(RunningAttempt attempt) {
    ended(attempt, Result.NOT_RUN, Duration.ZERO);
  }

  void ended(RunningAttempt attempt, Result result, Duration latency) {
    Member own = self.get();
    observer.onCallOutcome(
        new CallOutcome(
            attempt.begin().getRoute(),
            own.service(),
            own.targetVersion(),
            result,
            latency,
            isCold()));
  }

  /** Notices when the target begins to serve; its cold start counts from then. */
  void followTarget(Instant now) {
    if (self.get().phase() != Phase.SERVING) {
      servingSince = null;
    } else if (servingSince == null) {
      servingSince = now;
    }
  }

  private boolean isCold() {
    Instant since = servingSince;
    return since == null || clock.instant().isBefore(since.plus(COLD_START));
  }
}
