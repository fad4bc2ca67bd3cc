package org.cuminlatch.node.call;

import java.util.Locale;
import java.util.Set;

/** Names of the headers that the call path reads and writes, in lower case. */
final class CallHeaders {

  /** Milliseconds left until the deadline; read from callers and sent to targets. */
  static final String DEADLINE_MILLIS = "x-cuminlatch-deadline-millis";

  /** Attempt that a target works on; a target copies it to the calls that it makes for it. */
  static final String ATTEMPT = "x-cuminlatch-attempt";

  /** Sent by a target with status 503: it refused the request before running it. */
  static final String NOT_RUN = "x-cuminlatch-not-run";

  /** Sent to callers: {@code answered}, {@code not-run} or {@code unknown}. */
  static final String OUTCOME = "x-cuminlatch-outcome";

  /** Sent to callers: why a call was not answered. */
  static final String REASON = "x-cuminlatch-reason";

  /** Sent to callers: instance whose target answered. */
  static final String INSTANCE = "x-cuminlatch-instance";

  /** Sent to callers: target version that answered. */
  static final String TARGET_VERSION = "x-cuminlatch-target-version";

  /** Sent to callers: configuration version that routed the call. */
  static final String CONFIG_VERSION = "x-cuminlatch-config-version";

  static final String CONTENT_LENGTH = "content-length";

  private static final Set<String> PER_CONNECTION =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          CONTENT_LENGTH);

  private static final Set<String> OWN =
      Set.of(DEADLINE_MILLIS, ATTEMPT, OUTCOME, REASON, INSTANCE, TARGET_VERSION, CONFIG_VERSION);

  private CallHeaders() {}

  /** Returns whether a header goes on to the other side of the node. */
  static boolean isForwarded(String name) {
    String lower = name.toLowerCase(Locale.ROOT);
    return !PER_CONNECTION.contains(lower) && !OWN.contains(lower);
  }
}
