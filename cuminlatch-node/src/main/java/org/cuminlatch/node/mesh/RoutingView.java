package org.cuminlatch.node.mesh;

import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.route.RouteTable;
import org.cuminlatch.core.route.VersionRule;

/**
 * Routing state that the control loop passes to the traffic loop, replaced as a whole.
 *
 * @param table routes of the configuration in force, empty before the first one
 * @param rules division of the calls between target versions, by service name
 */
record RoutingView(Optional<RouteTable> table, Map<String, VersionRule> rules) {

  static final RoutingView EMPTY = new RoutingView(Optional.empty(), Map.of());

  RoutingView {
    rules = Map.copyOf(rules);
  }

  RoutingView withTable(RouteTable newTable) {
    return new RoutingView(Optional.of(newTable), rules);
  }

  RoutingView withRules(Map<String, VersionRule> newRules) {
    return new RoutingView(table, newRules);
  }

  /** Returns the configuration version in force, 0 before the first one. */
  long version() {
    return table.map(routes -> routes.snapshot().version()).orElse(0L);
  }
}
