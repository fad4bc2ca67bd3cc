package org.cuminlatch.node.call;

import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import org.cuminlatch.wire.proto.call.Body;

/** Sends a request's body to the target's node in parts, no more than the credit granted by it. */
final class BodyUpload {

  private static final int MAX_PART_BYTES = 32 * 1024;

  private long credit;
  private boolean complete;
  private boolean replayable = true;

  BodyUpload(boolean complete) {
    this.complete = complete;
  }

  boolean isComplete() {
    return complete;
  }

  /** Returns whether the body can be sent again: only buffered bytes of it have been sent. */
  boolean isReplayable() {
    return replayable;
  }

  void addCredit(int bytes) {
    credit += bytes;
  }

  /** Resets the credit for another attempt, which starts with the buffered bytes. */
  void restart() {
    credit = 0;
  }

  boolean maySend() {
    return credit > 0 && !complete;
  }

  Body nextPart(CallerRequest request) throws IOException {
    byte[] content = request.bodyRest().readNBytes((int) Math.min(MAX_PART_BYTES, credit));
    replayable = false;
    complete = content.length < Math.min(MAX_PART_BYTES, credit);
    credit -= content.length;
    return Body.newBuilder()
        .setContent(UnsafeByteOperations.unsafeWrap(content))
        .setLast(complete)
        .build();
  }
}
