package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.config.CallLimits;

/**
 * Parts of a request that determine its routing.
 *
 * @param method HTTP method
 * @param host host name without port; empty if the request names none
 * @param path path without query
 * @param headers first value of each header, by lower-case name
 */
public record RequestHead(String method, String host, String path, Map<String, String> headers) {

  private static final String IDEMPOTENCY_KEY = "idempotency-key";

  /** Validates the components. The map is not copied and must not be changed afterwards. */
  public RequestHead {
    notNull(method, "method");
    notNull(host, "host");
    notNull(path, "path");
    notNull(headers, "headers");
  }

  /**
   * Returns the value of a header.
   *
   * @param name name of the header; case is ignored
   * @return the first value; empty if the request does not have the header
   */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name.toLowerCase(Locale.ROOT)));
  }

  /**
   * Returns whether the request is idempotent and may be repeated.
   *
   * @param limits limits of the request's route
   * @return true if the method counts as idempotent or the idempotence header is {@code true}
   */
  public boolean isIdempotent(CallLimits limits) {
    return limits.idempotentMethods().contains(method)
        || header(limits.idempotenceHeader()).map("true"::equals).orElse(false);
  }

  /**
   * Returns the key of a request that must run at most once, however often its caller resubmits it.
   *
   * @param limits limits of the request's route
   * @return the value of {@code Idempotency-Key}; empty if it is missing or blank, or if the
   *     request is idempotent
   */
  public Optional<String> idempotencyKey(CallLimits limits) {
    return header(IDEMPOTENCY_KEY)
        .map(String::trim)
        .filter(key -> !key.isEmpty() && !isIdempotent(limits));
  }
}
