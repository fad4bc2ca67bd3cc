package org.cuminlatch.node.call;

import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.core.route.TargetLoads.AttemptEnd;
import org.cuminlatch.wire.proto.call.FailureReason;
import org.cuminlatch.wire.proto.call.RefusalReason;

/**
 * How one attempt ended at the node that the caller entered.
 *
 * @param outcome what is known of it
 * @param end what it says about the target
 * @param overloaded whether it was not run because of load
 * @param reason why the target did not answer
 */
record AttemptResult(AttemptOutcome outcome, AttemptEnd end, boolean overloaded, Enum<?> reason) {

  private static final int FIRST_SERVER_ERROR = 500;

  /** Reasons that arise at the node that the caller entered. */
  enum LocalReason {
    /** The target answered. */
    ANSWERED,
    /** No connection to the target's node could be opened. */
    PEER_UNREACHABLE,
    /** The connection to the target's node was lost. */
    CONNECTION_LOST,
    /** The deadline passed without a word from the target's node. */
    NO_ANSWER,
    /** The target's node does not know what became of the attempt. */
    NOT_KNOWN,
    /** The call that this one was made for has ended. */
    PARENT_ENDED,
    /** The call tree is deeper than allowed. */
    TOO_DEEP,
    /** The node carries as many calls as it can. */
    NODE_BUSY,
    /** The node is leaving. */
    NODE_LEAVING,
    /** The request can't be read. */
    BAD_REQUEST
  }

  static AttemptResult answered(int status) {
    AttemptEnd end = status >= FIRST_SERVER_ERROR ? AttemptEnd.FAILED : AttemptEnd.SERVED;
    return new AttemptResult(AttemptOutcome.ANSWERED, end, false, LocalReason.ANSWERED);
  }

  static AttemptResult refused(RefusalReason reason) {
    boolean overloaded =
        switch (reason) {
          case QUEUE_FULL, DEADLINE, TARGET_SHED -> true;
          default -> false;
        };
    AttemptEnd end =
        reason == RefusalReason.TARGET_UNREACHABLE
            ? AttemptEnd.UNREACHABLE
            : AttemptEnd.INCONCLUSIVE;
    return new AttemptResult(AttemptOutcome.NOT_RUN, end, overloaded, reason);
  }

  static AttemptResult failed(FailureReason reason) {
    boolean blamed = reason != FailureReason.CONNECTION_SILENT && reason != FailureReason.KEY_SEEN;
    AttemptEnd end = blamed ? AttemptEnd.FAILED : AttemptEnd.INCONCLUSIVE;
    return new AttemptResult(AttemptOutcome.UNKNOWN, end, false, reason);
  }

  static AttemptResult cancelled(boolean notRun, Enum<?> reason) {
    AttemptOutcome outcome = notRun ? AttemptOutcome.NOT_RUN : AttemptOutcome.UNKNOWN;
    return new AttemptResult(outcome, AttemptEnd.INCONCLUSIVE, false, reason);
  }

  static AttemptResult unreachable(boolean begun) {
    return new AttemptResult(
        begun ? AttemptOutcome.UNKNOWN : AttemptOutcome.NOT_RUN,
        AttemptEnd.UNREACHABLE,
        false,
        LocalReason.PEER_UNREACHABLE);
  }

  static AttemptResult lost() {
    return new AttemptResult(
        AttemptOutcome.UNKNOWN, AttemptEnd.INCONCLUSIVE, false, LocalReason.CONNECTION_LOST);
  }

  static AttemptResult noAnswer() {
    return new AttemptResult(
        AttemptOutcome.UNKNOWN, AttemptEnd.FAILED, false, LocalReason.NO_ANSWER);
  }

  /** Returns whether the attempt was lost together with the node beside its target. */
  boolean isLostWithTarget() {
    return reason == LocalReason.PEER_UNREACHABLE && outcome == AttemptOutcome.UNKNOWN;
  }

  boolean isLate() {
    return reason == LocalReason.NO_ANSWER || reason == FailureReason.TARGET_TIMEOUT;
  }
}
