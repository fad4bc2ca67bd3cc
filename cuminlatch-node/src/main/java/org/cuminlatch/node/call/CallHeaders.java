package org.cuminlatch.node.call;

import java.util.Locale;
import java.util.Set;

/** Names of the HTTP headers that the call path reads and writes, in lower case. */
final class CallHeaders {

  /** Milliseconds left until the deadline; read from callers and sent to targets. */
  static final String DEADLINE_MILLIS = "x-cuminlatch-deadline-millis";

  /** Token of the attempt; a target copies it to the calls that it makes for the attempt. */
  static final String ATTEMPT = "x-cuminlatch-attempt";

  /** Sent by a target with status 503 if it refused the request before running it. */
  static final String NOT_RUN = "x-cuminlatch-not-run";

  /** Sent to callers: {@code answered}, {@code not-run} or {@code unknown}. */
  static final String OUTCOME = "x-cuminlatch-outcome";

  /** Sent to callers: reason why a call was not answered. */
  static final String REASON = "x-cuminlatch-reason";

  /** Sent to callers: instance of the target that answered. */
  static final String INSTANCE = "x-cuminlatch-instance";

  /** Sent to callers: version of the target that answered. */
  static final String TARGET_VERSION = "x-cuminlatch-target-version";

  /** Sent to callers: version of the configuration that routed the call. */
  static final String CONFIG_VERSION = "x-cuminlatch-config-version";

  static final String CONTENT_LENGTH = "content-length";

  private static final Set<String> HOP_BY_HOP =
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

  private static final Set<String> SET_BY_NODES =
      Set.of(DEADLINE_MILLIS, ATTEMPT, OUTCOME, REASON, INSTANCE, TARGET_VERSION, CONFIG_VERSION);

  private CallHeaders() {}

  /** Returns whether a node forwards a header between the caller and the target. */
  static boolean isForwarded(String name) {
    String lowerCaseName = name.toLowerCase(Locale.ROOT);
    return !HOP_BY_HOP.contains(lowerCaseName) && !SET_BY_NODES.contains(lowerCaseName);
  }
}
