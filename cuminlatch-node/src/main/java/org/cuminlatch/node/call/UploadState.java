package org.cuminlatch.node.call;

import com.google.protobuf.UnsafeByteOperations;
import java.io.IOException;
import org.cuminlatch.wire.proto.call.Body;

/** How much of a request's body has been sent; it is sent only as credit is granted. */
final class UploadState {

  private static final int PART_BYTES = 32 * 1024;

  private long credit;
  private boolean complete;
  private boolean replayable = true;

  UploadState(boolean complete) {
    this.complete = complete;
  }

  boolean isComplete() {
    return complete;
  }

  /** Returns whether nothing has been sent that is not kept. */
  boolean isReplayable() {
    return replayable;
  }

  void grant(int bytes) {
    credit += bytes;
  }

  /** Starts again with the kept bytes. */
  void restart() {
    credit = 0;
  }

  boolean maySend() {
    return credit > 0 && !complete;
  }

  Body next(CallerRequest request) throws IOException {
    byte[] content = request.rest().readNBytes((int) Math.min(PART_BYTES, credit));
    replayable = false;
    complete = content.length < Math.min(PART_BYTES, credit);
    credit -= content.length;
    return Body.newBuilder()
        .setContent(UnsafeByteOperations.unsafeWrap(content))
        .setLast(complete)
        .build();
  }
}
