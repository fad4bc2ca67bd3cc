package org.cuminlatch.node.call;

import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.RefusalReason;

/**
 * Result of one attempt at the entry node.
 *
 * @param outcome whether the attempt was answered, was not run, or may have run
 * @param targetEnd how the attempt counts for the target when targets are selected
 * @param overloaded whether the attempt was not run because of overload
 * @param reason why the target did not answer
 */
record AttemptResult(
    AttemptOutcome outcome, AttemptEnd targetEnd, boolean overloaded, Enum<?> reason) {

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  /** Reasons that originate at the entry node. */
  enum LocalReason {
    /** The target answered. */
    ANSWERED,
    /** No connection to the target's node could be opened. */
    PEER_UNREACHABLE,
    /** The connection to the target's node was lost. */
    CONNECTION_LOST,
    /** The deadline passed without an answer from the target's node. */
    NO_ANSWER,
    /** The target's node has no record of the attempt's outcome. */
    NOT_KNOWN,
    /** The parent of the call has ended. */
    PARENT_ENDED,
    /** The call tree is deeper than allowed. */
    TOO_DEEP,
    /** The node already runs its maximum number of concurrent calls. */
    NODE_BUSY,
    /** The node has drained and is about to stop. */
    NODE_LEAVING,
    /** The request can't be read. */
    BAD_REQUEST
  }

  static AttemptResult answered(int status) {
    AttemptEnd targetEnd =
        status >= MIN_SERVER_ERROR_STATUS ? AttemptEnd.FAILED : AttemptEnd.SERVED;
    return new AttemptResult(AttemptOutcome.ANSWERED, targetEnd, false, LocalReason.ANSWERED);
  }

  static AttemptResult refused(RefusalReason reason) {
    boolean overloaded =
        switch (reason) {
          case QUEUE_FULL, DEADLINE, TARGET_SHED -> true;
          default -> false;
        };
    AttemptEnd targetEnd =
        reason == RefusalReason.TARGET_UNREACHABLE
            ? AttemptEnd.UNREACHABLE
            : AttemptEnd.INCONCLUSIVE;
    return new AttemptResult(AttemptOutcome.NOT_RUN, targetEnd, overloaded, reason);
  }

  static AttemptResult failed(FailureReason reason) {
    boolean targetFailed =
        reason != FailureReason.CONNECTION_SILENT && reason != FailureReason.KEY_SEEN;
    AttemptEnd targetEnd = targetFailed ? AttemptEnd.FAILED : AttemptEnd.INCONCLUSIVE;
    return new AttemptResult(AttemptOutcome.UNKNOWN, targetEnd, false, reason);
  }

  static AttemptResult cancelled(boolean notRun, Enum<?> reason) {
    AttemptOutcome outcome = notRun ? AttemptOutcome.NOT_RUN : AttemptOutcome.UNKNOWN;
    return new AttemptResult(outcome, AttemptEnd.INCONCLUSIVE, false, reason);
  }

  static AttemptResult unreachable(boolean maybeReceived) {
    return new AttemptResult(
        maybeReceived ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN,
        AttemptEnd.UNREACHABLE,
        false,
        LocalReason.PEER_UNREACHABLE);
  }

  static AttemptResult connectionLost() {
    return new AttemptResult(
        AttemptOutcome.UNKNOWN, AttemptEnd.INCONCLUSIVE, false, LocalReason.CONNECTION_LOST);
  }

  static AttemptResult noAnswer() {
    return new AttemptResult(
        AttemptOutcome.UNKNOWN, AttemptEnd.FAILED, false, LocalReason.NO_ANSWER);
  }

  /** Returns whether the attempt was lost together with the target's node. */
  boolean isLostWithTargetNode() {
    return reason == LocalReason.PEER_UNREACHABLE && outcome == AttemptOutcome.UNKNOWN;
  }

  boolean isTimeout() {
    return reason == LocalReason.NO_ANSWER || reason == FailureReason.TARGET_TIMEOUT;
  }
}
