package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.Optional;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.membership.Member;

/**
 * Where a request goes and why.
 *
 * @param configVersion configuration version that decided
 * @param route the route that matched, empty if none
 * @param version target version chosen, empty if none
 * @param target member chosen, empty if the request can't be served
 * @param reason why
 */
public record RoutingDecision(
    long configVersion,
    Optional<Route> route,
    Optional<String> version,
    Optional<Member> target,
    Reason reason) {

  /** Checks the fields. */
  public RoutingDecision {
    notNull(route, "route");
    notNull(version, "version");
    notNull(target, "target");
    notNull(reason, "reason");
  }

  /** Reasons of a decision. */
  public enum Reason {
    /** The target stands in the node's own availability zone. */
    SAME_ZONE,
    /** The own zone has no target with a free slot. */
    SAME_REGION,
    /** The own region can't serve the request. */
    OTHER_REGION,
    /** The request's Idempotency-Key belongs to this target. */
    KEY_OWNER,
    /** No route matches. */
    NO_ROUTE,
    /** The route's service has no target version. */
    NO_VERSION,
    /** No member serves a target version that takes the route's traffic. */
    NO_MEMBER,
    /** Only the other region could serve, and the budget of the link is spent. */
    LINK_BUDGET_SPENT
  }
}
