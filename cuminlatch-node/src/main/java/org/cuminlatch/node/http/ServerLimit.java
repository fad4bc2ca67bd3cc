package org.cuminlatch.node.http;

import java.util.Locale;

/** Limit for which a server refuses a request or closes a connection. */
public enum ServerLimit {
  /** The bodies of all requests occupy what they may. */
  BODY_BUDGET("no room for further bodies"),

  /** A client sends a body more slowly than the minimum rate. */
  BODY_RATE("body is sent too slowly"),

  /** A client reads a response more slowly than the minimum rate. */
  RESPONSE_RATE("response is read too slowly"),

  /** As many connections are open as may be. */
  CONNECTIONS("too many connections");

  private final String reason;

  ServerLimit(String reason) {
    this.reason = reason;
  }

  /**
   * Returns the reason as it stands in the log.
   *
   * @return the reason
   */
  public String reason() {
    return reason;
  }

  /**
   * Returns the label of the limit in metrics.
   *
   * @return the label, in lower case
   */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
