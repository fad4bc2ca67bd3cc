package org.cuminlatch.node.call;

import java.util.Locale;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.wire.proto.call.RefusalReason;

/**
 * Result of a call, as reported to the caller.
 *
 * @param outcome whether the call was answered, was not run, or may have run
 * @param status HTTP status for the caller if the target did not answer, otherwise 0
 * @param reason why the target did not answer, as lower-case words joined by hyphens
 */
record CallResult(AttemptOutcome outcome, int status, String reason) {

  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int BAD_GATEWAY = 502;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private static final CallResult ANSWERED = new CallResult(AttemptOutcome.ANSWERED, 0, "");

  static CallResult answered() {
    return ANSWERED;
  }

  static CallResult notRun(Enum<?> reason) {
    if (reason == RefusalReason.UNSENDABLE) {
      return new CallResult(AttemptOutcome.NOT_RUN, BAD_REQUEST, hyphenated(reason));
    }
    return new CallResult(AttemptOutcome.NOT_RUN, SERVICE_UNAVAILABLE, hyphenated(reason));
  }

  static CallResult notFound(Enum<?> reason) {
    return new CallResult(AttemptOutcome.NOT_RUN, NOT_FOUND, hyphenated(reason));
  }

  static CallResult unknown(Enum<?> reason, boolean timedOut) {
    return new CallResult(
        AttemptOutcome.UNKNOWN, timedOut ? GATEWAY_TIMEOUT : BAD_GATEWAY, hyphenated(reason));
  }

  static String hyphenated(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static String outcomeName(AttemptOutcome outcome) {
    return hyphenated(outcome);
  }

  /** Returns the text of the HTTP body for the caller. */
  String bodyText() {
    return outcome == AttemptOutcome.NOT_RUN
        ? "The request was not run: " + reason + "."
        : "The request may have run: " + reason + ".";
  }
}
