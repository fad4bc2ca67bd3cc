package org.cuminlatch.node.mesh;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNull;

import java.time.Duration;
import java.util.Optional;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;

/**
 * Fixed settings of a node on an operator's platform.
 *
 * @param node name of the node
 * @param locality region and availability zone of the node
 * @param service service of the local target
 * @param target address of the local target
 * @param callers address for callers
 * @param peers address for other nodes
 * @param ready address of the readiness check
 * @param control address for the target's reports
 * @param metrics address of the metrics
 * @param store address of the platform's store
 * @param stopPeriod time between the request to stop and the end of the process
 * @param headers names of headers
 * @param revocationBound time after which a withdrawn key is accepted nowhere, also by nodes that
 *     have lost contact; empty if no such bound is kept
 */
public record MeshSettings(
    String node,
    Locality locality,
    String service,
    Address target,
    Address callers,
    Address peers,
    Address ready,
    Address control,
    Address metrics,
    Address store,
    Duration stopPeriod,
    HeaderNames headers,
    Optional<Duration> revocationBound) {

  /** Checks the fields. */
  public MeshSettings {
    notBlank(node, "node");
    notNull(locality, "locality");
    notBlank(service, "service");
    notNull(target, "target");
    notNull(callers, "callers");
    notNull(peers, "peers");
    notNull(ready, "ready");
    notNull(control, "control");
    notNull(metrics, "metrics");
    notNull(store, "store");
    notNull(stopPeriod, "stopPeriod");
    notNull(headers, "headers");
    notNull(revocationBound, "revocationBound");
  }
}
