package org.cuminlatch.node.http;

import java.util.Locale;

/** Classes of the status of a response to a request that asked for no upgrade. */
public final class ResponseStatus {

  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int MIN_INTERIM = 100;
  private static final int MIN_FINAL = 200;
  private static final int MAX_FINAL = 599;

  private ResponseStatus() {}

  /**
   * Returns whether the status is that of a response before the final one.
   *
   * @param status the status
   * @return true from 100 to 199, except for 101, as no request asks for an upgrade
   */
  public static boolean isInterim(int status) {
    return status >= MIN_INTERIM && status < MIN_FINAL && status != SWITCHING_PROTOCOLS;
  }

  /**
   * Returns whether the status is that of a response that ends its request.
   *
   * @param status the status
   * @return true from 200 to 599
   */
  public static boolean isFinal(int status) {
    return status >= MIN_FINAL && status <= MAX_FINAL;
  }

  /** Returns a status as a status line has it. */
  static String text(int status) {
    return String.format(Locale.ROOT, "%03d", status);
  }
}
