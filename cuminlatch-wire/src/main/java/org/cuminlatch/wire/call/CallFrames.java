package org.cuminlatch.wire.call;

import org.cuminlatch.core.retry.AttemptId;
import org.cuminlatch.wire.proto.call.CallFrame;

/** Writes and reads the attempt id of call frames. */
public final class CallFrames {

  private CallFrames() {}

  /**
   * Creates a builder for a frame of an attempt.
   *
   * @param attempt id of the attempt
   * @return a builder on which only the attempt is set
   */
  public static CallFrame.Builder of(AttemptId attempt) {
    return CallFrame.newBuilder().setAttemptHigh(attempt.high()).setAttemptLow(attempt.low());
  }

  /**
   * Returns the attempt that a frame belongs to.
   *
   * @param frame the frame
   * @return id of the attempt
   */
  public static AttemptId attempt(CallFrame frame) {
    return new AttemptId(frame.getAttemptHigh(), frame.getAttemptLow());
  }
}
