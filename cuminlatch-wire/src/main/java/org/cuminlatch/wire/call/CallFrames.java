package org.cuminlatch.wire.call;

import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.proto.call.CallFrame;

/** Builds and reads the part that all frames share. */
public final class CallFrames {

  private CallFrames() {}

  /**
   * Starts a frame of an attempt.
   *
   * @param attempt the attempt
   * @return a builder that lacks the kind
   */
  public static CallFrame.Builder of(AttemptId attempt) {
    return CallFrame.newBuilder().setAttemptHigh(attempt.high()).setAttemptLow(attempt.low());
  }

  /**
   * Returns the attempt that a frame belongs to.
   *
   * @param frame the frame
   * @return the attempt
   */
  public static AttemptId attempt(CallFrame frame) {
    return new AttemptId(frame.getAttemptHigh(), frame.getAttemptLow());
  }
}
