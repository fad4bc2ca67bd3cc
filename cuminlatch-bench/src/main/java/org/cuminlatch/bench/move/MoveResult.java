package org.cuminlatch.bench.move;

import java.util.Optional;
import org.cuminlatch.core.config.MoveOutcome;

/**
 * Result of one simulated move.
 *
 * @param outcome the outcome in force, if the move ended
 * @param beforeDeadline whether the outcome was decided by the deadline
 * @param calls calls to the service until the outcome
 * @param newVersionCalls calls that went to the new version
 * @param faultyCalls calls that failed or were slow because the new version is bad
 * @param newVersionCallShare share of the service's calls that went to the new version, from the
 *     start of the move until the last call to the new version
 * @param faultShown whether enough calls were faulty to show that the version is bad
 * @param secondsFromFaultToLastCall time from the moment at which the fault showed to the last call
 *     to the new version
 * @param secondsFromProofToLastCall time from the moment at which an evaluation of all calls could
 *     prove the version bad to the last call to the new version, empty if it never could
 * @param evidenceBytesPerNodeSecond evidence sent, in bytes per node and second
 * @param contradictions number of appended outcomes that differ from the first one
 */
record MoveResult(
    Optional<MoveOutcome> outcome,
    boolean beforeDeadline,
    long calls,
    long newVersionCalls,
    long faultyCalls,
    double newVersionCallShare,
    boolean faultShown,
    double secondsFromFaultToLastCall,
    Optional<Double> secondsFromProofToLastCall,
    double evidenceBytesPerNodeSecond,
    int contradictions) {

  boolean isDone() {
    return outcome.map(MoveOutcome::result).equals(Optional.of(MoveOutcome.Result.DONE));
  }

  boolean isRolledBack() {
    return outcome.map(MoveOutcome::result).equals(Optional.of(MoveOutcome.Result.ROLLED_BACK));
  }
}
