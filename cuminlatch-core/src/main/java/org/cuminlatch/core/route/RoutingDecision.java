package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.membership.Member;

/**
 * Result of routing a request: the chosen target, or the reason why there is none.
 *
 * @param configVersion version of the configuration on which the decision is based
 * @param route the route that matched; empty if none did
 * @param version the chosen target version; empty if none
 * @param target the chosen member; empty if the request can't be served
 * @param reason reason for the choice or for the refusal
 */
public record RoutingDecision(
    long configVersion,
    Optional<Route> route,
    Optional<String> version,
    Optional<Member> target,
    Reason reason) {

  /** Validates the components. */
  public RoutingDecision {
    notNull(route, "route");
    notNull(version, "version");
    notNull(target, "target");
    notNull(reason, "reason");
  }

  /** Reason for a routing decision. */
  public enum Reason {
    /** The target is in the node's own availability zone. */
    SAME_ZONE,
    /** The target is in the node's region; its own zone has no target with a free slot. */
    SAME_REGION,
    /** The target is in the other region; the node's own region can't serve the request. */
    OTHER_REGION,
    /** The target owns the idempotency key of the request. */
    KEY_OWNER,
    /** No route matches. */
    NO_ROUTE,
    /** The route's service has no target version. */
    NO_VERSION,
    /** No member serves a target version with a share of the route's traffic. */
    NO_MEMBER,
    /** Only the other region could serve the request, and the link budget is spent. */
    LINK_BUDGET_SPENT
  }
}
