package org.cuminlatch.wire.control;

import org.cuminlatch.core.error.CuminlatchException;
import org.cuminlatch.core.error.ErrorCode;
import org.cuminlatch.core.error.Step;

/** Creates the exceptions for frames and payloads that cannot be decoded. */
final class FrameErrors {

  private FrameErrors() {}

  static CuminlatchException malformed(String subject, Throwable cause) {
    return CuminlatchException.of(
        ErrorCode.INVALID_FRAME, Step.CODEC, "-", subject + " is malformed: " + cause, cause);
  }

  static CuminlatchException invalid(String peer, String message) {
    return CuminlatchException.of(ErrorCode.INVALID_FRAME, Step.CODEC, peer, message);
  }
}
