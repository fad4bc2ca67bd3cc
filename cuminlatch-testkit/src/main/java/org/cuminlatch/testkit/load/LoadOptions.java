package org.cuminlatch.testkit.load;

import static org.cuminlatch.core.Preconditions.check;
import static org.cuminlatch.core.Preconditions.inRange;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.List;

/**
 * Options of a load.
 *
 * @param nodes addresses, {@code host:port}, to which the requests go in turn
 * @param paths paths to ask for in turn
 * @param ratePerSecond requests per second, sent at even distances whatever the answers do
 * @param length how long to send
 * @param timeout longest wait for an answer
 * @param postShare share of requests that are POST and may not be repeated
 * @param bodyBytes length of the body of a POST
 * @param idPrefix prefix of the requests' ids, unique to this load
 * @param seed seed of the choice between GET and POST
 */
public record LoadOptions(
    List<String> nodes,
    List<String> paths,
    double ratePerSecond,
    Duration length,
    Duration timeout,
    double postShare,
    int bodyBytes,
    String idPrefix,
    long seed) {

  /** Checks the fields and copies the lists. */
  public LoadOptions {
    nodes = List.copyOf(notNull(nodes, "nodes"));
    paths = List.copyOf(notNull(paths, "paths"));
    check(!nodes.isEmpty(), "nodes", "must not be empty");
    check(!paths.isEmpty(), "paths", "must not be empty");
    check(ratePerSecond > 0, "ratePerSecond", "must be positive");
    notNull(length, "length");
    notNull(timeout, "timeout");
    inRange(postShare, 0, 1, "postShare");
    check(bodyBytes >= 0, "bodyBytes", "must not be negative");
    notNull(idPrefix, "idPrefix");
  }
}
