package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.notBlank;

import java.util.regex.Pattern;

/**
 * IP address and port of an instance.
 *
 * @param host IP address
 * @param port port, from 1 to 65535
 */
public record Address(String host, int port) {

  /** Highest valid port number. */
  public static final int MAX_PORT = 65_535;

  private static final Pattern PORT = Pattern.compile("\\d{1,5}");

  /** Checks the fields. */
  public Address {
    notBlank(host, "host");
    check(port >= 1 && port <= MAX_PORT, "port", "must be between 1 and " + MAX_PORT);
  }

  /**
   * Parses {@code host:port}.
   *
   * @param text host and port, separated by the last colon
   * @return the address
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static Address parse(String text) {
    notBlank(text, "address");
    int colon = text.lastIndexOf(':');
    check(colon > 0, "address", "must have the form host:port but is \"" + text + "\"");
    String port = text.substring(colon + 1);
    check(PORT.matcher(port).matches(), "address", "must end with a port but is \"" + text + "\"");
    return new Address(text.substring(0, colon), Integer.parseInt(port));
  }

  @Override
  public String toString() {
    return host + ":" + port;
  }
}
