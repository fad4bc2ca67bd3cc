package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Map;
import java.util.Optional;

/**
 * Parts of a request by which it is routed.
 *
 * @param method HTTP method
 * @param host host that the caller named, without port; empty if none
 * @param path path without query
 * @param headers first value of each header by lower-case name
 */
public record RequestHead(String method, String host, String path, Map<String, String> headers) {

  /** Checks the fields; the map must not be changed afterwards. */
  public RequestHead {
    notNull(method, "method");
    notNull(host, "host");
    notNull(path, "path");
    notNull(headers, "headers");
  }

  /**
   * Returns the value of a header.
   *
   * @param name name of the header in lower case
   * @return the first value, empty if the request has none
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }
}
