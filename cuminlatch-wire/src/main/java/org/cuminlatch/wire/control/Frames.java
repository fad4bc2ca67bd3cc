package org.cuminlatch.wire.control;

import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/** Errors of frames and payloads that can't be read. */
final class Frames {

  private Frames() {}

  static CuminlatchException malformed(String what, Throwable cause) {
    return CuminlatchException.of(
        ErrorCode.INVALID_FRAME, Step.CODEC, "-", what + " is malformed: " + cause, cause);
  }

  static CuminlatchException invalid(String peer, String message) {
    return CuminlatchException.of(ErrorCode.INVALID_FRAME, Step.CODEC, peer, message);
  }
}
