package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.config.CallLimits;

/**
 * Parts of a request by which it is routed.
 *
 * @param method HTTP method
 * @param host host that the caller named, without port; empty if none
 * @param path path without query
 * @param headers first value of each header by lower-case name
 */
public record RequestHead(String method, String host, String path, Map<String, String> headers) {

  private static final String IDEMPOTENCY_KEY = "idempotency-key";

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
   * @param name name of the header in any case
   * @return the first value, empty if the request has none
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }

  /**
   * Returns whether the request may be repeated.
   *
   * @param limits limits of its route
   * @return true if its method or a header says so
   */
  public boolean isIdempotent(CallLimits limits) {
    return limits.idempotentMethods().contains(method)
        || header(limits.idempotenceHeader()).map("true"::equals).orElse(false);
  }

  /**
   * Returns the key of a request that must run at most once over its caller's resubmissions.
   *
   * @param limits limits of its route
   * @return the value of {@code Idempotency-Key}, empty if the request may be repeated anyway
   */
  public Optional<String> idempotencyKey(CallLimits limits) {
    return header(IDEMPOTENCY_KEY)
        .map(String::trim)
        .filter(key -> !key.isEmpty() && !isIdempotent(limits));
  }
}
