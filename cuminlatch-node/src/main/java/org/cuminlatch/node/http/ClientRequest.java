package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A request that an {@link HttpClient} sends.
 *
 * @param method HTTP method
 * @param requestTarget path and query
 * @param headers all headers except Content-Length; must include Host
 * @param body the body
 * @param maxIdleTime maximum time for which a reused connection may have been idle
 * @param responseFilter tests whether a response belongs to the request; other responses are
 *     skipped
 */
public record ClientRequest(
    String method,
    String requestTarget,
    List<Map.Entry<String, String>> headers,
    byte[] body,
    Duration maxIdleTime,
    Predicate<ClientResponse> responseFilter) {

  /** Validates the components and copies the headers. */
  public ClientRequest {
    notNull(method, "method");
    notNull(requestTarget, "requestTarget");
    headers = List.copyOf(notNull(headers, "headers"));
    notNull(body, "body");
    notNull(maxIdleTime, "maxIdleTime");
    notNull(responseFilter, "responseFilter");
  }
}
