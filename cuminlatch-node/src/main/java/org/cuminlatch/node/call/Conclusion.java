package org.cuminlatch.node.call;

import java.util.Locale;
import org.cuminlatch.core.retry.AttemptOutcome;
import org.cuminlatch.wire.proto.call.RefusalReason;

/**
 * How a call ended.
 *
 * @param outcome what is known of it
 * @param status HTTP status for the caller where the target did not answer
 * @param reason why the target did not answer, lower-case words joined by hyphens
 */
record Conclusion(AttemptOutcome outcome, int status, String reason) {

  static final int BAD_REQUEST = 400;
  static final int NOT_FOUND = 404;
  static final int BAD_GATEWAY = 502;
  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;

  private static final Conclusion ANSWERED = new Conclusion(AttemptOutcome.ANSWERED, 0, "");

  static Conclusion answered() {
    return ANSWERED;
  }

  static Conclusion notRun(Enum<?> reason) {
    if (reason == RefusalReason.UNSENDABLE) {
      return new Conclusion(AttemptOutcome.NOT_RUN, BAD_REQUEST, words(reason));
    }
    return new Conclusion(AttemptOutcome.NOT_RUN, SERVICE_UNAVAILABLE, words(reason));
  }

  static Conclusion notFound(Enum<?> reason) {
    return new Conclusion(AttemptOutcome.NOT_RUN, NOT_FOUND, words(reason));
  }

  static Conclusion unknown(Enum<?> reason, boolean late) {
    return new Conclusion(
        AttemptOutcome.UNKNOWN, late ? GATEWAY_TIMEOUT : BAD_GATEWAY, words(reason));
  }

  static String words(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static String word(AttemptOutcome outcome) {
    return words(outcome);
  }

  /** Returns one sentence for the caller. */
  String text() {
    return outcome == AttemptOutcome.NOT_RUN
        ? "The request was not run: " + reason + "."
        : "The request may have run: " + reason + ".";
  }
}
