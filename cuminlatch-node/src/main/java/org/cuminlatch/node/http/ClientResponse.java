package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A complete response.
 *
 * @param status HTTP status
 * @param headers names and values in the order received
 * @param body the body; must not be modified
 */
public record ClientResponse(int status, List<Map.Entry<String, String>> headers, byte[] body) {

  /** Validates the components. */
  public ClientResponse {
    notNull(headers, "headers");
    notNull(body, "body");
  }

  /**
   * Returns the first value of a header.
   *
   * @param name name in any case
   * @return the value, empty if there is none
   */
  public Optional<String> header(String name) {
    for (Map.Entry<String, String> entry : headers) {
      if (entry.getKey().equalsIgnoreCase(name)) {
        return Optional.of(entry.getValue());
      }
    }
    return Optional.empty();
  }
}
