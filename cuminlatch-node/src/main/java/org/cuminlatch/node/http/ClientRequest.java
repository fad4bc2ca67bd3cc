package org.cuminlatch.node.http;

import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * A request to send.
 *
 * @param method method
 * @param target path and query
 * @param headers all headers but the length, host included
 * @param body the body
 * @param maxIdle longest time for which a kept connection may have been idle to be used
 * @param belongs whether an answer belongs to the request; others are skipped
 */
public record ClientRequest(
    String method,
    String target,
    List<Map.Entry<String, String>> headers,
    byte[] body,
    Duration maxIdle,
    Predicate<ClientResponse> belongs) {

  /** Checks the fields and copies the headers. */
  public ClientRequest {
    notNull(method, "method");
    notNull(target, "target");
    headers = List.copyOf(notNull(headers, "headers"));
    notNull(body, "body");
    notNull(maxIdle, "maxIdle");
    notNull(belongs, "belongs");
  }
}
