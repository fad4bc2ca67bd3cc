package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * A request that an {@link HttpClient} sends.
 *
 * @param method HTTP method
 * @param requestTarget path and query
 * @param headers all headers except Content-Length; must include Host
 * @param body the body
 * @param maxIdleTime maximum time for which a reused connection may have been idle
 * @param ownerOfResponse finds out which request a response belongs to, from its head (the body is
 *     empty); responses to others are skipped
 */
public record ClientRequest(
    String method,
    String requestTarget,
    List<Map.Entry<String, String>> headers,
    byte[] body,
    Duration maxIdleTime,
    Function<ClientResponse, ResponseOwner> ownerOfResponse) {

  /** Validates the components and copies the headers. */
  public ClientRequest {
    notNull(method, "method");
    notNull(requestTarget, "requestTarget");
    headers = List.copyOf(notNull(headers, "headers"));
    notNull(body, "body");
    notNull(maxIdleTime, "maxIdleTime");
    notNull(ownerOfResponse, "ownerOfResponse");
  }
}
