package org.cuminlatch.testkit.load;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;

/**
 * Options of a load.
 *
 * @param nodes addresses, {@code host:port}, that receive the requests in round-robin order
 * @param paths paths to request in round-robin order
 * @param ratePerSecond requests per second, sent at even intervals regardless of the answers
 * @param duration how long to send requests
 * @param timeout timeout of a request
 * @param postShare share, from 0 to 1, of POST requests, which are not idempotent
 * @param bodyBytes length of the body of a POST in bytes
 * @param idPrefix prefix of the request IDs, unique to this load
 * @param seed seed of the random choice between GET and POST
 */
public record LoadOptions(
    List<String> nodes,
    List<String> paths,
    double ratePerSecond,
    Duration duration,
    Duration timeout,
    double postShare,
    int bodyBytes,
    String idPrefix,
    long seed) {

  /** Validates the components and copies the lists. */
  public LoadOptions {
    nodes = List.copyOf(notNull(nodes, "nodes"));
    paths = List.copyOf(notNull(paths, "paths"));
    check(!nodes.isEmpty(), "nodes", "must not be empty");
    check(!paths.isEmpty(), "paths", "must not be empty");
    check(ratePerSecond > 0, "ratePerSecond", "must be positive");
    notNull(duration, "duration");
    notNull(timeout, "timeout");
    inRange(postShare, 0, 1, "postShare");
    check(bodyBytes >= 0, "bodyBytes", "must not be negative");
    notNull(idPrefix, "idPrefix");
  }
}
