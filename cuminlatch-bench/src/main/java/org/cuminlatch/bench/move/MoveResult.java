package org.cuminlatch.bench.move;

import java.util.Optional;
import org.cuminlatch.core.config.MoveOutcome;

/**
 * What came of one simulated move.
 *
 * @param outcome the outcome that stands, if one was stated
 * @param inTime whether it was decided by the deadline
 * @param calls calls to the service until the outcome
 * @param newCalls calls that went to the new version
 * @param injectedCalls calls that ended badly because the new version is bad
 * @param firstStepPart part of the service's calls that the new version got until it got none,
 *     beginning with the move
 * @param shown whether the badness showed in calls
 * @param secondsToNone time from the moment at which it showed to the last call to the new version
 * @param provedToNone time from the moment at which a judge with all calls at hand could prove it
 *     to the last call to the new version, empty if it never could
 * @param bytesPerNodeSecond evidence sent, bytes per node and second
 * @param contradictions outcomes appended that said otherwise than the first
 */
record MoveResult(
    Optional<MoveOutcome> outcome,
    boolean inTime,
    long calls,
    long newCalls,
    long injectedCalls,
    double firstStepPart,
    boolean shown,
    double secondsToNone,
    Optional<Double> provedToNone,
    double bytesPerNodeSecond,
    int contradictions) {

  boolean isDone() {
    return outcome.map(MoveOutcome::result).equals(Optional.of(MoveOutcome.Result.DONE));
  }

  boolean isRolledBack() {
    return outcome.map(MoveOutcome::result).equals(Optional.of(MoveOutcome.Result.ROLLED_BACK));
  }
}
